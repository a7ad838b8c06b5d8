"""Under overload the least important work is shed first, at a target and along a call chain.

Guards against priority inversion: a call refused for load while a less important one waits
at the same target, or nested calls that lose the priority of their root request.
"""
import time
import unittest

from fleet import Fleet, finish_load, policy, route

ROUTES = [route("/ack", priority=0, repeatable=True), route("/read", priority=4, repeatable=True),
          route("/bulk", priority=8, repeatable=True)]


def policies(**options):
    return [policy(n, slots=8, routes=ROUTES, timeout_ms=600, **options) for n in ("shop", "deep")]


def load_classes(important, other, chain="deep"):
    rates = {"ack": important, "read": other, "bulk": other}
    return [{"name": n, "service": "shop", "path": f"/{n}?ms=10&chain={chain}", "rate": r,
             "timeout_ms": 600} for n, r in rates.items()]


def refusals(fleet):
    """Returns (time, instance, detail) of each call that a target refused."""
    rows = []
    for instance in fleet.instances:
        rows += [(e["time"], instance.id, e["detail"]) for e in instance.events("refuse")]
    return rows


class Priority(unittest.TestCase):
    def surge(self, factor, seed):
        # Two services of 3 targets with 8 slots each; a call takes 10 ms, at shop 20 ms with
        # its nested call.
        with Fleet({n: {"targets": 3, "slots": 8} for n in ("shop", "deep")}) as fleet:
            fleet.set_up(policies())
            capacity = 3 * 8 / 0.022  # calls per s
            totals = fleet.load(
                load_classes(capacity * 0.25, capacity * 0.375 * (factor - 0.25)),
                [{"seconds": 4, "factor": 1}], seed)
            share = {n: t["good"] / t["requests"] for n, t in totals.items()}
            print(f"  {factor}x: " + " ".join(f"{n}={s:.4f}" for n, s in share.items()))
            # The order of the shares must hold at any speed of the machine.
            self.assertGreaterEqual(share["ack"], share["read"])
            self.assertGreaterEqual(share["read"] + 0.02, share["bulk"])
            self.check_no_inversion(fleet)
            return share

    def check_no_inversion(self, fleet):
        """Checks that no less important call waits at a target that refuses one for load."""
        for instance in fleet.instances:
            for event in instance.events("refuse"):
                detail = dict(part.split("=") for part in event["detail"].split())
                if detail["reason"] == "overload":
                    self.assertGreaterEqual(int(detail["worst_waiting"]), 0)
                    self.assertLessEqual(int(detail["worst_waiting"]), int(detail["priority"]),
                                         event)

    def test_surge_3x(self):
        self.surge(3, 31)

    def test_surge_10x(self):
        self.surge(10, 32)

    def test_priorities_changed_mid_surge(self):
        with Fleet({n: {"targets": 3, "slots": 8} for n in ("shop", "deep")}) as fleet:
            fleet.set_up(policies())
            load = fleet.load(load_classes(300, 900), [{"seconds": 6, "factor": 1}], 33,
                              start_only=True)
            time.sleep(2.5)
            swapped = [route("/ack", priority=8, repeatable=True),
                       route("/bulk", priority=0, repeatable=True)]
            fleet.publish_ticket(2, [policy(n, slots=8, routes=swapped, timeout_ms=600)
                                     for n in ("shop", "deep")])
            totals = finish_load(load)
            after_swap = {n: share_after(totals[n], 40) for n in ("ack", "bulk")}
            print(f"  after the swap: {after_swap}")
            self.assertGreater(after_swap["bulk"], after_swap["ack"])


# Share of good requests from one slice (0.1 s) on.
def share_after(total, first_slice):
    rows = [r for r in total["slices"] if r[0] >= first_slice]
    return sum(r[2] for r in rows) / max(1, sum(r[1] for r in rows))


if __name__ == "__main__":
    unittest.main()
