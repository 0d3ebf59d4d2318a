"""The role of a decode engine's agent: leases memory slots and relays answers."""

from __future__ import annotations

from functools import partial
from typing import Any

import curio

from crankhinge.adapters import DecodeStream, Engine, EngineFailed
from crankhinge.agent._probe import probe_load
from crankhinge.agent._role import BACKEND_DOWN, UNBOUNDED, Role
from crankhinge.config import Pool
from crankhinge.decisions import Refusal, SlotDecision, SlotGrant, SlotRequest, SlotTable
from crankhinge.wire import (
    Cancel,
    Decode,
    DecodeDone,
    Failed,
    Link,
    Load,
    Message,
    ReserveSlot,
    SlotGranted,
    Tokens,
)

# Weight of the newest measurement in the moving average of the time between tokens.
STEP_EWMA_WEIGHT = 0.2
# Longest time between two checks for expired leases and requests.
MAX_TICK_INTERVAL_S = 0.5


class TransferStalled(EngineFailed):
    """The KV cache of the prompt did not arrive at the decode engine in time."""

    code = "transfer-stalled"


class DecodeRole(Role):
    """Leases the slots of a :class:`SlotTable` and relays answers from the engine.

    Args:
        engine: client of the decode engine.
        table: decides which requests get the memory slots of the engine.
        more: arguments of :class:`Role`.
    """

    def __init__(self, *, engine: Engine, table: SlotTable, **more: Any) -> None:
        super().__init__(**more)
        self._engine = engine
        self._table = table
        self._waiting_decodes: dict[int, Decode] = {}
        self._wake = curio.Event()
        self._step_s = 0.0
        self._foreign_ended = False

    @property
    def is_busy(self) -> bool:
        """Whether any request holds a slot or waits for one."""
        return self._table.is_busy

    def stop_accepting(self) -> None:
        """Refuse new requests. Slots that are already leased can still be used."""
        self._table.is_closed = True

    def apply_pool(self, pool: Pool) -> None:
        """Apply the pool's number of slots, unless the agent runs without a limit."""
        if self._table.capacity < UNBOUNDED:
            self._table.capacity = pool.slots

    def load(self, now: float) -> Load:
        """Return the load of the engine for heartbeats and responses."""
        table = self._table
        return Load(
            free_slots=max(0, table.free_slots),
            queued=table.queued,
            backlog_s=table.backlog_s(now),
            step_s=self._step_s,
            draining=table.is_closed or self.is_unreachable,
        )

    async def run(self) -> None:
        """Expire leases and waiting requests at their deadlines until cancelled."""
        while True:
            now = await curio.clock()
            next_tick_at = self._table.next_tick_at()
            delay_s = (
                MAX_TICK_INTERVAL_S
                if next_tick_at is None
                else min(MAX_TICK_INTERVAL_S, max(0.001, next_tick_at - now))
            )
            await curio.ignore_after(delay_s, self._wake.wait)
            self._wake.clear()
            await self._apply_decisions(self._table.tick(await curio.clock()))
            self._drop_expired()

    async def probe(self) -> bool:
        """Return whether the engine responds, and keep slots of foreign requests from being leased.

        Foreign requests are those that a previous incarnation of this agent sent. The engine frees
        their slots once it notices that the connections of that incarnation are closed. Until the
        engine reports no more requests than this agent has sent, the surplus counts as foreign.
        """
        load = await probe_load(self._engine)
        if load is None:
            self._foreign_ended = False
            return False
        if not self._foreign_ended:
            self._table.foreign_requests = max(0, load.running - self._table.running)
            self._foreign_ended = not self._table.foreign_requests
            await self._apply_decisions(self._table.tick(await curio.clock()))
        return True

    def _drop_expired(self) -> None:
        """Remove the records of requests whose leases expired unused."""
        for req in list(self._request_links):
            if req not in self._tasks and not self._table.has_request(req):
                self._waiting_decodes.pop(req, None)
                self.forget_link(req)

    async def handle(self, link: Link, msg: Message) -> None:
        """Handle ``ReserveSlot``, ``Decode`` and ``Cancel``."""
        if isinstance(msg, ReserveSlot):
            await self._handle_reserve(link, msg)
        elif isinstance(msg, Decode):
            await self._handle_decode(link, msg)
        elif isinstance(msg, Cancel):
            await self.cancel(msg.req)

    async def _handle_reserve(self, link: Link, msg: ReserveSlot) -> None:
        if self.is_unreachable:
            await self.refuse(link, msg.req, BACKEND_DOWN)
            return
        now = await curio.clock()
        weights = self.keeper.fair_share_weights(msg.member)
        request = SlotRequest(
            req=msg.req,
            partner=weights.partner,
            member=msg.member,
            rank=msg.rank,
            deadline=now + msg.timeout_s,
            lead_s=msg.lead_s,
            max_tokens=msg.max_tokens,
            weight=weights.member_weight,
            partner_weight=weights.partner_weight,
        )
        self.record_link(msg.req, link)
        await self._apply_decisions(self._table.submit(request, now))
        await self._wake.set()

    async def _apply_decisions(self, decisions: list[SlotDecision]) -> None:
        for decision in decisions:
            if isinstance(decision, SlotGrant):
                req = decision.req
                load = self.load(await curio.clock())
                await self.send_response(
                    req, SlotGranted(req, decision.ready_in_s, decision.lease_s, load)
                )
            else:
                await self._apply_refusal(decision)

    async def _apply_refusal(self, decision: Refusal) -> None:
        link = self.find_link(decision.req)
        if link is not None:
            await self.refuse(link, decision.req, decision.code, decision.retry_after_s)
        self.forget_link(decision.req)

    async def _handle_decode(self, link: Link, msg: Decode) -> None:
        if self.find_link(msg.req) is not link or not self._table.is_leased(msg.req):
            self.metrics.count("lease_expired")
            await link.send(Failed(msg.req, "lease-expired", False))
            return
        self._waiting_decodes[msg.req] = msg
        await self._start_decodes()

    async def _start_decodes(self) -> None:
        """Start the waiting decodes whose slots have become free."""
        for req in list(self._waiting_decodes):
            if self._table.start(req, await curio.clock()):
                msg = self._waiting_decodes.pop(req)
                await self.start_task(req, self._run_decode, msg)

    async def _run_decode(self, msg: Decode) -> None:
        req = msg.req
        try:
            stream = await self._open_stream(msg)
            try:
                await self._relay(req, stream)
            finally:
                await stream.close()
        except EngineFailed as exc:
            self.log.warning("decode_failed", req=f"{req:016x}", code=exc.code, why=exc.detail)
            if not exc.ran:
                await self.record_health(await self.probe())
            self.metrics.count(f"decode_failed.{exc.code}")
            await self.send_response(req, Failed(req, exc.code, exc.ran))
        finally:
            await self.release(req)
            self.forget_link(req)

    async def _open_stream(self, msg: Decode) -> DecodeStream:
        """Start a decode and return its stream, once the engine has the KV cache of the prompt.

        Raises:
            TransferStalled: the engine did not start within ``transfer_timeout_s``.
        """
        try:
            stream: DecodeStream = await curio.timeout_after(
                msg.transfer_timeout_s,
                partial(self._engine.decode, msg.path, msg.body, msg.kv_handle, request_id=msg.req),
            )
        except curio.TaskTimeout as exc:
            raise TransferStalled(f"no first token within {msg.transfer_timeout_s:.2f} s") from exc
        return stream

    async def _relay(self, req: int, stream: DecodeStream) -> None:
        token_count = 0
        last = 0.0
        while texts := await stream.next_pieces():
            await self.send_response(req, Tokens(req, token_count, tuple(texts)))
            token_count += len(texts)
            self._table.record_progress(req, token_count)
            now = await curio.clock()
            if last:
                self._record_step((now - last) / len(texts))
            last = now
        self.metrics.count("tokens", token_count)
        await self.send_response(req, DecodeDone(req, token_count, stream.finish_reason))

    def _record_step(self, step_s: float) -> None:
        weight = STEP_EWMA_WEIGHT if self._step_s else 1.0
        self._step_s += weight * (step_s - self._step_s)
        self._table.step_s = self._step_s

    async def release(self, req: int) -> None:
        """Free the slot of *req* and grant it to the next waiting request."""
        self._waiting_decodes.pop(req, None)
        await self._apply_decisions(self._table.release(req, await curio.clock()))
        await self._start_decodes()
