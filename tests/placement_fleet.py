"""Instances that place runs through coordinators, connected by datagrams that may be lost."""

from __future__ import annotations

import itertools
import random
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any, cast

import curio
import msgspec

from crankhinge.adapters import RelayRequest
from crankhinge.decisions import (
    EngineLimits,
    EngineRole,
    Membership,
    ReservationRequest,
    Route,
    RouteKind,
    Server,
    Service,
    ServiceWeight,
)
from crankhinge.decisions.coordination import CoordinatorOrder
from crankhinge.decisions.placement import PlacementDecision, PlacementOutcome
from crankhinge.gateway._discovery import Discovery
from crankhinge.gateway._events import EventSplitter
from crankhinge.gateway._peer_messages import decode_message
from crankhinge.gateway._peer_messenger import MAX_DATAGRAM_BYTES, PeerMessenger
from crankhinge.gateway._request import Relay
from crankhinge.gateway._running_streams import RunningStream, RunningStreams
from crankhinge.gateway.placement._client import (
    MAX_MISSES,
    PlacedRun,
    PlacementAttempt,
    PlacementClient,
)
from crankhinge.gateway.placement._engines import PlacementEngines
from crankhinge.gateway.placement._messages import GroupKey
from crankhinge.gateway.placement._service import PlacementService
from crankhinge.gateway.placement._transport import PlacementTransport
from crankhinge.http import Exchange
from crankhinge.runtime import Metrics, get_log, run_until_first_ends
from platform_fakes import LogCapture, make_standalone_backends
from virtual_time import run_virtual

SERVICE = "llm"
# Seconds that a datagram takes.
DELAY_S = 0.002
# Prompt, expected and maximum answer of a request, and the engines' memory, in tokens: an engine
# holds three such runs, and a fourth one only if the decisions expect others to end before.
PROMPT, EXPECTED, MOST, KV_TOKENS = 1000, 2000, 3000, 10_000
LIMITS = EngineLimits(16, KV_TOKENS, 0.5, 2.0, 100, moves=True)
KEY = GroupKey(SERVICE, 0)
# Seconds from the start after which all instances coordinate, once a request has been sent.
READY_S = 2.5

DropRule = Callable[[str, str, Any], bool]


@dataclass
class Network:
    """Delivers datagrams between instances.

    Attributes:
        drop: returns whether a datagram from one instance to another is lost.
        copies: how often each datagram arrives.
        sent: number of datagrams of each class.
        received_bytes: bytes that each instance received.
    """

    drop: DropRule = lambda sender, receiver, message: False
    copies: int = 1
    sent: Counter[str] = field(default_factory=Counter)
    received_bytes: Counter[str] = field(default_factory=Counter)
    messengers: dict[str, FakeMessenger] = field(default_factory=dict)


class FakeMessenger(PeerMessenger):
    """Sends encoded messages through a :class:`Network`; addresses are names with a port."""

    def __init__(self, name: str, network: Network, log: Any) -> None:
        super().__init__(address="", peer_addresses=list, log=log)
        self.name = name
        self.network = network
        network.messengers[name] = self

    async def send(self, address: str, message: Any) -> None:
        """Deliver the message after a delay, unless it is lost."""
        receiver, data = address.partition(":")[0], msgspec.msgpack.encode(message)
        assert len(data) <= MAX_DATAGRAM_BYTES
        self.network.sent[type(message).__name__] += 1
        if not self.network.drop(self.name, receiver, message):
            for _ in range(self.network.copies):
                await curio.spawn(self._deliver, receiver, data, daemon=True)

    async def _deliver(self, receiver: str, data: bytes) -> None:
        await curio.sleep(DELAY_S)
        messenger = self.network.messengers.get(receiver)
        if messenger is None:
            return
        self.network.received_bytes[receiver] += len(data)
        message = decode_message(data)
        await messenger._handlers[type(message)](message, f"{self.name}:1")


def engine(number: int, *, zone: str = "z1", leaving: bool = False) -> Server:
    """Return a decode engine."""
    return Server(f"e-{number}", SERVICE, "h", 9, zone, EngineRole.DECODE, 16, leaving, 1)


def make_relay(
    request_id: str = "q", *, expected: int = EXPECTED, account: Any = None, is_retry: bool = False
) -> Relay:
    """Return a stream request for the service."""
    service = Service(SERVICE, 100, LIMITS)
    stream_route = Route(
        *("r-stream", "h", "/", RouteKind.STREAM, 20.0, 0.9, 1, 2, True),
        (ServiceWeight(SERVICE, 1.0),),
        max_pause_s=0.3,
    )
    request = RelayRequest(request_id, 14.0, PROMPT, MOST, expected)
    relay = Relay(cast(Exchange, None), request, stream_route, service, 1, 0.0, 1e9)
    relay.account, relay.has_accounts, relay.is_retry = account, account is not None, is_retry
    return relay


def make_need(*, timeout_s: float = 3.6) -> ReservationRequest:
    """Return the times of a request that its caller has just sent."""
    return ReservationRequest(
        PROMPT + EXPECTED, 0.9, 14.0, event_timeout_s=timeout_s, service_s=3.0
    )


class Instance:
    """One incarnation of an instance, with both sides of placement."""

    def __init__(self, name: str, network: Network, engines: Sequence[Server], seed: int) -> None:
        self.name = name
        self.logs = LogCapture()
        log = get_log(program="t", stream=self.logs)
        self.membership = Membership(name, 0.0)
        self.backends = make_standalone_backends(log, *engines)
        order = CoordinatorOrder(name=name, membership=self.membership, max_misses=MAX_MISSES)
        transport = PlacementTransport(
            name=name,
            membership=self.membership,
            messenger=FakeMessenger(name, network, log),
        )
        self.engines = PlacementEngines(self.backends)
        config = SimpleNamespace(services={SERVICE: Service(SERVICE, 100, LIMITS)})
        rng = random.Random(seed)
        self.metrics = Metrics(prefix="t")
        self.service = PlacementService(
            order=order,
            membership=self.membership,
            engines=self.engines,
            discovery=cast(Discovery, SimpleNamespace(config=config)),
            transport=transport,
            log=log,
            metrics=self.metrics,
            rng=rng,
        )
        self.running = RunningStreams(name, first=rng.getrandbits(31))
        self.client = PlacementClient(
            zone="z1",
            order=order,
            engines=self.engines,
            backends=self.backends,
            running=self.running,
            transport=transport,
            log=log,
            metrics=self.metrics,
            rng=rng,
        )
        for _ in range(10):
            self.client.record_request(make_relay())
        self.runs: dict[PlacedRun, RunningStream] = {}

    def logged(self, event: str) -> list[str]:
        """Return the log lines of an event."""
        return self.logs.matching(f"event={event} ")

    async def run(self) -> None:
        """Run both sides until cancelled."""
        await run_until_first_ends(self.service.run, self.client.run)

    async def begin(self, relay: Relay | None = None, **times: Any) -> PlacementAttempt:
        """Return an attempt to place a request that has just arrived."""
        relay, now = relay or make_relay(), await curio.clock()
        return self.client.begin(relay, make_need(**times), 0, frozenset(), now)


@dataclass
class Placed:
    """A run that got its place: how it was asked for, and what it is now."""

    attempt: PlacementAttempt
    run: PlacedRun
    stream: RunningStream


class PlacementFleet:
    """Instances of a fleet and the engines of one service.

    Args:
        count: number of instances.
        engines: number of engines.

    Attributes:
        network: connects the instances.
        instances: the current incarnation of each instance.
        logs: logs of all incarnations.
        tolerates_failures: whether the decisions of a coordinator may fail.
    """

    def __init__(self, count: int = 3, engines: int = 8) -> None:
        self.network = Network()
        self.logs: list[LogCapture] = []
        self.tolerates_failures = False
        self.servers = [engine(number) for number in range(engines)]
        self.names = [f"g-{number}" for number in range(count)]
        self.instances = {name: self._make(name) for name in self.names}
        self._tasks: dict[str, Any] = {}

    def _make(self, name: str) -> Instance:
        instance = Instance(name, self.network, self.servers, len(self.logs))
        self.logs.append(instance.logs)
        return instance

    def ranked(self) -> list[Instance]:
        """Return the instances in the order in which they coordinate the only group."""
        order = self.instances[self.names[0]].membership.rank_instances(str(KEY))
        return [self.instances[name] for name in order]

    @property
    def first(self) -> Instance:
        """The instance that coordinates."""
        return self.ranked()[0]

    @property
    def standby(self) -> Instance:
        """The instance that coordinates if the first does not respond."""
        return self.ranked()[1]

    @property
    def owner(self) -> Instance:
        """An instance that is neither."""
        return self.ranked()[2]

    def run(self, scenario: Callable[[], Awaitable[None]]) -> None:
        """Run *scenario* in virtual time."""

        async def run_all() -> None:
            now = await curio.clock()
            for instance in self.instances.values():
                self._join(instance, now)
            for name in self.names:
                await self.start(name)
            await scenario()

        run_virtual(run_all)
        failed = [line for logs in self.logs for line in logs.matching("event=placement_failed")]
        assert self.tolerates_failures or not failed

    def _join(self, instance: Instance, now: float) -> None:
        instance.membership.set_lease_end(1e9)
        instance.membership.join({name: f"{name}:1" for name in self.names}, now, resumed=True)

    async def start(self, name: str) -> None:
        """Start the tasks of an instance."""
        self._tasks[name] = await curio.spawn(self.instances[name].run, daemon=True)

    async def kill(self, name: str) -> None:
        """End an instance abruptly: its tasks end, and it receives nothing."""
        self.network.messengers.pop(name, None)
        await self._tasks.pop(name).cancel()

    async def restart(self, name: str) -> Instance:
        """Start a new incarnation of an instance, which knows nothing."""
        if name in self._tasks:
            await self.kill(name)
        self.instances[name] = self._make(name)
        self._join(self.instances[name], await curio.clock())
        await self.start(name)
        return self.instances[name]

    async def suspend(self, name: str, seconds: float) -> None:
        """Suspend an instance: its timers stand still, and datagrams to it are lost."""
        messenger = self.network.messengers[name]
        await self.kill(name)
        await curio.sleep(seconds)
        self.network.messengers[name] = messenger
        await self.start(name)

    async def warm_up(self) -> None:
        """Ask once, so that the coordinator begins, and wait until it is ready."""
        decision = await (await self.owner.begin()).next_decision(await deadline())
        assert decision is None
        await curio.sleep(READY_S)

    async def place(
        self, instance: Instance, relay: Relay | None = None, **times: Any
    ) -> tuple[PlacementAttempt, PlacementDecision | None]:
        """Ask for a place; return the attempt and the decision."""
        attempt = await instance.begin(relay, **times)
        return attempt, await attempt.next_decision(await deadline())

    async def start_run(self, instance: Instance, relay: Relay | None = None) -> Placed:
        """Place a run, and start it at the granted engine."""
        relay = relay or make_relay()
        attempt, decision = await self.place(instance, relay)
        assert decision is not None
        assert decision.outcome is PlacementOutcome.GRANTED, decision
        server = instance.backends.get(decision.engine)
        assert server is not None
        return await self.report_run(instance, relay, server, attempt)

    async def report_run(
        self,
        instance: Instance,
        relay: Relay,
        server: Server,
        attempt: PlacementAttempt | None = None,
    ) -> Placed:
        """Start a run at an engine, as after its reservation."""
        run = await instance.client.record_started(relay, server, attempt, 0)
        assert run is not None
        stream = RunningStream(run.run_id, relay, server, EventSplitter(), PROMPT, 0.0)
        instance.running._by_run_id[run.run_id] = stream
        return Placed(attempt or await instance.begin(relay), run, stream)

    async def end_run(self, instance: Instance, placed: Placed, *, completed: bool = True) -> None:
        """End a run."""
        placed.stream.completed = completed
        instance.running._by_run_id.pop(placed.run.run_id)
        await instance.client.record_ended(placed.run, placed.stream)

    async def fill(self, instance: Instance) -> list[Placed]:
        """Start runs until a request has to wait; return them."""
        placed = []
        for number in itertools.count():
            attempt = await instance.begin()
            decision = await curio.ignore_after(0.05, attempt.next_decision, await deadline())
            if decision is None or decision.outcome is not PlacementOutcome.GRANTED:
                await attempt.withdraw()
                return placed
            server = instance.backends.get(decision.engine)
            assert server is not None
            placed.append(
                await self.report_run(instance, make_relay(f"q{number}"), server, attempt)
            )
        raise AssertionError


async def deadline(seconds: float = 3.0) -> float:
    """Return the time until which a request may wait."""
    now: float = await curio.clock()
    return now + seconds
