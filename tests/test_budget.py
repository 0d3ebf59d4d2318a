"""Tests of the retry budget's share that nobody asked for."""

from __future__ import annotations

from crankhinge.decisions import RetryBudget, ServerStats
from crankhinge.decisions._server_stats import MAX_REFUSAL_PAUSE_S, REFUSAL_PAUSE_S


class TestChargedRetries:
    """Repeats that servers cause."""

    def test_charged_retries_reduce_allowed_retries(self) -> None:
        """After two refusals only one of three saved repeats is left."""
        budget = RetryBudget(ratio=0.1, burst=3.0)
        budget.charge_retry()
        budget.charge_retry()
        assert budget.try_retry()
        assert not budget.try_retry()

    def test_debt_is_bounded(self) -> None:
        """A hundred refusals must not forbid repeats for ever."""
        budget = RetryBudget(ratio=1.0, burst=3.0)
        for _ in range(100):
            budget.charge_retry()
        assert not budget.allows_retry()
        for _ in range(4):
            budget.record_first_attempt()
        assert budget.allows_retry()


def test_pause_grows_with_consecutive_refusals() -> None:
    """Twice as long each time, up to a bound; a success ends it."""
    stats = ServerStats()
    pauses = []
    for _ in range(6):
        stats.record_refusal(0.0)
        pauses.append(stats.full_until)
    assert pauses == sorted(pauses)
    assert (pauses[0], pauses[-1]) == (REFUSAL_PAUSE_S, MAX_REFUSAL_PAUSE_S)
    stats.record_success(0.1)
    stats.record_refusal(0.0)
    assert stats.full_until == REFUSAL_PAUSE_S
