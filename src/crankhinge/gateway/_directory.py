"""Keeps the configuration and the list of servers up to date."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from typing import Any

import curio

from crankhinge.adapters import FleetSource, HistoryLost
from crankhinge.decisions import RouteTable, ServerList
from crankhinge.errors import KeyValueUnavailable

# Longest wait of one watch; a watch that answers nothing costs a call.
WATCH_S = 25.0
# Pauses between attempts while the source is away: soon enough that its return is noticed well
# within the two seconds in which a configuration has to be in force.
FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 0.6
# Seconds between lines that tell that the source is still away; each of its calls fails after 1.5 s
# at most, so that a line stands for a few.
STILL_LOST_S = 5.0
# A watch that was cut and served again within this time missed no heartbeat of a server.
AWAY_S = 1.0


class Directory:
    """What this instance knows of routes and servers, and how old it is.

    Args:
        source: where it comes from.
        log: for events.
        rng: for the pauses between attempts.
    """

    def __init__(self, source: FleetSource, log: Any, rng: random.Random) -> None:
        self.table: RouteTable | None = None
        self.servers = ServerList()
        self.listed = False
        self.heard = {"config": 0.0, "servers": 0.0}
        self.on_gone: list[Callable[[str], Awaitable[None]]] = []
        self._source = source
        self._log = log
        self._rng = rng

    @property
    def known(self) -> bool:
        """Whether requests can be served: there are a configuration and a list."""
        return self.table is not None and self.listed

    async def watch_config(self) -> None:
        """Follow the configuration until cancelled."""
        await self._follow("config", self._read_config, self._next_config)

    async def watch_servers(self) -> None:
        """Follow the list of servers until cancelled."""
        await self._follow("servers", self._read_servers, self._next_servers)

    async def expire(self) -> None:
        """Drop servers that stayed away after the list's return, until cancelled."""
        while True:
            await curio.sleep(MAX_PAUSE_S)
            await self._drop(self.servers.expire(await curio.clock()), "not_back")

    async def _follow(
        self,
        what: str,
        read: Callable[[], Awaitable[int]],
        follow: Callable[[int], Awaitable[int]],
    ) -> None:
        away_since: float | None = None
        told_at, failures, received = 0.0, 0, 0
        pause = FIRST_PAUSE_S
        lost_pause = 0.0
        mark: int | None = None
        while True:
            try:
                followed = mark is not None
                mark = await (read() if mark is None else follow(mark))
            except HistoryLost as exc:
                self._log.info("history_lost", what=what, why=exc.detail)
                mark = None
                # What is read next is current; history that is lost again at once is not pressed.
                await curio.sleep(lost_pause)
                lost_pause = min(MAX_PAUSE_S, lost_pause * 2 or FIRST_PAUSE_S)
                continue
            except KeyValueUnavailable as exc:
                now = await curio.clock()
                if away_since is None:
                    away_since, told_at = now, now
                    failures, received = 0, self._source.received
                    self._log.warning("source_lost", what=what, why=exc.detail)
                failures += 1
                if now - told_at >= STILL_LOST_S:
                    told_at = now
                    self._log.warning(
                        "source_still_lost",
                        what=what,
                        why=exc.detail,
                        away_s=round(now - away_since, 3),
                        failures=failures,
                        received=self._source.received - received,
                    )
                mark = None
                await curio.sleep(pause * self._rng.uniform(0.7, 1.3))
                pause = min(MAX_PAUSE_S, pause * 2)
                continue
            self.heard[what] = await curio.clock()
            if away_since is not None:
                away_s = round(self.heard[what] - away_since, 3)
                self._log.info("source_regained", what=what, away_s=away_s, failures=failures)
            away_since, pause = None, FIRST_PAUSE_S
            if followed:
                lost_pause = 0.0

    async def _read_config(self) -> int:
        seen = await self._source.read_config()
        self._take(seen.table)
        if seen.table is None:
            await curio.sleep(MAX_PAUSE_S)
        return seen.mark

    async def _next_config(self, mark: int) -> int:
        seen = await self._source.watch_config(mark, WATCH_S)
        self._take(seen.table)
        return seen.mark

    def _take(self, table: RouteTable | None) -> None:
        """Put a configuration in force if it is newer; an older one never comes back."""
        if table is None:
            return
        before = self.table.version if self.table else None
        if before is not None and table.version <= before:
            return
        self.table = table
        self._log.info(
            "config_in_force", version=table.version, before=before, routes=len(table.routes)
        )

    async def _read_servers(self) -> int:
        now = await curio.clock()
        heard_s = now - self.heard["servers"]
        if self.listed and heard_s > AWAY_S:
            self.servers.returned(now)
        seen = await self._source.read_servers()
        for server in seen.servers:
            self._enter(server)
        dropped = self.servers.replace(seen.servers, await curio.clock())
        self.listed = True
        self._log.info(
            "servers_listed",
            servers=len(seen.servers),
            heard_s=round(heard_s, 1),
            doubted=len(self.servers.doubted()),
        )
        for ident in self.servers.doubted():
            self._log.info("server_doubted", server=ident, heard_s=round(heard_s, 1))
        await self._drop(dropped, "not_listed")
        return seen.mark

    async def _next_servers(self, mark: int) -> int:
        seen = await self._source.watch_servers(mark, WATCH_S)
        for server in seen.servers:
            self._enter(server)
        now = await curio.clock()
        await self._drop([i for i in seen.gone if self.servers.missing(i, now)], "gone")
        return seen.mark

    def _enter(self, server: Any) -> None:
        known = self.servers.get(server.ident)
        if self.servers.take(server) and (
            known is None or known.leaving != server.leaving or known.phase != server.phase
        ):
            self._log.info(
                "server_seen",
                server=server.ident,
                service=server.service,
                at=f"{server.host}:{server.port}",
                phase=server.phase.value,
                leaving=server.leaving,
                beat=server.beat,
            )

    async def _drop(self, idents: list[str], why: str) -> None:
        for ident in idents:
            self._log.info("server_gone", server=ident, why=why)
            for listener in self.on_gone:
                await listener(ident)
