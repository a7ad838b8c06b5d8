"""Starts nodes and stand-ins as real processes on loopback, and ends them."""
import collections
import http.client
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time

from platform_standin import Platform

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
BUILD = pathlib.Path(os.environ.get("BILBERRYTALLY_BUILD", ROOT / "build"))
NODE = BUILD / "src/apps/bilberrytally-node"
CTL = BUILD / "src/apps/bilberrytally-ctl"
REPLAY = BUILD / "src/apps/bilberrytally-replay"
BACKEND = BUILD / "src/standins/standin-backend"
CALLER = BUILD / "src/standins/standin-caller"
KEY = "a-shared-key-of-the-test-fleet"
READER, OPERATOR = "reader-token", "operator-token"
HOST = "127.0.0.1"

Answer = collections.namedtuple("Answer", "status headers body")

# Below the range from which the system takes ports of outgoing connections, so
# that none of those takes a port before its process has bound it.
FIRST_PORT, LAST_PORT = 12000, 32000
_ports = itertools.cycle(range(FIRST_PORT, LAST_PORT))
for _ in range(random.randrange(LAST_PORT - FIRST_PORT)):
    next(_ports)


def free_port():
    """A port that is free for TCP and UDP and was not given out before."""
    for port in _ports:
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((HOST, port))
                udp.bind((HOST, port))
                return port
            except OSError:
                continue


def http_call(port, method, path, headers=None, body=None, timeout=10):
    connection = http.client.HTTPConnection(HOST, port, timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        answer = connection.getresponse()
        return Answer(answer.status, {k.lower(): v for k, v in answer.getheaders()}, answer.read())
    finally:
        connection.close()


def wait_for(condition, seconds=10, what="condition"):
    """Polls; the bound only ends a hopeless run, results do not depend on it."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.01)
    raise AssertionError(f"timed out waiting for {what}")


class Instance:
    """A backend server and its node."""

    def __init__(self, fleet, service, number, zone, slots, queue):
        self.fleet, self.service, self.zone = fleet, service, zone
        self.id = f"{service}-{number}"
        self.slots, self.queue = slots, queue
        self.caller_port, self.node_port = free_port(), free_port()
        self.admin_port, self.backend_port = free_port(), free_port()
        self.record = fleet.folder / f"{self.id}.record"
        self.log = fleet.folder / f"{self.id}.log"
        self.state = "live"
        self.node = self.backend = None

    def settings(self):
        sections = {
            "node": {"instance": self.id, "service": self.service, "zone": self.zone,
                     "address": HOST, "caller_port": self.caller_port,
                     "node_port": self.node_port, "key": KEY, "workers": 2,
                     "slots": self.slots, "drain_min_ms": 500, "test_hooks": "true",
                     "seeds": ",".join(f"{HOST}:{p}" for p in self.fleet.seeds)},
            "backend": {"port": self.backend_port, "health_path": "/health",
                        "health_interval_ms": 200},
            "platform": {"url": self.fleet.platform_url, "wait_ms": 1000,
                         "expected_fleet": 10},
            "admin": {"port": self.admin_port, "reader_token": READER,
                      "operator_token": OPERATOR}}
        for name, values in self.fleet.settings.items():
            sections.setdefault(name, {}).update(values)
        return "".join(f"[{s}]\n" + "".join(f"{k} = {v}\n" for k, v in rows.items())
                       for s, rows in sections.items())

    def start_backend(self):
        self.backend = self.spawn(
            [BACKEND, "--instance", self.id, "--port", str(self.backend_port),
             "--node-port", str(self.caller_port), "--slots", str(self.slots),
             "--queue", str(self.queue),
             *(["--record", str(self.record)] if self.fleet.recording else [])])

    def start_node(self):
        file = self.fleet.folder / f"{self.id}.ini"
        file.write_text(self.settings())
        self.node = self.spawn([NODE, "--settings", str(file)])

    def spawn(self, command):
        with open(self.log, "ab") as log:
            return subprocess.Popen(command, stdout=log, stderr=log)

    def ready(self):
        for process in (self.node, self.backend):
            if process.poll() is not None:
                raise AssertionError(f"{self.id} ended: {self.log.read_text()[-500:]}")
        try:
            self.admin("/v1/status")
            socket.create_connection((HOST, self.caller_port), 1).close()
            socket.create_connection((HOST, self.backend_port), 1).close()
            return True
        except OSError:
            return False

    def admin(self, path, method="GET", body=None, token=OPERATOR):
        answer = http_call(self.admin_port, method, path,
                           {"Authorization": f"Bearer {token}"}, body)
        assert answer.status == 200, answer
        return json.loads(answer.body)

    def events(self, kind):
        return [e for e in self.admin("/v1/timeline?most=20000") if e["kind"] == kind]

    def control(self, query):
        assert http_call(self.backend_port, "GET", "/control?" + query).status == 200

    def executions(self, kind="start"):
        if not self.record.exists():
            return []
        rows = (line.split() for line in self.record.read_text().splitlines())
        return [row[1] for row in rows if row[0] == kind]

    def listed(self):
        return {"id": self.id, "zone": self.zone, "host": HOST, "port": self.node_port,
                "state": self.state}


class Fleet:
    """Instances of several services and a platform."""

    def __init__(self, services, settings=None, platform=None, recording=True):
        """services: name -> dict(targets=3, slots=20, queue=100)."""
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="bilberrytally-"))
        self.platform = platform or Platform()
        self.platform_url = f"http://{HOST}:{self.platform.port}"
        self.settings = settings or {}
        self.recording = recording
        self.seeds = []
        self.versions = collections.Counter()
        self.instances = []
        for name, options in services.items():
            for i in range(options.get("targets", 3)):
                zones = options.get("zones", ["a", "b", "c"])
                self.instances.append(Instance(
                    self, name, i, zones[i % len(zones)], options.get("slots", 20),
                    options.get("queue", 100)))
        self.seeds = [i.node_port for i in self.instances[:3]]

    def __enter__(self):
        try:
            for instance in self.instances:
                instance.start_backend()
                instance.start_node()
            for instance in self.instances:
                wait_for(instance.ready, 30, instance.id)
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_):
        for instance in self.instances:
            for process in (instance.node, instance.backend):
                if process and process.poll() is None:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                    process.wait()
        self.platform.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def of(self, service):
        return [i for i in self.instances if i.service == service]

    def publish_lists(self, services=None):
        for name in services or {i.service for i in self.instances}:
            self.versions[name] += 1
            self.platform.publish({
                "number": self.versions[name], "service": name,
                "instances": [i.listed() for i in self.of(name)]})

    def publish_ticket(self, number, services):
        self.platform.publish({"number": number, "services": services})

    def wait_ticket(self, number, instances=None, seconds=15):
        def done():
            return all(i.admin("/v1/status")["highest_ticket"] >= number
                       for i in instances or self.instances)
        wait_for(done, seconds, f"ticket {number}")

    def set_up(self, services):
        """Publishes lists and ticket 1, and waits until all nodes agree."""
        self.publish_lists()
        self.publish_ticket(1, services)
        self.wait_ticket(1)
        count = len(self.instances)
        wait_for(lambda: all(len(i.admin("/v1/targets")) == count for i in self.instances),
                 15, "instance lists")

    def load(self, classes, phases, seed=1, nodes=None, outcomes=None, start_only=False):
        plan = {"nodes": [{"host": HOST, "port": i.caller_port}
                          for i in nodes or self.instances],
                "classes": classes, "phases": phases, "seed": seed,
                "outcomes": str(outcomes) if outcomes else ""}
        file = self.folder / f"plan-{seed}-{time.monotonic_ns()}.json"
        file.write_text(json.dumps(plan))
        process = subprocess.Popen([CALLER, str(file)], stdout=subprocess.PIPE, text=True)
        return process if start_only else finish_load(process)

    def executions(self, kind="start"):
        counts = collections.Counter()
        for instance in self.instances:
            counts.update(instance.executions(kind))
        return counts


def finish_load(process):
    output, _ = process.communicate(timeout=300)
    assert process.returncode == 0
    return json.loads(output)


def route(path="/", **options):
    return {"path_prefix": path, **options}


def policy(name, **options):
    row = {"name": name, "team": "test", "slots": 20, "routes": [route("/", repeatable=True)]}
    row.update(options)
    return row
