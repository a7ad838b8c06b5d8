"""Retries are bounded over the whole chain: dispatches <= first calls + R."""
import signal
import threading
import time
import unittest

from fleet import Fleet, http_call, policy

BUDGET = 3
FIRST_CALLS = 1 + 2 + 4 + 8
PATH = "/work?ms=2&chain=s2.s3.s4&fan=2"


def chain_fleet():
    return Fleet({name: {"targets": 2, "zones": ["a", "b"]} for name in ("s1", "s2", "s3", "s4")})


def set_up(fleet):
    fleet.set_up([policy(n, retry_budget=BUDGET, timeout_ms=1500)
                  for n in ("s1", "s2", "s3", "s4")])


class RetryBudget(unittest.TestCase):
    def send_roots(self, fleet, count, tag, timeout_ms=1500, pause=0.05):
        threads = []
        for i in range(count):
            port = fleet.of("s1")[i % 2].caller_port
            args = (port, "GET", f"{PATH}&id={tag}{i}",
                    {"Host": "s1", "X-Request-Timeout-Ms": str(timeout_ms)})
            threads.append(threading.Thread(target=self.send_one, args=args))
            threads[-1].start()
            time.sleep(pause)
        for thread in threads:
            thread.join()

    @staticmethod
    def send_one(*args):
        try:
            http_call(*args, timeout=20)
        except OSError:
            pass  # its node was killed

    def check(self, fleet, tag, count):
        starts = fleet.executions()
        per_root = [starts[f"{tag}{i}"] for i in range(count)]
        self.assertLessEqual(max(per_root), FIRST_CALLS + BUDGET, per_root)
        return per_root

    def test_deepest_service_fails(self):
        with chain_fleet() as fleet:
            set_up(fleet)
            for instance in fleet.of("s4"):
                instance.control("fail=1")
            self.send_roots(fleet, 30, "f")
            per_root = self.check(fleet, "f", 30)
            self.assertGreater(max(per_root), FIRST_CALLS, "no retry was made")

    def test_node_killed_and_answers_lost(self):
        with chain_fleet() as fleet:
            set_up(fleet)
            killer = threading.Timer(0.6, fleet.of("s3")[0].node.kill)
            killer.start()
            self.send_roots(fleet, 30, "k")
            killer.join()
            self.check(fleet, "k", 30)

    def test_callers_node_frozen_past_deadline(self):
        with chain_fleet() as fleet:
            set_up(fleet)
            frozen = fleet.of("s2")[0].node
            timers = [threading.Timer(0.4, frozen.send_signal, [signal.SIGSTOP]),
                      threading.Timer(1.6, frozen.send_signal, [signal.SIGCONT])]
            for timer in timers:
                timer.start()
            self.send_roots(fleet, 30, "z", timeout_ms=500)
            for timer in timers:
                timer.join()
            time.sleep(0.5)
            self.check(fleet, "z", 30)


if __name__ == "__main__":
    unittest.main()
