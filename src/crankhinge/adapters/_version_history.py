"""Store of the history of software versions, which outlives all instances."""

from __future__ import annotations

import abc
from dataclasses import dataclass

from crankhinge.decisions import VersionHistory


@dataclass(frozen=True, slots=True)
class StoredHistory:
    """The history as the store has it.

    Attributes:
        history: the history; None if the store has none, or one that cannot be decoded.
        revision: revision of its last change; 0 if the store has none.
        store_era: how often the store has come back from an older copy.
    """

    history: VersionHistory | None
    revision: int
    store_era: int


class VersionHistoryStore(abc.ABC):
    """Holds one history, without a lease.

    Every method raises :class:`crankhinge.errors.KeyValueUnavailable` when the store does not
    respond; a write may take effect nevertheless, even seconds later.
    """

    @property
    @abc.abstractmethod
    def store_era(self) -> int:
        """How often the store has come back from an older copy, by its last response."""

    @abc.abstractmethod
    async def read(self) -> StoredHistory:
        """Return the history; never a stale read."""

    @abc.abstractmethod
    async def replace(self, history: VersionHistory, revision: int) -> bool:
        """Write the history if its last change has the revision *revision*.

        Returns whether it was written.
        """
