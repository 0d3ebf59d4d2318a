"""The engines of a group with their runs, and what was measured of them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import replace

from crankhinge.decisions._reservations import DEFAULT_FIRST_EVENT_S
from crankhinge.decisions._routes import EngineLimits
from crankhinge.decisions._servers import Server
from crankhinge.decisions.placement._engines import (
    DEFAULT_TOKENS_PER_S,
    EWMA_WEIGHT,
    MIN_SAMPLE_S,
    UNSEEN_S,
    EngineState,
    Run,
)
from crankhinge.decisions.placement._growth import AnswerGrowth, answer_base
from crankhinge.decisions.placement._memory import REFRESH_S, Grid, RunGrowth, step_s
from crankhinge.decisions.placement._moves import MoveChoice, choose_move
from crankhinge.decisions.placement._types import PlacementRequest, RunMove, RunReport

# Seconds between searches for moves. A shortage is predicted a second ahead.
MOVE_INTERVAL_S = 0.2
# Seconds after which a move counts as failed if its run was not reported by the target, and then
# seconds in which no other run is moved from its engine.
MOVE_TIMEOUT_S = 1.5
MOVE_PAUSE_S = 1.0
# The copy of a moved run is kept under the id of the run with this suffix.
COPY_SUFFIX = "#copy"


class EngineGroup:
    """The engines that one coordinator places runs on.

    Attributes:
        limits: capacity of an engine; None until the engines are set.
        engines: the engines by incarnation id.
        account_runs: number of runs of each account.
        growth: lengths of the answers of each route.
        first_event_s: measured seconds from the grant of a run to its first event.
        tokens_per_s: measured tokens per second of a run, over all engines.
        mean_answer: mean expected answer of the requests, in tokens.
        mean_tokens: mean expected memory of the requests.
    """

    def __init__(self, now: float) -> None:
        self.limits: EngineLimits | None = None
        self.engines: dict[str, EngineState] = {}
        self.account_runs: Counter[str] = Counter()
        self.growth = AnswerGrowth()
        self.first_event_s = DEFAULT_FIRST_EVENT_S
        self.tokens_per_s = DEFAULT_TOKENS_PER_S
        self.mean_answer = 0.0
        self.mean_tokens = 0.0
        self._unseen_until = now
        self._where: dict[str, str] = {}
        self._step_s = 0.0
        self._last_grid: Grid = (-1.0, 0.0)
        self._next_moves_at = now
        self._moves: dict[str, tuple[RunMove, float]] = {}

    @property
    def run_count(self) -> int:
        """Number of runs, grants, and copies of runs that move."""
        return len(self._where)

    def set_engines(self, engines: Iterable[Server], limits: EngineLimits, now: float) -> None:
        """Set the engines; see :meth:`PlacementCoordinator.set_engines`."""
        is_first, self.limits = self.limits is None, limits
        servers = {server.incarnation_id: server for server in engines}
        for gone in [engine_id for engine_id in self.engines if engine_id not in servers]:
            for run_id, (move, _) in list(self._moves.items()):
                if gone in (move.source, move.target):
                    self.end_move(run_id, now, has_failed=False)
            for run_id in list(self.engines[gone].runs):
                self.remove_run(run_id)
            del self.engines[gone]
        for engine_id, server in servers.items():
            known = self.engines.get(engine_id)
            if known is None:
                self.engines[engine_id] = EngineState(server, None if is_first else now)
            else:
                known.server = server

    def record_request(self, need: PlacementRequest) -> float:
        """Record a request; return the expected length of its answer, in tokens."""
        answer, _ = self.growth.remaining(need.route, 0, need.expected_tokens, need.max_tokens)
        weight = EWMA_WEIGHT if self.mean_tokens else 1.0
        self.mean_answer += weight * (answer - self.mean_answer)
        self.mean_tokens += weight * (need.prompt_tokens + answer - self.mean_tokens)
        return answer

    def record_refusal(self, engine_id: str, reserve_tokens: int, now: float) -> None:
        """Record that an engine had no room for a reservation."""
        engine = self.engines.get(engine_id)
        if engine is not None and self.limits is not None:
            engine.record_refusal(reserve_tokens, self.limits.kv_tokens, now)
            self._unseen_until = now + UNSEEN_S

    def turns_per_s(self, now: float) -> float:
        """Return how many runs end per second, by the mean duration of the runs in progress.

        The memory that a refusal showed to be in use counts as runs that are unknown here.
        """
        runs = float(len(self._where))
        if now < self._unseen_until:
            unseen = sum(engine.unseen_tokens(now) for engine in self.engines.values())
            runs += unseen / max(1.0, self.mean_tokens)
        run_s = self.first_event_s + self.mean_answer / self.tokens_per_s
        return max(1.0, runs) / max(0.1, run_s)

    def admits(self, engine: EngineState, need: PlacementRequest, reserve: int, now: float) -> bool:
        """Whether the engine will take the reservation, and pauses stay within the bounds."""
        limits = self.limits
        assert limits is not None
        if engine.tokens_now(now) + reserve > limits.kv_tokens:
            return False
        bounds = [run.report.max_pause_s for run in engine.runs.values()]
        bound_s = min((bound for bound in (*bounds, need.max_pause_s) if bound > 0), default=0.0)
        pause_s = engine.pace.pause_s(len(engine.runs) + 1, limits.tokens_per_event)
        return not bound_s or pause_s <= bound_s

    def grid(self, now: float) -> Grid:
        """Return the first point in time of the predictions, and the step between points.

        The predictions of all engines are computed again when it changes.
        """
        wanted = step_s(self.first_event_s + self.mean_answer / self.tokens_per_s)
        # Each change of the step has all predictions computed again.
        if not self._step_s or not 0.7 < wanted / self._step_s < 1.4:
            self._step_s = wanted
        grid = now // REFRESH_S * REFRESH_S, self._step_s
        if grid != self._last_grid:
            self._last_grid = grid
            for engine in self.engines.values():
                engine.memory.refresh(grid, now)
        return grid

    def new_growth(self, need: PlacementRequest, token_s: float, now: float) -> RunGrowth:
        """Return the growth of a run that is granted now, at a pace."""
        return RunGrowth(
            prompt_tokens=need.prompt_tokens,
            made_tokens=0.0,
            at=now + self.first_event_s,
            tokens_per_s=1.0 / token_s,
            survival=self.growth.survival(need.route, need.expected_tokens, need.max_tokens),
            base=answer_base(need.expected_tokens, need.max_tokens),
            max_tokens=need.max_tokens,
        )

    def put_report(self, report: RunReport, owner: str, now: float) -> None:
        """Apply the report of a run on one of the engines."""
        engine = self.engines[report.engine]
        known = engine.runs.get(report.run_id)
        if known is not None and report.made_tokens and not known.is_grant:
            self._measure_pace(engine, known.report, report, now)
        token_s = engine.pace.token_s or 1.0 / self.tokens_per_s
        first_in_s = 0.0 if report.made_tokens else max(0.0, self.first_event_s - report.age_s)
        growth = RunGrowth(
            prompt_tokens=report.prompt_tokens,
            made_tokens=float(report.made_tokens),
            at=now + first_in_s,
            tokens_per_s=1.0 / token_s,
            survival=self.growth.survival(report.route, report.expected_tokens, report.max_tokens),
            base=answer_base(report.expected_tokens, report.max_tokens),
            max_tokens=report.max_tokens,
        )
        reserved = known.reserved_tokens if known is not None else 0
        if report.run_id in self._moves and report.engine == self._moves[report.run_id][0].target:
            self.end_move(report.run_id, now, has_failed=False)
        if known is not None and known.is_grant:
            engine.refusals = 0
        self.add_run(Run(report, owner, now, growth, reserved, is_grant=False), now)

    def _measure_pace(
        self, engine: EngineState, before: RunReport, report: RunReport, now: float
    ) -> None:
        took_s, made = report.age_s - before.age_s, report.made_tokens - before.made_tokens
        if took_s < MIN_SAMPLE_S or made <= 0:
            return
        if before.made_tokens:
            if engine.pace.record(took_s / made, len(engine.runs), now):
                paces = [state.pace.token_s for state in self.engines.values()]
                measured = [token_s for token_s in paces if token_s]
                self.tokens_per_s = len(measured) / sum(measured)
        elif engine.pace.token_s:
            first_s = report.age_s - report.made_tokens * engine.pace.token_s
            self.first_event_s += EWMA_WEIGHT * (max(0.0, first_s) - self.first_event_s)

    def record_completed(self, report: RunReport) -> None:
        """Record the length of an answer that has completed."""
        if report.made_tokens:
            self.growth.record_completed(
                report.route, report.made_tokens, report.expected_tokens, report.max_tokens
            )

    def start_moves(self, now: float) -> list[RunMove]:
        """Start moves, at most one from or to an engine at a time, and return them."""
        if self.limits is None or now < self._next_moves_at:
            return []
        self._next_moves_at = now + MOVE_INTERVAL_S
        self.expire_moves(now)
        found = []
        engines, grid = list(self.engines.values()), self.grid(now)
        for source in engines:
            choice = choose_move(
                source, engines, self.limits, lambda run: self._left_tokens(run, now), grid, now
            )
            if choice is not None:
                found.append(self._start_move(choice, source, now))
        return found

    def _left_tokens(self, run: Run, now: float) -> float:
        report = run.report
        made = int(min(run.growth.made_at(now), report.max_tokens))
        left, _ = self.growth.remaining(
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
        self.add_run(replace(run, report=copy, seen_at=now, is_grant=True), now)
        move = RunMove(run_id, run.owner, run.report.engine, target_id)
        self._moves[run_id] = move, now
        return move

    def end_move(self, run_id: str, now: float, *, has_failed: bool) -> None:
        """Free the place at the target of a move, if one is in progress."""
        moved = self._moves.pop(run_id, None)
        if moved is None:
            return
        self.remove_run(run_id + COPY_SUFFIX)
        for engine_id in (moved[0].source, moved[0].target):
            engine = self.engines.get(engine_id)
            if engine is not None:
                engine.moves -= 1
        source = self.engines.get(moved[0].source)
        if has_failed and source is not None:
            source.move_paused_until = now + MOVE_PAUSE_S

    def expire_moves(self, now: float) -> None:
        """End the moves whose runs were not reported by their targets in time."""
        for run_id, (_, since) in list(self._moves.items()):
            if now - since > MOVE_TIMEOUT_S:
                self.end_move(run_id, now, has_failed=True)

    def all_runs(self) -> list[tuple[str, Run]]:
        """Return all runs with their ids."""
        return [row for engine in self.engines.values() for row in engine.runs.items()]

    def add_run(self, run: Run, now: float) -> None:
        """Add a run, or replace what is known of it."""
        engine, run_id = self.engines[run.report.engine], run.report.run_id
        known = engine.runs.get(run_id)
        if known is None:
            self.remove_run(run_id)
        else:
            self._count_account(known, -1)
        engine.add_run(run, self.grid(now), now)
        self._where[run_id] = run.report.engine
        self._count_account(run, 1)

    def _count_account(self, run: Run, change: int) -> None:
        account = run.report.account
        self.account_runs[account] += change
        if not self.account_runs[account]:
            del self.account_runs[account]

    def remove_run(self, run_id: str) -> None:
        """Remove a run, if it is known."""
        engine = self.engines.get(self._where.pop(run_id, ""))
        if engine is not None:
            self._count_account(engine.remove_run(run_id), -1)
