"""What a stand-in replica holds: its faults and the memory that is tied."""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field

from crankhinge_standins._web import FaultSwitches


class ReplicaFaults(FaultSwitches):
    """Faults of a replica.

    Attributes:
        errors: share of runs that end with status 500.
        resets: share of runs whose answer is lost.
        garbles: share of answers that break off.
        refuses: share of arrivals that are refused before they run.
        slow: factor on every duration.
        rest_s: seconds for which it wants no request from whom it refuses; 0 for no such word.
        limit: what it names as the requests a second that it takes; empty for nothing.
    """

    errors: float = 0.0
    resets: float = 0.0
    garbles: float = 0.0
    refuses: float = 0.0
    slow: float = 1.0
    limit: str = ""
    rest_s: float = 0.0


@dataclass
class KvMemory:
    """Memory of an engine that is tied, in tokens, by reason."""

    runs: dict[str, int] = field(default_factory=dict)
    holds: dict[str, int] = field(default_factory=dict)
    handles: dict[str, int] = field(default_factory=dict)

    @property
    def used(self) -> int:
        """Tokens that are tied."""
        tied = itertools.chain(self.runs.values(), self.holds.values(), self.handles.values())
        return sum(tied)
