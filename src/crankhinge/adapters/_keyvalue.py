"""The platform's key-value service, as the product needs it."""

from __future__ import annotations

import abc
from dataclasses import dataclass


@dataclass(frozen=True)
class StoredValue:
    """A stored value.

    Attributes:
        data: its bytes.
        index: changes with each write; what a compare-and-swap compares.
    """

    data: bytes
    index: int


class KeyValueStore(abc.ABC):
    """A key-value service with compare-and-swap and watches.

    Every method raises :class:`crankhinge.errors.KeyValueUnavailable` when no answer comes; a
    write may then have taken effect.
    """

    @abc.abstractmethod
    async def get(self, key: str) -> StoredValue | None:
        """Return the value, or None when there is none."""

    @abc.abstractmethod
    async def watch(self, key: str, index: int, wait_s: float) -> StoredValue | None:
        """Return the value once its index differs from *index*, or after *wait_s* seconds."""

    @abc.abstractmethod
    async def compare_and_swap(self, key: str, data: bytes, index: int) -> bool:
        """Write *data* if the value's index is *index* (0: if there is none)."""
