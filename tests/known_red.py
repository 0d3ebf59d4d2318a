"""Tests that fail for a real fault that is not mended yet, as KNOWN-RED.txt lists them.

A line has the test's identity as pytest prints it, the cause and the issue, parted by bars. A
listed test may fail; one that passes again fails the run, so that its line is taken out.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

FILE = "KNOWN-RED.txt"
PARTS = 3


def read_known_red(root: Path) -> dict[str, str]:
    """Return cause and issue by test.

    Raises:
        pytest.UsageError: a line is not of the form ``test | cause | issue``.
    """
    path = root / FILE
    known = {}
    for line in path.read_text().splitlines() if path.exists() else ():
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != PARTS or not all(parts):
            raise pytest.UsageError(f"{FILE}: not 'test | cause | issue': {line}")
        known[parts[0]] = f"{parts[1]} ({parts[2]})"
    return known


def pytest_collection_modifyitems(config: Any, items: list[Any]) -> None:
    """Let the listed tests fail, and only fail."""
    known = read_known_red(config.rootpath)
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason=known[item.nodeid], strict=True))


def pytest_terminal_summary(terminalreporter: Any, config: Any) -> None:
    """Print what is listed."""
    for test, why in read_known_red(config.rootpath).items():
        terminalreporter.write_line(f"KNOWN RED {test}: {why}")
