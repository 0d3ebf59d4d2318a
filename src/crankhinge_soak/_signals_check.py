"""Checks that instances obey the signals in servers' responses: leaving and backoff.

Both invariants apply to the instance that received the signal, whatever faults hit other instances.
They don't apply while a fault hits that instance; the one about backoff doesn't apply while a fault
hits the server or the path to it, either.
"""

from __future__ import annotations

from collections import defaultdict
from typing import Any

from crankhinge_soak._history import History

# Seconds after which a server that announced its shutdown gets nothing more. This includes the
# delay that a busy machine adds.
LEAVING_GRACE_S = 3.0
# From BACKOFF_GRACE_S after a server's response with a backoff until the backoff ends, an instance
# sends the server at most MAX_REQUESTS_IN_BACKOFF requests.
BACKOFF_GRACE_S, MAX_REQUESTS_IN_BACKOFF = 0.5, 2

# Arrival time (wall clock) and id of each request that an instance sent to a server, by server and
# instance.
SentRequests = dict[tuple[str, str], list[tuple[float, str]]]


def check_leaving_signals(history: History) -> tuple[int, list[str]]:
    """Check that an instance that relayed a server's leaving signal sends it nothing more."""
    relayed: dict[tuple[str, str], float] = {}
    for row in _select_signal_rows(history):
        seen = history.by_ident.get(row["request"])
        if row["leaving"] and seen is not None and seen.complete and not seen.made_by_gateway:
            relayed.setdefault((row["server"], seen.gateway), seen.ended)
    cases = []
    all_sent = _group_sent_requests(history)
    for (server, gateway), at in relayed.items():
        for arrived, ident in all_sent[server, gateway]:
            sent = history.by_ident[ident].sent
            if sent > at + LEAVING_GRACE_S and not history.find_faults([gateway], at, arrived):
                cases.append(f"{ident} by {gateway} to {server} {sent - at:.2f} s after its signal")
    return len(relayed), cases


def check_backoffs(history: History) -> tuple[int, list[str]]:
    """Check that an instance sends almost nothing to a server during its backoff."""
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
            cases.append(
                f"{got} by {seen.gateway} to {row['server']} in {row['rest_s']} s of backoff"
            )
    return tested, cases


def _select_signal_rows(history: History) -> list[dict[str, Any]]:
    """Return the rows of responses with a leaving or backoff signal."""
    return [row for row in history.rows if row["kind"] == "told"]


def _group_sent_requests(history: History) -> SentRequests:
    sent: SentRequests = defaultdict(list)
    for ident, rows in history.arrivals.items():
        seen = history.by_ident.get(ident)
        if seen is not None:
            for row in rows:
                sent[row["server"], seen.gateway].append((row["at"], ident))
    return sent
