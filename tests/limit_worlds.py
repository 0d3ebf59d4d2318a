"""Instances before servers that name limits, and what reached those servers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from functools import partial
from typing import Any

import curio

from crankhinge.errors import BadHttp, HttpClosed
from crankhinge_standins import operator
from platform_fakes import FakeReplica, GatewayHarness
from virtual_time import run_virtual

# What the operators allow beyond a server's own word: in some four seconds one and a half times
# that, and five requests.
WINDOW_S = 4.0
OVERRUN = 0.5
SLACK = 5
# Seconds after which instances know each other.
SETTLED_S = 8.0

# Target of the routes below, in seconds.
TARGET_S = 0.9

route = operator.route
ONCE = route("r-once", "/once/", "unsafe", "plain")
SAFE = route("r-safe", "/safe/", "safe", "plain", max_attempts=2)
STREAM = route("r-stream", "/stream/", "streaming", "llm")
RESUMED = route("r-resumed", "/resumed/", "streaming", "llm", max_attempts=2, resumable=True)
TOKENS = {"x_token_count": "100,50", "length_hint": "40"}


def allowed(per_s: float) -> int:
    """Return how many requests may reach a server in a window that takes *per_s*."""
    return int(per_s * WINDOW_S * (1 + OVERRUN) + SLACK)


def most_in_window(times: Iterable[float]) -> int:
    """Return how many of these moments lie within one window."""
    ordered = sorted(times)
    most = first = 0
    for last, moment in enumerate(ordered):
        while moment - ordered[first] > WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most


@dataclass(frozen=True)
class Outcome:
    """What became of an attempt.

    Attributes:
        sent: when its caller sent it.
        took_s: seconds to its answer.
        status: of the answer; 0 for none.
        back_s: seconds after which its caller is told to come back; 0 for no such word.
    """

    sent: float
    took_s: float
    status: int
    back_s: float


class LimitedFleet:
    """Some instances at one store, before servers of which some name limits.

    Args:
        instances: how many.
    """

    def __init__(self, instances: int = 3, **settings: Any) -> None:
        self.harness = GatewayHarness(**settings)
        others = [self.harness.add_gateway(f"g{number}") for number in range(1, instances)]
        self.gateways = [self.harness, *others]
        self.outcomes: list[Outcome] = []
        self._asked = 0

    def add(self, ident: str, service: str = "plain", role: str = "", **more: Any) -> FakeReplica:
        """Add a server."""
        return self.harness.add_replica(ident, service, role, **more)

    async def ask(self, path: str, **more: Any) -> Outcome:
        """Send a request to the next instance."""
        gateway = self.gateways[self._asked % len(self.gateways)]
        ident = f"q{self._asked}"
        self._asked += 1
        sent = await curio.clock()
        try:
            status, headers, _ = await gateway.call(ident, path, **more)
        except (BadHttp, HttpClosed):
            status, headers = 0, {}
        took_s = await curio.clock() - sent
        outcome = Outcome(sent, took_s, status, float(headers.get("retry-after", 0)))
        self.outcomes.append(outcome)
        return outcome

    async def ask_often(self, path: str, *, per_s: float, for_s: float, **more: Any) -> None:
        """Send requests evenly, without waiting for answers, then wait for all of them."""
        began = await curio.clock()
        async with curio.TaskGroup(wait=all) as group:
            for number in range(int(per_s * for_s)):
                await curio.sleep(began + number / per_s - await curio.clock())
                await group.spawn(partial(self.ask, path, **more))

    def play(self, story: Callable[[], Awaitable[None]], *routes: dict[str, Any]) -> None:
        """Run *story* once the instances know each other."""

        async def settled() -> None:
            await curio.sleep(SETTLED_S)
            await story()

        run_virtual(self.harness.run, settled, *routes, settle_s=0.003)

    def statuses(self) -> dict[int, int]:
        """Return how often each status was answered."""
        seen = [outcome.status for outcome in self.outcomes]
        return {status: seen.count(status) for status in sorted(set(seen))}


def most_arrivals(replica: FakeReplica, since: float = 0.0) -> int:
    """Return the most requests that reached a server within one window."""
    return most_in_window(
        arrival.arrived_at for arrival in replica.arrivals if arrival.arrived_at >= since
    )
