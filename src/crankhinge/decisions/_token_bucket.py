"""A token bucket that keeps tokens for the requests that it has told when to retry.

A refused request gets a promise for the time that its caller is told: the time of the promise
before, and as long as the promised part of the rate takes to yield the tokens of this one. So if
the bucket has the tokens of the next promise at its time, it has those of each later one, too.
Other requests get tokens only if the next promise and those whose callers are a little late can
still be kept.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass

from crankhinge.decisions._accounts import TokenLimit

# Longest retry delay in seconds. Callers wait some 14 s for an answer, so a promise for a later
# time would mostly be made in vain. A request that gets no promise gets this delay.
MAX_RETRY_AFTER_S = 15.0
# Shortest retry delay in seconds.
MIN_RETRY_AFTER_S = 0.05
# Retry delays are multiples of this many seconds, since callers get two decimals.
RETRY_AFTER_STEP_S = 0.01
# A promise is kept for this many seconds after its time, plus a share of the delay: callers' waits
# differ by 15 in 100. A caller that is early by no more than that keeps its promise.
PROMISE_GRACE_S = 0.1
PROMISE_GRACE_SHARE = 0.15
# The grace is at most the time in which the rate yields this share of the room that the promised
# tokens leave in the bucket. After it, others can use them before the bucket overflows.
MAX_GRACE_ROOM_SHARE = 0.5
# Number of promises that a bucket keeps at most, to bound its memory.
MAX_PROMISES = 2000
# If fewer than this share of the promises were used lately, a request of more than half the room of
# the bucket gets one only if there is no other. Two such promises do not fit into the bucket, so
# that tokens would be lost for each caller that does not return: without this rule an account got 2
# in 100 of its rate while nobody returned.
MIN_USED_SHARE = 0.7
# Weight of the last promise in that share.
USED_WEIGHT = 0.1
# Tokens, and steps of a retry delay, by which sums may differ because of rounding.
ROUNDING_TOKENS = 1e-5
ROUNDING_STEPS = 1e-9


@dataclass(slots=True, eq=False)
class _Promise:
    """Tokens kept for the retry of a refused request.

    Attributes:
        caller: what identifies the request.
        tokens: tokens that the request needs.
        due_at: time from which they are available.
        ready_at: time that its caller was told.
        grace_s: seconds by which the caller may be early or late.
        is_overdue: whether its time has passed.
        ended: whether it was used or has lapsed.
        was_early: whether its caller has returned too early.
    """

    caller: str
    tokens: float
    due_at: float
    ready_at: float
    grace_s: float
    is_overdue: bool = False
    ended: bool = False
    was_early: bool = False


class TokenBucket:
    """A token bucket that starts empty, since earlier use is unknown.

    Beside the burst it has two stores. Tokens that the rate yields while the bucket is full are
    saved for requests larger than the burst. A start allowance can be used by any
    request for a short time; what is left then goes into burst and savings. There is no debt,
    because an instance that takes over would not know of it. So in any window, restarts included,
    the grants stay within rate times window, burst, savings and one start allowance.

    Args:
        now: when it begins to fill, by the runtime's clock in seconds.
        promised_share: share of the rate that is promised to retries; the rest is left to first
            attempts.

    Attributes:
        level: tokens in it at the last request, without savings and allowance.
    """

    def __init__(self, now: float, *, promised_share: float = 1.0) -> None:
        self.level = 0.0
        self._promised_share = promised_share
        self._saved = 0.0
        self._allowance = 0.0
        self._allowance_until = now
        self._refilled_at = now
        # Promises in the order of their times: those to come, and those whose callers are late,
        # with the sum of their tokens. Ended ones are removed when they are first in order.
        self._upcoming: deque[_Promise] = deque()
        self._overdue: deque[_Promise] = deque()
        self._overdue_tokens = 0.0
        self._by_request: dict[tuple[str, float], deque[_Promise]] = {}
        # Moving average of the share of promises that were used.
        self._used_share = 1.0

    def add_allowance(self, tokens: float, until: float) -> None:
        """Add tokens that can be used until a time of the runtime's clock."""
        self._allowance, self._allowance_until = tokens, until

    def take(
        self,
        tokens: float,
        limit: TokenLimit,
        now: float,
        max_saved: float = 0.0,
        *,
        caller: str = "",
        within_s: float = math.inf,
    ) -> float:
        """Take *tokens*; return 0, or the seconds after which to retry if they are not available.

        Args:
            tokens: tokens to take.
            limit: rate and burst of this bucket.
            now: time of the runtime's clock in seconds.
            max_saved: most tokens that are saved.
            caller: identifies the request, so that its retry gets the promised tokens. Requests
                with the same value and tokens stand for each other.
            within_s: seconds within which the caller may retry; a later time is not promised.
        """
        self._refill(limit, now, max_saved)
        promise = self._find_promise(caller, tokens, now)
        is_due = promise is not None and promise.ready_at - now <= RETRY_AFTER_STEP_S
        if tokens > limit.burst:
            usable_saved = self._saved
        elif is_due and tokens > limit.burst - RETRY_AFTER_STEP_S * limit.per_s:
            # The full bucket has overflowed into the savings since the promise was due.
            usable_saved = min(self._saved, RETRY_AFTER_STEP_S * limit.per_s)
        else:
            usable_saved = 0.0
        usable = self.level + usable_saved
        if limit.burst > 0 and tokens <= usable + self._allowance + ROUNDING_TOKENS:
            from_pool = max(0.0, tokens - self._allowance)
            if is_due or self._can_spare(
                from_pool, limit, now, promise, is_large=tokens > limit.burst
            ):
                if promise is not None:
                    self._end(promise, was_used=True)
                # Savings go first, so that the level is left to the promises of smaller requests.
                from_saved = min(usable_saved, from_pool)
                self._saved -= from_saved
                self.level = max(0.0, self.level - (from_pool - from_saved))
                self._allowance = max(0.0, self._allowance - (tokens - from_pool))
                return 0.0
        if limit.per_s <= 0 or tokens > limit.burst + max_saved:
            return MAX_RETRY_AFTER_S
        if promise is not None:
            promise.was_early = True
            return self._delay(promise.ready_at - now)
        if self._upcoming:
            due_at = self._upcoming[-1].due_at + tokens / (self._promised_share * limit.per_s)
        else:
            free = usable - self._overdue_tokens
            due_at = now + max(0.0, tokens - free) / (self._promised_share * limit.per_s)
        delay_s = self._delay(due_at - now)
        room = limit.burst + (max_saved if tokens > limit.burst else 0.0)
        if delay_s > MAX_RETRY_AFTER_S or not self._may_promise(tokens, room):
            return MAX_RETRY_AFTER_S
        if delay_s <= within_s:
            grace_s = min(
                PROMISE_GRACE_S + PROMISE_GRACE_SHARE * delay_s,
                MAX_GRACE_ROOM_SHARE * (room - tokens) / limit.per_s,
            )
            self._add(_Promise(caller, tokens, due_at, now + delay_s, grace_s))
        return delay_s

    def put_back(self, tokens: float, limit: TokenLimit) -> None:
        """Put back the tokens of a request that did not run."""
        self.level = min(limit.burst, self.level + tokens)

    @staticmethod
    def _delay(seconds: float) -> float:
        """Return a retry delay in whole steps, not shorter than *seconds*."""
        steps = math.ceil(seconds / RETRY_AFTER_STEP_S - ROUNDING_STEPS)
        return max(MIN_RETRY_AFTER_S, steps * RETRY_AFTER_STEP_S)

    def _can_spare(
        self,
        tokens: float,
        limit: TokenLimit,
        now: float,
        own: _Promise | None,
        *,
        is_large: bool,
    ) -> bool:
        """Whether the promises can be kept if *tokens* are taken now.

        Args:
            tokens: tokens to take from level and savings.
            limit: rate and burst of this bucket.
            now: time of the runtime's clock in seconds.
            own: promise of the request that takes them.
            is_large: whether the request is larger than the burst.
        """
        from_saved = min(self._saved, tokens) if is_large else 0.0
        saved = self._saved - from_saved
        level = self.level - (tokens - from_saved) + ROUNDING_TOKENS
        if level + (saved if is_large else 0.0) < self._overdue_tokens:
            return False
        first = next((each for each in self._upcoming if not each.ended and each is not own), None)
        if first is None:
            return True
        left = level + (saved if first.tokens > limit.burst else 0.0)
        return left + (first.due_at - now) * limit.per_s >= first.tokens

    def _may_promise(self, tokens: float, room: float) -> bool:
        """Whether a further promise for *tokens* may be made; the bucket holds *room* tokens."""
        if self._used_share < MIN_USED_SHARE and 2.0 * tokens > room:
            return not self._by_request
        return len(self._upcoming) < MAX_PROMISES

    def _find_promise(self, caller: str, tokens: float, now: float) -> _Promise | None:
        """Return the promise that a request may use, or that its caller is too early for.

        A request without a promise for now may be another one that looks the same.
        """
        for promise in self._by_request.get((caller, tokens), ()):
            early_s = promise.ready_at - now
            if early_s <= RETRY_AFTER_STEP_S or (
                caller and not promise.was_early and early_s <= promise.grace_s
            ):
                return promise
        return None

    def _add(self, promise: _Promise) -> None:
        self._upcoming.append(promise)
        self._by_request.setdefault((promise.caller, promise.tokens), deque()).append(promise)

    def _end(self, promise: _Promise, *, was_used: bool) -> None:
        """End a promise that was used or has lapsed."""
        promise.ended = True
        self._used_share += USED_WEIGHT * (was_used - self._used_share)
        request = (promise.caller, promise.tokens)
        self._by_request[request].remove(promise)
        if not self._by_request[request]:
            del self._by_request[request]
        if promise.is_overdue:
            self._overdue_tokens -= promise.tokens

    def _refill(self, limit: TokenLimit, now: float, max_saved: float) -> None:
        """Add the tokens that the rate yielded since the last refill, up to burst and savings."""
        level = self.level + max(0.0, now - self._refilled_at) * limit.per_s
        if now >= self._allowance_until:
            level, self._allowance = level + self._allowance, 0.0
        self.level = min(limit.burst, level)
        self._saved = min(max_saved, self._saved + level - self.level)
        self._refilled_at = max(self._refilled_at, now)
        self._drop_lapsed(now)

    def _drop_lapsed(self, now: float) -> None:
        """End the promises whose callers did not return in time."""
        while self._upcoming and (self._upcoming[0].ended or self._upcoming[0].ready_at < now):
            promise = self._upcoming.popleft()
            if not promise.ended:
                promise.is_overdue = True
                self._overdue.append(promise)
                self._overdue_tokens += promise.tokens
        while self._overdue:
            promise = self._overdue[0]
            if not promise.ended and promise.ready_at + promise.grace_s >= now:
                return
            if not promise.ended:
                self._end(promise, was_used=False)
            self._overdue.popleft()
        self._overdue_tokens = 0.0
