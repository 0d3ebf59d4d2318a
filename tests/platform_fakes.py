"""A store and replicas of the users' platform, each with faults that a test switches on.

They speak the platform's messages over loopback and run in the test's own kernel, under its clock.
"""

from __future__ import annotations

import base64
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

import curio

from crankhinge.errors import BadHttp, HttpClosed
from crankhinge.gateway import GatewaySettings, Platform, serve
from crankhinge.http import ClientStream, Exchange, HttpClient, HttpLimits, serve_http
from crankhinge.runtime import get_log, until_first
from crankhinge_bench._cluster import free_ports
from crankhinge_platform.dialect import PlatformDialect
from crankhinge_platform.source import PlatformSource
from crankhinge_platform.store import StoreClient
from crankhinge_platform.tenure import PlatformTenureOffice

HOST = "127.0.0.1"
SEAL = "x-server-seal"
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 65536,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}
ENGINE = {
    "slots": 64,
    "kv_tokens": 10000,
    "stride": 10,
    "handle_ttl_s": 0.5,
    "hold_ms": 2000.0,
}


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


def route(name: str, prefix: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Return a route as the operator writes it."""
    base = {
        "name": name,
        "host": "h.example",
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 4000,
        "target_latency_ms": 900,
        "priority": 1,
        "service": service,
        "max_attempts": 1,
    }
    return {**base, **more}


def config(version: int, *routes: dict[str, Any]) -> dict[str, Any]:
    """Return a configuration with the services that the tests use."""
    services = [
        {"name": "plain", "max_connections": 100},
        {"name": "llm", "max_connections": 100, "engine": ENGINE},
    ]
    return {"version": version, "routes": list(routes), "services": services, "limits": LIMITS}


class FakeStore:
    """The metadata store."""

    def __init__(self) -> None:
        self.port = free_port()
        self.revision = 10
        self.items: dict[str, dict[str, Any]] = {}
        self.changes: list[dict[str, Any]] = []
        self.calls: list[str] = []
        self.down = False
        self.oldest = 0
        self.waiting = 0
        self._changed = curio.Event()

    async def put(self, key: str, value: Any, lease: int = 0) -> None:
        """Write an item as the operator or a replica does."""
        self.revision += 1
        data = base64.b64encode(json.dumps(value).encode()).decode()
        item = {"private_key": key, "value": data, "revision": self.revision, "lease": lease}
        self.items[key] = item
        await self._note(item)

    async def remove(self, key: str) -> None:
        """End an item."""
        self.revision += 1
        self.items.pop(key, None)
        await self._note({"private_key": key, "revision": self.revision, "gone": True})

    async def _note(self, change: dict[str, Any]) -> None:
        self.changes.append(change)
        await self._changed.set()
        self._changed = curio.Event()

    def forget_history(self) -> None:
        """Drop what changed so far."""
        self.oldest = self.revision

    async def run(self) -> None:
        """Serve until cancelled."""
        limits = HttpLimits(idle_s=3600.0)
        await serve_http(
            HOST,
            self.port,
            self._handle,
            on_bad=refuse_bad,
            log=get_log(program="s"),
            limits=limits,
        )

    async def _handle(self, exchange: Exchange) -> None:
        url = urlsplit(exchange.req.target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        self.calls.append(url.path)
        if self.down:
            raise HttpClosed("down")
        status, body = await self._answer(url.path, query, exchange.req.body)
        if self.down:
            raise HttpClosed("down")
        await exchange.respond(status, json.dumps(body).encode())

    async def _answer(self, path: str, query: dict[str, str], body: bytes) -> tuple[int, Any]:
        if path == "/v1/kv-key":
            item = self.items.get(query["private_key"])
            return (200, {**item, "at": self.revision}) if item else (404, {})
        if path == "/v1/kv-range":
            prefix = query["path_prefix"]
            items = [item for key, item in sorted(self.items.items()) if key.startswith(prefix)]
            return 200, {"items": items, "more": False, "at": self.revision}
        if path == "/v1/kv-watch":
            return await self._watch(query)
        if path == "/v1/kv-lease":
            return 200, {"lease": 7, "ttl_ms": 3000}
        if path.startswith("/v1/kv-keep/"):
            return 200, {"ttl_ms": 3000}
        if path == "/v1/kv-txn":
            return await self._txn(json.loads(body))
        return 404, {}

    async def _watch(self, query: dict[str, str]) -> tuple[int, Any]:
        after, prefix = int(query["after"]), query["path_prefix"]
        until = await curio.clock() + int(query["wait_ms"]) / 1000
        self.waiting += 1
        try:
            while True:
                if after < self.oldest:
                    return 410, {}
                seen = [
                    change
                    for change in self.changes
                    if change["revision"] > after and change["private_key"].startswith(prefix)
                ]
                left = until - await curio.clock()
                if seen or left <= 0:
                    return 200, {"events": seen, "at": self.revision}
                await curio.ignore_after(left, self._changed.wait)
        finally:
            self.waiting -= 1

    async def _txn(self, txn: dict[str, Any]) -> tuple[int, Any]:
        for row in txn["expected_revision"]:
            held = self.items.get(row["private_key"], {"revision": 0})
            if held["revision"] != row["revision"]:
                return 412, {"items": [held]}
        for row in txn["put"]:
            value = base64.b64decode(row["value"]).decode()
            await self.put(row["private_key"], value, row["lease"])
        return 200, {"revision": self.revision}


@dataclass
class Arrival:
    """A request as a replica got it."""

    ident: str
    at: float
    method: str
    target: str
    headers: dict[str, str]
    body: bytes


Behave = Callable[["FakeReplica", Exchange], Awaitable[None]]


async def sealed(replica: FakeReplica, exchange: Exchange) -> None:
    """Run the request and answer it whole."""
    await exchange.respond_as_is(200, replica.head(exchange), b"whole:" + replica.ident.encode())


def events(first: int, last: int) -> bytes:
    """Return events *first* to *last* of a stream."""
    return b"".join(b"id: %d\ndata: x\n\n" % number for number in range(first, last + 1))


async def stream(replica: FakeReplica, exchange: Exchange) -> None:
    """Answer with five events, from the one after Last-Event-Id."""
    begin = int(exchange.req.headers.get("last-event-id", "0")) + 1
    await exchange.start_as_is(200, replica.head(exchange))
    await exchange.write(events(begin, 5))
    await exchange.finish()


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
    beat: int = 1
    models: tuple[str, ...] = ()

    async def enter(self, state: str = "ready") -> None:
        """Write its entry."""
        self.beat += 1
        entry: dict[str, Any] = {
            "service": self.service,
            "address": f"{HOST}:{self.port}",
            "zone": "z1",
            "slots": 64,
            "state": state,
            "sequence": self.beat,
        }
        if self.phase:
            entry["phase"] = self.phase
            entry["models"] = [{"name": name, "version": 1, "adapters": []} for name in self.models]
        await self.store.put(f"servers/{self.ident}", entry)

    async def run(self) -> None:
        """Serve until cancelled."""
        await serve_http(HOST, self.port, self._handle, on_bad=refuse_bad, log=get_log(program="r"))

    def head(self, exchange: Exchange) -> list[tuple[str, str]]:
        """Return the header fields of an answer to a request that was run."""
        ident = exchange.req.headers["x-request-id"]
        return [("x-request-id", ident), (SEAL, f"seal-{self.ident}")]

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
            await exchange.respond_as_is(421, [("x-instance-id", self.ident)], b"")
        elif "x-stage" in req.headers and self.refuses_to_read:
            ident = ("x-request-id", req.headers["x-request-id"])
            await exchange.respond_as_is(503, [ident, ("x-not-executed", "1")], b"")
        elif "x-stage" in req.headers:
            await curio.sleep(self.read_s)
            handle = f"h{len(self.arrivals)}"
            body = json.dumps({"kv_handle": handle, "tokens": 1, "version": 1}).encode()
            await exchange.respond_as_is(200, [("x-request-id", req.headers["x-request-id"])], body)
        else:
            await self.behave(self, exchange)

    async def _side(self, exchange: Exchange) -> None:
        self.side_calls.append(f"{exchange.req.method} {exchange.req.path}")
        if exchange.req.path == "/v1/hold-take":
            if self.room <= 0:
                await exchange.respond(503, b"{}")
                return
            self.room -= 1
            await exchange.respond(200, json.dumps({"hold": f"hold{self.room}"}).encode())
        elif exchange.req.path == "/v1/report":
            report = {"phase": self.phase, "sequence": len(self.orders), "busy": False}
            await exchange.respond(200, json.dumps(report).encode())
        elif exchange.req.path == "/v1/order":
            self.orders.append(json.loads(exchange.req.body))
            if not self.order_status:
                raise HttpClosed("the answer is lost")
            await exchange.respond(self.order_status, b"{}")
        else:
            await exchange.respond(200, b"{}")


class World:
    """A store, replicas and one gateway, in the test's kernel."""

    def __init__(self) -> None:
        self.store = FakeStore()
        self.replicas: list[FakeReplica] = []
        self.lines = Lines()
        self.port = free_port()
        self.ready_port = free_port()
        self.stopping = curio.Event()
        self.ended = False
        self._client = HttpClient(HOST, self.port)

    def add(self, ident: str, service: str, phase: str = "", **more: Any) -> FakeReplica:
        """Add a replica; call before :meth:`play`."""
        replica = FakeReplica(self.store, ident, service, phase, **more)
        self.replicas.append(replica)
        return replica

    async def play(self, story: Callable[[], Awaitable[None]], *routes: dict[str, Any]) -> None:
        """Start everything, wait until the gateway is ready, run *story*."""
        if routes:
            await self.store.put("op/config", config(1, *routes))
        for replica in self.replicas:
            await replica.enter()

        async def told() -> None:
            while routes and await self.readiness() != 200:
                await curio.sleep(0.05)
            await story()

        await until_first(
            self.store.run, *(replica.run for replica in self.replicas), self.gateway, told
        )

    async def gateway(self) -> None:
        """Run the gateway; it goes on until the story ends, also after it has stopped."""
        settings = GatewaySettings(
            name="g",
            zone="z1",
            listen=f"{HOST}:{self.port}",
            ready=f"{HOST}:{self.ready_port}",
            source=f"{HOST}:{self.store.port}",
            drain_s=8.0,
        )
        log = get_log(program="gateway", stream=self.lines)

        def make(host: str, port: int, log: Any) -> Platform:
            store = StoreClient(host, port)
            office = PlatformTenureOffice(store, 3.0)
            return Platform(PlatformDialect(), PlatformSource(store, log), office)

        await serve(settings, log, self.stopping, make_platform=make)
        self.ended = True
        await curio.Event().wait()

    async def readiness(self) -> int:
        """Return what the balancer is told."""
        try:
            return (await HttpClient(HOST, self.ready_port).call("GET", "/readyz")).status
        except HttpClosed:
            return 0

    async def open(
        self, ident: str, path: str, *, method: str = "POST", body: bytes = b"b", **more: str
    ) -> ClientStream:
        """Send a request as a client does; names of more headers are written with underscores."""
        extra = {name.replace("_", "-"): value for name, value in more.items()}
        headers = {"host": "h.example", "x-request-id": ident, "x-deadline-ms": "4000", **extra}
        return await self._client.open(method, path, headers=headers, body=body)

    async def call(self, ident: str, path: str, **more: Any) -> tuple[int, dict[str, str], bytes]:
        """Send a request and return status, headers and body of its answer."""
        answer = await self.open(ident, path, **more)
        body = await answer.read_all()
        await answer.close()
        return answer.status, dict(answer.headers), body
