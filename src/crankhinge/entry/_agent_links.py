"""Keeps links to agents in the platform's list and updates the router from their messages."""

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

# Bounds of the delay before the next attempt to open a link. The delay doubles with each attempt.
INITIAL_RECONNECT_DELAY_S = 0.1
MAX_RECONNECT_DELAY_S = 5.0
# An agent is removed after it has been missing from the list of agents in this many consecutive
# reads of the list.
MISSES_BEFORE_REMOVAL = 3
# Seconds that one seed agent has to send the list of agents and the bundle.
SEED_TIMEOUT_S = 2.0


class AgentLinks:
    """Keeps a link to each agent that this entry uses, and updates the router from their messages.

    Args:
        settings: settings of this entry.
        instance_list: local copy of the platform's list of agents.
        router: router whose backend servers are updated.
        mailboxes: receives the responses of agents.
        propagator: exchanges bundles over the links.
        keeper: holds the active bundle.
        incarnation: incarnation id of this entry.
        log: logger for events.
        rng: source of the jitter of the reconnect delays.

    Attributes:
        router: router whose backend servers are updated.
        heartbeat_sender: sends heartbeats on all links.
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
        self._instance_list = instance_list
        self._mailboxes = mailboxes
        self._propagator = propagator
        self._keeper = keeper
        self._incarnation = incarnation
        self._log = log
        self._rng = rng
        self._links: dict[str, Link] = {}
        self._link_tasks: dict[str, curio.Task] = {}
        self._instances: dict[str, Instance] = {}
        self._miss_counts: dict[str, int] = {}
        self._fence_replicas: frozenset[str] = frozenset()

    @property
    def dropped_messages(self) -> int:
        """Number of received messages that no request was waiting for."""
        return self._mailboxes.dropped_count

    @property
    def link_count(self) -> int:
        """Number of agents that this entry has a link to."""
        return len(self._links)

    def apply_bundle(self, bundle: Bundle) -> None:
        """Use the transfer costs of a bundle, and remember which agents keep fence records."""
        pairs = [pair for pool in bundle.pools for pair in pool.fence]
        self._fence_replicas = frozenset(name for pair in pairs for name in pair)
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
            LinkClosed: there is no link to this agent at present.
        """
        link = self._links.get(name)
        if link is None:
            raise LinkClosed(name)
        return link

    async def run(self) -> None:
        """Read the list of agents repeatedly and adapt the links to it, until cancelled.

        While the list is unavailable, the links to the known agents stay. If no agent is known, the
        list is requested from the seed agents.
        """
        while True:
            if not await self._instance_list.refresh() and not self._instance_list.instances:
                await self._load_from_seeds()
            if self._instance_list.instances:
                await self._update_agents(self._instance_list.instances)
            await self._instance_list.sleep_until_refresh()

    async def _load_from_seeds(self) -> None:
        """Get the list and the bundle from the first agent in ``seeds`` that provides the list."""
        for seed in self._settings.seeds:
            try:
                link = await connect_link(*parse_endpoint(seed), self._make_hello())
                await self._propagator.add_link(link)
                await link.send(GetInstances())
                await curio.ignore_after(SEED_TIMEOUT_S, link.run, self._handle_seed_message)
            except (LinkClosed, WireError) as exc:
                self._log.info("seed_failed", seed=seed, code=exc.code, why=exc.detail)
                continue
            finally:
                self._propagator.links -= {link for link in self._propagator.links if link.closed}
            if self._instance_list.instances:
                return

    async def _handle_seed_message(self, link: Link, msg: Message) -> None:
        if isinstance(msg, InstanceListReply):
            self._instance_list.instances = [
                Instance(r.name, r.host, r.port, r.zone, r.pool, r.leaving) for r in msg.rows
            ]
            if self._keeper.view is not None:
                await link.close()
            return
        await self._propagator.handle_message(link, msg)
        if self._instance_list.instances and self._keeper.view is not None:
            await link.close()

    async def _update_agents(self, instances: list[Instance]) -> None:
        chosen = choose_agents(
            instances,
            entry_name=self._settings.name,
            max_per_pool=self._settings.subset,
            required_names=self._fence_replicas,
        )
        for name, instance in chosen.items():
            self._miss_counts.pop(name, None)
            await self._add_agent(name, instance)
        for name in [name for name in self._instances if name not in chosen]:
            await self._count_miss(name)

    async def _add_agent(self, name: str, instance: Instance) -> None:
        has_moved = name in self._instances and _address(self._instances[name]) != _address(
            instance
        )
        if has_moved:
            await self._remove_agent(name)
        self._instances[name] = instance
        backend = self.router.backends.get(name)
        if backend is None:
            backend = Backend(name, "", instance.pool, instance.zone)
            self.router.add_backend(backend)
        backend.leaving = instance.leaving
        if name not in self._link_tasks:
            self._link_tasks[name] = await curio.spawn(self._keep_linked, name, daemon=True)

    async def _count_miss(self, name: str) -> None:
        """Count a read of the list in which the agent *name* is missing.

        After ``MISSES_BEFORE_REMOVAL`` consecutive reads without it, the agent is removed, unless
        this entry still has a link to it.
        """
        self._miss_counts[name] = self._miss_counts.get(name, 0) + 1
        if self._miss_counts[name] >= MISSES_BEFORE_REMOVAL and name not in self._links:
            await self._remove_agent(name)

    async def _remove_agent(self, name: str) -> None:
        task = self._link_tasks.pop(name, None)
        if task is not None:
            await task.cancel()
        self._instances.pop(name, None)
        self._miss_counts.pop(name, None)
        self.router.remove_backend(name)

    async def _keep_linked(self, name: str) -> None:
        delay_s = INITIAL_RECONNECT_DELAY_S
        while True:
            try:
                started_at = await curio.clock()
                await self._run_link(name)
                if await curio.clock() - started_at > MAX_RECONNECT_DELAY_S:
                    delay_s = INITIAL_RECONNECT_DELAY_S
            except (LinkClosed, WireError) as exc:
                self._log.info("link_failed", agent=name, code=exc.code, why=exc.detail)
            await curio.sleep(delay_s * self._rng.uniform(0.5, 1.5))
            delay_s = min(MAX_RECONNECT_DELAY_S, delay_s * 2)

    def _make_hello(self) -> Hello:
        settings = self._settings
        return Hello(
            WIRE_VERSION,
            settings.name,
            "entry",
            settings.zone,
            self._incarnation,
            bundle_version=self._keeper.version,
        )

    async def _run_link(self, name: str) -> None:
        instance = self._instances[name]
        link = await connect_link(instance.host, instance.port, self._make_hello())
        if link.peer.name != name:
            await link.close()
            raise WireError(f"{link.peer.name} responds at the address of {name}")
        self._apply_hello(name, link)
        self._links[name] = link
        self.heartbeat_sender.links.add(link)
        try:
            await self._propagator.add_link(link)
            await link.run(self._handle)
        finally:
            link.closed = True
            await self._remove_link(name, link)

    def _apply_hello(self, name: str, link: Link) -> None:
        backend = self.router.backends[name]
        peer = link.peer
        if peer.incarnation != backend.incarnation:
            # The agent has restarted, and does not know the requests that were sent to its previous
            # incarnation. So the counts of these requests start again at 0.
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

    async def _remove_link(self, name: str, link: Link) -> None:
        self.heartbeat_sender.links.discard(link)
        self._propagator.remove_link(link)
        if self._links.get(name) is link:
            del self._links[name]
        backend = self.router.backends.get(name)
        if backend is not None:
            backend.linked = False
        self._log.info("link_ended", agent=name)
        await self._mailboxes.fail_link(link)

    async def _handle(self, link: Link, msg: Message) -> None:
        if await self._propagator.handle_message(link, msg):
            return
        if isinstance(msg, LoadedAdapters):
            self.router.backends[link.peer.name].adapters = frozenset(msg.adapters)
            return
        load = getattr(msg, "load", None)
        if load is not None:
            await self._record_load(link, load)
        if isinstance(msg, Heartbeat):
            return
        await self._mailboxes.deliver(link, msg)

    async def _record_load(self, link: Link, load: Load) -> None:
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
