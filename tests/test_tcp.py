"""Tests of the TCP server."""

from __future__ import annotations

from functools import partial
from typing import Any

import curio
import curio.socket

from crankhinge.runtime import get_log, open_tcp, serve_tcp
from crankhinge_bench._procs import HOST
from platform_fakes import free_port

BURST = 60
# Times that the handler of a connection lets other tasks run.
TURNS = 5
# Connections that are handled at the same time: one is accepted a turn.
MAX_CONCURRENT = TURNS + 2


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

        async def connect_at_once() -> None:
            listening = await open_tcp(HOST, port, 1.0)
            await listening.close()
            socks = [curio.socket.socket() for _ in range(BURST)]
            for sock in socks:
                # The kernel establishes connections while no task of the server runs.
                sock._socket.setblocking(True)
                sock._socket.connect((HOST, port))
            while handled <= BURST:
                await curio.sleep(0.01)
            for sock in socks:
                await sock.close()

        async def scenario() -> None:
            log = get_log(program="t")
            server = await curio.spawn(partial(serve_tcp, HOST, port, handle, log=log))
            await curio.sleep(0.01)
            await curio.timeout_after(10.0, connect_at_once)
            await server.cancel()

        curio.run(scenario)
        assert handled == BURST + 1
        assert 1 < most_running <= MAX_CONCURRENT
