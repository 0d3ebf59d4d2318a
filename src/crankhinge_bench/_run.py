"""``crankhinge-bench run``: compares policies on scenarios."""

from __future__ import annotations

import argparse
import statistics
import sys
import time
from pathlib import Path

import curio

from crankhinge.decisions import mechanisms_for
from crankhinge.runtime import write_json
from crankhinge_bench._bound import capacity_per_s, goodput_bound, with_rate
from crankhinge_bench._cluster import Cluster
from crankhinge_bench._faults import FaultInjector
from crankhinge_bench._load import LoadGenerator
from crankhinge_bench._plot import plot_results
from crankhinge_bench._run_result import RunResult
from crankhinge_bench._scenario import Scenario, read_scenario
from crankhinge_bench._spec import ClusterSpec
from crankhinge_bench._summary import Summary, summarise
from crankhinge_bench._trace import make_trace

SETTLE_S = 1.0


def run_trace(cluster: Cluster, scenario: Scenario, per_s: float, seed: int) -> tuple[Summary, int]:
    """Run a scenario's trace and faults; return the figures and the bound on goodput."""
    load = with_rate(scenario.load, per_s)
    trace = make_trace(load, seed)
    faults = FaultInjector(cluster, scenario.faults)
    generator = LoadGenerator(cluster.entry_ports, cluster.credentials)
    faults.start()
    request_results = curio.run(generator.run, trace)
    faults.join()
    time.sleep(SETTLE_S)
    for request in request_results:
        if request.first_token_s:
            request.first_token_s += 2 * scenario.client_delay_s
    spec = cluster.spec
    summary = summarise(
        request_results,
        seconds=load.seconds,
        first_token_s=spec.first_token_s,
        between_tokens_s=spec.between_tokens_s,
        engines=cluster.engine_stats(),
        runs=cluster.read_records("plain"),
    )
    return summary, goodput_bound(spec, load, trace)


def with_policy(spec: ClusterSpec, policy: str) -> ClusterSpec:
    """Return a copy of *spec* whose programs use the policy named *policy*."""
    values = {name: getattr(spec, name) for name in spec.__struct_fields__}
    return ClusterSpec(**{**values, "mechanisms": policy})


def run_scenario(
    scenario: Scenario, policies: list[str], *, seed: int, repeat: int, logs: Path | None = None
) -> list[RunResult]:
    """Run every policy at every load, *repeat* times.

    The policies alternate within a load, and run *n* of each uses the same trace.
    """
    capacity = capacity_per_s(scenario.cluster, scenario.load)
    results = []
    for load in scenario.loads:
        for number in range(repeat):
            for policy in policies:
                spec = with_policy(scenario.cluster, policy)
                with Cluster(spec, logs=logs) as cluster:
                    summary, bound = run_trace(cluster, scenario, capacity * load, seed + number)
                result = RunResult(
                    scenario=scenario.name,
                    policy=policy,
                    load=load,
                    repeat=number,
                    per_s=capacity * load,
                    bound=bound,
                    of_bound=summary.in_time / max(1, bound),
                    summary=summary,
                )
                print(format_line(result), file=sys.stderr, flush=True)
                results.append(result)
    return results


def format_line(result: RunResult) -> str:
    """Return a one-line summary of a run for the terminal."""
    summary = result.summary
    return (
        f"{result.scenario} load {result.load:g} {result.policy:<16} offered {summary.offered:4d} "
        f"in time {summary.in_time:4d} = {result.of_bound:6.1%} of bound, "
        f"waste {summary.wasted_share:6.2%}, refused {summary.refused}, failed {summary.failed}, "
        f"first p95 {summary.first_p95 * 1000:.0f} ms, broken {summary.violations}"
    )


def format_table(results: list[RunResult]) -> str:
    """Return a Markdown table of median, minimum and maximum per scenario, load and policy."""
    groups: dict[tuple[str, float, str], list[RunResult]] = {}
    for result in results:
        groups.setdefault((result.scenario, result.load, result.policy), []).append(result)
    lines = ["| scenario | load | policy | of bound | goodput/s | waste | broken |"]
    lines.append("|---|---|---|---|---|---|---|")
    for (scenario, load, policy), group in groups.items():
        bound = _format_range([result.of_bound * 100 for result in group], "%")
        goodput = _format_range([result.summary.goodput for result in group], "")
        waste = _format_range([result.summary.wasted_share * 100 for result in group], "%")
        broken = sum(result.summary.violations for result in group)
        lines.append(
            f"| {scenario} | {load:g} | {policy} | {bound} | {goodput} | {waste} | {broken} |"
        )
    return "\n".join(lines)


def _format_range(values: list[float], unit: str) -> str:
    median = statistics.median(values)
    return f"{median:.1f}{unit} ({min(values):.1f} to {max(values):.1f})"


def run_policies(args: argparse.Namespace) -> int:
    """Run the command; return 0 if no invariant was violated, else 1."""
    policies = args.policy.split(",")
    for policy in policies:
        mechanisms_for(policy)
    scenarios = [read_scenario(path) for path in args.scenario]
    logs = Path(args.logs) if args.logs else None
    results: list[RunResult] = []
    for scenario in scenarios:
        results += run_scenario(scenario, policies, seed=args.seed, repeat=args.repeat, logs=logs)
    write_json(args.json, results)
    if args.plot:
        plot_results(results, Path(args.plot))
    print(format_table(results))
    return 0 if not any(result.summary.violations for result in results) else 1


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the command's arguments."""
    parser.add_argument("scenario", nargs="+", help="scenario file (TOML)")
    parser.add_argument(
        "--policy", default="full,naive", help="names of policies, separated by commas"
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--repeat", type=int, default=1)
    parser.add_argument("--json", default="", help="file for the results")
    parser.add_argument(
        "--plot",
        default="",
        help="PNG file for a plot of goodput and wasted prefill work against load",
    )
    parser.add_argument("--logs", default="", help="directory for the logs of the programs")
    parser.set_defaults(run=run_policies)
