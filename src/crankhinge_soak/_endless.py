"""Measures what servers that send bytes without end cost an instance and its other callers.

Streams go to engines that respond with endless bytes of one kind; beside them, callers of plain
requests measure how long they wait. The first row of the result is the same load with engines that
respond normally.
"""

from __future__ import annotations

import os
import statistics
import time
from dataclasses import dataclass
from pathlib import Path

import curio

from crankhinge.errors import BadHttp, HttpClosed
from crankhinge.http import HttpClient
from crankhinge_bench._procs import HOST
from crankhinge_soak._fleet import ONCE_PATH, STREAM_PATH, Fleet
from crankhinge_standins.replica import ENDLESS_PLACES

STREAM_CALLERS = 4
PLAIN_CALLERS = 4
# Seconds between two requests of a caller.
STREAM_PAUSE_S, PLAIN_PAUSE_S = 0.05, 0.1
WARM_UP_S = 4.0
DEADLINE_MS = "4000"
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True)
class EndlessRow:
    """What one kind of endless bytes cost.

    Attributes:
        place: where the bytes come; empty for normal responses.
        streams: number of streams that ended, in any way.
        plain_answered: number of plain requests that were answered with 200.
        plain_failed: number of plain requests that were not.
        median_ms: median time of the plain requests.
        p99_ms: their 99th percentile.
        processor_share: processor time of the instance, in cores.
        peak_mb: largest resident memory of the instance so far.
    """

    place: str
    streams: int
    plain_answered: int
    plain_failed: int
    median_ms: float
    p99_ms: float
    processor_share: float
    peak_mb: float


def measure_endless(seconds: float, logs: Path | None = None) -> list[EndlessRow]:
    """Measure normal responses, then each kind of endless bytes, for some seconds each."""
    fleet = Fleet(logs)
    try:
        fleet.start()
        rows: list[EndlessRow] = curio.run(_measure_all, fleet, seconds)
    finally:
        fleet.stop()
    return rows


async def _measure_all(fleet: Fleet, seconds: float) -> list[EndlessRow]:
    rows = []
    async with curio.TaskGroup() as paths:
        for proxy in fleet.proxies():
            await paths.spawn(proxy.run)
        await fleet.publish()
        await curio.sleep(WARM_UP_S)
        for place in ("", *ENDLESS_PLACES):
            faults = {"endless": 1.0 if place else 0.0, "endless_in": place}
            for engine in fleet.places:
                if engine.role == "decode":
                    await fleet.set_faults(engine.port, **faults)
            rows.append(await _measure(fleet, place, seconds))
        await paths.cancel_remaining()
    return rows


async def _measure(fleet: Fleet, place: str, seconds: float) -> EndlessRow:
    gateway = fleet.gateways[0]
    until = time.monotonic() + seconds
    streams: list[float] = []
    plain: list[float] = []
    failed: list[float] = []
    cpu_before_s = _processor_s(fleet)
    async with curio.TaskGroup() as callers:
        for number in range(STREAM_CALLERS):
            await callers.spawn(
                _call_until, fleet, gateway.port, STREAM_PATH, f"s{number}", until, streams, streams
            )
        for number in range(PLAIN_CALLERS):
            await callers.spawn(
                _call_until, fleet, gateway.port, ONCE_PATH, f"p{number}", until, plain, failed
            )
    times_ms = sorted(1000 * took_s for took_s in plain) or [float("inf")]
    return EndlessRow(
        place=place,
        streams=len(streams),
        plain_answered=len(plain),
        plain_failed=len(failed),
        median_ms=round(statistics.median(times_ms), 1),
        p99_ms=round(times_ms[min(len(times_ms) - 1, int(0.99 * len(times_ms)))], 1),
        processor_share=round((_processor_s(fleet) - cpu_before_s) / seconds, 2),
        peak_mb=round(fleet.read_peak_memory()[gateway.name], 1),
    )


async def _call_until(
    fleet: Fleet,
    port: int,
    path: str,
    name: str,
    until: float,
    answered: list[float],
    failed: list[float],
) -> None:
    """Send requests one after the other; note how long each took, by whether it was answered."""
    client = HttpClient(HOST, port)
    pause_s = STREAM_PAUSE_S if path == STREAM_PATH else PLAIN_PAUSE_S
    number = 0
    while time.monotonic() < until:
        number += 1
        ident = f"{name}-{time.monotonic_ns()}"
        headers = {
            "host": "h.example",
            "x-request-id": ident,
            "x-deadline-ms": DEADLINE_MS,
            "authorization": f"Bearer {fleet.keys[-1]}",
        }
        if path == STREAM_PATH:
            headers |= {"x-model": "m", "x-token-count": "200,400", "length-hint": "200"}
        started_at = time.monotonic()
        try:
            response = await client.call("POST", f"{path}x", headers=headers, body=ident.encode())
            is_answered = response.status == 200
        except (HttpClosed, BadHttp):
            is_answered = False
        (answered if is_answered else failed).append(time.monotonic() - started_at)
        await curio.sleep(pause_s)


def _processor_s(fleet: Fleet) -> float:
    """Return the processor time of the first instance in seconds, from proc(5)."""
    pid = fleet.procs[fleet.gateways[0].name].pid
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def render_endless(rows: list[EndlessRow]) -> str:
    """Return the rows as a table."""
    lines = ["bytes without end in  streams  plain ok  failed  median ms  p99 ms  cores  peak MB"]
    lines += [
        f"{row.place or 'nothing':<21} {row.streams:>8} {row.plain_answered:>9}"
        f" {row.plain_failed:>7} {row.median_ms:>10} {row.p99_ms:>7} {row.processor_share:>6}"
        f" {row.peak_mb:>8}"
        for row in rows
    ]
    return "\n".join(lines)
