"""HTTP/1.1 client for one server, with a small pool of idle keep-alive connections."""

from __future__ import annotations

import math
import re
import socket
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import Any
from weakref import WeakKeyDictionary

import curio

from crankhinge.errors import HttpClosed, ServerReadsSlowly
from crankhinge.http._buffers import SOCKET_BUFFER_BYTES, BufferLimits
from crankhinge.http._client_stream import (
    MAX_HELD_BODY_BYTES,
    AnswerTooLong,
    ClientStream,
    ConnectionOwner,
    HeaderFields,
    HttpSilent,
    ResponseMatcher,
    ResponseTimeouts,
)
from crankhinge.runtime import open_tcp, steady_s

DEFAULT_POOL_SIZE = 8
CONNECT_TIMEOUT_S = 2.0
# How long an idle connection is reused if the server's response states no keep-alive timeout.
# Servers of the usual frameworks close idle connections after 5 s or more.
DEFAULT_KEEP_ALIVE_S = 4.0
# Reuse of an idle connection ends this long before the server would close it, so that no request
# is sent while the server closes the connection.
KEEP_ALIVE_MARGIN_S = 1.0

_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=(\d+)")


@dataclass(frozen=True)
class _IdleConnection:
    """An idle connection in the pool.

    Attributes:
        sock: the connection.
        reusable_until: time on the steady clock after which it is not reused.
        last_used_at: time on the steady clock at which it was returned to the pool.
    """

    sock: Any
    reusable_until: float
    last_used_at: float


def _is_open_without_input(sock: Any) -> bool:
    """Return whether an idle connection is open and has nothing to read.

    An end of file means that the server closed it, and unexpected bytes belong to no request; in
    both cases the connection must not be reused.
    """
    try:
        sock._socket.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def _keep_alive_s(headers: Mapping[str, str]) -> float:
    """Return how many seconds a connection may stay idle after a response with *headers*."""
    stated = _KEEP_ALIVE_TIMEOUT.search(headers.get("keep-alive", ""))
    return float(stated.group(1)) - KEEP_ALIVE_MARGIN_S if stated else DEFAULT_KEEP_ALIVE_S


@dataclass(frozen=True)
class Response:
    """A complete response. Header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes


# The exceptions with which a request that gets no response ends: HttpSilent after one of its own
# timeouts, the others after a timeout that the calling code has set around the request.
TIMEOUT_ERRORS = (HttpSilent, curio.TaskTimeout, curio.TimeoutCancellationError)


class ConnectFailed(HttpClosed):
    """No connection was established, so nothing was sent."""

    code = "connect-failed"


class ConnectRefused(ConnectFailed):
    """No process listens at the address."""

    code = "connect-refused"


class HttpClient(ConnectionOwner):
    """Sends requests to one server.

    Args:
        host: IP address of the server.
        port: TCP port of the server.
        pool_size: largest number of idle connections that are kept.
        connect_timeout_s: seconds within which a connection must be established.
        buffer_limits: bounds on the request bodies in progress; None for no bound.

    Attributes:
        unsent_bytes: bytes of requests that the server has not accepted yet.
        pending_bytes: bytes of request bodies to which there is no response yet.
        opened_connections: number of connections opened so far.
        pool_size: largest number of idle connections; a new value applies to connections that are
            released later.
        received_bytes: bytes received on all connections, including responses that were abandoned.
        reused_receives: how often data or an end of file arrived on a reused connection.
        broken_at: time on the runtime's clock at which a connection was last refused, or closed by
            the server before a response or while it could still be reused.
    """

    def __init__(
        self,
        host: str,
        port: int,
        *,
        pool_size: int = DEFAULT_POOL_SIZE,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        buffer_limits: BufferLimits | None = None,
    ) -> None:
        self.host = host
        self.port = port
        self.opened_connections = 0
        self.received_bytes = 0
        self.reused_receives = 0
        self.broken_at = -math.inf
        self._opened_at: WeakKeyDictionary[Any, float] = WeakKeyDictionary()
        self.unsent_bytes = 0
        self.pending_bytes = 0
        self._buffer_limits = buffer_limits
        self.pool_size = pool_size
        self._connect_timeout_s = connect_timeout_s
        self._idle: list[_IdleConnection] = []

    async def _connect(self) -> Any:
        try:
            sock = await open_tcp(
                self.host,
                self.port,
                self._connect_timeout_s,
                buffer_bytes=SOCKET_BUFFER_BYTES if self._buffer_limits is not None else None,
            )
        except ConnectionRefusedError as exc:
            self.broken_at = await curio.clock()
            raise ConnectRefused(f"{self.host}:{self.port}: {exc}") from exc
        except OSError as exc:
            self.broken_at = await curio.clock()
            raise ConnectFailed(f"{self.host}:{self.port}: {exc}") from exc
        self.opened_connections += 1
        self._opened_at[sock] = await curio.clock()
        return sock

    async def _pop_idle_connection(self) -> Any:
        """Return the most recently used idle connection that can be reused, or None."""
        while self._idle:
            conn = self._idle.pop()
            is_open = _is_open_without_input(conn.sock)
            if conn.reusable_until > steady_s():
                if is_open:
                    return conn.sock
                self.broken_at = await curio.clock()
            await conn.sock.close()
        return None

    async def is_reachable(self) -> bool:
        """Return whether the server accepts connections."""
        try:
            sock = await self._connect()
        except ConnectFailed:
            return False
        await sock.close()
        return True

    async def is_listening(self) -> bool:
        """Return whether a process listens at the address; keep the connection for reuse.

        Raises:
            ConnectFailed: this cannot be determined, for example because connecting timed out.
        """
        try:
            sock = await self._connect()
        except ConnectRefused:
            return False
        await self.release_connection(sock, reusable=True, headers={})
        return True

    async def keeps_listening(self, pause_s: float) -> bool:
        """Return whether a process listens at the address and does not end within *pause_s*.

        The kernel closes the sockets of a killed process one after the other, so that one which
        has just closed a connection may still accept another. The connection is kept for reuse.

        Raises:
            ConnectFailed: this cannot be determined.
        """
        try:
            sock = await self._connect()
        except ConnectRefused:
            return False
        try:
            await curio.sleep(pause_s)
        except BaseException:
            await sock.close()
            raise
        if _is_open_without_input(sock):
            await self.release_connection(sock, reusable=True, headers={})
            return True
        await sock.close()
        # A server may also reset a connection because it has too many.
        return await self.is_listening()

    def record_received(self, size: int, *, reused: bool) -> None:
        """Count *size* received bytes and, if *reused*, one receive on a reused connection."""
        self.received_bytes += size
        self.reused_receives += reused

    def record_unsent(self, size: int) -> None:
        """Count *size* more, or fewer, bytes that the server has not accepted."""
        self.unsent_bytes += size

    @property
    def is_behind(self) -> bool:
        """Whether the server reads slowly and has as many request bodies as it may be sent."""
        return (
            self._buffer_limits is not None
            and self.unsent_bytes > 0
            and self.pending_bytes >= self._buffer_limits.server_bytes
        )

    async def release_connection(
        self, sock: Any, *, reusable: bool, headers: Mapping[str, str]
    ) -> None:
        """Keep *sock* in the pool if it can be reused and there is room for it, else close it."""
        keep_alive_s = _keep_alive_s(headers)
        if reusable and keep_alive_s > 0 and len(self._idle) < self.pool_size:
            now = steady_s()
            self._idle.append(_IdleConnection(sock, now + keep_alive_s, now))
            return
        await sock.close()

    async def open(
        self,
        method: str,
        target: str,
        *,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
        new_connection: bool = False,
        is_own_response: ResponseMatcher | None = None,
        timeouts: ResponseTimeouts | None = None,
    ) -> ClientStream:
        """Send a request and return the response after reading its head, but not its body.

        Args:
            method: HTTP method.
            target: path and query.
            headers: header fields other than ``host`` and ``content-length``, which are added.
            body: the complete request body.
            new_connection: don't reuse an idle connection. The server may be closing an idle
                connection, and then it is unknown whether the request arrived.
            is_own_response: as for :meth:`open_with_fields`.
            timeouts: limits on the wait for the response; None waits without limit.

        Raises:
            ConnectFailed: nothing was sent.
            HttpClosed: the connection ended, but the request may have arrived.
            BadHttp: the response is malformed.
            ServerReadsSlowly: nothing was sent, since too much that was sent earlier is unread.
        """
        head = {"host": f"{self.host}:{self.port}", **(headers or {})}
        head["content-length"] = str(len(body))
        return await self.open_with_fields(
            method,
            target,
            fields=head.items(),
            body=body,
            new_connection=new_connection,
            is_own_response=is_own_response,
            timeouts=timeouts,
        )

    async def open_with_fields(
        self,
        method: str,
        target: str,
        *,
        fields: HeaderFields,
        body: bytes = b"",
        new_connection: bool = False,
        is_own_response: ResponseMatcher | None = None,
        on_sending: Callable[[], None] | None = None,
        before_sending: Callable[[float], Awaitable[None]] | None = None,
        timeouts: ResponseTimeouts | None = None,
    ) -> ClientStream:
        """Send a request with exactly the given header fields.

        Returns and raises the same as :meth:`open`.

        Args:
            method, target, body, new_connection, timeouts: as for :meth:`open`.
            fields: all header fields in order, including ``host`` and those that frame the body.
            is_own_response: returns whether a response belongs to this request; one that does not
                is skipped.
            on_sending: called just before the first byte is sent; until then nothing can arrive.
            before_sending: awaited before anything is sent, with the time on the runtime's clock at
                which the connection was opened; nothing is sent if it raises.
        """
        sock = None if new_connection else await self._pop_idle_connection()
        reused = sock is not None
        if sock is None:
            sock = await self._connect()
        if before_sending is not None:
            try:
                await before_sending(self._opened_at[sock])
            except BaseException:
                await sock.close()
                raise
        stream = ClientStream(
            self, sock, reused=reused, is_own_response=is_own_response, timeouts=timeouts
        )
        if self.is_behind:
            # Nothing else runs between this check and the first write, so the server is sent at
            # most one body above the bound.
            await sock.close()
            raise ServerReadsSlowly(f"{self.host}:{self.port} has not read earlier requests")
        started_at = steady_s()
        reused_receives = self.reused_receives
        self.pending_bytes += len(body)
        if on_sending is not None:
            on_sending()
        try:
            await stream.send(method, target, fields, body)
        except BaseException as exc:
            await sock.close()
            if isinstance(exc, HttpClosed):
                self.broken_at = await curio.clock()
            if (
                reused
                and self.reused_receives == reused_receives
                and isinstance(exc, TIMEOUT_ERRORS)
            ):
                # All idle connections may have failed together, and nothing but a timeout reveals
                # it. Unless all are closed here, each of them costs another request its timeout.
                await self.close()
            elif reused and isinstance(exc, TIMEOUT_ERRORS):
                # Other reused connections received data during this request, so connections used
                # since its start work. Those last used earlier may have failed like this one.
                await self._close_last_used_before(started_at)
            raise
        finally:
            self.pending_bytes -= len(body)
        return stream

    async def call(
        self,
        method: str,
        target: str,
        *,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
        new_connection: bool = False,
        is_own_response: ResponseMatcher | None = None,
        timeouts: ResponseTimeouts | None = None,
        max_body_bytes: int = MAX_HELD_BODY_BYTES,
    ) -> Response:
        """Send a request and return the complete response.

        Args:
            method, target, headers, body, new_connection, is_own_response, timeouts: as for
                :meth:`open`.
            max_body_bytes: longest response body that is accepted.

        Raises:
            AnswerTooLong: the response body has more than *max_body_bytes*. If its length is
                stated, nothing of it was read.
            ConnectFailed, HttpClosed, BadHttp: as for :meth:`open`.
        """
        stream = await self.open(
            method,
            target,
            headers=headers,
            body=body,
            new_connection=new_connection,
            is_own_response=is_own_response,
            timeouts=timeouts,
        )
        try:
            length = int(stream.headers.get("content-length", 0))
            if length > max_body_bytes:
                raise AnswerTooLong(
                    f"{length} bytes in the response body; at most {max_body_bytes} are accepted"
                )
            data = await stream.read_all(max_body_bytes)
        finally:
            await stream.close()
        return Response(stream.status, stream.headers, data)

    async def _close_last_used_before(self, moment: float) -> None:
        """Close the idle connections last used before *moment*, a time on the steady clock."""
        suspect = [conn for conn in self._idle if conn.last_used_at < moment]
        self._idle = [conn for conn in self._idle if conn.last_used_at >= moment]
        for conn in suspect:
            await conn.sock.close()

    async def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            await self._idle.pop().sock.close()
