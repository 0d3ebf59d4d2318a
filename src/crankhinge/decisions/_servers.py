"""Which backend servers exist, judged from a list that can be away, late or forgetful.

A server keeps its own entry alive. While the list's keeper is away for all, entries lapse although
their servers live, and are back shortly after its return. One instance that was cut off sees
nothing of the kind: the other entries stand as they did. So what became of the other entries tells
whether a missing one lapsed, and is doubted for a while, or whether its server has gone.
"""

from __future__ import annotations

import enum
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

# Seconds after the list's return within which living servers have entered themselves again (two
# heartbeats of 1.2 s at most, as the operators of the list state it).
REENTRY_S = 2.3
# Entries that lapse do so together; fewer than this many missing at once are servers that left,
# unless the list's keeper is known to have been away.
MIN_LAPSED_TOGETHER = 2

# Servers that are gone whose last entry is remembered; entries are written late by seconds, in
# which no fleet loses as many.
MAX_TRACKED_GONE = 4096


class EngineRole(enum.Enum):
    """The part that a server plays."""

    PLAIN = "plain"
    PREFILL = "read"
    DECODE = "write"


@dataclass(frozen=True, slots=True)
class Server:
    """One life of a backend server, as its entry tells.

    Attributes:
        name: how the platform calls it; a server may start again under the name that it had.
        service: what it serves.
        host: IP address.
        port: TCP port.
        zone: availability zone.
        role: reads prompts, writes answers, or neither.
        slots: requests at once.
        leaving: takes no new work.
        heartbeat: rises with each of its entries.
        entry_created: when the entry came into being, as the list's keeper counts; it stays as
            long as the entry does not lapse.
        models: names of the models that it holds; empty where it tells of none.
        started_ms: Unix millisecond of its start; 0 where it tells none.
        incarnation_id: of this life. Whatever is known or held of a server goes by it, so that
            nothing of an earlier life is believed of a later one.
    """

    name: str
    service: str
    host: str
    port: int
    zone: str
    role: EngineRole
    slots: int
    leaving: bool
    heartbeat: int
    entry_created: int = 0
    models: frozenset[str] = frozenset()
    started_ms: int = 0
    incarnation_id: str = field(init=False)

    def __post_init__(self) -> None:
        incarnation_id = f"{self.name}@{self.started_ms}" if self.started_ms else self.name
        object.__setattr__(self, "incarnation_id", incarnation_id)

    @property
    def entry_version(self) -> tuple[int, int]:
        """Orders the entries of one name: by the life, then by its count."""
        return self.started_ms, self.heartbeat

    def serves_model(self, model: str) -> bool:
        """Whether it answers requests for *model*; empty stands for no model in particular."""
        return not model or not self.models or model in self.models


@dataclass(frozen=True)
class ServerListChange:
    """What entries changed in the belief about servers.

    Attributes:
        changed: servers that are new, or that leave or play another part now.
        removed: identities of servers that have gone.
        suspected: identities of servers that are kept without an entry from now on.
        restarted: identities of lives that ended, as the name's next life tells.
    """

    changed: tuple[Server, ...]
    removed: tuple[str, ...]
    suspected: tuple[str, ...]
    restarted: tuple[str, ...] = ()


class ServerList:
    """The servers that are believed in."""

    def __init__(self) -> None:
        self._known: dict[str, Server] = {}
        self._incarnation_ids: dict[str, str] = {}
        self._suspects: dict[str, float] = {}
        # Last entry of servers that are gone, by name: one that was written late is no life.
        self._last_versions: dict[str, tuple[int, int]] = {}
        # Identities of servers that are gone and had said that they leave.
        self._gone_leaving: dict[str, None] = {}

    def all(self) -> Iterable[Server]:
        """Return every server believed in, leaving ones and doubted ones too."""
        return self._known.values()

    def get(self, incarnation_id: str) -> Server | None:
        """Return a server by the identity of its life."""
        return self._known.get(incarnation_id)

    def is_leaving(self, incarnation_id: str) -> bool:
        """Whether a server said that it leaves; it may have gone since."""
        known = self._known.get(incarnation_id)
        return known.leaving if known is not None else incarnation_id in self._gone_leaving

    def is_suspect(self, incarnation_id: str) -> bool:
        """Whether the server has no entry and is kept since that may have lapsed."""
        return incarnation_id in self._suspects

    def suspects(self) -> list[str]:
        """Return the identities of servers that are kept without an entry."""
        return list(self._suspects)

    def apply_entry(self, server: Server) -> bool:
        """Take an entry; returns whether it changed anything."""
        known = self.get_by_name(server.name)
        last = known.entry_version if known else self._last_versions.get(server.name, (-1, -1))
        if server.entry_version < last or (known is None and server.entry_version == last):
            return False
        if known is not None and known.incarnation_id != server.incarnation_id:
            self._remove(known.incarnation_id)
        self._suspects.pop(server.incarnation_id, None)
        self._known[server.incarnation_id] = server
        self._incarnation_ids[server.name] = server.incarnation_id
        return known != server

    def get_by_name(self, name: str) -> Server | None:
        """Return the server that the platform calls *name*."""
        return self._known.get(self._incarnation_ids.get(name, ""))

    def apply_list(
        self,
        servers: Iterable[Server],
        now: float,
        *,
        was_unreachable: bool,
        unusable: Iterable[str] = (),
    ) -> ServerListChange:
        """Take a whole list.

        Args:
            servers: every entry that names a server to use.
            unusable: names whose entries name none.
            now: on the runtime's clock, in seconds.
            was_unreachable: whether the list's keeper could not be reached since the last word.
        """
        listed = {server.name: server for server in servers}
        unusable_ids = self._remove_unusable(unusable)
        missing = [
            known.incarnation_id for known in self._known.values() if known.name not in listed
        ]
        have_lapsed = self._have_entries_lapsed(listed, missing, was_unreachable=was_unreachable)
        return self._apply(
            listed.values(), missing, now, have_lapsed=have_lapsed, unusable_ids=unusable_ids
        )

    def apply_changes(
        self,
        servers: Iterable[Server],
        gone: Iterable[str],
        now: float,
        *,
        was_unreachable: bool,
        unusable: Iterable[str] = (),
    ) -> ServerListChange:
        """Take what changed at once.

        Args:
            servers: entries that were written.
            gone: names whose entries have ended.
            unusable: names whose entries no longer name a server to use.
            now: on the runtime's clock, in seconds.
            was_unreachable: as for :meth:`replace`.
        """
        written = {server.name: server for server in servers}
        unusable_ids = self._remove_unusable(unusable)
        missing = [self._incarnation_ids[name] for name in gone if name in self._incarnation_ids]
        have_lapsed = self._have_entries_lapsed(written, missing, was_unreachable=was_unreachable)
        return self._apply(
            written.values(), missing, now, have_lapsed=have_lapsed, unusable_ids=unusable_ids
        )

    def _remove_unusable(self, unusable: Iterable[str]) -> tuple[str, ...]:
        """Drop the servers of entries that can't be used; returns their identities."""
        removed = tuple(
            self._incarnation_ids[name] for name in unusable if name in self._incarnation_ids
        )
        for incarnation_id in removed:
            self._remove(incarnation_id)
        return removed

    def _have_entries_lapsed(
        self, entries: Mapping[str, Server], missing: list[str], *, was_unreachable: bool
    ) -> bool:
        """Whether entries are missing because the list's keeper was away for all servers.

        Then most of them lapsed, some of those are back already, and none has come in their place.
        Where most stand as they did, or as many others have come, the missing servers left.
        """
        rewritten = sum(
            known.entry_created != entries[known.name].entry_created
            for known in self._known.values()
            if known.name in entries
        )
        newcomers = sum(name not in self._incarnation_ids for name in entries)
        unchanged = len(self._known) - len(missing) - rewritten
        min_missing = 1 if was_unreachable else MIN_LAPSED_TOGETHER
        return (
            len(missing) >= min_missing
            and len(missing) + rewritten > unchanged
            and newcomers < len(missing)
        )

    def _apply(
        self,
        servers: Collection[Server],
        missing: list[str],
        now: float,
        *,
        have_lapsed: bool,
        unusable_ids: tuple[str, ...],
    ) -> ServerListChange:
        before = {server.name: self._incarnation_ids.get(server.name) for server in servers}
        changed = tuple(server for server in servers if self._apply_if_changed(server))
        removed = tuple(
            incarnation_id
            for incarnation_id in missing
            if not have_lapsed or self._known[incarnation_id].leaving
        )
        for incarnation_id in removed:
            self._remove(incarnation_id)
        suspected = tuple(
            incarnation_id
            for incarnation_id in missing
            if incarnation_id in self._known and incarnation_id not in self._suspects
        )
        self._suspects.update(dict.fromkeys(suspected, now + REENTRY_S))
        restarted = tuple(
            incarnation_id
            for name, incarnation_id in before.items()
            if incarnation_id and incarnation_id != self._incarnation_ids[name]
        )
        return ServerListChange(changed, unusable_ids + removed, suspected, restarted)

    def _apply_if_changed(self, server: Server) -> bool:
        """Take an entry; returns whether it says more than that its server lives."""
        known = self._known.get(server.incarnation_id)
        return self.apply_entry(server) and (
            known is None or known.leaving != server.leaving or known.role != server.role
        )

    def next_suspect_expiry(self) -> float | None:
        """Return when the next doubted server's time is up; None without one."""
        return min(self._suspects.values(), default=None)

    def expire_suspects(self, now: float) -> list[str]:
        """Drop doubted servers whose time is up; returns their identities."""
        expired = [
            incarnation_id for incarnation_id, until in self._suspects.items() if until <= now
        ]
        for incarnation_id in expired:
            self._remove(incarnation_id)
        return expired

    def _remove(self, incarnation_id: str) -> None:
        self._suspects.pop(incarnation_id, None)
        server = self._known.pop(incarnation_id)
        del self._incarnation_ids[server.name]
        self._last_versions[server.name] = server.entry_version
        if server.leaving:
            self._gone_leaving[incarnation_id] = None
        for table in (self._last_versions, self._gone_leaving):
            if len(table) > MAX_TRACKED_GONE:
                del table[next(iter(table))]
