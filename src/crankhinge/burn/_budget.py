"""Computes error budgets and burn rates from the logs of entries.

A burn rate of 1 spends the budget exactly over the period of the objective. Alerts compare the burn
rates of a long and a short window ("The Site Reliability Workbook", 2018, chapter 5).
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from crankhinge.burn._log_events import RequestEvent
from crankhinge.config import Bundle, Model

WINDOWS_S = {"5m": 300.0, "30m": 1800.0, "1h": 3600.0, "6h": 21_600.0}
WHOLE_LOG = "whole log"
# Causes of failure for which the caller is responsible. Requests that failed from these causes are
# left out of the budgets.
UNCOUNTED_CAUSES = frozenset(
    {"caller-gone", "bad-request", "bad-credentials", "unknown-model", "prompt-too-long"}
)


class BurnWindow(msgspec.Struct, kw_only=True):
    """The burn rate in one time window that ends at the end of the log.

    Attributes:
        name: length of the window, such as ``5m``.
        requests: number of requests that ended in the window.
        bad: number of requests in the window that missed the target.
        burn: rate at which the budget is spent; 1 spends it exactly over the objective's period.
    """

    name: str
    requests: int
    bad: int
    burn: float


class ErrorBudget(msgspec.Struct, kw_only=True):
    """The error budget of one client account, model and target.

    Attributes:
        member: name of the client account.
        model: name of the model.
        target: ``first token``, ``between tokens`` or ``answered``.
        objective: fraction of the requests that must meet the target.
        requests: number of counted requests of the account for the model.
        bad: number of counted requests that missed the target.
        left: fraction of the budget that is left; negative if the budget is overspent.
        windows: burn rates by window, the whole log last.
    """

    member: str
    model: str
    target: str
    objective: float
    requests: int
    bad: int
    left: float
    windows: list[BurnWindow]


class BurnReport(msgspec.Struct, kw_only=True):
    """Goodput, prefill and error budgets of the completion requests in the logs of entries.

    Attributes:
        bundle: version of the bundle whose objectives apply.
        seconds: seconds between the ends of the first and the last counted request.
        requests: number of counted completion requests.
        in_time: number of requests that were answered within both latency targets.
        goodput: requests per second that were answered within both latency targets.
        read_tokens: number of prompt tokens that engines prefilled, according to the entries.
        wasted_tokens: number of the ``read_tokens`` whose prefill was not used.
        causes: number of failed and refused requests by cause.
        budgets: error budgets by client account, model and target.
        series: for each second in order, from the end of the first counted request on, the number
            of counted requests that ended in that second and met all targets, and the number of
            those that missed a target.
    """

    bundle: int
    seconds: float
    requests: int
    in_time: int
    goodput: float
    read_tokens: int
    wasted_tokens: int
    causes: dict[str, int]
    budgets: list[ErrorBudget]
    series: list[tuple[int, int]]


def _misses_target(event: RequestEvent, model: Model, target: str) -> bool:
    if event.cause:
        return True
    if target == "first token":
        return event.first_token_s > model.first_token_s
    if target == "between tokens":
        return event.between_tokens_s > model.between_tokens_s
    return False


TARGETS = ("first token", "between tokens", "answered")


def _measure_window(
    window: str, events: list[RequestEvent], model: Model, target: str, since: float
) -> BurnWindow:
    inside = [event for event in events if event.ended_at >= since]
    bad = sum(_misses_target(event, model, target) for event in inside)
    bad_fraction = bad / len(inside) if inside else 0.0
    burn = bad_fraction / (1.0 - model.objective)
    return BurnWindow(name=window, requests=len(inside), bad=bad, burn=burn)


def _measure_budget(
    member: str, model: Model, target: str, events: list[RequestEvent]
) -> ErrorBudget:
    begin, end = events[0].ended_at, events[-1].ended_at
    whole = _measure_window(WHOLE_LOG, events, model, target, begin)
    windows = [
        _measure_window(window, events, model, target, end - length)
        for window, length in WINDOWS_S.items()
        if length < end - begin
    ]
    return ErrorBudget(
        member=member,
        model=model.name,
        target=target,
        objective=model.objective,
        requests=whole.requests,
        bad=whole.bad,
        left=1.0 - whole.burn,
        windows=[*windows, whole],
    )


def make_report(bundle: Bundle, events: Iterable[RequestEvent]) -> BurnReport:
    """Return the report on *events* against the objectives of *bundle*.

    The events must be sorted by time.
    """
    models = {model.name: model for model in bundle.models}
    counted = [e for e in events if e.model in models and e.cause not in UNCOUNTED_CAUSES]
    groups: dict[tuple[str, str], list[RequestEvent]] = {}
    for event in counted:
        groups.setdefault((event.member, event.model), []).append(event)
    budgets = [
        _measure_budget(member, models[name], target, group)
        for (member, name), group in sorted(groups.items())
        for target in TARGETS
    ]
    good = [e for e in counted if not any(_misses_target(e, models[e.model], t) for t in TARGETS)]
    seconds = counted[-1].ended_at - counted[0].ended_at if counted else 0.0
    return BurnReport(
        bundle=bundle.version,
        seconds=seconds,
        requests=len(counted),
        in_time=len(good),
        goodput=len(good) / seconds if seconds else 0.0,
        read_tokens=sum(event.prefill_tokens for event in counted),
        wasted_tokens=sum(event.wasted_prefill_tokens for event in counted),
        causes=_count_by_cause(counted),
        budgets=budgets,
        series=_count_per_second(counted, good),
    )


def _count_by_cause(events: list[RequestEvent]) -> dict[str, int]:
    requests_by_cause: dict[str, int] = {}
    for event in events:
        if event.cause:
            requests_by_cause[event.cause] = requests_by_cause.get(event.cause, 0) + 1
    return dict(sorted(requests_by_cause.items()))


def _count_per_second(
    counted: list[RequestEvent], good: list[RequestEvent]
) -> list[tuple[int, int]]:
    if not counted:
        return []
    begin = counted[0].ended_at
    length = int(counted[-1].ended_at - begin) + 1
    in_time = [0] * length
    total = [0] * length
    for event in counted:
        total[int(event.ended_at - begin)] += 1
    for event in good:
        in_time[int(event.ended_at - begin)] += 1
    return [(ok, count - ok) for ok, count in zip(in_time, total, strict=True)]
