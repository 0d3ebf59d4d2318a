"""Plots goodput and wasted prefill work against the load."""

from __future__ import annotations

import statistics
from collections.abc import Callable
from pathlib import Path
from typing import Any

from crankhinge_bench._run_result import RunResult

FIGURES: tuple[tuple[str, Callable[[Any], float]], ...] = (
    ("in time, % of the bound", lambda result: result.of_bound * 100),
    ("goodput, requests a second", lambda result: result.summary.goodput),
    ("wasted prefill, % of tokens", lambda result: result.summary.wasted_share * 100),
)


def plot_results(results: list[RunResult], path: Path) -> None:
    """Write a PNG with a row per scenario, a column per figure and a line per policy.

    Each point is the median of the runs with the same policy and load.
    """
    from matplotlib.figure import Figure

    scenarios = sorted({result.scenario for result in results})
    figure = Figure(figsize=(13, 3.6 * len(scenarios)), layout="constrained")
    grid = figure.subplots(len(scenarios), len(FIGURES), squeeze=False)
    for row, scenario in zip(grid, scenarios, strict=True):
        scenario_results = [result for result in results if result.scenario == scenario]
        for axes, (label, get_value) in zip(row, FIGURES, strict=True):
            _draw_policies(axes, scenario_results, get_value)
            axes.set_title(f"{scenario}: {label}", fontsize=10)
            axes.set_xlabel("load, multiple of the capacity")
            axes.set_ylim(bottom=0)
        row[0].legend(frameon=False)
    figure.savefig(path, dpi=100)


def _draw_policies(axes: Any, results: list[RunResult], get_value: Callable[[Any], float]) -> None:
    for policy in sorted({result.policy for result in results}):
        loads = sorted({result.load for result in results if result.policy == policy})
        medians = []
        for load in loads:
            values = [get_value(r) for r in results if r.policy == policy and r.load == load]
            medians.append(statistics.median(values))
        axes.plot(loads, medians, marker="o", label=policy)
