"""Tests of what servers say that bars requests from them."""

from __future__ import annotations

import random

import pytest

from crankhinge.decisions import Bars, Standing
from crankhinge.decisions._bars import MOST_BARRED


class TestRests:
    """A server wants no request for a while."""

    @pytest.mark.parametrize("untils", [(13.0, 10.5), (10.5, 13.0)])
    def test_the_longest_word_stands(self, untils: tuple[float, float]) -> None:
        """Refusals of requests that were under way together overtake each other."""
        bars = Bars()
        for until in untils:
            bars.asks_rest("i-1", until)
        assert bars.rests_until("i-1", 10.0) == 13.0

    def test_ends_at_its_time(self) -> None:
        """Neither sooner nor later, and nobody else rests for it."""
        bars = Bars()
        assert not bars.any_rests(0.0)
        bars.asks_rest("i-1", 13.0)
        assert bars.any_rests(12.9)
        assert bars.rests_until("i-1", 12.9) == 13.0
        assert bars.rests_until("i-2", 12.9) is None
        assert bars.rests_until("i-1", 13.0) is None
        assert not bars.any_rests(13.0)

    def test_a_guess_does_not_shorten_a_longer_one(self) -> None:
        """An engine without room is asked soon, unless it refused a request a moment ago."""
        standing = Standing()
        standing.refused(10.0)
        until = standing.full_until
        standing.had_no_room(10.0, random.Random(1))
        assert standing.full_until == until


class TestLeaves:
    """A server says that it leaves."""

    def test_is_news_once(self) -> None:
        """Then the first moment stands."""
        bars = Bars()
        assert bars.leaves_since("i-1") is None
        assert bars.says_it_leaves("i-1", 5.0)
        assert not bars.says_it_leaves("i-1", 6.0)
        assert bars.leaves_since("i-1") == 5.0


def test_memory_is_bounded() -> None:
    """The words that were heard first go first."""
    bars = Bars()
    for number in range(MOST_BARRED + 1):
        bars.says_it_leaves(f"i-{number}", 1.0)
        bars.asks_rest(f"i-{number}", 9.0)
    assert bars.leaves_since("i-0") is None
    assert bars.rests_until("i-0", 2.0) is None
    assert bars.leaves_since(f"i-{MOST_BARRED}") == 1.0
    assert bars.rests_until(f"i-{MOST_BARRED}", 2.0) == 9.0
