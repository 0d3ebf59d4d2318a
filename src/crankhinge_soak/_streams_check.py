"""Checks streams over all attempts of their callers: pieces, versions, and how many go on."""

from __future__ import annotations

import itertools
from collections import defaultdict
from dataclasses import dataclass

from crankhinge_soak._fleet import RESUMED_PATH, SERVER_VERSIONS, STREAM_PATHS, UNLIMITED_ACCOUNT
from crankhinge_soak._history import ENGINE_PREFIX, PREFILL_MARK, History
from crankhinge_soak._load import EVENT_END, ObservedRequest
from crankhinge_standins.replica import make_events

# Seconds after its start from which a server counts as one that serves: its entry is in the list of
# every instance by then.
SERVING_AFTER_S = 2.0
# Of at least MIN_TAKEN_UP streams that are taken up while at least MIN_SERVING servers of their
# version serve, the share that goes on is at least MIN_SHARE of the share of new streams that begin
# meanwhile.
MIN_TAKEN_UP, MIN_SERVING, MIN_SHARE = 12, 2, 0.5
# Seconds before and after an attempt at which a stream is taken up within which new streams are
# compared with it.
SPAN_SLACK_S = 0.5
# Faults that end a server, or stop it for a while.
ENDING_KINDS = ("kill", "stop", "pause", "crash")


def check_stream_versions(history: History) -> tuple[int, list[str]]:
    """Check that no stream has events of two software versions, over a caller's attempts.

    No fault excuses such a stream.
    """
    versions = {row["server"]: row.get("version", "") for row in history.rows if "place" in row}
    resumed = [
        seen
        for seen in history.seen
        if seen.resumes or len({row["server"] for row in history.runs.get(seen.ident, ())}) > 1
    ]
    cases = [
        f"{seen.ident} by {seen.gateway}, begun as {seen.begun_as}: {sorted(seen.versions)}, "
        f"ran at {[versions.get(row['server']) for row in history.runs.get(seen.ident, ())]}"
        for seen in history.seen
        if len(seen.versions) > 1
    ]
    return len(resumed), cases


def check_stream_pieces(history: History) -> tuple[int, list[str]]:
    """Check that what callers have of a stream is a beginning of it, and whole if told so.

    No piece may be missing, come twice or be of another run, in one response or over a caller's
    attempts.
    """
    streams = [seen for seen in history.seen if seen.path in STREAM_PATHS and seen.received]
    failures: dict[str, str] = {}
    for seen in streams:
        failure = _describe_bad_pieces(seen)
        if failure:
            failures.setdefault(seen.begun_as, f"{seen.ident} by {seen.gateway}: {failure}")
    return len({seen.begun_as for seen in streams}), [
        f"{failure}, begun as {begun_as}" for begun_as, failure in failures.items()
    ]


def _describe_bad_pieces(seen: ObservedRequest) -> str:
    """Return how the pieces of a stream do not fit together, or an empty string if they do."""
    runs = [make_events(seen.begun_as, version) for version in SERVER_VERSIONS]
    count = len(runs[0])
    *events, rest = seen.received.split(EVENT_END)
    for number, event in enumerate(events, start=1):
        if number > count:
            return f"{len(events)} events, {count} expected"
        if any(event + EVENT_END == run[number - 1] for run in runs):
            continue
        where = [n for n in range(1, count + 1) if any(event + EVENT_END == r[n - 1] for r in runs)]
        if not where:
            return f"event {number} is of another run"
        how = "is missing" if where[0] > number else f"is event {where[0]} again"
        return f"event {number} {how}"
    if rest and not any(run[len(events)].startswith(rest) for run in runs if len(events) < count):
        return f"bytes of no event after event {len(events)}"
    if seen.status == 200 and seen.complete and (rest or len(events) < count):
        return f"told as complete after event {len(events)} of {count}"
    return ""


@dataclass
class TakenUp:
    """A stream that its caller took up.

    Attributes:
        first: the attempt that began it.
        attempts: the later attempts, in order.
    """

    first: ObservedRequest
    attempts: list[ObservedRequest]

    @property
    def went_on(self) -> bool:
        """Whether any of the attempts brought the stream further."""
        return any(seen.status == 200 for seen in self.attempts)


def check_take_ups(history: History) -> tuple[int, list[str]]:
    """Check that streams that are taken up go on half as often as new ones begin."""
    judged, spans = _select_judged(history)
    if len(judged) < MIN_TAKEN_UP:
        return 0, []
    new = _select_new(history, spans)
    went_on = sum(stream.went_on for stream in judged)
    began = sum(seen.status == 200 for seen in new)
    cases = []
    if new and went_on / len(judged) < MIN_SHARE * began / len(new):
        cases.append(f"{went_on} of {len(judged)} went on, {began} of {len(new)} new ones began")
    return len(judged), cases


def _select_new(history: History, spans: list[tuple[float, float]]) -> list[ObservedRequest]:
    """Return the attempts at new streams of the resumable route within any of *spans*."""
    return [
        seen
        for seen in history.seen
        if not seen.resumes
        and seen.path == RESUMED_PATH
        and _is_countable(history, seen)
        and any(begin <= seen.sent <= end for begin, end in spans)
    ]


def describe_take_ups(history: History) -> str:
    """Return figures of the streams that callers took up, for the last line of a report."""
    streams = _select_taken_up(history)
    judged, spans = _select_judged(history)
    new = _select_new(history, spans)
    mixed = sum(any(len(seen.versions) > 1 for seen in each.attempts) for each in streams)
    return (
        f", taken up {len(streams)}, went on {sum(each.went_on for each in streams)}, "
        f"mixed {mixed}; with two servers of their version {len(judged)}, "
        f"went on {sum(each.went_on for each in judged)}, "
        f"while {sum(seen.status == 200 for seen in new)} of {len(new)} new ones began"
    )


def _is_countable(history: History, seen: ObservedRequest) -> bool:
    """Whether a request reached an instance that ran all the time, and its caller may be served."""
    return (
        not seen.caller_left
        and seen.account == UNLIMITED_ACCOUNT
        and seen.key not in history.revoked
        and not history.find_faults([seen.gateway], seen.sent, seen.ended)
    )


def _select_taken_up(history: History) -> list[TakenUp]:
    """Return the streams that were taken up."""
    attempts: dict[str, list[ObservedRequest]] = defaultdict(list)
    for seen in history.seen:
        if seen.resumes:
            attempts[seen.resumes].append(seen)
    return [TakenUp(history.by_ident[ident], later) for ident, later in attempts.items()]


def _select_judged(history: History) -> tuple[list[TakenUp], list[tuple[float, float]]]:
    """Return the streams with attempts at which they have to go on, with these attempts only.

    The second value has the times of these attempts, widened by SPAN_SLACK_S.
    """
    serving = _find_serving_times(history)
    judged = []
    for stream in _select_taken_up(history):
        times = serving[min(stream.first.versions, default="")]
        attempts = [
            seen
            for seen in stream.attempts
            if _is_countable(history, seen)
            and sum(begin <= seen.sent and seen.ended <= end for begin, end in times) >= MIN_SERVING
        ]
        if attempts:
            judged.append(TakenUp(stream.first, attempts))
    spans = [
        (seen.sent - SPAN_SLACK_S, seen.ended + SPAN_SLACK_S)
        for each in judged
        for seen in each.attempts
    ]
    return judged, spans


def _find_serving_times(history: History) -> defaultdict[str, list[tuple[float, float]]]:
    """Return from when to when each decode engine served, by software version."""
    times: defaultdict[str, list[tuple[float, float]]] = defaultdict(list)
    births = [row for row in history.rows if row["kind"] == "born"]
    for row in births:
        place, at = row["place"], row["at"]
        if not place.startswith(ENGINE_PREFIX) or PREFILL_MARK in place:
            continue
        faults = (
            fault.began
            for fault in history.troubles
            if fault.target == place and fault.kind in ENDING_KINDS
        )
        others = (other["at"] for other in births if other["place"] == place)
        crash = history.crashed_at.get(row["server"], float("inf"))
        ends = [end for end in itertools.chain(faults, others, [crash]) if end > at]
        times[row["version"]].append((at + SERVING_AFTER_S, min(ends)))
    return times
