"""``crankhinge-bench demo``: runs the whole system on one machine in under half a minute."""

from __future__ import annotations

import argparse
from pathlib import Path

from crankhinge_bench._cluster import Cluster
from crankhinge_bench._run import run_trace
from crankhinge_bench._scenario import Scenario
from crankhinge_bench._spec import ClusterSpec
from crankhinge_bench._summary import format_summary
from crankhinge_bench._trace import Load

TRACE_SEED = 7
TRACE_S = 8.0


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the command's arguments."""
    parser.add_argument("--logs", default="", help="directory for the logs of the programs")
    parser.set_defaults(run=run_demo)


def run_demo(args: argparse.Namespace) -> int:
    """Run the demo; return 0 if no invariant was violated, else 1."""
    spec = ClusterSpec(entries=2)
    load = Load(
        seconds=TRACE_S,
        per_s=12.0,
        calls_per_s=3.0,
        cancel_share=0.05,
        members=dict(spec.members),
    )
    print("starting 2 entries, 2 prefill and 2 decode engines, 1 plain service, their agents")
    logs = Path(args.logs) if args.logs else None
    if logs is not None:
        logs.mkdir(parents=True, exist_ok=True)
    with Cluster(spec, logs=logs) as cluster:
        print(f"sending mixed traffic for {TRACE_S:.0f} s to ports {cluster.entry_ports}")
        scenario = Scenario(name="demo", cluster=spec, load=load)
        summary, _ = run_trace(cluster, scenario, load.per_s, TRACE_SEED)
        if logs is not None:
            (logs / "bundle.toml").write_text(cluster.bundle_text(1))
    print(format_summary(summary))
    return 0 if not summary.violations else 1
