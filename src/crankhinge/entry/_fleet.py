"""The agents this entry knows: found in the platform's list, judged by what it sees of them."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any

import curio

from crankhinge.adapters import Instance
from crankhinge.config import Bundle, BundleKeeper
from crankhinge.decisions import Backend, Router
from crankhinge.entry._calls import Calls
from crankhinge.entry._settings import EntrySettings
from crankhinge.entry._subset import subset
from crankhinge.errors import LinkClosed, WireError
from crankhinge.peers import BundlePropagator, HeartbeatSender, InstanceListCache, parse_endpoint
from crankhinge.wire import (
    WIRE_VERSION,
    Beat,
    GetInstances,
    Hello,
    InstancesAre,
    Link,
    Load,
    Message,
    Serves,
    connect_link,
)

FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 5.0
GONE_READINGS = 3
SEED_S = 2.0


class Fleet:
    """Keeps the links to the agents and the router's view of them.

    Args:
        settings: of this entry.
        roster: the platform's list.
        router: told what is seen.
        calls: told what arrives.
        spread: told of links and bundles.
        keeper: holds the bundle.
        beater: sends heartbeats.
        incarnation: of this entry.
        log: for events.
        rng: for pauses.
    """

    def __init__(
        self,
        *,
        settings: EntrySettings,
        roster: InstanceListCache,
        router: Router,
        calls: Calls,
        spread: BundlePropagator,
        keeper: BundleKeeper,
        incarnation: int,
        log: Any,
        rng: random.Random,
    ) -> None:
        self.router = router
        self.beater = HeartbeatSender(settings.beat_s, lambda _now: Beat(keeper.version))
        self._settings = settings
        self._roster = roster
        self._calls = calls
        self._spread = spread
        self._keeper = keeper
        self._incarnation = incarnation
        self._log = log
        self._rng = rng
        self._links: dict[str, Link] = {}
        self._keepers: dict[str, curio.Task] = {}
        self._places: dict[str, Instance] = {}
        self._missing: dict[str, int] = {}
        self._holders: frozenset[str] = frozenset()

    @property
    def dropped(self) -> int:
        """Messages that came for no request: late or crossed."""
        return self._calls.dropped

    @property
    def linked(self) -> int:
        """Agents that this entry has a link to."""
        return len(self._links)

    def apply(self, bundle: Bundle) -> None:
        """Take over the links' rates and who keeps records."""
        pairs = [pair for pool in bundle.pools for pair in pool.fence]
        self._holders = frozenset(name for pair in pairs for name in pair)
        transfer = bundle.transfer
        self.router.costs = replace(
            self.router.costs,
            kv_bytes_per_token=transfer.kv_bytes_per_token,
            same_zone_bytes_per_s=transfer.same_zone_bytes_per_s,
            cross_zone_bytes_per_s=transfer.cross_zone_bytes_per_s,
            cross_zone_s=transfer.cross_zone_s,
        )

    def link(self, name: str) -> Link:
        """Return the link to an agent.

        Raises:
            LinkClosed: when there is none now.
        """
        link = self._links.get(name)
        if link is None:
            raise LinkClosed(name)
        return link

    async def run(self) -> None:
        """Follow the list until cancelled. While it can't be read, what is known stays."""
        while True:
            if not await self._roster.refresh() and not self._roster.instances:
                await self._ask_seeds()
            if self._roster.instances:
                await self._update(self._roster.instances)
            await self._roster.sleep_until_refresh()

    async def _ask_seeds(self) -> None:
        """Have the list, and with it the bundle, from an agent that the settings name."""
        for seed in self._settings.seeds:
            try:
                link = await connect_link(*parse_endpoint(seed), self._hello())
                await self._spread.add_link(link)
                await link.send(GetInstances())
                await curio.ignore_after(SEED_S, link.run, self._handle_seed)
            except (LinkClosed, WireError) as exc:
                self._log.info("seed_failed", seed=seed, code=exc.code, why=exc.detail)
                continue
            finally:
                self._spread.links -= {link for link in self._spread.links if link.closed}
            if self._roster.instances:
                return

    async def _handle_seed(self, link: Link, msg: Message) -> None:
        if isinstance(msg, InstancesAre):
            self._roster.instances = [
                Instance(r.name, r.host, r.port, r.zone, r.pool, r.leaving) for r in msg.rows
            ]
            if self._keeper.view is not None:
                await link.close()
            return
        await self._spread.handle_message(link, msg)
        if self._roster.instances and self._keeper.view is not None:
            await link.close()

    async def _update(self, listed: list[Instance]) -> None:
        chosen = subset(
            listed, entry=self._settings.name, limit=self._settings.subset, always=self._holders
        )
        for name, instance in chosen.items():
            self._missing.pop(name, None)
            await self._keep(name, instance)
        for name in [name for name in self._places if name not in chosen]:
            await self._miss(name)

    async def _keep(self, name: str, instance: Instance) -> None:
        moved = name in self._places and _address(self._places[name]) != _address(instance)
        if moved:
            await self._drop(name)
        self._places[name] = instance
        backend = self.router.backends.get(name)
        if backend is None:
            backend = Backend(name, "", instance.pool, instance.zone)
            self.router.add_backend(backend)
        backend.leaving = instance.leaving
        if name not in self._keepers:
            self._keepers[name] = await curio.spawn(self._stay_linked, name, daemon=True)

    async def _miss(self, name: str) -> None:
        """Drop an agent that several readings of the list don't show and that isn't linked."""
        self._missing[name] = self._missing.get(name, 0) + 1
        if self._missing[name] >= GONE_READINGS and name not in self._links:
            await self._drop(name)

    async def _drop(self, name: str) -> None:
        task = self._keepers.pop(name, None)
        if task is not None:
            await task.cancel()
        self._places.pop(name, None)
        self._missing.pop(name, None)
        self.router.remove_backend(name)

    async def _stay_linked(self, name: str) -> None:
        pause = FIRST_PAUSE_S
        while True:
            try:
                began = await curio.clock()
                await self._link_once(name)
                if await curio.clock() - began > MAX_PAUSE_S:
                    pause = FIRST_PAUSE_S
            except (LinkClosed, WireError) as exc:
                self._log.info("link_failed", agent=name, code=exc.code, why=exc.detail)
            await curio.sleep(pause * self._rng.uniform(0.5, 1.5))
            pause = min(MAX_PAUSE_S, pause * 2)

    def _hello(self) -> Hello:
        settings = self._settings
        return Hello(
            WIRE_VERSION,
            settings.name,
            "entry",
            settings.zone,
            self._incarnation,
            bundle=self._keeper.version,
        )

    async def _link_once(self, name: str) -> None:
        place = self._places[name]
        link = await connect_link(place.host, place.port, self._hello())
        if link.peer.name != name:
            await link.close()
            raise WireError(f"{link.peer.name} answers at the address of {name}")
        self._introduce(name, link)
        self._links[name] = link
        self.beater.links.add(link)
        try:
            await self._spread.add_link(link)
            await link.run(self._handle)
        finally:
            link.closed = True
            await self._unlink(name, link)

    def _introduce(self, name: str, link: Link) -> None:
        backend = self.router.backends[name]
        peer = link.peer
        if peer.incarnation != backend.incarnation:
            # A new process knows nothing of what the old one held.
            backend.sent_since_report = 0
            backend.sent_work_s = 0.0
            backend.open_requests = 0
            backend.draining = False
            backend.adapters = frozenset()
        backend.role = peer.role
        backend.zone = peer.zone
        backend.incarnation = peer.incarnation
        backend.linked = True
        if backend.pool != peer.pool:
            backend.pool = peer.pool
            self.router.add_backend(backend)

    async def _unlink(self, name: str, link: Link) -> None:
        self.beater.links.discard(link)
        self._spread.remove_link(link)
        if self._links.get(name) is link:
            del self._links[name]
        backend = self.router.backends.get(name)
        if backend is not None:
            backend.linked = False
        self._log.info("link_ended", agent=name)
        await self._calls.fail(link)

    async def _handle(self, link: Link, msg: Message) -> None:
        if await self._spread.handle_message(link, msg):
            return
        if isinstance(msg, Serves):
            self.router.backends[link.peer.name].adapters = frozenset(msg.names)
            return
        load = getattr(msg, "load", None)
        if load is not None:
            await self._note_load(link, load)
        if isinstance(msg, Beat):
            return
        await self._calls.deliver(link, msg)

    async def _note_load(self, link: Link, load: Load) -> None:
        self.router.record_report(
            link.peer.name,
            await curio.clock(),
            free=load.free,
            queued=load.queued,
            backlog_s=load.backlog_s,
            step_s=load.step_s,
            rate=load.rate,
            draining=load.draining,
        )


def _address(instance: Instance) -> tuple[str, int]:
    return instance.host, instance.port
