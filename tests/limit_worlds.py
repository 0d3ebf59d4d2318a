"""Instances in front of servers that advertise limits, and counts of the requests that they get."""

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

# The operators allow a server, in any window of four seconds, one and a half times its advertised
# limit and five requests more.
WINDOW_S = 4.0
ALLOWED_OVERRUN = 0.5
EXTRA_REQUESTS = 5
# Seconds after which the instances know each other.
FLEET_READY_S = 8.0

# Target latency of the routes below.
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
    """Return how many requests a server with a limit of *per_s* may get in one window."""
    return int(per_s * WINDOW_S * (1 + ALLOWED_OVERRUN) + EXTRA_REQUESTS)


def max_in_window(times: Iterable[float]) -> int:
    """Return the highest number of these times that lie within one window of WINDOW_S."""
    ordered = sorted(times)
    highest = first = 0
    for last, at in enumerate(ordered):
        while at - ordered[first] > WINDOW_S:
            first += 1
        highest = max(highest, last - first + 1)
    return highest


@dataclass(frozen=True)
class Outcome:
    """The outcome of one request of a caller.

    Attributes:
        sent_at: when the caller sent it.
        response_s: seconds until the response.
        status: status of the response; 0 if there was none.
        retry_after_s: the ``Retry-After`` of the response; 0 if there was none.
    """

    sent_at: float
    response_s: float
    status: int
    retry_after_s: float


class LimitedFleet:
    """Several instances with one store, in front of servers of which some advertise limits.

    Args:
        instances: the number of instances.
    """

    def __init__(self, instances: int = 3, **settings: Any) -> None:
        self.harness = GatewayHarness(**settings)
        others = [self.harness.add_gateway(f"g{number}") for number in range(1, instances)]
        self.gateways = [self.harness, *others]
        self.outcomes: list[Outcome] = []
        self._request_count = 0

    def add(
        self, incarnation_id: str, service: str = "plain", role: str = "", **options: Any
    ) -> FakeReplica:
        """Add a server with a store entry; *options* are those of FakeReplica."""
        return self.harness.add_replica(incarnation_id, service, role, **options)

    async def send(self, path: str, **options: Any) -> Outcome:
        """Send a request to the next instance in turn."""
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
        """Send requests at a steady rate, without waiting for responses; then wait for all."""
        started_at = await curio.clock()
        async with curio.TaskGroup(wait=all) as group:
            for number in range(int(per_s * duration_s)):
                await curio.sleep(started_at + number / per_s - await curio.clock())
                await group.spawn(partial(self.send, path, **options))

    def run(self, scenario: Callable[[], Awaitable[None]], *routes: dict[str, Any]) -> None:
        """Run *scenario* in virtual time, beginning when the instances know each other."""

        async def run_when_ready() -> None:
            await curio.sleep(FLEET_READY_S)
            await scenario()

        run_virtual(self.harness.run, run_when_ready, *routes, settle_s=0.003)

    def count_statuses(self) -> dict[int, int]:
        """Return how many responses had each status."""
        statuses = [outcome.status for outcome in self.outcomes]
        return {status: statuses.count(status) for status in sorted(set(statuses))}


def max_arrivals_in_window(replica: FakeReplica, since: float = 0.0) -> int:
    """Return the highest number of requests that reached a server within one window."""
    return max_in_window(
        arrival.arrived_at for arrival in replica.arrivals if arrival.arrived_at >= since
    )
