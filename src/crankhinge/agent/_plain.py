"""The agent beside a plain service: passes calls on, each once."""

from __future__ import annotations

from typing import Any

import curio

from crankhinge.adapters import EngineFailed, PlainService, ServiceAnswer
from crankhinge.agent._queued import QueuedRole
from crankhinge.wire import Call, CallDone, Failed, Link, Message

CALL_UNITS = 1
CALL_RANK = 0


class PlainRole(QueuedRole):
    """Passes calls on in the order of its queue.

    Args:
        service: the plain service.
        more: arguments of :class:`QueuedRole`.
    """

    def __init__(self, *, service: PlainService, **more: Any) -> None:
        super().__init__(**more)
        self._service = service

    async def handle(self, link: Link, msg: Message) -> None:
        """Act on Call and Cancel."""
        if isinstance(msg, Call):
            await self.enqueue(link, msg.req, msg.member, CALL_RANK, msg.within, CALL_UNITS, msg)
        else:
            await self.handle_cancel(msg)

    async def cancel(self, req: int) -> None:
        """End a request that nobody waits for, unless it is a call that has begun.

        A call that is cut off in the middle may have half an effect; it is let run to its end,
        which its own time-out bounds.
        """
        if req not in self._tasks:
            await super().cancel(req)

    async def probe(self) -> bool:
        """Whether the service takes connections."""
        return await self._service.alive()

    async def work(self, msg: Any) -> int:
        """Pass one call on."""
        req = msg.req
        try:
            answer: ServiceAnswer = await curio.timeout_after(
                msg.within, self._service.call, msg.method, msg.target, msg.headers, msg.body
            )
        except EngineFailed as exc:
            if not exc.ran:
                await self.note_health(await self.probe())
            await self._failed(req, exc.code, ran=exc.ran)
            return 0
        except curio.TaskTimeout:
            await self._failed(req, "deadline-passed", ran=True)
            return 0
        self.metrics.count("calls")
        await self.tell(req, CallDone(req, answer.status, dict(answer.headers), answer.body))
        return CALL_UNITS

    async def _failed(self, req: int, code: str, *, ran: bool) -> None:
        self.log.warning("call_failed", req=f"{req:016x}", code=code, ran=ran)
        self.metrics.count(f"call_failed.{code}")
        await self.tell(req, Failed(req, code, ran))
