"""A planned stop of one node (SIGTERM) while its clients go on: is each accepted request answered?"""
import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins  # noqa: E402

WORK_MS = 1000
TIMEOUT_S = 5  # the route's timeout-s and the clients' deadline
EVERY_S = 0.1  # a request
LAST_SIXTH_S = 5.0  # of grace-s
SENT_EARLY_S = 3.0


async def play(record):
    # The only machine of zone a is stopped; the targets of the ledger are in zone b.
    site = standins.Site(record, [("front", "a", 50), ("ledger", "b", 50), ("ledger", "b", 50)])
    try:
        return await stop_while_clients_go_on(record, site)
    finally:
        await site.close()


async def stop_while_clients_go_on(record, site):
    await site.open([standins.route("/ack/", "ledger", kind="non_idempotent", timeout=TIMEOUT_S,
                                    priority=0),
                     standins.route("/look/", "front")])
    front = site.machines[0]
    idle = [await standins.Connection(record, front.host).open() for _ in range(90)]
    warm = [c.call(f"warm-{i}", "h.example", "/ack/1?ms=300", TIMEOUT_S * 1000, "POST", b"pot")
            for i, c in enumerate(idle)]
    await asyncio.gather(*warm)

    sent, tasks = {}, []

    async def one(name):
        connection = idle.pop(0)  # the one that has been idle longest, far below 12 s
        status = await connection.call(name, "h.example", f"/ack/1?ms={WORK_MS}",
                                       TIMEOUT_S * 1000, "POST", b"pot 7 is binned")
        if connection.usable:
            idle.append(connection)
        return name, status, record.now()

    async def traffic(seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end and idle:
            name = f"req-{len(sent)}"
            sent[name] = record.now()
            tasks.append(asyncio.create_task(one(name)))
            await asyncio.sleep(EVERY_S)

    async def readiness():
        while True:
            record.add("readyz", ready=await front.is_ready())
            await asyncio.sleep(1)

    polls = asyncio.create_task(readiness())
    await traffic(1.5)
    stopped_at = record.now()
    if standins.trouble():
        front.signal(signal.SIGTERM)
    going = asyncio.create_task(traffic(5.6))
    if standins.trouble():
        try:
            await asyncio.wait_for(front.process.wait(), standins.BOUNDS["grace-s"])
        except TimeoutError:
            front.signal(signal.SIGKILL)
            await front.process.wait()
        record.add("node_ended", status=front.process.returncode)
    await going
    results = await asyncio.gather(*tasks, return_exceptions=True)
    polls.cancel()
    return judge(record, site, sent, [r for r in results if isinstance(r, tuple)], stopped_at)


def judge(record, site, sent, results, stopped_at):
    """LOST around a SIGTERM: passed on to a target, and the connection ends without an answer."""
    passed_on = {run[1] for m in site.machines for run in m.target.runs}
    lost = []
    for name, status, ended in results:
        after = sent[name] - stopped_at
        if status is not None or name not in passed_on or after < 0:
            continue
        excused = after <= SENT_EARLY_S and ended - stopped_at >= LAST_SIXTH_S
        timed_out = ended - sent[name] >= TIMEOUT_S
        record.add("lost", id=name, sent_after_sigterm_s=round(after, 2),
                   cut_after_sigterm_s=round(ended - stopped_at, 2), excused=excused or timed_out)
        if not (excused or timed_out):
            lost.append(name)
    record.add("summary", sent=len(sent), answered=sum(r[1] is not None for r in results),
               lost_and_not_excused=len(lost))
    return not lost


standins.run(pathlib.Path(__file__).resolve().parent, play)
