"""Which runs must leave an engine that shuts down."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

# An answer is assumed to become this many times as long as its caller expects. Nine of ten answers
# are shorter: the 90th percentile of actual to expected length was 1.9 in the measurements.
LENGTH_FACTOR = 1.9
# Seconds that a move must end before the engine does: two calls and the request at the target, with
# the longest times that these may take.
MOVE_RESERVE_S = 0.6


@dataclass(frozen=True, slots=True)
class RunProgress:
    """How far a run at an engine is.

    Attributes:
        run_id: id of the run.
        made_tokens: tokens of the answer that it has made.
        expected_tokens: the caller's estimate of the answer; 0 if unknown.
        max_tokens: maximum length of the answer; 0 if unknown.
        age_s: seconds since the engine was asked to run it.
    """

    run_id: str
    made_tokens: int
    expected_tokens: int
    max_tokens: int
    age_s: float

    @property
    def remaining_s(self) -> float:
        """Seconds until the run has probably ended, by its own pace; infinite if unknown."""
        if not self.made_tokens or not self.max_tokens:
            return math.inf
        likely_tokens = min(self.max_tokens, self.expected_tokens * LENGTH_FACTOR)
        if self.made_tokens >= likely_tokens:
            # It is longer than nine of ten answers, so its estimate no longer says anything.
            likely_tokens = self.max_tokens
        return max(0.0, likely_tokens - self.made_tokens) * self.age_s / self.made_tokens


def runs_to_move(runs: Iterable[RunProgress], left_s: float) -> list[RunProgress]:
    """Return the runs that would not end before their engine does, those furthest along first.

    If the time is too short for all moves, the runs that have made most lose nothing.

    Args:
        runs: the runs at the engine.
        left_s: seconds until the engine ends its runs.
    """
    moving = [run for run in runs if run.remaining_s > left_s - MOVE_RESERVE_S]
    return sorted(moving, key=lambda run: -run.made_tokens)
