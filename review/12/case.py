"""A tenant runs prompts beyond its prepaid tokens after channels went silent."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standins3 as s  # noqa: E402

PREPAID = 100_000
PROMPT_TOKENS, MAX_OUTPUT_TOKENS = 19_000, 140
STRIDE = 7
ROUTERS = 3
REQUESTS = 4
# Share of the channels of one router that go silent.
SILENT_SHARE = 0.5
FIRST_TOKEN_S, EVENTS, EVENT_GAP_S = 1.0, 20, 0.05
SILENCE_AFTER_S = 0.5
DEADLINE_MS = 6_000


class Engine(s.Replica):
    """Makes the first token of a request after a second, and then the rest. It
    drops a request if its channel closes before the first token."""

    def __init__(self, *args):
        super().__init__(*args)
        self.begun = {}
        self.proxy = None

    def entry(self, state="ready"):
        return dict(super().entry(state), address=self.proxy.address)

    async def run(self, request, writer):
        headers = request["headers"]
        request_id = headers["crocuslatch-request-id"]
        await asyncio.sleep(FIRST_TOKEN_S)
        if writer.is_closing() or request["reader"].at_eof():
            return
        self.begun[request_id] = int(
            headers["crocuslatch-token-counts"].split(",")[0])
        writer.write(s.make_head(200, dict(
            self.own_headers(request),
            **{"Content-Type": "text/event-stream",
               "Transfer-Encoding": "chunked"})))
        for number in range(1, EVENTS + 1):
            event = b"id: %d\ndata: x\n\n" % number
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_GAP_S)
        writer.write(b"0\r\n\r\n")


class Proxy:
    """Forwards channels to one replica. Those that are silenced forward nothing
    from then on, in either direction, and are not closed."""

    def __init__(self, replica):
        self.replica = replica
        self.open = []

    @property
    def address(self):
        return "127.0.0.1:%d" % self.port

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        other_reader, other_writer = await asyncio.open_connection(
            self.replica.ip, self.replica.port)
        channel = {"silent": False}
        self.open.append(channel)
        try:
            await asyncio.gather(
                self._forward(channel, reader, other_writer),
                self._forward(channel, other_reader, writer))
        except (ConnectionError, asyncio.CancelledError):
            pass

    async def _forward(self, channel, reader, writer):
        while data := await reader.read(65536):
            if not channel["silent"]:
                writer.write(data)
                await writer.drain()
        if not channel["silent"]:
            writer.close()
            if channel in self.open:
                self.open.remove(channel)


async def ask(router, record):
    """Sends one request; returns the number of events that arrived."""
    request_id = s.new_id()
    reader, writer = await asyncio.open_connection(router.ip, router.front)
    writer.write(s.request_bytes("/e/1", request_id, DEADLINE_MS, "POST", b"p", {
        "Authorization": "Bearer key", "Crocuslatch-Model": "m",
        "Crocuslatch-Token-Counts": "%d,%d" % (PROMPT_TOKENS,
                                               MAX_OUTPUT_TOKENS),
        "Crocuslatch-Prompt-Prefix": "aa:1000,%s:%d" % (
            request_id[:8], PROMPT_TOKENS - 1000)}))
    begun = time.monotonic()
    status, events = "no answer", 0
    try:
        head = await asyncio.wait_for(s.read_head(reader),
                                      DEADLINE_MS / 1000)
        if head is not None:
            status = head[0]
            body = await asyncio.wait_for(s.read_body(reader, head[1]),
                                          DEADLINE_MS / 1000)
            events = body.count(b"id: ") if " 200 " in status + " " else 0
    except asyncio.TimeoutError:
        pass
    writer.close()
    record("request %s: %s, %d events after %.1f s" % (
        request_id, status, events, time.monotonic() - begun))
    return events


async def case(record, tmp, routers):
    store = s.Store("127.0.0.1")
    await store.start()
    engines = [Engine(store, "llm", "e-%d" % n) for n in range(2)]
    for it in engines:
        await s.HttpServer.start(it)
        it.proxy = Proxy(it)
        await it.proxy.start()
        it.beat = asyncio.ensure_future(it._beat())
    store.put_json("op/config", s.desired_state(
        3, [s.route("e", "/e/", "streaming", "llm", DEADLINE_MS,
                    target_latency_ms=1500, session_affinity=True,
                    gap_aim_ms=400)],
        [{"name": "llm", "health_path": "/health", "engine": {
            "slots": 64, "kv_capacity_tokens": 387213, "stride": STRIDE,
            "models": [{"name": "m"}]}}],
        [{"name": "archive", "api_keys": ["key"], "prepaid": PREPAID}]))
    routers.extend(s.Router("front-%d" % n, store.address, tmp)
                   for n in range(1, ROUTERS + 1))
    for it in routers:
        it.start()
    for it in routers:
        await it.wait_ready()
    router = routers[0]
    record("%d routers ready; prepaid of the tenant: %d" % (ROUTERS, PREPAID))
    await asyncio.sleep(2)
    events = 0
    first = [asyncio.ensure_future(ask(router, record))
             for _ in range(REQUESTS)]
    await asyncio.sleep(SILENCE_AFTER_S)
    if sum(len(it.arrivals) for it in engines) != REQUESTS:
        raise s.NotRun("not all requests reached the replicas")
    if s.TROUBLE:
        channels = [it for engine in engines for it in engine.proxy.open]
        silent = channels[:int(SILENT_SHARE * len(channels))]
        for it in silent:
            it["silent"] = True
        record("%d of %d open channels between %s and the replicas go silent"
               % (len(silent), len(channels), router.name))
    events += sum(await asyncio.gather(*first))
    await asyncio.sleep(2)
    for _ in range(REQUESTS):
        events += await ask(router, record)
    begun = {}
    for it in engines:
        begun.update(it.begun)
    used = sum(begun.values()) + events * STRIDE
    record("%d requests have run; %d tokens in, %d tokens of output delivered, "
           "%d in all; prepaid %d" % (len(begun), sum(begun.values()),
                                      events * STRIDE, used, PREPAID))
    return s.EXIT_BROKEN if used > PREPAID else s.EXIT_HELD


s.main(FOLDER, case)
