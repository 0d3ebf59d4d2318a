"""Questions to other instances, by datagrams that may be lost."""

from __future__ import annotations

import itertools
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

import curio

T = TypeVar("T")

# Seconds until an answer is given up. A question and its answer take 3 ms between availability
# zones, and some ten more at an instance that is busy.
RESPONSE_TIMEOUT_S = 0.1


class PendingRequests(Generic[T]):
    """Matches answers to open questions by their numbers."""

    def __init__(self) -> None:
        self._numbers = itertools.count()
        self._pending: dict[int, _PendingRequest[T]] = {}

    async def send_and_wait(self, send: Callable[[int], Awaitable[None]]) -> T | None:
        """Have a question sent under a number; returns its answer, None for silence."""
        number = next(self._numbers)
        request: _PendingRequest[T] = _PendingRequest()
        self._pending[number] = request
        try:
            await send(number)
            response: T | None = await curio.ignore_after(RESPONSE_TIMEOUT_S, request.wait)
        finally:
            del self._pending[number]
        return response

    async def resolve(self, number: int, response: T) -> None:
        """Take an answer; nobody waits for one that is late or doubled."""
        request = self._pending.get(number)
        if request is not None:
            await request.resolve(response)


class _PendingRequest(Generic[T]):
    """A question that waits for its answer."""

    def __init__(self) -> None:
        self._event = curio.Event()
        self._response: T | None = None

    async def resolve(self, response: T) -> None:
        """Take the answer."""
        self._response = response
        await self._event.set()

    async def wait(self) -> T | None:
        """Wait for the answer."""
        await self._event.wait()
        return self._response
