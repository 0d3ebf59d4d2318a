"""Holds the input of the checker and looks up which faults hit a process at a time."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from crankhinge_soak._faults import InjectedFault
from crankhinge_soak._fleet import STREAM_PATHS
from crankhinge_soak._load import ObservedRequest, Probe

# Seconds without a fault after which time bounds apply again.
FAULT_RECOVERY_S = 3.0
# Prefixes of the names of places whose servers handle streams and plain calls, and the part of a
# name that marks prefill engines.
ENGINE_PREFIX, PLAIN_PREFIX, PREFILL_MARK = "llm", "plain", "prefill"


@dataclass
class History:
    """All input of the checker.

    Times are seconds of the wall clock.

    Attributes:
        seen: what callers saw of each request.
        probes: which configuration versions were active on instances.
        rows: what backend servers recorded.
        troubles: the faults that were injected.
        acknowledged: for each configuration, the time at which the store confirmed its write, its
            version, and the service that plain calls go to.
        places: name of the place where each server ran, by the server's id.
        held: tokens of KV memory still in use at each engine after all requests had ended.
        calm_from: time from which no fault was active.
        exits: processes under test that exited by themselves.
        revoked: time at which each key was revoked.
        peak_memory: largest memory of each instance in MB, since its last start.
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
    peak_memory: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.by_ident = {seen.ident: seen for seen in self.seen}
        self.runs = self._by_request("run")
        self.arrivals = self._by_request("arrival")
        self.continued = self._by_request("continued")
        self.ended = self._by_request("ended")
        self.crashed_at = {
            row["server"]: row["at"] for row in self.rows if row["kind"] == "crashed"
        }

    def _by_request(self, kind: str) -> dict[str, list[dict[str, Any]]]:
        table: dict[str, list[dict[str, Any]]] = {}
        for row in self.rows:
            if row["kind"] == kind:
                table.setdefault(row["request"], []).append(row)
        return table

    def find_faults(self, targets: Iterable[str], begin: float, end: float) -> list[InjectedFault]:
        """Return the faults, planned ones included, on any of *targets* between two times."""
        names = set(targets)
        return [
            fault for fault in self.troubles if fault.target in names and fault.overlaps(begin, end)
        ]

    def has_unplanned_fault(self, targets: Iterable[str], begin: float, end: float) -> bool:
        """Whether a fault other than a planned one hit any of *targets* between two times."""
        return any(not fault.planned for fault in self.find_faults(targets, begin, end))

    def time_bounds_apply(self, gateway: str, begin: float, end: float) -> bool:
        """Whether the time bounds apply to the instance *gateway* between two times."""
        targets = (gateway, f"{gateway}/store", "store")
        begin -= FAULT_RECOVERY_S
        stopped = any(
            fault.kind == "stop" and fault.planned
            for fault in self.find_faults([gateway], begin, end)
        )
        return not stopped and not self.has_unplanned_fault(targets, begin, end)

    def reached_faulty_server(self, seen: ObservedRequest) -> bool:
        """Whether a server that the request reached had a fault meanwhile, planned or not.

        A server may have crashed some time before it is seen to have ended and restarted.
        """
        servers = {row["server"] for row in self.arrivals.get(seen.ident, ())}
        if any(seen.sent <= self.crashed_at.get(name, 0.0) <= seen.ended for name in servers):
            return True
        names = {self.places.get(name, "") for name in servers}
        return bool(self.find_faults(names, seen.sent - FAULT_RECOVERY_S, seen.ended))

    def reached_killed_server(self, seen: ObservedRequest) -> bool:
        """Whether a request went to a server that was killed before it could record the request.

        The prefill engine that processed the request's prompt may have recorded it nevertheless.
        """
        reached = [self.places.get(row["server"], "") for row in self.arrivals.get(seen.ident, ())]
        if any(PREFILL_MARK not in name for name in reached):
            return False
        service = ENGINE_PREFIX if seen.path in STREAM_PATHS else PLAIN_PREFIX
        return any(
            fault.kind == "kill"
            and fault.target.startswith(service)
            and fault.overlaps(seen.sent, seen.ended)
            for fault in self.troubles
        )
