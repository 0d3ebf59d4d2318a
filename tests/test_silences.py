"""Tests of which instances are not worth a question."""

from __future__ import annotations

from crankhinge.decisions._silences import SUSPECT_MOST_S, SUSPECT_S, Silences


class TestSilences:
    """Instances that left questions unanswered."""

    def test_are_passed_over_after_so_many_in_a_row(self) -> None:
        """One datagram is lost now and then."""
        silences = Silences(2)
        silences.silent("n", 10.0)
        assert not silences.passed_over("n", 10.0)
        assert silences.doubted("n")
        silences.silent("n", 10.1)
        assert silences.passed_over("n", 10.1 + SUSPECT_S - 0.01)
        assert not silences.passed_over("n", 10.1 + SUSPECT_S)
        assert not silences.passed_over("other", 10.1)

    def test_are_passed_over_ever_longer(self) -> None:
        """Each question to one that is gone takes a tenth of a second."""
        silences = Silences(1)
        now, lasted = 0.0, []
        for _ in range(7):
            silences.silent("n", now)
            for_s = next(s / 4 for s in range(1, 100) if not silences.passed_over("n", now + s / 4))
            lasted.append(for_s)
            now += for_s
        assert lasted == [1.0, 2.0, 4.0, 8.0, 16.0, SUSPECT_MOST_S, SUSPECT_MOST_S]

    def test_are_asked_again_once_they_answered(self) -> None:
        """And count as if they had never been silent."""
        silences = Silences(2)
        for _ in range(3):
            silences.silent("n", 1.0)
        silences.answered("n")
        assert not silences.passed_over("n", 1.0)
        assert not silences.doubted("n")
        silences.silent("n", 2.0)
        assert not silences.passed_over("n", 2.0)
