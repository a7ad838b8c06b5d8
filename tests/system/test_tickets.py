"""Tickets reach all nodes and never revert, with few reads of the configuration service.

Guards against nodes that miss or go back from a ticket while the configuration service fails
or shows an older state, the watching nodes die, a zone is cut off, a node is suspended or
restarted, or operators publish conflicting or invalid tickets.
"""
import signal
import time
import unittest

from fleet import Fleet, http_call, policy, wait_for

LIMIT_S = 3.0


def numbers_in_force(fleet, service="s0"):
    return [next(t["number"] for t in i.admin("/v1/tickets") if t["service"] == service)
            for i in fleet.instances]


def four_service_fleet(count=24, settings=None):
    return Fleet({f"s{n}": {"targets": count // 4} for n in range(4)}, settings)


POLICIES = [policy(f"s{n}") for n in range(4)]


class Tickets(unittest.TestCase):
    def test_spread_outage_and_stale_service(self):
        with four_service_fleet() as fleet:
            fleet.set_up(POLICIES)
            for number in range(2, 8):
                fleet.publish_ticket(number, [policy("s0", slots=10 + number)])
                begin = time.monotonic()
                fleet.wait_for_ticket(number)
                # Includes the time that polling all nodes in turn takes.
                print(f"  ticket {number} seen everywhere after {time.monotonic() - begin:.2f} s")
            self.check_read_rate(fleet)
            self.check_outage(fleet)
            self.check_restart_during_outage(fleet)

    def check_read_rate(self, fleet):
        # The limit for a failing fleet is 200 reads/s; a healthy one needs far fewer.
        begin = time.monotonic()
        before = len(fleet.platform.reads)
        time.sleep(3)
        rate = (len(fleet.platform.reads) - before) / (time.monotonic() - begin)
        print(f"  {rate:.1f} reads/s by {len(fleet.instances)} nodes")
        self.assertLess(rate, 2 * 3 * 4,
                        "4 times two watchers in each of 3 zones, a watch of 1 s each")

    def check_outage(self, fleet):
        fleet.platform.set_mode("down")
        time.sleep(1)
        # The service is back with an older state: no ticket reverts.
        fleet.platform.set_mode("ok", visible_count=len(fleet.platform.documents) - 3)
        time.sleep(2.5)
        self.assertEqual(set(numbers_in_force(fleet)), {7})
        fleet.platform.set_mode("garbage")
        time.sleep(1)
        fleet.platform.set_mode("half")
        time.sleep(1)
        self.assertEqual(set(numbers_in_force(fleet)), {7})

    def check_restart_during_outage(self, fleet):
        fleet.platform.set_mode("down")
        restarted = fleet.instances[5]
        restarted.node.kill()
        restarted.node.wait()
        restarted.start_node()
        wait_for(restarted.ready, 30)
        fleet.wait_for_ticket(7, [restarted])
        fleet.platform.set_mode("ok")
        fleet.publish_ticket(8, [policy("s0", slots=99)])
        fleet.wait_for_ticket(8)

    def test_reading_nodes_killed(self):
        with four_service_fleet(12) as fleet:
            fleet.set_up(POLICIES)
            time.sleep(2)
            reads = {i.id: i.admin("/v1/status")["platform_reads"] for i in fleet.instances}
            # Two watchers in each of 3 zones.
            watchers = sorted(fleet.instances, key=lambda i: -reads[i.id])[:6]
            for instance in watchers:
                instance.node.kill()
                instance.node.wait()
            others = [i for i in fleet.instances if i not in watchers]
            fleet.publish_ticket(2, [policy("s0", slots=7)])
            fleet.wait_for_ticket(2, others, 40)

    def test_zone_partitioned_and_rejoined(self):
        with four_service_fleet(12) as fleet:
            fleet.set_up(POLICIES)
            time.sleep(1)
            cut_off = [i for i in fleet.instances if i.zone == "a"]
            others = [i for i in fleet.instances if i.zone != "a"]
            self.partition(cut_off, others)
            # The zone that is cut off still serves its callers.
            response = http_call(cut_off[0].caller_port, "GET", "/work?id=z", {"Host": "s1"},
                                 timeout=10)
            self.assertEqual(response.status, 200)
            fleet.publish_ticket(2, [policy("s0", slots=7)])
            fleet.wait_for_ticket(2, others)
            for instance in fleet.instances:
                instance.admin("/v1/test/cut", "POST", "[]")
            fleet.wait_for_ticket(2)

    @staticmethod
    def partition(cut_off, others):
        for side, other_side in ((cut_off, others), (others, cut_off)):
            for instance in side:
                instance.admin("/v1/test/cut", "POST", str([i.node_port for i in other_side]))

    def test_two_operators_and_invalid_tickets(self):
        with four_service_fleet(12) as fleet:
            fleet.set_up(POLICIES)
            fleet.platform.publish("{ not a ticket")
            fleet.publish_ticket(3, [policy("s1", slots=5), {"name": "s0"}])
            fleet.publish_ticket(2, [policy("s0", slots=11)])
            fleet.publish_ticket(2, [policy("s0", slots=12)])
            fleet.publish_ticket(4, [policy("s2", slots=13)])
            fleet.wait_for_ticket(4)

            def same_tickets():
                states = {str(i.admin("/v1/tickets")) for i in fleet.instances}
                return len(states) == 1
            wait_for(same_tickets, 15, "the same tickets on all nodes")
            rows = {t["service"]: t for t in fleet.instances[0].admin("/v1/tickets")}
            # No part of an invalid ticket is applied.
            self.assertEqual(rows["s1"]["number"], 1)
            self.assertEqual(rows["s0"]["number"], 2)
            self.assertTrue(any(i.events("ticket_conflict") for i in fleet.instances))
            self.assertTrue(any(i.events("document_invalid") for i in fleet.instances))

    def test_frozen_node_catches_up(self):
        with four_service_fleet(8) as fleet:
            fleet.set_up(POLICIES)
            suspended = fleet.instances[3]
            suspended.node.send_signal(signal.SIGSTOP)
            others = [i for i in fleet.instances if i is not suspended]
            for number in (2, 3, 4):
                fleet.publish_ticket(number, [policy("s0", slots=number)])
                fleet.wait_for_ticket(number, others)
            suspended.node.send_signal(signal.SIGCONT)
            fleet.wait_for_ticket(4)


if __name__ == "__main__":
    unittest.main()
