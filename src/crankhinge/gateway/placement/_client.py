"""An instance's side of placement: asks coordinators for places, and reports its runs to them."""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Any

import curio
import msgspec

from crankhinge.decisions import ReservationRequest, Server, Service, answer_left
from crankhinge.decisions.coordination import CoordinatorOrder
from crankhinge.decisions.placement import PlacementDecision, PlacementOutcome, PrefillOutcome
from crankhinge.gateway._backends import Backends
from crankhinge.gateway._peer_messenger import MAX_DATAGRAM_BYTES
from crankhinge.gateway._request import Relay
from crankhinge.gateway._running_streams import RunningStream, RunningStreams
from crankhinge.gateway.placement._engines import PlacementEngines
from crankhinge.gateway.placement._growth_share import GrowthShare
from crankhinge.gateway.placement._messages import (
    NUMBERS,
    CoordinatorLeaving,
    GroupKey,
    PlacementAsk,
    PlacementGrant,
    PlacementMessage,
    PlacementReply,
    PlacementSwitched,
    PlacementWithdrawal,
    PrefillEnded,
    RunChanges,
    RunDetails,
    RunDetailsRequest,
    RunMoveOrder,
    RunsComplete,
    RunState,
    engine_hash,
    to_counter,
    to_ms,
    to_run_id,
)
from crankhinge.gateway.placement._transport import PlacementTransport
from crankhinge.runtime import Metrics

# Seconds to wait for the response to each of the two tries of a request. A request and its response
# take 3 ms between availability zones, and about 10 ms more if the coordinator is busy. Direct
# reservation is the alternative, so it is not worth to wait for a suspended coordinator.
RESPONSE_TIMEOUTS_S = (0.05, 0.1)
# Seconds after which a waiting request asks again, in case the message with its grant was lost.
ASK_INTERVAL_S = 0.15
# Seconds between reports of all runs, and the factors by which they vary, so that instances do not
# report in step.
REPORT_INTERVAL_S = 1.0
REPORT_JITTER = (0.85, 1.0)
# Unanswered requests in a row after which a coordinator is skipped.
MAX_MISSES = 2
# Seconds for which the standby gets reports, too, after the first instance did not respond or did
# not coordinate. The standby may have coordinated before the first instance joined.
STANDBY_REPORTS_S = 3.0
# Engines that refused a granted place in a row from which on a request pauses before it asks again.
MAX_QUICK_REFUSALS = 3
# Groups that one request asks before it is refused: each costs a round trip.
MAX_GROUPS = 2
# Engines that a request names as unusable, so that it fits in one datagram.
MAX_AVOIDED = 20
REFUSED_PAUSE_S = 0.05
# Share of the processed prompts that is reported where a service has several groups of engines: a
# coordinator may receive 10 KB/s, of which it needs 9.8 without them. Without a report, the work of
# a prompt ends at its predicted end. Failures are always reported.
REPORTED_PREFILL_SHARE = 0.25

MoveHandler = Callable[[RunningStream, Server], Awaitable[Any]]


@dataclass
class PlacedRun:
    """A run of this instance at an engine, from its reservation to its end.

    Attributes:
        key: the group of engines of which a coordinator placed it.
        details: the run as it is reported; the age is that at the reservation.
        reserved_at: when its memory was reserved, on the runtime's clock.
        is_resumed: whether an earlier attempt has sent a part of the answer.
        run_id: id of the run.
    """

    key: GroupKey
    details: RunDetails
    reserved_at: float
    is_resumed: bool
    run_id: str


class _Waiter:
    """Receives the decisions about one request."""

    def __init__(self) -> None:
        self.decision: PlacementDecision | None = None
        self._event = curio.Event()

    async def deliver(self, decision: PlacementDecision) -> None:
        """Accept a decision; one that is final is not replaced by a delayed one that is not."""
        if self.decision is None or (
            self.decision.outcome is PlacementOutcome.WAITING
            and decision.outcome is not PlacementOutcome.WAITING
        ):
            self.decision = decision
            await self._event.set()

    def reset(self) -> None:
        """Forget the decision before the request is sent again."""
        self.decision = None
        self._event.clear()

    async def wait(self, seconds: float) -> PlacementDecision | None:
        """Return the next decision; None if none arrives in time."""
        if not self._event.is_set():
            await curio.ignore_after(seconds, self._event.wait)
        return self.decision

    async def wait_for_final(self, seconds: float) -> None:
        """Wait until a decision that is not WAITING arrives, or the time has passed."""
        self._event.clear()
        if self.decision is None or self.decision.outcome is PlacementOutcome.WAITING:
            await curio.ignore_after(seconds, self._event.wait)


class PlacementClient:
    """Asks the coordinators of groups of engines for places, and reports this instance's runs.

    Args:
        zone: availability zone of this instance.
        order: the order of the instances that coordinate a group.
        engines: the engines of each service.
        backends: the backend servers.
        running: the streams of this instance that run at engines.
        transport: sends and receives messages about placement.
        log: log for events.
        metrics: registry for counters.
        rng: source of random choices.

    Attributes:
        move_run: moves a run to another engine, when its coordinator asks for it; None if runs
            cannot be moved.
    """

    def __init__(
        self,
        *,
        zone: str,
        order: CoordinatorOrder,
        engines: PlacementEngines,
        backends: Backends,
        running: RunningStreams,
        transport: PlacementTransport,
        log: Any,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self.move_run: MoveHandler | None = None
        self._zone = zone
        self._order = order
        self._engines = engines
        self._backends = backends
        self._running = running
        self._transport = transport
        self._log = log
        self._metrics = metrics
        self._rng = rng
        self._shares: defaultdict[str, GrowthShare] = defaultdict(GrowthShare)
        self._waiters: dict[int, _Waiter] = {}
        self._runs: dict[int, PlacedRun] = {}
        # By the id of a group, until when its standby gets reports, too.
        self._standby_until: dict[int, float] = {}
        # Groups to which this instance has reported runs; a last report says that none is left.
        self._reported: set[GroupKey] = set()
        self._report_number = rng.randrange(NUMBERS)
        transport.add_handler(PlacementReply, self._on_reply)
        transport.add_handler(PlacementGrant, self._on_grant)
        transport.add_handler(RunDetailsRequest, self._on_details_request)
        transport.add_handler(RunMoveOrder, self._on_move_order)
        transport.add_handler(PlacementSwitched, self._on_switched)
        transport.add_handler(CoordinatorLeaving, self._on_leaving)

    def record_joined(self, name: str) -> None:
        """Record that an instance joined the fleet."""
        self._order.record_response(name)

    # Which services are coordinated.

    def record_request(self, relay: Relay) -> None:
        """Record a request's expected answer, which decides whether its service is coordinated."""
        engine = relay.service.engine
        if engine is None or engine.max_reservation_s <= 0:
            return
        share = self._shares[relay.service.name]
        was_large = share.is_large
        share.record(_expected_tokens(relay) or relay.request.max_answer_tokens, engine.kv_tokens)
        if share.is_large is not was_large:
            self._log_switched(relay.service.name, share, by_peer=False)

    async def _on_switched(self, message: PlacementSwitched, sender: str) -> None:
        share = self._shares[message.service]
        was_large = share.is_large
        share.adopt()
        if share.is_large is not was_large:
            self._log_switched(message.service, share, by_peer=True)

    def _log_switched(self, service: str, share: GrowthShare, *, by_peer: bool) -> None:
        self._log.info(
            "placement_switched",
            service=service,
            coordinated=share.is_large,
            mean_share=round(share.mean, 4),
            told=by_peer,
        )

    def is_coordinated(self, service: Service) -> bool:
        """Whether the requests of a service are placed by coordinators."""
        engine = service.engine
        return engine is not None and engine.max_reservation_s > 0 and self._is_on(service.name)

    def _is_on(self, service: str) -> bool:
        return service in self._shares and self._shares[service].is_large

    def run_id(self, counter: int) -> str:
        """Return the run id of a run of this instance."""
        return to_run_id(self._transport.name, counter)

    # Requests for places.

    def begin(
        self,
        relay: Relay,
        need: ReservationRequest,
        extra_tokens: int,
        avoid: frozenset[str],
        now: float,
    ) -> PlacementAttempt:
        """Return an attempt to get a place for a request.

        Args:
            relay: the request.
            need: its times.
            extra_tokens: tokens of the answer that another engine generated already.
            avoid: incarnation ids of engines that must not be used.
            now: time on the runtime's clock.
        """
        return PlacementAttempt(self, relay, need, extra_tokens, avoid, now)

    def choose_group(
        self, relay: Relay, now: float, avoid: frozenset[str], tried: frozenset[int]
    ) -> tuple[GroupKey, tuple[str, ...]] | None:
        """Return a group to ask, and its engines that must not be used; None if there is none.

        The engines in *avoid* are named even if this instance lists them no more: the coordinator
        may still list them, and would grant them again.
        """
        service = relay.service.name
        groups = self._engines.groups(service)
        usable = self._engines.usable(service, now, relay.request.model, avoid, relay.version)
        group = groups.choose(self._rng, usable=usable, tried=tried)
        if group is None:
            return None
        unusable = sorted(
            server.incarnation_id
            for server in self._engines.members(service, group, now)
            if server.incarnation_id not in usable
            and server.incarnation_id not in avoid
            and server.has_version(relay.version)
        )
        return GroupKey(service, group), (*sorted(avoid), *unusable)[:MAX_AVOIDED]

    def new_ask(
        self,
        relay: Relay,
        key: GroupKey,
        need: ReservationRequest,
        extra_tokens: int,
        avoid: tuple[str, ...],
    ) -> PlacementAsk:
        """Return the message that asks for a place for a request."""
        request = relay.request
        expected, most = _answer_left(relay, extra_tokens)
        return PlacementAsk(
            group_id=key.id,
            counter=to_counter(self._running.new_run_id()),
            account=relay.account_name or "",
            rank=relay.rank,
            route=relay.route.name,
            prompt_tokens=request.prompt_tokens + extra_tokens,
            expected_tokens=expected,
            max_tokens=most,
            target_ms=to_ms(need.target_s),
            timeout_ms=to_ms(min(need.event_timeout_s, need.remaining_s)),
            left_ms=to_ms(need.remaining_s),
            pause_ms=to_ms(relay.route.max_pause_s),
            is_retry=need.is_retry,
            zone=self._zone,
            avoid=avoid,
            version=relay.version,
        )

    async def ask(
        self, key: GroupKey, ask: PlacementAsk, deadline: float
    ) -> PlacementDecision | None:
        """Ask the coordinators of a group until one decides.

        Args:
            key: the group.
            ask: the request.
            deadline: time on the runtime's clock until which the request may wait.

        Returns:
            GRANTED, REFUSED, or WAITING if the deadline has passed; None if no coordinator
            responds or is ready.
        """
        waiter = self._waiters.setdefault(ask.counter, _Waiter())
        try:
            while True:
                waiter.reset()
                decision = await self._ask_coordinators(key, ask, waiter)
                if decision is None or decision.outcome is not PlacementOutcome.WAITING:
                    return decision
                ask = msgspec.structs.replace(ask, full="")
                wait_s = min(ASK_INTERVAL_S, deadline - await curio.clock())
                if wait_s <= 0:
                    return decision
                await waiter.wait_for_final(wait_s)
                if (
                    waiter.decision is not None
                    and waiter.decision.outcome is not PlacementOutcome.WAITING
                ):
                    return waiter.decision
        finally:
            self._waiters.pop(ask.counter, None)

    async def _ask_coordinators(
        self, key: GroupKey, ask: PlacementAsk, waiter: _Waiter
    ) -> PlacementDecision | None:
        now = await curio.clock()
        is_standby_ready = self._standby_until.get(key.id, now) > now
        for instance in self._order.coordinators(str(key), now):
            decision = await self._ask_instance(instance, ask, waiter)
            if decision is not None and decision.outcome is not PlacementOutcome.NOT_COORDINATOR:
                return decision
            self._use_standby(key.id, await curio.clock())
            if decision is None and not is_standby_ready:
                # The standby has no reports yet, so that it could not decide either.
                return None
            waiter.reset()
        return None

    async def _ask_instance(
        self, instance: str, ask: PlacementAsk, waiter: _Waiter
    ) -> PlacementDecision | None:
        for timeout_s in RESPONSE_TIMEOUTS_S:
            if not await self._transport.send(instance, ask):
                return None
            decision = await waiter.wait(timeout_s)
            if decision is not None:
                self._order.record_response(instance)
                return decision
            self._metrics.count("placement_unanswered")
            self._order.record_unresponsive(instance, await curio.clock())
        self._log.info("placement_unanswered", run=self.run_id(ask.counter), instance=instance)
        return None

    def _use_standby(self, group_id: int, now: float) -> None:
        self._standby_until[group_id] = now + STANDBY_REPORTS_S

    async def _on_leaving(self, message: CoordinatorLeaving, sender: str) -> None:
        now = await curio.clock()
        is_known = self._standby_until.get(message.group_id, now) > now
        self._use_standby(message.group_id, now)
        if is_known:
            return
        # The standby needs the runs at once, to be ready when the coordinator is gone.
        by_key = self._states_by_key()
        for key, states in by_key.items():
            if key.id == message.group_id:
                await self._report_all(key, states)

    async def withdraw(self, key: GroupKey, counter: int) -> None:
        """Tell the coordinators that a request needs no place any more."""
        await self._tell(key, PlacementWithdrawal(key.id, counter))

    async def _on_reply(self, message: PlacementReply, sender: str) -> None:
        waiter = self._waiters.get(message.counter)
        if waiter is not None:
            await waiter.deliver(message.decision)

    async def _on_grant(self, message: PlacementGrant, sender: str) -> None:
        counter = message.reply.counter
        waiter = self._waiters.get(counter)
        if waiter is not None:
            await waiter.deliver(message.reply.decision)
        elif counter not in self._runs and message.reply.outcome is PlacementOutcome.GRANTED:
            # The request is gone, and its withdrawal was lost.
            withdrawal = PlacementWithdrawal(message.group_id, counter)
            await self._transport.reply(sender, withdrawal)

    # Reports of runs.

    async def record_started(
        self,
        relay: Relay,
        server: Server,
        attempt: PlacementAttempt | None,
        extra_tokens: int,
    ) -> PlacedRun | None:
        """Record that memory for a run was reserved, and report the run.

        The runs of a service that is not coordinated are recorded, too, so that its coordinator
        learns of them as soon as it is.

        Args:
            relay: the request.
            server: the engine.
            attempt: the attempt that got the place; None if the engine was asked directly.
            extra_tokens: tokens of the answer that another engine generated already.

        Returns:
            The run; None if it is not reported since the engine has no group.
        """
        placed = None if attempt is None else attempt.place
        if placed is not None:
            key, counter = placed
        else:
            group = self._engines.groups(relay.service.name).group_of(server.incarnation_id)
            if group is None:
                return None
            key = GroupKey(relay.service.name, group)
            counter = to_counter(self._running.new_run_id())
        expected, most = _answer_left(relay, extra_tokens)
        details = RunDetails(
            counter=counter,
            made_tokens=0,
            engine=server.incarnation_id,
            prompt_tokens=relay.request.prompt_tokens + extra_tokens,
            expected_tokens=expected,
            max_tokens=most,
            rank=relay.rank,
            account=relay.account_name or "",
            route=relay.route.name,
            age_ms=0,
            pause_ms=to_ms(relay.route.max_pause_s),
            movable=False,
        )
        run = PlacedRun(
            key,
            details,
            await curio.clock(),
            extra_tokens > 0,
            self.run_id(counter),
        )
        self._runs[counter] = run
        if self._is_on(key.service):
            changes = (
                RunChanges(key.id, runs=(details,))
                if placed is None
                else RunChanges(key.id, started=(self._state(run),))
            )
            await self._tell(key, changes)
        return run

    async def record_ended(self, run: PlacedRun, stream: RunningStream | None) -> None:
        """Record that a run has ended, and report its end.

        Args:
            run: the run.
            stream: the attempt that ran it; None if none began.
        """
        counter = run.details.counter
        self._runs.pop(counter, None)
        if not self._is_on(run.key.service):
            return
        changes = RunChanges(run.key.id, aborted=(counter,))
        if stream is not None and stream.completed and not run.is_resumed:
            state = RunState(counter, stream.made_tokens, engine_hash(run.details.engine))
            changes = RunChanges(run.key.id, completed=(state,))
        await self._tell(run.key, changes)

    async def record_prompt_processed(
        self, run: PlacedRun, engine: str, duration_s: float, outcome: PrefillOutcome
    ) -> None:
        """Report how the processing of a run's prompt ended.

        Args:
            run: the run.
            engine: incarnation id of the prefill engine.
            duration_s: seconds from when the prompt was sent.
            outcome: how it ended.
        """
        key = run.key
        if not self._is_on(key.service):
            return
        is_sampled = self._rng.random() < REPORTED_PREFILL_SHARE
        if (
            outcome is PrefillOutcome.DONE
            and len(self._engines.groups(key.service)) > 1
            and not is_sampled
        ):
            return
        message = PrefillEnded(
            key.id, run.details.counter, engine_hash(engine), to_ms(duration_s), outcome
        )
        await self._tell(key, message)

    async def record_moved(self, stream: RunningStream) -> None:
        """Report where a run continues after an attempt to move it."""
        run = self._runs.get(to_counter(stream.run_id))
        if run is not None:
            await self._report_details(run)

    async def run(self) -> None:
        """Report all runs from time to time, until cancelled."""
        while True:
            await curio.sleep(REPORT_INTERVAL_S * self._rng.uniform(*REPORT_JITTER))
            by_key = self._states_by_key()
            for key in {*by_key, *self._reported}:
                await self._report_all(key, by_key[key])
            self._reported = {key for key, states in by_key.items() if states}

    def _states_by_key(self) -> defaultdict[GroupKey, list[RunState]]:
        by_key: defaultdict[GroupKey, list[RunState]] = defaultdict(list)
        for run in self._runs.values():
            if self._is_on(run.key.service):
                by_key[run.key].append(self._state(run))
        return by_key

    async def _report_all(self, key: GroupKey, states: Sequence[RunState]) -> None:
        self._report_number = (self._report_number + 1) % NUMBERS
        for message in split_report(key, self._report_number, states):
            await self._tell(key, message)

    def _state(self, run: PlacedRun) -> RunState:
        details = self._details(run, run.reserved_at)
        return RunState(
            details.counter, details.made_tokens, engine_hash(details.engine), details.movable
        )

    def _details(self, run: PlacedRun, now: float) -> RunDetails:
        """Return the details of a run as they are now."""
        stream = self._running.get(run.run_id)
        if stream is not None:
            run.details = msgspec.structs.replace(
                run.details,
                made_tokens=stream.made_tokens,
                engine=stream.server.incarnation_id,
                movable=self._is_movable(stream),
            )
        return msgspec.structs.replace(run.details, age_ms=to_ms(now - run.reserved_at))

    def _is_movable(self, stream: RunningStream) -> bool:
        """Whether a run may be moved now; its engine knows it only once it has sent an event."""
        engine = stream.relay.service.engine
        return (
            self.move_run is not None
            and engine is not None
            and engine.moves
            and stream.made_events > 0
        )

    async def _report_details(self, run: PlacedRun) -> None:
        details = self._details(run, await curio.clock())
        await self._tell(run.key, RunChanges(run.key.id, runs=(details,)))

    async def _on_details_request(self, message: RunDetailsRequest, sender: str) -> None:
        for counter in message.counters:
            run = self._runs.get(counter)
            if run is not None:
                await self._report_details(run)

    async def _on_move_order(self, message: RunMoveOrder, sender: str) -> None:
        stream = self._running.get(self.run_id(message.counter))
        target = self._backends.get(message.target)
        if stream is None or target is None or stream.server.incarnation_id != message.source:
            return
        await curio.spawn(self._move, stream, target, daemon=True)

    async def _move(self, stream: RunningStream, target: Server) -> None:
        if self.move_run is not None:
            await self.move_run(stream, target)
            await self.record_moved(stream)

    async def _tell(self, key: GroupKey, message: PlacementMessage) -> None:
        """Send a message to the first instance of a group, and to the standby if it is in use.

        The first instance gets it even while it does not respond, so that it is up to date when it
        responds again.
        """
        now = await curio.clock()
        ranked = self._order.ranked(str(key))
        uses_standby = (
            ranked[0] not in self._order.coordinators(str(key), now)
            or self._standby_until.get(key.id, now) > now
        )
        for instance in ranked if uses_standby else ranked[:1]:
            await self._transport.send(instance, message)


class PlacementAttempt:
    """One request's attempt to get a place: the groups and engines that it has tried."""

    def __init__(
        self,
        client: PlacementClient,
        relay: Relay,
        need: ReservationRequest,
        extra_tokens: int,
        avoid: frozenset[str],
        now: float,
    ) -> None:
        self._asked: tuple[GroupKey, PlacementAsk] | None = None
        self._run_id = ""
        self._began_at = now
        self._client = client
        self._relay = relay
        self._need = need
        self._extra_tokens = extra_tokens
        self._avoid = avoid
        self._tried: frozenset[int] = frozenset()
        self._refusals = 0

    @property
    def run_id(self) -> str:
        """Id of the run that was asked for last; empty before the first request."""
        return self._run_id

    @property
    def place(self) -> tuple[GroupKey, int] | None:
        """The group that was asked last and the counter of the run; None before the first."""
        return None if self._asked is None else (self._asked[0], self._asked[1].counter)

    async def next_decision(self, deadline: float) -> PlacementDecision | None:
        """Return the next decision: GRANTED, REFUSED, or WAITING if the deadline has passed.

        Return None if no coordinator responds or is ready, or if no group has a usable engine.

        Args:
            deadline: time on the runtime's clock until which the request may wait.
        """
        refused: PlacementDecision | None = None
        while True:
            if self._asked is None and not await self._new_ask():
                return refused
            assert self._asked is not None
            key, ask = self._asked
            decision = await self._client.ask(key, ask, deadline)
            if decision is None:
                return refused
            if decision.outcome is not PlacementOutcome.REFUSED:
                return decision
            # Another group may have room at once; of several refusals the soonest return counts.
            if refused is None or decision.retry_after_s < refused.retry_after_s:
                refused = decision
            self._tried |= {key.group}
            self._asked = None

    async def _new_ask(self) -> bool:
        relay, now = self._relay, await curio.clock()
        chosen = self._client.choose_group(relay, now, self._avoid, self._tried)
        if chosen is None or len(self._tried) >= MAX_GROUPS:
            return False
        key, unusable = chosen
        need = self._need.after(now - self._began_at)
        self._asked = key, self._client.new_ask(relay, key, need, self._extra_tokens, unusable)
        self._run_id = self._client.run_id(self._asked[1].counter)
        return True

    async def engine_refused(self, engine: str, *, avoid: bool) -> None:
        """Record that the engine of the last grant had no room, or must not be used at all.

        Args:
            engine: its incarnation id.
            avoid: whether the request must not be sent to it for another reason.
        """
        self._refusals += 1
        if avoid:
            self._avoid |= {engine}
            await self.withdraw()
            self._asked = None
        elif self._asked is not None:
            key, ask = self._asked
            self._asked = key, msgspec.structs.replace(ask, full=engine)
        if self._refusals >= MAX_QUICK_REFUSALS:
            await curio.sleep(REFUSED_PAUSE_S)

    async def withdraw(self) -> None:
        """Tell the coordinator that the request needs no place any more."""
        if self._asked is not None:
            await self._client.withdraw(self._asked[0], self._asked[1].counter)


def split_report(key: GroupKey, number: int, states: Sequence[RunState]) -> list[RunsComplete]:
    """Return the datagrams of a report of all runs, each small enough for one packet."""
    chunks: list[tuple[RunState, ...]] = [tuple(states)]
    while True:
        messages = [
            RunsComplete(key.id, number, part, len(chunks), chunk)
            for part, chunk in enumerate(chunks)
        ]
        if all(
            len(msgspec.msgpack.encode(message)) <= MAX_DATAGRAM_BYTES or len(message.runs) < 2
            for message in messages
        ):
            return messages
        size = max(1, max(len(chunk) for chunk in chunks) // 2)
        chunks = [tuple(states[at : at + size]) for at in range(0, len(states), size)]


def _expected_tokens(relay: Relay) -> int:
    """Return the caller's estimate of the answer, bounded by the maximum; 0 if unknown."""
    request = relay.request
    return min(request.expected_answer_tokens, request.max_answer_tokens)


def _answer_left(relay: Relay, answered_tokens: int) -> tuple[int, int]:
    """Return the expected and the maximum tokens of the answer that are left.

    Args:
        relay: the request.
        answered_tokens: tokens of the answer that the caller has.
    """
    return answer_left(
        relay.request.expected_answer_tokens, relay.request.max_answer_tokens, answered_tokens
    )
