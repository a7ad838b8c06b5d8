"""Records arrivals and service times of a running fleet and writes the replay traces in
src/replay/tests/traces: the recording itself, and variants with surges and failures.

Usage: record_traces.py   (needs a build; overwrites the trace files)
"""
import json
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests/system"))
from fleet import Fleet, policy, route  # noqa: E402

TARGETS, SLOTS = 3, 10
OUT = ROOT / "src/replay/tests/traces"
ROUTES = [route("/ack", priority=0, repeatable=True), route("/read", priority=4, repeatable=True),
          route("/bulk", priority=8, repeatable=True),
          route("/firmware", priority=4, repeatable=True, long_work=True)]
POLICY = policy("events", slots=SLOTS, routes=ROUTES, timeout_ms=500)


def record():
    """Returns an arrival for each call in the nodes' timelines: at, priority, timeout_ms,
    service_ms and, for long work, long."""
    classes = [
        {"name": n, "service": "events", "path": f"/{n}?ms={ms}", "rate": rate, "timeout_ms": 500}
        for n, ms, rate in (("ack", 20, 30), ("read", 20, 80), ("bulk", 30, 60))]
    classes.append({"name": "firmware", "service": "events", "path": "/firmware?ms=800",
                    "rate": 4, "timeout_ms": 4000})
    with Fleet({"events": {"targets": TARGETS, "slots": SLOTS}}) as fleet:
        fleet.set_up([POLICY])
        fleet.load(classes, [{"seconds": 5, "factor": 1}], seed=7)
        events = [e for i in fleet.instances for e in i.events("serve")]
    rows = []
    for event in events:
        detail = {k: int(v) for k, v in (p.split("=") for p in event["detail"].split())}
        # The upper 48 bits of an event's time are Unix time in ms.
        end = event["time"] >> 16
        rows.append((end - detail["service_ms"] - detail["waited_ms"], detail))
    rows.sort(key=lambda row: row[0])
    begin = rows[0][0]
    return [{"at": at - begin, "kind": "arrive", "priority": d["priority"],
             "timeout_ms": d["timeout_ms"], "service_ms": d["service_ms"],
             **({"long": True} if d["long"] else {})} for at, d in rows]


def surge(rows, factor, first, last):
    """Multiplies the arrivals in [first, last) ms by `factor`, except those of priority 0."""
    return [{**row, "count": factor} if first <= row["at"] < last and row["priority"] else row
            for row in rows]


def without_long(rows):
    return [row for row in rows if not row.get("long")]


def write(name, rows, outcomes, extra=(), slots=SLOTS):
    events = sorted(list(extra) + rows, key=lambda row: row["at"])
    header = {"name": name, "targets": TARGETS, "policy": {**POLICY, "slots": slots},
              "outcomes": outcomes}
    lines = [json.dumps(row, separators=(",", ":")) for row in [header, *events]]
    (OUT / f"{name}.trace").write_text("\n".join(lines) + "\n")


def at_least(figure, value):
    return {"figure": figure, "at_least": value}


def at_most(figure, value):
    return {"figure": figure, "at_most": value}


def main():
    OUT.mkdir(parents=True, exist_ok=True)
    rows = record()
    short = without_long(rows)
    # A surge until 9999 ms lasts past the end of the recording.
    common_checks = [at_least("class0.good_share", 0.999), at_most("inversions", 0),
                     at_most("max_dispatches", 1 + 3)]
    # Undisturbed short calls have a 99th percentile of 31 ms; 1.5 times that is allowed.
    short_latency = at_most("short.p99_ms", 1.5 * 31)
    write("undisturbed", rows, common_checks + [at_least("class8.good_share", 0.999)])
    # With 3 slots per target the recording's short work takes 46% of the capacity, its
    # important part 9%; the surges demand 3 and 10 times the capacity.
    for demand, factor in ((3, 8), (10, 27)):
        write(f"surge-{demand}x", surge(short, factor, 0, 9999),
              common_checks + [at_least("useful_share", 0.9)], slots=3)
    more_long_work = surge([r for r in rows if r.get("long")], 8, 0, 9999)
    write("short-behind-long", short + more_long_work,
          common_checks + [short_latency, at_least("long.good", 20)])
    write("slowed-target", short, common_checks + [at_most("class4.p99_ms", 1.5 * 21)],
          [{"at": 1500, "kind": "slow", "target": "t1", "factor": 10}])
    write("target-dies", short, common_checks + [at_least("class4.good_share", 0.99)],
          [{"at": 1500, "kind": "fail", "target": "t2"},
           {"at": 3500, "kind": "return", "target": "t2"}])
    slowdowns = [{"at": t, "kind": "slow", "target": f"t{i}", "factor": f}
                 for t, f in ((1000, 10), (2500, 1)) for i in range(TARGETS)]
    write("spiral", surge(short, 4, 1000, 2500),
          [at_most("inversions", 0), at_most("max_dispatches", 4), at_most("recovery_ms", 2000)],
          slowdowns, slots=4)


main()
