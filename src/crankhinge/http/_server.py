"""HTTP/1.1 server: reads requests with limits and writes responses."""

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
# How long, and how many bytes, the rest of a refused request is read before its connection closes.
MAX_LINGER_S = 1.0
MAX_LINGER_BYTES = 16 * 1024 * 1024
# How many bytes of later requests are buffered while the server responds to one.
MAX_PIPELINED_BYTES = 256 * 1024

HeaderFields = Iterable[tuple[str, str]]


@dataclass(frozen=True)
class HttpLimits:
    """Limits on the requests of a caller, and on its time to send them and to read responses.

    Attributes:
        max_body_bytes: largest request body.
        max_header_bytes: largest header block.
        idle_timeout_s: seconds that a connection may wait for the first byte of a request.
        read_timeout_s: seconds from that byte to the end of the request.
        send_timeout_s: seconds for which a caller may accept no bytes of a response.
    """

    max_body_bytes: int = 4 * 1024 * 1024
    max_header_bytes: int = 16 * 1024
    idle_timeout_s: float = 75.0
    read_timeout_s: float = 75.0
    send_timeout_s: float = 15.0


@dataclass(frozen=True)
class HttpRequest:
    """A complete request. Header names are in lower case.

    Attributes:
        method: HTTP method.
        target: path and query.
        headers: header values by name; a repeated name has its last value.
        body: the complete body.
        fields: all header fields in order.
    """

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes
    fields: tuple[tuple[str, str], ...] = ()

    @property
    def path(self) -> str:
        """The request target without its query."""
        return self.target.partition("?")[0]


class Exchange:
    """One request, and the methods that send its response.

    Args:
        conn: the caller's connection.
        req: the request.
        connection_reused: whether an earlier request arrived on this connection.

    Attributes:
        req: the request.
        connection_reused: whether an earlier request arrived on this connection.
        response_started: whether sending the response has begun.
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
        """Send a complete response; its content type is JSON unless *headers* state another."""
        head = {"content-type": "application/json", **(headers or {})}
        head["content-length"] = str(len(body))
        self.response_started = True
        out = self._conn.encode_head(status, head)
        out += self._conn.encode(h11.Data(data=body))
        out += self._conn.encode(h11.EndOfMessage())
        await self._conn.send(out)

    async def respond_with_fields(self, status: int, fields: HeaderFields, body: bytes) -> None:
        """Send a complete response with the given header fields and a ``content-length``."""
        self.response_started = True
        out = self._conn.encode_fields(status, [*fields, ("content-length", str(len(body)))])
        # A response to HEAD, or with one of these statuses, has no body.
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
        """Wait until the caller has closed its end of the connection.

        While it waits, it buffers what the caller sends. After :data:`MAX_PIPELINED_BYTES` it reads
        no more, so that it cannot notice the close: it then waits until it is cancelled.
        """
        await self._conn.wait_for_disconnect()

    @property
    def is_disconnected(self) -> bool:
        """Whether the caller has closed its end of the connection; checked without waiting."""
        return self._conn.is_disconnected()

    @property
    def conn(self) -> object:
        """The caller's connection; requests on the same connection share this object."""
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
        """Return an encoded response head.

        If the server is closing, the head contains ``connection: close``.
        """
        head = list(fields)
        if self._is_closing():
            head.append(("connection", "close"))
        return self.encode(h11.Response(status_code=status, headers=head))

    def encode(self, event: Any) -> bytes:
        return self._h11.send(event) or b""

    async def send(self, data: bytes) -> None:
        # The kernel nearly always accepts all data at once, so this path sets no timer.
        try:
            sent_bytes = os.write(self._fd, data)
        except BlockingIOError:
            sent_bytes = 0
        except OSError as exc:
            raise CallerGone(str(exc)) from exc
        if sent_bytes < len(data):
            await self._send_remaining(memoryview(data)[sent_bytes:])

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
                # h11 suggests status 431 for a header block that is too large. It is reported as
                # 413 like a body that is too large.
                error_class = BodyTooLarge if exc.error_status_hint == 431 else BadHttp
                raise error_class(str(exc)) from exc
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
        """Wait until a byte of the next request has arrived or the caller has closed."""
        if not self._h11.trailing_data[0]:
            await self._receive()

    async def read_request(self) -> HttpRequest | None:
        """Return the next request, or None if the caller has closed the connection."""
        head = await self._next_event()
        if isinstance(head, h11.ConnectionClosed):
            return None
        if not isinstance(head, h11.Request):
            raise BadHttp("received bytes are not an HTTP request")
        declared = dict(head.headers).get(b"content-length", b"0")
        if int(declared) > self._limits.max_body_bytes:
            raise BodyTooLarge(f"request body is over {self._limits.max_body_bytes} bytes")
        if self._h11.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(status_code=100, headers=[])
            await self.send(self.encode(continue_response))
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
                raise HttpClosed("connection closed before the end of the request body")
            body += event.data
            if len(body) > self._limits.max_body_bytes:
                raise BodyTooLarge(f"request body is over {self._limits.max_body_bytes} bytes")

    def is_disconnected(self) -> bool:
        try:
            return not self._sock._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    async def wait_for_disconnect(self) -> None:
        pipelined_bytes = 0
        while pipelined_bytes < MAX_PIPELINED_BYTES:
            try:
                data = await self._sock.recv(MAX_RECV_BYTES)
            except OSError:
                return
            if not data:
                return
            pipelined_bytes += len(data)
            self._h11.receive_data(data)
        # From here the server reads no more from the caller until it has sent the response.
        await curio.Event().wait()

    async def drain_after_refusal(self) -> None:
        """Read and discard the rest of a refused request for a while before the connection closes.

        Closing a connection with unread input resets it, and the caller may lose the response that
        reports the refusal.
        """
        try:
            await self._sock.shutdown(socket.SHUT_WR)
            await curio.ignore_after(MAX_LINGER_S, self._discard_input)
        except OSError:
            return

    async def _discard_input(self) -> None:
        remaining = MAX_LINGER_BYTES
        while remaining > 0 and (data := await self._sock.recv(MAX_RECV_BYTES)):
            remaining -= len(data)

    def start_next_cycle(self) -> bool:
        """Prepare for another request and return whether one may follow on this connection."""
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
    """Serve HTTP requests until cancelled.

    Args:
        host: address to bind.
        port: TCP port to bind.
        handler: responds to one request.
        on_malformed: responds to a malformed request.
        log: logs unexpected failures.
        limits: limits on callers; a callable is called for each new connection.
        is_closing: while it returns true, each response closes its connection.
        stop_accepting: when set, the server accepts no more connections.
    """

    async def serve_connection(sock: Any, _addr: Any) -> None:
        current = limits() if callable(limits) else limits or HttpLimits()
        await _serve_connection(
            _ServerConnection(sock, current, is_closing), current, handler, on_malformed
        )

    await serve_tcp(host, port, serve_connection, log=log, stop_accepting=stop_accepting)


async def _serve_connection(
    conn: _ServerConnection,
    limits: HttpLimits,
    handler: Handler,
    on_malformed: MalformedRequestHandler,
) -> None:
    reused = False
    try:
        while True:
            await curio.timeout_after(limits.idle_timeout_s, conn.wait_for_first_byte)
            req = await curio.timeout_after(limits.read_timeout_s, conn.read_request)
            if req is None:
                return
            await handler(Exchange(conn, req, connection_reused=reused))
            reused = True
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
