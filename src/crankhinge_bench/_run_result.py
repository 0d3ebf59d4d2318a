"""One run of one policy, as results are kept and drawn."""

from __future__ import annotations

import msgspec

from crankhinge_bench._summary import Summary


class RunResult(msgspec.Struct, kw_only=True):
    """One run of one policy.

    Attributes:
        scenario: its name.
        policy: its name.
        load: multiple of the capacity.
        repeat: number of the run, from 0.
        per_s: requests a second.
        bound: most requests that could be in time.
        of_bound: those in time, as a part of it.
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
