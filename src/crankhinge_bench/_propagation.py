"""``crankhinge-bench spread``: measures how fast a bundle takes effect in all processes."""

from __future__ import annotations

import argparse
import re
import time
from datetime import datetime

import msgspec

from crankhinge.runtime import write_json
from crankhinge_bench._cluster import Cluster
from crankhinge_bench._spec import ClusterSpec, EngineSpec

PROCESS_COUNTS = (10, 50, 150)
ENTRY_COUNT = 2
PROPAGATION_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.2


class Propagation(msgspec.Struct, kw_only=True):
    """Propagation of one bundle.

    Attributes:
        processes: number of entries and agents.
        outage: whether the key-value service failed right after the write of the bundle.
        first_s: seconds from the start of the publication until the first process applied it.
        half_s: the same until half of those that applied it had done so.
        all_s: the same until all had applied it; 0 if some never did.
        missing: number of processes that never applied it within ``PROPAGATION_TIMEOUT_S``.
    """

    processes: int
    outage: bool
    first_s: float
    half_s: float
    all_s: float
    missing: int


def _process_names(cluster: Cluster) -> list[str]:
    entries = [f"entry-{number}" for number in range(cluster.spec.entries)]
    return entries + [agent.name for agent in cluster.agents]


def _bundle_times(cluster: Cluster, version: int) -> list[float]:
    """Return the time at which each process applied *version*, from the logs.

    Processes that haven't applied it are left out.
    """
    pattern = re.compile(rf"ts=(\S+) .*event=bundle_in_force .*version={version}\b")
    times = []
    for name in _process_names(cluster):
        match = pattern.search((cluster.logs / f"{name}.log").read_text())
        if match:
            times.append(datetime.fromisoformat(match[1]).timestamp())
    return times


def _measure_publication(cluster: Cluster, outage: bool) -> Propagation:
    version = cluster.bundle_version + 1
    if outage:
        cluster.set_faults(cluster.platform_port, down_after_write=True)
    started_at = time.time()
    cluster.publish(cluster.bundle_text(version))
    count = len(_process_names(cluster))
    deadline = time.monotonic() + PROPAGATION_TIMEOUT_S
    while len(times := _bundle_times(cluster, version)) < count and time.monotonic() < deadline:
        time.sleep(POLL_INTERVAL_S)
    if outage:
        cluster.set_faults(cluster.platform_port, down=False)
    delays = sorted(at - started_at for at in times) or [0.0]
    missing = count - len(times)
    return Propagation(
        processes=count,
        outage=outage,
        first_s=delays[0],
        half_s=delays[len(delays) // 2],
        all_s=0.0 if missing else delays[-1],
        missing=missing,
    )


def measure_propagation(count: int, repeat: int) -> list[Propagation]:
    """Measure with *count* processes, without and with an outage, *repeat* times each."""
    agents = count - ENTRY_COUNT - 1
    spec = ClusterSpec(
        entries=ENTRY_COUNT,
        engines=(EngineSpec("read", "prefill", 1), EngineSpec("write", "decode", agents)),
        services=(),
    )
    with Cluster(spec, backends=False) as cluster:
        return [
            _measure_publication(cluster, outage) for _ in range(repeat) for outage in (False, True)
        ]


def run_spread(args: argparse.Namespace) -> int:
    """Run the command; return 0 if every process applied every bundle, else 1."""
    results: list[Propagation] = []
    for count in args.counts.split(","):
        results += measure_propagation(int(count), args.repeat)
    write_json(args.json, results)
    print("| processes | service out after the swap | first | half | all | missing |")
    print("|---|---|---|---|---|---|")
    for row in results:
        out = "yes" if row.outage else "no"
        print(
            f"| {row.processes} | {out} | {row.first_s:.2f} s | {row.half_s:.2f} s "
            f"| {row.all_s:.2f} s | {row.missing} |"
        )
    return 1 if any(row.missing for row in results) else 0


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the command's arguments."""
    parser.add_argument("--counts", default=",".join(str(count) for count in PROCESS_COUNTS))
    parser.add_argument("--repeat", type=int, default=3)
    parser.add_argument("--json", default="", help="file for the results")
    parser.set_defaults(run=run_spread)
