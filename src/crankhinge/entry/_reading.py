"""Has a prompt read by a prefill engine."""

from __future__ import annotations

from dataclasses import dataclass

import curio

from crankhinge.decisions import Backend, RouteRequest
from crankhinge.entry._ask import CompletionAsk
from crankhinge.entry._calls import AttemptFailed, LinkLost, cancel_step
from crankhinge.entry._progress import Progress
from crankhinge.entry._steps import StepSender
from crankhinge.errors import LinkClosed, Overloaded
from crankhinge.wire import Failed, Prefill, PrefillDone, Refused

ANSWER_SLACK_S = 0.25
DEFAULT_RATE = 10_000.0


@dataclass(frozen=True)
class Prompt:
    """What is to be read.

    Attributes:
        ask: the request.
        route: its length and prefix.
        body: JSON for the engine.
        zone: where the answer is written; empty when that isn't decided.
        until: when the first token is of no more use, seconds of the runtime's clock.
    """

    ask: CompletionAsk
    route: RouteRequest
    body: bytes
    zone: str
    until: float


class PromptReader(StepSender):
    """Sends prompts to prefill agents."""

    async def read(self, prompt: Prompt, progress: Progress) -> PrefillDone:
        """Return the handle on the result.

        Raises:
            Overloaded: no engine can read it in time; none has worked for the request.
            AttemptFailed: no engine has read it, but one may have tried.
        """
        ask = prompt.ask
        now = await curio.clock()
        retry_after = 1.0
        pools = ask.model.prefill
        for backend in self._router.choose_prefill(pools, prompt.route, prompt.zone, now):
            try:
                answer = await self._read_at(backend, prompt, progress)
            except (LinkClosed, LinkLost):
                continue
            if isinstance(answer, PrefillDone):
                self._router.prefixes.record_cached(backend.name, prompt.route.prefix)
                progress.computed += answer.prompt - answer.cached
                progress.unused = answer.prompt - answer.cached
                progress.reader = backend
                return answer
            if isinstance(answer, Refused):
                retry_after = min(retry_after, answer.retry_after or retry_after)
            if progress.touched and not ask.terms.repeatable:
                break
        if progress.touched:
            raise AttemptFailed("no prefill engine read the prompt")
        raise Overloaded("no prefill engine in time", retry_after_s=retry_after)

    async def _read_at(
        self, backend: Backend, prompt: Prompt, progress: Progress
    ) -> PrefillDone | Refused | Failed | None:
        """Return one agent's answer, or None for none; notes whether its engine may have run."""
        now = await curio.clock()
        zone = prompt.zone or backend.zone
        transfer = self._router.transfer_s(prompt.route.tokens, backend.zone, zone)
        within = prompt.until - now - transfer
        link = self._fleet.link(backend.name)
        box = self._calls.open(link, progress.new_step())
        todo = self._router.uncached_tokens(backend, prompt.route)
        self._note_sent(backend, todo, now)
        before = progress.touched
        progress.touched = True
        answer: PrefillDone | Refused | Failed | None = None
        try:
            ask = prompt.ask
            member, rank = ask.member.name, ask.terms.rank
            await link.send(Prefill(box.req, ask.path, prompt.body, member, rank, within, todo))
            answer = await curio.ignore_after(max(within, 0.0) + ANSWER_SLACK_S, box.get)
        finally:
            self._calls.close(box)
            if answer is None:
                await cancel_step(link, box)
                backend.breaker.record_failure(now)
        if isinstance(answer, Refused) or (isinstance(answer, Failed) and not answer.ran):
            progress.touched = before
        if isinstance(answer, Failed):
            backend.breaker.record_failure(await curio.clock())
        elif isinstance(answer, PrefillDone):
            backend.breaker.record_success()
        return answer

    def _note_sent(self, backend: Backend, todo: int, now: float) -> None:
        backend.sent_since_report += 1
        backend.sent_work_s += todo / (backend.tokens_per_s or DEFAULT_RATE)
        backend.breaker.record_sent(now)
