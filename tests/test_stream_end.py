"""How a stream's end reaches the caller, by the framing of the server's response and its end."""

from __future__ import annotations

import curio
import pytest

from crankhinge.errors import BadHttp, HttpClosed
from crankhinge.http import BodyFraming, Exchange
from platform_fakes import HOST, FakeReplica, GatewayHarness, make_events, respond_stream, route
from raw_responses import End, send_raw
from virtual_time import run_virtual

STREAM = route("r-stream", "/stream/", "streaming", "llm")
RESUMED = route("r-resumed", "/resumed/", "streaming", "llm", max_attempts=2, resumable=True)
PLAIN_STREAM = route("r-plain", "/plain/", "streaming", "plain")
PLAIN_RESUMED = route("r-pr", "/again/", "streaming", "plain", max_attempts=2, resumable=True)
ROUTES = (STREAM, RESUMED, PLAIN_STREAM, PLAIN_RESUMED)
TOKEN_HEADERS = {"x_token_count": "100,50", "length_hint": "40"}
WHOLE = make_events(1, 5)
INSIDE_FIRST_EVENT = b"id: 1\nda"
INSIDE_EVENT = make_events(1, 2) + b"id: 3\nda"
INSIDE_FIELD_NAME = make_events(1, 2) + b"i"
NO_LAST_NEWLINE = WHOLE[:-1]
NO_LAST_BLANK_LINE = WHOLE[:-2]
CUT_BODIES = {
    "before_first_event": b"",
    "inside_first_event": INSIDE_FIRST_EVENT,
    "inside_event": INSIDE_EVENT,
    "inside_field_name": INSIDE_FIELD_NAME,
    "no_last_newline": NO_LAST_NEWLINE,
    "no_last_blank_line": NO_LAST_BLANK_LINE,
}
EVENT_STREAM_FIELD = (("content-type", "text/event-stream"),)
INCOMPLETE_RESPONSE_ERRORS = (BadHttp, HttpClosed)


class Ending:
    """Makes the first server that runs the request end its response in a chosen way.

    Args:
        body: the bytes of the response's body.
        options: as for :func:`send_raw`.
    """

    def __init__(self, body: bytes, **options: object) -> None:
        self._body = body
        self._options = options
        self.last_event_ids: list[str] = []

    async def respond(self, replica: FakeReplica, exchange: Exchange) -> None:
        """End the first response in the chosen way; respond to later requests as usual."""
        self.last_event_ids.append(exchange.req.headers.get("last-event-id", ""))
        if len(self.last_event_ids) == 1:
            await send_raw(replica, exchange, self._body, **self._options)  # type: ignore[arg-type]
        await respond_stream(replica, exchange)


def make_harness(ending: Ending) -> GatewayHarness:
    """Return a gateway before a prefill engine, two decode engines and two plain servers."""
    harness = GatewayHarness()
    harness.add_replica("i-r", "llm", "prefill")
    for number in range(2):
        harness.add_replica(f"i-{number}", "llm", "decode", handler=ending.respond)
        harness.add_replica(f"i-p{number}", "plain", handler=ending.respond)
    return harness


def read_answer(ending: Ending, path: str) -> tuple[bytes, bool]:
    """Send a request; return the body and whether the response is framed as complete."""
    harness = make_harness(ending)
    answers = []

    async def scenario() -> None:
        body = b""
        response = await harness.open("q1", path, **TOKEN_HEADERS)
        try:
            while chunk := await response.next_chunk():
                body += chunk
        except INCOMPLETE_RESPONSE_ERRORS:
            answers.append((body, False))
        else:
            answers.append((body, True))
        await response.abort()

    run_virtual(harness.run, scenario, *ROUTES, settle_s=0.003)
    [answer] = answers
    return answer


class TestStreamBrokenOff:
    """A stream that its server broke off must not look complete to the caller."""

    @pytest.mark.parametrize("path", ["/stream/a", "/plain/a"])
    @pytest.mark.parametrize("cut", CUT_BODIES)
    def test_end_of_connection_inside_event_is_not_the_end_of_the_answer(
        self, cut: str, path: str
    ) -> None:
        """The response has neither a length nor chunks, and its connection closes in order."""
        body, complete = read_answer(Ending(CUT_BODIES[cut]), path)
        assert not complete
        assert WHOLE.startswith(body)

    @pytest.mark.parametrize("framing", [BodyFraming.LENGTH, BodyFraming.CHUNKED])
    @pytest.mark.parametrize("cut", [cut for cut in CUT_BODIES if cut != "before_first_event"])
    def test_framed_end_inside_event_is_not_the_end_of_the_answer(
        self, cut: str, framing: BodyFraming
    ) -> None:
        """The length or the last chunk says complete, but the last event is not."""
        ending = Ending(CUT_BODIES[cut], framing=framing, fields=EVENT_STREAM_FIELD)
        assert read_answer(ending, "/stream/a")[1] is False

    @pytest.mark.parametrize("framing", BodyFraming)
    @pytest.mark.parametrize("sent", ["after_event", "inside_event"])
    def test_reset_is_not_the_end_of_the_answer(self, framing: BodyFraming, sent: str) -> None:
        """The connection is reset, after a complete event or inside one."""
        body = make_events(1, 2) if sent == "after_event" else INSIDE_EVENT
        ending = Ending(body, framing=framing, end=End.RESET, missing_bytes=9)
        assert read_answer(ending, "/stream/a")[1] is False

    @pytest.mark.parametrize("framing", [BodyFraming.LENGTH, BodyFraming.CHUNKED])
    def test_close_before_the_framed_end_is_not_the_end_of_the_answer(
        self, framing: BodyFraming
    ) -> None:
        """The connection closes after a complete event, before the length or the last chunk."""
        ending = Ending(make_events(1, 2), framing=framing, missing_bytes=9)
        assert read_answer(ending, "/stream/a") == (make_events(1, 2), False)

    @pytest.mark.parametrize("framing", BodyFraming)
    def test_silent_server_is_not_the_end_of_the_answer(self, framing: BodyFraming) -> None:
        """The server sends nothing more and keeps the connection open."""
        ending = Ending(make_events(1, 2), framing=framing, end=End.SILENT, missing_bytes=9)
        assert read_answer(ending, "/stream/a") == (make_events(1, 2), False)

    @pytest.mark.parametrize("path", ["/resumed/a", "/again/a"])
    @pytest.mark.parametrize("cut", CUT_BODIES)
    def test_resumable_stream_continues_after_its_last_complete_event(
        self, cut: str, path: str
    ) -> None:
        """The caller gets one whole stream, although the first server broke off inside an event."""
        ending = Ending(CUT_BODIES[cut])
        assert read_answer(ending, path) == (WHOLE, True)
        complete_events = CUT_BODIES[cut].count(b"\n\n")
        assert ending.last_event_ids == ["", str(complete_events) if complete_events else ""]


class TestWholeStream:
    """A stream that its server completed must not reach the caller broken."""

    @pytest.mark.parametrize("framing", BodyFraming)
    @pytest.mark.parametrize("path", ["/stream/a", "/resumed/a", "/plain/a"])
    def test_stream_that_ends_after_an_event_is_whole(
        self, framing: BodyFraming, path: str
    ) -> None:
        """Each framing, with the connection closed after the response."""
        ending = Ending(WHOLE, framing=framing)
        assert read_answer(ending, path) == (WHOLE, True)
        assert len(ending.last_event_ids) == 1

    def test_response_to_head_request_is_whole(self) -> None:
        """It has no body, so its connection may close before any event; it is not repeated."""
        ending = Ending(b"")
        harness = make_harness(ending)

        async def scenario() -> None:
            response = await harness.open("q1", "/resumed/a", method="HEAD", **TOKEN_HEADERS)
            await curio.sleep(0.5)
            await response.abort()

        run_virtual(harness.run, scenario, *ROUTES, settle_s=0.003)
        assert len(ending.last_event_ids) == 1
        assert harness.logs.matching("event=answered", "request=q1")

    @pytest.mark.parametrize("framing", BodyFraming)
    def test_comment_after_the_last_event_is_relayed(self, framing: BodyFraming) -> None:
        """A comment line is no event, so the stream does not end inside one."""
        body = WHOLE + b": done\n"
        assert read_answer(Ending(body, framing=framing), "/stream/a") == (body, True)

    @pytest.mark.parametrize("framing", [BodyFraming.LENGTH, BodyFraming.CHUNKED])
    def test_framed_body_of_unknown_type_is_relayed_unchanged(self, framing: BodyFraming) -> None:
        """Its server says that it is complete, and not that it has events."""
        ending = Ending(b"no events", framing=framing)
        assert read_answer(ending, "/stream/a") == (b"no events", True)

    @pytest.mark.parametrize("framing", BodyFraming)
    def test_body_that_is_no_event_stream_is_relayed_unchanged(self, framing: BodyFraming) -> None:
        """A response of another content type has no events that could be unfinished."""
        json_field = (("content-type", "application/json"),)
        ending = Ending(b'{"a": 1}', framing=framing, fields=json_field)
        assert read_answer(ending, "/stream/a") == (b'{"a": 1}', True)


class TestCallerWithoutChunks:
    """A caller that speaks HTTP/1.0 takes the end of the connection for the end of the answer."""

    @pytest.mark.parametrize(
        ("body", "expected"), [(WHOLE, (WHOLE, True)), (INSIDE_EVENT, (None, False))]
    )
    def test_broken_stream_ends_with_a_reset(
        self, body: bytes, expected: tuple[bytes | None, bool]
    ) -> None:
        """Only a complete answer ends with the connection closed in order."""
        harness = make_harness(Ending(body))
        answers: list[tuple[bytes | None, bool]] = []

        async def scenario() -> None:
            sock = await curio.open_connection(HOST, harness.port)
            await sock.sendall(
                b"POST /stream/a HTTP/1.0\r\nhost: h.example\r\nx-request-id: q1\r\n"
                b"x-deadline-ms: 4000\r\nx-token-count: 100,50\r\ncontent-length: 0\r\n\r\n"
            )
            received = b""
            try:
                while data := await sock.recv(4096):
                    received += data
            except ConnectionResetError:
                answers.append((None, False))
            else:
                answers.append((received.partition(b"\r\n\r\n")[2], True))
            await sock.close()

        run_virtual(harness.run, scenario, STREAM, settle_s=0.003)
        assert answers == [expected]
