"""Tests of retries charged to the retry budget, and of the pause after a server's refusal."""

from __future__ import annotations

from crankhinge.decisions import RetryBudget, ServerStats
from crankhinge.decisions._server_stats import MAX_REFUSAL_PAUSE_S, REFUSAL_PAUSE_S


class TestChargedRetries:
    """Retries caused by a server's refusal, which are charged without asking the budget."""

    def test_charged_retries_reduce_allowed_retries(self) -> None:
        """After two charged retries, one of three saved retries is left."""
        budget = RetryBudget(ratio=0.1, burst=3.0)
        budget.charge_retry()
        budget.charge_retry()
        assert budget.try_retry()
        assert not budget.try_retry()

    def test_debt_of_the_retry_budget_is_bounded(self) -> None:
        """After a hundred refusals, retries must be allowed again at some time."""
        budget = RetryBudget(ratio=1.0, burst=3.0)
        for _ in range(100):
            budget.charge_retry()
        assert not budget.allows_retry()
        for _ in range(4):
            budget.record_first_attempt()
        assert budget.allows_retry()


def test_pause_grows_with_consecutive_refusals() -> None:
    """The pause has a maximum, and a success resets it to the first pause."""
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
