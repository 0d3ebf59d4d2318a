"""Predicts the memory that the runs of an engine occupy, over the time until they have ended."""

from __future__ import annotations

import math
from collections.abc import Iterable
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


def deviations(probability: float) -> float:
    """Return how many standard deviations above the mean are exceeded with this probability."""
    return NormalDist().inv_cdf(1.0 - probability)


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

    def made_at(self, now: float) -> float:
        """Return the tokens made at the time *now*, if the answer continues until then."""
        return self.made_tokens + max(0.0, now - self.at) * self.tokens_per_s

    def add_to(self, profile: Profile, now: float, first_at: float, step_s: float) -> None:
        """Add the memory of this run to a profile."""
        means, variances = profile
        scale = 1.0 / (self.base * BIN_WIDTH)
        survival = self.survival
        made_now = min(self.made_at(now), self.max_tokens - 1.0)
        # The answer is known to be longer than what was reported, and assumed to be longer than
        # what it has made since.
        alive = survival[min(BINS, int(made_now * scale))]
        prompt = self.prompt_tokens + BLOCK_TOKENS / 2
        for index in range(POINTS):
            ahead_s = first_at + index * step_s - max(now, self.at)
            made = made_now + ahead_s * self.tokens_per_s if ahead_s > 0 else made_now
            if made >= self.max_tokens:
                return
            bin_number = int(made * scale)
            share = survival[bin_number if bin_number < BINS else BINS] / alive
            tokens = prompt + made
            mean = tokens * share
            means[index] += mean
            variances[index] += mean * (tokens - mean)


class EngineMemory:
    """Predicted memory of one engine."""

    def __init__(self) -> None:
        self._profile: Profile = ([], [])
        self._grid = (-math.inf, 0.0)
        self._is_dirty = True

    def invalidate(self) -> None:
        """Have the prediction computed again: a run was added or removed, or has grown."""
        self._is_dirty = True

    def profile(
        self, runs: Iterable[RunGrowth], now: float, first_at: float, step_s: float
    ) -> Profile:
        """Return the mean and variance of the memory at :data:`POINTS` points in time.

        Args:
            runs: the runs of the engine.
            now: time of the runtime's clock in seconds.
            first_at: time of the first point.
            step_s: seconds between the points.
        """
        if self._is_dirty or (first_at, step_s) != self._grid:
            self._profile = ([0.0] * POINTS, [0.0] * POINTS)
            for run in runs:
                run.add_to(self._profile, now, first_at, step_s)
            self._grid = first_at, step_s
            self._is_dirty = False
        return self._profile


def new_profile(run: RunGrowth, now: float, first_at: float, step_s: float) -> Profile:
    """Return the profile of a single run; see :meth:`EngineMemory.profile`."""
    profile = ([0.0] * POINTS, [0.0] * POINTS)
    run.add_to(profile, now, first_at, step_s)
    return profile


def fits(profile: Profile, added: Profile, capacity: float, factor: float) -> bool:
    """Whether mean plus *factor* standard deviations stays within the capacity at each point."""
    square = factor * factor
    for mean, variance, more, more_variance in zip(*profile, *added, strict=True):
        margin = capacity - mean - more
        if margin < 0 or margin * margin < square * (variance + more_variance):
            return False
    return True


def peak(profile: Profile, factor: float) -> float:
    """Return the largest of mean plus *factor* standard deviations."""
    return max(mean + factor * math.sqrt(variance) for mean, variance in zip(*profile, strict=True))


def overflow_probability(profile: Profile, capacity: float, points: int = POINTS) -> float:
    """Return the largest probability, over the first points, that the memory is exceeded."""
    normal = NormalDist()
    return max(
        1.0 - normal.cdf((capacity - mean) / math.sqrt(variance + 1.0))
        for mean, variance in list(zip(*profile, strict=True))[:points]
    )


def step_s(run_s: float) -> float:
    """Return the seconds between points, for runs of *run_s* seconds on average."""
    return min(MAX_STEP_S, max(MIN_STEP_S, run_s / POINTS_PER_RUN))
