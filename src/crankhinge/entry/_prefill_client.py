"""Sends prompts to prefill engines."""

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

# Time that the response of an agent may take beyond the timeout of the prefill.
RESPONSE_MARGIN_S = 0.25
# Prefill rate that is assumed for an engine that has not reported one.
DEFAULT_TOKENS_PER_S = 10_000.0


@dataclass(frozen=True)
class PrefillTask:
    """A prompt to process.

    Attributes:
        request: the completion request.
        route: length and prefix of the prompt, for the router.
        body: JSON body for the engine.
        decode_zone: availability zone of the decode engine; empty if that is not yet chosen.
        deadline: time by which the first token is needed, in seconds of the runtime's clock.
    """

    request: CompletionRequest
    route: RouteRequest
    body: bytes
    decode_zone: str
    deadline: float


class PrefillClient(AgentClient):
    """Sends prompts to the agents of prefill engines."""

    async def prefill(self, task: PrefillTask, progress: RequestProgress) -> PrefillDone:
        """Process a prompt on one of the prefill engines and return the result.

        Raises:
            Overloaded: no engine can process the prompt in time; nothing was run.
            AttemptFailed: no engine returned a result, but one may have computed a part of it.
        """
        request = task.request
        now = await curio.clock()
        retry_after = 1.0
        pools = request.model.prefill
        for backend in self._router.choose_prefill(pools, task.route, task.decode_zone, now):
            try:
                response = await self._prefill_at(backend, task, progress)
            except (LinkClosed, LinkLost):
                continue
            if isinstance(response, PrefillDone):
                self._router.prefixes.record_cached(backend.name, task.route.prefix)
                progress.computed_tokens += response.prompt_tokens - response.cached_tokens
                progress.unused_tokens = response.prompt_tokens - response.cached_tokens
                progress.prefill_backend = backend
                return response
            if isinstance(response, Refused):
                retry_after = min(retry_after, response.retry_after_s or retry_after)
            if progress.may_have_run and not request.options.is_repeatable:
                break
        if progress.may_have_run:
            raise AttemptFailed("no prefill engine processed the prompt")
        raise Overloaded(
            "no prefill engine can process the prompt in time", retry_after_s=retry_after
        )

    async def _prefill_at(
        self, backend: Backend, task: PrefillTask, progress: RequestProgress
    ) -> PrefillDone | Refused | Failed | None:
        """Return the response of one agent, or None if it does not arrive in time.

        Updates ``progress.may_have_run`` and the breaker of the engine.
        """
        now = await curio.clock()
        decode_zone = task.decode_zone or backend.zone
        transfer_s = self._router.transfer_s(task.route.tokens, backend.zone, decode_zone)
        timeout_s = task.deadline - now - transfer_s
        link = self._agent_links.get_link(backend.name)
        mailbox = self._mailboxes.open(link, progress.new_step_id())
        uncached_tokens = self._router.uncached_tokens(backend, task.route)
        self._record_sent(backend, uncached_tokens, now)
        may_have_run_before = progress.may_have_run
        progress.may_have_run = True
        response: PrefillDone | Refused | Failed | None = None
        try:
            request = task.request
            member, rank = request.member.name, request.options.rank
            await link.send(
                Prefill(
                    mailbox.req, request.path, task.body, member, rank, timeout_s, uncached_tokens
                )
            )
            response = await curio.ignore_after(
                max(timeout_s, 0.0) + RESPONSE_MARGIN_S, mailbox.get
            )
        finally:
            self._mailboxes.close(mailbox)
            if response is None:
                await cancel_step(link, mailbox)
                backend.breaker.record_failure(now)
        if isinstance(response, Refused) or (
            isinstance(response, Failed) and not response.may_have_run
        ):
            progress.may_have_run = may_have_run_before
        if isinstance(response, Failed):
            backend.breaker.record_failure(await curio.clock())
        elif isinstance(response, PrefillDone):
            backend.breaker.record_success()
        return response

    def _record_sent(self, backend: Backend, uncached_tokens: int, now: float) -> None:
        backend.sent_since_report += 1
        backend.sent_work_s += uncached_tokens / (backend.tokens_per_s or DEFAULT_TOKENS_PER_S)
        backend.breaker.record_sent(now)
