"""Tests of servers that get no request because they are leaving or asked for a backoff."""

from __future__ import annotations

import random

import pytest

from crankhinge.decisions import ServerExclusions, ServerStats
from crankhinge.decisions._exclusions import MAX_TRACKED_SERVERS


class TestBackoff:
    """A server has asked for no requests until a given time."""

    @pytest.mark.parametrize("end_times", [(13.0, 10.5), (10.5, 13.0)])
    def test_longest_backoff_is_kept(self, end_times: tuple[float, float]) -> None:
        """Refusals of concurrent requests may arrive in any order, so the latest end time holds."""
        exclusions = ServerExclusions()
        for until in end_times:
            exclusions.record_backoff("i-1", until)
        assert exclusions.backoff_until("i-1", 10.0) == 13.0

    def test_backoff_ends_at_its_time(self) -> None:
        """The backoff of one server does not exclude other servers."""
        exclusions = ServerExclusions()
        assert not exclusions.has_backoffs(0.0)
        exclusions.record_backoff("i-1", 13.0)
        assert exclusions.has_backoffs(12.9)
        assert exclusions.backoff_until("i-1", 12.9) == 13.0
        assert exclusions.backoff_until("i-2", 12.9) is None
        assert exclusions.backoff_until("i-1", 13.0) is None
        assert not exclusions.has_backoffs(13.0)

    def test_no_capacity_pause_does_not_shorten_refusal_pause(self) -> None:
        """An engine without capacity is tried again soon, unless it has just refused a request."""
        stats = ServerStats()
        stats.record_refusal(10.0)
        until = stats.full_until
        stats.record_no_capacity(10.0, random.Random(1))
        assert stats.full_until == until


class TestLeaving:
    """A server has announced that it is leaving."""

    def test_only_first_announcement_is_new(self) -> None:
        """Peers are notified of new announcements only, and the first one sets the time."""
        exclusions = ServerExclusions()
        assert exclusions.leaving_since("i-1") is None
        assert exclusions.record_leaving("i-1", 5.0)
        assert not exclusions.record_leaving("i-1", 6.0)
        assert exclusions.leaving_since("i-1") == 5.0


def test_number_of_tracked_servers_is_bounded() -> None:
    """Beyond the bound, the servers that were recorded first are forgotten first."""
    exclusions = ServerExclusions()
    for number in range(MAX_TRACKED_SERVERS + 1):
        exclusions.record_leaving(f"i-{number}", 1.0)
        exclusions.record_backoff(f"i-{number}", 9.0)
    assert exclusions.leaving_since("i-0") is None
    assert exclusions.backoff_until("i-0", 2.0) is None
    assert exclusions.leaving_since(f"i-{MAX_TRACKED_SERVERS}") == 1.0
    assert exclusions.backoff_until(f"i-{MAX_TRACKED_SERVERS}", 2.0) == 9.0
