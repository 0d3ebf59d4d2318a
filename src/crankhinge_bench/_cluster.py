"""Starts the stand-ins and the product's programs on loopback and stops them."""

from __future__ import annotations

import json
import secrets
import subprocess
import sys
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from crankhinge.config import (
    Envelope,
    create_key_pair,
    encode_envelope,
    hash_credential,
    load_private_key,
    sign_envelope,
)
from crankhinge_bench._procs import (
    HOST,
    POLL_INTERVAL_S,
    READY_TIMEOUT_S,
    Procs,
    free_ports,
    http_json,
)
from crankhinge_bench._spec import ClusterSpec, EngineSpec

PREFILL_SLOTS = 2
# Number of agents that are listed as seeds in the settings of entries and of ctl.
SEED_AGENT_COUNT = 3
MAX_PUBLISH_RETRIES = 20
EXIT_OUTCOME_UNKNOWN = 4
# Both partners sign each bundle; every member belongs to the first one.
PARTNERS = ("partner-a", "partner-b")


@dataclass
class AgentConfig:
    """An agent and its backend server.

    Attributes:
        name: name of the agent.
        kind: ``prefill``, ``decode`` or ``plain``.
        pool: pool of the backend server.
        zone: availability zone of both.
        port: port of the agent.
        backend_port: port of the backend server.
    """

    name: str
    kind: str
    pool: str
    zone: str
    port: int
    backend_port: int


class Cluster(Procs):
    """A whole system on loopback: the platform, backend servers, agents and entries.

    Args:
        spec: the programs to start.
        logs: directory for the programs' logs; a temporary directory by default.
        backends: whether backend servers are started.
    """

    def __init__(
        self, spec: ClusterSpec, *, logs: Path | None = None, backends: bool = True
    ) -> None:
        super().__init__(logs)
        self.spec = spec
        self._backends = backends
        self.agents: list[AgentConfig] = []
        self.entry_ports: list[int] = []
        self.platform_port = 0
        self.credentials = {name: secrets.token_urlsafe(24) for name, _ in spec.members}
        self._keys: dict[str, str] = {}
        self.bundle_version = 0

    def __enter__(self) -> Cluster:
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def start(self) -> None:
        """Start all processes, publish the first bundle and wait until the entries are ready.

        Raises:
            TimeoutError: a process isn't ready within ``READY_TIMEOUT_S``.
            subprocess.CalledProcessError: the bundle wasn't published.
        """
        self._create_keys()
        self._assign_ports()
        self._start_standins()
        backends = [agent.backend_port for agent in self.agents if self._backends]
        self.wait_for_ports([self.platform_port, *backends])
        self.publish(self.bundle_text(1))
        for agent in self.agents:
            self.start_agent(agent)
        for number in range(self.spec.entries):
            self.start_entry(number)
        self.wait_ready()

    def _create_keys(self) -> None:
        for partner in PARTNERS:
            self._keys[partner] = create_key_pair(self.dir / f"{partner}.key")

    def _assign_ports(self) -> None:
        spec = self.spec
        backends = [(e.pool, e.kind, n) for e in spec.engines for n in range(e.count)]
        backends += [(s.pool, "plain", n) for s in spec.services for n in range(s.count)]
        ports = free_ports(2 * len(backends) + spec.entries + 1)
        self.platform_port = ports.pop()
        self.entry_ports = [ports.pop() for _ in range(spec.entries)]
        for pool, kind, n in backends:
            zone = spec.zones[n % len(spec.zones)]
            agent = AgentConfig(f"{pool}-{n}", kind, pool, zone, ports.pop(), ports.pop())
            self.agents.append(agent)

    def _start_standins(self) -> None:
        standin = "crankhinge_standins.main"
        self.run("platform", standin, "platform", "--port", str(self.platform_port),
                 "--list-lag-s", "0.2")  # fmt: skip
        for agent in self.agents if self._backends else ():
            self.start_backend(agent)

    def start_backend(self, agent: AgentConfig) -> None:
        """Start the backend server of *agent*."""
        args = self._backend_args(agent)
        self.run(f"backend-{agent.name}", "crankhinge_standins.main", *args)

    def _backend_args(self, agent: AgentConfig) -> list[str]:
        record = str(self.record_path(agent))
        if agent.kind == "plain":
            service = next(s for s in self.spec.services if s.pool == agent.pool)
            work = str(service.work_s)
            port = str(agent.backend_port)
            return ["service", "--port", port, "--work-s", work, "--record", record]
        engine = self._engine_spec(agent)
        return [
            "engine",
            *("--record", record),
            *("--weights", f"{HOST}:{self.platform_port}"),
            *("--port", str(agent.backend_port)),
            *("--slots", str(engine.slots)),
            *("--step-s", str(engine.step_s)),
            *("--prefill-rate", str(engine.prefill_rate)),
            *("--kv-life-s", str(engine.kv_life_s)),
            *("--link-bytes-per-s", str(engine.link_bytes_per_s)),
            *("--kv-bytes-per-token", str(engine.kv_bytes_per_token)),
            *("--step-per-request-s", str(engine.step_per_request_s)),
        ]

    def record_path(self, agent: AgentConfig) -> Path:
        """Return the file in which the backend server of *agent* records what it runs."""
        return self.dir / f"{agent.name}.runs"

    def read_records(self, *kinds: str) -> list[dict[str, Any]]:
        """Return the rows that backend servers of *kinds* recorded.

        Each row gets the name of the server's agent under the key ``place``.
        """
        rows = []
        for agent in self.agents:
            path = self.record_path(agent)
            if agent.kind not in kinds or not path.exists():
                continue
            rows += [{**json.loads(line), "place": agent.name} for line in path.open()]
        return rows

    def _engine_spec(self, agent: AgentConfig) -> EngineSpec:
        return next(e for e in self.spec.engines if e.pool == agent.pool)

    def _peer_setting_lines(self, name: str, zone: str, port: int) -> list[str]:
        return [
            f'name = "{name}"',
            f'zone = "{zone}"',
            f'host = "{HOST}"',
            f"port = {port}",
            f'key_value = "{HOST}:{self.platform_port}"',
            f'instances = "{HOST}:{self.platform_port}"',
            f"beat_s = {self.spec.beat_s}",
            "list_s = 1.0",
            f'policy = "{self.spec.mechanisms}"',
        ]

    def _write_settings(self, name: str, lines: list[str]) -> str:
        path = self.dir / f"{name}.toml"
        keys = [f'{partner} = "{key}"' for partner, key in self._keys.items()]
        path.write_text("\n".join([*lines, "[keys]", *keys]) + "\n")
        return str(path)

    def start_agent(self, agent: AgentConfig) -> None:
        """Start *agent* and add it to the platform's list of instances."""
        lines = self._peer_setting_lines(agent.name, agent.zone, agent.port)
        lines += [
            f'role = "{agent.kind}"',
            f'pool = "{agent.pool}"',
            f'backend = "{HOST}:{agent.backend_port}"',
            *self._role_setting_lines(agent),
        ]
        self.run(agent.name, "crankhinge.agent.main", self._write_settings(agent.name, lines))
        self.register_agent(agent)

    def _role_setting_lines(self, agent: AgentConfig) -> list[str]:
        if agent.kind == "plain":
            service = next(s for s in self.spec.services if s.pool == agent.pool)
            rate = service.slots / max(service.work_s, 0.001)
            return [f"slots = {service.slots}", f"rate = {rate}"]
        engine = self._engine_spec(agent)
        if agent.kind == "prefill":
            return [f"slots = {PREFILL_SLOTS}", f"rate = {engine.prefill_rate}"]
        return [f"slots = {engine.slots}", f"step_s = {engine.step_s * 1.5}"]

    def register_agent(self, agent: AgentConfig, *, state: str = "live") -> None:
        """Add *agent* to the platform's list of instances, or replace its row there."""
        service = {
            "ID": agent.name,
            "Address": HOST,
            "Port": agent.port,
            "Meta": {"zone": agent.zone, "pool": agent.pool, "state": state},
        }
        http_json("PUT", self.platform_port, "/v1/agent/service/register", service)

    def start_entry(self, number: int, extra_settings: tuple[str, ...] = ()) -> None:
        """Start entry *number*; *extra_settings* are lines added to its settings file."""
        name = f"entry-{number}"
        zone = self.spec.zones[number % len(self.spec.zones)]
        lines = self._peer_setting_lines(name, zone, self.entry_ports[number])
        seeds = [f"{HOST}:{agent.port}" for agent in self.agents[:SEED_AGENT_COUNT]]
        lines += [f"seeds = {seeds}", f"subset = {self.spec.subset}", *extra_settings]
        self.run(name, "crankhinge.entry.main", self._write_settings(name, lines))

    def bundle_text(self, version: int, adapters: Mapping[str, int] | None = None) -> str:
        """Return the TOML text of a bundle; *adapters* maps names to versions."""
        spec = self.spec
        out = [f"version = {version}", ""]
        for partner in self._keys:
            out += ["[[partners]]", f'name = "{partner}"', ""]
        for name, weight in spec.members:
            out += [
                "[[members]]",
                f'name = "{name}"',
                f'partner = "{PARTNERS[0]}"',
                f"weight = {weight}",
            ]
            out += [f'credential_sha256 = "{hash_credential(self.credentials[name])}"', ""]
        out += self._pool_lines()
        out += self._model_lines()
        for name, number in (adapters or {}).items():
            out += ["[[models.adapters]]", f'name = "{name}"', f'path = "store/{name}"']
            out += [f"version = {number}", ""]
        out += self._transfer_lines()
        out += ["[policy]", *(f"{k} = {v}" for k, v in spec.policy.items()), ""]
        return "\n".join(out)

    def _transfer_lines(self) -> list[str]:
        engine = next(e for e in self.spec.engines if e.kind == "prefill")
        return [
            "[transfer]",
            f"kv_bytes_per_token = {engine.kv_bytes_per_token}",
            f"same_zone_bytes_per_s = {engine.link_bytes_per_s}",
            f"cross_zone_bytes_per_s = {engine.link_bytes_per_s}",
            "",
        ]

    def _pool_lines(self) -> list[str]:
        out = []
        for engine in self.spec.engines:
            out += ["[[pools]]", f'name = "{engine.pool}"', f'kind = "{engine.kind}"']
            out += [f"slots = {PREFILL_SLOTS if engine.kind == 'prefill' else engine.slots}", ""]
        for service in self.spec.services:
            out += ["[[pools]]", f'name = "{service.pool}"', 'kind = "plain"']
            out += [f"slots = {service.slots}"]
            if service.count > 1:
                out += [f'fence = [["{service.pool}-0", "{service.pool}-1"]]']
            out += ["", "[[services]]", f'name = "{service.pool}"']
            out += [f'path = "{service.path}"', f'pool = "{service.pool}"', ""]
        return out

    def _model_lines(self) -> list[str]:
        pools = {kind: [e.pool for e in self.spec.engines if e.kind == kind]
                 for kind in ("prefill", "decode")}  # fmt: skip
        return [
            "[[models]]",
            'name = "m1"',
            f"prefill = {pools['prefill']}",
            f"decode = {pools['decode']}",
            f"first_token_s = {self.spec.first_token_s}",
            f"between_tokens_s = {self.spec.between_tokens_s}",
            "",
        ]

    def signed_bundle(self, text: str) -> bytes:
        """Return the envelope with the bundle *text*, signed by both partners."""
        envelope = Envelope(text)
        for partner in self._keys:
            envelope = sign_envelope(
                envelope, partner, load_private_key(self.dir / f"{partner}.key")
            )
        return encode_envelope(envelope)

    def publish(self, text: str) -> None:
        """Sign the bundle *text* and publish it with ``crankhinge-ctl``.

        Raises:
            subprocess.CalledProcessError: the bundle wasn't published.
        """
        path = self.dir / "bundle.signed"
        path.write_bytes(self.signed_bundle(text))
        command = [sys.executable, "-m", "crankhinge.ctl.main", "bundle", "publish", str(path)]
        command += ["--settings", self.write_ctl_settings()]
        subprocess.run(command, check=True, stdout=subprocess.DEVNULL)
        self.bundle_version += 1

    def publish_concurrently(self, version: int) -> bool:
        """Publish two different bundles of one version at the same time.

        A publication whose outcome is unknown is repeated, as an operator would do.

        Returns:
            Whether one of the bundles was published.
        """
        procs = []
        for name, patience in (("one", 1.5), ("two", 2.0)):
            text = self.bundle_text(version) + f"patience = {patience}\n"
            path = self.dir / f"bundle-{name}.signed"
            path.write_bytes(self.signed_bundle(text))
            procs.append(self._start_publication(path))
        statuses = [proc() for proc in procs]
        accepted = 0 in statuses
        if accepted:
            self.bundle_version = version
        return accepted

    def _start_publication(self, path: Path) -> Callable[[], int]:
        command = [sys.executable, "-m", "crankhinge.ctl.main", "bundle", "publish", str(path)]
        command += ["--settings", self.write_ctl_settings()]
        devnull = subprocess.DEVNULL
        proc = subprocess.Popen(command, stdout=devnull, stderr=devnull)

        def finish() -> int:
            status = proc.wait()
            for _ in range(MAX_PUBLISH_RETRIES):
                if status != EXIT_OUTCOME_UNKNOWN:
                    break
                time.sleep(1.0)
                status = subprocess.call(command, stdout=devnull, stderr=devnull)
            return status

        return finish

    def write_ctl_settings(self) -> str:
        """Write the settings file of ``crankhinge-ctl`` and return its path."""
        seeds = [f"{HOST}:{agent.port}" for agent in self.agents[:SEED_AGENT_COUNT]]
        return self._write_settings(
            "ctl", [f'key_value = "{HOST}:{self.platform_port}"', f"seeds = {seeds}"]
        )

    def wait_ready(self) -> None:
        """Wait until every entry is linked to its agents and every fence record has its replicas.

        Raises:
            TimeoutError: the system isn't ready within ``READY_TIMEOUT_S``.
        """
        deadline = time.monotonic() + READY_TIMEOUT_S
        self.wait_for_ports([*self.entry_ports, *(agent.port for agent in self.agents)])
        for port in self.entry_ports:
            while not self._is_ready(port):
                if time.monotonic() > deadline:
                    raise TimeoutError(f"entry on port {port} is not ready")
                time.sleep(POLL_INTERVAL_S)
        replicas = [f"{s.pool}-{n}" for s in self.spec.services if s.count > 1 for n in (0, 1)]
        while not all(self._has_fence_record(name) for name in replicas):
            if time.monotonic() > deadline:
                raise TimeoutError("not every fence record has two replicas")
            time.sleep(POLL_INTERVAL_S)

    def _has_fence_record(self, name: str) -> bool:
        """Return whether the log of agent *name* says that its fence record is paired."""
        return "role=paired" in (self.logs / f"{name}.log").read_text()

    def _is_ready(self, port: int) -> bool:
        try:
            state = http_json("GET", port, "/readyz")
        except OSError:
            return False
        return bool(state["linked"] >= min(len(self.agents), self.spec.subset))

    def restart(self, name: str) -> None:
        """Start an entry, an agent or a backend server again after it was killed."""
        if name.startswith("entry-"):
            self.start_entry(int(name.removeprefix("entry-")))
            return
        agent = next(a for a in self.agents if a.name == name.removeprefix("backend-"))
        if name.startswith("backend-"):
            self.start_backend(agent)
        else:
            self.start_agent(agent)

    def standin_port(self, name: str) -> int:
        """Return the port of ``platform`` or of a backend server such as ``backend-write-0``."""
        if name == "platform":
            return self.platform_port
        wanted = name.removeprefix("backend-")
        return next(agent.backend_port for agent in self.agents if agent.name == wanted)

    def engine_stats(self) -> list[dict[str, Any]]:
        """Return the counters that each engine keeps of itself."""
        engines = [agent for agent in self.agents if agent.kind != "plain"]
        return [http_json("GET", agent.backend_port, "/stats") for agent in engines]

    def set_faults(self, port: int, **faults: Any) -> None:
        """Set faults of the stand-in on *port* by name, for example ``down=True``."""
        http_json("PUT", port, "/faults", faults)
