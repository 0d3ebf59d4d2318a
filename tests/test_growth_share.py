"""Tests of the switch between direct reservation and coordinated placement."""

from __future__ import annotations

import random

from crankhinge.gateway.placement._growth_share import MIN_GROWTH_SHARE, MIN_REQUESTS, GrowthShare

KV_TOKENS = 100_000


def record(share: GrowthShare, mean: float, count: int, rng: random.Random) -> bool:
    """Record answers whose lengths vary by half around *mean*; return whether it was ever large."""
    was_large = False
    for _ in range(count):
        share.record(round(KV_TOKENS * mean * rng.uniform(0.15, 1.85)), KV_TOKENS)
        was_large = was_large or share.is_large
    return was_large


class TestGrowthShare:
    """Whether the answers of a service are long enough for coordinated placement."""

    def test_services_below_the_threshold_never_switch(self) -> None:
        """Deployments with 1.9 to 3.1 % are served as before, also after a few long answers."""
        for seed in range(200):
            assert not record(GrowthShare(), 0.031, 300, random.Random(seed))

    def test_services_above_the_threshold_switch_and_stay(self) -> None:
        """Deployments with 5.9 and 7.1 % are coordinated after some ten requests."""
        for seed in range(200):
            for mean in (0.059, 0.071):
                share, rng = GrowthShare(), random.Random(seed)
                record(share, mean, 60, rng)
                assert share.is_large
                for _ in range(300):
                    record(share, mean, 1, rng)
                    assert share.is_large

    def test_mean_is_valid_after_ten_requests(self) -> None:
        """One long answer must not decide how a service is served."""
        share = GrowthShare()
        for number in range(1, MIN_REQUESTS + 1):
            share.record(KV_TOKENS // 10, KV_TOKENS)
            assert share.is_large is (number >= MIN_REQUESTS)

    def test_share_at_the_threshold_is_large(self) -> None:
        """The threshold itself belongs to the coordinated services."""
        share = GrowthShare()
        for _ in range(MIN_REQUESTS):
            share.record(round(MIN_GROWTH_SHARE * KV_TOKENS), KV_TOKENS)
        assert share.is_large

    def test_service_whose_answers_become_short_is_not_coordinated_any_longer(self) -> None:
        """The operators may change the estimates of a service while instances run."""
        share = GrowthShare()
        record(share, 0.07, 50, random.Random(1))
        record(share, 0.02, 300, random.Random(1))
        assert not share.is_large

    def test_finding_of_a_peer_counts_until_there_are_enough_requests(self) -> None:
        """A false message must not switch a service for longer than ten requests."""
        share = GrowthShare()
        share.adopt()
        for _ in range(MIN_REQUESTS):
            assert share.is_large
            share.record(KV_TOKENS // 100, KV_TOKENS)
        assert not share.is_large
        share.adopt()
        assert not share.is_large
