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
from crankhinge.gateway._attempts import Attempts
from crankhinge.gateway._authenticator import Authenticator
from crankhinge.gateway._backends import Backends
from crankhinge.gateway._call_log import CallLog
from crankhinge.gateway._crashes import CrashDetector
from crankhinge.gateway._discovery import Discovery
from crankhinge.gateway._gateway import Gateway
from crankhinge.gateway._join_announcer import JoinAnnouncer
from crankhinge.gateway._limit_updates import LimitUpdates
from crankhinge.gateway._peer_messages import EngineOrdered
from crankhinge.gateway._peer_messenger import PeerMessenger
from crankhinge.gateway._permits import Permits
from crankhinge.gateway._plain import PlainRelay
from crankhinge.gateway._quarantine import QuarantineService
from crankhinge.gateway._quota import AccountLimits
from crankhinge.gateway._record_sync import InstanceRecordSync
from crankhinge.gateway._role_controller import MAX_ORDER_S, RoleController
from crankhinge.gateway._server_selector import ServerSelector
from crankhinge.gateway._server_signals import ServerSignals
from crankhinge.gateway._settings import GatewaySettings
from crankhinge.gateway._source_watcher import SourceWatcher
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
RETRY_RATIO_SHARE = 0.75
MAX_SAVED_RETRIES = 2.0
# Numbers of instances' lives are drawn of so many bits: no two agree.
INCARNATION_BITS = 63


def new_retry_budget(settings: GatewaySettings) -> RetryBudget:
    """Return what an instance may repeat of the requests for one service."""
    return RetryBudget(ratio=RETRY_RATIO_SHARE * settings.repeat_ratio, burst=MAX_SAVED_RETRIES)


@dataclass(frozen=True)
class Platform:
    """What a platform brings.

    Attributes:
        dialect: how callers and servers are spoken to.
        source: configuration and list of servers.
        order_leases: gives the right to order servers.
        registry: where instances tell each other what requests take.
    """

    dialect: Dialect
    source: DiscoverySource
    order_leases: OrderLeaseStore
    registry: InstanceRegistry


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
    directory = Discovery(platform.source, settings.freshness_bounds, log, rng)
    now = await curio.clock()
    members = Membership(settings.name, now)
    backends = Backends(
        servers=directory.servers,
        dialect=dialect,
        zone=settings.zone,
        log=log,
        metrics=metrics,
        rng=rng,
        idle_limit=partial(_most_kept, directory, members),
    )
    authenticator = Authenticator(directory)
    directory.on_server_gone.append(backends.remove_server)
    budgets: defaultdict[str, RetryBudget] = defaultdict(partial(new_retry_budget, settings))
    meters: defaultdict[str, WorkloadMeter] = defaultdict(WorkloadMeter)
    notices = PeerMessenger(
        address=settings.peer, peer_addresses=lambda: members.peer_addresses, log=log
    )
    notices.add_handler(EngineOrdered, partial(_believe, backends))
    quarantine = QuarantineService(
        name=settings.name, membership=members, messenger=notices, log=log, metrics=metrics
    )
    crashes = CrashDetector(backends=backends, on_crash=quarantine.record_crash, log=log)
    directory.on_server_gone.append(crashes.on_entry_gone)
    shared_limits = SharedLimits(
        name=settings.name,
        membership=members,
        incarnation=rng.getrandbits(INCARNATION_BITS),
        now=now,
    )
    limit_news = LimitUpdates(
        shared_limits=shared_limits, backends=backends, messenger=notices, log=log
    )
    directory.on_server_gone.append(limit_news.remove_server)
    words = ServerSignals(exclusions=backends.exclusions, messenger=notices, log=log)
    backends.listeners += [limit_news, words]
    permits = Permits(
        name=settings.name,
        shared_limits=shared_limits,
        limit_updates=limit_news,
        membership=members,
        backends=backends,
        messenger=notices,
        log=log,
        metrics=metrics,
    )
    choice = ServerSelector(backends, permits)
    common: dict[str, Any] = {
        "backends": backends,
        "selector": choice,
        "attempts": Attempts(backends, authenticator, quarantine, crashes, permits),
        "budget_of": budgets.__getitem__,
        "log": log,
    }
    limits = AccountLimits(
        name=settings.name,
        discovery=directory,
        membership=members,
        bounds=settings.quota_bounds,
        messenger=notices,
        log=log,
        metrics=metrics,
        now=now,
    )
    greeter = JoinAnnouncer(
        name=settings.name,
        address=settings.peer,
        membership=members,
        messenger=notices,
        on_joined=[limits.record_joined, permits.record_joined],
        log=log,
    )
    gateway = Gateway(
        settings=settings,
        discovery=directory,
        admission=Admission(discovery=directory, authenticator=authenticator, rng=rng),
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
        settings=settings, discovery=directory, gateway=gateway, log=log, metrics=metrics
    )
    work = InstanceRecordSync(
        name=settings.name,
        address=settings.peer,
        membership=members,
        registry=platform.registry,
        meters=meters,
        quarantine=quarantine,
        limit_updates=limit_news,
        log=log,
        rng=rng,
    )
    orderer = RoleController(
        name=settings.name,
        discovery=directory,
        backends=backends,
        order_leases=platform.order_leases,
        record_sync=work,
        messenger=notices,
        log=log,
    )
    # The runtime's clock is the steady clock; a page is made outside of any task's trap.
    metrics.set_gauge_function("config_heard_s_ago", partial(_age, directory.config_watcher))
    metrics.set_gauge_function("servers_heard_s_ago", partial(_age, directory.server_list_watcher))
    metrics.set_gauge_function(
        "config_version", lambda: directory.table.version if directory.table else 0
    )
    metrics.set_gauge_function("requests_quarantined", quarantine.__len__)
    metrics.set_gauge_function("servers_limited", limit_news.__len__)
    metrics.set_gauge_function(
        "servers_leaving", lambda: backends.count_excluded(ExclusionReason.LEAVING, steady_s())
    )
    metrics.set_gauge_function(
        "servers_resting", lambda: backends.count_excluded(ExclusionReason.BACKOFF, steady_s())
    )
    metrics.set_gauge_function("servers_known", lambda: len(list(directory.servers.all())))
    metrics.set_gauge_function("servers_doubted", lambda: len(directory.servers.suspects()))
    metrics.set_gauge_function("source_bytes", lambda: platform.source.received_bytes)
    metrics.set_gauge_function("source_calls", lambda: sum(platform.source.call_counts.values()))
    supervisor = Supervisor(log)
    supervisor.add("listener", gateway.listen)
    supervisor.add("ready", status.listen_ready)
    supervisor.add("metrics", status.listen_metrics)
    supervisor.add("config", directory.config_watcher.run)
    supervisor.add("servers", directory.server_list_watcher.run)
    supervisor.add("expiry", directory.expire_suspects)
    supervisor.add("orders", orderer.run)
    supervisor.add("work", work.run)
    supervisor.add("peers", work.refresh_membership)
    supervisor.add("notices", notices.run)
    supervisor.add("greeter", greeter.run)
    supervisor.add("lending", permits.renew_leases)
    supervisor.add("limits", permits.log_use)
    supervisor.add("calls", CallLog(platform.source, log).run)
    log.info("started", listen=settings.listen, zone=settings.zone, source=settings.source)
    await run_until_first_ends(supervisor.run, partial(_drain_on, stopping, gateway))
    log.info("stopped")


def _most_kept(directory: Discovery, members: Membership, service: str) -> int:
    """Return how many idle connections to keep to each server of a service."""
    known = directory.table.services.get(service) if directory.table else None
    return (
        MAX_IDLE_CONNECTIONS
        if known is None
        else idle_connection_limit(known.max_connections, members.fleet_size)
    )


def _age(follower: SourceWatcher) -> float:
    return steady_s() - (follower.received_at or 0.0)


async def _believe(backends: Backends, notice: EngineOrdered, sender: str) -> None:
    """Act on what another instance tells."""
    until = await curio.clock() + min(notice.within_s, MAX_ORDER_S)
    backends.record_order(notice.server, notice.phase, until, by_peer=True)


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
