"""One of three targets crashes; clients that poll one path go on. Is that kind of request served?"""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
import standins  # noqa: E402

DOWN_S = 4.5  # as srv_crash of the site file
BEFORE_S, AFTER_S = 6, 80
EVERY_S = 0.5  # each client asks this often, whatever it was answered
CLIENTS = 6  # of each kind
STARVED = 0.25


async def play(record):
    site = standins.Site(record, [("front", "a", 50), ("shelf", "a", 50), ("shelf", "b", 50),
                                  ("shelf", "c", 50)])
    try:
        return await crash_one_target(record, site)
    finally:
        await site.close()


async def crash_one_target(record, site):
    await site.open([standins.route("/status/", "shelf"), standins.route("/check/", "shelf")])
    front, shelf = site.machines[0], site.machines[1]
    asked, served = {"status": 0, "check": 0}, {"status": 0, "check": 0}
    last_served = {}

    async def client(kind, number):
        connection, i = None, 0
        await asyncio.sleep(number * EVERY_S / CLIENTS)  # the clients ask one after the other
        while True:
            if connection is None or not connection.usable:
                connection = await standins.Connection(record, front.host).open()
            i += 1
            name = f"{kind}-{number}-{i}"
            # Carpenters poll one board; batches are looked up each by its own path.
            path = "/status/board?ms=250" if kind == "status" else f"/check/{name}?ms=250"
            asked[kind] += 1
            due = record.now() + EVERY_S
            if await connection.call(name, "h.example", path, 4000) == 200:
                served[kind] += 1
                last_served[kind] = record.now()
            await asyncio.sleep(due - record.now())

    clients = [asyncio.create_task(client(kind, i)) for kind in asked for i in range(CLIENTS)]
    await asyncio.sleep(BEFORE_S)
    if standins.trouble():
        await shelf.target.crash(DOWN_S)
        await shelf.register()
    await asyncio.sleep(AFTER_S)
    for task in clients:
        if task.done():
            raise standins.CannotRun(f"client: {task.exception()!r}")
        task.cancel()
    return judge(record, asked, served, last_served)


def judge(record, asked, served, last_served):
    """Starved: a kind is served less than a quarter as often as all requests."""
    share = {kind: served[kind] / asked[kind] for kind in asked}
    of_all = sum(served.values()) / sum(asked.values())
    record.add("summary", asked=asked, served=served, share_of_all=round(of_all, 3),
               last_served={k: round(v, 1) for k, v in last_served.items()})
    return all(s >= STARVED * of_all for s in share.values())


standins.run(pathlib.Path(__file__).resolve().parent, play)
