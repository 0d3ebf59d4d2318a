"""Tests that fail for a real fault that is not mended yet, as KNOWN-RED.txt lists them.

A line has the test's identity as pytest prints it, the cause and the issue, parted by bars. A
listed test may fail; one that passes again fails the run, so that its line is taken out.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

LIST_FILE = "KNOWN-RED.txt"
FIELDS_PER_LINE = 3


def read_known_red(root: Path) -> dict[str, str]:
    """Return cause and issue by test.

    Raises:
        pytest.UsageError: a line is not of the form ``test | cause | issue``.
    """
    path = root / LIST_FILE
    reasons = {}
    for line in path.read_text().splitlines() if path.exists() else ():
        if not line.strip():
            continue
        fields = [part.strip() for part in line.split("|")]
        if len(fields) != FIELDS_PER_LINE or not all(fields):
            raise pytest.UsageError(f"{LIST_FILE}: not 'test | cause | issue': {line}")
        reasons[fields[0]] = f"{fields[1]} ({fields[2]})"
    return reasons


def pytest_collection_modifyitems(config: Any, items: list[Any]) -> None:
    """Let the listed tests fail, and only fail."""
    reasons = read_known_red(config.rootpath)
    for item in items:
        if item.nodeid in reasons:
            item.add_marker(pytest.mark.xfail(reason=reasons[item.nodeid], strict=True))


def pytest_terminal_summary(terminalreporter: Any, config: Any) -> None:
    """Print what is listed."""
    for test, reason in read_known_red(config.rootpath).items():
        terminalreporter.write_line(f"KNOWN RED {test}: {reason}")
