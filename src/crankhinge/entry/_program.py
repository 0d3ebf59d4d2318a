"""Builds and runs the components of ``crankhinge-entry``."""

from __future__ import annotations

import random
import secrets
import time
from functools import partial
from typing import Any

import curio

from crankhinge.adapters.consul import ConsulInstanceList, ConsulKeyValueStore
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
    """Run the entry until *stopping* is set, then drain it."""
    log = log.bind(name=settings.name)
    rng = random.Random(secrets.randbits(64))
    mechanisms = mechanisms_for(settings.policy)
    keeper = BundleKeeper(settings.keys)
    metrics = Metrics(prefix=f"crankhinge.entry.{settings.name}", address=settings.statsd)
    kv = ConsulKeyValueStore(*parse_endpoint(settings.key_value))
    propagator = BundlePropagator(keeper, kv, log, watch_s=settings.watch_s, rng=rng)
    request_ids = RequestIds(secrets.randbits(64))
    mailboxes = Mailboxes(settings.buffer_tokens)
    costs = RoutingCosts(zone=settings.zone, report_interval_s=settings.beat_s)
    agent_links = AgentLinks(
        settings=settings,
        instance_list=InstanceListCache(
            ConsulInstanceList(*parse_endpoint(settings.instances)),
            refresh_interval_s=settings.list_s,
            log=log,
            rng=rng,
        ),
        router=Router(costs=costs, rng=rng, mech=mechanisms),
        mailboxes=mailboxes,
        propagator=propagator,
        keeper=keeper,
        incarnation=time.time_ns(),
        log=log,
        rng=rng,
    )
    keeper.listeners.append(agent_links.apply_bundle)
    retry_budget = RetryBudget()
    keeper.listeners.append(lambda bundle: retry_budget.set_ratio(bundle.policy.retry_ratio))
    fence_client = FenceClient(agent_links=agent_links, mailboxes=mailboxes, metrics=metrics)
    common: dict[str, Any] = {
        "agent_links": agent_links,
        "mailboxes": mailboxes,
        "retry_budget": retry_budget,
        "fence_client": fence_client,
    }
    common.update(log=log, metrics=metrics)
    entry = Entry(
        settings=settings,
        keeper=keeper,
        agent_links=agent_links,
        completions=CompletionRunner(**common, mech=mechanisms),
        plain_calls=PlainCallRunner(**common),
        request_ids=request_ids,
        log=log,
        metrics=metrics,
    )
    supervisor = Supervisor(log)
    supervisor.add("listener", entry.listen)
    supervisor.add("beats", agent_links.heartbeat_sender.run)
    supervisor.add("fleet", agent_links.run)
    supervisor.add("bundle", propagator.watch)
    supervisor.add("streams", mailboxes.watch_streams)
    log.info("started", port=settings.port)
    await run_until_first_ends(supervisor.run, partial(_drain_when_stopping, stopping, entry))


async def _drain_when_stopping(stopping: curio.Event, entry: Entry) -> None:
    await stopping.wait()
    await entry.drain()


def run(argv: list[str] | None = None) -> int:
    """Run the program and return its exit status."""
    return run_process(
        program=PROGRAM,
        description="serve callers and route their requests to agents",
        settings_type=EntrySettings,
        serve=serve,
        argv=argv,
    )
