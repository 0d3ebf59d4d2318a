"""Tests of the adapter for Consul's key-value store."""

from __future__ import annotations

import base64
import json
from typing import Any

import curio

from crankhinge.adapters.consul import ConsulKeyValueStore
from crankhinge.runtime import get_log, run_until_first_ends, serve_tcp
from crankhinge_bench._procs import free_ports
from platform_fakes import HOST
from virtual_time import run_virtual

# Bytes per second of a slow link (1 Mbit/s), and a bundle of the largest size the service accepts.
SLOW_LINK_BYTES_PER_S = 125_000
BUNDLE = b"b" * 512 * 1024


class TestLargeBundle:
    """A bundle whose transfer over a slow link takes longer than the timeout of a single read."""

    def test_read_continues_as_long_as_bytes_arrive(self) -> None:
        """The response takes 5.6 s; a short timeout for the whole of it would always abort it."""
        [port] = free_ports(1)
        row = {"Value": base64.b64encode(BUNDLE).decode(), "ModifyIndex": 7}
        body = json.dumps([row]).encode()

        async def handle(sock: Any, _: Any) -> None:
            await sock.recv(65536)
            await sock.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body))
            chunk_bytes = SLOW_LINK_BYTES_PER_S // 10
            for begin in range(0, len(body), chunk_bytes):
                await curio.sleep(0.1)
                await sock.sendall(body[begin : begin + chunk_bytes])

        async def scenario() -> None:
            await curio.sleep(0.01)
            began = await curio.clock()
            value = await ConsulKeyValueStore(HOST, port).get("bundle")
            assert value is not None
            assert value.data == BUNDLE
            assert await curio.clock() - began > 5.0

        async def main() -> None:
            log = get_log(program="t")
            await run_until_first_ends(lambda: serve_tcp(HOST, port, handle, log=log), scenario)

        run_virtual(main, settle_s=0.003)
