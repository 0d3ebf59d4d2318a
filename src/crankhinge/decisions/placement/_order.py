"""The order of all waiting requests, and the return times that refused callers were told."""

from __future__ import annotations

import enum
import math
from collections import deque
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from crankhinge.decisions._reservations import (
    LATE_VALUE,
    MIN_RETRY_DELAY_S,
    RETRY_VALUE,
    ReservationRequest,
)
from crankhinge.decisions.placement._types import PlacementRequest

# Seconds of waiting after which a late request goes with those that may be in time, and after which
# each criterion counts one step less. A caller waits three to four seconds for its first event, so
# a request that waits for its turn gets it before the caller gives up.
LATE_AGING_S = 1.5
RANK_AGING_S = 1.0
ACCOUNT_AGING_S = 1.0
VALUE_AGING_S = 0.5
# An account goes later by one step for each time that it has this many fair shares of the runs in
# progress. A margin, so that one run more or less of a small account does not change the order.
OVER_SHARE = 1.2
# Share of an engine's memory that runs of an account above its fair share leave free, if all other
# runs were those of other accounts, and the level at which it is reached. Without it, a flood fills
# the engines within a second, and the others wait until its first runs end: of 1,127 requests
# beside a flood of 1.5 times the capacity, 986 were in time without it and 1,075 with it; of the
# flood 821 and 739.
OVER_SHARE_HEADROOM = 0.25
HEADROOM_LEVEL = 2
# Share of the freed memory that late requests and retries get at least, however many first attempts
# there are: no load lasts forever. Each of their turns costs a first attempt in time: with 3, 5 and
# 10 %, 2,364, 2,309 and 2,178 of 4,550 requests were in time at twice the capacity.
MIN_LATE_SHARE = 0.03
# Seconds of a caller's remaining time that it has left for its wait when it returns as promised.
# With 0.5 s, 22 of 123 promised returns were refused in the end, since their turn took longer.
PROMISE_MARGIN_S = 1.0
# Seconds by which a retry may come before its promised time, and after it, and still take its
# place.
EARLY_S = 0.15
OVERDUE_S = 1.0
# Seconds that determine the moving average of the rate of first attempts.
RATE_TIME_S = 2.0


class Urgency(enum.IntEnum):
    """First criterion of the order."""

    PROMISED = 0
    IN_TIME = 1
    LATE = 2


@dataclass(slots=True)
class Waiting:
    """A request that waits for its turn.

    Attributes:
        need: the request.
        asked_at: when it was first asked for.
        times: its times and values.
        is_promised: whether its caller returned at the time it was told.
        expected_tokens: memory that it needs on average, in tokens.
        service_s: expected duration of its run.
    """

    need: PlacementRequest
    asked_at: float
    times: ReservationRequest
    is_promised: bool
    expected_tokens: float
    service_s: float

    def urgency(self, now: float) -> Urgency:
        """Return its place by the first criterion."""
        if self.is_promised:
            return Urgency.PROMISED
        waited_s = now - self.asked_at
        is_late = self.need.is_retry or self.times.is_late(waited_s)
        return Urgency.LATE if is_late and waited_s < LATE_AGING_S else Urgency.IN_TIME

    def may_be_in_time(self, now: float) -> bool:
        """Whether it is a first attempt that may still be answered in time."""
        return not self.need.is_retry and not self.times.is_late(now - self.asked_at)

    def value(self, now: float) -> float:
        """Return the value of an answer, as a fraction of that of an answer in time; aged."""
        if self.may_be_in_time(now) or now - self.asked_at >= LATE_AGING_S:
            return 1.0
        return RETRY_VALUE if self.need.is_retry else LATE_VALUE


class AccountShares:
    """Which accounts have more than their fair share of the runs in progress."""

    def __init__(self, runs: Mapping[str, int], waiting: Collection[str]) -> None:
        accounts = {account for account, count in runs.items() if count}.union(waiting)
        self._runs = runs
        self._total = sum(runs.values())
        self._fair = self._total / max(1, len(accounts))
        self._is_only = len(accounts) <= 1

    def level(self, account: str) -> int:
        """Return how many times the account exceeds its fair share; 0 if it is the only one."""
        if self._is_only:
            return 0
        return int(self._runs.get(account, 0) / (OVER_SHARE * max(1.0, self._fair)))

    def headroom(self, account: str) -> float:
        """Return the share of an engine's memory that its runs leave free for other accounts."""
        level = min(HEADROOM_LEVEL, self.level(account))
        if not level:
            return 0.0
        others = 1.0 - self._runs.get(account, 0) / self._total
        return OVER_SHARE_HEADROOM * others * level / HEADROOM_LEVEL


# The first criteria of the key. A request may pass one that waits for more memory only if these
# are the same for both.
CLASS_CRITERIA = 3


def order_key(waiting: Waiting, shares: AccountShares, now: float) -> tuple[float, ...]:
    """Return the sort key of a waiting request; lower keys go first."""
    waited_s = now - waiting.asked_at
    rank = max(0, waiting.need.rank - int(waited_s / RANK_AGING_S))
    level = max(0, shares.level(waiting.need.account) - int(waited_s / ACCOUNT_AGING_S))
    urgency = waiting.urgency(now)
    # A promise to an account above its share is kept among the first attempts: the callers that a
    # flood has sent home must not go before those of other accounts.
    if urgency is Urgency.PROMISED and level:
        urgency, level = Urgency.IN_TIME, 0
    density = waiting.value(now) / max(1.0, waiting.expected_tokens * waiting.service_s)
    return (
        urgency,
        rank,
        level,
        -density * (1.0 + waited_s / VALUE_AGING_S),
        waiting.asked_at,
    )


class Promises:
    """Return times told to refused callers, each with its share of the memory that becomes free.

    The rate at which late requests can be served is divided among the accounts that have promises.
    Each promise takes the next turn of its account, so no two callers are promised the same memory,
    and the callers that one account has sent home don't make those of others wait.
    """

    def __init__(self) -> None:
        self._due: dict[str, deque[tuple[float, str]]] = {}

    def promise(self, waiting: Waiting, turns_per_s: float, now: float) -> float:
        """Return the seconds after which the caller should return; the turn is kept for it.

        Args:
            waiting: the refused request.
            turns_per_s: runs that late requests can start per second.
            now: time of the runtime's clock in seconds.
        """
        self.expire(now)
        need = waiting.need
        promised = self._due.get(need.account, deque())
        accounts = len(self._due) + (need.account not in self._due)
        due_at = now + max(MIN_RETRY_DELAY_S, 1.0 / turns_per_s)
        if promised:
            due_at = max(due_at, promised[-1][0] + accounts / turns_per_s)
        waited_s = now - waiting.asked_at
        latest = now + need.remaining_s - waited_s - waiting.service_s - PROMISE_MARGIN_S
        if due_at > latest:
            # No turn is left while the caller could still be answered. It may return at its last
            # chance, without a promise; the load may have ended by then.
            return max(MIN_RETRY_DELAY_S, latest - now if latest > now else due_at - now)
        promised.append((due_at, need.route))
        self._due[need.account] = promised
        return due_at - now

    def redeem(self, need: PlacementRequest, now: float) -> bool:
        """Whether a retry comes at a promised time; it uses up the promise."""
        if not need.is_retry:
            return False
        self.expire(now)
        promised = self._due.get(need.account, deque())
        for due_at, route in promised:
            if due_at - EARLY_S > now:
                break
            if route == need.route:
                promised.remove((due_at, route))
                return True
        return False

    def expire(self, now: float) -> None:
        """Forget the promises whose callers did not return."""
        for account, promised in list(self._due.items()):
            while promised and promised[0][0] + OVERDUE_S < now:
                promised.popleft()
            if not promised:
                del self._due[account]

    def __len__(self) -> int:
        return sum(len(promised) for promised in self._due.values())


class ArrivalRate:
    """Moving average of the rate of first attempts."""

    def __init__(self, now: float) -> None:
        self._rate = 0.0
        self._at = now

    def record(self, now: float) -> None:
        """Record a first attempt."""
        self._rate = self.per_s(now) + 1.0 / RATE_TIME_S
        self._at = now

    def per_s(self, now: float) -> float:
        """Return first attempts per second."""
        return self._rate * math.exp((self._at - now) / RATE_TIME_S)
