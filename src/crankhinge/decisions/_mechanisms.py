"""Which mechanisms are at work: the product's, one of them off, or the naive baseline.

A name stands in the settings of entries and agents; it exists for experiments, so that what each
mechanism is worth can be measured against the same programs.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from crankhinge.errors import SettingsError


@dataclass(frozen=True)
class Mechanisms:
    """Switches.

    Attributes:
        reserve: a decode slot is leased before the prompt is read.
        ahead: a slot is leased before it is free.
        refuse_early: what can't be in time is refused before it is queued.
        load_aware: backend servers are chosen by load, not in turn.
        affinity: prompts go where their prefix is likely cached.
        fair: members and priority classes are queued apart.
        budget: retries are bounded by a budget.
        resume: an answer cut by a failure goes on from another engine.
    """

    reserve: bool = True
    ahead: bool = True
    refuse_early: bool = True
    load_aware: bool = True
    affinity: bool = True
    fair: bool = True
    budget: bool = True
    resume: bool = True


FULL = Mechanisms()

NAIVE = Mechanisms(
    reserve=False,
    ahead=False,
    refuse_early=False,
    load_aware=False,
    affinity=False,
    fair=False,
    budget=False,
    resume=False,
)

POLICIES = {
    "full": FULL,
    "naive": NAIVE,
    "no-reserve": replace(FULL, reserve=False),
    "no-ahead": replace(FULL, ahead=False),
    "no-refuse-early": replace(FULL, refuse_early=False),
    "no-load-aware": replace(FULL, load_aware=False),
    "no-affinity": replace(FULL, affinity=False),
    "no-fair": replace(FULL, fair=False),
    "no-budget": replace(FULL, budget=False),
    "no-resume": replace(FULL, resume=False),
}


def mechanisms_for(policy: str) -> Mechanisms:
    """Return the mechanisms of a named policy.

    Raises:
        SettingsError: when there is no such policy.
    """
    found = POLICIES.get(policy)
    if found is None:
        raise SettingsError(f"policy: no {policy!r}; one of {', '.join(POLICIES)}")
    return found
