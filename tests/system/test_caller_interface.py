"""Settings, command lines, caller interface, node ports, admin API and bilberrytally-ctl.

Guards against bad input that is accepted, misreported or stops a node: unusable settings,
oversize and stalled requests, random bytes and frames under another key on a node's ports,
wrong tokens and invalid tickets.
"""
import json
import pathlib
import random
import re
import socket
import subprocess
import time
import unittest

from fleet import (CTL, HOST, NODE, OPERATOR, READER, ROOT, Fleet, http_call, policy, route,
                   wait_for)


class Settings(unittest.TestCase):
    def check_file(self, text):
        file = pathlib.Path(self.folder) / "node.ini"
        file.write_text(text)
        completed = subprocess.run([NODE, "--settings", file, "--check-settings"],
                                   capture_output=True, text=True, timeout=10)
        return completed.returncode, completed.stdout + completed.stderr

    def test_errors_name_the_place(self):
        import tempfile
        with tempfile.TemporaryDirectory() as self.folder:
            valid = (ROOT / "docs/samples/node.ini").read_text()
            self.assertEqual(self.check_file(valid)[0], 0)
            cases = {
                valid.replace("workers = 2", "workers = two"): "[node] workers: expected a whole",
                valid.replace("workers = 2", "workers = 1000"): "1 to 64",
                valid.replace("workers = 2", "wrokers = 2"): "[node] wrokers: unknown key",
                valid.replace("zone = north-mill-a\n", ""): "[node] zone: missing",
                valid + "\n[node]\nzone = x\n": "duplicate",
                valid + "\nno key here\n": "expected [section]",
                valid.replace("test_hooks = false", "test_hooks = maybe"): "true or false"}
            for text, message in cases.items():
                code, output = self.check_file(text)
                self.assertEqual(code, 2, message)
                self.assertIn(message, output)
                self.assertIn("node.ini", output)

    def test_long_lists_of_seeds_are_complete(self):
        import tempfile
        with tempfile.TemporaryDirectory() as self.folder:
            valid = (ROOT / "docs/samples/node.ini").read_text()
            seeds = ",".join(f"10.0.0.{i}:7000" for i in range(100))
            code, output = self.check_file(re.sub("seeds = .*", "seeds = " + seeds, valid))
            # A long list must not be truncated silently.
            self.assertEqual(code, 0, output)

    def test_command_lines(self):
        for program in (NODE, CTL):
            self.assertIn("Usage", subprocess.run([program, "--help"], capture_output=True,
                                                  text=True).stdout)
            self.assertIn("0.1", subprocess.run([program, "--version"], capture_output=True,
                                                text=True).stdout)
            self.assertEqual(subprocess.run([program, "--nonsense"], capture_output=True
                                            ).returncode, 2)


class CallerInterface(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = Fleet({"events": {"targets": 3}},
                          {"caller": {"max_body_bytes": 10000, "max_header_bytes": 2000,
                                      "read_timeout_ms": 700}})
        cls.fleet.__enter__()
        cls.addClassCleanup(cls.fleet.__exit__)
        cls.fleet.set_up([policy("events", routes=[route("/", repeatable=True)])])

    def call(self, method="GET", path="/work?id=1", headers=None, body=None, instance_index=0):
        return http_call(self.fleet.instances[instance_index].caller_port, method, path,
                         {"Host": "events", **(headers or {})}, body)

    def test_bad_requests(self):
        self.assertEqual(self.call(headers={"Host": "nobody"}).status, 404)
        self.assertEqual(self.call("POST", body=b"x" * 20000).status, 413)
        self.assertEqual(self.call(headers={"X-Long": "x" * 3000}).status, 431)
        timed_out = self.call(path="/work?ms=2000&id=late", headers={"X-Request-Timeout-Ms": "100"})
        self.assertEqual((timed_out.status, timed_out.headers["bilberrytally-verdict"]),
                         (504, "may_have_run"))
        self.assertEqual(timed_out.headers["content-type"], "application/problem+json")
        self.assertEqual(json.loads(timed_out.body)["status"], 504)

    def test_stalled_caller_is_timed_out(self):
        with socket.create_connection((HOST, self.fleet.instances[0].caller_port)) as caller:
            caller.sendall(b"GET / HTTP/1.1\r\nHost: ev")
            caller.settimeout(10)
            self.assertEqual(caller.recv(100), b"")

    def test_keep_alive_methods_and_headers(self):
        import http.client
        connection = http.client.HTTPConnection(HOST, self.fleet.instances[1].caller_port)
        for method in ("GET", "POST", "PUT", "DELETE", "PATCH"):
            connection.request(method, f"/work?id={method}", body=b"b" if method != "GET" else None,
                               headers={"Host": "events:8080"})
            response = connection.getresponse()
            self.assertEqual((response.status, response.read()), (200, f"id={method}\n".encode()))
        connection.request("HEAD", "/work?id=head", headers={"Host": "events"})
        self.assertEqual(connection.getresponse().status, 200)
        connection.close()

    def test_large_responses_are_complete(self):
        for instance_index in range(3):
            response = self.call(path="/work?size=5000000&id=big",
                                 instance_index=instance_index)
            self.assertEqual((response.status, len(response.body)), (200, 5000000))

    def test_garbage_between_nodes(self):
        rng = random.Random(71)
        victim = self.fleet.instances[0]
        # The magic number, whose first byte is the version, and the next 4 bytes.
        header_start = b"\x01\x4c\x54\x42" + bytes([2, 0, 0, 0])
        for _ in range(150):
            with socket.create_connection((HOST, victim.node_port)) as peer:
                head = header_start if rng.random() < 0.5 else b""
                peer.sendall(head + rng.randbytes(rng.randrange(1, 400)))
        with socket.socket(type=socket.SOCK_DGRAM) as peer:
            for _ in range(150):
                peer.sendto(rng.randbytes(rng.randrange(0, 1400)), (HOST, victim.node_port))
        # A header with an oversize length, and one with an old version.
        for start in (header_start + b"\xff\xff\xff\xff" + bytes(60),
                      b"\x00" + header_start[1:] + bytes(64)):
            with socket.create_connection((HOST, victim.node_port)) as peer:
                peer.sendall(start)
                peer.settimeout(10)
                self.assertEqual(peer.recv(100), b"")
        self.assertIsNone(victim.node.poll())
        wait_for(lambda: victim.events("frame_rejected"), 10)
        self.assertEqual(self.call(instance_index=0).status, 200)

    def test_wrong_node_key_is_refused(self):
        wrong_key_instance = self.fleet.instances[2]
        text = wrong_key_instance.settings().replace("key = a-shared", "key = another")
        wrong_key_instance.node.kill()
        wrong_key_instance.node.wait()
        file = self.fleet.folder / "wrong-key.ini"
        file.write_text(text)
        wrong_key_instance.node = wrong_key_instance.spawn([NODE, "--settings", str(file)])
        wait_for(wrong_key_instance.ready, 20)
        wait_for(lambda: any("bad_tag" in e["detail"]
                             for e in self.fleet.instances[0].events("frame_rejected")), 20)
        wrong_key_instance.node.kill()
        wrong_key_instance.node.wait()
        wrong_key_instance.start_node()
        wait_for(wrong_key_instance.ready, 20)

    def test_administration(self):
        port = self.fleet.instances[0].admin_port
        self.assertEqual(http_call(port, "GET", "/v1/status").status, 401)
        wrong = {"Authorization": "Bearer wrong-token!"}
        self.assertEqual(http_call(port, "GET", "/v1/status", wrong).status, 401)
        reader = {"Authorization": f"Bearer {READER}"}
        for path in ("/v1/status", "/v1/tickets", "/v1/targets", "/v1/calls", "/v1/quarantine",
                     "/v1/timeline?most=5", "/metrics"):
            self.assertEqual(http_call(port, "GET", path, reader).status, 200, path)
        self.assertEqual(http_call(port, "POST", "/v1/drain", reader).status, 403)
        self.assertEqual(http_call(port, "GET", "/v1/nothing", reader).status, 404)
        self.call(instance_index=0)
        metrics = http_call(port, "GET", "/metrics", reader).body.decode()
        self.assertIn("bilberrytally_requests_total", metrics)
        drained = self.fleet.instances[1]
        drained.admin("/v1/drain", "POST")
        self.assertTrue(drained.admin("/v1/status")["draining"])
        drained.admin("/v1/undrain", "POST")
        self.assertFalse(drained.admin("/v1/status")["draining"])

    def ctl(self, *arguments):
        nodes = ",".join(f"{HOST}:{i.admin_port}" for i in self.fleet.instances)
        completed = subprocess.run([CTL, "--nodes", nodes, "--token", OPERATOR, *arguments],
                                   capture_output=True, text=True, timeout=60)
        return completed.returncode, completed.stdout + completed.stderr

    def test_ctl(self):
        code, output = self.ctl("status")
        self.assertEqual(code, 0)
        self.assertIn("events-0", output)
        code, output = self.ctl("--json", "status")
        self.assertEqual(len(json.loads(output)), 3)
        self.assertEqual(self.ctl("in-force", "1")[0], 0)
        code, output = self.ctl("in-force", "99")
        self.assertEqual(code, 1)
        self.assertIn("events-1", output)
        file = self.fleet.folder / "ticket.json"
        file.write_text(json.dumps({"number": 5, "services": [policy("events", slots=33)]},
                                   indent=1))
        code, output = self.ctl("check", str(file))
        self.assertEqual(code, 0, output)
        self.assertIn("slots: 20 -> 33", output)
        file.write_text('{"number": 5,\n "services": [{"name": 4}]}')
        code, output = self.ctl("check", str(file))
        self.assertEqual(code, 2)
        self.assertIn("ticket.services[0].name: expected a text", output)
        file.write_text('{"number": 5,\n "services": [}')
        self.assertIn("line 2", self.ctl("check", str(file))[1])
        code, output = self.ctl("timeline", "--kind", "ticket")
        self.assertEqual(code, 0)
        times = [line.split()[0] for line in output.splitlines()]
        self.assertEqual(times, sorted(times))
        self.assertGreaterEqual(len(times), 3)
        self.assertEqual(self.ctl("nonsense")[0], 2)


if __name__ == "__main__":
    unittest.main()
