"""Servers' limits that hold over all instances together, without anybody's leave.

Each instance has an equal share of what a server takes. It lends it, for seconds at a time, to the
instance that comes first for that server in an order that all know, and that one hands out requests
one by one, as many as the shares lent to it allow. Whoever finds nobody to ask has its own share
only, which is less than a request in a large fleet. Since no share is lent twice at a time, all
instances together never send more than the server takes, whoever can reach whom: halves of a fleet
that are cut off from each other hand out what their own members lent. Nothing is asked of the
store, so it goes on while that is away.

A share is lent from when the lender sent its word, and ends for the borrower at a time of the
borrower's own clock: the lender gives back the latest moment that it has seen of that clock, and
the time counts from there. So a word that was under way or lay unread for seconds lends nothing
beyond its time, and no two clocks have to agree.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from crankhinge.decisions._bounded import keep_newest
from crankhinge.decisions._limit_pool import LimitPool, LimitWord, burst
from crankhinge.decisions._members import Members
from crankhinge.decisions._named_limits import MOST_NAMED, NamedLimits
from crankhinge.decisions._silences import Silences

# Seconds for which a share is lent, at least and for each instance; it is lent anew thrice in that
# time. A borrower that dies takes the shares with it for as long; the more instances, the longer,
# so that whoever hands out gets no more such words in a large fleet.
LEND_S = 2.4
LEND_S_EACH = 0.08
LEND_TIMES = 3
# Instances that may hand out for a server, in its order, before one relies on its own share.
ALLOCATORS = 2
# Questions in a row that an instance may leave unanswered before it is passed over: a lossy link
# drops three datagrams in a hundred.
MISSES = 2


@dataclass(frozen=True, slots=True)
class Stamp:
    """A moment of a borrower's clock.

    Attributes:
        life: number of the borrower's life; a later one knows nothing of what was lent.
        at: on its clock, in seconds.
    """

    life: int
    at: float


@dataclass(frozen=True, slots=True)
class Loan:
    """A share as its lender tells.

    Attributes:
        stamp: the latest moment of the borrower's clock that the lender has seen.
        for_s: seconds for which it is lent.
        fleet: instances that the lender counts.
    """

    stamp: Stamp
    for_s: float
    fleet: int


class SharedLimits:
    """What one instance knows of servers' limits, lends and hands out.

    Args:
        name: of this instance.
        members: the instances.
        life: number of this instance's life, unlike that of any other.
        now: on the runtime's clock, in seconds.

    Attributes:
        limits: what servers name.
    """

    def __init__(self, *, name: str, members: Members, life: int, now: float) -> None:
        self.limits = NamedLimits()
        self._name = name
        self._members = members
        self._life = life
        self._began = now
        self._silences = Silences(MISSES)
        self._stamps: dict[str, Stamp] = {}
        self._pools: dict[str, LimitPool] = {}
        # To whom the own share of a server's limit is lent, and until when.
        self._lent: dict[str, tuple[str, float]] = {}

    # Who hands out.

    def allocators(self, server: str, now: float) -> Sequence[str]:
        """Return whom to ask, one after the other, until one answers."""
        return [
            name
            for name in self._members.ranked(server)[:ALLOCATORS]
            if name == self._name or not self._silences.passed_over(name, now)
        ]

    def hands_out(self, server: str) -> bool:
        """Whether others may ask this instance for requests to a server."""
        return self._name in self._members.ranked(server)[:ALLOCATORS]

    def silent(self, name: str, now: float) -> None:
        """Note that an instance did not answer."""
        self._silences.silent(name, now)

    def answered(self, name: str, stamp: Stamp) -> None:
        """Note that an instance answered, and the moment of its clock that it told."""
        self._silences.answered(name)
        self._stamps[name] = stamp

    def has_come(self, name: str) -> None:
        """Note that an instance has come."""
        self._silences.answered(name)

    # Lending.

    @property
    def lend_s(self) -> float:
        """For how long shares are lent, in seconds."""
        return max(LEND_S, LEND_S_EACH * self._members.fleet)

    @property
    def renew_s(self) -> float:
        """Seconds between words that lend the share anew."""
        return self.lend_s / LEND_TIMES

    def lend(self, server: str, borrower: str, now: float) -> Loan | None:
        """Lend the own share of a server's limit; None where it can't be lent to that instance."""
        stamp = self._stamps.get(borrower)
        # Lent to one that is gone, the share would be nobody's for as long.
        if stamp is None or self._silences.doubted(borrower):
            return None
        if not self._may_lend(server, borrower, now):
            return None
        for_s = self.lend_s
        self._note_lent(server, borrower, now + for_s)
        return Loan(stamp, for_s, self._members.fleet)

    def _may_lend(self, server: str, borrower: str, now: float) -> bool:
        # A life before may have lent it.
        if not self._members.knows_fleet(now) or now < self._began + self.lend_s:
            return False
        to, until = self._lent.get(server, (borrower, 0.0))
        return to == borrower or until <= now

    def _note_lent(self, server: str, borrower: str, until: float) -> None:
        keep_newest(self._lent, server, (borrower, until), MOST_NAMED)

    # Handing out.

    def stamp(self, now: float) -> Stamp:
        """Return this moment of this instance's clock, for those that lend to it."""
        return Stamp(self._life, now)

    def borrow(self, server: str, lender: str, loan: Loan, now: float) -> None:
        """Take the share of another instance."""
        if loan.stamp.life != self._life or loan.stamp.at > now:
            return
        pool = self._pool(server, now)
        if pool is not None:
            until = loan.stamp.at + loan.for_s
            pool.lend(lender, until, self._members.fleet, now, counted=loan.fleet)

    def hand_out(
        self, server: str, within_s: float, now: float, *, caller: bool = False
    ) -> LimitWord:
        """Hand out a request to a server, or tell when to ask again.

        Args:
            server: its identity.
            within_s: seconds within which the request is to be sent.
            now: on the runtime's clock, in seconds.
            caller: whether a caller is told when to come back.
        """
        pool = self._pool(server, now)
        if pool is None:
            return LimitWord(True)
        self.use_own(server, now)
        return pool.take(within_s, self._members.fleet, now, caller=caller)

    def use_own(self, server: str, now: float) -> None:
        """Lend the own share to this instance itself, where that lets it send anything."""
        pool = self._pool(server, now)
        if pool is None or not self._may_lend(server, self._name, now):
            return
        fleet = self._members.fleet
        if not self.hands_out(server) and burst(pool.per_s, 1.0 / fleet) < 1.0:
            return
        until = now + self.lend_s
        self._note_lent(server, self._name, until)
        pool.lend(self._name, until, fleet, now, counted=fleet)

    def give_back(self, server: str, now: float) -> None:
        """Take back a request that was not sent."""
        pool = self._pool(server, now)
        if pool is not None:
            pool.give_back(self._members.fleet, now)

    def part(self, server: str) -> float:
        """Return the part of a server's limit that was lent to this instance."""
        pool = self._pools.get(server)
        return 0.0 if pool is None else pool.part(self._members.fleet)

    def _pool(self, server: str, now: float) -> LimitPool | None:
        """Return what may be sent to a server; None where it names no limit."""
        limit = self.limits.get(server)
        if limit is None:
            self._pools.pop(server, None)
            return None
        pool = self._pools.get(server)
        if pool is None:
            pool = LimitPool(limit.per_s, now)
            keep_newest(self._pools, server, pool, MOST_NAMED)
        elif pool.per_s != limit.per_s:
            pool.rate(limit.per_s, self._members.fleet, now)
        return pool
