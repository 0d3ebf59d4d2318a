"""Another writer leaves an entry under `servers/` that cannot be read: do the gateways live on?"""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
from world import Connection, config, route, run_case  # noqa: E402

CLIENTS = 40
LOAD_S = 40.0
POISON_AT_S = 6.0
# A JSON text whose lists are nested too deeply for the usual readers: 4 KB, in a field that the
# pages do not name. All other entries hold.
DEPTH = 2000
POISON = b'{"notes":' + b"[" * DEPTH + b"]" * DEPTH + b"}"


async def client(world, number: int, until: float, seen: list) -> None:
    rng = random.Random(number)
    conn = None
    while time.monotonic() < until:
        try:
            if conn is None or not conn.usable:
                conn = Connection(world.pick_gateway(rng))
                await conn.open()
        except (OSError, asyncio.TimeoutError):
            conn = None
            seen.append({"status": 0, "connected": False, "sent_at": world.record.now()})
            await asyncio.sleep(0.5)
            continue
        seen.append(await world.request(
            conn, "POST", "/puxa403/2f", body=b"w" * 300, deadline_ms=2500, what="unsafe"))
        await asyncio.sleep(rng.uniform(0.02, 0.2))
    if conn is not None:
        conn.close()


async def main(world) -> bool:
    await world.start_store()
    for _ in range(3):
        replica = await world.add_replica("ledger", slots=64)
        replica.WORK_S = (0.03, 0.45)
    routes = [route("approval", "/puxa403/", "unsafe", "ledger", timeout_ms=2000)]
    world.publish(config(1, routes, [{"name": "ledger", "max_connections": 110}]))
    for _ in range(3):
        world.add_gateway()
    if not await world.wait_ready():
        raise RuntimeError("the gateways did not become ready")
    await asyncio.sleep(3.0)
    seen: list = []
    until = time.monotonic() + LOAD_S
    load = [asyncio.create_task(client(world, n, until, seen)) for n in range(CLIENTS)]
    await asyncio.sleep(POISON_AT_S)
    poisoned_at = world.record.now()
    if world.trouble:
        revision = world.store.put("servers/left-by-another-writer", POISON)
        world.record.write("trouble", what="unreadable entry", bytes=len(POISON), revision=revision)
    await asyncio.gather(*load)

    arrived = {row["id"] for row in world.record.rows if row["kind"] == "arrival"}
    lost = [s for s in seen
            if s.get("kept") and s["id"] in arrived and s["status"] == 0 and "closed" in s["end"]]
    for s in lost:
        world.record.write("LOST", id=s["id"], gateway=s["gateway"], end=s["end"], at=s["ended_at"])
    ends = {g.name: g.ends for g in world.gateways}
    for gateway in world.gateways:
        for line in gateway.log_lines("child_failed", "event=stopped")[:40]:
            world.record.write("log", gateway=gateway.name, line=line)

    def served(begin: float, end: float) -> str:
        rows = [s for s in seen if begin <= s["sent_at"] < end]
        return f"{sum(s['status'] == 200 and s['complete'] for s in rows)} of {len(rows)}"

    summary = {"passed_on_and_closed_without_answer": len(lost), "ends_by_themselves": ends,
               "served_before": served(0, poisoned_at),
               "served_from_10_s_after": served(poisoned_at + 10, 1e9)}
    world.record.write("summary", **summary)
    print(summary)
    return len(lost) > 3


sys.exit(run_case(main, HERE / "record.txt"))
