"""Runs the gateways under test, and the store, backend servers and network paths around them."""

from __future__ import annotations

import json
import secrets
import socket
import time
from collections import Counter
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

GATEWAY_COUNT = 3
# Backend servers: service, initial engine role, number of servers.
SERVER_GROUPS = (
    ("plain-a", "", 2),
    ("plain-b", "", 2),
    ("llm", "prefill", 2),
    ("llm", "decode", 4),
)
# Software versions of servers. Without rollouts, those of a group have the first two in turn, and a
# server may start with the other one after a planned stop. A rollout replaces all servers of a
# service by those of the next version; after the last one comes the first.
SERVER_VERSIONS = ("v1", "v2", "v3")
MIXED_VERSIONS = SERVER_VERSIONS[:2]
# The service whose servers are replaced by rollouts.
ROLLED_SERVICE = "llm"
# Seconds between two events of a stream when all instances may be lost: streams take 0.6 to 2.9 s,
# so that many have been in progress for longer than the journal of origins is behind.
LONG_EVENT_INTERVAL_S = 0.12
# Seconds between two heartbeats of a backend server.
HEARTBEAT_S = 0.4
# Maximum number of seconds for which a gateway drains after SIGTERM.
DRAIN_S = 8
# Memory limit of each instance in MB, that of the smallest instances of most deployments.
GATEWAY_MEMORY_MB = 128
# Seconds for which the store remembers changes; the store of the users' platform remembers 20.
STORE_HISTORY_S = 6.0
# The path from the store to the last instance carries this many bytes a second (5 Mbit/s). The
# extra routes make a configuration large: 0.83 MB as the store sends it, which takes 1.33 s on that
# path. A configuration that is published while the previous one is read becomes active after two
# reads: 2.7 s of the 3 s that are allowed.
SLOW_PATH_BYTES_PER_S = 625_000
LARGE_CONFIG_EXTRA_ROUTES = 2770
CALL_TIMEOUT_S = 2.0
# The routes that callers use: path, kind, maximum number of servers that one request may run on,
# and whether its stream may be resumed.
ONCE_PATH, SAFE_PATH, STREAM_PATH, RESUMED_PATH = "/once/", "/safe/", "/stream/", "/resumed/"
ROUTES = (
    (ONCE_PATH, "unsafe", 1, False),
    (SAFE_PATH, "safe", 2, False),
    (STREAM_PATH, "streaming", 1, False),
    (RESUMED_PATH, "streaming", 2, True),
)
STREAM_PATHS = (STREAM_PATH, RESUMED_PATH)
# The other routes show which version is active; probes request them without a key.
KEYED_PATHS = (ONCE_PATH, SAFE_PATH, STREAM_PATH, RESUMED_PATH)
ROUTE_TIMEOUT_S = 6.0
# The client accounts: one without a limit, whose keys are revoked, and one that requests more than
# its limit allows.
UNLIMITED_ACCOUNT, LIMITED_ACCOUNT = "free", "limited"
# Seconds after its revocation from which no request with a key may run.
REVOKE_S = 5.0
# Rate and burst of the limited account, and the tokens that a plain request counts.
LIMIT_TOKENS_PER_S, LIMIT_BURST_TOKENS, PLAIN_REQUEST_TOKENS = 1000, 3000, 200
# How far the use of the account may exceed the limit in any window of QUOTA_WINDOW_S seconds: by a
# share of rate and burst, plus a number of tokens.
QUOTA_WINDOW_S, QUOTA_OVERRUN_SHARE, QUOTA_SLACK_TOKENS = 8, 0.1, 4000
ENGINE_CAPACITY = operator.engine_capacity(slots=8, kv_tokens=9000, moves=True)


def version_path(version: int) -> str:
    """Return the path that only configurations from *version* on have a route for."""
    return f"/from-{version}/"


@dataclass
class Gateway:
    """One instance under test, that is, a gateway process.

    Attributes:
        name: name of the process.
        port: port for callers.
        ready_port: port of the readiness endpoint.
        peer_port: port for peer messages (UDP).
        caller_proxy: path from callers to the instance.
        store_proxy: path from the instance to the store.
        incarnation: number of starts.
        identity: name under which its next incarnation knows itself.
    """

    name: str
    port: int
    ready_port: int
    peer_port: int
    caller_proxy: Proxy
    store_proxy: Proxy
    identity: str
    incarnation: int = 0


@dataclass
class Place:
    """A name and address at which incarnations of a backend server run one after another.

    Attributes:
        name: name of the process.
        service: name of the service.
        role: engine role of each incarnation at its start; empty for a plain service.
        port: port of the server.
        proxy: path to the server from gateways and other servers.
        version: software version of the next incarnation.
        ident: id of the last incarnation.
    """

    name: str
    service: str
    role: str
    port: int
    proxy: Proxy
    version: str
    ident: str = ""


@dataclass
class Fleet(Procs):
    """All processes and network paths of a run.

    Attributes:
        logs_at: directory for the programs' logs; a temporary one by default.
        gateway_count: number of instances.
        scale: factor on the number of servers.
        has_one_version: whether all servers have one version but for rollouts, and their streams
            are long.
        version: newest configuration version.
        extra_routes: number of routes that only make the configuration large.
        plain_service: service that plain calls go to.
        acknowledged: for each configuration, the time at which the store confirmed its write, its
            version, and the service that plain calls go to.
        keys: keys of the account without a limit; all but the last are revoked.
        revoked: wall clock at which each key was revoked.
        crash_part: part of prompts on which engines crash, which callers send now; empty for none.
    """

    logs_at: Path | None = None
    gateway_count: int = GATEWAY_COUNT
    scale: int = 1
    has_one_version: bool = False
    version: int = 0
    extra_routes: int = 0
    plain_service: str = "plain-a"
    acknowledged: list[tuple[float, int, str]] = field(default_factory=list)
    keys: list[str] = field(default_factory=lambda: ["key-1"])
    revoked: dict[str, float] = field(default_factory=dict)
    crash_part: str = ""

    def __post_init__(self) -> None:
        super().__init__(self.logs_at)
        server_count = self.scale * sum(count for _, _, count in SERVER_GROUPS)
        ports = iter(free_ports(1 + 5 * self.gateway_count + 2 * server_count))
        self.store_port = next(ports)
        self.gateways = []
        for number in range(self.gateway_count):
            port, ready, peer = next(ports), next(ports), next(ports)
            caller_proxy = Proxy(next(ports), port)
            bytes_per_s = SLOW_PATH_BYTES_PER_S if number == self.gateway_count - 1 else 0
            store_proxy = Proxy(next(ports), self.store_port, bytes_per_s)
            name = f"gateway-{number}"
            self.gateways.append(
                Gateway(name, port, ready, peer, caller_proxy, store_proxy, identity=name)
            )
        self.places = []
        for service, role, count in SERVER_GROUPS:
            for number in range(count * self.scale):
                port = next(ports)
                name = f"{service}-{role or 'one'}-{number}"
                versions = MIXED_VERSIONS[:1] if self.has_one_version else MIXED_VERSIONS
                version = versions[number % len(versions)]
                proxy = Proxy(next(ports), port)
                self.places.append(Place(name, service, role, port, proxy, version))

    def proxies(self) -> list[Proxy]:
        """Return the proxies of all paths."""
        paths = [place.proxy for place in self.places]
        return paths + [
            proxy for gw in self.gateways for proxy in (gw.caller_proxy, gw.store_proxy)
        ]

    def start(self) -> None:
        """Start the store, the backend servers and the gateways."""
        args = ["store", "--port", str(self.store_port), "--beat-s", str(HEARTBEAT_S)]
        args += ["--history-s", str(STORE_HISTORY_S), "--era", "1"]
        self.run("store", "crankhinge_standins.main", *args)
        self.wait_for_ports([self.store_port])
        for place in self.places:
            self.start_server(place)
        for gateway in self.gateways:
            self.start_gateway(gateway)

    def start_server(
        self, place: Place, *, silent_leave: bool = False, keeps_ident: bool = False
    ) -> None:
        """Start a new incarnation of a backend server."""
        if not keeps_ident:
            place.ident = f"i-{secrets.token_hex(4)}"
        args = ["replica", "--port", str(place.port), "--shown", f"{HOST}:{place.proxy.port}"]
        args += ["--service", place.service, "--phase", place.role, "--beat-s", str(HEARTBEAT_S)]
        args += ["--store", f"{HOST}:{self.store_port}", "--record", str(self.record_file)]
        args += ["--place", place.name, "--version", place.version, "--ident", place.ident]
        args += ["--event-s", str(LONG_EVENT_INTERVAL_S)] if self.has_one_version else []
        args += ["--silent-leave"] if silent_leave else []
        self.run(place.name, "crankhinge_standins.main", *args)

    def ended_gateways(self) -> list[str]:
        """Return the names of instances that have exited by themselves."""
        procs = {gw.name: self.procs.get(gw.name) for gw in self.gateways}
        return [name for name, proc in procs.items() if proc and proc.poll() is not None]

    def read_peak_memory(self) -> dict[str, float]:
        """Return the largest resident memory of each running instance in MB, from proc(5)."""
        peaks = {}
        for gateway in self.gateways:
            proc = self.procs.get(gateway.name)
            if proc is not None and proc.poll() is None:
                status = Path(f"/proc/{proc.pid}/status").read_text()
                [kb] = [row.split()[1] for row in status.splitlines() if row.startswith("VmHWM:")]
                peaks[gateway.name] = int(kb) / 1024
        return peaks

    def is_listening(self, gateway: Gateway) -> bool:
        """Whether an instance has started and accepts connections."""
        try:
            socket.create_connection((HOST, gateway.ready_port), timeout=CALL_TIMEOUT_S).close()
        except OSError:
            return False
        return True

    def start_gateway(self, gateway: Gateway) -> None:
        """Start a new incarnation of an instance."""
        gateway.incarnation += 1
        path = self.write_settings(gateway)
        env = {"CRANKHINGE_CONFIG": str(path), CLOCK: str(self.clock_file(gateway))}
        self.run(gateway.name, "crankhinge_soak._skewed", env=env)

    def write_settings(self, gateway: Gateway, text: str = "") -> Path:
        """Write an instance's settings, or *text* in place of them; return the file."""
        lines = (
            f'name = "{gateway.identity}"',
            'zone = "z1"',
            f'listen = "{HOST}:{gateway.port}"',
            f'ready = "{HOST}:{gateway.ready_port}"',
            f'peer = "{HOST}:{gateway.peer_port}"',
            f'source = "{HOST}:{gateway.store_proxy.port}"',
            f"drain_s = {DRAIN_S}",
            f"first_start = {str(gateway.incarnation == 1).lower()}",
            f"memory_mb = {GATEWAY_MEMORY_MB}",
            f"revoke_s = {REVOKE_S}",
            f"quota_window_s = {QUOTA_WINDOW_S}",
            f"quota_overrun = {QUOTA_OVERRUN_SHARE}",
            f"quota_slack = {QUOTA_SLACK_TOKENS}",
        )
        path = self.dir / f"{gateway.name}.toml"
        path.write_text(text or "\n".join(lines))
        return path

    def clock_file(self, gateway: Gateway) -> Path:
        """Return the file with the seconds by which an instance's clock is skewed."""
        return self.dir / f"{gateway.name}.clock"

    @property
    def record_file(self) -> Path:
        """The file in which all backend servers record what they did."""
        return self.dir / "servers.jsonl"

    def read_records(self) -> list[dict[str, Any]]:
        """Return what backend servers recorded, ordered by time.

        The incarnations of a server that started again under its id are told apart.
        """
        rows = [json.loads(line) for line in self.record_file.open()]
        births: Counter[str] = Counter()
        for row in sorted(rows, key=lambda row: float(row["at"])):
            births[row["server"]] += row["kind"] == "born"
            if births[row["server"]] > 1:
                row["server"] += f"~{births[row['server']]}"
        return sorted(rows, key=lambda row: float(row["at"]))

    def toggle_config_size(self) -> None:
        """Switch the next configurations between large and small."""
        self.extra_routes = 0 if self.extra_routes else LARGE_CONFIG_EXTRA_ROUTES

    async def publish(self, *, switch_service: bool = False, revoke_key: bool = False) -> None:
        """Publish the next configuration and wait until the store has confirmed its write.

        Args:
            switch_service: whether plain calls change to the other service.
            revoke_key: whether the newest key of the account without a limit is revoked and
                replaced.
        """
        self.version += 1
        revoked = self.keys[-1] if revoke_key else ""
        if revoke_key:
            self.keys.append(f"key-{self.version}")
        if switch_service:
            self.plain_service = "plain-b" if self.plain_service == "plain-a" else "plain-a"
        routes = [_make_route(path, kind, max_servers, resumable, self._service_for(path))
                  for path, kind, max_servers, resumable in ROUTES]  # fmt: skip
        versions = range(1, self.version + 1)
        routes += [
            _make_route(version_path(n), "safe", 2, False, self.plain_service) for n in versions
        ]
        routes += [
            _make_route(f"/more-{n}/", "safe", 2, False, self.plain_service)
            for n in range(self.extra_routes)
        ]
        services = [operator.service(name) for name in ("plain-a", "plain-b")]
        services.append(operator.service("llm", ENGINE_CAPACITY))
        tenants = [
            operator.account(UNLIMITED_ACCOUNT, self.keys[-1], plain_tokens=PLAIN_REQUEST_TOKENS),
            operator.account(
                LIMITED_ACCOUNT,
                LIMITED_ACCOUNT,
                plain_tokens=PLAIN_REQUEST_TOKENS,
                rate_per_s=LIMIT_TOKENS_PER_S,
                burst=LIMIT_BURST_TOKENS,
            ),
        ]
        body = msgspec.json.encode(operator.config(self.version, routes, services, tenants))
        while not await self._put(self.store_port, "/v1/kv-key?private_key=op/config", body):
            await curio.sleep(0.2)
        self.acknowledged.append((time.time(), self.version, self.plain_service))
        if revoked:
            self.revoked[revoked] = time.time()

    def _service_for(self, path: str) -> str:
        return "llm" if path in STREAM_PATHS else self.plain_service

    async def set_faults(self, port: int, **faults: Any) -> bool:
        """Set faults of a stand-in; return whether it has confirmed them."""
        return await self._put(port, "/faults", msgspec.json.encode(faults))

    async def write_entry(self, name: str, data: bytes) -> bool:
        """Write bytes under the prefix of the servers' entries; return whether that succeeded."""
        target = f"/v1/kv-key?private_key=servers/{name}"
        return await self._put(self.store_port, target, data)

    async def _put(self, port: int, target: str, body: bytes) -> bool:
        """Send a PUT request; return whether the response has status 200."""
        client = HttpClient(HOST, port)
        try:
            resp = await curio.timeout_after(
                CALL_TIMEOUT_S, lambda: client.call("PUT", target, body=body, new_connection=True)
            )
        except (HttpClosed, BadHttp, curio.TaskTimeout):
            # The stand-in was just killed, or the store is down; the caller decides what to do.
            return False
        finally:
            await client.close()
        return bool(resp.status == 200)


def _make_route(
    path: str, kind: str, max_servers: int, resumable: bool, service: str
) -> dict[str, Any]:
    return operator.route(
        path.strip("/"),
        path,
        kind,
        service,
        timeout_ms=ROUTE_TIMEOUT_S * 1000,
        max_attempts=max_servers,
        resumable=resumable,
        sticky=kind == "streaming",
        anonymous=path not in KEYED_PATHS,
    )
