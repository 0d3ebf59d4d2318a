"""Checks that instances keep to what servers say of themselves: that they leave, or want rest.

Both hold for the instance that was told, whatever befell others; only what befell itself, or its
path to the server, excuses it.
"""

from __future__ import annotations

from collections import defaultdict
from typing import Any

from crankhinge_soak._history import History

# Seconds after which a server that said it leaves gets nothing more, with those of a busy machine.
LEAVING_GRACE_S = 3.0
# Seconds after its word from which a server that wants rest gets at most so many requests.
BACKOFF_GRACE_S, MAX_REQUESTS_IN_BACKOFF = 0.5, 2

# What one instance sent: wall clock and identity of the request, by server and instance.
SentRequests = dict[tuple[str, str], list[tuple[float, str]]]


def check_leaving_signals(history: History) -> tuple[int, list[str]]:
    """A server gets nothing from an instance that has passed on its word that it leaves."""
    told: dict[tuple[str, str], float] = {}
    for row in _select_signal_rows(history):
        seen = history.by_ident.get(row["request"])
        if row["leaving"] and seen is not None and seen.complete and not seen.from_instance:
            told.setdefault((row["server"], seen.gateway), seen.ended)
    cases = []
    all_sent = _group_sent_requests(history)
    for (server, gateway), at in told.items():
        for arrived, ident in all_sent[server, gateway]:
            sent = history.by_ident[ident].sent
            if sent > at + LEAVING_GRACE_S and not history.find_faults([gateway], at, arrived):
                cases.append(f"{ident} by {gateway} to {server} {sent - at:.2f} s after its word")
    return len(told), cases


def check_backoffs(history: History) -> tuple[int, list[str]]:
    """A server that refused an instance and wants rest gets next to nothing from it meanwhile."""
    cases = []
    tested = 0
    all_sent = _group_sent_requests(history)
    for row in _select_signal_rows(history):
        seen = history.by_ident.get(row["request"])
        begin, end = row["at"], row["at"] + row["rest_s"]
        if seen is None or end - begin <= BACKOFF_GRACE_S:
            continue
        names = [seen.gateway, history.places.get(row["server"], "")]
        if history.find_faults(names, begin, end):
            continue
        tested += 1
        times = all_sent[row["server"], seen.gateway]
        got = sum(begin + BACKOFF_GRACE_S < at < end for at, _ in times)
        if got > MAX_REQUESTS_IN_BACKOFF:
            cases.append(f"{got} by {seen.gateway} to {row['server']} in {row['rest_s']} s of rest")
    return tested, cases


def _select_signal_rows(history: History) -> list[dict[str, Any]]:
    return [row for row in history.rows if row["kind"] == "told"]


def _group_sent_requests(history: History) -> SentRequests:
    sent: SentRequests = defaultdict(list)
    for ident, rows in history.arrivals.items():
        seen = history.by_ident.get(ident)
        if seen is not None:
            for row in rows:
                sent[row["server"], seen.gateway].append((row["at"], ident))
    return sent
