"""Random series of faults around requests that crash servers, under a virtual clock.

A seed draws when callers send requests, to which instance, and which faults happen meanwhile:
instances are killed and restart, datagrams between them are lost, the store is unreachable, servers
are killed from outside. ``python tests/test_quarantine_series.py FIRST LAST [parts]`` runs a range
of seeds, with ``parts`` those of requests that share a part of their prompts.
"""

from __future__ import annotations

import random
import sys
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from functools import partial
from typing import Any
from unittest import mock

import curio
import pytest

from crankhinge.errors import BadHttp, HttpClosed
from crankhinge.gateway._peer_messenger import PeerMessenger
from crankhinge.http import Exchange
from platform_fakes import FakeReplica, GatewayHarness, crash, respond_ok, respond_stream, route
from virtual_time import run_virtual

UNSAFE_ROUTE = route("r-once", "/once/", "unsafe", "plain")
SAFE_ROUTE = route("r-safe", "/safe/", "safe", "plain", max_attempts=2)
STREAM_ROUTE = route("r-stream", "/stream/", "streaming", "llm", max_attempts=2, resumable=True)
TOKEN_HEADERS = {"x_token_count": "100,50", "length_hint": "40"}
# Seconds after which callers give up: their deadline of four seconds, and time for the response.
CALLER_TIMEOUT_S = 6.0
FLEET_READY_S = 8.0
RUN_S = 60.0
# Seconds without faults after which an instance knows what the others know.
PROPAGATION_S = 3.0
# Crashes that begin a quarantine, and how many more may happen after PROPAGATION_S.
QUARANTINE_CRASHES = 3
MAX_LATE_CRASHES = 3
# Share of the datagrams that is lost.
MESSAGE_LOSS_SHARE = 0.1
# Share of the harmless requests that must be served while servers and instances crash.
MIN_SERVED_SHARE = 0.95


@dataclass
class FaultSeries:
    """The requests and faults that one seed draws, and what came of them.

    Attributes:
        by_part: whether the requests that crash servers are all different and share a part of their
            prompts; otherwise each is sent again and again.
        crashes: for each crashing request or part the times of its crashes on the virtual clock,
            and whether the last fault of an instance or the store was over PROPAGATION_S before.
        last_fault_at: when the last fault of an instance or the store happened.
        harmless_served: for each harmless request, whether it was served.
        quarantine_refusals: the number of harmless requests that were refused by a quarantine.
        unanswered_requests: requests without a response from an instance that was not killed.
    """

    seed: int
    by_part: bool = False
    crashes: dict[bytes, list[tuple[float, bool]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    last_fault_at: float = float("-inf")
    harmless_served: list[bool] = field(default_factory=list)
    quarantine_refusals: int = 0
    unanswered_requests: int = 0

    def __post_init__(self) -> None:
        self._rng = random.Random(self.seed)
        self._kill_counts: Counter[str] = Counter()
        self._harness = GatewayHarness()
        self._gateways = [self._harness, *(self._harness.add_gateway(f"g{n}") for n in range(2))]
        self._replicas = [
            self._harness.add_replica(f"i-{n}", "plain", handler=self._serve_plain, restart_s=2.0)
            for n in range(6)
        ]
        self._replicas += [
            self._harness.add_replica(
                f"i-w{n}", "llm", "decode", handler=self._serve_stream, restart_s=2.0
            )
            for n in range(5)
        ]
        self._harness.add_replica("i-r0", "llm", "prefill")
        self._harness.add_replica("i-r1", "llm", "prefill")
        self._request_count = 0

    async def _serve_plain(self, replica: FakeReplica, exchange: Exchange) -> None:
        await curio.sleep(0.05)
        await self._serve_or_crash(replica, exchange, respond_ok)

    async def _serve_stream(self, replica: FakeReplica, exchange: Exchange) -> None:
        await self._serve_or_crash(replica, exchange, respond_stream)

    async def _serve_or_crash(self, replica: FakeReplica, exchange: Exchange, behave: Any) -> None:
        # With *by_part*, a number follows the name of the part.
        name = exchange.req.body.partition(b"-")[0]
        if not name.startswith(b"crash"):
            await behave(replica, exchange)
            return
        now = await curio.clock()
        self.crashes[name].append((now, now - self.last_fault_at > PROPAGATION_S))
        await crash(replica, exchange)

    def run(self) -> None:
        """Run the requests and faults of the seed in virtual time."""
        send = PeerMessenger.send

        async def lossy_send(messenger: PeerMessenger, address: str, message: Any) -> None:
            if self._rng.random() >= MESSAGE_LOSS_SHARE:
                await send(messenger, address, message)

        with mock.patch.object(PeerMessenger, "send", lossy_send):
            run_virtual(
                self._harness.run,
                self._scenario,
                UNSAFE_ROUTE,
                SAFE_ROUTE,
                STREAM_ROUTE,
                settle_s=0.003,
            )

    async def _scenario(self) -> None:
        await curio.sleep(FLEET_READY_S)
        until = await curio.clock() + RUN_S
        async with curio.TaskGroup() as group:
            for name, path in enumerate(("/once/a", "/safe/a", "/stream/a")):
                await group.spawn(self._send_crashing, b"crash%d" % name, path, until)
            for path in ("/once/a", "/safe/a", "/stream/a"):
                await group.spawn(self._send_harmless, path, until)
            await group.spawn(self._inject_faults, until)

    async def _send(self, path: str, body: bytes) -> tuple[int, bytes]:
        self._request_count += 1
        gateway = self._rng.choice(self._gateways)
        headers = dict(TOKEN_HEADERS if path.startswith("/stream") else {})
        if self.by_part:
            name = body.partition(b"-")[0].decode()
            parts = ["5a", name, "a1"] if name.startswith("crash") else ["5a", "a1"]
            headers["x_prompt_prefix"] = ",".join([*parts, f"own{self._request_count}"])
        call = partial(
            gateway.call, f"q{self._request_count}", path, body=body, new_connection=True, **headers
        )
        kills = self._kill_counts[gateway.name]
        try:
            status, _, response_body = await curio.timeout_after(CALLER_TIMEOUT_S, call)
        except (BadHttp, HttpClosed):
            return 0, b""
        except curio.TaskTimeout:
            # Only an instance that was killed meanwhile may leave a request without a response.
            self.unanswered_requests += kills == self._kill_counts[gateway.name]
            return 0, b""
        return status, response_body

    async def _send_crashing(self, body: bytes, path: str, until: float) -> None:
        await curio.sleep(self._rng.uniform(0.0, 10.0))
        while await curio.clock() < until:
            suffix = b"-%d" % self._request_count if self.by_part else b""
            await self._send(path, body + suffix)
            await curio.sleep(self._rng.uniform(0.2, 4.0))

    async def _send_harmless(self, path: str, until: float) -> None:
        number = 0
        while await curio.clock() < until:
            number += 1
            # Some requests have the same body each time, the others a new one each time.
            body = b"same" if self._rng.random() < 0.3 else b"%d" % number
            status, response_body = await self._send(path, body)
            self.harmless_served.append(status == 200)
            self.quarantine_refusals += b"quarantined" in response_body
            await curio.sleep(self._rng.uniform(0.05, 0.6))

    async def _inject_faults(self, until: float) -> None:
        while await curio.clock() < until:
            await curio.sleep(self._rng.uniform(1.0, 12.0))
            inject_fault = self._rng.choice(
                (self._kill_gateways, self._make_store_unreachable, self._kill_server)
            )
            await inject_fault()

    async def _kill_gateways(self) -> None:
        for gateway in self._rng.sample(self._gateways, self._rng.choice((1, 1, 3))):
            self.last_fault_at = await curio.clock()
            self._kill_counts[gateway.name] += 1
            await gateway.kill_gateway()
        self.last_fault_at = await curio.clock()

    async def _make_store_unreachable(self) -> None:
        self._harness.store.down = True
        for _ in range(20):
            self.last_fault_at = await curio.clock()
            await curio.sleep(0.1)
        self._harness.store.down = False
        self.last_fault_at = await curio.clock()

    async def _kill_server(self) -> None:
        await self._rng.choice(self._replicas).crashed.set()

    def violations(self) -> list[str]:
        """Return a description of each invariant that did not hold."""
        violations = []
        for body, crashes in self.crashes.items():
            third = (
                crashes[QUARANTINE_CRASHES - 1][0]
                if len(crashes) >= QUARANTINE_CRASHES
                else float("inf")
            )
            late = [at for at, propagated in crashes if propagated and at > third + PROPAGATION_S]
            if len(late) > MAX_LATE_CRASHES:
                violations.append(f"{body!r}: {len(late)} more crashes, {len(crashes)} in all")
        if self.unanswered_requests:
            violations.append(
                f"{self.unanswered_requests} requests to running instances got no response"
            )
        if sum(self.harmless_served) < MIN_SERVED_SHARE * len(self.harmless_served):
            violations.append(
                f"{sum(self.harmless_served)} of {len(self.harmless_served)} "
                "harmless requests served"
            )
        return violations


class TestFaultSeries:
    """Invariants that hold for any order of requests, crashes and other faults."""

    @pytest.mark.parametrize(
        ("seed", "by_part"), [(0, False), (1, False), (2, False), (0, True), (1, True)]
    )
    def test_crashing_requests_reach_few_servers_and_harmless_ones_are_served(
        self, seed: int, by_part: bool
    ) -> None:
        """From 3 s after the third crash on, a request or a part crashes three servers at most."""
        series = FaultSeries(seed, by_part)
        series.run()
        assert any(len(crashes) >= QUARANTINE_CRASHES for crashes in series.crashes.values())
        assert series.violations() == []


def main(first: int, last: int, *, by_part: bool) -> int:
    """Run the seeds *first* to *last* and print their results; return the exit status."""
    failed = 0
    for seed in range(first, last + 1):
        series = FaultSeries(seed, by_part)
        series.run()
        crashes = sorted(len(each) for each in series.crashes.values())
        served = f"{sum(series.harmless_served)}/{len(series.harmless_served)}"
        violations = series.violations()
        failed += bool(violations)
        print(
            seed,
            "crashes",
            crashes,
            "served",
            served,
            "refused by quarantine",
            series.quarantine_refusals,
            violations,
        )
    print(f"{last - first + 1} seeds, {failed} with violations")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2]), by_part="parts" in sys.argv[3:]))
