"""The mechanisms that can each be switched off, and a naive baseline without any of them.

A policy is a named set of enabled mechanisms; its name is a setting of entries and agents. It
exists for experiments that measure the effect of each mechanism with otherwise identical programs.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from crankhinge.errors import SettingsError


@dataclass(frozen=True)
class Mechanisms:
    """Which mechanisms are enabled.

    Attributes:
        reserve: lease a decode slot to a request before its prompt is processed.
        ahead: lease a slot that is still in use, if it is free by the time the request needs it.
        refuse_early: refuse requests that cannot be in time, before they are queued.
        load_aware: choose backend servers by load, not in turn.
        affinity: send prompts to servers that probably have their prefix cached.
        fair: queue priority classes, partners and members (client accounts) separately, so that
            each gets its share.
        budget: bound the number of retries by a budget.
        resume: continue an answer on another engine after a failure.
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
    """Return the mechanisms of the policy with this name.

    Raises:
        SettingsError: there is no such policy.
    """
    found = POLICIES.get(policy)
    if found is None:
        raise SettingsError(
            f"policy: unknown name {policy!r}; expected one of {', '.join(POLICIES)}"
        )
    return found
