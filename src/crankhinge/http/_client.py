"""The calling side of HTTP/1.1, with a small pool of kept connections."""

from __future__ import annotations

import re
import socket
import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any

import curio
import h11

from crankhinge.errors import BadHttp, CrankhingeError, HttpClosed
from crankhinge.runtime import open_tcp

RECV_BYTES = 65536
POOL_SIZE = 8
CONNECT_TIMEOUT_S = 2.0
# Seconds a kept connection is trusted when its server names no time; servers of the usual
# frameworks close idle connections after 5 s or more.
KEPT_S = 4.0
# A kept connection is left alone this many seconds before its server would close it, so that a
# request does not cross the close.
CLOSE_MARGIN_S = 1.0

_TIMEOUT = re.compile(r"timeout=(\d+)")

Owns = Callable[[Mapping[str, str]], bool]
Fields = Iterable[tuple[str, str]]


@dataclass(frozen=True)
class _Kept:
    """An idle connection and the end of its trusted time, on the steady clock."""

    sock: Any
    until: float


def _still_quiet(sock: Any) -> bool:
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


def _kept_s(headers: Mapping[str, str]) -> float:
    """Return how long a connection may be kept after an answer with these headers, in seconds."""
    stated = _TIMEOUT.search(headers.get("keep-alive", ""))
    return float(stated.group(1)) - CLOSE_MARGIN_S if stated else KEPT_S


@dataclass(frozen=True)
class Response:
    """A whole response. Header names are lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes


@dataclass(frozen=True)
class Patience:
    """How long an answer is waited for, in seconds.

    Silence is bounded, not the whole answer: how long that takes follows from its size and the
    link, which nobody here knows. A bound on the whole once gave up an answer of 1 MB on a
    5 Mbit/s link, which takes 1.7 s, after each 1.5 s for ever.

    Attributes:
        first_s: from the sending of the request to the first byte.
        next_s: from one piece to the next.
        whole_s: all of it; ends an answer that only trickles.
    """

    first_s: float
    next_s: float
    whole_s: float


class HttpSilent(HttpClosed):
    """The other end stopped sending; the connection was given up."""

    code = "http-silent"


# How a call that waits in vain ends: by its own patience, or by a time-out around it.
SILENCE = (HttpSilent, curio.TaskTimeout, curio.TimeoutCancellationError)


class AnswerTooLong(CrankhingeError):
    """The answer is longer than is wanted; its body was not read."""

    code = "answer-too-long"


class ConnectFailed(HttpClosed):
    """No connection was made, so nothing was sent."""

    code = "connect-failed"


class ClientStream:
    """A response whose body is read piece by piece.

    Args:
        client: whose pool the connection returns to.
        sock: the connection.
        reused: whether it carried an earlier request.
        owns: tells from a head whether an answer is this request's; a server may send an
            answer to an earlier request late, in the place of the one that is due.
        patience: how long the answer is waited for; without one, until the caller gives up.
    """

    def __init__(
        self,
        client: HttpClient,
        sock: Any,
        *,
        reused: bool = False,
        owns: Owns | None = None,
        patience: Patience | None = None,
    ) -> None:
        self._client = client
        self._sock = sock
        self._owns = owns
        self._patience = patience
        self._received = 0
        self._until: float | None = None
        self._h11 = h11.Connection(h11.CLIENT)
        self._all_sent = False
        self.reused = reused
        self.status = 0
        self.headers: Mapping[str, str] = {}
        self.fields: list[tuple[str, str]] = []

    async def send(self, method: str, target: str, headers: Fields, body: bytes) -> None:
        """Send the request and read the head of the response.

        Raises:
            HttpClosed: the connection ended first; the request may have arrived.
            BadHttp: what came back is no answer.
        """
        request = h11.Request(method=method, target=target, headers=list(headers))
        out = self._encode(request, body)
        taken = self._send_now(out)
        if taken < len(out):
            await self._send_while_reading(memoryview(out)[taken:], request, body)
            return
        self._all_sent = True
        await self._read_head(request, body)

    def _encode(self, request: Any, body: bytes) -> bytes:
        out = self._h11.send(request) or b""
        if body:
            out += self._h11.send(h11.Data(data=body)) or b""
        return out + (self._h11.send(h11.EndOfMessage()) or b"")

    def _send_now(self, out: bytes) -> int:
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
        writer = await curio.spawn(self._send_rest, rest)
        try:
            await self._read_head(request, body)
        finally:
            await writer.cancel()

    async def _send_rest(self, rest: memoryview) -> None:
        try:
            await self._sock.sendall(rest)
        except OSError:
            # The reading side reports how the connection ended.
            return
        self._all_sent = True

    async def _read_head(self, request: Any, body: bytes) -> None:
        while True:
            event = await self._event()
            while isinstance(event, h11.InformationalResponse):
                event = await self._event()
            if not isinstance(event, h11.Response):
                raise HttpClosed("closed before a response")
            headers = {k.decode("latin-1"): v.decode("latin-1") for k, v in event.headers}
            if self._owns is None or self._owns(headers):
                self.status = event.status_code
                self.headers = headers
                self.fields = [(k.decode("latin-1"), v.decode("latin-1")) for k, v in event.headers]
                return
            await self._skip_foreign(request, body)

    async def _skip_foreign(self, request: Any, body: bytes) -> None:
        """Read past an answer to an earlier request and wait for the next one."""
        while not isinstance(await self._event(), h11.EndOfMessage):
            pass
        if self._h11.their_state is not h11.DONE:
            raise HttpClosed("closed after an answer to another request")
        rest = self._h11.trailing_data[0]
        self._h11 = h11.Connection(h11.CLIENT)
        self._encode(request, body)
        if rest:
            self._h11.receive_data(rest)

    async def _event(self) -> Any:
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as exc:
                raise BadHttp(str(exc)) from exc
            if event is not h11.NEED_DATA:
                return event
            self._h11.receive_data(await self._receive())

    async def _receive(self) -> bytes:
        try:
            data = await self._recv_in_time()
        except OSError as exc:
            raise HttpClosed(str(exc)) from exc
        self._received += len(data)
        self._client.received += len(data)
        if self.reused:
            self._client.kept_heard += 1
        return data

    async def _recv_in_time(self) -> bytes:
        if self._patience is None:
            data: bytes = await self._sock.recv(RECV_BYTES)
            return data
        now = await curio.clock()
        if self._until is None:
            self._until = now + self._patience.whole_s
        wait_s = self._patience.next_s if self._received else self._patience.first_s
        wait_s = max(0.0, min(wait_s, self._until - now))
        try:
            data = await curio.timeout_after(wait_s, self._sock.recv, RECV_BYTES)
        except curio.TaskTimeout as exc:
            why = f"nothing for {wait_s:.3f} s after {self._received} bytes"
            raise HttpSilent(why) from exc
        return data

    async def next_chunk(self) -> bytes:
        """Return the next piece of the body; empty at its end.

        Raises:
            HttpClosed: when the connection ends before the body does.
            BadHttp: when its framing is broken.
        """
        event = await self._event()
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
        clean = done and self._all_sent and not self._h11.trailing_data[0]
        await self._client.give_back(self._sock, reusable=clean, kept_s=_kept_s(self.headers))

    async def abort(self) -> None:
        """Close the connection, whatever state it is in."""
        await self._client.give_back(self._sock, reusable=False)


class HttpClient:
    """Calls one server.

    Args:
        host: address of the server.
        port: its TCP port.
        pool_size: kept idle connections.
        connect_s: seconds that a connection may take to come up.

    Attributes:
        opened: connections made so far.
        received: bytes that came on all of them, those of answers that were given up too.
        kept_heard: how often something came on a connection that was used before.
    """

    def __init__(
        self,
        host: str,
        port: int,
        *,
        pool_size: int = POOL_SIZE,
        connect_s: float = CONNECT_TIMEOUT_S,
    ) -> None:
        self.host = host
        self.port = port
        self.opened = 0
        self.received = 0
        self.kept_heard = 0
        self._pool_size = pool_size
        self._connect_s = connect_s
        self._idle: list[_Kept] = []

    async def _connect(self) -> Any:
        try:
            sock = await open_tcp(self.host, self.port, self._connect_s)
        except OSError as exc:
            raise ConnectFailed(f"{self.host}:{self.port}: {exc}") from exc
        self.opened += 1
        return sock

    async def _take_idle(self) -> Any:
        """Return the kept connection used last that is still good, or None."""
        while self._idle:
            kept = self._idle.pop()
            if kept.until > time.monotonic() and _still_quiet(kept.sock):
                return kept.sock
            await kept.sock.close()
        return None

    async def reachable(self) -> bool:
        """Whether the server takes connections."""
        try:
            sock = await self._connect()
        except ConnectFailed:
            return False
        await sock.close()
        return True

    async def give_back(self, sock: Any, *, reusable: bool, kept_s: float = KEPT_S) -> None:
        """Keep *sock* for the next call, or close it."""
        if reusable and kept_s > 0 and len(self._idle) < self._pool_size:
            self._idle.append(_Kept(sock, time.monotonic() + kept_s))
            return
        await sock.close()

    async def open(
        self,
        method: str,
        target: str,
        *,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
        fresh: bool = False,
        patience: Patience | None = None,
    ) -> ClientStream:
        """Send a request and return its response, head read and body unread.

        Args:
            method: HTTP method.
            target: path and query.
            headers: beyond host and content-length.
            body: the whole body.
            fresh: use a new connection; a kept one may have been closed by the other end, and
                then nobody can tell whether the request arrived.
            patience: how long the answer is waited for.

        Raises:
            ConnectFailed: nothing was sent.
            HttpClosed: the request may have arrived.
        """
        head = {"host": f"{self.host}:{self.port}", **(headers or {})}
        head["content-length"] = str(len(body))
        return await self.open_as_is(
            method, target, fields=head.items(), body=body, fresh=fresh, patience=patience
        )

    async def open_as_is(
        self,
        method: str,
        target: str,
        *,
        fields: Fields,
        body: bytes = b"",
        fresh: bool = False,
        owns: Owns | None = None,
        patience: Patience | None = None,
    ) -> ClientStream:
        """Send a request whose header fields are all given; returns and raises as :meth:`open`.

        Args:
            fields: every header field, host and framing included, in order.
            owns: whether an answer with these headers is this request's; others are skipped.
            patience: how long the answer is waited for.
        """
        sock = None if fresh else await self._take_idle()
        reused = sock is not None
        if sock is None:
            sock = await self._connect()
        stream = ClientStream(self, sock, reused=reused, owns=owns, patience=patience)
        heard = self.kept_heard
        try:
            await stream.send(method, target, fields, body)
        except BaseException as exc:
            await sock.close()
            if reused and self.kept_heard == heard and isinstance(exc, SILENCE):
                # Open connections may fall silent together, with nothing else to show it: without
                # this each one that was kept costs a request its time.
                await self.close()
            raise
        return stream

    async def call(
        self,
        method: str,
        target: str,
        *,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
        fresh: bool = False,
        patience: Patience | None = None,
        most_bytes: int | None = None,
    ) -> Response:
        """Send a request and return the whole response.

        Args:
            method, target, headers, body, fresh, patience: as for :meth:`open`.
            most_bytes: longest body that is wanted; without one, any.

        Raises:
            AnswerTooLong: it says that its body is longer.
            ConnectFailed, HttpClosed: as :meth:`open` does.
        """
        stream = await self.open(
            method, target, headers=headers, body=body, fresh=fresh, patience=patience
        )
        try:
            length = int(stream.headers.get("content-length", 0))
            if most_bytes is not None and length > most_bytes:
                raise AnswerTooLong(f"{length} bytes, {most_bytes} wanted")
            data = await stream.read_all()
        finally:
            await stream.close()
        return Response(stream.status, stream.headers, data)

    async def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            await self._idle.pop().sock.close()
