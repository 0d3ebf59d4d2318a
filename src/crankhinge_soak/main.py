"""``crankhinge-soak``: runs real processes under random faults and checks the invariants."""

from __future__ import annotations

import argparse
import logging
import sys
import time
import tomllib
from pathlib import Path
from typing import Any

import curio

from crankhinge import __version__
from crankhinge.runtime import write_json
from crankhinge_bench._procs import http_json
from crankhinge_soak._check import check
from crankhinge_soak._endless import measure_endless, render_endless
from crankhinge_soak._entries import run_seed as run_entries
from crankhinge_soak._faults import EPISODES, FaultInjector
from crankhinge_soak._fleet import GATEWAY_COUNT, Fleet
from crankhinge_soak._history import History
from crankhinge_soak._load import LoadGenerator
from crankhinge_soak._streams_check import describe_take_ups
from crankhinge_soak._verdict import Report, render_report

PROGRAM = "crankhinge-soak"
# Kinds of faults under which all servers begin with one software version, and number of callers
# that only send resumable streams then.
STREAM_LOSS_KINDS = frozenset({"lose-fleet", "roll-versions"})
STREAM_CALLERS = 12
# Time under load without faults at the start.
WARM_UP_S = 1.5
# Time for recovery after the last fault. By its end, the lease of a paused instance has expired,
# servers whose entries lapsed are no longer kept as suspect, and an engine that was ordered to
# change its role has done so.
SETTLE_S = 6.0
# Time without faults, after the recovery, in which the checker demands that requests succeed.
FAULT_FREE_S = 4.0
# Time for engines to free their memory at the end.
MEMORY_RELEASE_S = 4.0


def run_seed(
    seed: int,
    seconds: float,
    logs: Path | None = None,
    kinds: tuple[str, ...] = (),
    *,
    gateways: int = GATEWAY_COUNT,
    scale: int = 1,
) -> Report:
    """Run one seed, check the result, and end every process that was started."""
    if logs is not None:
        logs.mkdir(parents=True, exist_ok=True)
    # What is inferred from a single version needs times in which there is one.
    rolls = not STREAM_LOSS_KINDS.isdisjoint(kinds)
    fleet = Fleet(logs, gateways, scale, has_one_version=rolls)
    try:
        fleet.start()
        load = LoadGenerator(fleet, seed, STREAM_CALLERS if rolls else 0)
        faults = FaultInjector(fleet, seed, kinds)
        calm_from = curio.run(_run_under_load, fleet, load, faults, seconds)
        history = _collect_history(fleet, load, faults, calm_from)
    finally:
        fleet.stop()
    counts: dict[str, int] = {}
    for fault in faults.injected:
        counts[fault.kind] = counts.get(fault.kind, 0) + 1
    return Report(
        seed=seed,
        seconds=seconds,
        faults=dict(sorted(counts.items())),
        requests=len(load.seen),
        answered=sum(seen.status == 200 and seen.complete for seen in load.seen),
        verdicts=check(history),
        note=describe_take_ups(history),
    )


async def _run_under_load(
    fleet: Fleet, load: LoadGenerator, faults: FaultInjector, seconds: float
) -> float:
    """Run load and faults of a seed; return the wall clock from which no fault was active."""
    async with curio.TaskGroup() as paths:
        for proxy in fleet.proxies():
            await paths.spawn(proxy.run)
        await fleet.publish()
        async with curio.TaskGroup() as group:
            await group.spawn(load.run)
            await curio.sleep(WARM_UP_S)
            await fleet.publish(revoke_key=True)
            await faults.run(seconds)
            await curio.sleep(SETTLE_S)
            calm_from = time.time()
            await curio.sleep(FAULT_FREE_S)
            load.stop()
        await curio.sleep(MEMORY_RELEASE_S)
        await paths.cancel_remaining()
    return calm_from


def _collect_history(
    fleet: Fleet, load: LoadGenerator, faults: FaultInjector, calm_from: float
) -> History:
    rows = fleet.read_records()
    engines = [place for place in fleet.places if place.role]
    return History(
        seen=load.seen,
        probes=load.probes,
        rows=rows,
        troubles=faults.injected,
        acknowledged=fleet.acknowledged,
        places={row["server"]: row["place"] for row in rows if row["kind"] == "born"},
        held={place.name: _read_held_tokens(place.port) for place in engines},
        calm_from=calm_from,
        exits=faults.exits + fleet.ended_gateways(),
        revoked=fleet.revoked,
        peak_memory=fleet.read_peak_memory(),
    )


def _read_held_tokens(port: int) -> int:
    """Return the KV memory in use at an engine, in tokens."""
    held: dict[str, int] = http_json("GET", port, "/held")
    return held["held"]


def select_seeds(args: argparse.Namespace) -> list[tuple[int, float]]:
    """Return the seeds to run, each with the duration of its faults in seconds."""
    if not args.cases:
        return [(args.seed + number, args.seconds) for number in range(args.repeat)]
    cases: list[dict[str, Any]] = tomllib.loads(Path(args.cases).read_text()).get("case", [])
    return [(int(case["seed"]), float(case["seconds"])) for case in cases]


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(prog=PROGRAM, description=__doc__)
    parser.add_argument("--version", action="version", version=f"{PROGRAM} {__version__}")
    parser.add_argument(
        "--of",
        choices=("gateways", "entries", "endless"),
        default="gateways",
        help="what is under test: gateways, entries with their agents, or what servers that send "
        "bytes without end cost (a measurement of --seconds for each kind)",
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0, help="duration of the faults")
    parser.add_argument(
        "--repeat", type=int, default=1, help="number of seeds, counted up from --seed"
    )
    parser.add_argument("--cases", default="", help="TOML file of seeds to run instead of --seed")
    parser.add_argument(
        "--kinds", default="", help="comma-separated kinds of faults (gateways only)"
    )
    parser.add_argument(
        "--gateways", type=int, default=GATEWAY_COUNT, help="number of instances (gateways only)"
    )
    parser.add_argument(
        "--scale", type=int, default=1, help="factor on the number of servers (gateways only)"
    )
    parser.add_argument("--json", default="", help="file for the results")
    parser.add_argument("--logs", default="", help="directory for the logs of the programs")
    return parser


def main(argv: list[str] | None = None) -> int:
    """Run the command; return 0 if every invariant was tested and none was violated, else 1."""
    parser = make_parser()
    args = parser.parse_args(argv)
    kinds = tuple(name for name in args.kinds.split(",") if name)
    if unknown := set(kinds) - set(EPISODES):
        parser.error(
            f"--kinds: unknown kinds {sorted(unknown)}; known kinds are {sorted(EPISODES)}"
        )
    # curio warns of each operation that ends just after its time-out, which is no error here.
    logging.getLogger("curio").setLevel(logging.ERROR)
    if args.of == "endless":
        print(render_endless(measure_endless(args.seconds, Path(args.logs) if args.logs else None)))
        return 0
    reports = []
    for seed, seconds in select_seeds(args):
        logs = Path(args.logs) / str(seed) if args.logs else None
        if args.of == "entries":
            reports.append(run_entries(seed, seconds, logs))
        else:
            sizes = {"gateways": args.gateways, "scale": args.scale}
            reports.append(run_seed(seed, seconds, logs, kinds, **sizes))
        print(render_report(reports[-1]), flush=True)
    if args.json:
        write_json(args.json, reports)
    broken = [report.seed for report in reports if report.broken]
    print(f"{len(reports)} seeds, broken: {broken or 'none'}", file=sys.stderr)
    verdicts = [found for report in reports for found in report.verdicts]
    untested = {v.promise for v in verdicts} - {v.promise for v in verdicts if v.tested}
    for invariant in sorted(untested):
        print(f"never put to the test: {invariant}", file=sys.stderr)
    return 1 if broken or untested else 0


if __name__ == "__main__":
    raise SystemExit(main())
