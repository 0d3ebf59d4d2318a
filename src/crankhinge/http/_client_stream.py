"""One request of the HTTP client, and its response read in chunks."""

from __future__ import annotations

import abc
import contextlib
import enum
import socket
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any

import curio
import h11

from crankhinge.errors import BadHttp, HttpClosed
from crankhinge.http._fields import decode_fields, encode_fields
from crankhinge.runtime import Turns

MAX_RECV_BYTES = 65536
# Bounds on what a server may send before its response, and on a response that is held as a whole.
MAX_INFORMATIONAL_HEADS = 16
MAX_EARLIER_RESPONSES = 8
MAX_EARLIER_RESPONSE_BYTES = 4 * 1024 * 1024
MAX_HELD_BODY_BYTES = 64 * 1024 * 1024
# The body of a refusal is worth reading only to keep the connection.
MAX_REFUSAL_BYTES = 64 * 1024
REFUSAL_TIMEOUT_S = 0.25

CONTENT_LENGTH = "content-length"
TRANSFER_ENCODING = "transfer-encoding"

# Takes the header fields of a response and whether its connection carried an earlier request;
# returns whether the response belongs to the present one.
ResponseMatcher = Callable[[Mapping[str, str], bool], bool]
HeaderFields = Iterable[tuple[str, str]]


class BodyFraming(enum.Enum):
    """What marks the end of a response body (RFC 9112, section 6.3). The values are logged.

    Attributes:
        LENGTH: the header states the length.
        CHUNKED: the last chunk is the end.
        CONNECTION: the body ends with the connection, so an early close looks like its end.
    """

    LENGTH = "length"
    CHUNKED = "chunked"
    CONNECTION = "connection"


@dataclass(frozen=True)
class ResponseTimeouts:
    """Limits in seconds on the wait for a response.

    The gaps between received bytes are limited tightly, and the complete response only loosely:
    how long it takes depends on its size and the link, and both are unknown here. With a limit of
    1.5 s on the complete response, a response of 1 MB over a link of 5 Mbit/s, which takes 1.7 s,
    was abandoned at every retry.

    Attributes:
        first_byte_s: from the end of the sent request to the first byte of the response.
        next_byte_s: from one received piece to the next.
        total_s: for the complete response; ends one that arrives in tiny pieces for too long.
    """

    first_byte_s: float
    next_byte_s: float
    total_s: float


class AnswerTooLong(BadHttp):
    """The response body is longer than the calling code accepts."""

    code = "answer-too-long"


class HttpSilent(HttpClosed):
    """The server sent nothing within a timeout; the connection was abandoned."""

    code = "http-silent"


class ConnectionOwner(abc.ABC):
    """Opens connections for client streams, and keeps or closes them after use."""

    @abc.abstractmethod
    def record_received(self, size: int, *, reused: bool) -> None:
        """Record *size* bytes received on a connection, and whether the connection was reused."""

    @abc.abstractmethod
    def record_unsent(self, size: int) -> None:
        """Record *size* more, or fewer, bytes of requests that the server has not accepted."""

    @abc.abstractmethod
    async def release_connection(
        self, sock: Any, *, reusable: bool, headers: Mapping[str, str]
    ) -> None:
        """Keep a connection for a later request, or close it.

        Args:
            sock: the connection.
            reusable: whether its request was sent and its response read, both to the end.
            headers: header fields of that response.
        """


class ClientStream:
    """A request on one connection, and its response whose body is read in chunks.

    Args:
        owner: receives the connection after use.
        sock: the connection.
        reused: whether the connection carried an earlier request.
        is_own_response: returns whether a response belongs to this request; None accepts any. A
            server may send a late response to an earlier request first.
        timeouts: limits on the wait for the response; None waits until the task is cancelled.

    Attributes:
        reused: whether the connection carried an earlier request.
        status: status code of the response.
        headers: header fields of the response by name in lower case; a repeated name has its last
            value.
        fields: all header fields of the response in order.
    """

    def __init__(
        self,
        owner: ConnectionOwner,
        sock: Any,
        *,
        reused: bool = False,
        is_own_response: ResponseMatcher | None = None,
        timeouts: ResponseTimeouts | None = None,
    ) -> None:
        self._max_piece_bytes = MAX_RECV_BYTES
        self._owner = owner
        self._sock = sock
        self._is_own_response = is_own_response
        self._timeouts = timeouts
        self._received_bytes = 0
        self._unsent_bytes = 0
        # A part of the body that was read and put back.
        self._unread = b""
        self._deadline: float | None = None
        self._reached_eof = False
        # How the connection failed while the request was sent; empty if it did not.
        self._send_error = ""
        self._h11 = h11.Connection(h11.CLIENT)
        self._request_sent = False
        self._may_be_reused = True
        self._turns = Turns()
        self.reused = reused
        self.status = 0
        self.headers: Mapping[str, str] = {}
        self.fields: list[tuple[str, str]] = []

    async def send(self, method: str, target: str, headers: HeaderFields, body: bytes) -> None:
        """Send the request and read the head of the response.

        Raises:
            HttpClosed: the connection ended before the head; the request may have arrived.
            BadHttp: the received bytes are not an HTTP response.
        """
        request = h11.Request(method=method, target=target, headers=encode_fields(headers))
        out = self._encode(request, body)
        sent_bytes = self._send_without_waiting(out)
        if sent_bytes < len(out):
            # The encoded request is not kept if what remains of it is a part of the body: it would
            # hold the body a second time.
            head_bytes = len(out) - len(body)
            is_plain_body = out.endswith(body)
            if is_plain_body and sent_bytes >= head_bytes:
                rest = memoryview(body)[sent_bytes - head_bytes :]
            else:
                rest = memoryview(out)[sent_bytes:]
            del out
            await self._send_while_reading(rest, request, body)
            return
        self._request_sent = True
        await self._read_head(request, body)

    def _encode(self, request: Any, body: bytes) -> bytes:
        out = self._h11.send(request) or b""
        if body:
            out += self._h11.send(h11.Data(data=body)) or b""
        return out + (self._h11.send(h11.EndOfMessage()) or b"")

    def _send_without_waiting(self, out: bytes) -> int:
        """Return how many bytes of *out* the kernel accepted at once."""
        try:
            return int(self._sock._socket.send(out))
        except BlockingIOError:
            return 0
        except OSError as exc:
            raise HttpClosed(str(exc)) from exc

    async def _send_while_reading(self, rest: memoryview, request: Any, body: bytes) -> None:
        """Send the remaining bytes of a request while reading the head of the response.

        A server may refuse a request before it has read all of it, and then stop reading; a client
        that sends everything first would wait forever. The connection is not reused unless the
        complete request was sent.
        """
        self._owner.record_unsent(len(rest))
        self._unsent_bytes = len(rest)
        writer = await curio.spawn(self._send_remaining, rest)
        try:
            await self._read_head(request, body)
        finally:
            await writer.cancel()
            self._owner.record_unsent(-self._unsent_bytes)
            self._unsent_bytes = 0

    async def _send_remaining(self, rest: memoryview) -> None:
        try:
            while rest:
                sent = await self._sock.send(rest)
                rest = rest[sent:]
                self._unsent_bytes -= sent
                self._owner.record_unsent(-sent)
        except OSError as exc:
            # The task that reads the response reports how the connection ended. The socket reports
            # a reset only once, so that task would see the end of the connection instead.
            self._send_error = str(exc)
            return
        self._request_sent = True

    async def _read_head(self, request: Any, body: bytes) -> None:
        for _ in range(MAX_EARLIER_RESPONSES + 1):
            event = await self._next_final_event()
            if not isinstance(event, h11.Response):
                raise HttpClosed("connection closed before a response")
            fields = decode_fields(event.headers)
            headers = dict(fields)
            if self._is_own_response is None or self._is_own_response(headers, self.reused):
                self.status = event.status_code
                self.headers = headers
                self.fields = fields
                return
            await self._skip_earlier_response(request, body)
        raise BadHttp(f"more than {MAX_EARLIER_RESPONSES} responses to earlier requests")

    async def _next_final_event(self) -> Any:
        """Return the next event that is no informational response (RFC 9110, section 15.2)."""
        for _ in range(MAX_INFORMATIONAL_HEADS + 1):
            event = await self._next_event()
            if not isinstance(event, h11.InformationalResponse):
                return event
        raise BadHttp(f"more than {MAX_INFORMATIONAL_HEADS} informational responses")

    async def _skip_earlier_response(self, request: Any, body: bytes) -> None:
        """Read a response to an earlier request to its end and prepare to parse the next one."""
        size = 0
        while not isinstance(event := await self._next_event(), h11.EndOfMessage):
            size += len(event.data) if isinstance(event, h11.Data) else 0
            if size > MAX_EARLIER_RESPONSE_BYTES:
                raise BadHttp("a response to an earlier request does not end")
        if self._h11.their_state is not h11.DONE:
            raise HttpClosed("connection closed after a response to another request")
        rest = self._h11.trailing_data[0]
        self._h11 = h11.Connection(h11.CLIENT)
        self._encode(request, body)
        if rest:
            self._h11.receive_data(rest)

    async def _next_event(self) -> Any:
        while True:
            await self._turns.end_step()
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as exc:
                if self._reached_eof:
                    # The received bytes were valid, but the response is incomplete.
                    raise HttpClosed("connection closed before the end of the response") from exc
                raise BadHttp(str(exc)) from exc
            if event is not h11.NEED_DATA:
                return event
            self._h11.receive_data(await self._receive())

    async def _receive(self) -> bytes:
        try:
            data = await self._receive_with_timeout()
        except OSError as exc:
            raise HttpClosed(str(exc)) from exc
        if not data and self._send_error:
            raise HttpClosed(self._send_error)
        self._reached_eof = not data
        self._received_bytes += len(data)
        self._owner.record_received(len(data), reused=self.reused)
        await self._turns.end_step(len(data))
        return data

    async def _receive_with_timeout(self) -> bytes:
        if self._timeouts is None:
            data: bytes = await self._sock.recv(self._max_piece_bytes)
            return data
        now = await curio.clock()
        if self._deadline is None:
            self._deadline = now + self._timeouts.total_s
        wait_s = self._timeouts.next_byte_s if self._received_bytes else self._timeouts.first_byte_s
        wait_s = max(0.0, min(wait_s, self._deadline - now))
        try:
            data = await curio.timeout_after(wait_s, self._sock.recv, self._max_piece_bytes)
        except curio.TaskTimeout as exc:
            why = f"received nothing for {wait_s:.3f} s after {self._received_bytes} bytes"
            raise HttpSilent(why) from exc
        return data

    @property
    def framing(self) -> BodyFraming:
        """What marks the end of the body."""
        if TRANSFER_ENCODING in self.headers:
            return BodyFraming.CHUNKED
        if CONTENT_LENGTH in self.headers:
            return BodyFraming.LENGTH
        return BodyFraming.CONNECTION

    async def next_chunk(self) -> bytes:
        """Return the next chunk of the body, or empty bytes at its end.

        Raises:
            HttpClosed: the connection ended before the body did.
            BadHttp: the framing of the body is invalid.
        """
        if self._unread:
            size = self._max_piece_bytes
            chunk, self._unread = self._unread[:size], self._unread[size:]
            return chunk
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return b""
        raise HttpClosed("connection closed before the end of the body")

    async def read_all(self, max_bytes: int = MAX_HELD_BODY_BYTES) -> bytes:
        """Return the rest of the body.

        Raises:
            AnswerTooLong: it has more than *max_bytes* bytes.
            HttpClosed, BadHttp: as for :meth:`next_chunk`.
        """
        body = bytearray()
        while chunk := await self.next_chunk():
            body += chunk
            if len(body) > max_bytes:
                raise AnswerTooLong(f"the response body has more than {max_bytes} bytes")
        return bytes(body)

    async def read_refusal(self) -> bytes:
        """Return the body of a response that refuses the request, or what arrives of it in time.

        If the body does not end soon, the connection is not reused.
        """
        body = bytearray()

        async def read() -> None:
            while len(body) <= MAX_REFUSAL_BYTES and (chunk := await self.next_chunk()):
                body.extend(chunk)

        with contextlib.suppress(HttpClosed, BadHttp):
            await curio.ignore_after(REFUSAL_TIMEOUT_S, read)
        return bytes(body)

    def limit_pieces(self, size: int) -> None:
        """Receive at most *size* bytes at once from now on."""
        self._max_piece_bytes = size

    async def read_all_while(self, accepts: Callable[[int], bool]) -> bytes | None:
        """Return the rest of the body, or None once a chunk is not accepted.

        What was read until then remains to be read.

        Args:
            accepts: whether a chunk of the given size may be added to those read before.
        """
        body = bytearray()
        while chunk := await self.next_chunk():
            body += chunk
            if not accepts(len(chunk)):
                self._unread = bytes(body)
                return None
        return bytes(body)

    async def close(self) -> None:
        """Return the connection to its owner, which closes it unless it can be reused."""
        done = self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE
        reusable = done and self._request_sent and not self._h11.trailing_data[0]
        reusable = reusable and self._may_be_reused
        await self._owner.release_connection(self._sock, reusable=reusable, headers=self.headers)

    def prevent_reuse(self) -> None:
        """Close the connection after this response, also if it could carry another request."""
        self._may_be_reused = False

    def shut_down(self) -> None:
        """End the connection, so that a task that waits for the next chunk gets HttpClosed.

        Data that has arrived already can still be read.
        """
        with contextlib.suppress(OSError):
            self._sock._socket.shutdown(socket.SHUT_RDWR)

    async def abort(self) -> None:
        """Close the connection, whatever state the request and the response are in."""
        await self._owner.release_connection(self._sock, reusable=False, headers=self.headers)
