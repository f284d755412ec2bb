"""Stand-ins of the third review: the platform's store, replicas, raw clients,
and the routers of the deploy file as processes.

Everything runs on loopback addresses. The stand-ins keep to PROTOCOL.md; the
cases add the one disruption that they show.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEAL = "Crocuslatch-Replica-Seal"
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.begun = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def __call__(self, text):
        line = "%8.3f %s" % (time.monotonic() - self.begun, text)
        print(line, flush=True)
        self.file.write(line + "\n")
        self.file.flush()


def pick_loopback():
    return "127.%d.%d.%d" % (random.randint(20, 250), random.randint(1, 250),
                             random.randint(2, 250))


def free_port(ip):
    with socket.socket() as it:
        it.bind((ip, 0))
        return it.getsockname()[1]


# ---------------------------------------------------------------- HTTP server


async def read_head(reader):
    """Returns (first line, headers in lower case) or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


def make_head(status, headers):
    text = "HTTP/1.1 %d X\r\n" % status
    text += "".join("%s: %s\r\n" % it for it in headers.items())
    return (text + "\r\n").encode("latin-1")


class HttpServer:
    """Serves `handle(request, writer)`, which writes the whole answer."""

    def __init__(self, ip):
        self.ip = ip
        self.port = 0

    @property
    def address(self):
        return "%s:%d" % (self.ip, self.port)

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.ip, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, headers = head
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ", 2)
                request = {"method": method, "target": target,
                           "headers": headers, "body": body,
                           "reader": reader}
                await self.handle(request, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def answer(self, writer, status, body, headers=None):
        all_headers = dict(headers or {})
        all_headers["Content-Length"] = str(len(body))
        writer.write(make_head(status, all_headers) + body)


# ---------------------------------------------------------- the platform store


class Store(HttpServer):
    """The platform's store, without leases (the routers use none)."""

    def __init__(self, ip):
        super().__init__(ip)
        self.items = {}
        self.revision = 1000
        self.events = []
        self.changed = asyncio.Event()
        self.calls = 0

    def put(self, key, value):
        self.revision += 1
        old = self.items.get(key)
        created = old["create_revision"] if old else self.revision
        self.items[key] = {
            "key": key, "value": base64.b64encode(value).decode(),
            "rev": self.revision, "create_revision": created, "lease": 0}
        self.events.append(dict(self.items[key]))
        self._wake()

    def put_json(self, key, value):
        self.put(key, json.dumps(value).encode())

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.events.append({"key": key, "rev": self.revision,
                                "tombstone": True})
            self._wake()

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _json(self, writer, status, value):
        self.answer(writer, status, json.dumps(value).encode(),
                    {"Content-Type": "application/json"})

    async def handle(self, request, writer):
        self.calls += 1
        url = urllib.parse.urlsplit(request["target"])
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/-/kv-key":
            item = self.items.get(query.get("key", ""))
            if item is None:
                self._json(writer, 404, {"store_revision": self.revision})
            else:
                self._json(writer, 200,
                           dict(item, store_revision=self.revision))
        elif url.path == "/-/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(it for it in self.items
                          if it.startswith(prefix) and it > after)
            self._json(writer, 200, {
                "items": [self.items[it] for it in keys[:400]],
                "more_pages": len(keys) > 400,
                "store_revision": self.revision})
        elif url.path == "/-/kv-watch":
            await self._watch(query, writer)
        elif url.path == "/-/kv-txn":
            self._transact(json.loads(request["body"]), writer)
        else:
            self._json(writer, 404, {})

    async def _watch(self, query, writer):
        prefix, after = query.get("prefix", ""), int(query.get("after", "0"))
        end = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            events = [it for it in self.events
                      if it["rev"] > after and it["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                self._json(writer, 200, {"events": events,
                                         "store_revision": self.revision})
                return
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _transact(self, body, writer):
        puts, removals = body.get("puts", []), body.get("remove", [])
        keys = [it["key"] for it in puts] + removals
        if any(it.startswith(("op/", "servers/")) for it in keys):
            self._json(writer, 403, {})
            return
        expected = body.get("expected", [])
        for it in expected:
            item = self.items.get(it["key"])
            if (item["rev"] if item else 0) != it["rev"]:
                items = [self.items[e["key"]] for e in expected
                         if e["key"] in self.items]
                self._json(writer, 412, {"items": items})
                return
        for it in puts:
            self.put(it["key"], base64.b64decode(it["value"]))
        for it in removals:
            self.remove(it)
        self._json(writer, 200, {"rev": self.revision})


# ------------------------------------------------------------------- replicas


class Replica(HttpServer):
    """A sound replica: registers itself, echoes ids and signs its answers."""

    BEAT_S = 1.2

    def __init__(self, store, service, name, zone="z1", slots=64, ip=None):
        super().__init__(ip or "127.0.0.1")
        self.store, self.service, self.name = store, service, name
        self.zone, self.slots = zone, slots
        self.sequence = 0
        self.born = int(time.time() * 1000)
        # Every arrival: (time, request id, headers, target, body).
        self.arrivals = []

    async def start(self):
        await super().start()
        self.beat = asyncio.ensure_future(self._beat())

    def entry(self, state="ready"):
        self.sequence += 1
        return {"service": self.service, "address": self.address,
                "zone": self.zone, "version": "v1", "slots": self.slots,
                "state": state, "cold_remaining_ms": 0,
                "sequence": self.sequence, "born": self.born}

    async def _beat(self):
        while True:
            self.store.put_json("servers/" + self.name, self.entry())
            await asyncio.sleep(self.BEAT_S)

    def own_headers(self, request):
        return {"Crocuslatch-Request-Id":
                request["headers"].get("crocuslatch-request-id", ""),
                SEAL: "%s.%d" % (self.name, len(self.arrivals))}

    def misdirected(self, request, writer):
        """Answers 421 if another replica was meant; returns whether it was."""
        expected = request["headers"].get("crocuslatch-expect-replica")
        if expected in (None, self.name):
            return False
        self.answer(writer, 421, b"", {
            "Crocuslatch-Request-Id":
                request["headers"].get("crocuslatch-request-id", ""),
            "Crocuslatch-Not-Executed": "1"})
        return True

    async def handle(self, request, writer):
        if request["target"] == "/health":
            self.answer(writer, 200, b"",
                        {"Crocuslatch-Replica-Id": self.name})
            return
        if self.misdirected(request, writer):
            return
        request_id = request["headers"].get("crocuslatch-request-id", "")
        self.arrivals.append((time.monotonic(), request_id,
                              request["headers"], request["target"],
                              request["body"]))
        await self.run(request, writer)

    async def run(self, request, writer):
        self.answer(writer, 200, b"done", self.own_headers(request))


# -------------------------------------------------------------------- routers


def render(text, fields):
    """Fills in the settings template as DEPLOY.md describes it."""

    def look_up(path):
        value = fields
        for part in path.split("."):
            value = (value[int(part)] if isinstance(value, list)
                     else value.get(part))
            if value is None:
                return None
        return value

    def section(match):
        return match.group(2) if look_up(match.group(1)) else ""

    def placeholder(match):
        value = look_up(match.group(1))
        if match.group(2):
            return json.dumps(value)
        return "" if value is None else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text,
                  flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", placeholder, text)


class Router:
    """One process of the deploy file's role, on an address of its own."""

    BOUNDS = {"grace_s": 8, "drain_ms": 2000, "config_apply_ms": 2000,
              "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 58}

    LIMITS = {"link_mbps": 1000.0, "memory_mb": 110, "max_fds": 4100}

    def __init__(self, name, store_address, folder, zone="z1", bounds=None,
                 limits=None):
        self.name, self.folder = name, folder
        self.ip = pick_loopback()
        self.front, self.ready, self.peers = (free_port(self.ip)
                                              for _ in range(3))
        fields = {
            "node_name": name, "zone": zone, "ip": self.ip,
            "listen": {"front": "%s:%d" % (self.ip, self.front),
                       "ready": "%s:%d" % (self.ip, self.ready)},
            "internal_ports": [self.peers, self.peers],
            "platform": {"address": store_address},
            "bounds": dict(self.BOUNDS, **(bounds or {})),
            "limits": dict(self.LIMITS, **(limits or {}))}
        template = open(os.path.join(ROOT, "deploy/settings.toml")).read()
        self.settings = os.path.join(folder, name + ".toml")
        with open(self.settings, "w") as it:
            it.write(render(template, fields))
        deploy = open(os.path.join(ROOT, "deploy/system.toml")).read()
        self.command = re.search(r'^run = "(.*)"', deploy,
                                 flags=re.M).group(1).split(" ")
        self.process = None

    def start(self):
        self.log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            self.command, cwd=ROOT, stdout=self.log, stderr=self.log,
            env={"PATH": os.environ["PATH"], "HOME": "/tmp",
                 "CROCUSLATCH_SETTINGS": self.settings})

    def signal(self, number):
        self.process.send_signal(number)

    def running(self):
        return self.process is not None and self.process.poll() is None

    def end(self):
        if self.running():
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready)
            writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: r\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and " 200 " in head[0] + " "
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, seconds=10):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if not self.running():
                raise NotRun("router %s ended at its start" % self.name)
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise NotRun("router %s was not ready" % self.name)


class NotRun(Exception):
    """The case could not run."""


# ------------------------------------------------------------------- the rest


def desired_state(version, routes, services, tenants=None):
    state = {"version": version, "routes": routes, "services": services,
             "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                        "header_timeout_ms": 5000, "idle_timeout_ms": 20000}}
    if tenants is not None:
        state["tenants"] = tenants
    return state


def route(name, prefix, kind, service, timeout_ms, **more):
    return dict({"name": name, "host": "a.example", "prefix": prefix,
                 "kind": kind, "service": service, "timeout_ms": timeout_ms,
                 "target_latency_ms": 150, "priority": 2, "max_attempts": 1,
                 "public": False, "session_affinity": False,
                 "resumable": False}, **more)


def request_bytes(path, request_id, deadline_ms, method="GET", body=b"",
                  headers=None):
    all_headers = {"Host": "a.example", "Crocuslatch-Request-Id": request_id,
                   "Crocuslatch-Request-Deadline": str(deadline_ms)}
    all_headers.update(headers or {})
    if body or method == "POST":
        all_headers["Content-Length"] = str(len(body))
    text = "%s %s HTTP/1.1\r\n" % (method, path)
    text += "".join("%s: %s\r\n" % it for it in all_headers.items())
    return (text + "\r\n").encode("latin-1") + body


def new_id():
    return "%016x" % random.getrandbits(64)


def main(folder, case):
    """Runs `case(record, temporary folder)`, which returns the exit code, and
    ends every process that it started."""
    record = Record(folder)
    routers = []

    async def run():
        with tempfile.TemporaryDirectory(prefix="crocuslatch-") as tmp:
            try:
                return await asyncio.wait_for(case(record, tmp, routers), 110)
            finally:
                for it in routers:
                    it.end()

    try:
        code = asyncio.run(run())
    except Exception as error:  # The case could not run.
        record("could not run: %s: %s" % (type(error).__name__, error))
        code = EXIT_NOT_RUN
    record("result: %s" % {0: "held", 1: "broken", 2: "not run"}[code])
    sys.exit(code)
