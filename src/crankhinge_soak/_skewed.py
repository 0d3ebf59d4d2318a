"""Starts the gateway with a time of day that is moved by what a file says.

A process's clock can't be moved from outside without special rights; so this launcher replaces
the call that tells the time of day, and nothing else, before the program is imported.
"""

from __future__ import annotations

import os
import time
from pathlib import Path

CLOCK = "CRANKHINGE_SOAK_CLOCK"


def main() -> int:
    """Run the gateway; returns its exit status."""
    path = Path(os.environ[CLOCK])
    true_time = time.time

    def moved_time() -> float:
        try:
            return true_time() + float(path.read_text() or "0")
        except (OSError, ValueError):
            # Nothing was written yet, or the file is being written.
            return true_time()

    time.time = moved_time
    from crankhinge_platform.gateway import main as gateway

    return gateway([])


if __name__ == "__main__":
    raise SystemExit(main())
