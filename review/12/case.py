"""A planned stop of a node while some of its clients' requests wait in the queues of busy targets."""
import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from fleet3 import BOUNDS, ID, TIMEOUT, TROUBLE, CannotRun, Client, main, route  # noqa: E402

FOLDER = pathlib.Path(__file__).resolve().parent
# Node 0 is stopped; its target serves another service. The targets of "busy" have 4 slots each.
PLACEMENTS = [("own", "a", 20), ("own", "b", 20),
              ("busy", "a", 4), ("busy", "b", 4), ("busy", "c", 4)]
# Long requests, sent at another node, fill the slots before the stop and until after it.
LONG_REQUESTS = 18
LONG_WORK_MS = 9500  # with the deadline of the longest kind, 10,000 ms (large/LATER.md)
# The other requests have the deadline of battery-status (SYSTEM.md): 8,000 ms.
DEADLINE_MS = 8000
SENT_EACH_S = 0.25
SENT_FOR_S = 3.0  # from 1.5 s before the stop until 1.5 s after it: before two misses in a row
ROUTES = [route("/long/", "busy", "non_idempotent", timeout=10),
          route("/command/", "busy", "non_idempotent", timeout=8)]


async def play(fleet):
    record, grace = fleet.record, BOUNDS["grace-s"]
    await fleet.start(ROUTES)
    stopped = fleet.machines[0]
    results = []  # (id, sent, ended, status or None)

    async def long(number):
        client, request = Client(fleet.machines[1]), f"1{number:03x}"
        record.add(f"client at node 1: sends {request} /long/{request}")
        try:
            answer = await client.call("POST", f"/long/{request}?ms={LONG_WORK_MS}",
                                       {ID: request, TIMEOUT: "10000"})
        except OSError:
            answer = None
        record.add(f"client at node 1: {request} gets {answer and answer[0]}")
        client.close()

    async def command(number):
        client, request = Client(stopped), f"5{number:03x}"
        sent = record.now()
        record.add(f"client at node 0: sends {request} /command/{request}")
        try:
            answer = await client.call("POST", f"/command/{request}?ms=50",
                                       {ID: request, TIMEOUT: str(DEADLINE_MS)})
        except OSError:
            record.add(f"client at node 0: {request} finds the port closed")
            return  # nothing was read
        results.append((request, sent, record.now(), answer and answer[0]))
        record.add(f"client at node 0: {request} gets "
                   + (f"status {answer[0]}" if answer else "a closed connection"))
        client.close()

    load = []
    for number in range(LONG_REQUESTS):
        load.append(asyncio.create_task(long(number)))
        await asyncio.sleep(0.05)
    await asyncio.sleep(1)
    calls = []
    stop_at = record.now() + SENT_FOR_S / 2
    stop_sent = None
    for number in range(int(SENT_FOR_S / SENT_EACH_S)):
        if stop_sent is None and record.now() >= stop_at:
            stop_sent = record.now()
            if TROUBLE:
                stopped.signal(signal.SIGTERM)
        calls.append(asyncio.create_task(command(number)))
        await asyncio.sleep(SENT_EACH_S)
    await asyncio.gather(*calls)
    if TROUBLE:
        record.say(f"node 0: exit code {stopped.process.poll()}")
    for task in load:
        task.cancel()
    ran = {run[1]: run[0] for machine in fleet.machines for run in machine.target.runs}
    lost = []
    for request, sent, ended, code in results:
        # Excused: the client's deadline and the route's time-out; a target at work in the last
        # sixth of grace-s; a connection that ends no later than loss-slack-s after the request.
        excused = (ended - sent >= DEADLINE_MS / 1000 or ended - sent <= BOUNDS["loss-slack-s"]
                   or (request in ran and ran[request] <= ended))
        if code is None and not excused:
            lost.append((request, round(sent - stop_sent, 2), round(ended - stop_sent, 2)))
    if len(results) < 6:
        raise CannotRun("too few requests were read")
    record.say(f"{len(results)} requests read, answered "
               f"{sorted(row[3] for row in results if row[3])}, {len(lost)} lost: connection closed "
               f"without an answer before the deadline, no target at work on it")
    for request, sent, ended in lost:
        record.say(f"lost {request}: sent {sent} s after SIGTERM, closed {ended} s after it "
                   f"(grace-s {grace}, deadline {DEADLINE_MS / 1000} s)")
    return bool(lost)


main(play, FOLDER, PLACEMENTS)
