"""Has prompts read by the engines that only read."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import curio

from crankhinge.adapters import AttemptParams
from crankhinge.decisions import EngineRole, RetryBudget, Server
from crankhinge.errors import BackendFailed, BadHttp, HttpClosed, Quarantined, ServerBarred
from crankhinge.gateway._attempts import Attempts
from crankhinge.gateway._backends import Backends
from crankhinge.gateway._quarantine import QuarantineService
from crankhinge.gateway._request import Relay
from crankhinge.gateway._server_selector import ServerSelector
from crankhinge.http import ConnectFailed

# Readings tried for one request: the first, and one more where a server failed.
MAX_PROMPT_ATTEMPTS = 2
# Seconds that all readings of a request may take: then its first event is late anyway, its place
# is about to lapse, and the engine that writes may as well read the prompt itself.
MAX_PROMPT_S = 1.0
# With less than this left, in seconds, no reading is begun: one of 3,000 tokens takes 0.1 s alone.
MIN_PROMPT_S = 0.1
# A reader is doubted above this share of failures, or this usual time in seconds: three quarters
# of what a reading may take. A reading at a doubted one is made only while the budget allows a
# repeat; the engine that writes reads the prompt otherwise, which is none.
DOUBTFUL_FAILURE_SHARE = 0.25
DOUBTFUL_RESPONSE_S = 0.75


@dataclass(frozen=True)
class PromptKvCache:
    """A prompt's memory at the server that read it, and how long that took, in seconds."""

    server: Server
    cache_handle: str
    duration_s: float


class PromptProcessor:
    """Has prompts read.

    Args:
        backends: the servers.
        selector: chooses among them.
        attempts: sends requests to them.
        quarantine: of prompts under which engines crashed; they are not read apart.
        log: for events.
    """

    def __init__(
        self,
        *,
        backends: Backends,
        selector: ServerSelector,
        attempts: Attempts,
        quarantine: QuarantineService,
        log: Any,
    ) -> None:
        self._backends = backends
        self._selector = selector
        self._attempts = attempts
        self._quarantine = quarantine
        self._log = log

    async def process(self, relay: Relay, zone: str, budget: RetryBudget) -> PromptKvCache | None:
        """Return the memory of the request's prompt; None when nobody could read it.

        The engine that writes then reads the prompt itself, which takes it longer.

        Args:
            relay: the request.
            zone: availability zone of the engine that will fetch the memory.
            budget: of the service.
        """
        tried: frozenset[str] = frozenset()
        deadline = min(await curio.clock() + MAX_PROMPT_S, relay.deadline)
        why = "tried_enough"
        while len(tried) < MAX_PROMPT_ATTEMPTS:
            now = await curio.clock()
            if deadline - now < MIN_PROMPT_S:
                why = "no_time"
                break
            server = await self._selector.select(
                relay, avoid=tried, role=EngineRole.PREFILL, zone=zone
            )
            if server is None:
                why = "no_reader"
                break
            if not self._may_attempt(server, budget, is_repeat=bool(tried)):
                why = "budget_spent"
                break
            tried |= {server.incarnation_id}
            kv_cache = await self._attempt(relay, server, deadline, budget)
            if kv_cache is not None:
                return kv_cache
        self._log.info(
            "not_read_apart", request=relay.request.request_id, tried=len(tried), why=why
        )
        return None

    def _may_attempt(self, server: Server, budget: RetryBudget, *, is_repeat: bool) -> bool:
        """Whether a reading there may be tried, since one that is refused is a repeat.

        In debt not even a trusted reader is asked: with many instances each would find out by
        itself that it is overloaded, and all of these refusals count.
        """
        if is_repeat or self._is_doubtful(server):
            return budget.allows_retry()
        return not budget.in_debt

    def _is_doubtful(self, server: Server) -> bool:
        """Whether a reading there may well fail, and so become a repeat."""
        stats = self._backends.stats(server.incarnation_id)
        return (
            stats.failure_share > DOUBTFUL_FAILURE_SHARE
            or stats.mean_response_s > DOUBTFUL_RESPONSE_S
        )

    async def _attempt(
        self, relay: Relay, server: Server, deadline: float, budget: RetryBudget
    ) -> PromptKvCache | None:
        started_at = await curio.clock()
        timeout_s = deadline - started_at
        params = AttemptParams(server.name, timeout_s, prompt_only=True)
        stats = self._backends.stats(server.incarnation_id)
        try:
            cache_handle: str = await curio.timeout_after(
                timeout_s, self._send, relay, server, params
            )
        except (ConnectFailed, Quarantined, ServerBarred) as exc:
            self._log_failed(relay, server, exc.code, exc.detail)
            return None
        except (HttpClosed, BadHttp, BackendFailed) as exc:
            budget.charge_retry()
            self._log_failed(relay, server, exc.code, exc.detail)
            return None
        except curio.TaskTimeout:
            budget.charge_retry()
            stats.record_failure(await curio.clock())
            stats.record_duration(timeout_s)
            self._log_failed(relay, server, "silent", f"nothing in {timeout_s:.2f} s")
            return None
        if relay.prompt_processed:
            # Only the first reading is no repeat.
            budget.charge_retry()
        relay.prompt_processed = True
        await self._quarantine.record_completed(relay, relay.work_key(prompt_only=True))
        duration_s = await curio.clock() - started_at
        stats.record_success(duration_s)
        relay.log_fields.update(reader=server.incarnation_id, read_ms=round(duration_s * 1000))
        return PromptKvCache(server, cache_handle, duration_s)

    async def _send(self, relay: Relay, server: Server, params: AttemptParams) -> str:
        async with self._attempts.open(relay, server, params) as stream:
            body = await stream.read_all()
            if stream.status != 200:
                self._backends.stats(server.incarnation_id).record_refusal(await curio.clock())
                raise BackendFailed(f"status {stream.status}")
            return self._backends.dialect.parse_kv_cache_handle(body)

    def _log_failed(self, relay: Relay, server: Server, outcome: str, why: str) -> None:
        self._log.info(
            "reading_failed",
            request=relay.request.request_id,
            server=server.incarnation_id,
            outcome=outcome,
            why=why,
        )

    async def free(self, kv_cache: PromptKvCache) -> None:
        """Free a memory that nobody will fetch."""
        call = self._backends.dialect.free_kv_cache_call(kv_cache.cache_handle)
        await self._backends.side_call_in_background(kv_cache.server, call)
