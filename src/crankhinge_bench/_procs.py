"""Starts programs of the project as processes on loopback, signals and stops them."""

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
    """Return *count* free loopback ports that no other test run allocates.

    Raises:
        RuntimeError: there aren't enough free ports.
    """
    return _PORT_ALLOCATOR.take(count)


def http_json(method: str, port: int, path: str, body: Any = None, timeout_s: float = 5.0) -> Any:
    """Send a request to a loopback port and return the decoded JSON body of the response.

    *body* is sent as JSON unless it is None.

    Raises:
        OSError: there was no response, or its status reports an error.
    """
    data = None if body is None else msgspec.json.encode(body)
    req = urllib.request.Request(f"http://{HOST}:{port}{path}", data=data, method=method)
    with urllib.request.urlopen(req, timeout=timeout_s) as resp:
        return json.loads(resp.read() or b"null")


class Procs:
    """Named processes with a common temporary directory.

    Args:
        logs: directory for the processes' logs; the temporary directory by default.
    """

    def __init__(self, logs: Path | None = None) -> None:
        self.procs: dict[str, subprocess.Popen[bytes]] = {}
        self._stack = contextlib.ExitStack()
        self.dir = Path(self._stack.enter_context(tempfile.TemporaryDirectory(prefix="crank-")))
        self.logs = logs or self.dir

    def run(self, name: str, module: str, *args: str, env: Mapping[str, str] | None = None) -> None:
        """Start *module* as a process that logs to ``<name>.log``.

        *env* is added to the environment variables of this process.
        """
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
        """Wait until each of *ports* accepts connections.

        Raises:
            TimeoutError: a port doesn't within ``READY_TIMEOUT_S``.
        """
        deadline = time.monotonic() + READY_TIMEOUT_S
        for port in ports:
            while True:
                with contextlib.suppress(OSError), socket.create_connection((HOST, port), 1.0):
                    break
                if time.monotonic() > deadline:
                    raise TimeoutError(f"no process listens on port {port}")
                time.sleep(POLL_INTERVAL_S)

    def signal(self, name: str, signum: int) -> None:
        """Send a signal to the process *name*."""
        self.procs[name].send_signal(signum)

    def kill(self, name: str) -> None:
        """Kill the process *name* with SIGKILL and wait for its end."""
        proc = self.procs.pop(name)
        proc.kill()
        proc.wait()

    def stop(self) -> None:
        """Kill every started process, also paused ones, and remove the temporary directory."""
        for proc in self.procs.values():
            proc.send_signal(signal.SIGCONT)
            proc.kill()
        for proc in self.procs.values():
            proc.wait(STOP_TIMEOUT_S)
        self.procs.clear()
        self._stack.close()
