"""Tests of servers that name how many requests they take."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import Any, cast

import curio
import msgspec
import pytest

from crankhinge.adapters import AttemptParams, ResponseSignals
from crankhinge.decisions import (
    PERMIT_TRANSIT_S,
    EngineRole,
    Membership,
    Server,
    SharedLimits,
    ShareLease,
)
from crankhinge.errors import ServerAtLimit
from crankhinge.gateway._attempts import Attempts
from crankhinge.gateway._crashes import CrashDetector
from crankhinge.gateway._peer_messages import PermitRequest, PermitResponse, ShareLeaseMessage
from crankhinge.gateway._peer_messenger import MAX_DATAGRAM_BYTES
from crankhinge.gateway._request import Relay
from crankhinge.http import ConnectFailed, HttpRequest
from crankhinge.runtime import get_log
from limit_worlds import SETTLED_S
from platform_fakes import (
    ALLOW_ALL,
    HOST,
    GatewayHarness,
    LogCapture,
    free_port,
    make_standalone_backends,
    make_standalone_limits,
    make_standalone_quarantine,
    route,
)
from virtual_time import run_virtual

# Seconds in which two permits gather that are given by one instance at two a second.
FILLED_S = 1.0
ONCE = route("r-once", "/once/", "unsafe", "plain")


class TestLines:
    """What the log tells of limits."""

    def test_a_limit_is_told_when_it_begins_changes_and_ends(self) -> None:
        """Once each, however many answers name it."""
        harness = GatewayHarness()
        replica = harness.add_replica("i-1", "plain")

        async def story() -> None:
            for number, limit in enumerate((None, "8", "8", "6.5", "lots", None, None)):
                replica.advertised_limit = limit
                await curio.sleep(1.0)
                await harness.call(f"q{number}", "/once/a")

        run_virtual(harness.run, story, ONCE, settle_s=0.003)
        told = [
            line.split("event=server_limit ")[1] for line in harness.logs.matching("server_limit ")
        ]
        assert [" ".join(line.split()) for line in told] == [
            "server=i-1 per_s=8.0 was= told_by=own",
            "server=i-1 per_s=6.5 was=8.0 told_by=own",
            "server=i-1 per_s= was=6.5 told_by=own",
        ]
        assert len(harness.logs.matching("server_limit_unreadable", "was=6.5")) == 1

    def test_what_is_sent_to_such_a_server_is_told(self) -> None:
        """Also how many servers each request was sent to."""
        harness = GatewayHarness()
        harness.add_replica("i-1", "plain", advertised_limit="8")

        async def story() -> None:
            await curio.sleep(SETTLED_S)
            for number in range(5):
                await harness.call(f"q{number}", "/once/a")
            await curio.sleep(5.0)

        run_virtual(harness.run, story, ONCE, settle_s=0.003)
        assert harness.logs.matching("server_limit_use", "server=i-1", "per_s=8.0", "sent=4")
        assert len(harness.logs.matching("event=answered", "sent=1")) == 5


SERVER = Server("i-1", "plain", HOST, 9, "z1", EngineRole.PLAIN, 4, False, 1)


class Alone:
    """The only instance, before a server that takes two requests a second."""

    def __init__(self) -> None:
        log = get_log(program="t", stream=LogCapture())
        self.backends = make_standalone_backends(log, SERVER)
        self.members = Membership("here", 0.0)
        limits = make_standalone_limits("here", self.backends, log, self.members)
        self.news, self.permits = limits.limit_updates, limits.permits
        self.relay = cast(
            Relay,
            SimpleNamespace(permits={}, request=SimpleNamespace(request_id="q"), log_fields={}),
        )

    def play(self, story: Callable[[], Awaitable[None]]) -> None:
        """Run *story* once its share is its own."""

        async def ready() -> None:
            self.members.set_lease_end(math.inf)
            self.members.join({"here": ""}, await curio.clock(), resumed=True)
            await curio.sleep(SETTLED_S)
            word = ResponseSignals(False, False, None, advertises_limit=True, limit_per_s=2.0)
            await self.news.on_signals(SERVER, word, sent_at=0.0, succeeded=True)
            await story()

        run_virtual(ready)

    async def left(self) -> int:
        """Return how many requests may be sent at once, and take them."""
        number = 0
        while await self.permits.try_get_permit(self._other(), SERVER):
            number += 1
        return number

    def _other(self) -> Relay:
        return cast(
            Relay,
            SimpleNamespace(permits={}, request=SimpleNamespace(request_id="o"), log_fields={}),
        )


class TestPermits:
    """Leave that a request has got."""

    def test_is_given_back_where_it_was_not_used(self) -> None:
        """By a caller that left, or a prompt that could not be read."""
        alone = Alone()

        async def story() -> None:
            assert not await alone.permits.try_get_permit(alone.relay, SERVER)
            await curio.sleep(FILLED_S)
            assert await alone.permits.try_get_permit(alone.relay, SERVER)
            assert await alone.left() == 1
            alone.backends.stats("i-1").limited_until = 0.0
            await alone.permits.return_unused(alone.relay)
            assert not alone.relay.permits
            assert await alone.left() == 1

        alone.play(story)

    def test_is_used_once(self) -> None:
        """A second attempt needs one of its own."""
        alone = Alone()

        async def story() -> None:
            await alone.permits.try_get_permit(alone.relay, SERVER)
            await curio.sleep(FILLED_S)
            assert await alone.permits.try_get_permit(alone.relay, SERVER)
            assert await alone.permits.try_get_permit(alone.relay, SERVER)
            assert await alone.permits.use_permit(alone.relay, SERVER) is not None
            assert await alone.left() == 1
            with pytest.raises(ServerAtLimit):
                await alone.permits.use_permit(alone.relay, SERVER)

        alone.play(story)

    def test_is_over_after_a_while(self) -> None:
        """What is handed out in a window would come in the next."""
        alone = Alone()

        async def story() -> None:
            await alone.permits.try_get_permit(alone.relay, SERVER)
            await curio.sleep(FILLED_S)
            assert await alone.permits.try_get_permit(alone.relay, SERVER)
            assert await alone.left() == 1
            await curio.sleep(PERMIT_TRANSIT_S + 0.1)
            alone.backends.stats("i-1").limited_until = 0.0
            before = alone.relay.permits["i-1"]
            assert await alone.permits.try_get_permit(alone.relay, SERVER)
            assert alone.relay.permits["i-1"] != before
            assert await alone.left() == 1

        alone.play(story)

    def test_is_asked_for_at_once_after_another_word(self) -> None:
        """What was refused by the old rate says nothing of the new one."""
        alone = Alone()

        async def story() -> None:
            standing = alone.backends.stats("i-1")
            standing.limited_until = math.inf
            alone.news.record_peer_update("i-1", 2.0, await curio.clock(), "there")
            assert standing.limited_until == math.inf
            alone.news.record_peer_update("i-1", 8.0, await curio.clock(), "there")
            assert standing.limited_until == 0.0

        alone.play(story)

    def test_is_kept_by_a_request_that_reached_nobody(self) -> None:
        """Nothing was sent, so nothing was taken."""
        alone = Alone()
        server = dataclasses.replace(SERVER, port=free_port())
        log = get_log(program="t", stream=LogCapture())
        quarantine = make_standalone_quarantine("here", log)
        crashes = CrashDetector(backends=alone.backends, on_crash=quarantine.record_crash, log=log)
        legs = Attempts(alone.backends, ALLOW_ALL, quarantine, crashes, alone.permits)
        req = HttpRequest("GET", "/", {"x-request-id": "q"}, b"", (("x-request-id", "q"),))
        alone.relay.exchange = cast(Any, SimpleNamespace(req=req))
        alone.relay.__dict__.update(
            account_name=None, log_fields={}, trial_work="", work_key=lambda *, prompt_only: "f"
        )

        async def story() -> None:
            await alone.permits.try_get_permit(alone.relay, server)
            await curio.sleep(FILLED_S)
            assert await alone.permits.try_get_permit(alone.relay, server)
            with pytest.raises(ConnectFailed):
                async with legs.open(alone.relay, server, AttemptParams("i-1", 1.0)):
                    raise AssertionError("nobody is there")
            assert list(alone.relay.permits) == ["i-1"]

        alone.play(story)


class TestSize:
    """What instances say to each other about one server that names a limit."""

    def test_lending_at_three_hundred_instances_is_within_control(self) -> None:
        """Ten kilobytes a second for all of control, at the instance that hands out."""
        members = Membership("n0", 0.0)
        members.join({f"n{number}": "" for number in range(300)}, 0.0, resumed=True)
        shared = SharedLimits(name="n0", membership=members, incarnation=2**62, now=0.0)
        loan = ShareLease(shared.stamp(1234567.123), shared.lease_s, 300)
        ask = PermitRequest(
            number=123456,
            lender="frontend-pamplemousses-12",
            server="i-8b1d6bd897@1733200000000",
            per_s=4.25,
            ago_s=0.123,
            within_s=None,
            caller=False,
            loan=ShareLeaseMessage.from_lease(loan),
        )
        answer = PermitResponse(number=123456, granted=None, after_s=0.0, life=2**62, at=1234567.1)
        sizes = [len(msgspec.msgpack.encode(message)) for message in (ask, answer)]
        a_second = 300 / shared.renewal_interval_s
        print(f"{sizes} B, {a_second:.1f} a second, {a_second * sizes[0] / 1000:.1f} kB in")
        assert a_second * sum(sizes) <= 10_000
        assert max(sizes) <= MAX_DATAGRAM_BYTES / 4
