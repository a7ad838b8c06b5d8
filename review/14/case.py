"""The targets of a service are restarted in turn, in a planned way, and keep their instance ids."""
import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from fleet3 import BOUNDS, ID, TIMEOUT, TROUBLE, CannotRun, Client, main, route  # noqa: E402

FOLDER = pathlib.Path(__file__).resolve().parent
PLACEMENTS = [("first", "a", 40), ("first", "b", 40),
              ("later", "a", 40), ("later", "b", 40)]
CLIENTS = 4  # of a machine, for each route
WORK_MS = 300  # as of pot-status (SYSTEM.md)
SERVES_ON_S = BOUNDS["drain-s"] + 1  # "for drain-s [..] and a little longer", then it exits
DOWN_S = 1
BETWEEN_S = 3  # from the entry of one target until the next one leaves
JUDGED_S = 10
FIRST = [route("/first/", "first")]
ALL = FIRST + [route("/later/", "later")]


async def restart(fleet, machine):
    """A target that never reports draining leaves and starts again under its instance id."""
    target, record = machine.target, fleet.record
    fleet.store.remove(f"servers/{machine.instance}")
    target.extra_headers["Server-Leaving"] = "1"  # in all its answers from now on
    record.say(f"target {machine.instance}: entry removed, leaves")
    await asyncio.sleep(SERVES_ON_S)
    await target.start_again(DOWN_S)
    machine.born = fleet.born + int(record.now() * 1000)
    machine.register()
    record.say(f"target {machine.instance}: started again, entry written with a later born")
    await asyncio.sleep(BETWEEN_S)


async def play(fleet):
    record = fleet.record
    await fleet.start(FIRST)
    fleet.configure(ALL)
    record.say("operator: route /later/ added")
    await asyncio.sleep(BOUNDS["config-apply-s"])
    answers = []  # (sent, prefix, status)

    async def traffic(machine, prefix, number):
        client = Client(machine)
        for count in range(100000):
            request, sent = f"{number:02x}{count:06x}", record.now()
            record.add(f"client at node {machine.number}: sends {request} {prefix}")
            try:
                answer = await client.call("GET", f"{prefix}{request}?ms={WORK_MS}",
                                           {ID: request, TIMEOUT: "3000"})
            except OSError:
                client.close()
                answer = None
            answers.append((sent, prefix, answer and answer[0]))
            record.add(f"client at node {machine.number}: {request} gets {answer and answer[0]}")
            await asyncio.sleep(0.2 + 0.2 * random.random())

    clients = [(machine, prefix) for machine in fleet.machines
               for prefix in ("/first/", "/later/") for _ in range(CLIENTS)]
    load = [asyncio.create_task(traffic(*client, number)) for number, client in enumerate(clients)]
    await asyncio.sleep(3)
    if TROUBLE:
        for machine in fleet.machines[2:]:
            await restart(fleet, machine)
    await asyncio.sleep(BOUNDS["contact-s"])
    steady = record.now()  # all targets are listed as ready, for 6 s; no impairment since the start
    await asyncio.sleep(JUDGED_S)
    for task in load:
        task.cancel()

    def share(prefix):
        judged = [status for sent, at, status in answers if at == prefix and sent >= steady]
        if len(judged) < 20:
            raise CannotRun(f"{len(judged)} requests on {prefix}")
        served = sum(status == 200 for status in judged)
        record.say(f"{prefix}: {served} of {len(judged)} requests served in {JUDGED_S} steady "
                   f"seconds, statuses {sorted(set(map(str, judged)))}")
        return served / len(judged)

    return share("/later/") < share("/first/") / 4


main(play, FOLDER, PLACEMENTS)
