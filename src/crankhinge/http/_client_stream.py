"""One request of ours and its response, read piece by piece."""

from __future__ import annotations

import abc
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any

import curio
import h11

from crankhinge.errors import BadHttp, HttpClosed

MAX_RECV_BYTES = 65536

ResponseMatcher = Callable[[Mapping[str, str]], bool]
HeaderFields = Iterable[tuple[str, str]]


@dataclass(frozen=True)
class ResponseTimeouts:
    """How long an answer is waited for, in seconds.

    Silence is bounded, not the whole answer: how long that takes follows from its size and the
    link, which nobody here knows. A bound on the whole once gave up an answer of 1 MB on a
    5 Mbit/s link, which takes 1.7 s, after each 1.5 s for ever.

    Attributes:
        first_byte_s: from the sending of the request to the first byte.
        next_byte_s: from one piece to the next.
        total_s: all of it; ends an answer that only trickles.
    """

    first_byte_s: float
    next_byte_s: float
    total_s: float


class HttpSilent(HttpClosed):
    """The other end stopped sending; the connection was given up."""

    code = "http-silent"


class ConnectionOwner(abc.ABC):
    """Whoever opened a connection and takes it back."""

    @abc.abstractmethod
    def record_received(self, size: int, *, reused: bool) -> None:
        """Note that *size* bytes came on a connection, and whether it was used before."""

    @abc.abstractmethod
    async def release_connection(
        self, sock: Any, *, reusable: bool, headers: Mapping[str, str]
    ) -> None:
        """Keep a connection for the next call, or close it.

        Args:
            sock: the connection.
            reusable: whether the answer on it was read to its end.
            headers: of that answer.
        """


class ClientStream:
    """A response whose body is read piece by piece.

    Args:
        owner: to whom the connection returns.
        sock: the connection.
        reused: whether it carried an earlier request.
        is_own_response: tells from a head whether an answer is this request's; a server may send an
            answer to an earlier request late, in the place of the one that is due.
        timeouts: how long the answer is waited for; without one, until the caller gives up.
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
        self._owner = owner
        self._sock = sock
        self._is_own_response = is_own_response
        self._timeouts = timeouts
        self._received_bytes = 0
        self._deadline: float | None = None
        self._reached_eof = False
        self._h11 = h11.Connection(h11.CLIENT)
        self._request_sent = False
        self.reused = reused
        self.status = 0
        self.headers: Mapping[str, str] = {}
        self.fields: list[tuple[str, str]] = []

    async def send(self, method: str, target: str, headers: HeaderFields, body: bytes) -> None:
        """Send the request and read the head of the response.

        Raises:
            HttpClosed: the connection ended first; the request may have arrived.
            BadHttp: what came back is no answer.
        """
        request = h11.Request(method=method, target=target, headers=list(headers))
        out = self._encode(request, body)
        taken = self._send_without_waiting(out)
        if taken < len(out):
            await self._send_while_reading(memoryview(out)[taken:], request, body)
            return
        self._request_sent = True
        await self._read_head(request, body)

    def _encode(self, request: Any, body: bytes) -> bytes:
        out = self._h11.send(request) or b""
        if body:
            out += self._h11.send(h11.Data(data=body)) or b""
        return out + (self._h11.send(h11.EndOfMessage()) or b"")

    def _send_without_waiting(self, out: bytes) -> int:
        try:
            return int(self._sock._socket.send(out))
        except BlockingIOError:
            return 0
        except OSError as exc:
            raise HttpClosed(str(exc)) from exc

    async def _send_while_reading(self, rest: memoryview, request: Any, body: bytes) -> None:
        """Send a long body and take an answer that comes before all of it is in.

        A server may refuse a request early and stop reading; whoever only writes would then wait
        for ever. The connection is not used again unless everything was sent.
        """
        writer = await curio.spawn(self._send_remaining, rest)
        try:
            await self._read_head(request, body)
        finally:
            await writer.cancel()

    async def _send_remaining(self, rest: memoryview) -> None:
        try:
            await self._sock.sendall(rest)
        except OSError:
            # The reading side reports how the connection ended.
            return
        self._request_sent = True

    async def _read_head(self, request: Any, body: bytes) -> None:
        while True:
            event = await self._next_event()
            while isinstance(event, h11.InformationalResponse):
                event = await self._next_event()
            if not isinstance(event, h11.Response):
                raise HttpClosed("closed before a response")
            headers = {k.decode("latin-1"): v.decode("latin-1") for k, v in event.headers}
            if self._is_own_response is None or self._is_own_response(headers):
                self.status = event.status_code
                self.headers = headers
                self.fields = [(k.decode("latin-1"), v.decode("latin-1")) for k, v in event.headers]
                return
            await self._skip_earlier_response(request, body)

    async def _skip_earlier_response(self, request: Any, body: bytes) -> None:
        """Read past an answer to an earlier request and wait for the next one."""
        while not isinstance(await self._next_event(), h11.EndOfMessage):
            pass
        if self._h11.their_state is not h11.DONE:
            raise HttpClosed("closed after an answer to another request")
        rest = self._h11.trailing_data[0]
        self._h11 = h11.Connection(h11.CLIENT)
        self._encode(request, body)
        if rest:
            self._h11.receive_data(rest)

    async def _next_event(self) -> Any:
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as exc:
                if self._reached_eof:
                    # Nothing that came was wrong: it came to an end too soon.
                    raise HttpClosed("closed before the end of an answer") from exc
                raise BadHttp(str(exc)) from exc
            if event is not h11.NEED_DATA:
                return event
            self._h11.receive_data(await self._receive())

    async def _receive(self) -> bytes:
        try:
            data = await self._receive_with_timeout()
        except OSError as exc:
            raise HttpClosed(str(exc)) from exc
        self._reached_eof = not data
        self._received_bytes += len(data)
        self._owner.record_received(len(data), reused=self.reused)
        return data

    async def _receive_with_timeout(self) -> bytes:
        if self._timeouts is None:
            data: bytes = await self._sock.recv(MAX_RECV_BYTES)
            return data
        now = await curio.clock()
        if self._deadline is None:
            self._deadline = now + self._timeouts.total_s
        wait_s = self._timeouts.next_byte_s if self._received_bytes else self._timeouts.first_byte_s
        wait_s = max(0.0, min(wait_s, self._deadline - now))
        try:
            data = await curio.timeout_after(wait_s, self._sock.recv, MAX_RECV_BYTES)
        except curio.TaskTimeout as exc:
            why = f"nothing for {wait_s:.3f} s after {self._received_bytes} bytes"
            raise HttpSilent(why) from exc
        return data

    async def next_chunk(self) -> bytes:
        """Return the next piece of the body; empty at its end.

        Raises:
            HttpClosed: when the connection ends before the body does.
            BadHttp: when its framing is broken.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return b""
        raise HttpClosed("closed in mid-body")

    async def read_all(self) -> bytes:
        """Return the whole rest of the body."""
        body = bytearray()
        while chunk := await self.next_chunk():
            body += chunk
        return bytes(body)

    async def close(self) -> None:
        """Give the connection back when it can be reused, else close it."""
        done = self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE
        clean = done and self._request_sent and not self._h11.trailing_data[0]
        await self._owner.release_connection(self._sock, reusable=clean, headers=self.headers)

    async def abort(self) -> None:
        """Close the connection, whatever state it is in."""
        await self._owner.release_connection(self._sock, reusable=False, headers=self.headers)
