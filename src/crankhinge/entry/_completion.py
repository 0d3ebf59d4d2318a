"""One completion, from the caller's request to its last token.

First a slot in a decode engine's memory is leased, then the prompt is read, then the answer is
written where the slot is. A refusal before the reading has cost nothing and is "not run".
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import curio
import msgspec

from crankhinge.config import BundleView, Policy
from crankhinge.decisions import FULL, Answer, Backend, Mechanisms, RetryBudget, RouteAsk, Router
from crankhinge.entry._answer import AnswerWriter
from crankhinge.entry._ask import BLOCK_CHARS, CompletionAsk
from crankhinge.entry._calls import Calls, LinkLost, Mailbox
from crankhinge.entry._fence import Fence, digest_of
from crankhinge.entry._fleet import Fleet
from crankhinge.errors import (
    AlreadyTaken,
    BackendFailed,
    CrankhingeError,
    DeadlinePassed,
    LinkClosed,
    NoBackend,
    Outcome,
    Overloaded,
)
from crankhinge.runtime import Metrics
from crankhinge.wire import (
    Cancel,
    Decode,
    DecodeDone,
    Failed,
    Granted,
    Link,
    Prefill,
    PrefillDone,
    Refused,
    Reserve,
    Tokens,
)

MAX_ATTEMPTS = 4
ANSWER_SLACK_S = 0.25
CHARS_PER_TOKEN = 4.0
CHARS_GAIN = 0.05
SILENT_STREAM_S = 5.0
MAX_RETRY_AFTER_S = 30.0
PATIENT_S = 60.0
LONG_PROMPT_FACTOR = 1.5
MARGIN = 0.05
MARGIN_BY_WASTE = 0.1


@dataclass
class Progress:
    """How far a request has come.

    Attributes:
        touched: whether a backend server may have worked for it.
        attempts: how often it was tried.
        computed: prompt tokens that engines computed for it.
        unused: of these, not yet put to use.
        wasted: of these, for nothing, as far as this entry knows.
        slot: time of the lease.
        read: time at which the prompt was read.
        first: time of the first token.
        last: time of the last token so far.
        keyed: whether an earlier attempt with the same key may have run.
    """

    touched: bool = False
    keyed: bool = False
    attempts: int = 0
    computed: int = 0
    unused: int = 0
    wasted: int = 0
    slot: float = 0.0
    read: float = 0.0
    first: float = 0.0
    last: float = 0.0

    @property
    def outcome(self) -> Outcome:
        """What may be told to the caller when the request fails now."""
        return Outcome.UNKNOWN if self.touched or self.keyed else Outcome.NOT_RUN


class AttemptFailed(BackendFailed):
    """One attempt failed; another may be made."""

    code = "attempt-failed"


@dataclass
class _Slot:
    """A leased slot."""

    backend: Backend
    link: Link
    box: Mailbox


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
        self._fleet = fleet
        self._calls = calls
        self._budget = budget
        self._fence = fence
        self._log = log
        self._metrics = metrics
        self._mech = mech
        self._chars_per_token: dict[str, float] = {}

    @property
    def _router(self) -> Router:
        return self._fleet.router

    def estimate_tokens(self, ask: CompletionAsk) -> int:
        """Return the likely number of prompt tokens, by what engines counted before."""
        ratio = self._chars_per_token.get(ask.model.name, CHARS_PER_TOKEN)
        return max(1, int(len(ask.text) / ratio))

    def _learn_ratio(self, ask: CompletionAsk, chars: int, tokens: int) -> None:
        if tokens <= 0:
            return
        name = ask.model.name
        before = self._chars_per_token.get(name)
        seen = chars / tokens
        gain = CHARS_GAIN if before else 1.0
        self._chars_per_token[name] = seen if before is None else before + gain * (seen - before)

    async def run(
        self, ask: CompletionAsk, view: BundleView, writer: AnswerWriter, progress: Progress
    ) -> None:
        """Answer *ask*, with leave if it may not be repeated. Raises as :meth:`_serve` does."""
        policy = view.bundle.policy
        pool = view.bundle.pool(ask.model.decode[0])
        if ask.terms.repeatable or not ask.terms.key or pool is None:
            await self._serve(ask, policy, writer, progress)
            return
        body = msgspec.json.encode(ask.body)
        digest = digest_of("POST", ask.path, body)
        leave = await self._fence.ask(pool, ask.member.name, ask.terms.key, digest)
        if isinstance(leave, Answer):
            raise AlreadyTaken("this request was answered before")
        progress.keyed = False
        try:
            await self._serve(ask, policy, writer, progress)
            await self._fence.settle(leave, Answer(200, cut=True))
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
        until = began + self._patience_s(ask, policy, began)
        limit = ask.terms.deadline_s
        self._budget.first_attempt()
        while True:
            progress.attempts += 1
            try:
                if limit is None:
                    await self._attempt(ask, writer, progress, until)
                else:
                    left = began + limit - await curio.clock()
                    await curio.timeout_after(
                        max(0.001, left), self._attempt, ask, writer, progress, until
                    )
                return
            except curio.TaskTimeout as exc:
                raise DeadlinePassed(f"{limit} s") from exc
            except (AttemptFailed, LinkLost, LinkClosed) as exc:
                await self._consider_retry(exc, ask, progress, writer)
                # An answer that is under way is worth finishing late.
                until = max(until, await curio.clock() + ask.model.first_token_s)

    def _patience_s(self, ask: CompletionAsk, policy: Policy, now: float) -> float:
        """Return the seconds until the first token after which the request is given up.

        A prompt so long that even an idle engine reads it later than the target allows is given
        the time that it needs: it can't be in time, but it can be answered.
        """
        if not self._mech.refuse_early:
            return PATIENT_S
        aim = 1.0 - MARGIN - MARGIN_BY_WASTE * policy.waste_weight
        target = ask.model.first_token_s * policy.patience * aim
        tokens = self.estimate_tokens(ask)
        route = RouteAsk(tokens, ask.prefix, self._block_tokens(ask))
        idle = self._router.idle_prefill_s(ask.model.prefill, route, now)
        return max(target, LONG_PROMPT_FACTOR * idle)

    async def _consider_retry(
        self,
        exc: CrankhingeError,
        ask: CompletionAsk,
        progress: Progress,
        writer: AnswerWriter,
    ) -> None:
        self._metrics.count("attempts_failed")
        spent = progress.attempts >= MAX_ATTEMPTS
        spent = spent or (progress.touched and not ask.terms.repeatable)
        spent = spent or (self._mech.budget and not self._budget.try_retry())
        spent = spent or (writer.tokens > 0 and not self._mech.resume)
        self._log.warning(
            "attempt_failed",
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
        tokens = self.estimate_tokens(ask) + writer.tokens
        route = RouteAsk(tokens, ask.prefix, self._block_tokens(ask))
        left = ask.max_tokens - writer.tokens
        kv = b""
        if not self._mech.reserve:
            kv = await self._prefill(ask, route, "", body, writer, progress, until)
        slot = await self._reserve(ask, route, until, left)
        progress.slot = progress.slot or await curio.clock()
        done = False
        try:
            if self._mech.reserve:
                zone = slot.backend.zone
                kv = await self._prefill(ask, route, zone, body, writer, progress, until)
            progress.touched = True
            progress.read = progress.read or await curio.clock()
            await slot.link.send(Decode(slot.box.req, ask.path, body, kv))
            await self._relay(slot, writer, progress)
            done = True
        finally:
            self._note_waste(progress)
            slot.backend.open -= 1
            self._calls.close(slot.box)
            if not done:
                await _cancel(slot.link, slot.box)

    def _note_waste(self, progress: Progress) -> None:
        if progress.unused:
            self._metrics.count("prompt_tokens_wasted", progress.unused)
            progress.wasted += progress.unused
            progress.unused = 0

    def _block_tokens(self, ask: CompletionAsk) -> int:
        return int(BLOCK_CHARS / self._chars_per_token.get(ask.model.name, CHARS_PER_TOKEN))

    async def _reserve(
        self, ask: CompletionAsk, route: RouteAsk, until: float, max_tokens: int
    ) -> _Slot:
        candidates = self._router.choose(ask.model.decode, await curio.clock())
        if not candidates:
            raise NoBackend(f"no decode engine for {ask.model.name}", retry_after_s=1.0)
        # First whoever has room now; only when nobody has is it worth waiting somewhere.
        rounds = [(b, False) for b in candidates if b.seems_free or len(candidates) == 1]
        rounds += [(b, True) for b in candidates]
        retry_after = MAX_RETRY_AFTER_S
        for backend, may_wait in rounds:
            try:
                answer = await self._ask_slot(ask, route, backend, until, max_tokens, may_wait)
            except (LinkClosed, LinkLost):
                continue
            if isinstance(answer, _Slot):
                return answer
            retry_after = min(retry_after, answer.retry_after or retry_after)
        raise Overloaded("no slot in time", retry_after_s=retry_after)

    async def _ask_slot(
        self,
        ask: CompletionAsk,
        route: RouteAsk,
        backend: Backend,
        until: float,
        max_tokens: int,
        may_wait: bool,
    ) -> _Slot | Refused:
        now = await curio.clock()
        lead = self._lead_s(ask, route, backend, now)
        within = until - now - lead if may_wait else 0.0
        link = self._fleet.link(backend.name)
        box = self._calls.open(link)
        backend.sent += 1
        kept = False
        try:
            await link.send(
                Reserve(
                    box.req,
                    ask.member.name,
                    ask.model.name,
                    ask.terms.rank,
                    within,
                    lead,
                    max_tokens,
                    ask.member.partner,
                )
            )
            answer = await self._answer(box, max(within, 0.0) + ANSWER_SLACK_S)
            kept = isinstance(answer, Granted)
            if kept:
                backend.open += 1
                return _Slot(backend, link, box)
            if isinstance(answer, Refused):
                return answer
            return Refused(box.req, "no-answer")
        finally:
            if not kept:
                self._calls.close(box)
                await _cancel(link, box)

    def _lead_s(self, ask: CompletionAsk, route: RouteAsk, backend: Backend, now: float) -> float:
        """Return the seconds from the grant of a slot until it is used."""
        best = self._router.choose_prefill(ask.model.prefill, route, backend.zone, now)
        if not best:
            raise NoBackend(f"no prefill engine for {ask.model.name}", retry_after_s=1.0)
        read = self._router.prefill_cost_s(best[0], route, backend.zone, now)
        return read + backend.step_s

    async def _answer(self, box: Mailbox, seconds: float) -> Any:
        """Return the agent's next message, or None when none comes in time."""
        return await curio.ignore_after(seconds, box.get)

    async def _prefill(
        self,
        ask: CompletionAsk,
        route: RouteAsk,
        zone: str,
        body: bytes,
        writer: AnswerWriter,
        progress: Progress,
        until: float,
    ) -> bytes:
        now = await curio.clock()
        retry_after = 1.0
        for backend in self._router.choose_prefill(ask.model.prefill, route, zone, now):
            try:
                answer = await self._read(ask, route, backend, body, progress, until)
            except (LinkClosed, LinkLost):
                continue
            if isinstance(answer, PrefillDone):
                self._learn(ask, route, backend, answer)
                progress.computed += answer.prompt - answer.cached
                progress.unused = answer.prompt - answer.cached
                writer.note_prompt(answer.prompt)
                return answer.kv
            if isinstance(answer, Refused):
                retry_after = min(retry_after, answer.retry_after or retry_after)
            if progress.touched and not ask.terms.repeatable:
                break
        if progress.touched:
            raise AttemptFailed("no prefill engine read the prompt")
        raise Overloaded("no prefill engine in time", retry_after_s=retry_after)

    async def _read(
        self,
        ask: CompletionAsk,
        route: RouteAsk,
        backend: Backend,
        body: bytes,
        progress: Progress,
        until: float,
    ) -> Any:
        """Have one engine read the prompt; returns its agent's answer, or None for none."""
        now = await curio.clock()
        transfer = self._router.transfer_s(route.tokens, backend.zone, backend.zone)
        within = until - now - transfer
        link = self._fleet.link(backend.name)
        box = self._calls.open(link)
        todo = self._router.uncached(backend, route)
        backend.sent += 1
        backend.sent_s += todo / (backend.rate or 10_000.0)
        backend.breaker.sent(now)
        touched = progress.touched
        progress.touched = True
        answer: Any = None
        try:
            await link.send(
                Prefill(box.req, ask.path, body, ask.member.name, ask.terms.rank, within, todo)
            )
            answer = await self._answer(box, max(within, 0.0) + ANSWER_SLACK_S)
        finally:
            self._calls.close(box)
            if not isinstance(answer, PrefillDone | Refused | Failed):
                await _cancel(link, box)
                backend.breaker.failed(now)
        if isinstance(answer, Refused) or (isinstance(answer, Failed) and not answer.ran):
            progress.touched = touched
        if isinstance(answer, Failed):
            backend.breaker.failed(await curio.clock())
        elif isinstance(answer, PrefillDone):
            backend.breaker.succeeded()
        return answer

    def _learn(
        self, ask: CompletionAsk, route: RouteAsk, backend: Backend, done: PrefillDone
    ) -> None:
        self._learn_ratio(ask, len(ask.text), done.prompt)
        self._router.prefixes.learn(backend.name, route.prefix)

    async def _relay(self, slot: _Slot, writer: AnswerWriter, progress: Progress) -> None:
        """Pass tokens on in order until the answer is complete."""
        expected = 0
        while True:
            msg = await curio.ignore_after(SILENT_STREAM_S, slot.box.get)
            if isinstance(msg, Tokens):
                fresh = msg.texts[max(0, expected - msg.seq) :]
                if msg.seq > expected:
                    raise AttemptFailed(f"tokens {expected} to {msg.seq} are missing")
                progress.last = await curio.clock()
                progress.first = progress.first or progress.last
                progress.unused = 0
                expected += len(fresh)
                if fresh:
                    await writer.write(fresh)
            elif isinstance(msg, DecodeDone):
                if msg.count != expected:
                    raise AttemptFailed(f"{expected} of {msg.count} tokens arrived")
                slot.backend.breaker.succeeded()
                await writer.finish(msg.finish or "stop")
                return
            else:
                slot.backend.breaker.failed(await curio.clock())
                raise AttemptFailed(msg.code if isinstance(msg, Failed) else "no answer")


async def _cancel(link: Link, box: Mailbox) -> None:
    """Tell an agent that nobody waits for a request; a lost link has told it already."""
    try:
        await link.send(Cancel(box.req))
    except LinkClosed:
        return
