"""A target that leaves after the store came back from a copy, in a fleet where few nodes watch it."""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from fleet3 import BOUNDS, ID, TIMEOUT, TROUBLE, CannotRun, Client, main, route  # noqa: E402

FOLDER = pathlib.Path(__file__).resolve().parent
# More than 16 nodes: only some of them watch the store, and tell the others.
PLACEMENTS = [(service, zone, 20) for service in ("own", "busy") for zone in "abc" * 3]
# These targets have run for long; the others, and those of "own", have just started.
OLD = range(9, 18, 2)
HEARTBEAT_S = 1.5  # DEPLOY.md: heartbeat-s
WARM_UP_S = 9  # from the first entry; the nodes are ready and all targets known 3 to 4 s after it
COPY_AGE_S = 4
AWAY_S = 0.5
CALM_S = 6  # from the store's return to the target's report: more than contact-s
SERVES_ON_S = 12  # after the accepted report ("at times many seconds"), then the target ends


async def play(fleet):
    record, store = fleet.record, fleet.store

    young = [machine for machine in fleet.machines if machine.number not in OLD]
    for machine in young:
        machine.warm_up_left_s = WARM_UP_S
    for number in OLD:
        fleet.machines[number].born -= 3600000
    await fleet.start([route("/b/", "busy")])
    sent_at = {}  # request: when, and at which node

    async def traffic(machine):
        client = Client(machine)
        for count in range(100000):
            request = f"{machine.number:02x}{count:06x}"
            sent_at[request] = record.now(), machine.number
            record.add(f"client at node {machine.number}: sends {request}")
            try:
                answer = await client.call("GET", f"/b/{request}?ms=20",
                                           {ID: request, TIMEOUT: "3000"})
            except OSError:
                client.close()
                answer = None
            record.add(f"client at node {machine.number}: {request} gets {answer and answer[0]}")
            await asyncio.sleep(0.2)

    load = [asyncio.create_task(traffic(machine)) for machine in fleet.machines]
    # A target writes its entry at each heartbeat; it changes while the warm-up time in it does.
    for beats_left in range(int(COPY_AGE_S / HEARTBEAT_S) + 1, -1, -1):
        for machine in young:
            machine.warm_up_left_s = beats_left * HEARTBEAT_S
            machine.register()
        await asyncio.sleep(HEARTBEAT_S if beats_left else AWAY_S)
    if TROUBLE:
        store.go_away()
        await asyncio.sleep(AWAY_S)
        store.come_back(COPY_AGE_S)
        # The operator and all targets write their newest state again.
        store.put("op/config", fleet.configuration([route("/b/", "busy")]))
        for machine in fleet.machines:
            machine.register()
    else:
        await asyncio.sleep(AWAY_S)
    await asyncio.sleep(CALM_S)
    quiet = [fleet.machines[number] for number in OLD
             if time.monotonic() - store.called_at.get(number, 0) > 2.5]
    if not quiet:
        raise CannotRun("all nodes watch the store")
    leaving = quiet[0]
    revision = leaving.register(phase="draining")
    acknowledged = record.now()
    record.say(f"target {leaving.instance}: reports draining, acknowledged at revision {revision}")
    await asyncio.sleep(SERVES_ON_S)
    for task in load:
        task.cancel()
    late = [(when, request) for when, request, _, _ in leaving.target.runs
            if when > acknowledged + BOUNDS["drain-s"] and request in sent_at]
    nodes = sorted({sent_at[request][1] for _, request in late})
    last = max((when for when, _ in late), default=acknowledged) - acknowledged
    record.say(f"requests that reached {leaving.instance} later than {BOUNDS['drain-s']} s after "
               f"the acknowledgement: {len(late)}, the last {last:.1f} s after it, from nodes "
               f"{nodes}")
    return bool(late)


main(play, FOLDER, PLACEMENTS)
