"""The wall clock, for what processes compare across starts; durations use the runtime's clock."""

from __future__ import annotations

import time

NS_PER_MS = 1_000_000


def wall_ms() -> int:
    """Return milliseconds since the epoch."""
    return time.time_ns() // NS_PER_MS
