"""Injects the faults of a scenario while its load runs."""

from __future__ import annotations

import signal
import threading
import time
from collections.abc import Callable

from crankhinge_bench._cluster import Cluster
from crankhinge_bench._scenario import Fault


class FaultInjector:
    """Injects faults into a cluster from a separate thread.

    Args:
        cluster: the cluster that the faults affect.
        faults: faults in any order; they may overlap.
    """

    def __init__(self, cluster: Cluster, faults: tuple[Fault, ...]) -> None:
        self._cluster = cluster
        schedule: list[tuple[float, Callable[[], None]]] = []
        for fault in faults:
            start, end = self._make_actions(fault)
            schedule += [(fault.at, start), (fault.at + fault.seconds, end)]
        self._schedule = sorted(schedule, key=lambda action: action[0])
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start the thread; the times of the faults count from now."""
        self._thread.start()

    def join(self) -> None:
        """Wait until the last fault has ended."""
        self._thread.join()

    def _run(self) -> None:
        started_at = time.monotonic()
        for at, action in self._schedule:
            time.sleep(max(0.0, started_at + at - time.monotonic()))
            action()

    def _make_actions(self, fault: Fault) -> tuple[Callable[[], None], Callable[[], None]]:
        cluster = self._cluster
        name = fault.target
        if fault.kind == "kill":
            return (lambda: cluster.kill(name)), (lambda: cluster.restart(name))
        if fault.kind == "pause":
            return (
                lambda: cluster.signal(name, signal.SIGSTOP),
                lambda: cluster.signal(name, signal.SIGCONT),
            )
        port = cluster.standin_port(name)
        key = fault.kind.replace("-", "_")
        faulty = fault.factor if fault.kind == "slow" else True
        normal = 1.0 if fault.kind == "slow" else False
        return (
            lambda: cluster.set_faults(port, **{key: faulty}),
            lambda: cluster.set_faults(port, **{key: normal}),
        )
