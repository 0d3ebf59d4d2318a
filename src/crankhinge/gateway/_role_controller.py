"""Changes the parts that engines play, one order at a time, by the one instance that may.

An instance asks for the right only when it wants to give an order, and lets it run out afterwards;
an order that is left unanswered is settled by asking the engine, and no other is given meanwhile.
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
    wanted_prompt_engines,
)
from crankhinge.errors import BadHttp, KeyValueUnavailable
from crankhinge.gateway._backends import Backends
from crankhinge.gateway._discovery import Discovery
from crankhinge.gateway._peer_messages import EngineOrdered
from crankhinge.gateway._peer_messenger import PeerMessenger
from crankhinge.gateway._record_sync import InstanceRecordSync

# Seconds between looks at the split.
SPLIT_CHECK_INTERVAL_S = 1.0
# Looks in a row that want the same change before it is made: a crashed server is back by then or
# its entry has gone.
CONSISTENT_CHECKS = 2
# Seconds until the others' notes are read again when they did not want the change.
DISAGREEMENT_PAUSE_S = 2.0
# Seconds without another wish after one that another instance's orders came before: it holds the
# right until engines play their new parts, some six seconds.
OTHER_CONTROLLER_PAUSE_S = 6.0
# Seconds until the right is asked for again after the store gave no answer: a lease that was made
# all the same is over by then.
STORE_RETRY_S = 4.0
# Seconds before its end in which the right isn't used any more: the way to the engine takes time.
LEASE_END_MARGIN_S = 0.5
# Seconds between questions about an order under way, and until an unanswered one counts as lost;
# one may be carried out up to twelve seconds late.
ORDER_POLL_INTERVAL_S = 1.0
MAX_ORDER_S = 13.0


@dataclass
class _Wish:
    """What an instance would have another split for, and for how many looks in a row."""

    phase: EngineRole | None = None
    looks: int = 0

    def lasts(self, phase: EngineRole | None) -> bool:
        """Note what a look shows; returns whether it has shown the same wish for long enough."""
        self.looks = self.looks + 1 if phase is self.phase else 1
        self.phase = phase
        return phase is not None and self.looks >= CONSISTENT_CHECKS


@dataclass(frozen=True)
class _Pools:
    """The engines of a service.

    Attributes:
        reading: those that read.
        writing: those that write.
        to_read: how many follow an order to read.
        to_write: how many follow an order to write.
    """

    reading: list[Server]
    writing: list[Server]
    to_read: int
    to_write: int

    @property
    def readers(self) -> int:
        """How many read when all orders are done."""
        return len(self.reading) + self.to_read

    @property
    def writers(self) -> int:
        """How many write when all orders are done."""
        return len(self.writing) + self.to_write


class RoleController:
    """Keeps the split between reading and writing engines where the load wants it.

    Args:
        name: of this instance.
        discovery: routes and servers.
        backends: the servers.
        order_leases: gives the right to order.
        record_sync: what all instances measured.
        messenger: tells the other instances of orders.
        log: for events.
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
        self._directory = discovery
        self._backends = backends
        self._office = order_leases
        self._work = record_sync
        self._notices = messenger
        self._log = log
        self._tenure: OrderLease | None = None
        self._quiet_until = 0.0
        self._wishes: defaultdict[str, _Wish] = defaultdict(_Wish)

    async def run(self) -> None:
        """Look at the split until cancelled."""
        while True:
            await curio.sleep(SPLIT_CHECK_INTERVAL_S * self._backends.rng.uniform(0.8, 1.2))
            table = self._directory.table
            if table is None:
                continue
            for service in table.services.values():
                if service.engine is not None:
                    await self._look(service)

    async def _look(self, service: Service) -> None:
        now = await curio.clock()
        pools = self._pools(service.name, now)
        split = (pools.readers, pools.writers)
        glimpse = self._work.local_loads(service.name)
        if glimpse is None or now < self._quiet_until:
            return
        wanted = wanted_prompt_engines(glimpse, *split, MIN_ANSWERS_TO_GROW_PREFILL)
        # Servers that come and go change the split each second; the wish is what has to last.
        if self._wishes[service.name].lasts(_more_of(wanted, split[0])):
            del self._wishes[service.name]
            await self._decide(service, pools)

    def _pools(self, service: str, now: float) -> _Pools:
        return _Pools(
            reading=self._backends.available_servers(service, now, EngineRole.PREFILL),
            writing=self._backends.available_servers(service, now, EngineRole.DECODE),
            to_read=self._backends.count_changing_to(service, EngineRole.PREFILL, now),
            to_write=self._backends.count_changing_to(service, EngineRole.DECODE, now),
        )

    async def _decide(self, service: Service, pools: _Pools) -> None:
        """Change the split where the measurements of all instances want it."""
        now = await curio.clock()
        self._quiet_until = now + DISAGREEMENT_PAUSE_S
        try:
            loads, answers = await self._work.fleet_loads(service.name)
        except KeyValueUnavailable as exc:
            self._log.info("notes_unknown", why=exc.detail)
            return
        split = (pools.readers, pools.writers)
        if loads is None:
            return
        wanted = wanted_prompt_engines(loads, *split, answers)
        if wanted == split[0]:
            return
        self._quiet_until = now + OTHER_CONTROLLER_PAUSE_S
        phase = _more_of(wanted, split[0])
        assert phase is not None
        self._log.info(
            "split_wanted",
            service=service.name,
            readers=split[0],
            writers=split[1],
            wanted=wanted,
            read_s=round(loads.prompt_s, 4),
            write_s=round(loads.answer_s, 4),
        )
        servers = pools.reading if phase is EngineRole.DECODE else pools.writing
        # Those that have least to finish can change soonest.
        servers.sort(key=lambda server: self._backends.stats(server.incarnation_id).open_requests)
        await self._change(servers, abs(wanted - split[0]), phase)

    async def _change(self, servers: list[Server], count: int, phase: EngineRole) -> None:
        """Order *count* of the engines, the first that can be, to play a part."""
        try:
            self._tenure = await self._office.acquire(self._name)
        except KeyValueUnavailable as exc:
            self._log.info("tenure_unknown", why=exc.detail)
            self._quiet_until = await curio.clock() + STORE_RETRY_S
            return
        if self._tenure is None:
            self._log.info("tenure_held_elsewhere")
            return
        self._log.info("tenure_gained", fence=self._tenure.token)
        under_way = []
        for target in servers:
            end = await self._order(target, phase)
            if end in (OrderOutcome.ACCEPTED, None):
                under_way.append(target)
            if len(under_way) == count or end not in (OrderOutcome.ACCEPTED, OrderOutcome.CONFLICT):
                # Unanswered or fenced: what holds for this engine may hold for the next. One that
                # is dark or follows another order says nothing of the next.
                break
        await self._settle(under_way, phase)
        self._tenure = None

    async def _state(self, server: Server) -> EngineState | None:
        resp = await self._backends.side_call(server, self._backends.dialect.engine_state_call())
        if resp is None or resp.status != 200:
            return None
        try:
            return self._backends.dialect.parse_engine_state(resp.body)
        except BadHttp as exc:
            self._log.warning("state_unreadable", server=server.incarnation_id, why=exc.detail)
            return None

    async def _order(self, target: Server, phase: EngineRole) -> OrderOutcome | None:
        """Give an order; returns None when it was left unanswered and may yet be carried out."""
        tenure = self._tenure
        assert tenure is not None
        state = await self._state(target)
        if state is None or state.busy or state.role is phase:
            self._log.info("order_left_out", server=target.incarnation_id, state=str(state))
            return OrderOutcome.CONFLICT
        if await curio.clock() > tenure.expires_at - LEASE_END_MARGIN_S:
            self._log.info("tenure_over", fence=tenure.token)
            return OrderOutcome.FENCED
        call = self._backends.dialect.role_order_call(phase, tenure, state.orders_taken)
        resp = await self._backends.side_call(target, call)
        end = None if resp is None else self._backends.dialect.order_outcome(resp.status)
        self._log.info(
            "order_given",
            server=target.incarnation_id,
            phase=phase.value,
            fence=tenure.token,
            orders=state.orders_taken,
            end=end.value if end else "unanswered",
        )
        if end is OrderOutcome.ACCEPTED:
            await self._tell(target, phase)
        return end

    async def _tell(self, target: Server, phase: EngineRole) -> None:
        """Have this instance and the others leave the engine out until it plays its new part."""
        until = await curio.clock() + MAX_ORDER_S
        self._backends.record_order(target.incarnation_id, phase, until, by_peer=False)
        notice = EngineOrdered(target.incarnation_id, phase, MAX_ORDER_S)
        await self._notices.send_to_all(notice, server=notice.server, phase=phase.value)

    async def _settle(self, targets: list[Server], phase: EngineRole) -> None:
        """Keep the right until the outcome of all orders is known."""
        until = await curio.clock() + MAX_ORDER_S
        while targets and await curio.clock() < until and await self._renewed():
            await curio.sleep(ORDER_POLL_INTERVAL_S)
            for target in list(targets):
                entry = self._directory.servers.get(target.incarnation_id)
                if entry is None or entry.role is phase:
                    targets.remove(target)
                    self._log.info(
                        "order_settled", server=target.incarnation_id, gone=entry is None
                    )
        for target in targets:
            self._log.info("order_unsettled", server=target.incarnation_id)

    async def _renewed(self) -> bool:
        assert self._tenure is not None
        try:
            tenure = await self._office.renew(self._tenure)
        except KeyValueUnavailable as exc:
            self._log.info("tenure_unknown", why=exc.detail)
            # It lasts until its end; the next renewal tells.
            now: float = await curio.clock()
            return now < self._tenure.expires_at
        if tenure is None:
            self._log.info("tenure_lost", fence=self._tenure.token)
            return False
        self._tenure = tenure
        return True


def _more_of(wanted: int, readers: int) -> EngineRole | None:
    """Return the part that more engines should play; None where the split is as wanted."""
    if wanted == readers:
        return None
    return EngineRole.PREFILL if wanted > readers else EngineRole.DECODE
