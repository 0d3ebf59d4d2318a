"""Token limits of client accounts that hold over all instances together.

For each account one instance, the first in an order that depends on the account's name, allocates
the account's tokens request by request from a bucket that fills at the account's rate. What the
operators allow beyond the rate and the burst is reserved for the time when that instance does not
respond: the second instance in the order allocates a part of it, and each instance has a small
local part. So the sum over all instances never exceeds what is allowed, whichever instances can
reach each other, and no agreement between instances is needed. Below the limit no request is
refused while the first or the second instance responds. A request that is larger than a bucket is
granted from tokens saved for it; docs/design/account-recovery.md has the sums.

After a restart buckets start empty, since the use before is unknown. The first instance of an
account then has a start allowance, at most once in a window over all instances.

The operators count the tokens of a request in a window if the request was sent and ran within that
window. The tokens are allocated after the request was sent and before it runs, so no more tokens
count in a window than were allocated in it.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Sequence
from dataclasses import dataclass, field

from crankhinge.decisions._accounts import Account, TokenLimit
from crankhinge.decisions._membership import Membership
from crankhinge.decisions._token_bucket import TokenBucket
from crankhinge.decisions.coordination import CoordinatorOrder

# Seconds over which use is summed unless the settings say otherwise.
DEFAULT_WINDOW_S = 8.0
# Share of the allowed tokens that the first instance may allocate at most: it allocates the
# account's rate and burst, but the other instances need some tokens as well.
MAX_MAIN_SHARE = 0.8
# Shares of the remaining tokens for the second instance, for all instances together as their local
# parts, for what the first instance saves for requests larger than its burst, and for its start
# allowance. They sum to one.
STANDBY_SHARE = 0.5
LOCAL_SHARE = 0.15
SAVED_SHARE = 0.1
START_SHARE = 0.25
# Share of an account's rate that is promised to retries, which are late. The rest is left to first
# attempts, which can still be in time. With the whole rate promised, 516 of 816 first attempts of a
# day were in time, and 570 without promises.
PROMISED_SHARE = 0.25
# Share of a window's tokens that may be allocated at once; the rest becomes available over time.
BURST_SHARE = 0.5
# Unanswered requests in a row after which an instance is skipped.
MAX_MISSES = 1
# While the fleet starts, a request that the first instance of its account has not decided is asked
# again at this interval, for at most this long, in seconds.
DECISION_RETRY_S = 0.05
MAX_DECISION_WAIT_S = 0.8


@dataclass(frozen=True, slots=True)
class QuotaBounds:
    """What the operators allow beyond the rate and burst of an account.

    Attributes:
        window_s: seconds over which use is summed.
        overrun: allowed excess as a fraction of rate and burst.
        slack: further allowed excess, in tokens.
    """

    window_s: float = DEFAULT_WINDOW_S
    overrun: float = 0.0
    slack: float = 0.0

    def allowed_in_window(self, limit: TokenLimit) -> float:
        """Return how many tokens an account may use in a window."""
        entitled = limit.per_s * self.window_s + limit.burst
        return entitled * (1.0 + self.overrun) + self.slack

    def pools(self, limit: TokenLimit, instances: int) -> QuotaPools:
        """Return how the allowed tokens are divided among the instances."""
        allowed = self.allowed_in_window(limit)
        entitled = limit.per_s * self.window_s + limit.burst
        main_share = min(1.0, MAX_MAIN_SHARE * allowed / entitled)
        spare = allowed - main_share * entitled
        return QuotaPools(
            main=TokenLimit(main_share * limit.per_s, main_share * limit.burst),
            standby=self._rate_and_burst(STANDBY_SHARE * spare),
            local=self._rate_and_burst(LOCAL_SHARE * spare / instances),
            saved=SAVED_SHARE * spare,
            start=START_SHARE * spare,
        )

    def _rate_and_burst(self, tokens: float) -> TokenLimit:
        """Return the rate and burst that use at most *tokens* in a window."""
        return TokenLimit((1.0 - BURST_SHARE) * tokens / self.window_s, BURST_SHARE * tokens)


class _Role(enum.Enum):
    """What an instance is for an account: first allocator, second allocator, or neither."""

    MAIN = "main"
    STANDBY = "standby"
    LOCAL = "own"


@dataclass(frozen=True, slots=True)
class QuotaPools:
    """The rate and burst of each bucket among which an account's allowed tokens are divided.

    Attributes:
        main: for the first instance in the account's order.
        standby: for the second instance.
        local: for the local bucket of each instance.
        saved: most tokens that the first instance saves for requests larger than its burst.
        start: tokens of the first instance's start allowance.
    """

    main: TokenLimit
    standby: TokenLimit
    local: TokenLimit
    saved: float
    start: float

    def limit_of(self, role: _Role) -> TokenLimit:
        """Return the rate and burst of the bucket for a role."""
        return {_Role.MAIN: self.main, _Role.STANDBY: self.standby, _Role.LOCAL: self.local}[role]


class QuotaOutcome(enum.Enum):
    """Result of a request for tokens.

    Attributes:
        GRANTED: the tokens are allocated.
        OVER_LIMIT: the bucket does not have them now.
        NOT_ALLOCATOR: this instance may not allocate tokens of the account.
    """

    GRANTED = "granted"
    OVER_LIMIT = "over-limit"
    NOT_ALLOCATOR = "not-mine"


@dataclass(frozen=True, slots=True)
class QuotaDecision:
    """The decision about a request for tokens.

    Attributes:
        outcome: whether the tokens are granted.
        retry_after_s: seconds until the caller should retry; 0 when unknown.
        left_tokens: tokens left in the bucket.
    """

    outcome: QuotaOutcome
    retry_after_s: float = 0.0
    left_tokens: float = 0.0


NOT_ALLOCATOR = QuotaDecision(QuotaOutcome.NOT_ALLOCATOR)


@dataclass
class _AccountBuckets:
    """The buckets of one account, by the role in which this instance takes tokens from them.

    Attributes:
        buckets: the buckets that were created.
        role: the last role that this instance had as an allocator of the account; LOCAL before
            that.
        had_allowance: whether this instance has used its start allowance for the account.
    """

    buckets: dict[_Role, TokenBucket] = field(default_factory=dict)
    role: _Role = _Role.LOCAL
    had_allowance: bool = False


class QuotaAllocator:
    """Allocates tokens of accounts to requests.

    This instance allocates to requests of all instances where it is the first or second instance of
    an account, and from its local buckets to requests that arrived here.

    Args:
        name: name of this instance.
        membership: the known instances.
        bounds: what the operators allow.
        now: time of the runtime's clock in seconds.
    """

    def __init__(
        self, *, name: str, membership: Membership, bounds: QuotaBounds, now: float
    ) -> None:
        self._name = name
        self._membership = membership
        self._bounds = bounds
        self._started_at = now
        self._accounts: dict[str, _AccountBuckets] = {}

    def allocate(
        self,
        account: Account,
        tokens: float,
        now: float,
        *,
        caller: str = "",
        within_s: float = math.inf,
    ) -> QuotaDecision:
        """Allocate tokens for a request that arrived at any instance.

        Args:
            account: the account of the request.
            tokens: tokens that it needs.
            now: time of the runtime's clock in seconds.
            caller: identifies the request, so that its retry gets the tokens promised to it.
            within_s: seconds within which its caller may retry.
        """
        role = self._role_for(account.name, now)
        if role is _Role.LOCAL:
            return NOT_ALLOCATOR
        return self._take_from(role, account, tokens, now, caller, within_s)

    def allocate_local(
        self,
        account: Account,
        tokens: float,
        now: float,
        *,
        caller: str = "",
        within_s: float = math.inf,
    ) -> QuotaDecision:
        """Allocate tokens for a request that arrived here while no allocator responds.

        The arguments are those of :meth:`allocate`.
        """
        if not self._membership.may_use_equal_share(now):
            return NOT_ALLOCATOR
        return self._take_from(_Role.LOCAL, account, tokens, now, caller, within_s)

    def return_tokens(
        self, account: Account, tokens: float, now: float, *, local: bool = False
    ) -> None:
        """Take back the tokens of a request that did not run.

        Args:
            account: the account of the request.
            tokens: the tokens that were allocated.
            now: time of the runtime's clock in seconds.
            local: whether they were allocated by :meth:`allocate_local`.
        """
        account_buckets = self._accounts.get(account.name)
        role = _Role.LOCAL if local else self._role_for(account.name, now)
        bucket = account_buckets.buckets.get(role) if account_buckets else None
        if bucket is not None and account.limit is not None:
            bucket.put_back(tokens, self._pools(account.limit).limit_of(role))

    def _take_from(
        self,
        role: _Role,
        account: Account,
        tokens: float,
        now: float,
        caller: str,
        within_s: float,
    ) -> QuotaDecision:
        assert account.limit is not None
        bucket = self._bucket(account.name, role, now)
        pools = self._pools(account.limit)
        limit = pools.limit_of(role)
        if role is not _Role.MAIN and tokens > limit.burst:
            # Only the first instance can decide on a request that is larger than this part.
            return NOT_ALLOCATOR
        if role is _Role.MAIN:
            self._add_start_allowance(account.name, bucket, pools, now)
        if role is _Role.MAIN and self._membership.is_entering(now):
            within_s = 0.0
        after_s = bucket.take(
            tokens,
            limit,
            now,
            pools.saved if role is _Role.MAIN else 0.0,
            caller=caller,
            within_s=within_s,
        )
        if after_s and role is _Role.MAIN and self._membership.is_entering(now):
            # The start allowance is not known yet.
            return NOT_ALLOCATOR
        outcome = QuotaOutcome.OVER_LIMIT if after_s else QuotaOutcome.GRANTED
        return QuotaDecision(outcome, after_s, bucket.level)

    def _pools(self, limit: TokenLimit) -> QuotaPools:
        return self._bounds.pools(limit, self._membership.fleet_size)

    def _add_start_allowance(
        self, account: str, bucket: TokenBucket, pools: QuotaPools, now: float
    ) -> None:
        """Add the start allowance to the first instance's bucket, once after a restart."""
        until = self._membership.start_allowance_until(account, now)
        account_buckets = self._accounts[account]
        if until is not None and not account_buckets.had_allowance:
            account_buckets.had_allowance = True
            bucket.add_allowance(pools.start, until)

    def _role_for(self, account: str, now: float) -> _Role:
        """Return what this instance is for an account now."""
        ranked = self._membership.rank_instances(account)
        if not self._membership.may_coordinate(now) or self._name not in ranked[:2]:
            return _Role.LOCAL
        return _Role.MAIN if ranked[0] == self._name else _Role.STANDBY

    def _bucket(self, account: str, role: _Role, now: float) -> TokenBucket:
        """Return the bucket for *role*.

        A new bucket begins to fill at the earliest time at which this instance may have got the
        role.
        """
        account_buckets = self._accounts.setdefault(account, _AccountBuckets())
        if role is not _Role.LOCAL and role is not account_buckets.role:
            # Another instance had this role until now, and its allocations are unknown here, so a
            # new bucket replaces the one of an earlier time in this role.
            account_buckets.buckets.pop(role, None)
            account_buckets.role = role
        if role not in account_buckets.buckets:
            since = (
                self._started_at
                if role is _Role.LOCAL
                else max(self._started_at, self._membership.changed_at)
            )
            account_buckets.buckets[role] = TokenBucket(
                min(since, now), promised_share=PROMISED_SHARE
            )
        return account_buckets.buckets[role]


class QuotaClient:
    """Chooses the instances to ask for tokens, and skips unresponsive ones.

    Args:
        name: name of this instance.
        membership: the known instances.
    """

    def __init__(self, *, name: str, membership: Membership) -> None:
        self._membership = membership
        self._order = CoordinatorOrder(name=name, membership=membership, max_misses=MAX_MISSES)

    def allocators(self, account: str, now: float) -> Sequence[str]:
        """Return the instances to ask for tokens, in this order until one grants or refuses."""
        return self._order.coordinators(account, now)

    def should_ask_again(
        self, outcome: QuotaOutcome, allocator: str, account: str, waited_s: float, now: float
    ) -> bool:
        """Whether to ask again, because the first instance of the account may be starting.

        Args:
            outcome: outcome of the last request for the tokens.
            allocator: the instance that decided; empty for none or the local part.
            account: name of the account.
            waited_s: seconds since the caller's request arrived.
            now: time of the runtime's clock in seconds.
        """
        return (
            outcome is not QuotaOutcome.GRANTED
            and waited_s < MAX_DECISION_WAIT_S
            and self.may_ask_again(allocator, account, now)
        )

    def may_ask_again(self, allocator: str, account: str, now: float) -> bool:
        """Whether an instance other than the first of the account decides while the fleet starts.

        Args:
            allocator: that instance; empty for none or the local part.
            account: name of the account.
            now: time of the runtime's clock in seconds.
        """
        return self._membership.is_settling(now) and allocator != self._membership.first_counted(
            account, now
        )

    def record_unresponsive(self, name: str, now: float) -> None:
        """Record that an instance did not respond.

        While the fleet starts, it is not skipped: it may respond a moment later.
        """
        if not self._membership.is_settling(now):
            self._order.record_unresponsive(name, now)

    def record_response(self, name: str) -> None:
        """Record that an instance responded, or that it has just joined."""
        self._order.record_response(name)
