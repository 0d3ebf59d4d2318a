"""Reserves a place to write in before a prompt is read."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import curio

from crankhinge.decisions import (
    DEFAULT_FIRST_EVENT_S,
    DEFAULT_SERVICE_S,
    EngineLimits,
    EngineRole,
    MemoryForecast,
    ReservationQueue,
    ReservationRequest,
    Server,
    WorkloadMeter,
    engines_to_try,
    retry_delay_s,
    stream_event_timeout_s,
    tokens_to_reserve,
)
from crankhinge.errors import BadHttp, NoBackend, Overloaded, ServerAtLimit, ServersRest
from crankhinge.gateway._backends import Backends
from crankhinge.gateway._permits import Permits
from crankhinge.gateway._request import Relay
from crankhinge.gateway._server_selector import ServerSelector

# Engines asked in one round; more would cost more calls than the chance of room is worth.
MAX_ENGINES_PER_ROUND = 3
# Seconds between rounds while nothing ends here: others' requests end unseen.
ROUND_INTERVAL_S = 0.05
# A round takes some milliseconds; with less than this left none is begun, in seconds.
MIN_ROUND_S = 0.005


@dataclass
class _Search:
    """A request on its way to a place.

    Attributes:
        relay: the request.
        need: what it needs.
        avoid: servers that are out of the question.
        began: when it began, on the runtime's clock.
        asked: engines asked.
        number: in the order of waiting.
    """

    relay: Relay
    need: ReservationRequest
    avoid: frozenset[str]
    began: float
    asked: int = 0
    number: int = 0


@dataclass
class Reservation:
    """A reservation.

    Attributes:
        server: where.
        reservation_id: its identity; empty where the server takes no reservations or it was used.
        tokens: memory reserved.
        forecast_number: in the forecast of memory.
    """

    server: Server
    reservation_id: str
    tokens: int
    forecast_number: int


class Reservations:
    """Finds places for streams.

    Args:
        backends: the servers.
        selector: waits for those that want no request for a while.
        permits: leave to send to those that say how much they take.
        log: for events.
        meters: the work of each service's requests, by its name.
    """

    def __init__(
        self,
        backends: Backends,
        selector: ServerSelector,
        permits: Permits,
        log: Any,
        meters: Mapping[str, WorkloadMeter],
    ) -> None:
        self._backends = backends
        self._choice = selector
        self._permits = permits
        self._meters = meters
        self._log = log
        self._orders: defaultdict[str, ReservationQueue] = defaultdict(ReservationQueue)
        self._forecasts: defaultdict[str, MemoryForecast] = defaultdict(MemoryForecast)

    @asynccontextmanager
    async def reserve(
        self, relay: Relay, *, extra_tokens: int = 0, avoid: frozenset[str] = frozenset()
    ) -> AsyncIterator[Reservation]:
        """Give a place; it is given back at the end unless it was used.

        Args:
            relay: the request.
            extra_tokens: tokens of the answer that were made elsewhere and are read with the
                prompt.
            avoid: servers that are out of the question.

        Raises:
            Overloaded: no room in time.
            NoBackend: no server writes.
        """
        place = await self._find(relay, extra_tokens, avoid)
        standing = self._backends.stats(place.server.incarnation_id)
        standing.reserved_tokens += place.tokens
        try:
            yield place
        finally:
            standing.reserved_tokens -= place.tokens
            self._forecasts[relay.service.name].record_released(place.forecast_number)
            if place.reservation_id:
                call = self._backends.dialect.release_reservation_call(place.reservation_id)
                await self._backends.side_call_in_background(place.server, call)

    async def _find(self, relay: Relay, extra: int, avoid: frozenset[str]) -> Reservation:
        engine = relay.service.engine
        assert engine is not None
        now = await curio.clock()
        search = _Search(relay, self._need(relay, engine, extra, now), avoid, now)
        order = self._orders[relay.service.name]
        search.number = order.add(search.need, search.began)
        try:
            while True:
                place = await self._look(search, engine, order)
                if place is not None:
                    return place
                if not (
                    await self._waited_for_rest(search) or await self._waited_for_permit(search)
                ):
                    await self._wait(search)
        finally:
            order.remove(search.number)

    def _need(
        self, relay: Relay, engine: EngineLimits, extra: int, now: float
    ) -> ReservationRequest:
        ask = relay.request
        meter = self._meters[relay.service.name]
        likely = min(ask.expected_answer_tokens or ask.max_answer_tokens, ask.max_answer_tokens)
        tokens = tokens_to_reserve(
            ask.prompt_tokens + extra,
            ask.expected_answer_tokens,
            ask.max_answer_tokens,
            engine.kv_tokens,
        )
        return ReservationRequest(
            tokens=tokens,
            # A stream that is taken up elsewhere has had its first event.
            target_s=relay.started_at + relay.route.target_s - now,
            remaining_s=relay.deadline - now,
            event_timeout_s=(relay.last_event_at or relay.started_at)
            + stream_event_timeout_s(relay.route.target_s, relay.route.max_pause_s)
            - now,
            is_retry=relay.is_retry,
            service_s=meter.expected_service_s(likely) or DEFAULT_SERVICE_S,
            first_event_s=meter.mean_first_event_s or DEFAULT_FIRST_EVENT_S,
        )

    async def _look(
        self, search: _Search, engine: EngineLimits, order: ReservationQueue
    ) -> Reservation | None:
        """Ask the engines that may have room."""
        relay, need = search.relay, search.need
        if need.max_wait_s < 0:
            self._refused(search, "no_time", 0.0)
            raise Overloaded("can't end in time", retry_after_s=retry_delay_s(self._backends.rng))
        now = await curio.clock()
        service, model = relay.service.name, relay.request.model
        writers = self._backends.available_servers(
            service, now, EngineRole.DECODE, model, search.avoid
        )
        if not writers:
            self._refused(search, "no_writer", now - search.began)
            raise NoBackend("no server writes", retry_after_s=retry_delay_s(self._backends.rng))
        if not order.may_try(search.number, now):
            return None
        able = engines_to_try(
            self._backends.without_backoff(writers, now),
            self._backends.stats,
            tokens=need.tokens,
            kv_tokens=engine.kv_tokens,
            now=now,
            rng=self._backends.rng,
            refusal_pause_s=need.refusal_pause_s(now - search.began),
        )
        for server in able[:MAX_ENGINES_PER_ROUND]:
            if not await self._permits.try_get_permit(relay, server):
                continue
            search.asked += 1
            hold = await self._reserve(server, need.tokens, engine.max_reservation_s)
            if hold is None:
                # It was asked in vain, and in need each question counts.
                relay.permits.pop(server.incarnation_id, None)
            if hold is not None:
                relay.reserved_at = await curio.clock()
                waited = relay.reserved_at - search.began
                relay.log_fields.update(waited_ms=round(waited * 1000), asked=search.asked)
                number = self._forecasts[relay.service.name].record_reserved(
                    need.tokens,
                    need.service_s,
                    relay.reserved_at,
                    late=need.is_late(waited),
                )
                self._taken(relay, need, server)
                return Reservation(server, hold, need.tokens, number)
        return None

    async def _wait(self, search: _Search) -> None:
        """Wait until the next round; a request that would wait too long is refused."""
        need = search.need
        waited = await curio.clock() - search.began
        free_s = self._free_in(search, waited)
        if "free_ms" not in search.relay.log_fields and free_s is not None:
            search.relay.log_fields["free_ms"] = round(free_s * 1000)
        spare = need.max_wait_s - waited
        if spare <= MIN_ROUND_S or not need.should_keep_waiting(waited, free_s):
            self._refused(search, "no_room", waited)
            raise Overloaded("no room to write", retry_after_s=self._back(search, waited))
        await curio.sleep(min(ROUND_INTERVAL_S, spare - MIN_ROUND_S))

    async def _waited_for_rest(self, search: _Search) -> bool:
        """Wait until an engine wants requests; returns whether none did before.

        Raises:
            ServersRest: none does within the request's patience, as is known at once.
        """
        now = await curio.clock()
        waited_s = now - search.began
        try:
            ends = self._choice.backoff_end(
                search.relay,
                now,
                avoid=search.avoid,
                max_wait_s=search.need.max_wait_s - waited_s,
                role=EngineRole.DECODE,
            )
        except ServersRest:
            self._refused(search, "servers_rest", waited_s)
            raise
        if ends is None:
            return False
        await curio.sleep(ends - now)
        return True

    async def _waited_for_permit(self, search: _Search) -> bool:
        """Wait until an engine takes more; returns whether none did before.

        Raises:
            ServerAtLimit: none does within the request's patience, as is known at once.
        """
        limited = await self._first_at_limit(search)
        if limited is None:
            return False
        waited_s = await curio.clock() - search.began
        spare_s = max(0.0, search.need.max_wait_s - waited_s)
        word = await self._permits.request_permit(search.relay, limited, spare_s)
        if not word.granted:
            self._refused(search, "at_limit", waited_s)
            raise ServerAtLimit("engines take no more now", retry_after_s=word.after_s)
        await self._permits.wait_for_permit(limited, word)
        return True

    async def _first_at_limit(self, search: _Search) -> Server | None:
        """Return the engine that takes more first; None where one does now, or there is none."""
        relay, now = search.relay, await curio.clock()
        service, model = relay.service.name, relay.request.model
        writers = self._backends.eligible_servers(
            service, now, EngineRole.DECODE, model, search.avoid
        )
        limited = self._backends.servers_at_limit(writers, now)
        return limited[0] if limited and len(limited) == len(writers) else None

    def _free_in(self, search: _Search, waited_s: float) -> float | None:
        """Return the seconds until there is memory for a request and for those before it."""
        service, now = search.relay.service.name, search.began + waited_s
        ahead = self._orders[service].requests_ahead(search.number, now)
        tokens = search.need.tokens + sum(need.tokens for need in ahead)
        return self._forecasts[service].free_in_s(tokens, now)

    def _back(self, search: _Search, waited_s: float) -> float:
        """Return when a request that is refused should come back, in seconds."""
        service, need = search.relay.service.name, search.need
        now = search.began + waited_s
        forecast = self._forecasts[service]
        ahead = self._orders[service].tokens_of_others(search.number)
        free_s = forecast.retry_in_s(need.tokens, ahead, now)
        back_s = retry_delay_s(self._backends.rng, need, free_s)
        forecast.record_promised_retry(need.tokens, now + back_s)
        self._log.info(
            "told_to_return",
            request=search.relay.request.request_id,
            back_ms=round(back_s * 1000),
            free_ms=None if free_s is None else round(free_s * 1000),
            ahead_tokens=ahead,
        )
        return back_s

    async def _reserve(self, server: Server, tokens: int, hold_s: float) -> str | None:
        """Return a reservation, or None when the server has no room."""
        dialect = self._backends.dialect
        standing = self._backends.stats(server.incarnation_id)
        if hold_s <= 0:
            return ""
        resp = await self._backends.side_call(server, dialect.reserve_call(tokens, hold_s))
        now = await curio.clock()
        if resp is None:
            standing.record_failure(now)
            return None
        if dialect.parse_signals(resp.status, resp.headers).wrong_server:
            self._backends.record_replaced(server)
            return None
        if resp.status != 200:
            standing.record_no_capacity(now, self._backends.rng)
            return None
        try:
            return dialect.parse_reservation_id(resp.body)
        except BadHttp as exc:
            self._log.warning(
                "reservation_unreadable", server=server.incarnation_id, why=exc.detail
            )
            return None

    def _taken(self, relay: Relay, need: ReservationRequest, server: Server) -> None:
        standing = self._backends.stats(server.incarnation_id)
        about = {
            **relay.log_fields,
            "server": server.incarnation_id,
            "own_tokens": standing.reserved_tokens,
        }
        self._log.info(
            "place_taken",
            request=relay.request.request_id,
            tokens=need.tokens,
            **about,
        )

    def _refused(self, search: _Search, why: str, waited_s: float) -> None:
        relay, need = search.relay, search.need
        order = self._orders[relay.service.name]
        self._log.info(
            "place_refused",
            request=relay.request.request_id,
            why=why,
            tokens=need.tokens,
            serve_s=round(need.service_s, 1),
            returned=need.is_retry,
            first_s=round(need.first_event_s, 2),
            left_s=round(need.remaining_s, 1),
            asked=search.asked,
            ahead=len(order.requests_ahead(search.number, search.began + waited_s)),
            waiting=len(order),
            waited_ms=round(waited_s * 1000),
        )
