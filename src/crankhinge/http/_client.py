"""The calling side of HTTP/1.1, with a small pool of kept connections."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import h11

from crankhinge.errors import BadHttp, HttpClosed
from crankhinge.runtime import open_tcp

RECV_BYTES = 65536
POOL_SIZE = 8
CONNECT_TIMEOUT_S = 2.0


@dataclass(frozen=True)
class Response:
    """A whole response. Header names are lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class ConnectFailed(HttpClosed):
    """No connection was made, so nothing was sent."""

    code = "connect-failed"


class ClientStream:
    """A response whose body is read piece by piece."""

    def __init__(self, client: HttpClient, sock: Any) -> None:
        self._client = client
        self._sock = sock
        self._h11 = h11.Connection(h11.CLIENT)
        self.status = 0
        self.headers: Mapping[str, str] = {}

    async def send(self, method: str, target: str, headers: Mapping[str, str], body: bytes) -> None:
        """Send the request and read the head of the response."""
        host = f"{self._client.host}:{self._client.port}"
        head = {"host": host, **headers, "content-length": str(len(body))}
        out = self._h11.send(h11.Request(method=method, target=target, headers=list(head.items())))
        out = (out or b"") + (self._h11.send(h11.Data(data=body)) or b"")
        out += self._h11.send(h11.EndOfMessage()) or b""
        try:
            await self._sock.sendall(out)
        except OSError as exc:
            raise HttpClosed(str(exc)) from exc
        event = await self._event()
        while isinstance(event, h11.InformationalResponse):
            event = await self._event()
        if not isinstance(event, h11.Response):
            raise HttpClosed("closed before a response")
        self.status = event.status_code
        self.headers = {k.decode("latin-1"): v.decode("latin-1") for k, v in event.headers}

    async def _event(self) -> Any:
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as exc:
                raise BadHttp(str(exc)) from exc
            if event is not h11.NEED_DATA:
                return event
            try:
                data = await self._sock.recv(RECV_BYTES)
            except OSError as exc:
                raise HttpClosed(str(exc)) from exc
            self._h11.receive_data(data)

    async def next_chunk(self) -> bytes:
        """Return the next piece of the body; empty at its end.

        Raises:
            HttpClosed: when the connection ends before the body does.
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
        await self._client.give_back(self._sock, reusable=done)


class HttpClient:
    """Calls one server.

    Args:
        host: address of the server.
        port: its TCP port.
        pool_size: kept idle connections.
    """

    def __init__(self, host: str, port: int, *, pool_size: int = POOL_SIZE) -> None:
        self.host = host
        self.port = port
        self._pool_size = pool_size
        self._idle: list[Any] = []

    async def _connect(self) -> Any:
        try:
            return await open_tcp(self.host, self.port, CONNECT_TIMEOUT_S)
        except OSError as exc:
            raise ConnectFailed(f"{self.host}:{self.port}: {exc}") from exc

    async def reachable(self) -> bool:
        """Whether the server takes connections."""
        try:
            sock = await self._connect()
        except ConnectFailed:
            return False
        await sock.close()
        return True

    async def give_back(self, sock: Any, *, reusable: bool) -> None:
        """Keep *sock* for the next call, or close it."""
        if reusable and len(self._idle) < self._pool_size:
            self._idle.append(sock)
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
    ) -> ClientStream:
        """Send a request and return its response, head read and body unread.

        Args:
            method: HTTP method.
            target: path and query.
            headers: beyond host and content-length.
            body: the whole body.
            fresh: use a new connection; a kept one may have been closed by the other end, and
                then nobody can tell whether the request arrived.

        Raises:
            ConnectFailed: nothing was sent.
            HttpClosed: the request may have arrived.
        """
        sock = None
        if not fresh and self._idle:
            sock = self._idle.pop()
        if sock is None:
            sock = await self._connect()
        stream = ClientStream(self, sock)
        try:
            await stream.send(method, target, headers or {}, body)
        except BaseException:
            await sock.close()
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
    ) -> Response:
        """Send a request and return the whole response. Raises as :meth:`open` does."""
        stream = await self.open(method, target, headers=headers, body=body, fresh=fresh)
        try:
            data = await stream.read_all()
        finally:
            await stream.close()
        return Response(stream.status, stream.headers, data)

    async def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            await self._idle.pop().close()
