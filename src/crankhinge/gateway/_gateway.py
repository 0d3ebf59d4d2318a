"""The gateway's HTTP face: what callers are told, and how an instance stops."""

from __future__ import annotations

import math
from typing import Any

import curio
import msgspec

from crankhinge.adapters import Dialect, RelayRequest
from crankhinge.decisions import RouteKind
from crankhinge.errors import (
    BadHttp,
    CrankhingeError,
    HttpClosed,
    NotReady,
    Outcome,
    Stopping,
)
from crankhinge.gateway._admission import Admission
from crankhinge.gateway._discovery import Discovery
from crankhinge.gateway._permits import Permits
from crankhinge.gateway._plain import PlainRelay
from crankhinge.gateway._quarantine import QuarantineService
from crankhinge.gateway._quota import AccountLimits
from crankhinge.gateway._request import Relay
from crankhinge.gateway._settings import GatewaySettings
from crankhinge.gateway._stream import StreamRelay
from crankhinge.http import Exchange, HttpLimits, serve_http
from crankhinge.runtime import split_host_port
from crankhinge.runtime._exposed import PrometheusMetrics

HTTP_OK = 200
# A request that is not told otherwise comes back after this many seconds.
DEFAULT_RETRY_AFTER_S = 0.5
# A request that meets a stopping instance finds another one at once, in seconds.
STOPPING_RETRY_S = 0.05
# The balancer looks once a second and turns away after two misses; whoever stops before sends
# callers to a closed door.
UNREADY_BEFORE_CLOSE_S = 2.5
DRAIN_POLL_S = 0.05
# What is left of the time for a planned stop when the last requests are given up on, in seconds.
CANCEL_BEFORE_END_S = 0.7
# Seconds for the last answers to get out.
FINAL_RESPONSES_S = 0.3


class Gateway:
    """Answers callers.

    Args:
        settings: its settings.
        discovery: routes and servers.
        admission: tells what a request is and who asks.
        limits: of accounts.
        permits: of requests, for servers that say how much they take.
        quarantine: of requests under which servers crashed.
        dialect: how callers and servers are spoken to.
        plain: runs requests answered in one piece.
        streams: runs streams.
        log: for events.
        metrics: for counters.
    """

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        discovery: Discovery,
        admission: Admission,
        limits: AccountLimits,
        permits: Permits,
        quarantine: QuarantineService,
        dialect: Dialect,
        plain: PlainRelay,
        streams: StreamRelay,
        log: Any,
        metrics: PrometheusMetrics,
    ) -> None:
        self._settings = settings
        self._directory = discovery
        self._admission = admission
        self._limits = limits
        self._permits = permits
        self._quarantine = quarantine
        self._dialect = dialect
        self._plain = plain
        self._streams = streams
        self._log = log
        self._metrics = metrics
        self._open = 0
        self._draining = False
        self._closed = curio.Event()
        self._ending = curio.Event()

    async def listen(self) -> None:
        """Serve callers until cancelled."""
        host, port = split_host_port(self._settings.listen)
        await serve_http(
            host,
            port,
            self._handle,
            on_malformed=self.refuse_malformed,
            log=self._log,
            limits=self._caller_limits,
            is_closing=lambda: self._draining,
            stop_accepting=self._closed,
        )

    def _caller_limits(self) -> HttpLimits:
        table = self._directory.table
        if table is None:
            return HttpLimits()
        limits = table.limits
        return HttpLimits(
            max_body_bytes=limits.max_body_bytes,
            max_header_bytes=limits.max_header_bytes,
            idle_timeout_s=limits.idle_timeout_s,
            read_timeout_s=limits.header_timeout_s + limits.idle_timeout_s,
        )

    @property
    def is_draining(self) -> bool:
        """Whether new callers are turned away."""
        return self._draining

    @property
    def open_requests(self) -> int:
        """Requests that are not answered yet."""
        return self._open

    async def drain(self) -> None:
        """Turn new callers away, then wait for what is in progress."""
        began = await curio.clock()
        self._draining = True
        self._log.info("draining", open=self._open)
        await curio.sleep(UNREADY_BEFORE_CLOSE_S)
        # What comes now could not be served to its end; it is told so, or finds the door closed.
        await self._closed.set()
        left = self._settings.drain_s - CANCEL_BEFORE_END_S - (await curio.clock() - began)
        await curio.ignore_after(max(0.0, left), self._wait_idle)
        if self._open:
            # Whoever is still waiting hears at least what is known.
            self._log.warning("cut_by_stop", open=self._open)
            await self._ending.set()
            await curio.ignore_after(FINAL_RESPONSES_S, self._wait_idle)
        self._log.info("drained", open=self._open)

    async def _wait_idle(self) -> None:
        while self._open:
            await curio.sleep(DRAIN_POLL_S)

    async def refuse_malformed(self, exchange: Exchange, exc: BadHttp) -> None:
        """Answer what is no request of HTTP."""
        self._metrics.count("bad_http")
        self._log.warning("request_malformed", why=exc.detail, status=exc.status)
        await exchange.respond(exc.status, _body(exc, Outcome.NOT_RUN))

    async def _handle(self, exchange: Exchange) -> None:
        """Answer one request; a caller that goes ends its work."""
        self._open += 1
        try:
            ask = self._dialect.parse_request(exchange.req)
            if not await self._answer_or_gone(exchange, ask):
                raise HttpClosed("broken off")
        finally:
            self._open -= 1

    async def _answer_or_gone(self, exchange: Exchange, ask: RelayRequest) -> bool:
        """Answer one request while its caller is there; returns whether it has a whole answer."""
        # An instance that stood still finds requests and their callers' closes together. Handed on
        # first, each would run for nobody, and the caller has sent it elsewhere.
        if exchange.is_disconnected:
            self._metrics.count("callers_gone")
            self._log.info("caller_gone", request=ask.request_id, why="left_before")
            raise HttpClosed("the caller has gone")
        try:
            relay = await self._admit(exchange, ask)
        except CrankhingeError as exc:
            return await self._refuse(exchange, ask, None, exc)
        try:
            return await self._run_or_gone(exchange, ask, relay)
        finally:
            await self._limits.return_unused(relay)
            await self._permits.return_unused(relay)

    async def _run_or_gone(self, exchange: Exchange, ask: RelayRequest, relay: Relay) -> bool:
        """Run one request while its caller is there; returns whether it has a whole answer."""
        async with curio.TaskGroup(wait=any) as group:
            work = await group.spawn(self._answer, relay)
            await group.spawn(exchange.wait_for_disconnect)
        if group.completed is work:
            return bool(work.result)
        self._metrics.count("callers_gone")
        await _clock_out(relay)
        self._log.info(
            "caller_gone", request=ask.request_id, route=relay.route.name, **relay.log_fields
        )
        raise HttpClosed("the caller has gone")

    async def _answer(self, relay: Relay) -> bool:
        """Answer one request; returns whether the caller has a whole answer."""
        try:
            self._quarantine.refuse_quarantined(relay.work_key(prompt_only=False), relay.started_at)
            await self._limits.take_tokens(relay)
            await self._run(relay)
        except CrankhingeError as exc:
            # Before the answer: its caller may send the next request with these tokens at once.
            await self._limits.return_unused(relay)
            return await self._refuse(relay.exchange, relay.request, relay, exc)
        await _clock_out(relay)
        self._note_end(relay)
        if relay.log_fields["status"] == HTTP_OK:
            await self._quarantine.record_completed(relay, relay.work_key(prompt_only=False))
        return True

    async def _run(self, relay: Relay) -> None:
        """Run a request to its end, or to that of this instance."""
        async with curio.TaskGroup(wait=any) as group:
            work = await group.spawn(self._outcome, relay)
            await group.spawn(self._ending.wait)
        if group.completed is work:
            failure: CrankhingeError | None = work.result
            if failure is not None:
                raise failure
            return
        # A server that has the request may still run it.
        relay.may_have_run = relay.may_have_run or bool(relay.sent_to)
        raise Stopping("this instance ends", retry_after_s=STOPPING_RETRY_S)

    async def _outcome(self, relay: Relay) -> CrankhingeError | None:
        """Run a request; its failure is returned, since the kernel reports tasks that raise."""
        try:
            if relay.route.kind is RouteKind.STREAM:
                await self._streams.run(relay)
            else:
                await self._plain.run(relay)
        except CrankhingeError as exc:
            return exc
        return None

    async def _admit(self, exchange: Exchange, ask: RelayRequest) -> Relay:
        if self._closed.is_set():
            raise NotReady("stopping", retry_after_s=STOPPING_RETRY_S)
        return await self._admission.admit(exchange, ask)

    def _note_end(self, relay: Relay) -> None:
        self._metrics.count(f"answered.{relay.route.kind.value}")
        self._metrics.timing(
            f"answered.{relay.route.kind.value}", relay.log_fields["took_ms"] / 1000
        )
        if "first_ms" in relay.log_fields:
            self._metrics.timing("first_event", relay.log_fields["first_ms"] / 1000)
        self._log.info(
            "answered",
            request=relay.request.request_id,
            route=relay.route.name,
            sent=len(relay.sent_to),
            **relay.log_fields,
        )

    async def _refuse(
        self, exchange: Exchange, ask: RelayRequest, relay: Relay | None, exc: CrankhingeError
    ) -> bool:
        """Give the final answer of a request that failed, with what is known of its run.

        An answer that has begun is broken off instead; returns whether the caller has a whole one.
        """
        ran = relay is not None and relay.may_have_run
        outcome = Outcome.UNKNOWN if ran else Outcome.NOT_RUN
        status = exc.status
        if ran and status in (503, 429):
            status = 502
        elif not ran and status in (500, 502, 504):
            status = 503
        facts: dict[str, Any] = {}
        if relay is not None:
            await _clock_out(relay)
            facts.update(relay.log_fields, route=relay.route.name, config=relay.config_version)
            facts["sent"] = len(relay.sent_to)
        elif (table := self._directory.table) is not None:
            facts["config"] = table.version
            facts["keys_age_s"] = round(self._directory.keys_age_s(await curio.clock()), 2)
        facts.update(code=exc.code, why=exc.detail, outcome=outcome.value, status=status)
        self._metrics.count(f"failed.{exc.code}")
        if exchange.response_started or isinstance(exc, HttpClosed):
            facts.pop("status")
            self._log.warning("broken_off", request=ask.request_id, **facts)
            return False
        self._log.warning("request_failed", request=ask.request_id, **facts)
        fields = [*self._dialect.own_response_fields(ask), ("content-type", "application/json")]
        if status in (429, 503):
            after = exc.retry_after_s or DEFAULT_RETRY_AFTER_S
            # Rounded up: whoever comes a moment early is refused once more.
            after = math.ceil(round(after * 100, 6)) / 100
            fields.append(("retry-after", f"{after:.2f}"))
        try:
            await exchange.respond_with_fields(status, fields, _body(exc, outcome))
        except HttpClosed as closed:
            self._log.info("caller_gone", request=ask.request_id, why=closed.detail)
            return False
        return True


async def _clock_out(relay: Relay) -> None:
    """Note how long a request was in the gateway's hands."""
    relay.log_fields["took_ms"] = round((await curio.clock() - relay.started_at) * 1000)


def _body(exc: CrankhingeError, outcome: Outcome) -> bytes:
    return msgspec.json.encode({"error": exc.code, "detail": exc.detail, "outcome": outcome.value})
