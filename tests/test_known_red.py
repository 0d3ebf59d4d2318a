"""Tests of the list of tests that are known to fail."""

from __future__ import annotations

from pathlib import Path

import pytest

pytest_plugins = ["pytester"]

TEST_SOURCE = "def test_bad():\n    assert False\n\n\ndef test_good():\n    assert True\n"


def run_pytest(pytester: pytest.Pytester, list_text: str) -> pytest.RunResult:
    """Run two tests, a failing and a passing one, with a list."""
    folder = Path(__file__).parent
    pytester.makeconftest(
        f"import sys; sys.path.insert(0, {str(folder)!r})\nfrom known_red import *"
    )
    pytester.makepyfile(test_two=TEST_SOURCE)
    (pytester.path / "KNOWN-RED.txt").write_text(list_text)
    return pytester.runpytest_subprocess("-p", "no:cacheprovider")


class TestKnownRed:
    """What the run makes of it."""

    def test_a_failure_fails_without_a_list(self, pytester: pytest.Pytester) -> None:
        """An empty list changes nothing."""
        assert run_pytest(pytester, "").ret == 1

    def test_a_listed_failure_passes_and_is_printed(self, pytester: pytest.Pytester) -> None:
        """One line for each."""
        result = run_pytest(pytester, "test_two.py::test_bad | a real fault | issue 9\n")
        assert result.ret == 0
        result.stdout.fnmatch_lines(["KNOWN RED test_two.py::test_bad: a real fault (issue 9)"])

    def test_a_listed_test_that_passes_fails_the_run(self, pytester: pytest.Pytester) -> None:
        """Its line has to go."""
        listed = "test_two.py::test_bad | x | 9\ntest_two.py::test_good | x | 9\n"
        assert run_pytest(pytester, listed).ret == 1

    def test_a_line_without_a_cause_is_refused(self, pytester: pytest.Pytester) -> None:
        """Test, cause and issue."""
        assert run_pytest(pytester, "test_two.py::test_bad\n").ret == 4
