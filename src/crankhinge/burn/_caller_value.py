"""What service was worth to callers, counted from their first try, from gateways' logs.

A caller that was refused and comes back is a *return*; it is told apart by the time that it still
waits, which is shorter than that of a first try on the same route. What counts is the first try:

* in time: the size of the request;
* late: a part of it;
* anything else: nothing; a refused request that is served on its return stays a refused one.

Each second that a request was held and then not served costs, and so do a return that is not served
and a refusal while nobody was asked for room; all of them linearly, with the weights below.
"""

from __future__ import annotations

import enum
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path
from typing import Annotated

import msgspec

from crankhinge.burn._log_events import parse_line
from crankhinge.decisions import FIRSTS_LEAST, FIRSTS_PART, HELD_PER_S, LATE_WORTH, RETURNED_PART
from crankhinge.errors import SettingsError

# A refusal within this time, in milliseconds, is one at once: a question to three engines is
# answered in some ten.
MAX_IMMEDIATE_REFUSAL_MS = 60.0
# Weight of a token of an answer against one of a prompt in the size of a request, and the part of
# a request's worth that does not depend on its size.
OUTPUT_TOKEN_WEIGHT = 10
FIXED_VALUE_FRACTION = 0.3
# Largest worth of a request, in those of the mean one.
MAX_SIZE_FACTOR = 4.0
# A caller that goes later than this part of the time that it would have waited was held in vain;
# one that goes before has changed its mind.
FULL_WAIT_FRACTION = 0.9

_END_EVENTS = frozenset({"answered", "request_failed", "broken_off", "caller_gone"})

CostFraction = Annotated[float, msgspec.Meta(ge=0, le=10)]


class CallerWeights(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What counts how much, in parts of the size of the request concerned.

    Attributes:
        late: an answer that is late.
        held_per_s: cost of each second that a request is held and then not served.
        failed_return: cost of a return that is not served.
        needless: cost of a refusal for which no server was asked for room.
        kinds: worth of a request of mean size by kind of route; 1 where none is given.
    """

    late: CostFraction = LATE_WORTH
    held_per_s: CostFraction = HELD_PER_S
    failed_return: CostFraction = 0.3
    needless: CostFraction = 0.5
    kinds: dict[str, float] = {}


class CallerOutcome(enum.Enum):
    """How a try ended for its caller."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED_IMMEDIATELY = "refused at once"
    REFUSED_AFTER_WAIT = "refused after a wait"
    FAILED = "failed"
    ABANDONED = "left by its caller"

    @property
    def is_served(self) -> bool:
        """Whether the caller got its answer."""
        return self in (CallerOutcome.IN_TIME, CallerOutcome.LATE)


@dataclass(frozen=True, slots=True)
class CallerAttempt:
    """One request as a gateway saw it end.

    Attributes:
        started_at: seconds since the epoch when it began.
        route: its route's name.
        route_kind: of its route.
        max_wait_ms: how long its caller waited at most.
        duration_ms: how long it was in the gateway's hands.
        size: prompt and weighed answer, in tokens; 0 for a plain request.
        outcome: how it ended.
        refused_without_query: whether it was refused although nobody was asked for room.
        on_reused_connection: whether earlier requests came on its connection.
    """

    started_at: float
    route: str
    route_kind: str
    max_wait_ms: float
    duration_ms: float
    size: float
    outcome: CallerOutcome
    refused_without_query: bool
    on_reused_connection: bool = False


@dataclass
class CallerValue:
    """The callers' account of some requests.

    Attributes:
        first_attempts: first tries by outcome.
        retries: the same for returns.
        wasted_hold_s: seconds that requests were held and then not served.
        potential_value: worth of all first tries, had they been in time.
        earned_value: worth of what was served.
        cost: worth of seconds held in vain, failed returns and needless refusals.
    """

    first_attempts: dict[CallerOutcome, int] = field(
        default_factory=lambda: dict.fromkeys(CallerOutcome, 0)
    )
    retries: dict[CallerOutcome, int] = field(
        default_factory=lambda: dict.fromkeys(CallerOutcome, 0)
    )
    wasted_hold_s: float = 0.0
    potential_value: float = 0.0
    earned_value: float = 0.0
    cost: float = 0.0

    @property
    def relative_value(self) -> float:
        """Return the callers' worth as a part of what was owed."""
        return (
            (self.earned_value - self.cost) / self.potential_value if self.potential_value else 0.0
        )


@dataclass
class CallerValueReport:
    """The whole account.

    Attributes:
        total: of all requests.
        routes: by route.
        windows: by number of the window since the first request.
        window_s: length of a window, in seconds.
    """

    total: CallerValue
    routes: dict[str, CallerValue]
    windows: dict[int, CallerValue]
    window_s: float


def read_caller_attempts(paths: Iterable[Path]) -> list[CallerAttempt]:
    """Return the requests that ended in gateways' logs, in order of time.

    Raises:
        SettingsError: a file can't be read.
    """
    tries = [one for path in paths for one in _read_file(path)]
    return sorted(tries, key=lambda one: one.started_at)


def _read_file(path: Path) -> Iterator[CallerAttempt]:
    asked: dict[str, bool] = {}
    try:
        with path.open(encoding="utf-8", errors="replace") as file:
            for line in file:
                pairs = parse_line(line)
                event, ident = pairs.get("event"), pairs.get("request", "")
                if event == "place_refused":
                    asked[ident] = pairs.get("asked") != "0" or pairs.get("ahead", "0") != "0"
                if event in _END_EVENTS and "within_ms" in pairs:
                    yield from _parse_attempt(pairs, needless=not asked.pop(ident, True))
    except OSError as exc:
        raise SettingsError(f"{path}: cannot be read: {exc.strerror}") from exc


def _parse_attempt(pairs: dict[str, str], *, needless: bool) -> Iterator[CallerAttempt]:
    """Give the try that a line tells of; nothing where its figures are none."""
    try:
        took_ms = float(pairs["took_ms"])
        yield CallerAttempt(
            started_at=datetime.fromisoformat(pairs["ts"]).timestamp() - took_ms / 1000,
            route=pairs["route"],
            route_kind=pairs["kind"],
            max_wait_ms=float(pairs["within_ms"]),
            duration_ms=took_ms,
            size=float(pairs.get("prompt", 0)) + OUTPUT_TOKEN_WEIGHT * float(pairs.get("most", 0)),
            outcome=_classify_outcome(pairs, took_ms),
            refused_without_query=needless,
            on_reused_connection=pairs.get("kept") == "true",
        )
    except (KeyError, ValueError):
        return


def _classify_outcome(pairs: dict[str, str], took_ms: float) -> CallerOutcome:
    event = pairs["event"]
    if event == "caller_gone":
        held = took_ms >= FULL_WAIT_FRACTION * float(pairs["within_ms"])
        late = "first_ms" not in pairs and took_ms > float(pairs["target_ms"])
        return CallerOutcome.FAILED if held or late else CallerOutcome.ABANDONED
    if event == "answered" and pairs.get("status") == "200":
        return CallerOutcome.IN_TIME if _is_in_time(pairs, took_ms) else CallerOutcome.LATE
    if event == "request_failed" and pairs.get("status") in ("503", "429"):
        return (
            CallerOutcome.REFUSED_IMMEDIATELY
            if took_ms <= MAX_IMMEDIATE_REFUSAL_MS
            else CallerOutcome.REFUSED_AFTER_WAIT
        )
    return CallerOutcome.FAILED


def _is_in_time(pairs: dict[str, str], took_ms: float) -> bool:
    first_ms = float(pairs.get("first_ms", took_ms))
    pause_ms = float(pairs.get("pause_ms", 0)) or float("inf")
    return first_ms <= float(pairs["target_ms"]) and float(pairs.get("gap_ms", 0)) <= pause_ms


def compute_caller_value(
    attempts: Iterable[CallerAttempt], weights: CallerWeights, *, window_s: float
) -> CallerValueReport:
    """Return the account of *attempts*, in windows of *window_s* seconds."""
    attempts = [one for one in attempts if one.outcome is not CallerOutcome.ABANDONED]
    shortest = _retry_thresholds_ms(attempts)
    sizes: defaultdict[str, list[float]] = defaultdict(list)
    for one in attempts:
        sizes[one.route].append(one.size)
    means = {route: sum(values) / len(values) for route, values in sizes.items()}
    account = CallerValueReport(
        CallerValue(), defaultdict(CallerValue), defaultdict(CallerValue), window_s
    )
    start = attempts[0].started_at if attempts else 0.0
    for one in attempts:
        worth = weights.kinds.get(one.route_kind, 1.0) * _size_factor(one, means[one.route])
        returned = not one.on_reused_connection and one.max_wait_ms < shortest[one.route]
        window = int((one.started_at - start) // window_s)
        for tally in (account.total, account.routes[one.route], account.windows[window]):
            _add_attempt(tally, one, worth, weights, returned=returned)
    return account


def _retry_thresholds_ms(tries: list[CallerAttempt]) -> dict[str, float]:
    """Return the wait below which a request of a route was refused before, in milliseconds.

    Callers come back on new connections, so requests on kept ones are first tries.
    """
    waits: defaultdict[str, list[float]] = defaultdict(list)
    firsts: defaultdict[str, list[float]] = defaultdict(list)
    for one in tries:
        waits[one.route].append(one.max_wait_ms)
        if one.on_reused_connection:
            firsts[one.route].append(one.max_wait_ms)
    return {
        route: FIRSTS_PART * min(firsts[route])
        if len(firsts[route]) >= FIRSTS_LEAST
        else RETURNED_PART * max(all_waits)
        for route, all_waits in waits.items()
    }


def _size_factor(one: CallerAttempt, mean: float) -> float:
    if mean <= 0:
        return 1.0
    return min(MAX_SIZE_FACTOR, FIXED_VALUE_FRACTION + (1 - FIXED_VALUE_FRACTION) * one.size / mean)


def _add_attempt(
    tally: CallerValue, one: CallerAttempt, worth: float, weights: CallerWeights, *, returned: bool
) -> None:
    (tally.retries if returned else tally.first_attempts)[one.outcome] += 1
    if not returned:
        tally.potential_value += worth
        if one.outcome.is_served:
            tally.earned_value += worth * (
                1.0 if one.outcome is CallerOutcome.IN_TIME else weights.late
            )
    if one.outcome.is_served:
        return
    tally.wasted_hold_s += one.duration_ms / 1000
    tally.cost += worth * weights.held_per_s * one.duration_ms / 1000
    if returned:
        tally.cost += worth * weights.failed_return
    if one.refused_without_query:
        tally.cost += worth * weights.needless
