"""Instances before servers that name limits, and what reached those servers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from functools import partial
from typing import Any

import curio

from crankhinge.errors import BadHttp, HttpClosed
from crankhinge_standins import operator
from platform_fakes import FakeReplica, World
from virtual_time import run_virtual

# What the operators allow beyond a server's own word: in some four seconds one and a half times
# that, and five requests.
WINDOW_S = 4.0
ALLOWED_OVERRUN = 0.5
EXTRA_REQUESTS = 5
# Seconds after which instances know each other.
FLEET_READY_S = 8.0

# Target of the routes below, in seconds.
TARGET_LATENCY_S = 0.9

route = operator.route
UNSAFE_ROUTE = route("r-once", "/once/", "unsafe", "plain")
SAFE_ROUTE = route("r-safe", "/safe/", "safe", "plain", max_attempts=2)
STREAM_ROUTE = route("r-stream", "/stream/", "streaming", "llm")
RESUMABLE_ROUTE = route(
    "r-resumed", "/resumed/", "streaming", "llm", max_attempts=2, resumable=True
)
TOKEN_HEADERS = {"x_token_count": "100,50", "length_hint": "40"}


def max_allowed_in_window(per_s: float) -> int:
    """Return how many requests may reach a server in a window that takes *per_s*."""
    return int(per_s * WINDOW_S * (1 + ALLOWED_OVERRUN) + EXTRA_REQUESTS)


def max_in_window(times: Iterable[float]) -> int:
    """Return how many of these moments lie within one window."""
    ordered = sorted(times)
    highest = first = 0
    for last, at in enumerate(ordered):
        while at - ordered[first] > WINDOW_S:
            first += 1
        highest = max(highest, last - first + 1)
    return highest


@dataclass(frozen=True)
class Outcome:
    """What became of an attempt.

    Attributes:
        sent: when its caller sent it.
        took_s: seconds to its answer.
        status: of the answer; 0 for none.
        back_s: seconds after which its caller is told to come back; 0 for no such word.
    """

    sent_at: float
    response_s: float
    status: int
    retry_after_s: float


class LimitedFleet:
    """Some instances at one store, before servers of which some name limits.

    Args:
        instances: how many.
    """

    def __init__(self, instances: int = 3, **settings: Any) -> None:
        self.world = World(**settings)
        others = [self.world.beside(f"g{number}") for number in range(1, instances)]
        self.gateways = [self.world, *others]
        self.outcomes: list[Outcome] = []
        self._request_count = 0

    def add(
        self, incarnation_id: str, service: str = "plain", phase: str = "", **options: Any
    ) -> FakeReplica:
        """Add a server."""
        return self.world.add(incarnation_id, service, phase, **options)

    async def send(self, path: str, **options: Any) -> Outcome:
        """Send a request to the next instance."""
        gateway = self.gateways[self._request_count % len(self.gateways)]
        request_id = f"q{self._request_count}"
        self._request_count += 1
        sent_at = await curio.clock()
        try:
            status, headers, _ = await gateway.call(request_id, path, **options)
        except (BadHttp, HttpClosed):
            status, headers = 0, {}
        response_s = await curio.clock() - sent_at
        outcome = Outcome(sent_at, response_s, status, float(headers.get("retry-after", 0)))
        self.outcomes.append(outcome)
        return outcome

    async def send_at_rate(
        self, path: str, *, per_s: float, duration_s: float, **options: Any
    ) -> None:
        """Send requests evenly, without waiting for answers, then wait for all of them."""
        started_at = await curio.clock()
        async with curio.TaskGroup(wait=all) as group:
            for number in range(int(per_s * duration_s)):
                await curio.sleep(started_at + number / per_s - await curio.clock())
                await group.spawn(partial(self.send, path, **options))

    def run(self, scenario: Callable[[], Awaitable[None]], *routes: dict[str, Any]) -> None:
        """Run *story* once the instances know each other."""

        async def run_when_ready() -> None:
            await curio.sleep(FLEET_READY_S)
            await scenario()

        run_virtual(self.world.play, run_when_ready, *routes, settle_s=0.003)

    def count_statuses(self) -> dict[int, int]:
        """Return how often each status was answered."""
        statuses = [outcome.status for outcome in self.outcomes]
        return {status: statuses.count(status) for status in sorted(set(statuses))}


def max_arrivals_in_window(replica: FakeReplica, since: float = 0.0) -> int:
    """Return the most requests that reached a server within one window."""
    return max_in_window(arrival.at for arrival in replica.arrivals if arrival.at >= since)
