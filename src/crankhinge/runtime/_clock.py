"""The steady clock, which measures ages, leases and deadlines.

The usual monotonic clock stops while a machine is suspended. After a resume an instance would take
outdated data for recent and an expired lease for valid, and would run requests with keys that were
revoked during the suspension. The boot-time clock counts suspended time and never jumps either.
"""

from __future__ import annotations

import time

import curio.kernel

# Only Linux has CLOCK_BOOTTIME; other systems use their monotonic clock.
_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def steady_s() -> float:
    """Return seconds since the machine's boot, including time spent suspended."""
    return time.clock_gettime(_CLOCK_ID)


class _SteadyTimeModule:
    """Replaces the module ``time`` in curio's kernel, which has no setting for its clock."""

    @staticmethod
    def monotonic() -> float:
        """Return the time on the steady clock in seconds."""
        return steady_s()


def use_steady_clock_in_curio() -> None:
    """Make curio's kernel, with its sleeps and timeouts, use the steady clock."""
    curio.kernel.time = _SteadyTimeModule
