"""Measures the dissemination of tickets over fleets of several sizes: the time until a
ticket is in force on the nodes, and per node the control traffic, processor time and memory,
with and without tickets, and the reads of the configuration service.

Usage: tickets.py [SIZES...]   (numbers of nodes; 12 24 48 by default)
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
INTERVAL_S = 0.25  # between two tickets


def measure_fleet(count):
    services = {f"s{n}": {"targets": count // 4} for n in range(4)}
    with Fleet(services, {"node": {"workers": 1}}, recording=False) as fleet:
        fleet.set_up([policy(f"s{n}") for n in range(4)])
        time.sleep(2)
        without_tickets = measure_rates(fleet, 6)
        published = {}

        def publish():
            for number in range(2, 2 + TICKETS):
                published[number] = time.time()
                fleet.publish_ticket(number, [policy("s0", slots=10 + number)])
                time.sleep(INTERVAL_S)
        with_tickets = measure_rates(fleet, 1, publish)
        fleet.wait_for_ticket(1 + TICKETS)
        delays = []
        for instance in fleet.instances:
            for event in instance.events("ticket"):
                number = int(event["detail"].split("=")[1])
                if number in published:
                    # The upper 48 bits of an event's time are Unix time in ms.
                    delays.append((event["time"] >> 16) / 1000 - published[number])
        expected = TICKETS * len(fleet.instances)
        memory = statistics.median(resident_mb(i.node) for i in fleet.instances)
        print(f"{count} nodes: in force {len(delays)} of {expected} times, median "
              f"{statistics.median(delays) * 1000:.0f} ms, last {max(delays) * 1000:.0f} ms; "
              f"without tickets {without_tickets}; with {1 / INTERVAL_S:.0f} tickets/s "
              f"{with_tickets}; {memory:.1f} MB a node")


# Runs the action, waits for `seconds` and returns the rates over
# the action and the wait as a text.
def measure_rates(fleet, seconds, action=None):
    def read_counters():
        rows = [i.admin("/v1/status") for i in fleet.instances]
        return (time.monotonic(), [r["control_bytes"] for r in rows],
                [cpu_seconds(i.node) for i in fleet.instances], len(fleet.platform.reads))
    first = read_counters()
    if action:
        action()
    time.sleep(seconds)
    last = read_counters()
    duration = last[0] - first[0]
    sent = [(b - a) / duration for a, b in zip(first[1], last[1])]
    cpu = [(b - a) / duration for a, b in zip(first[2], last[2])]
    return (f"[{statistics.mean(sent):.0f} B/s a node (most {max(sent):.0f}), "
            f"{statistics.mean(cpu):.2%} of a core (most {max(cpu):.2%}), "
            f"{(last[3] - first[3]) / duration:.1f} reads/s]")


if __name__ == "__main__":
    for size in [int(a) for a in sys.argv[1:]] or [12, 24, 48]:
        measure_fleet(size)
