"""Programs of the project as processes on loopback: ports, logs, signals, their end."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import msgspec

from crankhinge_bench._ports import HOST as HOST
from crankhinge_bench._ports import PortAllocator

READY_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.05
_PORT_ALLOCATOR = PortAllocator()


def free_ports(count: int) -> list[int]:
    """Return ports that are free now and that no other process finds here.

    Raises:
        RuntimeError: no port is free.
    """
    return _PORT_ALLOCATOR.take(count)


def http_json(method: str, port: int, path: str, body: Any = None, timeout_s: float = 5.0) -> Any:
    """Call a stand-in or an entry and return its JSON."""
    data = None if body is None else msgspec.json.encode(body)
    req = urllib.request.Request(f"http://{HOST}:{port}{path}", data=data, method=method)
    with urllib.request.urlopen(req, timeout=timeout_s) as resp:
        return json.loads(resp.read() or b"null")


class Procs:
    """Processes, each with a name, in a directory of their own.

    Args:
        logs: directory for their logs; a temporary one by default.
    """

    def __init__(self, logs: Path | None = None) -> None:
        self.procs: dict[str, subprocess.Popen[bytes]] = {}
        self._stack = contextlib.ExitStack()
        self.dir = Path(self._stack.enter_context(tempfile.TemporaryDirectory(prefix="crank-")))
        self.logs = logs or self.dir

    def run(self, name: str, module: str, *args: str, env: Mapping[str, str] | None = None) -> None:
        """Start a program; its logs go to a file of its name, *env* is added to its variables."""
        log = (self.logs / f"{name}.log").open("ab")
        self.procs[name] = subprocess.Popen(
            [sys.executable, "-m", module, *args],
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            start_new_session=True,
            env={**os.environ, **(env or {})},
        )
        log.close()

    def wait_for_ports(self, ports: list[int]) -> None:
        """Wait until something listens on each. Raises TimeoutError."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        for port in ports:
            while True:
                with contextlib.suppress(OSError), socket.create_connection((HOST, port), 1.0):
                    break
                if time.monotonic() > deadline:
                    raise TimeoutError(f"nothing listens on {port}")
                time.sleep(POLL_INTERVAL_S)

    def signal(self, name: str, signum: int) -> None:
        """Send a signal to a process that was started here."""
        self.procs[name].send_signal(signum)

    def kill(self, name: str) -> None:
        """End a process at once."""
        proc = self.procs.pop(name)
        proc.kill()
        proc.wait()

    def stop(self) -> None:
        """End every process that was started here, by its id."""
        for proc in self.procs.values():
            proc.send_signal(signal.SIGCONT)
            proc.kill()
        for proc in self.procs.values():
            proc.wait(STOP_TIMEOUT_S)
        self.procs.clear()
        self._stack.close()
