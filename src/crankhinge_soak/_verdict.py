"""Defines the checker's verdict on an invariant and the report on one seed."""

from __future__ import annotations

import msgspec

# Maximum number of violations listed for each invariant.
MAX_EXAMPLES = 5


class Verdict(msgspec.Struct, kw_only=True):
    """The checker's result for one invariant.

    Attributes:
        promise: name of the invariant, which reports call a promise.
        tested: number of times it was tested.
        broken: number of violations.
        detail: descriptions of the first violations.
    """

    promise: str
    tested: int
    broken: int
    detail: list[str] = []


class Report(msgspec.Struct, kw_only=True):
    """The result of one seed.

    Attributes:
        seed: seed of the schedule and the load.
        seconds: duration of the faults.
        faults: number of injected faults of each kind.
        verdicts: the checker's verdicts.
        requests: number of requests that callers sent.
        answered: number of requests that got a complete response.
        note: further figures of the load as text, appended to the report's last line.
    """

    seed: int
    seconds: float
    faults: dict[str, int]
    verdicts: list[Verdict]
    requests: int
    answered: int
    note: str = ""

    @property
    def broken(self) -> bool:
        """Whether any invariant was violated."""
        return any(verdict.broken for verdict in self.verdicts)


def make_verdict(invariant: str, tested: int, cases: list[str]) -> Verdict:
    """Return the verdict on *invariant*, which each of *cases* violates."""
    return Verdict(promise=invariant, tested=tested, broken=len(cases), detail=cases[:MAX_EXAMPLES])


def render_report(report: Report) -> str:
    """Return a report as text."""
    faults = ", ".join(f"{kind} {count}" for kind, count in report.faults.items())
    lines = [f"seed {report.seed}, {report.seconds:g} s: {faults}"]
    for found in report.verdicts:
        state = f"BROKEN {found.broken}" if found.broken else "held"
        state = state if found.tested or found.broken else "never tested"
        lines.append(f"  {found.promise:<46} tested {found.tested:5d}  {state}")
        lines += [f"      {case}" for case in found.detail]
    lines.append(f"  requests {report.requests}, answered {report.answered}{report.note}")
    return "\n".join(lines)
