"""Tests of the virtual clock: sent data is delivered before a jump, which takes no real time."""

import selectors
from typing import Any
from unittest import mock

import curio
import pytest
from curio import socket

from virtual_time import NeverEnds, run_virtual

# Real seconds to wait for the delivery of sent data.
SETTLE_S = 0.003


class TestJumps:
    """When the clock jumps, and when it waits for the delivery of sent data."""

    @pytest.mark.parametrize("sent", [b"x", b"x" * 5_000_000], ids=["a-byte", "more-than-fits"])
    def test_sent_data_is_received_without_delay(self, sent: bytes) -> None:
        """The parameter includes amounts for which the sender must wait for buffer space."""

        async def scenario() -> tuple[int, float]:
            mine, other = socket.socketpair()
            began = await curio.clock()
            sender = await curio.spawn(mine.sendall, sent)
            got = 0
            while got < len(sent):
                got += len(await curio.timeout_after(1.0, other.recv, 65_536))
            await sender.join()
            return got, await curio.clock() - began

        assert run_virtual(scenario, settle_s=SETTLE_S) == (len(sent), 0.0)

    def test_sleep_without_sent_data_does_not_wait_for_delivery(self) -> None:
        """Of a hundred jumps, at most the first waits for data that may not be delivered yet."""
        waits: list[float] = []
        select = selectors.DefaultSelector.select

        def recording_select(selector: Any, timeout: float | None = None) -> Any:
            waits.append(timeout or 0.0)
            return select(selector, timeout)

        async def scenario() -> float:
            for _ in range(100):
                await curio.sleep(1.0)
            return float(await curio.clock())

        with mock.patch.object(selectors.DefaultSelector, "select", recording_select):
            assert run_virtual(scenario, settle_s=SETTLE_S) == pytest.approx(1100.0)
        assert [wait for wait in waits if wait] in ([], [SETTLE_S])
        assert len(waits) > 100

    def test_data_sent_after_a_jump_is_delivered_before_the_next(self) -> None:
        """A datagram sent at each second arrives before the next second."""

        async def scenario() -> list[float]:
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

        assert run_virtual(scenario, settle_s=SETTLE_S) == [float(n) for n in range(1, 21)]


class TestNeverEnds:
    """Runs that would not end by themselves."""

    def test_error_names_the_waiting_task(self) -> None:
        """A task that polls for ever makes the run fail; the error names its function."""

        async def polls_forever() -> None:
            while True:
                await curio.sleep(0.5)

        async def scenario() -> None:
            task = await curio.spawn(polls_forever)
            await task.join()

        with pytest.raises(NeverEnds, match="polls_forever:"):
            run_virtual(scenario)
