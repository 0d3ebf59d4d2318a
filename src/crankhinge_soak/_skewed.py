"""Starts the gateway with a clock that is skewed by the seconds in a file.

The clock of a single process can't be changed from outside without special rights. This launcher
therefore replaces ``time.time``, and nothing else, before it imports the program.
"""

from __future__ import annotations

import os
import time
from pathlib import Path

CLOCK = "CRANKHINGE_SOAK_CLOCK"


def main() -> int:
    """Run the gateway; return its exit status."""
    path = Path(os.environ[CLOCK])
    true_time = time.time

    def moved_time() -> float:
        try:
            return true_time() + float(path.read_text() or "0")
        except (OSError, ValueError):
            # The file does not exist yet, or is just being written.
            return true_time()

    time.time = moved_time
    from crankhinge_platform.gateway import main as gateway

    return gateway([])


if __name__ == "__main__":
    raise SystemExit(main())
