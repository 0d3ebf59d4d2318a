"""The parts of ``crankhinge-entry``, put together."""

from __future__ import annotations

import random
import secrets
import time
from functools import partial
from typing import Any

import curio

from crankhinge.adapters.consul import ConsulInstanceList, ConsulKeyValue
from crankhinge.config import BundleKeeper
from crankhinge.decisions import RetryBudget, Router, RoutingCosts, mechanisms_for
from crankhinge.entry._agent_links import AgentLinks
from crankhinge.entry._completion import CompletionRunner
from crankhinge.entry._entry import Entry
from crankhinge.entry._fence_client import FenceClient
from crankhinge.entry._mailboxes import Mailboxes
from crankhinge.entry._plain_calls import PlainCallRunner
from crankhinge.entry._progress import RequestIds
from crankhinge.entry._settings import EntrySettings
from crankhinge.peers import BundlePropagator, InstanceListCache, parse_endpoint
from crankhinge.runtime import Metrics, Supervisor, run_process, run_until_first_ends

PROGRAM = "crankhinge-entry"


async def serve(settings: EntrySettings, log: Any, stopping: curio.Event) -> None:
    """Run the entry until *stopping*, then drain."""
    log = log.bind(name=settings.name)
    rng = random.Random(secrets.randbits(64))
    mech = mechanisms_for(settings.policy)
    keeper = BundleKeeper(settings.keys)
    metrics = Metrics(prefix=f"crankhinge.entry.{settings.name}", address=settings.statsd)
    kv = ConsulKeyValue(*parse_endpoint(settings.key_value))
    spread = BundlePropagator(keeper, kv, log, watch_s=settings.watch_s, rng=rng)
    ids = RequestIds(secrets.randbits(64))
    calls = Mailboxes(settings.buffer_tokens)
    weights = RoutingCosts(zone=settings.zone, report_interval_s=settings.beat_s)
    fleet = AgentLinks(
        settings=settings,
        instance_list=InstanceListCache(
            ConsulInstanceList(*parse_endpoint(settings.instances)),
            refresh_interval_s=settings.list_s,
            log=log,
            rng=rng,
        ),
        router=Router(costs=weights, rng=rng, mech=mech),
        mailboxes=calls,
        propagator=spread,
        keeper=keeper,
        incarnation=time.time_ns(),
        log=log,
        rng=rng,
    )
    keeper.listeners.append(fleet.apply_bundle)
    budget = RetryBudget()
    keeper.listeners.append(lambda bundle: budget.set_ratio(bundle.policy.retry_ratio))
    fence = FenceClient(agent_links=fleet, mailboxes=calls, metrics=metrics)
    common: dict[str, Any] = {"agent_links": fleet, "mailboxes": calls}
    common.update(retry_budget=budget, fence_client=fence)
    common.update(log=log, metrics=metrics)
    entry = Entry(
        settings=settings,
        keeper=keeper,
        agent_links=fleet,
        completions=CompletionRunner(**common, mech=mech),
        plain_calls=PlainCallRunner(**common),
        request_ids=ids,
        log=log,
        metrics=metrics,
    )
    supervisor = Supervisor(log)
    supervisor.add("listener", entry.listen)
    supervisor.add("beats", fleet.heartbeat_sender.run)
    supervisor.add("fleet", fleet.run)
    supervisor.add("bundle", spread.watch)
    supervisor.add("streams", calls.watch_streams)
    log.info("started", port=settings.port)
    await run_until_first_ends(supervisor.run, partial(_drain_on, stopping, entry))


async def _drain_on(stopping: curio.Event, entry: Entry) -> None:
    await stopping.wait()
    await entry.drain()


def run(argv: list[str] | None = None) -> int:
    """Run the program; returns its exit status."""
    return run_process(
        program=PROGRAM,
        description="a thin entry instance for callers",
        settings_type=EntrySettings,
        serve=serve,
        argv=argv,
    )
