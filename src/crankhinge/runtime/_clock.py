"""The clock by which ages, leases and deadlines are measured.

The monotonic clock stands still while a machine is suspended. An instance that wakes would believe
what it knew as young, and a lease that has ended as held: it would run requests by keys that were
taken away meanwhile. The clock of the boot counts that time; it never jumps either.
"""

from __future__ import annotations

import time

import curio.kernel

# Systems other than Linux have none of this name; their monotonic clock is taken.
_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def steady_s() -> float:
    """Return seconds since the boot, those of suspensions included."""
    return time.clock_gettime(_CLOCK_ID)


class _SteadyTimeModule:
    """Stands in the place of the module ``time`` in curio's kernel, which takes no other clock."""

    @staticmethod
    def monotonic() -> float:
        """Return the kernel's time."""
        return steady_s()


def use_steady_clock_in_curio() -> None:
    """Have the runtime's clock count the time for which the machine is suspended."""
    curio.kernel.time = _SteadyTimeModule
