"""Builds a gateway from its parts and runs it."""

from __future__ import annotations

import random
import secrets
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

import curio

from crankhinge.adapters import (
    Dialect,
    DiscoverySource,
    InstanceRegistry,
    OrderLeaseStore,
    OriginJournalStore,
    VersionHistoryStore,
)
from crankhinge.decisions import (
    MAX_IDLE_CONNECTIONS,
    ExclusionReason,
    Membership,
    RetryBudget,
    SharedLimits,
    WorkloadMeter,
    idle_connection_limit,
)
from crankhinge.decisions.coordination import CoordinatorOrder
from crankhinge.gateway._admission import Admission
from crankhinge.gateway._attempts import Attempts
from crankhinge.gateway._authenticator import Authenticator
from crankhinge.gateway._backends import Backends
from crankhinge.gateway._call_log import CallLog
from crankhinge.gateway._crashes import CrashDetector
from crankhinge.gateway._discovery import Discovery
from crankhinge.gateway._exclusion_listener import ExclusionListener
from crankhinge.gateway._gateway import Gateway
from crankhinge.gateway._incarnations import IncarnationChecks
from crankhinge.gateway._join_announcer import JoinAnnouncer
from crankhinge.gateway._limit_updates import LimitUpdates
from crankhinge.gateway._origin_journal import OriginJournalService
from crankhinge.gateway._peer_messages import EngineOrdered
from crankhinge.gateway._peer_messenger import PeerMessenger
from crankhinge.gateway._permits import Permits
from crankhinge.gateway._plain import PlainRunner
from crankhinge.gateway._quarantine import QuarantineService
from crankhinge.gateway._quota import AccountLimits
from crankhinge.gateway._record_sync import InstanceRecordSync
from crankhinge.gateway._role_controller import MAX_ORDER_S, RoleController
from crankhinge.gateway._running_streams import RunningStreams
from crankhinge.gateway._server_selector import ServerSelector
from crankhinge.gateway._settings import GatewaySettings
from crankhinge.gateway._source_watcher import SourceWatcher
from crankhinge.gateway._status import StatusPages
from crankhinge.gateway._stream import StreamRunner
from crankhinge.gateway._stream_origins import StreamOriginService
from crankhinge.gateway._version_history import VersionHistoryService
from crankhinge.gateway.migration._leaving import LeavingRuns
from crankhinge.gateway.migration._migrator import RunMigrator
from crankhinge.gateway.placement._client import MAX_MISSES as MAX_PLACEMENT_MISSES
from crankhinge.gateway.placement._client import PlacementClient
from crankhinge.gateway.placement._engines import PlacementEngines
from crankhinge.gateway.placement._service import PlacementService
from crankhinge.gateway.placement._transport import PlacementTransport
from crankhinge.http import BufferLimits, BufferPool
from crankhinge.runtime import (
    LineSink,
    Supervisor,
    get_log,
    run_process,
    run_until_first_ends,
    steady_s,
)
from crankhinge.runtime._prometheus import PrometheusMetrics

PROGRAM = "crankhinge-gateway"
STDOUT = 1
# The operators bound the retries of all instances together: ``repeat_ratio`` times the number of
# requests plus a constant. They count requests by when callers sent them, so each instance uses
# only this share of the ratio for its own first attempts.
RETRY_RATIO_SHARE = 0.75
# Unused retries that an instance saves up. Thirty instances that use them at once, and one more
# retry each as a debt, stay below a constant of one hundred.
MAX_SAVED_RETRIES = 2.0
# Random bits in the number of an instance's incarnation, enough that no two are equal.
INCARNATION_BITS = 63
# Random bits in the first run counter, so that the runs of two incarnations have different ids.
RUN_COUNTER_BITS = 31


def new_retry_budget(settings: GatewaySettings) -> RetryBudget:
    """Return the budget of an instance for retries of the requests for one service."""
    return RetryBudget(ratio=RETRY_RATIO_SHARE * settings.repeat_ratio, burst=MAX_SAVED_RETRIES)


@dataclass(frozen=True)
class Platform:
    """The adapters of one platform.

    Attributes:
        dialect: builds and parses the messages of the platform's protocol.
        source: source of the configuration and the list of servers.
        order_leases: store of the order lease.
        registry: store of the instance records.
        version_history: store of the history of software versions.
        origin_journal: store of the journal of origins.
    """

    dialect: Dialect
    source: DiscoverySource
    order_leases: OrderLeaseStore
    registry: InstanceRegistry
    version_history: VersionHistoryStore
    origin_journal: OriginJournalStore


MakePlatform = Callable[[GatewaySettings, Any], Platform]


async def serve(
    settings: GatewaySettings,
    log: Any,
    stopping: curio.Event,
    *,
    make_platform: MakePlatform,
) -> None:
    """Run the gateway until *stopping* is set, then drain it."""
    rng = random.Random(secrets.randbits(64))
    metrics = PrometheusMetrics(
        prefix=f"crankhinge.gateway.{settings.name}", address=settings.statsd
    )
    platform = make_platform(settings, log)
    dialect = platform.dialect
    discovery = Discovery(platform.source, settings.freshness_bounds, log, rng)
    buffer_limits = (
        None if settings.memory_mb is None else BufferLimits.from_memory(settings.memory_mb)
    )
    pool = None if buffer_limits is None else BufferPool(buffer_limits)
    now = await curio.clock()
    membership = Membership(settings.name, now)
    backends = Backends(
        servers=discovery.servers,
        dialect=dialect,
        zone=settings.zone,
        log=log,
        metrics=metrics,
        rng=rng,
        idle_limit=partial(_idle_limit, discovery, membership),
        buffer_limits=buffer_limits,
    )
    authenticator = Authenticator(discovery)
    discovery.on_server_gone.append(backends.remove_server)
    budgets: defaultdict[str, RetryBudget] = defaultdict(partial(new_retry_budget, settings))
    meters: defaultdict[str, WorkloadMeter] = defaultdict(WorkloadMeter)
    messenger = PeerMessenger(
        address=settings.peer, peer_addresses=lambda: membership.peer_addresses, log=log
    )
    messenger.add_handler(EngineOrdered, partial(_on_engine_ordered, backends))
    quarantine = QuarantineService(
        name=settings.name, membership=membership, messenger=messenger, log=log, metrics=metrics
    )
    crashes = CrashDetector(backends=backends, on_crash=quarantine.record_crash, log=log)
    discovery.on_server_gone.append(crashes.on_entry_gone)
    shared_limits = SharedLimits(
        name=settings.name,
        membership=membership,
        incarnation=rng.getrandbits(INCARNATION_BITS),
        now=now,
    )
    limit_updates = LimitUpdates(
        shared_limits=shared_limits, backends=backends, messenger=messenger, log=log
    )
    discovery.on_server_gone.append(limit_updates.remove_server)
    exclusion_listener = ExclusionListener(
        exclusions=backends.exclusions, messenger=messenger, log=log
    )
    backends.listeners += [limit_updates, exclusion_listener]
    permits = Permits(
        name=settings.name,
        shared_limits=shared_limits,
        limit_updates=limit_updates,
        membership=membership,
        backends=backends,
        messenger=messenger,
        log=log,
        metrics=metrics,
    )
    running = RunningStreams(settings.name, first=rng.getrandbits(RUN_COUNTER_BITS))
    placement_order = CoordinatorOrder(
        name=settings.name, membership=membership, max_misses=MAX_PLACEMENT_MISSES
    )
    placement_engines = PlacementEngines(backends)
    placement_transport = PlacementTransport(
        name=settings.name, membership=membership, messenger=messenger
    )
    placement_service = PlacementService(
        order=placement_order,
        membership=membership,
        engines=placement_engines,
        discovery=discovery,
        transport=placement_transport,
        log=log,
        metrics=metrics,
        rng=rng,
    )
    placement = PlacementClient(
        zone=settings.zone,
        order=placement_order,
        engines=placement_engines,
        backends=backends,
        running=running,
        transport=placement_transport,
        log=log,
        metrics=metrics,
        rng=rng,
    )
    version_history = VersionHistoryService(
        name=settings.name,
        store=platform.version_history,
        membership=membership,
        is_first_start=settings.first_start,
        log=log,
        rng=rng,
    )
    discovery.before_list_change = version_history.prepare
    backends.is_held = version_history.is_held
    origin_journal = OriginJournalService(
        name=settings.name,
        membership=membership,
        is_mixed=lambda: version_history.has_mixed_versions,
        store=platform.origin_journal,
        messenger=messenger,
        log=log,
        metrics=metrics,
    )
    stream_origins = StreamOriginService(
        name=settings.name,
        membership=membership,
        discovery=discovery,
        version_history=version_history,
        messenger=messenger,
        journal=origin_journal,
        log=log,
        metrics=metrics,
    )
    migrator = RunMigrator(
        backends=backends,
        running=running,
        authenticator=authenticator,
        quarantine=quarantine,
        permits=permits,
        log=log,
        metrics=metrics,
    )
    placement.move_run = migrator.move
    incarnations = IncarnationChecks(
        backends=backends,
        servers=discovery.servers,
        list_state=discovery.server_list_watcher.confirmation.state,
        on_restart=discovery.record_restart,
        log=log,
        metrics=metrics,
    )
    discovery.on_server_gone.append(incarnations.remove_server)
    discovery.on_server_restarted.append(partial(_doubt_streams, stream_origins, incarnations))
    leaving_runs = LeavingRuns(
        backends=backends,
        running=running,
        migrator=migrator,
        is_active=placement.is_coordinated,
        log=log,
    )
    selector = ServerSelector(backends, permits)
    common: dict[str, Any] = {
        "backends": backends,
        "selector": selector,
        "attempts": Attempts(backends, authenticator, quarantine, crashes, permits, incarnations),
        "budget_of": budgets.__getitem__,
        "log": log,
    }
    account_limits = AccountLimits(
        name=settings.name,
        discovery=discovery,
        membership=membership,
        bounds=settings.quota_bounds,
        messenger=messenger,
        log=log,
        metrics=metrics,
        now=now,
    )
    join_announcer = JoinAnnouncer(
        name=settings.name,
        address=settings.peer,
        membership=membership,
        messenger=messenger,
        on_joined=[
            account_limits.record_joined,
            permits.record_joined,
            placement.record_joined,
        ],
        log=log,
    )
    gateway = Gateway(
        settings=settings,
        discovery=discovery,
        admission=Admission(discovery=discovery, authenticator=authenticator, rng=rng),
        limits=account_limits,
        permits=permits,
        quarantine=quarantine,
        dialect=dialect,
        plain=PlainRunner(**common),
        streams=StreamRunner(
            **common,
            permits=permits,
            quarantine=quarantine,
            meters=meters,
            running=running,
            placement=placement,
            stream_origins=stream_origins,
        ),
        log=log,
        metrics=metrics,
        pool=pool,
    )
    placement_service.is_stopping = lambda: gateway.is_draining
    status = StatusPages(
        settings=settings, discovery=discovery, gateway=gateway, log=log, metrics=metrics
    )
    record_sync = InstanceRecordSync(
        name=settings.name,
        address=settings.peer,
        membership=membership,
        registry=platform.registry,
        meters=meters,
        quarantine=quarantine,
        limit_updates=limit_updates,
        log=log,
        rng=rng,
        quota_window_s=settings.quota_bounds.window_s,
    )
    role_controller = RoleController(
        name=settings.name,
        discovery=discovery,
        backends=backends,
        order_leases=platform.order_leases,
        record_sync=record_sync,
        messenger=messenger,
        log=log,
    )
    # Gauges are read outside of any curio task, where curio's clock cannot be called; steady_s()
    # reads the same clock.
    metrics.set_gauge_function(
        "config_heard_s_ago", partial(_seconds_since_response, discovery.config_watcher)
    )
    metrics.set_gauge_function(
        "servers_heard_s_ago", partial(_seconds_since_response, discovery.server_list_watcher)
    )
    metrics.set_gauge_function(
        "config_version", lambda: discovery.config.version if discovery.config else 0
    )
    metrics.set_gauge_function("requests_quarantined", quarantine.__len__)
    metrics.set_gauge_function("parts_quarantined", lambda: quarantine.part_count)
    metrics.set_gauge_function("streams_remembered", stream_origins.__len__)
    metrics.set_gauge_function("origins_collected", lambda: origin_journal.collected_count)
    metrics.set_gauge_function("origin_journal_bytes", lambda: origin_journal.read_bytes)
    metrics.set_gauge_function("origin_journal_segments", lambda: origin_journal.read_segments)
    metrics.set_gauge_function("servers_limited", limit_updates.__len__)
    metrics.set_gauge_function(
        "servers_leaving", lambda: backends.count_excluded(ExclusionReason.LEAVING, steady_s())
    )
    metrics.set_gauge_function(
        "servers_unrecorded",
        lambda: backends.count_excluded(ExclusionReason.UNRECORDED, steady_s()),
    )
    metrics.set_gauge_function(
        "servers_resting", lambda: backends.count_excluded(ExclusionReason.BACKOFF, steady_s())
    )
    if pool is not None:
        metrics.set_gauge_function("buffered_bytes", lambda: pool.held_bytes)
    metrics.set_gauge_function("servers_known", lambda: len(list(discovery.servers.all())))
    metrics.set_gauge_function("servers_doubted", lambda: len(discovery.servers.suspects()))
    metrics.set_gauge_function("source_bytes", lambda: platform.source.received_bytes)
    metrics.set_gauge_function("source_calls", lambda: sum(platform.source.call_counts.values()))
    metrics.set_gauge_function("placement_runs", lambda: placement_service.run_count)
    metrics.set_gauge_function("placement_requests", lambda: placement_service.waiting_count)
    metrics.set_gauge_function(
        "placement_peak", lambda: placement_service.max_peak_share(steady_s())
    )
    supervisor = Supervisor(log)
    supervisor.add("listener", gateway.listen)
    supervisor.add("ready", status.listen_ready)
    supervisor.add("metrics", status.listen_metrics)
    supervisor.add("config", discovery.config_watcher.run)
    supervisor.add("servers", discovery.server_list_watcher.run)
    supervisor.add("expiry", discovery.expire_suspects)
    supervisor.add("orders", role_controller.run)
    supervisor.add("work", record_sync.run)
    supervisor.add("peers", record_sync.refresh_membership)
    supervisor.add(
        "versions",
        partial(version_history.run, discovery.servers, discovery.server_list_watcher),
    )
    supervisor.add("notices", messenger.run)
    supervisor.add("greeter", join_announcer.run)
    supervisor.add("lending", permits.renew_leases)
    supervisor.add("limits", permits.log_use)
    supervisor.add("placement", placement_service.run)
    supervisor.add("runs", placement.run)
    supervisor.add("moves", leaving_runs.run)
    supervisor.add("origins", origin_journal.run)
    supervisor.add("calls", CallLog(platform.source, log).run)
    log.info("started", listen=settings.listen, zone=settings.zone, source=settings.source)
    await run_until_first_ends(
        supervisor.run,
        partial(_drain_when_stopping, stopping, gateway, record_sync, shared_limits),
    )
    log.info("stopped")


def _idle_limit(discovery: Discovery, membership: Membership, service: str) -> int:
    """Return the number of idle connections to keep to each server of a service."""
    known = discovery.config.services.get(service) if discovery.config else None
    return (
        MAX_IDLE_CONNECTIONS
        if known is None
        else idle_connection_limit(known.max_connections, membership.fleet_size)
    )


def _seconds_since_response(watcher: SourceWatcher) -> float:
    return steady_s() - (watcher.received_at or 0.0)


async def _doubt_streams(
    stream_origins: StreamOriginService,
    incarnations: IncarnationChecks,
    incarnation_id: str,
    later_version: str,
) -> None:
    """Forget what began the streams that a restarted server may have begun after its restart."""
    certain_until = incarnations.certain_until(incarnation_id, await curio.clock())
    await stream_origins.doubt_streams(incarnation_id, later_version, certain_until)


async def _on_engine_ordered(backends: Backends, message: EngineOrdered, sender: str) -> None:
    """Record an order that another instance sent to an engine."""
    until = await curio.clock() + min(message.within_s, MAX_ORDER_S)
    backends.record_order(message.server, message.phase, until, by_peer=True)


async def _drain_when_stopping(
    stopping: curio.Event,
    gateway: Gateway,
    record_sync: InstanceRecordSync,
    shared_limits: SharedLimits,
) -> None:
    await stopping.wait()
    leave = await curio.spawn(record_sync.leave_fleet, shared_limits.lease_s, daemon=True)
    await gateway.drain()
    await leave.cancel()


def run(argv: list[str] | None, *, make_platform: MakePlatform) -> int:
    """Run the program; return its exit status."""
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
