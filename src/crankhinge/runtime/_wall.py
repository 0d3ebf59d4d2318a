"""The wall clock, for times that are compared across processes and restarts.

Durations are measured with the steady clock instead.
"""

from __future__ import annotations

import time

NS_PER_MS = 1_000_000


def wall_ms() -> int:
    """Return milliseconds since the Unix epoch."""
    return time.time_ns() // NS_PER_MS
