"""Work that occupies a target must not hold up other work (long and short work have lanes:
some slots are kept for short work).

Guards against short requests that queue behind long ones, calls sent to a slowed target,
execution of calls that cannot finish before their deadline or whose caller has hung up,
and one team's overload that takes another team's capacity.
"""
import socket
import time
import unittest

from fleet import HOST, Fleet, finish_load, http_call, policy, route, wait_for


class IsolationOfWork(unittest.TestCase):
    ROUTES = [route("/arm", priority=4, repeatable=True),
              route("/firmware", priority=4, repeatable=True, long_work=True)]

    def test_long_work_leaves_slots_to_short(self):
        with Fleet({"devices": {"targets": 2, "slots": 6, "queue": 0}}) as fleet:
            fleet.set_up([policy("devices", slots=6, routes=self.ROUTES, timeout_ms=8000,
                                 max_wait_ms=8000)])
            load = fleet.load(
                [{"name": "long", "service": "devices", "path": "/firmware?ms=1000", "rate": 40,
                  "timeout_ms": 8000}], [{"seconds": 2.5, "factor": 1}], 61, start_only=True)
            time.sleep(1.2)
            # Long work occupies all the slots that it may take; some are left for short work.
            for _ in range(10):
                begin = time.monotonic()
                response = http_call(fleet.instances[0].caller_port, "GET", "/arm?ms=5&id=s",
                                     {"Host": "devices"})
                self.assertEqual(response.status, 200)
                self.assertLess(time.monotonic() - begin, 0.9, "waited for long work")
            total = finish_load(load)["long"]
            self.assertGreater(total["good"], 0, "long work was starved")

    def test_slowed_target_is_avoided(self):
        with Fleet({"events": {"targets": 3, "slots": 40, "zones": ["a"]}}) as fleet:
            fleet.set_up([policy("events", slots=40)])
            read = {"name": "read", "service": "events", "path": "/read?ms=20", "rate": 150,
                    "timeout_ms": 3000}
            fleet.load([read], [{"seconds": 1.5, "factor": 1}], 62, nodes=fleet.instances[:1])
            fleet.instances[2].control("slow=10")
            before = len(fleet.instances[2].executions())
            total = fleet.load([read], [{"seconds": 3, "factor": 1}], 63,
                               nodes=fleet.instances[:1])["read"]
            served = len(fleet.instances[2].executions()) - before
            print(f"  slowed target served {served} of {total['requests']}, "
                  f"p99 {total['p99_ms']:.0f} ms")
            # Less than half of an equal share.
            self.assertLess(served, total["requests"] / 3 / 2)

    def test_call_that_cannot_meet_its_deadline_is_not_started(self):
        with Fleet({"events": {"targets": 1, "slots": 4}}) as fleet:
            fleet.set_up([policy("events", slots=4)])
            load = [{"name": "read", "service": "events", "path": "/read?ms=100", "rate": 30,
                     "timeout_ms": 3000}]
            fleet.load(load, [{"seconds": 2, "factor": 1}], 64)
            response = http_call(fleet.instances[0].caller_port, "GET", "/read?ms=100&id=doomed",
                                 {"Host": "events", "X-Request-Timeout-Ms": "20"})
            self.assertEqual(response.headers["bilberrytally-verdict"], "not_run")
            self.assertEqual(fleet.executions()["doomed"], 0)

    def test_work_of_a_caller_that_hung_up_is_stopped(self):
        with Fleet({"front": {"targets": 1}, "deep": {"targets": 1}}) as fleet:
            fleet.set_up([policy("front"), policy("deep")])
            # The deep backend server is slowed down first, since the request can reach it
            # at once.
            fleet.instances_of("deep")[0].control("slow=100")  # 50 ms of work take 5 s
            with socket.create_connection((HOST, fleet.instances_of("front")[0].caller_port)
                                          ) as caller:
                caller.sendall(b"GET /work?ms=50&chain=deep&id=gone HTTP/1.1\r\nHost: front\r\n"
                               b"X-Request-Timeout-Ms: 20000\r\n\r\n")
                wait_for(lambda: fleet.executions()["gone"] == 2, 10)
            time.sleep(1)
            # No execution completes. The front backend server may see its nested call fail
            # before its own connection closes; it then records the execution as
            # ended and failed.
            self.assertNotIn("gone", fleet.instances_of("deep")[0].executions("end"))
            self.assertEqual(fleet.executions("end")["gone"], fleet.executions("failed")["gone"])
            for instance in fleet.instances:
                self.assertEqual(instance.admin("/v1/status")["calls_as_target"], 0)

    def test_one_team_cannot_take_anothers_capacity(self):
        with Fleet({"shop": {"targets": 2, "slots": 10}, "porch": {"targets": 2, "slots": 10}}
                   ) as fleet:
            fleet.set_up([policy("shop", team="harrowgate", slots=10, timeout_ms=500),
                          policy("porch", team="dzintarlauks", slots=10, timeout_ms=500)])
            quiet = {"name": "quiet", "service": "porch", "path": "/read?ms=10", "rate": 60,
                     "timeout_ms": 500}
            flood = {"name": "flood", "service": "shop", "path": "/read?ms=10", "rate": 6000,
                     "timeout_ms": 500}
            totals = fleet.load([quiet, flood], [{"seconds": 3, "factor": 1}], 65)
            share = {n: t["good"] / t["requests"] for n, t in totals.items()}
            print(f"  quiet={share['quiet']:.3f} flood={share['flood']:.3f}")
            self.assertGreater(share["quiet"], share["flood"])


if __name__ == "__main__":
    unittest.main()
