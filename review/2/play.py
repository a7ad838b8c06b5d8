"""The store's open connections go silent; a configuration that comes 3.2 s later is in force in time?"""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins  # noqa: E402

ROUNDS = 10
AFTER_SILENCE_S = 3.2  # over contact-s: the machines are in touch again
APPLY_S = 2.0  # config-apply-s
WATCHED_S = 3.0  # time for which requests are judged, after APPLY_S
EVERY_S = 0.05  # a request


async def play(record):
    site = standins.Site(record, [("front", "a", 50), ("ledger", "a", 50), ("book", "b", 50)])
    try:
        return await rounds(record, site)
    finally:
        await site.close()


async def rounds(record, site):
    services = ["ledger", "book"]

    def routes(number):
        return [standins.route("/ack/", services[number % 2], kind="non_idempotent", priority=0)]

    await site.open(routes(0))
    front = site.machines[0]
    sent, answers = {}, []

    async def client():
        connection = None
        while True:
            if connection is None or not connection.usable:
                connection = await standins.Connection(record, front.host).open()
            name = f"req-{len(sent)}"
            sent[name] = record.now()
            status = await connection.call(name, "h.example", "/ack/1?ms=20", 5000, "POST", b"pot")
            answers.append((name, status))
            await asyncio.sleep(EVERY_S)

    traffic = asyncio.create_task(client())
    broken, number = 0, 0
    for _ in range(ROUNDS):
        number += 1
        await site.configure(routes(number))  # in force everywhere at once; nothing is wrong yet
        await asyncio.sleep(0.3)
        if standins.trouble():
            site.store.silence()
        await asyncio.sleep(AFTER_SILENCE_S)
        number += 1
        acknowledged = await site.configure(routes(number))
        await asyncio.sleep(APPLY_S + WATCHED_S)
        broken += judge(record, site, sent, services[(number - 1) % 2], acknowledged)
        if broken:
            break
        if traffic.done():
            raise standins.CannotRun(f"client: {traffic.exception()!r}")
    traffic.cancel()
    record.add("summary", rounds=(number + 1) // 2, sent=len(sent), run_by_the_old_service=broken)
    return broken == 0


def judge(record, site, sent, old_service, acknowledged):
    """CONFIG: sent later than config-apply-s after the acknowledgement, run by the old service."""
    stale = []
    for machine in site.machines:
        if machine.service != old_service:
            continue
        for arrived, name, _ in machine.target.runs:
            if arrived > acknowledged and sent[name] > acknowledged + APPLY_S:
                stale.append(sent[name] - acknowledged)
    if stale:
        record.add("stale", service=old_service, requests=len(stale),
                   latest_sent_after_ack_s=round(max(stale), 2))
    return len(stale)


standins.run(pathlib.Path(__file__).resolve().parent, play)
