"""Tests of the forecast of when KV memory of decode engines becomes free."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from crankhinge.decisions import MemoryForecast
from crankhinge.decisions._forecast import MIN_RETRY_SHARE, OVERDUE_SHARE


def forecast_with(*answers: tuple[int, float]) -> MemoryForecast:
    """Return a forecast with answers in progress, given as tokens and seconds to their end."""
    forecast = MemoryForecast()
    for tokens, ends_in_s in answers:
        forecast.record_reserved(tokens, ends_in_s, 0.0)
    return forecast


class TestFreeTime:
    """When enough memory will be free, predicted from the answers in progress."""

    def test_answers_release_memory_in_order_of_their_end(self) -> None:
        """Two answers have to end before there is enough memory for the request."""
        forecast = forecast_with((4000, 3.0), (1000, 0.5), (3000, 1.0))
        assert forecast.free_in_s(900, 0.0) == 0.5
        assert forecast.free_in_s(3500, 0.0) == 1.0
        assert forecast.free_in_s(3500, 0.4) == pytest.approx(0.6)
        forecast.record_released(3)
        assert forecast.free_in_s(3500, 0.0) == 3.0

    def test_more_than_the_reserved_memory_is_extrapolated(self) -> None:
        """If 8,000 tokens become free in two seconds, 16,000 are expected in four."""
        assert forecast_with((4000, 1.0), (4000, 2.0)).free_in_s(16000, 0.0) == pytest.approx(4.0)

    def test_overdue_answer_is_not_expected_to_end_at_once(self) -> None:
        """The length of an overdue answer was underestimated, by an unknown amount."""
        assert forecast_with((1000, 2.0)).free_in_s(500, 5.0) == pytest.approx(2.0 * OVERDUE_SHARE)

    def test_nothing_is_predicted_without_answers(self) -> None:
        """An instance that has just started knows no answers whose end it could predict."""
        assert MemoryForecast().free_in_s(1, 0.0) is None
        assert MemoryForecast().retry_in_s(1, 0, 0.0) is None

    @given(
        st.lists(st.tuples(st.integers(1, 5000), st.floats(0.1, 9)), min_size=1, max_size=9),
        st.integers(1, 9999),
        st.integers(1, 9999),
    )
    def test_smaller_request_never_waits_longer(
        self, answers: list[tuple[int, float]], tokens_a: int, tokens_b: int
    ) -> None:
        """A request for fewer tokens must not be told a later time, whatever is in progress."""
        forecast = forecast_with(*answers)
        less = forecast.free_in_s(min(tokens_a, tokens_b), 0.0)
        more = forecast.free_in_s(max(tokens_a, tokens_b), 0.0)
        assert less is not None
        assert more is not None
        assert less <= more


class TestRetryTime:
    """When the caller of a refused request should retry."""

    def test_requests_refused_together_get_different_times(self) -> None:
        """Memory promised to one retry is not offered to others until that retry is due."""
        forecast = forecast_with(*[(1000, 0.5 * number) for number in range(1, 20)])
        retry_times = []
        for _ in range(4):
            retry_s = forecast.retry_in_s(1000, 0, 0.0)
            assert retry_s is not None
            forecast.record_promised_retry(1000, retry_s)
            retry_times.append(retry_s)
        assert retry_times == sorted(set(retry_times))
        assert forecast.retry_in_s(1000, 0, retry_times[-1] + 1) < retry_times[-1]

    def test_first_attempts_take_precedence_over_retries(self) -> None:
        """If first attempts get most reservations, a retry waits longer, up to a bound."""
        late_only, first_attempts_only = forecast_with((1000, 1.0)), forecast_with((1000, 1.0))
        for _ in range(40):
            late_only.record_reserved(1, 9.0, 0.0, late=True)
            first_attempts_only.record_reserved(1, 9.0, 0.0)
        assert late_only.retry_in_s(900, 0, 0.0) == pytest.approx(1.0, rel=0.05)
        assert first_attempts_only.retry_in_s(900, 0, 0.0) == pytest.approx(
            1.0 / MIN_RETRY_SHARE, rel=0.05
        )

    def test_waiting_requests_get_memory_first(self) -> None:
        """Waiting requests need 2,000 tokens, so the answers must free three times as many."""
        forecast = forecast_with(*[(1000, float(number)) for number in range(1, 9)])
        retry_s = forecast.retry_in_s(1000, 2000, 0.0)
        unqueued_s = forecast.retry_in_s(1000, 0, 0.0)
        assert retry_s == pytest.approx(3 * unqueued_s)


def test_median_prediction_error_is_small() -> None:
    """Eight answers run at once, for 1 to 5 s each, with estimates that are off by half."""
    rng = random.Random(3)
    forecast = MemoryForecast()
    end_times: dict[int, float] = {}
    errors = []
    now = 0.0
    for _ in range(600):
        if len(end_times) == 8:
            first = min(end_times, key=end_times.__getitem__)
            predicted = forecast.free_in_s(1000, now)
            assert predicted is not None
            errors.append(predicted - (end_times[first] - now))
            now = max(now, end_times.pop(first))
            forecast.record_released(first)
        duration_s = rng.uniform(1.0, 5.0)
        number = forecast.record_reserved(1000, duration_s * rng.lognormvariate(0.0, 0.5), now)
        end_times[number] = now + duration_s
    errors.sort()
    assert abs(errors[len(errors) // 2]) < 0.3
