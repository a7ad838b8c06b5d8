"""The retry budget bounds a request's executions over its whole call graph.

Guards against retries that multiply from level to level: with retry budget R the executions
must not exceed first attempts + R, also when a node dies or resumes past the deadline.
"""
import signal
import threading
import time
import unittest

from fleet import Fleet, http_call, policy

BUDGET = 3
FIRST_ATTEMPTS = 1 + 2 + 4 + 8  # 4 levels; each call makes 2 nested calls (fan=2)
PATH = "/work?ms=2&chain=s2.s3.s4&fan=2"


def chain_fleet():
    return Fleet({name: {"targets": 2, "zones": ["a", "b"]} for name in ("s1", "s2", "s3", "s4")})


def set_up(fleet):
    fleet.set_up([policy(n, retry_budget=BUDGET, timeout_ms=1500)
                  for n in ("s1", "s2", "s3", "s4")])


class RetryBudget(unittest.TestCase):
    def send_requests(self, fleet, count, id_prefix, timeout_ms=1500, pause=0.05):
        threads = []
        for i in range(count):
            port = fleet.instances_of("s1")[i % 2].caller_port
            args = (port, "GET", f"{PATH}&id={id_prefix}{i}",
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
            pass  # the node of this caller was killed

    def check_executions(self, fleet, id_prefix, count):
        starts = fleet.executions()
        per_request = [starts[f"{id_prefix}{i}"] for i in range(count)]
        self.assertLessEqual(max(per_request), FIRST_ATTEMPTS + BUDGET, per_request)
        return per_request

    def test_deepest_service_fails(self):
        with chain_fleet() as fleet:
            set_up(fleet)
            for instance in fleet.instances_of("s4"):
                instance.control("fail=1")
            self.send_requests(fleet, 30, "f")
            per_request = self.check_executions(fleet, "f", 30)
            self.assertGreater(max(per_request), FIRST_ATTEMPTS, "no retry was made")

    def test_node_killed_and_answers_lost(self):
        with chain_fleet() as fleet:
            set_up(fleet)
            kill_timer = threading.Timer(0.6, fleet.instances_of("s3")[0].node.kill)
            kill_timer.start()
            self.send_requests(fleet, 30, "k")
            kill_timer.join()
            self.check_executions(fleet, "k", 30)

    def test_callers_node_suspended_past_deadline(self):
        with chain_fleet() as fleet:
            set_up(fleet)
            suspended = fleet.instances_of("s2")[0].node
            timers = [threading.Timer(0.4, suspended.send_signal, [signal.SIGSTOP]),
                      threading.Timer(1.6, suspended.send_signal, [signal.SIGCONT])]
            for timer in timers:
                timer.start()
            self.send_requests(fleet, 30, "z", timeout_ms=500)
            for timer in timers:
                timer.join()
            time.sleep(0.5)
            self.check_executions(fleet, "z", 30)


if __name__ == "__main__":
    unittest.main()
