"""The calling side of HTTP/1.1, with a small pool of kept connections."""

from __future__ import annotations

import re
import socket
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import curio

from crankhinge.errors import CrankhingeError, HttpClosed
from crankhinge.http._client_stream import (
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
# Seconds a kept connection is trusted when its server names no time; servers of the usual
# frameworks close idle connections after 5 s or more.
DEFAULT_KEEP_ALIVE_S = 4.0
# A kept connection is left alone this many seconds before its server would close it, so that a
# request does not cross the close.
KEEP_ALIVE_MARGIN_S = 1.0

_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=(\d+)")


@dataclass(frozen=True)
class _IdleConnection:
    """An idle connection: when it was last used and the end of its trusted time, steady clock."""

    sock: Any
    reusable_until: float
    last_used_at: float


def _is_open_without_input(sock: Any) -> bool:
    """Whether an idle connection is open with nothing to read.

    An end of file or bytes that nobody asked for both mean that it must not be used again.
    """
    try:
        sock._socket.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def _keep_alive_s(headers: Mapping[str, str]) -> float:
    """Return how long a connection may be kept after an answer with these headers, in seconds."""
    stated = _KEEP_ALIVE_TIMEOUT.search(headers.get("keep-alive", ""))
    return float(stated.group(1)) - KEEP_ALIVE_MARGIN_S if stated else DEFAULT_KEEP_ALIVE_S


@dataclass(frozen=True)
class Response:
    """A whole response. Header names are lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes


# How a call that waits in vain ends: by its own patience, or by a time-out around it.
TIMEOUT_ERRORS = (HttpSilent, curio.TaskTimeout, curio.TimeoutCancellationError)


class AnswerTooLong(CrankhingeError):
    """The answer is longer than is wanted; its body was not read."""

    code = "answer-too-long"


class ConnectFailed(HttpClosed):
    """No connection was made, so nothing was sent."""

    code = "connect-failed"


class ConnectRefused(ConnectFailed):
    """Nobody listens at the address."""

    code = "connect-refused"


class HttpClient(ConnectionOwner):
    """Calls one server.

    Args:
        host: address of the server.
        port: its TCP port.
        pool_size: kept idle connections.
        connect_timeout_s: seconds that a connection may take to come up.

    Attributes:
        opened_connections: connections made so far.
        pool_size: idle connections that are kept from now on.
        received_bytes: bytes that came on all of them, those of answers that were given up too.
        reused_receives: how often something came on a connection that was used before.
    """

    def __init__(
        self,
        host: str,
        port: int,
        *,
        pool_size: int = DEFAULT_POOL_SIZE,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> None:
        self.host = host
        self.port = port
        self.opened_connections = 0
        self.received_bytes = 0
        self.reused_receives = 0
        self.pool_size = pool_size
        self._connect_timeout_s = connect_timeout_s
        self._idle: list[_IdleConnection] = []

    async def _connect(self) -> Any:
        try:
            sock = await open_tcp(self.host, self.port, self._connect_timeout_s)
        except ConnectionRefusedError as exc:
            raise ConnectRefused(f"{self.host}:{self.port}: {exc}") from exc
        except OSError as exc:
            raise ConnectFailed(f"{self.host}:{self.port}: {exc}") from exc
        self.opened_connections += 1
        return sock

    async def _pop_idle_connection(self) -> Any:
        """Return the kept connection used last that is still good, or None."""
        while self._idle:
            kept = self._idle.pop()
            if kept.reusable_until > steady_s() and _is_open_without_input(kept.sock):
                return kept.sock
            await kept.sock.close()
        return None

    async def is_reachable(self) -> bool:
        """Whether the server takes connections."""
        try:
            sock = await self._connect()
        except ConnectFailed:
            return False
        await sock.close()
        return True

    async def is_listening(self) -> bool:
        """Whether anybody listens at the address; the connection is kept for the next call.

        Raises:
            ConnectFailed: nobody can tell.
        """
        try:
            sock = await self._connect()
        except ConnectRefused:
            return False
        await self.release_connection(sock, reusable=True, headers={})
        return True

    def record_received(self, size: int, *, reused: bool) -> None:
        """Note that something came on a connection of this client."""
        self.received_bytes += size
        self.reused_receives += reused

    async def release_connection(
        self, sock: Any, *, reusable: bool, headers: Mapping[str, str]
    ) -> None:
        """Keep *sock* for the next call, or close it."""
        kept_s = _keep_alive_s(headers)
        if reusable and kept_s > 0 and len(self._idle) < self.pool_size:
            now = steady_s()
            self._idle.append(_IdleConnection(sock, now + kept_s, now))
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
        timeouts: ResponseTimeouts | None = None,
    ) -> ClientStream:
        """Send a request and return its response, head read and body unread.

        Args:
            method: HTTP method.
            target: path and query.
            headers: beyond host and content-length.
            body: the whole body.
            new_connection: use a new connection; a kept one may have been closed by the other end,
                and then nobody can tell whether the request arrived.
            timeouts: how long the answer is waited for.

        Raises:
            ConnectFailed: nothing was sent.
            HttpClosed: the request may have arrived.
        """
        head = {"host": f"{self.host}:{self.port}", **(headers or {})}
        head["content-length"] = str(len(body))
        return await self.open_with_fields(
            method,
            target,
            fields=head.items(),
            body=body,
            new_connection=new_connection,
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
        timeouts: ResponseTimeouts | None = None,
    ) -> ClientStream:
        """Send a request whose header fields are all given; returns and raises as :meth:`open`.

        Args:
            fields: every header field, host and framing included, in order.
            is_own_response: whether an answer with these headers is this request's; others are
                skipped.
            timeouts: how long the answer is waited for.
        """
        sock = None if new_connection else await self._pop_idle_connection()
        reused = sock is not None
        if sock is None:
            sock = await self._connect()
        stream = ClientStream(
            self, sock, reused=reused, is_own_response=is_own_response, timeouts=timeouts
        )
        began = steady_s()
        heard = self.reused_receives
        try:
            await stream.send(method, target, fields, body)
        except BaseException as exc:
            await sock.close()
            if reused and self.reused_receives == heard and isinstance(exc, TIMEOUT_ERRORS):
                # Open connections may fall silent together, with nothing else to show it: without
                # this each one that was kept costs a request its time.
                await self.close()
            elif reused and isinstance(exc, TIMEOUT_ERRORS):
                # Others were heard since, on connections made or used since: the older ones are as
                # doubtful as this one was.
                await self._close_last_used_before(began)
            raise
        return stream

    async def call(
        self,
        method: str,
        target: str,
        *,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
        new_connection: bool = False,
        timeouts: ResponseTimeouts | None = None,
        max_body_bytes: int | None = None,
    ) -> Response:
        """Send a request and return the whole response.

        Args:
            method, target, headers, body, fresh, patience: as for :meth:`open`.
            max_body_bytes: longest body that is wanted; without one, any.

        Raises:
            AnswerTooLong: it says that its body is longer.
            ConnectFailed, HttpClosed: as :meth:`open` does.
        """
        stream = await self.open(
            method,
            target,
            headers=headers,
            body=body,
            new_connection=new_connection,
            timeouts=timeouts,
        )
        try:
            length = int(stream.headers.get("content-length", 0))
            if max_body_bytes is not None and length > max_body_bytes:
                raise AnswerTooLong(f"{length} bytes, {max_body_bytes} wanted")
            data = await stream.read_all()
        finally:
            await stream.close()
        return Response(stream.status, stream.headers, data)

    async def _close_last_used_before(self, moment: float) -> None:
        """Close the idle connections that were last used before *moment*, on the steady clock."""
        doubtful = [kept for kept in self._idle if kept.last_used_at < moment]
        self._idle = [kept for kept in self._idle if kept.last_used_at >= moment]
        for kept in doubtful:
            await kept.sock.close()

    async def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            await self._idle.pop().sock.close()
