"""Tests that an answer whose connection ends too early is never taken for a whole one."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from typing import Any

import curio
import pytest

from crankhinge.adapters import EngineFailed
from crankhinge.adapters.openai_engine import OpenAiEngine
from crankhinge.errors import BadHttp, HttpClosed
from crankhinge.http import BodyFraming, Exchange, serve_http
from crankhinge.http._sse import MAX_EVENT_BYTES
from crankhinge.runtime import get_log, run_until_first_ends
from platform_fakes import (
    HOST,
    FakeReplica,
    FakeStore,
    GatewayHarness,
    LogCapture,
    respond_bad_request,
    respond_stream,
    route,
)
from raw_responses import End, send_raw
from virtual_time import run_virtual

ONCE = route("r-once", "/once/", "unsafe", "plain")
STREAM = route("r-stream", "/stream/", "streaming", "llm")
MAX_CALLS = 60
TOKEN_HEADERS = {"x_token_count": "100,50", "length_hint": "40"}
MEMORY_MB = 128.0
# A body that an instance holds until it is whole, and one that it passes on as it comes.
HELD_BODY, PASSED_ON_BODY = b"x" * 1_000, b"x" * 4_000_000
KV_HANDLE = json.dumps({"kv_handle": "h1", "tokens": 100, "version": 1}).encode()
EVENT = b'data: {"choices":[{"text":"a"}]}\n\n'
DONE = b"data: [DONE]\n\n"


class TestPlainAnswer:
    """The answer to a plain call that has neither a length nor chunks."""

    @pytest.mark.parametrize("body", [HELD_BODY, PASSED_ON_BODY], ids=["held", "passed-on"])
    @pytest.mark.parametrize("end", [End.CLOSED, End.RESET])
    def test_reset_is_not_the_end_of_the_answer(self, body: bytes, end: End) -> None:
        """An orderly close ends it; the caller sees the break of one that was reset."""

        async def respond(replica: FakeReplica, exchange: Exchange) -> None:
            await send_raw(replica, exchange, body, end=end)

        status, received, complete = self._call(respond)
        if end is End.CLOSED:
            assert (status, received, complete) == (200, body, True)
        elif body is HELD_BODY:
            assert status == 502
        else:
            assert not complete
            assert body.startswith(received)

    def _call(self, respond: Callable[..., Awaitable[None]]) -> tuple[int, bytes, bool]:
        """Return status and body of the answer, and whether it came to a regular end."""
        harness = GatewayHarness(memory_mb=MEMORY_MB)
        harness.add_replica("i-1", "plain", handler=respond)
        answers: list[tuple[int, bytes, bool]] = []

        async def scenario() -> None:
            response = await harness.open("q1", "/once/a")
            body, complete = b"", False
            try:
                while chunk := await response.next_chunk():
                    body += chunk
                complete = True
            except (BadHttp, HttpClosed):
                pass
            answers.append((response.status, body, complete))
            await response.abort()

        run_virtual(harness.run, scenario, ONCE, settle_s=0.003)
        [answer] = answers
        return answer


class CutSideCalls(FakeReplica):
    """A server whose answers to calls of the instance's own end in the middle."""

    async def _handle_side_call(self, exchange: Exchange) -> None:
        self.side_calls.append(f"{exchange.req.method} {exchange.req.path}")
        await exchange.write_raw(b'HTTP/1.1 200 OK\r\n\r\n{"hold":"h1","phase":"prefill","seq')
        raise HttpClosed("the connection ends here")


class TestOwnCalls:
    """Answers to the instance's own calls."""

    @pytest.mark.parametrize("cut", range(0, len(KV_HANDLE), 7))
    @pytest.mark.parametrize("framing", [BodyFraming.CONNECTION, BodyFraming.LENGTH])
    def test_cut_handle_of_a_prompt_is_not_used(self, cut: int, framing: BodyFraming) -> None:
        """The decode engine processes the prompt itself."""

        async def cut_handle(replica: FakeReplica, exchange: Exchange) -> None:
            missing = len(KV_HANDLE) - cut if framing is BodyFraming.LENGTH else 0
            await send_raw(
                replica, exchange, KV_HANDLE[:cut], framing=framing, missing_bytes=missing
            )

        harness = GatewayHarness()
        harness.add_replica("i-r", "llm", "prefill", prefill_handler=cut_handle)
        engine = harness.add_replica("i-w", "llm", "decode", handler=respond_stream)

        async def scenario() -> None:
            assert (await harness.call("q1", "/stream/a", **TOKEN_HEADERS))[0] == 200

        run_virtual(harness.run, scenario, STREAM, settle_s=0.003)
        [arrival] = engine.arrivals
        assert "kv-from" not in arrival.headers

    def test_cut_reservation_is_not_used(self) -> None:
        """Another engine, which answers in full, runs the stream."""
        harness = GatewayHarness()
        cut = CutSideCalls(harness.store, "i-cut", "llm", "decode", respond_stream)
        harness.replicas.append(cut)
        engine = harness.add_replica("i-w", "llm", "decode", handler=respond_stream)

        async def scenario() -> None:
            # Either engine may be asked first.
            for number in range(MAX_CALLS):
                status, _, _ = await harness.call(f"q{number}", "/stream/a", **TOKEN_HEADERS)
                assert status == 200
                if "POST /v1/hold-take" in cut.side_calls:
                    break

        run_virtual(harness.run, scenario, STREAM, settle_s=0.003)
        assert "POST /v1/hold-take" in cut.side_calls
        assert not cut.arrivals
        assert engine.arrivals


class TestCompletion:
    """The completion that an agent reads from an engine."""

    @pytest.mark.parametrize("framing", BodyFraming)
    @pytest.mark.parametrize("last", [EVENT, EVENT[:-1], EVENT + DONE[:-1], EVENT + DONE])
    def test_completion_is_whole_only_with_its_last_event(
        self, framing: BodyFraming, last: bytes
    ) -> None:
        """Length, chunks or the end of the connection may say that the response is complete."""
        body = EVENT + last
        whole = body.endswith(DONE)
        assert self._read(body, framing) == (["a", "a"] if whole else None)

    def test_completion_with_an_event_without_end_has_failed(self) -> None:
        """The error of the parser was none that an agent reports to its entry."""
        assert self._read(EVENT + b"x" * (MAX_EVENT_BYTES + 1), BodyFraming.CHUNKED) is None

    def _read(self, body: bytes, framing: BodyFraming) -> list[str] | None:
        """Return the texts of a completion; None if the engine is said to have failed."""
        replica = FakeReplica(FakeStore(), "e", "llm")
        log = get_log(program="e", stream=LogCapture())
        texts: list[list[str] | None] = []

        async def respond(exchange: Exchange) -> None:
            exchange.req.headers["x-request-id"] = "1"
            await send_raw(replica, exchange, body, framing=framing)

        async def serve() -> None:
            await serve_http(HOST, replica.port, respond, on_malformed=respond_bad_request, log=log)

        async def scenario() -> None:
            await curio.sleep(0.05)
            engine = OpenAiEngine(HOST, replica.port)
            request: dict[str, Any] = {"model": "m", "prompt": "p"}
            stream = await engine.decode(
                "/v1/completions", json.dumps(request).encode(), b"{}", request_id=1
            )
            received: list[str] = []
            try:
                while pieces := await stream.next_pieces():
                    received += pieces
            except EngineFailed:
                texts.append(None)
            else:
                texts.append(received)
            await stream.close()

        async def run() -> None:
            await run_until_first_ends(serve, scenario)

        run_virtual(run, settle_s=0.003)
        [result] = texts
        return result
