"""Which engine a run is moved to."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass

# A move to another availability zone takes about twice as long, so an engine there counts as having
# this share of its free memory.
OTHER_ZONE_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class MoveTarget:
    """An engine that could take a run.

    Attributes:
        incarnation_id: incarnation id of the engine.
        free_tokens: its free KV memory in tokens, as far as this instance knows.
        same_zone: whether it is in the availability zone of the run's present engine.
    """

    incarnation_id: str
    free_tokens: float
    same_zone: bool

    @property
    def weight(self) -> float:
        """Its free memory, reduced for an engine in another availability zone."""
        return self.free_tokens * (1.0 if self.same_zone else OTHER_ZONE_SHARE)


def ordered_targets(
    candidates: Iterable[MoveTarget], tokens: int, rng: random.Random
) -> list[MoveTarget]:
    """Return the engines that have room for a run, in the order in which to try them.

    Each place in the order goes to the one with more free memory of two engines drawn at random. An
    instance knows only the memory of its own runs: if each took the engine that looks emptiest, all
    instances would send the runs of a leaving engine to the same one.

    Args:
        candidates: the available engines.
        tokens: KV memory of the run.
        rng: source of the random choices.
    """
    left = [candidate for candidate in candidates if candidate.free_tokens >= tokens]
    order = []
    while left:
        best = max(rng.sample(left, min(2, len(left))), key=lambda candidate: candidate.weight)
        left.remove(best)
        order.append(best)
    return order
