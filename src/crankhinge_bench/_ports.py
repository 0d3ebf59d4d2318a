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
        starts = [FIRST_PORT + PORTS_PER_BLOCK * block for block in range(count)]
        # Processes that are started together have neighbouring ids; far places spare them refusals.
        first_block = os.getpid() * 101 % count
        self._untried_blocks = starts[first_block:] + starts[:first_block]
        self._lock_sockets: list[socket.socket] = []
        self._blocks: list[range] = []
        self._ports = iter(range(0))
        self._next_block_index = 0

    def take(self, count: int) -> list[int]:
        """Return ports on which nothing listens now.

        Raises:
            RuntimeError: no port is free.
        """
        found: list[int] = []
        for _ in range(MAX_BLOCKS * PORTS_PER_BLOCK):
            port = self._next_port()
            if _is_free(port):
                found.append(port)
            if len(found) == count:
                return found
        raise RuntimeError("no free ports are left")

    def close(self) -> None:
        """Let others have the blocks."""
        for lock in self._lock_sockets:
            lock.close()

    def _next_port(self) -> int:
        port = next(self._ports, None)
        if port is not None:
            return port
        if len(self._blocks) < MAX_BLOCKS:
            self._lock_untried_block()
        if not self._blocks:
            raise RuntimeError("no free ports are left")
        self._ports = iter(self._blocks[self._next_block_index % len(self._blocks)])
        self._next_block_index += 1
        return next(self._ports)

    def _lock_untried_block(self) -> None:
        while self._untried_blocks:
            start = self._untried_blocks.pop(0)
            lock = socket.socket()
            try:
                lock.bind((HOST, start))
                lock.listen(1)
            except OSError:
                lock.close()
                continue
            self._lock_sockets.append(lock)
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
