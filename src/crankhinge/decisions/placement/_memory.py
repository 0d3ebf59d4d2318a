"""Predicts the memory that the runs of an engine occupy, over the time until they have ended."""

from __future__ import annotations

import math
from dataclasses import dataclass
from statistics import NormalDist

from crankhinge.decisions.placement._growth import BIN_WIDTH, BINS, Survival

# A run is admitted if, at each time until the runs have ended, the probability that the engine is
# out of memory stays at or below this.
MAX_OVERFLOW_PROBABILITY = 0.02
# Points in time at which the memory is predicted, and the duration of an average run in these
# points. The last point is at twice the average: few runs last longer, and by then most of the
# runs that are in the way of a long one have ended.
POINTS = 12
POINTS_PER_RUN = 6
MIN_STEP_S, MAX_STEP_S = 0.1, 5.0
# Memory is allocated in blocks of this many tokens.
BLOCK_TOKENS = 16
# Seconds after which predictions are computed again although no run was added or removed. Runs that
# go on are then expected to be longer.
REFRESH_S = 0.3

# Mean and variance of the memory at each point in time.
Profile = tuple[list[float], list[float]]
# Time of the first point, and the seconds between points.
Grid = tuple[float, float]


def deviations(probability: float) -> float:
    """Return how many standard deviations above the mean are exceeded with this probability."""
    return NormalDist().inv_cdf(1.0 - probability)


EMPTY_PROFILE: Profile = ([0.0] * POINTS, [0.0] * POINTS)
ADMISSION_DEVIATIONS = deviations(MAX_OVERFLOW_PROBABILITY)


@dataclass(slots=True)
class RunGrowth:
    """What the memory of a run depends on.

    Attributes:
        prompt_tokens: tokens of its prompt.
        made_tokens: tokens of the answer at the time *at*.
        at: time for which *made_tokens* holds; in the future for a run without its first event.
        tokens_per_s: pace of its engine.
        survival: survival function of the answers of its kind.
        base: length with which its answer is compared.
        max_tokens: maximum length of the answer.
    """

    prompt_tokens: int
    made_tokens: float
    at: float
    tokens_per_s: float
    survival: Survival
    base: float
    max_tokens: int

    @property
    def bound(self) -> int:
        """Memory that it occupies at most."""
        return self.prompt_tokens + self.max_tokens + BLOCK_TOKENS

    def made_at(self, now: float) -> float:
        """Return the tokens made at the time *now*, if the answer continues until then."""
        return self.made_tokens + max(0.0, now - self.at) * self.tokens_per_s

    def profile(self, now: float, grid: Grid) -> Profile:
        """Return the mean and variance of its memory at each point of a grid."""
        first_at, step_s = grid
        made = max(0.0, min(self.made_at(now), self.max_tokens - 1.0))
        scale = 1.0 / (self.base * BIN_WIDTH)
        survival, maximum = self.survival, self.max_tokens
        # The answer is known to be longer than what was reported, and assumed to be longer than
        # what it has made since.
        alive = 1.0 / survival[min(BINS, int(made * scale))]
        prompt = self.prompt_tokens + BLOCK_TOKENS / 2
        means, variances = [], []
        ahead_s = first_at - max(now, self.at)
        step_tokens = step_s * self.tokens_per_s
        for _ in range(POINTS):
            if ahead_s > 0:
                # The first of these steps may be a part of one.
                made += step_tokens if ahead_s >= step_s else ahead_s * self.tokens_per_s
                if made >= maximum:
                    break
            ahead_s += step_s
            bin_number = int(made * scale)
            share = survival[bin_number if bin_number < BINS else BINS] * alive
            tokens = prompt + made
            mean = tokens * share
            means.append(mean)
            variances.append(mean * (tokens - mean))
        rest = [0.0] * (POINTS - len(means))
        return means + rest, variances + rest


class EngineMemory:
    """Predicted memory of one engine.

    The memory of each run is computed once for each grid and report, and added to the sum or
    subtracted from it, so that a new run costs the same whatever the engine runs.

    Attributes:
        profile: mean and variance of the sum at each point of the last grid.
        level: largest mean of the sum.
        bound: memory that the runs occupy if all reach their maximum together.
        rejected_tokens: expected memory of the smallest run that did not fit, with what it had to
            leave free, as long as the runs are the same; larger runs don't fit either.
    """

    def __init__(self) -> None:
        self.level = 0.0
        self.bound = 0
        self.rejected_tokens = math.inf
        self._runs: dict[str, tuple[RunGrowth, Profile]] = {}
        self.profile = EMPTY_PROFILE
        self._grid: Grid = (-math.inf, 0.0)

    def refresh(self, grid: Grid, now: float) -> None:
        """Compute the prediction again if the grid has changed."""
        if grid != self._grid:
            self._grid = grid
            for run_id, (growth, _) in self._runs.items():
                self._runs[run_id] = growth, growth.profile(now, grid)
            rows = [profile for _, profile in self._runs.values()]
            self.profile = (
                [sum(column) for column in zip(*(row[0] for row in rows), strict=True)],
                [sum(column) for column in zip(*(row[1] for row in rows), strict=True)],
            )
            if not rows:
                self.profile = EMPTY_PROFILE
            self._changed()

    def put(self, run_id: str, growth: RunGrowth, grid: Grid, now: float) -> None:
        """Add a run. What is learned of a known run counts from the next grid on."""
        known = self._runs.get(run_id)
        if known is not None:
            self._runs[run_id] = growth, known[1]
            self.bound += growth.bound - known[0].bound
            return
        self.refresh(grid, now)
        profile = growth.profile(now, grid)
        self._runs[run_id] = growth, profile
        self.bound += growth.bound
        (means, variances), (more, more_variance) = self.profile, profile
        self.profile = (
            [old + new for old, new in zip(means, more, strict=True)],
            [old + new for old, new in zip(variances, more_variance, strict=True)],
        )
        self._changed()

    def remove(self, run_id: str) -> None:
        """Remove a run."""
        known = self._runs.pop(run_id, None)
        if known is None:
            return
        self.bound -= known[0].bound
        self.profile = without(self.profile, known[1])
        self._changed()

    def _changed(self) -> None:
        self.level = max(self.profile[0])
        self.rejected_tokens = math.inf


def fits(profile: Profile, capacity: float, factor: float, added: Profile = EMPTY_PROFILE) -> bool:
    """Whether mean plus *factor* standard deviations stays within the capacity at each point."""
    square = factor * factor
    for mean, variance, more, more_variance in zip(*profile, *added, strict=True):
        margin = capacity - mean - more
        if margin < 0 or margin * margin < square * (variance + more_variance):
            return False
    return True


def without(profile: Profile, gone: Profile) -> Profile:
    """Return a profile without that of one run."""
    # Differences of equal sums may fall below zero by rounding.
    return (
        [max(0.0, old - less) for old, less in zip(profile[0], gone[0], strict=True)],
        [max(0.0, old - less) for old, less in zip(profile[1], gone[1], strict=True)],
    )


def peak(profile: Profile, factor: float) -> float:
    """Return the largest of mean plus *factor* standard deviations."""
    return max(mean + factor * math.sqrt(variance) for mean, variance in zip(*profile, strict=True))


def overflow_probability(profile: Profile, capacity: float, points: int = POINTS) -> float:
    """Return the largest probability, over the first points, that the memory is exceeded."""
    means, variances = profile
    fewest = min(
        (capacity - mean) / math.sqrt(variance + 1.0)
        for mean, variance in zip(means[:points], variances[:points], strict=True)
    )
    return 0.5 * math.erfc(fewest / math.sqrt(2.0))


def step_s(run_s: float) -> float:
    """Return the seconds between points, for runs of *run_s* seconds on average."""
    return min(MAX_STEP_S, max(MIN_STEP_S, run_s / POINTS_PER_RUN))
