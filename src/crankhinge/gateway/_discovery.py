"""Keeps the configuration and the list of servers up to date."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from typing import Any

import curio

from crankhinge.adapters import ConfigUpdate, DiscoverySource, ServersUpdate, TooMuchChanged
from crankhinge.decisions import FreshnessBounds, RouteTable, ServerList, ServerListChange
from crankhinge.gateway._source_watcher import CallResult, SourceWatcher

# A watch carries every version of the configuration since its mark. An answer this many times as
# long as the last version holds several, of which only the newest is wanted: it is read instead,
# since a link of 5 Mbit/s takes 2.1 s for a value of 1 MB and more are written meanwhile. What such
# a link carries in a tenth of a second is taken in any case.
READ_INSTEAD_FACTOR = 1.5
MIN_WATCH_BYTES = 64 * 1024
# Seconds until it is asked again whether there is a first configuration.
NO_CONFIG_PAUSE_S = 0.6


class Discovery:
    """What this instance knows of routes and servers, and how old it is.

    Args:
        source: where it comes from.
        freshness: how old it may become.
        log: for events.
        rng: for the pauses between attempts.
    """

    def __init__(
        self, source: DiscoverySource, freshness: FreshnessBounds, log: Any, rng: random.Random
    ) -> None:
        self.table: RouteTable | None = None
        self.servers = ServerList()
        self.has_server_list = False
        self.on_server_gone: list[Callable[[str], Awaitable[None]]] = []
        self._source = source
        self._freshness = freshness
        self._log = log
        self._config_bytes = 0
        self._doubting = curio.Event()
        self.config_watcher = SourceWatcher(
            "config",
            read=self._read_config,
            watch=self._next_config,
            watch_wait_s=freshness.config_watch_wait_s,
            pause_s=freshness.config_pause_s,
            source=source,
            log=log,
            rng=rng,
        )
        self.server_list_watcher = SourceWatcher(
            "servers",
            read=self._read_servers,
            watch=self._next_servers,
            watch_wait_s=lambda age_s: freshness.max_watch_wait_s,
            pause_s=freshness.list_pause_s,
            source=source,
            log=log,
            rng=rng,
        )

    @property
    def has_data(self) -> bool:
        """Whether requests can be served: there are a configuration and a list."""
        return self.table is not None and self.has_server_list

    def keys_age_s(self, now: float) -> float:
        """Return the age of what is known of keys, in seconds."""
        return now - self.config_watcher.current_at

    def may_use_keys(self, now: float) -> bool:
        """Whether what is known of keys is young enough to serve by."""
        return self.keys_age_s(now) <= self._freshness.max_key_age_s

    async def expire_suspects(self) -> None:
        """Drop servers that stayed away after the list's return, until cancelled."""
        while True:
            await self._doubting.wait()
            self._doubting.clear()
            while (due := self.servers.next_suspect_expiry()) is not None:
                await curio.sleep(max(0.0, due - await curio.clock()))
                for ident in self.servers.expire_suspects(await curio.clock()):
                    await self._forget(ident, "not_back")

    async def _read_config(self) -> CallResult:
        seen = await self._source.read_config()
        self._take(seen)
        if seen.table is None:
            await curio.sleep(NO_CONFIG_PAUSE_S)
        return CallResult(seen.revision, may_batch=seen.table is not None)

    async def _next_config(self, mark: int, wait_s: float) -> CallResult:
        most_bytes = max(MIN_WATCH_BYTES, round(READ_INSTEAD_FACTOR * self._config_bytes))
        try:
            seen = await self._source.watch_config(mark, wait_s, most_bytes)
        except TooMuchChanged as exc:
            self._log.info("config_passed_over", why=exc.detail)
            return await self._read_config()
        self._take(seen)
        return CallResult(
            seen.revision, may_batch=seen.table is not None, unchanged=seen.table is None
        )

    def _take(self, seen: ConfigUpdate) -> None:
        """Put a configuration in force if it is newer; an older one never comes back."""
        if seen.table is None:
            return
        before = self.table.version if self.table else None
        if before is not None and seen.table.version <= before:
            return
        self.table = seen.table
        self._config_bytes = seen.size_bytes
        self._log.info(
            "config_in_force",
            version=seen.table.version,
            before=before,
            routes=len(seen.table.routes),
            size=seen.size_bytes,
        )

    async def _read_servers(self) -> CallResult:
        seen = await self._source.read_servers()
        now = await curio.clock()
        was_away = self.server_list_watcher.was_unreachable
        change = self.servers.apply_list(
            seen.servers, now, was_unreachable=was_away, unusable=seen.unusable
        )
        self.has_server_list = True
        self._log.info(
            "servers_listed",
            servers=len(seen.servers),
            heard_s=self._heard_s(now),
            was_away=was_away,
            doubted=len(change.suspected),
        )
        await self._tell(change, "not_listed", now)
        return CallResult(seen.revision, may_batch=self._gathers(seen))

    async def _next_servers(self, mark: int, wait_s: float) -> CallResult:
        seen = await self._source.watch_servers(mark, wait_s)
        now = await curio.clock()
        was_away = self.server_list_watcher.was_unreachable
        change = self.servers.apply_changes(
            seen.servers, seen.removed, now, was_unreachable=was_away, unusable=seen.unusable
        )
        await self._tell(change, "gone", now)
        return CallResult(seen.revision, may_batch=self._gathers(seen))

    def _gathers(self, seen: ServersUpdate) -> bool:
        """Whether more changes may wait after these.

        Not while servers are doubted: each entry that is back gives callers a server.
        """
        return bool(seen.servers or seen.removed) and not self.servers.suspects()

    def _heard_s(self, now: float) -> float | None:
        """Return how long ago the list was last heard of, in seconds."""
        return (
            None
            if self.server_list_watcher.received_at is None
            else round(now - self.server_list_watcher.received_at, 1)
        )

    async def _tell(self, change: ServerListChange, why: str, now: float) -> None:
        """Write what changed, and see to it that nobody is doubted for long."""
        for server in change.changed:
            self._log.info(
                "server_seen",
                server=server.incarnation_id,
                service=server.service,
                at=f"{server.host}:{server.port}",
                phase=server.role.value,
                leaving=server.leaving,
                beat=server.heartbeat,
            )
        for ident in change.restarted:
            await self._forget(ident, "born_again")
        for ident in change.removed:
            await self._forget(ident, why)
        for ident in change.suspected:
            self._log.info("server_doubted", server=ident, heard_s=self._heard_s(now))
        if change.suspected:
            await self._doubting.set()

    async def _forget(self, ident: str, why: str) -> None:
        self._log.info("server_gone", server=ident, why=why)
        for listener in self.on_server_gone:
            await listener(ident)
