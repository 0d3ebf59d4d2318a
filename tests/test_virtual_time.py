"""The clock that jumps: what was sent is delivered first, and a jump takes no real time."""

import selectors
from typing import Any
from unittest import mock

import curio
import pytest
from curio import socket

from virtual_time import NeverEnds, run_virtual

# Real seconds that what was sent gets to be delivered.
SETTLE_S = 0.003


class TestJumps:
    """When the clock jumps, and when it waits."""

    @pytest.mark.parametrize("sent", [b"x", b"x" * 5_000_000], ids=["a-byte", "more-than-fits"])
    def test_what_was_sent_is_received_at_the_time_of_sending(self, sent: bytes) -> None:
        """However much it is, and though the sender has to wait for room."""

        async def story() -> tuple[int, float]:
            mine, other = socket.socketpair()
            began = await curio.clock()
            sender = await curio.spawn(mine.sendall, sent)
            got = 0
            while got < len(sent):
                got += len(await curio.timeout_after(1.0, other.recv, 65_536))
            await sender.join()
            return got, await curio.clock() - began

        assert run_virtual(story, settle_s=SETTLE_S) == (len(sent), 0.0)

    def test_a_sleep_after_which_nothing_was_sent_waits_for_nothing(self) -> None:
        """Of a hundred jumps at most the first gives time to what may be under way."""
        waits: list[float] = []
        select = selectors.DefaultSelector.select

        def noting(selector: Any, timeout: float | None = None) -> Any:
            waits.append(timeout or 0.0)
            return select(selector, timeout)

        async def story() -> float:
            for _ in range(100):
                await curio.sleep(1.0)
            return float(await curio.clock())

        with mock.patch.object(selectors.DefaultSelector, "select", noting):
            assert run_virtual(story, settle_s=SETTLE_S) == pytest.approx(1100.0)
        assert [wait for wait in waits if wait] in ([], [SETTLE_S])
        assert len(waits) > 100

    def test_what_is_sent_after_a_jump_is_waited_for_again(self) -> None:
        """A datagram sent at each second is there before the next second."""

        async def story() -> list[float]:
            inbox = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            inbox.bind(("127.0.0.1", 0))
            sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)

            async def send() -> None:
                for _ in range(20):
                    await curio.sleep(1.0)
                    await sender.sendto(b"x", inbox.getsockname())

            task = await curio.spawn(send)
            arrived = []
            for _ in range(20):
                await inbox.recvfrom(10)
                arrived.append(await curio.clock() - 1000.0)
            await task.join()
            return arrived

        assert run_virtual(story, settle_s=SETTLE_S) == [float(n) for n in range(1, 21)]


class TestNeverEnds:
    """Stories that would go on until somebody ends the run."""

    def test_what_it_waits_for_is_told(self) -> None:
        """A task that looks again and again for what never comes."""

        async def looks_again() -> None:
            while True:
                await curio.sleep(0.5)

        async def story() -> None:
            task = await curio.spawn(looks_again)
            await task.join()

        with pytest.raises(NeverEnds, match="looks_again:"):
            run_virtual(story)
