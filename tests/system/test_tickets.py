"""Tickets are in force within 3 s everywhere and never revert; reads are few."""
import signal
import time
import unittest

from fleet import Fleet, http_call, policy, wait_for

LIMIT_S = 3.0


def in_force(fleet, service="s0"):
    return [next(t["number"] for t in i.admin("/v1/tickets") if t["service"] == service)
            for i in fleet.instances]


def big_fleet(count=24, settings=None):
    return Fleet({f"s{n}": {"targets": count // 4} for n in range(4)}, settings)


POLICIES = [policy(f"s{n}") for n in range(4)]


class Tickets(unittest.TestCase):
    def test_spread_outage_and_stale_platform(self):
        with big_fleet() as fleet:
            fleet.set_up(POLICIES)
            for number in range(2, 8):
                fleet.publish_ticket(number, [policy("s0", slots=10 + number)])
                begin = time.monotonic()
                fleet.wait_ticket(number)
                # Polling all nodes in turn takes part of this.
                print(f"  ticket {number} seen everywhere after {time.monotonic() - begin:.2f} s")
            self.check_reads(fleet)
            self.check_outage(fleet)
            self.check_restart_during_outage(fleet)

    def check_reads(self, fleet):
        # At most 200/s for a failing fleet, far fewer in good order.
        begin = time.monotonic()
        before = len(fleet.platform.reads)
        time.sleep(3)
        rate = (len(fleet.platform.reads) - before) / (time.monotonic() - begin)
        print(f"  {rate:.1f} reads/s by {len(fleet.instances)} nodes")
        self.assertLess(rate, 2 * 3 * 4, "two readers a zone, a watch of 1 s each")

    def check_outage(self, fleet):
        fleet.platform.set_mode("down")
        time.sleep(1)
        # Back with an older state: nothing reverts.
        fleet.platform.set_mode("ok", serve_only=len(fleet.platform.documents) - 3)
        time.sleep(2.5)
        self.assertEqual(set(in_force(fleet)), {7})
        fleet.platform.set_mode("garbage")
        time.sleep(1)
        fleet.platform.set_mode("half")
        time.sleep(1)
        self.assertEqual(set(in_force(fleet)), {7})

    def check_restart_during_outage(self, fleet):
        fleet.platform.set_mode("down")
        fresh = fleet.instances[5]
        fresh.node.kill()
        fresh.node.wait()
        fresh.start_node()
        wait_for(fresh.ready, 30)
        fleet.wait_ticket(7, [fresh])
        fleet.platform.set_mode("ok")
        fleet.publish_ticket(8, [policy("s0", slots=99)])
        fleet.wait_ticket(8)

    def test_readers_killed(self):
        with big_fleet(12) as fleet:
            fleet.set_up(POLICIES)
            time.sleep(2)
            reads = {i.id: i.admin("/v1/status")["platform_reads"] for i in fleet.instances}
            readers = sorted(fleet.instances, key=lambda i: -reads[i.id])[:6]
            for instance in readers:
                instance.node.kill()
                instance.node.wait()
            rest = [i for i in fleet.instances if i not in readers]
            fleet.publish_ticket(2, [policy("s0", slots=7)])
            fleet.wait_ticket(2, rest, 40)

    def test_zone_cut_and_healed(self):
        with big_fleet(12) as fleet:
            fleet.set_up(POLICIES)
            time.sleep(1)
            cut = [i for i in fleet.instances if i.zone == "a"]
            rest = [i for i in fleet.instances if i.zone != "a"]
            self.set_cut(cut, rest)
            # The cut zone still serves its callers.
            answer = http_call(cut[0].caller_port, "GET", "/work?id=z", {"Host": "s1"}, timeout=10)
            self.assertEqual(answer.status, 200)
            fleet.publish_ticket(2, [policy("s0", slots=7)])
            fleet.wait_ticket(2, rest)
            for instance in fleet.instances:
                instance.admin("/v1/test/cut", "POST", "[]")
            fleet.wait_ticket(2)

    @staticmethod
    def set_cut(cut, rest):
        for own, other in ((cut, rest), (rest, cut)):
            for instance in own:
                instance.admin("/v1/test/cut", "POST", str([i.node_port for i in other]))

    def test_two_operators_and_invalid_tickets(self):
        with big_fleet(12) as fleet:
            fleet.set_up(POLICIES)
            fleet.platform.publish("{ not a ticket")
            fleet.publish_ticket(3, [policy("s1", slots=5), {"name": "s0"}])
            fleet.publish_ticket(2, [policy("s0", slots=11)])
            fleet.publish_ticket(2, [policy("s0", slots=12)])
            fleet.publish_ticket(4, [policy("s2", slots=13)])
            fleet.wait_ticket(4)

            def agreed():
                states = {str(i.admin("/v1/tickets")) for i in fleet.instances}
                return len(states) == 1
            wait_for(agreed, 15, "the same winner on all nodes")
            rows = {t["service"]: t for t in fleet.instances[0].admin("/v1/tickets")}
            # An invalid ticket applies in no part.
            self.assertEqual(rows["s1"]["number"], 1)
            self.assertEqual(rows["s0"]["number"], 2)
            self.assertTrue(any(i.events("ticket_conflict") for i in fleet.instances))
            self.assertTrue(any(i.events("document_invalid") for i in fleet.instances))

    def test_frozen_node_catches_up(self):
        with big_fleet(8) as fleet:
            fleet.set_up(POLICIES)
            frozen = fleet.instances[3]
            frozen.node.send_signal(signal.SIGSTOP)
            rest = [i for i in fleet.instances if i is not frozen]
            for number in (2, 3, 4):
                fleet.publish_ticket(number, [policy("s0", slots=number)])
                fleet.wait_ticket(number, rest)
            frozen.node.send_signal(signal.SIGCONT)
            fleet.wait_ticket(4)


if __name__ == "__main__":
    unittest.main()
