"""Error budgets and burn rates.

A burn rate of 1 spends the budget exactly over the objective's period; alerts look at a long and a
short window together ("The Site Reliability Workbook", 2018, chapter 5).
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from crankhinge.burn._log_events import RequestEvent
from crankhinge.config import Bundle, Model

WINDOWS_S = {"5m": 300.0, "30m": 1800.0, "1h": 3600.0, "6h": 21_600.0}
WHOLE = "whole log"
NOT_COUNTED = frozenset(
    {"caller-gone", "bad-request", "bad-credentials", "unknown-model", "prompt-too-long"}
)


class Window(msgspec.Struct, kw_only=True):
    """One window, ending with the log.

    Attributes:
        name: its length.
        requests: that ended in it.
        bad: of these, those that missed the target.
        burn: rate at which the budget is spent; 1 spends it exactly.
    """

    name: str
    requests: int
    bad: int
    burn: float


class Budget(msgspec.Struct, kw_only=True):
    """The error budget of one member, model and target.

    Attributes:
        member: who asks.
        model: what for.
        target: ``first token``, ``between tokens`` or ``answered``.
        objective: part of the requests that must meet the target.
        requests: counted.
        bad: that missed it.
        left: part of the budget that is left; negative when it is overspent.
        windows: burn rates.
    """

    member: str
    model: str
    target: str
    objective: float
    requests: int
    bad: int
    left: float
    windows: list[Window]


class Report(msgspec.Struct, kw_only=True):
    """The whole report.

    Attributes:
        bundle: version whose objectives were taken.
        seconds: length of the log.
        requests: completions that ended.
        in_time: answered within both targets.
        goodput: of these, a second.
        read_tokens: prompt tokens computed, as the entries know.
        wasted_tokens: of these, without use.
        causes: failures and refusals by cause.
        budgets: by member, model and target.
        series: per second of the log, requests in time and requests that were not.
    """

    bundle: int
    seconds: float
    requests: int
    in_time: int
    goodput: float
    read_tokens: int
    wasted_tokens: int
    causes: dict[str, int]
    budgets: list[Budget]
    series: list[tuple[int, int]]


def _misses(event: RequestEvent, model: Model, target: str) -> bool:
    if event.cause:
        return True
    if target == "first token":
        return event.first_s > model.first_token_s
    if target == "between tokens":
        return event.gap_s > model.between_tokens_s
    return False


TARGETS = ("first token", "between tokens", "answered")


def _window(
    name: str, events: list[RequestEvent], model: Model, target: str, since: float
) -> Window:
    inside = [event for event in events if event.at >= since]
    bad = sum(_misses(event, model, target) for event in inside)
    share = bad / len(inside) if inside else 0.0
    burn = share / (1.0 - model.objective)
    return Window(name=name, requests=len(inside), bad=bad, burn=burn)


def _budget(member: str, model: Model, target: str, events: list[RequestEvent]) -> Budget:
    begin, end = events[0].at, events[-1].at
    whole = _window(WHOLE, events, model, target, begin)
    windows = [
        _window(name, events, model, target, end - length)
        for name, length in WINDOWS_S.items()
        if length < end - begin
    ]
    return Budget(
        member=member,
        model=model.name,
        target=target,
        objective=model.objective,
        requests=whole.requests,
        bad=whole.bad,
        left=1.0 - whole.burn,
        windows=[*windows, whole],
    )


def make_report(bundle: Bundle, events: Iterable[RequestEvent]) -> Report:
    """Return the report on *events* by the objectives of *bundle*."""
    models = {model.name: model for model in bundle.models}
    counted = [e for e in events if e.model in models and e.cause not in NOT_COUNTED]
    groups: dict[tuple[str, str], list[RequestEvent]] = {}
    for event in counted:
        groups.setdefault((event.member, event.model), []).append(event)
    budgets = [
        _budget(member, models[name], target, group)
        for (member, name), group in sorted(groups.items())
        for target in TARGETS
    ]
    good = [e for e in counted if not any(_misses(e, models[e.model], t) for t in TARGETS)]
    seconds = counted[-1].at - counted[0].at if counted else 0.0
    return Report(
        bundle=bundle.version,
        seconds=seconds,
        requests=len(counted),
        in_time=len(good),
        goodput=len(good) / seconds if seconds else 0.0,
        read_tokens=sum(event.read_tokens for event in counted),
        wasted_tokens=sum(event.wasted_tokens for event in counted),
        causes=_causes(counted),
        budgets=budgets,
        series=_series(counted, good),
    )


def _causes(events: list[RequestEvent]) -> dict[str, int]:
    causes: dict[str, int] = {}
    for event in events:
        if event.cause:
            causes[event.cause] = causes.get(event.cause, 0) + 1
    return dict(sorted(causes.items()))


def _series(counted: list[RequestEvent], good: list[RequestEvent]) -> list[tuple[int, int]]:
    if not counted:
        return []
    begin = counted[0].at
    length = int(counted[-1].at - begin) + 1
    fine = [0] * length
    every = [0] * length
    for event in counted:
        every[int(event.at - begin)] += 1
    for event in good:
        fine[int(event.at - begin)] += 1
    return [(ok, count - ok) for ok, count in zip(fine, every, strict=True)]
