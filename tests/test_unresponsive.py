"""Tests of which instances are not worth a question."""

from __future__ import annotations

from crankhinge.decisions._unresponsive import FIRST_SKIP_S, MAX_SKIP_S, UnresponsivePeers


class TestSilences:
    """Instances that left questions unanswered."""

    def test_are_passed_over_after_so_many_in_a_row(self) -> None:
        """One datagram is lost now and then."""
        silences = UnresponsivePeers(2)
        silences.record_unresponsive("n", 10.0)
        assert not silences.is_skipped("n", 10.0)
        assert silences.missed_last("n")
        silences.record_unresponsive("n", 10.1)
        assert silences.is_skipped("n", 10.1 + FIRST_SKIP_S - 0.01)
        assert not silences.is_skipped("n", 10.1 + FIRST_SKIP_S)
        assert not silences.is_skipped("other", 10.1)

    def test_are_passed_over_ever_longer(self) -> None:
        """Each question to one that is gone takes a tenth of a second."""
        silences = UnresponsivePeers(1)
        now, lasted = 0.0, []
        for _ in range(7):
            silences.record_unresponsive("n", now)
            for_s = next(s / 4 for s in range(1, 100) if not silences.is_skipped("n", now + s / 4))
            lasted.append(for_s)
            now += for_s
        assert lasted == [1.0, 2.0, 4.0, 8.0, 16.0, MAX_SKIP_S, MAX_SKIP_S]

    def test_are_asked_again_once_they_answered(self) -> None:
        """And count as if they had never been silent."""
        silences = UnresponsivePeers(2)
        for _ in range(3):
            silences.record_unresponsive("n", 1.0)
        silences.record_response("n")
        assert not silences.is_skipped("n", 1.0)
        assert not silences.missed_last("n")
        silences.record_unresponsive("n", 2.0)
        assert not silences.is_skipped("n", 2.0)
