"""What callers saw and what backend servers recorded, as the checks look at it."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from crankhinge_soak._faults import InjectedFault
from crankhinge_soak._fleet import STREAM_PATHS
from crankhinge_soak._load import ObservedRequest, Probe

# Seconds without trouble after which bounds in time hold again.
FAULT_RECOVERY_S = 3.0
# How the names of places begin that serve streams and plain calls, and what marks those that read.
ENGINE_PREFIX, PLAIN_PREFIX, PREFILL_MARK = "llm", "plain", "prefill"


@dataclass
class History:
    """All that the checker looks at.

    Attributes:
        seen: what callers saw.
        probes: which configuration instances had in force.
        rows: what backend servers recorded.
        troubles: faults as played.
        acknowledged: wall clock, version and service of plain calls of each configuration.
        places: name of the place of each server, by its identity.
        held: memory tied at each engine after everything had ended.
        calm_from: wall clock from which everything was whole again.
        exits: processes under test that ended by themselves.
        revoked: wall clock at which each key was taken away.
    """

    seen: list[ObservedRequest]
    probes: list[Probe]
    rows: list[dict[str, Any]]
    troubles: list[InjectedFault]
    acknowledged: list[tuple[float, int, str]]
    places: dict[str, str]
    held: dict[str, int]
    calm_from: float
    exits: list[str]
    revoked: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.by_ident = {seen.ident: seen for seen in self.seen}
        self.runs = self._by_request("run")
        self.arrivals = self._by_request("arrival")

    def _by_request(self, kind: str) -> dict[str, list[dict[str, Any]]]:
        table: dict[str, list[dict[str, Any]]] = {}
        for row in self.rows:
            if row["kind"] == kind:
                table.setdefault(row["request"], []).append(row)
        return table

    def find_faults(self, targets: Iterable[str], begin: float, end: float) -> list[InjectedFault]:
        """Return what befell any of *targets*, planned or not, between two times."""
        names = set(targets)
        return [
            trouble
            for trouble in self.troubles
            if trouble.target in names and trouble.overlaps(begin, end)
        ]

    def has_unplanned_fault(self, targets: Iterable[str], begin: float, end: float) -> bool:
        """Whether unplanned trouble befell one of *targets* between two times."""
        return any(not trouble.planned for trouble in self.find_faults(targets, begin, end))

    def time_bounds_apply(self, gateway: str, begin: float, end: float) -> bool:
        """Whether an instance's bounds in time hold between two times."""
        targets = (gateway, f"{gateway}/store", "store")
        begin -= FAULT_RECOVERY_S
        stopped = any(
            trouble.kind == "stop" and trouble.planned
            for trouble in self.find_faults([gateway], begin, end)
        )
        return not stopped and not self.has_unplanned_fault(targets, begin, end)

    def reached_faulty_server(self, seen: ObservedRequest) -> bool:
        """Whether a server that a request reached was harmed, or left, in its time."""
        names = {self.places.get(row["server"], "") for row in self.arrivals.get(seen.ident, ())}
        return bool(self.find_faults(names, seen.sent - FAULT_RECOVERY_S, seen.ended))

    def reached_killed_server(self, seen: ObservedRequest) -> bool:
        """Whether a request went to a server that was killed before it could record it.

        Its prompt may have been read elsewhere, which is recorded.
        """
        reached = [self.places.get(row["server"], "") for row in self.arrivals.get(seen.ident, ())]
        if any(PREFILL_MARK not in name for name in reached):
            return False
        service = ENGINE_PREFIX if seen.path in STREAM_PATHS else PLAIN_PREFIX
        return any(
            trouble.kind == "kill"
            and trouble.target.startswith(service)
            and trouble.overlaps(seen.sent, seen.ended)
            for trouble in self.troubles
        )
