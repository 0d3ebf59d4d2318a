"""Interface of the source of the operators' configuration and the list of backend servers."""

from __future__ import annotations

import abc
from collections.abc import Mapping
from dataclasses import dataclass

from crankhinge.decisions import RouteTable, Server
from crankhinge.errors import CrankhingeError


class HistoryLost(CrankhingeError):
    """The source no longer knows the changes since the given revision; read everything again."""

    code = "history-lost"


class TooMuchChanged(CrankhingeError):
    """The changes since the given revision exceed the size limit; none of them were read."""

    code = "too-much-changed"


@dataclass(frozen=True)
class ConfigUpdate:
    """Result of a read or a watch of the configuration.

    Attributes:
        table: routes, services and accounts of the newest configuration; None if there is none.
        revision: revision from which to watch for the next change.
        size_bytes: encoded size of the newest configuration; 0 if there is none.
    """

    table: RouteTable | None
    revision: int
    size_bytes: int = 0


@dataclass(frozen=True)
class ServersUpdate:
    """Result of a read or a watch of the list of servers.

    Attributes:
        servers: servers as their entries describe them.
        removed: names of servers whose entries were removed.
        revision: revision from which to watch for the next change.
        unusable: names of servers whose entries cannot be decoded.
    """

    servers: tuple[Server, ...]
    removed: tuple[str, ...]
    revision: int
    unusable: tuple[str, ...] = ()


class DiscoverySource(abc.ABC):
    """Reads and watches the operators' configuration and the list of backend servers.

    The source keeps both in a store. Every method raises
    :class:`crankhinge.errors.KeyValueUnavailable` when the store does not respond.
    """

    @property
    @abc.abstractmethod
    def received_bytes(self) -> int:
        """Bytes received from the store since the start, aborted responses included."""

    @property
    @abc.abstractmethod
    def disturbed_at(self) -> float:
        """When any call to the store last failed, or the store came back from an older copy.

        The time is the runtime's clock; minus infinity if neither happened.
        """

    @property
    @abc.abstractmethod
    def call_counts(self) -> Mapping[str, int]:
        """Number of calls of this instance to the store since the start, by kind of call.

        Calls for other purposes, such as those of the instance registry, are included.
        """

    @abc.abstractmethod
    async def read_config(self) -> ConfigUpdate:
        """Return the newest configuration."""

    @abc.abstractmethod
    async def watch_config(self, revision: int, wait_s: float, max_bytes: int) -> ConfigUpdate:
        """Return the newest configuration written after *revision*.

        The update has no route table if none is written within *wait_s* seconds.

        Args:
            revision: revision from which to watch.
            wait_s: seconds to wait for a new version.
            max_bytes: size limit of the response, which carries every version since *revision*.

        Raises:
            HistoryLost: the source no longer knows the changes since *revision*.
            TooMuchChanged: the versions since *revision* exceed *max_bytes*.
        """

    @abc.abstractmethod
    async def read_servers(self) -> ServersUpdate:
        """Return all servers of the list."""

    @abc.abstractmethod
    async def watch_servers(self, revision: int, wait_s: float) -> ServersUpdate:
        """Return the changes after *revision*, waiting up to *wait_s* seconds for the first.

        Raises:
            HistoryLost: the source no longer knows the changes since *revision*.
        """
