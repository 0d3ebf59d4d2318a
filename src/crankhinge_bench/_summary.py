"""What a run amounts to."""

from __future__ import annotations

from typing import Any

import msgspec

from crankhinge_bench._load import NOT_RUN, RequestResult


class Summary(msgspec.Struct, kw_only=True):
    """Figures of one run. Seconds, unless a name says otherwise.

    Attributes:
        offered: completions sent.
        answered: whole and right.
        in_time: answered within both latency targets: the goodput's numerator.
        refused: told "not run".
        failed: neither answered, refused nor cancelled by the caller.
        cancelled: given up by the caller.
        wrong: answers that differ from the engine's: a broken promise.
        goodput: requests a second answered whole, once and in time.
        in_time_share: part of the offered, those that callers cancelled left out.
        first_p50: first token.
        first_p95: first token.
        gap_p50: between tokens.
        gap_p95: between tokens.
        prefill_tokens: prompt tokens computed by the engines.
        wasted_tokens: of these, never used.
        wasted_share: their ratio.
        calls: plain calls sent.
        calls_answered: answered.
        doubled: plain calls that ran more than once: a broken promise.
        refused_but_ran: plain calls told "not run" that ran: a broken promise.
        causes: failures and refusals by cause.
        members: in-time share of each member.
    """

    offered: int
    answered: int
    in_time: int
    refused: int
    failed: int
    cancelled: int
    wrong: int
    goodput: float
    in_time_share: float
    first_p50: float
    first_p95: float
    gap_p50: float
    gap_p95: float
    prefill_tokens: int
    wasted_tokens: int
    wasted_share: float
    calls: int
    calls_answered: int
    doubled: int
    refused_but_ran: int
    causes: dict[str, int]
    members: dict[str, float]

    @property
    def violations(self) -> int:
        """Promises broken, of the kinds that a run can show."""
        return self.wrong + self.doubled + self.refused_but_ran


def percentile(values: list[float], fraction: float) -> float:
    """Return the value below which *fraction* of *values* lies; 0 for none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def is_in_time(result: RequestResult, first_token_s: float, between_tokens_s: float) -> bool:
    """Whether an answer is whole, right and within both targets."""
    good = result.complete and not result.wrong
    return good and result.first_token_s <= first_token_s and result.mean_gap_s <= between_tokens_s


def summarise(
    results: list[RequestResult],
    *,
    seconds: float,
    first_token_s: float,
    between_tokens_s: float,
    engines: list[dict[str, Any]],
    runs: list[dict[str, Any]],
) -> Summary:
    """Return the figures of a run.

    Args:
        results: what each caller saw.
        seconds: length of the trace.
        first_token_s: latency target.
        between_tokens_s: latency target.
        engines: counts of the engines, taken over the run.
        runs: what the plain services ran.
    """
    asks = [seen for seen in results if not seen.arrival.path]
    calls = [seen for seen in results if seen.arrival.path]
    whole = [seen for seen in asks if seen.complete and not seen.wrong]
    timely = [s for s in asks if is_in_time(s, first_token_s, between_tokens_s)]
    stayed = [seen for seen in asks if not seen.cancelled]
    refused = [seen for seen in stayed if not seen.complete and seen.outcome == NOT_RUN]
    prefill = sum(engine["prefill_tokens"] for engine in engines)
    wasted = sum(engine["wasted_tokens"] for engine in engines)
    return Summary(
        offered=len(asks),
        answered=len(whole),
        in_time=len(timely),
        refused=len(refused),
        failed=len(stayed) - len(whole) - len(refused),
        cancelled=len(asks) - len(stayed),
        wrong=sum(seen.wrong for seen in results),
        goodput=len(timely) / seconds,
        in_time_share=len(timely) / max(1, len(stayed)),
        first_p50=percentile([seen.first_token_s for seen in whole], 0.5),
        first_p95=percentile([seen.first_token_s for seen in whole], 0.95),
        gap_p50=percentile([seen.mean_gap_s for seen in whole], 0.5),
        gap_p95=percentile([seen.mean_gap_s for seen in whole], 0.95),
        prefill_tokens=prefill,
        wasted_tokens=wasted,
        wasted_share=wasted / max(1, prefill),
        calls=len(calls),
        calls_answered=sum(seen.complete for seen in calls),
        doubled=_doubled(runs),
        refused_but_ran=_refused_but_ran(calls, runs),
        causes=_causes(results),
        members=_members(stayed, timely),
    )


def _doubled(runs: list[dict[str, Any]]) -> int:
    keys = [run["key"] for run in runs if run["key"]]
    return len(keys) - len(set(keys))


def _refused_but_ran(calls: list[RequestResult], runs: list[dict[str, Any]]) -> int:
    ran = {run["key"] for run in runs}
    refused = [seen for seen in calls if not seen.complete and seen.outcome == NOT_RUN]
    return sum(seen.key in ran for seen in refused)


def _causes(outcomes: list[RequestResult]) -> dict[str, int]:
    causes: dict[str, int] = {}
    for seen in outcomes:
        if seen.code:
            causes[seen.code] = causes.get(seen.code, 0) + 1
    return causes


def _members(stayed: list[RequestResult], timely: list[RequestResult]) -> dict[str, float]:
    shares = {}
    for name in sorted({seen.arrival.member for seen in stayed}):
        offered = sum(seen.arrival.member == name for seen in stayed)
        good = sum(seen.arrival.member == name for seen in timely)
        shares[name] = good / offered
    return shares


def format_summary(summary: Summary) -> str:
    """Return the figures as a page of text."""
    first = f"p50 {_ms(summary.first_p50)}, p95 {_ms(summary.first_p95)}"
    gaps = f"p50 {_ms(summary.gap_p50)}, p95 {_ms(summary.gap_p95)}"
    waste = f"{summary.wasted_tokens} of {summary.prefill_tokens} tokens"
    causes = ", ".join(f"{cause} {count}" for cause, count in sorted(summary.causes.items()))
    rows = [
        ("offered", f"{summary.offered}"),
        ("answered whole", f"{summary.answered}"),
        ("in time", f"{summary.in_time} ({summary.in_time_share:.1%})"),
        ("refused (not run)", f"{summary.refused}"),
        ("failed", f"{summary.failed}"),
        ("cancelled by caller", f"{summary.cancelled}"),
        ("goodput", f"{summary.goodput:.1f} requests/s"),
        ("first token", first),
        ("between tokens", gaps),
        ("wasted prefill", f"{waste} ({summary.wasted_share:.2%})"),
        ("plain calls", f"{summary.calls_answered} of {summary.calls} answered"),
        ("broken promises", f"{summary.violations}"),
        ("causes", causes or "none"),
    ]
    return "\n".join(f"{name:<22}{value}" for name, value in rows)


def _ms(seconds: float) -> str:
    return f"{seconds * 1000:.1f} ms"
