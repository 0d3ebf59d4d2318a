"""The parts of a gateway, put together."""

from __future__ import annotations

import random
import secrets
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

import curio

from crankhinge.adapters import Dialect, DiscoverySource, InstanceRegistry, OrderLeaseStore
from crankhinge.decisions import (
    MAX_IDLE_CONNECTIONS,
    ExclusionReason,
    Membership,
    RetryBudget,
    SharedLimits,
    WorkloadMeter,
    idle_connection_limit,
)
from crankhinge.gateway._admission import Admission
from crankhinge.gateway._authenticator import Authenticator
from crankhinge.gateway._backends import Backends
from crankhinge.gateway._call_log import CallLog
from crankhinge.gateway._choice import ServerChoice
from crankhinge.gateway._crashes import CrashDetector
from crankhinge.gateway._directory import Directory
from crankhinge.gateway._follower import Follower
from crankhinge.gateway._gateway import Gateway
from crankhinge.gateway._greeter import Greeter
from crankhinge.gateway._legs import Legs
from crankhinge.gateway._limit_news import LimitNews
from crankhinge.gateway._notices import Notices
from crankhinge.gateway._orderer import LOST_S, Orderer
from crankhinge.gateway._peer_messages import EngineOrdered
from crankhinge.gateway._permits import Permits
from crankhinge.gateway._plain import PlainRelay
from crankhinge.gateway._quarantine import QuarantineDesk
from crankhinge.gateway._quota import AccountLimits
from crankhinge.gateway._server_words import ServerWords
from crankhinge.gateway._settings import GatewaySettings
from crankhinge.gateway._shared_work import SharedWork
from crankhinge.gateway._status import StatusPages
from crankhinge.gateway._stream import StreamRelay
from crankhinge.runtime import (
    LineSink,
    Supervisor,
    get_log,
    run_process,
    run_until_first_ends,
    steady_s,
)
from crankhinge.runtime._exposed import PrometheusMetrics

PROGRAM = "crankhinge-gateway"
STDOUT = 1
# Repeats are counted over all instances together: a part of all requests and a slack. Each takes
# less than that part of its own first attempts, since requests are counted by when callers sent
# them, and saves up few: thirty instances that spend all at once, with one in debt each, stay
# within a slack of a hundred.
REPEATS_USED = 0.75
REPEATS_SAVED = 2.0
# Numbers of instances' lives are drawn of so many bits: no two agree.
LIFE_BITS = 63


def repeat_budget(settings: GatewaySettings) -> RetryBudget:
    """Return what an instance may repeat of the requests for one service."""
    return RetryBudget(ratio=REPEATS_USED * settings.repeat_ratio, burst=REPEATS_SAVED)


@dataclass(frozen=True)
class Platform:
    """What a platform brings.

    Attributes:
        dialect: how callers and servers are spoken to.
        source: configuration and list of servers.
        office: gives the right to order servers.
        board: where instances tell each other what requests take.
    """

    dialect: Dialect
    source: DiscoverySource
    office: OrderLeaseStore
    board: InstanceRegistry


MakePlatform = Callable[[GatewaySettings, Any], Platform]


async def serve(
    settings: GatewaySettings,
    log: Any,
    stopping: curio.Event,
    *,
    make_platform: MakePlatform,
) -> None:
    """Run the gateway until *stopping*, then drain."""
    rng = random.Random(secrets.randbits(64))
    metrics = PrometheusMetrics(
        prefix=f"crankhinge.gateway.{settings.name}", address=settings.statsd
    )
    platform = make_platform(settings, log)
    dialect = platform.dialect
    directory = Directory(platform.source, settings.freshness, log, rng)
    now = await curio.clock()
    members = Membership(settings.name, now)
    backends = Backends(
        servers=directory.servers,
        dialect=dialect,
        zone=settings.zone,
        log=log,
        metrics=metrics,
        rng=rng,
        most_kept=partial(_most_kept, directory, members),
    )
    authenticator = Authenticator(directory)
    directory.on_gone.append(backends.forget)
    budgets: defaultdict[str, RetryBudget] = defaultdict(partial(repeat_budget, settings))
    meters: defaultdict[str, WorkloadMeter] = defaultdict(WorkloadMeter)
    notices = Notices(address=settings.peer, peers=lambda: members.peer_addresses, log=log)
    notices.on(EngineOrdered, partial(_believe, backends))
    quarantine = QuarantineDesk(
        name=settings.name, members=members, notices=notices, log=log, metrics=metrics
    )
    crashes = CrashDetector(backends=backends, on_crash=quarantine.crashed, log=log)
    directory.on_gone.append(crashes.entry_gone)
    shared_limits = SharedLimits(
        name=settings.name, membership=members, incarnation=rng.getrandbits(LIFE_BITS), now=now
    )
    limit_news = LimitNews(shared=shared_limits, backends=backends, notices=notices, log=log)
    directory.on_gone.append(limit_news.forget)
    words = ServerWords(bars=backends.bars, notices=notices, log=log)
    backends.listeners += [limit_news, words]
    permits = Permits(
        name=settings.name,
        shared=shared_limits,
        news=limit_news,
        members=members,
        backends=backends,
        notices=notices,
        log=log,
        metrics=metrics,
    )
    choice = ServerChoice(backends, permits)
    common: dict[str, Any] = {
        "backends": backends,
        "choice": choice,
        "legs": Legs(backends, authenticator, quarantine, crashes, permits),
        "budget_of": budgets.__getitem__,
        "log": log,
    }
    limits = AccountLimits(
        name=settings.name,
        directory=directory,
        members=members,
        bounds=settings.quota,
        notices=notices,
        log=log,
        metrics=metrics,
        now=now,
    )
    greeter = Greeter(
        name=settings.name,
        peer=settings.peer,
        members=members,
        notices=notices,
        on_come=[limits.has_come, permits.has_come],
        log=log,
    )
    gateway = Gateway(
        settings=settings,
        directory=directory,
        admission=Admission(directory=directory, authenticator=authenticator, rng=rng),
        limits=limits,
        permits=permits,
        quarantine=quarantine,
        dialect=dialect,
        plain=PlainRelay(**common),
        streams=StreamRelay(**common, permits=permits, quarantine=quarantine, meters=meters),
        log=log,
        metrics=metrics,
    )
    status = StatusPages(
        settings=settings, directory=directory, gateway=gateway, log=log, metrics=metrics
    )
    work = SharedWork(
        name=settings.name,
        peer=settings.peer,
        members=members,
        board=platform.board,
        meters=meters,
        quarantine=quarantine,
        limits=limit_news,
        log=log,
        rng=rng,
    )
    orderer = Orderer(
        name=settings.name,
        directory=directory,
        backends=backends,
        office=platform.office,
        work=work,
        notices=notices,
        log=log,
    )
    # The runtime's clock is the steady clock; a page is made outside of any task's trap.
    metrics.set_gauge_function("config_heard_s_ago", partial(_age, directory.config))
    metrics.set_gauge_function("servers_heard_s_ago", partial(_age, directory.list))
    metrics.set_gauge_function(
        "config_version", lambda: directory.table.version if directory.table else 0
    )
    metrics.set_gauge_function("requests_quarantined", quarantine.__len__)
    metrics.set_gauge_function("servers_limited", limit_news.__len__)
    metrics.set_gauge_function(
        "servers_leaving", lambda: backends.barred(ExclusionReason.LEAVING, steady_s())
    )
    metrics.set_gauge_function(
        "servers_resting", lambda: backends.barred(ExclusionReason.BACKOFF, steady_s())
    )
    metrics.set_gauge_function("servers_known", lambda: len(list(directory.servers.all())))
    metrics.set_gauge_function("servers_doubted", lambda: len(directory.servers.suspects()))
    metrics.set_gauge_function("source_bytes", lambda: platform.source.received_bytes)
    metrics.set_gauge_function("source_calls", lambda: sum(platform.source.call_counts.values()))
    supervisor = Supervisor(log)
    supervisor.add("listener", gateway.listen)
    supervisor.add("ready", status.listen_ready)
    supervisor.add("metrics", status.listen_metrics)
    supervisor.add("config", directory.config.run)
    supervisor.add("servers", directory.list.run)
    supervisor.add("expiry", directory.expire)
    supervisor.add("orders", orderer.run)
    supervisor.add("work", work.run)
    supervisor.add("peers", work.follow_peers)
    supervisor.add("notices", notices.run)
    supervisor.add("greeter", greeter.run)
    supervisor.add("lending", permits.lend)
    supervisor.add("limits", permits.tell_use)
    supervisor.add("calls", CallLog(platform.source, log).run)
    log.info("started", listen=settings.listen, zone=settings.zone, source=settings.source)
    await run_until_first_ends(supervisor.run, partial(_drain_on, stopping, gateway))
    log.info("stopped")


def _most_kept(directory: Directory, members: Membership, service: str) -> int:
    """Return how many idle connections to keep to each server of a service."""
    known = directory.table.services.get(service) if directory.table else None
    return (
        MAX_IDLE_CONNECTIONS
        if known is None
        else idle_connection_limit(known.max_connections, members.fleet_size)
    )


def _age(follower: Follower) -> float:
    return steady_s() - (follower.heard or 0.0)


async def _believe(backends: Backends, notice: EngineOrdered, sender: str) -> None:
    """Act on what another instance tells."""
    until = await curio.clock() + min(notice.within_s, LOST_S)
    backends.ordered(notice.server, notice.phase, until, told=True)


async def _drain_on(stopping: curio.Event, gateway: Gateway) -> None:
    await stopping.wait()
    await gateway.drain()


def run(argv: list[str] | None, *, make_platform: MakePlatform) -> int:
    """Run the program; returns its exit status."""
    log = get_log(program=PROGRAM, stream=LineSink(STDOUT))
    return run_process(
        program=PROGRAM,
        description="relays requests to backend servers",
        settings_type=GatewaySettings,
        serve=partial(serve, make_platform=make_platform),
        argv=argv,
        log=log,
        on_reload=lambda settings: None,
    )
