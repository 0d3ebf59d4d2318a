"""Tests that no status which promises that a request was not run is sent if a server ran it."""

from __future__ import annotations

import json
from typing import Any

import curio
import pytest

from crankhinge.errors import HttpClosed
from crankhinge.http import Exchange
from platform_fakes import (
    SERVER_SEAL,
    FakeReplica,
    GatewayHarness,
    RequestHandler,
    make_events,
    respond_ok,
    respond_stream,
    route,
)
from virtual_time import run_virtual

TOKENS = {"x_token_count": "100,50", "length_hint": "40"}
PROMISES = (408, 429, 503)
STREAM = route("r-stream", "/stream/", "streaming", "llm")
PLAIN_STREAM = {**STREAM, "service": "plain"}
ONCE = route("r-once", "/once/", "unsafe", "plain")
SAFE = route("r-safe", "/safe/", "safe", "plain")
RESUMED = route("r-resumed", "/resumed/", "streaming", "llm", max_attempts=2, resumable=True)
ROUTES = {"engine": STREAM, "plain-stream": PLAIN_STREAM, "once": ONCE, "safe": SAFE}
BODIES = (b"", b"busy", b"x" * 3_000_000)
MAX_REFUSAL_S = 1.0


def respond_status(status: int, body: bytes = b"busy", *, ends: bool = True) -> RequestHandler:
    """Return a handler that runs a request and gives it a status that says nothing of that."""

    async def respond(replica: FakeReplica, exchange: Exchange) -> None:
        fields = [*replica.response_fields(exchange), ("retry-after", "1")]
        if ends:
            await exchange.respond_with_fields(status, fields, body)
            return
        await exchange.start_with_fields(status, fields)
        await exchange.write(body)
        await exchange.wait_for_disconnect()
        raise HttpClosed("gone")

    return respond


def add_server(harness: GatewayHarness, tested: dict[str, Any], name: str, **options: Any) -> None:
    """Add a server of the route's service."""
    role = "decode" if tested["service"] == "llm" else ""
    harness.add_replica(name, tested["service"], role, **options)


async def call(harness: GatewayHarness, tested: dict[str, Any], **fields: str) -> Any:
    """Send a request on a route as a caller that waits for 9 s."""
    path = f"{tested['path_prefix']}a"
    return await harness.call("q", path, **{"x_deadline_ms": "9000", **TOKENS, **fields})


def check_unknown(status: int, headers: dict[str, str], body: bytes) -> None:
    """Check a response of the router itself that leaves open whether the request ran."""
    assert status in (502, 504)
    assert json.loads(body)["outcome"] == "unknown"
    assert SERVER_SEAL not in headers
    assert "retry-after" not in headers


class TestLaterAttempts:
    """Requests that their first server did not run, and a later attempt did."""

    def test_lost_stream_after_its_prompt_was_processed(self) -> None:
        """The prompt engine did not run it; the decode engine did, until the request's time."""
        harness = GatewayHarness()
        harness.add_replica("i-p", "llm", "prefill")

        async def lose(_: FakeReplica, exchange: Exchange) -> None:
            await exchange.wait_for_disconnect()
            raise HttpClosed("gone")

        harness.add_replica("i-1", "llm", "decode", handler=lose)

        async def scenario() -> None:
            check_unknown(*await call(harness, STREAM, x_deadline_ms="3000"))

        run_virtual(harness.run, scenario, STREAM, settle_s=0.003)

    def test_late_copy_of_a_refusal_does_not_refuse_the_next_attempt(self) -> None:
        """The engine refused at first and then ran the request; the copy comes in between."""
        harness = GatewayHarness()
        harness.add_replica("i-p", "llm", "prefill")
        refusal = b"HTTP/1.1 503 X\r\nx-request-id: q\r\nx-not-executed: 1\r\ncontent-length: 0"

        async def refuse_then_run(replica: FakeReplica, exchange: Exchange) -> None:
            if len(replica.executed_ids) == 1:
                fields = [("x-request-id", "q"), ("x-not-executed", "1")]
                await exchange.respond_with_fields(503, fields, b"")
                return
            if exchange.connection_reused:
                await exchange._conn.send(refusal + b"\r\n\r\n")
            await respond_stream(replica, exchange)

        harness.add_replica("i-1", "llm", "decode", handler=refuse_then_run)

        async def scenario() -> None:
            status, _, body = await call(harness, STREAM)
            assert (status, body) == (200, make_events(1, 5))

        run_virtual(harness.run, scenario, STREAM, settle_s=0.003)


class TestUnstatedStatuses:
    """Servers that answer with a promise's status and do not say that they ran nothing."""

    @pytest.mark.parametrize("status", PROMISES)
    @pytest.mark.parametrize("tested", ROUTES)
    def test_status_is_not_passed_on_as_a_promise(self, tested: str, status: int) -> None:
        """Callers took the status for a promise and sent again what had run."""
        harness = GatewayHarness()
        add_server(harness, ROUTES[tested], "i-1")

        async def scenario() -> None:
            for body in BODIES:
                harness.replicas[0].handler = respond_status(status, body)
                check_unknown(*await call(harness, ROUTES[tested]))
                # The server asked for as much rest.
                await curio.sleep(1.5)

        run_virtual(harness.run, scenario, ROUTES[tested], settle_s=0.003)

    @pytest.mark.parametrize("tested", ROUTES)
    def test_status_is_answered_at_once_if_its_body_does_not_end(self, tested: str) -> None:
        """The body is of no use to the caller, so its end is not waited for."""
        harness = GatewayHarness()
        add_server(harness, ROUTES[tested], "i-1", handler=respond_status(503, ends=False))

        async def scenario() -> None:
            started_at = await curio.clock()
            check_unknown(*await call(harness, ROUTES[tested]))
            assert await curio.clock() - started_at < MAX_REFUSAL_S

        run_virtual(harness.run, scenario, ROUTES[tested], settle_s=0.003)

    @pytest.mark.parametrize("status", PROMISES)
    def test_request_that_may_run_again_is_sent_to_another_server(self, status: int) -> None:
        """As after any other failure of a server."""
        tested = {**SAFE, "max_attempts": 2}
        harness = GatewayHarness()
        handlers = [respond_status(status), respond_ok]

        async def in_turn(replica: FakeReplica, exchange: Exchange) -> None:
            await handlers.pop(0)(replica, exchange)

        for name in ("i-1", "i-2"):
            add_server(harness, tested, name, handler=in_turn)

        async def scenario() -> None:
            assert (await call(harness, tested))[0] == 200

        run_virtual(harness.run, scenario, tested, settle_s=0.003)

    @pytest.mark.parametrize("tested", [ONCE, STREAM, PLAIN_STREAM], ids=["once", "llm", "plain"])
    def test_request_that_may_not_run_again_is_sent_once(self, tested: dict[str, Any]) -> None:
        """The server may have run it."""
        tested = {**tested, "max_attempts": 3}
        harness = GatewayHarness()
        for name in ("i-1", "i-2", "i-3"):
            add_server(harness, tested, name, handler=respond_status(503))

        async def scenario() -> None:
            check_unknown(*await call(harness, tested))
            assert sum(len(server.executed_ids) for server in harness.replicas) == 1

        run_virtual(harness.run, scenario, tested, settle_s=0.003)

    def test_resumable_stream_goes_on_at_another_engine(self) -> None:
        """Its route allows it to run again."""
        harness = GatewayHarness()
        handlers = [respond_status(503), respond_stream]

        async def in_turn(replica: FakeReplica, exchange: Exchange) -> None:
            await handlers.pop(0)(replica, exchange)

        for name in ("i-1", "i-2"):
            add_server(harness, RESUMED, name, handler=in_turn)

        async def scenario() -> None:
            status, _, body = await call(harness, RESUMED)
            assert (status, body) == (200, make_events(1, 5))

        run_virtual(harness.run, scenario, RESUMED, settle_s=0.003)

    @pytest.mark.parametrize("status", [400, 409, 500, 504])
    @pytest.mark.parametrize("tested", ROUTES)
    def test_status_that_promises_nothing_is_passed_on(self, tested: str, status: int) -> None:
        """It is the server's answer, with its signature and its body."""
        harness = GatewayHarness()
        add_server(harness, ROUTES[tested], "i-1", handler=respond_status(status))

        async def scenario() -> None:
            answer = await call(harness, ROUTES[tested])
            assert (answer[0], answer[2]) == (status, b"busy")
            assert answer[1][SERVER_SEAL] == "seal-i-1"

        run_virtual(harness.run, scenario, ROUTES[tested], settle_s=0.003)
