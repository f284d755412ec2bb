"""Stand-ins for the platform's store, the replicas, the callers and the
platform's supervisor of processes, for the cases of this review.

All of them run in one process on one asyncio loop. They follow PROTOCOL.md and
DEPLOY.md; the routers are the project's own programs, started as separate
processes with the command of deploy/system.toml.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

REPOSITORY = pathlib.Path(__file__).resolve().parents[1]
DAEMON = "target/crocuslatchd"
HEARTBEAT_S = 1.2


taken_ports = set()


def free_ports(count):
    """Returns ports that were free just now, below the range from which the
    kernel takes the ports of outgoing connections."""
    ports = []
    while len(ports) < count:
        port = random.randrange(12_000, 32_000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in taken_ports:
            taken_ports.add(port)
            ports.append(port)
    return ports


class Record:
    """The record of one run: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def add(self, text):
        line = f"{time.monotonic() - self.start:8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()


async def read_message(reader):
    """Reads one HTTP/1.1 message. Returns (start line, headers, body)."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = head.rstrip("\r\n").split("\r\n")
    headers = {}
    for it in lines:
        name, _, value = it.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding") == "chunked" and not start.startswith("HTTP/"):
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                break
    return start, headers, body


def response(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's key-value store (PROTOCOL.md)."""

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 100
        self.changed = asyncio.Event()
        self.server = None
        self.address = ""

    async def start(self):
        port = free_ports(1)[0]
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.address = f"127.0.0.1:{port}"

    def write(self, puts, removed=()):
        self.revision += 1
        for key, value in puts:
            old = self.items.get(key)
            self.items[key] = {
                "key": key, "value": base64.b64encode(value).decode(),
                "rev": self.revision, "lease": 0,
                "create_revision": old["create_revision"] if old else self.revision}
            self.events.append(self.items[key])
        for key in removed:
            if self.items.pop(key, None):
                self.events.append({"key": key, "rev": self.revision, "tombstone": True})
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return self.revision

    def put_json(self, key, value):
        return self.write([(key, json.dumps(value).encode())])

    async def serve(self, reader, writer):
        try:
            while True:
                start, _, body = await read_message(reader)
                method, target, _ = start.split(" ")
                status, answer = await self.handle(method, target, body)
                writer.write(response(status, [("Content-Type", "application/json")],
                                      json.dumps(answer).encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def handle(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/-/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"store_revision": self.revision}
            return 200, {**item, "store_revision": self.revision}
        if url.path == "/-/kv-range":
            found = [self.items[key] for key in sorted(self.items)
                     if key.startswith(query["prefix"]) and key > query.get("after", "")]
            return 200, {"items": found[:500], "more_pages": len(found) > 500,
                         "store_revision": self.revision}
        if url.path == "/-/kv-watch":
            return await self.watch(query["prefix"], int(query["after"]),
                                    int(query["wait_ms"]) / 1000)
        if url.path == "/-/kv-txn":
            return self.transaction(json.loads(body))
        return 404, {}

    async def watch(self, prefix, after, wait):
        end = time.monotonic() + wait
        while True:
            found = [it for it in self.events
                     if it["rev"] > after and it["key"].startswith(prefix)]
            left = end - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "store_revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transaction(self, call):
        expected = call.get("expected", [])
        puts = call.get("puts", [])
        removed = call.get("remove", [])
        if len(expected) + len(puts) + len(removed) > 32:
            return 400, {}
        keys = [it["key"] for it in puts] + list(removed)
        if any(it.startswith(("op/", "servers/")) for it in keys):
            return 403, {}
        def revision(key):
            return self.items[key]["rev"] if key in self.items else 0
        if any(revision(it["key"]) != it["rev"] for it in expected):
            return 412, {"items": [self.items[it["key"]] for it in expected
                                   if it["key"] in self.items]}
        rev = self.write([(it["key"], base64.b64decode(it["value"])) for it in puts],
                         removed)
        return 200, {"rev": rev}


class Replica:
    """A replica of one service. `runs` lists the requests that it ran."""

    def __init__(self, store, record, service, name, slots, on_request):
        self.store, self.record = store, record
        self.service, self.name, self.slots = service, name, slots
        # Coroutine function (replica, request, writer) that answers a request.
        self.on_request = on_request
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs = []
        self.address = ""

    async def start(self):
        port = free_ports(1)[0]
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, backlog=512)
        self.address = f"127.0.0.1:{port}"
        self.beat()
        asyncio.create_task(self.beats())

    def beat(self):
        self.sequence += 1
        self.store.put_json(f"servers/{self.name}", {
            "service": self.service, "address": self.address, "zone": "kesklinn",
            "version": "v1", "slots": self.slots, "state": "ready",
            "cold_remaining_ms": 0, "sequence": self.sequence, "born": self.born})

    async def beats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.beat()

    async def serve(self, reader, writer):
        try:
            while True:
                start, headers, body = await read_message(reader)
                method, target, _ = start.split(" ")
                if target == "/-/report":
                    writer.write(response(200, [], b"{}"))
                    continue
                if target == "/health":
                    writer.write(response(200, [("Crocuslatch-Replica-Id", self.name)]))
                    continue
                expected = headers.get("crocuslatch-expect-replica", self.name)
                if expected != self.name:
                    writer.write(response(421, [("Crocuslatch-Replica-Id", self.name)]))
                    continue
                request = {"method": method, "target": target, "headers": headers,
                           "id": headers.get("crocuslatch-request-id", ""), "body": body}
                self.runs.append(request)
                self.record.add(f"replica {self.name} runs {request['id']} {method} {target}"
                                f" tenant={headers.get('crocuslatch-tenant', '-')}")
                await self.on_request(self, request, writer)
                self.record.add(f"replica {self.name} has answered {request['id']}")
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def head(self, request, extra=()):
        return [("Crocuslatch-Request-Id", request["id"]),
                ("Crocuslatch-Replica-Seal", f"{self.name}.{request['id']}"), *extra]

    async def send_whole(self, request, writer, body):
        writer.write(response(200, self.head(request), body))
        await writer.drain()

    async def send_events(self, request, writer, count, pause):
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                 "Transfer-Encoding: chunked"]
        lines += [f"{name}: {value}" for name, value in self.head(request)]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for number in range(1, count + 1):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            if number < count:
                await asyncio.sleep(pause)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Router:
    """One router process and the platform's supervision of it."""

    def __init__(self, folder, store_address, name, zone="kesklinn", bounds=None,
                 link_mbps=1000.0):
        self.name = name
        ports = free_ports(4)
        self.front, self.ready, metrics, peers = ("127.0.0.1:%d" % it for it in ports)
        self.settings = folder / f"{name}.toml"
        values = {"grace_s": 8, "drain_ms": 2000, "config_apply_ms": 2000,
                  "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 58,
                  **(bounds or {})}
        lines = ["[host]", f'name = "{name}"', f'failure_domain = "{zone}"',
                 "[listen]", f'callers = "{self.front}"', f'readiness = "{self.ready}"',
                 f'metrics = "{metrics}"', f'peers = "{peers}"',
                 "[store]", f'address = "{store_address}"',
                 "[bounds]", *(f"{key} = {value}" for key, value in values.items()),
                 "[limits]", f"link_mbps = {link_mbps}"]
        self.settings.write_text("\n".join(lines) + "\n", encoding="utf-8")
        self.log = folder / f"{name}.log"
        self.process = None

    def start(self, preexec=None):
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
                       if key in os.environ}
        environment["CROCUSLATCH_SETTINGS"] = str(self.settings)
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [DAEMON, "front"], cwd=REPOSITORY, env=environment,
                stdin=subprocess.DEVNULL, stdout=log, stderr=log, preexec_fn=preexec)

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    async def wait_end(self, timeout):
        end = time.monotonic() + timeout
        while self.process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.02)
        return self.process.poll()

    async def is_ready(self):
        """The balancer's question: GET /-/readiness."""
        host, port = self.ready.split(":")
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(host, int(port)), 1)
        except (OSError, asyncio.TimeoutError):
            return False
        try:
            writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: ready\r\n"
                         b"Connection: close\r\n\r\n")
            start, _, _ = await asyncio.wait_for(read_message(reader), 1)
            return start.split(" ")[1] == "200"
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()


async def wait_ready(routers, timeout=20):
    end = time.monotonic() + timeout
    for it in routers:
        while not await it.is_ready():
            if time.monotonic() > end:
                raise RuntimeError(f"{it.name} did not become ready")
            await asyncio.sleep(0.1)


class Answer:
    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.events = 0
        # The message has arrived whole.
        self.is_complete = False
        self.error = ""

    def __str__(self):
        return (f"status={self.status} complete={self.is_complete} bytes={len(self.body)}"
                f" events={self.events} error={self.error or '-'}"
                f" retry_after={self.headers.get('retry-after', '-')}")


def request_bytes(method, target, host, request_id, deadline_ms, key="", extra=(),
                  body=b""):
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}",
             f"Crocuslatch-Request-Id: {request_id}",
             f"Crocuslatch-Request-Deadline: {deadline_ms}"]
    if key:
        lines.append(f"Authorization: Bearer {key}")
    lines += [f"{name}: {value}" for name, value in extra]
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def read_answer(reader, answer):
    start, answer.headers, answer.body = await read_message(reader)
    answer.status = int(start.split(" ")[1])
    if answer.headers.get("transfer-encoding") == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                break
            answer.body += chunk
            answer.events = answer.body.count(b"\n\n")
    answer.is_complete = True


async def ask(address, message, timeout):
    """Sends one request on a new channel and returns its answer."""
    answer = Answer()
    host, port = address.split(":")
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host, int(port)), 1)
    except (OSError, asyncio.TimeoutError) as error:
        answer.error = f"no channel: {type(error).__name__}"
        return answer
    try:
        writer.write(message)
        await asyncio.wait_for(read_answer(reader, answer), timeout)
    except asyncio.TimeoutError:
        answer.error = "time limit"
    except (OSError, asyncio.IncompleteReadError) as error:
        answer.error = type(error).__name__
    finally:
        writer.close()
    return answer


async def find_home(routers, send):
    """Sends small requests by `send(router)` until one router lends the tokens
    of another. Returns both, (lender, borrower); they are told by their logs."""
    for it in routers[:8]:
        await send(it)
        await asyncio.sleep(0.4)
        lenders = [r for r in routers if "tokens_lent" in r.log.read_text(errors="replace")]
        if len(lenders) == 1 and lenders[0] is not it:
            return lenders[0], it
        await asyncio.sleep(1)
    raise RuntimeError("no router lends tokens to another")


def run_case(main):
    """Runs `main(record, folder, routers, has_trouble)`, which returns whether
    the rule held, and ends all routers. Exits with 0, 1 or 2."""
    case = pathlib.Path(sys.argv[1]).resolve()
    record = Record(case / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    folder = pathlib.Path(tempfile.mkdtemp(prefix="crocuslatch-review-"))
    routers = []
    code = 2

    def on_stop(*_):
        raise RuntimeError("stopped by a signal")

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, on_stop)
    try:
        if not (REPOSITORY / DAEMON).exists():
            raise RuntimeError(f"{DAEMON} is not built")
        record.add(f"trouble={'yes' if has_trouble else 'no'}")
        # The loop is never closed: the stand-ins' tasks end with the process.
        loop = asyncio.new_event_loop()
        code = 0 if loop.run_until_complete(asyncio.wait_for(
            main(record, folder, routers, has_trouble), 110)) else 1
    except Exception as error:  # The case could not run.
        record.add(f"could not run: {type(error).__name__}: {error}")
    finally:
        for it in routers:
            if it.process and it.process.poll() is None:
                it.process.send_signal(signal.SIGCONT)
                it.process.kill()
            if it.process:
                it.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(folder, file=sys.stderr)
        else:
            shutil.rmtree(folder, ignore_errors=True)
    verdict = {0: "the rule held", 1: "the rule was broken", 2: "could not run"}[code]
    record.add(f"verdict: {verdict}")
    print(verdict, flush=True)
    # Ends the stand-ins at once; their tasks need no orderly end.
    os._exit(code)
