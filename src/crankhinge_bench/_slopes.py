"""``crankhinge-bench slopes``: measures the cost of each further link, token, server and prefix."""

from __future__ import annotations

import argparse
import gc
import random
import sys
import time
import tracemalloc
from collections.abc import Callable

import curio

from crankhinge.decisions import (
    Backend,
    FairQueue,
    PrefixIndex,
    Router,
    RouteRequest,
    RoutingCosts,
    SlotRequest,
    SlotTable,
)
from crankhinge.runtime import write_json
from crankhinge_bench._cluster import AgentConfig, Cluster
from crankhinge_bench._fakes import FakeAgents, FakeEntries, FakePeers
from crankhinge_bench._fit import Slope, fit_line, read_cpu_s, read_rss_kib
from crankhinge_bench._load import LoadGenerator
from crankhinge_bench._procs import HOST, free_ports, http_json
from crankhinge_bench._spec import ClusterSpec, EngineSpec, ServiceSpec
from crankhinge_bench._trace import Arrival

IDLE_S = 8.0
SETTLE_S = 3.0
LINK_COUNTS = (10, 50, 100, 200)
SERVER_COUNTS = (10, 100, 600, 3000)
RELAY_RATES = (4, 8, 12, 16)
RELAY_S = 6.0
HEARTBEAT_S = 1.0


class _IdleUsage:
    """Resource use of one process that serves no requests, measured over ``IDLE_S`` seconds."""

    def __init__(self, pid: int, peers: FakePeers) -> None:
        started_at, before = time.monotonic(), read_cpu_s(pid)
        received, sent = peers.bytes_received(), peers.bytes_sent()
        time.sleep(IDLE_S)
        elapsed_s = time.monotonic() - started_at
        self.cpu_cores = (read_cpu_s(pid) - before) / elapsed_s
        self.payload_bytes_per_s = (
            peers.bytes_received() - received + peers.bytes_sent() - sent
        ) / elapsed_s
        self.rss_kib = read_rss_kib(pid)


def _idle_spec() -> ClusterSpec:
    return ClusterSpec(
        entries=0,
        engines=(EngineSpec("read", "prefill", 1), EngineSpec("write", "decode", 1)),
        services=(ServiceSpec("ledger", "/ledger/", 1),),
        beat_s=HEARTBEAT_S,
    )


def measure_idle_entry() -> list[Slope]:
    """Measure the resource use of an idle entry as a function of its number of links."""
    rows = []
    for count in LINK_COUNTS:
        with Cluster(_idle_spec()) as cluster:
            rows.append((count, _measure_idle_entry_at(cluster, count)))
    return _fit_idle_usage("entry", rows)


def _measure_idle_entry_at(cluster: Cluster, count: int) -> _IdleUsage:
    ports = free_ports(count + 1)
    cluster.entry_ports = [ports.pop()]
    agents = FakeAgents(ports, HEARTBEAT_S)
    agents.start(agents.serve)
    try:
        for number, port in enumerate(ports):
            agent = AgentConfig(agents.agent_name(number), "decode", "write", "naas", port, 0)
            cluster.register_agent(agent)
        cluster.start_entry(0)
        _wait_for_links(lambda: _count_links(cluster) >= count)
        time.sleep(SETTLE_S)
        return _IdleUsage(cluster.procs["entry-0"].pid, agents)
    finally:
        agents.stop()


def _count_links(cluster: Cluster) -> int:
    try:
        state = http_json("GET", cluster.entry_ports[0], "/readyz")
    except OSError:
        return 0
    return int(state["linked"])


def _wait_for_links(done: Callable[[], bool], seconds: float = 30.0) -> None:
    deadline = time.monotonic() + seconds
    while not done():
        if time.monotonic() > deadline:
            raise TimeoutError("the links were not established in time")
        time.sleep(0.1)


def measure_idle_agent() -> list[Slope]:
    """Measure the resource use of an idle agent as a function of its number of links."""
    rows = []
    for count in LINK_COUNTS:
        with Cluster(_idle_spec()) as cluster:
            agent = next(a for a in cluster.agents if a.kind == "decode")
            entries = FakeEntries(agent.port, count, HEARTBEAT_S)
            entries.start(entries.connect_all)
            try:
                _wait_for_links(lambda peers=entries, n=count: len(peers.links) >= n)  # type: ignore[misc]
                time.sleep(SETTLE_S)
                rows.append((count, _IdleUsage(cluster.procs[agent.name].pid, entries)))
            finally:
                entries.stop()
    return _fit_idle_usage("agent", rows)


def _fit_idle_usage(role: str, rows: list[tuple[int, _IdleUsage]]) -> list[Slope]:
    condition = f"at rest, per link, a heartbeat each way every {HEARTBEAT_S:g} s"
    return [
        fit_line(f"{role}: CPU {condition}", "core", [(n, usage.cpu_cores) for n, usage in rows]),
        fit_line(
            f"{role}: payload {condition}",
            "B/s",
            [(n, usage.payload_bytes_per_s) for n, usage in rows],
        ),
        fit_line(
            f"{role}: memory per link", "KiB", [(n, float(usage.rss_kib)) for n, usage in rows]
        ),
    ]


def measure_relay() -> list[Slope]:
    """Measure CPU and memory of an entry and a decode agent as a function of relayed tokens."""
    spec = ClusterSpec(
        engines=(EngineSpec("read", "prefill", 1), EngineSpec("write", "decode", 1, slots=200)),
        services=(),
        beat_s=HEARTBEAT_S,
    )
    points: dict[str, list[tuple[float, float]]] = {"entry-0": [], "write-0": []}
    rss = {"entry-0": 0, "write-0": 0}
    with Cluster(spec) as cluster:
        for rate in RELAY_RATES:
            _measure_relay_rate(cluster, rate, points, rss)
    slopes = [
        fit_line(f"{name}: CPU per relayed token (100 a request)", "core s", rows)
        for name, rows in points.items()
    ]
    for name, value in rss.items():
        slopes.append(fit_line(f"{name}: memory after relaying", "KiB", [(0, value), (1, value)]))
    return slopes


def _measure_relay_rate(
    cluster: Cluster,
    rate: int,
    points: dict[str, list[tuple[float, float]]],
    rss: dict[str, int],
) -> None:
    count = int(rate * RELAY_S)
    trace = [Arrival(n / rate, "naas-office", f"p{n} q r s", 100) for n in range(count)]
    before = {name: read_cpu_s(cluster.procs[name].pid) for name in points}
    started_at = time.monotonic()
    results = curio.run(LoadGenerator(cluster.entry_ports, cluster.credentials).run, trace)
    elapsed_s = time.monotonic() - started_at
    tokens = sum(result.tokens for result in results)
    for name, rows in points.items():
        pid = cluster.procs[name].pid
        rows.append((tokens / elapsed_s, (read_cpu_s(pid) - before[name]) / elapsed_s))
        rss[name] = read_rss_kib(pid)


def _make_router(count: int) -> Router:
    router = Router(costs=RoutingCosts(zone="z0"), rng=random.Random(1))
    for number in range(count):
        name = f"backend-{number}"
        backend = Backend(name, "decode", "write", f"z{number % 6}", linked=True, free_slots=5)
        backend.tokens_per_s = 20_000.0
        router.add_backend(backend)
    return router


def _measure_call_us(call: Callable[[], object], min_s: float = 0.3) -> float:
    calls = 0
    started_at = time.perf_counter()
    while time.perf_counter() - started_at < min_s:
        call()
        calls += 1
    return (time.perf_counter() - started_at) / calls * 1e6


def measure_decisions() -> list[Slope]:
    """Measure the time of decisions as a function of known servers and waiting requests."""
    request = RouteRequest(1000, tuple(range(40)), 64)
    routers = {count: _make_router(count) for count in SERVER_COUNTS}
    choose = [
        (float(n), _measure_call_us(lambda r=r: r.choose_backends(["write"], 0.0)))  # type: ignore[misc]
        for n, r in routers.items()
    ]
    prefill = [
        (float(n), _measure_call_us(lambda r=r: r.choose_prefill(["write"], request, "z0", 0.0)))  # type: ignore[misc]
        for n, r in routers.items()
    ]
    waiting = [(float(n), _measure_slot_request_us(n)) for n in (10, 50, 100, 200)]
    return [
        fit_line("entry: choice of a decode engine, per known server", "us", choose),
        fit_line("entry: choice of a prefill engine, per known server", "us", prefill),
        fit_line("agent: a request for a slot, per waiting request", "us", waiting),
    ]


def _make_slot_request(req: int) -> SlotRequest:
    return SlotRequest(
        req=req,
        partner="p",
        member=f"m{req % 40}",
        rank=1,
        deadline=1e9,
        lead_s=0.1,
        max_tokens=5000,
    )


def _measure_slot_request_us(waiting: int) -> float:
    table = SlotTable(capacity=20, step_s=0.03)
    for req in range(20 + waiting):
        table.submit(_make_slot_request(req), 0.0)
        table.start(req, 0.0)
    request_ids = iter(range(10**6, 10**9))

    def submit_and_release() -> None:
        req = next(request_ids)
        table.submit(_make_slot_request(req), 0.0)
        table.release(req, 0.0)

    return _measure_call_us(submit_and_release)


def measure_memory() -> list[Slope]:
    """Measure the memory of in-process state as a function of its number of items."""

    def make_index(count: int) -> PrefixIndex:
        state = PrefixIndex(limit=count)
        state.record_cached("backend-1", range(2**32, 2**32 + count))
        return state

    def make_queue(count: int) -> FairQueue[int]:
        state: FairQueue[int] = FairQueue()
        for key in range(count):
            state.push(
                key, key, path=("1", "p", f"m{key}"), weights=(1, 1, 1), deadline=1.0, cost=1
            )
        return state

    return [
        _measure_memory_slope("entry: memory per known server", _make_router, (100, 600, 3000)),
        _measure_memory_slope(
            "entry: memory per cached prefix block", make_index, (1000, 5000, 20_000)
        ),
        _measure_memory_slope("agent: memory per member that waits", make_queue, (100, 480, 2000)),
    ]


def _measure_memory_slope(
    name: str, make: Callable[[int], object], counts: tuple[int, ...]
) -> Slope:
    points = []
    for count in counts:
        gc.collect()
        tracemalloc.start()
        state = make(count)
        size, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        del state
        points.append((float(count), size / 1024))
    return fit_line(name, "KiB", points)


def measure_key_value_reads() -> list[Slope]:
    """Measure the reads of the key-value service per bundle change as a function of processes."""
    points = []
    for count in (2, 6, 12):
        engines = (EngineSpec("read", "prefill", 1), EngineSpec("write", "decode", count))
        spec = ClusterSpec(engines=engines, services=(), beat_s=HEARTBEAT_S)
        with Cluster(spec) as cluster:
            time.sleep(SETTLE_S)
            before = _count_reads(cluster)
            for _ in range(3):
                cluster.publish(cluster.bundle_text(cluster.bundle_version + 1))
                time.sleep(1.0)
            points.append((count + 2.0, (_count_reads(cluster) - before) / 3))
    return [fit_line("key-value reads per change of the bundle, per process", "calls", points)]


def _count_reads(cluster: Cluster) -> int:
    stats = http_json("GET", cluster.platform_port, "/stats")
    return int(stats["reads"]["total"])


MEASUREMENTS: dict[str, Callable[[], list[Slope]]] = {
    "decisions": measure_decisions,
    "memory": measure_memory,
    "entry": measure_idle_entry,
    "agent": measure_idle_agent,
    "relay": measure_relay,
    "key-value": measure_key_value_reads,
}


def format_table(slopes: list[Slope]) -> str:
    """Return the slopes as a Markdown table."""
    lines = ["| what | unit | base | slope | error | points |", "|---|---|---|---|---|---|"]
    for slope in slopes:
        points = ", ".join(f"{x:g}: {y:.4g}" for x, y in slope.points)
        lines.append(
            f"| {slope.name} | {slope.unit} | {slope.base:.4g} | {slope.slope:.4g} "
            f"| {slope.error:.0%} | {points} |"
        )
    return "\n".join(lines)


def run_slopes(args: argparse.Namespace) -> int:
    """Run the measurements of ``--parts``; return exit status 0."""
    measured: list[Slope] = []
    for name in args.parts.split(","):
        print(f"measuring {name} on {HOST}", file=sys.stderr, flush=True)
        measured += MEASUREMENTS[name]()
    write_json(args.json, measured)
    print(format_table(measured))
    return 0


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the command's arguments."""
    parser.add_argument(
        "--parts", default=",".join(MEASUREMENTS), help="names of measurements, separated by commas"
    )
    parser.add_argument("--json", default="", help="file for the results")
    parser.set_defaults(run=run_slopes)
