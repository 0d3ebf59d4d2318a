"""Runs entries and agents under load and random faults, and checks the result."""

from __future__ import annotations

import random
import re
import signal
import threading
import time
from pathlib import Path
from typing import Any

import curio

from crankhinge_bench._cluster import Cluster
from crankhinge_bench._load import LoadGenerator
from crankhinge_bench._spec import ClusterSpec, EngineSpec, ServiceSpec
from crankhinge_bench._summary import summarise
from crankhinge_bench._trace import Load, make_trace
from crankhinge_soak._entries_check import Drain, History, check
from crankhinge_soak._entries_evidence import (
    read_bundles_seen,
    read_drained_count,
    wait_until_freed,
)
from crankhinge_soak._verdict import Report

# Time for recovery after the last fault.
SETTLE_S = 12.0
# Maximum duration of a planned stop.
DRAIN_TIMEOUT_S = 40.0
# Minimum and maximum duration of a pause.
PAUSE_DURATION_S = (0.5, 6.0)
# Minimum and maximum time between the starts of two faults.
FAULT_GAP_S = (0.5, 2.5)


def make_cluster_spec() -> ClusterSpec:
    """Return the cluster that the faults are injected into."""
    return ClusterSpec(
        entries=3,
        engines=(
            EngineSpec("read", "prefill", 2),
            EngineSpec("write", "decode", 3),
        ),
        services=(ServiceSpec("ledger", "/ledger/", 3, work_s=0.05),),
        beat_s=0.3,
    )


class EntryFaultInjector:
    """Injects random faults from a thread of its own.

    Args:
        cluster: the processes that faults hit.
        runner: the load; it stops using entries that drain, as a load balancer would.
        rng: draws the schedule.
    """

    def __init__(self, cluster: Cluster, runner: LoadGenerator, rng: random.Random) -> None:
        self.counts: dict[str, int] = {}
        self.drains: list[Drain] = []
        self.published: list[tuple[float, int]] = []
        self.ended = 0
        self._cluster = cluster
        self._runner = runner
        self._rng = rng
        self._stop = threading.Event()
        self._claimed: set[str] = set()
        self._workers: list[threading.Thread] = []
        self._thread = threading.Thread(target=self._inject_faults, daemon=True)
        self._lock = threading.Lock()

    def start(self) -> None:
        """Start to inject faults."""
        self._thread.start()

    def finish(self) -> None:
        """Inject no more faults, and wait until every fault has ended."""
        self._stop.set()
        self._thread.join()
        for worker in self._workers:
            worker.join()

    def _inject_faults(self) -> None:
        kinds = [
            self._kill,
            self._pause,
            self._drain,
            self._fail_platform,
            self._publish_bundle,
            self._fail_engine,
        ]
        weights = [4, 3, 2, 3, 2, 2]
        while not self._stop.wait(self._rng.uniform(*FAULT_GAP_S)):
            kind = self._rng.choices(kinds, weights)[0]
            worker = threading.Thread(target=kind, daemon=True)
            worker.start()
            self._workers.append(worker)

    def _count(self, kind: str) -> None:
        with self._lock:
            self.counts[kind] = self.counts.get(kind, 0) + 1

    def _claim(self, names: list[str]) -> str | None:
        """Claim one of *names* that no other fault uses.

        Returns None if fewer than two are unclaimed, since one must keep running.
        """
        with self._lock:
            free = [name for name in names if name not in self._claimed]
            if len(free) < 2:
                return None
            name = self._rng.choice(free)
            self._claimed.add(name)
            return name

    def _release(self, name: str) -> None:
        with self._lock:
            self._claimed.discard(name)

    def _group_processes(self) -> list[list[str]]:
        """Return groups of processes that can replace each other."""
        places = self._cluster.agents
        pools = {place.pool for place in places}
        groups = [[f"entry-{n}" for n in range(self._cluster.spec.entries)]]
        for pool in sorted(pools):
            names = [place.name for place in places if place.pool == pool]
            groups += [names, [f"backend-{name}" for name in names]]
        return groups

    def _claim_any(self, *, backends: bool = True) -> str | None:
        """Claim a process of a random group, or return None if fewer than two are unclaimed."""
        groups = [g for g in self._group_processes() if backends or not g[0].startswith("backend-")]
        with self._lock:
            group = self._rng.choice(groups)
        return self._claim(group)

    def _kill(self) -> None:
        name = self._claim_any()
        if name is None:
            return
        self._count("kill-" + re.sub(r"-\d+$", "", name))
        self.ended += 1
        self._cluster.kill(name)
        time.sleep(self._rng.uniform(0.2, 3.0))
        self._cluster.restart(name)
        time.sleep(1.5)
        self._release(name)

    def _pause(self) -> None:
        name = self._claim_any()
        if name is None:
            return
        self._count("pause-" + re.sub(r"-\d+$", "", name))
        self.ended += 1
        self._cluster.signal(name, signal.SIGSTOP)
        time.sleep(self._rng.uniform(*PAUSE_DURATION_S))
        self._cluster.signal(name, signal.SIGCONT)
        self._release(name)

    def _drain(self) -> None:
        name = self._claim_any(backends=False)
        if name is None:
            return
        self._count("drain-" + re.sub(r"-\d+$", "", name))
        port = self._find_entry_port(name)
        if port:
            self._runner.excluded_ports.add(port)
        proc = self._cluster.procs[name]
        at = time.time()
        proc.send_signal(signal.SIGTERM)
        status = proc.wait(DRAIN_TIMEOUT_S)
        until = time.time()
        self._cluster.procs.pop(name)
        cut = read_drained_count(self._cluster.logs / f"{name}.log")
        backend = "" if port else name
        self.drains.append(
            Drain(name=name, at=at, until=until, status=status, backend=backend, cut=cut)
        )
        self._cluster.restart(name)
        time.sleep(1.5)
        if port:
            self._runner.excluded_ports.discard(port)
        self._release(name)

    def _find_entry_port(self, name: str) -> int:
        """Return the port of an entry; 0 for another process."""
        if not name.startswith("entry-"):
            return 0
        return self._cluster.entry_ports[int(name.removeprefix("entry-"))]

    def _fail_platform(self) -> None:
        with self._lock:
            if "platform" in self._claimed:
                return
            self._claimed.add("platform")
        fault: dict[str, Any] = self._rng.choice(
            [{"down": True}, {"delay_s": 1.5}, {"lose_answers": True}]
        )
        self._count("platform-" + next(iter(fault)))
        port = self._cluster.platform_port
        self._cluster.set_faults(port, **fault)
        time.sleep(self._rng.uniform(1.0, 10.0))
        self._cluster.set_faults(port, down=False, delay_s=0.0, lose_answers=False)
        self._release("platform")

    def _fail_engine(self) -> None:
        places = [place for place in self._cluster.agents if place.kind != "plain"]
        place = self._rng.choice(places)
        fault: dict[str, Any] = self._rng.choice([{"slow": 4.0}, {"stall": True}, {"refuse": True}])
        if self._claim([f"backend-{p.name}" for p in places if p.pool == place.pool]) is None:
            return
        self._count("engine-" + next(iter(fault)))
        try:
            self._cluster.set_faults(place.backend_port, **fault)
            time.sleep(self._rng.uniform(0.5, 3.0))
            self._cluster.set_faults(place.backend_port, slow=1.0, stall=False, refuse=False)
        except OSError:
            pass
        for other in places:
            self._release(f"backend-{other.name}")

    def _publish_bundle(self) -> None:
        """Let two operators race to publish the next version."""
        with self._lock:
            if "bundle" in self._claimed:
                return
            self._claimed.add("bundle")
        try:
            version = self._cluster.bundle_version + 1
            accepted = self._cluster.publish_concurrently(version)
            if accepted:
                self._count("publish")
                self.published.append((time.time(), version))
        finally:
            self._release("bundle")


def run_seed(seed: int, seconds: float, logs: Path | None) -> Report:
    """Run the schedule of one seed and check the result."""
    spec = make_cluster_spec()
    load = Load(
        seconds=seconds,
        per_s=24.0,
        calls_per_s=6.0,
        cancel_share=0.05,
        cancel_tokens=700,
        output_tokens=60.0,
        members=dict(spec.members),
    )
    with Cluster(spec, logs=logs) as cluster:
        runner = LoadGenerator(cluster.entry_ports, cluster.credentials, max_retries=6)
        chaos = EntryFaultInjector(cluster, runner, random.Random(seed))
        chaos.start()
        outcomes = curio.run(runner.run, make_trace(load, seed))
        chaos.finish()
        time.sleep(SETTLE_S)
        history = History(
            outcomes=outcomes,
            runs=cluster.read_records("plain"),
            work=[row for row in cluster.read_records("prefill", "decode") if "prompt" in row],
            held=wait_until_freed(cluster),
            drains=chaos.drains,
            bundles=read_bundles_seen(cluster),
            published=chaos.published,
            ended=chaos.ended,
        )
        summary = summarise(
            outcomes,
            seconds=seconds,
            first_token_s=spec.first_token_s,
            between_tokens_s=spec.between_tokens_s,
            engines=cluster.engine_stats(),
            runs=history.runs,
        )
    return Report(
        seed=seed,
        seconds=seconds,
        faults=dict(sorted(chaos.counts.items())),
        verdicts=check(history),
        requests=summary.offered + summary.calls,
        answered=sum(seen.complete for seen in outcomes),
        note=(
            f"; completions {summary.offered}: in time {summary.in_time_share:.1%}, "
            f"refused {summary.refused}, failed {summary.failed}, waste "
            f"{summary.wasted_share:.2%}; calls {summary.calls}: answered "
            f"{summary.calls_answered}; causes {summary.causes}"
        ),
    )
