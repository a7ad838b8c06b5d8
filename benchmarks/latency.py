"""Measures the latency that two nodes add to a call, and a node's processor time per call,
its idle load and its resident memory.

Direct calls and calls through both nodes alternate in short windows, so that changes in the
machine's speed affect both alike.

Usage: latency.py [WINDOWS]
"""
import pathlib
import socket
import statistics
import sys
import time
import types

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests/system"))
from fleet import HOST, Fleet, policy  # noqa: E402

RATE = 281  # calls per s
SECONDS = 4  # of each window


# Processor time of a process in s, user and system; /proc counts in ticks of 10 ms.
def cpu_seconds(process):
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / 100


# Resident memory of a process in MiB (printed as MB).
def resident_mb(process):
    text = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    return int(text.split("VmRSS:")[1].split()[0]) / 1024


def run_load(fleet, node, rate, seed, seconds=SECONDS):
    plan = [{"name": "x", "service": "a", "path": "/work?ms=0", "rate": rate}]
    return fleet.load(plan, [{"seconds": seconds, "factor": 1}], seed, nodes=[node])["x"]


def main():
    windows = int(sys.argv[1]) if len(sys.argv) > 1 else 10
    services = {"a": {"targets": 2, "zones": ["a"], "slots": 200, "queue": 1000}}
    settings = {"node": {"workers": 1}}
    with Fleet(services, settings, recording=False) as fleet:
        fleet.set_up([policy("a", slots=200)])
        caller_side, target_side = fleet.instances
        # Marks the backend server beside the caller's node as leaving in the instance list,
        # so that each call goes through both nodes.
        caller_side.state = "leaving"
        fleet.publish_lists()
        time.sleep(1)
        resident_at_start = [resident_mb(i.node) for i in fleet.instances]
        direct_node = types.SimpleNamespace(caller_port=target_side.backend_port)
        rows = []
        for i in range(windows):
            direct = run_load(fleet, direct_node, RATE, 100 + i)
            proxied = run_load(fleet, caller_side, RATE, 200 + i)
            rows.append((direct, proxied))
        for quantile in ("p50_ms", "p99_ms"):
            direct = [d[quantile] for d, _ in rows]
            proxied = [p[quantile] for _, p in rows]
            added = [p - d for d, p in zip(direct, proxied)]
            print(f"{quantile} at {RATE} calls/s, median of {windows} windows of {SECONDS} s: "
                  f"direct {statistics.median(direct):.2f}, through both nodes "
                  f"{statistics.median(proxied):.2f}, added {statistics.median(added):.2f} "
                  f"(lowest {min(added):.2f}, highest {max(added):.2f})")
        for rate in (RATE, 1000, 2000, 4000, 6000, 8000):
            before = [cpu_seconds(i.node) for i in fleet.instances]
            begin = time.monotonic()
            total = run_load(fleet, caller_side, rate, rate)
            duration = time.monotonic() - begin
            cpu_used = [cpu_seconds(i.node) - b for i, b in zip(fleet.instances, before)]
            print(f"{rate} calls/s: good {total['good'] / total['requests']:.4f}, "
                  f"p50 {total['p50_ms']:.2f} ms, p99 {total['p99_ms']:.2f} ms, caller's node "
                  f"{cpu_used[0] / total['requests'] * 1e6:.0f} us a call "
                  f"({cpu_used[0] / duration:.0%} of a core), target's node "
                  f"{cpu_used[1] / total['requests'] * 1e6:.0f} us ({cpu_used[1] / duration:.0%})")
        idle = [cpu_seconds(i.node) for i in fleet.instances]
        time.sleep(5)
        idle = [(cpu_seconds(i.node) - b) / 5 for i, b in zip(fleet.instances, idle)]
        print("idle: " + ", ".join(f"{share:.2%} of a core" for share in idle))
        callers = [socket.create_connection((HOST, caller_side.caller_port)) for _ in range(930)]
        for caller in callers:
            caller.sendall(b"GET /work?id=1 HTTP/1.1\r\nHost: a\r\n\r\n")
        for caller in callers:
            caller.recv(1000)
        print("resident at rest: " + ", ".join(f"{mb:.1f} MB" for mb in resident_at_start)
              + f"; caller's node at 930 connections: {resident_mb(caller_side.node):.1f} MB")


if __name__ == "__main__":
    main()
