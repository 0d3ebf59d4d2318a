"""Which backend servers exist, judged from a list that can be away, late or forgetful.

A server keeps its own entry alive. While the list's keeper is away for all, entries lapse although
their servers live, and are back shortly after its return. One instance that was cut off sees
nothing of the kind: the other entries stand as they did. So what became of the other entries tells
whether a missing one lapsed, and is doubted for a while, or whether its server has gone.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

# Seconds after the list's return within which living servers have entered themselves again (two
# heartbeats of 1.2 s at most, as the operators of the list state it).
RETURN_S = 2.3
# Entries that lapse do so together; fewer than this many missing at once are servers that left,
# unless the list's keeper is known to have been away.
LAPSED_LEAST = 2

# Servers that are gone whose last heartbeat is remembered; entries are written late by seconds, in
# which no fleet loses as many.
GONE_KEPT = 4096


class Phase(enum.Enum):
    """The part that a server plays."""

    PLAIN = "plain"
    READ = "read"
    WRITE = "write"


@dataclass(frozen=True, slots=True)
class Server:
    """One life of a backend server, as its entry tells.

    Attributes:
        ident: new at each start.
        service: what it serves.
        host: IP address.
        port: TCP port.
        zone: availability zone.
        phase: reads prompts, writes answers, or neither.
        slots: requests at once.
        leaving: takes no new work.
        beat: rises with each of its entries.
        entered: when the entry came into being, as the list's keeper counts; it stays as long as
            the entry does not lapse.
        models: names of the models that it holds; empty where it tells of none.
    """

    ident: str
    service: str
    host: str
    port: int
    zone: str
    phase: Phase
    slots: int
    leaving: bool
    beat: int
    entered: int = 0
    models: frozenset[str] = frozenset()

    def holds(self, model: str) -> bool:
        """Whether it answers requests for *model*; empty stands for no model in particular."""
        return not model or not self.models or model in self.models


@dataclass(frozen=True)
class ListChange:
    """What entries changed in the belief about servers.

    Attributes:
        seen: servers that are new, or that leave or play another part now.
        dropped: identities of servers that have gone.
        doubted: identities of servers that are kept without an entry from now on.
    """

    seen: tuple[Server, ...]
    dropped: tuple[str, ...]
    doubted: tuple[str, ...]


class ServerList:
    """The servers that are believed in."""

    def __init__(self) -> None:
        self._known: dict[str, Server] = {}
        self._doubted: dict[str, float] = {}
        # Last beat of servers that are gone: an entry of theirs that was written late is no life.
        self._last_beats: dict[str, int] = {}

    def all(self) -> Iterable[Server]:
        """Return every server believed in, leaving ones and doubted ones too."""
        return self._known.values()

    def get(self, ident: str) -> Server | None:
        """Return a server by its identity."""
        return self._known.get(ident)

    def doubts(self, ident: str) -> bool:
        """Whether the server has no entry and is kept since that may have lapsed."""
        return ident in self._doubted

    def doubted(self) -> list[str]:
        """Return the identities of servers that are kept without an entry."""
        return list(self._doubted)

    def take(self, server: Server) -> bool:
        """Take an entry; returns whether it changed anything."""
        known = self._known.get(server.ident)
        last = known.beat if known else self._last_beats.get(server.ident, -1)
        if server.beat < last or (known is None and server.beat == last):
            return False
        self._doubted.pop(server.ident, None)
        self._known[server.ident] = server
        return known != server

    def replace(self, servers: Iterable[Server], now: float, *, was_away: bool) -> ListChange:
        """Take a whole list.

        Args:
            servers: every entry.
            now: on the runtime's clock, in seconds.
            was_away: whether the list's keeper could not be reached since the last word.
        """
        listed = {server.ident: server for server in servers}
        missing = [ident for ident in self._known if ident not in listed]
        lapsed = self._lapsed(listed, missing, was_away=was_away)
        return self._take_all(listed.values(), missing, now, lapsed=lapsed)

    def change(
        self, servers: Iterable[Server], gone: Iterable[str], now: float, *, was_away: bool
    ) -> ListChange:
        """Take what changed at once.

        Args:
            servers: entries that were written.
            gone: identities whose entries have ended.
            now: on the runtime's clock, in seconds.
            was_away: as for :meth:`replace`.
        """
        written = {server.ident: server for server in servers}
        missing = [ident for ident in gone if ident in self._known]
        lapsed = self._lapsed(written, missing, was_away=was_away)
        return self._take_all(written.values(), missing, now, lapsed=lapsed)

    def _lapsed(self, seen: Mapping[str, Server], missing: list[str], *, was_away: bool) -> bool:
        """Whether entries are missing because the list's keeper was away for all servers.

        Then most of them lapsed, some of those are back already, and none has come in their place.
        Where most stand as they did, or as many others have come, the missing servers left.
        """
        anew = sum(
            known.entered != seen[ident].entered
            for ident, known in self._known.items()
            if ident in seen
        )
        others = sum(ident not in self._known for ident in seen)
        standing = len(self._known) - len(missing) - anew
        least = 1 if was_away else LAPSED_LEAST
        return len(missing) >= least and len(missing) + anew > standing and others < len(missing)

    def _take_all(
        self, servers: Iterable[Server], missing: list[str], now: float, *, lapsed: bool
    ) -> ListChange:
        seen = tuple(server for server in servers if self._take_new(server))
        dropped = tuple(ident for ident in missing if not lapsed or self._known[ident].leaving)
        for ident in dropped:
            self._drop(ident)
        doubted = tuple(
            ident for ident in missing if ident in self._known and ident not in self._doubted
        )
        self._doubted.update(dict.fromkeys(doubted, now + RETURN_S))
        return ListChange(seen, dropped, doubted)

    def _take_new(self, server: Server) -> bool:
        """Take an entry; returns whether it says more than that its server lives."""
        known = self._known.get(server.ident)
        return self.take(server) and (
            known is None or known.leaving != server.leaving or known.phase != server.phase
        )

    def next_expiry(self) -> float | None:
        """Return when the next doubted server's time is up; None without one."""
        return min(self._doubted.values(), default=None)

    def expire(self, now: float) -> list[str]:
        """Drop doubted servers whose time is up; returns their identities."""
        over = [ident for ident, until in self._doubted.items() if until <= now]
        for ident in over:
            self._drop(ident)
        return over

    def _drop(self, ident: str) -> None:
        self._doubted.pop(ident, None)
        self._last_beats[ident] = self._known.pop(ident).beat
        if len(self._last_beats) > GONE_KEPT:
            del self._last_beats[next(iter(self._last_beats))]
