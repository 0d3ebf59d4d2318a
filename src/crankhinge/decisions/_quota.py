"""Limits of accounts that hold over all instances together.

For each account one instance, the first in an order that depends on the account's name, hands out
the account's tokens, request by request, from a bucket that fills at the account's rate. What the
operators allow beyond the rate and the burst is kept for when that instance does not answer: the
second in the order hands out a part of it, and each instance has a small part for itself. So the
sum over all instances never exceeds what is allowed, whoever can reach whom, and nothing has to be
agreed on; and below the limit nobody is refused while the first or the second answers.

A request counts where it was sent and ran within the same window. It gets its tokens between the
two, so what is handed out in a window bounds what counts in it.
"""

from __future__ import annotations

import enum
from collections.abc import Sequence
from dataclasses import dataclass, field

from crankhinge.decisions._accounts import Account, TokenLimit
from crankhinge.decisions._membership import Membership
from crankhinge.decisions._unresponsive import UnresponsivePeers

# Parts of what the operators allow: the first hands out the account's own rate and burst, but not
# more than this part of all, since the others need some.
MAX_MAIN_SHARE = 0.8
# Of what is left over, the second hands out this part, all instances together the next one. The
# rest is for single requests that are larger than a bucket.
STANDBY_SHARE = 0.5
LOCAL_SHARE = 0.25
# Of what may be handed out in a window, so much may be at once; the rest comes with time.
BURST_SHARE = 0.5
# Questions that an instance may leave unanswered before it is passed over.
MAX_MISSES = 1
# Callers that were refused come back one after the other; the last of them in so many seconds.
MAX_RETRY_AFTER_S = 5.0
# Nobody is told to come back sooner, in seconds.
MIN_RETRY_AFTER_S = 0.05


@dataclass(frozen=True, slots=True)
class QuotaBounds:
    """What the operators allow beyond rate and burst.

    Attributes:
        window_s: seconds in which use is summed.
        overrun: part of rate and burst.
        slack: tokens.
    """

    window_s: float = 8.0
    overrun: float = 0.0
    slack: float = 0.0

    def allowed_in_window(self, limit: TokenLimit) -> float:
        """Return what an account may use in a window, in tokens."""
        entitled = limit.per_s * self.window_s + limit.burst
        return entitled * (1.0 + self.overrun) + self.slack

    def pools(self, limit: TokenLimit, instances: int) -> QuotaPools:
        """Return what is handed out by whom."""
        allowed = self.allowed_in_window(limit)
        entitled = limit.per_s * self.window_s + limit.burst
        main_share = min(1.0, MAX_MAIN_SHARE * allowed / entitled)
        spare = allowed - main_share * entitled
        return QuotaPools(
            main=TokenLimit(main_share * limit.per_s, main_share * limit.burst),
            standby=self._rate_and_burst(STANDBY_SHARE * spare),
            local=self._rate_and_burst(LOCAL_SHARE * spare / instances),
        )

    def _rate_and_burst(self, tokens: float) -> TokenLimit:
        """Return the rate and burst that use *tokens* in a window at most."""
        return TokenLimit((1.0 - BURST_SHARE) * tokens / self.window_s, BURST_SHARE * tokens)


@dataclass(frozen=True, slots=True)
class QuotaPools:
    """What is handed out of an account's tokens.

    Attributes:
        main: by the first instance in the account's order.
        standby: by the second.
        local: by each instance to itself.
    """

    main: TokenLimit
    standby: TokenLimit
    local: TokenLimit


class TokenBucket:
    """Fills with time up to a burst; empty at first, since nobody knows what was used before.

    Args:
        now: when it began to fill, on the runtime's clock, in seconds.

    Attributes:
        level: tokens in it when it was last asked; negative where a large request owes some.
    """

    def __init__(self, now: float) -> None:
        self.level = 0.0
        self._refilled_at = now
        self._queue_until = now

    def take(self, tokens: float, limit: TokenLimit, now: float) -> float:
        """Take *tokens*; returns 0, or the seconds after which they may be there.

        A request larger than the burst is let in when the bucket is full, and owes the rest.
        """
        self._refill(limit, now)
        needed = min(tokens, limit.burst)
        if self.level >= needed > 0:
            self.level -= tokens
            return 0.0
        if limit.per_s <= 0 or limit.burst <= 0:
            return MAX_RETRY_AFTER_S
        # Those that were refused before this one come back before it.
        available_in_s = max(now + (needed - self.level) / limit.per_s, self._queue_until)
        self._queue_until = min(available_in_s + tokens / limit.per_s, now + MAX_RETRY_AFTER_S)
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, available_in_s - now))

    def put_back(self, tokens: float, limit: TokenLimit) -> None:
        """Put back what a request took that did not run."""
        self.level = min(limit.burst, self.level + tokens)

    def _refill(self, limit: TokenLimit, now: float) -> None:
        passed = max(0.0, now - self._refilled_at)
        self.level = min(limit.burst, self.level + passed * limit.per_s)
        self._refilled_at = max(self._refilled_at, now)


class QuotaOutcome(enum.Enum):
    """What is said to who asks for tokens."""

    GRANTED = "granted"
    OVER_LIMIT = "over-limit"
    NOT_ALLOCATOR = "not-mine"


@dataclass(frozen=True, slots=True)
class QuotaDecision:
    """An answer to who asks for tokens.

    Attributes:
        outcome: whether they are handed out.
        retry_after_s: seconds after which to come back; 0 where nothing is known.
        left_tokens: tokens that are left of the pool that was asked.
    """

    outcome: QuotaOutcome
    retry_after_s: float = 0.0
    left_tokens: float = 0.0


NOT_ALLOCATOR = QuotaDecision(QuotaOutcome.NOT_ALLOCATOR)


class _Role(enum.Enum):
    """The part of an instance for an account."""

    MAIN = "main"
    STANDBY = "standby"
    LOCAL = "own"


@dataclass
class _AccountBuckets:
    """The buckets of one account, by the part in which they were begun."""

    buckets: dict[_Role, TokenBucket] = field(default_factory=dict)
    role: _Role = _Role.LOCAL


class QuotaAllocator:
    """Hands out tokens: those that fall to this instance, and its own small part.

    Args:
        name: of this instance.
        membership: the instances.
        bounds: what the operators allow.
        now: on the runtime's clock, in seconds.
    """

    def __init__(
        self, *, name: str, membership: Membership, bounds: QuotaBounds, now: float
    ) -> None:
        self._name = name
        self._membership = membership
        self._bounds = bounds
        self._started_at = now
        self._accounts: dict[str, _AccountBuckets] = {}

    def allocate(self, account: Account, tokens: float, now: float) -> QuotaDecision:
        """Hand out tokens for a request that reached any instance."""
        role = self._role_for(account.name, now)
        if role is _Role.LOCAL:
            return NOT_ALLOCATOR
        return self._take_from(role, account, tokens, now)

    def allocate_local(self, account: Account, tokens: float, now: float) -> QuotaDecision:
        """Hand out tokens for a request that reached this instance, when nobody else answers."""
        if not self._membership.has_counted_instances(now):
            return NOT_ALLOCATOR
        return self._take_from(_Role.LOCAL, account, tokens, now)

    def return_tokens(
        self, account: Account, tokens: float, now: float, *, local: bool = False
    ) -> None:
        """Take tokens back that were handed out for a request that did not run."""
        account_buckets = self._accounts.get(account.name)
        role = _Role.LOCAL if local else self._role_for(account.name, now)
        bucket = account_buckets.buckets.get(role) if account_buckets else None
        if bucket is not None and account.limit is not None:
            bucket.put_back(tokens, self._limit_of(role, account.limit))

    def _take_from(self, role: _Role, account: Account, tokens: float, now: float) -> QuotaDecision:
        assert account.limit is not None
        bucket = self._bucket(account.name, role, now)
        after_s = bucket.take(tokens, self._limit_of(role, account.limit), now)
        outcome = QuotaOutcome.OVER_LIMIT if after_s else QuotaOutcome.GRANTED
        return QuotaDecision(outcome, after_s, bucket.level)

    def _limit_of(self, role: _Role, limit: TokenLimit) -> TokenLimit:
        pools = self._bounds.pools(limit, len(self._membership))
        return {_Role.MAIN: pools.main, _Role.STANDBY: pools.standby, _Role.LOCAL: pools.local}[
            role
        ]

    def _role_for(self, account: str, now: float) -> _Role:
        ranked = self._membership.rank_instances(account)
        if not self._membership.may_coordinate(now) or self._name not in ranked[:2]:
            return _Role.LOCAL
        return _Role.MAIN if ranked[0] == self._name else _Role.STANDBY

    def _bucket(self, account: str, role: _Role, now: float) -> TokenBucket:
        account_buckets = self._accounts.setdefault(account, _AccountBuckets())
        if role is not _Role.LOCAL and role is not account_buckets.role:
            # Another instance had this part until now: what it handed out is not known here.
            account_buckets.buckets.pop(role, None)
            account_buckets.role = role
        if role not in account_buckets.buckets:
            since = (
                self._started_at
                if role is _Role.LOCAL
                else max(self._started_at, self._membership.changed_at)
            )
            account_buckets.buckets[role] = TokenBucket(min(since, now))
        return account_buckets.buckets[role]


class QuotaClient:
    """Whom to ask for tokens, and what to make of silence.

    Args:
        name: of this instance.
        membership: the instances.
    """

    def __init__(self, *, name: str, membership: Membership) -> None:
        self._name = name
        self._membership = membership
        self._unresponsive = UnresponsivePeers(MAX_MISSES)

    def allocators(self, account: str, now: float) -> Sequence[str]:
        """Return whom to ask, one after the other, until one grants or refuses."""
        return [
            name
            for name in self._membership.rank_instances(account)[:2]
            if name == self._name or not self._unresponsive.is_skipped(name, now)
        ]

    def record_unresponsive(self, name: str, now: float) -> None:
        """Note that an instance did not answer."""
        self._unresponsive.record_unresponsive(name, now)

    def record_response(self, name: str) -> None:
        """Note that an instance answered, or that it has just come."""
        self._unresponsive.record_response(name)
