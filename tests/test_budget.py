"""Tests of the retry budget's share that nobody asked for."""

from __future__ import annotations

from crankhinge.decisions import RetryBudget, ServerStats
from crankhinge.decisions._server_stats import MAX_REFUSAL_PAUSE_S, REFUSAL_PAUSE_S


class TestSpend:
    """Repeats that servers cause."""

    def test_they_are_taken_from_those_that_are_asked_for(self) -> None:
        """After two refusals only one of three saved repeats is left."""
        budget = RetryBudget(ratio=0.1, burst=3.0)
        budget.charge_retry()
        budget.charge_retry()
        assert budget.try_retry()
        assert not budget.try_retry()

    def test_a_debt_is_bounded(self) -> None:
        """A hundred refusals must not forbid repeats for ever."""
        budget = RetryBudget(ratio=1.0, burst=3.0)
        for _ in range(100):
            budget.charge_retry()
        assert not budget.allows_retry()
        for _ in range(4):
            budget.record_first_attempt()
        assert budget.allows_retry()


def test_refusals_in_a_row_are_waited_out_ever_longer() -> None:
    """Twice as long each time, up to a bound; a success ends it."""
    standing = ServerStats()
    waits = []
    for _ in range(6):
        standing.record_refusal(0.0)
        waits.append(standing.full_until)
    assert waits == sorted(waits)
    assert (waits[0], waits[-1]) == (REFUSAL_PAUSE_S, MAX_REFUSAL_PAUSE_S)
    standing.record_success(0.1)
    standing.record_refusal(0.0)
    assert standing.full_until == REFUSAL_PAUSE_S
