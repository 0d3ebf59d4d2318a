"""What one instance has seen of a backend server: load, speed, failures."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from crankhinge.decisions._breaker import Breaker
from crankhinge.decisions._servers import EngineRole, Server

# Weight of the newest sample in the averages: some ten requests shape them.
EWMA_WEIGHT = 0.15
# How much a failure share of one makes a server look slower.
FAILURE_FACTOR = 8.0
# Before anything was seen of any server all count as this fast, in seconds.
DEFAULT_RESPONSE_S = 0.05
# An engine that had no room for a reservation is asked again after this long, in seconds: with
# twelve answers of three seconds in its memory, one ends four times as rarely.
NO_CAPACITY_PAUSE_S = 0.06
# After a refusal a server is left alone for this long, in seconds; twice as long after each further
# one, up to the most. An engine that changes its part refuses for six seconds or more, and all
# instances together may repeat a fifth of their requests only; a plain server that refuses at once
# looks least busy, and would get most of the next calls.
REFUSAL_PAUSE_S = 0.7
MAX_REFUSAL_PAUSE_S = 6.0
# A server in another availability zone looks this much slower; a few percent is what the way costs.
OTHER_ZONE_FACTOR = 1.1


@dataclass(frozen=True, slots=True)
class RoleChange:
    """An order that a server has taken.

    Attributes:
        role: the part that it will play.
        until: when it does at the latest, or the order is over.
    """

    role: EngineRole
    until: float


@dataclass
class ServerStats:
    """Beliefs about one server; ages are those of the requests that shaped them.

    Attributes:
        open_requests: requests of this instance in progress there.
        reserved_tokens: memory in tokens that those requests take.
        mean_response_s: average time of an answer; 0 before the first.
        failure_share: average share of failures.
        full_until: when to ask again after it refused for want of room; a guess. What it asks for
            itself is kept in :class:`ServerExclusions`.
        limited_until: when it may be sent more than it says it takes all together.
        consecutive_refusals: in a row.
        is_replaced: another server has its address.
        role_change: the last order that it is known to have taken.
    """

    open_requests: int = 0
    reserved_tokens: int = 0
    mean_response_s: float = 0.0
    failure_share: float = 0.0
    full_until: float = 0.0
    limited_until: float = 0.0
    consecutive_refusals: int = 0
    is_replaced: bool = False
    role_change: RoleChange | None = None
    breaker: Breaker = field(default_factory=Breaker)

    def effective_role(self, listed_role: EngineRole, now: float) -> EngineRole:
        """Return the part that it takes work for, when its entry tells *listed_role*.

        From an order on it refuses work for its old part, and its entry tells the new one some six
        seconds later. What is sent until then is refused, and each refusal is a repeat.
        """
        change = self.role_change
        return listed_role if change is None or now >= change.until else change.role

    def record_success(self, took_s: float) -> None:
        """Note an answer."""
        self.record_duration(took_s)
        self.failure_share *= 1 - EWMA_WEIGHT
        self.consecutive_refusals = 0
        self.breaker.record_success()

    def record_duration(self, seconds: float) -> None:
        """Note how long a request took, or how long it was waited for in vain."""
        # The first tells all: averages that begin elsewhere take a reader's ten answers to arrive.
        self.mean_response_s += (EWMA_WEIGHT if self.mean_response_s else 1.0) * (
            seconds - self.mean_response_s
        )

    def record_failure(self, now: float) -> None:
        """Note a failure of the server itself."""
        self.failure_share += EWMA_WEIGHT * (1 - self.failure_share)
        self.breaker.record_failure(now)

    def record_refusal(self, now: float) -> None:
        """Note that the server took a request up without running it."""
        self.failure_share += EWMA_WEIGHT * (1 - self.failure_share)
        self.full_until = now + min(
            MAX_REFUSAL_PAUSE_S, REFUSAL_PAUSE_S * 2.0**self.consecutive_refusals
        )
        self.consecutive_refusals = min(10, self.consecutive_refusals + 1)

    def record_no_capacity(self, now: float, rng: random.Random) -> None:
        """Note that it had no room for a reservation; instances ask again at different times."""
        # The pause after a refusal is longer, and no shorter for this.
        self.full_until = max(self.full_until, now + NO_CAPACITY_PAUSE_S * rng.uniform(0.7, 1.3))

    def record_at_limit(self, now: float, after_s: float) -> None:
        """Note that it may be sent a request in *after_s*; several may be told different times."""
        until = now + after_s
        known = self.limited_until
        self.limited_until = min(known, until) if known > now else until

    def expected_cost(self, default_response_s: float, *, other_zone: bool) -> float:
        """Return the expected wait there, in arbitrary units.

        Args:
            default_response_s: what an answer is held to take where nothing was seen, in seconds.
            other_zone: whether it is in another availability zone.
        """
        took_s = max(self.mean_response_s or default_response_s, 0.001)
        base = (self.open_requests + 1) * took_s * (1 + FAILURE_FACTOR * self.failure_share)
        return base * (OTHER_ZONE_FACTOR if other_zone else 1.0)


def _default_response_s(all_stats: Iterable[ServerStats]) -> float:
    """Return what an answer is held to take at a server of which nothing was seen, in seconds.

    As the others on the mean: held for faster, a reader that came in the place of another would get
    the requests of all instances at once.
    """
    seen = [stats.mean_response_s for stats in all_stats if stats.mean_response_s]
    return sum(seen) / len(seen) if seen else DEFAULT_RESPONSE_S


def pick_server(
    servers: Iterable[Server],
    stats_of: Callable[[str], ServerStats],
    *,
    zone: str,
    now: float,
    rng: random.Random,
    avoid: frozenset[str] = frozenset(),
) -> Server | None:
    """Return the server with the least expected wait, or None when there is none.

    Servers that take no more now are out of the question. Those whose breaker is open, or that
    refused a moment ago without a word on when to come back, are taken only when there is no other.
    """
    candidates = [
        server
        for server in servers
        if server.incarnation_id not in avoid
        and stats_of(server.incarnation_id).limited_until <= now
    ]
    healthy = [
        server
        for server in candidates
        if stats_of(server.incarnation_id).breaker.allows_request(now)
        and stats_of(server.incarnation_id).full_until <= now
    ]
    choice = healthy or candidates
    if not choice:
        return None
    default_response_s = _default_response_s(stats_of(server.incarnation_id) for server in choice)
    costs = {
        server.incarnation_id: stats_of(server.incarnation_id).expected_cost(
            default_response_s, other_zone=server.zone != zone
        )
        * rng.uniform(1.0, 1.2)
        for server in choice
    }
    return min(choice, key=lambda server: costs[server.incarnation_id])
