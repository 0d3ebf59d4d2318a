"""``crankhinge-bench perf``: measures the overhead of the product over direct engine calls."""

from __future__ import annotations

import argparse
import json
import socket
import subprocess
import sys
import time

import curio
import msgspec

from crankhinge.adapters.openai_engine import OpenAiEngine
from crankhinge.runtime import write_json
from crankhinge_bench._cluster import Cluster
from crankhinge_bench._fit import read_cpu_s, read_rss_kib
from crankhinge_bench._load import LoadGenerator, RequestResult
from crankhinge_bench._procs import HOST, http_json
from crankhinge_bench._spec import ClusterSpec, EngineSpec
from crankhinge_bench._summary import percentile
from crankhinge_bench._trace import Arrival

LATENCY_PAIRS = 150
STREAM_COUNT = 200
STREAM_TOKENS = 100
CANCEL_COUNT = 20
START_COUNT = 5
POLL_INTERVAL_S = 0.002
COMPLETIONS_PATH = "/v1/completions"


class PerfResult(msgspec.Struct, kw_only=True):
    """Figures of one run.

    Attributes:
        direct_ms: p50 and p99 of the milliseconds to the first token, engines called directly.
        through_ms: the same for requests through an entry and agents.
        added_ms: p50 and p99 of the differences, taken pair by pair.
        streams: number of concurrent streams through one entry.
        wrong: number of these streams that were cut or differ from what the engine generates.
        tokens_per_s: tokens relayed per second during the streams.
        entry_us_per_token: CPU microseconds of the entry per relayed token.
        agent_us_per_token: CPU microseconds of all decode agents together per relayed token.
        cancel_ms: p50 and p99 of the milliseconds from a caller's disconnect until no engine holds
            the request in memory.
        idle_kb: resident memory of each idle program in KiB.
        loaded_kb: resident memory of each program in KiB after the streams.
        start_ms: median milliseconds until a program has imported all modules and checked its
            settings.
    """

    direct_ms: tuple[float, float]
    through_ms: tuple[float, float]
    added_ms: tuple[float, float]
    streams: int
    wrong: int
    tokens_per_s: float
    entry_us_per_token: float
    agent_us_per_token: float
    cancel_ms: tuple[float, float]
    idle_kb: dict[str, int]
    loaded_kb: dict[str, int]
    start_ms: dict[str, float]


def _p50_and_p99(values: list[float]) -> tuple[float, float]:
    return percentile(values, 0.5), percentile(values, 0.99)


async def _direct_first_token_s(cluster: Cluster, number: int) -> float:
    """Return the seconds to the first token of a request sent directly to the engines."""
    prefill = next(agent for agent in cluster.agents if agent.kind == "prefill")
    decode = next(agent for agent in cluster.agents if agent.kind == "decode")
    body = json.dumps({"model": "m1", "prompt": f"direct {number}", "max_tokens": 3}).encode()
    started_at = await curio.clock()
    result = await OpenAiEngine(HOST, prefill.backend_port).prefill(
        COMPLETIONS_PATH, body, request_id=number
    )
    engine = OpenAiEngine(HOST, decode.backend_port)
    stream = await engine.decode(COMPLETIONS_PATH, body, result.kv_handle, request_id=number)
    await stream.next_pieces()
    first_token_s = await curio.clock() - started_at
    while await stream.next_pieces():
        pass
    await stream.close()
    return float(first_token_s)


async def _proxied_first_token_s(cluster: Cluster, number: int) -> float:
    generator = LoadGenerator(cluster.entry_ports, cluster.credentials)
    [request] = await generator.run([Arrival(0.0, "naas-office", f"through {number}", 3)])
    return request.first_token_s


async def _measure_pairs(cluster: Cluster) -> tuple[list[float], list[float]]:
    direct, through = [], []
    for number in range(LATENCY_PAIRS):
        direct.append(await _direct_first_token_s(cluster, number) * 1000)
        through.append(await _proxied_first_token_s(cluster, number) * 1000)
    return direct, through


def _measure_latency() -> tuple[list[float], list[float]]:
    spec = ClusterSpec(
        engines=(
            EngineSpec("read", "prefill", 1),
            EngineSpec("write", "decode", 1, step_s=0.002, step_per_request_s=0.0),
        ),
        services=(),
    )
    with Cluster(spec) as cluster:
        direct, through = curio.run(_measure_pairs, cluster)
    return direct, through


def _stream_spec() -> ClusterSpec:
    return ClusterSpec(
        engines=(EngineSpec("read", "prefill", 4), EngineSpec("write", "decode", 12)),
        services=(),
        first_token_s=5.0,
    )


def _run_streams(cluster: Cluster) -> tuple[list[RequestResult], float]:
    trace = [
        Arrival(n * 0.01, "naas-office", f"stream {n} of many", STREAM_TOKENS)
        for n in range(STREAM_COUNT)
    ]
    started_at = time.monotonic()
    results = curio.run(LoadGenerator(cluster.entry_ports, cluster.credentials).run, trace)
    return results, time.monotonic() - started_at


def _count_running(cluster: Cluster) -> int:
    agents = [agent for agent in cluster.agents if agent.kind == "decode"]
    return sum(http_json("GET", a.backend_port, "/stats")["running"] for a in agents)


def _measure_cancel_ms(cluster: Cluster, number: int) -> float:
    """Return the milliseconds from a caller's disconnect until no engine runs its request."""
    body = json.dumps(
        {"model": "m1", "prompt": f"cancel {number}", "max_tokens": 400, "stream": True}
    )
    head = (
        f"POST {COMPLETIONS_PATH} HTTP/1.1\r\nhost: x\r\n"
        f"authorization: Bearer {cluster.credentials['naas-office']}\r\n"
        f"content-length: {len(body)}\r\n\r\n"
    )
    with socket.create_connection((HOST, cluster.entry_ports[0])) as sock:
        sock.sendall((head + body).encode())
        sock.recv(1000)
    started_at = time.perf_counter()
    while _count_running(cluster):
        time.sleep(POLL_INTERVAL_S)
    return (time.perf_counter() - started_at) * 1000


def _measure_start_ms(cluster: Cluster, module: str, settings: str) -> float:
    command = [sys.executable, "-m", module, "--check", str(cluster.dir / settings)]
    times = []
    for _ in range(START_COUNT):
        started_at = time.perf_counter()
        subprocess.run(command, check=True, stdout=subprocess.DEVNULL)
        times.append((time.perf_counter() - started_at) * 1000)
    return percentile(times, 0.5)


def _read_memory_kib(cluster: Cluster) -> dict[str, int]:
    names = {"entry": "entry-0", "decode agent": "write-0", "prefill agent": "read-0"}
    return {role: read_rss_kib(cluster.procs[name].pid) for role, name in names.items()}


def measure_perf() -> PerfResult:
    """Measure and return all figures."""
    direct, through = _measure_latency()
    added = [t - d for d, t in zip(direct, through, strict=True)]
    with Cluster(_stream_spec()) as cluster:
        agents = [agent.name for agent in cluster.agents if agent.kind == "decode"]
        idle = _read_memory_kib(cluster)
        entry_before = read_cpu_s(cluster.procs["entry-0"].pid)
        agents_before = sum(read_cpu_s(cluster.procs[name].pid) for name in agents)
        results, elapsed_s = _run_streams(cluster)
        tokens = sum(request.tokens for request in results)
        entry_s = read_cpu_s(cluster.procs["entry-0"].pid) - entry_before
        agents_s = sum(read_cpu_s(cluster.procs[name].pid) for name in agents) - agents_before
        loaded = _read_memory_kib(cluster)
        cancels = [_measure_cancel_ms(cluster, number) for number in range(CANCEL_COUNT)]
        starts = {
            "entry": _measure_start_ms(cluster, "crankhinge.entry.main", "entry-0.toml"),
            "agent": _measure_start_ms(cluster, "crankhinge.agent.main", "write-0.toml"),
        }
    return PerfResult(
        direct_ms=_p50_and_p99(direct),
        through_ms=_p50_and_p99(through),
        added_ms=_p50_and_p99(added),
        streams=len(results),
        wrong=sum(request.wrong or not request.complete for request in results),
        tokens_per_s=tokens / elapsed_s,
        entry_us_per_token=entry_s / tokens * 1e6,
        agent_us_per_token=agents_s / tokens * 1e6,
        cancel_ms=_p50_and_p99(cancels),
        idle_kb=idle,
        loaded_kb=loaded,
        start_ms=starts,
    )


def format_perf(perf: PerfResult) -> str:
    """Return the figures as a Markdown table."""
    rows = [
        ("first token, engines called directly", _format_percentiles(perf.direct_ms)),
        ("first token, through the product", _format_percentiles(perf.through_ms)),
        ("added, pair by pair", _format_percentiles(perf.added_ms)),
        ("streams at once through one entry", f"{perf.streams}, {perf.wrong} wrong or cut"),
        ("tokens relayed meanwhile", f"{perf.tokens_per_s:.0f} a second"),
        ("entry, processor time per token", f"{perf.entry_us_per_token:.0f} us"),
        ("agent, processor time per token", f"{perf.agent_us_per_token:.0f} us"),
        ("caller goes until memory is free", _format_percentiles(perf.cancel_ms)),
    ]
    for role, value in perf.idle_kb.items():
        loaded = perf.loaded_kb[role]
        rows.append((f"{role}, resident memory", f"idle {value} KiB, loaded {loaded} KiB"))
    rows += [(f"{role}, start until checked", f"{ms:.0f} ms") for role, ms in perf.start_ms.items()]
    lines = ["| what | figure |", "|---|---|"]
    return "\n".join(lines + [f"| {name} | {value} |" for name, value in rows])


def _format_percentiles(values: tuple[float, float]) -> str:
    return f"p50 {values[0]:.1f} ms, p99 {values[1]:.1f} ms"


def run_perf(args: argparse.Namespace) -> int:
    """Run the command; return 0 if every stream was complete and correct, else 1."""
    result = measure_perf()
    write_json(args.json, result)
    print(format_perf(result))
    return 1 if result.wrong else 0


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the command's arguments."""
    parser.add_argument("--json", default="", help="file for the results")
    parser.set_defaults(run=run_perf)
