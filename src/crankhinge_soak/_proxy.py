"""A proxy on loopback that stands for a network path, and harms it on demand."""

from __future__ import annotations

import contextlib
import enum
import socket
import struct
from typing import Any

import curio

from crankhinge.runtime import get_log, open_tcp, serve_tcp
from crankhinge_bench._procs import HOST

RECV_BYTES = 65536
CONNECT_TIMEOUT_S = 2.0
# How often a held-up direction looks whether the path is whole again, in seconds.
FAULT_POLL_S = 0.02
# Seconds that a slow path adds to each piece.
SLOW_PATH_DELAY_S = 0.15


class PathFault(enum.Enum):
    """What a path does to the bytes that take it."""

    NONE = "none"
    SLOW = "slow"
    SILENT = "silent"
    CUT_TO_TARGET = "cut-there"
    CUT_TO_CALLER = "cut-back"


class Proxy:
    """The path to one listener.

    Bytes that a cut holds up are delivered when it is over, as over a real partition; a reset
    drops every connection; muted connections stay open, acknowledge, and carry nothing any more.

    Args:
        port: where callers connect.
        target: port of the listener.
        bytes_per_s: what the path carries back to callers on each connection; 0 for no bound.
    """

    def __init__(self, port: int, target: int, bytes_per_s: int = 0) -> None:
        self.port = port
        self.fault = PathFault.NONE
        self._target = target
        self._bytes_per_s = bytes_per_s
        self._socks: set[Any] = set()
        self._muted: set[Any] = set()

    def mute(self) -> None:
        """Have the connections that are open now carry nothing any more, for good."""
        self._muted |= self._socks

    async def run(self) -> None:
        """Carry connections until cancelled."""
        await serve_tcp(
            HOST, self.port, self._forward_connection, log=get_log(program="soak-proxy")
        )

    async def reset(self) -> None:
        """Reset every connection, in both directions."""
        for sock in list(self._socks):
            _reset_on_close(sock)
            self._socks.discard(sock)
            with contextlib.suppress(OSError):
                sock._socket.shutdown(socket.SHUT_RD)

    async def _forward_connection(self, near: Any, _addr: Any) -> None:
        while self.fault in (PathFault.SILENT, PathFault.CUT_TO_TARGET):
            await curio.sleep(FAULT_POLL_S)
        try:
            far = await open_tcp(HOST, self._target, CONNECT_TIMEOUT_S)
        except OSError:
            # A process that is down resets whoever connects.
            _reset_on_close(near)
            return
        self._socks |= {near, far}
        try:
            async with far, curio.TaskGroup() as group:
                await group.spawn(self._forward_bytes, near, far, PathFault.CUT_TO_TARGET)
                await group.spawn(self._forward_bytes, far, near, PathFault.CUT_TO_CALLER)
        finally:
            self._socks -= {near, far}
            self._muted -= {near, far}

    async def _forward_bytes(self, source: Any, sink: Any, cut: PathFault) -> None:
        """Carry one direction until its end; *cut* is the harm that holds it up."""
        while True:
            try:
                data = await source.recv(RECV_BYTES)
            except OSError:
                data = b""
            if sink in self._muted:
                if not data:
                    await self._end_muted(sink, cut)
                    return
                continue
            if self._bytes_per_s and cut is PathFault.CUT_TO_CALLER:
                await curio.sleep(len(data) / self._bytes_per_s)
            if self.fault is PathFault.SLOW:
                await curio.sleep(SLOW_PATH_DELAY_S)
            while self.fault in (PathFault.SILENT, cut) and sink in self._socks:
                await curio.sleep(FAULT_POLL_S)
            if sink not in self._socks:
                # It was reset: a proper end would come before the reset.
                return
            try:
                if not data:
                    await sink.shutdown(socket.SHUT_WR)
                    return
                await sink.sendall(data)
            except OSError:
                # The other direction tells its end the same way.
                return

    async def _end_muted(self, sink: Any, cut: PathFault) -> None:
        """End a muted connection when its caller does; the caller is told nothing."""
        if cut is PathFault.CUT_TO_TARGET:
            with contextlib.suppress(OSError):
                await sink.shutdown(socket.SHUT_WR)


def _reset_on_close(sock: Any) -> None:
    """Have the close of a connection reset it: a linger of zero seconds does."""
    linger = struct.pack("ii", 1, 0)
    sock._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
