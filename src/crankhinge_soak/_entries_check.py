"""Checks the invariants of entries and agents against what callers and backend servers recorded.

The checker uses no internals of the product. For each invariant it counts tests and violations. An
invariant that was never tested does not count as proven.
"""

from __future__ import annotations

import zlib
from collections import Counter
from typing import Any

import msgspec

from crankhinge_bench._load import NOT_RUN, RequestResult
from crankhinge_soak._verdict import Verdict, make_verdict


class Drain(msgspec.Struct, kw_only=True):
    """A planned stop of a process.

    Attributes:
        name: name of the process.
        at: wall clock of SIGTERM.
        until: wall clock of the exit.
        status: exit status.
        backend: name of the agent, under which its backend server records its rows; empty for an
            entry.
        cut: number of requests in progress at the exit, from the last line that the process logged
            about it; None when it logged no such line, which counts as a violation.
    """

    name: str
    at: float
    until: float
    status: int
    backend: str
    cut: int | None


class BundleSeen(msgspec.Struct, kw_only=True):
    """The bundles that were active in one incarnation of a process.

    Attributes:
        process: name of the process.
        versions: wall clock and version of each bundle, in order.
        digests: digest of each version's text.
    """

    process: str
    versions: list[tuple[float, int]]
    digests: dict[int, str] = {}


class History(msgspec.Struct, kw_only=True):
    """All input of the checker.

    Attributes:
        outcomes: what callers saw of each request.
        runs: calls that plain services recorded.
        work: requests that engines recorded.
        held: number of requests still in each engine after all requests had ended.
        drains: planned stops.
        bundles: bundles that were active in each incarnation of a process.
        published: wall clock and version of each published bundle.
        ended: number of times that an entry, an agent or a backend server was killed or paused.
    """

    outcomes: list[RequestResult]
    runs: list[dict[str, Any]]
    work: list[dict[str, Any]]
    held: dict[str, int]
    drains: list[Drain]
    bundles: list[BundleSeen]
    published: list[tuple[float, int]]
    ended: int


# Seconds after which a leaving server gets no new request.
LEAVING_GRACE_S = 3.0
# Seconds after a caller has left until engines have freed the memory of its request.
MEMORY_RELEASE_S = 8.0
# Seconds after which a published bundle is active in every process.
BUNDLE_PROPAGATION_S = 5.0


def check(history: History) -> list[Verdict]:
    """Return a verdict for each invariant."""
    return [
        _check_memory_freed(history),
        _check_answered_once(history),
        _check_answer_tokens(history),
        _check_not_run_responses(history),
        _check_at_most_once(history),
        _check_leaving_servers(history),
        _check_planned_stops(history),
        _check_bundle_versions(history),
    ]


def _check_memory_freed(history: History) -> Verdict:
    """Check that engines free the memory of requests that ended or whose caller left."""
    incomplete = sum(seen.cancelled or not seen.complete for seen in history.outcomes)
    cases = [f"{name}: {held} held" for name, held in history.held.items() if held]
    ends = {row["prompt"]: row["at"] for row in history.work if row["kind"] == "end"}
    for seen in history.outcomes:
        end = ends.get(zlib.crc32(seen.arrival.prompt.encode()), 0.0)
        if seen.cancelled_at and end - seen.cancelled_at > MEMORY_RELEASE_S:
            cases.append(
                f"{seen.request_id}: held {end - seen.cancelled_at:.1f} s after its caller left"
            )
    return make_verdict("no engine memory stays tied", incomplete + history.ended, cases)


def _check_answered_once(history: History) -> Verdict:
    """Check that a call that its caller sent several times ran at most once."""
    repeated_calls = [seen for seen in history.outcomes if seen.arrival.path and seen.attempts > 1]
    runs = Counter(run["key"] for run in history.runs if run["key"])
    cases = [seen.key for seen in repeated_calls if runs[seen.key] > 1]
    return make_verdict("no request is answered twice", len(repeated_calls), cases)


def _check_answer_tokens(history: History) -> Verdict:
    """Check that each response has the tokens of its own request."""
    answered = [seen for seen in history.outcomes if seen.complete or seen.tokens]
    cases = [f"{seen.request_id}: wrong tokens" for seen in answered if seen.wrong]
    return make_verdict("whole answer to its own request", len(answered), cases)


def _check_not_run_responses(history: History) -> Verdict:
    """Check that a request did not run if its caller was told that it had not run."""
    denials = [s for s in history.outcomes if not s.complete and s.outcome == NOT_RUN]
    keys = {run["key"] for run in history.runs}
    prompts = {row["prompt"] for row in history.work if row["kind"] != "end"}
    cases = []
    for seen in denials:
        if seen.arrival.path:
            ran = seen.key in keys
        else:
            ran = zlib.crc32(seen.arrival.prompt.encode()) in prompts
        if ran:
            cases.append(f"{seen.request_id or seen.key}: {seen.code}")
    return make_verdict("not run is true", len(denials), cases)


def _check_at_most_once(history: History) -> Verdict:
    """Check that no key of a non-repeatable call ran more than once."""
    runs = Counter(run["key"] for run in history.runs if run["key"])
    cases = [f"{key}: {count} runs" for key, count in runs.items() if count > 1]
    return make_verdict("non-repeatable runs at most once", len(runs), cases)


def _check_leaving_servers(history: History) -> Verdict:
    """Check that a backend server whose agent drains gets no new request."""
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
        cases += [f"{drain.name}: work {row['at'] - drain.at:.1f} s after SIGTERM" for row in late]
    return make_verdict("a leaving server gets no new work", len(drains), cases)


def _check_planned_stops(history: History) -> Verdict:
    """Check that a process that gets SIGTERM exits with status 0 and cuts no request."""
    cases = [
        f"{drain.name}: status {drain.status}, cut {drain.cut}"
        for drain in history.drains
        if drain.status or drain.cut != 0
    ]
    return make_verdict("a planned stop cuts nothing", len(history.drains), cases)


def _check_bundle_versions(history: History) -> Verdict:
    """Check the versions of the bundles that were active in processes.

    No process returns to an earlier version, and a version has the same text everywhere. Each
    published bundle becomes active within ``BUNDLE_PROPAGATION_S`` in every process that was
    running when it was published.
    """
    cases = []
    for seen in history.bundles:
        versions = [version for _, version in seen.versions]
        if versions != sorted(set(versions)):
            cases.append(f"{seen.process}: versions out of order: {versions}")
    for version in sorted({v for seen in history.bundles for v in seen.digests}):
        digests = {s.digests[version] for s in history.bundles if version in s.digests}
        if len(digests) > 1:
            cases.append(f"version {version} has {len(digests)} different texts")
    cases += [f"{p}: version {v} active after {s:.1f} s" for p, v, s in find_late_bundles(history)]
    return make_verdict("a bundle is in force and never reverts", len(history.published), cases)


def find_late_bundles(history: History) -> list[tuple[str, int, float]]:
    """Return process, version and delay in seconds of each bundle that became active too late."""
    late = []
    for at, version in history.published:
        for seen in history.bundles:
            if not seen.versions or seen.versions[0][0] > at:
                continue
            times = [when for when, newer in seen.versions if newer >= version]
            if times and times[0] - at > BUNDLE_PROPAGATION_S:
                late.append((seen.process, version, times[0] - at))
    return late
