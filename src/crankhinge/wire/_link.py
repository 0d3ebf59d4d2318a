"""A connection between two processes, which all of their requests share."""

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

# Most bytes that one system call receives.
MAX_RECEIVE_BYTES = 262144
# Once this many bytes are joined for one system call, no further frame is added.
MAX_SEND_BYTES = 262144
# Frames that may wait to be sent on one link. Further senders wait until the queue has room.
MAX_QUEUED_FRAMES = 4096
HELLO_TIMEOUT_S = 3.0
CONNECT_TIMEOUT_S = 1.0
SEND_TIMEOUT_S = 10.0


class Link:
    """A connection that sends and receives messages.

    Frames that are queued within one pass of the scheduler are sent in one system call. The queue
    is bounded, and the connection is closed if the peer reads nothing for ``SEND_TIMEOUT_S``. A
    peer that stops reading therefore cannot use up the memory of this process.

    Attributes:
        peer: the Hello that the other end sent.
        closed: whether the connection is known to have ended.
        bytes_sent: total number of bytes sent.
        bytes_received: total number of bytes received.
        last_received_at: time at which bytes last arrived, in seconds of the runtime's clock.
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
        """Queue *msg* for sending, waiting while the queue is full.

        Raises:
            LinkClosed: the connection is known to have ended.
        """
        await self.send_frame(encode(msg))

    async def send_frame(self, frame: bytes) -> None:
        """Queue an encoded message, waiting while the queue is full.

        Raises:
            LinkClosed: the connection is known to have ended.
        """
        if self.closed:
            raise LinkClosed(self.peer.name)
        await self._queue.put(frame)

    @property
    def is_congested(self) -> bool:
        """Whether the queue is full, so that :meth:`send` would have to wait."""
        return bool(self._queue.full())

    async def run(self, handle: Callable[[Link, Message], Awaitable[None]]) -> None:
        """Pass each received message to *handle* until the connection ends.

        Raises:
            WireError: the peer sent bytes that are not a valid message.
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
        """Empty the queue to wake up senders that wait for room in it."""
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
        """Shut the socket down, so that :meth:`run` stops reading and closes it."""
        try:
            await self._sock.shutdown(2)
        except OSError:
            pass

    async def close(self) -> None:
        """End the connection, so that :meth:`run` returns."""
        self.closed = True
        await self._shut_down_socket()


async def send_if_open(link: Link, msg: Message) -> None:
    """Send *msg*, or drop it if the link is closed."""
    try:
        await link.send(msg)
    except LinkClosed:
        return


async def _exchange_hellos(sock: Any, own_hello: Hello) -> Link:
    """Send *own_hello*, wait for the peer's Hello, and return the link.

    Raises:
        WireError: the peer uses another protocol or another version of this one.
        LinkClosed: the peer closed the connection before its Hello arrived.
    """
    await sock.sendall(encode(own_hello))
    reader = FrameReader()
    msgs: list[Message] = []
    while not msgs:
        chunk = await sock.recv(MAX_RECEIVE_BYTES)
        if not chunk:
            raise LinkClosed("the peer closed the connection before its Hello")
        msgs = reader.read_messages(chunk)
    peer = msgs[0]
    if not isinstance(peer, Hello):
        raise WireError("the first message of the peer is not a Hello")
    if peer.version != WIRE_VERSION:
        raise WireError(f"unsupported wire version {peer.version}")
    return Link(sock, peer, reader, msgs[1:])


async def accept_link(sock: Any, own_hello: Hello) -> Link:
    """Exchange Hellos on a connected socket and return the link.

    Raises:
        LinkClosed: the connection failed, or no Hello arrived within ``HELLO_TIMEOUT_S``.
        WireError: the peer uses another protocol or another version of this one.
    """
    try:
        link: Link = await curio.timeout_after(HELLO_TIMEOUT_S, _exchange_hellos, sock, own_hello)
    except curio.TaskTimeout as exc:
        raise LinkClosed("no Hello arrived in time") from exc
    except OSError as exc:
        raise LinkClosed(str(exc)) from exc
    return link


async def connect_link(host: str, port: int, own_hello: Hello) -> Link:
    """Connect to an agent and return the link.

    Raises:
        LinkClosed: the connection failed, or no Hello arrived within ``HELLO_TIMEOUT_S``.
        WireError: the peer uses another protocol or another version of this one.
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
