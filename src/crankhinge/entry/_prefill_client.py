"""Has a prompt read by a prefill engine."""

from __future__ import annotations

from dataclasses import dataclass

import curio

from crankhinge.decisions import Backend, RouteRequest
from crankhinge.entry._agent_client import AgentClient
from crankhinge.entry._mailboxes import AttemptFailed, LinkLost, cancel_step
from crankhinge.entry._progress import RequestProgress
from crankhinge.entry._requests import CompletionRequest
from crankhinge.errors import LinkClosed, Overloaded
from crankhinge.wire import Failed, Prefill, PrefillDone, Refused

RESPONSE_MARGIN_S = 0.25
DEFAULT_TOKENS_PER_S = 10_000.0


@dataclass(frozen=True)
class PrefillTask:
    """What is to be read.

    Attributes:
        request: the request.
        route: its length and prefix.
        body: JSON for the engine.
        decode_zone: where the answer is written; empty when that isn't decided.
        deadline: when the first token is of no more use, seconds of the runtime's clock.
    """

    request: CompletionRequest
    route: RouteRequest
    body: bytes
    decode_zone: str
    deadline: float


class PrefillClient(AgentClient):
    """Sends prompts to prefill agents."""

    async def prefill(self, task: PrefillTask, progress: RequestProgress) -> PrefillDone:
        """Return the handle on the result.

        Raises:
            Overloaded: no engine can read it in time; none has worked for the request.
            AttemptFailed: no engine has read it, but one may have tried.
        """
        ask = task.request
        now = await curio.clock()
        retry_after = 1.0
        pools = ask.model.prefill
        for backend in self._router.choose_prefill(pools, task.route, task.decode_zone, now):
            try:
                answer = await self._read_at(backend, task, progress)
            except (LinkClosed, LinkLost):
                continue
            if isinstance(answer, PrefillDone):
                self._router.prefixes.record_cached(backend.name, task.route.prefix)
                progress.computed_tokens += answer.prompt_tokens - answer.cached_tokens
                progress.unused_tokens = answer.prompt_tokens - answer.cached_tokens
                progress.prefill_backend = backend
                return answer
            if isinstance(answer, Refused):
                retry_after = min(retry_after, answer.retry_after_s or retry_after)
            if progress.may_have_run and not ask.options.is_repeatable:
                break
        if progress.may_have_run:
            raise AttemptFailed("no prefill engine read the prompt")
        raise Overloaded("no prefill engine in time", retry_after_s=retry_after)

    async def _read_at(
        self, backend: Backend, prompt: PrefillTask, progress: RequestProgress
    ) -> PrefillDone | Refused | Failed | None:
        """Return one agent's answer, or None for none; notes whether its engine may have run."""
        now = await curio.clock()
        zone = prompt.decode_zone or backend.zone
        transfer = self._router.transfer_s(prompt.route.tokens, backend.zone, zone)
        within = prompt.deadline - now - transfer
        link = self._fleet.get_link(backend.name)
        box = self._calls.open(link, progress.new_step_id())
        todo = self._router.uncached_tokens(backend, prompt.route)
        self._note_sent(backend, todo, now)
        before = progress.may_have_run
        progress.may_have_run = True
        answer: PrefillDone | Refused | Failed | None = None
        try:
            ask = prompt.request
            member, rank = ask.member.name, ask.options.rank
            await link.send(Prefill(box.req, ask.path, prompt.body, member, rank, within, todo))
            answer = await curio.ignore_after(max(within, 0.0) + RESPONSE_MARGIN_S, box.get)
        finally:
            self._calls.close(box)
            if answer is None:
                await cancel_step(link, box)
                backend.breaker.record_failure(now)
        if isinstance(answer, Refused) or (isinstance(answer, Failed) and not answer.may_have_run):
            progress.may_have_run = before
        if isinstance(answer, Failed):
            backend.breaker.record_failure(await curio.clock())
        elif isinstance(answer, PrefillDone):
            backend.breaker.record_success()
        return answer

    def _note_sent(self, backend: Backend, todo: int, now: float) -> None:
        backend.sent_since_report += 1
        backend.sent_work_s += todo / (backend.tokens_per_s or DEFAULT_TOKENS_PER_S)
        backend.breaker.record_sent(now)
