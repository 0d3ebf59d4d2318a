"""Which of the engines that admit a run gets it."""

from __future__ import annotations

import random
from collections.abc import Sequence

from crankhinge.decisions.placement._engines import EngineState

# Cost factor of an engine in another availability zone: the network adds a few percent.
OTHER_ZONE_FACTOR = 1.05
# Runs without their first event raise the cost of an engine by this share each, since their prompts
# are processed one after another.
PENDING_FACTOR = 0.1
# Costs closer than this share are equal: which of them is lower is noise.
EQUAL_SHARE = 0.03


def best_engine(
    admitted: Sequence[tuple[EngineState, float, float]], zone: str, rng: random.Random
) -> EngineState | None:
    """Return the engine with the lowest cost; None without any.

    Args:
        admitted: engines that admit the run, each with its predicted peak as a share of its memory
            and its seconds per token divided by the mean of the group.
        zone: availability zone of the owner of the run.
        rng: chooses among engines of equal cost.
    """
    costs = []
    for engine, memory_share, pace in admitted:
        pending = sum(not run.report.made_tokens for run in engine.runs.values())
        cost = (0.2 + memory_share) * pace * (1.0 + PENDING_FACTOR * pending)
        if engine.server.zone != zone:
            cost *= OTHER_ZONE_FACTOR
        costs.append((cost, engine))
    if not costs:
        return None
    limit = min(cost for cost, _ in costs) * (1.0 + EQUAL_SHARE)
    return rng.choice([engine for cost, engine in costs if cost <= limit])
