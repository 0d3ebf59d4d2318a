"""How long answers become, compared with the estimates of their callers."""

from __future__ import annotations

import math
from bisect import bisect_right

# Survival function of length divided by estimate, assumed until answers of the route have
# completed: of the answers at the customers, 9 in 10 were longer than 0.56 times the estimate, 1 in
# 10 longer than 2.0 times, and 1 in 100 longer than 3.3 times.
PRIOR = ((0.0, 1.0), (0.56, 0.9), (1.03, 0.5), (2.0, 0.1), (3.3, 0.01), (6.0, 0.0005))
# Number of completed answers that count as much as the assumption. It also keeps the survival
# function above zero past the longest answer seen.
PRIOR_ANSWERS = 20.0
# Weight of an answer compared with the one before it: the last 300 determine the distribution.
RECENCY = 1.0 + 1.0 / 300.0
# Ratios are kept in bins of this width; longer answers count in the last bin.
BIN_WIDTH = 0.05
BINS = 120
# Answers are kept apart by their estimate as a share of the maximum. Estimates near the maximum are
# too long more often than short ones, since the maximum bounds the answer.
ESTIMATE_CLASSES = 4
# The survival function is computed again after this share of new answers.
REBUILD_SHARE = 0.05
# Where no estimate is known, the answer is compared with this share of the maximum.
UNKNOWN_SHARE = 0.5

Survival = list[float]


def _prior_survival(ratio: float) -> float:
    index = min(bisect_right(PRIOR, (ratio, 2.0)), len(PRIOR) - 1)
    (low, above), (high, below) = PRIOR[index - 1], PRIOR[index]
    share = (ratio - low) / (high - low)
    return math.exp(math.log(above) + share * (math.log(below) - math.log(above)))


PRIOR_SURVIVAL: Survival = [_prior_survival(number * BIN_WIDTH) for number in range(BINS + 1)]


def answer_base(expected_tokens: int, max_tokens: int) -> float:
    """Return the length with which an answer is compared: its estimate, if known."""
    return float(min(expected_tokens, max_tokens) or max(1.0, UNKNOWN_SHARE * max_tokens))


class _Lengths:
    """Lengths of completed answers as a decayed histogram, and their survival function."""

    def __init__(self, prior: Survival) -> None:
        self.survival: Survival = list(prior)
        self._prior = prior
        self._bins = [0.0] * BINS
        self._total = 0.0
        self._weight = 1.0
        self._added = 0.0

    def add(self, ratio: float) -> None:
        self._bins[min(BINS - 1, int(ratio / BIN_WIDTH))] += self._weight
        self._total += self._weight
        self._added += self._weight
        self._weight *= RECENCY
        if self._weight > 1e6:
            self._bins = [count / self._weight for count in self._bins]
            self._total /= self._weight
            self._added /= self._weight
            self._weight = 1.0
        if self._added >= REBUILD_SHARE * self._total:
            self._rebuild()

    def _rebuild(self) -> None:
        self._added = 0.0
        prior_weight = PRIOR_ANSWERS * self._weight
        total = self._total + prior_weight
        longer = self._total
        for index, count in enumerate(self._bins):
            self.survival[index] = (longer + prior_weight * self._prior[index]) / total
            longer -= count
        self.survival[BINS] = prior_weight * self._prior[BINS] / total


class AnswerGrowth:
    """Distribution of the length of answers divided by the estimate, by route."""

    def __init__(self) -> None:
        self._lengths: dict[tuple[str, int], _Lengths] = {}
        self._routes: dict[str, _Lengths] = {}

    def record_completed(
        self, route: str, tokens: int, expected_tokens: int, max_tokens: int
    ) -> None:
        """Record the length of a completed answer."""
        ratio = tokens / answer_base(expected_tokens, max_tokens)
        whole = self._routes.setdefault(route, _Lengths(PRIOR_SURVIVAL))
        whole.add(ratio)
        key = route, _estimate_class(expected_tokens, max_tokens)
        if key not in self._lengths:
            self._lengths[key] = _Lengths(whole.survival)
        self._lengths[key].add(ratio)

    def survival(self, route: str, expected_tokens: int, max_tokens: int) -> Survival:
        """Return the share of answers longer than each multiple of :data:`BIN_WIDTH`."""
        key = route, _estimate_class(expected_tokens, max_tokens)
        found = self._lengths.get(key) or self._routes.get(route)
        return PRIOR_SURVIVAL if found is None else found.survival

    def remaining(
        self, route: str, made_tokens: int, expected_tokens: int, max_tokens: int
    ) -> tuple[float, float]:
        """Return the expected remaining tokens of a running answer, and their standard deviation.

        Given that the answer is longer than *made_tokens*. An answer that is longer than all seen
        is expected to continue to the maximum.
        """
        survival = self.survival(route, expected_tokens, max_tokens)
        base = answer_base(expected_tokens, max_tokens)
        start = min(BINS, int(made_tokens / base / BIN_WIDTH))
        width, left = base * BIN_WIDTH, float(max(0, max_tokens - made_tokens))
        if start == BINS:
            return left, 0.0
        # The mean is the integral of the survival function, the second moment that of 2x times it.
        mean = square = at = 0.0
        for index in range(start, BINS):
            step = min(width, left - at)
            if step <= 0:
                break
            share = survival[index] / survival[start]
            mean += share * step
            square += share * ((at + step) ** 2 - at**2)
            at += step
        return mean, math.sqrt(max(0.0, square - mean * mean))


def _estimate_class(expected_tokens: int, max_tokens: int) -> int:
    if not expected_tokens:
        return ESTIMATE_CLASSES
    return min(ESTIMATE_CLASSES - 1, ESTIMATE_CLASSES * expected_tokens // max(1, max_tokens))
