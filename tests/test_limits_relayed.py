"""Tests of accounts' limits between callers, several instances, a store and replicas."""

from __future__ import annotations

from typing import Any

import curio

from crankhinge_standins.operator import account
from platform_fakes import GatewayHarness, make_config, respond_stream, route
from virtual_time import run_virtual

ONCE = route("r-once", "/once/", "unsafe", "plain")
STREAM = route("r-stream", "/stream/", "streaming", "llm")
BOUNDS = {"quota_window_s": 8.0, "quota_overrun": 0.1, "quota_slack": 4000.0}
KEYED = {"authorization": "Bearer key-red"}
SMALL = {"x_token_count": "150,50", **KEYED}
LARGE = {"x_token_count": "900,100", "length_hint": "40", **KEYED}


def limited(per_s: float, burst: float) -> dict[str, Any]:
    """Return an account with a limit."""
    return account("red", "key-red", rate_per_s=per_s, burst=burst)


class Instances:
    """Several gateways before the same store and replicas."""

    def __init__(self, count: int, account: dict[str, Any]) -> None:
        self.harnesses = [
            GatewayHarness(tenants=(account,), name=f"g{number}", **BOUNDS)
            for number in range(count)
        ]
        self.first = self.harnesses[0]
        for harness in self.harnesses[1:]:
            harness.store = self.first.store

    def play(self, story: Any) -> None:
        """Run *story* once all instances know each other."""

        async def told() -> None:
            tasks = [
                await curio.spawn(harness.run_gateway, daemon=True)
                for harness in self.harnesses[1:]
            ]
            await curio.sleep(8.0)
            await story()
            for task in tasks:
                await task.cancel()

        run_virtual(self.first.run, told, ONCE, STREAM, settle_s=0.003)


class TestLimit:
    """An account's use is counted over all instances."""

    def test_one_instance_spends_what_all_may(self) -> None:
        """Its callers all came to it; an equal share would have refused half of them."""
        fleet = Instances(3, limited(1000, 2000))
        fleet.first.add_replica("i-p", "plain")

        async def story() -> None:
            for number in range(10):
                assert (await fleet.first.call(f"q{number}", "/once/a", **SMALL))[0] == 200

        fleet.play(story)

    def test_the_sum_over_all_is_bounded_and_callers_are_told_when_to_come_back(self) -> None:
        """429 is "not run"; a caller that comes back when it was told to is served."""
        fleet = Instances(3, limited(1000, 2000))
        replica = fleet.first.add_replica("i-p", "plain")

        async def story() -> None:
            statuses = []
            for number in range(30):
                harness = fleet.harnesses[number % 3]
                status, headers, _ = await harness.call(f"q{number}", "/once/a", **SMALL)
                statuses.append(status)
            assert set(statuses) == {200, 429}
            assert len(replica.executed_ids) <= 11
            await curio.sleep(float(headers["retry-after"]))
            assert (await fleet.harnesses[1].call("r", "/once/a", **SMALL))[0] == 200
            lines = [
                line for harness in fleet.harnesses for line in harness.logs.matching("over_limit")
            ]
            assert all("account=red" in line and "left=" in line for line in lines)

        fleet.play(story)

    def test_a_request_that_found_no_room_gives_its_tokens_back(self) -> None:
        """It did not run, so it counts nothing."""
        fleet = Instances(2, limited(300, 2000))
        writer = fleet.first.add_replica(
            "i-w", "llm", "decode", handler=respond_stream, free_reservations=0
        )

        async def story() -> None:
            for harness in (*fleet.harnesses, *fleet.harnesses):
                status, _, _ = await harness.call("q", "/stream/a", **LARGE, x_deadline_ms="900")
                assert status == 503
            writer.free_reservations = 10
            for harness in fleet.harnesses:
                assert (await harness.call("r", "/stream/a", **LARGE))[0] == 200

        fleet.play(story)

    def test_a_lowered_limit_binds_as_soon_as_it_is_known(self) -> None:
        """What had been saved up under the old one is gone."""
        fleet = Instances(2, limited(1000, 4000))
        replica = fleet.first.add_replica("i-p", "plain")

        async def story() -> None:
            later = make_config(2, ONCE, STREAM, tenants=(limited(100, 200),))
            await fleet.first.store.put("op/config", later)
            await curio.sleep(1.0)
            for number in range(10):
                await fleet.harnesses[number % 2].call(f"q{number}", "/once/a", **SMALL)
            assert len(replica.executed_ids) == 1

        fleet.play(story)

    def test_an_account_without_limit_asks_nobody(self) -> None:
        """And no request without a key does."""
        fleet = Instances(2, account("red", "key-red"))
        fleet.first.add_replica("i-p", "plain")

        async def story() -> None:
            for number in range(5):
                assert (await fleet.first.call(f"q{number}", "/once/a", **SMALL))[0] == 200
            assert not fleet.first.logs.matching("granted_by")

        fleet.play(story)
