"""``crankhinge-ctl callers``: reports the value of the service to callers, from gateway logs."""

from __future__ import annotations

import argparse
from collections.abc import Iterator
from pathlib import Path

from crankhinge.burn import (
    CallerOutcome,
    CallerValue,
    CallerValueReport,
    CallerWeights,
    compute_caller_value,
    read_caller_attempts,
)
from crankhinge.errors import SettingsError
from crankhinge.runtime import load_settings

_COLUMNS = (
    *(outcome.value for outcome in CallerOutcome if outcome is not CallerOutcome.ABANDONED),
    "held in vain s",
    "returns served",
    "returns refused",
    "returns failed",
    "worth",
)


def report_caller_value(args: argparse.Namespace) -> str:
    """Return the value to callers as a Markdown table: in total, by route and by time window.

    Raises:
        SettingsError: a log or the weights file cannot be read, or the logs contain no completed
            request.
    """
    weights = load_settings(args.weights, CallerWeights) if args.weights else CallerWeights()
    attempts = read_caller_attempts(map(Path, args.logs))
    if not attempts:
        raise SettingsError(f"the logs contain no completed request (logs read: {len(args.logs)})")
    return "\n".join(_render_table(compute_caller_value(attempts, weights, window_s=args.window)))


def _render_table(report: CallerValueReport) -> Iterator[str]:
    yield "| first tries | " + " | ".join(_COLUMNS) + " |"
    yield "|---" * (len(_COLUMNS) + 1) + "|"
    yield _render_row("all", report.total)
    for name, value in sorted(report.value_by_route.items()):
        yield _render_row(name, value)
    for number, value in sorted(report.value_by_window.items()):
        yield _render_row(f"{number * report.window_s:g} s", value)


def _render_row(name: str, value: CallerValue) -> str:
    refused = (
        value.retries[CallerOutcome.REFUSED_IMMEDIATELY]
        + value.retries[CallerOutcome.REFUSED_AFTER_WAIT],
        value.retries[CallerOutcome.FAILED],
    )
    served = value.retries[CallerOutcome.IN_TIME] + value.retries[CallerOutcome.LATE]
    cells = [
        name,
        *(
            str(value.first_attempts[outcome])
            for outcome in CallerOutcome
            if outcome is not CallerOutcome.ABANDONED
        ),
        f"{value.unserved_wait_s:.1f}",
        str(served),
        *map(str, refused),
        f"{value.relative_value:.3f}",
    ]
    return "| " + " | ".join(cells) + " |"
