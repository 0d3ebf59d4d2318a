"""``crankhinge-bench demo``: the whole system on one machine, for under half a minute."""

from __future__ import annotations

import argparse
import time

import curio

from crankhinge_bench._cluster import Cluster, ClusterSpec, http_json
from crankhinge_bench._load import LoadRun
from crankhinge_bench._summary import Summary, render, summarise
from crankhinge_bench._trace import Load, make_trace

SEED = 7
SECONDS = 8.0


def run_load(cluster: Cluster, load: Load, seed: int) -> Summary:
    """Play a trace against a running cluster and return its figures."""
    before = cluster.engine_stats()
    runner = LoadRun(cluster.entry_ports, cluster.credentials)
    outcomes = curio.run(runner.play, make_trace(load, seed))
    time.sleep(1.0)
    after = cluster.engine_stats()
    engines = [{k: a[k] - b[k] for k in a} for a, b in zip(after, before, strict=True)]
    spec = cluster.spec
    return summarise(
        outcomes,
        seconds=load.seconds,
        first_token_s=spec.first_token_s,
        between_tokens_s=spec.between_tokens_s,
        engines=engines,
        runs=service_runs(cluster),
    )


def service_runs(cluster: Cluster) -> list[dict[str, str]]:
    """Return every run that the plain services recorded."""
    plain = [place for place in cluster.places if place.kind == "plain"]
    return [run for p in plain for run in http_json("GET", p.backend_port, "/runs")]


def demo(_args: argparse.Namespace) -> int:
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
    with Cluster(spec) as cluster:
        print(f"sending mixed traffic for {SECONDS:.0f} s to ports {cluster.entry_ports}")
        summary = run_load(cluster, load, SEED)
    print(render(summary))
    return 0 if not summary.broken else 1
