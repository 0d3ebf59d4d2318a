"""Tests of orders to engines."""

from __future__ import annotations

import curio

from crankhinge.decisions import WorkMeter
from platform_fakes import World, route, stream
from virtual_time import run_virtual

STREAM = route("r-stream", "/stream/", "streaming", "llm")
TOKENS = {"x_token_count": "3000,800", "length_hint": "800"}


def busy_world(readers: int, writers: int) -> World:
    """Return a world whose answers take long and whose prompts are read at once."""
    world = World()
    for number in range(readers):
        world.add(f"i-r{number}", "llm", "prefill")

    async def slow(replica: object, exchange: object) -> None:
        await curio.sleep(2.0)
        await stream(replica, exchange)  # type: ignore[arg-type]

    for number in range(writers):
        world.add(f"i-w{number}", "llm", "decode", behave=slow)
    return world


async def traffic(world: World) -> None:
    """Send enough streams for the loads to be known."""
    for number in range(14):
        assert (await world.call(f"q{number}", "/stream/a", **TOKENS))[0] == 200


def play(world: World, story: object) -> None:
    """Run *story* under a clock that jumps."""
    run_virtual(world.play, story, STREAM, settle_s=0.003)


class TestOrders:
    """Who orders, and with what fence."""

    def test_readers_without_work_are_ordered_to_write(self) -> None:
        """One order for each engine that is wanted, under the store's revision as fence."""
        world = busy_world(4, 2)

        async def story() -> None:
            await traffic(world)
            await curio.sleep(4.0)
            orders = [order for replica in world.replicas for order in replica.orders]
            assert [order["phase"] for order in orders] == ["decode", "decode"]
            fence = world.store.items["crankhinge/orders"]["revision"]
            assert {order["fencing_token"] for order in orders} == {fence}
            assert {order["expected_revision"] for order in orders} == {0}

        play(world, story)

    def test_no_order_while_another_holds_the_right(self) -> None:
        """A held key means silence."""
        world = busy_world(4, 2)

        async def story() -> None:
            await world.store.put("crankhinge/orders", "another", 9)
            await traffic(world)
            await curio.sleep(20.0)
            assert not any(replica.orders for replica in world.replicas)
            assert world.lines.having("event=tenure_held_elsewhere")

        play(world, story)

    def test_a_fenced_orderer_stays_quiet(self) -> None:
        """After 412 the next engine is not ordered under the same fence."""
        world = busy_world(4, 2)
        for replica in world.replicas:
            replica.order_status = 412

        async def story() -> None:
            await traffic(world)
            await curio.sleep(6.0)
            assert sum(len(replica.orders) for replica in world.replicas) == 1
            assert world.lines.having("event=order_given", "end=fenced")

        play(world, story)

    def test_no_order_without_an_answer_from_the_store(self) -> None:
        """The right is not assumed."""
        world = busy_world(4, 2)

        async def story() -> None:
            world.store.down = True
            await traffic(world)
            await curio.sleep(20.0)
            assert not any(replica.orders for replica in world.replicas)
            assert world.lines.having("event=tenure_unknown")

        play(world, story)

    def test_an_unanswered_order_is_followed_by_no_other(self) -> None:
        """It may be carried out seconds later; the right is kept until that is known."""
        world = busy_world(4, 2)

        async def story() -> None:
            for replica in world.replicas:
                replica.order_status = 0
            await traffic(world)
            await curio.sleep(10.0)
            assert sum(len(replica.orders) for replica in world.replicas) == 1
            assert world.lines.having("event=order_given", "end=unanswered")
            assert "/v1/kv-keep/7" in world.store.calls

        play(world, story)


def test_the_meter_needs_both_kinds_of_samples() -> None:
    """Readings alone say nothing about writing."""
    meter = WorkMeter()
    for _ in range(50):
        meter.was_read(3000, 0.2)
    assert meter.loads() is None
