"""Sends prompts to prompt engines, which process them and keep the KV cache for a decode engine."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import curio

from crankhinge.adapters import AttemptParams
from crankhinge.decisions import EngineRole, RetryBudget, Server
from crankhinge.decisions.placement import PrefillOutcome
from crankhinge.errors import BackendFailed, BadHttp, HttpClosed, Quarantined, ServerBarred
from crankhinge.gateway._attempts import Attempts, ServerReplaced
from crankhinge.gateway._backends import Backends
from crankhinge.gateway._quarantine import QuarantineService
from crankhinge.gateway._request import Relay
from crankhinge.gateway._server_selector import ServerSelector
from crankhinge.http import ConnectFailed

# Attempts to process the prompt of one request: the first, and a second if a server failed.
MAX_PROMPT_ATTEMPTS = 2
# Longest response with the handle of a KV cache.
MAX_HANDLE_BYTES = 64 * 1024
# Seconds that all attempts for one request may take, where placement is not coordinated. After that
# time the first event of the request is late in any case and its reservation is about to lapse, so
# the decode engine may as well process the prompt itself.
MAX_PROMPT_S = 1.0
# Where placement is coordinated, they may take this share of the time for which the reservation at
# the decode engine lasts. A prompt that is abandoned earlier is processed twice. The rest, 0.2 s of
# 2 s, is for a busy instance to send the request to the decode engine.
RESERVATION_SHARE = 0.9
# With fewer seconds left no attempt is started: a prompt of 3,000 tokens takes 0.1 s without load.
MIN_PROMPT_S = 0.1
# A prompt engine is doubtful above this share of failures, or if its mean response time is above
# this share of the time that all attempts may take. A doubtful engine is tried only while the
# budget allows a retry; otherwise the decode engine processes the prompt, which is no retry.
DOUBTFUL_FAILURE_SHARE = 0.25
DOUBTFUL_RESPONSE_SHARE = 0.75

# Receives the incarnation id of a prompt engine, the seconds that it took, and the outcome.
PromptReport = Callable[[str, float, PrefillOutcome], Awaitable[None]]


@dataclass(frozen=True)
class PromptPlan:
    """How the prompt of a request is processed whose service is coordinated.

    Attributes:
        reader: incarnation id of the engine that the coordinator chose, which may be the decode
            engine; empty if it chose none.
        report: is told the outcome of each attempt; None if it is of no use.
        max_s: seconds that all attempts may take.
        deadline: time on the runtime's clock by which the prompt must be processed.
    """

    reader: str = ""
    report: PromptReport | None = None
    max_s: float = MAX_PROMPT_S
    deadline: float = math.inf

    @classmethod
    def within_reservation(
        cls, reserved_at: float, duration_s: float, reader: str, report: PromptReport | None
    ) -> PromptPlan:
        """Return the plan of a prompt that is processed while its reservation lasts.

        Args:
            reserved_at: when the memory was reserved, on the runtime's clock.
            duration_s: seconds for which the reservation lasts.
            reader: incarnation id of the prompt engine that the coordinator chose.
            report: is told the outcome of each attempt.
        """
        max_s = RESERVATION_SHARE * duration_s
        return cls(reader, report, max_s, reserved_at + max_s)


UNCOORDINATED = PromptPlan()


@dataclass(frozen=True)
class PromptKvCache:
    """The KV cache of a prompt, the server that has it, and how long the processing took."""

    server: Server
    cache_handle: str
    duration_s: float


class PromptProcessor:
    """Has prompts processed by prompt engines.

    Args:
        backends: the backend servers.
        selector: selects a server.
        attempts: sends requests to servers.
        quarantine: notified of processed prompts, since these do not crash engines.
        log: log for events.
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

    async def process(
        self, relay: Relay, zone: str, budget: RetryBudget, plan: PromptPlan = UNCOORDINATED
    ) -> PromptKvCache | None:
        """Return the KV cache of the request's prompt; None if no prompt engine processed it.

        Without the KV cache, the decode engine processes the prompt itself, which takes that engine
        longer.

        Args:
            relay: the request.
            zone: availability zone of the engine that will fetch the KV cache.
            budget: retry budget of the service.
            plan: what a coordinator decided about the prompt.
        """
        if self._is_left_to_decode_engine(plan):
            self._log.info(
                "not_read_apart", request=relay.request.request_id, tried=0, why="readers_busy"
            )
            return None
        tried: frozenset[str] = frozenset()
        named = await self._named_server(relay, plan)
        deadline = min(await curio.clock() + plan.max_s, plan.deadline, relay.deadline)
        why = "tried_enough"
        while len(tried) < MAX_PROMPT_ATTEMPTS:
            now = await curio.clock()
            if deadline - now < MIN_PROMPT_S:
                why = "no_time"
                break
            server, is_named = named, named is not None
            named = None
            if server is None:
                server = await self._selector.select(
                    relay, avoid=tried, role=EngineRole.PREFILL, zone=zone
                )
            if server is None:
                why = "no_reader"
                break
            # The coordinator avoids engines that failed for any instance, so the one that it named
            # is not doubtful, and few attempts at it fail.
            if not is_named and not self._may_attempt(server, budget, plan, is_repeat=bool(tried)):
                why = "budget_spent"
                break
            tried |= {server.incarnation_id}
            kv_cache = await self._attempt(relay, server, deadline, budget, plan)
            if kv_cache is not None:
                return kv_cache
        self._log.info(
            "not_read_apart", request=relay.request.request_id, tried=len(tried), why=why
        )
        return None

    def _is_left_to_decode_engine(self, plan: PromptPlan) -> bool:
        """Return whether the coordinator named a decode engine, which has less work."""
        server = self._backends.get(plan.reader) if plan.reader else None
        return server is not None and server.role is EngineRole.DECODE

    async def _named_server(self, relay: Relay, plan: PromptPlan) -> Server | None:
        """Return the engine that the coordinator chose; None if it cannot be used."""
        if not plan.reader:
            return None
        server = self._backends.get(plan.reader)
        is_usable = server is not None and server.role is EngineRole.PREFILL
        if server is not None and is_usable and not server.serves_model(relay.request.model):
            # The coordinator does not know the model, and the engine is not at fault.
            await _report(plan, plan.reader, 0.0, PrefillOutcome.NOT_SENT)
            return None
        if server is None or not is_usable or not await self._selector.may_send(relay, server):
            self._log.info("reader_unusable", request=relay.request.request_id, server=plan.reader)
            await _report(plan, plan.reader, 0.0, PrefillOutcome.FAILED)
            return None
        return server

    def _may_attempt(
        self, server: Server, budget: RetryBudget, plan: PromptPlan, *, is_repeat: bool
    ) -> bool:
        """Return whether the budget allows an attempt at an engine.

        An attempt that an engine refuses counts as a retry. While the budget is in debt, not even a
        reliable engine is tried. Otherwise each of many instances would have to be refused before
        it knows that the engine is overloaded, and each of these refusals counts as a retry.
        """
        if is_repeat or self._is_doubtful(server, DOUBTFUL_RESPONSE_SHARE * plan.max_s):
            return budget.allows_retry()
        return not budget.in_debt

    def _is_doubtful(self, server: Server, max_response_s: float) -> bool:
        """Return whether an attempt at an engine is likely to fail, and so to count as a retry."""
        stats = self._backends.stats(server.incarnation_id)
        return (
            stats.failure_share > DOUBTFUL_FAILURE_SHARE or stats.mean_response_s > max_response_s
        )

    async def _attempt(
        self,
        relay: Relay,
        server: Server,
        deadline: float,
        budget: RetryBudget,
        plan: PromptPlan,
    ) -> PromptKvCache | None:
        """Send the prompt to an engine; report the outcome, unless the caller leaves meanwhile."""
        started_at = await curio.clock()
        kv_cache, outcome = await self._try_engine(relay, server, started_at, deadline, budget)
        took_s = await curio.clock() - started_at
        await _report(plan, server.incarnation_id, took_s, outcome)
        return kv_cache

    async def _try_engine(
        self, relay: Relay, server: Server, started_at: float, deadline: float, budget: RetryBudget
    ) -> tuple[PromptKvCache | None, PrefillOutcome]:
        timeout_s = deadline - started_at
        params = AttemptParams(server.name, timeout_s, prompt_only=True)
        stats = self._backends.stats(server.incarnation_id)
        try:
            cache_handle: str = await curio.timeout_after(
                timeout_s, self._send, relay, server, params
            )
        except (ConnectFailed, Quarantined, ServerBarred) as exc:
            if isinstance(exc, ServerReplaced):
                budget.charge_retry()
            self._log_failed(relay, server, exc.code, exc.detail)
            # A quarantined prompt says nothing about the engine.
            is_quarantined = isinstance(exc, Quarantined)
            return None, PrefillOutcome.NOT_SENT if is_quarantined else PrefillOutcome.FAILED
        except (HttpClosed, BadHttp, BackendFailed) as exc:
            budget.charge_retry()
            self._log_failed(relay, server, exc.code, exc.detail)
            return None, PrefillOutcome.FAILED
        except curio.TaskTimeout:
            budget.charge_retry()
            stats.record_failure(await curio.clock())
            stats.record_duration(timeout_s)
            self._log_failed(relay, server, "silent", f"no response in {timeout_s:.2f} s")
            return None, PrefillOutcome.TIMED_OUT
        if relay.prompt_processed:
            # Each processing of the prompt after the first counts as a retry.
            budget.charge_retry()
        relay.prompt_processed = True
        await self._quarantine.record_completed(relay, prompt_only=True)
        duration_s = await curio.clock() - started_at
        stats.record_success(duration_s)
        relay.log_fields.update(reader=server.incarnation_id, read_ms=round(duration_s * 1000))
        return PromptKvCache(server, cache_handle, duration_s), PrefillOutcome.DONE

    async def _send(self, relay: Relay, server: Server, params: AttemptParams) -> str:
        async with self._attempts.open(relay, server, params) as stream:
            body = await stream.read_all(MAX_HANDLE_BYTES)
            if stream.status != 200:
                self._backends.stats(server.incarnation_id).record_refusal(await curio.clock())
                raise BackendFailed(f"prompt engine responded with status {stream.status}")
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
        """Free a KV cache that no engine will fetch."""
        call = self._backends.dialect.free_kv_cache_call(kv_cache.cache_handle)
        await self._backends.side_call_in_background(kv_cache.server, call)


async def _report(
    plan: PromptPlan, engine: str, duration_s: float, outcome: PrefillOutcome
) -> None:
    if plan.report is not None:
        await plan.report(engine, duration_s, outcome)
