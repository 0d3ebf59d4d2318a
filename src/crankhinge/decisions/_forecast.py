"""When memory to write in frees for a request, from the answers that this instance has in progress.

An instance sees only its own answers end. Instances that wait share what frees about as they share
what is taken, so what its own answers give back tells when its own requests get a place.
"""

from __future__ import annotations

from dataclasses import dataclass

# An answer that has taken longer than was expected goes on for this part of that time: its caller's
# estimate was too short, by nobody knows how much.
OVERDUE_SHARE = 0.25
# Weight of the newest place in the share of places that first tries get: some ten shape it.
EWMA_WEIGHT = 0.1
# Returns are held to get this part of what frees at least, however many first tries there are: no
# load lasts for ever.
MIN_RETRY_SHARE = 0.2


@dataclass(frozen=True, slots=True)
class _Answer:
    tokens: int
    since: float
    expected_s: float

    def left_s(self, now: float) -> float:
        """Return the seconds until it ends."""
        return max(self.since + self.expected_s - now, OVERDUE_SHARE * self.expected_s)


class MemoryForecast:
    """The memory that this instance's answers take at the engines of one service."""

    def __init__(self) -> None:
        self._answers: dict[int, _Answer] = {}
        self._last_number = 0
        self._promised_retries: list[tuple[float, int]] = []
        self._first_attempt_share = 0.5

    def record_reserved(
        self, tokens: int, expected_s: float, now: float, *, late: bool = False
    ) -> int:
        """Note memory taken for an answer that is expected to take so long; returns its number."""
        self._last_number += 1
        self._answers[self._last_number] = _Answer(tokens, now, expected_s)
        self._first_attempt_share += EWMA_WEIGHT * (
            (0.0 if late else 1.0) - self._first_attempt_share
        )
        return self._last_number

    def record_released(self, number: int) -> None:
        """Note that memory was given back."""
        del self._answers[number]

    def free_in_s(self, tokens: int, now: float) -> float | None:
        """Return the seconds until so much memory has been given back; None without any answer.

        Beyond what its answers hold, memory is held to free as fast as it does until their end.
        """
        if not self._answers:
            return None
        freed, left_s = 0, 0.0
        for answer in sorted(self._answers.values(), key=lambda one: one.left_s(now)):
            freed += answer.tokens
            left_s = answer.left_s(now)
            if freed >= tokens:
                return left_s
        return left_s * tokens / max(1, freed)

    def retry_in_s(self, tokens: int, tokens_ahead: int, now: float) -> float | None:
        """Return when a request that is refused should come back, in seconds.

        Then what waits now, and what was promised to others, has had its memory; what frees is
        shared with first tries, which go before it.

        Args:
            tokens: memory that it needs.
            tokens_ahead: memory that waiting requests need.
            now: on the runtime's clock.

        Returns:
            The seconds; None without any answer in progress.
        """
        self._promised_retries = [row for row in self._promised_retries if row[0] > now]
        tokens_before = tokens_ahead + sum(row[1] for row in self._promised_retries)
        free_in_s = self.free_in_s(tokens_before + tokens, now)
        return (
            None
            if free_in_s is None
            else free_in_s / max(MIN_RETRY_SHARE, 1.0 - self._first_attempt_share)
        )

    def record_promised_retry(self, tokens: int, at: float) -> None:
        """Note that a refused request was told to come back at a time."""
        self._promised_retries.append((at, tokens))
