"""Draws goodput and wasted prefill against load."""

from __future__ import annotations

import statistics
from collections.abc import Callable
from pathlib import Path
from typing import Any

from crankhinge_bench._run_result import RunResult

FIGURES: tuple[tuple[str, Callable[[Any], float]], ...] = (
    ("in time, % of the bound", lambda cell: cell.of_bound * 100),
    ("goodput, requests a second", lambda cell: cell.summary.goodput),
    ("wasted prefill, % of tokens", lambda cell: cell.summary.wasted_share * 100),
)


def plot_results(results: list[RunResult], path: Path) -> None:
    """Write a PNG: a row for each scenario, a column for each figure, a line for each policy."""
    from matplotlib.figure import Figure

    scenarios = sorted({cell.scenario for cell in results})
    figure = Figure(figsize=(13, 3.6 * len(scenarios)), layout="constrained")
    grid = figure.subplots(len(scenarios), len(FIGURES), squeeze=False)
    for row, scenario in zip(grid, scenarios, strict=True):
        mine = [cell for cell in results if cell.scenario == scenario]
        for axes, (label, value) in zip(row, FIGURES, strict=True):
            _draw(axes, mine, value)
            axes.set_title(f"{scenario}: {label}", fontsize=10)
            axes.set_xlabel("load, multiple of the capacity")
            axes.set_ylim(bottom=0)
        row[0].legend(frameon=False)
    figure.savefig(path, dpi=100)


def _draw(axes: Any, cells: list[RunResult], value: Callable[[Any], float]) -> None:
    for policy in sorted({cell.policy for cell in cells}):
        loads = sorted({cell.load for cell in cells if cell.policy == policy})
        middles = []
        for load in loads:
            same = [value(c) for c in cells if c.policy == policy and c.load == load]
            middles.append(statistics.median(same))
        axes.plot(loads, middles, marker="o", label=policy)
