"""What one instance measured of each backend server, and the choice of a server by that."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from crankhinge.decisions._breaker import Breaker
from crankhinge.decisions._servers import EngineRole, Server

# Weight of the newest sample in the moving averages: about ten requests determine them.
EWMA_WEIGHT = 0.15
# How strongly failures raise the cost of a server: the cost is multiplied by 1 plus this factor
# times the failure share.
FAILURE_FACTOR = 8.0
# Assumed response time, in seconds, while no server of a choice has been measured.
DEFAULT_RESPONSE_S = 0.05
# Seconds until an engine that had no capacity for a reservation is tried again. An engine with
# twelve answers of three seconds each in its memory completes one only about every four of these
# intervals.
NO_CAPACITY_PAUSE_S = 0.06
# Seconds for which a server that refused a request is avoided; doubled with each further refusal in
# a row, up to the maximum. An engine that changes its role refuses requests for six seconds or
# more, and all instances together may retry only a fifth of their requests. A plain server that
# refuses at once looks least busy, and would get most of the next calls without this pause.
REFUSAL_PAUSE_S = 0.7
MAX_REFUSAL_PAUSE_S = 6.0
# Cost factor of a server in another availability zone: the network adds a few percent.
OTHER_ZONE_FACTOR = 1.1


@dataclass(frozen=True, slots=True)
class RoleChange:
    """An order to change its role, accepted by a server.

    Attributes:
        role: its next role.
        until: time by which the change is complete, or else the order is void; the role in the
            server's entry counts again from then on.
    """

    role: EngineRole
    until: float


@dataclass
class ServerStats:
    """What this instance measured of one server.

    Attributes:
        open_requests: this instance's requests in progress on the server.
        reserved_tokens: KV memory that those requests occupy, in tokens.
        mean_response_s: moving average of the response time; 0 before the first response.
        failure_share: moving average of the share of failed requests, from 0 to 1.
        full_until: when to try the server again after it refused a request or had no capacity; an
            estimate. A backoff that the server itself asks for is kept in
            :class:`ServerExclusions`.
        limited_until: time before which no request may be sent to it under the limit that it
            advertises for all instances together.
        consecutive_refusals: refusals since the last success.
        is_replaced: whether another server has its address now.
        role_change: the last order to change its role that it is known to have accepted.
        open_reservation_ids: ids of the reservations that requests have made there and not ended.
        breaker: its circuit breaker.
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
    open_reservation_ids: set[str] = field(default_factory=set)
    breaker: Breaker = field(default_factory=Breaker)

    def effective_role(self, listed_role: EngineRole, now: float) -> EngineRole:
        """Return the role for which the server accepts requests now.

        Once it has accepted an order, a server refuses requests for its old role, but its entry in
        the list shows the new role only about six seconds later. Requests sent for the listed role
        until then would be refused, and each refusal costs a retry.

        Args:
            listed_role: the role in its entry.
            now: time of the runtime's clock in seconds.
        """
        change = self.role_change
        return listed_role if change is None or now >= change.until else change.role

    def record_success(self, took_s: float) -> None:
        """Record a successful response that took *took_s* seconds."""
        self.record_duration(took_s)
        self.failure_share *= 1 - EWMA_WEIGHT
        self.consecutive_refusals = 0
        self.breaker.record_success()

    def record_duration(self, seconds: float) -> None:
        """Record how long a request took, or how long this instance waited for it in vain."""
        # The first sample sets the average: starting from any other value, the average would need
        # about ten requests to become realistic on a prefill engine.
        self.mean_response_s += (EWMA_WEIGHT if self.mean_response_s else 1.0) * (
            seconds - self.mean_response_s
        )

    def record_failure(self, now: float) -> None:
        """Record a failure of the server itself."""
        self.failure_share += EWMA_WEIGHT * (1 - self.failure_share)
        self.breaker.record_failure(now)

    def record_refusal(self, now: float) -> None:
        """Record that the server refused a request without running it."""
        self.failure_share += EWMA_WEIGHT * (1 - self.failure_share)
        self.full_until = now + min(
            MAX_REFUSAL_PAUSE_S, REFUSAL_PAUSE_S * 2.0**self.consecutive_refusals
        )
        self.consecutive_refusals = min(10, self.consecutive_refusals + 1)

    def record_no_capacity(self, now: float, rng: random.Random) -> None:
        """Record that it had no capacity for a reservation, and pause for a random time.

        The random factor keeps instances from trying the engine again at the same moment.
        """
        # The pause after a refusal is longer and must not be shortened here.
        self.full_until = max(self.full_until, now + NO_CAPACITY_PAUSE_S * rng.uniform(0.7, 1.3))

    def record_at_limit(self, now: float, after_s: float) -> None:
        """Record that a request may be sent in *after_s* seconds, under the advertised limit.

        Of several times that have not passed yet the earliest counts.
        """
        until = now + after_s
        known = self.limited_until
        self.limited_until = min(known, until) if known > now else until

    def expected_cost(self, default_response_s: float, *, other_zone: bool) -> float:
        """Return the cost of sending a request to this server; only comparisons are meaningful.

        Args:
            default_response_s: response time to assume when none has been measured, in seconds.
            other_zone: whether the server is in another availability zone.
        """
        took_s = max(self.mean_response_s or default_response_s, 0.001)
        base = (self.open_requests + 1) * took_s * (1 + FAILURE_FACTOR * self.failure_share)
        return base * (OTHER_ZONE_FACTOR if other_zone else 1.0)


def _default_response_s(all_stats: Iterable[ServerStats]) -> float:
    """Return the response time to assume for a server without measurements, in seconds.

    This is the mean of the others. If it were lower, a prefill engine that replaces another one
    would get the requests of all instances at once.
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
    """Return the server with the lowest expected cost; None when there is none.

    Servers that are at their advertised limit are never chosen. Servers whose breaker is open, or
    that refused a request a moment ago without naming a time to retry, are chosen only when there
    is no other.

    Args:
        servers: the servers that may be chosen.
        stats_of: returns what this instance measured of a server, by incarnation id.
        zone: availability zone of this instance.
        now: time of the runtime's clock in seconds.
        rng: varies the costs, so that instances with the same measurements choose differently.
        avoid: incarnation ids of servers that must not be chosen.
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
