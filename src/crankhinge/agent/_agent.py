"""The agent: accepts links and passes their messages to the components of the process."""

from __future__ import annotations

from typing import Any

import curio

from crankhinge.adapters import Engine, Instance, KeyValueStore
from crankhinge.agent._adapter_loader import AdapterLoader
from crankhinge.agent._fence_service import FenceService
from crankhinge.agent._role import Role
from crankhinge.agent._settings import AgentSettings
from crankhinge.config import BundleKeeper
from crankhinge.errors import LinkClosed, WireError
from crankhinge.peers import BundlePropagator, HeartbeatSender, InstanceListCache
from crankhinge.runtime import Supervisor, serve_tcp
from crankhinge.wire import (
    WIRE_VERSION,
    GetInstances,
    Heartbeat,
    Hello,
    InstanceListReply,
    InstanceRow,
    Link,
    LoadedAdapters,
    Message,
    accept_link,
    send_if_open,
)

DRAIN_POLL_S = 0.1
AGENT_ROLES = frozenset({"prefill", "decode", "plain"})


class Agent:
    """Accepts links from entries and other agents, and runs the components of the agent.

    Args:
        settings: settings of this agent.
        role: handles the requests of entries and sends them to the backend server.
        kv: client of the key-value service.
        instance_list: local copy of the platform's list of agents.
        propagator: exchanges bundles over the links.
        keeper: holds the active bundle.
        incarnation: incarnation id of this agent. It increases each time the agent starts.
        log: logger for events.
        engine: the engine to load adapters into; None if the server is a plain service.
    """

    def __init__(
        self,
        *,
        settings: AgentSettings,
        role: Role,
        kv: KeyValueStore,
        instance_list: InstanceListCache,
        propagator: BundlePropagator,
        keeper: BundleKeeper,
        incarnation: int,
        log: Any,
        engine: Engine | None = None,
    ) -> None:
        self._settings = settings
        self._role = role
        self._propagator = propagator
        self._keeper = keeper
        self._instance_list = instance_list
        self._incarnation = incarnation
        self._log = log
        self._heartbeat_sender = HeartbeatSender(settings.beat_s, self._make_heartbeat)
        role.on_health_change = self._heartbeat_sender.send_now
        self._fence_service = FenceService(
            agent_name=settings.name,
            incarnation=incarnation,
            kv=kv,
            instance_list=instance_list,
            make_hello=self._make_hello,
            run_link=self._run_link,
            log=log,
        )
        keeper.listeners.append(self._fence_service.apply_bundle)
        self._adapter_loader: AdapterLoader | None = None
        if engine is not None:
            self._adapter_loader = AdapterLoader(
                agent_name=settings.name,
                pool_name=settings.pool,
                engine=engine,
                kv=kv,
                on_change=self._send_loaded_adapters,
                log=log,
            )
            keeper.listeners.append(self._adapter_loader.apply_bundle)

    def _make_heartbeat(self, now: float) -> Heartbeat:
        return Heartbeat(self._keeper.version, self._role.load(now))

    def _make_hello(self) -> Hello:
        settings = self._settings
        return Hello(
            WIRE_VERSION,
            settings.name,
            settings.role,
            settings.zone,
            self._incarnation,
            settings.pool,
            self._keeper.version,
        )

    async def run(self) -> None:
        """Serve until cancelled."""
        supervisor = Supervisor(self._log)
        supervisor.add("listener", self._listen)
        supervisor.add("beats", self._heartbeat_sender.run)
        supervisor.add("role", self._role.run)
        supervisor.add("backend", self._role.watch_backend)
        supervisor.add("bundle", self._propagator.watch)
        supervisor.add("fence", self._fence_service.run)
        supervisor.add("list", self._instance_list.run)
        if self._adapter_loader is not None:
            supervisor.add("adapters", self._adapter_loader.run)
        await supervisor.run()

    async def _send_loaded_adapters(self, names: tuple[str, ...]) -> None:
        """Send the names of the loaded adapters on all links."""
        for link in list(self._heartbeat_sender.links):
            await send_if_open(link, LoadedAdapters(names))

    async def _listen(self) -> None:
        await serve_tcp(self._settings.host, self._settings.port, self._accept, log=self._log)

    async def _accept(self, sock: Any, addr: Any) -> None:
        try:
            link = await accept_link(sock, self._make_hello())
        except (WireError, LinkClosed) as exc:
            self._log.info("link_refused", peer=str(addr), code=exc.code, why=exc.detail)
            return
        await self._run_link(link)

    async def _run_link(self, link: Link) -> None:
        """Handle the messages of a link until it ends; either end may have opened it."""
        self._heartbeat_sender.links.add(link)
        is_agent = link.peer.role in AGENT_ROLES
        try:
            if is_agent:
                await self._fence_service.add_link(link)
            await self._propagator.add_link(link)
            if self._adapter_loader is not None and not is_agent:
                await link.send(LoadedAdapters(self._adapter_loader.loaded_names))
            await self._heartbeat_sender.send_now()
            await link.run(self._handle)
        except (WireError, LinkClosed) as exc:
            self._log.warning("link_broken", peer=link.peer.name, code=exc.code, why=exc.detail)
        finally:
            link.closed = True
            self._heartbeat_sender.links.discard(link)
            self._propagator.remove_link(link)
            if is_agent:
                await self._fence_service.remove_link(link)
            await self._role.cancel_requests_of(link)

    async def _handle(self, link: Link, msg: Message) -> None:
        if await self._propagator.handle_message(link, msg):
            return
        if isinstance(msg, GetInstances):
            await link.send(
                InstanceListReply(tuple(_to_row(i) for i in self._instance_list.instances))
            )
            return
        if not await self._fence_service.handle_message(link, msg):
            await self._role.handle(link, msg)

    async def drain(self) -> None:
        """Refuse new requests and wait for the open ones to end, for at most ``drain_s``."""
        self._log.info("draining")
        self._role.stop_accepting()
        await self._heartbeat_sender.send_now()
        await curio.ignore_after(self._settings.drain_s, self._wait_idle)
        self._log.info("drained", open=self._role.open_requests)

    async def _wait_idle(self) -> None:
        # Two heartbeat intervals let requests arrive that were sent before the entries learned
        # of the drain.
        await curio.sleep(2 * self._settings.beat_s)
        while self._role.is_busy:
            await curio.sleep(DRAIN_POLL_S)


def _to_row(instance: Instance) -> InstanceRow:
    return InstanceRow(
        instance.name,
        instance.host,
        instance.port,
        instance.zone,
        instance.pool,
        instance.leaving,
    )
