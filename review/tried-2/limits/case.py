"""A configuration raises the largest body; kept connections go on with the older limit."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1] / "lib-2"))

from harness import Answer, Case, CannotRun, free_port, log, request, route, run_case  # noqa: E402

REPLICAS, CALLERS = 3, 10
OLD_BYTES, NEW_BYTES = 65536, 4194304
SMALL, LARGE = b"s" * 600, b"L" * 200_000
CONFIG_APPLY_S = 2.0
TRAFFIC_S, CHANGE_AT_S = 40.0, 8.0


async def main(case: Case) -> bool:
    case.start_store()
    hosts = [f"127.0.3.{n + 1}" for n in range(REPLICAS)]
    port = free_port(hosts)
    for n in range(REPLICAS):
        case.start_replica(f"ledger-{n}", host=hosts[n], port=port, service="ledger", work_ms=45)
    routes = [route("approval-write", "unsafe", "ledger", target_latency_ms=200)]
    services = [{"name": "ledger", "max_connections": 110}]
    case.configure(routes, services, OLD_BYTES if case.trouble else NEW_BYTES)
    for n in range(2):
        case.start_gateway(n)
    for n in range(2):
        await case.wait_ready(n)
    await asyncio.sleep(3)
    until = time.monotonic() + TRAFFIC_S
    changed_at = float("inf") if case.trouble else 0.0
    sent, denied, served = [], [], []

    async def caller(gateway: int, number: int) -> None:
        """Send a request a second on one kept connection; large ones once they are allowed."""
        conn, n = None, 0
        while time.monotonic() < until:
            n += 1
            ident = f"c{gateway}-{number}-{n}"
            is_large = time.monotonic() > changed_at + CONFIG_APPLY_S + 0.5 and n % 2 == 0
            kept = conn is not None
            if conn is None:
                conn = await asyncio.open_connection(case.gateway_ips[gateway], case.port)
            headers = {"X-Request-Id": ident, "X-Deadline-Ms": "2500"}
            body = LARGE if is_large else SMALL
            answer: Answer = await request(
                "", 0, "POST", "/approval-write/x", headers, body, conn=conn
            )
            size = f"{len(body)} bytes on a {'kept' if kept else 'new'} connection"
            case.record.write("sent", ident, size, "answered", answer.status, answer.error)
            sent.append(ident)
            if 400 <= answer.status < 500 and answer.status not in (408, 421, 429):
                denied.append(ident)
            if answer.status == 200 and is_large:
                served.append(ident)
            if not answer.complete or answer.headers.get("connection") == "close":
                conn[1].close()
                conn = None
            if answer.status == 413 and conn is not None:
                # The gateway closes the connection of a refused request.
                conn[1].close()
                conn = None
            await asyncio.sleep(1)

    async def change() -> None:
        nonlocal changed_at
        await asyncio.sleep(CHANGE_AT_S)
        case.configure(routes, services, NEW_BYTES)
        changed_at = time.monotonic()

    tasks = [asyncio.ensure_future(caller(g, n)) for g in range(2) for n in range(CALLERS)]
    if case.trouble:
        tasks.append(asyncio.ensure_future(change()))
    await asyncio.gather(*tasks)
    for row in case.runs():
        if row["kind"] == "run":
            case.record.write(row["server"], "run", row["request"], at=row["at"])
    bound = 5 + len(sent) / 500
    log(f"{len(sent)} requests; {len(served)} with a large body served, {len(denied)} denied "
        f"with a 4xx, {bound:.0f} allowed")  # fmt: skip
    case.record.write("verdict:", len(denied), "denied:", *denied)
    if not served:
        raise CannotRun("no large body was served")
    return len(denied) > bound


run_case(main, FOLDER, gateways=2)
