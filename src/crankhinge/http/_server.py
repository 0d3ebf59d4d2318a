"""The serving side of HTTP/1.1."""

from __future__ import annotations

import os
import socket
from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any

import curio
import h11

from crankhinge.errors import BadHttp, BodyTooLarge, CallerGone, HttpClosed
from crankhinge.runtime import send_all, serve_tcp

MAX_RECV_BYTES = 65536
MAX_LINGER_S = 1.0
MAX_LINGER_BYTES = 16 * 1024 * 1024
# Most bytes of later requests that are taken in while one is answered.
MAX_PIPELINED_BYTES = 256 * 1024

HeaderFields = Iterable[tuple[str, str]]


@dataclass(frozen=True)
class HttpLimits:
    """Bounds on what a caller may send.

    Attributes:
        max_body_bytes: largest body.
        max_header_bytes: largest header block.
        idle_timeout_s: seconds a connection may stay without the first byte of a request.
        read_timeout_s: seconds from that byte to the end of the request.
        send_timeout_s: seconds for which a caller may take nothing of an answer.
    """

    max_body_bytes: int = 4 * 1024 * 1024
    max_header_bytes: int = 16 * 1024
    idle_timeout_s: float = 75.0
    read_timeout_s: float = 75.0
    send_timeout_s: float = 15.0


@dataclass(frozen=True)
class HttpRequest:
    """One whole request. Header names are lower case.

    Attributes:
        headers: by name; of a repeated name the last value.
        fields: every header field in order.
    """

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes
    fields: tuple[tuple[str, str], ...] = ()

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


class Exchange:
    """One request and the way to answer it.

    Args:
        conn: the caller's connection.
        req: the request.
        connection_reused: whether earlier requests came on this connection.
    """

    def __init__(
        self, conn: _ServerConnection, req: HttpRequest, *, connection_reused: bool = False
    ) -> None:
        self._conn = conn
        self.req = req
        self.connection_reused = connection_reused
        self.response_started = False

    async def respond(
        self, status: int, body: bytes, headers: Mapping[str, str] | None = None
    ) -> None:
        """Send a whole response."""
        head = {"content-type": "application/json", **(headers or {})}
        head["content-length"] = str(len(body))
        self.response_started = True
        out = self._conn.encode_head(status, head)
        out += self._conn.encode(h11.Data(data=body))
        out += self._conn.encode(h11.EndOfMessage())
        await self._conn.send(out)

    async def respond_with_fields(self, status: int, fields: HeaderFields, body: bytes) -> None:
        """Send a whole response with the given header fields; only its length is added."""
        self.response_started = True
        out = self._conn.encode_fields(status, [*fields, ("content-length", str(len(body)))])
        # Nothing follows the head of an answer to HEAD, or of one without content.
        if self.req.method != "HEAD" and status not in (204, 304):
            out += self._conn.encode(h11.Data(data=body))
        out += self._conn.encode(h11.EndOfMessage())
        await self._conn.send(out)

    async def start(self, status: int, headers: Mapping[str, str]) -> None:
        """Send the head of a streamed response."""
        await self.start_with_fields(status, headers.items())

    async def start_with_fields(self, status: int, fields: HeaderFields) -> None:
        """Send the head of a streamed response with the given header fields."""
        self.response_started = True
        await self._conn.send(self._conn.encode_fields(status, fields))

    async def write(self, chunk: bytes) -> None:
        """Send one chunk of a streamed response."""
        await self._conn.send(self._conn.encode(h11.Data(data=chunk)))

    async def finish(self) -> None:
        """End a streamed response."""
        await self._conn.send(self._conn.encode(h11.EndOfMessage()))

    async def wait_for_disconnect(self) -> None:
        """Return when the caller has closed its end."""
        await self._conn.wait_for_disconnect()

    @property
    def is_disconnected(self) -> bool:
        """Whether the caller has closed its end already; nothing is waited for."""
        return self._conn.is_disconnected()

    @property
    def conn(self) -> object:
        """The connection, the same object for all its requests."""
        return self._conn


class _ServerConnection:
    """A connection from a caller."""

    def __init__(self, sock: Any, limits: HttpLimits, is_closing: Callable[[], bool]) -> None:
        self._sock = sock
        self._fd = sock.fileno()
        self._limits = limits
        self._is_closing = is_closing
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.max_header_bytes)

    def encode_head(self, status: int, headers: Mapping[str, str]) -> bytes:
        return self.encode_fields(status, headers.items())

    def encode_fields(self, status: int, fields: HeaderFields) -> bytes:
        head = list(fields)
        if self._is_closing():
            head.append(("connection", "close"))
        return self.encode(h11.Response(status_code=status, headers=head))

    def encode(self, event: Any) -> bytes:
        return self._h11.send(event) or b""

    async def send(self, data: bytes) -> None:
        # Nearly always the kernel takes all of it at once: no timer is set for that.
        try:
            taken = os.write(self._fd, data)
        except BlockingIOError:
            taken = 0
        except OSError as exc:
            raise CallerGone(str(exc)) from exc
        if taken < len(data):
            await self._send_remaining(memoryview(data)[taken:])

    async def _send_remaining(self, data: memoryview) -> None:
        try:
            await send_all(self._sock, data, self._limits.send_timeout_s)
        except OSError as exc:
            raise CallerGone(str(exc)) from exc

    async def _next_event(self) -> Any:
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as exc:
                kind = BodyTooLarge if exc.error_status_hint == 431 else BadHttp
                raise kind(str(exc)) from exc
            if event is not h11.NEED_DATA:
                return event
            await self._receive()

    async def _receive(self) -> None:
        try:
            data = await self._sock.recv(MAX_RECV_BYTES)
        except OSError as exc:
            raise HttpClosed(str(exc)) from exc
        self._h11.receive_data(data)

    async def wait_for_first_byte(self) -> None:
        """Return when something of the next request is here, or the caller has closed."""
        if not self._h11.trailing_data[0]:
            await self._receive()

    async def read_request(self) -> HttpRequest | None:
        """Return the next request, or None when the caller is done."""
        head = await self._next_event()
        if isinstance(head, h11.ConnectionClosed):
            return None
        if not isinstance(head, h11.Request):
            raise BadHttp("not a request")
        declared = dict(head.headers).get(b"content-length", b"0")
        if int(declared) > self._limits.max_body_bytes:
            raise BodyTooLarge(f"body over {self._limits.max_body_bytes} bytes")
        if self._h11.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            await self.send(self.encode(go_on))
        body = await self._read_body()
        fields = tuple((k.decode("latin-1"), v.decode("latin-1")) for k, v in head.headers)
        method = head.method.decode("ascii")
        return HttpRequest(method, head.target.decode("latin-1"), dict(fields), body, fields)

    async def _read_body(self) -> bytes:
        body = bytearray()
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            if not isinstance(event, h11.Data):
                raise HttpClosed("closed in mid-body")
            body += event.data
            if len(body) > self._limits.max_body_bytes:
                raise BodyTooLarge(f"body over {self._limits.max_body_bytes} bytes")

    def is_disconnected(self) -> bool:
        try:
            return not self._sock._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    async def wait_for_disconnect(self) -> None:
        early = 0
        while early < MAX_PIPELINED_BYTES:
            try:
                data = await self._sock.recv(MAX_RECV_BYTES)
            except OSError:
                return
            if not data:
                return
            early += len(data)
            self._h11.receive_data(data)
        # Whoever sends this much before its answer is heard again once the answer is out.
        await curio.Event().wait()

    async def drain_after_refusal(self) -> None:
        """Read on for a while after a refusal, so that the caller gets to see it.

        Closing with bytes unread would reset the connection and take the answer back.
        """
        try:
            await self._sock.shutdown(socket.SHUT_WR)
            await curio.ignore_after(MAX_LINGER_S, self._discard_input)
        except OSError:
            return

    async def _discard_input(self) -> None:
        left = MAX_LINGER_BYTES
        while left > 0 and (data := await self._sock.recv(MAX_RECV_BYTES)):
            left -= len(data)

    def start_next_cycle(self) -> bool:
        """Whether another request may follow on this connection."""
        if self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE:
            self._h11.start_next_cycle()
            return True
        return False

    def can_respond(self) -> bool:
        return self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE)


Handler = Callable[[Exchange], Awaitable[None]]
MalformedRequestHandler = Callable[[Exchange, BadHttp], Awaitable[None]]


async def serve_http(
    host: str,
    port: int,
    handler: Handler,
    *,
    on_malformed: MalformedRequestHandler,
    log: Any,
    limits: HttpLimits | Callable[[], HttpLimits] | None = None,
    is_closing: Callable[[], bool] = lambda: False,
    stop_accepting: curio.Event | None = None,
) -> None:
    """Serve until cancelled.

    Args:
        host: address to bind.
        port: TCP port.
        handler: answers one exchange.
        on_malformed: answers a malformed request.
        log: where unexpected failures go.
        limits: bounds on what callers may send; a callable is asked for each connection.
        is_closing: whether connections end with the answer that is due on them.
        stop_accepting: when set, no more connections are accepted.
    """

    async def serve_one(sock: Any, _addr: Any) -> None:
        bounds = limits() if callable(limits) else limits or HttpLimits()
        await _serve_connection(
            _ServerConnection(sock, bounds, is_closing), bounds, handler, on_malformed
        )

    await serve_tcp(host, port, serve_one, log=log, stop_accepting=stop_accepting)


async def _serve_connection(
    conn: _ServerConnection,
    limits: HttpLimits,
    handler: Handler,
    on_malformed: MalformedRequestHandler,
) -> None:
    kept = False
    try:
        while True:
            await curio.timeout_after(limits.idle_timeout_s, conn.wait_for_first_byte)
            req = await curio.timeout_after(limits.read_timeout_s, conn.read_request)
            if req is None:
                return
            await handler(Exchange(conn, req, connection_reused=kept))
            kept = True
            if not conn.start_next_cycle():
                return
    except BadHttp as exc:
        if conn.can_respond():
            await _respond_to_malformed(conn, exc, on_malformed)
            await conn.drain_after_refusal()
    except (HttpClosed, curio.TaskTimeout, h11.LocalProtocolError):
        return


async def _respond_to_malformed(
    conn: _ServerConnection, exc: BadHttp, on_malformed: MalformedRequestHandler
) -> None:
    try:
        await on_malformed(Exchange(conn, HttpRequest("", "", {}, b"")), exc)
    except (HttpClosed, h11.LocalProtocolError):
        return
