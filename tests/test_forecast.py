"""Tests of when memory to write in is predicted to free."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from crankhinge.decisions import MemoryForecast
from crankhinge.decisions._forecast import MIN_RETRY_SHARE, OVERDUE_SHARE


def holding(*rows: tuple[int, float]) -> MemoryForecast:
    """Return a forecast with answers of so many tokens that end in so many seconds."""
    forecast = MemoryForecast()
    for tokens, ends in rows:
        forecast.record_reserved(tokens, ends, 0.0)
    return forecast


class TestFreesIn:
    """From the answers in progress."""

    def test_the_answers_that_end_first_give_their_memory_first(self) -> None:
        """Enough is there when the second one has ended."""
        forecast = holding((4000, 3.0), (1000, 0.5), (3000, 1.0))
        assert forecast.free_in_s(900, 0.0) == 0.5
        assert forecast.free_in_s(3500, 0.0) == 1.0
        assert forecast.free_in_s(3500, 0.4) == pytest.approx(0.6)
        forecast.record_released(3)
        assert forecast.free_in_s(3500, 0.0) == 3.0

    def test_more_than_all_of_it_frees_at_the_same_pace(self) -> None:
        """Sixteen thousand tokens after eight thousand have freed in two seconds: four."""
        assert holding((4000, 1.0), (4000, 2.0)).free_in_s(16000, 0.0) == pytest.approx(4.0)

    def test_an_overdue_answer_is_not_held_to_end_at_once(self) -> None:
        """Its length was underestimated."""
        assert holding((1000, 2.0)).free_in_s(500, 5.0) == pytest.approx(2.0 * OVERDUE_SHARE)

    def test_nothing_is_predicted_without_answers(self) -> None:
        """An instance that has just started knows nothing."""
        assert MemoryForecast().free_in_s(1, 0.0) is None
        assert MemoryForecast().retry_in_s(1, 0, 0.0) is None

    @given(
        st.lists(st.tuples(st.integers(1, 5000), st.floats(0.1, 9)), min_size=1, max_size=9),
        st.integers(1, 9999),
        st.integers(1, 9999),
    )
    def test_less_never_waits_longer(
        self, rows: list[tuple[int, float]], one: int, other: int
    ) -> None:
        """Whatever is in progress."""
        forecast = holding(*rows)
        less = forecast.free_in_s(min(one, other), 0.0)
        more = forecast.free_in_s(max(one, other), 0.0)
        assert less is not None
        assert more is not None
        assert less <= more


class TestBackIn:
    """When to come back."""

    def test_those_refused_together_are_told_different_times(self) -> None:
        """Each promise takes memory of those after it, until its time has come."""
        forecast = holding(*[(1000, 0.5 * number) for number in range(1, 20)])
        told = []
        for _ in range(4):
            back = forecast.retry_in_s(1000, 0, 0.0)
            assert back is not None
            forecast.record_promised_retry(1000, back)
            told.append(back)
        assert told == sorted(set(told))
        assert forecast.retry_in_s(1000, 0, told[-1] + 1) < told[-1]

    def test_first_tries_go_before_it(self) -> None:
        """Where they got most places, a return gets few; it is never told that it gets none."""
        calm, busy = holding((1000, 1.0)), holding((1000, 1.0))
        for _ in range(40):
            calm.record_reserved(1, 9.0, 0.0, late=True)
            busy.record_reserved(1, 9.0, 0.0)
        assert calm.retry_in_s(900, 0, 0.0) == pytest.approx(1.0, rel=0.05)
        assert busy.retry_in_s(900, 0, 0.0) == pytest.approx(1.0 / MIN_RETRY_SHARE, rel=0.05)

    def test_what_waits_has_its_memory_first(self) -> None:
        """Two thousand tokens ahead: the third answer has to end."""
        forecast = holding(*[(1000, float(number)) for number in range(1, 9)])
        back = forecast.retry_in_s(1000, 2000, 0.0)
        alone = forecast.retry_in_s(1000, 0, 0.0)
        assert back == pytest.approx(3 * alone)


def test_predictions_are_near_what_happens() -> None:
    """Eight places, answers of one to five seconds, estimates off by half: the median is right."""
    rng = random.Random(3)
    forecast = MemoryForecast()
    ends: dict[int, float] = {}
    errors = []
    now = 0.0
    for _ in range(600):
        if len(ends) == 8:
            first = min(ends, key=ends.__getitem__)
            predicted = forecast.free_in_s(1000, now)
            assert predicted is not None
            errors.append(predicted - (ends[first] - now))
            now = max(now, ends.pop(first))
            forecast.record_released(first)
        took = rng.uniform(1.0, 5.0)
        number = forecast.record_reserved(1000, took * rng.lognormvariate(0.0, 0.5), now)
        ends[number] = now + took
    errors.sort()
    assert abs(errors[len(errors) // 2]) < 0.3
