"""Predicts when KV memory becomes free, from the answers that this instance has in progress.

An instance sees only the ends of its own answers. Waiting instances get memory that becomes free in
about the same proportion as they occupy memory now, so the memory that this instance's own answers
release predicts when its own requests get memory.
"""

from __future__ import annotations

from dataclasses import dataclass

# An answer that takes longer than expected is assumed to continue for this fraction of the expected
# time: its caller's estimate was too short, by an unknown amount.
OVERDUE_SHARE = 0.25
# Weight of the newest reservation in the share of reservations that go to first attempts: about ten
# reservations determine it.
EWMA_WEIGHT = 0.1
# Minimum share of the freed memory that retries are assumed to get, however many first attempts
# there are: no load lasts forever.
MIN_RETRY_SHARE = 0.2


@dataclass(frozen=True, slots=True)
class _Answer:
    """An answer in progress: its memory in tokens, its start, and its expected duration."""

    tokens: int
    started_at: float
    expected_s: float

    def left_s(self, now: float) -> float:
        """Return the seconds until it ends."""
        return max(self.started_at + self.expected_s - now, OVERDUE_SHARE * self.expected_s)


class MemoryForecast:
    """The KV memory that this instance's answers occupy at the engines of one service."""

    def __init__(self) -> None:
        self._answers: dict[int, _Answer] = {}
        self._last_number = 0
        self._promised_retries: list[tuple[float, int]] = []
        self._first_attempt_share = 0.5

    def record_reserved(
        self, tokens: int, expected_s: float, now: float, *, late: bool = False
    ) -> int:
        """Record a reservation; return its number.

        Args:
            tokens: reserved memory, in tokens.
            expected_s: seconds that the answer is expected to take.
            now: time of the runtime's clock in seconds.
            late: whether the request is already late, as retries are.
        """
        self._last_number += 1
        self._answers[self._last_number] = _Answer(tokens, now, expected_s)
        self._first_attempt_share += EWMA_WEIGHT * (
            (0.0 if late else 1.0) - self._first_attempt_share
        )
        return self._last_number

    def record_released(self, number: int) -> None:
        """Record that the memory of a reservation was released."""
        del self._answers[number]

    def free_in_s(self, tokens: int, now: float) -> float | None:
        """Return the seconds until *tokens* of memory have been released; None without any answer.

        More memory than the answers occupy is assumed to be released at the same rate.
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
        """Return the seconds after which the caller of a refused request should retry.

        By then the requests that wait now, and the retries promised to others, have got their
        memory. The released memory is shared with first attempts, which go before retries.

        Args:
            tokens: memory that the request needs, in tokens.
            tokens_ahead: memory that the requests waiting now need, in tokens.
            now: time of the runtime's clock in seconds.

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
        """Record that the caller of a refused request was asked to retry at the time *at*."""
        self._promised_retries.append((at, tokens))
