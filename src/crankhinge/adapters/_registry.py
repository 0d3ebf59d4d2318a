"""Registry in which each instance publishes a record of itself for the other instances.

The record holds its address, its measurements, and the quarantines and server limits it knows of.
A fleet entry, which lasts longer, shows that the instance may still use its share of common limits.
"""

from __future__ import annotations

import abc
from collections.abc import Mapping
from dataclasses import dataclass, field

from crankhinge.decisions import WorkloadStats


@dataclass(frozen=True, slots=True)
class InstanceRecord:
    """Record that one instance publishes. It is stored as JSON under its field names.

    Attributes:
        peer: ``host:port`` at which the instance receives peer messages; empty if it receives none.
        sheets: workload that the instance measured, by service.
        settled: whether the instance was ready to coordinate when it wrote the record. If so, its
            next incarnation that takes the record over need not wait for acknowledgements.
        quarantined: fingerprints of quarantined requests, each with the ids of the servers that
            crashed while they ran it.
        limited: advertised limits of servers in requests per second, by server id.
    """

    peer: str
    sheets: Mapping[str, WorkloadStats]
    settled: bool = False
    quarantined: Mapping[str, tuple[str, ...]] = field(default_factory=dict)
    limited: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class FleetEntry:
    """Long-lived entry by which instances that join count an instance without a record.

    Attributes:
        peer: ``host:port`` at which the instance receives peer messages; empty if it receives none.
        unused_after_s: seconds from the write after which the instance's share is unused; None
            unless the instance was told to stop.
        start_allowance: whether the next incarnation of the instance may use start allowances.
    """

    peer: str
    unused_after_s: float | None = None
    start_allowance: bool = False


@dataclass(frozen=True, slots=True)
class RecordLease:
    """Lease under which an instance record is stored.

    Attributes:
        expires_at: time on the runtime's clock, in seconds, until which the record is certain to
            be in the registry. It is counted from before the call that set the lease.
        may_have_lapsed: whether the record may have been missing from the registry before the call.
    """

    expires_at: float
    may_have_lapsed: bool


class InstanceRegistry(abc.ABC):
    """Holds one record per instance, each under a lease that its instance renews.

    Every method raises :class:`crankhinge.errors.KeyValueUnavailable` when the registry does not
    respond.
    """

    @abc.abstractmethod
    async def take_over(self, name: str) -> tuple[InstanceRecord, RecordLease] | None:
        """Take over the record of an earlier incarnation of the instance *name*.

        Returns None if the record has expired or changes in the meantime.
        """

    @abc.abstractmethod
    async def publish(self, name: str, record: InstanceRecord) -> RecordLease:
        """Write the record of the instance *name*, replacing its previous one."""

    @abc.abstractmethod
    async def renew(self) -> RecordLease | None:
        """Renew the lease of the record; return None if the record has expired."""

    @abc.abstractmethod
    async def read_all(self, *, allow_stale: bool = True) -> dict[str, InstanceRecord]:
        """Return the records of all instances by instance name.

        Args:
            allow_stale: accept records that may be several seconds old; such a read costs less.
        """

    @abc.abstractmethod
    async def read_fleet_entries(self) -> dict[str, FleetEntry]:
        """Return the fleet entries of all instances by instance name; never a stale read."""

    @abc.abstractmethod
    async def write_fleet_entry(self, name: str, entry: FleetEntry) -> float:
        """Write the fleet entry of the instance *name*.

        Returns the time on the runtime's clock, in seconds, until which the entry certainly exists.
        """

    @abc.abstractmethod
    async def renew_fleet_entry(self) -> float | None:
        """Renew the fleet entry; return until when it certainly exists, None if it has expired."""
