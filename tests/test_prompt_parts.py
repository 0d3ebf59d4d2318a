"""Regression tests of requests that share one part of their prompts and crash their servers."""

from __future__ import annotations

from functools import partial
from typing import Any

import curio
import pytest

from crankhinge.http import Exchange
from platform_fakes import FakeReplica, make_events, respond_ok, route
from test_quarantine import TOKEN_HEADERS, Fleet

BAD_PART = "badbad00"
FIRST_PART = "0f0f0f0f"
# Seconds after the fifth crash for which requests with the part may still reach servers, and the
# number of those that may reach servers later.
CONTACT_S = 3.0
MAX_LATE_REQUESTS = 3
# Crash after which CONTACT_S begins.
COUNTED_CRASH = 5
# Seconds for which the traffic lasts, until the first request with the part, and between two
# requests with it, and two without it.
TRAFFIC_S = 45.0
FIRST_BAD_S = 4.0
BAD_INTERVAL_S = 0.8
SOUND_INTERVAL_S = 0.3
# A server crashes this long after it began to respond; a sound stream takes EVENTS times EVENT_S.
CRASH_AFTER_S = 0.05
EVENTS = 6
EVENT_S = 0.3

STREAM_ROUTE = route("r-stream", "/stream/", "streaming", "llm")
RESUMABLE_ROUTE = route(
    "r-resumed", "/resumed/", "streaming", "llm", max_attempts=2, resumable=True
)
SAFE_ROUTE = route("r-safe", "/safe/", "safe", "plain", max_attempts=2)
ONCE_ROUTE = route("r-once", "/once/", "unsafe", "plain")
ROUTES = (STREAM_ROUTE, RESUMABLE_ROUTE, SAFE_ROUTE, ONCE_ROUTE)
# Parts before the request's own, by where the part that crashes servers stands.
POSITIONS = {
    "first": (BAD_PART, "a1"),
    "middle": (FIRST_PART, BAD_PART, "a1"),
    "next-to-last": (FIRST_PART, "a1", BAD_PART),
}


def shared_parts(exchange: Exchange) -> list[str]:
    """Return the parts of a request's prompt but the last, as a server reads them."""
    text = exchange.req.headers.get("x-prompt-prefix", "")
    return [part.partition(":")[0] for part in text.split(",")][:-1]


async def write_or_crash(replica: FakeReplica, exchange: Exchange) -> None:
    """Write a stream, or crash shortly after its head if the prompt has the part."""
    first = int(exchange.req.headers.get("last-event-id", "0")) + 1
    await exchange.start_with_fields(200, replica.response_fields(exchange))
    if BAD_PART in shared_parts(exchange):
        await curio.sleep(CRASH_AFTER_S)
        await replica.crash()
    for number in range(first, EVENTS + 1):
        await exchange.write(make_events(number, number))
        await curio.sleep(EVENT_S)
    await exchange.finish()


async def call_or_crash(replica: FakeReplica, exchange: Exchange) -> None:
    """Serve a plain call, or crash if the prompt has the part."""
    await curio.sleep(CRASH_AFTER_S)
    if BAD_PART in shared_parts(exchange):
        await replica.crash()
    await respond_ok(replica, exchange)


class PartTraffic:
    """Requests with and without the part, sent to the instances of a fleet in turn.

    Args:
        tenants: client accounts, if callers need API keys.
        instances: the number of instances.
        engines: the number of decode engines.
    """

    def __init__(self, tenants: Any = None, instances: int = 2, engines: int = 6) -> None:
        self.fleet = Fleet(tenants, instances)
        self.fleet.add(2, "llm", "prefill")
        self.fleet.add(engines, "llm", "decode", handler=write_or_crash)
        self.fleet.add(6, "plain", handler=call_or_crash)
        # Sending time and status of each request without the part.
        self.sound: list[tuple[float, int]] = []
        self.started_at = 0.0
        self._sent = 0

    async def send(self, path: str, parts: tuple[str, ...], **options: Any) -> int:
        """Send a request that equals no other one; its last part is its own."""
        self._sent += 1
        number = self._sent
        names = ",".join(f"{part}:100" for part in (*parts, f"{number:08x}"))
        return await self.fleet.send(
            number,
            f"{path}{number}",
            body=b"%d" % number,
            x_prompt_prefix=names,
            **TOKEN_HEADERS,
            **options,
        )

    async def _send_sound(self, path: str, **options: Any) -> None:
        sent_at = await curio.clock()
        self.sound.append((sent_at, await self.send(path, (FIRST_PART, "a1"), **options)))

    async def run(self, path: str, *, parts: tuple[str, ...], **options: Any) -> None:
        """Send both kinds of requests for TRAFFIC_S seconds."""
        self.started_at = await curio.clock()
        async with curio.TaskGroup() as group:
            await group.spawn(self._send_bad_requests, path, parts, options)
            for _ in range(round(TRAFFIC_S / SOUND_INTERVAL_S)):
                await group.spawn(partial(self._send_sound, path, **options))
                await curio.sleep(SOUND_INTERVAL_S)

    async def _send_bad_requests(
        self, path: str, parts: tuple[str, ...], options: dict[str, Any]
    ) -> None:
        await curio.sleep(FIRST_BAD_S)
        async with curio.TaskGroup() as group:
            for _ in range(round((TRAFFIC_S - FIRST_BAD_S) / BAD_INTERVAL_S)):
                await group.spawn(partial(self.send, path, parts, **options))
                await curio.sleep(BAD_INTERVAL_S)

    def _bad_arrivals(self) -> list[float]:
        """Return when requests with the part reached servers, repeats included.

        The processing of a prompt by another engine counts if nothing follows it.
        """
        arrivals = [
            arrival
            for replica in self.fleet.replicas
            for arrival in replica.arrivals
            if BAD_PART in arrival.headers.get("x-prompt-prefix", "")
        ]
        runs = [arrival for arrival in arrivals if "x-stage" not in arrival.headers]
        run_ids = {arrival.request_id for arrival in runs}
        prompts = [arrival for arrival in arrivals if arrival.request_id not in run_ids]
        return sorted(arrival.arrived_at for arrival in (*runs, *prompts))

    def late_arrivals(self) -> int:
        """Return how many requests reached servers later than CONTACT_S after the fifth crash.

        Each request with the part that reaches a server crashes it.
        """
        arrivals = self._bad_arrivals()
        if len(arrivals) < COUNTED_CRASH:
            return 0
        return sum(at > arrivals[COUNTED_CRASH - 1] + CONTACT_S for at in arrivals)


class TestBadPart:
    """Each server that begins to write an answer on one part crashes; no two requests are alike."""

    @pytest.mark.parametrize(
        ("path", "position"),
        [
            ("/stream/", "first"),
            ("/stream/", "middle"),
            ("/stream/", "next-to-last"),
            ("/resumed/", "middle"),
            ("/safe/", "middle"),
            ("/once/", "middle"),
        ],
    )
    def test_few_requests_with_the_part_reach_servers_after_five_crashes(
        self, path: str, position: str
    ) -> None:
        """The instances share no request, only the part."""
        traffic = PartTraffic()

        async def scenario() -> None:
            await traffic.run(path, parts=POSITIONS[position])

        traffic.fleet.run(scenario, *ROUTES)
        assert traffic.fleet.crash_count >= MAX_LATE_REQUESTS
        assert traffic.late_arrivals() <= MAX_LATE_REQUESTS
