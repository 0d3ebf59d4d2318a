"""Tests of how often the platform is asked for changes."""

from __future__ import annotations

import pytest

from crankhinge.decisions import ChangeBatcher, FreshnessBounds

# Seconds after the wait of a watch that got no response: its slack, a new connection and the
# response.
RECONNECT_S = 0.9


class TestFreshnessBounds:
    """Waits of watches and pauses between them, computed from the operators' bounds."""

    @pytest.mark.parametrize("contact_s", [2.0, 3.0, 5.0, 8.0])
    def test_stalled_connection_is_noticed_before_bounds_apply_again(
        self, contact_s: float
    ) -> None:
        """A watch on a failed connection, and the reconnection, must end within *contact_s*."""
        assert FreshnessBounds(2.0, 2.0, contact_s).max_watch_wait_s + RECONNECT_S < contact_s

    @pytest.mark.parametrize("bound_s", [0.5, 1.0, 2.0, 4.0])
    def test_batching_pause_leaves_half_of_each_bound(self, bound_s: float) -> None:
        """The other half of the bound is left for the watch and the transfer of the change."""
        bounds = FreshnessBounds(bound_s, bound_s, 3.0)
        assert 0 < bounds.config_pause_s < bounds.list_pause_s < bound_s / 2

    @pytest.mark.parametrize("bound_s", [1.0, 4.0, 60.0])
    @pytest.mark.parametrize("contact_s", [1.0, 3.0, 5.0])
    def test_pause_and_next_watch_fit_into_longest_watch(
        self, bound_s: float, contact_s: float
    ) -> None:
        """A connection that fails in a pause is noticed as soon as one that fails in a watch."""
        bounds = FreshnessBounds(bound_s, bound_s, contact_s)
        assert 0 <= bounds.list_pause_s <= bounds.max_watch_wait_s - 0.5

    def test_watch_wait_is_shorter_than_change_history(self) -> None:
        """The store drops old changes; a longer watch would end with "history gone"."""
        assert FreshnessBounds(2.0, 2.0, 600.0).max_watch_wait_s <= 10.0

    def test_watch_wait_has_a_minimum(self) -> None:
        """With short bounds, the instances would otherwise poll the store."""
        assert FreshnessBounds(2.0, 2.0, 0.2).max_watch_wait_s >= 0.5


class TestChangeBatcher:
    """How long an instance waits after a change before its next watch."""

    def test_few_changes_cause_no_pause(self) -> None:
        """Two changes in a row, and two more some seconds later, are each fetched at once."""
        batcher = ChangeBatcher(0.8)
        assert [batcher.record_change(now) for now in (0.0, 0.1, 5.0, 5.1)] == [0.0] * 4

    def test_continuing_changes_are_batched(self) -> None:
        """From the third change on, each watch waits as long as changes keep coming."""
        batcher = ChangeBatcher(0.8)
        pauses = [batcher.record_change(now) for now in (0.0, 0.1, 0.2, 1.1, 2.0)]
        assert pauses == [0.0, 0.0, 0.8, 0.8, 0.8]
