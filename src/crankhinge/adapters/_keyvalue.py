"""Interface of the platform's key-value service."""

from __future__ import annotations

import abc
from dataclasses import dataclass


@dataclass(frozen=True)
class StoredValue:
    """Value of one key.

    Attributes:
        data: bytes of the value.
        index: number that changes with each write; a compare-and-swap compares it.
    """

    data: bytes
    index: int


class KeyValueStore(abc.ABC):
    """A key-value service with compare-and-swap and watches.

    Every method raises :class:`crankhinge.errors.KeyValueUnavailable` when the service does not
    respond; a write may have taken effect nevertheless.
    """

    @abc.abstractmethod
    async def get(self, key: str) -> StoredValue | None:
        """Return the value of *key*, or None if the key does not exist."""

    @abc.abstractmethod
    async def watch(self, key: str, index: int, wait_s: float) -> StoredValue | None:
        """Return the value as soon as its index differs from *index*, or after *wait_s* seconds."""

    @abc.abstractmethod
    async def compare_and_swap(self, key: str, data: bytes, index: int) -> bool:
        """Write *data* if the value's index is *index* (0: if the key does not exist).

        Returns whether the value was written.
        """
