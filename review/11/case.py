"""A version of the configuration that is written after the store came back from a copy."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from fleet3 import BOUNDS, ID, TIMEOUT, TROUBLE, Client, main, route  # noqa: E402

FOLDER = pathlib.Path(__file__).resolve().parent
PLACEMENTS = [("old", "a", 20), ("old", "b", 20), ("new", "a", 20), ("new", "b", 20)]
LOST_CHANGES = 8  # versions in quick succession, one each 0.33 s (glue-alerts: `config_storm`)
COPY_AGE_S = 4
AWAY_S = 0.5
CALM_S = 5  # from the store's return to the next change: more than contact-s
# Later than this after the acknowledgement nothing may follow the older version only. The store
# has been without impairment for contact-s by then; max-stretch-s is allowed all the same.
APPLY_S = BOUNDS["config-apply-s"] + BOUNDS["max-stretch-s"]
WATCHED_S = 12


def paths(service, number=0):
    """/a/ goes to `service`; /n/ changes its time-out with each version."""
    return [route("/a/", service), route("/n/", "old", timeout=3 + number / 10)]


async def play(fleet):
    record, store = fleet.record, fleet.store
    await fleet.start(paths("old"))
    clients = [Client(machine) for machine in fleet.machines]
    answers = []  # (sent, node, status, service that ran it)
    by_instance = {machine.instance: machine.service for machine in fleet.machines}

    async def ask(number, client, count):
        sent, request = record.now(), f"{count:06x}{number:02x}"
        record.add(f"client at node {number}: sends {request} /a/{request}")
        try:
            answer = await client.call("GET", f"/a/{request}", {ID: request, TIMEOUT: "3000"})
        except OSError:
            answer = None
        service = by_instance.get(answer[2].decode()) if answer and answer[0] == 200 else None
        record.add(f"client at node {number}: {request} gets {answer and answer[0]} of {service}")
        answers.append((sent, number, answer and answer[0], service))

    async def traffic(number, client):
        for count in range(100000):
            await ask(number, client, count)
            await asyncio.sleep(0.1)

    load = [asyncio.create_task(traffic(*pair)) for pair in enumerate(clients)]
    await asyncio.sleep(3)
    for number in range(1, LOST_CHANGES + 1):
        fleet.configure(paths("old", number))
        await asyncio.sleep(0.33)
    if TROUBLE:
        store.go_away()
        await asyncio.sleep(AWAY_S)
        store.come_back(COPY_AGE_S)
        # What the operator and the targets wrote is written again: their newest state.
        store.put("op/config", fleet.configuration(paths("old", LOST_CHANGES)))
        for machine in fleet.machines:
            machine.register()
    else:
        await asyncio.sleep(AWAY_S)
    await asyncio.sleep(CALM_S)
    revision = fleet.configure(paths("new", LOST_CHANGES))
    acknowledged = record.now()
    record.say(f"operator: version {fleet.version} moves /a/ from old to new, acknowledged at "
               f"revision {revision}")
    await asyncio.sleep(APPLY_S + WATCHED_S)
    for task in load:
        task.cancel()
    late = [row for row in answers if row[0] > acknowledged + APPLY_S]
    stale = [row for row in late if row[3] == "old"]
    fresh = [row for row in late if row[3] == "new"]
    nodes = sorted({row[1] for row in stale})
    record.say(f"sent later than {APPLY_S} s after the acknowledgement: {len(late)} requests, "
               f"{len(fresh)} run by the new service, {len(stale)} by the old one (nodes {nodes})")
    return bool(stale)


main(play, FOLDER, PLACEMENTS)
