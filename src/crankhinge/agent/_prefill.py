"""The role of a prefill engine's agent: queues prompts and runs prefills."""

from __future__ import annotations

from typing import Any

import curio

from crankhinge.adapters import Engine, EngineFailed
from crankhinge.agent._probe import probe_load
from crankhinge.agent._queued_role import QueuedRole
from crankhinge.wire import Failed, Link, Message, Prefill, PrefillDone


class PrefillRole(QueuedRole):
    """Runs prefills in the order of its queue.

    Args:
        engine: client of the prefill engine.
        more: arguments of :class:`QueuedRole`.
    """

    def __init__(self, *, engine: Engine, **more: Any) -> None:
        super().__init__(**more)
        self._engine = engine

    async def handle(self, link: Link, msg: Message) -> None:
        """Handle ``Prefill`` and ``Cancel``."""
        if isinstance(msg, Prefill):
            await self.enqueue(
                link, msg.req, msg.member, msg.rank, msg.timeout_s, msg.uncached_tokens, msg
            )
        else:
            await self.handle_cancel(msg)

    async def probe(self) -> bool:
        """Return whether the engine responds."""
        return await probe_load(self._engine) is not None

    async def execute(self, msg: Any) -> int:
        """Run one prefill and return the number of prompt tokens that the engine computed."""
        req = msg.req
        started_at = await curio.clock()
        try:
            result = await self._engine.prefill(msg.path, msg.body, request_id=req)
        except EngineFailed as exc:
            self.log.warning("prefill_failed", req=f"{req:016x}", code=exc.code, why=exc.detail)
            self.metrics.count(f"prefill_failed.{exc.code}")
            if not exc.ran:
                await self.record_health(await self.probe())
            await self.send_response(req, Failed(req, exc.code, exc.ran))
            return 0
        now = await curio.clock()
        duration_s = now - started_at
        self.metrics.count("prompt_tokens", result.prompt_tokens)
        self.metrics.count("prompt_tokens_cached", result.cached_tokens)
        load = self.load(now)
        await self.send_response(
            req,
            PrefillDone(
                req, result.kv_handle, result.cached_tokens, result.prompt_tokens, duration_s, load
            ),
        )
        return result.prompt_tokens - result.cached_tokens
