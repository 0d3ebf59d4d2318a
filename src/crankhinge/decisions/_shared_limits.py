"""Advertised limits of servers, kept over all instances together without a central coordinator.

Each instance has an equal share of the rate that a server accepts. It leases its share, for seconds
at a time, to the instance that is first for that server in an order that all instances compute
alike (the allocator). The allocator grants permits for single requests, as many as the shares
leased to it allow. An instance that reaches no allocator has only its local share, which is less
than one request in a large fleet. A share is never leased to two instances at a time, so all
instances together never send more than the server accepts, whichever instances can reach each
other: when a network fault splits the fleet, each part grants what its own instances leased. The
store is not involved, so this also works while the store is unreachable.

A lease begins when the lender sends it, and ends at a time of the allocator's clock. The lender
sends back the latest time of that clock that it has received, and the duration counts from that
time. So a message that was delayed by seconds leases nothing beyond its end, and clocks need not be
synchronized.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from crankhinge.decisions._advertised_limits import MAX_TRACKED_SERVERS, AdvertisedLimits
from crankhinge.decisions._bounded import keep_newest
from crankhinge.decisions._membership import Membership
from crankhinge.decisions._permit_pool import PermitDecision, PermitPool, burst_limit
from crankhinge.decisions.coordination import CoordinatorOrder

# Duration of a lease in seconds: the minimum, and the amount for each instance of the fleet. A
# lease is renewed three times in its duration. When the allocator crashes, the shares leased to it
# stay unused until their leases end. The duration grows with the number of instances so that the
# allocator does not receive more renewals per second in a large fleet.
MIN_SHARE_LEASE_S = 2.4
SHARE_LEASE_S_PER_INSTANCE = 0.08
RENEWALS_PER_LEASE = 3
# Unanswered requests in a row after which an instance is skipped: a lossy link drops three
# datagrams in a hundred.
MAX_MISSES = 2


@dataclass(frozen=True, slots=True)
class ClockStamp:
    """A time of the allocator's clock.

    Attributes:
        incarnation: number of the allocator's incarnation; a later incarnation knows nothing of the
            shares leased to this one.
        at: time of its clock, in seconds.
    """

    incarnation: int
    at: float


@dataclass(frozen=True, slots=True)
class ShareLease:
    """The lease of a share, as sent by the lender.

    Attributes:
        stamp: the latest time of the allocator's clock that the lender has received.
        duration_s: duration of the lease in seconds, counted from the stamp.
        fleet_size: number of instances that the lender counts.
    """

    stamp: ClockStamp
    duration_s: float
    fleet_size: int


class SharedLimits:
    """The advertised limits as one instance knows them, its leases of shares, and its permits.

    Args:
        name: name of this instance.
        membership: the known instances.
        incarnation: number of this instance's incarnation, unique among all incarnations.
        now: time of the runtime's clock in seconds.

    Attributes:
        advertised: the limits that servers advertise.
    """

    def __init__(self, *, name: str, membership: Membership, incarnation: int, now: float) -> None:
        self.advertised = AdvertisedLimits()
        self._name = name
        self._membership = membership
        self._incarnation = incarnation
        self._started_at = now
        self._order = CoordinatorOrder(name=name, membership=membership, max_misses=MAX_MISSES)
        self._clock_stamps: dict[str, ClockStamp] = {}
        self._pools: dict[str, PermitPool] = {}
        # To which instance the local share of a server's limit is leased, and until when.
        self._leased_out: dict[str, tuple[str, float]] = {}

    # Choice of the allocator.

    def allocators(self, server: str, now: float) -> Sequence[str]:
        """Return the instances to ask for a permit, one after the other until one responds."""
        return self._order.coordinators(server, now)

    def is_allocator(self, server: str) -> bool:
        """Whether other instances may ask this one for permits to a server."""
        return self._order.is_coordinator(server)

    def record_unresponsive(self, name: str, now: float) -> None:
        """Record that an instance did not respond."""
        self._order.record_unresponsive(name, now)

    def record_response(self, name: str, stamp: ClockStamp) -> None:
        """Record that an instance responded, and the time of its clock in its response."""
        self._order.record_response(name)
        self._clock_stamps[name] = stamp

    def record_joined(self, name: str) -> None:
        """Record that an instance has joined, so that it is not skipped any longer."""
        self._order.record_response(name)

    # Leases of the local share.

    @property
    def lease_s(self) -> float:
        """Duration of a lease in seconds."""
        return max(MIN_SHARE_LEASE_S, SHARE_LEASE_S_PER_INSTANCE * self._membership.fleet_size)

    @property
    def renewal_interval_s(self) -> float:
        """Seconds between renewals of a lease."""
        return self.lease_s / RENEWALS_PER_LEASE

    def lease_out(self, server: str, allocator: str, now: float) -> ShareLease | None:
        """Lease the local share of a server's limit to an allocator.

        Returns:
            The lease to send; None if the allocator does not respond, or the share is leased to
            another instance or must not be used now.
        """
        clock_stamp = self._clock_stamps.get(allocator)
        # A share leased to an instance that is gone would stay unused until the lease ends.
        if clock_stamp is None or self._order.missed_last(allocator):
            return None
        if not self._may_lease(server, allocator, now):
            return None
        duration_s = self.lease_s
        self._record_leased(server, allocator, now + duration_s)
        return ShareLease(clock_stamp, duration_s, self._membership.fleet_size)

    def _may_lease(self, server: str, allocator: str, now: float) -> bool:
        """Whether the local share may be leased to *allocator* now."""
        # After a start, a lease from the previous incarnation of this instance may still hold.
        if not self._membership.may_use_equal_share(now) or now < self._started_at + self.lease_s:
            return False
        leased_to, until = self._leased_out.get(server, (allocator, 0.0))
        return leased_to == allocator or until <= now

    def _record_leased(self, server: str, allocator: str, until: float) -> None:
        keep_newest(self._leased_out, server, (allocator, until), MAX_TRACKED_SERVERS)

    # Permits.

    def stamp(self, now: float) -> ClockStamp:
        """Return the current time of this instance's clock, for lenders of shares."""
        return ClockStamp(self._incarnation, now)

    def accept_lease(self, server: str, lender: str, lease: ShareLease, now: float) -> None:
        """Accept a share that another instance leases to this one.

        A lease is ignored if its stamp is from another incarnation of this instance.
        """
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
        """Grant a permit for a request to a server, or return when to ask again.

        Args:
            server: its incarnation id.
            within_s: seconds within which the request is to be sent.
            now: time of the runtime's clock in seconds.
            for_caller: whether the time to ask again is passed on to a caller as its retry delay.
        """
        pool = self._permit_pool(server, now)
        if pool is None:
            return PermitDecision(True)
        self.use_local_share(server, now)
        return pool.take_permit(within_s, self._membership.fleet_size, now, for_caller=for_caller)

    def use_local_share(self, server: str, now: float) -> None:
        """Lease the local share to this instance itself.

        An instance that is not an allocator of the server does so only if the local share alone is
        enough for a request.
        """
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
        """Take back the permit of a request that was not sent."""
        pool = self._permit_pool(server, now)
        if pool is not None:
            pool.return_permit(self._membership.fleet_size, now)

    def leased_fraction(self, server: str) -> float:
        """Return the fraction of a server's limit that is leased to this instance, from 0 to 1."""
        pool = self._pools.get(server)
        return 0.0 if pool is None else pool.leased_fraction(self._membership.fleet_size)

    def _permit_pool(self, server: str, now: float) -> PermitPool | None:
        """Return the pool of permits to a server; None when the server advertises no limit."""
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
