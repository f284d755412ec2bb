"""A home host of a prepaid budget freezes while others ask it for tokens.

16 routers. The tenant's requests reach three of them, the entries, which
reserve the tokens of each request at the tenant's home host. The home is frozen
(SIGSTOP) for 3.5 s, and at the same time a burst of requests arrives. They are
served with tokens of other hosts. The home wakes up (SIGCONT). After a calm
time, more requests are sent, one after another. With LONG=1, the last ones are
sent 64 s after the home woke up.
"""

import asyncio
import os
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from standins import (Replica, Router, Store, ask, find_home,  # noqa: E402
                      request_bytes, run_case, wait_ready)

ROUTERS = 16
STRIDE = 8  # Tokens of one event.
PREPAID = 1_500_000
TIMEOUT_MS = 6000
KEY = "n2ctnfzs989anu6wsjnb"
PROMPT = 30_000
EVENTS = 7
MOST = EVENTS * STRIDE
FREEZE_S = 3.5
CALM_S = 6.0  # More than stable_ms and settle_ms.
BURST = 24
LATER = 60
LAST = 10
LOAN_TIMEOUT_S = 60


def desired_state():
    route = {"name": "r-plan", "host": "plan.example", "prefix": "/plan/",
             "kind": "streaming", "timeout_ms": TIMEOUT_MS, "target_latency_ms": 1500,
             "priority": 1, "service": "engine", "max_attempts": 1, "public": False,
             "session_affinity": True, "resumable": False, "gap_aim_ms": 500}
    engine = {"slots": 64, "kv_capacity_tokens": 386_943, "stride": STRIDE}
    return {"version": 7, "routes": [route],
            "services": [{"name": "engine", "health_path": "/health",
                          "max_connections": 700, "protocol": "h1", "tls": False,
                          "engine": engine}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "tallinn", "api_keys": [KEY], "prepaid": PREPAID}]}


class Tenant:
    """Sends the tenant's requests and counts what it got."""

    def __init__(self, record):
        self.record = record
        self.number = 0
        self.tokens = 0
        self.statuses = []

    async def stream(self, router):
        self.number += 1
        request_id = f"ab{self.number:06x}"
        message = request_bytes(
            "POST", "/plan/2f", "plan.example", request_id, TIMEOUT_MS, KEY,
            [("Crocuslatch-Model", "m"), ("Crocuslatch-Token-Counts", f"{PROMPT},{MOST}"),
             ("Crocuslatch-Prompt-Prefix", f"{self.number:08x}:{PROMPT}")], b"{}")
        self.record.add(f"client sends {request_id} to {router.name} tokens={PROMPT},{MOST}")
        answer = await ask(router.front, message, TIMEOUT_MS / 1000 + 1)
        used = PROMPT + answer.events * STRIDE if answer.events else 0
        self.tokens += used
        self.statuses.append(answer.status)
        self.record.add(f"client gets {request_id} {answer} used={used}")
        return answer


async def main(record, folder, routers, has_trouble):
    store = Store()
    await store.start()
    store.put_json("op/config", desired_state())

    async def on_request(replica, request, writer):
        await replica.send_events(request, writer, EVENTS, 0.1)

    for number in range(4):
        await Replica(store, record, "engine", f"i-{number}", 64, on_request).start()
    bounds = {"drain_ms": 3000, "config_apply_ms": 3000, "retry_slack": 168}
    for number in range(ROUTERS):
        routers.append(Router(folder, store.address, f"front-{number}", bounds=bounds))
    for it in routers:
        it.start()
    await wait_ready(routers)
    # Until every router has read the others' stamps.
    await asyncio.sleep(16)

    tenant = Tenant(record)
    home, _ = await find_home(routers, tenant.stream)
    entries = [it for it in routers if it is not home][:3]
    record.add(f"home {home.name}, entries {[it.name for it in entries]}")
    await asyncio.sleep(1)

    if has_trouble:
        home.signal(signal.SIGSTOP)
        record.add(f"{home.name} freezes")
    burst = [asyncio.create_task(tenant.stream(entries[number % len(entries)]))
             for number in range(BURST)]
    await asyncio.sleep(FREEZE_S)
    if has_trouble:
        home.signal(signal.SIGCONT)
        record.add(f"{home.name} wakes up")
    woken_at = time.monotonic()
    await asyncio.gather(*burst)
    await asyncio.sleep(CALM_S)

    denied = 0
    for number in range(LATER):
        if number == LATER - LAST and os.environ.get("LONG") == "1":
            # Do the tokens come back once the loans' own time limit has passed?
            await asyncio.sleep(woken_at + LOAN_TIMEOUT_S + 4 - time.monotonic())
            record.add("the loans of the frozen home have timed out")
        before = tenant.tokens
        answer = await tenant.stream(entries[number % len(entries)])
        fits = before + PROMPT + MOST <= 0.97 * PREPAID
        if answer.status == 402 and fits:
            denied += 1
    allowed = 5 + tenant.number / 500
    record.add(f"tenant got {tenant.tokens} tokens of {PREPAID} prepaid; {denied} requests"
               f" that fit were denied with 402; allowed: {allowed:.1f}")
    return denied <= allowed


if __name__ == "__main__":
    run_case(main)
