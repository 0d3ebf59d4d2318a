"""A circuit breaker for one backend server."""

from __future__ import annotations

import enum

# Consecutive failures that open the breaker, and the shortest and longest time for which it is
# open.
FAILURES_TO_OPEN = 3
FIRST_OPEN_S = 1.0
MAX_OPEN_S = 30.0
# Seconds after a trial was sent before the next one may be sent if it has no outcome.
TRIAL_S = 1.0


class BreakerState(enum.Enum):
    """Whether the breaker lets requests through."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half-open"


class Breaker:
    """Opens after consecutive failures, and lets one request through as a trial after a while.

    The time for which it is open doubles with each failed trial, up to a maximum.
    """

    def __init__(self) -> None:
        self._failures = 0
        self._open_s = FIRST_OPEN_S
        self._open_until = 0.0
        self._trial_until = 0.0

    def state(self, now: float) -> BreakerState:
        """Return the state at time *now* (in seconds)."""
        if self._failures < FAILURES_TO_OPEN:
            return BreakerState.CLOSED
        return BreakerState.OPEN if now < self._open_until else BreakerState.HALF_OPEN

    def allows_request(self, now: float) -> bool:
        """Whether a request may be sent; does not change the state."""
        state = self.state(now)
        if state is BreakerState.HALF_OPEN:
            return now >= self._trial_until
        return state is BreakerState.CLOSED

    def record_sent(self, now: float) -> None:
        """Record that a request was sent: in the half-open state it is the trial.

        A trial that the agent's queue refuses says nothing about the server: no outcome is
        recorded, and another trial may be sent after TRIAL_S.
        """
        if self.state(now) is BreakerState.HALF_OPEN:
            self._trial_until = now + TRIAL_S

    def record_success(self) -> None:
        """Record a success, which closes the breaker."""
        self._failures = 0
        self._open_s = FIRST_OPEN_S
        self._trial_until = 0.0

    def record_failure(self, now: float) -> None:
        """Record a failure, which may open the breaker, for longer after a failed trial."""
        self._failures += 1
        if self._failures < FAILURES_TO_OPEN:
            return
        if self._trial_until:
            self._open_s = min(MAX_OPEN_S, self._open_s * 2)
        self._trial_until = 0.0
        self._open_until = now + self._open_s
