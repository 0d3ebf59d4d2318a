"""Which run leaves an engine for which other one."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from crankhinge.decisions._routes import EngineLimits
from crankhinge.decisions.placement._engines import EngineState, Run
from crankhinge.decisions.placement._memory import (
    MAX_OVERFLOW_PROBABILITY,
    Grid,
    deviations,
    fits,
    overflow_probability,
    without,
)

# Seconds ahead for which an engine is predicted to run out of memory. A move takes milliseconds,
# and what is predicted for later is mostly solved by runs that end.
MOVE_HORIZON_S = 1.0
# Engines less likely than this to preempt a run are not considered.
MIN_PROBABILITY = 0.05
# Cost of a move within a zone, in seconds of streams: a few hundredths of a second of pause for the
# run, and its price. Between zones it is multiplied by the factor.
MOVE_COST_S = 0.25
OTHER_ZONE_MOVE_FACTOR = 2.0
# Assumed tokens per second at which an engine processes the memory of a preempted run again, while
# its other runs wait.
PROMPT_TOKENS_PER_S = 50_000.0
# Cost of a run that its engine breaks off, or that pauses for longer than its caller accepts: more
# than a move between zones.
LOST_RUN_S = 1.0
# Probability of running out of memory up to which an engine is a target. A target that is near the
# threshold of admission would move the run on.
TARGET_DEVIATIONS = deviations(MAX_OVERFLOW_PROBABILITY / 2.0)
# A run on an engine that leaves is moved if it is expected to take this many seconds more.
MIN_LEFT_S = 0.3


@dataclass(frozen=True, slots=True)
class MoveChoice:
    """A run to move, and the engine to move it to."""

    run: Run
    target: EngineState


def choose_move(
    source: EngineState,
    engines: Iterable[EngineState],
    limits: EngineLimits,
    left_tokens: Callable[[Run], float],
    grid: Grid,
    now: float,
) -> MoveChoice | None:
    """Return the move that saves more than it costs, if there is one.

    Args:
        source: the engine that runs may leave.
        engines: all engines of the group.
        limits: capacity of an engine.
        left_tokens: returns the expected remaining tokens of a run.
        grid: points in time of the predictions.
        now: time of the runtime's clock in seconds.
    """
    if source.moves or source.move_paused_until > now:
        return None
    is_lost = source.server.leaving or _breaks_pause_bound(source, limits)
    probability = 1.0 if is_lost else _overflow(source, limits, grid, now)
    if probability < MIN_PROBABILITY:
        return None
    movable = [run for run in source.runs.values() if run.report.movable and not run.is_grant]
    if source.server.leaving:
        movable = [
            run for run in movable if left_tokens(run) / run.growth.tokens_per_s > MIN_LEFT_S
        ]
    again_s = max((run.tokens_now(now) for run in movable), default=0.0) / PROMPT_TOKENS_PER_S
    saved_s = LOST_RUN_S if is_lost else probability * again_s * len(source.runs)
    if saved_s <= MOVE_COST_S:
        return None
    run = _run_to_move(source, movable, limits, left_tokens, grid, now)
    return None if run is None else _to_target(source, run, engines, limits, saved_s, grid, now)


def _run_to_move(
    source: EngineState,
    movable: list[Run],
    limits: EngineLimits,
    left_tokens: Callable[[Run], float],
    grid: Grid,
    now: float,
) -> Run | None:
    """Return the smallest run whose move solves the shortage, else that which grows most."""
    growing = sorted(movable, key=lambda run: -left_tokens(run))
    if source.server.leaving or not growing:
        return growing[0] if growing else None
    profile = source.memory.profile
    for run in sorted(movable, key=lambda run: run.tokens_now(now)):
        rest = without(profile, run.growth.profile(now, grid))
        if fits(rest, limits.kv_tokens, TARGET_DEVIATIONS):
            return run
    return growing[0]


def _to_target(
    source: EngineState,
    run: Run,
    engines: Iterable[EngineState],
    limits: EngineLimits,
    saved_s: float,
    grid: Grid,
    now: float,
) -> MoveChoice | None:
    best, best_cost = None, math.inf
    added = run.growth.profile(now, grid)
    for engine in engines:
        if engine is source or engine.moves or not engine.may_start(limits.slots, now):
            continue
        if not engine.server.has_version(source.server.version):
            continue
        is_near = engine.server.zone == source.server.zone
        cost_s = MOVE_COST_S * (1.0 if is_near else OTHER_ZONE_MOVE_FACTOR)
        profile = engine.memory.profile
        capacity = limits.kv_tokens - engine.unseen_tokens(now)
        if (
            cost_s < saved_s
            and engine.tokens_now(now) + run.tokens_now(now) <= capacity
            and fits(profile, capacity, TARGET_DEVIATIONS, added)
        ):
            cost = cost_s * (1.0 + engine.memory.level / limits.kv_tokens)
            if cost < best_cost:
                best, best_cost = engine, cost
    return None if best is None else MoveChoice(run, best)


def _breaks_pause_bound(engine: EngineState, limits: EngineLimits) -> bool:
    bounds = [run.report.max_pause_s for run in engine.runs.values() if run.report.max_pause_s > 0]
    pause_s = engine.pace.pause_s(len(engine.runs), limits.tokens_per_event)
    return bool(bounds) and pause_s > min(bounds)


def _overflow(engine: EngineState, limits: EngineLimits, grid: Grid, now: float) -> float:
    """Return the probability that the engine runs out of memory within the horizon."""
    first_at, step_s = grid
    points = 1 + math.ceil((now + MOVE_HORIZON_S - first_at) / step_s)
    capacity = limits.kv_tokens - engine.unseen_tokens(now)
    return overflow_probability(engine.memory.profile, capacity, points)
