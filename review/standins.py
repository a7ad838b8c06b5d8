"""Stand-ins for the review's scripts: machines with real nodes, the metadata store, targets, clients.

A machine is a loopback address of its own; ports are the same on all machines. The nodes are started
with the `run` line and the settings template of deploy/system.toml. All stand-ins of a script run in
one asyncio loop. Clients, targets and the store behave soundly unless a script asks for a disruption.
"""
import asyncio
import base64
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
ID, TIMEOUT = "X-Bilberrytally-Attempt-Id", "X-Bilberrytally-Timeout-Ms"
EXPECTED, NOT_RUN = "X-Bilberrytally-Expected-Instance", "X-Bilberrytally-Not-Executed"
MAC, INSTANCE = "X-Bilberrytally-Server-Signature", "X-Bilberrytally-Instance-Id"
OUTBOUND, READY, INBOUND, APP, STORE_PORT, METRICS = 8304, 8302, 8300, 8301, 8309, 9464
BOUNDS = {"drain-s": 2, "grace-s": 6, "contact-s": 3, "config-apply-s": 2, "loss-slack-s": 0.2,
          "retry-budget-ratio": 0.2, "budget-window-s": 10, "budget-extra": 47}


class CannotRun(Exception):
    """The case could not be run; the script exits with 2."""


class Record:
    """Collects what was sent, answered and run; written to record.txt of the case."""

    def __init__(self, folder):
        self.path = pathlib.Path(folder) / "record.txt"
        self.start = time.monotonic()
        self.lines = []

    def now(self):
        return time.monotonic() - self.start

    def add(self, event, **fields):
        at = self.now()
        self.lines.append(f"{at:9.3f} {event} " + " ".join(f"{k}={v}" for k, v in fields.items()))
        return at

    def write(self):
        self.path.write_text("\n".join(self.lines) + "\n")


# --- settings -------------------------------------------------------------------------------------
def render(template, fields):
    """Fills in the placeholders {{a}} and {{a.b}}; the template of this project has no sections."""
    def value(match):
        found = fields
        for part in match.group(1).split("."):
            found = found[part]
        return str(found)
    return re.sub(r"\{\{([\w.-]+)\}\}", value, template)


async def read_head(reader):
    """Reads the start line and the headers of a message; returns (start line, headers)."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


def message(start, headers, body=b""):
    head = start + "\r\n" + "".join(f"{k}: {v}\r\n" for k, v in headers.items())
    return (head + f"Content-Length: {len(body)}\r\n\r\n").encode("latin-1") + body


def close(writer):
    """Closes a connection; does nothing once the event loop has ended."""
    try:
        writer.close()
    except RuntimeError:
        pass


# --- the platform's store -------------------------------------------------------------------------
class Store:
    """The metadata store: range reads and long-polling watches, linearizable."""

    def __init__(self, record, host):
        self.record, self.host = record, host
        self.items, self.history, self.revision = {}, [], 100
        self.changed = asyncio.Condition()
        self.connections = set()
        self.silent = set()  # connections that went silent for good

    async def open(self):
        self.server = await asyncio.start_server(self.serve, self.host, STORE_PORT)

    async def put(self, key, value):
        async with self.changed:
            self.revision += 1
            item = {"key": key, "value": base64.b64encode(json.dumps(value).encode()).decode(),
                    "revision": self.revision, "created": self.revision, "lease": 0}
            self.items[key] = item
            self.history.append(item)
            self.changed.notify_all()
            return self.record.add("store_ack", key=key, revision=self.revision)

    def silence(self):
        """All open connections go silent for good, without a reset; new ones work."""
        self.silent |= self.connections
        self.record.add("store_connections_silent", count=len(self.connections))

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                start, _ = await read_head(reader)
                if writer in self.silent:
                    await asyncio.sleep(3600)
                url = urllib.parse.urlsplit(start.split(" ")[1])
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                self.record.add("store_call", call=url.path, after=query.get("after", ""),
                                wait_ms=query.get("wait-ms", ""))
                if url.path == "/-/kv-range":
                    await asyncio.sleep(0.004)
                    status, body = 200, self.range(query)
                elif url.path == "/-/kv-watch":
                    status, body = 200, await self.watch(query)
                else:
                    status, body = 404, {}
                if writer in self.silent:
                    await asyncio.sleep(3600)
                writer.write(message(f"HTTP/1.1 {status} -", {"Content-Type": "application/json"},
                                     json.dumps(body).encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.connections.discard(writer)
            close(writer)

    def range(self, query):
        keys = sorted(k for k in self.items
                      if k.startswith(query["prefix"]) and k > query.get("after", ""))
        return {"items": [self.items[k] for k in keys[:500]], "more-pages": len(keys) > 500,
                "as-of": self.revision}

    async def watch(self, query):
        after, end = int(query["after"]), time.monotonic() + int(query["wait-ms"]) / 1000
        async with self.changed:
            while True:
                events = [e for e in self.history if e["revision"] > after]
                left = end - time.monotonic()
                if events or left <= 0:
                    return {"events": events, "as-of": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except TimeoutError:
                    pass


# --- targets --------------------------------------------------------------------------------------
class Target:
    """A target: works `ms` of the query on each request, in `slots` slots with a queue."""

    def __init__(self, record, host, service, instance, slots):
        self.record, self.host, self.service = record, host, service
        self.instance, self.slots = instance, slots
        self.queue_room = slots * 4
        self.slot = asyncio.Semaphore(slots)
        self.waiting = 0
        self.runs = []  # (time, id, path)
        self.crash_on = None  # a path that crashes the target
        self.server, self.writers, self.born = None, set(), 0

    async def open(self):
        self.born = int(time.time() * 1000)
        self.server = await asyncio.start_server(self.serve, self.host, APP, backlog=512,
                                                 limit=1 << 20)

    async def crash(self, down_s):
        """The process dies: all connections break, and it is back after a while."""
        self.record.add("target_crashed", target=self.instance)
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(down_s)
        await self.open()
        self.record.add("target_back", target=self.instance)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                start, headers = await read_head(reader)
                method, path, _ = start.split(" ")
                request = headers.get(ID.lower(), "")
                if path == "/healthz":
                    writer.write(message("HTTP/1.1 200 OK", {INSTANCE: self.instance}))
                    continue
                expected = headers.get(EXPECTED.lower(), self.instance)
                early = expected != self.instance or self.waiting >= self.queue_room
                length = int(headers.get("content-length", 0))
                while length:
                    length -= len(await reader.readexactly(min(length, 1 << 16)))
                if expected != self.instance:
                    writer.write(message("HTTP/1.1 421 Misdirected Request",
                                         {ID: request, INSTANCE: self.instance}))
                    continue
                if early:
                    writer.write(message("HTTP/1.1 503 Service Unavailable",
                                         {ID: request, NOT_RUN: "1"}))
                    continue
                await self.work(reader, writer, request, path, headers)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            close(writer)

    async def work(self, reader, writer, request, path, headers):
        arrived = self.record.add("arrived", target=self.instance, id=request)
        query = dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(path).query))
        seconds = int(query.get("ms", 5)) / 1000
        allowed = int(headers.get(TIMEOUT.lower(), 60000)) / 1000
        self.waiting += 1
        async with self.slot:
            self.waiting -= 1
            if reader.at_eof():
                raise ConnectionError
            self.runs.append((arrived, request, path))
            self.record.add("run", target=self.instance, id=request, path=path)
            if self.crash_on and path == self.crash_on:
                asyncio.get_running_loop().create_task(self.crash(2.0))
                await asyncio.sleep(0.05)
                raise ConnectionError
            late = seconds > allowed
            end = time.monotonic() + min(seconds, allowed)
            while (left := end - time.monotonic()) > 0:
                await asyncio.sleep(min(left, 0.05))
                if reader.at_eof() or writer.transport.is_closing():
                    self.record.add("dropped", target=self.instance, id=request)
                    raise ConnectionError
        status = "504 Gateway Timeout" if late else "200 OK"
        self.record.add("done", target=self.instance, id=request, status=status[:3])
        writer.write(message(f"HTTP/1.1 {status}", {ID: request, MAC: f"mac-{request}"},
                             f"{self.instance} {request}".encode()))
        await writer.drain()


# --- clients --------------------------------------------------------------------------------------
class Connection:
    """A client's connection to the outbound address of its machine."""

    opened = []

    def __init__(self, record, host):
        self.record, self.host = record, host
        self.reader = self.writer = None
        self.usable = True

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(self.host, OUTBOUND), 1)
        self.opened.append(self)
        return self

    async def call(self, name, host, path, timeout_ms, method="GET", body=b""):
        """Sends one request; returns its status, or None if the connection ended without one."""
        self.record.add("sent", machine=self.host, id=name, method=method, path=path,
                        bytes=len(body))
        begun = time.monotonic()
        status = None
        try:
            self.writer.write(message(f"{method} {path} HTTP/1.1",
                                      {"Host": host, ID: name, TIMEOUT: timeout_ms}, body))
            await self.writer.drain()
            status = await asyncio.wait_for(self.answer(), timeout_ms / 1000)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.usable = False
        except TimeoutError:
            status = "deadline"
            self.close()
        self.record.add("answered" if status else "closed_without_answer", id=name,
                        status=status, took_ms=round((time.monotonic() - begun) * 1000))
        return status

    async def answer(self):
        start, headers = await read_head(self.reader)
        await self.reader.readexactly(int(headers.get("content-length", 0)))
        if headers.get("connection", "").lower() == "close":
            self.close()
        return int(start.split(" ")[1])

    def close(self):
        self.usable = False
        self.writer.close()


# --- machines -------------------------------------------------------------------------------------
class Machine:
    """A machine with a node and the target beside it."""

    def __init__(self, site, number, service, zone, slots):
        self.site, self.service, self.zone = site, service, zone
        self.host = f"{site.prefix}.{number + 1}"
        self.name = f"sidecar-{zone}-{number + 1}"
        self.target = Target(site.record, self.host, service, f"i-{number + 1:04x}", slots)
        self.process = None

    async def start(self, output=None):
        site = self.site
        fields = {"node-name": self.name, "service": self.service, "zone": self.zone,
                  "ip": self.host, "app-address": f"{self.host}:{APP}",
                  "bind-addresses": {"outbound": f"{self.host}:{OUTBOUND}",
                                     "inbound": f"{self.host}:{INBOUND}",
                                     "ready": f"{self.host}:{READY}"},
                  "provider": {"address": f"{site.store.host}:{STORE_PORT}", "reads-per-s": 2000},
                  "bounds": BOUNDS}
        file = site.folder / f"{self.name}.conf"
        file.write_text(render(site.template, fields))
        words = [w.replace("/etc/bilberrytally/node.conf", str(file)) for w in site.run]
        if not (ROOT / words[0]).exists():
            raise CannotRun(f"{words[0]} isn't built")
        log = open(site.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, stdout=output or log, stderr=output or log,
            env={k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ})
        log.close()
        site.record.add("node_started", machine=self.name, pid=self.process.pid)

    async def register(self, phase="ready"):
        target = self.target
        return await self.site.store.put(f"servers/{target.instance}", {
            "address": f"{self.host}:{APP}", "born": target.born,
            "info": {"service": self.service, "version": "v1", "zone": self.zone,
                     "slots": target.slots},
            "status": {"phase": phase, "sequence": 1, "warmup-left-s": 0}})

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.host, READY), 1)
        except (OSError, TimeoutError):
            return False
        try:
            writer.write(message("GET /-/readyz HTTP/1.1", {"Host": "x", "Connection": "close"}))
            start, _ = await asyncio.wait_for(read_head(reader), 1)
            return start.split(" ")[1] == "200"
        except (OSError, EOFError, TimeoutError):
            return False
        finally:
            writer.close()

    def signal(self, number):
        self.site.record.add("signal", machine=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    async def end(self):
        if self.process and self.process.returncode is None:
            try:
                self.process.kill()
            except ProcessLookupError:
                pass
            await self.process.wait()


class Site:
    """The machines, the store and the operator of a small deployment."""

    def __init__(self, record, placements, machine=Machine):
        """placements: (service, zone, slots) of each machine."""
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["node"]
        self.run = role["run"].split(" ")
        self.template = (ROOT / role["template"]).read_text()
        self.prefix = self.free_prefix()
        self.store = Store(record, f"{self.prefix}.200")
        self.machines = [machine(self, i, *p) for i, p in enumerate(placements)]
        self.version = 0

    @staticmethod
    def free_prefix():
        for _ in range(50):
            prefix = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
            try:
                for port in (OUTBOUND, READY, INBOUND, APP, STORE_PORT, METRICS):
                    for number in (1, 200):
                        with socket.socket() as probe:
                            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                            probe.bind((f"{prefix}.{number}", port))
                return prefix
            except OSError:
                continue
        raise CannotRun("no free ports")

    async def configure(self, routes, host="h.example"):
        """The operator puts a new configuration; returns when the store acknowledged it."""
        self.version += 2
        services = sorted({m.service for m in self.machines})
        return await self.store.put("op/config", {
            "version": f"{self.version:08x}", "base-version": f"{max(self.version - 2, 0):08x}",
            "services": [{"name": s, "health-path": "/healthz", "max-connections": 1072,
                          "protocol": "h1", "tls": False} for s in services],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 67108864,
                       "header-timeout-s": 3, "idle-timeout-s": 15},
            "virtual-hosts": [{"hostname": host, "paths": routes}]})

    async def open(self, routes):
        await self.store.open()
        for machine in self.machines:
            await machine.target.open()
        await asyncio.gather(*(m.start() for m in self.machines))
        await self.configure(routes)
        for machine in self.machines:
            await machine.register()
        end = time.monotonic() + 15
        for machine in self.machines:
            while not await machine.is_ready():
                if time.monotonic() > end:
                    raise CannotRun(f"{machine.name} isn't ready")
                await asyncio.sleep(0.05)
        await asyncio.sleep(2)

    async def close(self):
        for machine in self.machines:
            await machine.end()
        shutil.rmtree(self.folder, ignore_errors=True)


def route(prefix, service, kind="idempotent", timeout=5, aim=1.5, attempts=2, priority=2):
    return {"name": f"r-{prefix.strip('/')}", "prefix": prefix, "kind": kind, "timeout-s": timeout,
            "aim-s": aim, "priority": priority, "service": service, "max-attempts": attempts}


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def run(folder, play, limit_s=115):
    """Runs a case: play(record) returns True if the rule held. Exits with 0, 1 or 2."""
    record = Record(folder)

    async def main():
        held = await asyncio.wait_for(play(record), limit_s)
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
        for connection in Connection.opened:
            connection.close()
        await asyncio.sleep(0.1)  # connections end before the loop does
        return held

    try:
        held = asyncio.run(main())
        record.add("verdict", held=held)
        code = 0 if held else 1
    except Exception as problem:  # anything else means that the case could not run
        record.add("could_not_run", problem=repr(problem))
        print(f"could not run: {problem!r}")
        code = 2
    record.write()
    print(record.lines[-1])
    sys.exit(code)
