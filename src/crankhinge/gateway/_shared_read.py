"""Reads of the store that are shared by all who wait for one."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

import curio

from crankhinge.errors import KeyValueUnavailable

T = TypeVar("T")

# Seconds that a request waits for a read. A read takes 4 ms, and 0.32 s in a slow store.
WAIT_TIMEOUT_S = 0.5
# Seconds between the beginnings of two reads, so that an instance makes four a second at the most.
READ_INTERVAL_S = 0.25
# Seconds after which a read is given up, so that the next one is not held up by a connection that
# is dead. A read that ends after its requests have stopped waiting is still of use to later ones.
MAX_READ_S = 3.0


class SharedRead(Generic[T]):
    """Answers each request by a read that begins after the request.

    Requests that come while a read is in flight share the next one.

    Args:
        read: reads the store; may raise KeyValueUnavailable.
        wait_timeout_s: seconds that a request waits.
        interval_s: seconds between the beginnings of two reads.
    """

    def __init__(
        self,
        read: Callable[[], Awaitable[T]],
        *,
        wait_timeout_s: float = WAIT_TIMEOUT_S,
        interval_s: float = READ_INTERVAL_S,
    ) -> None:
        self._read = read
        self._wait_timeout_s = wait_timeout_s
        self._interval_s = interval_s
        self._began_at = float("-inf")
        # The requests that wait for the next read.
        self._next: _Batch[T] | None = None
        self._is_running = False

    async def get(self) -> T | None:
        """Return what a read returns that begins after this call; None if it fails or is late."""
        if self._next is None:
            self._next = _Batch()
        batch = self._next
        if not self._is_running:
            self._is_running = True
            await curio.spawn(self._run, daemon=True)
        await curio.ignore_after(self._wait_timeout_s, batch.ended.wait)
        return batch.result

    async def _run(self) -> None:
        """Read until no request waits."""
        try:
            while self._next is not None:
                await curio.sleep(max(0.0, self._began_at + self._interval_s - await curio.clock()))
                batch, self._next = self._next, None
                self._began_at = await curio.clock()
                try:
                    batch.result = await curio.ignore_after(MAX_READ_S, self._read)
                except KeyValueUnavailable:
                    pass
                finally:
                    await batch.ended.set()
        finally:
            self._is_running = False


class _Batch(Generic[T]):
    """Requests that share one read."""

    def __init__(self) -> None:
        self.result: T | None = None
        self.ended = curio.Event()
