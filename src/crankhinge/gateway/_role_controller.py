"""Sends engines orders to change their roles; only one instance does so at a time.

An instance acquires the order lease only when it wants to change roles, and lets it expire
afterwards. It sends the orders of one change one after the other, and stops at the first engine
that does not respond or refuses the order. Then it keeps the lease, so that no instance sends
orders, until the entries of the engines show the outcome or a time limit has passed.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import Any

import curio

from crankhinge.adapters import EngineState, OrderLease, OrderLeaseStore, OrderOutcome
from crankhinge.decisions import (
    MIN_ANSWERS_TO_GROW_PREFILL,
    EngineRole,
    Server,
    Service,
    order_by_versions,
    wanted_prompt_engines,
)
from crankhinge.errors import BadHttp, KeyValueUnavailable
from crankhinge.gateway._backends import Backends
from crankhinge.gateway._discovery import Discovery
from crankhinge.gateway._peer_messages import EngineOrdered
from crankhinge.gateway._peer_messenger import PeerMessenger
from crankhinge.gateway._record_sync import InstanceRecordSync

# Seconds between checks of the split.
SPLIT_CHECK_INTERVAL_S = 1.0
# Consecutive checks that have to want the same change before it is made, so that a state that lasts
# only for a moment, for instance while a crashed server restarts, changes no roles.
CONSISTENT_CHECKS = 2
# Seconds until this instance considers another change, after the measurements of all instances did
# not confirm one or could not be read.
DISAGREEMENT_PAUSE_S = 2.0
# Seconds from one attempt to send orders to the next, whether or not this instance gets the order
# lease: the instance that holds the lease keeps it until the engines have their new roles, which
# takes about six seconds.
ORDER_ATTEMPT_PAUSE_S = 6.0
# Seconds until the order lease is requested again after the store did not respond. If the store
# created the lease nevertheless, it has expired by then.
STORE_RETRY_S = 4.0
# No order is sent in this many seconds before the order lease ends, since the order could reach the
# engine after the end.
LEASE_END_MARGIN_S = 0.5
# Seconds between checks of whether engines have carried out their orders.
ORDER_POLL_INTERVAL_S = 1.0
# Seconds after which an order is not expected to be carried out any more, whether or not the engine
# accepted it. An engine may carry out an order up to twelve seconds after it was sent.
MAX_ORDER_S = 13.0


@dataclass
class _WantedChange:
    """The role that the last checks found too few engines for, and how many of them agree."""

    role: EngineRole | None = None
    checks: int = 0

    def record_check(self, role: EngineRole | None) -> bool:
        """Record the result of a check; return whether enough consecutive checks agree."""
        self.checks = self.checks + 1 if role is self.role else 1
        self.role = role
        return role is not None and self.checks >= CONSISTENT_CHECKS


@dataclass(frozen=True)
class _EnginePools:
    """The engines of a service.

    Attributes:
        prompt_engines: engines whose role is to process prompts.
        decode_engines: engines whose role is to decode.
        becoming_prompt: number of engines that carry out an order to process prompts.
        becoming_decode: number of engines that carry out an order to decode.
    """

    prompt_engines: list[Server]
    decode_engines: list[Server]
    becoming_prompt: int
    becoming_decode: int

    @property
    def final_prompt_count(self) -> int:
        """Number of prompt engines once all orders are carried out."""
        return len(self.prompt_engines) + self.becoming_prompt

    @property
    def final_decode_count(self) -> int:
        """Number of decode engines once all orders are carried out."""
        return len(self.decode_engines) + self.becoming_decode


class RoleController:
    """Adapts the numbers of prompt engines and decode engines to the load.

    Args:
        name: name of this instance.
        discovery: the configuration and the list of servers.
        backends: the backend servers.
        order_leases: grants the order lease.
        record_sync: the measurements of all instances.
        messenger: notifies the other instances of orders.
        log: log for events.
    """

    def __init__(
        self,
        *,
        name: str,
        discovery: Discovery,
        backends: Backends,
        order_leases: OrderLeaseStore,
        record_sync: InstanceRecordSync,
        messenger: PeerMessenger,
        log: Any,
    ) -> None:
        self._name = name
        self._discovery = discovery
        self._backends = backends
        self._order_leases = order_leases
        self._record_sync = record_sync
        self._messenger = messenger
        self._log = log
        self._lease: OrderLease | None = None
        self._paused_until = 0.0
        self._wanted_changes: defaultdict[str, _WantedChange] = defaultdict(_WantedChange)

    async def run(self) -> None:
        """Check the split of each service at intervals, until cancelled."""
        while True:
            await curio.sleep(SPLIT_CHECK_INTERVAL_S * self._backends.rng.uniform(0.8, 1.2))
            config = self._discovery.config
            if config is None:
                continue
            for service in config.services.values():
                if service.engine is not None:
                    await self._check_split(service)

    async def _check_split(self, service: Service) -> None:
        now = await curio.clock()
        pools = self._engine_pools(service.name, now)
        split = (pools.final_prompt_count, pools.final_decode_count)
        loads = self._record_sync.local_loads(service.name)
        if loads is None or now < self._paused_until:
            return
        wanted = wanted_prompt_engines(loads, *split, MIN_ANSWERS_TO_GROW_PREFILL)
        # The counts change each second as servers come and go, so only the wanted role has to
        # stay the same.
        if self._wanted_changes[service.name].record_check(_role_to_grow(wanted, split[0])):
            del self._wanted_changes[service.name]
            await self._decide_change(service, pools)

    def _engine_pools(self, service: str, now: float) -> _EnginePools:
        return _EnginePools(
            prompt_engines=self._backends.available_servers(service, now, EngineRole.PREFILL),
            decode_engines=self._backends.available_servers(service, now, EngineRole.DECODE),
            becoming_prompt=self._backends.count_changing_to(service, EngineRole.PREFILL, now),
            becoming_decode=self._backends.count_changing_to(service, EngineRole.DECODE, now),
        )

    async def _decide_change(self, service: Service, pools: _EnginePools) -> None:
        """Order a change of roles if the measurements of all instances require it."""
        now = await curio.clock()
        self._paused_until = now + DISAGREEMENT_PAUSE_S
        try:
            loads, answers = await self._record_sync.fleet_loads(service.name)
        except KeyValueUnavailable as exc:
            self._log.info("notes_unknown", why=exc.detail)
            return
        split = (pools.final_prompt_count, pools.final_decode_count)
        if loads is None:
            return
        wanted = wanted_prompt_engines(loads, *split, answers)
        if wanted == split[0]:
            return
        self._paused_until = now + ORDER_ATTEMPT_PAUSE_S
        role = _role_to_grow(wanted, split[0])
        assert role is not None
        self._log.info(
            "split_wanted",
            service=service.name,
            readers=split[0],
            writers=split[1],
            wanted=wanted,
            read_s=round(loads.prompt_s, 4),
            write_s=round(loads.answer_s, 4),
        )
        servers = pools.prompt_engines if role is EngineRole.DECODE else pools.decode_engines
        # Engines with the fewest open requests can change soonest.
        servers.sort(key=lambda server: self._backends.stats(server.incarnation_id).open_requests)
        servers = order_by_versions(servers, pools.decode_engines, role)
        await self._order_change(servers, abs(wanted - split[0]), role)

    async def _order_change(self, servers: list[Server], count: int, role: EngineRole) -> None:
        """Order *count* engines to change to a role, beginning with the first in *servers*."""
        try:
            self._lease = await self._order_leases.acquire(self._name)
        except KeyValueUnavailable as exc:
            self._log.info("tenure_unknown", why=exc.detail)
            self._paused_until = await curio.clock() + STORE_RETRY_S
            return
        if self._lease is None:
            self._log.info("tenure_held_elsewhere")
            return
        self._log.info("tenure_gained", fence=self._lease.token)
        pending = []
        for server in servers:
            outcome = await self._send_order(server, role)
            if outcome in (OrderOutcome.ACCEPTED, None):
                pending.append(server)
            if len(pending) == count or outcome not in (
                OrderOutcome.ACCEPTED,
                OrderOutcome.CONFLICT,
            ):
                # Stop if the engine did not respond or refused the order: the next engine would
                # probably do the same. An engine that is busy, has the role already or did not tell
                # its state (CONFLICT) is skipped, since that says nothing about the next engine.
                break
        await self._await_orders(pending, role)
        self._lease = None

    async def _engine_state(self, server: Server) -> EngineState | None:
        resp = await self._backends.side_call(server, self._backends.dialect.engine_state_call())
        if resp is None or resp.status != 200:
            return None
        try:
            return self._backends.dialect.parse_engine_state(resp.body)
        except BadHttp as exc:
            self._log.warning("state_unreadable", server=server.incarnation_id, why=exc.detail)
            return None

    async def _send_order(self, server: Server, role: EngineRole) -> OrderOutcome | None:
        """Send an order to an engine.

        Returns:
            The outcome; None if the engine did not respond and may still carry out the order. It is
            CONFLICT also if no order was sent because the engine did not tell its state, is busy or
            has the role already, and FENCED if none was sent because the lease is about to end.
        """
        lease = self._lease
        assert lease is not None
        state = await self._engine_state(server)
        if state is None or state.busy or state.role is role:
            self._log.info("order_left_out", server=server.incarnation_id, state=str(state))
            return OrderOutcome.CONFLICT
        if await curio.clock() > lease.expires_at - LEASE_END_MARGIN_S:
            self._log.info("tenure_over", fence=lease.token)
            return OrderOutcome.FENCED
        call = self._backends.dialect.role_order_call(role, lease, state.accepted_orders)
        resp = await self._backends.side_call(server, call)
        outcome = None if resp is None else self._backends.dialect.order_outcome(resp.status)
        self._log.info(
            "order_given",
            server=server.incarnation_id,
            phase=role.value,
            fence=lease.token,
            orders=state.accepted_orders,
            end=outcome.value if outcome else "unanswered",
        )
        if outcome is OrderOutcome.ACCEPTED:
            await self._announce_order(server, role)
        return outcome

    async def _announce_order(self, server: Server, role: EngineRole) -> None:
        """Record on all instances that an engine changes its role.

        For MAX_ORDER_S seconds or until its entry shows the new role, they send the engine requests
        only if its service has no other engine for them.
        """
        until = await curio.clock() + MAX_ORDER_S
        self._backends.record_order(server.incarnation_id, role, until, by_peer=False)
        message = EngineOrdered(server.incarnation_id, role, MAX_ORDER_S)
        await self._messenger.send_to_all(message, server=message.server, phase=role.value)

    async def _await_orders(self, servers: list[Server], role: EngineRole) -> None:
        """Keep the order lease until the outcome of all orders is known.

        Stop earlier if the lease is lost, or after MAX_ORDER_S seconds.
        """
        until = await curio.clock() + MAX_ORDER_S
        while servers and await curio.clock() < until and await self._renew_lease():
            await curio.sleep(ORDER_POLL_INTERVAL_S)
            for server in list(servers):
                entry = self._discovery.servers.get(server.incarnation_id)
                if entry is None or entry.role is role:
                    servers.remove(server)
                    self._log.info(
                        "order_settled", server=server.incarnation_id, gone=entry is None
                    )
        for server in servers:
            self._log.info("order_unsettled", server=server.incarnation_id)

    async def _renew_lease(self) -> bool:
        assert self._lease is not None
        try:
            lease = await self._order_leases.renew(self._lease)
        except KeyValueUnavailable as exc:
            self._log.info("tenure_unknown", why=exc.detail)
            # The lease holds until its end; the next renewal shows whether it was extended.
            now: float = await curio.clock()
            return now < self._lease.expires_at
        if lease is None:
            self._log.info("tenure_lost", fence=self._lease.token)
            return False
        self._lease = lease
        return True


def _role_to_grow(wanted: int, prompt_engines: int) -> EngineRole | None:
    """Return the role that more engines should have; None if the split is as wanted."""
    if wanted == prompt_engines:
        return None
    return EngineRole.PREFILL if wanted > prompt_engines else EngineRole.DECODE
