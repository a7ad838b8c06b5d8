"""A node is killed while its server works; see claim.txt."""
import pathlib
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from deployment import call, route, run_case, troubled  # noqa: E402

FOLDER = pathlib.Path(__file__).resolve().parent
PAYMENTS, WORK_MS, KEY = 24, 4000, {"Authorization": "Bearer key-1"}
ALLOWED = 10  # of the rule, for machines out of touch


def play(deployment):
    desk, fees, ledger = deployment.machines
    tenants = [{"name": "town-hall", "api-keys": ["key-1"], "priority": 1}]
    deployment.configure([route("/fee/", "fees", "non_idempotent", timeout=6),
                          route("/ledger/", "ledger")], tenants=tenants)
    deployment.start()
    refused, answers = [], []

    def read_ledger(request, _headers):
        """The call that a payment makes, through the node of its own machine; without a key."""
        status = call(deployment, fees, "GET", "/ledger/1", f"{request}.1", 1500)
        if status in (401, 403, 404):
            refused.append(request)
        return 200 if status == 200 else 500

    fees.target.nested = read_ledger
    fees.target.drops = False  # most servers drop a request whose connection closes; not this one
    threads = [threading.Thread(target=lambda i=i: answers.append(call(
        deployment, desk, "POST", f"/fee/1?ms={WORK_MS}", f"fee-{i}", 6000, b"x", KEY)))
        for i in range(PAYMENTS)]
    for thread in threads:
        thread.start()
    time.sleep(1)
    if len(fees.target.runs) < PAYMENTS:
        return None
    if troubled():
        fees.signal(signal.SIGKILL)
        fees.process.wait()
        time.sleep(0.5)
        fees.start()
        deployment.wait_ready([fees])
    for thread in threads:
        thread.join()
    end = time.monotonic() + 10
    while len(fees.target.ends) < PAYMENTS and time.monotonic() < end:
        time.sleep(0.05)
    deployment.record.add(f"calls of running requests: {PAYMENTS}; ended with 401, 403 or 404 by "
                          f"the node: {len(refused)}")
    return len(refused) > ALLOWED


sys.exit(run_case(FOLDER, [("desk", "a"), ("fees", "b"), ("ledger", "c")], play,
                  {"revoke-s": 5, "strict-revoke": "true"}))
