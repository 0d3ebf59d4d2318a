"""Tests of the way to a server: what bars it, and what a request's end says of its server."""

from __future__ import annotations

import base64
import math
from collections.abc import Callable
from dataclasses import dataclass
from types import SimpleNamespace
from typing import Any, cast

import pytest

from crankhinge.adapters import AttemptParams
from crankhinge.decisions import Server
from crankhinge.errors import CallerGone, HttpClosed, ServerBarred
from crankhinge.gateway._backends import Backends
from crankhinge.gateway._crashes import CrashDetector
from crankhinge.gateway._legs import Legs
from crankhinge.gateway._request import Relay
from crankhinge.http import HttpRequest
from crankhinge.runtime import get_log
from crankhinge_platform.source import decode_server
from crankhinge_platform.store import Item
from platform_fakes import (
    ALLOW_ALL,
    HOST,
    FakeReplica,
    GatewayHarness,
    make_standalone_backends,
    make_standalone_limits,
    make_standalone_quarantine,
    route,
)
from virtual_time import run_virtual


@dataclass(frozen=True)
class Way:
    """The way of one request to one server."""

    legs: Legs
    backends: Backends
    relay: Relay
    server: Server


def way_to(replica: FakeReplica, log: Any) -> Way:
    """Return the way of a request to a server, at an instance that has nobody to ask."""
    entry = (
        f'{{"service": "plain", "address": "{HOST}:{replica.port}", "zone": "z1", '
        '"slots": 4, "state": "ready", "sequence": 1}'
    )
    value = base64.b64encode(entry.encode()).decode()
    server = decode_server(Item("servers/i-1", value=value))
    backends = make_standalone_backends(log, server)
    req = HttpRequest(
        "GET", "/", {"x-request-id": "q"}, b"", (("host", "h"), ("x-request-id", "q"))
    )
    relay = SimpleNamespace(
        exchange=SimpleNamespace(req=req),
        ask=SimpleNamespace(request_id="q"),
        facts={},
        account_name=None,
        trial="",
        work=lambda *, read_only: "f",
    )
    quarantine = make_standalone_quarantine("g", log)
    crashes = CrashDetector(backends=backends, on_crash=quarantine.crashed, log=log)
    limits = make_standalone_limits("g", backends, log)
    legs = Legs(backends, ALLOW_ALL, quarantine, crashes, limits.permits)
    return Way(legs, backends, cast(Relay, relay), server)


def failing_after(failure: Exception) -> float:
    """Return the share of failures believed of a server after *failure* while its answer passed."""
    seen: list[float] = []
    harness = GatewayHarness()
    replica: FakeReplica = harness.add_replica("i-1", "plain")

    async def story() -> None:
        way = way_to(replica, get_log(program="t", stream=harness.logs))
        with pytest.raises(type(failure)):
            async with way.legs.open(way.relay, way.server, AttemptParams("i-1", 1.0)):
                raise failure
        seen.append(way.backends.standing("i-1").failure_share)

    run_virtual(harness.run, story, route("r", "/r/", "safe", "plain"), settle_s=0.003)
    return seen[0]


class TestBarred:
    """A server that was chosen, and is barred by the time that the request is sent."""

    @pytest.mark.parametrize(
        "bar",
        [
            lambda way: way.backends.bars.record_leaving("i-1", 1.0),
            lambda way: way.backends.bars.record_backoff("i-1", math.inf),
            lambda way: way.backends.replaced(way.server),
            lambda way: way.backends._servers.apply_list([], 1.0, was_unreachable=False),
        ],
        ids=["leaving", "resting", "replaced", "gone"],
    )
    def test_nothing_is_sent(self, bar: Callable[[Any], object]) -> None:
        """Whoever sends it chooses another."""
        harness = GatewayHarness()
        replica = harness.add_replica("i-1", "plain")

        async def story() -> None:
            way = way_to(replica, get_log(program="t", stream=harness.logs))
            bar(way)
            with pytest.raises(ServerBarred):
                async with way.legs.open(way.relay, way.server, AttemptParams("i-1", 1.0)):
                    raise AssertionError("sent")

        run_virtual(harness.run, story, route("r", "/r/", "safe", "plain"), settle_s=0.003)
        assert not replica.arrivals


class TestBlame:
    """Who failed."""

    def test_a_server_that_breaks_off_is_noted(self) -> None:
        """Its share of failures rises."""
        assert failing_after(HttpClosed("in mid-body")) > 0

    def test_a_caller_that_goes_is_not_the_servers_failure(self) -> None:
        """Otherwise impatient callers would have a sound server left out."""
        assert failing_after(CallerGone("closed")) == 0
