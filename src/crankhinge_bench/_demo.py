"""``crankhinge-bench demo``: the whole system on one machine, for under half a minute."""

from __future__ import annotations

import argparse
from pathlib import Path

from crankhinge_bench._cluster import Cluster
from crankhinge_bench._run import play
from crankhinge_bench._scenario import Scenario
from crankhinge_bench._spec import ClusterSpec
from crankhinge_bench._summary import render
from crankhinge_bench._trace import Load

SEED = 7
SECONDS = 8.0


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the command's arguments."""
    parser.add_argument("--logs", default="", help="directory for the programs' logs")
    parser.set_defaults(run=demo)


def demo(args: argparse.Namespace) -> int:
    """Run the demo; returns the exit status."""
    spec = ClusterSpec(entries=2)
    load = Load(
        seconds=SECONDS,
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
        print(f"sending mixed traffic for {SECONDS:.0f} s to ports {cluster.entry_ports}")
        scenario = Scenario(name="demo", cluster=spec, load=load)
        summary, _ = play(cluster, scenario, load.per_s, SEED)
        if logs is not None:
            (logs / "bundle.toml").write_text(cluster.bundle_text(1))
    print(render(summary))
    return 0 if not summary.broken else 1
