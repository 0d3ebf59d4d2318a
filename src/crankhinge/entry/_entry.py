"""The HTTP server of an entry: authentication, limits, dispatch and responses."""

from __future__ import annotations

import time
from typing import Any

import curio
import msgspec

from crankhinge.config import BundleKeeper, BundleView, Member
from crankhinge.decisions import MemberLimits
from crankhinge.entry._agent_links import AgentLinks
from crankhinge.entry._completion import CompletionRunner
from crankhinge.entry._plain_calls import PlainCallRunner
from crankhinge.entry._progress import RequestIds, RequestProgress
from crankhinge.entry._requests import (
    CHAT_PATH,
    COMPLETIONS_PATH,
    authenticate,
    check_prompt_length,
    parse_completion,
    parse_options,
)
from crankhinge.entry._responses import CompletionWriter, call_response_headers, send_error
from crankhinge.entry._settings import EntrySettings
from crankhinge.errors import (
    BadHttp,
    CrankhingeError,
    HttpClosed,
    LimitReached,
    Overloaded,
    UnknownRoute,
)
from crankhinge.http import Exchange, HttpLimits, serve_http
from crankhinge.runtime import Metrics

DRAIN_POLL_S = 0.05
# Time between reporting unready and the drain, in which the load balancer stops sending requests.
UNREADY_NOTICE_S = 2.0


class Entry:
    """Serves the HTTP requests of callers.

    Args:
        settings: settings of this entry.
        keeper: holds the active bundle.
        agent_links: links to the agents.
        completions: runs completions.
        plain_calls: runs calls to plain services.
        request_ids: creates the ids of requests.
        log: logger for events.
        metrics: counters and timings of this entry.
    """

    def __init__(
        self,
        *,
        settings: EntrySettings,
        keeper: BundleKeeper,
        agent_links: AgentLinks,
        completions: CompletionRunner,
        plain_calls: PlainCallRunner,
        request_ids: RequestIds,
        log: Any,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._keeper = keeper
        self._agent_links = agent_links
        self._completions = completions
        self._plain_calls = plain_calls
        self._request_ids = request_ids
        self._log = log
        self._metrics = metrics
        self._member_limits = MemberLimits()
        self._open_requests = 0
        self._draining = False

    async def listen(self) -> None:
        """Accept and serve connections until cancelled."""
        settings = self._settings
        await serve_http(
            settings.host,
            settings.port,
            self._handle,
            on_malformed=self._on_malformed,
            log=self._log,
            limits=HttpLimits(max_body_bytes=settings.body_bytes),
        )

    async def drain(self) -> None:
        """Report unready, then wait for the open requests to end.

        The load balancer stops sending requests when it sees that this entry is not ready. The
        wait for open requests is limited to ``drain_s``.
        """
        self._log.info("draining", open=self._open_requests)
        self._draining = True
        await curio.sleep(UNREADY_NOTICE_S)
        await curio.ignore_after(self._settings.drain_s, self._wait_idle)
        self._log.info("drained", open=self._open_requests)

    async def _wait_idle(self) -> None:
        while self._open_requests:
            await curio.sleep(DRAIN_POLL_S)

    async def _on_malformed(self, exchange: Exchange, exc: BadHttp) -> None:
        self._metrics.count("bad_http")
        await send_error(exchange, exc)

    async def _handle(self, exchange: Exchange) -> None:
        path = exchange.req.path
        if path == "/healthz":
            await exchange.respond(200, b'{"status":"ok"}')
        elif path == "/readyz":
            await self._readyz(exchange)
        else:
            await self._serve_request(exchange)

    async def _readyz(self, exchange: Exchange) -> None:
        ready = self._keeper.view is not None and not self._draining
        state = {
            "ready": ready,
            "draining": self._draining,
            "bundle": self._keeper.version,
            "open": self._open_requests,
            "linked": self._agent_links.link_count,
            "dropped": self._agent_links.dropped_messages,
        }
        await exchange.respond(200 if ready else 503, msgspec.json.encode(state))

    async def _serve_request(self, exchange: Exchange) -> None:
        """Serve one request, and cancel its work if the caller disconnects."""
        request_id = self._request_ids.new_id()
        public_id = f"req-{request_id:016x}"
        self._open_requests += 1
        try:
            async with curio.TaskGroup(wait=any) as group:
                work = await group.spawn(self._answer, exchange, request_id, public_id)
                await group.spawn(exchange.wait_for_disconnect)
            if group.completed is not work or work.exception is not None:
                self._log_unanswered(public_id, work.exception)
                raise HttpClosed("request was not answered")
        finally:
            self._open_requests -= 1

    def _log_unanswered(self, public_id: str, failure: BaseException | None) -> None:
        """Log why a request got no response.

        Either the caller disconnected, or an unexpected exception shows a fault of this program.
        """
        if failure is None or isinstance(failure, HttpClosed | curio.CancelledError):
            self._metrics.count("callers_gone")
            self._log.info("caller_gone", request=public_id)
            return
        self._metrics.count("crashed")
        kind = type(failure).__name__
        self._log.error("request_crashed", request=public_id, kind=kind, why=str(failure))

    async def _answer(self, exchange: Exchange, request_id: int, public_id: str) -> None:
        progress = RequestProgress(
            request_id, earlier_may_have_run="idempotency-key" in exchange.req.headers
        )
        # Fields for the final log line of the request, added as they become known.
        log_fields: dict[str, Any] = {"request": public_id}
        try:
            await self._dispatch(exchange, log_fields, progress)
        except HttpClosed:
            raise
        except CrankhingeError as exc:
            self._metrics.count(f"failed.{exc.code}")
            self._log.info(
                "request_failed",
                **log_fields,
                code=exc.code,
                why=exc.detail,
                outcome=progress.outcome.value,
                attempts=progress.attempts,
                read_tokens=progress.computed_tokens,
                wasted_tokens=progress.wasted_tokens,
            )
            if not exchange.response_started:
                await send_error(
                    exchange,
                    exc,
                    outcome=progress.outcome,
                    may_have_run=progress.may_have_run,
                    request_id=public_id,
                )

    async def _dispatch(
        self, exchange: Exchange, log_fields: dict[str, Any], progress: RequestProgress
    ) -> None:
        view = self._keeper.require_view()
        if self._open_requests > self._settings.max_requests:
            raise Overloaded("this entry has too many open requests", retry_after_s=1.0)
        member = authenticate(view, exchange.req.headers)
        log_fields["member"] = member.name
        self._admit(member, await curio.clock())
        try:
            if exchange.req.path in (CHAT_PATH, COMPLETIONS_PATH) and exchange.req.method == "POST":
                await self._handle_completion(exchange, log_fields, view, member, progress)
            else:
                await self._handle_call(exchange, log_fields, view, member, progress)
        finally:
            self._member_limits.record_end(member.name)

    def _admit(self, member: Member, now: float) -> None:
        retry_after_s = self._member_limits.admit(
            member.name, now, max_concurrent=member.max_concurrent, max_per_s=member.max_per_s
        )
        if retry_after_s is not None:
            raise LimitReached(f"{member.name} has reached its limit", retry_after_s=retry_after_s)

    async def _handle_completion(
        self,
        exchange: Exchange,
        log_fields: dict[str, Any],
        view: BundleView,
        member: Member,
        progress: RequestProgress,
    ) -> None:
        started_at = await curio.clock()
        request = parse_completion(view, exchange.req, member)
        log_fields.update(model=request.body["model"], rank=request.options.rank)
        check_prompt_length(request, self._completions.estimator.prompt_tokens(request))
        writer = CompletionWriter(exchange, request, log_fields["request"], int(time.time()))
        try:
            await self._completions.run(request, view, writer, progress)
        except HttpClosed:
            raise
        except CrankhingeError as exc:
            if writer.has_started_stream:
                await writer.abort(exc)
            raise
        total_s = await curio.clock() - started_at
        first_token_s = progress.first_token_at - started_at
        gap_count = max(1, writer.token_count - 1)
        self._metrics.count("answered")
        self._metrics.timing("first_token", first_token_s)
        self._log.info(
            "answered",
            **log_fields,
            tokens=writer.token_count,
            slot_ms=round((progress.slot_granted_at - started_at) * 1000, 1),
            read_ms=round((progress.prompt_processed_at - started_at) * 1000, 1),
            first_ms=round(first_token_s * 1000, 1),
            gap_ms=round((progress.last_token_at - progress.first_token_at) / gap_count * 1000, 1),
            read_tokens=progress.computed_tokens,
            wasted_tokens=progress.wasted_tokens,
            total_ms=round(total_s * 1000, 1),
            attempts=progress.attempts,
        )

    async def _handle_call(
        self,
        exchange: Exchange,
        log_fields: dict[str, Any],
        view: BundleView,
        member: Member,
        progress: RequestProgress,
    ) -> None:
        req = exchange.req
        service = view.bundle.find_service(req.path)
        if service is None:
            raise UnknownRoute(f"no service has the path {req.path}")
        options = parse_options(req.headers, member)
        response = await self._plain_calls.run(req, member, view, service, options, progress)
        self._metrics.count("calls_answered")
        headers = call_response_headers(response.status, response.headers, log_fields["request"])
        await exchange.respond(response.status, response.body, headers)
