"""Where instances tell each other what requests take, and where they can be reached."""

from __future__ import annotations

import abc
from collections.abc import Mapping
from dataclasses import dataclass, field

from crankhinge.decisions import WorkloadStats


@dataclass(frozen=True, slots=True)
class InstanceRecord:
    """What one instance tells.

    Attributes:
        peer: ``host:port`` where it takes notices; empty where it takes none.
        sheets: its measurements by service.
        settled: whether it could act for all instances.
        quarantined: requests in quarantine by fingerprint, each with the identities of the servers
            that crashed under it.
        limited: requests a second that servers say they take, by their identities.
    """

    peer: str
    sheets: Mapping[str, WorkloadStats]
    settled: bool = False
    quarantined: Mapping[str, tuple[str, ...]] = field(default_factory=dict)
    limited: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class RecordLease:
    """How long a note lasts.

    Attributes:
        expires_at: its end on the runtime's clock, in seconds, as its writer must believe.
        may_have_lapsed: whether there may have been no note for a while before.
    """

    expires_at: float
    may_have_lapsed: bool


class InstanceRegistry(abc.ABC):
    """Holds one note of each instance for a while.

    Every method raises :class:`crankhinge.errors.KeyValueUnavailable` when no answer comes.
    """

    @abc.abstractmethod
    async def take_over(self, name: str) -> tuple[InstanceRecord, RecordLease] | None:
        """Take over the note of an earlier life of the instance *name*; None where it has gone."""

    @abc.abstractmethod
    async def publish(self, name: str, record: InstanceRecord) -> RecordLease:
        """Put the note of the instance *name* in the place of its last one."""

    @abc.abstractmethod
    async def renew(self) -> RecordLease | None:
        """Have the note last longer; None where it has gone."""

    @abc.abstractmethod
    async def read_all(self, *, allow_stale: bool = True) -> dict[str, InstanceRecord]:
        """Return the notes of all instances, by their names.

        Args:
            allow_stale: take notes that may be seconds old, which costs less.
        """
