"""Where instances tell each other what requests take."""

from __future__ import annotations

import abc
from collections.abc import Mapping

from crankhinge.decisions import WorkSheet


class WorkBoard(abc.ABC):
    """Holds one note of each instance for a while: its measurements by service.

    Every method raises :class:`crankhinge.errors.KeyValueUnavailable` when no answer comes.
    """

    @abc.abstractmethod
    async def publish(self, name: str, sheets: Mapping[str, WorkSheet]) -> None:
        """Put the note of the instance *name* in the place of its last one."""

    @abc.abstractmethod
    async def read(self) -> dict[str, dict[str, WorkSheet]]:
        """Return the notes of all instances, by their names."""
