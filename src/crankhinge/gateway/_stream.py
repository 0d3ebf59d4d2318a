"""Runs requests whose answer is a stream of events.

Memory is reserved on a decode engine first, then the prompt is processed, and the events of the
answer are passed on to the caller as they arrive.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass
from functools import partial
from typing import Any

import curio

from crankhinge.adapters import AttemptParams
from crankhinge.decisions import (
    EngineLimits,
    RetryBudget,
    Server,
    WorkloadMeter,
    answered_tokens,
    mean_run_tokens,
    retry_delay_s,
)
from crankhinge.decisions.placement import PrefillOutcome
from crankhinge.errors import (
    BackendFailed,
    BadHttp,
    CallerGone,
    DeadlinePassed,
    EventTooLong,
    HttpClosed,
    NoBackend,
    Overloaded,
    ServerBarred,
)
from crankhinge.gateway._attempts import Attempts, ServerReplaced
from crankhinge.gateway._backends import Backends
from crankhinge.gateway._events import EventSplitter, is_event_stream
from crankhinge.gateway._permits import Permits
from crankhinge.gateway._prompt_processor import (
    UNCOORDINATED,
    PromptKvCache,
    PromptPlan,
    PromptProcessor,
)
from crankhinge.gateway._quarantine import QuarantineService
from crankhinge.gateway._request import Relay
from crankhinge.gateway._reservations import Reservation, Reservations
from crankhinge.gateway._running_streams import RunningStream, RunningStreams
from crankhinge.gateway._server_selector import ServerSelector
from crankhinge.gateway._stream_origins import StreamOriginService
from crankhinge.gateway.migration import MoveOutcome
from crankhinge.gateway.placement._client import PlacementClient
from crankhinge.http import BodyFraming, ClientStream, ConnectFailed

# Longest error response of a server to a stream.
MAX_ERROR_BYTES = 4 * 1024 * 1024
# Seconds for which the end of a stream without a length or chunks waits for the check that its
# server still listens. A refused connection is known after one round trip.
LISTEN_CHECK_S = 0.25
# Seconds within which the kernel closes the other sockets of a killed process. In a trial, a
# process whose stream had ended still accepted connections 2 ms before it refused them.
EXIT_S = 0.02


class _AttemptEnd(enum.Enum):
    """How an attempt at a server ended."""

    COMPLETED = "whole"
    REFUSED = "refused"
    UNREACHABLE = "unreached"
    REPLACED = "replaced"
    EXCLUDED = "barred"
    BROKEN = "broken"
    # The engine closed the stream while the run was being moved; the run may continue from a copy.
    HANDED_OVER = "handed_over"


@dataclass
class _Segments:
    """The parts of an answer that were relayed from one engine each.

    Attributes:
        events: number of events.
        duration_s: seconds from each response head to the end of its part.
    """

    events: int = 0
    duration_s: float = 0.0


class _SourceClosed(HttpClosed):
    """An engine closed the stream of a run that may continue from a copy of its memory."""


class StreamRunner:
    """Runs requests whose answer is a stream of events.

    Args:
        backends: the backend servers.
        selector: selects a server.
        permits: gets permits to send requests to servers that advertise a limit.
        attempts: sends requests to servers.
        budget_of: returns the retry budget of a service.
        quarantine: notified of prompts that engines processed, since these do not crash engines.
        log: log for events.
        meters: measures the cost of each service's requests, by service name.
        running: registry of the streams that run at engines.
        placement: asks coordinators for places on engines.
        stream_origins: finds and records what began streams.
    """

    def __init__(
        self,
        *,
        backends: Backends,
        selector: ServerSelector,
        permits: Permits,
        attempts: Attempts,
        budget_of: Any,
        quarantine: QuarantineService,
        log: Any,
        meters: Mapping[str, WorkloadMeter],
        running: RunningStreams,
        placement: PlacementClient,
        stream_origins: StreamOriginService,
    ) -> None:
        self._backends = backends
        self._stream_origins = stream_origins
        self._selector = selector
        self._attempts = attempts
        self._budget_of = budget_of
        self._log = log
        self._meters = meters
        self._running = running
        self._placement = placement
        self._reservations = Reservations(backends, selector, permits, log, meters, placement)
        self._prompt_processor = PromptProcessor(
            backends=backends, selector=selector, attempts=attempts, quarantine=quarantine, log=log
        )

    async def run(self, relay: Relay) -> None:
        """Find servers for the request and relay the stream to the caller.

        Raises:
            CrankhingeError: the request failed; HttpClosed if the response had begun.
        """
        await self._stream_origins.bind(relay)
        budget: RetryBudget = self._budget_of(relay.service.name)
        budget.record_first_attempt()
        self._placement.record_request(relay)
        relay.log_fields.update(
            prompt=relay.request.prompt_tokens,
            most=relay.request.max_answer_tokens,
            likely=relay.request.expected_answer_tokens,
        )
        if relay.request.last_event_id:
            relay.log_fields.update(
                resumes=relay.request.resumes, resumed_after=relay.request.last_event_id
            )
        try:
            await curio.timeout_after(
                max(0.001, await relay.remaining_s()), self._run, relay, budget
            )
        except curio.TaskTimeout as exc:
            if relay.exchange.response_started:
                raise HttpClosed("the request's time ended during the stream") from exc
            raise DeadlinePassed("no response before the deadline") from exc

    async def _run(self, relay: Relay, budget: RetryBudget) -> None:
        events = EventSplitter(relay.request.last_event_id)
        while True:
            if relay.service.engine is None:
                end, why = await self._run_at_plain_server(relay, events)
            else:
                end, why = await self._run_at_engines(relay, events, budget)
            if end is _AttemptEnd.COMPLETED:
                relay.log_fields.setdefault("status", 200)
                relay.log_fields["events"] = events.event_count
                return
            if not events.can_be_resumed:
                raise HttpClosed(f"broken off after an event without an id: {why}")
            if end is _AttemptEnd.UNREACHABLE:
                # The request did not reach the server, so sending it elsewhere is no retry.
                may_continue = relay.record_unreachable()
            elif end is _AttemptEnd.REPLACED:
                # Another server received and refused the request, so the next attempt is a retry.
                may_continue = relay.record_unreachable() and budget.try_retry()
            elif end is _AttemptEnd.EXCLUDED:
                # Nothing was sent. The server is not selected again until it accepts requests.
                may_continue = True
            else:
                may_continue = relay.may_try_another and relay.may_retry and budget.try_retry()
            if relay.exchange.response_started and not relay.route.repeatable:
                # A moved run that no engine continued may end in any of these ways.
                may_continue = False
            if not may_continue or await relay.remaining_s() <= 0:
                raise self._to_error(relay, end, why)
            _drop_remainder(relay, events)
            self._log.info(
                "stream_again",
                request=relay.request.request_id,
                after=events.last_id,
                events=events.event_count,
                cause=end.value,
                why=why,
                version=relay.log_fields.get("version", ""),
            )

    def _to_error(self, relay: Relay, end: _AttemptEnd, why: str) -> Exception:
        if relay.exchange.response_started:
            return HttpClosed(f"broken off: {why}")
        if relay.may_have_run:
            return BackendFailed(why)
        retry_after_s = retry_delay_s(self._backends.rng)
        if end in (_AttemptEnd.UNREACHABLE, _AttemptEnd.REPLACED):
            return NoBackend(why, retry_after_s=retry_after_s)
        return Overloaded(why, retry_after_s=retry_after_s)

    async def _run_at_plain_server(
        self, relay: Relay, events: EventSplitter
    ) -> tuple[_AttemptEnd, str]:
        server = await self._selector.select(relay, avoid=relay.tried_servers)
        if server is None:
            max_wait_s = relay.started_at + relay.route.target_s - await curio.clock()
            server = await self._selector.wait_for_server(
                relay, avoid=relay.tried_servers, max_wait_s=max_wait_s
            )
        if server is None:
            raise self._to_error(relay, _AttemptEnd.UNREACHABLE, "no server is available")
        params = AttemptParams(server.name, await relay.remaining_s(), last_event_id=events.last_id)
        return await self._attempt(relay, server, params, events)

    async def _run_at_engines(
        self, relay: Relay, events: EventSplitter, budget: RetryBudget
    ) -> tuple[_AttemptEnd, str]:
        avoid = relay.tried_servers
        engine = relay.service.engine
        assert engine is not None
        request = relay.request
        answered = answered_tokens(
            events.event_count,
            request.last_event_id,
            engine.tokens_per_event,
            request.max_answer_tokens,
        )
        async with self._reservations.reserve(
            relay, extra_tokens=answered, avoid=avoid
        ) as reservation:
            kv_cache = await self._process_prompt(relay, reservation, engine, budget)
            try:
                if self._backends.accepts_work(
                    reservation.server.incarnation_id, await curio.clock()
                ):
                    return await self._track_at_engine(relay, reservation, kv_cache, events, budget)
                # While the prompt was processed, the engine stopped accepting work: it may be
                # leaving, in backoff, replaced or gone, or it changes its role.
                async with self._reservations.reserve(
                    relay, extra_tokens=answered, avoid=avoid
                ) as second_reservation:
                    return await self._track_at_engine(
                        relay, second_reservation, kv_cache, events, budget
                    )
            except BaseException:
                # It is unknown whether the KV cache was fetched; freeing it twice does no harm.
                if kv_cache is not None and not relay.exchange.response_started:
                    await self._prompt_processor.free(kv_cache)
                raise

    async def _process_prompt(
        self, relay: Relay, reservation: Reservation, engine: EngineLimits, budget: RetryBudget
    ) -> PromptKvCache | None:
        request = relay.request
        meter = self._meters[relay.service.name]
        likely_tokens = min(
            request.expected_answer_tokens or request.max_answer_tokens, request.max_answer_tokens
        )
        tokens = float(reservation.tokens)
        if self._placement.is_coordinated(relay.service):
            # The coordinator plans with the memory over time, so the split must not count the
            # whole answer from the start.
            tokens = mean_run_tokens(reservation.tokens, likely_tokens)
        meter.record_admission(tokens / engine.kv_tokens, likely_tokens)
        kv_cache = await self._prompt_processor.process(
            relay, reservation.server.zone, budget, self._prompt_plan(relay, reservation, engine)
        )
        if kv_cache is not None:
            found_idle = (
                reservation.is_reader_idle and kv_cache.server.incarnation_id == reservation.reader
            )
            meter.record_prompt(
                request.prompt_tokens,
                kv_cache.duration_s,
                may_have_waited=bool(reservation.reader) and not found_idle,
            )
        return kv_cache

    def _prompt_plan(
        self, relay: Relay, reservation: Reservation, engine: EngineLimits
    ) -> PromptPlan:
        run, reserved_at = reservation.run, relay.reserved_at
        if reserved_at is None or not self._placement.is_coordinated(relay.service):
            return UNCOORDINATED

        async def report(server: str, duration_s: float, outcome: PrefillOutcome) -> None:
            if run is not None:
                await self._placement.record_prompt_processed(run, server, duration_s, outcome)

        return PromptPlan.within_reservation(
            reserved_at, engine.max_reservation_s, reservation.reader, report
        )

    async def _track_at_engine(
        self,
        relay: Relay,
        reservation: Reservation,
        kv_cache: PromptKvCache | None,
        events: EventSplitter,
        budget: RetryBudget,
    ) -> tuple[_AttemptEnd, str]:
        """Run the request at the engine of its reservation; keep it in the registry meanwhile."""
        engine = relay.service.engine
        assert engine is not None
        stream = RunningStream(
            run_id=reservation.run.run_id if reservation.run else self._running.new_run_id(),
            relay=relay,
            server=reservation.server,
            events=events,
            prompt_tokens=relay.request.prompt_tokens
            + events.event_count * engine.tokens_per_event,
            started_at=await curio.clock(),
            events_before=events.event_count,
            on_moved=partial(self._on_moved, reservation),
        )
        reservation.stream = stream
        try:
            with self._running.track(stream):
                end, why = await self._run_at_engine(relay, reservation, kv_cache, events, budget)
        finally:
            if stream.handover is not None:
                await stream.handover.finish(MoveOutcome.ENDED)
        stream.completed = end is _AttemptEnd.COMPLETED
        return end, why

    async def _run_at_engine(
        self,
        relay: Relay,
        reservation: Reservation,
        kv_cache: PromptKvCache | None,
        events: EventSplitter,
        budget: RetryBudget,
    ) -> tuple[_AttemptEnd, str]:
        server = reservation.server
        params = await self._attempt_params(relay, reservation, kv_cache, events)
        end, why = await self._attempt(relay, server, params, events, reservation.stream)
        if end is _AttemptEnd.EXCLUDED:
            # Nothing was sent. The reservation gets its id back so that it is released, and the KV
            # cache is freed.
            reservation.reservation_id = params.reservation_id
            if kv_cache is not None:
                await self._prompt_processor.free(kv_cache)
        if kv_cache is None or end is not _AttemptEnd.REFUSED:
            return end, why
        if self._backends.exclusion_reason(server, await curio.clock()) is not None:
            # The server accepts no request at all now, so it would not process the prompt either.
            await self._prompt_processor.free(kv_cache)
            return end, why
        # The KV cache or the reservation lapsed; the same server may still process the prompt.
        await self._prompt_processor.free(kv_cache)
        if not budget.try_retry():
            return end, why
        relay.sent_to.pop()
        self._log.info(
            "writer_reads", request=relay.request.request_id, server=server.incarnation_id, why=why
        )
        params = await self._attempt_params(relay, reservation, None, events)
        return await self._attempt(relay, server, params, events, reservation.stream)

    async def _attempt_params(
        self,
        relay: Relay,
        reservation: Reservation,
        kv_cache: PromptKvCache | None,
        events: EventSplitter,
    ) -> AttemptParams:
        location = ""
        if kv_cache is not None:
            location = self._backends.dialect.kv_cache_location(
                kv_cache.server.host, kv_cache.server.port, kv_cache.cache_handle
            )
        reservation_id, reservation.reservation_id = reservation.reservation_id, ""
        return AttemptParams(
            reservation.server.name,
            await relay.remaining_s(),
            kv_cache_location=location,
            reservation_id=reservation_id,
            last_event_id=events.last_id,
        )

    async def _attempt(
        self,
        relay: Relay,
        server: Server,
        params: AttemptParams,
        events: EventSplitter,
        stream: RunningStream | None = None,
    ) -> tuple[_AttemptEnd, str]:
        """Run the request at a server, and at the engines that its run is moved to."""
        relay.sent_to.append(server.incarnation_id)
        relay.log_fields.update(server=server.incarnation_id, version=server.version)
        segments = _Segments()
        end, why = await self._send(relay, server, params, events, segments, stream)
        while end is _AttemptEnd.HANDED_OVER:
            assert stream is not None
            end, why = await self._continue_moved(relay, stream, events, segments, why)
        if end is _AttemptEnd.EXCLUDED:
            relay.sent_to.pop()
        elif end is _AttemptEnd.COMPLETED:
            self._record_answer(relay, segments.events, segments.duration_s)
        return end, why

    async def _send(
        self,
        relay: Relay,
        server: Server,
        params: AttemptParams,
        events: EventSplitter,
        segments: _Segments,
        stream: RunningStream | None,
    ) -> tuple[_AttemptEnd, str]:
        """Send the request to one server and relay its response."""
        try:
            async with self._attempts.open(relay, server, params) as response:
                signals = self._backends.dialect.parse_signals(response.status, response.headers)
                if signals.not_run:
                    body = await response.read_refusal()
                    return _AttemptEnd.REFUSED, f"status {response.status} {body[:80]!r}"
                started_at, events_before = await curio.clock(), events.event_count
                is_stopped = await self._relay_response(relay, response, events, server, stream)
                segments.events += events.event_count - events_before
                segments.duration_s += await curio.clock() - started_at
                if is_stopped:
                    # The source closed the stream as it was asked to, which is no failure of it.
                    return _AttemptEnd.HANDED_OVER, "the run was stopped to move it"
                self._backends.stats(server.incarnation_id).breaker.record_success()
                return _AttemptEnd.COMPLETED, ""
        except ServerReplaced as exc:
            return _AttemptEnd.REPLACED, exc.detail
        except ConnectFailed as exc:
            return _AttemptEnd.UNREACHABLE, exc.detail
        except ServerBarred as exc:
            return _AttemptEnd.EXCLUDED, exc.detail
        except CallerGone:
            raise
        except _SourceClosed as exc:
            return _AttemptEnd.HANDED_OVER, exc.detail
        except (HttpClosed, BadHttp) as exc:
            return _AttemptEnd.BROKEN, exc.detail

    async def _continue_moved(
        self,
        relay: Relay,
        stream: RunningStream,
        events: EventSplitter,
        segments: _Segments,
        why: str,
    ) -> tuple[_AttemptEnd, str]:
        """Continue a run from the copy of its memory, at the target or else at the source.

        It is the same run, so neither the retry budget nor the route's number of servers is
        charged. A handle is used at most once, so that an engine that fails without a response
        cannot have the run in progress when the other one accepts it.
        """
        handover = stream.handover
        assert handover is not None
        _drop_remainder(relay, events)
        location = self._backends.dialect.kv_cache_location(
            handover.source.host, handover.source.port, handover.cache_handle
        )
        # Without an id of the last event, the caller would be sent that event again.
        engines = handover.engines_to_continue() if events.can_be_resumed else []
        for server in engines:
            params = AttemptParams(
                server.name,
                await relay.remaining_s(),
                kv_cache_location=location,
                last_event_id=events.last_id,
                has_copy=True,
            )
            end, why = await self._send(relay, server, params, events, segments, stream)
            if handover.is_finished:
                return end, why
            self._log.info(
                "run_not_continued",
                request=relay.request.request_id,
                run=stream.run_id,
                server=server.incarnation_id,
                cause=end.value,
                why=why,
            )
        await self._finish_handover(stream, MoveOutcome.BROKEN)
        return _AttemptEnd.BROKEN, why

    async def _record_continued(self, relay: Relay, stream: RunningStream, server: Server) -> None:
        """Record that an engine has accepted a moved run."""
        handover = stream.handover
        assert handover is not None
        returned = server is handover.source
        if not returned:
            relay.sent_to[-1] = server.incarnation_id
            relay.log_fields.update(server=server.incarnation_id, version=server.version)
            relay.log_fields["moves"] = relay.log_fields.get("moves", 0) + 1
            stream.server = server
            stream.may_be_stopped = False
            if stream.on_moved is not None:
                await stream.on_moved(server)
        await self._finish_handover(stream, MoveOutcome.RETURNED if returned else MoveOutcome.MOVED)

    async def _finish_handover(self, stream: RunningStream, outcome: MoveOutcome) -> None:
        handover, stream.handover = stream.handover, None
        assert handover is not None
        await handover.finish(outcome)

    async def _on_moved(self, reservation: Reservation, server: Server) -> None:
        """Count the memory of a moved run at its new engine, and report the move."""
        self._reservations.transfer(reservation, server)
        if reservation.stream is not None:
            await self._placement.record_moved(reservation.stream)

    def _record_answer(self, relay: Relay, events: int, duration_s: float) -> None:
        engine = relay.service.engine
        if engine is not None and events:
            self._meters[relay.service.name].record_answer(
                events * engine.tokens_per_event, duration_s
            )

    def _record_event(self, relay: Relay, now: float) -> None:
        if relay.last_event_at is None and relay.reserved_at is not None:
            self._meters[relay.service.name].record_first_event(now - relay.reserved_at)
        relay.record_event(now)

    async def _relay_response(
        self,
        relay: Relay,
        response: ClientStream,
        events: EventSplitter,
        server: Server,
        stream: RunningStream | None,
    ) -> bool:
        """Relay a response to the caller; return whether its engine stopped the run to move it."""
        exchange = relay.exchange
        if response.status != 200:
            # The server responded with an error, whose body has no events.
            body = await response.read_all(MAX_ERROR_BYTES)
            fields = self._backends.dialect.response_fields(response.fields)
            if exchange.response_started:
                raise HttpClosed(f"resumed stream was refused (status {response.status})")
            await exchange.respond_with_fields(response.status, fields, body)
            relay.log_fields["status"] = response.status
            return False
        if not exchange.response_started:
            fields = self._backends.dialect.response_fields(response.fields)
            # The origin is recorded first: the caller may lose the stream with its first event.
            relay.version = server.version
            await self._stream_origins.record_began(relay, server)
            await exchange.start_with_fields(response.status, fields)
        elif events.last_id:
            _check_continuation(response)
        relay.log_fields["framing"] = response.framing.value
        if stream is None:
            await self._relay_events(relay, response, events, None)
        else:
            if stream.handover is not None:
                await self._record_continued(relay, stream, server)
            stream.connection = response
            try:
                if await self._relay_events(relay, response, events, stream):
                    return True
            finally:
                stream.connection = None
        if events.remainder:
            relay.log_fields["unfinished_bytes"] = len(events.remainder)
        _check_end(relay, response, events)
        if response.framing is BodyFraming.CONNECTION and relay.exchange.req.method != "HEAD":
            await self._check_server_lives(server)
        if events.remainder:
            await exchange.write(events.remainder)
        await exchange.finish()
        return False

    async def _check_server_lives(self, server: Server) -> None:
        """Check that a connection whose close is the end of a body was closed by its server.

        The kernel of a killed process closes its connections in the same way, between any two
        events. If the check has no result, the body counts as whole.

        Raises:
            HttpClosed: nothing listens at the server's address any more.
        """
        try:
            # A server that listens keeps the connection for the next request, which would have
            # needed a new one in place of the closed one.
            listens = await curio.timeout_after(
                LISTEN_CHECK_S, self._backends.client(server).keeps_listening, EXIT_S
            )
        except (ConnectFailed, curio.TaskTimeout):
            return
        if not listens:
            raise HttpClosed("connection closed, and nothing listens at the server's address")

    async def _is_stopped(
        self, stream: RunningStream | None, why: str, *, may_be_whole: bool = False
    ) -> bool:
        """Return whether an engine closed a stream because it has stopped the run to move it.

        Waits until the mover has no call in progress, so that the engine's answer is known.

        Args:
            stream: the stream; None if its server does not move runs.
            why: how the stream ended.
            may_be_whole: whether the stream may also have ended with the end of the answer.

        Raises:
            HttpClosed: the engine may have stopped the run for a move that was given up.
            _SourceClosed: the engine may have stopped the run, and did not say so.
        """
        if stream is None:
            return False
        handover = stream.handover
        if handover is not None:
            await handover.on_source_closed()
            # The mover may have given up meanwhile; the stream has then ended as any other.
            if stream.handover is handover:
                if handover.source_stopped:
                    return True
                if handover.may_be_stopped or not may_be_whole:
                    raise _SourceClosed(why)
        if may_be_whole and stream.may_be_stopped:
            raise HttpClosed(why)
        return False

    async def _relay_events(
        self,
        relay: Relay,
        response: ClientStream,
        events: EventSplitter,
        stream: RunningStream | None,
    ) -> bool:
        """Relay events until their end; return whether the engine stopped the run to move it."""
        while True:
            try:
                chunk = await response.next_chunk()
            except HttpClosed as exc:
                if await self._is_stopped(stream, exc.detail):
                    return True
                raise
            if not chunk:
                return response.framing is BodyFraming.CONNECTION and await self._is_stopped(
                    stream, "connection closed while the run was moved", may_be_whole=True
                )
            complete, error = _feed(relay, events, chunk)
            if complete:
                await self._write(relay, complete, stream)
            if error is not None:
                raise error

    async def _write(self, relay: Relay, complete: bytes, stream: RunningStream | None) -> None:
        """Send complete events to the caller."""
        self._record_event(relay, await curio.clock())
        if stream is None:
            await relay.exchange.write(complete)
            return
        stream.is_writing = True
        try:
            await relay.exchange.write(complete)
        finally:
            stream.is_writing = False


def _feed(relay: Relay, events: EventSplitter, chunk: bytes) -> tuple[bytes, BadHttp | None]:
    """Count the bytes of an unfinished event that *chunk* leaves.

    Returns:
        The events that *chunk* completes, and the error to raise once the caller was sent them: a
        stream that goes on at another server goes on after them.

    Raises:
        EventTooLong: the unfinished event is over the limit. No event of *chunk* was counted.
    """
    buffers = relay.exchange.buffers
    if buffers is not None:
        buffers.release(events.remainder_bytes)
    complete = events.feed(chunk)
    if events.is_out_of_place:
        return complete, BadHttp(f"an event cannot follow the one with the id {events.last_id}")
    size = events.remainder_bytes
    if buffers is not None and size and not buffers.try_hold(size):
        events.drop_remainder()
        return complete, EventTooLong("no memory for an unfinished event")
    return complete, None


def _drop_remainder(relay: Relay, events: EventSplitter) -> None:
    """Discard an unfinished event before the stream goes on at another server."""
    if relay.exchange.buffers is not None:
        relay.exchange.buffers.release(events.remainder_bytes)
    events.drop_remainder()


def _check_continuation(response: ClientStream) -> None:
    """Check that the body of a response may follow the events that the caller has.

    Raises:
        BadHttp: the body is no event stream, or an encoded one.
    """
    content_type = response.headers.get("content-type")
    if content_type is not None and not is_event_stream(content_type):
        raise BadHttp(f"resumed stream has the content type {content_type[:80]!r}")
    if "content-encoding" in response.headers:
        raise BadHttp("resumed stream is encoded")


def _check_end(relay: Relay, response: ClientStream, events: EventSplitter) -> None:
    """Check that the events of a response whose body has ended are complete.

    A body that states no content type is taken for events if it has an event with an id, or if
    nothing else shows whether it is complete.

    Raises:
        HttpClosed: the server broke the stream off: inside an event, or before any event if only
            the end of the connection marks the end of the body.
    """
    ends_with_connection = response.framing is BodyFraming.CONNECTION
    content_type = response.headers.get("content-type")
    if content_type is None:
        has_events = ends_with_connection or bool(events.last_id)
    else:
        has_events = is_event_stream(content_type)
    if not has_events or relay.exchange.req.method == "HEAD":
        return
    if events.ends_inside_event:
        raise HttpClosed("the stream ended inside an event")
    if ends_with_connection and not (events.event_count or relay.request.last_event_id):
        raise HttpClosed("connection closed before the first event")
