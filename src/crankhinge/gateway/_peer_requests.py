"""Requests to other instances over datagrams, which may be lost."""

from __future__ import annotations

import itertools
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

import curio

T = TypeVar("T")

# Seconds to wait for a response. A request and its response take 3 ms between availability zones,
# and about 10 ms more if the other instance is busy.
RESPONSE_TIMEOUT_S = 0.1


class PendingRequests(Generic[T]):
    """Matches responses to pending requests by their numbers."""

    def __init__(self) -> None:
        self._numbers = itertools.count()
        self._pending: dict[int, _PendingRequest[T]] = {}

    async def send_and_wait(self, send: Callable[[int], Awaitable[None]]) -> T | None:
        """Send a request under a new number; return its response, None if none arrives in time."""
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
        """Accept a response; ignore it if it is late or a duplicate."""
        request = self._pending.get(number)
        if request is not None:
            await request.resolve(response)


class _PendingRequest(Generic[T]):
    """A request that waits for its response."""

    def __init__(self) -> None:
        self._event = curio.Event()
        self._response: T | None = None

    async def resolve(self, response: T) -> None:
        """Accept the response."""
        self._response = response
        await self._event.set()

    async def wait(self) -> T | None:
        """Wait for the response."""
        await self._event.wait()
        return self._response
