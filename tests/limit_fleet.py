"""Instances that hand out requests to one server that names a limit, played."""

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
from limit_worlds import most_in_window
from member_fleet import ANSWER_S, MemberFleet, MemberNode

SERVER = "s"
# Seconds that the server takes for an answer.
SERVE_S = (0.02, 0.2)
# Most seconds from a request's permit until it reaches the server: its prompt is read elsewhere.
# One in five is that late; the others take milliseconds, and any may meet a slow connection.
LATE_S = PERMIT_TRANSIT_S
LATE_PART = 0.2
CONNECT_S = (0.001, 0.35)


@dataclass(kw_only=True)
class Node(MemberNode):
    """One life of an instance."""

    shared: SharedLimits
    standing: ServerStats = field(default_factory=ServerStats)


@dataclass
class Tally:
    """What became of requests.

    Attributes:
        arrived: when each reached the server.
        refused: how many were refused.
        waits: seconds that those waited that were granted.
    """

    arrived: list[float] = field(default_factory=list)
    refused: int = 0
    waits: list[float] = field(default_factory=list)


class LimitFleet(MemberFleet[Node]):
    """Plays instances before a server that names a limit, on a clock of its own.

    Args:
        count: instances.
        per_s: requests a second that the server takes; None for no limit.
        seed: of delays and losses.
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
        self._lives = 0

    def _born(self, name: str, members: Membership) -> Node:
        self._lives += 1
        shared = SharedLimits(name=name, membership=members, incarnation=self._lives, now=self.now)
        if self.per_s is not None:
            # As the note of a life before, or of others, tells.
            shared.advertised.record_limit(SERVER, self.per_s, self.now)
        node = Node(name=name, members=members, shared=shared)
        self.at(self.now, lambda: self._lend_on(node))
        return node

    def _has_come(self, node: Node, name: str) -> None:
        node.shared.record_joined(name)

    # Lending.

    def _lend_on(self, node: Node) -> None:
        wait_s = node.shared.renewal_interval_s * self._rng.uniform(0.8, 1.0)

        def lend() -> None:
            self._lend(node, list(node.shared.allocators(SERVER, self.now)))
            self._lend_on(node)

        self._later(node, wait_s, lend)

    def _lend(self, node: Node, left: list[str]) -> None:
        if node.shared.advertised.get(SERVER) is None or not left:
            return
        if left[0] == node.name:
            node.shared.use_local_share(SERVER, self.now)
            return

        def take(word: PermitDecision | None, *, silent: bool = False) -> None:
            if silent:
                self._lend(node, left[1:])

        self._question(node, left[0], None, take)

    # Requests.

    def request(self, name: str, within_s: float = 0.0) -> None:
        """Have a caller send a request to an instance."""
        node = self.nodes.get(name)
        if node is not None:
            self._later(node, 0.001, lambda: self._permit(node, within_s))

    def _permit(self, node: Node, within_s: float) -> None:
        if node.shared.advertised.get(SERVER) is None:
            self._use(node, self.now, float("inf"))
        elif node.standing.limited_until > self.now + within_s:
            self.tally.refused += 1
        else:
            self._ask(node, within_s, list(node.shared.allocators(SERVER, self.now)), self.now)

    def _ask(self, node: Node, within_s: float, left: list[str], asked: float) -> None:
        if not left or left[0] == node.name:
            self._end(node, node.shared.take_permit(SERVER, within_s, self.now), asked)
            return

        def take(word: PermitDecision | None, *, silent: bool = False) -> None:
            if word is None:
                self._ask(node, within_s, left[1:], asked)
            else:
                self._end(node, word, asked)

        self._question(node, left[0], within_s, take)

    def _question(self, node: Node, allocator: str, within_s: float | None, take: object) -> None:
        number = next(self._numbers)
        node.open[number] = take  # type: ignore[assignment]
        loan = node.shared.lease_out(SERVER, allocator, self.now)

        def silent() -> None:
            waiting = node.open.pop(number, None)
            if waiting is not None:
                node.shared.record_unresponsive(allocator, self.now)
                waiting(None, silent=True)  # type: ignore[call-arg]

        self._send(
            node, allocator, lambda other: self._answer(other, node.name, number, within_s, loan)
        )
        self._later(node, ANSWER_S, silent)

    def _answer(
        self, other: Node, asker: str, number: int, within_s: float | None, loan: ShareLease | None
    ) -> None:
        if loan is not None:
            other.shared.accept_lease(SERVER, asker, loan, self.now)
        word = None
        if within_s is not None:
            word = other.shared.take_permit(SERVER, within_s, self.now)
        stamp = other.shared.stamp(self.now)

        def deliver(node: Node) -> None:
            take = node.open.pop(number, None)
            if take is not None:
                node.shared.record_response(other.name, stamp)
                take(word)

        self._send(other, asker, deliver)

    def _end(self, node: Node, word: PermitDecision, asked: float) -> None:
        if not word.granted:
            node.standing.record_at_limit(self.now, word.after_s)
            self.tally.refused += 1
            return
        self.tally.waits.append(word.after_s)
        late_s = LATE_S if self._late and self._rng.random() < LATE_PART else 0.0
        until = asked + word.after_s + PERMIT_TRANSIT_S
        self._later(node, word.after_s + late_s, lambda: self._use(node, asked, until))

    def _use(self, node: Node, asked: float, until: float) -> None:
        """Send a request, if its permit holds."""
        if self.now > until:
            return
        sent = self.now

        def arrive() -> None:
            self.tally.arrived.append(self.now)
            per_s = self.per_s
            self._later(node, self._rng.uniform(*SERVE_S), lambda: self._hear(node, per_s, sent))

        self.at(self.now + self._rng.uniform(*CONNECT_S), arrive)

    def _hear(self, node: Node, per_s: float | None, sent: float) -> None:
        limits = node.shared.advertised
        if per_s is not None:
            limits.record_limit(SERVER, per_s, self.now)
        elif limits.record_no_limit(SERVER, sent):
            node.standing.limited_until = 0.0

    def worst(self, since: float = 0.0) -> int:
        """Return the most requests that reached the server within one window."""
        return most_in_window(moment for moment in self.tally.arrived if moment >= since)

    def arrived(self, since: float, until: float) -> int:
        """Return how many requests reached the server in a time."""
        return sum(since <= moment < until for moment in self.tally.arrived)
