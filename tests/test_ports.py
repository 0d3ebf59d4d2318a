"""Concurrent test runs on one machine must not get the same ports.

Guards against "address already in use" when a gateway binds its port: in two runs that were started
together, 2 and 4 of 804 tests failed this way. Each run walked through the same range of ports from
a start that depended on its process id. Nothing reserved a port between the check that it was free
and the bind, so both runs could take the same port. Two concurrent runs that started far apart in
the range didn't fail, nor did single runs under other load.
"""

import socket
from collections.abc import Iterator

import pytest

from crankhinge_bench._ports import HOST, MAX_BLOCKS, PORTS_PER_BLOCK, PortAllocator


@pytest.fixture
def two_allocators() -> Iterator[tuple[PortAllocator, PortAllocator]]:
    """Return two allocators that begin their search at the same block of ports."""
    allocators = PortAllocator(), PortAllocator()
    yield allocators
    for ports in allocators:
        ports.close()


class TestPorts:
    """Ports that two allocators hand out, each as in a process of its own."""

    def test_two_allocators_never_return_the_same_port(
        self, two_allocators: tuple[PortAllocator, PortAllocator]
    ) -> None:
        """Each allocator in turn takes 4000 ports, more than the 3000 that one process may hold."""
        first, second = (
            {port for _ in range(200) for port in ports.take(20)} for ports in two_allocators
        )
        assert not first & second
        assert len(first) > PORTS_PER_BLOCK

    def test_alternating_allocators_never_return_the_same_port(
        self, two_allocators: tuple[PortAllocator, PortAllocator]
    ) -> None:
        """The allocators take ports in turn, each twice as many as one process may hold."""
        taken: tuple[set[int], set[int]] = (set(), set())
        for _ in range(MAX_BLOCKS * PORTS_PER_BLOCK // 10):
            for ports, own_ports in zip(two_allocators, taken, strict=True):
                own_ports.update(ports.take(20))
        assert not taken[0] & taken[1]

    @pytest.mark.parametrize("kind", [socket.SOCK_STREAM, socket.SOCK_DGRAM], ids=["tcp", "udp"])
    def test_bound_port_is_skipped(
        self, two_allocators: tuple[PortAllocator, PortAllocator], kind: socket.SocketKind
    ) -> None:
        """An allocator skips a port that a TCP or UDP socket has bound, also in its second pass."""
        ports, _ = two_allocators
        [taken] = ports.take(1)
        with socket.socket(socket.AF_INET, kind) as sock:
            sock.bind((HOST, taken))
            later = {port for _ in range(2 * MAX_BLOCKS) for port in ports.take(PORTS_PER_BLOCK)}
        assert taken not in later
        assert PORTS_PER_BLOCK < len(later) < MAX_BLOCKS * (PORTS_PER_BLOCK - 1)

    def test_too_many_ports_raise_an_error(
        self, two_allocators: tuple[PortAllocator, PortAllocator]
    ) -> None:
        """An allocator that cannot lock enough ports must not search for them forever."""
        with pytest.raises(RuntimeError):
            two_allocators[0].take(MAX_BLOCKS * PORTS_PER_BLOCK + 1)
