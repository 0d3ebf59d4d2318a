"""One run of one policy, as results are kept in JSON and plotted."""

from __future__ import annotations

import msgspec

from crankhinge_bench._summary import Summary


class RunResult(msgspec.Struct, kw_only=True):
    """One run of one policy.

    Attributes:
        scenario: name of the scenario.
        policy: name of the policy.
        load: multiple of the engines' capacity.
        repeat: number of the run, from 0.
        per_s: completions offered per second.
        bound: upper bound on the number of completions answered in time.
        of_bound: completions answered in time divided by ``bound``.
        summary: all figures.
    """

    scenario: str
    policy: str
    load: float
    repeat: int
    per_s: float
    bound: int
    of_bound: float
    summary: Summary
