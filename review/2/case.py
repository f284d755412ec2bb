"""A router freezes while streams end; much later it is stopped by SIGTERM.

Seven routers; the clients use one of them. Streams are in flight, each one
event before its end, when that router is frozen (SIGSTOP) for 3.5 s. Their
clients abandon them after a gap of 2.4 s. The router wakes up (SIGCONT). After
a calm time, new streams begin and the router gets SIGTERM. Each of the new
streams would be complete within five sixths of the grace period.
"""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from standins import (Answer, Replica, Router, Store, request_bytes,  # noqa: E402
                      run_case, wait_ready)

KEY = "n2ctnfzs989anu6wsjnb"
TIMEOUT_MS = 12_000
ROUTERS = 7
FREEZE_S = 3.5
GAP_S = 2.4  # After a longer gap, clients abandon a stream.
PAUSE_S = 0.3
FIRST_STREAMS = 6
FIRST_EVENTS = 6
CALM_S = 6.0  # More than stable_ms.
# Streams during the planned stop: 25 events, the last one that long after SIGTERM.
LATER_EVENTS = 25
LATER_ENDS_S = [2.7, 3.35, 4.0, 4.65, 5.3, 5.95, 6.6]
LEAD_S = 0.2  # From the start of these streams to SIGTERM.


def desired_state():
    route = {"name": "r-query", "host": "query.example", "prefix": "/query/",
             "kind": "streaming", "timeout_ms": TIMEOUT_MS, "target_latency_ms": 500,
             "priority": 0, "service": "engine", "max_attempts": 1, "public": False,
             "session_affinity": True, "resumable": False, "gap_aim_ms": 300}
    engine = {"slots": 64, "kv_capacity_tokens": 424_779, "stride": 4}
    return {"version": 7, "routes": [route],
            "services": [{"name": "engine", "health_path": "/health",
                          "max_connections": 360, "protocol": "h1", "tls": False,
                          "engine": engine}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "vrbice", "api_keys": [KEY], "prepaid": 5_900_296}]}


class Client:
    """One client attempt on a new channel; abandons it after a gap."""

    def __init__(self, record, plans, request_id, events, pause):
        self.record, self.request_id = record, request_id
        self.answer = Answer()
        self.wanted = events
        plans[request_id] = (events, pause)

    async def run(self, address):
        host, port = address.split(":")
        answer = self.answer
        self.record.add(f"client sends {self.request_id} events={self.wanted}")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(request_bytes(
            "POST", "/query/2f", "query.example", self.request_id, TIMEOUT_MS, KEY,
            [("Crocuslatch-Model", "m"), ("Crocuslatch-Token-Counts", "200,100"),
             ("Crocuslatch-Prompt-Prefix", f"{self.request_id}:200")], b"{}"))
        data = b""
        try:
            while True:
                part = await asyncio.wait_for(reader.read(65536), GAP_S)
                data += part
                head, _, body = data.partition(b"\r\n\r\n")
                answer.events = body.count(b"\n\n")
                if head.startswith(b"HTTP/1.1 "):
                    answer.status = int(head[9:12])
                if body.endswith(b"0\r\n\r\n"):
                    answer.is_complete = True
                    break
                if not part:
                    answer.error = "channel closed"
                    break
        except asyncio.TimeoutError:
            answer.error = "gap"
        except OSError as error:
            answer.error = type(error).__name__
        writer.close()
        self.record.add(f"client ends {self.request_id} {answer}")


async def main(record, folder, routers, has_trouble):
    store = Store()
    await store.start()
    store.put_json("op/config", desired_state())
    plans = {}

    async def on_request(replica, request, writer):
        await replica.send_events(request, writer, *plans[request["id"]])

    for number in range(3):
        await Replica(store, record, "engine", f"i-{number}", 64, on_request).start()
    for number in range(ROUTERS):
        routers.append(Router(folder, store.address, f"front-{number}"))
        routers[-1].start()
    router = routers[0]
    await wait_ready(routers)
    await asyncio.sleep(3)

    first = [Client(record, plans, f"aa{number:06x}", FIRST_EVENTS, PAUSE_S)
             for number in range(FIRST_STREAMS)]
    tasks = [asyncio.create_task(it.run(router.front)) for it in first]
    while any(it.answer.events < FIRST_EVENTS - 1 for it in first):
        await asyncio.sleep(0.005)
    if has_trouble:
        router.signal(signal.SIGSTOP)
        record.add("router freezes")
        await asyncio.sleep(FREEZE_S)
        router.signal(signal.SIGCONT)
        record.add("router wakes up")
    await asyncio.gather(*tasks)
    await asyncio.sleep(CALM_S)

    later = [Client(record, plans, f"bb{number:06x}", LATER_EVENTS,
                    (end + LEAD_S) / (LATER_EVENTS - 1))
             for number, end in enumerate(LATER_ENDS_S)]
    tasks = [asyncio.create_task(it.run(router.front)) for it in later]
    await asyncio.sleep(LEAD_S)
    router.signal(signal.SIGTERM)
    stopped_at = time.monotonic()
    record.add("platform sends SIGTERM")
    code = await router.wait_end(8)
    record.add(f"router ended with {code}, {time.monotonic() - stopped_at:.2f} s after SIGTERM")
    await asyncio.gather(*tasks)
    cut = [it for it in later if not it.answer.is_complete]
    record.add(f"{len(cut)} of {len(later)} streams were cut by the planned stop")
    return not cut


if __name__ == "__main__":
    run_case(main)
