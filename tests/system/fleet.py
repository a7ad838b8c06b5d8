"""Starts nodes and stand-in backend servers as processes on loopback, and ends them."""
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

from platform_standin import ConfigurationService

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

Response = collections.namedtuple("Response", "status headers body")

# Below the ephemeral port range, so that no outgoing connection takes a port before
# the process that it is meant for has bound it.
FIRST_PORT, LAST_PORT = 12000, 32000
_ports = itertools.cycle(range(FIRST_PORT, LAST_PORT))
for _ in range(random.randrange(LAST_PORT - FIRST_PORT)):
    next(_ports)


def free_port():
    """Returns a port that is free for TCP and UDP and was not returned before."""
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
        response = connection.getresponse()
        return Response(response.status, {k.lower(): v for k, v in response.getheaders()},
                        response.read())
    finally:
        connection.close()


def wait_for(condition, seconds=10, what="condition"):
    """Polls until condition() holds; raises AssertionError after `seconds`.

    The limit only ends a run that cannot succeed; no result depends on it.
    """
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.01)
    raise AssertionError(f"timed out waiting for {what}")


class Instance:
    """A stand-in backend server and the node beside it."""

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

    # Text of the node's INI file; the fleet's settings override the defaults.
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

    # True once the admin, caller and backend ports accept connections. Raises
    # AssertionError with the end of the log if one of the processes has ended.
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

    # Parsed JSON response of the node's admin API; any status but 200 fails.
    def admin(self, path, method="GET", body=None, token=OPERATOR):
        response = http_call(self.admin_port, method, path,
                             {"Authorization": f"Bearer {token}"}, body)
        assert response.status == 200, response
        return json.loads(response.body)

    # Timeline events of one kind, oldest first.
    def events(self, kind):
        return [e for e in self.admin("/v1/timeline?most=20000") if e["kind"] == kind]

    # Changes the stand-in's behaviour, for example "slow=10" or "fail=1".
    def control(self, query):
        assert http_call(self.backend_port, "GET", "/control?" + query).status == 200

    # Request ids in the backend server's record: kind "start" or "end"; a failed
    # execution has "failed" besides "end".
    def executions(self, kind="start"):
        if not self.record.exists():
            return []
        rows = (line.split() for line in self.record.read_text().splitlines())
        return [row[1] for row in rows if row[0] == kind]

    # This instance's entry in the instance list.
    def list_entry(self):
        return {"id": self.id, "zone": self.zone, "host": HOST, "port": self.node_port,
                "state": self.state}


class Fleet:
    """Instances of several services and a stand-in configuration service."""

    def __init__(self, services, settings=None, platform=None, recording=True):
        """Prepares the instances; entering the context starts them.

        services: name -> dict(targets=3, slots=20, queue=100, zones=["a", "b", "c"]);
        the values shown are the defaults. Instances are assigned to the zones in rotation.
        settings: section -> key -> value, added to the INI file of each node.
        """
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="bilberrytally-"))
        self.platform = platform or ConfigurationService()
        self.platform_url = f"http://{HOST}:{self.platform.port}"
        self.settings = settings or {}
        self.recording = recording
        self.seeds = []
        self.list_numbers = collections.Counter()
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

    def instances_of(self, service):
        return [i for i in self.instances if i.service == service]

    def publish_lists(self, services=None):
        for name in services or {i.service for i in self.instances}:
            self.list_numbers[name] += 1
            self.platform.publish({
                "number": self.list_numbers[name], "service": name,
                "instances": [i.list_entry() for i in self.instances_of(name)]})

    def publish_ticket(self, number, services):
        self.platform.publish({"number": number, "services": services})

    def wait_for_ticket(self, number, instances=None, seconds=15):
        def applied():
            return all(i.admin("/v1/status")["highest_ticket"] >= number
                       for i in instances or self.instances)
        wait_for(applied, seconds, f"ticket {number}")

    def set_up(self, services):
        """Publishes the instance lists and ticket 1; waits until all nodes have both."""
        self.publish_lists()
        self.publish_ticket(1, services)
        self.wait_for_ticket(1)
        count = len(self.instances)
        wait_for(lambda: all(len(i.admin("/v1/targets")) == count for i in self.instances),
                 15, "instance lists")

    # Sends load with standin-caller: `classes` describe the requests ("rate" per s),
    # `phases` the factor on all rates over time ("seconds"); `outcomes` is a file to
    # which the verdict of each send is written. Returns the totals by class, or the
    # running process with start_only; finish_load() then waits for its totals.
    # Totals: requests and good (numbers), p50_ms, p99_ms, wrong_answers, outcomes
    # (number by outcome) and slices, rows [index, sent, good] for each 0.1 s.
    def load(self, classes, phases, seed=1, nodes=None, outcomes=None, start_only=False):
        plan = {"nodes": [{"host": HOST, "port": i.caller_port}
                          for i in nodes or self.instances],
                "classes": classes, "phases": phases, "seed": seed,
                "outcomes": str(outcomes) if outcomes else ""}
        file = self.folder / f"plan-{seed}-{time.monotonic_ns()}.json"
        file.write_text(json.dumps(plan))
        process = subprocess.Popen([CALLER, str(file)], stdout=subprocess.PIPE, text=True)
        return process if start_only else finish_load(process)

    # Number of records by request id over all instances.
    def executions(self, kind="start"):
        counts = collections.Counter()
        for instance in self.instances:
            counts.update(instance.executions(kind))
        return counts


def finish_load(process):
    output, _ = process.communicate(timeout=300)
    assert process.returncode == 0
    return json.loads(output)


# A route of a service policy, as a ticket has it. Priority 0 is the most important.
def route(path="/", **options):
    return {"path_prefix": path, **options}


# A service's policy, as a ticket has it; options override the defaults.
def policy(name, **options):
    entry = {"name": name, "team": "test", "slots": 20, "routes": [route("/", repeatable=True)]}
    entry.update(options)
    return entry
