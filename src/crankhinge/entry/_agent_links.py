"""The agents this entry knows: found in the platform's list, judged by what it sees of them."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any

import curio

from crankhinge.adapters import Instance
from crankhinge.config import Bundle, BundleKeeper
from crankhinge.decisions import Backend, Router
from crankhinge.entry._agent_subset import choose_agents
from crankhinge.entry._mailboxes import Mailboxes
from crankhinge.entry._settings import EntrySettings
from crankhinge.errors import LinkClosed, WireError
from crankhinge.peers import BundlePropagator, HeartbeatSender, InstanceListCache, parse_endpoint
from crankhinge.wire import (
    WIRE_VERSION,
    GetInstances,
    Heartbeat,
    Hello,
    InstanceListReply,
    Link,
    Load,
    LoadedAdapters,
    Message,
    connect_link,
)

INITIAL_RECONNECT_DELAY_S = 0.1
MAX_RECONNECT_DELAY_S = 5.0
MISSES_BEFORE_REMOVAL = 3
SEED_TIMEOUT_S = 2.0


class AgentLinks:
    """Keeps the links to the agents and the router's view of them.

    Args:
        settings: of this entry.
        instance_list: the platform's list.
        router: told what is seen.
        mailboxes: told what arrives.
        propagator: told of links and bundles.
        keeper: holds the bundle.
        heartbeat_sender: sends heartbeats.
        incarnation: of this entry.
        log: for events.
        rng: for pauses.
    """

    def __init__(
        self,
        *,
        settings: EntrySettings,
        instance_list: InstanceListCache,
        router: Router,
        mailboxes: Mailboxes,
        propagator: BundlePropagator,
        keeper: BundleKeeper,
        incarnation: int,
        log: Any,
        rng: random.Random,
    ) -> None:
        self.router = router
        self.heartbeat_sender = HeartbeatSender(
            settings.beat_s, lambda _now: Heartbeat(keeper.version)
        )
        self._settings = settings
        self._roster = instance_list
        self._calls = mailboxes
        self._spread = propagator
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
    def dropped_messages(self) -> int:
        """Messages that came for no request: late or crossed."""
        return self._calls.dropped_count

    @property
    def link_count(self) -> int:
        """Agents that this entry has a link to."""
        return len(self._links)

    def apply_bundle(self, bundle: Bundle) -> None:
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

    def get_link(self, name: str) -> Link:
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
                await curio.ignore_after(SEED_TIMEOUT_S, link.run, self._handle_seed)
            except (LinkClosed, WireError) as exc:
                self._log.info("seed_failed", seed=seed, code=exc.code, why=exc.detail)
                continue
            finally:
                self._spread.links -= {link for link in self._spread.links if link.closed}
            if self._roster.instances:
                return

    async def _handle_seed(self, link: Link, msg: Message) -> None:
        if isinstance(msg, InstanceListReply):
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
        chosen = choose_agents(
            listed,
            entry_name=self._settings.name,
            max_per_pool=self._settings.subset,
            required_names=self._holders,
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
        if self._missing[name] >= MISSES_BEFORE_REMOVAL and name not in self._links:
            await self._drop(name)

    async def _drop(self, name: str) -> None:
        task = self._keepers.pop(name, None)
        if task is not None:
            await task.cancel()
        self._places.pop(name, None)
        self._missing.pop(name, None)
        self.router.remove_backend(name)

    async def _stay_linked(self, name: str) -> None:
        pause = INITIAL_RECONNECT_DELAY_S
        while True:
            try:
                began = await curio.clock()
                await self._link_once(name)
                if await curio.clock() - began > MAX_RECONNECT_DELAY_S:
                    pause = INITIAL_RECONNECT_DELAY_S
            except (LinkClosed, WireError) as exc:
                self._log.info("link_failed", agent=name, code=exc.code, why=exc.detail)
            await curio.sleep(pause * self._rng.uniform(0.5, 1.5))
            pause = min(MAX_RECONNECT_DELAY_S, pause * 2)

    def _hello(self) -> Hello:
        settings = self._settings
        return Hello(
            WIRE_VERSION,
            settings.name,
            "entry",
            settings.zone,
            self._incarnation,
            bundle_version=self._keeper.version,
        )

    async def _link_once(self, name: str) -> None:
        place = self._places[name]
        link = await connect_link(place.host, place.port, self._hello())
        if link.peer.name != name:
            await link.close()
            raise WireError(f"{link.peer.name} answers at the address of {name}")
        self._introduce(name, link)
        self._links[name] = link
        self.heartbeat_sender.links.add(link)
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
        self.heartbeat_sender.links.discard(link)
        self._spread.remove_link(link)
        if self._links.get(name) is link:
            del self._links[name]
        backend = self.router.backends.get(name)
        if backend is not None:
            backend.linked = False
        self._log.info("link_ended", agent=name)
        await self._calls.fail_link(link)

    async def _handle(self, link: Link, msg: Message) -> None:
        if await self._spread.handle_message(link, msg):
            return
        if isinstance(msg, LoadedAdapters):
            self.router.backends[link.peer.name].adapters = frozenset(msg.adapters)
            return
        load = getattr(msg, "load", None)
        if load is not None:
            await self._note_load(link, load)
        if isinstance(msg, Heartbeat):
            return
        await self._calls.deliver(link, msg)

    async def _note_load(self, link: Link, load: Load) -> None:
        self.router.record_report(
            link.peer.name,
            await curio.clock(),
            free=load.free_slots,
            queued=load.queued,
            backlog_s=load.backlog_s,
            step_s=load.step_s,
            rate=load.tokens_per_s,
            draining=load.draining,
        )


def _address(instance: Instance) -> tuple[str, int]:
    return instance.host, instance.port
