"""Keeps the configuration and the list of servers up to date."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import curio

from crankhinge.adapters import ConfigUpdate, DiscoverySource, ServersUpdate, TooMuchChanged
from crankhinge.decisions import (
    FreshnessBounds,
    RouteTable,
    Server,
    ServerList,
    ServerListChange,
)
from crankhinge.gateway._source_watcher import CallResult, SourceWatcher

# The response to a watch carries every version of the configuration since the watched revision. A
# response larger than the last version by this factor holds several versions, of which only the
# newest is wanted. Then the configuration is read instead, since a link of 5 Mbit/s takes 2.1 s for
# a value of 1 MB, and more versions are written meanwhile. Responses up to MIN_WATCH_BYTES, which
# such a link carries in a tenth of a second, are accepted in any case.
READ_INSTEAD_FACTOR = 1.5
MIN_WATCH_BYTES = 64 * 1024
# Seconds until the source is asked again whether there is a first configuration.
NO_CONFIG_PAUSE_S = 0.6


class Discovery:
    """What this instance knows about configuration and servers, and how old that is.

    Args:
        source: source of the configuration and the list of servers.
        freshness: bounds of how old they may become.
        log: log for events.
        rng: source of the jitter of retry delays.

    Attributes:
        config: the active configuration: routes, services, accounts and limits; None before the
            first one.
        servers: the backend servers.
        has_server_list: whether the list of servers was read at least once.
        on_server_gone: each is called with the incarnation id of a server that is gone.
        on_server_restarted: each is called with the earlier incarnation id of a server that has
            restarted, before it is gone, and with the software version of the later one.
        before_list_change: called with the servers that are about to be listed.
        config_watcher: watches the configuration.
        server_list_watcher: watches the list of servers.
    """

    def __init__(
        self, source: DiscoverySource, freshness: FreshnessBounds, log: Any, rng: random.Random
    ) -> None:
        self.config: RouteTable | None = None
        self.servers = ServerList()
        self.has_server_list = False
        self.on_server_gone: list[Callable[[str], Awaitable[None]]] = []
        self.on_server_restarted: list[Callable[[str, str], Awaitable[None]]] = []
        self.before_list_change: Callable[[Iterable[Server]], Awaitable[None]] | None = None
        self._source = source
        self._freshness = freshness
        self._log = log
        self._config_bytes = 0
        self._suspects_added = curio.Event()
        self.config_watcher = SourceWatcher(
            "config",
            read=self._read_config,
            watch=self._watch_config,
            watch_wait_s=freshness.config_watch_wait_s,
            pause_s=freshness.config_pause_s,
            source=source,
            log=log,
            rng=rng,
        )
        self.server_list_watcher = SourceWatcher(
            "servers",
            read=self._read_servers,
            watch=self._watch_servers,
            watch_wait_s=lambda age_s: freshness.max_watch_wait_s,
            pause_s=freshness.list_pause_s,
            source=source,
            log=log,
            rng=rng,
        )

    @property
    def has_data(self) -> bool:
        """Whether requests can be served: there are a configuration and a list of servers."""
        return self.config is not None and self.has_server_list

    def keys_age_s(self, now: float) -> float:
        """Return the age of what this instance knows about keys, in seconds."""
        return now - self.config_watcher.current_at

    def may_use_keys(self, now: float) -> bool:
        """Return whether what this instance knows about keys is recent enough to serve requests."""
        return self.keys_age_s(now) <= self._freshness.max_key_age_s

    async def expire_suspects(self) -> None:
        """Remove suspect servers whose entries do not come back in time, until cancelled.

        A server is suspect if its entry is missing from the list but may only have lapsed during an
        outage of the store.
        """
        while True:
            await self._suspects_added.wait()
            self._suspects_added.clear()
            while (due := self.servers.next_suspect_expiry()) is not None:
                await curio.sleep(max(0.0, due - await curio.clock()))
                for incarnation_id in self.servers.expire_suspects(await curio.clock()):
                    await self._remove_server(incarnation_id, "not_back")

    async def _read_config(self) -> CallResult:
        update = await self._source.read_config()
        self._apply_config(update)
        if update.table is None:
            await curio.sleep(NO_CONFIG_PAUSE_S)
        return CallResult(update.revision, may_batch=update.table is not None)

    async def _watch_config(self, revision: int, wait_s: float) -> CallResult:
        max_bytes = max(MIN_WATCH_BYTES, round(READ_INSTEAD_FACTOR * self._config_bytes))
        try:
            update = await self._source.watch_config(revision, wait_s, max_bytes)
        except TooMuchChanged as exc:
            self._log.info("config_passed_over", why=exc.detail)
            return await self._read_config()
        self._apply_config(update)
        return CallResult(
            update.revision, may_batch=update.table is not None, unchanged=update.table is None
        )

    def _apply_config(self, update: ConfigUpdate) -> None:
        """Activate a configuration if it is newer than the active one."""
        if update.table is None:
            return
        before = self.config.version if self.config else None
        if before is not None and update.table.version <= before:
            return
        self.config = update.table
        self._config_bytes = update.size_bytes
        self._log.info(
            "config_in_force",
            version=update.table.version,
            before=before,
            routes=len(update.table.routes),
            size=update.size_bytes,
        )

    async def _read_servers(self) -> CallResult:
        update = await self._source.read_servers()
        await self._before_list_change(update.servers)
        now = await curio.clock()
        was_unreachable = self.server_list_watcher.was_unreachable
        change = self.servers.apply_list(
            update.servers, now, was_unreachable=was_unreachable, unusable=update.unusable
        )
        self.has_server_list = True
        self._log.info(
            "servers_listed",
            servers=len(update.servers),
            heard_s=self._since_list_response_s(now),
            was_away=was_unreachable,
            doubted=len(change.suspected),
        )
        await self._report_changes(change, "not_listed", now)
        return CallResult(update.revision, may_batch=self._may_batch(update))

    async def _watch_servers(self, revision: int, wait_s: float) -> CallResult:
        update = await self._source.watch_servers(revision, wait_s)
        await self._before_list_change((*update.servers, *self.servers.all()))
        now = await curio.clock()
        was_unreachable = self.server_list_watcher.was_unreachable
        change = self.servers.apply_changes(
            update.servers,
            update.removed,
            now,
            was_unreachable=was_unreachable,
            unusable=update.unusable,
        )
        await self._report_changes(change, "gone", now)
        return CallResult(update.revision, may_batch=self._may_batch(update))

    async def _before_list_change(self, servers: Iterable[Server]) -> None:
        if self.before_list_change is not None:
            await self.before_list_change(servers)

    def _may_batch(self, update: ServersUpdate) -> bool:
        """Return whether the next call may wait for further changes after these.

        It must not while servers are suspect: each entry that comes back gives callers a server.
        """
        return bool(update.servers or update.removed) and not self.servers.suspects()

    def _since_list_response_s(self, now: float) -> float | None:
        """Return the seconds since the last response about the list; None before the first."""
        return (
            None
            if self.server_list_watcher.received_at is None
            else round(now - self.server_list_watcher.received_at, 1)
        )

    async def _report_changes(self, change: ServerListChange, why: str, now: float) -> None:
        """Log a change of the list, remove servers that are gone, and let suspects expire later."""
        for server in change.changed:
            self._log.info(
                "server_seen",
                server=server.incarnation_id,
                service=server.service,
                at=f"{server.host}:{server.port}",
                phase=server.role.value,
                leaving=server.leaving,
                version=server.version,
                beat=server.heartbeat,
            )
        for incarnation_id in change.restarted:
            later = self.servers.get_successor(incarnation_id)
            for listener in self.on_server_restarted:
                await listener(incarnation_id, "" if later is None else later.version)
            await self._remove_server(incarnation_id, "born_again")
        for incarnation_id in change.removed:
            await self._remove_server(incarnation_id, why)
        for incarnation_id in change.suspected:
            self._log.info(
                "server_doubted", server=incarnation_id, heard_s=self._since_list_response_s(now)
            )
        if change.suspected:
            await self._suspects_added.set()

    async def record_restart(self, server: Server, started_ms: int) -> None:
        """Replace a listed server by the later incarnation that its report shows."""
        change = self.servers.apply_restart(server, started_ms)
        await self._report_changes(change, "gone", await curio.clock())

    async def _remove_server(self, incarnation_id: str, why: str) -> None:
        self._log.info("server_gone", server=incarnation_id, why=why)
        for listener in self.on_server_gone:
            await listener(incarnation_id)
