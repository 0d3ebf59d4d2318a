"""``crankhinge-ctl callers``: the callers' account, from gateways' logs."""

from __future__ import annotations

import argparse
from collections.abc import Iterator
from pathlib import Path

from crankhinge.burn import (
    CallerOutcome,
    CallerValue,
    CallerValueReport,
    CallerWeights,
    read_caller_attempts,
)
from crankhinge.burn import compute_caller_value as make_account
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
    """Return the account as a table.

    Raises:
        SettingsError: a log or the weights can't be read, or no log has an end of a request.
    """
    weights = load_settings(args.weights, CallerWeights) if args.weights else CallerWeights()
    tries = read_caller_attempts(map(Path, args.logs))
    if not tries:
        raise SettingsError(f"no request ends in {len(args.logs)} logs")
    return "\n".join(_render_table(make_account(tries, weights, window_s=args.window)))


def _render_table(account: CallerValueReport) -> Iterator[str]:
    yield "| first tries | " + " | ".join(_COLUMNS) + " |"
    yield "|---" * (len(_COLUMNS) + 1) + "|"
    yield _render_row("all", account.total)
    for name, tally in sorted(account.routes.items()):
        yield _render_row(name, tally)
    for number, tally in sorted(account.windows.items()):
        yield _render_row(f"{number * account.window_s:g} s", tally)


def _render_row(name: str, tally: CallerValue) -> str:
    refused = (
        tally.retries[CallerOutcome.REFUSED_IMMEDIATELY]
        + tally.retries[CallerOutcome.REFUSED_AFTER_WAIT],
        tally.retries[CallerOutcome.FAILED],
    )
    served = tally.retries[CallerOutcome.IN_TIME] + tally.retries[CallerOutcome.LATE]
    cells = [
        name,
        *(
            str(tally.first_attempts[outcome])
            for outcome in CallerOutcome
            if outcome is not CallerOutcome.ABANDONED
        ),
        f"{tally.wasted_hold_s:.1f}",
        str(served),
        *map(str, refused),
        f"{tally.relative_value:.3f}",
    ]
    return "| " + " | ".join(cells) + " |"
