"""The parts of a gateway, put together."""

from __future__ import annotations

import random
import secrets
from collections import defaultdict
from collections.abc import Callable
from functools import partial
from typing import Any

import curio

from crankhinge.adapters import Dialect, FleetSource
from crankhinge.decisions import RetryBudget
from crankhinge.gateway._backends import Backends
from crankhinge.gateway._directory import Directory
from crankhinge.gateway._gateway import Gateway
from crankhinge.gateway._legs import Legs
from crankhinge.gateway._plain import PlainRelay
from crankhinge.gateway._settings import GatewaySettings
from crankhinge.gateway._stream import StreamRelay
from crankhinge.runtime import LineSink, Metrics, Supervisor, get_log, run_process, until_first

PROGRAM = "crankhinge-gateway"
STDOUT = 1
# Retries are counted over all instances together: each takes a part of its own first attempts and
# saves up few, so that thirty instances stay within a slack of a hundred.
RETRY_RATIO = 0.15
RETRY_BURST = 3.0

MakeSource = Callable[[str, int, Any], FleetSource]


async def serve(
    settings: GatewaySettings,
    log: Any,
    stopping: curio.Event,
    *,
    make_source: MakeSource,
    dialect: Dialect,
) -> None:
    """Run the gateway until *stopping*, then drain."""
    rng = random.Random(secrets.randbits(64))
    metrics = Metrics(prefix=f"crankhinge.gateway.{settings.name}", address=settings.statsd)
    host, _, port = settings.source.rpartition(":")
    directory = Directory(make_source(host, int(port), log), log, rng)
    backends = Backends(
        servers=directory.servers,
        dialect=dialect,
        zone=settings.zone,
        log=log,
        metrics=metrics,
        rng=rng,
    )
    directory.on_gone.append(backends.forget)
    budgets: defaultdict[str, RetryBudget] = defaultdict(
        partial(RetryBudget, ratio=RETRY_RATIO, burst=RETRY_BURST)
    )
    common: dict[str, Any] = {
        "backends": backends,
        "legs": Legs(backends),
        "budget_of": budgets.__getitem__,
        "log": log,
    }
    gateway = Gateway(
        settings=settings,
        directory=directory,
        dialect=dialect,
        plain=PlainRelay(**common),
        streams=StreamRelay(**common),
        log=log,
        metrics=metrics,
        rng=rng,
    )
    supervisor = Supervisor(log)
    supervisor.add("listener", gateway.listen)
    supervisor.add("ready", gateway.listen_ready)
    supervisor.add("config", directory.watch_config)
    supervisor.add("servers", directory.watch_servers)
    supervisor.add("expiry", directory.expire)
    log.info("started", listen=settings.listen, zone=settings.zone, source=settings.source)
    await until_first(supervisor.run, partial(_drain_on, stopping, gateway))
    log.info("stopped")


async def _drain_on(stopping: curio.Event, gateway: Gateway) -> None:
    await stopping.wait()
    await gateway.drain()


def run(argv: list[str] | None, *, make_source: MakeSource, dialect: Dialect) -> int:
    """Run the program; returns its exit status."""
    log = get_log(program=PROGRAM, stream=LineSink(STDOUT))
    return run_process(
        program=PROGRAM,
        about="relays requests to backend servers",
        model=GatewaySettings,
        serve=partial(serve, make_source=make_source, dialect=dialect),
        argv=argv,
        log=log,
        reload=lambda settings: None,
    )
