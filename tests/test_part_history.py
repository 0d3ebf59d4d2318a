"""Tests of the evidence that servers do not crash because of a part of a prompt."""

from __future__ import annotations

import pytest

from crankhinge.decisions import PartHistory, is_served_since
from crankhinge.decisions._part_history import MAX_SERVED_PARTS


class TestIsServedSince:
    """When a part is served too recently to be suspected."""

    @pytest.mark.parametrize(
        ("crashed_at", "served_at", "expected"),
        [
            pytest.param([1.0, 2.0, 3.0], None, False, id="never-served"),
            pytest.param([1.0, 1.0, 1.0], None, False, id="never-served-in-one-event"),
            pytest.param([1.0, 3.0, 5.0], 6.0, True, id="served-after-all-crashes"),
            pytest.param([1.0, 3.0, 5.0], 2.0, True, id="served-after-the-first"),
            pytest.param([1.0, 3.0, 5.0], 0.0, False, id="served-before-all-crashes"),
            pytest.param([5.0, 5.1, 5.2, 5.9], 0.0, True, id="one-event"),
            pytest.param([1.0, 1.2, 5.0, 5.3], 0.0, True, id="two-events"),
            pytest.param([1.0, 1.6, 2.2, 4.0], 0.0, False, id="crashes-in-a-row"),
        ],
    )
    def test_part_is_suspected_only_after_three_events(
        self, crashed_at: list[float], served_at: float | None, expected: bool
    ) -> None:
        """Crashes within a second are one event if the part was served before."""
        assert is_served_since(crashed_at, served_at) is expected


class TestPartHistory:
    """When requests with a part were served."""

    def test_latest_time_counts(self) -> None:
        """An instance may learn late of a time at another instance."""
        history = PartHistory()
        history.record_served("p:a", 5.0)
        history.record_served("p:a", 3.0)
        assert history.served_at("p:a") == 5.0
        assert history.served_at("p:b") is None

    def test_part_in_use_outlasts_a_flood_of_others(self) -> None:
        """The parts that were served the longest ago are forgotten first."""
        history = PartHistory()
        for number in range(3 * MAX_SERVED_PARTS):
            history.record_served(f"p:{number}", float(number))
            if number % 1000 == 0:
                history.record_served("p:used", float(number))
        assert len(history) == MAX_SERVED_PARTS
        assert history.served_at("p:used") is not None
        assert history.served_at("p:0") is None
