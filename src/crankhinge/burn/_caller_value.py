"""Computes the value of the service to its callers from the logs of gateways.

A request that a caller sends again after a refusal is a *retry*; all others are *first attempts*.
The log does not mark retries. They are recognized by the maximum wait that the caller states, which
is shorter for a retry than for a first attempt on the same route.

Only first attempts earn value:

* a complete response in time: the value of the request, which depends on its size;
* a complete response that is late: a fraction of that value;
* anything else: nothing, even if a retry gets a response later.

Three things reduce the value, each in proportion to the value of the request and to a weight in
:class:`CallerWeights`: each second that a request waited without being served afterwards, a retry
that is not served, and a needless refusal. A refusal is needless if the gateway asked no server for
capacity and no other requests waited ahead of the refused one.
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
from crankhinge.decisions import (
    LATE_VALUE,
    MIN_FIRST_ATTEMPTS,
    RETRY_OF_LONGEST_WAIT,
    RETRY_OF_SHORTEST_FIRST_WAIT,
    WAIT_COST_PER_S,
)
from crankhinge.errors import SettingsError

# A refusal counts as immediate if the request ended within this time. Requests for capacity to
# three engines take about 10 ms in total.
MAX_IMMEDIATE_REFUSAL_MS = 60.0
# Weight of an output token in the size of a request; a prompt token has weight 1.
OUTPUT_TOKEN_WEIGHT = 10
# Fraction of a request's value that does not depend on its size.
FIXED_VALUE_FRACTION = 0.3
# Maximum value of a request, as a multiple of the value of a request of mean size.
MAX_SIZE_FACTOR = 4.0
# A caller that leaves after at least this fraction of its maximum wait has waited in vain, which
# counts as a failure. A caller that leaves earlier has cancelled its request.
FULL_WAIT_FRACTION = 0.9

# Events with which gateways log the end of a request. Entries log no event `broken_off`; the error
# budgets are computed from their logs.
_END_EVENTS = frozenset(
    {"answered", "request_failed", "broken_off", "caller_gone", "slow_reader_dropped"}
)

CostFraction = Annotated[float, msgspec.Meta(ge=0, le=10)]


class CallerWeights(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Values and costs of the outcomes, as fractions of the value of the request.

    Attributes:
        late: value of a late response.
        held_per_s: cost of each second that a request waited without being served afterwards.
        failed_return: cost of a caller's retry that is not served.
        needless: cost of a refusal although the gateway asked no server for capacity and no other
            requests waited ahead of the refused one.
        kinds: value of a request of mean size, by kind of route; 1 for kinds that are not listed.
    """

    late: CostFraction = LATE_VALUE
    held_per_s: CostFraction = WAIT_COST_PER_S
    failed_return: CostFraction = 0.3
    needless: CostFraction = 0.5
    kinds: dict[str, float] = {}


class CallerOutcome(enum.Enum):
    """How a request ended for its caller; the values are column headings of the report.

    Attributes:
        IN_TIME: the caller received the complete response within the route's target.
        LATE: the caller received the complete response after the route's target.
        REFUSED_IMMEDIATELY: refused within ``MAX_IMMEDIATE_REFUSAL_MS``.
        REFUSED_AFTER_WAIT: refused after more than ``MAX_IMMEDIATE_REFUSAL_MS``.
        FAILED: the response failed or was incomplete, or the caller waited in vain.
        ABANDONED: the caller cancelled the request; it counts neither for nor against the service.
    """

    IN_TIME = "in time"
    LATE = "late"
    REFUSED_IMMEDIATELY = "refused at once"
    REFUSED_AFTER_WAIT = "refused after a wait"
    FAILED = "failed"
    ABANDONED = "left by its caller"

    @property
    def is_served(self) -> bool:
        """Whether the caller received the complete response."""
        return self in (CallerOutcome.IN_TIME, CallerOutcome.LATE)


@dataclass(frozen=True, slots=True)
class CallerAttempt:
    """One request of a caller, from a gateway's log line about its end.

    Attributes:
        started_at: time at which the gateway received the request, in seconds since the epoch.
        route: name of the route.
        route_kind: kind of the route.
        max_wait_ms: maximum wait that the caller stated: how long it was willing to wait for the
            response.
        duration_ms: time from the start of the request to its end in the gateway.
        size: number of prompt tokens plus the weighted maximum number of output tokens; 0 for a
            request that does not go to a model.
        outcome: how the request ended for the caller.
        refused_without_query: whether the gateway refused the request without asking any server
            for capacity and without other requests waiting ahead of it.
        on_reused_connection: whether the connection had carried earlier requests.
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
    """Outcomes of a set of requests and their value to the callers.

    Attributes:
        first_attempts: number of first attempts by outcome.
        retries: number of retries by outcome.
        unserved_wait_s: total seconds that requests waited without being served afterwards.
        potential_value: value if all first attempts had been served in time.
        earned_value: value of the first attempts that were served.
        cost: total cost of the waits of requests that were not served, of failed retries and of
            needless refusals.
    """

    first_attempts: dict[CallerOutcome, int] = field(
        default_factory=lambda: dict.fromkeys(CallerOutcome, 0)
    )
    retries: dict[CallerOutcome, int] = field(
        default_factory=lambda: dict.fromkeys(CallerOutcome, 0)
    )
    unserved_wait_s: float = 0.0
    potential_value: float = 0.0
    earned_value: float = 0.0
    cost: float = 0.0

    @property
    def relative_value(self) -> float:
        """Earned value minus cost, as a fraction of the potential value."""
        return (
            (self.earned_value - self.cost) / self.potential_value if self.potential_value else 0.0
        )


@dataclass
class CallerValueReport:
    """The value to callers in total and broken down by route and by time.

    Attributes:
        total: value of all requests.
        value_by_route: value of the requests of each route, by the route's name.
        value_by_window: value of the requests that started in each time window, by the window's
            number; window 0 begins with the first request.
        window_s: length of a time window, in seconds.
    """

    total: CallerValue
    value_by_route: dict[str, CallerValue]
    value_by_window: dict[int, CallerValue]
    window_s: float


def read_caller_attempts(paths: Iterable[Path]) -> list[CallerAttempt]:
    """Return the requests that ended, from the logs of gateways, sorted by start time.

    Raises:
        SettingsError: a file cannot be read.
    """
    attempts = [attempt for path in paths for attempt in _read_file(path)]
    return sorted(attempts, key=lambda attempt: attempt.started_at)


def _read_file(path: Path) -> Iterator[CallerAttempt]:
    # For each refused request, whether the gateway asked a server for capacity (`asked`) or other
    # requests waited ahead of it (`ahead`).
    had_query_by_request: dict[str, bool] = {}
    try:
        with path.open(encoding="utf-8", errors="replace") as file:
            for line in file:
                pairs = parse_line(line)
                event, request = pairs.get("event"), pairs.get("request", "")
                if event == "place_refused":
                    had_query_by_request[request] = (
                        pairs.get("asked") != "0" or pairs.get("ahead", "0") != "0"
                    )
                if event in _END_EVENTS and "within_ms" in pairs:
                    yield from _parse_attempt(
                        pairs, refused_without_query=not had_query_by_request.pop(request, True)
                    )
    except OSError as exc:
        raise SettingsError(f"{path}: cannot be read: {exc.strerror}") from exc


def _parse_attempt(
    pairs: dict[str, str], *, refused_without_query: bool
) -> Iterator[CallerAttempt]:
    """Yield the request that a log line describes, or nothing if a field is missing or invalid.

    The line has the caller's maximum wait as `within_ms`, the maximum number of output tokens as
    `most`, and as `kept` whether the connection had carried an earlier request.
    """
    try:
        duration_ms = float(pairs["took_ms"])
        yield CallerAttempt(
            started_at=datetime.fromisoformat(pairs["ts"]).timestamp() - duration_ms / 1000,
            route=pairs["route"],
            route_kind=pairs["kind"],
            max_wait_ms=float(pairs["within_ms"]),
            duration_ms=duration_ms,
            size=float(pairs.get("prompt", 0)) + OUTPUT_TOKEN_WEIGHT * float(pairs.get("most", 0)),
            outcome=_classify_outcome(pairs, duration_ms),
            refused_without_query=refused_without_query,
            on_reused_connection=pairs.get("kept") == "true",
        )
    except (KeyError, ValueError):
        return


def _classify_outcome(pairs: dict[str, str], duration_ms: float) -> CallerOutcome:
    event = pairs["event"]
    if event == "caller_gone":
        waited_in_vain = duration_ms >= FULL_WAIT_FRACTION * float(pairs["within_ms"])
        missed_target = "first_ms" not in pairs and duration_ms > float(pairs["target_ms"])
        return CallerOutcome.FAILED if waited_in_vain or missed_target else CallerOutcome.ABANDONED
    if event == "answered" and pairs.get("status") == "200":
        return CallerOutcome.IN_TIME if _is_in_time(pairs, duration_ms) else CallerOutcome.LATE
    if event == "request_failed" and pairs.get("status") in ("503", "429"):
        return (
            CallerOutcome.REFUSED_IMMEDIATELY
            if duration_ms <= MAX_IMMEDIATE_REFUSAL_MS
            else CallerOutcome.REFUSED_AFTER_WAIT
        )
    return CallerOutcome.FAILED


def _is_in_time(pairs: dict[str, str], duration_ms: float) -> bool:
    first_ms = float(pairs.get("first_ms", duration_ms))
    max_gap_ms = float(pairs.get("pause_ms", 0)) or float("inf")
    return first_ms <= float(pairs["target_ms"]) and float(pairs.get("gap_ms", 0)) <= max_gap_ms


def compute_caller_value(
    attempts: Iterable[CallerAttempt], weights: CallerWeights, *, window_s: float
) -> CallerValueReport:
    """Return the value of *attempts* to their callers, with time windows of *window_s* seconds.

    The attempts must be sorted by start time. Those that their callers cancelled are left out.
    """
    attempts = [attempt for attempt in attempts if attempt.outcome is not CallerOutcome.ABANDONED]
    retry_thresholds_ms = _retry_thresholds_ms(attempts)
    sizes: defaultdict[str, list[float]] = defaultdict(list)
    for attempt in attempts:
        sizes[attempt.route].append(attempt.size)
    mean_sizes = {route: sum(values) / len(values) for route, values in sizes.items()}
    report = CallerValueReport(
        CallerValue(), defaultdict(CallerValue), defaultdict(CallerValue), window_s
    )
    report_start = attempts[0].started_at if attempts else 0.0
    for attempt in attempts:
        request_value = weights.kinds.get(attempt.route_kind, 1.0) * _size_factor(
            attempt, mean_sizes[attempt.route]
        )
        is_retry = (
            not attempt.on_reused_connection
            and attempt.max_wait_ms < retry_thresholds_ms[attempt.route]
        )
        window = int((attempt.started_at - report_start) // window_s)
        for value in (
            report.total,
            report.value_by_route[attempt.route],
            report.value_by_window[window],
        ):
            _add_attempt(value, attempt, request_value, weights, is_retry=is_retry)
    return report


def _retry_thresholds_ms(attempts: list[CallerAttempt]) -> dict[str, float]:
    """Return the retry threshold of each route, in milliseconds.

    A request counts as a retry if the maximum wait that its caller stated is below the threshold.

    Callers retry on new connections, so requests on reused connections are first attempts. If a
    route has at least ``MIN_FIRST_ATTEMPTS`` requests on reused connections, the threshold is just
    below the shortest maximum wait of these requests. Otherwise it is just below the longest
    maximum wait of all requests of the route.
    """
    all_waits_ms: defaultdict[str, list[float]] = defaultdict(list)
    first_waits_ms: defaultdict[str, list[float]] = defaultdict(list)
    for attempt in attempts:
        all_waits_ms[attempt.route].append(attempt.max_wait_ms)
        if attempt.on_reused_connection:
            first_waits_ms[attempt.route].append(attempt.max_wait_ms)
    return {
        route: RETRY_OF_SHORTEST_FIRST_WAIT * min(first_waits_ms[route])
        if len(first_waits_ms[route]) >= MIN_FIRST_ATTEMPTS
        else RETRY_OF_LONGEST_WAIT * max(route_waits_ms)
        for route, route_waits_ms in all_waits_ms.items()
    }


def _size_factor(attempt: CallerAttempt, mean_size: float) -> float:
    if mean_size <= 0:
        return 1.0
    return min(
        MAX_SIZE_FACTOR,
        FIXED_VALUE_FRACTION + (1 - FIXED_VALUE_FRACTION) * attempt.size / mean_size,
    )


def _add_attempt(
    value: CallerValue,
    attempt: CallerAttempt,
    request_value: float,
    weights: CallerWeights,
    *,
    is_retry: bool,
) -> None:
    (value.retries if is_retry else value.first_attempts)[attempt.outcome] += 1
    if not is_retry:
        value.potential_value += request_value
        if attempt.outcome.is_served:
            value.earned_value += request_value * (
                1.0 if attempt.outcome is CallerOutcome.IN_TIME else weights.late
            )
    if attempt.outcome.is_served:
        return
    value.unserved_wait_s += attempt.duration_ms / 1000
    value.cost += request_value * weights.held_per_s * attempt.duration_ms / 1000
    if is_retry:
        value.cost += request_value * weights.failed_return
    if attempt.refused_without_query:
        value.cost += request_value * weights.needless
