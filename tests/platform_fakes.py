"""A store and replicas of the users' platform, each with faults that a test switches on.

They speak the platform's messages over loopback and run in the test's own kernel, under its clock.
"""

from __future__ import annotations

import json
import math
import random
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

import curio

from crankhinge.decisions import Membership, Server, ServerList, SharedLimits
from crankhinge.errors import BadHttp, HttpClosed
from crankhinge.gateway import GatewaySettings, Platform, serve
from crankhinge.gateway._authenticator import Authenticator
from crankhinge.gateway._backends import Backends
from crankhinge.gateway._limit_updates import LimitUpdates
from crankhinge.gateway._peer_messenger import PeerMessenger
from crankhinge.gateway._permits import Permits
from crankhinge.gateway._quarantine import QuarantineService
from crankhinge.gateway._request import Relay
from crankhinge.http import ClientStream, Exchange, HttpClient, serve_http
from crankhinge.runtime import Metrics, get_log, run_until_first_ends, split_host_port
from crankhinge_bench._procs import free_ports
from crankhinge_platform.dialect import PlatformDialect
from crankhinge_platform.order_lease import PlatformOrderLeaseStore
from crankhinge_platform.registry import PlatformInstanceRegistry
from crankhinge_platform.source import PlatformDiscoverySource
from crankhinge_platform.store import StoreClient
from crankhinge_standins import operator
from crankhinge_standins.store import StandinStore

HOST = "127.0.0.1"
SEAL = "x-server-seal"
SERVICES = (
    operator.service("plain"),
    operator.service("fragile"),
    operator.service("needy"),
    operator.service("llm", operator.engine_capacity(slots=64, kv_tokens=10000)),
)
route = operator.route


# Seconds after which the balancer takes silence for a miss.
BALANCER_S = 1.0


def free_port() -> int:
    """Return a TCP port that nobody listens on."""
    return free_ports(1)[0]


class Lines:
    """Collects log lines."""

    def __init__(self) -> None:
        self.text: list[str] = []

    def write(self, text: str) -> int:
        """Take a line."""
        self.text.append(text)
        return len(text)

    def flush(self) -> None:
        """Do nothing."""

    def having(self, *words: str) -> list[str]:
        """Return the lines that hold every one of *words*."""
        return [line for line in self.text if all(word in line for word in words)]


async def refuse_bad(exchange: Exchange, exc: BadHttp) -> None:
    """Answer a malformed request."""
    await exchange.respond(400, exc.detail.encode())


def config(
    version: int, *routes: dict[str, Any], tenants: Iterable[dict[str, Any]] | None = None
) -> dict[str, Any]:
    """Return a configuration with the services that the tests use."""
    return operator.config(version, routes, SERVICES, tenants)


class FakeStore(StandinStore):
    """The metadata store, on a port of its own; entries of servers never lapse by themselves."""

    def __init__(self, history_s: float = 0.0) -> None:
        super().__init__(HOST, free_port(), history_s=history_s)
        self.refused = ""

    async def _dispatch(self, method: str, path: str, query: Any, body: bytes) -> tuple[int, Any]:
        """Answer a call, unless calls to its path are refused."""
        if path == self.refused:
            return 503, {}
        return await super()._dispatch(method, path, query, body)

    @property
    def down(self) -> bool:
        """Whether connections are reset without an answer."""
        return bool(self.faults.down)

    @down.setter
    def down(self, value: bool) -> None:
        self.faults.down = "reset" if value else ""


@dataclass
class Arrival:
    """A request as a replica got it."""

    ident: str
    at: float
    method: str
    target: str
    headers: dict[str, str]
    body: bytes


def lone_desk(name: str, log: Any) -> QuarantineService:
    """Return what keeps requests from servers, at an instance that has nobody to tell."""
    return QuarantineService(
        name=name,
        membership=Membership(name, 0.0),
        messenger=PeerMessenger(address="", peer_addresses=list, log=log),
        log=log,
        metrics=Metrics(prefix="t"),
    )


def lone_backends(log: Any, *servers: Server) -> Backends:
    """Return the connections of an instance that knows these servers."""
    known = ServerList()
    known.apply_list(servers, 0.0, was_unreachable=False)
    return Backends(
        servers=known,
        dialect=PlatformDialect(),
        zone="z1",
        log=log,
        metrics=Metrics(prefix="t"),
        rng=random.Random(1),
    )


class Passes(Authenticator):
    """Lets every request pass."""

    def __init__(self) -> None:
        pass

    def recheck(self, relay: Relay, now: float) -> None:
        """Let it pass."""


PASSES = Passes()


@dataclass(frozen=True)
class LoneLimits:
    """What keeps to servers' limits, at an instance that has nobody to ask."""

    news: LimitUpdates
    permits: Permits


def lone_limits(
    name: str, backends: Backends, log: Any, members: Membership | None = None
) -> LoneLimits:
    """Return what keeps to servers' limits, at an instance that has nobody to ask."""
    members = members or Membership(name, 0.0)
    shared = SharedLimits(name=name, membership=members, incarnation=1, now=0.0)
    notices = PeerMessenger(address="", peer_addresses=list, log=log)
    news = LimitUpdates(shared_limits=shared, backends=backends, messenger=notices, log=log)
    permits = Permits(
        name=name,
        shared_limits=shared,
        limit_updates=news,
        membership=members,
        backends=backends,
        messenger=notices,
        log=log,
        metrics=Metrics(prefix="t"),
    )
    return LoneLimits(news, permits)


Behave = Callable[["FakeReplica", Exchange], Awaitable[None]]


async def sealed(replica: FakeReplica, exchange: Exchange) -> None:
    """Run the request and answer it whole."""
    await exchange.respond_with_fields(
        200, replica.head(exchange), b"whole:" + replica.ident.encode()
    )


def events(first: int, last: int) -> bytes:
    """Return events *first* to *last* of a stream."""
    return b"".join(b"id: %d\ndata: x\n\n" % number for number in range(first, last + 1))


async def stream(replica: FakeReplica, exchange: Exchange) -> None:
    """Answer with five events, from the one after Last-Event-Id."""
    begin = int(exchange.req.headers.get("last-event-id", "0")) + 1
    await exchange.start_with_fields(200, replica.head(exchange))
    await exchange.write(events(begin, 5))
    await exchange.finish()


async def crash(replica: FakeReplica, exchange: Exchange) -> None:
    """End the server's process: its connections close and nobody listens at its address."""
    await replica.crash()


@dataclass
class FakeReplica:
    """One replica.

    Attributes:
        store: where its entry lies.
        ident: its id.
        service: what it serves.
        phase: prefill, decode or empty.
        behave: what it does with a request that it runs.
        room: reservations that it grants.
        busy: whether it follows an order.
        dark: whether it answers no side call.
        report_s: seconds that it takes to report its state.
        crashes_on_reading: body of the request whose prompt ends the process.
        limit: what it names as the requests a second that it takes; None for nothing.
        leaving: whether it says in its answers that it leaves.
        read: what it does with a prompt to read, where that is not the usual.
        back_s: seconds after a crash until it is back, as a new server at the same address;
            infinite for never.
    """

    store: FakeStore
    ident: str
    service: str
    phase: str = ""
    behave: Behave = sealed
    room: int = 100
    port: int = field(default_factory=free_port)
    arrivals: list[Arrival] = field(default_factory=list)
    side_calls: list[str] = field(default_factory=list)
    orders: list[dict[str, Any]] = field(default_factory=list)
    read_s: float = 0.0
    order_status: int = 202
    refuses_to_read: bool = False
    busy: bool = False
    dark: bool = False
    report_s: float = 0.0
    beat: int = 1
    models: tuple[str, ...] = ()
    born: int | None = None
    limit: str | None = None
    leaving: bool = False
    read: Behave | None = None
    crashes_on_reading: bytes | None = None
    back_s: float = math.inf
    lives: int = 1
    crashed: curio.Event = field(default_factory=curio.Event)

    async def enter(self, state: str = "ready", **other: Any) -> None:
        """Write its entry; *other* stands for fields that another writer gives other values."""
        self.beat += 1
        entry: dict[str, Any] = {
            "service": self.service,
            "address": f"{HOST}:{self.port}",
            "zone": "z1",
            "version": "v1",
            "slots": 64,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": self.beat,
        }
        if self.born is not None:
            entry["born"] = self.born
        if self.phase:
            entry["phase"] = self.phase
            entry["models"] = [{"name": name, "version": 1, "adapters": []} for name in self.models]
        entry.update(other)
        await self.store.put(f"servers/{self.ident}", entry)

    async def run(self) -> None:
        """Serve until cancelled, one life after the other."""
        while True:
            await run_until_first_ends(self._serve, self.crashed.wait)
            if math.isinf(self.back_s):
                await curio.Event().wait()
            await curio.sleep(self.back_s)
            await self._begin_life()

    async def _serve(self) -> None:
        await serve_http(
            HOST, self.port, self._handle, on_malformed=refuse_bad, log=get_log(program="r")
        )

    async def _begin_life(self) -> None:
        """Take a new identity; the entry of the last life has gone with it."""
        await self.store.remove(f"servers/{self.ident}")
        self.lives += 1
        self.ident = f"{self.ident.partition('+')[0]}+{self.lives}"
        self.crashed = curio.Event()
        await self.enter()

    async def crash(self) -> None:
        """End the process."""
        await self.crashed.set()
        await curio.Event().wait()

    def head(self, exchange: Exchange) -> list[tuple[str, str]]:
        """Return the header fields of an answer to a request that was run."""
        ident = exchange.req.headers["x-request-id"]
        return [("x-request-id", ident), (SEAL, f"seal-{self.ident}"), *self.named]

    @property
    def named(self) -> list[tuple[str, str]]:
        """The header fields in which it names its limit and that it leaves, if it does."""
        limit = [] if self.limit is None else [("server-limit", self.limit)]
        return [*limit, ("server-leaving", "1")] if self.leaving else limit

    @property
    def ran(self) -> list[str]:
        """Identities of the requests that it was sent to run."""
        return [arrival.ident for arrival in self.arrivals if "x-stage" not in arrival.headers]

    async def _handle(self, exchange: Exchange) -> None:
        req = exchange.req
        if req.path.startswith("/v1/"):
            await self._side(exchange)
            return
        self.arrivals.append(
            Arrival(
                req.headers.get("x-request-id", ""),
                await curio.clock(),
                req.method,
                req.target,
                dict(req.headers),
                req.body,
            )
        )
        if req.headers.get("x-expect-instance") != self.ident:
            await exchange.respond_with_fields(421, [("x-instance-id", self.ident)], b"")
        elif "x-stage" in req.headers and self.read is not None:
            await self.read(self, exchange)
        elif "x-stage" in req.headers and self.refuses_to_read:
            ident = ("x-request-id", req.headers["x-request-id"])
            await exchange.respond_with_fields(503, [ident, ("x-not-executed", "1")], b"")
        elif "x-stage" in req.headers and self.crashes_on_reading == req.body:
            await self.crash()
        elif "x-stage" in req.headers:
            await curio.sleep(self.read_s)
            handle = f"h{len(self.arrivals)}"
            body = json.dumps({"kv_handle": handle, "tokens": 1, "version": 1}).encode()
            ident = ("x-request-id", req.headers["x-request-id"])
            await exchange.respond_with_fields(200, [ident, *self.named], body)
        else:
            await self.behave(self, exchange)

    async def _side(self, exchange: Exchange) -> None:
        if self.dark:
            await exchange.wait_for_disconnect()
        self.side_calls.append(f"{exchange.req.method} {exchange.req.path}")
        if exchange.req.path == "/v1/hold-take":
            if self.room <= 0:
                await exchange.respond(503, b"{}")
                return
            self.room -= 1
            await exchange.respond(200, json.dumps({"hold": f"hold{self.room}"}).encode())
        elif exchange.req.path == "/v1/report":
            await curio.sleep(self.report_s)
            report = {"phase": self.phase, "sequence": len(self.orders), "busy": self.busy}
            await exchange.respond(200, json.dumps(report).encode())
        elif exchange.req.path == "/v1/order":
            self.orders.append(json.loads(exchange.req.body))
            if not self.order_status:
                raise HttpClosed("the answer is lost")
            await exchange.respond(self.order_status, b"{}")
        else:
            await exchange.respond(200, b"{}")


class World:
    """A store, replicas and a gateway, or several, in the test's kernel.

    Args:
        history_s: seconds for which the store remembers changes; 0 for ever.
        tenants: client accounts of the first configuration.
        name: of the gateway.
        settings: of the gateway, where they are not the usual ones.
    """

    def __init__(
        self,
        history_s: float = 0.0,
        tenants: Iterable[dict[str, Any]] | None = None,
        name: str = "g",
        **settings: Any,
    ) -> None:
        self.name = name
        self._tenants = tenants
        self._settings = settings
        self.store = FakeStore(history_s)
        self.replicas: list[FakeReplica] = []
        self.lines = Lines()
        self.port = free_port()
        self.ready_port = free_port()
        self.peer_port = free_port()
        self.stopping = curio.Event()
        self.ended = False
        self.others: list[World] = []
        self._killed = curio.Event()
        self._client = HttpClient(HOST, self.port)

    def add(self, ident: str, service: str, phase: str = "", **more: Any) -> FakeReplica:
        """Add a replica; call before :meth:`play`."""
        replica = FakeReplica(self.store, ident, service, phase, **more)
        self.replicas.append(replica)
        return replica

    def beside(self, name: str) -> World:
        """Add a gateway at the same store; call before :meth:`play`."""
        other = World(name=name, **self._settings)
        other.store = self.store
        self.others.append(other)
        return other

    async def play(self, story: Callable[[], Awaitable[None]], *routes: dict[str, Any]) -> None:
        """Start everything, wait until the gateway is ready, run *story*."""
        if routes:
            await self.store.put("op/config", config(1, *routes, tenants=self._tenants))
        for replica in self.replicas:
            await replica.enter()

        async def told() -> None:
            for world in gateways if routes else ():
                while await world.readiness() != 200:
                    await curio.sleep(0.05)
            await story()

        gateways = [self, *self.others]
        replicas = (replica.run for replica in self.replicas)
        await run_until_first_ends(
            self.store.run, *replicas, *(each.lives for each in gateways), told
        )

    async def lives(self) -> None:
        """Run the gateway, and again whenever it was killed."""
        while True:
            await run_until_first_ends(self.gateway, self._killed.wait)
            self._killed = curio.Event()

    async def kill(self) -> None:
        """End the gateway's process without notice; it starts again at once."""
        await self._killed.set()
        while await self.readiness() != 200:
            await curio.sleep(0.05)

    async def gateway(self) -> None:
        """Run the gateway; it goes on until the story ends, also after it has stopped."""
        settings = GatewaySettings(
            name=self.name,
            zone="z1",
            listen=f"{HOST}:{self.port}",
            ready=f"{HOST}:{self.ready_port}",
            source=f"{HOST}:{self.store.port}",
            drain_s=8.0,
            peer=f"{HOST}:{self.peer_port}",
            **self._settings,
        )
        log = get_log(program="gateway", stream=self.lines)

        def make(settings: GatewaySettings, log: Any) -> Platform:
            store = StoreClient(*split_host_port(settings.source))
            office = PlatformOrderLeaseStore(store, settings.order_lease_s)
            board = PlatformInstanceRegistry(store, 45.0, log)
            return Platform(PlatformDialect(), PlatformDiscoverySource(store, log), office, board)

        await serve(settings, log, self.stopping, make_platform=make)
        self.ended = True
        await curio.Event().wait()

    async def readiness(self) -> int:
        """Return what the balancer is told; 0 for nothing in its time."""
        client = HttpClient(HOST, self.ready_port)
        try:
            answer = await curio.timeout_after(BALANCER_S, client.call, "GET", "/readyz")
        except (HttpClosed, curio.TaskTimeout):
            return 0
        return int(answer.status)

    async def open(
        self,
        ident: str,
        path: str,
        *,
        method: str = "POST",
        body: bytes = b"b",
        fresh: bool = False,
        **more: str,
    ) -> ClientStream:
        """Send a request as a client does; names of more headers are written with underscores.

        Args:
            ident: identity of the attempt.
            path: path and query.
            method: HTTP method.
            body: the whole body.
            fresh: use a new connection.
            more: header fields.
        """
        extra = {name.replace("_", "-"): value for name, value in more.items()}
        headers = {"host": "h.example", "x-request-id": ident, "x-deadline-ms": "4000", **extra}
        return await self._client.open(
            method, path, headers=headers, body=body, new_connection=fresh
        )

    async def call(self, ident: str, path: str, **more: Any) -> tuple[int, dict[str, str], bytes]:
        """Send a request and return status, headers and body of its answer."""
        answer = await self.open(ident, path, **more)
        body = await answer.read_all()
        await answer.close()
        return answer.status, dict(answer.headers), body
