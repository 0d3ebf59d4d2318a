"""HTTP/1.1 server: reads requests with limits and writes responses."""

from __future__ import annotations

import os
import socket
import struct
from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Any

import curio
import h11

from crankhinge.errors import (
    BadHttp,
    BodyTooLarge,
    CallerGone,
    HttpClosed,
    OutOfBuffers,
    SlowReader,
)
from crankhinge.http._buffers import (
    KERNEL_BUFFER_BYTES,
    MIN_STALL_S,
    SOCKET_BUFFER_BYTES,
    UNREAD_TIMEOUT_S,
    BufferPool,
    ConnectionBuffers,
)
from crankhinge.http._fields import decode_fields, encode_fields
from crankhinge.runtime import Turns, send_all, serve_tcp, steady_s

MAX_RECV_BYTES = 65536
# How long, and how many bytes, the rest of a refused request is read before its connection closes.
MAX_LINGER_S = 1.0
MAX_LINGER_BYTES = 16 * 1024 * 1024
# How many bytes of later requests are buffered while the server responds to one.
MAX_PIPELINED_BYTES = 256 * 1024
# Seconds after which a caller should retry if there was no memory for its request. Memory becomes
# free within MIN_STALL_S if connections are stalled, and else when requests end.
NO_MEMORY_RETRY_S = 0.5
# SO_LINGER with a time of 0: closing the connection discards what is unsent and resets it.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)

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
        await self._conn.send(self._conn.encode_fields(status, fields), is_partial=True)

    async def write(self, chunk: bytes) -> None:
        """Send one chunk of a streamed response."""
        await self._conn.send(self._conn.encode(h11.Data(data=chunk)), is_partial=True)

    @property
    def connection_key(self) -> int:
        """Number of the caller's connection, unique among those that are open."""
        return int(self._conn.fd)

    async def write_raw(self, data: bytes) -> None:
        """Send bytes as they are, without framing; the connection closes after the request."""
        self.response_started = True
        await self._conn.send(data, is_partial=True)

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
    def buffers(self) -> ConnectionBuffers | None:
        """What is buffered for the caller's connection; None if that is not bounded."""
        return self._conn.buffers

    @property
    def conn(self) -> object:
        """The caller's connection; requests on the same connection share this object."""
        return self._conn


class _ServerConnection:
    """A connection from a caller.

    Args:
        sock: the connection.
        limits: limits on the caller.
        is_closing: whether the next response closes the connection.
        pool: counts what is buffered; None if that is not bounded.

    Attributes:
        buffers: what is buffered for this connection; None if that is not bounded.
        refused_head: the request whose body was refused for lack of memory, without the body.
    """

    def __init__(
        self,
        sock: Any,
        limits: HttpLimits,
        is_closing: Callable[[], bool],
        pool: BufferPool | None = None,
    ) -> None:
        self.buffers = ConnectionBuffers(pool, self._reset) if pool is not None else None
        self.refused_head: HttpRequest | None = None
        self._pool = pool
        self._sock = sock
        self.fd = sock.fileno()
        self._limits = limits
        self._is_closing = is_closing
        # Whether the response in progress has neither a length nor chunks.
        self._ends_with_connection = False
        self._turns = Turns()
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
        has_length = any(name.lower() == "content-length" for name, _ in head)
        self._ends_with_connection = self._h11.their_http_version == b"1.0" and not has_length
        return self.encode(h11.Response(status_code=status, headers=encode_fields(head)))

    def encode(self, event: Any) -> bytes:
        return self._h11.send(event) or b""

    async def send(self, data: bytes, *, is_partial: bool = False) -> None:
        """Send *data*; *is_partial* if the rest of the response is still read from a server."""
        # The kernel nearly always accepts all data at once, so this path sets no timer.
        try:
            sent_bytes = os.write(self.fd, data)
        except BlockingIOError:
            sent_bytes = 0
        except OSError as exc:
            raise CallerGone(str(exc)) from exc
        if sent_bytes < len(data):
            rest = memoryview(data)[sent_bytes:]
            if self._pool is not None and self.buffers is not None:
                await self._send_bounded(rest, self._pool, self.buffers, is_partial)
            else:
                await self._send_remaining(rest)

    async def _send_bounded(
        self, data: memoryview, pool: BufferPool, buffers: ConnectionBuffers, is_partial: bool
    ) -> None:
        """Send *data* while the caller accepts it in time and the instance has memory for it.

        A part of a response must be accepted within UNREAD_TIMEOUT_S, since the server cuts off an
        answer that nobody reads. A complete response is sent as long as the caller accepts some of
        it every ``send_timeout_s``.
        """
        # The caller accepts nothing because the kernel's send buffer is full. While this waits, the
        # receive buffer of the connection to the server fills up as well.
        size = len(data) + KERNEL_BUFFER_BYTES * (2 if is_partial else 1)
        timeout_s = UNREAD_TIMEOUT_S if is_partial else self._limits.send_timeout_s
        waits_since = steady_s()
        buffers.hold(size)
        buffers.record_stalled()
        try:
            while data:
                waited_s = steady_s() - waits_since
                if waited_s >= timeout_s:
                    buffers.drop(f"unread for {timeout_s} s", waited_s)
                pool.make_room()
                if buffers.dropped is not None:
                    raise SlowReader(buffers.dropped.why)
                try:
                    sent = await curio.timeout_after(
                        min(MIN_STALL_S, timeout_s - waited_s), self._sock.send, data
                    )
                except curio.TaskTimeout:
                    continue
                data = data[sent:]
                buffers.record_stalled()
                if not is_partial:
                    waits_since = steady_s()
        except OSError as exc:
            if buffers.dropped is not None:
                raise SlowReader(buffers.dropped.why) from exc
            raise CallerGone(str(exc)) from exc
        finally:
            buffers.record_resumed()
            buffers.release(size)

    def _reset(self) -> None:
        """Discard what is unsent and wake up the tasks that use the connection."""
        try:
            sock = self._sock._socket
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
            sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The caller has closed the connection at the same moment.
            return

    async def _send_remaining(self, data: memoryview) -> None:
        try:
            await send_all(self._sock, data, self._limits.send_timeout_s)
        except OSError as exc:
            raise CallerGone(str(exc)) from exc

    async def _next_event(self) -> Any:
        while True:
            # Only events count, not bytes: a body is bounded, and one whose task is interrupted
            # stays in memory with those of the others.
            await self._turns.end_step()
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
        try:
            body = await self._read_body()
        except OutOfBuffers:
            self.refused_head = _to_request(head, b"")
            raise
        return _to_request(head, body)

    async def _read_body(self) -> bytes:
        try:
            return await self._read_body_parts()
        finally:
            if self.buffers is not None:
                self.buffers.record_resumed()

    async def _read_body_parts(self) -> bytes:
        body = bytearray()
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            if not isinstance(event, h11.Data):
                raise HttpClosed("connection closed before the end of the request body")
            if self.buffers is not None and not self.buffers.try_hold(len(event.data)):
                # The traceback of the exception refers to what was read.
                body.clear()
                raise OutOfBuffers(
                    "no memory for the request body", retry_after_s=NO_MEMORY_RETRY_S
                )
            body += event.data
            if self.buffers is not None and self._h11.their_state is h11.SEND_BODY:
                # A caller that sends nothing more holds memory, too.
                self.buffers.record_stalled(is_reading=True)
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
            if self.buffers is not None and not self.buffers.try_hold(len(data)):
                pipelined_bytes = MAX_PIPELINED_BYTES
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

    def reset_if_incomplete(self) -> None:
        """Make the close of the connection reset it if it would complete a broken-off response."""
        if self._ends_with_connection and self._h11.our_state is h11.SEND_BODY:
            self._sock._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)

    def can_respond(self) -> bool:
        return self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE)


def _to_request(head: h11.Request, body: bytes) -> HttpRequest:
    fields = tuple(decode_fields(head.headers))
    method = head.method.decode("ascii")
    return HttpRequest(method, head.target.decode("latin-1"), dict(fields), body, fields)


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
    pool: BufferPool | None = None,
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
        pool: bounds what is buffered for callers; None for no bound.
    """

    async def serve_connection(sock: Any, _addr: Any) -> None:
        current = limits() if callable(limits) else limits or HttpLimits()
        if pool is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
        conn = _ServerConnection(sock, current, is_closing, pool)
        await _serve_connection(conn, current, handler, on_malformed)
        drop = conn.buffers.dropped if conn.buffers is not None else None
        if drop is not None and not drop.logged:
            # The request was not complete, so the handler does not know of it.
            log.warning("slow_reader_dropped", **drop.log_fields())

    await serve_tcp(host, port, serve_connection, log=log, stop_accepting=stop_accepting)


async def _serve_connection(
    conn: _ServerConnection,
    limits: HttpLimits,
    handler: Handler,
    on_malformed: MalformedRequestHandler,
) -> None:
    reused = False
    has_unread_input = False
    try:
        while True:
            await curio.timeout_after(limits.idle_timeout_s, conn.wait_for_first_byte)
            req = await curio.timeout_after(limits.read_timeout_s, conn.read_request)
            if req is None:
                return
            exchange = Exchange(conn, req, connection_reused=reused)
            try:
                await handler(exchange)
            finally:
                # Errors and the frames of their tracebacks refer to each other, so that the body of
                # a failed request would stay in memory until the next full garbage collection.
                exchange.req = req = replace(req, body=b"")
                if conn.buffers is not None:
                    conn.buffers.release_all()
            reused = True
            if not conn.start_next_cycle():
                return
    except BadHttp as exc:
        is_dropped = conn.buffers is not None and conn.buffers.dropped is not None
        if conn.can_respond() and not is_dropped:
            await _respond_to_malformed(conn, exc, on_malformed)
            has_unread_input = True
    except (HttpClosed, curio.TaskTimeout, h11.LocalProtocolError):
        return
    finally:
        conn.reset_if_incomplete()
        if conn.buffers is not None:
            conn.buffers.release_all()
    if has_unread_input:
        # The exception is gone by now, and with it the part of the body that was read.
        await conn.drain_after_refusal()


async def _respond_to_malformed(
    conn: _ServerConnection, exc: BadHttp, on_malformed: MalformedRequestHandler
) -> None:
    try:
        head = conn.refused_head or HttpRequest("", "", {}, b"")
        await on_malformed(Exchange(conn, head), exc)
    except (HttpClosed, h11.LocalProtocolError):
        return
