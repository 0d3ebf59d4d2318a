"""Tests of the congestion window, which bounds the concurrent requests to a plain service."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from crankhinge.decisions import CongestionWindow
from crankhinge.decisions._congestion import MIN_DECREASE_INTERVAL_S, MIN_RETRY_AFTER_S

TARGET_S = 0.3


def record_responses(
    *durations: float, congestion: CongestionWindow | None = None
) -> CongestionWindow:
    """Record responses with these durations in seconds, one every tenth of a second."""
    congestion = congestion or CongestionWindow()
    for number, response_s in enumerate(durations):
        congestion.record_response(response_s, TARGET_S, number / 10)
    return congestion


def make_congested(open_requests: int = 4) -> CongestionWindow:
    """Return the window of a service that became slow, with responses of 0.5 s after 0.06 s.

    *open_requests* requests were sent before the service became slow.
    """
    congestion = record_responses(*[0.06] * 30)
    for _ in range(open_requests):
        congestion.record_sent(3.0)
    return record_responses(*[0.5] * 6, congestion=congestion)


class TestCongestionWindow:
    """When the window limits the number of concurrent requests to a service."""

    def test_timely_responses_leave_requests_unbounded(self) -> None:
        """A single slow response does not show that requests queue at the servers."""
        assert record_responses(*[0.06] * 20, 0.45, 0.06, 0.06).window is None

    def test_late_responses_limit_concurrent_requests(self) -> None:
        """Requests beyond the window wait; those that are late already must not fill the window."""
        congestion = make_congested(open_requests=4)
        assert congestion.window is not None
        assert congestion.window < 4
        assert not congestion.may_send(3.0, late=False)
        for _ in range(4):
            congestion.record_end()
        assert congestion.may_send(3.0, late=False)
        assert not congestion.may_send(3.0, late=True)

    def test_concurrent_refusals_reduce_window_once(self) -> None:
        """Refusals of requests that were sent together are one sign of congestion, not many."""
        congestion = record_responses(*[0.06] * 5)
        for _ in range(10):
            congestion.record_sent(3.0)
        for _ in range(5):
            congestion.record_refusal(1.0)
        first = congestion.window
        assert first is not None
        assert 5 < first < 10
        congestion.record_refusal(1.0 + 2 * MIN_DECREASE_INTERVAL_S)
        assert congestion.window is not None
        assert congestion.window < first

    def test_timely_responses_remove_the_bound(self) -> None:
        """The window grows with each timely response and is removed once it limits nothing."""
        congestion = make_congested(open_requests=2)
        for number in range(200):
            congestion.record_response(0.06, TARGET_S, 10 + number / 10)
        assert congestion.window is None
        assert congestion.may_send(3.0, late=True)

    def test_slow_service_is_not_congested(self) -> None:
        """The service is slow at any load, so sending fewer requests would make none timely."""
        assert record_responses(*[0.5] * 40).window is None

    @given(st.lists(st.tuples(st.floats(0.001, 5), st.booleans()), max_size=80))
    def test_one_request_may_always_be_sent(self, steps: list[tuple[float, bool]]) -> None:
        """An instance that sent no requests would never see the service recover."""
        congestion = CongestionWindow()
        now = 0.0
        for response_s, refused in steps:
            now += 0.2
            if refused:
                congestion.record_refusal(now)
            else:
                congestion.record_response(response_s, TARGET_S, now)
            assert congestion.may_send(now, late=False)

    def test_late_requests_alone_remove_the_bound(self) -> None:
        """If all requests are late, an occasional one must show that responses are fast again."""
        congestion = make_congested(open_requests=1)
        congestion.record_end()
        now, sent = 3.0, 0
        while congestion.window is not None and now < 60.0:
            now += 0.1
            if congestion.may_send(now, late=True):
                congestion.record_sent(now)
                congestion.record_end()
                congestion.record_response(0.06, TARGET_S, now)
                sent += 1
        assert congestion.window is None
        assert sent < 30

    def test_retry_delay_grows_with_duration_of_congestion(self) -> None:
        """Congestion is expected to last as long again as it has lasted already."""
        congestion = make_congested()
        assert congestion.retry_after_s(0.3) == MIN_RETRY_AFTER_S
        assert congestion.retry_after_s(4.0) > 3.0
