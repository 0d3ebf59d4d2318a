"""Placement of runs on engines by one coordinator for a group of engines; no I/O."""

from crankhinge.decisions.placement._coordinator import (
    GRANT_EXPIRY_S,
    RUN_EXPIRY_S,
    WARM_UP_S,
    PlacementCoordinator,
)
from crankhinge.decisions.placement._prefill import PrefillOutcome
from crankhinge.decisions.placement._types import (
    PlacementDecision,
    PlacementOutcome,
    PlacementRequest,
    RunMove,
    RunReport,
)

__all__ = [
    "GRANT_EXPIRY_S",
    "RUN_EXPIRY_S",
    "WARM_UP_S",
    "PlacementCoordinator",
    "PlacementDecision",
    "PlacementOutcome",
    "PlacementRequest",
    "PrefillOutcome",
    "RunMove",
    "RunReport",
]
