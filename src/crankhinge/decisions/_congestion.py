"""How many requests a plain service may have at once so that its answers come in time.

A service that is offered more than it can do fills its queues until every answer is late, and some
work the more slowly the fuller they are. Many instances share the servers and none sees the queues,
but each sees how long answers take. So an instance whose answers come late lets fewer requests be
there at once, by a part at a time, and one more again for each round of answers that come early;
together the instances find what the service bears, as senders do that share a link. What is not
sent yet waits here, in the order of who may still be in time.

Worth, with twenty instances before three servers of six slots, two days by two seeds: 0.722 instead
of 0.686 of the calls in time; with four or five instances nothing is gained or lost.
"""

from __future__ import annotations

from collections import deque

# The wait at servers is the middle one of so many newest answers: they tell of a queue that fills
# within a second, and one answer that took long does not.
RECENT_RESPONSES = 5
# Answers among which the undisturbed ones are looked for, and the part of them that counts as such.
MAX_KEPT_RESPONSES = 64
UNLOADED_QUANTILE = 0.25
# Before any answer was seen, one takes this long, in seconds.
DEFAULT_RESPONSE_S = 0.05
# Answers may always take this many times as long as undisturbed ones, whatever the target: a
# service that is slow by nature is not congested.
ALLOWED_SLOWDOWN = 2.0
# Part of the wait that the target allows at which the servers' queues are held once they were too
# long: answers take different times, and at half of it most of them are in time.
TARGET_WAIT_SHARE = 0.5
# The window is lowered to this part of itself, no sooner than this many seconds after the last
# time: an answer that shows the effect is on its way as long.
DECREASE_FACTOR = 0.7
MIN_DECREASE_INTERVAL_S = 0.15
# A late call is sent all the same when nothing has been for so long, in seconds: where only late
# ones come nothing would ever tell that the service has recovered.
LATE_PROBE_INTERVAL_S = 0.5
# Nobody is told to come back sooner than this, in seconds: a queue of ten short requests empties in
# it.
MIN_RETRY_AFTER_S = 0.25
# A window this many times what is there bounds nothing and is given up.
UNBOUNDED_FACTOR = 4.0


class CongestionWindow:
    """What one instance saw of a service's answers, and the window that it keeps therefore."""

    def __init__(self) -> None:
        self._response_times: deque[float] = deque(maxlen=MAX_KEPT_RESPONSES)
        self._in_flight = 0
        self._unloaded_response_s = DEFAULT_RESPONSE_S
        self._window: float | None = None
        self._decreased_at = float("-inf")
        self._congested_since = 0.0
        self._last_sent_at = float("-inf")

    @property
    def unloaded_response_s(self) -> float:
        """Seconds that an answer takes where nothing waits before it."""
        return self._unloaded_response_s

    @property
    def window(self) -> float | None:
        """Requests that may be there at once; None for no bound."""
        return self._window

    def may_send(self, now: float, *, late: bool) -> bool:
        """Whether one more request may be sent; one that is late takes no place from others."""
        if self._window is None:
            return True
        if late:
            return now - self._last_sent_at >= LATE_PROBE_INTERVAL_S
        return self._in_flight < max(1, int(self._window))

    def record_sent(self, now: float) -> None:
        """Note that a request was sent."""
        self._in_flight += 1
        self._last_sent_at = now

    def record_end(self) -> None:
        """Note that a request that was sent has ended, however it did."""
        self._in_flight -= 1

    def record_response(self, response_s: float, target_s: float, now: float) -> None:
        """Note an answer to a request that was due within *target_s*."""
        self._response_times.append(response_s)
        self._unloaded_response_s = sorted(self._response_times)[
            int(len(self._response_times) * UNLOADED_QUANTILE)
        ]
        newest = sorted(list(self._response_times)[-RECENT_RESPONSES:])
        wait_s = newest[len(newest) // 2] - self._unloaded_response_s
        allowed_wait_s = max(
            target_s - self._unloaded_response_s, (ALLOWED_SLOWDOWN - 1) * self._unloaded_response_s
        )
        if self._window is None:
            if wait_s > allowed_wait_s:
                self._decrease(now)
        elif wait_s > TARGET_WAIT_SHARE * allowed_wait_s:
            self._decrease(now)
        else:
            self._increase(self._window)

    def record_refusal(self, now: float) -> None:
        """Note that a server had no place."""
        self._decrease(now)

    def retry_after_s(self, now: float) -> float:
        """Return when the service may have recovered, in seconds.

        What has lasted so long, for a time that nobody knows, most likely lasts as long again.
        """
        return (
            MIN_RETRY_AFTER_S
            if self._window is None
            else max(MIN_RETRY_AFTER_S, now - self._congested_since)
        )

    def _decrease(self, now: float) -> None:
        if now - self._decreased_at < MIN_DECREASE_INTERVAL_S:
            return
        self._decreased_at = now
        if self._window is None:
            self._congested_since = now
        window = self._in_flight if self._window is None else self._window
        self._window = max(1.0, window * DECREASE_FACTOR)

    def _increase(self, window: float) -> None:
        raised = window + 1.0 / window
        self._window = None if raised > UNBOUNDED_FACTOR * max(1, self._in_flight) else raised
