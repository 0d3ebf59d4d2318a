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
        self._choice = selector
        self._legs = attempts
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
        until = min(await curio.clock() + MAX_PROMPT_S, relay.deadline)
        why = "tried_enough"
        while len(tried) < MAX_PROMPT_ATTEMPTS:
            now = await curio.clock()
            if until - now < MIN_PROMPT_S:
                why = "no_time"
                break
            server = await self._choice.select(
                relay, avoid=tried, role=EngineRole.PREFILL, zone=zone
            )
            if server is None:
                why = "no_reader"
                break
            if not self._affordable(server, budget, again=bool(tried)):
                why = "budget_spent"
                break
            tried |= {server.incarnation_id}
            memory = await self._try(relay, server, until, budget)
            if memory is not None:
                return memory
        self._log.info(
            "not_read_apart", request=relay.request.request_id, tried=len(tried), why=why
        )
        return None

    def _affordable(self, server: Server, budget: RetryBudget, *, again: bool) -> bool:
        """Whether a reading there may be tried, since one that is refused is a repeat.

        In debt not even a trusted reader is asked: with many instances each would find out by
        itself that it is overloaded, and all of these refusals count.
        """
        if again or self._doubtful(server):
            return budget.allows_retry()
        return not budget.in_debt

    def _doubtful(self, server: Server) -> bool:
        """Whether a reading there may well fail, and so become a repeat."""
        standing = self._backends.stats(server.incarnation_id)
        return (
            standing.failure_share > DOUBTFUL_FAILURE_SHARE
            or standing.mean_response_s > DOUBTFUL_RESPONSE_S
        )

    async def _try(
        self, relay: Relay, server: Server, until: float, budget: RetryBudget
    ) -> PromptKvCache | None:
        began = await curio.clock()
        within = until - began
        leg = AttemptParams(server.name, within, prompt_only=True)
        standing = self._backends.stats(server.incarnation_id)
        try:
            handle: str = await curio.timeout_after(within, self._leg, relay, server, leg)
        except (ConnectFailed, Quarantined, ServerBarred) as exc:
            self._failed(relay, server, exc.code, exc.detail)
            return None
        except (HttpClosed, BadHttp, BackendFailed) as exc:
            budget.charge_retry()
            self._failed(relay, server, exc.code, exc.detail)
            return None
        except curio.TaskTimeout:
            budget.charge_retry()
            standing.record_failure(await curio.clock())
            standing.record_duration(within)
            self._failed(relay, server, "silent", f"nothing in {within:.2f} s")
            return None
        if relay.prompt_processed:
            # Only the first reading is no repeat.
            budget.charge_retry()
        relay.prompt_processed = True
        await self._quarantine.record_completed(relay, relay.work_key(prompt_only=True))
        took = await curio.clock() - began
        standing.record_success(took)
        relay.log_fields.update(reader=server.incarnation_id, read_ms=round(took * 1000))
        return PromptKvCache(server, handle, took)

    async def _leg(self, relay: Relay, server: Server, leg: AttemptParams) -> str:
        async with self._legs.open(relay, server, leg) as stream:
            body = await stream.read_all()
            if stream.status != 200:
                self._backends.stats(server.incarnation_id).record_refusal(await curio.clock())
                raise BackendFailed(f"status {stream.status}")
            return self._backends.dialect.parse_kv_cache_handle(body)

    def _failed(self, relay: Relay, server: Server, outcome: str, why: str) -> None:
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
