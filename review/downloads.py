"""Not a case, see REPORT-2.md: clients of one machine download large answers at the same time.

Exits with 3 if nodes of two machines were killed three times for their memory (rule Fault), with 0
if not, and with 2 if it could not run.
"""
import pathlib
import sys
import tempfile
import threading
import time

from deployment import call, route, run_case, troubled
from memory_limit import MemoryLimit

FOLDER = pathlib.Path(tempfile.mkdtemp(prefix="bilberrytally-downloads-"))
DESKS, VAULTS, ROUNDS, PAUSE_S = 2, 12, 18, 2.5
CLIENTS = 40
ANSWER_BYTES = 30 << 20
# The rule: on a tenth of the machines, two at least, processes end three times.
ENDS, MACHINES = 3, 2


def play(deployment):
    desks = deployment.machines[:DESKS]
    deployment.configure([route("/file/", "vault", "download", timeout=8),
                          route("/ack/", "vault", "non_idempotent", timeout=8)])
    deployment.start()
    limit = MemoryLimit(deployment)
    downloads, acks = [], []

    def download(desk, name):
        downloads.append(call(deployment, desk, "GET", f"/file/1?ms=300&size={ANSWER_BYTES}",
                              f"file-{desk.instance}-{name}", 8000))

    def acknowledge(desk, name):
        acks.append(call(deployment, desk, "POST", "/ack/1?ms=1500",
                         f"ack-{desk.instance}-{name}", 8000, b"x"))

    for number in range(ROUNDS):
        desk = desks[number % DESKS]
        # The documents of the route differ in size.
        call(deployment, desk, "GET", "/file/2?ms=1", f"small-{number}")
        threads = [threading.Thread(target=acknowledge, args=(desk, f"{number}-{i}"))
                   for i in range(5)]
        for thread in threads:
            thread.start()
        time.sleep(0.3)
        clients = [threading.Thread(target=download, args=(desk, f"{number}-{i}"))
                   for i in range(CLIENTS if troubled() else 4)]
        threads += clients
        for thread in clients:
            thread.start()
            if not troubled():
                thread.join()
        for thread in threads:
            thread.join()
        time.sleep(PAUSE_S)
    limit.close()
    for machine in deployment.machines:
        deployment.record.add(f"node of {machine.instance} ({machine.service}): at most "
                              f"{limit.peaks[machine] >> 20} MB seen, ended "
                              f"{limit.ends.get(machine, 0)} times")
    for name, statuses in (("files", downloads), ("acknowledgements", acks)):
        deployment.record.add(f"{name}: " + ", ".join(
            f"{statuses.count(s)} x {s or 'no answer'}" for s in sorted(set(statuses))))
    print((FOLDER / "record.txt").read_text().splitlines()[-2:])
    ended = [m for m in deployment.machines if limit.ends.get(m, 0) >= ENDS]
    return len(ended) >= MACHINES


sys.exit(run_case(FOLDER, [("desk", "ab"[i]) for i in range(DESKS)] +
                  [("vault", "ab"[i % 2]) for i in range(VAULTS)], play))
