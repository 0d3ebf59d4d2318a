"""Checks that a part of prompts on which engines crash is kept away from them, and no other part.

Both invariants apply to an instance while no fault hits it, its path to the store or the store.
"""

from __future__ import annotations

from collections.abc import Iterator

from crankhinge_soak._fleet import STREAM_PATHS
from crankhinge_soak._history import PREFILL_MARK, History
from crankhinge_soak._load import ObservedRequest

# From LATE_S after the COUNTED_CRASH-th crash, at most MAX_LATE_REQUESTS requests with the part
# reach engines. LATE_S includes the delay that a busy machine adds.
COUNTED_CRASH, LATE_S, MAX_LATE_REQUESTS = 5, 4.0, 3
# Crash after which instances refuse the part; from CLEARED_S after it, at most REFUSED_SHARE of
# MIN_SOUND or more requests that share another part are refused.
BARRING_CRASH, CLEARED_S, REFUSED_SHARE, MIN_SOUND = 3, 6.0, 0.5, 20
QUARANTINED = b'"quarantined"'


def check_crash_parts(history: History) -> tuple[int, list[str]]:
    """Check that few requests with a part reach engines once it has crashed five of them."""
    cases = []
    tested = 0
    for part, crashed_at in _crashes(history):
        barred_at = crashed_at[BARRING_CRASH - 1] + LATE_S
        tested += sum(seen.sent > barred_at for seen in _requests_with(history, part))
        if len(crashed_at) < COUNTED_CRASH:
            continue
        late = _late_arrivals(history, part, crashed_at[COUNTED_CRASH - 1] + LATE_S)
        if len(late) > MAX_LATE_REQUESTS:
            cases.append(f"{part}: {len(late)} late requests: {', '.join(late)}")
    return tested, cases


def check_sound_parts(history: History) -> tuple[int, list[str]]:
    """Check that requests that share a part with those that crash engines are not refused."""
    cases = []
    tested = 0
    for part, crashed_at in _crashes(history):
        last_sent = max(seen.sent for seen in _requests_with(history, part))
        sound = [
            seen
            for seen in history.seen
            if crashed_at[BARRING_CRASH - 1] + CLEARED_S < seen.sent < last_sent
            and not seen.crash_part
            and seen.path in STREAM_PATHS
            and history.time_bounds_apply(seen.gateway, seen.sent, seen.ended)
        ]
        refused = [seen.ident for seen in sound if QUARANTINED in seen.refusal]
        if len(sound) < MIN_SOUND:
            continue
        tested += len(sound)
        if len(refused) > REFUSED_SHARE * len(sound):
            cases.append(f"{part}: {len(refused)} of {len(sound)} sound requests refused")
    return tested, cases


def _crashes(history: History) -> Iterator[tuple[str, list[float]]]:
    """Yield each part that has crashed enough engines to be refused, and when it did."""
    by_part: dict[str, list[float]] = {}
    for row in history.rows:
        if row["kind"] == "crashed":
            by_part.setdefault(row["part"], []).append(row["at"])
    for part, crashed_at in by_part.items():
        if len(crashed_at) >= BARRING_CRASH:
            yield part, sorted(crashed_at)


def _requests_with(history: History, part: str) -> list[ObservedRequest]:
    return [seen for seen in history.seen if seen.crash_part == part]


def _late_arrivals(history: History, part: str, after: float) -> list[str]:
    """Return the ids of requests with a part that reached decode engines after a time."""
    late = []
    for row in history.rows:
        if row["kind"] != "arrival" or row.get("crash_part") != part or row["at"] <= after:
            continue
        seen = history.by_ident.get(row["request"])
        if seen is None or PREFILL_MARK in history.places.get(row["server"], ""):
            continue
        if history.time_bounds_apply(seen.gateway, seen.sent, row["at"]):
            late.append(seen.ident)
    return late
