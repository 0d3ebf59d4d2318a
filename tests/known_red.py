"""Pytest hooks for tests that fail because of a known fault that isn't fixed yet.

KNOWN-RED.txt lists these tests. Each line has the test's node id as pytest prints it, the cause and
the issue, separated by ``|``. A listed test may fail. If it passes, the run fails, so that the line
gets removed.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

LIST_FILE = "KNOWN-RED.txt"
FIELDS_PER_LINE = 3


def read_known_red(root: Path) -> dict[str, str]:
    """Return the cause and issue of each listed test by node id; empty without a list.

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
    """Mark the listed tests as expected failures; the run fails if one of them passes."""
    reasons = read_known_red(config.rootpath)
    for item in items:
        if item.nodeid in reasons:
            item.add_marker(pytest.mark.xfail(reason=reasons[item.nodeid], strict=True))


def pytest_terminal_summary(terminalreporter: Any, config: Any) -> None:
    """Print each listed test with its cause and issue."""
    for test, reason in read_known_red(config.rootpath).items():
        terminalreporter.write_line(f"KNOWN RED {test}: {reason}")
