"""The base class of the roles that queue requests: those of prefill engines and plain services."""

from __future__ import annotations

import abc
from typing import Any

import curio

from crankhinge.agent._role import BACKEND_DOWN, UNBOUNDED, Role
from crankhinge.config import Pool
from crankhinge.decisions import Refusal, WorkQueue, WorkRequest
from crankhinge.wire import Cancel, Link, Load, Message


class QueuedRole(Role):
    """Runs requests in the order of a :class:`WorkQueue`.

    Args:
        queue: decides which requests wait, start, or are refused.
        more: arguments of :class:`Role`.
    """

    def __init__(self, *, queue: WorkQueue, **more: Any) -> None:
        super().__init__(**more)
        self._queue = queue
        self._messages: dict[int, Any] = {}

    @abc.abstractmethod
    async def execute(self, msg: Any) -> int:
        """Run one request, send the response to its entry, and return the work that was done.

        The unit of the result is that of *units* in :meth:`enqueue`.
        """

    @property
    def is_busy(self) -> bool:
        """Whether any request runs or waits."""
        return self._queue.is_busy

    def stop_accepting(self) -> None:
        """Refuse new requests. Waiting requests are still run."""
        self._queue.is_closed = True

    def apply_pool(self, pool: Pool) -> None:
        """Apply the pool's number of concurrent requests, unless the agent runs without a limit."""
        if self._queue.width < UNBOUNDED:
            self._queue.width = pool.slots

    def load(self, now: float) -> Load:
        """Return the load of the server for heartbeats and responses."""
        queue = self._queue
        return Load(
            free_slots=queue.free_slots,
            queued=queue.queued,
            backlog_s=queue.backlog_s(now),
            draining=queue.is_closed or self.is_unreachable,
            tokens_per_s=queue.units_per_s,
        )

    async def enqueue(
        self, link: Link, req: int, member: str, rank: int, timeout_s: float, units: int, msg: Any
    ) -> None:
        """Queue a request, or refuse it if the queue cannot run it in time.

        Args:
            link: link to the entry that sent the request.
            req: id of the step.
            member: client account of the caller.
            rank: priority class; 0 is the most urgent.
            timeout_s: seconds within which the request must be complete.
            units: expected work, in tokens for a prompt and in calls for a plain service.
            msg: message to pass to :meth:`process`.
        """
        if self.is_unreachable:
            await self.refuse(link, req, BACKEND_DOWN)
            return
        now = await curio.clock()
        weights = self.keeper.fair_share_weights(member)
        request = WorkRequest(
            req=req,
            partner=weights.partner,
            member=member,
            rank=rank,
            deadline=now + timeout_s,
            units=units,
            weight=weights.member_weight,
            partner_weight=weights.partner_weight,
        )
        refusal = self._queue.submit(request, now)
        if refusal is not None:
            await self.refuse(link, req, refusal.code, refusal.retry_after_s)
            return
        self.record_link(req, link)
        self._messages[req] = msg
        await self._start_next()

    async def _start_next(self) -> None:
        starts, expired = self._queue.take_next(await curio.clock())
        for refusal in expired:
            await self._refuse_expired(refusal)
        for request in starts:
            await self.start_task(request.req, self._run_request, self._messages.pop(request.req))

    async def _refuse_expired(self, refusal: Refusal) -> None:
        link = self.find_link(refusal.req)
        self._messages.pop(refusal.req, None)
        if link is not None:
            await self.refuse(link, refusal.req, refusal.code, refusal.retry_after_s)
        self.forget_link(refusal.req)

    async def _run_request(self, msg: Any) -> None:
        units_done = 0
        try:
            units_done = await self.execute(msg)
        finally:
            self._queue.record_end(msg.req, await curio.clock(), done=units_done)
            self.forget_link(msg.req)
            await self._start_next()

    async def release(self, req: int) -> None:
        """Remove a request from the queue and start the next one."""
        self._messages.pop(req, None)
        self._queue.record_end(req, await curio.clock())
        await self._start_next()

    async def handle_cancel(self, msg: Message) -> None:
        """Handle ``Cancel`` and ignore all other messages."""
        if isinstance(msg, Cancel):
            await self.cancel(msg.req)
