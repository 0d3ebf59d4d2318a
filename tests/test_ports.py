"""Two test runs, started together on one machine, took each other's ports.

What was seen: 2 and 4 of 804 tests failed with "address already in use" where a gateway bound its
port.
Events: each process went through one range from a place that its id gave; in the course of a run
both came by the same place, and a port that was free when it was looked for was taken when it was
listened on.
Cause: looking for a port held nothing.
Evidence: two runs beside each other that began far apart in the range had no such failure, nor had
single runs beside other load.
"""

import socket
from collections.abc import Iterator

import pytest

from crankhinge_bench._ports import HOST, MAX_BLOCKS, PORTS_PER_BLOCK, PortAllocator


@pytest.fixture
def two_allocators() -> Iterator[tuple[PortAllocator, PortAllocator]]:
    """Return what two processes with one id would use."""
    both = PortAllocator(), PortAllocator()
    yield both
    for ports in both:
        ports.close()


class TestPorts:
    """What is given to whom."""

    def test_are_never_given_to_two_at_once(
        self, two_allocators: tuple[PortAllocator, PortAllocator]
    ) -> None:
        """However long both go on taking ports."""
        first, second = (
            {port for _ in range(200) for port in ports.take(20)} for ports in two_allocators
        )
        assert not first & second
        assert len(first) > PORTS_PER_BLOCK

    def test_taken_in_turns_are_never_those_of_the_other(
        self, two_allocators: tuple[PortAllocator, PortAllocator]
    ) -> None:
        """Taken by turns, as by two runs that go on beside each other."""
        taken: tuple[set[int], set[int]] = (set(), set())
        for _ in range(MAX_BLOCKS * PORTS_PER_BLOCK // 10):
            for ports, mine in zip(two_allocators, taken, strict=True):
                mine.update(ports.take(20))
        assert not taken[0] & taken[1]

    @pytest.mark.parametrize("kind", [socket.SOCK_STREAM, socket.SOCK_DGRAM], ids=["tcp", "udp"])
    def test_on_which_somebody_listens_are_passed_over(
        self, two_allocators: tuple[PortAllocator, PortAllocator], kind: socket.SocketKind
    ) -> None:
        """Also when all have been given once."""
        ports, _ = two_allocators
        [taken] = ports.take(1)
        with socket.socket(socket.AF_INET, kind) as sock:
            sock.bind((HOST, taken))
            later = {port for _ in range(2 * MAX_BLOCKS) for port in ports.take(PORTS_PER_BLOCK)}
        assert taken not in later
        assert PORTS_PER_BLOCK < len(later) < MAX_BLOCKS * (PORTS_PER_BLOCK - 1)

    def test_more_than_there_are_is_refused(
        self, two_allocators: tuple[PortAllocator, PortAllocator]
    ) -> None:
        """Rather than looked for without end."""
        with pytest.raises(RuntimeError):
            two_allocators[0].take(MAX_BLOCKS * PORTS_PER_BLOCK + 1)
