"""Tests of how often the platform is asked."""

from __future__ import annotations

import pytest

from crankhinge.decisions import ChangeBatcher, FreshnessBounds

# What follows a watch that does not end: its slack, a new connection and the answer, in seconds.
AFTER_WATCH_S = 0.9


class TestFreshness:
    """Waits and pauses that follow from bounds."""

    @pytest.mark.parametrize("contact_s", [2.0, 3.0, 5.0, 8.0])
    def test_a_silent_connection_is_noticed_before_the_bounds_hold_again(
        self, contact_s: float
    ) -> None:
        """A watch and what follows it end within the time."""
        assert FreshnessBounds(2.0, 2.0, contact_s).max_watch_wait_s + AFTER_WATCH_S < contact_s

    @pytest.mark.parametrize("bound_s", [0.5, 1.0, 2.0, 4.0])
    def test_gathering_leaves_most_of_each_bound(self, bound_s: float) -> None:
        """What was gathered is known with half of the time to spare."""
        freshness = FreshnessBounds(bound_s, bound_s, 3.0)
        assert 0 < freshness.config_pause_s < freshness.list_pause_s < bound_s / 2

    @pytest.mark.parametrize("bound_s", [1.0, 4.0, 60.0])
    @pytest.mark.parametrize("contact_s", [1.0, 3.0, 5.0])
    def test_a_pause_and_the_watch_after_it_fit_into_one_watch(
        self, bound_s: float, contact_s: float
    ) -> None:
        """A connection that falls silent in the pause is noticed as soon as any other."""
        freshness = FreshnessBounds(bound_s, bound_s, contact_s)
        assert 0 <= freshness.list_pause_s <= freshness.max_watch_wait_s - 0.5

    def test_a_watch_is_shorter_than_changes_are_remembered(self) -> None:
        """However long the bounds are."""
        assert FreshnessBounds(2.0, 2.0, 600.0).max_watch_wait_s <= 10.0

    def test_a_watch_is_never_a_poll(self) -> None:
        """However short the bounds are."""
        assert FreshnessBounds(2.0, 2.0, 0.2).max_watch_wait_s >= 0.5


class TestGathering:
    """When the next call is made after a change."""

    def test_a_few_changes_are_known_at_once(self) -> None:
        """Two, and two more after a while."""
        gathering = ChangeBatcher(0.8)
        assert [gathering.record_change(now) for now in (0.0, 0.1, 5.0, 5.1)] == [0.0] * 4

    def test_what_goes_on_is_gathered(self) -> None:
        """From the third on, as long as they come."""
        gathering = ChangeBatcher(0.8)
        pauses = [gathering.record_change(now) for now in (0.0, 0.1, 0.2, 1.1, 2.0)]
        assert pauses == [0.0, 0.0, 0.8, 0.8, 0.8]
