"""The placement coordinator: one instance that places the runs of a group of engines."""

from __future__ import annotations

import random
from bisect import bisect_right, insort
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from crankhinge.decisions._reservations import ReservationRequest
from crankhinge.decisions._routes import EngineLimits
from crankhinge.decisions._servers import Server
from crankhinge.decisions.placement._choice import placement_cost
from crankhinge.decisions.placement._engines import EngineState, Run
from crankhinge.decisions.placement._group import EngineGroup
from crankhinge.decisions.placement._memory import (
    ADMISSION_DEVIATIONS,
    BLOCK_TOKENS,
    Profile,
    RunGrowth,
    fits,
    peak,
)
from crankhinge.decisions.placement._order import (
    CLASS_CRITERIA,
    MIN_LATE_SHARE,
    AccountShares,
    ArrivalRate,
    Promises,
    Waiting,
    order_key,
)
from crankhinge.decisions.placement._prefill import PrefillBooks, PrefillOutcome
from crankhinge.decisions.placement._types import (
    PlacementDecision,
    PlacementOutcome,
    PlacementRequest,
    RunMove,
    RunReport,
)

# Seconds after which the runs of a silent owner are removed: three lost complete reports in a row.
RUN_EXPIRY_S = 3.5
# Seconds for which a grant is kept without a report of its run. An owner reports a run when it
# starts, and all of its runs every second.
GRANT_EXPIRY_S = 2.5
# Seconds from the first call until the coordinator decides. Each owner reports all of its runs
# every second.
WARM_UP_S = 1.5
# A complete report that lacks a run which was reported less than this many seconds ago may have
# been sent before the run started.
REORDER_S = 0.3
# Seconds for which ended requests are remembered, so that datagrams that arrive late do not bring
# them back.
ENDED_EXPIRY_S = 5.0
# Share of the expected answer that is reserved at the engine together with the prompt. The engine
# counts a reservation in full at once, but a run needs its memory only as it grows: the engine
# would refuse runs that the prediction over time admits. The part covers the start, in which the
# run is the newest and would be preempted first.
RESERVED_ANSWER_SHARE = 0.25
# Requests tried in one pass without success. Requests further behind need about as much memory.
MAX_TRIES = 4
# A request that has waited this many seconds lets no smaller one pass.
PASS_BY_S = 0.3

WAITING = PlacementDecision(PlacementOutcome.WAITING)
NOT_COORDINATOR = PlacementDecision(PlacementOutcome.NOT_COORDINATOR)

Granted = tuple[PlacementRequest, PlacementDecision]


@dataclass(slots=True)
class _Decided:
    """A decision that is kept, since its datagram may be lost and the request asked again."""

    waiting: Waiting
    decision: PlacementDecision
    at: float


class PlacementCoordinator:
    """Tracks which runs are on which engine of a group, and decides which request goes where.

    Args:
        rng: breaks ties.
        now: time of the runtime's clock at which it begins to coordinate.
    """

    def __init__(self, *, rng: random.Random, now: float) -> None:
        self._rng = rng
        self._started_at = now
        self._group = EngineGroup(now)
        self._waiting: dict[str, Waiting] = {}
        self._keys: list[tuple[float, ...]] = []
        self._decided: dict[str, _Decided] = {}
        self._ended: dict[str, float] = {}
        self._prefills = PrefillBooks(rng)
        self._promises = Promises()
        self._arrivals = ArrivalRate(now)

    @property
    def known_runs(self) -> int:
        """Number of runs and grants on the engines of the group."""
        return self._group.run_count

    @property
    def waiting_requests(self) -> int:
        """Number of requests that wait."""
        return len(self._waiting)

    def fullest_share(self, now: float) -> float:
        """Return the predicted peak of the fullest engine as a share of its memory."""
        if self._group.limits is None or not self._group.engines:
            return 0.0
        self._group.grid(now)
        highest = max(
            peak(engine.memory.profile, ADMISSION_DEVIATIONS)
            for engine in self._group.engines.values()
        )
        return highest / self._group.limits.kv_tokens

    def set_engines(self, engines: Iterable[Server], limits: EngineLimits, now: float) -> None:
        """Set the engines of the group; the runs of engines that are gone are forgotten.

        Engines that come after the first call are filled at a rising rate.
        """
        self._group.set_engines(engines, limits, now)

    def set_prefill_engines(self, engines: Iterable[Server], *, all_reported: bool) -> None:
        """Set the prefill engines that process the prompts of the group's runs.

        Args:
            engines: the engines.
            all_reported: whether owners report all prompts, and not only a part of them.
        """
        self._prefills.set_engines(engines, all_reported=all_reported)

    def report_prefill(
        self, run_id: str, engine: str, duration_s: float, outcome: PrefillOutcome, now: float
    ) -> None:
        """Apply an owner's report of how the processing of a prompt ended.

        Args:
            run_id: the run.
            engine: incarnation id of the prefill engine.
            duration_s: seconds from when the prompt was sent.
            outcome: how it ended.
            now: time of the runtime's clock in seconds.
        """
        self._prefills.record_result(run_id, engine, duration_s, outcome, now)

    def request(self, need: PlacementRequest, now: float) -> PlacementDecision:
        """Decide about a request; asking again for the same run returns its present state."""
        if not self.is_ready(now) or not self._group.engines:
            return NOT_COORDINATOR
        decided = self._decided.get(need.run_id)
        if decided is not None:
            return decided.decision
        if need.run_id in self._waiting or need.run_id in self._ended:
            return WAITING
        waiting = self._new_waiting(need, now)
        if waiting.may_be_in_time(now):
            self._arrivals.record(now)
        key = order_key(waiting, self._shares(), now)
        ahead = bisect_right(self._keys, key) if self._waiting else 0
        decision = None if ahead else self._try_place(waiting, now)
        if decision is None:
            decision = self._refusal(waiting, ahead, now)
        if decision is None:
            self._waiting[need.run_id] = waiting
            insort(self._keys, key)
            return WAITING
        self._decided[need.run_id] = _Decided(waiting, decision, now)
        return decision

    def engine_refused(self, run_id: str, engine: str, now: float) -> None:
        """Record that the engine itself had no room; the request waits again, at its old place."""
        decided = self._decided.get(run_id)
        if decided is None or decided.decision.engine != engine:
            return
        del self._decided[run_id]
        self._prefills.cancel(run_id, now)
        self._group.remove_run(run_id)
        self._group.record_refusal(engine, decided.decision.reserve_tokens, now)
        self._waiting[run_id] = decided.waiting

    def withdraw(self, run_id: str, now: float) -> None:
        """Forget a request whose caller is gone, or which was served elsewhere or refused."""
        self._end(run_id, now)

    def report(
        self,
        owner: str,
        runs: Sequence[RunReport],
        ended: Sequence[str],
        now: float,
        *,
        complete: bool,
    ) -> None:
        """Apply an owner's report of its runs.

        Args:
            owner: name of the instance.
            runs: its runs; all of them if *complete*. A run that has completed is in *runs*, with
                its final length, and in *ended*.
            ended: ids of runs that have ended. Those that are not in *runs* did not complete.
            now: time of the runtime's clock in seconds.
            complete: whether *runs* are all runs of the owner.
        """
        over = set(ended)
        for report in runs:
            if report.run_id in self._ended:
                continue
            if report.run_id in over:
                self._group.record_completed(report)
            elif report.engine in self._group.engines:
                # Its owner may have reserved at the engine itself while the request waited here.
                self._waiting.pop(report.run_id, None)
                self._group.put_report(report, owner, now)
        for run_id in ended:
            self._end(run_id, now)
        if complete:
            kept = {report.run_id for report in runs}
            for run_id, run in self._group.all_runs():
                is_settled = not run.is_grant and now - run.seen_at > REORDER_S
                if run.owner == owner and run_id not in kept and is_settled:
                    self._group.remove_run(run_id)

    def expire(self, now: float) -> None:
        """Remove runs of owners silent for :data:`RUN_EXPIRY_S`, and grants not taken up."""
        for run_id, run in self._group.all_runs():
            if now - run.seen_at > (GRANT_EXPIRY_S if run.is_grant else RUN_EXPIRY_S):
                self._group.remove_run(run_id)
        for run_id, decided in list(self._decided.items()):
            if now - decided.at > GRANT_EXPIRY_S:
                del self._decided[run_id]
        for run_id, at in list(self._ended.items()):
            if now - at <= ENDED_EXPIRY_S:
                break
            del self._ended[run_id]
        self._prefills.expire(now)
        self._promises.expire(now)
        self._group.expire_moves(now)

    def grants(self, now: float) -> list[Granted]:
        """Return the requests granted or refused while waiting, since the last call."""
        if not self._waiting or not self.is_ready(now):
            self._keys.clear()
            return []
        shares = self._shares()
        order = sorted(
            (order_key(waiting, shares, now), run_id) for run_id, waiting in self._waiting.items()
        )
        made: list[Granted] = []
        ahead = failed = 0
        smallest = float("inf")
        blocked: tuple[float, ...] | None = None
        is_blocked = False
        for key, run_id in order:
            waiting = self._waiting[run_id]
            decision = None
            # A smaller request may use memory that does not suffice for one before it, but not
            # take it from a more urgent one.
            is_blocked = is_blocked or blocked not in (None, key[:CLASS_CRITERIA])
            if not is_blocked and waiting.expected_tokens < smallest:
                decision = self._try_place(waiting, now)
                if decision is None:
                    failed += 1
                    smallest = waiting.expected_tokens
                    blocked = key[:CLASS_CRITERIA]
                    is_blocked = failed >= MAX_TRIES or now - waiting.asked_at > PASS_BY_S
            if decision is None:
                decision = self._refusal(waiting, ahead, now)
            if decision is None:
                ahead += 1
            else:
                del self._waiting[run_id]
                self._decided[run_id] = _Decided(waiting, decision, now)
                made.append((waiting.need, decision))
        self._keys = [key for key, run_id in order if run_id in self._waiting]
        return made

    def moves(self, now: float) -> list[RunMove]:
        """Return the moves to start now: at most one from or to an engine at a time."""
        return self._group.start_moves(now) if self.is_ready(now) else []

    def is_ready(self, now: float) -> bool:
        """Whether it has coordinated for long enough to know the runs."""
        return now - self._started_at >= WARM_UP_S

    def _new_waiting(self, need: PlacementRequest, now: float) -> Waiting:
        group = self._group
        answer = group.record_request(need)
        service_s = group.first_event_s + answer / group.tokens_per_s
        times = ReservationRequest(
            tokens=need.prompt_tokens + int(answer),
            target_s=need.target_left_s,
            remaining_s=need.remaining_s,
            event_timeout_s=need.event_timeout_s,
            is_retry=need.is_retry,
            service_s=service_s,
            first_event_s=self._group.first_event_s,
        )
        is_promised = self._promises.redeem(need, now)
        return Waiting(need, now, times, is_promised, need.prompt_tokens + answer, service_s)

    def _refusal(self, waiting: Waiting, ahead: int, now: float) -> PlacementDecision | None:
        """Return a refusal if the request will not be served before its caller gives up."""
        times, waited_s = waiting.times, now - waiting.asked_at
        turns_per_s = self._group.turns_per_s(now)
        late_per_s = max(MIN_LATE_SHARE * turns_per_s, turns_per_s - self._arrivals.per_s(now))
        turn_s = (ahead + 1) / turns_per_s
        # A request whose turn was predicted in time keeps waiting until it is late. Refused
        # as soon as its turn seemed later than the time left, the requests of accounts beside
        # a flood of another were refused although they were next.
        is_turn_in_time = turn_s <= times.max_in_time_wait_s and waiting.may_be_in_time(now)
        left_s = times.max_wait_s - waited_s
        if waiting.is_promised:
            # Its turn is kept; it waits as long as an answer is of use.
            turn_s = 0.0
        elif not is_turn_in_time:
            turn_s = (ahead + 1) / late_per_s
        if left_s >= 0 and (is_turn_in_time or turn_s <= left_s):
            return None
        retry_s = self._promises.promise(waiting, late_per_s, now)
        return PlacementDecision(PlacementOutcome.REFUSED, retry_after_s=retry_s)

    def _shares(self) -> AccountShares:
        return AccountShares(
            self._group.account_runs, {waiting.need.account for waiting in self._waiting.values()}
        )

    def _try_place(self, waiting: Waiting, now: float) -> PlacementDecision | None:
        """Grant the request a place on the best engine that admits it; None without one."""
        group, need = self._group, waiting.need
        assert group.limits is not None
        answer = waiting.expected_tokens - need.prompt_tokens
        blocks = -(-(need.prompt_tokens + RESERVED_ANSWER_SHARE * answer) // BLOCK_TOKENS)
        reserve = min(int(blocks) * BLOCK_TOKENS, group.limits.kv_tokens)
        growths: dict[float, tuple[RunGrowth, Profile]] = {}
        grid, mean_token_s = group.grid(now), 1.0 / group.tokens_per_s
        headroom = self._shares().headroom(need.account) * group.limits.kv_tokens
        demand = waiting.expected_tokens + headroom
        candidates = []
        for engine_id, engine in group.engines.items():
            if (
                demand < engine.memory.rejected_tokens
                and engine.may_start(group.limits.slots, now)
                and engine_id not in need.avoid
                and engine.server.has_version(need.version)
            ):
                token_s = engine.pace.token_s or mean_token_s
                cost = placement_cost(
                    engine,
                    engine.memory.level / group.limits.kv_tokens,
                    token_s / mean_token_s,
                    need.zone,
                    self._rng,
                )
                candidates.append((cost, engine_id, token_s))
        for _, engine_id, token_s in sorted(candidates):
            engine = group.engines[engine_id]
            if token_s not in growths:
                growth = group.new_growth(need, token_s, now)
                growths[token_s] = growth, growth.profile(now, grid)
            capacity = group.limits.kv_tokens - engine.unseen_tokens(now) - headroom
            growth, added = growths[token_s]
            # The approximation by mean and deviation exceeds the true maximum of few runs, so an
            # engine without runs, and one that holds the maxima of all its runs, always fit.
            if (
                engine.runs
                and engine.memory.bound + growth.bound > capacity
                and not fits(engine.memory.profile, capacity, ADMISSION_DEVIATIONS, added)
            ):
                engine.memory.rejected_tokens = demand
            elif group.admits(engine, need, reserve, now):
                return self._grant(engine, waiting, growth, reserve, now)
        return None

    def _grant(
        self, engine: EngineState, waiting: Waiting, growth: RunGrowth, reserve: int, now: float
    ) -> PlacementDecision:
        need = waiting.need
        report = RunReport(
            run_id=need.run_id,
            engine=engine.server.incarnation_id,
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
        engine.ramp_grants += 1
        self._group.add_run(Run(report, need.owner, now, growth, reserve, is_grant=True), now)
        reader = self._prefills.choose(
            need.run_id,
            need.prompt_tokens,
            engine.server.zone,
            now,
            decode_engine=report.engine,
        )
        return PlacementDecision(
            PlacementOutcome.GRANTED,
            report.engine,
            reserve,
            reader=reader.engine,
            is_reader_idle=reader.is_idle,
        )

    def _end(self, run_id: str, now: float) -> None:
        self._group.end_move(run_id, now, has_failed=False)
        self._prefills.cancel(run_id, now)
        self._group.remove_run(run_id)
        self._waiting.pop(run_id, None)
        self._decided.pop(run_id, None)
        self._ended.pop(run_id, None)
        self._ended[run_id] = now
