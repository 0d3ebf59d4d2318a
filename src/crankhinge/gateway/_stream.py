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
from crankhinge.gateway._backends import Backends
from crankhinge.gateway._choice import ServerChoice
from crankhinge.gateway._events import EventSplitter
from crankhinge.gateway._legs import Legs
from crankhinge.gateway._permits import Permits
from crankhinge.gateway._places import Place, Places
from crankhinge.gateway._quarantine import QuarantineDesk
from crankhinge.gateway._reading import Memory, Reading
from crankhinge.gateway._request import Relay
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
        choice: chooses among them.
        permits: leave to send to those that say how much they take.
        legs: sends requests to them.
        budget_of: the retry budget of a service.
        quarantine: of requests under which servers crashed.
        log: for events.
        meters: measures the work of each service's requests, by its name.
    """

    def __init__(
        self,
        *,
        backends: Backends,
        choice: ServerChoice,
        permits: Permits,
        legs: Legs,
        budget_of: Any,
        quarantine: QuarantineDesk,
        log: Any,
        meters: Mapping[str, WorkloadMeter],
    ) -> None:
        self._backends = backends
        self._choice = choice
        self._legs = legs
        self._budget_of = budget_of
        self._log = log
        self._meters = meters
        self._places = Places(backends, choice, permits, log, meters)
        self._reading = Reading(
            backends=backends, choice=choice, legs=legs, quarantine=quarantine, log=log
        )

    async def run(self, relay: Relay) -> None:
        """Find servers, pass the answer on. Raises a failure with its outcome."""
        budget: RetryBudget = self._budget_of(relay.service.name)
        budget.record_first_attempt()
        relay.facts.update(
            prompt=relay.ask.prompt_tokens,
            most=relay.ask.max_answer_tokens,
            likely=relay.ask.expected_answer_tokens,
        )
        try:
            await curio.timeout_after(max(0.001, await relay.left()), self._run, relay, budget)
        except curio.TaskTimeout as exc:
            if relay.exchange.response_started:
                raise HttpClosed("the route's time is over in mid-stream") from exc
            raise DeadlinePassed("not answered in time") from exc

    async def _run(self, relay: Relay, budget: RetryBudget) -> None:
        events = EventSplitter(relay.ask.last_event_id)
        while True:
            if relay.service.engine is None:
                end, why = await self._at_plain_server(relay, events)
            else:
                end, why = await self._at_engines(relay, events, budget)
            if end is _End.WHOLE:
                relay.facts.setdefault("status", 200)
                relay.facts["events"] = events.events
                return
            if end is _End.UNREACHED:
                # Nothing arrived, so nothing is repeated.
                again = relay.not_reached()
            elif end is _End.BARRED:
                # Nothing was sent; that server is not chosen again until it takes requests.
                again = True
            else:
                again = relay.may_be_sent and relay.may_repeat and budget.try_retry()
            if not again or await relay.left() <= 0:
                raise self._failure(relay, end, why)
            events.drop_rest()
            self._log.info(
                "stream_again",
                request=relay.ask.request_id,
                after=events.last,
                events=events.events,
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
        server = await self._choice.now(relay, avoid=relay.tried)
        if server is None:
            spare_s = relay.began + relay.route.target_s - await curio.clock()
            server = await self._choice.soon(relay, avoid=relay.tried, spare_s=spare_s)
        if server is None:
            raise self._failure(relay, _End.UNREACHED, "no server")
        return await self._write(
            relay, server, AttemptParams(server.name, await relay.left()), events
        )

    async def _at_engines(
        self, relay: Relay, events: EventSplitter, budget: RetryBudget
    ) -> tuple[_End, str]:
        avoid = relay.tried
        engine = relay.service.engine
        assert engine is not None
        made = events.events * engine.tokens_per_event
        async with self._places.take(relay, extra=made, avoid=avoid) as place:
            memory = await self._read(relay, place, engine, budget)
            try:
                if self._backends.takes_work(place.server.incarnation_id, await curio.clock()):
                    return await self._at_place(relay, place, memory, events, budget)
                # It began to leave while the prompt was read.
                async with self._places.take(relay, extra=made, avoid=avoid) as other:
                    return await self._at_place(relay, other, memory, events, budget)
            except BaseException:
                # Nobody can tell whether the memory was fetched; freeing it twice does no harm.
                if memory is not None and not relay.exchange.response_started:
                    await self._reading.free(memory)
                raise

    async def _read(
        self, relay: Relay, place: Place, engine: EngineLimits, budget: RetryBudget
    ) -> Memory | None:
        ask = relay.ask
        meter = self._meters[relay.service.name]
        likely = min(ask.expected_answer_tokens or ask.max_answer_tokens, ask.max_answer_tokens)
        meter.record_admission(place.tokens / engine.kv_tokens, likely)
        memory = await self._reading.read(relay, place.server.zone, budget)
        if memory is not None:
            meter.record_prompt(ask.prompt_tokens, memory.took_s)
        return memory

    async def _at_place(
        self,
        relay: Relay,
        place: Place,
        memory: Memory | None,
        events: EventSplitter,
        budget: RetryBudget,
    ) -> tuple[_End, str]:
        server = place.server
        leg = await self._leg(relay, place, memory, events)
        end, why = await self._write(relay, server, leg, events)
        if end is _End.BARRED:
            # Nothing arrived: the reservation is still to be given back, and the memory freed.
            place.hold = leg.reservation_id
            if memory is not None:
                await self._reading.free(memory)
        if memory is None or end is not _End.REFUSED:
            return end, why
        if self._backends.bar(server, await curio.clock()) is not None:
            # It wants this request no more than any other.
            await self._reading.free(memory)
            return end, why
        # The memory or the reservation lapsed; the same server may still read it itself.
        await self._reading.free(memory)
        if not budget.try_retry():
            return end, why
        relay.sent.pop()
        self._log.info(
            "writer_reads", request=relay.ask.request_id, server=server.incarnation_id, why=why
        )
        leg = await self._leg(relay, place, None, events)
        return await self._write(relay, server, leg, events)

    async def _leg(
        self, relay: Relay, place: Place, memory: Memory | None, events: EventSplitter
    ) -> AttemptParams:
        at = ""
        if memory is not None:
            at = self._backends.dialect.kv_cache_location(
                memory.server.host, memory.server.port, memory.handle
            )
        hold, place.hold = place.hold, ""
        return AttemptParams(
            place.server.name,
            await relay.left(),
            kv_cache_location=at,
            reservation_id=hold,
            last_event_id=events.last,
        )

    async def _write(
        self, relay: Relay, server: Server, leg: AttemptParams, events: EventSplitter
    ) -> tuple[_End, str]:
        relay.sent.append(server.incarnation_id)
        relay.facts["server"] = server.incarnation_id
        try:
            async with self._legs.open(relay, server, leg) as stream:
                word = self._backends.dialect.parse_signals(stream.status, stream.headers)
                if word.not_run:
                    body = await stream.read_all()
                    return _End.REFUSED, f"status {stream.status} {body[:80]!r}"
                relay.may_have_run = True
                began, before = await curio.clock(), events.events
                await self._pass_on(relay, stream, events)
                self._note_pace(relay, events.events - before, await curio.clock() - began)
                self._backends.standing(server.incarnation_id).breaker.record_success()
                return _End.WHOLE, ""
        except ConnectFailed as exc:
            return _End.UNREACHED, exc.detail
        except ServerBarred as exc:
            relay.sent.pop()
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
        if relay.event_at is None and relay.placed_at is not None:
            self._meters[relay.service.name].record_first_event(now - relay.placed_at)
        relay.note_event(now)

    async def _pass_on(self, relay: Relay, stream: ClientStream, events: EventSplitter) -> None:
        exchange = relay.exchange
        if stream.status != 200:
            # A failure that the server reports has no events.
            body = await stream.read_all()
            fields = self._backends.dialect.response_fields(stream.fields)
            if exchange.response_started:
                raise HttpClosed(f"status {stream.status} to a resumed stream")
            await exchange.respond_with_fields(stream.status, fields, body)
            relay.facts["status"] = stream.status
            return
        if not exchange.response_started:
            fields = self._backends.dialect.response_fields(stream.fields)
            await exchange.start_with_fields(stream.status, fields)
        while chunk := await stream.next_chunk():
            whole = events.feed(chunk)
            if whole:
                self._note_event(relay, await curio.clock())
                await exchange.write(whole)
        if events.rest:
            await exchange.write(events.rest)
        await exchange.finish()
