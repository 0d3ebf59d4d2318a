"""Calls to plain services."""

from __future__ import annotations

from typing import Any

import curio

from crankhinge.adapters.http_service import end_to_end
from crankhinge.config import BundleView, Member, Service
from crankhinge.decisions import Backend, RecordedResponse, RetryBudget, to_recorded_response
from crankhinge.entry._agent_links import AgentLinks
from crankhinge.entry._fence_client import FenceClient, FencePermit, digest_request
from crankhinge.entry._mailboxes import LinkLost, Mailboxes, cancel_step
from crankhinge.entry._progress import RequestProgress
from crankhinge.entry._requests import RequestOptions
from crankhinge.errors import (
    BackendFailed,
    CrankhingeError,
    LinkClosed,
    NoBackend,
    Overloaded,
)
from crankhinge.http import HttpRequest
from crankhinge.runtime import Metrics
from crankhinge.wire import Failed, Refused, ServiceCall, ServiceResponse

MAX_ATTEMPTS = 3
REPLAYED_HEADER = "x-answer-replayed"
RESPONSE_MARGIN_S = 0.5
# When to come back where no agent tells, in seconds.
DEFAULT_RETRY_AFTER_S = 1.0
PRIVATE_HEADERS = frozenset({"authorization", "x-deadline-ms", "x-priority", "x-repeatable"})


class PlainCallRunner:
    """Passes calls to plain services on.

    Args:
        agent_links: the agents.
        mailboxes: the mailboxes.
        retry_budget: for retries.
        fence_client: gives leave for calls that may not be repeated.
        log: for events.
        metrics: for counters.
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
    ) -> None:
        self._fleet = agent_links
        self._calls = mailboxes
        self._budget = retry_budget
        self._fence = fence_client
        self._log = log
        self._metrics = metrics

    async def run(
        self,
        req: HttpRequest,
        member: Member,
        view: BundleView,
        service: Service,
        options: RequestOptions,
        progress: RequestProgress,
    ) -> ServiceResponse:
        """Return the service's answer, with leave if the call may not be repeated.

        A call that has leave goes on when its caller is gone, so that its outcome is recorded for
        the caller that comes back. Raises as :meth:`_send` and :meth:`FenceClient.ask` do.
        """
        repeatable = options.is_repeatable and req.method in service.repeatable
        if repeatable or not options.idempotency_key:
            progress.earlier_may_have_run = False
            return await self._send(req, member, service, options, repeatable, progress)
        pool = view.bundle.find_pool(service.pool)
        if pool is None:
            raise NoBackend(f"no pool {service.pool}")
        digest = digest_request(req.method, req.target, req.body)
        leave = await self._fence.request_permit(
            pool, member.name, options.idempotency_key, digest, progress.new_step_id()
        )
        if isinstance(leave, RecordedResponse):
            self._metrics.count("answers_replayed")
            return ServiceResponse(
                0, leave.status, {**leave.headers, REPLAYED_HEADER: "yes"}, leave.body
            )
        progress.earlier_may_have_run = False
        task = await curio.spawn(
            self._run_with_leave, leave, req, member, service, options, progress, daemon=True
        )
        await task.wait()
        outcome: ServiceResponse | CrankhingeError = task.result
        if isinstance(outcome, CrankhingeError):
            raise outcome
        return outcome

    async def _run_with_leave(
        self,
        leave: FencePermit,
        req: HttpRequest,
        member: Member,
        service: Service,
        terms: RequestOptions,
        progress: RequestProgress,
    ) -> ServiceResponse | CrankhingeError:
        """Return the answer, or the failure: nobody may be left to raise it to."""
        try:
            done = await self._send(req, member, service, terms, False, progress)
        except CrankhingeError as exc:
            if not progress.may_have_run:
                await self._fence.release(leave)
            return exc
        answer = to_recorded_response(done.status, done.headers, done.body)
        await self._fence.record_response(leave, answer)
        return done

    async def _send(
        self,
        req: HttpRequest,
        member: Member,
        service: Service,
        terms: RequestOptions,
        repeatable: bool,
        progress: RequestProgress,
    ) -> ServiceResponse:
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
            if isinstance(answer, ServiceResponse):
                return answer
            if isinstance(answer, Refused):
                told_back += [answer.retry_after_s] if answer.retry_after_s else []
            elif progress.may_have_run and not (repeatable and self._budget.try_retry()):
                raise BackendFailed(f"{backend.name} failed in mid-call")
        if progress.may_have_run:
            raise BackendFailed("every attempt failed")
        if not progress.attempts:
            raise NoBackend(
                f"no backend server for {service.name}", retry_after_s=DEFAULT_RETRY_AFTER_S
            )
        after_s = min(told_back, default=DEFAULT_RETRY_AFTER_S)
        raise Overloaded("no backend server took the call", retry_after_s=after_s)

    async def _next(self, service: Service, tried: set[str]) -> Backend | None:
        """Return the next backend server to try."""
        choices = self._fleet.router.choose_backends((service.pool,), await curio.clock())
        return next((backend for backend in choices if backend.name not in tried), None)

    async def _call(
        self,
        req: HttpRequest,
        member: Member,
        backend: Backend,
        until: float,
        progress: RequestProgress,
    ) -> ServiceResponse | Refused | Failed | None:
        """Send the call to one agent; sets ``progress.touched`` unless it certainly didn't run."""
        now = await curio.clock()
        within = max(0.001, until - now)
        step = progress.new_step_id()
        call = ServiceCall(
            step, req.method, req.target, _forwarded(req), req.body, within, member.name
        )
        before = progress.may_have_run
        progress.may_have_run = True
        backend.sent_since_report += 1
        backend.breaker.record_sent(now)
        answer: ServiceResponse | Refused | Failed | None = None
        try:
            answer = await self._exchange(backend, call)
        except LinkClosed:
            # The link was gone before the call was queued on it.
            answer = Refused(step, "link-closed")
        except LinkLost:
            pass
        return self._judge(answer, backend, before, progress, now)

    async def _exchange(
        self, backend: Backend, call: ServiceCall
    ) -> ServiceResponse | Refused | Failed | None:
        """Return the agent's answer, or None when none came in time.

        Raises:
            LinkClosed: nothing was sent.
            LinkLost: the call may have arrived.
        """
        link = self._fleet.get_link(backend.name)
        box = self._calls.open(link, call.req)
        answer: ServiceResponse | Refused | Failed | None = None
        try:
            await link.send(call)
            answer = await curio.ignore_after(call.timeout_s + RESPONSE_MARGIN_S, box.get)
        finally:
            self._calls.close(box)
            if answer is None:
                await cancel_step(link, box)
        return answer

    def _judge(
        self,
        answer: ServiceResponse | Refused | Failed | None,
        backend: Backend,
        before: bool,
        progress: RequestProgress,
        now: float,
    ) -> ServiceResponse | Refused | Failed | None:
        """Note what an answer says of the backend server and of whether the call ran."""
        if isinstance(answer, ServiceResponse):
            backend.breaker.record_success()
            return answer
        if isinstance(answer, Refused):
            progress.may_have_run = before
            return answer
        backend.breaker.record_failure(now)
        if answer is not None and not answer.may_have_run:
            progress.may_have_run = before
            return Refused(answer.req, answer.code)
        return answer


def _forwarded(req: HttpRequest) -> dict[str, str]:
    headers = end_to_end(req.headers)
    return {name: value for name, value in headers.items() if name not in PRIVATE_HEADERS}
