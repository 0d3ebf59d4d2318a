"""``crankhinge-bench slopes``: what each further link, token, server and prefix costs."""

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


class _Rest:
    """What one process uses while nothing is asked of it."""

    def __init__(self, pid: int, peers: FakePeers) -> None:
        began, before = time.monotonic(), read_cpu_s(pid)
        sent, received = peers.bytes_received(), peers.bytes_sent()
        time.sleep(IDLE_S)
        took = time.monotonic() - began
        self.cpu = (read_cpu_s(pid) - before) / took
        self.bytes_s = (peers.bytes_received() - sent + peers.bytes_sent() - received) / took
        self.rss = read_rss_kib(pid)


def _bare_spec() -> ClusterSpec:
    return ClusterSpec(
        entries=0,
        engines=(EngineSpec("read", "prefill", 1), EngineSpec("write", "decode", 1)),
        services=(ServiceSpec("ledger", "/ledger/", 1),),
        beat_s=HEARTBEAT_S,
    )


def measure_idle_entry() -> list[Slope]:
    """Measure an entry at rest against the number of its links."""
    rows = []
    for count in LINK_COUNTS:
        with Cluster(_bare_spec()) as cluster:
            rows.append((count, _entry_with(cluster, count)))
    return _rest_slopes("entry", rows)


def _entry_with(cluster: Cluster, count: int) -> _Rest:
    ports = free_ports(count + 1)
    cluster.entry_ports = [ports.pop()]
    agents = FakeAgents(ports, HEARTBEAT_S)
    agents.start(agents.serve)
    try:
        for number, port in enumerate(ports):
            place = AgentConfig(agents.agent_name(number), "decode", "write", "naas", port, 0)
            cluster.register_agent(place)
        cluster.start_entry(0)
        _wait(lambda: _linked(cluster) >= count)
        time.sleep(SETTLE_S)
        return _Rest(cluster.procs["entry-0"].pid, agents)
    finally:
        agents.stop()


def _linked(cluster: Cluster) -> int:
    try:
        state = http_json("GET", cluster.entry_ports[0], "/readyz")
    except OSError:
        return 0
    return int(state["linked"])


def _wait(done: Callable[[], bool], seconds: float = 30.0) -> None:
    until = time.monotonic() + seconds
    while not done():
        if time.monotonic() > until:
            raise TimeoutError("a measurement didn't come about")
        time.sleep(0.1)


def measure_idle_agent() -> list[Slope]:
    """Measure an agent at rest against the number of its links."""
    rows = []
    for count in LINK_COUNTS:
        with Cluster(_bare_spec()) as cluster:
            place = next(p for p in cluster.agents if p.kind == "decode")
            entries = FakeEntries(place.port, count, HEARTBEAT_S)
            entries.start(entries.connect_all)
            try:
                _wait(lambda peers=entries, n=count: len(peers.links) >= n)  # type: ignore[misc]
                time.sleep(SETTLE_S)
                rows.append((count, _Rest(cluster.procs[place.name].pid, entries)))
            finally:
                entries.stop()
    return _rest_slopes("agent", rows)


def _rest_slopes(role: str, rows: list[tuple[int, _Rest]]) -> list[Slope]:
    beats = f"at rest, per link, a heartbeat each way every {HEARTBEAT_S:g} s"
    return [
        fit_line(f"{role}: CPU {beats}", "core", [(n, rest.cpu) for n, rest in rows]),
        fit_line(f"{role}: payload {beats}", "B/s", [(n, rest.bytes_s) for n, rest in rows]),
        fit_line(f"{role}: memory per link", "KiB", [(n, float(rest.rss)) for n, rest in rows]),
    ]


def measure_relay() -> list[Slope]:
    """Measure entry and decode agent against the tokens that they relay."""
    spec = ClusterSpec(
        engines=(EngineSpec("read", "prefill", 1), EngineSpec("write", "decode", 1, slots=200)),
        services=(),
        beat_s=HEARTBEAT_S,
    )
    points: dict[str, list[tuple[float, float]]] = {"entry-0": [], "write-0": []}
    rss = {"entry-0": 0, "write-0": 0}
    with Cluster(spec) as cluster:
        for rate in RELAY_RATES:
            _relay_point(cluster, rate, points, rss)
    slopes = [
        fit_line(f"{name}: CPU per relayed token (100 a request)", "core s", rows)
        for name, rows in points.items()
    ]
    for name, value in rss.items():
        slopes.append(fit_line(f"{name}: memory after relaying", "KiB", [(0, value), (1, value)]))
    return slopes


def _relay_point(
    cluster: Cluster,
    rate: int,
    points: dict[str, list[tuple[float, float]]],
    rss: dict[str, int],
) -> None:
    count = int(rate * RELAY_S)
    trace = [Arrival(n / rate, "naas-office", f"p{n} q r s", 100) for n in range(count)]
    before = {name: read_cpu_s(cluster.procs[name].pid) for name in points}
    began = time.monotonic()
    outcomes = curio.run(LoadGenerator(cluster.entry_ports, cluster.credentials).run, trace)
    took = time.monotonic() - began
    tokens = sum(seen.tokens for seen in outcomes)
    for name, rows in points.items():
        pid = cluster.procs[name].pid
        rows.append((tokens / took, (read_cpu_s(pid) - before[name]) / took))
        rss[name] = read_rss_kib(pid)


def _router(count: int) -> Router:
    router = Router(costs=RoutingCosts(zone="z0"), rng=random.Random(1))
    for number in range(count):
        name = f"backend-{number}"
        backend = Backend(name, "decode", "write", f"z{number % 6}", linked=True, free_slots=5)
        backend.tokens_per_s = 20_000.0
        router.add_backend(backend)
    return router


def _per_call_us(call: Callable[[], object], least_s: float = 0.3) -> float:
    calls = 0
    began = time.perf_counter()
    while time.perf_counter() - began < least_s:
        call()
        calls += 1
    return (time.perf_counter() - began) / calls * 1e6


def measure_decisions() -> list[Slope]:
    """Measure the cost of decisions against the number of backend servers and waiting asks."""
    ask = RouteRequest(1000, tuple(range(40)), 64)
    routers = {count: _router(count) for count in SERVER_COUNTS}
    choose = [
        (float(n), _per_call_us(lambda r=r: r.choose_backends(["write"], 0.0)))  # type: ignore[misc]
        for n, r in routers.items()
    ]
    prefill = [
        (float(n), _per_call_us(lambda r=r: r.choose_prefill(["write"], ask, "z0", 0.0)))  # type: ignore[misc]
        for n, r in routers.items()
    ]
    waiting = [(float(n), _ask_cost_us(n)) for n in (10, 50, 100, 200)]
    return [
        fit_line("entry: choice of a decode engine, per known server", "us", choose),
        fit_line("entry: choice of a prefill engine, per known server", "us", prefill),
        fit_line("agent: a request for a slot, per waiting request", "us", waiting),
    ]


def _slot_ask(req: int) -> SlotRequest:
    return SlotRequest(
        req=req,
        partner="p",
        member=f"m{req % 40}",
        rank=1,
        deadline=1e9,
        lead_s=0.1,
        max_tokens=5000,
    )


def _ask_cost_us(waiting: int) -> float:
    table = SlotTable(capacity=20, step_s=0.03)
    for req in range(20 + waiting):
        table.submit(_slot_ask(req), 0.0)
        table.start(req, 0.0)
    asks = iter(range(10**6, 10**9))

    def one() -> None:
        req = next(asks)
        table.submit(_slot_ask(req), 0.0)
        table.release(req, 0.0)

    return _per_call_us(one)


def measure_memory() -> list[Slope]:
    """Measure the memory of state against its amount."""

    def index(count: int) -> PrefixIndex:
        made = PrefixIndex(limit=count)
        made.record_cached("backend-1", range(2**32, 2**32 + count))
        return made

    def queue(count: int) -> FairQueue[int]:
        made: FairQueue[int] = FairQueue()
        for key in range(count):
            made.push(key, key, path=("1", "p", f"m{key}"), weights=(1, 1, 1), deadline=1.0, cost=1)
        return made

    return [
        _memory_slope("entry: memory per known server", _router, (100, 600, 3000)),
        _memory_slope("entry: memory per cached prefix block", index, (1000, 5000, 20_000)),
        _memory_slope("agent: memory per member that waits", queue, (100, 480, 2000)),
    ]


def _memory_slope(name: str, make: Callable[[int], object], counts: tuple[int, ...]) -> Slope:
    points = []
    for count in counts:
        gc.collect()
        tracemalloc.start()
        kept = make(count)
        size, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        del kept
        points.append((float(count), size / 1024))
    return fit_line(name, "KiB", points)


def measure_key_value_reads() -> list[Slope]:
    """Measure the key-value service's calls against the number of processes."""
    points = []
    for count in (2, 6, 12):
        engines = (EngineSpec("read", "prefill", 1), EngineSpec("write", "decode", count))
        spec = ClusterSpec(engines=engines, services=(), beat_s=HEARTBEAT_S)
        with Cluster(spec) as cluster:
            time.sleep(SETTLE_S)
            before = _reads(cluster)
            for _ in range(3):
                cluster.publish(cluster.bundle_text(cluster.bundle_version + 1))
                time.sleep(1.0)
            points.append((count + 2.0, (_reads(cluster) - before) / 3))
    return [fit_line("key-value reads per change of the bundle, per process", "calls", points)]


def _reads(cluster: Cluster) -> int:
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
    """Return the slopes as a table."""
    lines = ["| what | unit | base | slope | error | points |", "|---|---|---|---|---|---|"]
    for slope in slopes:
        points = ", ".join(f"{x:g}: {y:.4g}" for x, y in slope.points)
        lines.append(
            f"| {slope.name} | {slope.unit} | {slope.base:.4g} | {slope.slope:.4g} "
            f"| {slope.error:.0%} | {points} |"
        )
    return "\n".join(lines)


def run_slopes(args: argparse.Namespace) -> int:
    """Run the command; returns the exit status."""
    found: list[Slope] = []
    for name in args.parts.split(","):
        print(f"measuring {name} on {HOST}", file=sys.stderr, flush=True)
        found += MEASUREMENTS[name]()
    write_json(args.json, found)
    print(format_table(found))
    return 0


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the command's arguments."""
    parser.add_argument(
        "--parts", default=",".join(MEASUREMENTS), help="names, separated by commas"
    )
    parser.add_argument("--json", default="", help="file for the results")
    parser.set_defaults(run=run_slopes)
