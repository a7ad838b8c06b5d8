"""Non-repeatable requests run at most once, and the verdict not_run is always true.

Guards against a second execution of a request that is sent again with its idempotency key
while nodes and backend servers are killed, suspended, partitioned and restarted, and while
the instance list lags and so moves the home of a key (the node that keeps its record) at
different times.
"""
import collections
import random
import signal
import threading
import time
import unittest

from fleet import Fleet, finish_load, http_call, policy, route, wait_for

SECONDS = 8
REPEATABLE = {"name": "read", "service": "ledger", "path": "/read?ms=20", "rate": 40,
              "timeout_ms": 800, "resends": 3}
CLIENT_KEY = {"name": "own", "service": "ledger", "method": "POST", "path": "/ack?ms=20",
              "rate": 60, "timeout_ms": 800, "keyed": True, "resends": 10}
ISSUED_KEY = {"name": "issued", "service": "ledger", "method": "POST", "path": "/ack?ms=20",
              "rate": 60, "timeout_ms": 800, "issued_key": True, "resends": 10}
POLICY = policy("ledger", routes=[route("/read", repeatable=True), route("/ack", priority=0)])


def read_outcomes(file):
    """Returns request id -> verdicts of its sends, in order."""
    verdicts = collections.defaultdict(list)
    for line in file.read_text().splitlines():
        name, _, outcome = line.split()
        verdicts[name].append(outcome.split("/")[0])
    return verdicts


class AtMostOnce(unittest.TestCase):
    def check_executions(self, fleet, outcomes):
        starts = fleet.executions()
        ran_twice = [n for n, c in starts.items() if not n.startswith("read") and c > 1]
        self.assertEqual(ran_twice, [], "requests that ran twice")
        false_not_run = [
            name for name, verdicts in read_outcomes(outcomes).items()
            if not name.startswith("read") and verdicts[-1] == "not_run" and starts[name] > 0]
        self.assertEqual(false_not_run, [], "verdict not_run for requests that ran")
        not_recorded = [name for name, verdicts in read_outcomes(outcomes).items()
                        if "ran" in verdicts and starts[name] == 0]
        self.assertEqual(not_recorded, [], "verdict ran for requests without a recorded execution")

    def run_with_faults(self, inject_faults, seed):
        with Fleet({"ledger": {"targets": 6}}) as fleet:
            fleet.set_up([POLICY])
            outcomes = fleet.folder / "outcomes"
            load = fleet.load([REPEATABLE, CLIENT_KEY, ISSUED_KEY],
                              [{"seconds": SECONDS, "factor": 1}], seed, outcomes=outcomes,
                              start_only=True)
            time.sleep(1)
            inject_faults(fleet, random.Random(seed))
            totals = finish_load(load)
            self.assertEqual(sum(t["wrong_answers"] for t in totals.values()), 0)
            self.assertGreater(totals["own"]["good"], 0)
            self.assertGreater(totals["issued"]["good"], 0)
            self.check_executions(fleet, outcomes)
            for name in ("own", "issued"):
                total = totals[name]
                print(f"  {name}: {total['good']} of {total['requests']} good")

    def test_kills_and_replacements(self):
        def inject_faults(fleet, rng):
            for _ in range(4):
                victim = rng.choice(fleet.instances)
                role = rng.choice(["node", "backend"])
                process = getattr(victim, role)
                process.kill()
                process.wait()
                time.sleep(0.6)
                getattr(victim, "start_" + role)()
                time.sleep(0.6)
        self.run_with_faults(inject_faults, 11)

    def test_freezes(self):
        def inject_faults(fleet, rng):
            for pause in (0.4, 1.0, 2.0):
                victim = rng.choice(fleet.instances)
                process = getattr(victim, rng.choice(["node", "backend"]))
                process.send_signal(signal.SIGSTOP)
                time.sleep(pause)
                process.send_signal(signal.SIGCONT)
                time.sleep(0.3)
        self.run_with_faults(inject_faults, 12)

    def test_cuts_and_lagging_list(self):
        def inject_faults(fleet, _):
            halves = fleet.instances[:3], fleet.instances[3:]
            for side, other_side in (halves, halves[::-1]):
                for instance in side:
                    ports = str([i.node_port for i in other_side])
                    instance.admin("/v1/test/cut", "POST", ports)
            # The new list moves the homes of keys, and the two halves receive it late.
            fleet.instances[5].state = "leaving"
            fleet.publish_lists()
            time.sleep(2.5)
            for instance in fleet.instances:
                instance.admin("/v1/test/cut", "POST", "[]")
            # Publishes a list without one instance; it is put back for the later checks.
            removed = fleet.instances.pop(0)
            fleet.publish_lists()
            time.sleep(1)
            fleet.instances.insert(0, removed)
        self.run_with_faults(inject_faults, 13)


class KeyRules(unittest.TestCase):
    def send(self, instance, key=None, send_number=None, name="k", body=None):
        headers = {"Host": "ledger"}
        if key:
            headers["Idempotency-Key"] = key
        if send_number:
            headers["Idempotency-Attempt"] = str(send_number)
        return http_call(instance.caller_port, "POST", f"/ack?id={name}", headers, body)

    def test_keys(self):
        with Fleet({"ledger": {"targets": 3}}) as fleet:
            fleet.set_up([POLICY])
            one, two, three = fleet.instances
            refused = self.send(one)
            self.assertEqual((refused.status, refused.headers["bilberrytally-verdict"]),
                             (428, "not_run"))
            key = refused.headers["idempotency-key"]
            responses = [self.send(i, key, name="x") for i in (two, three, one, two)]
            self.assertEqual({a.status for a in responses}, {200})
            self.assertEqual(fleet.executions()["x"], 1)
            # The same key with another request.
            self.assertEqual(self.send(two, key, name="y").status, 422)
            # A key that no node issued.
            self.assertEqual(self.send(two, key[:-1] + "0123456789abcdef"[key[-1] == "0"]).status,
                             400)
            # Client-supplied keys: only send number 1 may run, and not after a later
            # send has overtaken it.
            overtaken = [self.send(i, "own-1", n, "o").headers["bilberrytally-verdict"]
                         for i, n in ((one, 2), (two, 1), (three, 3))]
            self.assertEqual(overtaken, ["may_have_run"] * 3)
            self.assertEqual(fleet.executions()["o"], 0)
            in_order = [self.send(i, "own-2", n, "p").status for i, n in ((one, 1), (two, 2))]
            self.assertEqual(in_order, [200, 200])
            self.assertEqual(fleet.executions()["p"], 1)
            # The home of an issued key restarts and so has lost its records: the
            # request is never run.
            self.check_restarted_home(fleet)

    def check_restarted_home(self, fleet):
        home, other, _ = fleet.instances
        key = self.send(home).headers["idempotency-key"]
        home.node.kill()
        home.node.wait()
        home_down = self.send(other, key, name="r")
        self.assertEqual(home_down.headers["bilberrytally-verdict"], "may_have_run")
        home.start_node()
        wait_for(home.ready, 30)
        home_restarted = self.send(other, key, name="r")
        self.assertEqual(home_restarted.headers["bilberrytally-verdict"], "may_have_run")
        self.assertEqual(fleet.executions()["r"], 0)

    def test_concurrent_sends_join(self):
        with Fleet({"ledger": {"targets": 3}}) as fleet:
            fleet.set_up([POLICY])
            key = self.send(fleet.instances[0]).headers["idempotency-key"]
            responses = []

            def send(instance):
                responses.append(http_call(instance.caller_port, "POST", "/ack?ms=300&id=j",
                                           {"Host": "ledger", "Idempotency-Key": key}))
            threads = [threading.Thread(target=send, args=(fleet.instances[i % 3],))
                       for i in range(9)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            self.assertEqual([a.status for a in responses], [200] * 9)
            self.assertEqual(fleet.executions()["j"], 1)


if __name__ == "__main__":
    unittest.main()
