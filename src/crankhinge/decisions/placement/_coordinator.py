"""The placement coordinator: one instance that places the runs of a group of engines."""

from __future__ import annotations

import random
from bisect import bisect_left, insort
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from crankhinge.decisions._reservations import DEFAULT_FIRST_EVENT_S, ReservationRequest
from crankhinge.decisions._routes import EngineLimits
from crankhinge.decisions._servers import Server
from crankhinge.decisions.placement._choice import placement_cost
from crankhinge.decisions.placement._engines import (
    DEFAULT_TOKENS_PER_S,
    EWMA_WEIGHT,
    MIN_SAMPLE_S,
    EngineState,
    Run,
)
from crankhinge.decisions.placement._growth import AnswerGrowth, answer_base
from crankhinge.decisions.placement._memory import (
    ADMISSION_DEVIATIONS,
    BLOCK_TOKENS,
    REFRESH_S,
    Grid,
    Profile,
    RunGrowth,
    fits,
    peak,
    step_s,
)
from crankhinge.decisions.placement._moves import MoveChoice, choose_move
from crankhinge.decisions.placement._order import (
    MIN_LATE_SHARE,
    AccountShares,
    ArrivalRate,
    Promises,
    Urgency,
    Waiting,
    order_key,
)
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
# Seconds between searches for moves. A shortage is predicted a second ahead.
MOVE_INTERVAL_S = 0.1
# Seconds after which a move counts as failed if its run was not reported by the target, and then
# seconds in which no other run is moved from its engine.
MOVE_TIMEOUT_S = 1.5
MOVE_PAUSE_S = 1.0
# The copy of a moved run is kept under the id of the run with this suffix.
COPY_SUFFIX = "#copy"
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
        self._limits: EngineLimits | None = None
        self._engines: dict[str, EngineState] = {}
        self._where: dict[str, str] = {}
        self._account_runs: Counter[str] = Counter()
        self._growth = AnswerGrowth()
        self._first_event_s = DEFAULT_FIRST_EVENT_S
        self._tokens_per_s = DEFAULT_TOKENS_PER_S
        self._mean_answer = 0.0
        self._step_s = 0.0
        self._waiting: dict[str, Waiting] = {}
        self._keys: list[tuple[float, ...]] = []
        self._decided: dict[str, _Decided] = {}
        self._ended: dict[str, float] = {}
        self._next_moves_at = now
        self._moves: dict[str, tuple[RunMove, float]] = {}
        self._promises = Promises()
        self._arrivals = ArrivalRate(now)

    @property
    def known_runs(self) -> int:
        """Number of runs and grants on the engines of the group."""
        return len(self._where)

    @property
    def waiting_requests(self) -> int:
        """Number of requests that wait."""
        return len(self._waiting)

    def fullest_share(self, now: float) -> float:
        """Return the predicted peak of the fullest engine as a share of its memory."""
        if self._limits is None or not self._engines:
            return 0.0
        highest = max(
            peak(engine.memory.refresh(self._grid(now), now), ADMISSION_DEVIATIONS)
            for engine in self._engines.values()
        )
        return highest / self._limits.kv_tokens

    def set_engines(self, engines: Iterable[Server], limits: EngineLimits, now: float) -> None:
        """Set the engines of the group; the runs of engines that are gone are forgotten.

        Engines that come after the first call are filled at a rising rate.
        """
        is_first, self._limits = self._limits is None, limits
        servers = {server.incarnation_id: server for server in engines}
        for gone in [engine_id for engine_id in self._engines if engine_id not in servers]:
            for run_id, (move, _) in list(self._moves.items()):
                if gone in (move.source, move.target):
                    self._end_move(run_id, now, has_failed=False)
            for run_id in list(self._engines[gone].runs):
                self._remove_run(run_id)
            del self._engines[gone]
        for engine_id, server in servers.items():
            known = self._engines.get(engine_id)
            if known is None:
                self._engines[engine_id] = EngineState(server, None if is_first else now)
            else:
                known.server = server

    def request(self, need: PlacementRequest, now: float) -> PlacementDecision:
        """Decide about a request; asking again for the same run returns its present state."""
        if not self.is_ready(now) or not self._engines:
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
        ahead = bisect_left(self._keys, key) if self._waiting else 0
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
        self._remove_run(run_id)
        state = self._engines.get(engine)
        if state is not None and self._limits is not None:
            state.record_refusal(decided.decision.reserve_tokens, self._limits.kv_tokens, now)
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
                self._record_completed(report)
            elif report.engine in self._engines:
                self._put_report(report, owner, now)
        for run_id in ended:
            self._end(run_id, now)
        if complete:
            kept = {report.run_id for report in runs}
            for run_id, run in self._all_runs():
                is_settled = not run.is_grant and now - run.seen_at > REORDER_S
                if run.owner == owner and run_id not in kept and is_settled:
                    self._remove_run(run_id)

    def expire(self, now: float) -> None:
        """Remove runs of owners silent for :data:`RUN_EXPIRY_S`, and grants not taken up."""
        for run_id, run in self._all_runs():
            if now - run.seen_at > (GRANT_EXPIRY_S if run.is_grant else RUN_EXPIRY_S):
                self._remove_run(run_id)
        for run_id, decided in list(self._decided.items()):
            if now - decided.at > GRANT_EXPIRY_S:
                del self._decided[run_id]
        for run_id, at in list(self._ended.items()):
            if now - at <= ENDED_EXPIRY_S:
                break
            del self._ended[run_id]
        self._promises.expire(now)
        self._expire_moves(now)

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
        is_blocked = False
        for _, run_id in order:
            waiting = self._waiting[run_id]
            decision = None
            if not is_blocked and waiting.expected_tokens < smallest:
                decision = self._try_place(waiting, now)
                if decision is None:
                    failed += 1
                    smallest = waiting.expected_tokens
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
        if self._limits is None or not self.is_ready(now) or now < self._next_moves_at:
            return []
        self._next_moves_at = now + MOVE_INTERVAL_S
        self._expire_moves(now)
        found = []
        engines, grid = list(self._engines.values()), self._grid(now)
        for source in engines:
            choice = choose_move(
                source, engines, self._limits, lambda run: self._left_tokens(run, now), grid, now
            )
            if choice is not None:
                found.append(self._start_move(choice, source, now))
        return found

    def is_ready(self, now: float) -> bool:
        """Whether it has coordinated for long enough to know the runs."""
        return now - self._started_at >= WARM_UP_S

    def _new_waiting(self, need: PlacementRequest, now: float) -> Waiting:
        answer, _ = self._growth.remaining(need.route, 0, need.expected_tokens, need.max_tokens)
        tokens_per_s = self._tokens_per_s
        service_s = self._first_event_s + answer / tokens_per_s
        self._mean_answer += (EWMA_WEIGHT if self._mean_answer else 1.0) * (
            answer - self._mean_answer
        )
        times = ReservationRequest(
            tokens=need.prompt_tokens + int(answer),
            target_s=need.target_left_s,
            remaining_s=need.remaining_s,
            event_timeout_s=need.event_timeout_s,
            is_retry=need.is_retry,
            service_s=service_s,
            first_event_s=self._first_event_s,
        )
        is_promised = self._promises.redeem(need, now)
        return Waiting(need, now, times, is_promised, need.prompt_tokens + answer, service_s)

    def _refusal(self, waiting: Waiting, ahead: int, now: float) -> PlacementDecision | None:
        """Return a refusal if the request will not be served before its caller gives up."""
        left_s = waiting.times.max_wait_s - (now - waiting.asked_at)
        turns_per_s = self._turns_per_s()
        late_per_s = max(MIN_LATE_SHARE * turns_per_s, turns_per_s - self._arrivals.per_s(now))
        in_time_left_s = waiting.times.max_in_time_wait_s - (now - waiting.asked_at)
        turn_s = (ahead + 1) / turns_per_s
        if waiting.urgency(now) is Urgency.LATE or turn_s > in_time_left_s:
            turn_s = (ahead + 1) / late_per_s
        if turn_s <= left_s:
            return None
        retry_s = self._promises.promise(waiting, late_per_s, ahead, now)
        return PlacementDecision(PlacementOutcome.REFUSED, retry_after_s=retry_s)

    def _turns_per_s(self) -> float:
        """Return how many runs end per second, by the mean duration of the runs in progress."""
        run_s = self._first_event_s + self._mean_answer / self._tokens_per_s
        return max(1.0, len(self._where)) / max(0.1, run_s)

    def _shares(self) -> AccountShares:
        return AccountShares(
            self._account_runs, {waiting.need.account for waiting in self._waiting.values()}
        )

    def _try_place(self, waiting: Waiting, now: float) -> PlacementDecision | None:
        """Grant the request a place on the best engine that admits it; None without one."""
        assert self._limits is not None
        need = waiting.need
        answer = waiting.expected_tokens - need.prompt_tokens
        blocks = -(-(need.prompt_tokens + RESERVED_ANSWER_SHARE * answer) // BLOCK_TOKENS)
        reserve = min(int(blocks) * BLOCK_TOKENS, self._limits.kv_tokens)
        growths: dict[float, tuple[RunGrowth, Profile]] = {}
        grid, mean_token_s = self._grid(now), 1.0 / self._tokens_per_s
        candidates = []
        for engine_id, engine in self._engines.items():
            profile = engine.memory.refresh(grid, now)
            if (
                waiting.expected_tokens < engine.memory.rejected_tokens
                and engine.may_start(self._limits.slots, now)
                and engine_id not in need.avoid
            ):
                token_s = engine.pace.token_s or mean_token_s
                cost = placement_cost(
                    engine,
                    engine.memory.level / self._limits.kv_tokens,
                    token_s / mean_token_s,
                    need.zone,
                    self._rng,
                )
                candidates.append((cost, engine_id, token_s, profile))
        for _, engine_id, token_s, profile in sorted(candidates):
            engine = self._engines[engine_id]
            if token_s not in growths:
                growth = self._new_growth(need, token_s, now)
                growths[token_s] = growth, growth.profile(now, grid)
            capacity = self._limits.kv_tokens - engine.unseen_tokens(now)
            growth, added = growths[token_s]
            # The approximation by mean and deviation exceeds the true maximum of few runs, so an
            # engine without runs, and one that holds the maxima of all its runs, always fit.
            if (
                engine.runs
                and engine.memory.bound + growth.bound > capacity
                and not fits(profile, capacity, ADMISSION_DEVIATIONS, added)
            ):
                engine.memory.rejected_tokens = waiting.expected_tokens
            elif self._engine_admits(engine, need, reserve, now):
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
        self._add_run(Run(report, need.owner, now, growth, reserve, is_grant=True), now)
        return PlacementDecision(PlacementOutcome.GRANTED, report.engine, reserve)

    def _engine_admits(
        self, engine: EngineState, need: PlacementRequest, reserve: int, now: float
    ) -> bool:
        """Whether the engine will take the reservation, and pauses stay within the bounds."""
        limits = self._limits
        assert limits is not None
        if engine.tokens_now(now) + reserve > limits.kv_tokens:
            return False
        bounds = [run.report.max_pause_s for run in engine.runs.values()]
        bound_s = min((bound for bound in (*bounds, need.max_pause_s) if bound > 0), default=0.0)
        pause_s = engine.pace.pause_s(len(engine.runs) + 1, limits.tokens_per_event)
        return not bound_s or pause_s <= bound_s

    def _grid(self, now: float) -> Grid:
        """Return the first point in time of the predictions, and the step between points."""
        wanted = step_s(self._first_event_s + self._mean_answer / self._tokens_per_s)
        # Each change of the step has all predictions computed again.
        if not self._step_s or not 0.7 < wanted / self._step_s < 1.4:
            self._step_s = wanted
        return now // REFRESH_S * REFRESH_S, self._step_s

    def _new_growth(self, need: PlacementRequest, token_s: float, now: float) -> RunGrowth:
        return RunGrowth(
            prompt_tokens=need.prompt_tokens,
            made_tokens=0.0,
            at=now + self._first_event_s,
            tokens_per_s=1.0 / token_s,
            survival=self._growth.survival(need.route, need.expected_tokens, need.max_tokens),
            base=answer_base(need.expected_tokens, need.max_tokens),
            max_tokens=need.max_tokens,
        )

    def _put_report(self, report: RunReport, owner: str, now: float) -> None:
        engine = self._engines[report.engine]
        known = engine.runs.get(report.run_id)
        if known is not None and report.made_tokens and not known.is_grant:
            self._measure_pace(engine, known.report, report, now)
        token_s = engine.pace.token_s or 1.0 / self._tokens_per_s
        first_in_s = 0.0 if report.made_tokens else max(0.0, self._first_event_s - report.age_s)
        growth = RunGrowth(
            prompt_tokens=report.prompt_tokens,
            made_tokens=float(report.made_tokens),
            at=now + first_in_s,
            tokens_per_s=1.0 / token_s,
            survival=self._growth.survival(report.route, report.expected_tokens, report.max_tokens),
            base=answer_base(report.expected_tokens, report.max_tokens),
            max_tokens=report.max_tokens,
        )
        reserved = known.reserved_tokens if known is not None else 0
        if report.run_id in self._moves and report.engine == self._moves[report.run_id][0].target:
            self._end_move(report.run_id, now, has_failed=False)
        engine.refusals = 0
        self._add_run(Run(report, owner, now, growth, reserved, is_grant=False), now)

    def _measure_pace(
        self, engine: EngineState, before: RunReport, report: RunReport, now: float
    ) -> None:
        took_s, made = report.age_s - before.age_s, report.made_tokens - before.made_tokens
        if took_s < MIN_SAMPLE_S or made <= 0:
            return
        if before.made_tokens:
            if engine.pace.record(took_s / made, len(engine.runs), now):
                paces = [state.pace.token_s for state in self._engines.values()]
                measured = [token_s for token_s in paces if token_s]
                self._tokens_per_s = len(measured) / sum(measured)
        elif engine.pace.token_s:
            first_s = report.age_s - report.made_tokens * engine.pace.token_s
            self._first_event_s += EWMA_WEIGHT * (max(0.0, first_s) - self._first_event_s)

    def _record_completed(self, report: RunReport) -> None:
        if report.made_tokens:
            self._growth.record_completed(
                report.route, report.made_tokens, report.expected_tokens, report.max_tokens
            )

    def _left_tokens(self, run: Run, now: float) -> float:
        report = run.report
        made = int(min(run.growth.made_at(now), report.max_tokens))
        left, _ = self._growth.remaining(
            report.route, made, report.expected_tokens, report.max_tokens
        )
        return left

    def _start_move(self, choice: MoveChoice, source: EngineState, now: float) -> RunMove:
        """Occupy the place at the target until the run is reported there."""
        run, target = choice.run, choice.target
        run_id, target_id = run.report.run_id, target.server.incarnation_id
        source.moves += 1
        target.moves += 1
        copy = replace(run.report, run_id=run_id + COPY_SUFFIX, engine=target_id)
        self._add_run(replace(run, report=copy, seen_at=now, is_grant=True), now)
        move = RunMove(run_id, run.owner, run.report.engine, target_id)
        self._moves[run_id] = move, now
        return move

    def _end_move(self, run_id: str, now: float, *, has_failed: bool) -> None:
        moved = self._moves.pop(run_id, None)
        if moved is None:
            return
        self._remove_run(run_id + COPY_SUFFIX)
        for engine_id in (moved[0].source, moved[0].target):
            engine = self._engines.get(engine_id)
            if engine is not None:
                engine.moves -= 1
        source = self._engines.get(moved[0].source)
        if has_failed and source is not None:
            source.move_paused_until = now + MOVE_PAUSE_S

    def _expire_moves(self, now: float) -> None:
        for run_id, (_, since) in list(self._moves.items()):
            if now - since > MOVE_TIMEOUT_S:
                self._end_move(run_id, now, has_failed=True)

    def _all_runs(self) -> list[tuple[str, Run]]:
        return [row for engine in self._engines.values() for row in engine.runs.items()]

    def _add_run(self, run: Run, now: float) -> None:
        engine, run_id = self._engines[run.report.engine], run.report.run_id
        if self._where.get(run_id) != run.report.engine:
            self._remove_run(run_id)
            self._account_runs[run.report.account] += 1
        engine.runs[run_id] = run
        engine.memory.put(run_id, run.growth, self._grid(now), now)
        self._where[run_id] = run.report.engine

    def _remove_run(self, run_id: str) -> None:
        engine = self._engines.get(self._where.pop(run_id, ""))
        if engine is not None:
            run = engine.runs.pop(run_id)
            engine.memory.remove(run_id)
            self._account_runs[run.report.account] -= 1
            if not self._account_runs[run.report.account]:
                del self._account_runs[run.report.account]

    def _end(self, run_id: str, now: float) -> None:
        self._end_move(run_id, now, has_failed=False)
        self._remove_run(run_id)
        self._waiting.pop(run_id, None)
        self._decided.pop(run_id, None)
        self._ended.pop(run_id, None)
        self._ended[run_id] = now
