"""Tests of the TCP server."""

from __future__ import annotations

import socket
from functools import partial
from typing import Any

import curio
import pytest

from crankhinge.runtime import get_log, open_tcp, serve_tcp
from crankhinge_bench._procs import HOST
from platform_fakes import free_port

BURST = 60
# Times that the handler of a connection lets other tasks run.
TURNS = 5
# Connections that are handled at the same time: one is accepted a turn.
MAX_CONCURRENT = TURNS + 2


def connect_at_once(port: int) -> list[socket.socket]:
    """Connect BURST sockets while no task of the server runs; the kernel establishes them."""
    return [socket.create_connection((HOST, port)) for _ in range(BURST)]


class TestServeTcp:
    """Accepting connections."""

    def test_burst_of_new_connections_is_not_handled_all_at_once(self) -> None:
        """Otherwise requests on open connections would take turns with all of them."""
        port = free_port()
        running, handled = 0, 0
        most_running = 0

        async def handle(_sock: Any, _addr: Any) -> None:
            nonlocal running, handled, most_running
            running += 1
            most_running = max(most_running, running)
            for _ in range(TURNS):
                await curio.sleep(0)
            running -= 1
            handled += 1

        async def send_burst() -> None:
            listening = await open_tcp(HOST, port, 1.0)
            await listening.close()
            socks = connect_at_once(port)
            while handled <= BURST:
                await curio.sleep(0.01)
            for sock in socks:
                sock.close()

        async def scenario() -> None:
            log = get_log(program="t")
            server = await curio.spawn(partial(serve_tcp, HOST, port, handle, log=log))
            await curio.sleep(0.01)
            await curio.timeout_after(10.0, send_burst)
            await server.cancel()

        curio.run(scenario)
        assert handled == BURST + 1
        assert 1 < most_running <= MAX_CONCURRENT

    def test_connections_that_wait_when_it_stops_are_handled(self) -> None:
        """Closing the listener would reset them."""
        port = free_port()
        handled = 0

        async def handle(_sock: Any, _addr: Any) -> None:
            nonlocal handled
            handled += 1

        async def scenario() -> None:
            stop = curio.Event()
            log = get_log(program="t")
            serve = partial(serve_tcp, HOST, port, handle, log=log, stop_accepting=stop)
            server = await curio.spawn(serve)
            await curio.sleep(0.01)
            socks = connect_at_once(port)
            await stop.set()
            await curio.sleep(0.2)
            with pytest.raises(ConnectionRefusedError):
                await open_tcp(HOST, port, 1.0)
            for sock in socks:
                sock.close()
            await server.cancel()

        curio.run(scenario)
        assert handled == BURST
