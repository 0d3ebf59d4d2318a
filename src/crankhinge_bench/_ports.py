"""Allocates loopback ports so that concurrent test runs never get the same port."""

from __future__ import annotations

import os
import socket

HOST = "127.0.0.1"
# The range lies below the kernel's ephemeral ports: an outgoing connection could take an ephemeral
# port after it was found free and before the program listens on it.
FIRST_PORT = 12_000
END_PORT = 30_000
PORTS_PER_BLOCK = 100
# Limits the blocks of one process so that several processes find enough. A process that holds
# this many returns their ports again, beginning with those of its first block.
MAX_BLOCKS = 30


class PortAllocator:
    """Allocates ports that no other process gets from its own allocator.

    The range is split into blocks. A process locks a block by listening on the block's first port
    until :meth:`close`. Without that lock, two processes could find the same port free at the same
    time.
    """

    def __init__(self) -> None:
        count = (END_PORT - FIRST_PORT) // PORTS_PER_BLOCK
        starts = [FIRST_PORT + PORTS_PER_BLOCK * block for block in range(count)]
        # Processes that start together have adjacent ids. The factor makes them start at distant
        # blocks, so that they seldom try a block that is already locked.
        first_block = os.getpid() * 101 % count
        self._untried_blocks = starts[first_block:] + starts[:first_block]
        self._lock_sockets: list[socket.socket] = []
        self._blocks: list[range] = []
        self._ports = iter(range(0))
        self._next_block_index = 0

    def take(self, count: int) -> list[int]:
        """Return *count* ports that no socket, TCP or UDP, is bound to now.

        Raises:
            RuntimeError: there aren't enough free ports.
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
        """Unlock the blocks so that other processes can use them."""
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
