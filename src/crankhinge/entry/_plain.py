"""Calls to plain services."""

from __future__ import annotations

from typing import Any

import curio

from crankhinge.adapters.http_service import end_to_end_headers
from crankhinge.config import BundleView, Member, Service
from crankhinge.decisions import Backend, RecordedResponse, RetryBudget, to_recorded_response
from crankhinge.entry._ask import Terms
from crankhinge.entry._calls import Calls, LinkLost, cancel_step
from crankhinge.entry._fence import Fence, Leave, digest_of
from crankhinge.entry._fleet import Fleet
from crankhinge.entry._progress import Progress
from crankhinge.errors import (
    BackendFailed,
    CrankhingeError,
    LinkClosed,
    NoBackend,
    Overloaded,
)
from crankhinge.http import HttpRequest
from crankhinge.runtime import Metrics
from crankhinge.wire import Call, CallDone, Failed, Refused

MAX_ATTEMPTS = 3
REPLAYED = "x-answer-replayed"
ANSWER_SLACK_S = 0.5
# When to come back where no agent tells, in seconds.
RETRY_AFTER_S = 1.0
PRIVATE_HEADERS = frozenset({"authorization", "x-deadline-ms", "x-priority", "x-repeatable"})


class PlainCalls:
    """Passes calls to plain services on.

    Args:
        fleet: the agents.
        calls: the mailboxes.
        budget: for retries.
        fence: gives leave for calls that may not be repeated.
        log: for events.
        metrics: for counters.
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
    ) -> None:
        self._fleet = fleet
        self._calls = calls
        self._budget = budget
        self._fence = fence
        self._log = log
        self._metrics = metrics

    async def run(
        self,
        req: HttpRequest,
        member: Member,
        view: BundleView,
        service: Service,
        terms: Terms,
        progress: Progress,
    ) -> CallDone:
        """Return the service's answer, with leave if the call may not be repeated.

        A call that has leave goes on when its caller is gone, so that its outcome is recorded for
        the caller that comes back. Raises as :meth:`_send` and :meth:`Fence.ask` do.
        """
        repeatable = terms.repeatable and req.method in service.repeatable
        if repeatable or not terms.key:
            progress.keyed = False
            return await self._send(req, member, service, terms, repeatable, progress)
        pool = view.bundle.find_pool(service.pool)
        if pool is None:
            raise NoBackend(f"no pool {service.pool}")
        digest = digest_of(req.method, req.target, req.body)
        leave = await self._fence.ask(pool, member.name, terms.key, digest, progress.new_step())
        if isinstance(leave, RecordedResponse):
            self._metrics.count("answers_replayed")
            return CallDone(0, leave.status, {**leave.headers, REPLAYED: "yes"}, leave.body)
        progress.keyed = False
        task = await curio.spawn(
            self._run_with_leave, leave, req, member, service, terms, progress, daemon=True
        )
        await task.wait()
        outcome: CallDone | CrankhingeError = task.result
        if isinstance(outcome, CrankhingeError):
            raise outcome
        return outcome

    async def _run_with_leave(
        self,
        leave: Leave,
        req: HttpRequest,
        member: Member,
        service: Service,
        terms: Terms,
        progress: Progress,
    ) -> CallDone | CrankhingeError:
        """Return the answer, or the failure: nobody may be left to raise it to."""
        try:
            done = await self._send(req, member, service, terms, False, progress)
        except CrankhingeError as exc:
            if not progress.touched:
                await self._fence.release(leave)
            return exc
        answer = to_recorded_response(done.status, done.headers, done.body)
        await self._fence.settle(leave, answer)
        return done

    async def _send(
        self,
        req: HttpRequest,
        member: Member,
        service: Service,
        terms: Terms,
        repeatable: bool,
        progress: Progress,
    ) -> CallDone:
        """Return the service's answer.

        A call that may not be repeated is sent to a second backend server only when the first
        certainly did not run it.

        Raises:
            NoBackend: no backend server is known to be alive; nothing was run.
            Overloaded: every one tried refused it unstarted.
            BackendFailed: it may have run.
        """
        until = await curio.clock() + min(service.timeout_s, terms.deadline_s or service.timeout_s)
        self._budget.record_first_attempt()
        told_back: list[float] = []
        tried: set[str] = set()
        for _ in range(MAX_ATTEMPTS):
            backend = await self._next(service, tried)
            if backend is None:
                break
            progress.attempts += 1
            tried.add(backend.name)
            answer = await self._call(req, member, backend, until, progress)
            if isinstance(answer, CallDone):
                return answer
            if isinstance(answer, Refused):
                told_back += [answer.retry_after] if answer.retry_after else []
            elif progress.touched and not (repeatable and self._budget.try_retry()):
                raise BackendFailed(f"{backend.name} failed in mid-call")
        if progress.touched:
            raise BackendFailed("every attempt failed")
        if not progress.attempts:
            raise NoBackend(f"no backend server for {service.name}", retry_after_s=RETRY_AFTER_S)
        after_s = min(told_back, default=RETRY_AFTER_S)
        raise Overloaded("no backend server took the call", retry_after_s=after_s)

    async def _next(self, service: Service, tried: set[str]) -> Backend | None:
        """Return the next backend server to try."""
        choices = self._fleet.router.choose_backends((service.pool,), await curio.clock())
        return next((backend for backend in choices if backend.name not in tried), None)

    async def _call(
        self, req: HttpRequest, member: Member, backend: Backend, until: float, progress: Progress
    ) -> CallDone | Refused | Failed | None:
        """Send the call to one agent; sets ``progress.touched`` unless it certainly didn't run."""
        now = await curio.clock()
        within = max(0.001, until - now)
        step = progress.new_step()
        call = Call(step, req.method, req.target, _forwarded(req), req.body, within, member.name)
        before = progress.touched
        progress.touched = True
        backend.sent_since_report += 1
        backend.breaker.record_sent(now)
        answer: CallDone | Refused | Failed | None = None
        try:
            answer = await self._exchange(backend, call)
        except LinkClosed:
            # The link was gone before the call was queued on it.
            answer = Refused(step, "link-closed")
        except LinkLost:
            pass
        return self._judge(answer, backend, before, progress, now)

    async def _exchange(self, backend: Backend, call: Call) -> CallDone | Refused | Failed | None:
        """Return the agent's answer, or None when none came in time.

        Raises:
            LinkClosed: nothing was sent.
            LinkLost: the call may have arrived.
        """
        link = self._fleet.link(backend.name)
        box = self._calls.open(link, call.req)
        answer: CallDone | Refused | Failed | None = None
        try:
            await link.send(call)
            answer = await curio.ignore_after(call.within + ANSWER_SLACK_S, box.get)
        finally:
            self._calls.close(box)
            if answer is None:
                await cancel_step(link, box)
        return answer

    def _judge(
        self,
        answer: CallDone | Refused | Failed | None,
        backend: Backend,
        before: bool,
        progress: Progress,
        now: float,
    ) -> CallDone | Refused | Failed | None:
        """Note what an answer says of the backend server and of whether the call ran."""
        if isinstance(answer, CallDone):
            backend.breaker.record_success()
            return answer
        if isinstance(answer, Refused):
            progress.touched = before
            return answer
        backend.breaker.record_failure(now)
        if answer is not None and not answer.ran:
            progress.touched = before
            return Refused(answer.req, answer.code)
        return answer


def _forwarded(req: HttpRequest) -> dict[str, str]:
    headers = end_to_end_headers(req.headers)
    return {name: value for name, value in headers.items() if name not in PRIVATE_HEADERS}
