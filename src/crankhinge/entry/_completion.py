"""Runs completions, from the caller's request to the last token.

A completion first leases a memory slot of a decode engine. A prefill engine then processes the
prompt, and the decode engine generates the answer. A request that is refused before the prefill has
caused no work, and its outcome is "not-run".
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
# Bounds of the time that a decode engine waits for the KV cache of a prompt: a minimum, and a
# multiple of the expected duration.
MIN_TRANSFER_TIMEOUT_S = 0.4
TRANSFER_TIMEOUT_FACTOR = 5.0
# Failures of a decode attempt for which the prefill engine is responsible.
TRANSFER_FAILURE_CODES = frozenset({"transfer-stalled", "kv-expired"})


class CompletionRunner:
    """Runs completions.

    Args:
        agent_links: links to the agents.
        mailboxes: mailboxes for the responses of agents.
        retry_budget: limits the retries of this entry.
        fence_client: obtains permits for non-repeatable requests.
        log: logger for events.
        metrics: counters of this entry.
        mech: the mechanisms that are enabled.

    Attributes:
        estimator: estimates prompt lengths and timeouts.
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
        self._slot_client = SlotClient(agent_links=agent_links, mailboxes=mailboxes)
        self._prefill_client = PrefillClient(agent_links=agent_links, mailboxes=mailboxes)
        self._mailboxes = mailboxes
        self._retry_budget = retry_budget
        self._fence_client = fence_client
        self._log = log
        self._metrics = metrics
        self._mechanisms = mech

    async def run(
        self,
        request: CompletionRequest,
        view: BundleView,
        writer: CompletionWriter,
        progress: RequestProgress,
    ) -> None:
        """Run *request* and write its answer.

        A request that is not repeatable and has an idempotency key runs only with a permit from the
        fence.

        Raises:
            AlreadyTaken: an earlier request with the same idempotency key was accepted. It was
                answered or may have run.
            Overloaded: no engine can meet the target now; nothing was run.
            NoBackend: no engine is known to be alive; nothing was run.
            BackendFailed: every attempt failed.
            DeadlinePassed: the deadline of the caller passed.
            CrankhingeError: other errors of :meth:`FenceClient.request_permit`.
        """
        policy = view.bundle.policy
        pool = view.bundle.find_pool(request.model.decode[0])
        if request.options.is_repeatable or not request.options.idempotency_key or pool is None:
            progress.earlier_may_have_run = False
            await self._run_attempts(request, policy, writer, progress)
            return
        digest = digest_request("POST", request.path, msgspec.json.encode(request.body))
        permit = await self._fence_client.request_permit(
            pool,
            request.member.name,
            request.options.idempotency_key,
            digest,
            progress.new_step_id(),
        )
        if isinstance(permit, RecordedResponse):
            raise AlreadyTaken("an earlier request with this idempotency key was answered")
        progress.earlier_may_have_run = False
        try:
            await self._run_attempts(request, policy, writer, progress)
            # The answer itself is not recorded: `cut` marks a response whose body is missing. A
            # later request with the same key is refused.
            await self._fence_client.record_response(permit, RecordedResponse(200, cut=True))
        finally:
            if not progress.may_have_run:
                await self._fence_client.release(permit)

    async def _run_attempts(
        self,
        request: CompletionRequest,
        policy: Policy,
        writer: CompletionWriter,
        progress: RequestProgress,
    ) -> None:
        """Attempt *request* until an attempt succeeds or no retry is allowed.

        Raises:
            Overloaded: no engine can meet the target now; nothing was run.
            NoBackend: no engine is known to be alive; nothing was run.
            BackendFailed: every attempt failed.
            DeadlinePassed: the deadline of the caller passed.
        """
        started_at = await curio.clock()
        first_token_deadline = started_at + self.estimator.first_token_timeout_s(
            request, policy, started_at
        )
        time_limit_s = request.options.deadline_s
        self._retry_budget.record_first_attempt()
        while True:
            progress.attempts += 1
            try:
                if time_limit_s is None:
                    await self._attempt(request, writer, progress, first_token_deadline)
                else:
                    remaining_s = max(0.001, started_at + time_limit_s - await curio.clock())
                    await curio.timeout_after(
                        remaining_s, self._attempt, request, writer, progress, first_token_deadline
                    )
                return
            except curio.TaskTimeout as exc:
                raise DeadlinePassed(f"{time_limit_s} s passed without a complete answer") from exc
            except (AttemptFailed, LinkLost, LinkClosed) as exc:
                self._check_retry_allowed(exc, request, progress, writer)
                # A partly written answer is worth completing even if it is late, so the retry
                # gets at least the model's target time to its first token.
                first_token_deadline = max(
                    first_token_deadline, await curio.clock() + request.model.first_token_s
                )

    def _check_retry_allowed(
        self,
        exc: CrankhingeError,
        request: CompletionRequest,
        progress: RequestProgress,
        writer: CompletionWriter,
    ) -> None:
        """Return if the request may be retried, and charge the retry to the budget.

        Raises:
            BackendFailed: the request may not be retried.
        """
        self._metrics.count("attempts_failed")
        is_refused = progress.attempts >= MAX_ATTEMPTS
        is_refused = is_refused or (progress.may_have_run and not request.options.is_repeatable)
        is_refused = is_refused or (self._mechanisms.budget and not self._retry_budget.try_retry())
        is_refused = is_refused or (writer.token_count > 0 and not self._mechanisms.resume)
        self._log.warning(
            "attempt_failed",
            request=f"req-{progress.request_id:016x}",
            code=exc.code,
            why=exc.detail,
            attempt=progress.attempts,
            written=writer.token_count,
            retry=not is_refused,
        )
        if is_refused:
            raise BackendFailed(exc.detail) from exc

    async def _attempt(
        self,
        request: CompletionRequest,
        writer: CompletionWriter,
        progress: RequestProgress,
        first_token_deadline: float,
    ) -> None:
        body = request.continuation_body(writer.text, writer.token_count)
        route_request = self.estimator.make_route_request(request, writer.token_count)
        requirements = SlotRequirements(
            request, route_request, first_token_deadline, request.max_tokens - writer.token_count
        )
        early_prefill: PrefillDone | None = None
        if not self._mechanisms.reserve:
            early_prefill = await self._prefill(
                PrefillTask(request, route_request, body, "", first_token_deadline),
                writer,
                progress,
            )
        slot = await self._slot_client.lease_slot(requirements, progress)
        progress.slot_granted_at = progress.slot_granted_at or await curio.clock()
        is_complete = False
        try:
            task = PrefillTask(
                request, route_request, body, slot.backend.zone, first_token_deadline
            )
            prefill_done = early_prefill or await self._prefill(task, writer, progress)
            progress.may_have_run = True
            progress.prompt_processed_at = progress.prompt_processed_at or await curio.clock()
            transfer_timeout_s = self._transfer_timeout_s(route_request.tokens, slot)
            await slot.link.send(
                Decode(
                    slot.mailbox.req, request.path, body, prefill_done.kv_handle, transfer_timeout_s
                )
            )
            await self._relay(slot, writer, progress)
            is_complete = True
        finally:
            self._record_waste(progress)
            slot.backend.open_requests -= 1
            self._mailboxes.close(slot.mailbox)
            if not is_complete:
                await cancel_step(slot.link, slot.mailbox)

    async def _prefill(
        self, task: PrefillTask, writer: CompletionWriter, progress: RequestProgress
    ) -> PrefillDone:
        prefill_done = await self._prefill_client.prefill(task, progress)
        self.estimator.record_prompt_tokens(task.request, writer.text, prefill_done.prompt_tokens)
        writer.record_prompt_tokens(prefill_done.prompt_tokens)
        return prefill_done

    def _transfer_timeout_s(self, tokens: int, slot: LeasedSlot) -> float:
        """Return how long the decode engine may take until its first token, in seconds.

        After that, the transfer of the KV cache counts as stalled, and the attempt fails.
        """
        zone = slot.backend.zone
        expected_first_token_s = self._router.transfer_s(tokens, zone, zone) + slot.backend.step_s
        return max(MIN_TRANSFER_TIMEOUT_S, TRANSFER_TIMEOUT_FACTOR * expected_first_token_s)

    def _record_waste(self, progress: RequestProgress) -> None:
        if progress.unused_tokens:
            self._metrics.count("prompt_tokens_wasted", progress.unused_tokens)
            progress.wasted_tokens += progress.unused_tokens
            progress.unused_tokens = 0

    async def _relay(
        self, slot: LeasedSlot, writer: CompletionWriter, progress: RequestProgress
    ) -> None:
        """Write the tokens from the decode engine in order until the answer is complete.

        Raises:
            AttemptFailed: tokens are missing, or the engine failed.
        """
        next_index = 0
        slot.mailbox.is_streaming = True
        while True:
            msg = await slot.mailbox.get()
            if isinstance(msg, Tokens):
                if msg.first_index > next_index:
                    raise AttemptFailed(f"tokens {next_index} to {msg.first_index} are missing")
                new_texts = msg.texts[next_index - msg.first_index :]
                if not next_index:
                    progress.first_token_at = progress.first_token_at or await curio.clock()
                    progress.unused_tokens = 0
                next_index += len(new_texts)
                if new_texts:
                    await writer.write(new_texts)
            elif isinstance(msg, DecodeDone):
                if msg.token_count != next_index:
                    raise AttemptFailed(f"{next_index} of {msg.token_count} tokens arrived")
                slot.backend.breaker.record_success()
                progress.last_token_at = await curio.clock()
                await writer.finish(msg.finish_reason or "stop")
                return
            else:
                code = msg.code if isinstance(msg, Failed) else "no answer"
                await self._record_failure(code, slot, progress)
                raise AttemptFailed(code)

    async def _record_failure(self, code: str, slot: LeasedSlot, progress: RequestProgress) -> None:
        """Record a failure in the breaker of the engine that probably caused it.

        An expired lease is not a failure of an engine.
        """
        now = await curio.clock()
        if code in TRANSFER_FAILURE_CODES and progress.prefill_backend is not None:
            progress.prefill_backend.breaker.record_failure(now)
        elif code != "lease-expired":
            slot.backend.breaker.record_failure(now)
