"""Each caller gets the whole answer to its own request, though frames are late,
doubled, swapped or cut, and peers freeze and wake."""
import signal
import time
import unittest

from fleet import Fleet, finish_load, policy, route
from frame_proxy import FrameProxy

READ = {"name": "read", "service": "shop", "path": "/read?ms=10&size=2000", "rate": 150,
        "timeout_ms": 1000, "resends": 2, "size": 2000}
ACK = {"name": "ack", "service": "shop", "method": "POST", "path": "/ack?ms=10", "rate": 80,
       "timeout_ms": 1000, "keyed": True, "resends": 5}
POLICY = policy("shop", routes=[route("/read", repeatable=True), route("/ack", priority=0)])


class Answers(unittest.TestCase):
    def run_through_proxies(self, set_faults, seed, during=None):
        with Fleet({"shop": {"targets": 3, "zones": ["a"]}}) as fleet:
            proxies = [FrameProxy(i.node_port, seed + n) for n, i in enumerate(fleet.instances)]
            listed = {i.id: p.port for i, p in zip(fleet.instances, proxies)}
            fleet.platform.publish({
                "number": 1, "service": "shop",
                "instances": [{**i.listed(), "port": listed[i.id]} for i in fleet.instances]})
            fleet.publish_ticket(1, [POLICY])
            fleet.wait_ticket(1)
            for proxy in proxies:
                set_faults(proxy)
            load = fleet.load([READ, ACK], [{"seconds": 5, "factor": 1}], seed, start_only=True)
            if during:
                during(fleet)
            totals = finish_load(load)
            starts = fleet.executions()
            doubled = [n for n, c in starts.items() if n.startswith("ack") and c > 1]
            print(f"  read {totals['read']['good']}/{totals['read']['requests']}, "
                  f"ack {totals['ack']['good']}/{totals['ack']['requests']}")
            self.assertEqual(sum(t["wrong_answers"] for t in totals.values()), 0)
            self.assertEqual(doubled, [])
            self.assertGreater(totals["read"]["good"], 0)
            kinds = {e["detail"] for i in fleet.instances for e in i.events("frame_rejected")}
            for proxy in proxies:
                proxy.close()
            return kinds

    def test_late_and_doubled(self):
        def faults(proxy):
            proxy.delay, proxy.double = 0.03, 0.3
        kinds = self.run_through_proxies(faults, 81)
        self.assertIn("reason=replayed", kinds)

    def test_swapped(self):
        def faults(proxy):
            proxy.swap = 0.1
        kinds = self.run_through_proxies(faults, 82)
        self.assertIn("reason=replayed", kinds)

    def test_cut_in_the_middle(self):
        def faults(proxy):
            proxy.cut = 0.01
        self.run_through_proxies(faults, 83)

    def test_peer_wakes_and_answers_old_calls(self):
        def freeze(fleet):
            time.sleep(1)
            for pause in (0.5, 1.2):
                fleet.instances[1].node.send_signal(signal.SIGSTOP)
                time.sleep(pause)
                fleet.instances[1].node.send_signal(signal.SIGCONT)
                time.sleep(0.3)
        self.run_through_proxies(lambda proxy: None, 84, freeze)


if __name__ == "__main__":
    unittest.main()
