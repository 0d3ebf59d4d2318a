"""A retry budget: retries are a fixed fraction of first attempts, so outages are not amplified."""

from __future__ import annotations


class RetryBudget:
    """A token bucket that is filled by first attempts.

    Args:
        ratio: retries allowed per first attempt.
        burst: maximum number of unused retries that are kept for later.
    """

    def __init__(self, *, ratio: float = 0.1, burst: float = 10.0) -> None:
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    def set_ratio(self, ratio: float) -> None:
        """Set the retries allowed per first attempt."""
        self._ratio = ratio

    def record_first_attempt(self) -> None:
        """Count the first attempt of a request."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def allows_retry(self) -> bool:
        """Whether one more retry is allowed; does not charge it."""
        return self._tokens >= 1.0

    @property
    def in_debt(self) -> bool:
        """Whether more retries were charged than had been earned."""
        return self._tokens < 0.0

    def try_retry(self) -> bool:
        """Take one retry from the budget; False when none is left."""
        if not self.allows_retry():
            return False
        self._tokens -= 1.0
        return True

    def charge_retry(self) -> None:
        """Charge a retry made without :meth:`try_retry`, after a server refused the first attempt.

        It is subtracted from the retries that may be made next, down to minus the burst.
        """
        self._tokens = max(-self._burst, self._tokens - 1.0)
