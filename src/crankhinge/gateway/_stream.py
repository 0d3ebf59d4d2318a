"""Runs requests whose answer is a stream of events.

Memory is reserved on a decode engine first, then the prompt is processed, and the events of the
answer are passed on to the caller as they arrive.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from typing import Any

import curio

from crankhinge.adapters import AttemptParams
from crankhinge.decisions import (
    EngineLimits,
    RetryBudget,
    Server,
    WorkloadMeter,
    mean_run_tokens,
    retry_delay_s,
)
from crankhinge.decisions.placement import PrefillOutcome
from crankhinge.errors import (
    BackendFailed,
    BadHttp,
    CallerGone,
    DeadlinePassed,
    HttpClosed,
    NoBackend,
    Overloaded,
    ServerBarred,
)
from crankhinge.gateway._attempts import Attempts
from crankhinge.gateway._backends import Backends
from crankhinge.gateway._events import EventSplitter
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
from crankhinge.gateway.placement._client import PlacementClient
from crankhinge.http import ClientStream, ConnectFailed


class _AttemptEnd(enum.Enum):
    """How an attempt at a server ended."""

    COMPLETED = "whole"
    REFUSED = "refused"
    UNREACHABLE = "unreached"
    EXCLUDED = "barred"
    BROKEN = "broken"


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
    ) -> None:
        self._backends = backends
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
        budget: RetryBudget = self._budget_of(relay.service.name)
        budget.record_first_attempt()
        self._placement.record_request(relay)
        relay.log_fields.update(
            prompt=relay.request.prompt_tokens,
            most=relay.request.max_answer_tokens,
            likely=relay.request.expected_answer_tokens,
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
            if end is _AttemptEnd.UNREACHABLE:
                # The request did not reach the server, so sending it elsewhere is no retry.
                may_continue = relay.record_unreachable()
            elif end is _AttemptEnd.EXCLUDED:
                # Nothing was sent. The server is not selected again until it accepts requests.
                may_continue = True
            else:
                may_continue = relay.may_try_another and relay.may_retry and budget.try_retry()
            if not may_continue or await relay.remaining_s() <= 0:
                raise self._to_error(relay, end, why)
            events.drop_remainder()
            self._log.info(
                "stream_again",
                request=relay.request.request_id,
                after=events.last_id,
                events=events.event_count,
                cause=end.value,
                why=why,
            )

    def _to_error(self, relay: Relay, end: _AttemptEnd, why: str) -> Exception:
        if relay.exchange.response_started:
            return HttpClosed(f"broken off: {why}")
        if relay.may_have_run:
            return BackendFailed(why)
        retry_after_s = retry_delay_s(self._backends.rng)
        if end is _AttemptEnd.UNREACHABLE:
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
        return await self._attempt(
            relay, server, AttemptParams(server.name, await relay.remaining_s()), events
        )

    async def _run_at_engines(
        self, relay: Relay, events: EventSplitter, budget: RetryBudget
    ) -> tuple[_AttemptEnd, str]:
        avoid = relay.tried_servers
        engine = relay.service.engine
        assert engine is not None
        answered_tokens = events.event_count * engine.tokens_per_event
        async with self._reservations.reserve(
            relay, extra_tokens=answered_tokens, avoid=avoid
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
                    relay, extra_tokens=answered_tokens, avoid=avoid
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
                await self._placement.record_prefill(run, server, duration_s, outcome)

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
        )
        reservation.stream = stream
        with self._running.track(stream):
            end, why = await self._run_at_engine(relay, reservation, kv_cache, events, budget)
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
        end, why = await self._attempt(relay, server, params, events)
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
        return await self._attempt(relay, server, params, events)

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
        self, relay: Relay, server: Server, params: AttemptParams, events: EventSplitter
    ) -> tuple[_AttemptEnd, str]:
        relay.sent_to.append(server.incarnation_id)
        relay.log_fields["server"] = server.incarnation_id
        try:
            async with self._attempts.open(relay, server, params) as stream:
                signals = self._backends.dialect.parse_signals(stream.status, stream.headers)
                if signals.not_run:
                    body = await stream.read_all()
                    return _AttemptEnd.REFUSED, f"status {stream.status} {body[:80]!r}"
                relay.may_have_run = True
                started_at, events_before = await curio.clock(), events.event_count
                await self._relay_response(relay, stream, events)
                self._record_answer(
                    relay, events.event_count - events_before, await curio.clock() - started_at
                )
                self._backends.stats(server.incarnation_id).breaker.record_success()
                return _AttemptEnd.COMPLETED, ""
        except ConnectFailed as exc:
            return _AttemptEnd.UNREACHABLE, exc.detail
        except ServerBarred as exc:
            relay.sent_to.pop()
            return _AttemptEnd.EXCLUDED, exc.detail
        except CallerGone:
            raise
        except (HttpClosed, BadHttp) as exc:
            relay.may_have_run = True
            return _AttemptEnd.BROKEN, exc.detail

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
        self, relay: Relay, stream: ClientStream, events: EventSplitter
    ) -> None:
        exchange = relay.exchange
        if stream.status != 200:
            # The server responded with an error, whose body has no events.
            body = await stream.read_all()
            fields = self._backends.dialect.response_fields(stream.fields)
            if exchange.response_started:
                raise HttpClosed(f"resumed stream was refused (status {stream.status})")
            await exchange.respond_with_fields(stream.status, fields, body)
            relay.log_fields["status"] = stream.status
            return
        if not exchange.response_started:
            fields = self._backends.dialect.response_fields(stream.fields)
            await exchange.start_with_fields(stream.status, fields)
        while chunk := await stream.next_chunk():
            complete = events.feed(chunk)
            if complete:
                self._record_event(relay, await curio.clock())
                await exchange.write(complete)
        if events.remainder:
            await exchange.write(events.remainder)
        await exchange.finish()
