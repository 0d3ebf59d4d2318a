"""``crankhinge-standin``: runs one stand-in."""

from __future__ import annotations

import argparse
import dataclasses
from collections.abc import Awaitable, Callable

import curio

from crankhinge.runtime import get_log
from crankhinge_standins.engine import EngineConfig, StandinEngine
from crankhinge_standins.platform import StandinPlatform
from crankhinge_standins.replica import DEFAULT_VERSION, EVENT_INTERVAL_S, StandinReplica
from crankhinge_standins.service import StandinService
from crankhinge_standins.store import StandinStore


def _make_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="crankhinge-standin", description=__doc__)
    kinds = parser.add_subparsers(dest="kind", required=True)
    engine = kinds.add_parser("engine", help="a model engine")
    for field in dataclasses.fields(EngineConfig):
        flag = "--" + field.name.replace("_", "-")
        engine.add_argument(flag, type=type(field.default), default=field.default)
    service = kinds.add_parser("service", help="a plain service")
    service.add_argument("--record", default="")
    service.add_argument("--work-s", type=float, default=0.01)
    platform = kinds.add_parser("platform", help="key-value store and service list of the platform")
    platform.add_argument("--list-lag-s", type=float, default=1.0)
    store = kinds.add_parser("store", help="the users' platform's metadata store")
    store.add_argument("--beat-s", type=float, default=0.0)
    store.add_argument("--history-s", type=float, default=0.0)
    store.add_argument("--era", type=int, default=None)
    replica = kinds.add_parser("replica", help="a backend server of the users' platform")
    replica.add_argument(
        "--shown", required=True, help="host:port at which others reach the server"
    )
    replica.add_argument("--service", required=True)
    replica.add_argument(
        "--phase", default="", help="initial role: prefill or decode; empty for a plain service"
    )
    replica.add_argument("--store", required=True, help="host:port")
    replica.add_argument("--record", default="")
    replica.add_argument("--beat-s", type=float, default=1.2)
    replica.add_argument("--place", default="", help="name of the place where the server runs")
    replica.add_argument(
        "--version", default=DEFAULT_VERSION, help="version of the server's software"
    )
    replica.add_argument(
        "--event-s", type=float, default=EVENT_INTERVAL_S, help="seconds between two events"
    )
    replica.add_argument("--silent-leave", action="store_true")
    replica.add_argument("--ident", default="", help="id of the server; a new one by default")
    for kind in (service, platform, store, replica):
        kind.add_argument("--host", default="127.0.0.1")
        kind.add_argument("--port", type=int, required=True)
    return parser


def _make_runner(args: argparse.Namespace) -> Callable[[], Awaitable[None]]:
    log = get_log(program=f"standin-{args.kind}", port=args.port)
    if args.kind == "engine":
        names = [field.name for field in dataclasses.fields(EngineConfig)]
        cfg = EngineConfig(**{name: getattr(args, name) for name in names})
        return StandinEngine(cfg, log, seed=cfg.port).run
    if args.kind == "service":
        return StandinService(args.host, args.port, args.work_s, log, args.record).run
    if args.kind == "store":
        return StandinStore(args.host, args.port, args.beat_s, args.history_s, args.era).run
    if args.kind == "replica":
        given = {name: value for name, value in vars(args).items() if name != "kind"}
        return StandinReplica(**given, log=log).run
    return StandinPlatform(args.host, args.port, args.list_lag_s, log).run


def main(argv: list[str] | None = None) -> int:
    """Run one stand-in until it is killed."""
    try:
        curio.run(_make_runner(_make_parser().parse_args(argv)))
    except KeyboardInterrupt:
        pass
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
