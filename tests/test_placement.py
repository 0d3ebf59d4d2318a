"""Tests of the placement coordinator: which run goes to which engine, and which request waits."""

from __future__ import annotations

import random
from dataclasses import replace

from crankhinge.decisions import EngineLimits, EngineRole, Server
from crankhinge.decisions.placement import (
    WARM_UP_S,
    PlacementCoordinator,
    PlacementOutcome,
    PlacementRequest,
)

LIMITS = EngineLimits(16, 75_000, 0.5, 2.0, 70)
NEED = PlacementRequest("a/1", "a", "", 0, "chat", 5200, 4400, 9000, 0.8, 3.2, 14.0, False, "z1")


def engine(number: int, *, zone: str = "z1") -> Server:
    """Return an engine of the group."""
    return Server(f"e{number}", "llm", "127.0.0.1", number, zone, EngineRole.DECODE, 16, False, 1)


def ready_coordinator(engines: int = 1) -> PlacementCoordinator:
    """Return a coordinator that is ready at time 0."""
    coordinator = PlacementCoordinator(rng=random.Random(1), now=-WARM_UP_S)
    coordinator.set_engines([engine(number) for number in range(engines)], LIMITS, 0.0)
    return coordinator


class TestRequests:
    """What a request is answered."""

    def test_asking_again_returns_the_same_grant(self) -> None:
        """A repeated request, whose answer was lost, must not occupy memory a second time."""
        coordinator = ready_coordinator()
        first = coordinator.request(NEED, 0.0)
        assert first.outcome is PlacementOutcome.GRANTED
        assert coordinator.request(NEED, 0.1) == first
        others = [coordinator.request(replace(NEED, run_id=f"a/{n}"), 0.1) for n in range(2, 6)]
        assert {decision.outcome for decision in others} == {PlacementOutcome.GRANTED}

    def test_coordinator_without_reports_says_so(self) -> None:
        """A coordinator that has just begun knows no runs and would fill engines that are full."""
        coordinator = PlacementCoordinator(rng=random.Random(1), now=0.0)
        coordinator.set_engines([engine(0)], LIMITS, 0.0)
        assert coordinator.request(NEED, 0.1).outcome is PlacementOutcome.NOT_COORDINATOR
        assert coordinator.request(NEED, WARM_UP_S).outcome is PlacementOutcome.GRANTED
