"""A node is killed and started again while the target beside it names a Server-Limit.

No case, as RULES.md has no rule LIMIT (see REPORT-3.md); exits like one: 1 if the rule of the news
page was broken, 0 if it held, 2 if the script couldn't run. With TROUBLE=0 nothing is killed.
"""
import asyncio
import pathlib
import signal
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from fleet3 import BOUNDS, ID, TIMEOUT, TROUBLE, CannotRun, Client, main, route  # noqa: E402

FOLDER = pathlib.Path(tempfile.mkdtemp(prefix="review-3-record-"))
# Requests begin at nodes 0, 1 and 2; the target of "busy" is beside node 3.
PLACEMENTS = [("own", "a", 20), ("own", "b", 20), ("own", "c", 20), ("busy", "a", 55)]
LIMIT_PER_S = 4
WORK_MS = 800  # of a target in need; battery-status has a mean of 540 ms, and up to 5,800
SENT_PER_S = 75  # from all nodes together
WINDOW_S = 4
ALLOWED = 1.5 * LIMIT_PER_S * WINDOW_S + 5


async def play(fleet):
    record = fleet.record
    await fleet.start([route("/r/", "busy", timeout=4)])
    callers, beside = fleet.machines[:3], fleet.machines[3]
    target = beside.target
    began_at = {}  # request: node
    asked = set()  # keeps the tasks referenced
    passed_on = {}  # node: when it first passed on an answer with Server-Limit

    async def ask(machine, request):
        client = Client(machine)
        began_at[request] = machine.number
        record.add(f"client at node {machine.number}: sends {request}")
        try:
            answer = await client.call("GET", f"/r/{request}?ms={WORK_MS}",
                                       {ID: request, TIMEOUT: "4000"})
        except OSError:
            answer = None
        record.add(f"client at node {machine.number}: {request} gets {answer and answer[0]} "
                   f"limit {answer and answer[1].get('server-limit')}")
        if answer and "server-limit" in answer[1]:
            passed_on.setdefault(machine.number, record.now())
        client.close()

    async def traffic():
        for count in range(100000):
            machine = callers[count % len(callers)]
            asked.add(asyncio.create_task(ask(machine, f"{count:06x}")))
            await asyncio.sleep(1 / SENT_PER_S)

    load = asyncio.create_task(traffic())
    await asyncio.sleep(3)
    target.extra_headers["Server-Limit"] = str(LIMIT_PER_S)
    named_at = record.now()
    record.say(f"target {target.instance}: names Server-Limit {LIMIT_PER_S} from now on")
    await asyncio.sleep(BOUNDS["contact-s"] + 7)
    if TROUBLE:
        beside.signal(signal.SIGKILL)
        beside.process.wait()
        await asyncio.sleep(0.5)
        beside.start()
    await asyncio.sleep(10)
    load.cancel()
    if len(passed_on) < len(callers):
        raise CannotRun(f"only nodes {sorted(passed_on)} have passed on the limit")
    counted = sorted(
        when for when, request, _, _ in target.runs
        if when >= named_at + BOUNDS["contact-s"] and request in began_at
        and when >= passed_on[began_at[request]] + 0.5)
    worst, at = 0, 0
    for index, when in enumerate(counted):
        within = sum(1 for other in counted[index:] if other < when + WINDOW_S)
        if within > worst:
            worst, at = within, when
    record.say(f"most requests in {WINDOW_S} s: {worst}, from second {at:.1f}; allowed: {ALLOWED:.0f}")
    return worst > ALLOWED


main(play, FOLDER, PLACEMENTS)
