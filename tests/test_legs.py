"""Tests of what a request's end says of its server."""

from __future__ import annotations

import base64
import random
from types import SimpleNamespace
from typing import cast

import pytest

from crankhinge.adapters import Leg
from crankhinge.decisions import ServerList
from crankhinge.errors import CallerGone, HttpClosed
from crankhinge.gateway._authenticator import Authenticator
from crankhinge.gateway._backends import Backends
from crankhinge.gateway._crashes import CrashDetector
from crankhinge.gateway._legs import Legs
from crankhinge.gateway._request import Relay
from crankhinge.gateway._server_limits import ServerLimits
from crankhinge.http import HttpRequest
from crankhinge.runtime import Metrics, get_log
from crankhinge_platform.dialect import PlatformDialect
from crankhinge_platform.source import decode_server
from crankhinge_platform.store import Item
from platform_fakes import HOST, FakeReplica, World, lone_desk, route
from virtual_time import run_virtual


class Passes(Authenticator):
    """Lets every request pass."""

    def __init__(self) -> None:
        pass

    def check(self, relay: Relay, now: float) -> None:
        """Let it pass."""


PASSES = Passes()


def failing_after(failure: Exception) -> float:
    """Return the share of failures believed of a server after *failure* while its answer passed."""
    seen: list[float] = []
    world = World()
    replica: FakeReplica = world.add("i-1", "plain")
    servers = ServerList()
    backends = Backends(
        servers=servers,
        dialect=PlatformDialect(),
        zone="z1",
        log=get_log(program="t", stream=world.lines),
        metrics=Metrics(prefix="t"),
        rng=random.Random(1),
    )

    async def story() -> None:
        entry = (
            f'{{"service": "plain", "address": "{HOST}:{replica.port}", "zone": "z1", '
            '"slots": 4, "state": "ready", "sequence": 1}'
        )
        value = base64.b64encode(entry.encode()).decode()
        server = decode_server(Item("servers/i-1", value=value))

        req = HttpRequest(
            "GET", "/", {"x-request-id": "q"}, b"", (("host", "h"), ("x-request-id", "q"))
        )
        relay = SimpleNamespace(
            exchange=SimpleNamespace(req=req),
            ask=SimpleNamespace(ident="q"),
            account_name=None,
            trial="",
            work=lambda *, read_only: "f",
        )
        log = get_log(program="t", stream=world.lines)
        quarantine = lone_desk("g", log)
        crashes = CrashDetector(backends=backends, on_crash=quarantine.crashed, log=log)
        legs = Legs(backends, PASSES, quarantine, crashes, ServerLimits(log=log))
        leg = Leg("i-1", 1.0)
        with pytest.raises(type(failure)):
            async with legs.open(cast(Relay, relay), server, leg):
                raise failure
        seen.append(backends.standing("i-1").failing)

    run_virtual(world.play, story, route("r", "/r/", "safe", "plain"), settle_s=0.003)
    return seen[0]


class TestBlame:
    """Who failed."""

    def test_a_server_that_breaks_off_is_noted(self) -> None:
        """Its share of failures rises."""
        assert failing_after(HttpClosed("in mid-body")) > 0

    def test_a_caller_that_goes_is_not_the_servers_failure(self) -> None:
        """Otherwise impatient callers would have a sound server left out."""
        assert failing_after(CallerGone("closed")) == 0
