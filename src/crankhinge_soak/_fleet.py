"""The programs under test and what surrounds them: store, backend servers, paths, settings."""

from __future__ import annotations

import json
import socket
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import curio
import msgspec

from crankhinge.errors import BadHttp, HttpClosed
from crankhinge.http import HttpClient
from crankhinge_bench._procs import HOST, Procs, free_ports
from crankhinge_soak._proxy import Proxy
from crankhinge_soak._skewed import CLOCK
from crankhinge_standins import operator

GATEWAYS = 3
# Backend servers: service, phase, how many.
SERVERS = (("plain-a", "", 2), ("plain-b", "", 2), ("llm", "prefill", 2), ("llm", "decode", 3))
BEAT_S = 0.4
DRAIN_S = 8
# Seconds for which the store remembers changes; the users' remembers 20.
HISTORY_S = 6.0
# What the last instance's path to the store carries, in bytes a second (5 Mbit/s), and the routes
# that make a configuration large: 0.83 MB as the store gives it, so 1.33 s on that path. One that
# comes while another is read is in force after two reads: 2.7 s of the 3 s that are allowed.
THIN_B_S = 625_000
LARGE_ROUTES = 2770
CALL_S = 2.0
# The routes that callers use: path, kind, most servers, whether it may be resumed.
ONCE, SAFE, STREAM, RESUMED = "/once/", "/safe/", "/stream/", "/resumed/"
ROUTES = (
    (ONCE, "unsafe", 1, False),
    (SAFE, "safe", 2, False),
    (STREAM, "streaming", 1, False),
    (RESUMED, "streaming", 2, True),
)
STREAMS = (STREAM, RESUMED)
# The others, which tell which version is in force, are asked for without a key.
KEYED = (ONCE, SAFE, STREAM, RESUMED)
TIMEOUT_S = 6.0
# The client accounts: one without a limit, whose keys are taken away, and one that asks for more
# than it may. Seconds after which a key that was taken away runs nothing; what the limit allows.
FREE, LIMITED = "free", "limited"
REVOKE_S = 5.0
PER_S, BURST, PLAIN_TOKENS = 1000, 3000, 200
QUOTA_WINDOW_S, QUOTA_OVERRUN, QUOTA_SLACK = 8, 0.1, 4000
ENGINE = operator.engine(slots=8, kv_tokens=12000)


def version_path(version: int) -> str:
    """Return the path that only configurations from *version* on have a route for."""
    return f"/from-{version}/"


@dataclass
class Gateway:
    """One instance under test.

    Attributes:
        name: of its process.
        port: where it listens for callers.
        ready_port: where it tells whether it is ready.
        peer_port: where it takes notices (UDP).
        front: the callers' path to it.
        store: its path to the store.
        life: counts its starts.
    """

    name: str
    port: int
    ready_port: int
    peer_port: int
    front: Proxy
    store: Proxy
    life: int = 0


@dataclass
class Place:
    """Where a backend server runs, one life after the other.

    Attributes:
        name: of its process.
        service: what it serves.
        phase: the part that it plays at its start.
        port: where it listens.
        path: the gateways' and other servers' path to it.
    """

    name: str
    service: str
    phase: str
    port: int
    path: Proxy


@dataclass
class Fleet(Procs):
    """Everything that runs.

    Args:
        logs: directory for the programs' logs; a temporary one by default.
    """

    logs_at: Path | None = None
    version: int = 0
    more_routes: int = 0
    plain: str = "plain-a"
    acknowledged: list[tuple[float, int, str]] = field(default_factory=list)
    keys: list[str] = field(default_factory=lambda: ["key-1"])
    revoked: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        super().__init__(self.logs_at)
        ports = iter(free_ports(1 + 5 * GATEWAYS + 2 * sum(row[2] for row in SERVERS)))
        self.store_port = next(ports)
        self.gateways = []
        for number in range(GATEWAYS):
            port, ready, peer = next(ports), next(ports), next(ports)
            front = Proxy(next(ports), port)
            thin = THIN_B_S if number == GATEWAYS - 1 else 0
            store = Proxy(next(ports), self.store_port, thin)
            self.gateways.append(Gateway(f"gateway-{number}", port, ready, peer, front, store))
        self.places = []
        for service, phase, count in SERVERS:
            for number in range(count):
                port = next(ports)
                name = f"{service}-{phase or 'one'}-{number}"
                self.places.append(Place(name, service, phase, port, Proxy(next(ports), port)))

    def proxies(self) -> list[Proxy]:
        """Return the proxy of every path."""
        paths = [place.path for place in self.places]
        return paths + [proxy for gw in self.gateways for proxy in (gw.front, gw.store)]

    def start(self) -> None:
        """Start the store and everything else."""
        self.run("store", "crankhinge_standins.main", "store", "--port", str(self.store_port),
                 "--beat-s", str(BEAT_S), "--history-s", str(HISTORY_S))  # fmt: skip
        self.wait_for_ports([self.store_port])
        for place in self.places:
            self.start_server(place)
        for gateway in self.gateways:
            self.start_gateway(gateway)

    def start_server(self, place: Place, *, silent_leave: bool = False) -> None:
        """Start a new life of a backend server."""
        args = ["replica", "--port", str(place.port), "--shown", f"{HOST}:{place.path.port}"]
        args += ["--service", place.service, "--phase", place.phase, "--beat-s", str(BEAT_S)]
        args += ["--store", f"{HOST}:{self.store_port}", "--record", str(self.record)]
        args += ["--place", place.name]
        args += ["--silent-leave"] if silent_leave else []
        self.run(place.name, "crankhinge_standins.main", *args)

    def ended(self) -> list[str]:
        """Return the names of instances that have ended though nobody ended them."""
        procs = {gw.name: self.procs.get(gw.name) for gw in self.gateways}
        return [name for name, proc in procs.items() if proc and proc.poll() is not None]

    def listens(self, gateway: Gateway) -> bool:
        """Whether an instance has started."""
        try:
            socket.create_connection((HOST, gateway.ready_port), timeout=CALL_S).close()
        except OSError:
            return False
        return True

    def start_gateway(self, gateway: Gateway) -> None:
        """Start a new life of an instance."""
        gateway.life += 1
        path = self.write_settings(gateway)
        env = {"CRANKHINGE_CONFIG": str(path), CLOCK: str(self.clock_of(gateway))}
        self.run(gateway.name, "crankhinge_soak._skewed", env=env)

    def write_settings(self, gateway: Gateway, text: str = "") -> Path:
        """Write an instance's settings, or *text* in their place."""
        lines = (
            f'name = "{gateway.name}"',
            'zone = "z1"',
            f'listen = "{HOST}:{gateway.port}"',
            f'ready = "{HOST}:{gateway.ready_port}"',
            f'peer = "{HOST}:{gateway.peer_port}"',
            f'source = "{HOST}:{gateway.store.port}"',
            f"drain_s = {DRAIN_S}",
            f"revoke_s = {REVOKE_S}",
            f"quota_window_s = {QUOTA_WINDOW_S}",
            f"quota_overrun = {QUOTA_OVERRUN}",
            f"quota_slack = {QUOTA_SLACK}",
        )
        path = self.dir / f"{gateway.name}.toml"
        path.write_text(text or "\n".join(lines))
        return path

    def clock_of(self, gateway: Gateway) -> Path:
        """Return the file with the seconds by which an instance's time of day is off."""
        return self.dir / f"{gateway.name}.clock"

    @property
    def record(self) -> Path:
        """The file in which all backend servers record what they did."""
        return self.dir / "servers.jsonl"

    def records(self) -> list[dict[str, Any]]:
        """Return what backend servers recorded, in order."""
        rows = [json.loads(line) for line in self.record.open()]
        return sorted(rows, key=lambda row: float(row["at"]))

    def resize_config(self) -> None:
        """Make the configurations from now on large, or small again."""
        self.more_routes = 0 if self.more_routes else LARGE_ROUTES

    async def publish(self, *, move: bool = False, revoke: bool = False) -> None:
        """Write the next configuration.

        Args:
            move: plain calls go to the other service.
            revoke: the newest key is taken away and another one takes its place.
        """
        self.version += 1
        gone = self.keys[-1] if revoke else ""
        if revoke:
            self.keys.append(f"key-{self.version}")
        if move:
            self.plain = "plain-b" if self.plain == "plain-a" else "plain-a"
        routes = [_route(path, kind, most, resumed, self._service_of(path))
                  for path, kind, most, resumed in ROUTES]  # fmt: skip
        known = range(1, self.version + 1)
        routes += [_route(version_path(n), "safe", 2, False, self.plain) for n in known]
        routes += [
            _route(f"/more-{n}/", "safe", 2, False, self.plain) for n in range(self.more_routes)
        ]
        services = [operator.service(name) for name in ("plain-a", "plain-b")]
        services.append(operator.service("llm", ENGINE))
        tenants = [
            operator.tenant(FREE, self.keys[-1], plain_tokens=PLAIN_TOKENS),
            operator.tenant(
                LIMITED, LIMITED, plain_tokens=PLAIN_TOKENS, rate_per_s=PER_S, burst=BURST
            ),
        ]
        body = msgspec.json.encode(operator.config(self.version, routes, services, tenants))
        while not await self._put(self.store_port, "/v1/kv-key?private_key=op/config", body):
            await curio.sleep(0.2)
        self.acknowledged.append((time.time(), self.version, self.plain))
        if gone:
            self.revoked[gone] = time.time()

    def _service_of(self, path: str) -> str:
        return "llm" if path in STREAMS else self.plain

    async def faults(self, port: int, **faults: Any) -> bool:
        """Switch faults of a stand-in; returns whether it has heard."""
        return await self._put(port, "/faults", msgspec.json.encode(faults))

    async def _put(self, port: int, target: str, body: bytes) -> bool:
        client = HttpClient(HOST, port)
        try:
            resp = await curio.timeout_after(
                CALL_S, lambda: client.call("PUT", target, body=body, new_connection=True)
            )
        except (HttpClosed, BadHttp, curio.TaskTimeout):
            # A stand-in that was just killed, or a store that is down; the caller decides.
            return False
        finally:
            await client.close()
        return bool(resp.status == 200)


def _route(path: str, kind: str, most: int, resumed: bool, service: str) -> dict[str, Any]:
    return operator.route(
        path.strip("/"),
        path,
        kind,
        service,
        timeout_ms=TIMEOUT_S * 1000,
        max_attempts=most,
        resumable=resumed,
        sticky=kind == "streaming",
        anonymous=path not in KEYED,
    )
