"""Tests of messages between instances."""

from __future__ import annotations

from typing import Any

import curio
import curio.socket
import msgspec
import pytest

from crankhinge.decisions import EngineRole
from crankhinge.gateway._peer_messages import EngineOrdered
from crankhinge.gateway._peer_messenger import PeerMessenger
from crankhinge.runtime import get_log, run_until_first_ends
from platform_fakes import HOST, GatewayHarness, LogCapture, free_port, respond_stream, route
from virtual_time import run_virtual

STREAM = route("r-stream", "/stream/", "streaming", "llm")
TOKEN_HEADERS = {"x_token_count": "3000,800", "length_hint": "800"}
ORDER_MESSAGE = EngineOrdered("i-r0", EngineRole.DECODE, 13.0)


class Fleet:
    """Instances that exchange peer messages."""

    def __init__(self, count: int) -> None:
        self.addresses = [f"{HOST}:{free_port()}" for _ in range(count)]
        self.received: list[tuple[str, EngineOrdered]] = []
        self.logs = LogCapture()
        self.messengers = [self._instance(address) for address in self.addresses]

    def _instance(self, address: str) -> PeerMessenger:
        async def handle(message: EngineOrdered, sender: str) -> None:
            self.received.append((address, message))

        others = [other for other in self.addresses if other != address]
        log = get_log(program="t", stream=self.logs)
        messenger = PeerMessenger(address=address, peer_addresses=lambda: others, log=log)
        messenger.add_handler(EngineOrdered, handle)
        return messenger

    def run(self, scenario: Any, running: int | None = None) -> None:
        """Run *scenario* while the first *running* instances receive messages."""
        runs = [messenger.run for messenger in self.messengers[:running]]
        run_virtual(lambda: run_until_first_ends(*runs, scenario), settle_s=0.003)


class TestPeerMessages:
    """Datagrams between instances."""

    def test_message_reaches_every_other_instance(self) -> None:
        """Each of them receives it once, and the sender does not."""
        fleet = Fleet(4)

        async def scenario() -> None:
            await curio.sleep(0.05)
            await fleet.messengers[0].send_to_all(ORDER_MESSAGE)
            await curio.sleep(0.2)
            assert sorted(fleet.received) == sorted(
                (at, ORDER_MESSAGE) for at in fleet.addresses[1:]
            )

        fleet.run(scenario)

    def test_stopped_instance_does_not_affect_the_others(self) -> None:
        """No process listens at the last address, to which two messages are sent."""
        fleet = Fleet(3)

        async def scenario() -> None:
            await curio.sleep(0.05)
            for _ in range(2):
                await fleet.messengers[0].send_to_all(ORDER_MESSAGE)
                await curio.sleep(0.2)
            assert [at for at, _ in fleet.received] == [fleet.addresses[1]] * 2

        fleet.run(scenario, running=2)

    def test_unreadable_datagram_is_logged_and_dropped(self) -> None:
        """Bytes from an unknown sender do not end the task."""
        fleet = Fleet(2)

        async def scenario() -> None:
            await curio.sleep(0.05)
            sock = curio.socket.socket(curio.socket.AF_INET, curio.socket.SOCK_DGRAM)
            host, _, port = fleet.addresses[1].rpartition(":")
            for data in (b"", b"\xc1", msgspec.msgpack.encode({"type": "engine-ordered"})):
                await sock.sendto(data, (host, int(port)))
            await curio.sleep(0.1)
            await fleet.messengers[0].send_to_all(ORDER_MESSAGE)
            await curio.sleep(0.1)
            await sock.close()
            assert len(fleet.logs.matching("event=notice_unreadable")) == 3
            assert [message for _, message in fleet.received] == [ORDER_MESSAGE]

        fleet.run(scenario)

    @pytest.mark.parametrize(
        "address", ["", "x", "host.example:1", "127.0.0.1:x", "127.0.0.1:0", "1.2.3.4:65536", ":1"]
    )
    def test_address_of_another_instance_that_is_none_is_left_out(self, address: str) -> None:
        """One in a record or a datagram ended the task that sent, or looked up a host name."""
        fleet = Fleet(2)

        async def scenario() -> None:
            await curio.sleep(0.05)
            await fleet.messengers[0].send(address, ORDER_MESSAGE)
            await fleet.messengers[0].send_to_all(ORDER_MESSAGE)
            await curio.sleep(0.1)
            assert [message for _, message in fleet.received] == [ORDER_MESSAGE]
            assert fleet.logs.matching("event=notice_undelivered")

        fleet.run(scenario)


class TestEngineUnderOrder:
    """An engine that carries out an order of another instance.

    It refuses work of its old role for six seconds, while its entry does not show the change. Each
    of 68 instances found that out by refusals: 201 refused prefills a day, each of them a retry.
    When no retries were left, decode engines processed 305 prompts, at half the speed.
    """

    def test_gets_no_prefill_request(self) -> None:
        """It is left out until its entry shows its new role; then it decodes."""
        harness = GatewayHarness()
        ordered = harness.add_replica("i-r0", "llm", "prefill")
        # The other engine is slow, so that the gateway would soon prefer the ordered one.
        harness.add_replica("i-r1", "llm", "prefill", prefill_s=0.3)
        decode_engine = harness.add_replica("i-w", "llm", "decode", handler=respond_stream)

        async def scenario() -> None:
            await send_message(harness, EngineOrdered("i-r0", EngineRole.DECODE, 13.0))
            for number in range(20):
                assert (await harness.call(f"q{number}", "/stream/a", **TOKEN_HEADERS))[0] == 200
            assert ordered.arrivals == []
            ordered.role, ordered.handler = "decode", respond_stream
            await ordered.publish_entry()
            decode_engine.free_reservations = 0
            await curio.sleep(0.1)
            assert (await harness.call("r", "/stream/a", **TOKEN_HEADERS))[0] == 200
            assert ordered.executed_ids == ["r"]

        run_scenario(harness, scenario)

    def test_is_used_again_when_the_order_has_expired(self) -> None:
        """A false message, or an order that was not carried out, costs only seconds."""
        harness = GatewayHarness()
        ordered = harness.add_replica("i-r0", "llm", "prefill")
        harness.add_replica("i-w", "llm", "decode", handler=respond_stream)
        other = harness.add_replica("i-r1", "llm", "prefill")

        async def scenario() -> None:
            await send_message(harness, EngineOrdered("i-r0", EngineRole.DECODE, 900.0))
            assert (await harness.call("q", "/stream/a", **TOKEN_HEADERS))[0] == 200
            assert not ordered.arrivals
            await curio.sleep(14.0)
            other.refuses_prefill = True
            for number in range(3):
                assert (await harness.call(f"r{number}", "/stream/a", **TOKEN_HEADERS))[0] == 200
            assert ordered.arrivals

        run_scenario(harness, scenario)

    def test_is_used_when_no_other_engine_is_available(self) -> None:
        """A vain attempt is better than none."""
        harness = GatewayHarness()
        ordered = harness.add_replica("i-r0", "llm", "prefill")
        harness.add_replica("i-w", "llm", "decode", handler=respond_stream)

        async def scenario() -> None:
            await send_message(harness, EngineOrdered("i-r0", EngineRole.DECODE, 13.0))
            assert (await harness.call("q", "/stream/a", **TOKEN_HEADERS))[0] == 200
            assert ordered.arrivals

        run_scenario(harness, scenario)

    def test_message_about_an_unknown_server_is_ignored(self) -> None:
        """Such a message may concern an earlier incarnation of an engine."""
        harness = GatewayHarness()
        harness.add_replica("i-r0", "llm", "prefill")
        harness.add_replica("i-w", "llm", "decode", handler=respond_stream)

        async def scenario() -> None:
            await send_message(harness, EngineOrdered("i-gone", EngineRole.DECODE, 13.0))
            assert not harness.logs.matching("event=server_changing")
            assert (await harness.call("q", "/stream/a", **TOKEN_HEADERS))[0] == 200

        run_scenario(harness, scenario)


async def send_message(harness: GatewayHarness, message: EngineOrdered) -> None:
    """Send a message to the gateway as another instance does."""
    sock = curio.socket.socket(curio.socket.AF_INET, curio.socket.SOCK_DGRAM)
    async with sock:
        await sock.sendto(msgspec.msgpack.encode(message), (HOST, harness.peer_port))
    await curio.sleep(0.1)


def run_scenario(harness: GatewayHarness, scenario: Any) -> None:
    """Run *scenario* in virtual time."""
    run_virtual(harness.run, scenario, STREAM, settle_s=0.003)
