"""Tests of notices between instances."""

from __future__ import annotations

from typing import Any

import curio
import curio.socket
import msgspec

from crankhinge.decisions import EngineRole
from crankhinge.gateway._peer_messages import EngineOrdered
from crankhinge.gateway._peer_messenger import PeerMessenger
from crankhinge.runtime import get_log, run_until_first_ends
from platform_fakes import HOST, GatewayHarness, LogCapture, free_port, respond_stream, route
from virtual_time import run_virtual

STREAM = route("r-stream", "/stream/", "streaming", "llm")
TOKENS = {"x_token_count": "3000,800", "length_hint": "800"}
NOTICE = EngineOrdered("i-r0", EngineRole.DECODE, 13.0)


class Fleet:
    """Instances that take notices."""

    def __init__(self, count: int) -> None:
        self.addresses = [f"{HOST}:{free_port()}" for _ in range(count)]
        self.heard: list[tuple[str, EngineOrdered]] = []
        self.lines = LogCapture()
        self.notices = [self._instance(address) for address in self.addresses]

    def _instance(self, address: str) -> PeerMessenger:
        async def handle(notice: EngineOrdered, sender: str) -> None:
            self.heard.append((address, notice))

        others = [other for other in self.addresses if other != address]
        log = get_log(program="t", stream=self.lines)
        notices = PeerMessenger(address=address, peer_addresses=lambda: others, log=log)
        notices.add_handler(EngineOrdered, handle)
        return notices

    def play(self, story: Any, running: int | None = None) -> None:
        """Run *story* while the first *running* instances take notices."""
        runs = [notices.run for notices in self.notices[:running]]
        run_virtual(lambda: run_until_first_ends(*runs, story), settle_s=0.003)


class TestNotices:
    """Datagrams between instances."""

    def test_every_other_instance_is_told(self) -> None:
        """Once each, and not the one that tells."""
        fleet = Fleet(4)

        async def story() -> None:
            await curio.sleep(0.05)
            await fleet.notices[0].send_to_all(NOTICE)
            await curio.sleep(0.2)
            assert sorted(fleet.heard) == sorted((at, NOTICE) for at in fleet.addresses[1:])

        fleet.play(story)

    def test_one_that_is_gone_keeps_none_from_the_others(self) -> None:
        """Nobody listens at the last address; it is told twice."""
        fleet = Fleet(3)

        async def story() -> None:
            await curio.sleep(0.05)
            for _ in range(2):
                await fleet.notices[0].send_to_all(NOTICE)
                await curio.sleep(0.2)
            assert [at for at, _ in fleet.heard] == [fleet.addresses[1]] * 2

        fleet.play(story, running=2)

    def test_what_is_no_notice_is_told_and_dropped(self) -> None:
        """Bytes of anybody end nothing."""
        fleet = Fleet(2)

        async def story() -> None:
            await curio.sleep(0.05)
            sock = curio.socket.socket(curio.socket.AF_INET, curio.socket.SOCK_DGRAM)
            host, _, port = fleet.addresses[1].rpartition(":")
            for data in (b"", b"\xc1", msgspec.msgpack.encode({"type": "engine-ordered"})):
                await sock.sendto(data, (host, int(port)))
            await curio.sleep(0.1)
            await fleet.notices[0].send_to_all(NOTICE)
            await curio.sleep(0.1)
            await sock.close()
            assert len(fleet.lines.matching("event=notice_unreadable")) == 3
            assert [notice for _, notice in fleet.heard] == [NOTICE]

        fleet.play(story)


class TestOrderedEngine:
    """An engine that follows an order of another instance.

    It refuses work for its old part for six seconds, its entry tells nothing, and each of 68
    instances found that out by refusals: 201 readings a day, each of them a repeat; for want of
    repeats writers then read 305 prompts, at half the pace.
    """

    def test_gets_nothing_to_read(self) -> None:
        """It is left out until its entry tells its new part; then it writes."""
        harness = GatewayHarness()
        ordered = harness.add_replica("i-r0", "llm", "prefill")
        # Whoever may choose soon prefers the other one.
        harness.add_replica("i-r1", "llm", "prefill", prefill_s=0.3)
        writer = harness.add_replica("i-w", "llm", "decode", handler=respond_stream)

        async def story() -> None:
            await tell(harness, EngineOrdered("i-r0", EngineRole.DECODE, 13.0))
            for number in range(20):
                assert (await harness.call(f"q{number}", "/stream/a", **TOKENS))[0] == 200
            assert ordered.arrivals == []
            ordered.role, ordered.handler = "decode", respond_stream
            await ordered.publish_entry()
            writer.free_reservations = 0
            await curio.sleep(0.1)
            assert (await harness.call("r", "/stream/a", **TOKENS))[0] == 200
            assert ordered.executed_ids == ["r"]

        play(harness, story)

    def test_is_used_again_when_the_order_is_over(self) -> None:
        """A false notice, or an order that came to nothing, costs seconds."""
        harness = GatewayHarness()
        ordered = harness.add_replica("i-r0", "llm", "prefill")
        harness.add_replica("i-w", "llm", "decode", handler=respond_stream)
        other = harness.add_replica("i-r1", "llm", "prefill")

        async def story() -> None:
            await tell(harness, EngineOrdered("i-r0", EngineRole.DECODE, 900.0))
            assert (await harness.call("q", "/stream/a", **TOKENS))[0] == 200
            assert not ordered.arrivals
            await curio.sleep(14.0)
            other.refuses_prefill = True
            for number in range(3):
                assert (await harness.call(f"r{number}", "/stream/a", **TOKENS))[0] == 200
            assert ordered.arrivals

        play(harness, story)

    def test_is_used_where_no_other_is(self) -> None:
        """Asking it in vain is better than asking nobody."""
        harness = GatewayHarness()
        ordered = harness.add_replica("i-r0", "llm", "prefill")
        harness.add_replica("i-w", "llm", "decode", handler=respond_stream)

        async def story() -> None:
            await tell(harness, EngineOrdered("i-r0", EngineRole.DECODE, 13.0))
            assert (await harness.call("q", "/stream/a", **TOKENS))[0] == 200
            assert ordered.arrivals

        play(harness, story)

    def test_of_a_server_that_nobody_knows_is_nothing(self) -> None:
        """A notice that is late by a life of the engine."""
        harness = GatewayHarness()
        harness.add_replica("i-r0", "llm", "prefill")
        harness.add_replica("i-w", "llm", "decode", handler=respond_stream)

        async def story() -> None:
            await tell(harness, EngineOrdered("i-gone", EngineRole.DECODE, 13.0))
            assert not harness.logs.matching("event=server_changing")
            assert (await harness.call("q", "/stream/a", **TOKENS))[0] == 200

        play(harness, story)


async def tell(harness: GatewayHarness, notice: EngineOrdered) -> None:
    """Send a notice to the gateway as another instance does."""
    sock = curio.socket.socket(curio.socket.AF_INET, curio.socket.SOCK_DGRAM)
    async with sock:
        await sock.sendto(msgspec.msgpack.encode(notice), (HOST, harness.peer_port))
    await curio.sleep(0.1)


def play(harness: GatewayHarness, story: Any) -> None:
    """Run *story* under a clock that jumps."""
    run_virtual(harness.run, story, STREAM, settle_s=0.003)
