"""A retry budget: retries are a fixed part of successes, so an outage is never amplified."""

from __future__ import annotations


class RetryBudget:
    """A token bucket filled by first attempts.

    Args:
        ratio: retries allowed per first attempt.
        burst: most retries saved up.
    """

    def __init__(self, *, ratio: float = 0.1, burst: float = 10.0) -> None:
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    def set_ratio(self, ratio: float) -> None:
        """Change the retries allowed per first attempt."""
        self._ratio = ratio

    def record_first_attempt(self) -> None:
        """Count a request's first attempt."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def allows_retry(self) -> bool:
        """Whether one more repeat would be allowed; asking changes nothing."""
        return self._tokens >= 1.0

    @property
    def in_debt(self) -> bool:
        """Whether more repeats were spent than had been earned."""
        return self._tokens < 0.0

    def try_retry(self) -> bool:
        """Take leave for one retry; False when the budget is spent."""
        if not self.allows_retry():
            return False
        self._tokens -= 1.0
        return True

    def charge_retry(self) -> None:
        """Count a repeat that nobody was asked for: a server refused the first arrival.

        It is paid for by the repeats that are asked for next, but never by more than were saved.
        """
        self._tokens = max(-self._burst, self._tokens - 1.0)
