"""A small deployment on loopback for the cases 6 to 10: a metadata store, backend servers, and the
project's nodes, started with the command and the settings template of the deploy file.

Each machine has an address of its own (127.0.X.N, X drawn at each start); ports are the same on all
machines, as DEPLOY.md says. The stand-ins speak what PROTOCOL.md says and nothing else.
"""
import base64
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
ID, TIMEOUT = "x-bilberrytally-attempt-id", "x-bilberrytally-timeout-ms"
EXPECTED = "x-bilberrytally-expected-instance"
START = time.monotonic()


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Record:
    """record.txt: one line for each thing that was sent, answered or run."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.lock = threading.Lock()

    def add(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - START:8.3f} {text}\n")
            self.file.flush()


def read_head(stream):
    """Reads a request or response head; returns its first line and its headers in lower case."""
    first = stream.readline()
    if not first:
        return None, {}
    headers = {}
    while True:
        line = stream.readline()
        if line in (b"\r\n", b"\n", b""):
            break
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return first.decode("latin-1").strip(), headers


def read_body(stream, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int(stream.readline().split(b";")[0], 16)
            body += stream.read(size)
            stream.readline()
            if size == 0:
                return body
    return stream.read(int(headers.get("content-length", 0)))


class Listener:
    """Accepts connections and serves each one in a thread of its own."""

    def __init__(self, host, port, serve):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((host, port))
        self.socket.listen(512)
        self.port = self.socket.getsockname()[1]
        self.serve = serve
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.socket.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.run, args=(connection,), daemon=True).start()

    def run(self, connection):
        try:
            self.serve(connection)
        except (OSError, ValueError):
            pass  # the peer has gone
        finally:
            connection.close()

    def close(self):
        # Wakes the accepting thread, which a close alone does not.
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.socket.close()


class Store:
    """The platform's store: /-/kv-range and /-/kv-watch."""

    def __init__(self):
        self.items, self.history, self.revision = {}, [], 10
        self.changed = threading.Condition()
        self.listener = Listener("127.0.0.1", 0, self.serve)
        self.address = f"127.0.0.1:{self.listener.port}"

    def put(self, key, value):
        with self.changed:
            self.revision += 1
            item = {"key": key, "value": base64.b64encode(json.dumps(value).encode()).decode(),
                    "revision": self.revision, "created": self.revision, "lease": 0}
            self.items[key] = item
            self.history.append(item)
            self.changed.notify_all()

    def remove(self, key):
        with self.changed:
            self.revision += 1
            del self.items[key]
            self.history.append({"key": key, "revision": self.revision, "deleted": True})
            self.changed.notify_all()

    def serve(self, connection):
        stream = connection.makefile("rb")
        while True:
            first, headers = read_head(stream)
            if not first:
                return
            read_body(stream, headers)
            url = urllib.parse.urlparse(first.split(" ")[1])
            query = {k: v[0] for k, v in
                     urllib.parse.parse_qs(url.query, keep_blank_values=True).items()}
            answer = self.range(query) if url.path == "/-/kv-range" else self.watch(query)
            body = json.dumps(answer).encode()
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                               b"Content-Length: %d\r\n\r\n" % len(body) + body)

    def range(self, query):
        with self.changed:
            keys = sorted(k for k in self.items
                          if k.startswith(query.get("prefix", "")) and k > query.get("after", ""))
            return {"items": [self.items[k] for k in keys[:500]],
                    "more-pages": len(keys) > 500, "as-of": self.revision}

    def watch(self, query):
        end = time.monotonic() + int(query["wait-ms"]) / 1000
        with self.changed:
            while True:
                events = [e for e in self.history if e["revision"] > int(query["after"])
                          and e["key"].startswith(query.get("prefix", ""))]
                left = end - time.monotonic()
                if events or left <= 0:
                    return {"events": events, "as-of": self.revision}
                self.changed.wait(left)


class Target:
    """A backend server. A request takes the ms of its query parameter, and its answer has as many
    bytes as the parameter size. Drops a request whose connection closes, unless `drops` is false.
    """

    def __init__(self, record, host, port, instance):
        self.record, self.host, self.port, self.instance = record, host, port, instance
        self.runs = []  # (time, id, path, headers)
        self.ends = []  # (time, id, "done" or "dropped")
        self.drops = True
        self.nested = None  # called with the id of each run, after its work
        self.connections = set()
        self.listener = Listener(host, port, self.serve)

    def serve(self, connection):
        self.connections.add(connection)
        try:
            self.serve_requests(connection)
        finally:
            self.connections.discard(connection)

    def serve_requests(self, connection):
        stream = connection.makefile("rb")
        while True:
            first, headers = read_head(stream)
            if not first:
                return
            read_body(stream, headers)
            path, request = first.split(" ")[1], headers.get(ID, "")
            expected = headers.get(EXPECTED)
            if expected and expected != self.instance:
                self.record.add(f"{self.instance} rejects {request}: 421")
                self.reply(connection, 421, request, b"")
                continue
            self.runs.append((time.monotonic(), request, path, headers))
            self.record.add(f"{self.instance} runs {request} {path}")
            query = urllib.parse.parse_qs(urllib.parse.urlparse(path).query)
            if not self.work(connection, int(query.get("ms", ["0"])[0]) / 1000):
                self.ends.append((time.monotonic(), request, "dropped"))
                self.record.add(f"{self.instance} drops {request}: its connection has closed")
                return
            status = 200
            if self.nested:
                status = self.nested(request, headers)
            self.ends.append((time.monotonic(), request, "done"))
            self.record.add(f"{self.instance} ends {request}: {status}")
            size = int(query.get("size", ["0"])[0])
            self.reply(connection, status, request, bytes(size) or self.instance.encode())

    def work(self, connection, seconds):
        end = time.monotonic() + seconds
        connection.settimeout(0.01)
        try:
            while time.monotonic() < end:
                if not self.drops:
                    time.sleep(0.01)
                    continue
                try:
                    if not connection.recv(1, socket.MSG_PEEK):
                        return False
                except TimeoutError:
                    pass
        except OSError:
            return False
        finally:
            connection.settimeout(None)
        return True

    @staticmethod
    def reply(connection, status, request, body):
        signature = "" if status == 421 else "X-Bilberrytally-Server-Signature: sig\r\n"
        head = (f"HTTP/1.1 {status} -\r\n{ID}: {request}\r\n{signature}"
                f"Keep-Alive: timeout=10\r\nContent-Length: {len(body)}\r\n\r\n")
        connection.sendall(head.encode() + body)


def crash_together(targets, down_s):
    """The targets of a rack, say, end all their connections and do not listen for a time."""
    for target in targets:
        target.record.add(f"{target.instance} crashes")
    for target in targets:
        target.listener.close()
    for connection in [c for target in targets for c in list(target.connections)]:
        try:
            connection.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
    time.sleep(down_s)
    for target in targets:
        target.listener = Listener(target.host, target.port, target.serve)
        target.record.add(f"{target.instance} is back")


def render(template, fields):
    """Fills in a settings template: values and sections, as DEPLOY.md tells them."""
    def section(match):
        return match.group(2) if fields.get(match.group(1)) not in (None, False) else ""
    text = re.sub(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([^}#/]+)\}\}", lambda m: str(fields.get(m.group(1), "")), text)


class Machine:
    def __init__(self, deployment, number, service, zone):
        self.deployment, self.service, self.zone = deployment, service, zone
        self.ip = f"127.0.{deployment.network}.{number + 1}"
        self.instance = f"i-{number + 1}"
        self.settings = deployment.folder / f"node-{number + 1}.ini"
        self.log = deployment.folder / f"node-{number + 1}.log"
        self.target = Target(deployment.record, self.ip, deployment.ports["app"], self.instance)
        self.process = None

    def fields(self):
        ports = self.deployment.ports
        return {"node-name": f"sidecar-{self.instance}", "service": self.service,
                "zone": self.zone, "ip": self.ip,
                "bind-addresses.outbound": f"{self.ip}:{ports['outbound']}",
                "bind-addresses.inbound": f"{self.ip}:{ports['inbound']}",
                "bind-addresses.ready": f"{self.ip}:{ports['ready']}",
                "app-address": f"{self.ip}:{ports['app']}",
                "provider.address": self.deployment.store.address, "provider.reads-per-s": 2000,
                "limits.memory-mb": 260, "limits.max-fds": 4100,
                **{f"bounds.{k}": v for k, v in self.deployment.bounds.items()}}

    def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["node"]
        template = (ROOT / deploy["template"]).read_text()
        self.settings.write_text(render(template, self.fields()))
        command = deploy["run"].replace("/etc/bilberrytally/node.conf", str(self.settings))
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(command.split(), cwd=ROOT, stdout=log, stderr=log)
        self.deployment.record.add(f"node of {self.instance} started, pid {self.process.pid}")

    def signal(self, number):
        self.deployment.record.add(f"node of {self.instance} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def is_ready(self):
        try:
            with socket.create_connection((self.ip, self.deployment.ports["ready"]), 1) as s:
                s.settimeout(1)
                s.sendall(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return s.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Deployment:
    # The bounds of the small site files.
    bounds = {"grace-s": 6, "config-apply-s": 2, "retry-budget-ratio": 0.2, "budget-extra": 47,
              "budget-window-s": 10}

    def __init__(self, folder, placements, bounds=None):
        """placements: pairs of service and zone, one for each machine."""
        self.bounds = {**self.bounds, **(bounds or {})}
        self.record = Record(folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="bilberrytally-case-"))
        self.store = Store()
        self.ports = {name: free_port() for name in ("app", "outbound", "inbound", "ready")}
        self.network = random.randint(10, 250)
        self.version = 0
        self.machines = [Machine(self, i, *p) for i, p in enumerate(placements)]

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for machine in self.machines:
            machine.stop()
            machine.target.listener.close()
        self.store.listener.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def configure(self, routes, **more):
        self.version += 2
        services = sorted({m.service for m in self.machines})
        self.store.put("op/config", {
            "version": f"{self.version:08x}", "base-version": f"{self.version - 2:08x}",
            "services": [{"name": s, "health-path": "/healthz", "max-connections": 600,
                          "protocol": "h1", "tls": False} for s in services],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 67108864,
                       "header-timeout-s": 3, "idle-timeout-s": 15},
            "virtual-hosts": [{"hostname": "shop.example", "paths": routes}], **more})
        self.record.add(f"store acknowledges configuration {self.version:08x}")

    def register(self, machine, phase="ready", slots=160):
        self.store.put(f"servers/{machine.instance}", {
            "address": f"{machine.ip}:{self.ports['app']}", "born": 1760000000000,
            "info": {"service": machine.service, "version": "v1", "zone": machine.zone,
                     "slots": slots},
            "status": {"phase": phase, "sequence": 1, "warmup-left-s": 0}})

    def start(self):
        for machine in self.machines:
            machine.start()
        for machine in self.machines:
            self.register(machine)
        self.wait_ready(self.machines)
        time.sleep(1)

    def wait_ready(self, machines, limit_s=15):
        end = time.monotonic() + limit_s
        for machine in machines:
            while not machine.is_ready():
                if time.monotonic() > end:
                    raise TimeoutError(f"the node of {machine.instance} is not ready")
                time.sleep(0.05)
            self.record.add(f"node of {machine.instance} is ready")


def route(prefix, service, kind="idempotent", timeout=5, aim=1.5, attempts=2, priority=1, **more):
    return {"name": f"r{prefix.strip('/')}", "prefix": prefix, "kind": kind, "timeout-s": timeout,
            "aim-s": aim, "priority": priority, "max-attempts": attempts, "service": service,
            **more}


def send_request(connection, method, path, request, timeout_ms, body=b"", headers=None):
    lines = [f"{method} {path} HTTP/1.1", "Host: shop.example",
             f"X-Bilberrytally-Attempt-Id: {request}", f"X-Bilberrytally-Timeout-Ms: {timeout_ms}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    connection.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)


def read_answer(connection):
    """Returns status, headers and body; status 0 if the connection ended without an answer."""
    stream = connection.makefile("rb")
    first, headers = read_head(stream)
    if not first:
        return 0, {}, b""
    return int(first.split(" ")[1]), headers, read_body(stream, headers)


def call(deployment, machine, method, path, request, timeout_ms=5000, body=b"", headers=None):
    """Sends a request on a new connection and waits for its answer; returns the status."""
    address = (machine.ip, deployment.ports["outbound"])
    try:
        with socket.create_connection(address, 2) as connection:
            connection.settimeout(timeout_ms / 1000 + 1)
            send_request(connection, method, path, request, timeout_ms, body, headers)
            deployment.record.add(f"client sends {request} {method} {path}")
            status, _, _ = read_answer(connection)
    except OSError:
        status = 0
    deployment.record.add(f"client gets {request}: {status or 'no answer'}")
    return status


HELD, COULD_NOT_RUN, BROKEN = 0, 2, 3


def run_case(folder, placements, play, bounds=None):
    """Plays a case; returns the exit code of its program. `play` returns True if the rule was
    broken, False if it held, and None if the case could not run.

    A broken rule is 3, which run.sh turns into 1: Python itself exits with 1 when it fails. Ends
    all processes, also when this one is told to stop.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    try:
        with Deployment(folder, placements, bounds) as deployment:
            broken = play(deployment)
            result = {True: BROKEN, False: HELD, None: COULD_NOT_RUN}[broken]
            deployment.record.add({BROKEN: "the rule was broken", HELD: "the rule held",
                                   COULD_NOT_RUN: "the case could not run"}[result])
            return result
    except Exception as failure:  # a fault of the case must not count as a broken rule
        print(f"the case could not run: {failure!r}", file=sys.stderr)
        return COULD_NOT_RUN


def troubled():
    return os.environ.get("TROUBLE", "1") != "0"
