"""Builds and runs the components of ``crankhinge-agent``."""

from __future__ import annotations

import random
import time
from functools import partial
from typing import Any

import curio

from crankhinge.adapters import Engine
from crankhinge.adapters.consul import ConsulInstanceList, ConsulKeyValueStore
from crankhinge.adapters.http_service import HttpService
from crankhinge.adapters.openai_engine import OpenAiEngine
from crankhinge.agent._agent import Agent
from crankhinge.agent._decode import DecodeRole
from crankhinge.agent._plain import PlainRole
from crankhinge.agent._prefill import PrefillRole
from crankhinge.agent._role import UNBOUNDED, Role
from crankhinge.agent._settings import AgentSettings
from crankhinge.config import Bundle, BundleKeeper
from crankhinge.decisions import SlotTable, WorkQueue, mechanisms_for
from crankhinge.peers import BundlePropagator, InstanceListCache, parse_endpoint
from crankhinge.runtime import Metrics, run_process, run_until_first_ends

PROGRAM = "crankhinge-agent"


def make_role(settings: AgentSettings, engine: Engine | None, **common: Any) -> Role:
    """Return the role for *engine*, or for a plain service if *engine* is None."""
    mechanisms = mechanisms_for(settings.policy)
    slots = settings.slots if settings.policy != "naive" else UNBOUNDED
    if engine is not None and settings.role == "decode":
        table = SlotTable(
            capacity=slots, step_s=settings.step_s, lease_margin_s=settings.lease_s, mech=mechanisms
        )
        return DecodeRole(engine=engine, table=table, **common)
    queue = WorkQueue(width=slots, units_per_s=settings.rate, mech=mechanisms)
    if engine is not None:
        return PrefillRole(engine=engine, queue=queue, **common)
    service = HttpService(*parse_endpoint(settings.backend))
    return PlainRole(service=service, queue=queue, **common)


def apply_bundle(role: Role, pool_name: str, bundle: Bundle) -> None:
    """Apply the settings that a bundle has for the agent's pool to its role."""
    pool = bundle.find_pool(pool_name)
    if pool is not None:
        role.apply_pool(pool)


async def serve(settings: AgentSettings, log: Any, stopping: curio.Event) -> None:
    """Run the agent until *stopping* is set, then drain it."""
    log = log.bind(name=settings.name)
    keeper = BundleKeeper(settings.keys)
    metrics = Metrics(prefix=f"crankhinge.agent.{settings.name}", address=settings.statsd)
    kv = ConsulKeyValueStore(*parse_endpoint(settings.key_value))
    rng = random.Random(settings.name)
    engine = None
    if settings.role != "plain":
        engine = OpenAiEngine(*parse_endpoint(settings.backend))
    role = make_role(settings, engine, keeper=keeper, log=log, metrics=metrics)
    keeper.listeners.append(partial(apply_bundle, role, settings.pool))
    agent = Agent(
        settings=settings,
        role=role,
        engine=engine,
        kv=kv,
        instance_list=InstanceListCache(
            ConsulInstanceList(*parse_endpoint(settings.instances)),
            refresh_interval_s=settings.list_s,
            log=log,
            rng=rng,
        ),
        propagator=BundlePropagator(keeper, kv, log, watch_s=settings.watch_s, rng=rng),
        keeper=keeper,
        incarnation=time.time_ns(),
        log=log,
    )
    log.info("started", role=settings.role, pool=settings.pool, port=settings.port)
    await run_until_first_ends(agent.run, partial(_drain_when_stopping, stopping, agent))


async def _drain_when_stopping(stopping: curio.Event, agent: Agent) -> None:
    await stopping.wait()
    await agent.drain()


def run(argv: list[str] | None = None) -> int:
    """Run the program and return its exit status."""
    return run_process(
        program=PROGRAM,
        description="forward requests to one backend server",
        settings_type=AgentSettings,
        serve=serve,
        argv=argv,
    )
