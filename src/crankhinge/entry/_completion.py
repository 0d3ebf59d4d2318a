"""One completion, from the caller's request to its last token.

First a slot in a decode engine's memory is leased, then the prompt is read, then the answer is
written where the slot is. A refusal before the reading has cost nothing and is "not run".
"""

from __future__ import annotations

from typing import Any

import curio
import msgspec

from crankhinge.config import BundleView, Policy
from crankhinge.decisions import FULL, Mechanisms, RecordedResponse, RetryBudget
from crankhinge.entry._agent_links import AgentLinks
from crankhinge.entry._estimates import RequestEstimator
from crankhinge.entry._fence_client import FenceClient, digest_request
from crankhinge.entry._mailboxes import AttemptFailed, LinkLost, Mailboxes, cancel_step
from crankhinge.entry._prefill_client import PrefillClient, PrefillTask
from crankhinge.entry._progress import RequestProgress
from crankhinge.entry._requests import CompletionRequest
from crankhinge.entry._responses import CompletionWriter
from crankhinge.entry._slot_client import LeasedSlot, SlotClient, SlotRequirements
from crankhinge.errors import (
    AlreadyTaken,
    BackendFailed,
    CrankhingeError,
    DeadlinePassed,
    LinkClosed,
)
from crankhinge.runtime import Metrics
from crankhinge.wire import Decode, DecodeDone, Failed, PrefillDone, Tokens

MAX_ATTEMPTS = 4
MIN_TRANSFER_TIMEOUT_S = 0.4
TRANSFER_TIMEOUT_FACTOR = 5.0
TRANSFER_FAILURE_CODES = frozenset({"transfer-stalled", "kv-expired"})


class CompletionRunner:
    """Runs completions.

    Args:
        agent_links: the agents.
        mailboxes: the mailboxes.
        retry_budget: for retries.
        fence_client: gives leave for non-repeatable requests.
        log: for events.
        metrics: for counters.
        mech: which mechanisms are at work.
    """

    def __init__(
        self,
        *,
        agent_links: AgentLinks,
        mailboxes: Mailboxes,
        retry_budget: RetryBudget,
        fence_client: FenceClient,
        log: Any,
        metrics: Metrics,
        mech: Mechanisms = FULL,
    ) -> None:
        self.estimator = RequestEstimator(agent_links.router, mech)
        self._router = agent_links.router
        self._slots = SlotClient(agent_links=agent_links, mailboxes=mailboxes)
        self._reader = PrefillClient(agent_links=agent_links, mailboxes=mailboxes)
        self._calls = mailboxes
        self._budget = retry_budget
        self._fence = fence_client
        self._log = log
        self._metrics = metrics
        self._mech = mech

    async def run(
        self,
        request: CompletionRequest,
        view: BundleView,
        writer: CompletionWriter,
        progress: RequestProgress,
    ) -> None:
        """Answer *request*, with leave if it may not be repeated. Raises as :meth:`_serve` does."""
        policy = view.bundle.policy
        pool = view.bundle.find_pool(request.model.decode[0])
        if request.options.is_repeatable or not request.options.idempotency_key or pool is None:
            progress.earlier_may_have_run = False
            await self._serve(request, policy, writer, progress)
            return
        digest = digest_request("POST", request.path, msgspec.json.encode(request.body))
        leave = await self._fence.request_permit(
            pool,
            request.member.name,
            request.options.idempotency_key,
            digest,
            progress.new_step_id(),
        )
        if isinstance(leave, RecordedResponse):
            raise AlreadyTaken("this request was answered before")
        progress.earlier_may_have_run = False
        try:
            await self._serve(request, policy, writer, progress)
            await self._fence.record_response(leave, RecordedResponse(200, cut=True))
        finally:
            if not progress.may_have_run:
                await self._fence.release(leave)

    async def _serve(
        self,
        ask: CompletionRequest,
        policy: Policy,
        writer: CompletionWriter,
        progress: RequestProgress,
    ) -> None:
        """Answer *ask*; retries within the budget.

        Raises:
            Overloaded: no engine can meet the target now; nothing was run.
            NoBackend: no engine is known to be alive; nothing was run.
            BackendFailed: every attempt failed.
            DeadlinePassed: the caller's deadline went by.
        """
        began = await curio.clock()
        until = began + self.estimator.first_token_timeout_s(ask, policy, began)
        limit = ask.options.deadline_s
        self._budget.record_first_attempt()
        while True:
            progress.attempts += 1
            try:
                if limit is None:
                    await self._attempt(ask, writer, progress, until)
                else:
                    left = max(0.001, began + limit - await curio.clock())
                    await curio.timeout_after(left, self._attempt, ask, writer, progress, until)
                return
            except curio.TaskTimeout as exc:
                raise DeadlinePassed(f"{limit} s") from exc
            except (AttemptFailed, LinkLost, LinkClosed) as exc:
                self._consider_retry(exc, ask, progress, writer)
                # An answer that is under way is worth finishing late.
                until = max(until, await curio.clock() + ask.model.first_token_s)

    def _consider_retry(
        self,
        exc: CrankhingeError,
        ask: CompletionRequest,
        progress: RequestProgress,
        writer: CompletionWriter,
    ) -> None:
        """Return if another attempt may be made.

        Raises:
            BackendFailed: when not.
        """
        self._metrics.count("attempts_failed")
        spent = progress.attempts >= MAX_ATTEMPTS
        spent = spent or (progress.may_have_run and not ask.options.is_repeatable)
        spent = spent or (self._mech.budget and not self._budget.try_retry())
        spent = spent or (writer.token_count > 0 and not self._mech.resume)
        self._log.warning(
            "attempt_failed",
            request=f"req-{progress.request_id:016x}",
            code=exc.code,
            why=exc.detail,
            attempt=progress.attempts,
            written=writer.token_count,
            retry=not spent,
        )
        if spent:
            raise BackendFailed(exc.detail) from exc

    async def _attempt(
        self,
        ask: CompletionRequest,
        writer: CompletionWriter,
        progress: RequestProgress,
        until: float,
    ) -> None:
        body = ask.continuation_body(writer.text, writer.token_count)
        route = self.estimator.make_route_request(ask, writer.token_count)
        need = SlotRequirements(ask, route, until, ask.max_tokens - writer.token_count)
        early: PrefillDone | None = None
        if not self._mech.reserve:
            early = await self._read(PrefillTask(ask, route, body, "", until), writer, progress)
        slot = await self._slots.lease_slot(need, progress)
        progress.slot_granted_at = progress.slot_granted_at or await curio.clock()
        done = False
        try:
            prompt = PrefillTask(ask, route, body, slot.backend.zone, until)
            read = early or await self._read(prompt, writer, progress)
            progress.may_have_run = True
            progress.prompt_read_at = progress.prompt_read_at or await curio.clock()
            patience = self._transfer_patience_s(route.tokens, slot)
            await slot.link.send(Decode(slot.mailbox.req, ask.path, body, read.kv_handle, patience))
            await self._relay(slot, writer, progress)
            done = True
        finally:
            self._note_waste(progress)
            slot.backend.open_requests -= 1
            self._calls.close(slot.mailbox)
            if not done:
                await cancel_step(slot.link, slot.mailbox)

    async def _read(
        self, prompt: PrefillTask, writer: CompletionWriter, progress: RequestProgress
    ) -> PrefillDone:
        done = await self._reader.prefill(prompt, progress)
        self.estimator.record_prompt_tokens(prompt.request, writer.text, done.prompt_tokens)
        writer.record_prompt_tokens(done.prompt_tokens)
        return done

    def _transfer_patience_s(self, tokens: int, slot: LeasedSlot) -> float:
        """Return the seconds after which a transfer that has brought nothing is given up."""
        zone = slot.backend.zone
        usual = self._router.transfer_s(tokens, zone, zone) + slot.backend.step_s
        return max(MIN_TRANSFER_TIMEOUT_S, TRANSFER_TIMEOUT_FACTOR * usual)

    def _note_waste(self, progress: RequestProgress) -> None:
        if progress.unused_tokens:
            self._metrics.count("prompt_tokens_wasted", progress.unused_tokens)
            progress.wasted_tokens += progress.unused_tokens
            progress.unused_tokens = 0

    async def _relay(
        self, slot: LeasedSlot, writer: CompletionWriter, progress: RequestProgress
    ) -> None:
        """Pass tokens on in order until the answer is complete."""
        expected = 0
        slot.mailbox.is_streaming = True
        while True:
            msg = await slot.mailbox.get()
            if isinstance(msg, Tokens):
                if msg.first_index > expected:
                    raise AttemptFailed(f"tokens {expected} to {msg.first_index} are missing")
                fresh = msg.texts[expected - msg.first_index :]
                if not expected:
                    progress.first_token_at = progress.first_token_at or await curio.clock()
                    progress.unused_tokens = 0
                expected += len(fresh)
                if fresh:
                    await writer.write(fresh)
            elif isinstance(msg, DecodeDone):
                if msg.token_count != expected:
                    raise AttemptFailed(f"{expected} of {msg.token_count} tokens arrived")
                slot.backend.breaker.record_success()
                progress.last_token_at = await curio.clock()
                await writer.finish(msg.finish_reason or "stop")
                return
            else:
                code = msg.code if isinstance(msg, Failed) else "no answer"
                await self._blame(code, slot, progress)
                raise AttemptFailed(code)

    async def _blame(self, code: str, slot: LeasedSlot, progress: RequestProgress) -> None:
        """Count a failure against the engine that is likely at fault."""
        now = await curio.clock()
        if code in TRANSFER_FAILURE_CODES and progress.prefill_backend is not None:
            progress.prefill_backend.breaker.record_failure(now)
        elif code != "lease-expired":
            slot.backend.breaker.record_failure(now)
