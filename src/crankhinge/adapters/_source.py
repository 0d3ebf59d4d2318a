"""Where the operators' configuration and the list of backend servers come from."""

from __future__ import annotations

import abc
from collections.abc import Mapping
from dataclasses import dataclass

from crankhinge.decisions import RouteTable, Server
from crankhinge.errors import CrankhingeError


class HistoryLost(CrankhingeError):
    """Changes since the given mark are no longer known; everything must be read anew."""

    code = "history-lost"


class TooMuchChanged(CrankhingeError):
    """What changed since the given mark is longer than was asked for; nothing of it was read."""

    code = "too-much-changed"


@dataclass(frozen=True)
class ConfigUpdate:
    """What was seen of the configuration.

    Attributes:
        table: the newest; None where none was written.
        revision: to watch from.
        size_bytes: bytes that carried the newest; 0 without one.
    """

    table: RouteTable | None
    revision: int
    size_bytes: int = 0


@dataclass(frozen=True)
class ServersUpdate:
    """What was seen of the list of servers.

    Attributes:
        servers: as their entries tell.
        removed: names that have no entry any more.
        revision: to watch from.
        unusable: names whose entries name no server to use.
    """

    servers: tuple[Server, ...]
    removed: tuple[str, ...]
    revision: int
    unusable: tuple[str, ...] = ()


class DiscoverySource(abc.ABC):
    """Reads and watches what the platform knows.

    Every method raises :class:`crankhinge.errors.KeyValueUnavailable` when no answer comes.
    """

    @property
    @abc.abstractmethod
    def received_bytes(self) -> int:
        """Bytes that came from the source so far, those of answers that were given up too."""

    @property
    @abc.abstractmethod
    def call_counts(self) -> Mapping[str, int]:
        """Calls so far of this instance to what keeps the source, whatever for, by kind."""

    @abc.abstractmethod
    async def read_config(self) -> ConfigUpdate:
        """Return the newest configuration."""

    @abc.abstractmethod
    async def watch_config(self, revision: int, wait_s: float, max_bytes: int) -> ConfigUpdate:
        """Return the newest configuration after *revision*, or None after *wait_s*.

        Every version since *revision* is carried, in *max_bytes* at most.

        Raises:
            HistoryLost: read anew.
            TooMuchChanged: the versions are longer.
        """

    @abc.abstractmethod
    async def read_servers(self) -> ServersUpdate:
        """Return every entry."""

    @abc.abstractmethod
    async def watch_servers(self, revision: int, wait_s: float) -> ServersUpdate:
        """Return what changed after *revision*, within *wait_s*.

        Raises:
            HistoryLost: read anew.
        """
