"""Tests of which runs leave an engine that shuts down, and where they go."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from crankhinge.decisions.migration import (
    MoveTarget,
    RunProgress,
    ordered_targets,
    runs_to_move,
)


def progress(run_id: str, made: int, expected: int, most: int, age_s: float = 1.0) -> RunProgress:
    """Return a run that has made *made* tokens in *age_s* seconds."""
    return RunProgress(run_id, made, expected, most, age_s)


class TestRunsToMove:
    """Which runs would not end before their engine does."""

    @pytest.mark.parametrize(
        ("run", "remaining_s"),
        [
            # At 100 tokens per second, 190 tokens are likely.
            (progress("a", 100, 100, 1000), 0.9),
            # The maximum bounds the likely length.
            (progress("a", 100, 100, 150), 0.5),
            # A longer answer than nine of ten may become as long as the maximum.
            (progress("a", 200, 100, 400), 1.0),
            (progress("a", 400, 100, 400), 0.0),
            # Nothing is known before the first event, or without a maximum.
            (progress("a", 0, 100, 400), float("inf")),
            (progress("a", 100, 0, 0), float("inf")),
        ],
    )
    def test_remaining_time(self, run: RunProgress, remaining_s: float) -> None:
        """An answer past its estimate is expected to continue; its remaining time is not zero."""
        assert run.remaining_s == pytest.approx(remaining_s)

    def test_only_runs_that_do_not_end_in_time_are_moved(self) -> None:
        """A move has a price, so a run that ends in time stays."""
        short, long = progress("short", 100, 100, 1000), progress("long", 100, 900, 1000)
        assert runs_to_move([short, long], 3.0) == [long]
        assert runs_to_move([short, long], 20.0) == []

    def test_runs_that_have_made_most_go_first(self) -> None:
        """If the time is too short for all, the runs with the most to lose are saved."""
        runs = [progress(str(made), made, 900, 1000) for made in (10, 300, 0, 100)]
        assert [run.run_id for run in runs_to_move(runs, 0.0)] == ["300", "100", "10", "0"]


class TestOrderedTargets:
    """Which engine a run is moved to."""

    def test_engine_without_room_is_left_out(self) -> None:
        """A copy needs memory from the first call on."""
        targets = [MoveTarget("full", 99, True), MoveTarget("free", 100, True)]
        order = ordered_targets(targets, 100, random.Random(1))
        assert [target.incarnation_id for target in order] == ["free"]

    def test_instances_do_not_all_take_the_same_engine(self) -> None:
        """Each of 25 instances sees its own runs only, and to all of them one engine is free."""
        targets = [MoveTarget(f"i-{n}", 1000 + n, True) for n in range(10)]
        firsts = Counter(
            ordered_targets(targets, 10, random.Random(seed))[0].incarnation_id
            for seed in range(200)
        )
        assert max(firsts.values()) < 60
        assert "i-0" not in firsts

    def test_own_zone_goes_first_at_equal_memory(self) -> None:
        """A move between zones takes twice as long."""
        targets = [MoveTarget("far", 1000, False), MoveTarget("near", 1000, True)]
        for seed in range(20):
            order = ordered_targets(targets, 10, random.Random(seed))
            assert [target.incarnation_id for target in order] == ["near", "far"]
