"""Demonstration with built-in defaults: a stand-in configuration service, two services
of the team harrowgate (freshcheck and recallbook) in three availability zones, and a surge
of demand. Prints the goodput of each class with its priority, the verdicts and the requests
that ran twice; exits with 1 if there were any."""
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests/system"))
from fleet import Fleet, finish_load, policy, route  # noqa: E402

SLOTS = 10
ZONES = ["north-mill-a", "north-mill-b", "north-mill-c"]
POLICIES = [
    policy("freshcheck", team="harrowgate", slots=SLOTS, timeout_ms=800,
           routes=[route("/batches", priority=4, repeatable=True)]),
    policy("recallbook", team="harrowgate", slots=SLOTS, timeout_ms=800,
           routes=[route("/acknowledgements", priority=0),
                   route("/recalls", priority=6, repeatable=True)])]
CLASSES = [
    {"name": "acknowledge", "service": "recallbook", "method": "POST", "keyed": True,
     "path": "/acknowledgements?ms=20", "rate": 60, "timeout_ms": 800, "resends": 3},
    {"name": "lookup", "service": "freshcheck", "path": "/batches?ms=20&chain=recallbook",
     "rate": 150, "timeout_ms": 800},
    {"name": "browse", "service": "recallbook", "path": "/recalls?ms=20", "rate": 300,
     "timeout_ms": 800}]
# The priorities of the classes' routes in POLICIES.
PRIORITY = {"acknowledge": 0, "lookup": 4, "browse": 6}
SURGE = [{"seconds": 3, "factor": 1}, {"seconds": 4, "factor": 6}, {"seconds": 3, "factor": 1}]


# Share of good requests in the slices (0.1 s each) from first up to last.
def share(total, first, last):
    rows = [r for r in total["slices"] if first <= r[0] < last]
    return sum(r[2] for r in rows) / max(1, sum(r[1] for r in rows))


def main():
    services = {p["name"]: {"targets": 3, "slots": SLOTS, "zones": ZONES} for p in POLICIES}
    with Fleet(services) as fleet:
        fleet.set_up(POLICIES)
        print("6 instances in 3 availability zones serve; demand rises to 6x for 4 of 10 s")
        # Important demand stays below capacity: only lookups and browsing surge.
        important = fleet.load(CLASSES[:1], [{"seconds": 10, "factor": 1}], 1, start_only=True)
        others = fleet.load(CLASSES[1:], SURGE, 2)
        totals = {**finish_load(important), **others}
        print(f"{'class':12} {'priority':>8} {'requests':>8} {'good':>6} "
              f"{'before':>7} {'surge':>7} {'after':>7}  verdicts")
        for name, total in totals.items():
            shares = [share(total, a, b) for a, b in ((5, 30), (30, 70), (75, 100))]
            print(f"{name:12} {PRIORITY[name]:8} {total['requests']:8} {total['good']:6} "
                  + " ".join(f"{s:7.1%}" for s in shares) + f"  {total['outcomes']}")
        starts = fleet.executions()
        ran_twice = [n for n, c in starts.items() if n.startswith("acknowledge") and c > 1]
        print(f"acknowledgements that ran twice: {len(ran_twice)}")
        sys.exit(1 if ran_twice else 0)


main()
