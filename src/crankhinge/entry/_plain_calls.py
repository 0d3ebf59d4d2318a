"""Runs calls to plain services."""

from __future__ import annotations

from typing import Any

import curio

from crankhinge.adapters.http_service import end_to_end_headers
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
from crankhinge.wire import Failed, Refused, ServiceCall, ServiceCallDone

MAX_ATTEMPTS = 3
# Marks a response that was recorded for an earlier request with the same idempotency key.
REPLAYED_HEADER = "x-answer-replayed"
# Time that the response of an agent may take beyond the timeout of the call.
RESPONSE_MARGIN_S = 0.5
# Retry delay that callers are given if no agent suggests one.
DEFAULT_RETRY_AFTER_S = 1.0
# Headers for the entry itself, which are not forwarded to the service.
UNFORWARDED_HEADERS = frozenset({"authorization", "x-deadline-ms", "x-priority", "x-repeatable"})


class PlainCallRunner:
    """Forwards calls to plain services.

    Args:
        agent_links: links to the agents.
        mailboxes: mailboxes for the responses of agents.
        retry_budget: limits the retries of this entry.
        fence_client: obtains permits for non-repeatable calls.
        log: logger for events.
        metrics: counters of this entry.
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
        self._agent_links = agent_links
        self._mailboxes = mailboxes
        self._retry_budget = retry_budget
        self._fence_client = fence_client
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
    ) -> ServiceCallDone:
        """Run a call and return the response of the service.

        A call that is not repeatable and has an idempotency key runs only with a permit from the
        fence. It continues if its caller disconnects, so that its outcome is recorded for a caller
        that retries it.

        Raises:
            NoBackend: no backend server is known to be alive; nothing was run.
            Overloaded: every backend server that was tried refused the call.
            BackendFailed: the call may have run.
            CrankhingeError: errors of :meth:`FenceClient.request_permit`.
        """
        repeatable = options.is_repeatable and req.method in service.repeatable
        if repeatable or not options.idempotency_key:
            progress.earlier_may_have_run = False
            return await self._send(req, member, service, options, repeatable, progress)
        pool = view.bundle.find_pool(service.pool)
        if pool is None:
            raise NoBackend(f"the bundle has no pool {service.pool}")
        digest = digest_request(req.method, req.target, req.body)
        permit = await self._fence_client.request_permit(
            pool, member.name, options.idempotency_key, digest, progress.new_step_id()
        )
        if isinstance(permit, RecordedResponse):
            self._metrics.count("answers_replayed")
            return ServiceCallDone(
                0, permit.status, {**permit.headers, REPLAYED_HEADER: "yes"}, permit.body
            )
        progress.earlier_may_have_run = False
        task = await curio.spawn(
            self._run_with_permit, permit, req, member, service, options, progress, daemon=True
        )
        await task.wait()
        outcome: ServiceCallDone | CrankhingeError = task.result
        if isinstance(outcome, CrankhingeError):
            raise outcome
        return outcome

    async def _run_with_permit(
        self,
        permit: FencePermit,
        req: HttpRequest,
        member: Member,
        service: Service,
        options: RequestOptions,
        progress: RequestProgress,
    ) -> ServiceCallDone | CrankhingeError:
        """Return the response, or the error if the call fails.

        The error is returned instead of raised because the caller may have disconnected, and then
        no task waits for the result.
        """
        try:
            response = await self._send(req, member, service, options, False, progress)
        except CrankhingeError as exc:
            if not progress.may_have_run:
                await self._fence_client.release(permit)
            return exc
        recorded = to_recorded_response(response.status, response.headers, response.body)
        await self._fence_client.record_response(permit, recorded)
        return response

    async def _send(
        self,
        req: HttpRequest,
        member: Member,
        service: Service,
        options: RequestOptions,
        repeatable: bool,
        progress: RequestProgress,
    ) -> ServiceCallDone:
        """Send the call to one backend server after another and return the response.

        A call that is not repeatable is sent to a second backend server only if the first one
        certainly did not run it.

        Raises:
            NoBackend: no backend server is known to be alive; nothing was run.
            Overloaded: every backend server that was tried refused the call.
            BackendFailed: the call may have run.
        """
        deadline = await curio.clock() + min(
            service.timeout_s, options.deadline_s or service.timeout_s
        )
        self._retry_budget.record_first_attempt()
        retry_delays_s: list[float] = []
        tried: set[str] = set()
        for _ in range(MAX_ATTEMPTS):
            backend = await self._choose_backend(service, tried)
            if backend is None:
                break
            progress.attempts += 1
            tried.add(backend.name)
            response = await self._call_agent(req, member, backend, deadline, progress)
            if isinstance(response, ServiceCallDone):
                return response
            if isinstance(response, Refused):
                retry_delays_s += [response.retry_after_s] if response.retry_after_s else []
            elif progress.may_have_run and not (repeatable and self._retry_budget.try_retry()):
                raise BackendFailed(f"{backend.name} failed during the call")
        if progress.may_have_run:
            raise BackendFailed("every attempt failed")
        if not progress.attempts:
            raise NoBackend(
                f"no backend server for {service.name}", retry_after_s=DEFAULT_RETRY_AFTER_S
            )
        after_s = min(retry_delays_s, default=DEFAULT_RETRY_AFTER_S)
        raise Overloaded("no backend server accepted the call", retry_after_s=after_s)

    async def _choose_backend(self, service: Service, tried: set[str]) -> Backend | None:
        """Return the best backend server that has not been tried, or None."""
        choices = self._agent_links.router.choose_backends((service.pool,), await curio.clock())
        return next((backend for backend in choices if backend.name not in tried), None)

    async def _call_agent(
        self,
        req: HttpRequest,
        member: Member,
        backend: Backend,
        deadline: float,
        progress: RequestProgress,
    ) -> ServiceCallDone | Refused | Failed | None:
        """Send the call to one agent and return its response, or None if there is none.

        Sets ``progress.may_have_run`` to True unless this attempt certainly did not run the call.
        """
        now = await curio.clock()
        timeout_s = max(0.001, deadline - now)
        step_id = progress.new_step_id()
        call = ServiceCall(
            step_id,
            req.method,
            req.target,
            _forwarded_headers(req),
            req.body,
            timeout_s,
            member.name,
        )
        may_have_run_before = progress.may_have_run
        progress.may_have_run = True
        backend.sent_since_report += 1
        backend.breaker.record_sent(now)
        response: ServiceCallDone | Refused | Failed | None = None
        try:
            response = await self._send_and_wait(backend, call)
        except LinkClosed:
            # The link was closed before the call was queued, so the call was not sent.
            response = Refused(step_id, "link-closed")
        except LinkLost:
            pass
        return self._record_outcome(response, backend, may_have_run_before, progress, now)

    async def _send_and_wait(
        self, backend: Backend, call: ServiceCall
    ) -> ServiceCallDone | Refused | Failed | None:
        """Send the call and return the agent's response, or None if it does not arrive in time.

        Raises:
            LinkClosed: the call was not sent.
            LinkLost: the link ended, and the agent may have received the call.
        """
        link = self._agent_links.get_link(backend.name)
        mailbox = self._mailboxes.open(link, call.req)
        response: ServiceCallDone | Refused | Failed | None = None
        try:
            await link.send(call)
            response = await curio.ignore_after(call.timeout_s + RESPONSE_MARGIN_S, mailbox.get)
        finally:
            self._mailboxes.close(mailbox)
            if response is None:
                await cancel_step(link, mailbox)
        return response

    def _record_outcome(
        self,
        response: ServiceCallDone | Refused | Failed | None,
        backend: Backend,
        may_have_run_before: bool,
        progress: RequestProgress,
        now: float,
    ) -> ServiceCallDone | Refused | Failed | None:
        """Update the breaker and ``progress.may_have_run`` from a response."""
        if isinstance(response, ServiceCallDone):
            backend.breaker.record_success()
            return response
        if isinstance(response, Refused):
            progress.may_have_run = may_have_run_before
            return response
        backend.breaker.record_failure(now)
        if response is not None and not response.may_have_run:
            progress.may_have_run = may_have_run_before
            return Refused(response.req, response.code)
        return response


def _forwarded_headers(req: HttpRequest) -> dict[str, str]:
    headers = end_to_end_headers(req.headers)
    return {name: value for name, value in headers.items() if name not in UNFORWARDED_HEADERS}
