"""Serves the callers' HTTP requests, and ends them when the instance stops."""

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
    OutOfBuffers,
    Stopping,
)
from crankhinge.gateway._admission import Admission
from crankhinge.gateway._discovery import Discovery
from crankhinge.gateway._permits import Permits
from crankhinge.gateway._plain import PlainRunner
from crankhinge.gateway._quarantine import QuarantineService
from crankhinge.gateway._quota import AccountLimits
from crankhinge.gateway._request import Relay
from crankhinge.gateway._settings import GatewaySettings
from crankhinge.gateway._stream import StreamRunner
from crankhinge.http import BufferPool, Drop, Exchange, HttpLimits, serve_http
from crankhinge.runtime import split_host_port
from crankhinge.runtime._prometheus import PrometheusMetrics

HTTP_OK = 200
# Seconds after which a caller should retry if the error names no other delay.
DEFAULT_RETRY_AFTER_S = 0.5
# Seconds after which a caller should retry if this instance is stopping: the caller finds another
# instance at once.
STOPPING_RETRY_S = 0.05
# Seconds between becoming unready and closing the port. The balancer checks once a second and stops
# sending callers after two misses; an instance that closes sooner refuses callers' connections.
UNREADY_BEFORE_CLOSE_S = 2.5
DRAIN_POLL_S = 0.05
# Seconds before the end of a planned stop at which the last requests are cancelled.
CANCEL_BEFORE_END_S = 0.7
# Seconds for the responses of cancelled requests to reach their callers.
FINAL_RESPONSES_S = 0.3


class Gateway:
    """Handles the requests of callers.

    Args:
        settings: settings of the gateway.
        discovery: the configuration and the list of servers.
        admission: creates the :class:`Relay` of each request.
        limits: limits of accounts.
        permits: takes back the permits that requests did not use.
        quarantine: refuses requests that servers were running when they crashed.
        dialect: builds and parses the messages of the platform's protocol.
        plain: runs requests whose answer is a single response.
        streams: runs requests whose answer is a stream.
        log: log for events.
        metrics: registry for counters and durations.
        pool: bounds what is buffered for callers; None for no bound.
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
        plain: PlainRunner,
        streams: StreamRunner,
        log: Any,
        metrics: PrometheusMetrics,
        pool: BufferPool | None = None,
    ) -> None:
        self._settings = settings
        self._discovery = discovery
        self._admission = admission
        self._limits = limits
        self._permits = permits
        self._quarantine = quarantine
        self._dialect = dialect
        self._plain = plain
        self._streams = streams
        self._log = log
        self._metrics = metrics
        self._pool = pool
        self._open_requests = 0
        self._draining = False
        self._stopped_accepting = curio.Event()
        self._cancelling = curio.Event()

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
            stop_accepting=self._stopped_accepting,
            pool=self._pool,
        )

    def _caller_limits(self) -> HttpLimits:
        config = self._discovery.config
        if config is None:
            return HttpLimits()
        limits = config.limits
        return HttpLimits(
            max_body_bytes=limits.max_body_bytes,
            max_header_bytes=limits.max_header_bytes,
            idle_timeout_s=limits.idle_timeout_s,
            read_timeout_s=limits.header_timeout_s + limits.idle_timeout_s,
        )

    @property
    def is_draining(self) -> bool:
        """Whether this instance is stopping, so that it reports that it is not ready.

        It still serves new requests for the first UNREADY_BEFORE_CLOSE_S seconds.
        """
        return self._draining

    @property
    def open_requests(self) -> int:
        """Number of requests that have no complete response yet."""
        return self._open_requests

    async def drain(self) -> None:
        """Stop serving within the time that the settings allow.

        This instance first reports that it is not ready, and still serves new requests. After
        UNREADY_BEFORE_CLOSE_S seconds it refuses them, waits for the open requests, and cancels
        those that take too long.
        """
        started_at = await curio.clock()
        self._draining = True
        self._log.info("draining", open=self._open_requests)
        await curio.sleep(UNREADY_BEFORE_CLOSE_S)
        # By now the balancer has stopped sending callers here. A request that still comes might not
        # be completed before the end, so it is refused, or its caller finds the port closed.
        await self._stopped_accepting.set()
        remaining_s = (
            self._settings.drain_s - CANCEL_BEFORE_END_S - (await curio.clock() - started_at)
        )
        await curio.ignore_after(max(0.0, remaining_s), self._wait_idle)
        if self._open_requests:
            # The callers of cancelled requests still get a response, which says whether a server
            # may have executed the request.
            self._log.warning("cut_by_stop", open=self._open_requests)
            await self._cancelling.set()
            await curio.ignore_after(FINAL_RESPONSES_S, self._wait_idle)
        self._log.info("drained", open=self._open_requests)

    async def _wait_idle(self) -> None:
        while self._open_requests:
            await curio.sleep(DRAIN_POLL_S)

    async def refuse_malformed(self, exchange: Exchange, exc: BadHttp) -> None:
        """Respond to bytes that are no valid HTTP request, or whose body there is no memory for."""
        if isinstance(exc, OutOfBuffers):
            await self._send_error(exchange, self._dialect.parse_request(exchange.req), None, exc)
            return
        self._metrics.count("bad_http")
        self._log.warning("request_malformed", why=exc.detail, status=exc.status)
        await exchange.respond(exc.status, _error_body(exc, Outcome.NOT_RUN))

    async def _handle(self, exchange: Exchange) -> None:
        """Respond to one request; cancel its work if the caller disconnects."""
        self._open_requests += 1
        try:
            request = self._dialect.parse_request(exchange.req)
            if not await self._respond_unless_gone(exchange, request):
                raise HttpClosed("response was not completed")
        finally:
            self._open_requests -= 1

    async def _respond_unless_gone(self, exchange: Exchange, request: RelayRequest) -> bool:
        """Respond to one request while its caller is connected.

        Returns:
            Whether the caller got a complete response.
        """
        # After this instance was suspended, it reads requests whose callers have disconnected
        # meanwhile. Without this check, it would run these requests although their callers have
        # sent them elsewhere.
        if exchange.is_disconnected:
            self._metrics.count("callers_gone")
            self._log.info("caller_gone", request=request.request_id, why="left_before")
            raise HttpClosed("caller disconnected before the request was handled")
        try:
            relay = await self._admit(exchange, request)
        except CrankhingeError as exc:
            return await self._send_error(exchange, request, None, exc)
        try:
            return await self._run_unless_gone(exchange, request, relay)
        finally:
            await self._limits.return_unused(relay)
            await self._permits.return_unused(relay)

    async def _run_unless_gone(
        self, exchange: Exchange, request: RelayRequest, relay: Relay
    ) -> bool:
        """Run one request while its caller is connected; return whether it was fully answered."""
        async with curio.TaskGroup(wait=any) as group:
            work = await group.spawn(self._respond, relay)
            await group.spawn(exchange.wait_for_disconnect)
        if group.completed is work:
            return bool(work.result)
        drop = _drop_of(exchange)
        if drop is not None:
            await self._log_slow_reader(request, relay, drop)
            raise HttpClosed("caller reads too slowly")
        self._metrics.count("callers_gone")
        await _record_duration(relay)
        self._log.info(
            "caller_gone", request=request.request_id, route=relay.route.name, **relay.log_fields
        )
        raise HttpClosed("caller disconnected")

    async def _log_slow_reader(
        self, request: RelayRequest, relay: Relay | None, drop: Drop
    ) -> None:
        """Log that a caller's connection was dropped; once, whichever task notices it."""
        if drop.logged:
            return
        drop.logged = True
        self._metrics.count("slow_readers_dropped")
        log_fields: dict[str, Any] = {}
        if relay is not None:
            await _record_duration(relay)
            log_fields.update(relay.log_fields, route=relay.route.name)
        log_fields.update(drop.log_fields())
        self._log.warning("slow_reader_dropped", request=request.request_id, **log_fields)

    async def _respond(self, relay: Relay) -> bool:
        """Run one request; return whether the caller got a complete response."""
        try:
            self._quarantine.refuse_quarantined(relay, relay.started_at)
            await self._limits.take_tokens(relay)
            with self._quarantine.part_evidence.track(relay):
                await self._run(relay)
        except CrankhingeError as exc:
            # The tokens are returned before the response is sent, since the caller may use them for
            # its next request at once.
            await self._limits.return_unused(relay)
            return await self._send_error(relay.exchange, relay.request, relay, exc)
        await _record_duration(relay)
        self._log_end(relay)
        if relay.log_fields["status"] == HTTP_OK:
            await self._quarantine.record_completed(relay, prompt_only=False)
        return True

    async def _run(self, relay: Relay) -> None:
        """Run a request until it ends or until this instance cancels the open requests."""
        async with curio.TaskGroup(wait=any) as group:
            work = await group.spawn(self._run_and_return_error, relay)
            await group.spawn(self._cancelling.wait)
        if group.completed is work:
            error: CrankhingeError | None = work.result
            if error is None:
                return
            try:
                raise error
            finally:
                # The traceback refers to this frame. If the frame also referred to the error, what
                # is buffered for the caller would stay in memory until a garbage collection.
                del error, work, group
        raise Stopping("this instance is stopping", retry_after_s=STOPPING_RETRY_S)

    async def _run_and_return_error(self, relay: Relay) -> CrankhingeError | None:
        """Run a request; return its error, since curio logs tasks that raise."""
        try:
            if relay.route.kind is RouteKind.STREAM:
                await self._streams.run(relay)
            else:
                await self._plain.run(relay)
        except CrankhingeError as exc:
            return exc
        return None

    async def _admit(self, exchange: Exchange, request: RelayRequest) -> Relay:
        if self._stopped_accepting.is_set():
            raise NotReady("this instance is stopping", retry_after_s=STOPPING_RETRY_S)
        return await self._admission.admit(exchange, request)

    def _log_end(self, relay: Relay) -> None:
        self._metrics.count(f"answered.{relay.route.kind.value}")
        self._metrics.timing(
            f"answered.{relay.route.kind.value}", relay.log_fields["took_ms"] / 1000
        )
        if "first_ms" in relay.log_fields:
            self._metrics.timing("first_event", relay.log_fields["first_ms"] / 1000)
        # An error of a server reaches the caller as it is, so the line has to tell what that server
        # said about the request.
        attempts_field = relay.attempts_field if relay.log_fields["status"] != HTTP_OK else {}
        self._log.info(
            "answered",
            request=relay.request.request_id,
            route=relay.route.name,
            sent=len(relay.sent_to),
            **relay.log_fields,
            **attempts_field,
        )

    async def _send_error(
        self, exchange: Exchange, request: RelayRequest, relay: Relay | None, exc: CrankhingeError
    ) -> bool:
        """Send the error response of a failed request, with whether it may have been executed.

        If the response has begun, or if *exc* is HttpClosed, no error response is sent: the calling
        code breaks off the caller's connection instead.

        Returns:
            Whether the caller got a complete response.
        """
        drop = _drop_of(exchange)
        if drop is not None:
            await self._log_slow_reader(request, relay, drop)
            return False
        may_have_run = relay is not None and relay.may_have_run
        outcome = Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN
        status = exc.status
        if may_have_run and status in (503, 429):
            status = 502
        elif not may_have_run and status in (500, 502, 504):
            status = 503
        log_fields: dict[str, Any] = {}
        if relay is not None:
            await _record_duration(relay)
            log_fields.update(relay.log_fields, route=relay.route.name, config=relay.config_version)
            log_fields["sent"] = len(relay.sent_to)
            log_fields.update(relay.attempts_field)
        elif (config := self._discovery.config) is not None:
            log_fields["config"] = config.version
            log_fields["keys_age_s"] = round(self._discovery.keys_age_s(await curio.clock()), 2)
        log_fields.update(code=exc.code, why=exc.detail, outcome=outcome.value, status=status)
        self._metrics.count(f"failed.{exc.code}")
        if exchange.response_started or isinstance(exc, HttpClosed):
            log_fields.pop("status")
            self._log.warning("broken_off", request=request.request_id, **log_fields)
            return False
        self._log.warning("request_failed", request=request.request_id, **log_fields)
        fields = [*self._dialect.own_response_fields(request), ("content-type", "application/json")]
        if status in (429, 503):
            retry_after_s = exc.retry_after_s or DEFAULT_RETRY_AFTER_S
            # Rounded up: a caller that retries a moment too early is refused again.
            retry_after_s = math.ceil(round(retry_after_s * 100, 6)) / 100
            fields.append(("retry-after", f"{retry_after_s:.2f}"))
        try:
            await exchange.respond_with_fields(status, fields, _error_body(exc, outcome))
        except HttpClosed as closed:
            self._log.info("caller_gone", request=request.request_id, why=closed.detail)
            return False
        return True


def _drop_of(exchange: Exchange) -> Drop | None:
    """Return why the caller's connection was dropped; None if it was not."""
    return None if exchange.buffers is None else exchange.buffers.dropped


async def _record_duration(relay: Relay) -> None:
    """Record how long this instance has handled the request."""
    relay.log_fields["took_ms"] = round((await curio.clock() - relay.started_at) * 1000)


def _error_body(exc: CrankhingeError, outcome: Outcome) -> bytes:
    return msgspec.json.encode({"error": exc.code, "detail": exc.detail, "outcome": outcome.value})
