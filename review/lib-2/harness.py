"""Starts the programs of a case as separate processes, and clients that speak HTTP/1.1.

The gateways run with the command of the deploy file, from what its build puts under target/deps,
and with the settings that deploy/gateway.toml.template lists. Each has a loopback address of its
own, as each machine has. The store is the project's stand-in; replicas are review/lib-2/replica.py.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
LIB = Path(__file__).resolve().parent
DEPS, STANDINS = ROOT / "target/deps", ROOT / "target/review-2"
HOST_NAME = "h.example"
BEAT_S = 1.2


class CannotRun(Exception):
    """The case could not be put to the test."""


def log(*words: Any) -> None:
    print(f"{time.strftime('%H:%M:%S')}", *words, flush=True)


class Record:
    """The record of a case: what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started = time.time()

    def write(self, *words: Any, at: float | None = None) -> None:
        at = time.time() if at is None else at
        self._file.write(f"{at - self._started:8.3f} " + " ".join(str(w) for w in words) + "\n")
        self._file.flush()


def free_port(hosts: list[str]) -> int:
    """Return a port that is free for TCP and UDP on all *hosts*."""
    for _ in range(500):
        port = random.randrange(12_000, 29_000)
        try:
            for host in hosts:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as sock:
                        sock.bind((host, port))
        except OSError:
            continue
        return port
    raise CannotRun("no free port")


class Case:
    """The processes of one case."""

    def __init__(self, folder: Path, gateways: int) -> None:
        if not (DEPS / "crankhinge_platform").exists() or not STANDINS.exists():
            raise CannotRun("run the build of the deploy file and review/build-2.sh first")
        self.folder = folder
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(folder / "record.txt")
        self.tmp = Path(tempfile.mkdtemp(prefix="crankhinge-review-"))
        self.procs: dict[str, subprocess.Popen[bytes]] = {}
        self.gateway_ips = [f"127.0.1.{n + 1}" for n in range(gateways)]
        self.store_ip = "127.0.2.1"
        self.port = free_port(self.gateway_ips)
        self.ready_port = free_port(self.gateway_ips)
        self.peer_port = free_port(self.gateway_ips)
        self.store_port = free_port([self.store_ip])
        self.version = 0

    # Processes.

    def spawn(self, name: str, argv: list[str], env: dict[str, str], path: list[Path]) -> int:
        out = (self.tmp / f"{name}.log").open("ab")
        full = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        full["PYTHONPATH"] = os.pathsep.join(map(str, path))
        full.update(env)
        proc = subprocess.Popen(
            argv, cwd=ROOT, env=full, stdout=out, stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL
        )
        out.close()
        self.procs[name] = proc
        return proc.pid

    def start_store(self) -> None:
        argv = [sys.executable, "-P", "-m", "crankhinge_standins.main", "store"]
        argv += ["--host", self.store_ip, "--port", str(self.store_port)]
        argv += ["--beat-s", str(BEAT_S), "--history-s", "20", "--era", "1"]
        self.spawn("store", argv, {}, [DEPS, STANDINS])
        self.wait_listening(self.store_ip, self.store_port)

    def settings(self, number: int, *, first_start: bool, memory_mb: int) -> str:
        ip = self.gateway_ips[number]
        return "\n".join(
            [
                f'name = "gateway-{number}"',
                'zone = "z1"',
                f'listen = "{ip}:{self.port}"',
                f'ready = "{ip}:{self.ready_port}"',
                'ready_path = "/v1/ready"',
                f'peer = "{ip}:{self.peer_port}"',
                f'source = "{self.store_ip}:{self.store_port}"',
                "drain_s = 8",
                "apply_s = 2000e-3",
                "leave_s = 2000e-3",
                "contact_s = 3000e-3",
                "order_lease_s = 3000e-3",
                "repeat_ratio = 0.2",
                f"memory_mb = {memory_mb}",
                f"first_start = {str(first_start).lower()}",
            ]
        )

    def start_gateway(self, number: int, *, first_start: bool = True, memory_mb: int = 150) -> None:
        path = self.tmp / f"gateway-{number}.toml"
        path.write_text(self.settings(number, first_start=first_start, memory_mb=memory_mb))
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["gateway"]
        argv = shlex.split(role["run"])
        self.spawn(f"gateway-{number}", argv, {"CRANKHINGE_CONFIG": str(path)}, [DEPS])
        self.wait_listening(self.gateway_ips[number], self.ready_port)

    def start_replica(self, name: str, **options: Any) -> None:
        """Start a replica; *options* are those of review/lib-2/replica.py."""
        given = {
            "name": name,
            "store": f"{self.store_ip}:{self.store_port}",
            "beat_s": BEAT_S,
            "record": str(self.tmp / "runs.jsonl"),
            **options,
        }
        argv = [sys.executable, str(LIB / "replica.py"), json.dumps(given)]
        self.spawn(name, argv, {}, [])

    def wait_listening(self, host: str, port: int, timeout_s: float = 15.0) -> None:
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            try:
                socket.create_connection((host, port), timeout=0.5).close()
                return
            except OSError:
                time.sleep(0.05)
        raise CannotRun(f"nothing listens at {host}:{port}")

    def signal(self, name: str, number: int) -> None:
        self.procs[name].send_signal(number)

    def kill(self, name: str) -> None:
        proc = self.procs.pop(name)
        proc.kill()
        proc.wait()

    def stop(self) -> None:
        """End all processes of this case."""
        for proc in self.procs.values():
            if proc.poll() is None:
                proc.send_signal(signal.SIGCONT)
                proc.kill()
        for proc in self.procs.values():
            proc.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.tmp, keep, dirs_exist_ok=True)
        shutil.rmtree(self.tmp, ignore_errors=True)

    def memory_mb(self, name: str) -> float:
        """Return the resident memory of a process in MB."""
        status = Path(f"/proc/{self.procs[name].pid}/status").read_text()
        [kb] = [row.split()[1] for row in status.splitlines() if row.startswith("VmRSS:")]
        return int(kb) / 1024

    # The operator.

    def put(self, key: str, value: Any) -> None:
        """Write an item as the operator does."""
        body = json.dumps(value).encode()
        with socket.create_connection((self.store_ip, self.store_port), timeout=3) as sock:
            head = f"PUT /v1/kv-key?private_key={key} HTTP/1.1\r\nHost: store\r\n"
            head += f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
            sock.sendall(head.encode() + body)
            if b" 200 " not in sock.recv(65536).split(b"\r\n")[0]:
                raise CannotRun("the store took no configuration")

    def faults(self, **faults: Any) -> None:
        """Set faults of the store."""
        body = json.dumps(faults).encode()
        with socket.create_connection((self.store_ip, self.store_port), timeout=3) as sock:
            head = f"PUT /faults HTTP/1.1\r\nHost: store\r\nContent-Length: {len(body)}\r\n"
            sock.sendall(head.encode() + b"Connection: close\r\n\r\n" + body)
            sock.recv(65536)

    def configure(
        self,
        routes: list[dict[str, Any]],
        services: list[dict[str, Any]],
        max_body_bytes: int = 4194304,
    ) -> None:
        self.version += 1
        limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": max_body_bytes,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        config = {"version": self.version, "routes": routes, "services": services}
        self.put("op/config", {**config, "limits": limits})
        self.record.write("operator config", self.version, "acknowledged")

    async def wait_ready(self, number: int, timeout_s: float = 20.0) -> None:
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            try:
                answer = await request(
                    self.gateway_ips[number], self.ready_port, "GET", "/v1/ready", {}, timeout_s=1
                )
                if answer.status == 200:
                    return
            except (OSError, asyncio.TimeoutError, EOFError):
                pass
            await asyncio.sleep(0.1)
        raise CannotRun(f"gateway {number} is not ready")

    def runs(self) -> list[dict[str, Any]]:
        """Return what the replicas recorded, in the order of time."""
        path = self.tmp / "runs.jsonl"
        rows = [json.loads(line) for line in path.read_text().splitlines()] if path.exists() else []
        return sorted(rows, key=lambda row: float(row["at"]))


def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    defaults = {
        "name": name,
        "host": HOST_NAME,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 2500,
        "target_latency_ms": 900,
        "priority": 1,
        "service": service,
        "max_attempts": 1,
    }
    return {**defaults, **more}


class Answer:
    """What a client received.

    Attributes:
        status: the status; 0 if no head arrived.
        headers: by name in lower case.
        body: the body as far as it arrived.
        complete: whether the answer ended as its framing says.
        error: what ended it otherwise.
    """

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.complete = False
        self.error = ""


async def request(
    host: str,
    port: int,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    *,
    timeout_s: float = 10.0,
    conn: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None,
    patience_s: float | None = None,
) -> Answer:
    """Send a request, on a new connection by default, and read the answer as a sound client does.

    The client gives up after *timeout_s*, or once nothing has arrived for *patience_s*.
    """
    answer = Answer()
    own = conn is None
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = conn or await asyncio.open_connection(host, port)
            lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST_NAME}"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            await writer.drain()
            await _read_answer(_Patient(reader, patience_s or timeout_s), answer)
    except TimeoutError:
        answer.error = "gave up"
    except (OSError, EOFError, ValueError) as exc:
        answer.error = type(exc).__name__
    finally:
        if own and writer is not None:
            writer.close()
    return answer


class _Patient:
    """Reads from a connection; each read must return within some seconds."""

    def __init__(self, reader: asyncio.StreamReader, patience_s: float) -> None:
        self._reader = reader
        self._patience_s = patience_s

    async def read(self, size: int) -> bytes:
        async with asyncio.timeout(self._patience_s):
            return await self._reader.read(size)

    async def readexactly(self, size: int) -> bytes:
        async with asyncio.timeout(self._patience_s):
            return await self._reader.readexactly(size)

    async def readuntil(self, end: bytes) -> bytes:
        async with asyncio.timeout(self._patience_s):
            return await self._reader.readuntil(end)


async def _read_answer(reader: _Patient, answer: Answer) -> None:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    answer.status = int(first.split()[1])
    for line in lines:
        name, _, value = line.partition(":")
        answer.headers[name.strip().lower()] = value.strip()
    if "chunked" in answer.headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size == 0:
                await reader.readuntil(b"\r\n")
                break
            left = size
            while left:
                piece = await reader.read(min(left, 65536))
                if not piece:
                    raise EOFError
                answer.body += piece
                left -= len(piece)
            await reader.readexactly(2)
    elif "content-length" in answer.headers:
        left = int(answer.headers["content-length"])
        while left:
            piece = await reader.read(min(left, 65536))
            if not piece:
                raise EOFError
            answer.body += piece
            left -= len(piece)
    else:
        while piece := await reader.read(65536):
            answer.body += piece
    answer.complete = True


def run_case(main: Any, folder: Path, gateways: int) -> None:
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    case = None
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        case = Case(folder, gateways)
        broken = asyncio.run(main(case))
        status = 1 if broken else 0
    except CannotRun as exc:
        print("cannot run:", exc)
        status = 2
    except Exception as exc:  # noqa: BLE001
        import traceback

        traceback.print_exc()
        print("cannot run:", repr(exc))
        status = 2
    finally:
        if case is not None:
            case.stop()
    sys.exit(status)


def decode_value(item: dict[str, Any]) -> Any:
    return json.loads(base64.b64decode(item["value"]))
