"""The checker: reads what callers saw and what backend servers recorded, nothing else.

It knows no internals of the product. For each promise of the brief it counts how often it was put
to the test and how often it was broken; a promise that was never put to the test isn't shown.
"""

from __future__ import annotations

import zlib
from collections import Counter
from typing import Any

import msgspec

from crankhinge_bench._load import NOT_RUN, Outcome
from crankhinge_soak._verdict import Verdict, make_verdict


class Drain(msgspec.Struct, kw_only=True):
    """A planned stop.

    Attributes:
        name: of the process.
        at: wall clock of SIGTERM.
        until: wall clock of its end.
        status: exit status.
        backend: name of the place whose backend server it stands beside; empty for an entry.
        cut: requests in progress when it ended, by its own last word; None, which counts as a
            break, when it left no word.
    """

    name: str
    at: float
    until: float
    status: int
    backend: str
    cut: int | None


class BundleSeen(msgspec.Struct, kw_only=True):
    """What one start of a process had in force.

    Attributes:
        process: its name.
        versions: wall clock and version, in order.
        digests: of each version's text.
    """

    process: str
    versions: list[tuple[float, int]]
    digests: dict[int, str] = {}


class History(msgspec.Struct, kw_only=True):
    """All that the checker looks at.

    Attributes:
        outcomes: what callers saw.
        runs: what plain services recorded.
        work: what engines recorded.
        held: requests in each engine's memory after everything had ended.
        drains: planned stops.
        bundles: versions in force.
        published: wall clock and version of each accepted bundle.
        ended: how many entries and agents were killed, paused or cut off.
    """

    outcomes: list[Outcome]
    runs: list[dict[str, Any]]
    work: list[dict[str, Any]]
    held: dict[str, int]
    drains: list[Drain]
    bundles: list[BundleSeen]
    published: list[tuple[float, int]]
    ended: int


LEAVING_GRACE_S = 3.0
MEMORY_RELEASE_S = 8.0
BUNDLE_PROPAGATION_S = 5.0


def check(history: History) -> list[Verdict]:
    """Return a verdict for each promise."""
    return [
        _check_memory_freed(history),
        _check_answered_once(history),
        _check_responses(history),
        _check_not_run_responses(history),
        _check_at_most_once(history),
        _check_leaving_servers(history),
        _check_planned_stops(history),
        _check_bundle_versions(history),
    ]


def _check_memory_freed(history: History) -> Verdict:
    gone = sum(seen.cancelled or not seen.whole for seen in history.outcomes)
    cases = [f"{name}: {held} held" for name, held in history.held.items() if held]
    ends = {row["prompt"]: row["at"] for row in history.work if row["kind"] == "end"}
    for seen in history.outcomes:
        end = ends.get(zlib.crc32(seen.arrival.prompt.encode()), 0.0)
        if seen.gone and end - seen.gone > MEMORY_RELEASE_S:
            cases.append(f"{seen.ident}: held {end - seen.gone:.1f} s after its caller went")
    return make_verdict("no engine memory stays tied", gone + history.ended, cases)


def _check_answered_once(history: History) -> Verdict:
    """Each identity is answered once: no two answers to one call carry different runs."""
    repeated = [seen for seen in history.outcomes if seen.arrival.path and seen.sent > 1]
    runs = Counter(run["key"] for run in history.runs if run["key"])
    cases = [seen.key for seen in repeated if runs[seen.key] > 1]
    return make_verdict("no request is answered twice", len(repeated), cases)


def _check_responses(history: History) -> Verdict:
    answered = [seen for seen in history.outcomes if seen.whole or seen.tokens]
    cases = [f"{seen.ident}: wrong tokens" for seen in answered if seen.wrong]
    return make_verdict("whole answer to its own request", len(answered), cases)


def _check_not_run_responses(history: History) -> Verdict:
    told = [s for s in history.outcomes if not s.whole and s.outcome == NOT_RUN]
    keys = {run["key"] for run in history.runs}
    prompts = {row["prompt"] for row in history.work if row["kind"] != "end"}
    cases = []
    for seen in told:
        if seen.arrival.path:
            ran = seen.key in keys
        else:
            ran = zlib.crc32(seen.arrival.prompt.encode()) in prompts
        if ran:
            cases.append(f"{seen.ident or seen.key}: {seen.code}")
    return make_verdict("not run is true", len(told), cases)


def _check_at_most_once(history: History) -> Verdict:
    runs = Counter(run["key"] for run in history.runs if run["key"])
    cases = [f"{key}: {count} runs" for key, count in runs.items() if count > 1]
    return make_verdict("non-repeatable runs at most once", len(runs), cases)


def _check_leaving_servers(history: History) -> Verdict:
    rows = [row for row in history.work + history.runs if row.get("kind") != "end"]
    drains = [drain for drain in history.drains if drain.backend]
    cases = []
    for drain in drains:
        late = [
            row
            for row in rows
            if row["place"] == drain.backend
            and drain.at + LEAVING_GRACE_S < row["at"] < drain.until
        ]
        cases += [f"{drain.name}: work {row['at'] - drain.at:.1f} s after" for row in late]
    return make_verdict("a leaving server gets no new work", len(drains), cases)


def _check_planned_stops(history: History) -> Verdict:
    cases = [
        f"{drain.name}: status {drain.status}, cut {drain.cut}"
        for drain in history.drains
        if drain.status or drain.cut != 0
    ]
    return make_verdict("a planned stop cuts nothing", len(history.drains), cases)


def _check_bundle_versions(history: History) -> Verdict:
    """No process goes back; each that lives through the bound has each bundle in force by then."""
    cases = []
    for seen in history.bundles:
        versions = [version for _, version in seen.versions]
        if versions != sorted(set(versions)):
            cases.append(f"{seen.process}: went back: {versions}")
    for version in sorted({v for seen in history.bundles for v in seen.digests}):
        digests = {s.digests[version] for s in history.bundles if version in s.digests}
        if len(digests) > 1:
            cases.append(f"version {version} has {len(digests)} texts")
    cases += [f"{p}: version {v} after {s:.1f} s" for p, v, s in find_late_bundles(history)]
    return make_verdict("a bundle is in force and never reverts", len(history.published), cases)


def find_late_bundles(history: History) -> list[tuple[str, int, float]]:
    """Return process, version and seconds of each bundle that came after the bound."""
    late = []
    for at, version in history.published:
        for seen in history.bundles:
            if not seen.versions or seen.versions[0][0] > at:
                continue
            times = [when for when, has in seen.versions if has >= version]
            if times and times[0] - at > BUNDLE_PROPAGATION_S:
                late.append((seen.process, version, times[0] - at))
    return late
