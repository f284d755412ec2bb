"""A home host of a prepaid budget is restarted as planned while loans are open.

16 routers; all requests reach one of them, the entry. The tenant's tokens are
held by its home host, from which the entry borrows for each request. The home
is stopped (SIGTERM) and started again, while streams that began before still
last. Afterwards larger streams begin. Then requests are sent until the budget
refuses them. Counted are the tokens that the tenant got: input tokens of each
request of which the client received a piece, and the tokens of the pieces that
it received. With STOP=kill, the home is killed (SIGKILL) instead.
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
STRIDE = 5  # Tokens of one event.
PREPAID = 500_000
TIMEOUT_MS = 12_000
GRACE_S = 8
KEY = "n2ctnfzs989anu6wsjnb"
# Requests before the kill and after the restart: (prompt tokens, events, pause).
SMALL = (300, 26, 0.4)
LARGE = (30_000, 15, 0.4)
FINAL = (30_000, 4, 0.1)
STREAMS = 10
LARGE_AFTER_S = 6  # From the start of the small streams to that of the large ones.


def desired_state():
    route = {"name": "r-draft", "host": "draft.example", "prefix": "/draft/",
             "kind": "streaming", "timeout_ms": TIMEOUT_MS, "target_latency_ms": 2000,
             "priority": 1, "service": "engine", "max_attempts": 1, "public": False,
             "session_affinity": True, "resumable": False, "gap_aim_ms": 400}
    engine = {"slots": 64, "kv_capacity_tokens": 424_390, "kv_token_bytes": 18432,
              "link_mbps": 740000.0, "moves": True, "backups": True, "stride": STRIDE,
              "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0,
              "models": [{"name": "m"}]}
    return {"version": 7, "routes": [route],
            "services": [{"name": "engine", "health_path": "/health",
                          "max_connections": 720, "protocol": "h1", "tls": False,
                          "engine": engine}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "vrbice", "api_keys": [KEY], "prepaid": PREPAID}]}


class Tenant:
    """Sends the tenant's requests and counts what it got."""

    def __init__(self, record, plans):
        self.record, self.plans = record, plans
        self.tokens = 0
        self.served = 0
        self.refused = 0
        self.number = 0

    async def stream(self, address, kind, prefix):
        prompt, events, _ = kind
        self.number += 1
        request_id = f"{prefix}{self.number:08x}"
        self.plans[request_id] = kind
        most = events * STRIDE
        message = request_bytes(
            "POST", "/draft/2f", "draft.example", request_id, TIMEOUT_MS, KEY,
            [("Crocuslatch-Model", "m"), ("Crocuslatch-Token-Counts", f"{prompt},{most}"),
             ("Crocuslatch-Prompt-Prefix", f"{self.number:08x}:{prompt}")], b"{}")
        self.record.add(f"client sends {request_id} tokens={prompt},{most}")
        answer = await ask(address, message, TIMEOUT_MS / 1000 + 1)
        used = prompt + answer.events * STRIDE if answer.events else 0
        self.tokens += used
        self.served += 1 if answer.status == 200 else 0
        self.refused += 1 if answer.status in (402, 503) else 0
        self.record.add(f"client gets {request_id} {answer} used={used}")
        return answer


async def main(record, folder, routers, has_trouble):
    store = Store()
    await store.start()
    store.put_json("op/config", desired_state())
    plans = {}

    async def on_request(replica, request, writer):
        _, events, pause = plans[request["id"]]
        await replica.send_events(request, writer, events, pause)

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

    tenant = Tenant(record, plans)
    home, entry = await find_home(
        routers, lambda it: tenant.stream(it.front, (100, 2, 0.1), "a"))
    record.add(f"entry {entry.name}, home {home.name}")
    small = [asyncio.create_task(tenant.stream(entry.front, SMALL, "b"))
             for _ in range(STREAMS)]
    began_at = time.monotonic()
    await asyncio.sleep(0.5)
    if has_trouble:
        number = signal.SIGKILL if os.environ.get("STOP") == "kill" else signal.SIGTERM
        record.add(f"platform sends {number.name} to {home.name}")
        home.signal(number)
        code = await home.wait_end(GRACE_S)
        record.add(f"{home.name} ended with {code}")
        await asyncio.sleep(0.5)
        home.start()
        record.add(f"platform starts {home.name}")
        await wait_ready([home])
    await asyncio.sleep(began_at + LARGE_AFTER_S - time.monotonic())
    large = [asyncio.create_task(tenant.stream(entry.front, LARGE, "c"))
             for _ in range(STREAMS + 1)]
    await asyncio.gather(*small, *large)
    # Uses up what is left.
    refused = 0
    while refused < 6 and tenant.number < 100:
        answer = await tenant.stream(entry.front, FINAL, "d")
        if answer.status != 200:
            refused += 1
            await asyncio.sleep(0.5)
    record.add(f"tenant got {tenant.tokens} tokens of {PREPAID} prepaid;"
               f" served={tenant.served} refused={tenant.refused}")
    return tenant.tokens <= PREPAID


if __name__ == "__main__":
    run_case(main)
