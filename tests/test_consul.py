"""Tests of the adapter to the key-value service of the product's own interface."""

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

# Bytes a second of a thin link (1 Mbit/s), and of a bundle as large as the service holds.
THIN_B_S = 125_000
BUNDLE = b"b" * 512 * 1024


class TestLargeBundle:
    """A bundle that a thin link carries for longer than any single silence."""

    def test_is_read_as_long_as_bytes_come(self) -> None:
        """A bound on the whole answer would give it up each time; here it takes 5.6 s."""
        [port] = free_ports(1)
        row = {"Value": base64.b64encode(BUNDLE).decode(), "ModifyIndex": 7}
        body = json.dumps([row]).encode()

        async def handle(sock: Any, _: Any) -> None:
            await sock.recv(65536)
            await sock.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body))
            step = THIN_B_S // 10
            for begin in range(0, len(body), step):
                await curio.sleep(0.1)
                await sock.sendall(body[begin : begin + step])

        async def story() -> None:
            await curio.sleep(0.01)
            began = await curio.clock()
            value = await ConsulKeyValueStore(HOST, port).get("bundle")
            assert value is not None
            assert value.data == BUNDLE
            assert await curio.clock() - began > 5.0

        async def main() -> None:
            log = get_log(program="t")
            await run_until_first_ends(lambda: serve_tcp(HOST, port, handle, log=log), story)

        run_virtual(main, settle_s=0.003)
