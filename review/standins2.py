"""Stand-ins for the scripts of the second review: the platform's store,
replicas, and helpers to start the routers. They speak what PROTOCOL.md says and
nothing else; only the standard library is used."""
import asyncio
import base64
import json
import os
import resource
import signal
import socket
import subprocess
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
DAEMON = os.path.join(ROOT, "target", "crocuslatchd")


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.start = time.monotonic()

    def __call__(self, text):
        line = "%9.3f  %s" % (time.monotonic() - self.start, text)
        self.file.write(line + "\n")


async def read_head(reader):
    """Returns (first line, headers with lower-case names), or None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for it in lines[1:]:
        if ":" in it:
            name, value = it.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


class Store:
    """The platform's metadata store. Loses nothing; answers are linearizable."""

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 100
        self.changed = asyncio.Event()
        self.address = None

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 24)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        return self

    def put(self, key, value):
        self.revision += 1
        created = self.items[key]["create_revision"] if key in self.items else self.revision
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "rev": self.revision,
            "create_revision": created,
            "lease": 0,
        }
        self.note({"kind": "put", "item": self.items[key]})

    def put_json(self, key, value):
        self.put(key, json.dumps(value).encode())

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.note({"kind": "gone", "key": key, "rev": self.revision})

    def note(self, event):
        self.events.append((self.revision, event))
        self.changed.set()
        self.changed = asyncio.Event()

    def events_after(self, prefix, after):
        out = []
        for revision, event in self.events:
            if revision <= after:
                continue
            if event["kind"] == "put" and event["item"]["key"].startswith(prefix):
                out.append(event["item"])
            if event["kind"] == "gone" and event["key"].startswith(prefix):
                out.append({"key": event["key"], "rev": event["rev"], "tombstone": True})
        return out

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, headers = head
                method, target, _ = line.split(" ", 2)
                body = b""
                if "content-length" in headers:
                    body = await reader.readexactly(int(headers["content-length"]))
                url = urllib.parse.urlsplit(target)
                query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
                status, answer = await self.call(method, url.path, query, body)
                answer.setdefault("store_revision", self.revision)
                data = json.dumps(answer).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(data)) + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            writer.close()

    async def call(self, method, path, query, body):
        await asyncio.sleep(0.004)
        if path == "/-/kv-key":
            item = self.items.get(query["key"])
            return (200, dict(item)) if item else (404, {})
        if path == "/-/kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(query["prefix"]) and k > query.get("after", ""))
            return 200, {"items": [self.items[k] for k in keys[:500]],
                         "more_pages": len(keys) > 500}
        if path == "/-/kv-watch":
            after = int(query["after"])
            end = time.monotonic() + int(query["wait_ms"]) / 1000
            while True:
                events = self.events_after(query["prefix"], after)
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events}
                changed = self.changed
                try:
                    await asyncio.wait_for(changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/-/kv-txn" and method == "POST":
            call = json.loads(body)
            expected = call.get("expected", [])
            for it in expected:
                current = self.items.get(it["key"])
                if (current["rev"] if current else 0) != it["rev"]:
                    items = [self.items[e["key"]] for e in expected if e["key"] in self.items]
                    return 412, {"items": items}
            self.revision += 1
            for it in call.get("puts", []):
                key = it["key"]
                created = (self.items[key]["create_revision"] if key in self.items
                           else self.revision)
                self.items[key] = {"key": key, "value": it["value"], "rev": self.revision,
                                   "create_revision": created, "lease": it.get("lease", 0)}
                self.note({"kind": "put", "item": self.items[key]})
            for key in call.get("remove", []):
                if self.items.pop(key, None) is not None:
                    self.note({"kind": "gone", "key": key, "rev": self.revision})
            return 200, {"rev": self.revision}
        if path == "/-/kv-lease" and method == "POST":
            self.revision += 1
            return 200, {"lease": self.revision, "ttl_ms": json.loads(body)["ttl_ms"]}
        return 404, {}


class Replica:
    """A replica that registers itself. `plan(headers)` says how to answer: a dict
    with `events` (list of bytes) and `gap` for a stream, or `body` and `work`."""

    def __init__(self, store, service, name, plan, record=None, slots=64, zone="a",
                 heartbeat=1.2):
        self.store, self.service, self.name, self.plan = store, service, name, plan
        self.record, self.slots, self.zone, self.heartbeat = record, slots, zone, heartbeat
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.most = 0
        self.runs = {}

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 24,
                                            backlog=4096)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        self.beats = asyncio.ensure_future(self.beat())
        return self

    async def beat(self):
        while True:
            self.sequence += 1
            self.store.put_json("servers/" + self.name, {
                "service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": "ready",
                "cold_remaining_ms": 0, "sequence": self.sequence, "born": self.born})
            await asyncio.sleep(self.heartbeat)

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, headers = head
                if "content-length" in headers:
                    await reader.readexactly(int(headers["content-length"]))
                if not await self.answer(line, headers, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            writer.close()

    async def answer(self, line, headers, writer):
        request = headers.get("crocuslatch-request-id", "")
        if headers.get("crocuslatch-expect-replica", self.name) != self.name:
            writer.write(b"HTTP/1.1 421 X\r\nCrocuslatch-Replica-Id: %s\r\n"
                         b"Crocuslatch-Request-Id: %s\r\nContent-Length: 0\r\n\r\n"
                         % (self.name.encode(), request.encode()))
            return True
        if line.startswith("GET /-/report"):
            data = json.dumps({"stage": "unified", "models": [], "busy": False, "sequence": 1,
                               "waiting": 0, "running": self.running, "kv_used": 0,
                               "kv_total": 1, "handles": 0}).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                         b"Content-Length: %d\r\n\r\n" % len(data) + data)
            return True
        self.runs[request] = self.runs.get(request, 0) + 1
        self.running += 1
        self.most = max(self.most, self.running)
        if self.record:
            self.record("replica %s runs %s" % (self.name, request))
        try:
            plan = self.plan(line, headers)
            common = (b"HTTP/1.1 200 OK\r\nCrocuslatch-Request-Id: %s\r\n"
                      b"Crocuslatch-Replica-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
                      b"Crocuslatch-Replica-Load: %d,0,%d\r\n"
                      % (request.encode(), self.running, self.slots))
            if "events" in plan:
                writer.write(common + b"Content-Type: text/event-stream\r\n"
                             b"Transfer-Encoding: chunked\r\n\r\n")
                for event in plan["events"]:
                    await asyncio.sleep(plan["gap"])
                    writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
                    await writer.drain()
                writer.write(b"0\r\n\r\n")
            else:
                await asyncio.sleep(plan.get("work", 0))
                writer.write(common + b"Content-Length: %d\r\n\r\n" % len(plan["body"])
                             + plan["body"])
            await writer.drain()
        finally:
            self.running -= 1
            if self.record:
                self.record("replica %s ends %s" % (self.name, request))
        return True


class Router:
    """One process of the system, started with the deploy file's command."""

    def __init__(self, folder, name, store, zone="a", bounds=None, limits=None,
                 descriptors=None):
        self.name, self.folder, self.descriptors = name, folder, descriptors
        self.callers, self.ready, self.metrics, self.peers = (free_port() for _ in range(4))
        bounds = dict({"grace_s": 8, "drain_ms": 2000, "config_apply_ms": 2000,
                       "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 58},
                      **(bounds or {}))
        limits = dict({"link_mbps": 1000.0, "memory_mb": 110, "max_descriptors": 4100},
                      **(limits or {}))
        self.settings = os.path.join(folder, name + ".toml")
        with open(self.settings, "w") as f:
            f.write('[host]\nname = "%s"\nfailure_domain = "%s"\n\n' % (name, zone))
            f.write('[listen]\ncallers = "127.0.0.1:%d"\nreadiness = "127.0.0.1:%d"\n'
                    'metrics = "127.0.0.1:%d"\npeers = "127.0.0.1:%d"\n\n'
                    % (self.callers, self.ready, self.metrics, self.peers))
            f.write('[store]\naddress = "%s"\n\n[bounds]\n' % store.address)
            f.writelines("%s = %s\n" % it for it in bounds.items())
            f.write("\n[limits]\n")
            f.writelines("%s = %s\n" % it for it in limits.items())
        self.process = None

    def start(self):
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        descriptors = self.descriptors

        def limit():
            if descriptors:
                resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

        self.process = subprocess.Popen(
            [DAEMON, "front"], cwd=ROOT, stdout=log, stderr=log, preexec_fn=limit,
            env={"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"),
                 "LANG": "C.UTF-8", "CROCUSLATCH_SETTINGS": self.settings})
        return self

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        """One question of the platform: True for 200."""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection("127.0.0.1", self.ready), 0.9)
            writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 0.9)
            writer.close()
            return head is not None and head[0].split(" ")[1] == "200"
        except (OSError, asyncio.TimeoutError, ConnectionError):
            return False

    async def wait_ready(self, limit=15):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False


def request_bytes(method, path, host, headers, body=b""):
    head = "%s %s HTTP/1.1\r\nHost: %s\r\n" % (method, path, host)
    head += "".join("%s: %s\r\n" % it for it in headers.items())
    if body or method == "POST":
        head += "Content-Length: %d\r\n" % len(body)
    return head.encode() + b"\r\n" + body


def make_state(routes, services, tenants=None, version=1):
    state = {"version": version, "routes": routes, "services": services,
             "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                        "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
    if tenants is not None:
        state["tenants"] = tenants
    return state
