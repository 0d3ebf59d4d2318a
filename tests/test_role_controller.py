"""Tests of role orders to engines."""

from __future__ import annotations

from functools import partial

import curio
import curio.socket
import msgspec
import pytest

from crankhinge.adapters import InstanceRecord
from crankhinge.decisions import EngineRole, WorkloadMeter, WorkloadStats
from crankhinge.gateway._peer_messages import EngineOrdered, decode_message
from platform_fakes import HOST, GatewayHarness, free_port, respond_stream, route
from virtual_time import run_virtual

STREAM = route("r-stream", "/stream/", "streaming", "llm")
TOKEN_HEADERS = {"x_token_count": "3000,800", "length_hint": "800"}


def busy_harness(prefill_engines: int, decode_engines: int) -> GatewayHarness:
    """Return a harness whose answers take long and whose prompts are processed at once."""
    harness = GatewayHarness()
    for number in range(prefill_engines):
        harness.add_replica(f"i-r{number}", "llm", "prefill")

    async def respond_after_two_seconds(replica: object, exchange: object) -> None:
        await curio.sleep(2.0)
        await respond_stream(replica, exchange)  # type: ignore[arg-type]

    for number in range(decode_engines):
        harness.add_replica(f"i-w{number}", "llm", "decode", handler=respond_after_two_seconds)
    return harness


async def send_streams(harness: GatewayHarness) -> None:
    """Send enough streams for the workload to be measured."""
    for number in range(14):
        assert (await harness.call(f"q{number}", "/stream/a", **TOKEN_HEADERS))[0] == 200


async def put_instance_record(
    harness: GatewayHarness,
    name: str,
    *,
    prefill_s: float,
    admitted: int,
    decode_token_s: float = 0.04,
) -> None:
    """Store the record of another instance; by default its answers take as long as here."""
    stats = WorkloadStats(
        admitted=admitted,
        answers=admitted,
        readings=admitted,
        tokens=3000.0,
        read_s=prefill_s,
        token_s=prefill_s / 3000.0,
        part=0.36,
        part_tokens=288.0,
        pace_s=decode_token_s,
    )
    record = msgspec.to_builtins(InstanceRecord("", {"llm": stats}))
    await harness.store.put(f"crankhinge/work/{name}", record)


def run_scenario(harness: GatewayHarness, scenario: object) -> None:
    """Run *scenario* in virtual time."""
    run_virtual(harness.run, scenario, STREAM, settle_s=0.003)


class TestOrders:
    """Which instance sends orders, and under which fencing token."""

    def test_idle_prefill_engines_are_ordered_to_decode(self) -> None:
        """Each engine that is needed gets one order, with the store's revision as fencing token."""
        harness = busy_harness(4, 2)

        async def scenario() -> None:
            await send_streams(harness)
            await curio.sleep(4.0)
            orders = [order for replica in harness.replicas for order in replica.orders]
            assert [order["phase"] for order in orders] == ["decode", "decode"]
            fencing_token = harness.store.items["crankhinge/orders"]["revision"]
            assert {order["fencing_token"] for order in orders} == {fencing_token}
            assert {order["expected_revision"] for order in orders} == {0}

        run_scenario(harness, scenario)

    def test_version_without_a_decode_engine_gets_one_first(self) -> None:
        """Of four prefill engines, one has the version of which no decode engine is left."""
        harness = busy_harness(4, 2)
        harness.replicas[2].version = "v2"

        async def scenario() -> None:
            await send_streams(harness)
            await curio.sleep(4.0)
            ordered = [replica for replica in harness.replicas if replica.orders]
            assert [order["phase"] for order in harness.replicas[2].orders] == ["decode"]
            assert len(ordered) == 2

        run_scenario(harness, scenario)

    def test_no_order_while_another_instance_holds_the_lease(self) -> None:
        """The key of the order lease is taken in the store."""
        harness = busy_harness(4, 2)

        async def scenario() -> None:
            await harness.store.put("crankhinge/orders", "another", 9)
            await send_streams(harness)
            await curio.sleep(20.0)
            assert not any(replica.orders for replica in harness.replicas)
            assert harness.logs.matching("event=tenure_held_elsewhere")

        run_scenario(harness, scenario)

    def test_fenced_instance_sends_no_further_order(self) -> None:
        """After status 412 the next engine gets no order under the same fencing token."""
        harness = busy_harness(4, 2)
        for replica in harness.replicas:
            replica.order_status = 412

        async def scenario() -> None:
            await send_streams(harness)
            await curio.sleep(6.0)
            assert sum(len(replica.orders) for replica in harness.replicas) == 1
            assert harness.logs.matching("event=order_given", "end=fenced")

        run_scenario(harness, scenario)

    def test_no_order_while_the_store_is_unreachable(self) -> None:
        """The instance does not assume that it holds the order lease."""
        harness = busy_harness(4, 2)

        async def scenario() -> None:
            harness.store.down = True
            await send_streams(harness)
            await curio.sleep(20.0)
            assert not any(replica.orders for replica in harness.replicas)
            assert harness.logs.matching("event=notes_unknown")
            assert harness.logs.matching("event=note_unknown")

        run_scenario(harness, scenario)

    def test_no_order_when_the_store_grants_no_lease(self) -> None:
        """The records of the other instances can be read."""
        harness = busy_harness(4, 2)
        harness.store.refused_path = "/v1/kv-lease"

        async def scenario() -> None:
            await send_streams(harness)
            await curio.sleep(20.0)
            assert not any(replica.orders for replica in harness.replicas)
            assert harness.logs.matching("event=tenure_unknown")

        run_scenario(harness, scenario)

    def test_one_instance_does_not_outweigh_the_others(self) -> None:
        """It sees idle prefill engines; thirty others, whose answers are short, do not."""
        harness = busy_harness(4, 2)

        async def scenario() -> None:
            for number in range(30):
                await put_instance_record(
                    harness, f"other-{number}", prefill_s=0.5, decode_token_s=0.0002, admitted=50
                )
            await send_streams(harness)
            await curio.sleep(10.0)
            assert not any(replica.orders for replica in harness.replicas)
            assert harness.logs.matching("event=work_together", "instances=31")

        run_scenario(harness, scenario)

    def test_few_requests_suffice_when_other_instances_agree(self) -> None:
        """Two local answers and the records of four more instances lead to an order."""
        harness = busy_harness(4, 2)

        async def scenario() -> None:
            for number in range(4):
                await put_instance_record(harness, f"other-{number}", prefill_s=0.01, admitted=5)
            for number in range(2):
                assert (await harness.call(f"q{number}", "/stream/a", **TOKEN_HEADERS))[0] == 200
            await curio.sleep(6.0)
            assert any(replica.orders for replica in harness.replicas)

        run_scenario(harness, scenario)

    def test_unreadable_record_is_left_out(self) -> None:
        """A log line names it; the other records count."""
        harness = busy_harness(4, 2)

        async def scenario() -> None:
            await harness.store.put("crankhinge/work/odd", {"peer": "", "sheets": "?"})
            await send_streams(harness)
            await curio.sleep(4.0)
            assert any(replica.orders for replica in harness.replicas)
            assert harness.logs.matching("event=note_unreadable", "key=crankhinge/work/odd")

        run_scenario(harness, scenario)

    def test_order_without_a_response_is_followed_by_no_other(self) -> None:
        """It may be carried out seconds later; the lease is kept until its outcome is known."""
        harness = busy_harness(4, 2)

        async def scenario() -> None:
            for replica in harness.replicas:
                replica.order_status = 0
            await send_streams(harness)
            await curio.sleep(10.0)
            assert sum(len(replica.orders) for replica in harness.replicas) == 1
            assert harness.logs.matching("event=order_given", "end=unanswered")
            assert any(call.startswith("/v1/kv-keep/") for call in harness.store.calls)

        run_scenario(harness, scenario)


class TestOrderMessages:
    """Messages to the other instances about orders."""

    def test_other_instances_learn_of_each_order_at_once(self) -> None:
        """The messages go to the peer addresses in the instance records."""
        harness = busy_harness(4, 2)
        received: list[bytes] = []
        port = free_port()

        async def receive() -> None:
            sock = curio.socket.socket(curio.socket.AF_INET, curio.socket.SOCK_DGRAM)
            async with sock:
                sock.bind((HOST, port))
                while True:
                    received.append(await sock.recv(1200))

        async def scenario() -> None:
            task = await curio.spawn(receive, daemon=True)
            record = msgspec.to_builtins(InstanceRecord(f"{HOST}:{port}", {}))
            await harness.store.put("crankhinge/work/other", record)
            await send_streams(harness)
            await curio.sleep(4.0)
            ordered = {replica.incarnation_id for replica in harness.replicas if replica.orders}
            messages = [decode_message(data) for data in received]
            order_messages = [message for message in messages if isinstance(message, EngineOrdered)]
            assert ordered
            assert {order.server for order in order_messages} == ordered
            assert {order.phase for order in order_messages} == {EngineRole.DECODE}
            await task.cancel()

        run_scenario(harness, scenario)

    @pytest.mark.parametrize("notified", [True, False])
    def test_engines_under_order_count_in_their_new_role(self, notified: bool) -> None:
        """Orders of another instance already give the wanted split: no further order is sent."""
        harness = busy_harness(4, 2)

        async def scenario() -> None:
            sock = curio.socket.socket(curio.socket.AF_INET, curio.socket.SOCK_DGRAM)
            async with sock:
                for server_id in ("i-r0", "i-r1"):
                    message = EngineOrdered(server_id, EngineRole.DECODE, 13.0)
                    data = msgspec.msgpack.encode(message)
                    if notified:
                        await sock.sendto(data, (HOST, harness.peer_port))
            # The decode engines have memory for eight streams.
            for first in (0, 7):
                async with curio.TaskGroup() as group:
                    for number in range(first, first + 7):
                        await group.spawn(
                            partial(harness.call, f"q{number}", "/stream/a", **TOKEN_HEADERS)
                        )
            await curio.sleep(4.0)
            assert any(replica.orders for replica in harness.replicas) is not notified

        run_scenario(harness, scenario)


class TestRoleChange:
    """Which engines are ordered, and how soon."""

    def test_busy_engine_is_skipped(self) -> None:
        """Two of five engines carry out another order; the others still get orders.

        A single busy engine once ended the whole change, and the next one came twelve seconds
        later.
        """
        harness = busy_harness(5, 2)
        for replica in harness.replicas[:2]:
            replica.busy = True

        async def scenario() -> None:
            await send_streams(harness)
            await curio.sleep(4.0)
            ordered = [replica.incarnation_id for replica in harness.replicas if replica.orders]
            assert ordered
            assert not {"i-r0", "i-r1"} & set(ordered)
            assert harness.logs.matching("event=order_given", "end=taken")

        run_scenario(harness, scenario)

    def test_unresponsive_engine_is_skipped(self) -> None:
        """Another engine is ordered while the order lease lasts."""
        harness = busy_harness(4, 2)
        unresponsive = harness.replicas[0]
        unresponsive.ignores_side_calls = True

        async def scenario() -> None:
            await send_streams(harness)
            await curio.sleep(5.0)
            ordered = [replica.incarnation_id for replica in harness.replicas if replica.orders]
            assert ordered
            assert unresponsive.incarnation_id not in ordered

        run_scenario(harness, scenario)

    def test_no_order_when_the_lease_may_have_expired(self) -> None:
        """Six busy engines, each of which takes half a second to respond, use up the order lease.

        A suspension of the instance in between does so, too: before each order the end of the lease
        is compared with the clock, not counted in steps.
        """
        harness = busy_harness(8, 2)
        for replica in harness.replicas[:6]:
            replica.busy = True
        for replica in harness.replicas[:8]:
            replica.report_delay_s = 0.5

        async def scenario() -> None:
            await send_streams(harness)
            await curio.sleep(5.0)
            assert harness.logs.matching("event=tenure_over")
            assert not any(replica.orders for replica in harness.replicas)

        run_scenario(harness, scenario)

    def test_wanted_split_persists_while_servers_come_and_go(self) -> None:
        """A rollout changes the number of engines each half second."""
        harness = busy_harness(4, 2)
        restarting = harness.add_replica("i-c", "llm", "prefill")

        async def scenario() -> None:
            async def roll_out() -> None:
                while True:
                    await harness.store.remove("servers/i-c")
                    await curio.sleep(0.45)
                    await restarting.publish_entry()
                    await curio.sleep(0.45)

            task = await curio.spawn(roll_out, daemon=True)
            await send_streams(harness)
            await curio.sleep(4.0)
            assert any(replica.orders for replica in harness.replicas)
            await task.cancel()

        run_scenario(harness, scenario)


def test_meter_needs_prefill_and_decode_samples() -> None:
    """Samples of prefills alone say nothing about decoding."""
    meter = WorkloadMeter()
    for _ in range(50):
        meter.record_prompt(3000, 0.2)
    assert meter.loads() is None
