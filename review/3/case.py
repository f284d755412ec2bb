"""One client states a very large maximum number of output tokens.

One router. Clients have requests in flight on kept channels when one more
client sends a request whose Crocuslatch-Token-Counts says `1460,MOST`.

With SHOW=bills, another effect of such sums is shown, on the rule BUDGET: a
tenant sends a few requests that say MOST_WITHOUT_ABORT between its others, and
gets more than its prepaid tokens.
"""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from standins import (Answer, Replica, Router, Store, ask, read_answer,  # noqa: E402
                      request_bytes, run_case, wait_ready)

KEYS = ["n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk"]
TIMEOUT_MS = 8000
MOST = 2**63 - 1
MOST_WITHOUT_ABORT = 2**63 - 1 - 1460  # The sum with the prompt does not overflow.
CLIENTS = 8
PREPAID = 5_900_296
SMALL_PREPAID = 500_000
PROMPT = 20_000
STRIDE = 7


def desired_state(prepaid=PREPAID):
    route = {"name": "r-note", "host": "note.example", "prefix": "/note/",
             "kind": "streaming", "timeout_ms": TIMEOUT_MS, "target_latency_ms": 500,
             "priority": 0, "service": "engine", "max_attempts": 1, "public": False,
             "session_affinity": True, "resumable": False, "gap_aim_ms": 400}
    engine = {"slots": 64, "kv_capacity_tokens": 387_213, "stride": STRIDE}
    return {"version": 7, "routes": [route],
            "services": [{"name": "engine", "health_path": "/health",
                          "max_connections": 370, "protocol": "h1", "tls": False,
                          "engine": engine}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "large", "api_keys": [KEYS[0]], "prepaid": PREPAID},
                        {"name": "small", "api_keys": [KEYS[1]], "prepaid": prepaid}]}


def message(request_id, key, most, prompt=1460):
    return request_bytes(
        "POST", "/note/2f", "note.example", request_id, TIMEOUT_MS, key,
        [("Crocuslatch-Model", "m"), ("Crocuslatch-Token-Counts", f"{prompt},{most}"),
         ("Crocuslatch-Prompt-Prefix", f"{request_id}:{prompt}")], b"{}")


async def kept_client(record, router, number):
    """Sends two requests on one channel; returns the second one's answer."""
    host, port = router.front.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    answer = Answer()
    try:
        for turn in range(2):
            answer = Answer()
            request_id = f"a{turn}{number:06x}"
            record.add(f"client {number} sends {request_id}")
            writer.write(message(request_id, KEYS[1], 105))
            await asyncio.wait_for(read_answer(reader, answer), TIMEOUT_MS / 1000 + 1)
            record.add(f"client {number} gets {request_id} {answer}")
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
        answer.error = type(error).__name__
        record.add(f"client {number} gets no answer: {answer}")
    writer.close()
    return answer


async def show_bills(record, router, has_trouble):
    """One tenant's requests, one after another, until 12 are not served."""
    tokens = sent = unserved = 0
    while sent < 120 and unserved < 12:
        sent += 1
        request_id = f"c0{sent:06x}"
        answer = await ask(router.front, message(request_id, KEYS[1], 14, PROMPT), 8)
        tokens += PROMPT + answer.events * STRIDE if answer.events else 0
        record.add(f"client gets {request_id} {answer}; {tokens} tokens so far")
        if not answer.events:
            unserved += 1
            await asyncio.sleep(0.3)
        if has_trouble and sent % 5 == 0:
            await asyncio.sleep(0.2)
            for turn in range(3):
                answer = await ask(router.front, message(
                    f"d{turn}{sent:06x}", KEYS[1], MOST_WITHOUT_ABORT), 8)
                record.add(f"client gets d{turn}{sent:06x} {answer}")
    record.add(f"tenant got {tokens} tokens of {SMALL_PREPAID} prepaid")
    return tokens <= SMALL_PREPAID


async def main(record, folder, routers, has_trouble):
    store = Store()
    await store.start()
    shows_bills = os.environ.get("SHOW") == "bills"
    store.put_json("op/config",
                   desired_state(SMALL_PREPAID if shows_bills else PREPAID))

    async def on_request(replica, request, writer):
        long = request["id"].startswith("a1")
        await replica.send_events(request, writer, 12 if long else 2, 0.25)

    for number in range(3):
        await Replica(store, record, "engine", f"i-{number}", 64, on_request).start()
    router = Router(folder, store.address, "front-1")
    routers.append(router)
    router.start()
    await wait_ready(routers)
    await asyncio.sleep(3)

    if shows_bills:
        return await show_bills(record, router, has_trouble)
    clients = [asyncio.create_task(kept_client(record, router, number))
               for number in range(CLIENTS)]
    await asyncio.sleep(1.5)
    if has_trouble:
        record.add(f"another client sends b0000001 tokens=1460,{MOST}")
        answer = await ask(router.front, message("b0000001", KEYS[0], MOST), 2)
        record.add(f"another client gets b0000001 {answer}")
    answers = await asyncio.gather(*clients)
    code = router.process.poll()
    lost = sum(not it.is_complete for it in answers)
    record.add(f"router ended by itself: {code is not None} (code {code}); "
               f"{lost} of {CLIENTS} requests from kept channels got no answer")
    return lost <= 3


if __name__ == "__main__":
    run_case(main)
