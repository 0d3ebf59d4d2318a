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

from crankhinge.decisions._advertised_limits import MAX_TRACKED_SERVERS, AdvertisedLimits
from crankhinge.decisions._bounded import keep_newest
from crankhinge.decisions._membership import Membership
from crankhinge.decisions._permit_pool import PermitDecision, PermitPool, burst_limit
from crankhinge.decisions._unresponsive import UnresponsivePeers

# Seconds for which a share is lent, at least and for each instance; it is lent anew thrice in that
# time. A borrower that dies takes the shares with it for as long; the more instances, the longer,
# so that whoever hands out gets no more such words in a large fleet.
MIN_SHARE_LEASE_S = 2.4
SHARE_LEASE_S_PER_INSTANCE = 0.08
RENEWALS_PER_LEASE = 3
# Instances that may hand out for a server, in its order, before one relies on its own share.
MAX_ALLOCATORS = 2
# Questions in a row that an instance may leave unanswered before it is passed over: a lossy link
# drops three datagrams in a hundred.
MAX_MISSES = 2


@dataclass(frozen=True, slots=True)
class ClockStamp:
    """A moment of a borrower's clock.

    Attributes:
        incarnation: number of the borrower's life; a later one knows nothing of what was lent.
        at: on its clock, in seconds.
    """

    incarnation: int
    at: float


@dataclass(frozen=True, slots=True)
class ShareLease:
    """A share as its lender tells.

    Attributes:
        stamp: the latest moment of the borrower's clock that the lender has seen.
        duration_s: seconds for which it is lent.
        fleet_size: instances that the lender counts.
    """

    stamp: ClockStamp
    duration_s: float
    fleet_size: int


class SharedLimits:
    """What one instance knows of servers' limits, lends and hands out.

    Args:
        name: of this instance.
        membership: the instances.
        incarnation: number of this instance's life, unlike that of any other.
        now: on the runtime's clock, in seconds.

    Attributes:
        advertised: what servers name.
    """

    def __init__(self, *, name: str, membership: Membership, incarnation: int, now: float) -> None:
        self.advertised = AdvertisedLimits()
        self._name = name
        self._membership = membership
        self._incarnation = incarnation
        self._started_at = now
        self._unresponsive = UnresponsivePeers(MAX_MISSES)
        self._clock_stamps: dict[str, ClockStamp] = {}
        self._pools: dict[str, PermitPool] = {}
        # To whom the own share of a server's limit is lent, and until when.
        self._leased_out: dict[str, tuple[str, float]] = {}

    # Who hands out.

    def allocators(self, server: str, now: float) -> Sequence[str]:
        """Return whom to ask, one after the other, until one answers."""
        return [
            name
            for name in self._membership.rank_instances(server)[:MAX_ALLOCATORS]
            if name == self._name or not self._unresponsive.is_skipped(name, now)
        ]

    def is_allocator(self, server: str) -> bool:
        """Whether others may ask this instance for requests to a server."""
        return self._name in self._membership.rank_instances(server)[:MAX_ALLOCATORS]

    def record_unresponsive(self, name: str, now: float) -> None:
        """Note that an instance did not answer."""
        self._unresponsive.record_unresponsive(name, now)

    def record_response(self, name: str, stamp: ClockStamp) -> None:
        """Note that an instance answered, and the moment of its clock that it told."""
        self._unresponsive.record_response(name)
        self._clock_stamps[name] = stamp

    def record_joined(self, name: str) -> None:
        """Note that an instance has come."""
        self._unresponsive.record_response(name)

    # Lending.

    @property
    def lease_s(self) -> float:
        """For how long shares are lent, in seconds."""
        return max(MIN_SHARE_LEASE_S, SHARE_LEASE_S_PER_INSTANCE * self._membership.fleet_size)

    @property
    def renewal_interval_s(self) -> float:
        """Seconds between words that lend the share anew."""
        return self.lease_s / RENEWALS_PER_LEASE

    def lease_out(self, server: str, allocator: str, now: float) -> ShareLease | None:
        """Lend the own share of a server's limit; None where it can't be lent to that instance."""
        clock_stamp = self._clock_stamps.get(allocator)
        # Lent to one that is gone, the share would be nobody's for as long.
        if clock_stamp is None or self._unresponsive.missed_last(allocator):
            return None
        if not self._may_lease(server, allocator, now):
            return None
        duration_s = self.lease_s
        self._record_leased(server, allocator, now + duration_s)
        return ShareLease(clock_stamp, duration_s, self._membership.fleet_size)

    def _may_lease(self, server: str, allocator: str, now: float) -> bool:
        # A life before may have lent it.
        if not self._membership.may_use_equal_share(now) or now < self._started_at + self.lease_s:
            return False
        leased_to, until = self._leased_out.get(server, (allocator, 0.0))
        return leased_to == allocator or until <= now

    def _record_leased(self, server: str, allocator: str, until: float) -> None:
        keep_newest(self._leased_out, server, (allocator, until), MAX_TRACKED_SERVERS)

    # Handing out.

    def stamp(self, now: float) -> ClockStamp:
        """Return this moment of this instance's clock, for those that lend to it."""
        return ClockStamp(self._incarnation, now)

    def accept_lease(self, server: str, lender: str, lease: ShareLease, now: float) -> None:
        """Take the share of another instance."""
        if lease.stamp.incarnation != self._incarnation or lease.stamp.at > now:
            return
        pool = self._permit_pool(server, now)
        if pool is not None:
            until = lease.stamp.at + lease.duration_s
            pool.add_share(
                lender, until, self._membership.fleet_size, now, lender_fleet_size=lease.fleet_size
            )

    def take_permit(
        self, server: str, within_s: float, now: float, *, for_caller: bool = False
    ) -> PermitDecision:
        """Hand out a request to a server, or tell when to ask again.

        Args:
            server: its identity.
            within_s: seconds within which the request is to be sent.
            now: on the runtime's clock, in seconds.
            for_caller: whether a caller is told when to come back.
        """
        pool = self._permit_pool(server, now)
        if pool is None:
            return PermitDecision(True)
        self.use_local_share(server, now)
        return pool.take_permit(within_s, self._membership.fleet_size, now, for_caller=for_caller)

    def use_local_share(self, server: str, now: float) -> None:
        """Lend the own share to this instance itself, where that lets it send anything."""
        pool = self._permit_pool(server, now)
        if pool is None or not self._may_lease(server, self._name, now):
            return
        fleet_size = self._membership.fleet_size
        if not self.is_allocator(server) and burst_limit(pool.per_s, 1.0 / fleet_size) < 1.0:
            return
        until = now + self.lease_s
        self._record_leased(server, self._name, until)
        pool.add_share(self._name, until, fleet_size, now, lender_fleet_size=fleet_size)

    def return_permit(self, server: str, now: float) -> None:
        """Take back a request that was not sent."""
        pool = self._permit_pool(server, now)
        if pool is not None:
            pool.return_permit(self._membership.fleet_size, now)

    def leased_fraction(self, server: str) -> float:
        """Return the part of a server's limit that was lent to this instance."""
        pool = self._pools.get(server)
        return 0.0 if pool is None else pool.leased_fraction(self._membership.fleet_size)

    def _permit_pool(self, server: str, now: float) -> PermitPool | None:
        """Return what may be sent to a server; None where it names no limit."""
        limit = self.advertised.get(server)
        if limit is None:
            self._pools.pop(server, None)
            return None
        pool = self._pools.get(server)
        if pool is None:
            pool = PermitPool(limit.per_s, now)
            keep_newest(self._pools, server, pool, MAX_TRACKED_SERVERS)
        elif pool.per_s != limit.per_s:
            pool.set_rate(limit.per_s, self._membership.fleet_size, now)
        return pool
