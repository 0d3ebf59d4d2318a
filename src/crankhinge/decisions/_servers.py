"""The backend servers that exist, derived from a list that can be unreachable, late or incomplete.

Each server keeps its own entry in the platform's list alive. While the list's store is unreachable
for all servers, entries lapse although their servers still run, and the servers write them again
shortly after the store is back. When only one server is cut off from the store, the other entries
stay unchanged. The state of the other entries therefore shows whether a missing entry lapsed, in
which case its server is kept as a suspect for a while, or whether its server is gone.
"""

from __future__ import annotations

import enum
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field, replace

# Seconds after the store is reachable again within which running servers have written their entries
# again: at most two heartbeats of 1.2 s, as the operators of the list state.
REENTRY_S = 2.3
# Entries that lapse during an outage of the store do so together. When fewer than this many are
# missing at once, their servers have left, unless the store is known to have been unreachable.
MIN_LAPSED_TOGETHER = 2

# A version with this prefix names the incarnation whose version is not known yet. No entry has one.
UNKNOWN_VERSION = "?"
# Version of a stream that either of two incarnations of a server may have begun. No server has it,
# also where the earlier one is still listed.
UNCERTAIN_VERSION = "??"

# Heartbeat of an incarnation that has no entry yet; any entry of it is newer.
BEFORE_FIRST_HEARTBEAT = -1

# Number of gone servers whose last entry version is remembered. An entry can be written seconds
# late; no fleet loses this many servers in that time.
MAX_TRACKED_GONE = 4096


class EngineRole(enum.Enum):
    """What an engine does: prefill, decode, or neither (a plain server)."""

    PLAIN = "plain"
    PREFILL = "read"
    DECODE = "write"


@dataclass(frozen=True, slots=True)
class Server:
    """One incarnation of a backend server, as described by its entry in the list.

    Attributes:
        name: the platform's name of the server; a restarted server may have the same name.
        service: name of the service it belongs to.
        host: IP address.
        port: TCP port.
        zone: availability zone.
        role: whether it is a prefill engine, a decode engine or a plain server.
        slots: number of requests that it runs at once.
        leaving: whether it announced its shutdown and takes no new requests.
        heartbeat: counter that grows each time the server writes its entry.
        entry_created: revision of the store at which the entry was created; it stays the same as
            long as the entry does not lapse.
        models: names of the models it serves; empty when its entry names none, and then it serves
            any model.
        version: version of its software, not of its models; empty when the platform tells none.
            Begins with UNKNOWN_VERSION as long as only a report shows this incarnation.
        started_ms: start time in milliseconds since the Unix epoch; 0 when its entry has none.
        incarnation_id: identifies this incarnation. All state about a server is kept under this id,
            so that nothing learned about an earlier incarnation is applied to a later one.
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
    version: str = ""
    started_ms: int = 0
    incarnation_id: str = field(init=False)

    def __post_init__(self) -> None:
        incarnation_id = f"{self.name}@{self.started_ms}" if self.started_ms else self.name
        object.__setattr__(self, "incarnation_id", incarnation_id)

    @property
    def entry_version(self) -> tuple[int, int]:
        """Orders the entries of one name: by start time, then by heartbeat counter."""
        return self.started_ms, self.heartbeat

    def has_version(self, version: str) -> bool:
        """Whether its software has *version*; an empty *version* stands for any."""
        return version in ("", self.version, UNKNOWN_VERSION + self.incarnation_id)

    def restarted(self, started_ms: int) -> Server:
        """Return a later incarnation that its own report shows, before there is an entry of it."""
        version = f"{UNKNOWN_VERSION}{self.name}@{started_ms}"
        return replace(
            self, started_ms=started_ms, version=version, heartbeat=BEFORE_FIRST_HEARTBEAT
        )

    def serves_model(self, model: str) -> bool:
        """Whether the server serves *model*; an empty *model* stands for any model."""
        return not model or not self.models or model in self.models


@dataclass(frozen=True)
class ServerListChange:
    """Which servers changed when entries were applied.

    Attributes:
        changed: servers that are new, started to leave, changed their role, or whose version became
            known.
        removed: incarnation ids of servers that are gone.
        suspected: incarnation ids of servers that are kept without an entry from now on.
        restarted: incarnation ids that ended because the same name has a newer incarnation.
    """

    changed: tuple[Server, ...]
    removed: tuple[str, ...]
    suspected: tuple[str, ...]
    restarted: tuple[str, ...] = ()


class ServerList:
    """The backend servers that this instance considers running."""

    def __init__(self) -> None:
        self._known: dict[str, Server] = {}
        self._incarnation_ids: dict[str, str] = {}
        self._suspects: dict[str, float] = {}
        # Version of the last entry of each gone server, by name. An entry that is written late has
        # no newer version and must not bring its server back.
        self._last_versions: dict[str, tuple[int, int]] = {}
        # Incarnation ids of gone servers that had announced their shutdown.
        self._gone_leaving: dict[str, None] = {}

    def all(self) -> Iterable[Server]:
        """Return all known servers, including leaving ones and suspects."""
        return self._known.values()

    def get(self, incarnation_id: str) -> Server | None:
        """Return the server with this incarnation id; None when it is unknown."""
        return self._known.get(incarnation_id)

    def is_leaving(self, incarnation_id: str) -> bool:
        """Whether a server announced its shutdown; also true after it is gone."""
        known = self._known.get(incarnation_id)
        return known.leaving if known is not None else incarnation_id in self._gone_leaving

    def is_suspect(self, incarnation_id: str) -> bool:
        """Whether a server has no entry and is kept because the entry may only have lapsed."""
        return incarnation_id in self._suspects

    def suspects(self) -> list[str]:
        """Return the incarnation ids of the servers that are kept without an entry."""
        return list(self._suspects)

    def apply_entry(self, server: Server) -> bool:
        """Apply one entry; return whether it changed anything.

        An entry is ignored if a newer one of the same name was applied, or if its server is gone
        and the entry is not newer than the last one.
        """
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
        """Return the current incarnation of the server with the platform's name *name*."""
        return self._known.get(self._incarnation_ids.get(name, ""))

    def get_successor(self, incarnation_id: str) -> Server | None:
        """Return the current incarnation of a server by an earlier incarnation id."""
        # A name may contain the separator, too.
        name = incarnation_id.rpartition("@")[0] or incarnation_id
        return self.get_by_name(name)

    def resolve_version(self, version: str) -> str:
        """Return the version of a listed incarnation if *version* names one that was unknown."""
        server = self._known.get(version.removeprefix(UNKNOWN_VERSION))
        return server.version if version.startswith(UNKNOWN_VERSION) and server else version

    def versions(self, service: str) -> set[str]:
        """Return the versions of the servers of a service."""
        return {server.version for server in self._known.values() if server.service == service}

    def apply_list(
        self,
        servers: Iterable[Server],
        now: float,
        *,
        was_unreachable: bool,
        unusable: Iterable[str] = (),
    ) -> ServerListChange:
        """Apply a complete list of entries.

        Args:
            servers: all entries that describe a usable server.
            unusable: names of servers whose entries cannot be used.
            now: time of the runtime's clock in seconds.
            was_unreachable: whether the store was unreachable at some time since the last update.
        """
        listed = {server.name: server for server in servers}
        unusable_ids = self._remove_unusable([*unusable, *self._pop_unordered(listed)])
        missing = [
            known.incarnation_id for known in self._known.values() if known.name not in listed
        ]
        have_lapsed = self._have_entries_lapsed(listed, missing, was_unreachable=was_unreachable)
        return self._apply(
            listed.values(), missing, now, have_lapsed=have_lapsed, unusable_ids=unusable_ids
        )

    def apply_restart(self, server: Server, started_ms: int) -> ServerListChange:
        """Replace a listed server by the later incarnation that its report shows.

        The later one stays a suspect if the earlier one was: the list shows neither of them.
        """
        if server.incarnation_id not in self._known:
            return ServerListChange((), (), ())
        until = self._suspects.get(server.incarnation_id)
        later = server.restarted(started_ms)
        change = self._apply([later], [], 0.0, have_lapsed=False, unusable_ids=())
        if until is not None and later.incarnation_id in self._known:
            self._suspects[later.incarnation_id] = until
        return change

    def apply_changes(
        self,
        servers: Iterable[Server],
        gone: Iterable[str],
        now: float,
        *,
        was_unreachable: bool,
        unusable: Iterable[str] = (),
    ) -> ServerListChange:
        """Apply the entries that changed together.

        Args:
            servers: entries that were written.
            gone: names of servers whose entries have ended.
            unusable: names of servers whose entries cannot be used any more.
            now: time of the runtime's clock in seconds.
            was_unreachable: as for :meth:`apply_list`.
        """
        written = {server.name: server for server in servers}
        unusable_ids = self._remove_unusable([*unusable, *self._pop_unordered(written)])
        missing = [self._incarnation_ids[name] for name in gone if name in self._incarnation_ids]
        have_lapsed = self._have_entries_lapsed(written, missing, was_unreachable=was_unreachable)
        return self._apply(
            written.values(), missing, now, have_lapsed=have_lapsed, unusable_ids=unusable_ids
        )

    def _pop_unordered(self, entries: dict[str, Server]) -> list[str]:
        """Remove the entries that tell no start time although an earlier one did; return the names.

        Such an entry may be of an earlier or of a later incarnation, or of another writer.
        """
        names = [
            name
            for name, server in entries.items()
            if not server.started_ms and self._last_started_ms(name)
        ]
        for name in names:
            del entries[name]
        return names

    def _last_started_ms(self, name: str) -> int:
        known = self.get_by_name(name)
        return known.started_ms if known else self._last_versions.get(name, (0, 0))[0]

    def _remove_unusable(self, unusable: Iterable[str]) -> tuple[str, ...]:
        """Remove the servers whose entries cannot be used; return their incarnation ids."""
        removed = tuple(
            self._incarnation_ids[name] for name in unusable if name in self._incarnation_ids
        )
        for incarnation_id in removed:
            self._remove(incarnation_id)
        return removed

    def _have_entries_lapsed(
        self, entries: Mapping[str, Server], missing: list[str], *, was_unreachable: bool
    ) -> bool:
        """Whether entries are missing because the store was unreachable for all servers.

        In that case most entries lapsed, some of them have been written again, and no new servers
        have come in place of the missing ones. When most entries are unchanged, or as many new
        servers have come, the missing servers have left.
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
        """Apply written entries; keep the missing servers as suspects, or remove them.

        Args:
            servers: entries that were written.
            missing: incarnation ids of the servers that have no entry any more.
            now: time of the runtime's clock in seconds.
            have_lapsed: whether the missing entries lapsed although their servers may still run.
                Their servers become suspects, apart from those that announced their shutdown.
            unusable_ids: incarnation ids of servers already removed for an unusable entry.
        """
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
        """Apply an entry; return whether the server is new, or what callers may get changed."""
        known = self._known.get(server.incarnation_id)
        return self.apply_entry(server) and (
            known is None
            or (known.leaving, known.role, known.version)
            != (server.leaving, server.role, server.version)
        )

    def next_suspect_expiry(self) -> float | None:
        """Return the time at which the next suspect expires; None without suspects."""
        return min(self._suspects.values(), default=None)

    def expire_suspects(self, now: float) -> list[str]:
        """Remove the suspects whose time has expired; return their incarnation ids."""
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
