"""Tests of account limits across callers, several instances, a store and servers."""

from __future__ import annotations

from typing import Any

import curio

from crankhinge.decisions._token_bucket import MAX_RETRY_AFTER_S
from crankhinge_standins.operator import account
from platform_fakes import GatewayHarness, make_config, respond_stream, route
from virtual_time import run_virtual

UNSAFE_ROUTE = route("r-once", "/once/", "unsafe", "plain")
STREAM_ROUTE = route("r-stream", "/stream/", "streaming", "llm")
QUOTA_SETTINGS = {"quota_window_s": 8.0, "quota_overrun": 0.1, "quota_slack": 4000.0}
KEY_HEADER = {"authorization": "Bearer key-red"}
SMALL_REQUEST = {"x_token_count": "150,50", **KEY_HEADER}
LARGE_REQUEST = {"x_token_count": "900,100", "length_hint": "40", **KEY_HEADER}


def account_with_limit(per_s: float, burst: float) -> dict[str, Any]:
    """Return a client account with a limit of tokens per second and a burst."""
    return account("red", "key-red", rate_per_s=per_s, burst=burst)


class GatewayFleet:
    """Several gateways that have the same store and the same servers."""

    def __init__(self, count: int, account: dict[str, Any]) -> None:
        self.harnesses = [
            GatewayHarness(tenants=(account,), name=f"g{number}", **QUOTA_SETTINGS)
            for number in range(count)
        ]
        self.first = self.harnesses[0]
        for harness in self.harnesses[1:]:
            harness.store = self.first.store

    def run(self, scenario: Any) -> None:
        """Run *scenario* in virtual time, beginning when all instances know each other."""

        async def run_when_ready() -> None:
            tasks = [
                await curio.spawn(harness.run_gateway, daemon=True)
                for harness in self.harnesses[1:]
            ]
            await curio.sleep(8.0)
            await scenario()
            for task in tasks:
                await task.cancel()

        run_virtual(self.first.run, run_when_ready, UNSAFE_ROUTE, STREAM_ROUTE, settle_s=0.003)


class TestAccountLimit:
    """The limit of a client account, which counts its use of all instances together."""

    def test_one_instance_may_use_whole_limit(self) -> None:
        """If all callers use one instance, an equal share would refuse half of their requests."""
        fleet = GatewayFleet(3, account_with_limit(1000, 2000))
        fleet.first.add_replica("i-p", "plain")

        async def scenario() -> None:
            for number in range(10):
                assert (await fleet.first.call(f"q{number}", "/once/a", **SMALL_REQUEST))[0] == 200

        fleet.run(scenario)

    def test_total_of_all_instances_is_bounded_and_retry_after_holds(self) -> None:
        """Requests over the limit get 429 and do not run; a retry after Retry-After is served."""
        fleet = GatewayFleet(3, account_with_limit(1000, 2000))
        replica = fleet.first.add_replica("i-p", "plain")

        async def scenario() -> None:
            statuses = []
            for number in range(30):
                harness = fleet.harnesses[number % 3]
                status, headers, _ = await harness.call(f"q{number}", "/once/a", **SMALL_REQUEST)
                statuses.append(status)
            assert set(statuses) == {200, 429}
            assert len(replica.executed_ids) <= 11
            await curio.sleep(float(headers["retry-after"]))
            assert (await fleet.harnesses[1].call("r", "/once/a", **SMALL_REQUEST))[0] == 200
            lines = [
                line for harness in fleet.harnesses for line in harness.logs.matching("over_limit")
            ]
            assert all("account=red" in line and "left=" in line for line in lines)

        fleet.run(scenario)

    def test_every_retry_at_the_time_of_retry_after_is_served(self) -> None:
        """Other callers of the account send three times as much as its limit all the time."""
        fleet = GatewayFleet(3, account_with_limit(1000, 2000))
        fleet.first.add_replica("i-p", "plain")
        retried: list[tuple[float, int]] = []

        async def call_and_retry(number: int) -> None:
            path = f"/once/{number}"
            harness = fleet.harnesses[number % 3]
            params = {**SMALL_REQUEST, "x_deadline_ms": "14000"}
            status, headers, _ = await harness.call(f"q{number}", path, **params)
            if status == 429 and number % 2:
                delay_s = float(headers["retry-after"])
                await curio.sleep(delay_s)
                other = fleet.harnesses[(number + 1) % 3]
                status, _, _ = await other.call(f"r{number}", path, **params)
                retried.append((delay_s, status))

        async def scenario() -> None:
            async with curio.TaskGroup(wait=all) as group:
                for number in range(120):
                    await group.spawn(call_and_retry, number)
                    await curio.sleep(0.067)
            assert len(retried) >= 20
            assert {status for delay_s, status in retried if delay_s < MAX_RETRY_AFTER_S} == {200}

        fleet.run(scenario)

    def test_request_without_reservation_returns_its_tokens(self) -> None:
        """A request that got no KV memory did not run, so its tokens are not charged."""
        fleet = GatewayFleet(2, account_with_limit(300, 2000))
        decode_engine = fleet.first.add_replica(
            "i-w", "llm", "decode", handler=respond_stream, free_reservations=0
        )

        async def scenario() -> None:
            for harness in (*fleet.harnesses, *fleet.harnesses):
                status, _, _ = await harness.call(
                    "q", "/stream/a", **LARGE_REQUEST, x_deadline_ms="900"
                )
                assert status == 503
            decode_engine.free_reservations = 10
            for harness in fleet.harnesses:
                assert (await harness.call("r", "/stream/a", **LARGE_REQUEST))[0] == 200

        fleet.run(scenario)

    def test_lowered_limit_applies_at_once(self) -> None:
        """Tokens that were saved under the old limit are dropped once the new limit is known."""
        fleet = GatewayFleet(2, account_with_limit(1000, 4000))
        replica = fleet.first.add_replica("i-p", "plain")

        async def scenario() -> None:
            lowered = make_config(
                2, UNSAFE_ROUTE, STREAM_ROUTE, tenants=(account_with_limit(100, 200),)
            )
            await fleet.first.store.put("op/config", lowered)
            await curio.sleep(1.0)
            for number in range(10):
                await fleet.harnesses[number % 2].call(f"q{number}", "/once/a", **SMALL_REQUEST)
            assert len(replica.executed_ids) == 1

        fleet.run(scenario)

    def test_account_without_limit_sends_no_quota_request(self) -> None:
        """Its requests must not wait for a message to another instance and back."""
        fleet = GatewayFleet(2, account("red", "key-red"))
        fleet.first.add_replica("i-p", "plain")

        async def scenario() -> None:
            for number in range(5):
                assert (await fleet.first.call(f"q{number}", "/once/a", **SMALL_REQUEST))[0] == 200
            assert not fleet.first.logs.matching("granted_by")

        fleet.run(scenario)
