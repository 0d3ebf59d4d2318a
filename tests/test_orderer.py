"""Tests of orders to engines."""

from __future__ import annotations

from functools import partial

import curio
import curio.socket
import msgspec
import pytest

from crankhinge.adapters import InstanceRecord
from crankhinge.decisions import EngineRole, WorkloadMeter, WorkloadStats
from crankhinge.gateway._peer_messages import EngineOrdered, PeerMessage
from platform_fakes import HOST, GatewayHarness, free_port, respond_stream, route
from virtual_time import run_virtual

STREAM = route("r-stream", "/stream/", "streaming", "llm")
TOKENS = {"x_token_count": "3000,800", "length_hint": "800"}


def busy_harness(readers: int, writers: int) -> GatewayHarness:
    """Return a harness whose answers take long and whose prompts are read at once."""
    harness = GatewayHarness()
    for number in range(readers):
        harness.add_replica(f"i-r{number}", "llm", "prefill")

    async def slow(replica: object, exchange: object) -> None:
        await curio.sleep(2.0)
        await respond_stream(replica, exchange)  # type: ignore[arg-type]

    for number in range(writers):
        harness.add_replica(f"i-w{number}", "llm", "decode", handler=slow)
    return harness


async def traffic(harness: GatewayHarness) -> None:
    """Send enough streams for the loads to be known."""
    for number in range(14):
        assert (await harness.call(f"q{number}", "/stream/a", **TOKENS))[0] == 200


async def put_note(
    harness: GatewayHarness, name: str, *, read_s: float, admitted: int, pace_s: float = 0.04
) -> None:
    """Put the note of another instance; unless told its answers take as long as here."""
    sheet = WorkloadStats(
        admitted=admitted,
        answers=admitted,
        readings=admitted,
        tokens=3000.0,
        read_s=read_s,
        token_s=read_s / 3000.0,
        part=0.36,
        part_tokens=288.0,
        pace_s=pace_s,
    )
    note = msgspec.to_builtins(InstanceRecord("", {"llm": sheet}))
    await harness.store.put(f"crankhinge/work/{name}", note)


def play(harness: GatewayHarness, story: object) -> None:
    """Run *story* under a clock that jumps."""
    run_virtual(harness.run, story, STREAM, settle_s=0.003)


class TestOrders:
    """Who orders, and with what fence."""

    def test_readers_without_work_are_ordered_to_write(self) -> None:
        """One order for each engine that is wanted, under the store's revision as fence."""
        harness = busy_harness(4, 2)

        async def story() -> None:
            await traffic(harness)
            await curio.sleep(4.0)
            orders = [order for replica in harness.replicas for order in replica.orders]
            assert [order["phase"] for order in orders] == ["decode", "decode"]
            fence = harness.store.items["crankhinge/orders"]["revision"]
            assert {order["fencing_token"] for order in orders} == {fence}
            assert {order["expected_revision"] for order in orders} == {0}

        play(harness, story)

    def test_no_order_while_another_holds_the_right(self) -> None:
        """A held key means silence."""
        harness = busy_harness(4, 2)

        async def story() -> None:
            await harness.store.put("crankhinge/orders", "another", 9)
            await traffic(harness)
            await curio.sleep(20.0)
            assert not any(replica.orders for replica in harness.replicas)
            assert harness.logs.matching("event=tenure_held_elsewhere")

        play(harness, story)

    def test_a_fenced_orderer_stays_quiet(self) -> None:
        """After 412 the next engine is not ordered under the same fence."""
        harness = busy_harness(4, 2)
        for replica in harness.replicas:
            replica.order_status = 412

        async def story() -> None:
            await traffic(harness)
            await curio.sleep(6.0)
            assert sum(len(replica.orders) for replica in harness.replicas) == 1
            assert harness.logs.matching("event=order_given", "end=fenced")

        play(harness, story)

    def test_no_order_without_an_answer_from_the_store(self) -> None:
        """The right is not assumed."""
        harness = busy_harness(4, 2)

        async def story() -> None:
            harness.store.down = True
            await traffic(harness)
            await curio.sleep(20.0)
            assert not any(replica.orders for replica in harness.replicas)
            assert harness.logs.matching("event=notes_unknown")
            assert harness.logs.matching("event=note_unknown")

        play(harness, story)

    def test_no_order_without_an_answer_about_the_right(self) -> None:
        """The others' notes were read, but leases are not given."""
        harness = busy_harness(4, 2)
        harness.store.refused_path = "/v1/kv-lease"

        async def story() -> None:
            await traffic(harness)
            await curio.sleep(20.0)
            assert not any(replica.orders for replica in harness.replicas)
            assert harness.logs.matching("event=tenure_unknown")

        play(harness, story)

    def test_one_instance_does_not_decide_against_the_others(self) -> None:
        """It sees readers without work; thirty others, whose answers are short, do not."""
        harness = busy_harness(4, 2)

        async def story() -> None:
            for number in range(30):
                await put_note(harness, f"other-{number}", read_s=0.5, pace_s=0.0002, admitted=50)
            await traffic(harness)
            await curio.sleep(10.0)
            assert not any(replica.orders for replica in harness.replicas)
            assert harness.logs.matching("event=work_together", "instances=31")

        play(harness, story)

    def test_a_few_requests_are_enough_where_others_saw_the_same(self) -> None:
        """Two own answers, and the notes of four more instances, make an order."""
        harness = busy_harness(4, 2)

        async def story() -> None:
            for number in range(4):
                await put_note(harness, f"other-{number}", read_s=0.01, admitted=5)
            for number in range(2):
                assert (await harness.call(f"q{number}", "/stream/a", **TOKENS))[0] == 200
            await curio.sleep(6.0)
            assert any(replica.orders for replica in harness.replicas)

        play(harness, story)

    def test_a_note_that_cannot_be_read_is_left_out(self) -> None:
        """A line says so; the others count."""
        harness = busy_harness(4, 2)

        async def story() -> None:
            await harness.store.put("crankhinge/work/odd", {"peer": "", "sheets": "?"})
            await traffic(harness)
            await curio.sleep(4.0)
            assert any(replica.orders for replica in harness.replicas)
            assert harness.logs.matching("event=note_unreadable", "key=crankhinge/work/odd")

        play(harness, story)

    def test_an_unanswered_order_is_followed_by_no_other(self) -> None:
        """It may be carried out seconds later; the right is kept until that is known."""
        harness = busy_harness(4, 2)

        async def story() -> None:
            for replica in harness.replicas:
                replica.order_status = 0
            await traffic(harness)
            await curio.sleep(10.0)
            assert sum(len(replica.orders) for replica in harness.replicas) == 1
            assert harness.logs.matching("event=order_given", "end=unanswered")
            assert any(call.startswith("/v1/kv-keep/") for call in harness.store.calls)

        play(harness, story)


class TestTold:
    """What the other instances hear of orders."""

    def test_each_order_is_told_at_once(self) -> None:
        """To where the notes say that the others take notices."""
        harness = busy_harness(4, 2)
        heard: list[bytes] = []
        port = free_port()

        async def listen() -> None:
            sock = curio.socket.socket(curio.socket.AF_INET, curio.socket.SOCK_DGRAM)
            async with sock:
                sock.bind((HOST, port))
                while True:
                    heard.append(await sock.recv(1200))

        async def story() -> None:
            task = await curio.spawn(listen, daemon=True)
            note = msgspec.to_builtins(InstanceRecord(f"{HOST}:{port}", {}))
            await harness.store.put("crankhinge/work/other", note)
            await traffic(harness)
            await curio.sleep(4.0)
            ordered = {replica.incarnation_id for replica in harness.replicas if replica.orders}
            said = [msgspec.msgpack.decode(data, type=PeerMessage) for data in heard]
            told = [message for message in said if isinstance(message, EngineOrdered)]
            assert ordered
            assert {notice.server for notice in told} == ordered
            assert {notice.phase for notice in told} == {EngineRole.DECODE}
            await task.cancel()

        play(harness, story)

    @pytest.mark.parametrize("told", [True, False])
    def test_engines_under_order_are_counted_by_their_new_parts(self, told: bool) -> None:
        """Another instance's orders are on their way: the split is as wanted, none is given."""
        harness = busy_harness(4, 2)

        async def story() -> None:
            sock = curio.socket.socket(curio.socket.AF_INET, curio.socket.SOCK_DGRAM)
            async with sock:
                for ident in ("i-r0", "i-r1"):
                    notice = EngineOrdered(ident, EngineRole.DECODE, 13.0)
                    data = msgspec.msgpack.encode(notice)
                    if told:
                        await sock.sendto(data, (HOST, harness.peer_port))
            async with curio.TaskGroup() as group:
                for number in range(14):
                    await group.spawn(partial(harness.call, f"q{number}", "/stream/a", **TOKENS))
            await curio.sleep(4.0)
            assert any(replica.orders for replica in harness.replicas) is not told

        play(harness, story)


class TestChange:
    """Which engines are ordered, and how soon."""

    def test_an_engine_in_the_way_is_passed_over(self) -> None:
        """Two of five follow another order; the others are ordered all the same.

        A single one once ended the whole change, and the next came twelve seconds later.
        """
        harness = busy_harness(5, 2)
        for replica in harness.replicas[:2]:
            replica.busy = True

        async def story() -> None:
            await traffic(harness)
            await curio.sleep(4.0)
            ordered = [replica.incarnation_id for replica in harness.replicas if replica.orders]
            assert ordered
            assert not {"i-r0", "i-r1"} & set(ordered)
            assert harness.logs.matching("event=order_given", "end=taken")

        play(harness, story)

    def test_a_dark_engine_is_passed_over(self) -> None:
        """It does not answer; another one is ordered while the right lasts."""
        harness = busy_harness(4, 2)
        dark = harness.replicas[0]
        dark.ignores_side_calls = True

        async def story() -> None:
            await traffic(harness)
            await curio.sleep(5.0)
            ordered = [replica.incarnation_id for replica in harness.replicas if replica.orders]
            assert ordered
            assert dark.incarnation_id not in ordered

        play(harness, story)

    def test_no_order_when_the_right_may_be_over(self) -> None:
        """Six engines in the way, each of which takes half a second to say so, use it up.

        So does an instance that stands still on its way: the end of the right is compared with the
        clock before each order, not counted in steps.
        """
        harness = busy_harness(8, 2)
        for replica in harness.replicas[:6]:
            replica.busy = True
        for replica in harness.replicas[:8]:
            replica.report_delay_s = 0.5

        async def story() -> None:
            await traffic(harness)
            await curio.sleep(5.0)
            assert harness.logs.matching("event=tenure_over")
            assert not any(replica.orders for replica in harness.replicas)

        play(harness, story)

    def test_a_wish_lasts_though_servers_come_and_go(self) -> None:
        """A release changes the number of engines each half second."""
        harness = busy_harness(4, 2)
        coming = harness.add_replica("i-c", "llm", "prefill")

        async def story() -> None:
            async def release() -> None:
                while True:
                    await harness.store.remove("servers/i-c")
                    await curio.sleep(0.45)
                    await coming.publish_entry()
                    await curio.sleep(0.45)

            task = await curio.spawn(release, daemon=True)
            await traffic(harness)
            await curio.sleep(4.0)
            assert any(replica.orders for replica in harness.replicas)
            await task.cancel()

        play(harness, story)


def test_the_meter_needs_both_kinds_of_samples() -> None:
    """Readings alone say nothing about writing."""
    meter = WorkloadMeter()
    for _ in range(50):
        meter.record_prompt(3000, 0.2)
    assert meter.loads() is None
