"""Compares the policy variants by four measures: goodput under overload, short work beside
long work, a slowed target, and recovery after an overload that retries sustain.

For each seed the variants run in turn: "full", and as baselines "fixed_fifo" and
"pass_through".

Usage: measures.py [SEEDS]   prints a table; writes docs/plots/recovery.png
"""
import collections
import pathlib
import statistics
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests/system"))
from fleet import Fleet, finish_load, policy, route  # noqa: E402

VARIANTS = ("full", "fixed_fifo", "pass_through")
SLOTS, TARGETS = 10, 3
WORK_MS = 40
CAPACITY = TARGETS * SLOTS * 1000 / WORK_MS  # calls per s
ROUTES = [route("/ack", priority=0, repeatable=True), route("/read", priority=4, repeatable=True),
          route("/arm", priority=4, repeatable=True),
          route("/firmware", priority=4, repeatable=True, long_work=True)]


def load_class(name, rate, ms, service="deep", chain="", **options):
    return {"name": name, "service": service, "path": f"/{name}?ms={ms}&chain={chain}",
            "rate": rate, "timeout_ms": 1000, **options}


def run_load(fleet, classes, seconds, seed):
    return fleet.load(classes, [{"seconds": seconds, "factor": 1}], seed)


def overload(fleet, seed):
    """Overload: demand of 3 times the capacity; its important part is below capacity."""
    seconds = 3
    totals = run_load(fleet, [load_class("ack", 0.2 * CAPACITY, WORK_MS),
                              load_class("read", 2.8 * CAPACITY, WORK_MS)], seconds, seed)
    good = sum(t["good"] for t in totals.values())
    return {"crest goodput, share of capacity": good / (CAPACITY * seconds),
            "crest important success": totals["ack"]["good"] / totals["ack"]["requests"]}


def short_behind_long(fleet, seed):
    undisturbed = run_load(fleet, [load_class("arm", 100, 10)], 2, seed)["arm"]["p99_ms"]
    totals = run_load(fleet, [load_class("arm", 100, 10),
                              load_class("firmware", 40, 1000, timeout_ms=6000)], 3, seed + 1)
    return {"short p99 beside long work, times undisturbed": totals["arm"]["p99_ms"] / undisturbed,
            "short success beside long work": totals["arm"]["good"] / totals["arm"]["requests"],
            "long success": totals["firmware"]["good"] / totals["firmware"]["requests"]}


def slowed_target(fleet, seed):
    read = [load_class("read", 200, 20)]
    undisturbed = run_load(fleet, read, 2, seed)["read"]["p99_ms"]
    slow_target = fleet.instances_of("deep")[1]
    slow_target.control("slow=10")
    total = run_load(fleet, read, 3, seed + 1)["read"]
    slow_target.control("slow=1")
    return {"p99 with a slowed target, times undisturbed": total["p99_ms"] / undisturbed,
            "success with a slowed target": total["good"] / total["requests"]}


def recovery_after_overload(fleet, seed, series):
    load = fleet.load(
        [load_class("read", 150, 30, "front", "deep", timeout_ms=400, resends=6)],
        [{"seconds": 1, "factor": 1}, {"seconds": 2, "factor": 2.5}, {"seconds": 4, "factor": 1}],
        seed, start_only=True)
    time.sleep(1)
    for instance in fleet.instances_of("deep"):
        instance.control("slow=10")
    time.sleep(2)
    for instance in fleet.instances_of("deep"):
        instance.control("slow=1")
    rows = {r[0]: r for r in finish_load(load)["read"]["slices"]}
    shares = [rows[i][2] / rows[i][1] if i in rows else 0.0 for i in range(70)]
    series.append(shares)
    # In slices [index, sent, good] of 0.1 s: recovered at the first of 5 consecutive slices
    # in which at least 90% of all requests are good. The slowdown ends at slice 30.
    recovered = next((i for i in range(30, 65)
                      if sum(rows[j][2] for j in range(i, i + 5) if j in rows)
                      >= 0.9 * sum(rows[j][1] for j in range(i, i + 5) if j in rows)), 70)
    return {"recovery after the trigger, s (4 = not in time)": min(4.0, (recovered - 30) / 10)}


def plot(series):
    folder = ROOT / "docs/plots"
    folder.mkdir(exist_ok=True)
    names = list(series)
    lines = []
    for i in range(70):
        means = [statistics.mean(s[i] for s in series[n]) for n in names]
        lines.append(" ".join(f"{v:.3f}" for v in [i / 10, *means]))
    data = folder / "recovery.dat"
    data.write_text("\n".join(lines) + "\n")
    curves = ", ".join(f"'{data.name}' using 1:{i + 2} with lines lw 2 title '{n.replace('_', ' ')}'"
                       for i, n in enumerate(names))
    script = ("set terminal png size 800,400; set output 'recovery.png'; set yrange [0:1.5];"
              "set xlabel 'seconds; the deep service is slow and demand high from 1 to 3';"
              "set ylabel 'good answers per request sent'; plot " + curves)
    subprocess.run(["gnuplot", "-e", script], cwd=folder, check=True)


# Not run by main(); to be called from a Python prompt.
def plot_again():
    """Draws the plot again from the data file of the last run."""
    rows = [line.split() for line in (ROOT / "docs/plots/recovery.dat").read_text().splitlines()]
    plot({n: [[float(r[i + 1]) for r in rows]] for i, n in enumerate(VARIANTS)})


def main():
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 5
    results = collections.defaultdict(lambda: collections.defaultdict(list))
    series = collections.defaultdict(list)
    services = {n: {"targets": TARGETS, "slots": SLOTS, "queue": 500} for n in ("front", "deep")}
    for seed in range(1, seeds + 1):
        for variant in VARIANTS:
            settings = {"policy": {"variant": variant}, "node": {"workers": 1}}
            with Fleet(services, settings, recording=False) as fleet:
                fleet.set_up([policy(n, slots=SLOTS, routes=ROUTES) for n in services])
                for measure in (short_behind_long, slowed_target, overload):
                    for name, value in measure(fleet, 1000 * seed).items():
                        results[name][variant].append(value)
                    time.sleep(1.5)
                for name, value in recovery_after_overload(fleet, 1000 * seed + 7,
                                                           series[variant]).items():
                    results[name][variant].append(value)
            print(f"seed {seed} {variant} done", file=sys.stderr, flush=True)
    print(f"median (lowest to highest) of {seeds} seeds")
    print("| measure | " + " | ".join(VARIANTS) + " |")
    print("| --- | " + " | ".join("---" for _ in VARIANTS) + " |")
    for name, by_variant in results.items():
        cells = [f"{statistics.median(v):.3f} ({min(v):.3f} to {max(v):.3f})"
                 for v in (by_variant[x] for x in VARIANTS)]
        print(f"| {name} | " + " | ".join(cells) + " |")
    plot(series)


if __name__ == "__main__":
    main()
