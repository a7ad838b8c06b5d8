"""Each caller gets the complete response to its own request.

Guards against mixed-up or incomplete responses, and against a second execution, when
frames between nodes are delayed, duplicated, reordered or truncated, and when a suspended
peer resumes and answers calls that were given up.
"""
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
    def run_through_proxies(self, set_faults, seed, disturb=None):
        with Fleet({"shop": {"targets": 3, "zones": ["a"]}}) as fleet:
            proxies = [FrameProxy(i.node_port, seed + n) for n, i in enumerate(fleet.instances)]
            proxy_ports = {i.id: p.port for i, p in zip(fleet.instances, proxies)}
            fleet.platform.publish({
                "number": 1, "service": "shop",
                "instances": [{**i.list_entry(), "port": proxy_ports[i.id]}
                              for i in fleet.instances]})
            fleet.publish_ticket(1, [POLICY])
            fleet.wait_for_ticket(1)
            for proxy in proxies:
                set_faults(proxy)
            load = fleet.load([READ, ACK], [{"seconds": 5, "factor": 1}], seed, start_only=True)
            if disturb:
                disturb(fleet)
            totals = finish_load(load)
            starts = fleet.executions()
            ran_twice = [n for n, c in starts.items() if n.startswith("ack") and c > 1]
            print(f"  read {totals['read']['good']}/{totals['read']['requests']}, "
                  f"ack {totals['ack']['good']}/{totals['ack']['requests']}")
            self.assertEqual(sum(t["wrong_answers"] for t in totals.values()), 0)
            self.assertEqual(ran_twice, [])
            self.assertGreater(totals["read"]["good"], 0)
            rejections = {e["detail"] for i in fleet.instances for e in i.events("frame_rejected")}
            for proxy in proxies:
                proxy.close()
            return rejections

    def test_delayed_and_duplicated_frames(self):
        def faults(proxy):
            proxy.delay_share, proxy.duplicate_share = 0.03, 0.3
        rejections = self.run_through_proxies(faults, 81)
        self.assertIn("reason=replayed", rejections)

    def test_reordered_frames(self):
        def faults(proxy):
            proxy.reorder_share = 0.1
        rejections = self.run_through_proxies(faults, 82)
        self.assertIn("reason=replayed", rejections)

    def test_connection_cut_inside_a_frame(self):
        def faults(proxy):
            proxy.truncate_share = 0.01
        self.run_through_proxies(faults, 83)

    def test_peer_resumes_and_answers_old_calls(self):
        def suspend(fleet):
            time.sleep(1)
            for pause in (0.5, 1.2):
                fleet.instances[1].node.send_signal(signal.SIGSTOP)
                time.sleep(pause)
                fleet.instances[1].node.send_signal(signal.SIGCONT)
                time.sleep(0.3)
        self.run_through_proxies(lambda proxy: None, 84, suspend)


if __name__ == "__main__":
    unittest.main()
