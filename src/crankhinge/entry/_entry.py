"""The entry's HTTP face: who asks, what for, and what the caller is told."""

from __future__ import annotations

import time
from typing import Any

import curio
import msgspec

from crankhinge.config import BundleKeeper, BundleView, Member
from crankhinge.decisions import MemberLimits
from crankhinge.entry._answer import OUTCOME_HEADER, AnswerWriter, send_error
from crankhinge.entry._ask import (
    CHAT_PATH,
    TEXT_PATH,
    authenticate,
    check_length,
    read_completion,
    read_terms,
)
from crankhinge.entry._completion import Completions
from crankhinge.entry._fleet import Fleet
from crankhinge.entry._plain import PlainCalls
from crankhinge.entry._progress import Progress, RequestIds
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
READY_GRACE_S = 2.0


class Entry:
    """Answers callers.

    Args:
        settings: its settings.
        keeper: holds the bundle.
        fleet: the agents.
        completions: runs completions.
        plain: runs calls to plain services.
        ids: source of identities.
        log: for events.
        metrics: for counters.
    """

    def __init__(
        self,
        *,
        settings: EntrySettings,
        keeper: BundleKeeper,
        fleet: Fleet,
        completions: Completions,
        plain: PlainCalls,
        ids: RequestIds,
        log: Any,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._keeper = keeper
        self._fleet = fleet
        self._completions = completions
        self._plain = plain
        self._ids = ids
        self._log = log
        self._metrics = metrics
        self._limits = MemberLimits()
        self._open = 0
        self._draining = False

    async def listen(self) -> None:
        """Serve callers until cancelled."""
        settings = self._settings
        await serve_http(
            settings.host,
            settings.port,
            self._handle,
            on_malformed=self._on_bad,
            log=self._log,
            limits=HttpLimits(max_body_bytes=settings.body_bytes),
        )

    async def drain(self) -> None:
        """Report unready, so that the balancer turns away, then wait for what is in progress."""
        self._log.info("draining", open=self._open)
        self._draining = True
        await curio.sleep(READY_GRACE_S)
        await curio.ignore_after(self._settings.drain_s, self._wait_idle)
        self._log.info("drained", open=self._open)

    async def _wait_idle(self) -> None:
        while self._open:
            await curio.sleep(DRAIN_POLL_S)

    async def _on_bad(self, exchange: Exchange, exc: BadHttp) -> None:
        self._metrics.count("bad_http")
        await send_error(exchange, exc)

    async def _handle(self, exchange: Exchange) -> None:
        path = exchange.req.path
        if path == "/healthz":
            await exchange.respond(200, b'{"status":"ok"}')
        elif path == "/readyz":
            await self._readyz(exchange)
        else:
            await self._serve(exchange)

    async def _readyz(self, exchange: Exchange) -> None:
        ready = self._keeper.view is not None and not self._draining
        state = {
            "ready": ready,
            "draining": self._draining,
            "bundle": self._keeper.version,
            "open": self._open,
            "linked": self._fleet.linked,
            "dropped": self._fleet.dropped,
        }
        await exchange.respond(200 if ready else 503, msgspec.json.encode(state))

    async def _serve(self, exchange: Exchange) -> None:
        """Answer one request; a caller that goes ends its work."""
        number = self._ids.next()
        ident = f"req-{number:016x}"
        self._open += 1
        try:
            async with curio.TaskGroup(wait=any) as group:
                work = await group.spawn(self._answer, exchange, number, ident)
                await group.spawn(exchange.wait_for_disconnect)
            if group.completed is not work or work.exception is not None:
                self._note_unanswered(ident, work.exception)
                raise HttpClosed("not answered")
        finally:
            self._open -= 1

    def _note_unanswered(self, ident: str, failure: BaseException | None) -> None:
        """Log why a request had no answer: its caller went, or this program has a fault."""
        if failure is None or isinstance(failure, HttpClosed | curio.CancelledError):
            self._metrics.count("callers_gone")
            self._log.info("caller_gone", request=ident)
            return
        self._metrics.count("crashed")
        kind = type(failure).__name__
        self._log.error("request_crashed", request=ident, kind=kind, why=str(failure))

    async def _answer(self, exchange: Exchange, number: int, ident: str) -> None:
        progress = Progress(number, keyed="idempotency-key" in exchange.req.headers)
        # Filled in as it becomes known, for whichever line ends the request.
        about: dict[str, Any] = {"request": ident}
        try:
            await self._route(exchange, about, progress)
        except HttpClosed:
            raise
        except CrankhingeError as exc:
            self._metrics.count(f"failed.{exc.code}")
            self._log.info(
                "request_failed",
                **about,
                code=exc.code,
                why=exc.detail,
                outcome=progress.outcome.value,
                attempts=progress.attempts,
                read_tokens=progress.computed,
                wasted_tokens=progress.wasted,
            )
            if not exchange.response_started:
                await send_error(exchange, exc, outcome=progress.outcome, request_id=ident)

    async def _route(self, exchange: Exchange, about: dict[str, Any], progress: Progress) -> None:
        view = self._keeper.require_view()
        if self._open > self._settings.max_requests:
            raise Overloaded("this entry is at its limit", retry_after_s=1.0)
        member = authenticate(view, exchange.req.headers)
        about["member"] = member.name
        self._enter(member, await curio.clock())
        try:
            if exchange.req.path in (CHAT_PATH, TEXT_PATH) and exchange.req.method == "POST":
                await self._complete(exchange, about, view, member, progress)
            else:
                await self._call(exchange, about, view, member, progress)
        finally:
            self._limits.record_end(member.name)

    def _enter(self, member: Member, now: float) -> None:
        wait = self._limits.admit(
            member.name, now, max_concurrent=member.max_concurrent, max_per_s=member.max_per_s
        )
        if wait is not None:
            raise LimitReached(f"{member.name} is at its limit", retry_after_s=wait)

    async def _complete(
        self,
        exchange: Exchange,
        about: dict[str, Any],
        view: BundleView,
        member: Member,
        progress: Progress,
    ) -> None:
        began = await curio.clock()
        ask = read_completion(view, exchange.req, member)
        about.update(model=ask.body["model"], rank=ask.terms.rank)
        check_length(ask, self._completions.estimates.tokens(ask))
        writer = AnswerWriter(exchange, ask, about["request"], int(time.time()))
        try:
            await self._completions.run(ask, view, writer, progress)
        except HttpClosed:
            raise
        except CrankhingeError as exc:
            if writer.streaming:
                await writer.break_off(exc)
            raise
        took = await curio.clock() - began
        first = progress.first - began
        gaps = max(1, writer.tokens - 1)
        self._metrics.count("answered")
        self._metrics.timing("first_token", first)
        self._log.info(
            "answered",
            **about,
            tokens=writer.tokens,
            slot_ms=round((progress.slot - began) * 1000, 1),
            read_ms=round((progress.read - began) * 1000, 1),
            first_ms=round(first * 1000, 1),
            gap_ms=round((progress.last - progress.first) / gaps * 1000, 1),
            read_tokens=progress.computed,
            wasted_tokens=progress.wasted,
            total_ms=round(took * 1000, 1),
            attempts=progress.attempts,
        )

    async def _call(
        self,
        exchange: Exchange,
        about: dict[str, Any],
        view: BundleView,
        member: Member,
        progress: Progress,
    ) -> None:
        req = exchange.req
        service = view.bundle.find_service(req.path)
        if service is None:
            raise UnknownRoute(f"no service takes {req.path}")
        terms = read_terms(req.headers, member)
        done = await self._plain.run(req, member, view, service, terms, progress)
        self._metrics.count("calls_answered")
        headers = {"content-type": "application/octet-stream", **done.headers}
        headers["x-request-id"] = about["request"]
        headers.pop(OUTCOME_HEADER, None)
        await exchange.respond(done.status, done.body, headers)
