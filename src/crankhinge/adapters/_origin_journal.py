"""Interface of the store that keeps segments of the journal of origins."""

from __future__ import annotations

import abc
from collections.abc import Sequence


class OriginJournalStore(abc.ABC):
    """Keeps the segments that this incarnation writes, and reads those of all instances.

    The segments of an incarnation end together, some time after it has stopped renewing them.
    """

    @abc.abstractmethod
    async def write(self, slot: int, data: bytes) -> str:
        """Write a segment in place of the one that the slot had.

        Returns:
            A text that differs from that of the last write if segments that were written before
            may be gone.

        Raises:
            KeyValueUnavailable: the store does not respond. The write may take effect nevertheless,
                even seconds later.
        """

    @abc.abstractmethod
    async def renew(self) -> bool:
        """Let the segments last for a further period.

        Returns whether they were there until now; if not, the next write begins anew. Raises
        KeyValueUnavailable.
        """

    @abc.abstractmethod
    async def read_all(self, max_bytes: int) -> Sequence[tuple[str, bytes]]:
        """Return the segments of all instances with their names.

        Args:
            max_bytes: size after which no further page is read.

        Raises:
            KeyValueUnavailable: the store does not respond.
        """

    @abc.abstractmethod
    async def end(self) -> None:
        """End the segments of this incarnation. Raises KeyValueUnavailable."""
