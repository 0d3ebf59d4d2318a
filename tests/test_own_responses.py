"""Tests that the late copy of a response is not taken for the response to another request."""

from __future__ import annotations

import json
from typing import Any

import curio
import pytest

from crankhinge.adapters import OrderLease
from crankhinge.decisions import EngineRole, Server
from crankhinge.errors import HttpClosed
from crankhinge.http import Exchange
from crankhinge.runtime import get_log
from crankhinge_platform.dialect import PlatformDialect
from platform_fakes import (
    HOST,
    FakeReplica,
    GatewayHarness,
    LogCapture,
    make_events,
    make_standalone_backends,
    respond_ok,
    respond_stream,
    route,
)
from virtual_time import run_virtual

STREAM = route("r-stream", "/stream/", "streaming", "llm")
ONCE = route("r-once", "/once/", "unsafe", "plain")
TOKENS = {"x_token_count": "100,50", "length_hint": "40"}


def encode_response(status: int, body: bytes, *fields: str) -> bytes:
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} X", *fields, f"content-length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


# Copies of responses to calls of the router itself, and of one to an earlier request.
COPIES = {
    "reserved": encode_response(200, b'{"hold":"hold1"}'),
    "no_room": encode_response(503, b"{}", "x-not-executed: 1", "retry-after: 1"),
    "released": encode_response(200, b"{}"),
    "report": encode_response(200, b'{"phase":"decode","sequence":0}'),
    "ordered": encode_response(202, b"{}"),
    "prompt": encode_response(200, b'{"kv_handle":"h"}', "x-request-id: earlier"),
    "request": encode_response(200, b"whole:other", "x-request-id: earlier", "x-server-seal: s"),
    "two": encode_response(200, b'{"hold":"hold1"}') + encode_response(503, b"{}"),
}


class CopyingReplica(FakeReplica):
    """A server that sends copies of earlier responses just before a response."""

    def __init__(self, harness: GatewayHarness, role: str, handler: Any) -> None:
        service = "llm" if role else "plain"
        super().__init__(harness.store, "i-1", service, role, handler=handler)
        harness.replicas.append(self)
        # The bytes to send before the responses to requests, and to side calls by their path.
        self.before_requests = b""
        self.before_calls: dict[str, bytes] = {}
        self.copies_on_new_connections = False
        self.copies_sent = 0
        self.reused_connections = 0

    async def _handle(self, exchange: Exchange) -> None:
        self.reused_connections += exchange.connection_reused
        is_call = exchange.req.path.startswith("/v1/")
        copies = self.before_calls.get(exchange.req.path, b"") if is_call else self.before_requests
        if copies and (exchange.connection_reused or self.copies_on_new_connections):
            self.copies_sent += 1
            await exchange._conn.send(copies)
        await super()._handle(exchange)


class TestRequests:
    """Requests that get a copy on their connection first."""

    @pytest.mark.parametrize("copy", COPIES)
    def test_copy_is_not_the_response_of_a_stream(self, copy: str) -> None:
        """A caller got the response to a reservation in place of its stream."""
        harness = GatewayHarness()
        engine = CopyingReplica(harness, "decode", respond_stream)
        engine.before_requests = COPIES[copy]

        async def scenario() -> None:
            for number in range(3):
                status, headers, body = await harness.call(f"q{number}", "/stream/a", **TOKENS)
                assert (status, body) == (200, make_events(1, 5))
                assert headers["x-request-id"] == f"q{number}"
            assert engine.copies_sent == 3

        run_virtual(harness.run, scenario, STREAM, settle_s=0.003)

    @pytest.mark.parametrize("copy", COPIES)
    def test_copy_is_not_the_response_of_a_plain_request(self, copy: str) -> None:
        """The connection carried an earlier request."""
        harness = GatewayHarness()
        server = CopyingReplica(harness, "", respond_ok)
        server.before_requests = COPIES[copy]

        async def scenario() -> None:
            for number in range(3):
                status, headers, body = await harness.call(f"q{number}", "/once/a")
                assert (status, body) == (200, b"whole:i-1")
                assert headers["x-request-id"] == f"q{number}"
            assert server.copies_sent == 2

        run_virtual(harness.run, scenario, ONCE, settle_s=0.003)

    @pytest.mark.parametrize("length", [10, 30, 45])
    def test_copy_that_is_cut_ends_the_attempt(self, length: int) -> None:
        """What follows it cannot be assigned to a request, and the request may have run."""
        harness = GatewayHarness()
        server = CopyingReplica(harness, "", respond_ok)

        async def cut(replica: FakeReplica, exchange: Exchange) -> None:
            raise HttpClosed("cut")

        async def scenario() -> None:
            assert (await harness.call("a", "/once/a"))[0] == 200
            server.before_requests = COPIES["reserved"][:length]
            server.handler = cut
            status, _, body = await harness.call("b", "/once/a")
            assert (status, json.loads(body)["outcome"]) == (502, "unknown")
            assert server.copies_sent == 1

        run_virtual(harness.run, scenario, ONCE, settle_s=0.003)

    def test_second_attempt_at_a_server_does_not_get_a_copy_of_the_first_response(self) -> None:
        """Both have the id of the request: a copy of the refusal said "not run" of a run."""
        harness = GatewayHarness()
        harness.add_replica("i-p", "llm", "prefill")
        engine = CopyingReplica(harness, "decode", respond_stream)
        refusal = encode_response(503, b"", "x-request-id: q", "x-not-executed: 1")

        async def refuse_first(replica: FakeReplica, exchange: Exchange) -> None:
            engine.before_requests = refusal
            engine.handler = respond_stream
            await exchange.respond_with_fields(
                503, [("x-request-id", "q"), ("x-not-executed", "1")], b""
            )

        engine.handler = refuse_first

        async def scenario() -> None:
            status, _, body = await harness.call("q", "/stream/a", **TOKENS)
            assert engine.executed_ids == ["q", "q"]
            assert (status, body) == (200, make_events(1, 5))

        run_virtual(harness.run, scenario, STREAM, settle_s=0.003)

    def test_server_that_names_no_requests_is_used_with_new_connections(self) -> None:
        """Its responses are accepted, and its connections not reused."""

        async def respond_nameless(replica: FakeReplica, exchange: Exchange) -> None:
            await exchange.respond_with_fields(200, [("x-server-seal", "s")], b"mine")

        harness = GatewayHarness()
        server = CopyingReplica(harness, "", respond_nameless)

        async def scenario() -> None:
            for number in range(3):
                assert (await harness.call(f"q{number}", "/once/a"))[2] == b"mine"
            assert server.reused_connections == 0

        run_virtual(harness.run, scenario, ONCE, settle_s=0.003)

    def test_request_without_an_id_is_sent_on_a_new_connection(self) -> None:
        """No id can tell its response from a copy of another one."""
        harness = GatewayHarness()
        server = CopyingReplica(harness, "", respond_ok)
        server.before_requests = COPIES["reserved"]

        async def scenario() -> None:
            for _ in range(3):
                status, _, body = await harness.call("", "/once/a")
                assert (status, body) == (200, b"whole:i-1")
            assert (len(server.arrivals), server.reused_connections) == (3, 0)

        run_virtual(harness.run, scenario, ONCE, settle_s=0.003)


class TestSideCalls:
    """Calls of the router itself that get a copy on their connection first."""

    @pytest.mark.parametrize("copy", ["request", "prompt"])
    def test_copy_of_a_response_to_a_request_is_skipped(self, copy: str) -> None:
        """It names its request; the calls carry no id."""
        harness = GatewayHarness()
        engine = CopyingReplica(harness, "decode", respond_stream)
        engine.before_calls["/v1/hold-take"] = COPIES[copy]

        async def scenario() -> None:
            for number in range(3):
                assert (await harness.call(f"q{number}", "/stream/a", **TOKENS))[0] == 200
            assert engine.copies_sent == 2
            holds = [arrival.headers["hold"] for arrival in engine.arrivals]
            assert holds == ["hold1", "hold2", "hold3"]

        run_virtual(harness.run, scenario, STREAM, settle_s=0.003)

    @pytest.mark.parametrize("call", ["order", "copy"])
    def test_order_and_copy_of_a_run_do_not_share_connections(self, call: str) -> None:
        """A copy of an earlier response would say that an order or a copy was accepted."""
        harness = GatewayHarness()
        engine = CopyingReplica(harness, "decode", respond_stream)
        engine.order_status = 409
        dialect, log = PlatformDialect(), get_log(program="t", stream=LogCapture())
        calls = {
            "order": dialect.role_order_call(EngineRole.PREFILL, OrderLease("g", 1, 1, 1e9), 0),
            "copy": dialect.copy_run_call("q", HOST, 1, last=True),
        }
        server = Server(
            "i-1", "llm", HOST, engine.port, "z1", EngineRole.DECODE, 64, leaving=False, heartbeat=1
        )

        async def scenario() -> None:
            backends = make_standalone_backends(log, server)
            assert await backends.side_call(server, dialect.engine_state_call()) is not None
            engine.before_calls[calls[call].target] = COPIES["ordered"]
            resp = await backends.side_call(server, calls[call])
            assert resp is not None
            assert resp.status == (409 if call == "order" else 200)
            assert (engine.copies_sent, engine.reused_connections) == (0, 0)

        run_virtual(harness.run, scenario, STREAM, settle_s=0.003)

    def test_reservation_id_may_come_back_after_its_request(self) -> None:
        """A server may name reservations by its slots; only one in use belongs to another."""
        harness = GatewayHarness()
        engine = harness.add_replica("i-1", "llm", "decode")

        async def scenario() -> None:
            for number in range(4):
                engine.granted_reservations = 0
                status, *_ = await harness.call(f"q{number}", "/stream/a", **TOKENS)
                assert status == 200
            assert [arrival.headers["hold"] for arrival in engine.arrivals] == ["hold1"] * 4

        run_virtual(harness.run, scenario, STREAM, settle_s=0.003)

    def test_reservation_of_another_request_is_not_used(self) -> None:
        """A copy of the grant gave two requests the same reservation."""
        harness = GatewayHarness()
        release = curio.Event()

        async def respond_later(replica: FakeReplica, exchange: Exchange) -> None:
            await release.wait()
            await respond_stream(replica, exchange)

        engine = CopyingReplica(harness, "decode", respond_later)

        async def call(number: int) -> int:
            return (await harness.call(f"q{number}", "/stream/a", **TOKENS))[0]

        async def scenario() -> None:
            first = await curio.spawn(call, 1)
            await curio.sleep(0.2)
            engine.before_calls["/v1/hold-take"] = COPIES["reserved"]
            engine.copies_on_new_connections = True
            second = await curio.spawn(call, 2)
            await curio.sleep(0.2)
            engine.before_calls.clear()
            await release.set()
            assert [await first.join(), await second.join()] == [200, 200]
            holds = [arrival.headers["hold"] for arrival in engine.arrivals]
            assert len(set(holds)) == len(holds) == 2

        run_virtual(harness.run, scenario, STREAM, settle_s=0.003)
