"""``crankhinge-ctl callers``: the callers' account, from gateways' logs."""

from __future__ import annotations

import argparse
from collections.abc import Iterator
from pathlib import Path

from crankhinge.burn import CallersAccount, CallerWeights, Outcome, Tally, read_tries
from crankhinge.burn import callers_account as make_account
from crankhinge.errors import SettingsError
from crankhinge.runtime import load_settings

_COLUMNS = (
    *(outcome.value for outcome in Outcome if outcome is not Outcome.LEFT),
    "held in vain s",
    "returns served",
    "returns refused",
    "returns failed",
    "worth",
)


def callers_account(args: argparse.Namespace) -> str:
    """Return the account as a table.

    Raises:
        SettingsError: a log or the weights can't be read, or no log has an end of a request.
    """
    weights = load_settings(args.weights, CallerWeights) if args.weights else CallerWeights()
    tries = read_tries(map(Path, args.logs))
    if not tries:
        raise SettingsError(f"no request ends in {len(args.logs)} logs")
    return "\n".join(_tell(make_account(tries, weights, window_s=args.window)))


def _tell(account: CallersAccount) -> Iterator[str]:
    yield "| first tries | " + " | ".join(_COLUMNS) + " |"
    yield "|---" * (len(_COLUMNS) + 1) + "|"
    yield _row("all", account.whole)
    for name, tally in sorted(account.routes.items()):
        yield _row(name, tally)
    for number, tally in sorted(account.windows.items()):
        yield _row(f"{number * account.window_s:g} s", tally)


def _row(name: str, tally: Tally) -> str:
    refused = (
        tally.returns[Outcome.REFUSED_AT_ONCE] + tally.returns[Outcome.REFUSED_LATER],
        tally.returns[Outcome.FAILED],
    )
    served = tally.returns[Outcome.IN_TIME] + tally.returns[Outcome.LATE]
    cells = [
        name,
        *(str(tally.firsts[outcome]) for outcome in Outcome if outcome is not Outcome.LEFT),
        f"{tally.held_s:.1f}",
        str(served),
        *map(str, refused),
        f"{tally.worth:.3f}",
    ]
    return "| " + " | ".join(cells) + " |"
