"""Tests of coordinated placement in whole gateways: from a caller's request to an engine."""

from __future__ import annotations

import re
from typing import Any

import curio

from crankhinge.http import Exchange
from platform_fakes import FakeReplica, GatewayHarness, make_events, route
from virtual_time import run_virtual

STREAM = route("r-stream", "/stream/", "streaming", "llm")
# The answer is expected to take 5 % of the 10,000 tokens of an engine, above the threshold.
LONG_ANSWER = {"x_token_count": "1000,900", "length_hint": "500"}
# 3 %, below the threshold.
SHORT_ANSWER = {"x_token_count": "1000,900", "length_hint": "300"}
# A run of 1,500 tokens takes one second; six fit in an engine's memory.
ANSWER_S = 1.0
RUNS_PER_ENGINE = 6
# Seconds from the first coordinated request until the coordinator decides.
READY_S = 3.0


async def decode_for_a_second(replica: FakeReplica, exchange: Exchange) -> None:
    """Respond with 50 events in one second; then a reservation is free again."""
    await exchange.start_with_fields(200, replica.response_fields(exchange))
    for number in range(1, 51):
        await curio.sleep(ANSWER_S / 50)
        await exchange.write(make_events(number, number))
    await exchange.finish()
    replica.free_reservations += 1


class PlacedFleet:
    """Gateways and engines of one service."""

    def __init__(self, gateways: int = 2, engines: int = 2) -> None:
        self.first = GatewayHarness()
        self.gateways = [self.first] + [
            self.first.add_gateway(f"o{number}") for number in range(1, gateways)
        ]
        self.engines = [
            self.first.add_replica(
                f"i-w{number}",
                "llm",
                "decode",
                handler=decode_for_a_second,
                free_reservations=RUNS_PER_ENGINE,
            )
            for number in range(engines)
        ]
        self.statuses: list[int] = []
        self.took_s: list[float] = []

    async def call(self, gateway: GatewayHarness, request_id: str, **fields: Any) -> None:
        """Send a request and record the status and duration of its response."""
        began_at = await curio.clock()
        status, _, _ = await gateway.call(request_id, "/stream/a", new_connection=True, **fields)
        self.statuses.append(status)
        self.took_s.append(await curio.clock() - began_at)

    async def send(self, count: int, every_s: float, prefix: str, fields: dict[str, str]) -> None:
        """Send requests to the gateways in turn."""
        for number in range(count):
            gateway = self.gateways[number % len(self.gateways)]
            await curio.spawn(self._call, gateway, f"{prefix}{number}", fields, daemon=True)
            await curio.sleep(every_s)

    async def _call(self, gateway: GatewayHarness, request_id: str, fields: dict[str, str]) -> None:
        await self.call(gateway, request_id, **fields)

    async def warm_up(self) -> None:
        """Send enough requests to switch placement on, and wait until its coordinator is ready."""
        await curio.sleep(5.0)
        await self.send(12 * len(self.gateways), 0.1, "warm", LONG_ANSWER)
        await curio.sleep(READY_S)

    def logged(self, *words: str) -> list[str]:
        """Return the log lines of all gateways that contain all of *words*."""
        return [line for gateway in self.gateways for line in gateway.logs.matching(*words)]

    def run(self, scenario: Any) -> None:
        """Run *scenario* in virtual time."""
        run_virtual(self.first.run, scenario, STREAM, settle_s=0.003)


class TestPlacement:
    """Requests of several gateways for the same engines."""

    def test_requests_are_placed_by_one_coordinator(self) -> None:
        """Gateways that reserve for themselves ask full engines; one coordinator asks none."""
        fleet = PlacedFleet()

        async def scenario() -> None:
            await fleet.warm_up()
            fleet.statuses.clear()
            for engine in fleet.engines:
                engine.side_calls.clear()
            await fleet.send(60, 0.1, "q", LONG_ANSWER)
            await curio.sleep(3.0)

        fleet.run(scenario)
        assert fleet.statuses == [200] * 60
        granted = fleet.logged("event=placement_granted")
        assert (
            len([gateway for gateway in fleet.gateways if gateway.logs.matching("_granted")]) == 1
        )
        assert len({re.search(r"run=(\S+)", line) for line in granted}) >= 60
        calls = [call for engine in fleet.engines for call in engine.side_calls]
        assert calls.count("POST /v1/hold-take") == 60

    def test_waiting_request_gets_the_memory_of_a_run_that_ends(self) -> None:
        """A grant that waited for the next poll would cost up to 0.15 s of the target."""
        fleet = PlacedFleet()

        async def scenario() -> None:
            await fleet.warm_up()
            fleet.took_s.clear()
            # One more than the engines hold: the last one waits until the first one ends.
            await fleet.send(2 * RUNS_PER_ENGINE + 1, 0.01, "q", LONG_ANSWER)
            await curio.sleep(3.0)

        fleet.run(scenario)
        assert fleet.logged("event=placement_waiting")
        [waited] = fleet.logged("event=place_taken", "request=q12")
        waited_ms = int(re.search(r"waited_ms=(\d+)", waited)[1])  # type: ignore[index]
        # The first answer ends 1.00 s after the first request, which is 0.88 s after the last one.
        assert 860 <= waited_ms <= 900
        assert max(fleet.took_s) < 2 * ANSWER_S

    def test_overload_is_refused_with_the_predicted_time(self) -> None:
        """A refusal must reach the caller as one, with a delay that the coordinator planned."""
        fleet = PlacedFleet()

        async def scenario() -> None:
            await fleet.warm_up()
            fleet.statuses.clear()
            await fleet.send(80, 0.03, "q", LONG_ANSWER)
            await curio.sleep(6.0)

        fleet.run(scenario)
        assert set(fleet.statuses) == {200, 503}
        assert len(fleet.statuses) == 80
        refused = fleet.logged("event=place_refused", "why=not_placed")
        assert len(refused) == fleet.statuses.count(503)
        assert fleet.logged("event=placement_refused", "back_ms=")
        # Six runs of a second on each of two engines, for the 2.4 s of the load.
        assert fleet.statuses.count(200) >= 2 * RUNS_PER_ENGINE * 2

    def test_requests_are_served_while_the_coordinator_restarts(self) -> None:
        """Nothing depends on the coordinator: without it, instances reserve directly."""
        fleet = PlacedFleet(gateways=3)

        async def scenario() -> None:
            await fleet.warm_up()
            fleet.statuses.clear()
            [coordinator] = [
                gateway for gateway in fleet.gateways if gateway.logs.matching("first=true")
            ]
            fleet.gateways.remove(coordinator)
            await curio.spawn(coordinator.kill_gateway, daemon=True)
            await fleet.send(60, 0.1, "q", LONG_ANSWER)
            await curio.sleep(3.0)

        fleet.run(scenario)
        assert fleet.statuses == [200] * 60
        assert fleet.logged("event=placement_fallback")

    def test_service_with_short_answers_is_not_coordinated(self) -> None:
        """Below the threshold, everything stays as it was, and no datagram is sent."""
        fleet = PlacedFleet()

        async def scenario() -> None:
            await curio.sleep(5.0)
            await fleet.send(40, 0.1, "q", SHORT_ANSWER)
            await curio.sleep(3.0)

        fleet.run(scenario)
        assert fleet.statuses == [200] * 40
        assert not fleet.logged("event=placement")
