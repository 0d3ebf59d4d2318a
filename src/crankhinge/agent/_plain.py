"""The role of a plain service's agent: forwards each call once."""

from __future__ import annotations

from typing import Any

import curio

from crankhinge.adapters import EngineFailed, PlainService, ServiceResponse
from crankhinge.agent._queued_role import QueuedRole
from crankhinge.wire import Failed, Link, Message, ServiceCall, ServiceCallDone

# Work of one call in the units of the queue, and the priority class of all calls.
CALL_UNITS = 1
CALL_RANK = 0
# Code of a refusal while the service is in backoff, which it asked for in an earlier response.
BACKEND_IN_BACKOFF = "backend-rests"


class PlainRole(QueuedRole):
    """Forwards calls in the order of its queue.

    Args:
        service: client of the plain service.
        more: arguments of :class:`QueuedRole`.
    """

    def __init__(self, *, service: PlainService, **more: Any) -> None:
        super().__init__(**more)
        self._service = service
        # Time until which the service accepts no calls, in seconds of the runtime's clock.
        self._backoff_until = 0.0

    async def handle(self, link: Link, msg: Message) -> None:
        """Handle ``ServiceCall`` and ``Cancel``."""
        if not isinstance(msg, ServiceCall):
            await self.handle_cancel(msg)
        elif not await self._refuse_in_backoff(link, msg.req):
            await self.enqueue(link, msg.req, msg.member, CALL_RANK, msg.timeout_s, CALL_UNITS, msg)

    async def _refuse_in_backoff(self, link: Link, req: int) -> bool:
        """Refuse a call if the service is in backoff, and return whether it was refused.

        All calls to the service pass through this agent. If it forwarded the call, the service
        would refuse it, and the entry would not know that it may try another backend server.
        """
        left_s = self._backoff_until - await curio.clock()
        if left_s <= 0:
            return False
        await self.refuse(link, req, BACKEND_IN_BACKOFF, left_s)
        return True

    async def cancel(self, req: int) -> None:
        """Cancel a call that has not started.

        A call that is interrupted may have a partial effect. A started call therefore continues
        until it ends or its timeout passes.
        """
        if req not in self._tasks:
            await super().cancel(req)

    async def probe(self) -> bool:
        """Return whether the service accepts connections."""
        return await self._service.is_reachable()

    async def execute(self, msg: Any) -> int:
        """Forward one call and send the response to its entry."""
        req = msg.req
        link = self.find_link(req)
        if link is not None and await self._refuse_in_backoff(link, req):
            return 0
        try:
            response: ServiceResponse = await curio.timeout_after(
                msg.timeout_s, self._service.call, msg.method, msg.target, msg.headers, msg.body
            )
        except EngineFailed as exc:
            if not exc.ran:
                await self.record_health(await self.probe())
            await self._send_failure(req, exc.code, ran=exc.ran)
            return 0
        except curio.TaskTimeout:
            await self._send_failure(req, "deadline-passed", ran=True)
            return 0
        if response.backoff_s is not None:
            await self._record_backoff(response.backoff_s)
        self.metrics.count("calls")
        await self.send_response(
            req, ServiceCallDone(req, response.status, dict(response.headers), response.body)
        )
        return CALL_UNITS

    async def _record_backoff(self, backoff_s: float) -> None:
        backoff_until = await curio.clock() + backoff_s
        self._backoff_until = max(self._backoff_until, backoff_until)
        # In the log line, `taken` is False if an earlier backoff lasts longer than this one.
        self.log.info(
            "backend_rests", for_s=round(backoff_s, 2), taken=backoff_until == self._backoff_until
        )

    async def _send_failure(self, req: int, code: str, *, ran: bool) -> None:
        self.log.warning("call_failed", req=f"{req:016x}", code=code, ran=ran)
        self.metrics.count(f"call_failed.{code}")
        await self.send_response(req, Failed(req, code, ran))
