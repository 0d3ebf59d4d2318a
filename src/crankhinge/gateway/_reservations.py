"""Reserves KV memory on a decode engine before a prompt is processed."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
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
    ServerStats,
    WorkloadMeter,
    answer_left,
    engines_to_try,
    retry_delay_s,
    stream_event_timeout_s,
    tokens_to_reserve,
)
from crankhinge.decisions.placement import PlacementDecision, PlacementOutcome
from crankhinge.errors import BadHttp, NoBackend, Overloaded, ServerAtLimit, ServersRest
from crankhinge.gateway._backends import Backends
from crankhinge.gateway._permits import Permits
from crankhinge.gateway._request import Relay
from crankhinge.gateway._running_streams import RunningStream
from crankhinge.gateway._server_selector import ServerSelector
from crankhinge.gateway.placement._client import PlacedRun, PlacementAttempt, PlacementClient

# A request asks engines for a reservation in rounds until one engine has room. Engines asked in one
# round: the chance that one more engine has room does not justify the cost of the call.
MAX_ENGINES_PER_ROUND = 3
# Seconds between rounds. Engines are polled, since this instance does not see when requests of
# other instances end and free their memory.
ROUND_INTERVAL_S = 0.05
# No further round begins if fewer seconds than this remain of the time that the request may wait. A
# round takes some milliseconds.
MIN_ROUND_S = 0.005


@dataclass
class _Search:
    """A request that is looking for a reservation.

    Attributes:
        relay: the request.
        request: the tokens and times of the reservation that it needs.
        avoid: incarnation ids of servers that must not be used.
        started_at: when the search began, on the runtime's clock.
        extra_tokens: tokens of the answer that another engine generated already.
        engines_asked: number of engines asked for a reservation so far.
        queue_number: number of the request in the reservation queue.
    """

    relay: Relay
    request: ReservationRequest
    avoid: frozenset[str]
    started_at: float
    extra_tokens: int = 0
    engines_asked: int = 0
    queue_number: int = 0


@dataclass
class Reservation:
    """Reserved KV memory on a decode engine.

    Attributes:
        server: the engine.
        reservation_id: id of the reservation; empty if the engine takes no reservations or if the
            reservation was used.
        tokens: memory in tokens that the request is expected to need. A coordinator reserves only a
            part of it at the engine and plans the rest.
        forecast_number: number of the reservation in the memory forecast.
        attempt: how a coordinator granted the place; None if the engine was asked directly.
        run: the run as it is reported to the coordinator of the engine; None if it is not.
        stream: the last attempt that used the reservation; None before.
        reader: incarnation id of the prompt engine that a coordinator chose; empty if it chose
            none.
        is_reader_idle: whether that engine had no other work.
        stats: statistics of the engine at which the memory is counted.
    """

    server: Server
    reservation_id: str
    tokens: int
    forecast_number: int
    attempt: PlacementAttempt | None = None
    run: PlacedRun | None = None
    stream: RunningStream | None = None
    reader: str = ""
    is_reader_idle: bool = False
    stats: ServerStats = field(default_factory=ServerStats)


class Reservations:
    """Reserves KV memory on decode engines for streams.

    Args:
        backends: the backend servers.
        selector: determines when the servers' backoffs end.
        permits: gets permits to send requests to servers that advertise a limit.
        log: log for events.
        meters: measured cost of each service's requests, by service name.
        placement: asks coordinators for places on engines.
    """

    def __init__(
        self,
        backends: Backends,
        selector: ServerSelector,
        permits: Permits,
        log: Any,
        meters: Mapping[str, WorkloadMeter],
        placement: PlacementClient,
    ) -> None:
        self._backends = backends
        self._selector = selector
        self._permits = permits
        self._meters = meters
        self._log = log
        self._placement = placement
        self._queues: defaultdict[str, ReservationQueue] = defaultdict(ReservationQueue)
        self._forecasts: defaultdict[str, MemoryForecast] = defaultdict(MemoryForecast)

    @asynccontextmanager
    async def reserve(
        self, relay: Relay, *, extra_tokens: int = 0, avoid: frozenset[str] = frozenset()
    ) -> AsyncIterator[Reservation]:
        """Reserve memory for an ``async with`` block; release it at the end unless it was used.

        Args:
            relay: the request.
            extra_tokens: tokens of the answer that another engine generated already; they are
                processed together with the prompt.
            avoid: incarnation ids of servers that must not be used.

        Raises:
            Overloaded: no engine has room in time.
            NoBackend: there is no decode engine.
            ServerAtLimit: all engines are at their limit for longer than the request may wait.
            ServersRest: all engines are in backoff for longer than the request may wait.
        """
        reservation = await self._reserve_engine(relay, extra_tokens, avoid)
        reservation.stats = self._backends.stats(reservation.server.incarnation_id)
        reservation.stats.reserved_tokens += reservation.tokens
        # A run may move to another engine, and its id is taken out when it is used.
        open_ids, own_id = reservation.stats.open_reservation_ids, reservation.reservation_id
        try:
            reservation.run = await self._placement.record_started(
                relay, reservation.server, reservation.attempt, extra_tokens
            )
            yield reservation
        finally:
            reservation.stats.reserved_tokens -= reservation.tokens
            open_ids.discard(own_id)
            self._forecasts[relay.service.name].record_released(reservation.forecast_number)
            if reservation.reservation_id:
                call = self._backends.dialect.release_reservation_call(reservation.reservation_id)
                await self._backends.side_call_in_background(reservation.server, call)
            if reservation.run is not None:
                await self._placement.record_ended(reservation.run, reservation.stream)
            elif reservation.attempt is not None:
                await reservation.attempt.withdraw()

    def transfer(self, reservation: Reservation, server: Server) -> None:
        """Count the memory of a run that has moved at the engine where it is now."""
        reservation.stats.reserved_tokens -= reservation.tokens
        reservation.stats = self._backends.stats(server.incarnation_id)
        reservation.stats.reserved_tokens += reservation.tokens

    async def _reserve_engine(
        self, relay: Relay, extra_tokens: int, avoid: frozenset[str]
    ) -> Reservation:
        engine = relay.service.engine
        assert engine is not None
        now = await curio.clock()
        request = self._new_request(relay, engine, extra_tokens, now)
        search = _Search(relay, request, avoid, now, extra_tokens)
        if self._placement.is_coordinated(relay.service):
            reservation = await self._reserve_placed(search, engine)
            if reservation is not None:
                return reservation
        queue = self._queues[relay.service.name]
        search.queue_number = queue.add(search.request, search.started_at)
        try:
            while True:
                reservation = await self._try_engines(search, engine, queue)
                if reservation is not None:
                    return reservation
                if not (
                    await self._wait_for_backoff(search) or await self._wait_for_permit(search)
                ):
                    await self._wait_for_round(search)
        finally:
            queue.remove(search.queue_number)

    def _new_request(
        self, relay: Relay, engine: EngineLimits, extra_tokens: int, now: float
    ) -> ReservationRequest:
        relay_request = relay.request
        meter = self._meters[relay.service.name]
        expected_tokens, most_tokens = answer_left(
            relay_request.expected_answer_tokens, relay_request.max_answer_tokens, extra_tokens
        )
        likely_tokens = expected_tokens or most_tokens
        tokens = tokens_to_reserve(
            relay_request.prompt_tokens + extra_tokens,
            expected_tokens,
            most_tokens,
            engine.kv_tokens,
        )
        request = ReservationRequest(
            tokens=tokens,
            # The target counts from when the request was read. A stream that is resumed at another
            # engine has had its first event, so its timeout counts from its last event.
            target_s=relay.started_at + relay.route.target_s - now,
            remaining_s=relay.deadline - now,
            event_timeout_s=(relay.last_event_at or relay.started_at)
            + stream_event_timeout_s(relay.route.target_s, relay.route.max_pause_s)
            - now,
            is_retry=relay.is_retry,
            service_s=meter.expected_service_s(likely_tokens) or DEFAULT_SERVICE_S,
            first_event_s=meter.mean_first_event_s or DEFAULT_FIRST_EVENT_S,
        )
        if request.max_wait_s >= 0:
            return request
        unmeasured = replace(
            request, service_s=DEFAULT_SERVICE_S, first_event_s=DEFAULT_FIRST_EVENT_S
        )
        is_probe = unmeasured.max_wait_s >= 0 and meter.try_probe(now)
        return unmeasured if is_probe else request

    async def _try_engines(
        self, search: _Search, engine: EngineLimits, queue: ReservationQueue
    ) -> Reservation | None:
        """Ask the engines that may have room; return the first reservation.

        Return None if no engine grants one. No engine is asked while a request ahead in the queue
        waits that needs no more memory than this one.

        Raises:
            Overloaded: the request cannot be completed in time.
            NoBackend: there is no decode engine.
        """
        relay, request = search.relay, search.request
        now = await curio.clock()
        decode_engines = self._possible_engines(search, now)
        if not queue.may_try(search.queue_number, now):
            return None
        engines = engines_to_try(
            self._backends.without_backoff(decode_engines, now),
            self._backends.stats,
            tokens=request.tokens,
            kv_tokens=engine.kv_tokens,
            now=now,
            rng=self._backends.rng,
            refusal_pause_s=request.refusal_pause_s(now - search.started_at),
        )
        for server in engines[:MAX_ENGINES_PER_ROUND]:
            if not await self._permits.try_get_permit(relay, server):
                continue
            search.engines_asked += 1
            reservation_id = await self._call_reserve(
                server, request.tokens, engine.max_reservation_s
            )
            if reservation_id is None:
                # A call that got no reservation counts against the server's limit, too, so it has
                # used the permit up. Calls must not exceed the limit while an engine is short of
                # capacity.
                relay.permits.pop(server.incarnation_id, None)
            if reservation_id is not None:
                return await self._record_reserved(search, server, reservation_id)
        return None

    def _possible_engines(self, search: _Search, now: float) -> list[Server]:
        """Return the engines that may run the request, including those in backoff.

        Raises:
            Overloaded: the request cannot be completed in time.
            NoBackend: there is no decode engine.
        """
        relay, request = search.relay, search.request
        if request.max_wait_s < 0:
            self._log_refused(search, "no_time", 0.0)
            raise Overloaded(
                "cannot complete in time", retry_after_s=retry_delay_s(self._backends.rng)
            )
        decode_engines = self._backends.available_servers(
            relay.service.name,
            now,
            EngineRole.DECODE,
            relay.request.model,
            search.avoid,
            relay.version,
        )
        if not decode_engines:
            self._log_refused(search, "no_writer", now - search.started_at)
            raise NoBackend("no decode engine", retry_after_s=retry_delay_s(self._backends.rng))
        return decode_engines

    async def _record_reserved(
        self, search: _Search, server: Server, reservation_id: str
    ) -> Reservation:
        relay, request = search.relay, search.request
        relay.reserved_at = await curio.clock()
        waited_s = relay.reserved_at - search.started_at
        relay.log_fields.update(waited_ms=round(waited_s * 1000), asked=search.engines_asked)
        forecast_number = self._forecasts[relay.service.name].record_reserved(
            request.tokens, request.service_s, relay.reserved_at, late=request.is_late(waited_s)
        )
        self._log_reserved(relay, request, server)
        return Reservation(server, reservation_id, request.tokens, forecast_number)

    # Coordinated placement.

    async def _reserve_placed(self, search: _Search, engine: EngineLimits) -> Reservation | None:
        """Reserve memory on the engine that a coordinator grants.

        Returns:
            The reservation; None if no coordinator decides, so that engines are asked directly.

        Raises:
            Overloaded: the coordinator refused the request, or no engine has room in time.
            NoBackend: there is no decode engine.
        """
        self._possible_engines(search, search.started_at)
        relay, request = search.relay, search.request
        attempt = self._placement.begin(
            relay, request, search.extra_tokens, search.avoid, search.started_at
        )
        reservation = None
        try:
            while True:
                decision = await attempt.next_decision(search.started_at + request.latest_wait_s)
                if decision is None:
                    self._log.info(
                        "placement_fallback",
                        request=relay.request.request_id,
                        run=attempt.run_id,
                        waited_ms=round((await curio.clock() - search.started_at) * 1000),
                    )
                    return None
                if decision.outcome is not PlacementOutcome.GRANTED:
                    await self._refuse(search, decision, attempt)
                reservation = await self._take_up(search, engine, attempt, decision)
                if reservation is not None:
                    return reservation
        finally:
            if reservation is None:
                await attempt.withdraw()

    async def _refuse(
        self, search: _Search, decision: PlacementDecision, attempt: PlacementAttempt
    ) -> None:
        """Raise the error of a request that a coordinator refused, or that has waited too long."""
        waited_s = await curio.clock() - search.started_at
        self._log_refused(search, "not_placed", waited_s, run=attempt.run_id)
        if decision.outcome is PlacementOutcome.REFUSED:
            retry_after_s = decision.retry_after_s
        else:
            retry_after_s = retry_delay_s(self._backends.rng, search.request)
        raise Overloaded("no decode engine has room", retry_after_s=retry_after_s)

    async def _take_up(
        self,
        search: _Search,
        engine: EngineLimits,
        attempt: PlacementAttempt,
        decision: PlacementDecision,
    ) -> Reservation | None:
        """Reserve memory on the granted engine; return None if it grants none."""
        relay = search.relay
        server = self._backends.get(decision.engine)
        if (
            server is None
            or not server.has_version(relay.version)
            or not self._backends.accepts_work(decision.engine, await curio.clock())
        ):
            await attempt.engine_refused(decision.engine, avoid=True)
            return None
        if not await self._permits.try_get_permit(relay, server):
            await attempt.engine_refused(decision.engine, avoid=True)
            return None
        search.engines_asked += 1
        tokens = min(decision.reserve_tokens, engine.kv_tokens)
        stats = self._backends.stats(decision.engine)
        failures_before = stats.failure_share
        reservation_id = await self._call_reserve(server, tokens, engine.max_reservation_s)
        if reservation_id is None:
            relay.permits.pop(decision.engine, None)
            failed = stats.failure_share > failures_before or stats.is_replaced
            await attempt.engine_refused(decision.engine, avoid=failed)
            return None
        relay.log_fields.update(run=attempt.run_id, held=tokens)
        reservation = await self._record_reserved(search, server, reservation_id)
        reservation.attempt = attempt
        reservation.reader = decision.reader
        reservation.is_reader_idle = decision.is_reader_idle
        return reservation

    async def _wait_for_round(self, search: _Search) -> None:
        """Wait until the next round.

        Raises:
            Overloaded: the request would wait too long.
        """
        request = search.request
        waited_s = await curio.clock() - search.started_at
        free_s = self._free_in_s(search, waited_s)
        if "free_ms" not in search.relay.log_fields and free_s is not None:
            search.relay.log_fields["free_ms"] = round(free_s * 1000)
        remaining_s = request.max_wait_s - waited_s
        if remaining_s <= MIN_ROUND_S or not request.should_keep_waiting(waited_s, free_s):
            self._log_refused(search, "no_room", waited_s)
            raise Overloaded(
                "no decode engine has room", retry_after_s=self._retry_after_s(search, waited_s)
            )
        await curio.sleep(min(ROUND_INTERVAL_S, max(remaining_s - MIN_ROUND_S, MIN_ROUND_S)))

    async def _wait_for_backoff(self, search: _Search) -> bool:
        """Wait until the first backoff ends if all engines are in backoff; return whether they are.

        Raises:
            ServersRest: the first backoff ends later than the request may wait; raised without
                waiting.
        """
        now = await curio.clock()
        waited_s = now - search.started_at
        try:
            end = self._selector.backoff_end(
                search.relay,
                now,
                avoid=search.avoid,
                max_wait_s=search.request.max_wait_s - waited_s,
                role=EngineRole.DECODE,
            )
        except ServersRest:
            self._log_refused(search, "servers_rest", waited_s)
            raise
        if end is None:
            return False
        await curio.sleep(end - now)
        return True

    async def _wait_for_permit(self, search: _Search) -> bool:
        """Wait for a permit if all engines are at their limit; return whether they are.

        Raises:
            ServerAtLimit: no permit is available in the time that the request may wait; raised
                without waiting.
        """
        at_limit = await self._first_at_limit(search)
        if at_limit is None:
            return False
        waited_s = await curio.clock() - search.started_at
        max_wait_s = max(0.0, search.request.max_wait_s - waited_s)
        decision = await self._permits.request_permit(search.relay, at_limit, max_wait_s)
        if not decision.granted:
            self._log_refused(search, "at_limit", waited_s)
            raise ServerAtLimit("all engines are at their limit", retry_after_s=decision.after_s)
        await self._permits.wait_for_permit(at_limit, decision)
        return True

    async def _first_at_limit(self, search: _Search) -> Server | None:
        """Return the engine whose limit allows a request first; None unless all are at a limit."""
        relay, now = search.relay, await curio.clock()
        service, model = relay.service.name, relay.request.model
        decode_engines = self._backends.eligible_servers(
            service, now, EngineRole.DECODE, model, search.avoid, relay.version
        )
        at_limit = self._backends.servers_at_limit(decode_engines, now)
        return at_limit[0] if at_limit and len(at_limit) == len(decode_engines) else None

    def _free_in_s(self, search: _Search, waited_s: float) -> float | None:
        """Return the seconds until there is memory for this request and those queued before it.

        Return None if that cannot be predicted.
        """
        service, now = search.relay.service.name, search.started_at + waited_s
        requests_ahead = self._queues[service].requests_ahead(search.queue_number, now)
        tokens = search.request.tokens + sum(request.tokens for request in requests_ahead)
        return self._forecasts[service].free_in_s(tokens, now)

    def _retry_after_s(self, search: _Search, waited_s: float) -> float:
        """Return the seconds after which the caller of a refused request should retry.

        The promised time is logged, and recorded in the forecast of the memory.
        """
        service, request = search.relay.service.name, search.request
        now = search.started_at + waited_s
        forecast = self._forecasts[service]
        others_tokens = self._queues[service].tokens_of_others(search.queue_number)
        free_s = forecast.retry_in_s(request.tokens, others_tokens, now)
        retry_after_s = retry_delay_s(self._backends.rng, request, free_s)
        forecast.record_promised_retry(request.tokens, now + retry_after_s)
        self._log.info(
            "told_to_return",
            request=search.relay.request.request_id,
            back_ms=round(retry_after_s * 1000),
            free_ms=None if free_s is None else round(free_s * 1000),
            ahead_tokens=others_tokens,
        )
        return retry_after_s

    async def _call_reserve(self, server: Server, tokens: int, duration_s: float) -> str | None:
        """Return a reservation id, or None if the server grants no reservation.

        The id is empty if the service uses no reservations (*duration_s* is zero).
        """
        dialect = self._backends.dialect
        stats = self._backends.stats(server.incarnation_id)
        if duration_s <= 0:
            return ""
        resp = await self._backends.side_call(server, dialect.reserve_call(tokens, duration_s))
        now = await curio.clock()
        if resp is None:
            stats.record_failure(now)
            return None
        if dialect.parse_signals(resp.status, resp.headers).wrong_server:
            self._backends.record_replaced(server)
            return None
        if resp.status != 200:
            stats.record_no_capacity(now, self._backends.rng)
            return None
        try:
            reservation_id = dialect.parse_reservation_id(resp.body)
        except BadHttp as exc:
            self._log.warning(
                "reservation_unreadable", server=server.incarnation_id, why=exc.detail
            )
            return None
        if reservation_id in stats.open_reservation_ids:
            # A late copy of the response to an earlier call, whose reservation another request has.
            self._log.info("reservation_repeated", server=server.incarnation_id, id=reservation_id)
            return None
        stats.open_reservation_ids.add(reservation_id)
        return reservation_id

    def _log_reserved(self, relay: Relay, request: ReservationRequest, server: Server) -> None:
        stats = self._backends.stats(server.incarnation_id)
        about = {
            **relay.log_fields,
            "server": server.incarnation_id,
            "own_tokens": stats.reserved_tokens,
        }
        self._log.info(
            "place_taken",
            request=relay.request.request_id,
            tokens=request.tokens,
            **about,
        )

    def _log_refused(self, search: _Search, why: str, waited_s: float, **facts: Any) -> None:
        relay, request = search.relay, search.request
        queue = self._queues[relay.service.name]
        # A request that a coordinator placed or refused is not in the queue.
        ahead = (
            len(queue.requests_ahead(search.queue_number, search.started_at + waited_s))
            if search.queue_number
            else None
        )
        self._log.info(
            "place_refused",
            request=relay.request.request_id,
            why=why,
            tokens=request.tokens,
            serve_s=round(request.service_s, 1),
            returned=request.is_retry,
            first_s=round(request.first_event_s, 2),
            left_s=round(request.remaining_s, 1),
            asked=search.engines_asked,
            ahead=ahead,
            waiting=len(queue),
            waited_ms=round(waited_s * 1000),
            **facts,
        )
