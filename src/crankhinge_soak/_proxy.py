"""A TCP proxy on loopback that simulates a network path and its faults."""

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
# Seconds between checks of whether a blocked direction may forward again.
FAULT_POLL_S = 0.02
# Seconds of delay that a slow path adds to each chunk.
SLOW_PATH_DELAY_S = 0.15


class PathFault(enum.Enum):
    """What a path does to the bytes on it.

    Attributes:
        NONE: forwards them.
        SLOW: delays each chunk.
        SILENT: forwards nothing in either direction.
        CUT_TO_TARGET: forwards nothing to the target.
        CUT_TO_CALLER: forwards nothing to the caller.
    """

    NONE = "none"
    SLOW = "slow"
    SILENT = "silent"
    CUT_TO_TARGET = "cut-there"
    CUT_TO_CALLER = "cut-back"


class Proxy:
    """The path to one listening port.

    A path that is silent or cut holds bytes back and delivers them when the fault ends, as a real
    partition does. A reset closes every connection with RST. Muted connections stay open and
    acknowledge data, but never forward any.

    Args:
        port: port for callers.
        target: port of the listener.
        bytes_per_s: rate of each connection towards the caller; 0 for no limit.
    """

    def __init__(self, port: int, target: int, bytes_per_s: int = 0) -> None:
        self.port = port
        self.fault = PathFault.NONE
        self._target = target
        self._bytes_per_s = bytes_per_s
        self._socks: set[Any] = set()
        self._muted: set[Any] = set()

    def mute(self) -> None:
        """Stop forwarding on all open connections for good; new connections work."""
        self._muted |= self._socks

    async def run(self) -> None:
        """Forward connections until cancelled."""
        await serve_tcp(
            HOST, self.port, self._forward_connection, log=get_log(program="soak-proxy")
        )

    async def reset(self) -> None:
        """Reset every connection in both directions."""
        for sock in list(self._socks):
            _reset_on_close(sock)
            self._socks.discard(sock)
            with contextlib.suppress(OSError):
                sock._socket.shutdown(socket.SHUT_RD)

    async def _forward_connection(self, caller: Any, _addr: Any) -> None:
        """Forward one connection, from *caller* to the target and back, until its end."""
        while self.fault in (PathFault.SILENT, PathFault.CUT_TO_TARGET):
            await curio.sleep(FAULT_POLL_S)
        try:
            target = await open_tcp(HOST, self._target, CONNECT_TIMEOUT_S)
        except OSError:
            # The target's process is down: reset the caller, as a direct connection would be.
            _reset_on_close(caller)
            return
        self._socks |= {caller, target}
        try:
            async with target, curio.TaskGroup() as group:
                await group.spawn(self._forward_bytes, caller, target, PathFault.CUT_TO_TARGET)
                await group.spawn(self._forward_bytes, target, caller, PathFault.CUT_TO_CALLER)
        finally:
            self._socks -= {caller, target}
            self._muted -= {caller, target}

    async def _forward_bytes(self, source: Any, sink: Any, cut: PathFault) -> None:
        """Forward bytes from *source* to *sink* until *source* ends.

        *cut* is the fault that blocks only this direction.
        """
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
                # The connection was reset; a regular end of stream must not precede the reset.
                return
            try:
                if not data:
                    await sink.shutdown(socket.SHUT_WR)
                    return
                await sink.sendall(data)
            except OSError:
                # The other direction meets the end of the connection, too, and closes it.
                return

    async def _end_muted(self, sink: Any, cut: PathFault) -> None:
        """End a muted direction whose source has ended.

        The end of the caller is passed on to the target, which can free its resources. The end of
        the target is not passed on: a muted connection sends its caller nothing.
        """
        if cut is PathFault.CUT_TO_TARGET:
            with contextlib.suppress(OSError):
                await sink.shutdown(socket.SHUT_WR)


def _reset_on_close(sock: Any) -> None:
    """Make the close of a connection send RST, which a linger time of zero seconds does."""
    linger = struct.pack("ii", 1, 0)
    sock._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
