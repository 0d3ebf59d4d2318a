"""Tests of supervision, logs and heartbeats."""

import io
from typing import Any

import curio
import pytest

from crankhinge.peers import HeartbeatSender
from crankhinge.runtime import RestartLimitReached, Supervisor, get_log
from crankhinge.wire import Heartbeat
from virtual_time import run_virtual


class TestSupervisor:
    """How a supervisor restarts failed tasks, up to a limit."""

    def test_failed_child_is_restarted(self) -> None:
        """A child task that fails twice is started a third time."""
        starts: list[float] = []

        async def fails_twice() -> None:
            starts.append(await curio.clock())
            if len(starts) < 3:
                raise ValueError("no")

        supervisor = Supervisor(get_log(program="test", stream=io.StringIO()))
        supervisor.add("child", fails_twice)
        run_virtual(supervisor.run)
        assert len(starts) == 3

    def test_too_many_failures_end_the_supervisor(self) -> None:
        """A child task that keeps failing ends the supervisor with RestartLimitReached."""

        async def fails() -> None:
            raise ValueError("no")

        async def watch() -> None:
            supervisor = Supervisor(get_log(program="test", stream=io.StringIO()))
            supervisor.add("child", fails)
            await supervisor.run()

        with pytest.raises(RestartLimitReached):
            run_virtual(watch)


class TestLogs:
    """Log lines of key=value pairs, one per event."""

    def test_secrets_are_redacted(self) -> None:
        """The value of a key such as ``authorization`` is not written to the log."""
        out = io.StringIO()
        get_log(program="test", stream=out).info("seen", authorization="Bearer abc", size=3)
        assert "abc" not in out.getvalue()
        assert "size=3" in out.getvalue()


class FakeLink:
    """A link that records the frames it is given."""

    def __init__(self) -> None:
        self.last_received_at = 0.0
        self.closed = False
        self.is_congested = False
        self.sent: list[bytes] = []

    async def send_frame(self, frame: bytes) -> None:
        """Record a frame."""
        self.sent.append(frame)

    async def close(self) -> None:
        """Record that the link was closed."""
        self.closed = True


class TestHeartbeatSender:
    """Heartbeats that a process sends, and links that it closes without any from the peer."""

    def test_unresponsive_link_is_closed(self) -> None:
        """One peer sends nothing for some heartbeats; the link of a live peer stays open."""

        async def scenario() -> tuple[bool, bool, int]:
            sender = HeartbeatSender(1.0, lambda _now: Heartbeat(1))
            unresponsive: Any = FakeLink()
            live: Any = FakeLink()
            unresponsive.last_received_at = live.last_received_at = await curio.clock()
            sender.links |= {unresponsive, live}
            task = await curio.spawn(sender.run)
            for _ in range(10):
                await curio.sleep(1.0)
                live.last_received_at = await curio.clock()
            await task.cancel()
            return unresponsive.closed, live.closed, len(live.sent)

        unresponsive, live, heartbeat_count = run_virtual(scenario)
        assert unresponsive and not live
        assert heartbeat_count in (9, 10)

    def test_links_survive_a_pause_of_this_process(self) -> None:
        """A process that was paused received nothing meanwhile, which is no fault of its peers."""

        async def scenario() -> bool:
            sender = HeartbeatSender(1.0, lambda _now: Heartbeat(1))
            link: Any = FakeLink()
            link.last_received_at = await curio.clock() - 30.0
            sender.links.add(link)
            sender._reset_link_timers(await curio.clock())
            await sender._send_heartbeats(await curio.clock())
            return bool(link.closed)

        assert run_virtual(scenario) is False
