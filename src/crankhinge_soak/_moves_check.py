"""Checks that a run that is moved is in progress at one engine at a time."""

from __future__ import annotations

from typing import Any

from crankhinge_soak._history import History


def check_moves(history: History) -> tuple[int, list[str]]:
    """Check that an engine continues a run only after the engine before it has stopped.

    An engine that was killed has not recorded the end of its runs; they ended with its process.
    """
    cases = []
    for ident, continuations in history.continued.items():
        begun = sorted([*history.runs.get(ident, []), *continuations], key=lambda row: row["at"])
        for row in continuations:
            before = [other for other in begun if other["at"] < row["at"]]
            if not before:
                cases.append(f"{ident}: continued at {row['server']}, but began nowhere")
            cases += [
                f"{ident}: continued at {row['server']}, in progress at {other['server']}"
                for other in before
                if _is_in_progress(history, ident, other, row["at"])
            ]
    return sum(map(len, history.continued.values())), cases


def _is_in_progress(history: History, ident: str, begun: dict[str, Any], at: float) -> bool:
    """Return whether a run that began before *at* was recorded as ended only after it."""
    ends = [
        row["at"]
        for row in history.ended.get(ident, [])
        if row["server"] == begun["server"] and row["at"] >= begun["at"]
    ]
    return bool(ends) and min(ends) > at
