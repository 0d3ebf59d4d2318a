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
        self._open: dict[int, _Question[T]] = {}

    async def send_and_wait(self, send: Callable[[int], Awaitable[None]]) -> T | None:
        """Have a question sent under a number; returns its answer, None for silence."""
        number = next(self._numbers)
        question: _Question[T] = _Question()
        self._open[number] = question
        try:
            await send(number)
            answer: T | None = await curio.ignore_after(RESPONSE_TIMEOUT_S, question.answered)
        finally:
            del self._open[number]
        return answer

    async def resolve(self, number: int, response: T) -> None:
        """Take an answer; nobody waits for one that is late or doubled."""
        question = self._open.get(number)
        if question is not None:
            await question.answer(response)


class _Question(Generic[T]):
    """A question that waits for its answer."""

    def __init__(self) -> None:
        self._event = curio.Event()
        self._answer: T | None = None

    async def answer(self, answer: T) -> None:
        """Take the answer."""
        self._answer = answer
        await self._event.set()

    async def answered(self) -> T | None:
        """Wait for the answer."""
        await self._event.wait()
        return self._answer
