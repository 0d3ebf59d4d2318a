"""Tests that a caller is told "not run" only of requests that no server may have run."""

from __future__ import annotations

import json
import math
from collections.abc import Callable

import curio
import pytest

from crankhinge.errors import HttpClosed
from crankhinge.http import Exchange
from platform_fakes import FakeReplica, GatewayHarness, RequestHandler, respond_stream, route
from virtual_time import run_virtual

TOKENS = {"x_token_count": "100,50", "length_hint": "40"}
TIMEOUT_S = 4.0
# What a server has refused is not kept waiting for its time-out.
AT_ONCE_S = 1.0
STREAM = route("r-stream", "/stream/", "streaming", "llm", timeout_ms=TIMEOUT_S * 1000)
SPLIT_STREAM = {**STREAM, "max_attempts": 2}
# A streaming route of a service without engines.
PLAIN_STREAM = {**STREAM, "service": "plain"}
RESUMED = route("r-resumed", "/resumed/", "streaming", "llm", max_attempts=1, resumable=True)
ONCE = route("r-once", "/once/", "unsafe", "plain", timeout_ms=TIMEOUT_S * 1000)


async def lose_response(_: FakeReplica, exchange: Exchange) -> None:
    """Run the request without a response, until the connection is closed."""
    await exchange.wait_for_disconnect()
    raise HttpClosed("gone")


async def reset(_: FakeReplica, exchange: Exchange) -> None:
    """Run the request and close the connection without a response."""
    raise HttpClosed("reset")


async def refuse(_: FakeReplica, exchange: Exchange) -> None:
    """State that the request was not run."""
    id_field = ("x-request-id", exchange.req.headers["x-request-id"])
    await exchange.respond_with_fields(503, [id_field, ("x-not-executed", "1")], b"full")


async def refuse_without_end(_: FakeReplica, exchange: Exchange) -> None:
    """State that the request was not run, in a response whose body never ends."""
    id_field = ("x-request-id", exchange.req.headers["x-request-id"])
    await exchange.start_with_fields(503, [id_field, ("x-not-executed", "1")])
    await exchange.write(b"full")
    await lose_response(_, exchange)


def in_turn(*handlers: RequestHandler) -> Callable[[], RequestHandler]:
    """Return a factory of one handler that uses *handlers* for the requests in order."""
    left = list(handlers)

    async def handle(replica: FakeReplica, exchange: Exchange) -> None:
        await left.pop(0)(replica, exchange)

    return lambda: handle


async def check_outcome(
    harness: GatewayHarness,
    path: str,
    *,
    may_have_run: bool,
    max_s: float = math.inf,
    **fields: str,
) -> None:
    """Send a request and check status, retry delay, outcome and time of its error response."""
    started_at = await curio.clock()
    headers_out = {"x_deadline_ms": "9000", **TOKENS, **fields}
    status, headers, body = await harness.call("q", path, **headers_out)
    assert await curio.clock() - started_at <= max_s
    outcome = json.loads(body)["outcome"]
    if may_have_run:
        assert (status, outcome) in [(502, "unknown"), (504, "unknown")]
        assert "retry-after" not in headers
    else:
        assert (status, outcome) == (503, "not-run")
        assert "retry-after" in headers


class TestLostResponses:
    """Requests whose response never comes, until the time-out of their route."""

    @pytest.mark.parametrize(
        ("stream_route", "service", "role"),
        [(STREAM, "llm", "decode"), (PLAIN_STREAM, "plain", "")],
        ids=["engine", "plain"],
    )
    @pytest.mark.parametrize("timeout_ms", [TIMEOUT_S * 1000, 20000.0])
    def test_lost_stream_is_never_reported_as_not_run(
        self, stream_route: dict[str, object], service: str, role: str, timeout_ms: float
    ) -> None:
        """Callers sent such a job again, and it ran a second time."""
        harness = GatewayHarness()
        server = harness.add_replica("i-1", service, role, handler=lose_response)

        async def scenario() -> None:
            await check_outcome(harness, "/stream/a", may_have_run=True)
            assert server.executed_ids == ["q"]

        run_virtual(
            harness.run, scenario, {**stream_route, "timeout_ms": timeout_ms}, settle_s=0.003
        )

    @pytest.mark.parametrize("first", [refuse, lose_response])
    def test_lost_stream_after_a_refusal_may_have_run(self, first: RequestHandler) -> None:
        """The refusal of one engine says nothing about the other."""
        harness = GatewayHarness()
        handler = in_turn(first, lose_response)()
        for name in ("i-1", "i-2"):
            harness.add_replica(name, "llm", "decode", handler=handler)

        async def scenario() -> None:
            await check_outcome(harness, "/stream/a", may_have_run=True)

        run_virtual(harness.run, scenario, SPLIT_STREAM, settle_s=0.003)


class TestRefusals:
    """Requests that their server refused as not run."""

    @pytest.mark.parametrize("tested", [STREAM, PLAIN_STREAM, ONCE], ids=["llm", "plain", "once"])
    @pytest.mark.parametrize("handler", [refuse, refuse_without_end])
    def test_refused_request_is_reported_as_not_run(
        self, tested: dict[str, object], handler: RequestHandler
    ) -> None:
        """The head of the response says so, whether or not its body is complete."""
        harness = GatewayHarness()
        role = "decode" if tested is STREAM else ""
        harness.add_replica("i-1", "llm" if role else "plain", role, handler=handler)

        async def scenario() -> None:
            path = "/once/a" if tested is ONCE else "/stream/a"
            await check_outcome(harness, path, may_have_run=False, max_s=AT_ONCE_S)

        run_virtual(harness.run, scenario, tested, settle_s=0.003)

    def test_stream_without_an_engine_is_reported_as_not_run(self) -> None:
        """No connection to the engine was established, so nothing was sent."""
        harness = GatewayHarness()
        engine = harness.add_replica("i-1", "llm", "decode", handler=respond_stream)

        async def scenario() -> None:
            engine.free_reservations = 0
            await check_outcome(harness, "/stream/a", may_have_run=False)
            assert engine.executed_ids == []

        run_virtual(harness.run, scenario, STREAM, settle_s=0.003)


class TestWays:
    """Further ways in which an attempt ends without the head of a response."""

    def test_processed_prompt_is_no_run(self) -> None:
        """A prompt engine was sent the request; the decode engine refused it."""
        harness = GatewayHarness()
        prompt_engine = harness.add_replica("i-p", "llm", "prefill")
        harness.add_replica("i-1", "llm", "decode", handler=refuse)

        async def scenario() -> None:
            await check_outcome(harness, "/stream/a", may_have_run=False, max_s=AT_ONCE_S)
            assert prompt_engine.arrivals

        run_virtual(harness.run, scenario, STREAM, settle_s=0.003)

    def test_lost_prompt_is_no_run(self) -> None:
        """The prompt engine is silent, and the decode engine then refuses."""
        harness = GatewayHarness()
        prompt_engine = harness.add_replica("i-p", "llm", "prefill")
        prompt_engine.prefill_handler = lose_response
        harness.add_replica("i-1", "llm", "decode", handler=refuse)

        async def scenario() -> None:
            await check_outcome(harness, "/stream/a", may_have_run=False, max_s=2.0)
            assert prompt_engine.arrivals

        run_virtual(harness.run, scenario, STREAM, settle_s=0.003)

    @pytest.mark.parametrize("tested", [STREAM, PLAIN_STREAM, ONCE], ids=["llm", "plain", "once"])
    def test_reset_after_sending_may_have_run(self, tested: dict[str, object]) -> None:
        """The server had the request when the connection ended."""
        harness = GatewayHarness()
        role = "decode" if tested is STREAM else ""
        harness.add_replica("i-1", "llm" if role else "plain", role, handler=reset)

        async def scenario() -> None:
            path = "/once/a" if tested is ONCE else "/stream/a"
            await check_outcome(harness, path, may_have_run=True)

        run_virtual(harness.run, scenario, tested, settle_s=0.003)

    @pytest.mark.parametrize("tested", [STREAM, PLAIN_STREAM, ONCE], ids=["llm", "plain", "once"])
    def test_server_without_a_process_has_not_run_it(self, tested: dict[str, object]) -> None:
        """No connection is established, so nothing is sent."""
        harness = GatewayHarness()
        role = "decode" if tested is STREAM else ""
        server = harness.add_replica("i-1", "llm" if role else "plain", role, restart_s=math.inf)

        async def scenario() -> None:
            await server.crashed.set()
            await curio.sleep(0.1)
            path = "/once/a" if tested is ONCE else "/stream/a"
            await check_outcome(harness, path, may_have_run=False)

        run_virtual(harness.run, scenario, tested, settle_s=0.003)

    def test_silent_reservation_is_no_run(self) -> None:
        """The time-out of a call of the router itself says nothing about the request."""
        harness = GatewayHarness()
        harness.add_replica("i-1", "llm", "decode").ignores_side_calls = True

        async def scenario() -> None:
            await check_outcome(harness, "/stream/a", may_have_run=False)

        run_virtual(harness.run, scenario, STREAM, settle_s=0.003)

    @pytest.mark.parametrize("taken_up", [False, True])
    @pytest.mark.parametrize(
        ("handler", "may_have_run"), [(refuse, False), (lose_response, True), (reset, True)]
    )
    def test_resumable_stream_gets_the_true_outcome(
        self, handler: RequestHandler, may_have_run: bool, taken_up: bool
    ) -> None:
        """One that was refused was not run, also when its caller takes it up."""
        harness = GatewayHarness()
        harness.add_replica("i-1", "llm", "decode", handler=handler)
        fields = {"resumes": "before", "last_event_id": "2"} if taken_up else {}

        async def scenario() -> None:
            await curio.sleep(70.0)
            await check_outcome(harness, "/resumed/a", may_have_run=may_have_run, **fields)

        run_virtual(
            harness.run, scenario, {**RESUMED, "timeout_ms": TIMEOUT_S * 1000}, settle_s=0.003
        )


class TestLogs:
    """What the last line of a request tells about the promise that its caller was given."""

    def test_failed_request_names_each_attempt(self) -> None:
        """A promise could not be traced to the server that had run the request."""
        harness = GatewayHarness()
        harness.add_replica("i-p", "llm", "prefill")
        harness.add_replica("i-1", "llm", "decode", handler=in_turn(refuse, lose_response)())

        async def scenario() -> None:
            await check_outcome(harness, "/stream/a", may_have_run=True)
            attempts = "attempts=i-p:prompt:200,i-1:run:503:not-run:reused,i-1:run:none"
            assert harness.logs.matching("event=request_failed", attempts, "outcome=unknown")

        run_virtual(harness.run, scenario, STREAM, settle_s=0.003)

    def test_error_that_is_passed_on_names_its_attempt(self) -> None:
        """The line of an error tells whether the server said that it did not run the request."""
        harness = GatewayHarness()

        async def fail(replica: FakeReplica, exchange: Exchange) -> None:
            await exchange.respond_with_fields(500, replica.response_fields(exchange), b"failed")

        harness.add_replica("i-1", "plain", handler=fail)

        async def scenario() -> None:
            assert (await harness.call("q", "/once/a"))[0] == 500
            await curio.sleep(0.1)
            lines = harness.logs.matching("event=answered", "status=500")
            assert [line.split()[-1] for line in lines] == ["attempts=i-1:run:500"]

        run_virtual(harness.run, scenario, ONCE, settle_s=0.003)


class TestPlannedStop:
    """Requests that a stopping instance ends itself."""

    @pytest.mark.parametrize(
        ("handler", "may_have_run"), [(lose_response, True), (refuse_without_end, False)]
    )
    @pytest.mark.parametrize("tested", [STREAM, ONCE], ids=["stream", "once"])
    def test_stop_reports_whether_a_request_may_have_run(
        self, tested: dict[str, object], handler: RequestHandler, may_have_run: bool
    ) -> None:
        """Only a request that was sent, and not refused, may have run."""
        harness = GatewayHarness()
        role = "decode" if tested is STREAM else ""
        harness.add_replica("i-1", "llm" if role else "plain", role, handler=handler)
        path = "/stream/a" if tested is STREAM else "/once/a"

        async def scenario() -> None:
            call = await curio.spawn(self._check, harness, path, may_have_run)
            await curio.sleep(0.5)
            await harness.stopping.set()
            await call.join()

        run_virtual(harness.run, scenario, {**tested, "timeout_ms": 60000}, settle_s=0.003)

    async def _check(self, harness: GatewayHarness, path: str, may_have_run: bool) -> None:
        await check_outcome(harness, path, may_have_run=may_have_run)
