"""Computes the figures of a run from the results of its requests."""

from __future__ import annotations

from typing import Any

import msgspec

from crankhinge_bench._load import NOT_RUN, RequestResult


class Summary(msgspec.Struct, kw_only=True):
    """Figures of one run.

    Attributes:
        offered: completions sent.
        answered: completions whose answer was complete and correct.
        in_time: completions answered within both latency targets; the numerator of the goodput.
        refused: completions refused with the outcome "not run".
        failed: completions neither answered, refused nor cancelled by the caller.
        cancelled: completions cancelled by the caller.
        wrong: answers, also of plain calls, with wrong content: a violated invariant.
        goodput: completions per second that were answered in time.
        in_time_share: ``in_time`` as a fraction of the completions that callers didn't cancel.
        first_p50: median seconds to the first token.
        first_p95: 95th percentile of the seconds to the first token.
        gap_p50: median of the mean seconds between the tokens of an answer.
        gap_p95: 95th percentile of the mean seconds between the tokens of an answer.
        prefill_tokens: prompt tokens that the engines processed.
        wasted_tokens: prompt tokens that were processed but never used.
        wasted_share: ``wasted_tokens`` as a fraction of ``prefill_tokens``.
        calls: plain calls sent.
        calls_answered: plain calls answered.
        doubled: runs of plain calls beyond the first one: a violated invariant.
        refused_but_ran: plain calls refused with "not run" that ran: a violated invariant.
        causes: number of failures and refusals by cause.
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
        """Number of violations of the invariants that the results of a run can show."""
        return self.wrong + self.doubled + self.refused_but_ran


def percentile(values: list[float], fraction: float) -> float:
    """Return the value below which *fraction* of *values* lies; 0 if there are no values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def is_in_time(result: RequestResult, first_token_s: float, between_tokens_s: float) -> bool:
    """Return whether an answer is complete, correct and within both latency targets."""
    correct = result.complete and not result.wrong
    return (
        correct and result.first_token_s <= first_token_s and result.mean_gap_s <= between_tokens_s
    )


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
        results: result of each request.
        seconds: length of the trace in seconds.
        first_token_s: latency target for the first token in seconds.
        between_tokens_s: latency target for the mean gap between tokens in seconds.
        engines: counters of each engine over the run.
        runs: rows that the plain services recorded, one for each call that they ran.
    """
    completions = [result for result in results if not result.arrival.path]
    calls = [result for result in results if result.arrival.path]
    correct = [result for result in completions if result.complete and not result.wrong]
    in_time = [r for r in completions if is_in_time(r, first_token_s, between_tokens_s)]
    not_cancelled = [result for result in completions if not result.cancelled]
    refused = [
        result for result in not_cancelled if not result.complete and result.outcome == NOT_RUN
    ]
    prefill = sum(engine["prefill_tokens"] for engine in engines)
    wasted = sum(engine["wasted_tokens"] for engine in engines)
    return Summary(
        offered=len(completions),
        answered=len(correct),
        in_time=len(in_time),
        refused=len(refused),
        failed=len(not_cancelled) - len(correct) - len(refused),
        cancelled=len(completions) - len(not_cancelled),
        wrong=sum(result.wrong for result in results),
        goodput=len(in_time) / seconds,
        in_time_share=len(in_time) / max(1, len(not_cancelled)),
        first_p50=percentile([result.first_token_s for result in correct], 0.5),
        first_p95=percentile([result.first_token_s for result in correct], 0.95),
        gap_p50=percentile([result.mean_gap_s for result in correct], 0.5),
        gap_p95=percentile([result.mean_gap_s for result in correct], 0.95),
        prefill_tokens=prefill,
        wasted_tokens=wasted,
        wasted_share=wasted / max(1, prefill),
        calls=len(calls),
        calls_answered=sum(result.complete for result in calls),
        doubled=_count_repeated_runs(runs),
        refused_but_ran=_count_refused_but_ran(calls, runs),
        causes=_count_causes(results),
        members=_in_time_shares(not_cancelled, in_time),
    )


def _count_repeated_runs(runs: list[dict[str, Any]]) -> int:
    keys = [run["key"] for run in runs if run["key"]]
    return len(keys) - len(set(keys))


def _count_refused_but_ran(calls: list[RequestResult], runs: list[dict[str, Any]]) -> int:
    ran = {run["key"] for run in runs}
    refused = [result for result in calls if not result.complete and result.outcome == NOT_RUN]
    return sum(result.key in ran for result in refused)


def _count_causes(results: list[RequestResult]) -> dict[str, int]:
    causes: dict[str, int] = {}
    for result in results:
        if result.code:
            causes[result.code] = causes.get(result.code, 0) + 1
    return causes


def _in_time_shares(
    not_cancelled: list[RequestResult], in_time: list[RequestResult]
) -> dict[str, float]:
    shares = {}
    for name in sorted({result.arrival.member for result in not_cancelled}):
        offered = sum(result.arrival.member == name for result in not_cancelled)
        correct = sum(result.arrival.member == name for result in in_time)
        shares[name] = correct / offered
    return shares


def format_summary(summary: Summary) -> str:
    """Return the figures as lines of text for the terminal."""
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
