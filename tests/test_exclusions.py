"""Tests of what servers say that bars requests from them."""

from __future__ import annotations

import random

import pytest

from crankhinge.decisions import ServerExclusions, ServerStats
from crankhinge.decisions._exclusions import MAX_TRACKED_SERVERS


class TestRests:
    """A server wants no request for a while."""

    @pytest.mark.parametrize("untils", [(13.0, 10.5), (10.5, 13.0)])
    def test_the_longest_word_stands(self, untils: tuple[float, float]) -> None:
        """Refusals of requests that were under way together overtake each other."""
        bars = ServerExclusions()
        for until in untils:
            bars.record_backoff("i-1", until)
        assert bars.backoff_until("i-1", 10.0) == 13.0

    def test_ends_at_its_time(self) -> None:
        """Neither sooner nor later, and nobody else rests for it."""
        bars = ServerExclusions()
        assert not bars.has_backoffs(0.0)
        bars.record_backoff("i-1", 13.0)
        assert bars.has_backoffs(12.9)
        assert bars.backoff_until("i-1", 12.9) == 13.0
        assert bars.backoff_until("i-2", 12.9) is None
        assert bars.backoff_until("i-1", 13.0) is None
        assert not bars.has_backoffs(13.0)

    def test_a_guess_does_not_shorten_a_longer_one(self) -> None:
        """An engine without room is asked soon, unless it refused a request a moment ago."""
        standing = ServerStats()
        standing.record_refusal(10.0)
        until = standing.full_until
        standing.record_no_capacity(10.0, random.Random(1))
        assert standing.full_until == until


class TestLeaves:
    """A server says that it leaves."""

    def test_is_news_once(self) -> None:
        """Then the first moment stands."""
        bars = ServerExclusions()
        assert bars.leaving_since("i-1") is None
        assert bars.record_leaving("i-1", 5.0)
        assert not bars.record_leaving("i-1", 6.0)
        assert bars.leaving_since("i-1") == 5.0


def test_memory_is_bounded() -> None:
    """The words that were heard first go first."""
    bars = ServerExclusions()
    for number in range(MAX_TRACKED_SERVERS + 1):
        bars.record_leaving(f"i-{number}", 1.0)
        bars.record_backoff(f"i-{number}", 9.0)
    assert bars.leaving_since("i-0") is None
    assert bars.backoff_until("i-0", 2.0) is None
    assert bars.leaving_since(f"i-{MAX_TRACKED_SERVERS}") == 1.0
    assert bars.backoff_until(f"i-{MAX_TRACKED_SERVERS}", 2.0) == 9.0
