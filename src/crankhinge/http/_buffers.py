"""Bounds on the bytes that one instance buffers for peers that read slowly.

A peer that reads normally is only counted. A connection counts as stalled while its caller accepts
nothing more; when the bound of the instance is reached, the connections that have been stalled for
the longest time are dropped.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from crankhinge.runtime import steady_s

MB = 1024 * 1024
# Part of the memory limit. The interpreter and the loaded modules need 31 MB, and each body is held
# twice for a moment while its parts are joined.
INSTANCE_SHARE = 1 / 5
# Parts of the instance's bound: one connection, and the request bodies in progress of one server.
CONNECTION_SHARE = 1 / 16
SERVER_SHARE = 1 / 4
# Size that is set for the send and receive buffers of a socket, of which the kernel uses twice as
# much. 128 KB keep 100 Mbit/s busy over 10 ms; the kernel's own maximum of 4 to 6 MB for each
# connection would exceed the memory limit of an instance with a few stalled callers.
SOCKET_BUFFER_BYTES = 128 * 1024
KERNEL_BUFFER_BYTES = 2 * SOCKET_BUFFER_BYTES
# A connection is not dropped for lack of memory before it has been stalled for this long. A lost
# packet is sent again after 0.2 s, during which a caller that reads normally accepts nothing.
MIN_STALL_S = 0.25
# Largest piece that is received at once of a response that is passed on while it is read. A blocked
# caller holds one, and so do the task and the tracebacks of a caller that was dropped, until the
# next full garbage collection: 200 pieces of 64 KB took 15 MB. Other responses are received in
# larger pieces, which costs 0.3 ms less of processor time for an answer of 20 KB.
PIECE_BYTES = 16 * 1024
# A caller must accept each piece of a response that is still being read from a server within this
# time. Servers cut off an answer that stays unread for some seconds; this time
# starts earlier than theirs, which starts when the buffers in between are full.
UNREAD_TIMEOUT_S = 2.0


@dataclass(frozen=True)
class BufferLimits:
    """Bounds in bytes on what an instance buffers.

    Attributes:
        instance_bytes: for all connections together.
        connection_bytes: largest response body that is held for one connection.
        server_bytes: request bodies in progress at one server that reads slowly.
    """

    instance_bytes: int
    connection_bytes: int
    server_bytes: int

    @classmethod
    def from_memory(cls, memory_mb: float) -> BufferLimits:
        """Return the bounds of an instance with *memory_mb* MB of memory."""
        instance_bytes = int(memory_mb * MB * INSTANCE_SHARE)
        return cls(
            instance_bytes,
            int(instance_bytes * CONNECTION_SHARE),
            int(instance_bytes * SERVER_SHARE),
        )


@dataclass
class Drop:
    """Why a connection was dropped.

    Attributes:
        why: the bound that was reached.
        unread_s: seconds for which the caller had accepted nothing, or not all of a piece.
        held_bytes: bytes that were buffered for it.
        logged: whether the drop has been logged.
    """

    why: str
    unread_s: float
    held_bytes: int
    logged: bool = False

    def log_fields(self) -> dict[str, Any]:
        """Return the fields of the log line about the drop."""
        return {
            "why": self.why,
            "unread_s": round(self.unread_s, 2),
            "held_bytes": self.held_bytes,
        }


class ConnectionBuffers:
    """The bytes that are buffered for one caller's connection.

    Args:
        pool: the pool of the instance.
        close: closes the connection at once, discarding what is unsent.

    Attributes:
        held_bytes: the bytes that are buffered now.
        dropped: why the connection was dropped; None if it was not.
    """

    def __init__(self, pool: BufferPool, close: Callable[[], None]) -> None:
        self.held_bytes = 0
        self.dropped: Drop | None = None
        self._pool = pool
        self._close = close

    @property
    def max_connection_bytes(self) -> int:
        """Largest response body that is held for one connection."""
        return self._pool.limits.connection_bytes

    def try_hold(self, size: int, *, share: float = 1.0) -> bool:
        """Count *size* more bytes unless they exceed *share* of the instance's bound."""
        if not self._pool.make_room(size, share):
            return False
        self.hold(size)
        return True

    def hold(self, size: int) -> None:
        """Count *size* more bytes, also above the bound."""
        if self.dropped is None:
            self.held_bytes += size
            self._pool.add(self, size)

    def release(self, size: int) -> None:
        """Count *size* bytes less."""
        if self.dropped is None:
            self.hold(-size)

    def release_all(self) -> None:
        """Count nothing any more, at the end of a request."""
        self.release(self.held_bytes)

    def record_stalled(self, *, is_reading: bool = False) -> None:
        """Record that this waits for the caller, which made its last progress just now.

        Args:
            is_reading: whether this waits for more of a request and not until the caller accepts
                more of a response.
        """
        if self.dropped is None:
            self._pool.record_stalled(self, is_reading=is_reading)

    def record_resumed(self) -> None:
        """Record that this does not wait for the caller."""
        self._pool.record_resumed(self)

    def drop(self, why: str, unread_s: float) -> None:
        """Close the connection because its caller reads too slowly."""
        if self.dropped is None:
            dropped = Drop(why, unread_s, self.held_bytes)
            self.record_resumed()
            self.release_all()
            self.dropped = dropped
            self._close()


class BufferPool:
    """The bytes that an instance buffers for all callers.

    Args:
        limits: the bounds.

    Attributes:
        limits: the bounds.
        held_bytes: the bytes that are buffered now.
    """

    def __init__(self, limits: BufferLimits) -> None:
        self.limits = limits
        self.held_bytes = 0
        # Stalled connections and when they last made progress, the earliest first.
        self._stalled: dict[ConnectionBuffers, float] = {}
        # Those whose callers accept nothing of a response, and the bytes that these hold. They can
        # be had within MIN_STALL_S. Requests that are read are not among them: each waits for its
        # caller after every part, so that none of their bytes would count.
        self._unread: set[ConnectionBuffers] = set()
        self._unread_bytes = 0

    def add(self, buffers: ConnectionBuffers, size: int) -> None:
        """Count *size* more bytes of a connection; called by :class:`ConnectionBuffers`."""
        self.held_bytes += size
        if buffers in self._unread:
            self._unread_bytes += size

    def record_stalled(self, buffers: ConnectionBuffers, *, is_reading: bool) -> None:
        """Record that a connection made its last progress now and waits for its caller."""
        self._stalled.pop(buffers, None)
        self._stalled[buffers] = steady_s()
        if not is_reading and buffers not in self._unread:
            self._unread.add(buffers)
            self._unread_bytes += buffers.held_bytes

    def record_resumed(self, buffers: ConnectionBuffers) -> None:
        """Record that a connection does not wait for its caller."""
        self._stalled.pop(buffers, None)
        if buffers in self._unread:
            self._unread.remove(buffers)
            self._unread_bytes -= buffers.held_bytes

    def make_room(self, size: int = 0, share: float = 1.0) -> bool:
        """Drop stalled connections until *size* more bytes are within the bound.

        Returns:
            Whether *size* bytes may be buffered. With the whole bound, unread responses that are
            not stalled for long enough to be dropped do not count, because a request that makes
            progress must not be refused for them.
        """
        bound = int(self.limits.instance_bytes * share)
        if self.held_bytes + size <= bound:
            return True
        if share < 1.0:
            return False
        now = steady_s()
        while self.held_bytes + size > bound and self._stalled:
            buffers, since = next(iter(self._stalled.items()))
            if now - since < MIN_STALL_S:
                break
            buffers.drop("the instance's bound is reached", now - since)
        return self.held_bytes - self._unread_bytes + size <= bound
