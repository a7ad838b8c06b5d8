"""A request that crashes backend servers crashes two of them at the most.

Guards against a crash request that takes down one instance after the other: by retries,
hedged attempts, or callers that send it again. It must be quarantined, and the requests
that were in flight beside it must not be.
"""
import threading
import time
import unittest

from fleet import Fleet, finish_load, http_call, policy, route, wait_for

POLICY = policy("events", slots=20, retry_budget=3, routes=[
    route("/", repeatable=True), route("/once")])


class Supervisor(threading.Thread):
    """Restarts backend servers that have crashed, as their platform does."""

    def __init__(self, fleet):
        super().__init__(daemon=True)
        self.fleet, self.crashes, self.stopped = fleet, 0, False

    def run(self):
        while not self.stopped:
            for instance in self.fleet.instances:
                if instance.backend.poll() is not None:
                    self.crashes += 1
                    time.sleep(0.3)
                    instance.start_backend()
            time.sleep(0.02)


class CrashRequests(unittest.TestCase):
    def send_crash_requests(self, method, path, headers):
        with Fleet({"events": {"targets": 5}}) as fleet:
            fleet.set_up([POLICY])
            supervisor = Supervisor(fleet)
            supervisor.start()
            load = fleet.load([{"name": "innocent", "service": "events", "path": "/read?ms=30",
                                "rate": 100, "timeout_ms": 2000, "resends": 4}],
                              [{"seconds": 8, "factor": 1}], 51, start_only=True)
            time.sleep(1)
            problems = []
            for i in range(14):
                instance = fleet.instances[i % 5]
                response = http_call(instance.caller_port, method, path,
                                     {"Host": "events", **headers(instance)}, timeout=20)
                problems.append(response.body.decode()[:200])
                time.sleep(0.25)
            total = finish_load(load)["innocent"]
            supervisor.stopped = True
            supervisor.join()
            print(f"  crashes={supervisor.crashes} innocent={total['good']}/{total['requests']}")
            self.assertGreaterEqual(supervisor.crashes, 1)
            self.assertLessEqual(supervisor.crashes, 2, problems)
            self.assertIn("quarantined", problems[-1])
            self.assertGreater(total["good"], 0.95 * total["requests"])
            # At most the crash request itself stays quarantined, not those in flight beside it.
            for instance in fleet.instances:
                quarantined = [r for r in instance.admin("/v1/quarantine") if r["strikes"] >= 2]
                self.assertLessEqual(len(quarantined), 1, quarantined)

    def test_repeatable(self):
        self.send_crash_requests("GET", "/read?crash=1&id=killer", lambda _: {})

    def test_repeatable_that_crashes_late(self):
        # Takes longer than the delay of a hedged attempt, so two attempts could run.
        self.send_crash_requests("GET", "/read?crash=1&ms=300&id=killer", lambda _: {})

    def test_non_repeatable_with_new_keys(self):
        def new_key(instance):
            response = http_call(instance.caller_port, "POST",
                                 "/.well-known/bilberrytally/idempotency-keys")
            return {"Idempotency-Key": response.headers["idempotency-key"]}
        self.send_crash_requests("POST", "/once?crash=1&id=killer", new_key)


if __name__ == "__main__":
    unittest.main()
