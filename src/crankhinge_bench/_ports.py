"""Ports for programs that are started side by side, also by several test runs at once."""

from __future__ import annotations

import os
import socket

HOST = "127.0.0.1"
# Below the range from which the kernel takes ports for outgoing connections: one from that range
# can be taken between the call that finds it and the time it is listened on.
FIRST_PORT = 12_000
END_PORT = 30_000
PORTS_PER_BLOCK = 100
# What one process holds at most, that several find room; it then begins again with its first.
MAX_BLOCKS = 30


class PortAllocator:
    """Ports that no other process gets from here for as long as this object lives.

    The range is split into blocks. Whoever listens on a block's first port holds all of it: ports
    that were only looked for would be found by two processes at once.
    """

    def __init__(self) -> None:
        count = (END_PORT - FIRST_PORT) // PORTS_PER_BLOCK
        starts = [FIRST_PORT + PORTS_PER_BLOCK * at for at in range(count)]
        # Processes that are started together have neighbouring ids; far places spare them refusals.
        turn = os.getpid() * 101 % count
        self._unasked = starts[turn:] + starts[:turn]
        self._holds: list[socket.socket] = []
        self._blocks: list[range] = []
        self._ports = iter(range(0))
        self._turn = 0

    def take(self, count: int) -> list[int]:
        """Return ports on which nothing listens now.

        Raises:
            RuntimeError: no port is free.
        """
        found: list[int] = []
        for _ in range(MAX_BLOCKS * PORTS_PER_BLOCK):
            port = self._next()
            if _is_free(port):
                found.append(port)
            if len(found) == count:
                return found
        raise RuntimeError("no free ports are left")

    def close(self) -> None:
        """Let others have the blocks."""
        for hold in self._holds:
            hold.close()

    def _next(self) -> int:
        port = next(self._ports, None)
        if port is not None:
            return port
        if len(self._blocks) < MAX_BLOCKS:
            self._hold_one_more()
        if not self._blocks:
            raise RuntimeError("no free ports are left")
        self._ports = iter(self._blocks[self._turn % len(self._blocks)])
        self._turn += 1
        return next(self._ports)

    def _hold_one_more(self) -> None:
        while self._unasked:
            start = self._unasked.pop(0)
            hold = socket.socket()
            try:
                hold.bind((HOST, start))
                hold.listen(1)
            except OSError:
                hold.close()
                continue
            self._holds.append(hold)
            self._blocks.append(range(start + 1, start + PORTS_PER_BLOCK))
            return


def _is_free(port: int) -> bool:
    kinds = (socket.SOCK_STREAM, socket.SOCK_DGRAM)
    return all(_can_bind(kind, port) for kind in kinds)


def _can_bind(kind: socket.SocketKind, port: int) -> bool:
    with socket.socket(socket.AF_INET, kind) as sock:
        try:
            sock.bind((HOST, port))
        except OSError:
            return False
    return True
