"""Simulation of instances that send requests to one server with an advertised limit."""

from __future__ import annotations

from dataclasses import dataclass, field

from crankhinge.decisions import (
    PERMIT_TRANSIT_S,
    Membership,
    PermitDecision,
    ServerStats,
    SharedLimits,
    ShareLease,
)
from limit_worlds import max_in_window
from member_fleet import RESPONSE_TIMEOUT_S, MemberFleet, MemberNode

SERVER = "s"
# Response time of the server, in seconds.
RESPONSE_S = (0.02, 0.2)
# Delay of a late request between its permit and its connection to the server, in seconds: another
# engine processes its prompt first. One request in five is late; the others are sent at once, and
# any may have a slow connection.
LATE_SEND_S = PERMIT_TRANSIT_S
LATE_SHARE = 0.2
CONNECT_S = (0.001, 0.35)


@dataclass(kw_only=True)
class LimitNode(MemberNode):
    """One incarnation of a simulated instance."""

    shared: SharedLimits
    stats: ServerStats = field(default_factory=ServerStats)


@dataclass
class Tally:
    """What became of the requests of a simulated fleet.

    Attributes:
        arrived: when each request reached the server.
        refused: number of refused requests.
        waits: seconds that the granted requests had to wait.
    """

    arrived: list[float] = field(default_factory=list)
    refused: int = 0
    waits: list[float] = field(default_factory=list)


class LimitFleet(MemberFleet[LimitNode]):
    """Simulates instances that send requests to one server, on a clock of its own.

    Args:
        count: number of instances.
        per_s: requests a second that the server advertises as its limit; None for no limit.
        seed: seed of delays and losses.
        loss: share of datagrams that are lost.
        late: whether some requests reach the server long after their permit.
    """

    def __init__(
        self,
        count: int,
        per_s: float | None,
        *,
        seed: int = 1,
        loss: float = 0.0,
        late: bool = False,
    ) -> None:
        super().__init__(count, seed=seed, loss=loss)
        self.per_s = per_s
        self.tally = Tally()
        self._late = late
        self._incarnations = 0

    def _make_node(self, name: str, membership: Membership) -> LimitNode:
        self._incarnations += 1
        shared = SharedLimits(
            name=name, membership=membership, incarnation=self._incarnations, now=self.now
        )
        if self.per_s is not None:
            # The instance reads the limit in its earlier record or in those of other instances.
            shared.advertised.record_limit(SERVER, self.per_s, self.now)
        node = LimitNode(name=name, membership=membership, shared=shared)
        self.at(self.now, lambda: self._schedule_lease_renewal(node))
        return node

    def _record_joined(self, node: LimitNode, name: str) -> None:
        node.shared.record_joined(name)

    # Share leases.

    def _schedule_lease_renewal(self, node: LimitNode) -> None:
        wait_s = node.shared.renewal_interval_s * self._rng.uniform(0.8, 1.0)

        def renew() -> None:
            self._renew_share_lease(node, list(node.shared.allocators(SERVER, self.now)))
            self._schedule_lease_renewal(node)

        self._schedule(node, wait_s, renew)

    def _renew_share_lease(self, node: LimitNode, remaining: list[str]) -> None:
        if node.shared.advertised.get(SERVER) is None or not remaining:
            return
        if remaining[0] == node.name:
            node.shared.use_local_share(SERVER, self.now)
            return

        def handle(decision: PermitDecision | None, *, unresponsive: bool = False) -> None:
            if unresponsive:
                self._renew_share_lease(node, remaining[1:])

        self._send_request(node, remaining[0], None, handle)

    # Requests.

    def request(self, name: str, within_s: float = 0.0) -> None:
        """Have a caller send a request, which may wait *within_s* for a permit, to an instance."""
        node = self.nodes.get(name)
        if node is not None:
            self._schedule(node, 0.001, lambda: self._request_permit(node, within_s))

    def _request_permit(self, node: LimitNode, within_s: float) -> None:
        if node.shared.advertised.get(SERVER) is None:
            self._use_permit(node, self.now, float("inf"))
        elif node.stats.limited_until > self.now + within_s:
            self.tally.refused += 1
        else:
            self._ask_allocator(
                node, within_s, list(node.shared.allocators(SERVER, self.now)), self.now
            )

    def _ask_allocator(
        self, node: LimitNode, within_s: float, remaining: list[str], requested_at: float
    ) -> None:
        if not remaining or remaining[0] == node.name:
            self._record_decision(
                node, node.shared.take_permit(SERVER, within_s, self.now), requested_at
            )
            return

        def handle(decision: PermitDecision | None, *, unresponsive: bool = False) -> None:
            if decision is None:
                self._ask_allocator(node, within_s, remaining[1:], requested_at)
            else:
                self._record_decision(node, decision, requested_at)

        self._send_request(node, remaining[0], within_s, handle)

    def _send_request(
        self, node: LimitNode, allocator: str, within_s: float | None, handle: object
    ) -> None:
        number = next(self._request_numbers)
        node.pending[number] = handle  # type: ignore[assignment]
        lease = node.shared.lease_out(SERVER, allocator, self.now)

        def on_timeout() -> None:
            handler = node.pending.pop(number, None)
            if handler is not None:
                node.shared.record_unresponsive(allocator, self.now)
                handler(None, unresponsive=True)  # type: ignore[call-arg]

        self._send(
            node, allocator, lambda other: self._respond(other, node.name, number, within_s, lease)
        )
        self._schedule(node, RESPONSE_TIMEOUT_S, on_timeout)

    def _respond(
        self,
        other: LimitNode,
        requester: str,
        number: int,
        within_s: float | None,
        lease: ShareLease | None,
    ) -> None:
        if lease is not None:
            other.shared.accept_lease(SERVER, requester, lease, self.now)
        decision = None
        if within_s is not None:
            decision = other.shared.take_permit(SERVER, within_s, self.now)
        stamp = other.shared.stamp(self.now)

        def deliver(node: LimitNode) -> None:
            handle = node.pending.pop(number, None)
            if handle is not None:
                node.shared.record_response(other.name, stamp)
                handle(decision)

        self._send(other, requester, deliver)

    def _record_decision(
        self, node: LimitNode, decision: PermitDecision, requested_at: float
    ) -> None:
        if not decision.granted:
            node.stats.record_at_limit(self.now, decision.after_s)
            self.tally.refused += 1
            return
        self.tally.waits.append(decision.after_s)
        late_s = LATE_SEND_S if self._late and self._rng.random() < LATE_SHARE else 0.0
        until = requested_at + decision.after_s + PERMIT_TRANSIT_S
        self._schedule(
            node, decision.after_s + late_s, lambda: self._use_permit(node, requested_at, until)
        )

    def _use_permit(self, node: LimitNode, requested_at: float, until: float) -> None:
        """Send a request to the server, unless its permit has expired meanwhile."""
        if self.now > until:
            return
        sent = self.now

        def arrive() -> None:
            self.tally.arrived.append(self.now)
            per_s = self.per_s
            self._schedule(
                node,
                self._rng.uniform(*RESPONSE_S),
                lambda: self._receive_response(node, per_s, sent),
            )

        self.at(self.now + self._rng.uniform(*CONNECT_S), arrive)

    def _receive_response(self, node: LimitNode, per_s: float | None, sent: float) -> None:
        limits = node.shared.advertised
        if per_s is not None:
            limits.record_limit(SERVER, per_s, self.now)
        elif limits.record_no_limit(SERVER, sent):
            node.stats.limited_until = 0.0

    def max_requests_in_window(self, since: float = 0.0) -> int:
        """Return the highest number of requests that reached the server within one window."""
        return max_in_window(moment for moment in self.tally.arrived if moment >= since)

    def arrived(self, since: float, until: float) -> int:
        """Return how many requests reached the server between two times."""
        return sum(since <= moment < until for moment in self.tally.arrived)
