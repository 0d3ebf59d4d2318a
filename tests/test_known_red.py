"""Tests of KNOWN-RED.txt, the list of tests that are known to fail."""

from __future__ import annotations

from pathlib import Path

import pytest

pytest_plugins = ["pytester"]

TEST_SOURCE = "def test_bad():\n    assert False\n\n\ndef test_good():\n    assert True\n"


def run_pytest(pytester: pytest.Pytester, list_text: str) -> pytest.RunResult:
    """Run a failing and a passing test with *list_text* as KNOWN-RED.txt."""
    folder = Path(__file__).parent
    pytester.makeconftest(
        f"import sys; sys.path.insert(0, {str(folder)!r})\nfrom known_red import *"
    )
    pytester.makepyfile(test_two=TEST_SOURCE)
    (pytester.path / "KNOWN-RED.txt").write_text(list_text)
    return pytester.runpytest_subprocess("-p", "no:cacheprovider")


class TestKnownRed:
    """How KNOWN-RED.txt changes the result of a test run."""

    def test_unlisted_failure_fails_the_run(self, pytester: pytest.Pytester) -> None:
        """With an empty list of known failures, a failing test fails the run."""
        assert run_pytest(pytester, "").ret == 1

    def test_listed_failure_is_tolerated_and_printed(self, pytester: pytest.Pytester) -> None:
        """The run succeeds and prints the line of the failing test at its end."""
        result = run_pytest(pytester, "test_two.py::test_bad | a real fault | issue 9\n")
        assert result.ret == 0
        result.stdout.fnmatch_lines(["KNOWN RED test_two.py::test_bad: a real fault (issue 9)"])

    def test_listed_test_that_passes_fails_the_run(self, pytester: pytest.Pytester) -> None:
        """A test that passes again must leave the list; otherwise a new failure stays unseen."""
        listed = "test_two.py::test_bad | x | 9\ntest_two.py::test_good | x | 9\n"
        assert run_pytest(pytester, listed).ret == 1

    def test_line_without_cause_is_refused(self, pytester: pytest.Pytester) -> None:
        """Pytest reports a usage error for a line that lacks the cause or the issue."""
        assert run_pytest(pytester, "test_two.py::test_bad\n").ret == 4
