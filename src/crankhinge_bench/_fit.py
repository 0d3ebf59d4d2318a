"""Fits lines to measured points and reads the resource use of a process."""

from __future__ import annotations

import os
import statistics
from pathlib import Path

import msgspec

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class Slope(msgspec.Struct, kw_only=True):
    """A line fitted to measured points.

    Attributes:
        name: name of the measurement: what grows with what.
        unit: unit of y.
        points: x and y of each measurement.
        slope: increase of y per unit of x.
        base: y of the line at x = 0.
        error: largest distance of a point from the line, as a fraction of the largest y.
    """

    name: str
    unit: str
    points: list[tuple[float, float]]
    slope: float
    base: float
    error: float


def fit_line(name: str, unit: str, points: list[tuple[float, float]]) -> Slope:
    """Fit a line to *points* by least squares."""
    xs = [x for x, _ in points]
    ys = [y for _, y in points]
    slope, base = statistics.linear_regression(xs, ys)
    max_distance = max(abs(y - (slope * x + base)) for x, y in points)
    error = max_distance / max(abs(y) for y in ys)
    return Slope(name=name, unit=unit, points=points, slope=slope, base=base, error=error)


def read_cpu_s(pid: int) -> float:
    """Return the CPU seconds, user and system, that process *pid* has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def read_rss_kib(pid: int) -> int:
    """Return the resident memory of process *pid* in KiB; 0 if the kernel doesn't state it."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1])
    return 0
