"""Which backend servers exist, judged from a list that can be away, late or forgetful.

A server keeps its own entry alive. While the list's keeper is away entries may lapse although
their servers live; they are back shortly after its return. So an entry that is missing then is
doubted for a while before it counts as gone; at all other times a missing entry is gone at once.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass

# Seconds after the list's return within which living servers have entered themselves again (two
# heartbeats of 1.2 s at most, as the operators of the list state it).
RETURN_S = 2.3

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
    models: frozenset[str] = frozenset()

    def holds(self, model: str) -> bool:
        """Whether it answers requests for *model*; empty stands for no model in particular."""
        return not model or not self.models or model in self.models


class ServerList:
    """The servers that are believed in."""

    def __init__(self) -> None:
        self._known: dict[str, Server] = {}
        self._doubted: dict[str, float] = {}
        # Last beat of servers that are gone: an entry of theirs that was written late is no life.
        self._last_beats: dict[str, int] = {}
        self._back_at = 0.0

    def all(self) -> Iterable[Server]:
        """Return every server believed in, leaving ones and doubted ones too."""
        return self._known.values()

    def get(self, ident: str) -> Server | None:
        """Return a server by its identity."""
        return self._known.get(ident)

    def doubted(self) -> list[str]:
        """Return the identities whose entries are believed to have lapsed unheard."""
        return list(self._doubted)

    def returned(self, now: float) -> None:
        """Note that the list's keeper is back after it was away."""
        self._back_at = now + RETURN_S

    def take(self, server: Server) -> bool:
        """Take an entry; returns whether it changed anything."""
        known = self._known.get(server.ident)
        last = known.beat if known else self._last_beats.get(server.ident, -1)
        if server.beat < last or (known is None and server.beat == last):
            return False
        self._doubted.pop(server.ident, None)
        self._known[server.ident] = server
        return known != server

    def missing(self, ident: str, now: float) -> bool:
        """Note that a server has no entry; returns whether it is dropped."""
        if ident not in self._known:
            return False
        if now < self._back_at and not self._known[ident].leaving:
            self._doubted.setdefault(ident, self._back_at)
            return False
        self._drop(ident)
        return True

    def replace(self, servers: Iterable[Server], now: float) -> list[str]:
        """Take a whole list; returns the identities that were dropped."""
        listed = {server.ident: server for server in servers}
        for server in listed.values():
            self.take(server)
        return [
            ident for ident in list(self._known) if ident not in listed and self.missing(ident, now)
        ]

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
