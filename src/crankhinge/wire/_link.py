"""One connection between two of this project's processes, shared by all their requests."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import curio

from crankhinge.errors import LinkClosed, WireError
from crankhinge.runtime import open_tcp, send_all
from crankhinge.wire._base import WIRE_VERSION
from crankhinge.wire._codec import FrameReader, encode
from crankhinge.wire._control import Hello
from crankhinge.wire._messages import Message

MAX_RECEIVE_BYTES = 262144
MAX_SEND_BYTES = 262144
MAX_QUEUED_FRAMES = 4096
HELLO_TIMEOUT_S = 3.0
CONNECT_TIMEOUT_S = 1.0
SEND_TIMEOUT_S = 10.0


class Link:
    """A connection that sends and receives messages.

    Frames queued within one pass of the scheduler leave in one system call. The queue is bounded:
    a peer that doesn't read for ``SEND_TIMEOUT_S`` loses the connection, not our memory.

    Attributes:
        peer: the other end's Hello.
        closed: whether the connection is known to be gone.
        last_received_at: when something last arrived, seconds of the runtime's clock.
        peer_bundle_version: newest bundle version that the peer has or was sent.
    """

    def __init__(
        self, sock: Any, peer: Hello, reader: FrameReader, early_messages: list[Message]
    ) -> None:
        self.peer = peer
        self.closed = False
        self.bytes_sent = 0
        self.bytes_received = 0
        self.last_received_at = 0.0
        self.peer_bundle_version = peer.bundle_version
        self._sock = sock
        self._reader = reader
        self._early_messages = early_messages
        self._queue: curio.Queue = curio.Queue(MAX_QUEUED_FRAMES)

    async def send(self, msg: Message) -> None:
        """Queue *msg*; waits while the queue is full.

        Raises:
            LinkClosed: when the connection is known to be gone.
        """
        await self.send_frame(encode(msg))

    async def send_frame(self, frame: bytes) -> None:
        """Queue a message that is encoded already. Raises as :meth:`send` does."""
        if self.closed:
            raise LinkClosed(self.peer.name)
        await self._queue.put(frame)

    @property
    def is_congested(self) -> bool:
        """Whether a send would have to wait."""
        return bool(self._queue.full())

    async def run(self, handle: Callable[[Link, Message], Awaitable[None]]) -> None:
        """Pass each message to *handle* until the connection ends.

        Raises:
            WireError: when the peer sent something that is not a message.
        """
        self.last_received_at = await curio.clock()
        writer = await curio.spawn(self._send_queued_frames, daemon=True)
        try:
            for msg in self._early_messages:
                await handle(self, msg)
            await self._receive_messages(handle)
        finally:
            self.closed = True
            await writer.cancel()
            await self._sock.close()
            await self._drop_queued()

    async def _drop_queued(self) -> None:
        """Empty the queue, so that senders that wait for room in it wake up."""
        while not self._queue.empty():
            await self._queue.get()
            await curio.sleep(0)

    async def _receive_messages(self, handle: Callable[[Link, Message], Awaitable[None]]) -> None:
        while True:
            try:
                chunk = await self._sock.recv(MAX_RECEIVE_BYTES)
            except OSError:
                return
            if not chunk:
                return
            self.bytes_received += len(chunk)
            self.last_received_at = await curio.clock()
            for msg in self._reader.read_messages(chunk):
                await handle(self, msg)

    async def _send_queued_frames(self) -> None:
        queue = self._queue
        while True:
            out = await queue.get()
            if not queue.empty():
                parts = [out]
                size = len(out)
                while not queue.empty() and size < MAX_SEND_BYTES:
                    part = await queue.get()
                    parts.append(part)
                    size += len(part)
                out = b"".join(parts)
            self.bytes_sent += len(out)
            try:
                await send_all(self._sock, memoryview(out), SEND_TIMEOUT_S)
            except OSError:
                self.closed = True
                await self._shut_down_socket()
                return

    async def _shut_down_socket(self) -> None:
        """Wake the reader, which then closes the connection."""
        try:
            await self._sock.shutdown(2)
        except OSError:
            pass

    async def close(self) -> None:
        """End the connection; :meth:`run` returns."""
        self.closed = True
        await self._shut_down_socket()


async def send_if_open(link: Link, msg: Message) -> None:
    """Send *msg*, for which nobody is to be told when the peer has gone meanwhile."""
    try:
        await link.send(msg)
    except LinkClosed:
        return


async def _exchange_hellos(sock: Any, own_hello: Hello) -> Link:
    """Exchange Hellos.

    Raises:
        WireError: when the peer speaks another version or not our protocol.
        LinkClosed: when it closes.
    """
    await sock.sendall(encode(own_hello))
    reader = FrameReader()
    msgs: list[Message] = []
    while not msgs:
        chunk = await sock.recv(MAX_RECEIVE_BYTES)
        if not chunk:
            raise LinkClosed("closed before hello")
        msgs = reader.read_messages(chunk)
    peer = msgs[0]
    if not isinstance(peer, Hello):
        raise WireError("no hello")
    if peer.version != WIRE_VERSION:
        raise WireError(f"wire version {peer.version}")
    return Link(sock, peer, reader, msgs[1:])


async def accept_link(sock: Any, own_hello: Hello) -> Link:
    """Return the link on an accepted socket. Raises as :func:`connect_link` does."""
    try:
        link: Link = await curio.timeout_after(HELLO_TIMEOUT_S, _exchange_hellos, sock, own_hello)
    except curio.TaskTimeout as exc:
        raise LinkClosed("no hello in time") from exc
    except OSError as exc:
        raise LinkClosed(str(exc)) from exc
    return link


async def connect_link(host: str, port: int, own_hello: Hello) -> Link:
    """Connect to an agent.

    Raises:
        LinkClosed: when no connection can be made.
        WireError: when the other end doesn't speak our protocol.
    """
    try:
        sock = await open_tcp(host, port, CONNECT_TIMEOUT_S)
    except OSError as exc:
        raise LinkClosed(f"{host}:{port}: {exc}") from exc
    try:
        return await accept_link(sock, own_hello)
    except BaseException:
        await sock.close()
        raise
