"""Streams: a place to write is found, the prompt is read, the answer is passed on as it comes."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from typing import Any

import curio

from crankhinge.adapters import AttemptParams
from crankhinge.decisions import EngineLimits, RetryBudget, Server, WorkloadMeter, retry_delay_s
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
from crankhinge.gateway._prompt_processor import PromptKvCache, PromptProcessor
from crankhinge.gateway._quarantine import QuarantineService
from crankhinge.gateway._request import Relay
from crankhinge.gateway._reservations import Reservation, Reservations
from crankhinge.gateway._server_selector import ServerSelector
from crankhinge.http import ClientStream, ConnectFailed


class _End(enum.Enum):
    """How a try to write ended."""

    WHOLE = "whole"
    REFUSED = "refused"
    UNREACHED = "unreached"
    BARRED = "barred"
    BROKEN = "broken"


class StreamRelay:
    """Runs streams.

    Args:
        backends: the servers.
        selector: chooses among them.
        permits: leave to send to those that say how much they take.
        attempts: sends requests to them.
        budget_of: the retry budget of a service.
        quarantine: of requests under which servers crashed.
        log: for events.
        meters: measures the work of each service's requests, by its name.
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
    ) -> None:
        self._backends = backends
        self._choice = selector
        self._legs = attempts
        self._budget_of = budget_of
        self._log = log
        self._meters = meters
        self._places = Reservations(backends, selector, permits, log, meters)
        self._reading = PromptProcessor(
            backends=backends, selector=selector, attempts=attempts, quarantine=quarantine, log=log
        )

    async def run(self, relay: Relay) -> None:
        """Find servers, pass the answer on. Raises a failure with its outcome."""
        budget: RetryBudget = self._budget_of(relay.service.name)
        budget.record_first_attempt()
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
                raise HttpClosed("the route's time is over in mid-stream") from exc
            raise DeadlinePassed("not answered in time") from exc

    async def _run(self, relay: Relay, budget: RetryBudget) -> None:
        events = EventSplitter(relay.request.last_event_id)
        while True:
            if relay.service.engine is None:
                end, why = await self._at_plain_server(relay, events)
            else:
                end, why = await self._at_engines(relay, events, budget)
            if end is _End.WHOLE:
                relay.log_fields.setdefault("status", 200)
                relay.log_fields["events"] = events.event_count
                return
            if end is _End.UNREACHED:
                # Nothing arrived, so nothing is repeated.
                again = relay.record_unreachable()
            elif end is _End.BARRED:
                # Nothing was sent; that server is not chosen again until it takes requests.
                again = True
            else:
                again = relay.may_try_another and relay.may_retry and budget.try_retry()
            if not again or await relay.remaining_s() <= 0:
                raise self._failure(relay, end, why)
            events.drop_remainder()
            self._log.info(
                "stream_again",
                request=relay.request.request_id,
                after=events.last_id,
                events=events.event_count,
                cause=end.value,
                why=why,
            )

    def _failure(self, relay: Relay, end: _End, why: str) -> Exception:
        if relay.exchange.response_started:
            return HttpClosed(f"broken off: {why}")
        if relay.may_have_run:
            return BackendFailed(why)
        after = retry_delay_s(self._backends.rng)
        if end is _End.UNREACHED:
            return NoBackend(why, retry_after_s=after)
        return Overloaded(why, retry_after_s=after)

    async def _at_plain_server(self, relay: Relay, events: EventSplitter) -> tuple[_End, str]:
        server = await self._choice.select(relay, avoid=relay.tried_servers)
        if server is None:
            spare_s = relay.started_at + relay.route.target_s - await curio.clock()
            server = await self._choice.wait_for_server(
                relay, avoid=relay.tried_servers, max_wait_s=spare_s
            )
        if server is None:
            raise self._failure(relay, _End.UNREACHED, "no server")
        return await self._write(
            relay, server, AttemptParams(server.name, await relay.remaining_s()), events
        )

    async def _at_engines(
        self, relay: Relay, events: EventSplitter, budget: RetryBudget
    ) -> tuple[_End, str]:
        avoid = relay.tried_servers
        engine = relay.service.engine
        assert engine is not None
        made = events.event_count * engine.tokens_per_event
        async with self._places.reserve(relay, extra_tokens=made, avoid=avoid) as place:
            memory = await self._read(relay, place, engine, budget)
            try:
                if self._backends.accepts_work(place.server.incarnation_id, await curio.clock()):
                    return await self._at_place(relay, place, memory, events, budget)
                # It began to leave while the prompt was read.
                async with self._places.reserve(relay, extra_tokens=made, avoid=avoid) as other:
                    return await self._at_place(relay, other, memory, events, budget)
            except BaseException:
                # Nobody can tell whether the memory was fetched; freeing it twice does no harm.
                if memory is not None and not relay.exchange.response_started:
                    await self._reading.free(memory)
                raise

    async def _read(
        self, relay: Relay, place: Reservation, engine: EngineLimits, budget: RetryBudget
    ) -> PromptKvCache | None:
        ask = relay.request
        meter = self._meters[relay.service.name]
        likely = min(ask.expected_answer_tokens or ask.max_answer_tokens, ask.max_answer_tokens)
        meter.record_admission(place.tokens / engine.kv_tokens, likely)
        memory = await self._reading.process(relay, place.server.zone, budget)
        if memory is not None:
            meter.record_prompt(ask.prompt_tokens, memory.duration_s)
        return memory

    async def _at_place(
        self,
        relay: Relay,
        place: Reservation,
        memory: PromptKvCache | None,
        events: EventSplitter,
        budget: RetryBudget,
    ) -> tuple[_End, str]:
        server = place.server
        leg = await self._leg(relay, place, memory, events)
        end, why = await self._write(relay, server, leg, events)
        if end is _End.BARRED:
            # Nothing arrived: the reservation is still to be given back, and the memory freed.
            place.reservation_id = leg.reservation_id
            if memory is not None:
                await self._reading.free(memory)
        if memory is None or end is not _End.REFUSED:
            return end, why
        if self._backends.exclusion_reason(server, await curio.clock()) is not None:
            # It wants this request no more than any other.
            await self._reading.free(memory)
            return end, why
        # The memory or the reservation lapsed; the same server may still read it itself.
        await self._reading.free(memory)
        if not budget.try_retry():
            return end, why
        relay.sent_to.pop()
        self._log.info(
            "writer_reads", request=relay.request.request_id, server=server.incarnation_id, why=why
        )
        leg = await self._leg(relay, place, None, events)
        return await self._write(relay, server, leg, events)

    async def _leg(
        self, relay: Relay, place: Reservation, memory: PromptKvCache | None, events: EventSplitter
    ) -> AttemptParams:
        at = ""
        if memory is not None:
            at = self._backends.dialect.kv_cache_location(
                memory.server.host, memory.server.port, memory.cache_handle
            )
        hold, place.reservation_id = place.reservation_id, ""
        return AttemptParams(
            place.server.name,
            await relay.remaining_s(),
            kv_cache_location=at,
            reservation_id=hold,
            last_event_id=events.last_id,
        )

    async def _write(
        self, relay: Relay, server: Server, leg: AttemptParams, events: EventSplitter
    ) -> tuple[_End, str]:
        relay.sent_to.append(server.incarnation_id)
        relay.log_fields["server"] = server.incarnation_id
        try:
            async with self._legs.open(relay, server, leg) as stream:
                word = self._backends.dialect.parse_signals(stream.status, stream.headers)
                if word.not_run:
                    body = await stream.read_all()
                    return _End.REFUSED, f"status {stream.status} {body[:80]!r}"
                relay.may_have_run = True
                began, before = await curio.clock(), events.event_count
                await self._pass_on(relay, stream, events)
                self._note_pace(relay, events.event_count - before, await curio.clock() - began)
                self._backends.stats(server.incarnation_id).breaker.record_success()
                return _End.WHOLE, ""
        except ConnectFailed as exc:
            return _End.UNREACHED, exc.detail
        except ServerBarred as exc:
            relay.sent_to.pop()
            return _End.BARRED, exc.detail
        except CallerGone:
            raise
        except (HttpClosed, BadHttp) as exc:
            relay.may_have_run = True
            return _End.BROKEN, exc.detail

    def _note_pace(self, relay: Relay, events: int, took_s: float) -> None:
        engine = relay.service.engine
        if engine is not None and events:
            self._meters[relay.service.name].record_answer(events * engine.tokens_per_event, took_s)

    def _note_event(self, relay: Relay, now: float) -> None:
        if relay.last_event_at is None and relay.reserved_at is not None:
            self._meters[relay.service.name].record_first_event(now - relay.reserved_at)
        relay.record_event(now)

    async def _pass_on(self, relay: Relay, stream: ClientStream, events: EventSplitter) -> None:
        exchange = relay.exchange
        if stream.status != 200:
            # A failure that the server reports has no events.
            body = await stream.read_all()
            fields = self._backends.dialect.response_fields(stream.fields)
            if exchange.response_started:
                raise HttpClosed(f"status {stream.status} to a resumed stream")
            await exchange.respond_with_fields(stream.status, fields, body)
            relay.log_fields["status"] = stream.status
            return
        if not exchange.response_started:
            fields = self._backends.dialect.response_fields(stream.fields)
            await exchange.start_with_fields(stream.status, fields)
        while chunk := await stream.next_chunk():
            whole = events.feed(chunk)
            if whole:
                self._note_event(relay, await curio.clock())
                await exchange.write(whole)
        if events.remainder:
            await exchange.write(events.remainder)
        await exchange.finish()
