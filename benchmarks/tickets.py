"""Spreading of tickets over fleets of several sizes: time until in force on all
nodes, control bytes, processor time of idle nodes, reads of the platform.

Usage: tickets.py [SIZES...]
"""
import pathlib
import statistics
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests/system"))
from fleet import Fleet, policy  # noqa: E402
from latency import cpu_seconds, resident_mb  # noqa: E402

TICKETS = 20
INTERVAL_S = 0.25


def measure(count):
    services = {f"s{n}": {"targets": count // 4} for n in range(4)}
    with Fleet(services, {"node": {"workers": 1}}, recording=False) as fleet:
        fleet.set_up([policy(f"s{n}") for n in range(4)])
        time.sleep(2)
        quiet = sample(fleet, 6)
        published = {}

        def publish():
            for number in range(2, 2 + TICKETS):
                published[number] = time.time()
                fleet.publish_ticket(number, [policy("s0", slots=10 + number)])
                time.sleep(INTERVAL_S)
        busy = sample(fleet, 1, publish)
        fleet.wait_for_ticket(1 + TICKETS)
        delays = []
        for instance in fleet.instances:
            for event in instance.events("ticket"):
                number = int(event["detail"].split("=")[1])
                if number in published:
                    delays.append((event["time"] >> 16) / 1000 - published[number])
        expected = TICKETS * len(fleet.instances)
        memory = statistics.median(resident_mb(i.node) for i in fleet.instances)
        print(f"{count} nodes: in force {len(delays)} of {expected} times, median "
              f"{statistics.median(delays) * 1000:.0f} ms, last {max(delays) * 1000:.0f} ms; "
              f"quiet {quiet}; with {1 / INTERVAL_S:.0f} tickets/s {busy}; "
              f"{memory:.1f} MB a node")


def sample(fleet, seconds, action=None):
    def read():
        rows = [i.admin("/v1/status") for i in fleet.instances]
        return (time.monotonic(), [r["control_bytes"] for r in rows],
                [cpu_seconds(i.node) for i in fleet.instances], len(fleet.platform.reads))
    first = read()
    if action:
        action()
    time.sleep(seconds)
    last = read()
    span = last[0] - first[0]
    sent = [(b - a) / span for a, b in zip(first[1], last[1])]
    cpu = [(b - a) / span for a, b in zip(first[2], last[2])]
    return (f"[{statistics.mean(sent):.0f} B/s a node (most {max(sent):.0f}), "
            f"{statistics.mean(cpu):.2%} of a core (most {max(cpu):.2%}), "
            f"{(last[3] - first[3]) / span:.1f} reads/s]")


if __name__ == "__main__":
    for size in [int(a) for a in sys.argv[1:]] or [12, 24, 48]:
        measure(size)
