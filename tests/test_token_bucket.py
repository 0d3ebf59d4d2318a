"""Tests of the promises of a token bucket: what it tells refused callers, and what they find."""

from __future__ import annotations

import heapq
import itertools
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from crankhinge.decisions import TokenBucket, TokenLimit
from crankhinge.decisions._token_bucket import MAX_RETRY_AFTER_S

LIMIT = TokenLimit(1000.0, 1000.0)
WINDOW_S = 8.0


def make_empty(now: float = 0.0) -> TokenBucket:
    """Return a bucket that has no tokens at *now*."""
    return TokenBucket(now)


class TestPromises:
    """A refused caller that returns at the time it was told finds its tokens."""

    def test_newcomer_does_not_get_promised_tokens(self) -> None:
        """It arrives just before the caller to whom the tokens were promised."""
        bucket = make_empty()
        assert bucket.take(500.0, LIMIT, 0.0, caller="a") == 0.5
        assert bucket.take(500.0, LIMIT, 0.49, caller="b") > 0.0
        assert bucket.take(500.0, LIMIT, 0.5, caller="a") == 0.0

    def test_newcomer_may_use_what_is_not_promised(self) -> None:
        """Otherwise a small request would wait behind a large one although there are tokens."""
        bucket = make_empty()
        assert bucket.take(500.0, LIMIT, 0.0, caller="a") == 0.5
        assert bucket.take(500.0, LIMIT, 0.5, caller="a") == 0.0
        assert bucket.take(300.0, LIMIT, 0.8, caller="b") == 0.0

    def test_part_of_the_rate_is_left_to_first_attempts(self) -> None:
        """With the whole rate promised, first attempts waited behind retries, which are late."""
        bucket = TokenBucket(0.0, promised_share=0.25)
        for number in range(4):
            assert bucket.take(100.0, LIMIT, 0.0, caller=f"r{number}") == pytest.approx(
                0.4 * (number + 1)
            )
        granted = [
            bucket.take(100.0, LIMIT, 0.1 * step, caller=f"f{step}") == 0.0 for step in range(1, 16)
        ]
        assert sum(granted) >= 11
        assert bucket.take(100.0, LIMIT, 1.6, caller="r3") == 0.0

    def test_caller_that_is_a_little_early_is_told_the_rest(self) -> None:
        """Its place is not given to anybody else; callers' waits differ by 15 in 100."""
        bucket = make_empty()
        assert bucket.take(800.0, LIMIT, 0.0, caller="a") == 0.8
        assert bucket.take(800.0, LIMIT, 0.72, caller="a") == pytest.approx(0.08)
        assert bucket.take(800.0, LIMIT, 0.8, caller="a") == 0.0

    def test_caller_that_is_a_little_late_finds_its_tokens(self) -> None:
        """Others were refused in the meantime."""
        bucket = make_empty()
        assert bucket.take(500.0, LIMIT, 0.0, caller="a") == 0.5
        assert bucket.take(400.0, LIMIT, 0.6, caller="b") > 0.0
        assert bucket.take(500.0, LIMIT, 0.65, caller="a") == 0.0

    def test_tokens_of_a_caller_that_does_not_return_are_free(self) -> None:
        """Callers that give up would otherwise use the account's rate."""
        bucket = make_empty()
        assert bucket.take(500.0, LIMIT, 0.0, caller="a") == 0.5
        assert bucket.take(500.0, LIMIT, 1.0, caller="b") == 0.0

    def test_time_after_the_callers_deadline_is_not_promised(self) -> None:
        """The caller cannot return then, and the next one would wait in vain."""
        bucket = make_empty()
        assert bucket.take(900.0, LIMIT, 0.0, caller="a", within_s=0.5) == 0.9
        assert bucket.take(900.0, LIMIT, 0.0, caller="b") == 0.9

    def test_equal_requests_stand_for_each_other(self) -> None:
        """Two callers that send the same get two promises, whoever returns first."""
        bucket = make_empty()
        assert bucket.take(500.0, LIMIT, 0.0, caller="a") == 0.5
        assert bucket.take(500.0, LIMIT, 0.0, caller="a") == 1.0
        assert bucket.take(500.0, LIMIT, 0.5, caller="a") == 0.0
        assert bucket.take(500.0, LIMIT, 1.0, caller="a") == 0.0

    @settings(deadline=None)
    @given(
        seed=st.integers(0, 10**6),
        per_s=st.floats(0.2, 8.0),
        share_returning=st.sampled_from([0.0, 0.3, 0.7, 1.0]),
        max_saved=st.sampled_from([0.0, 500.0, 3000.0]),
        max_tokens=st.sampled_from([100.0, 500.0, 900.0, 1400.0]),
    )
    def test_every_caller_that_returns_in_time_finds_its_tokens(
        self,
        seed: int,
        per_s: float,
        share_returning: float,
        max_saved: float,
        max_tokens: float,
    ) -> None:
        """Beside callers that never return, from a fifth of the rate to eight times the rate."""
        rng = random.Random(seed)
        bucket = make_empty()
        numbers = itertools.count()
        max_tokens = min(max_tokens, 0.9 * (LIMIT.burst + max_saved))
        mean = 0.75 * max_tokens
        # Time, number, caller and tokens of each request; a retry has the number of its first one.
        events = [(0.0, next(numbers), "", 0.0)]
        granted: list[tuple[float, float]] = []
        while events:
            now, number, caller, tokens = heapq.heappop(events)
            is_retry = bool(caller)
            if not is_retry:
                caller, tokens = f"c{number}", rng.uniform(0.5, 1.0) * max_tokens
                pause_s = rng.expovariate(per_s * LIMIT.per_s / mean)
                if now + pause_s < 20.0:
                    heapq.heappush(events, (now + pause_s, next(numbers), "", 0.0))
            delay_s = bucket.take(tokens, LIMIT, now, max_saved, caller=caller)
            if delay_s == 0.0:
                granted.append((now, tokens))
            else:
                assert not is_retry
                if delay_s < MAX_RETRY_AFTER_S and rng.random() < share_returning:
                    heapq.heappush(events, (now + delay_s, number, caller, tokens))
        allowed = LIMIT.per_s * WINDOW_S + LIMIT.burst + max_saved
        for end, _ in granted:
            used = sum(tokens for at, tokens in granted if end - WINDOW_S <= at <= end)
            assert used <= allowed * 1.000001

    @pytest.mark.parametrize(
        ("tokens", "max_saved"), [(50.0, 0.0), (300.0, 0.0), (300.0, 500.0), (600.0, 500.0)]
    )
    def test_callers_that_never_return_cost_the_account_little(
        self, tokens: float, max_saved: float
    ) -> None:
        """Six times the rate is sent and nobody returns: the account still gets nine tenths."""
        bucket, used, now = make_empty(), 0.0, 0.0
        number = 0
        while now < 40.0:
            number += 1
            if bucket.take(tokens, LIMIT, now, max_saved, caller=f"c{number}") == 0.0:
                used += tokens
            now += tokens / (6.0 * LIMIT.per_s)
        assert used >= 0.9 * LIMIT.per_s * 40.0 - tokens
