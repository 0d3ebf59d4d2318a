"""The coordinator's side of placement: decides about the requests of all instances for a group.

A coordinator keeps only soft state. It learns the runs of its engines from the requests that it
grants and from the reports of their owners. An instance that begins to coordinate a group decides
nothing until all owners have had time to report.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Iterable, Sequence
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Any, TypeVar

import curio

from crankhinge.decisions import EngineLimits, Membership, Server
from crankhinge.decisions.coordination import CoordinatorOrder
from crankhinge.decisions.placement import (
    RUN_EXPIRY_S,
    WARM_UP_S,
    PlacementCoordinator,
    PlacementDecision,
    PlacementOutcome,
    PlacementRequest,
    RunReport,
)
from crankhinge.gateway._discovery import Discovery
from crankhinge.gateway.placement._engines import PlacementEngines
from crankhinge.gateway.placement._messages import (
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
    is_older,
    to_counter,
    to_ms,
    to_run_id,
)
from crankhinge.gateway.placement._transport import PlacementTransport
from crankhinge.runtime import Metrics

# Seconds between checks of what changes only with time: waiting requests become late, engines that
# refused a reservation are tried again, and owners fall silent.
TICK_S = 0.05
# Seconds between checks of a group that need not be done at once.
CHECK_INTERVAL_S = 0.25
# Seconds without a message after which an instance forgets a group that it coordinates first, or as
# the standby. The standby's knowledge is complete only while the owners report to it, so it begins
# anew after two reports are missing.
FIRST_IDLE_S = 60.0
STANDBY_IDLE_S = 2.5
# A check that is late by this many seconds shows that this instance was suspended. It does not know
# the runs of that time, so it decides nothing until all owners have reported.
SUSPENDED_S = 1.0
# Seconds between messages to an instance that reports no runs, that the service is coordinated, and
# the number of such messages per round of CHECK_INTERVAL_S.
INFORM_INTERVAL_S = 5.0
INFORMED_PER_ROUND = 6
# Seconds between messages to the owners of runs that this instance is stopping, and seconds after
# the first of them from which the standby has their reports and decides instead. An instance serves
# for at least 2.5 s after it began to stop.
LEAVING_INTERVAL_S = 0.5
HANDOVER_S = 2.0
# Runs whose details are requested in one datagram, so that the response fits in a few.
MAX_UNKNOWN_RUNS = 64
# Time in seconds for which the parts of a complete report may arrive one after the other.
MAX_REPORT_S = 1.0

M = TypeVar("M", PlacementWithdrawal, PrefillEnded, RunChanges, RunsComplete)

NOT_COORDINATOR = PlacementDecision(PlacementOutcome.NOT_COORDINATOR)


@dataclass
class _KnownRun:
    """What is known about a run from its request or from its owner.

    Attributes:
        owner: name of the instance that relays it.
        report: the run as its owner reported it last.
        seen_at: when the owner last mentioned it.
        since: when the engine was asked to run it.
        asked_at: when its owner first asked for a place; None if this instance did not place it.
        waiting: whether the owner waits for a decision.
        started: whether the owner has reported that it runs.
    """

    owner: str
    report: RunReport
    seen_at: float
    since: float
    asked_at: float | None = None
    waiting: bool = False
    started: bool = False


@dataclass
class _PartialReport:
    """A complete report of which not all datagrams have arrived."""

    number: int
    began_at: float
    parts: dict[int, tuple[RunState, ...]] = field(default_factory=dict)


@dataclass
class _Group:
    """A group that this instance coordinates.

    Attributes:
        key: the group.
        coordinator: the decisions.
        used_at: when another instance, or this one as a client, last sent a message about it.
        checked_at: when it was last checked.
        engines: its engines as the decisions know them, and their limits.
        readers: its prefill engines as the decisions know them.
        runs: the runs by run id, waiting ones included.
        reports: the newest complete report of each owner.
        addresses: ``host:port`` of each owner, as its last message showed it.
        heard_at: when each address last sent a message about the group, or was told of it.
        ready_at: when this instance may decide again after it was suspended.
    """

    key: GroupKey
    coordinator: PlacementCoordinator
    used_at: float
    checked_at: float = float("-inf")
    engines: tuple[list[Server], EngineLimits] | None = None
    readers: list[Server] = field(default_factory=list)
    runs: dict[str, _KnownRun] = field(default_factory=dict)
    reports: dict[str, _PartialReport] = field(default_factory=dict)
    addresses: dict[str, str] = field(default_factory=dict)
    heard_at: dict[str, float] = field(default_factory=dict)
    ready_at: float = float("-inf")

    def record_sender(self, owner: str, address: str, now: float) -> None:
        """Record that an owner sent a message."""
        self.addresses[owner] = address
        self.heard_at[address] = now


class PlacementService:
    """Coordinates the groups of engines for which this instance is the first or the standby.

    Args:
        order: the order of the instances that coordinate a group.
        membership: the instances of the fleet.
        engines: the engines of each service.
        discovery: the configuration of the services.
        transport: sends and receives messages about placement.
        log: log for events.
        metrics: registry for counters.
        rng: source of random choices.

    Attributes:
        is_stopping: whether this instance is stopping.
    """

    def __init__(
        self,
        *,
        order: CoordinatorOrder,
        membership: Membership,
        engines: PlacementEngines,
        discovery: Discovery,
        transport: PlacementTransport,
        log: Any,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self.is_stopping: Callable[[], bool] = lambda: False
        self._order = order
        self._membership = membership
        self._engines = engines
        self._discovery = discovery
        self._transport = transport
        self._log = log
        self._metrics = metrics
        self._rng = rng
        self._groups: dict[int, _Group] = {}
        self._checked_at = float("inf")
        self._stopping_since: float | None = None
        self._leaving_sent_at = float("-inf")
        transport.add_handler(PlacementAsk, self._on_ask)
        transport.add_handler(PlacementWithdrawal, partial(self._guarded, self._on_withdrawal))
        transport.add_handler(RunChanges, partial(self._guarded, self._on_changes))
        transport.add_handler(RunsComplete, partial(self._guarded, self._on_complete))
        transport.add_handler(PrefillEnded, partial(self._guarded, self._on_prefill_ended))

    @property
    def run_count(self) -> int:
        """Number of runs that this instance knows as a coordinator."""
        return sum(group.coordinator.known_runs for group in self._groups.values())

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait for a decision of this instance."""
        return sum(group.coordinator.waiting_requests for group in self._groups.values())

    def max_peak_share(self, now: float) -> float:
        """Return the predicted peak of the fullest engine, as a share of its memory."""
        return max(
            (group.coordinator.fullest_share(now) for group in self._groups.values()), default=0.0
        )

    # Messages from owners.

    async def _guarded(
        self, handle: Callable[[M, str], Awaitable[None]], message: M, sender: str
    ) -> None:
        """Handle a message; if that fails, forget the group, as after a restart.

        A false message or a fault of the decisions must not end the task that receives the messages
        of this instance. Without a coordinator, the instances reserve directly.
        """
        try:
            await handle(message, sender)
        except Exception as exc:
            self._forget(message.group_id, exc)

    def _forget(self, group_id: int, exc: Exception) -> None:
        self._groups.pop(group_id, None)
        self._metrics.count("placement_failed")
        self._log.error("placement_failed", kind=type(exc).__name__, why=str(exc))

    async def _on_ask(self, message: PlacementAsk, sender: str) -> None:
        try:
            decision = await self._decide(message, sender)
        except Exception as exc:
            self._forget(message.group_id, exc)
            decision = NOT_COORDINATOR
        await self._transport.reply(sender, _to_reply(message.counter, decision))

    async def _decide(self, message: PlacementAsk, sender: str) -> PlacementDecision:
        now = await curio.clock()
        owner = self._transport.name_of(sender)
        group = self._group(message.group_id, now, from_report=False)
        decision = NOT_COORDINATOR
        if group is not None:
            group.record_sender(owner, sender, now)
            self._update_engines(group, now)
        if group is not None and self._may_decide(group, now):
            need = message.to_request(owner)
            if message.full:
                self._log.info("placement_no_room", run=need.run_id, server=message.full)
                self._metrics.count("placement_no_room")
                group.coordinator.engine_refused(need.run_id, message.full, now)
                await self._push(group, now)
            decision = group.coordinator.request(need, now)
            self._record_asked(group, need, decision, now)
        return decision

    async def _on_withdrawal(self, message: PlacementWithdrawal, sender: str) -> None:
        now = await curio.clock()
        group = self._groups.get(message.group_id)
        if group is None:
            return
        run_id = to_run_id(self._transport.name_of(sender), message.counter)
        group.runs.pop(run_id, None)
        group.coordinator.withdraw(run_id, now)
        await self._push(group, now)

    async def _on_changes(self, message: RunChanges, sender: str) -> None:
        now = await curio.clock()
        group = self._group(message.group_id, now, from_report=True)
        if group is None:
            return
        owner = self._transport.name_of(sender)
        group.record_sender(owner, sender, now)
        reports, unknown = self._apply_states(group, owner, message.started, now)
        reports += [self._apply_details(group, owner, run, now) for run in message.runs]
        ended = [to_run_id(owner, counter) for counter in message.aborted]
        for state in message.completed:
            run_id = to_run_id(owner, state.counter)
            ended.append(run_id)
            known = group.runs.get(run_id)
            if known is not None:
                reports.append(_current(known, state, now))
        for run_id in ended:
            group.runs.pop(run_id, None)
        group.coordinator.report(owner, reports, ended, now, complete=False)
        await self._ask_details(group, sender, unknown)
        if ended:
            await self._push(group, now)

    async def _on_complete(self, message: RunsComplete, sender: str) -> None:
        now = await curio.clock()
        group = self._group(message.group_id, now, from_report=True)
        if group is None:
            return
        owner = self._transport.name_of(sender)
        group.record_sender(owner, sender, now)
        states = _assemble(group, owner, message, now)
        if states is None:
            return
        reports, unknown = self._apply_states(group, owner, states, now)
        listed = {to_run_id(owner, state.counter) for state in states}
        for run_id, known in list(group.runs.items()):
            # A run that was granted a moment ago may have started after the report was sent.
            if known.started and run_id not in listed and known.owner == owner:
                del group.runs[run_id]
        group.coordinator.report(owner, reports, [], now, complete=True)
        await self._ask_details(group, sender, unknown)
        await self._push(group, now)

    async def _on_prefill_ended(self, message: PrefillEnded, sender: str) -> None:
        group = self._groups.get(message.group_id)
        if group is None:
            return
        run_id = to_run_id(self._transport.name_of(sender), message.counter)
        for server in group.readers:
            if engine_hash(server.incarnation_id) == message.engine_hash:
                group.coordinator.report_prefill(
                    run_id,
                    server.incarnation_id,
                    message.duration_ms / 1000,
                    message.outcome,
                    await curio.clock(),
                )

    def _apply_states(
        self, group: _Group, owner: str, states: Iterable[RunState], now: float
    ) -> tuple[list[RunReport], list[int]]:
        """Return the reports of runs, and the counters of those whose details are not known."""
        reports, unknown = [], []
        for state in states:
            known = group.runs.get(to_run_id(owner, state.counter))
            if known is None or engine_hash(known.report.engine) != state.engine_hash:
                unknown.append(state.counter)
                continue
            known.seen_at, known.started, known.waiting = now, True, False
            known.report = _current(known, state, now)
            reports.append(known.report)
        return reports, unknown

    async def _ask_details(self, group: _Group, sender: str, unknown: Sequence[int]) -> None:
        if unknown:
            request = RunDetailsRequest(group.key.id, tuple(unknown[:MAX_UNKNOWN_RUNS]))
            await self._transport.reply(sender, request)

    def _apply_details(self, group: _Group, owner: str, run: RunDetails, now: float) -> RunReport:
        report = run.to_report(owner)
        known = group.runs.get(report.run_id)
        group.runs[report.run_id] = _KnownRun(
            owner,
            report,
            now,
            now - report.age_s,
            asked_at=None if known is None else known.asked_at,
            started=True,
        )
        return report

    def _record_asked(
        self,
        group: _Group,
        need: PlacementRequest,
        decision: PlacementDecision,
        now: float,
    ) -> None:
        """Record what was decided about a request, and log it unless it just waits longer."""
        known = group.runs.get(need.run_id)
        if decision.outcome is PlacementOutcome.NOT_COORDINATOR:
            return
        was_waiting = known is not None and known.waiting
        was_granted = known is not None and known.report.engine == decision.engine
        if known is None:
            known = group.runs[need.run_id] = _KnownRun(
                need.owner, _report_of(need, ""), now, now, asked_at=now
            )
        known.seen_at = now
        known.waiting = decision.outcome is PlacementOutcome.WAITING
        self._apply_decision(group, need, decision, known, now)
        if not (was_waiting if known.waiting else was_granted):
            self._log_decision(need, decision, known, now)

    def _apply_decision(
        self,
        group: _Group,
        need: PlacementRequest,
        decision: PlacementDecision,
        known: _KnownRun,
        now: float,
    ) -> None:
        if decision.outcome is PlacementOutcome.GRANTED:
            if known.report.engine != decision.engine:
                known.report, known.since = _report_of(need, decision.engine), now
        elif decision.outcome is PlacementOutcome.REFUSED:
            group.runs.pop(need.run_id, None)

    # Decisions that are sent to owners.

    async def _push(self, group: _Group, now: float) -> None:
        """Send the decisions about waiting requests that were made since the last call."""
        if not self._may_decide(group, now):
            return
        for need, decision in group.coordinator.grants(now):
            known = group.runs.get(need.run_id)
            if known is None:
                known = group.runs[need.run_id] = _KnownRun(
                    need.owner, _report_of(need, ""), now, now
                )
            known.waiting = False
            self._apply_decision(group, need, decision, known, now)
            self._log_decision(need, decision, known, now)
            reply = _to_reply(to_counter(need.run_id), decision)
            await self._send(group, need.owner, PlacementGrant(group.key.id, reply))

    async def _send(self, group: _Group, owner: str, message: PlacementMessage) -> None:
        """Send a message to an owner, at the address of its last message."""
        address = group.addresses.get(owner)
        if address is not None:
            await self._transport.reply(address, message)

    async def _send_moves(self, group: _Group, now: float) -> None:
        if not self._may_decide(group, now):
            return
        for move in group.coordinator.moves(now):
            counter = to_counter(move.run_id)
            await self._send(
                group, move.owner, RunMoveOrder(group.key.id, counter, move.source, move.target)
            )

    async def run(self) -> None:
        """Check what changes with time, until cancelled."""
        while True:
            interval_s = TICK_S if self._groups else CHECK_INTERVAL_S
            await curio.sleep(interval_s)
            now = await curio.clock()
            self._detect_suspension(now, interval_s)
            if self.is_stopping():
                await self._hand_over(now)
            for group_id, group in list(self._groups.items()):
                try:
                    await self._check(group, now)
                except Exception as exc:
                    self._forget(group_id, exc)

    def _detect_suspension(self, now: float, interval_s: float) -> None:
        late_s = now - self._checked_at - interval_s
        if late_s > SUSPENDED_S and self._groups:
            self._log.info("placement_suspended", late_s=round(late_s, 2))
            for group in self._groups.values():
                group.ready_at = now + WARM_UP_S
        self._checked_at = now

    async def _check(self, group: _Group, now: float) -> None:
        key = group.key
        ranked = self._order.ranked(str(key))
        is_first = bool(ranked) and ranked[0] == self._transport.name
        idle_s = FIRST_IDLE_S if is_first else STANDBY_IDLE_S
        if now - group.used_at > idle_s or not self._order.is_coordinator(str(key)):
            del self._groups[key.id]
            self._log.info("placement_ended", service=key.service, group=key.group)
            return
        if self._limits(key) is None:
            del self._groups[key.id]
            return
        if now - group.checked_at >= CHECK_INTERVAL_S:
            group.checked_at = now
            self._update_engines(group, now)
            self._update_readers(group, now)
            group.coordinator.expire(now)
            for run_id, known in list(group.runs.items()):
                if now - known.seen_at > RUN_EXPIRY_S:
                    del group.runs[run_id]
            await self._send_moves(group, now)
            if is_first and key.group == 0:
                await self._inform(group, now)
        if group.coordinator.waiting_requests:
            await self._push(group, now)

    async def _hand_over(self, now: float) -> None:
        """Have the owners report to the standby, before this instance stops."""
        if self._stopping_since is None:
            self._stopping_since = now
        if now - self._leaving_sent_at < LEAVING_INTERVAL_S:
            return
        self._leaving_sent_at = now
        for group_id, group in list(self._groups.items()):
            for address in list(group.addresses.values()):
                await self._transport.reply(address, CoordinatorLeaving(group_id))

    async def _inform(self, group: _Group, now: float) -> None:
        """Tell instances that report no runs that the service is coordinated.

        An instance that has just started would otherwise reserve directly until it has seen enough
        requests of its own.
        """
        unheard = [
            address
            for address in self._membership.peer_addresses
            if now - group.heard_at.get(address, float("-inf")) > INFORM_INTERVAL_S
        ]
        for address in unheard[:INFORMED_PER_ROUND]:
            group.heard_at[address] = now
            await self._transport.reply(address, PlacementSwitched(group.key.service))

    # Groups.

    def _group(self, group_id: int, now: float, *, from_report: bool) -> _Group | None:
        """Return a group; None if this instance does not coordinate it.

        The standby begins to coordinate only when an owner reports its runs, which shows that the
        first instance does not respond to that owner. A request alone would make it wait for
        reports that never come, and then place runs on engines that it takes for empty.
        """
        group = self._groups.get(group_id)
        if group is None:
            key = self._engines.key_of(group_id, self._services())
            if key is None:
                return None
            ranked = self._order.ranked(str(key))
            may_begin = ranked[0] == self._transport.name or (
                from_report and self._transport.name in ranked
            )
            limits = self._limits(key)
            if not may_begin or limits is None or not self._membership.has_counted_instances(now):
                return None
            coordinator = PlacementCoordinator(rng=self._rng, now=now)
            group = self._groups[group_id] = _Group(key, coordinator, now)
            self._update_engines(group, now)
            self._update_readers(group, now)
            self._log.info(
                "placement_began",
                service=key.service,
                group=key.group,
                first=ranked[0] == self._transport.name,
                engines=len(self._engines.members(key.service, key.group, now)),
            )
        group.used_at = now
        return group

    def _may_decide(self, group: _Group, now: float) -> bool:
        """Whether this instance decides now: it was not suspended, and has not handed over."""
        has_handed_over = (
            self._stopping_since is not None and now - self._stopping_since >= HANDOVER_S
        )
        return now >= group.ready_at and not has_handed_over

    def _services(self) -> list[str]:
        config = self._discovery.config
        if config is None:
            return []
        return [name for name, service in config.services.items() if service.engine is not None]

    def _limits(self, key: GroupKey) -> EngineLimits | None:
        config = self._discovery.config
        service = config.services.get(key.service) if config is not None else None
        return None if service is None else service.engine

    def _update_engines(self, group: _Group, now: float) -> None:
        """Apply the engines of the list of servers, if they have changed."""
        limits = self._limits(group.key)
        if limits is None:
            return
        members = self._engines.members(group.key.service, group.key.group, now)
        if group.engines != (members, limits):
            group.engines = members, limits
            group.coordinator.set_engines(members, limits, now)

    def _update_readers(self, group: _Group, now: float) -> None:
        """Apply the prefill engines of the list of servers, if they have changed.

        This is not done for each request, since it scans all servers. An instance that is named an
        engine which it cannot use chooses another one.
        """
        readers = self._engines.readers(group.key.service, group.key.group, now)
        if group.readers != readers:
            group.readers = readers
            is_single = len(self._engines.groups(group.key.service)) == 1
            group.coordinator.set_prefill_engines(readers, all_reported=is_single)

    def _log_decision(
        self,
        need: PlacementRequest,
        decision: PlacementDecision,
        known: _KnownRun,
        now: float,
    ) -> None:
        fields: dict[str, Any] = {
            "run": need.run_id,
            "route": need.route,
            "account": need.account,
            "rank": need.rank,
            "prompt": need.prompt_tokens,
            "likely": need.expected_tokens,
            "most": need.max_tokens,
            "target_ms": to_ms(need.target_left_s),
            "returned": need.is_retry,
            "waited_ms": to_ms(now - (known.since if known.asked_at is None else known.asked_at)),
        }
        if decision.outcome is PlacementOutcome.GRANTED:
            fields.update(
                server=decision.engine,
                tokens=decision.reserve_tokens,
                reader=decision.reader,
                reader_idle=decision.is_reader_idle,
            )
        elif decision.outcome is PlacementOutcome.REFUSED:
            fields["back_ms"] = to_ms(decision.retry_after_s)
            is_late = fields["waited_ms"] > fields["target_ms"]
            reason = "returned" if need.is_retry else "late" if is_late else "in_time"
            self._metrics.count(f"placement_refused.{reason}")
        self._metrics.count(f"placement_{decision.outcome.value}")
        self._log.info(f"placement_{decision.outcome.value}", **fields)


def _assemble(
    group: _Group, owner: str, message: RunsComplete, now: float
) -> list[RunState] | None:
    """Return all runs of a complete report; None until all of its datagrams have arrived."""
    report = group.reports.get(owner)
    if report is not None and is_older(message.number, report.number):
        # A datagram that was delayed says less than a newer one.
        return None
    if report is None or message.number != report.number:
        report = group.reports[owner] = _PartialReport(message.number, now)
    is_new = message.part not in report.parts
    report.parts[message.part] = message.runs
    if not is_new or len(report.parts) < message.parts or now - report.began_at > MAX_REPORT_S:
        return None
    return [state for part in report.parts.values() for state in part]


def _to_reply(counter: int, decision: PlacementDecision) -> PlacementReply:
    return PlacementReply(
        counter,
        decision.outcome,
        decision.engine,
        decision.reserve_tokens,
        to_ms(decision.retry_after_s),
        decision.reader,
        decision.is_reader_idle,
    )


def _report_of(need: PlacementRequest, engine: str) -> RunReport:
    """Return the report of a run that its owner has not reported yet."""
    return RunReport(
        run_id=need.run_id,
        engine=engine,
        prompt_tokens=need.prompt_tokens,
        expected_tokens=need.expected_tokens,
        max_tokens=need.max_tokens,
        made_tokens=0,
        rank=need.rank,
        account=need.account,
        route=need.route,
        age_s=0.0,
        movable=False,
        max_pause_s=need.max_pause_s,
    )


def _current(known: _KnownRun, state: RunState, now: float) -> RunReport:
    """Return the report of a run with its present state and age."""
    return replace(
        known.report,
        made_tokens=state.made_tokens,
        movable=state.movable,
        age_s=now - known.since,
    )
