"""Which of the engines that admit a run gets it."""

from __future__ import annotations

import random

from crankhinge.decisions.placement._engines import EngineState

# Cost factor of an engine in another availability zone: the network adds a few percent.
OTHER_ZONE_FACTOR = 1.05
# Runs without their first event raise the cost of an engine by this share each, since their prompts
# are processed one after another.
PENDING_FACTOR = 0.1
# Cost of an empty engine, where a full one costs 1 more: pace and distance count there, too.
BASE_COST = 0.2
# Costs closer than this share are equal: which of them is lower is noise.
EQUAL_SHARE = 0.03


def placement_cost(
    engine: EngineState, memory_share: float, relative_pace: float, zone: str, rng: random.Random
) -> float:
    """Return the cost of a run on an engine; the engine with the lowest gets it.

    Args:
        engine: the engine.
        memory_share: predicted peak of its memory, as a share.
        relative_pace: its seconds per token divided by the mean of the group.
        zone: availability zone of the owner of the run.
        rng: chooses among engines of about equal cost.
    """
    cost = (BASE_COST + memory_share) * relative_pace * (1.0 + PENDING_FACTOR * engine.pending)
    if engine.server.zone != zone:
        cost *= OTHER_ZONE_FACTOR
    return cost * (1.0 + EQUAL_SHARE * rng.random())
