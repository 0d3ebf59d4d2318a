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
from crankhinge.entry._answer import AnswerWriter
from crankhinge.entry._ask import CompletionAsk
from crankhinge.entry._calls import AttemptFailed, Calls, LinkLost, cancel_step
from crankhinge.entry._estimates import Estimates
from crankhinge.entry._fence import Fence, digest_of
from crankhinge.entry._fleet import Fleet
from crankhinge.entry._progress import Progress
from crankhinge.entry._reading import Prompt, PromptReader
from crankhinge.entry._slots import Slot, SlotFinder, SlotNeed
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
LEAST_PATIENCE_S = 0.4
PATIENCE_FACTOR = 5.0
TRANSFER_FAULTS = frozenset({"transfer-stalled", "kv-expired"})


class Completions:
    """Runs completions.

    Args:
        fleet: the agents.
        calls: the mailboxes.
        budget: for retries.
        fence: gives leave for non-repeatable requests.
        log: for events.
        metrics: for counters.
        mech: which mechanisms are at work.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        calls: Calls,
        budget: RetryBudget,
        fence: Fence,
        log: Any,
        metrics: Metrics,
        mech: Mechanisms = FULL,
    ) -> None:
        self.estimates = Estimates(fleet.router, mech)
        self._router = fleet.router
        self._slots = SlotFinder(fleet=fleet, calls=calls)
        self._reader = PromptReader(fleet=fleet, calls=calls)
        self._calls = calls
        self._budget = budget
        self._fence = fence
        self._log = log
        self._metrics = metrics
        self._mech = mech

    async def run(
        self, ask: CompletionAsk, view: BundleView, writer: AnswerWriter, progress: Progress
    ) -> None:
        """Answer *ask*, with leave if it may not be repeated. Raises as :meth:`_serve` does."""
        policy = view.bundle.policy
        pool = view.bundle.find_pool(ask.model.decode[0])
        if ask.terms.repeatable or not ask.terms.key or pool is None:
            progress.keyed = False
            await self._serve(ask, policy, writer, progress)
            return
        digest = digest_of("POST", ask.path, msgspec.json.encode(ask.body))
        leave = await self._fence.ask(
            pool, ask.member.name, ask.terms.key, digest, progress.new_step()
        )
        if isinstance(leave, RecordedResponse):
            raise AlreadyTaken("this request was answered before")
        progress.keyed = False
        try:
            await self._serve(ask, policy, writer, progress)
            await self._fence.settle(leave, RecordedResponse(200, cut=True))
        finally:
            if not progress.touched:
                await self._fence.release(leave)

    async def _serve(
        self, ask: CompletionAsk, policy: Policy, writer: AnswerWriter, progress: Progress
    ) -> None:
        """Answer *ask*; retries within the budget.

        Raises:
            Overloaded: no engine can meet the target now; nothing was run.
            NoBackend: no engine is known to be alive; nothing was run.
            BackendFailed: every attempt failed.
            DeadlinePassed: the caller's deadline went by.
        """
        began = await curio.clock()
        until = began + self.estimates.patience_s(ask, policy, began)
        limit = ask.terms.deadline_s
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
        self, exc: CrankhingeError, ask: CompletionAsk, progress: Progress, writer: AnswerWriter
    ) -> None:
        """Return if another attempt may be made.

        Raises:
            BackendFailed: when not.
        """
        self._metrics.count("attempts_failed")
        spent = progress.attempts >= MAX_ATTEMPTS
        spent = spent or (progress.touched and not ask.terms.repeatable)
        spent = spent or (self._mech.budget and not self._budget.try_retry())
        spent = spent or (writer.tokens > 0 and not self._mech.resume)
        self._log.warning(
            "attempt_failed",
            request=f"req-{progress.ident:016x}",
            code=exc.code,
            why=exc.detail,
            attempt=progress.attempts,
            written=writer.tokens,
            retry=not spent,
        )
        if spent:
            raise BackendFailed(exc.detail) from exc

    async def _attempt(
        self, ask: CompletionAsk, writer: AnswerWriter, progress: Progress, until: float
    ) -> None:
        body = ask.body_after(writer.text, writer.tokens)
        route = self.estimates.route(ask, writer.tokens)
        need = SlotNeed(ask, route, until, ask.max_tokens - writer.tokens)
        early: PrefillDone | None = None
        if not self._mech.reserve:
            early = await self._read(Prompt(ask, route, body, "", until), writer, progress)
        slot = await self._slots.find(need, progress)
        progress.slot = progress.slot or await curio.clock()
        done = False
        try:
            prompt = Prompt(ask, route, body, slot.backend.zone, until)
            read = early or await self._read(prompt, writer, progress)
            progress.touched = True
            progress.read = progress.read or await curio.clock()
            patience = self._transfer_patience_s(route.tokens, slot)
            await slot.link.send(Decode(slot.box.req, ask.path, body, read.kv, patience))
            await self._relay(slot, writer, progress)
            done = True
        finally:
            self._note_waste(progress)
            slot.backend.open_requests -= 1
            self._calls.close(slot.box)
            if not done:
                await cancel_step(slot.link, slot.box)

    async def _read(self, prompt: Prompt, writer: AnswerWriter, progress: Progress) -> PrefillDone:
        done = await self._reader.read(prompt, progress)
        self.estimates.learn(prompt.ask, writer.text, done.prompt)
        writer.note_prompt(done.prompt)
        return done

    def _transfer_patience_s(self, tokens: int, slot: Slot) -> float:
        """Return the seconds after which a transfer that has brought nothing is given up."""
        zone = slot.backend.zone
        usual = self._router.transfer_s(tokens, zone, zone) + slot.backend.step_s
        return max(LEAST_PATIENCE_S, PATIENCE_FACTOR * usual)

    def _note_waste(self, progress: Progress) -> None:
        if progress.unused:
            self._metrics.count("prompt_tokens_wasted", progress.unused)
            progress.wasted += progress.unused
            progress.unused = 0

    async def _relay(self, slot: Slot, writer: AnswerWriter, progress: Progress) -> None:
        """Pass tokens on in order until the answer is complete."""
        expected = 0
        slot.box.streaming = True
        while True:
            msg = await slot.box.get()
            if isinstance(msg, Tokens):
                if msg.seq > expected:
                    raise AttemptFailed(f"tokens {expected} to {msg.seq} are missing")
                fresh = msg.texts[expected - msg.seq :]
                if not expected:
                    progress.first = progress.first or await curio.clock()
                    progress.unused = 0
                expected += len(fresh)
                if fresh:
                    await writer.write(fresh)
            elif isinstance(msg, DecodeDone):
                if msg.count != expected:
                    raise AttemptFailed(f"{expected} of {msg.count} tokens arrived")
                slot.backend.breaker.record_success()
                progress.last = await curio.clock()
                await writer.finish(msg.finish or "stop")
                return
            else:
                code = msg.code if isinstance(msg, Failed) else "no answer"
                await self._blame(code, slot, progress)
                raise AttemptFailed(code)

    async def _blame(self, code: str, slot: Slot, progress: Progress) -> None:
        """Count a failure against the engine that is likely at fault."""
        now = await curio.clock()
        if code in TRANSFER_FAULTS and progress.reader is not None:
            progress.reader.breaker.record_failure(now)
        elif code != "lease-expired":
            slot.backend.breaker.record_failure(now)
