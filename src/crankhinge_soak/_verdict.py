"""What a checker found of each promise, and the report on a seed."""

from __future__ import annotations

import msgspec

# Cases of one promise that are told.
MAX_EXAMPLES = 5


class Verdict(msgspec.Struct, kw_only=True):
    """What a checker found of one promise.

    Attributes:
        promise: its name.
        tested: how often it was put to the test.
        broken: how often it was broken.
        detail: the first cases.
    """

    promise: str
    tested: int
    broken: int
    detail: list[str] = []


class Report(msgspec.Struct, kw_only=True):
    """The outcome of one seed.

    Attributes:
        seed: of the schedule and the load.
        seconds: length of the faults.
        faults: how often each kind was played.
        verdicts: of the checker.
        requests: how many callers sent.
        answered: how many were answered whole.
        note: what else the load tells.
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
        """Whether a promise was broken."""
        return any(verdict.broken for verdict in self.verdicts)


def make_verdict(invariant: str, tested: int, cases: list[str]) -> Verdict:
    """Return the verdict on a promise that was broken in *cases*."""
    return Verdict(promise=invariant, tested=tested, broken=len(cases), detail=cases[:MAX_EXAMPLES])


def render(report: Report) -> str:
    """Return one seed's report as text."""
    faults = ", ".join(f"{kind} {count}" for kind, count in report.faults.items())
    lines = [f"seed {report.seed}, {report.seconds:g} s: {faults}"]
    for found in report.verdicts:
        state = f"BROKEN {found.broken}" if found.broken else "held"
        state = state if found.tested or found.broken else "never tested"
        lines.append(f"  {found.promise:<46} tested {found.tested:5d}  {state}")
        lines += [f"      {case}" for case in found.detail]
    lines.append(f"  requests {report.requests}, answered {report.answered}{report.note}")
    return "\n".join(lines)
