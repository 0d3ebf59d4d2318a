"""Sends heartbeats on all links of a process and closes links whose peer is unresponsive."""

from __future__ import annotations

from collections.abc import Callable

import curio

from crankhinge.errors import LinkClosed
from crankhinge.wire import Heartbeat, Link, encode

# A link is closed when nothing has arrived on it for this many heartbeat intervals.
LINK_TIMEOUT_BEATS = 4.0
# A gap of more than this many heartbeat intervals between two rounds of heartbeats shows that this
# process itself was paused.
PAUSE_THRESHOLD_BEATS = 3.0


class HeartbeatSender:
    """Sends one heartbeat per interval on each link and closes unresponsive links.

    A paused peer keeps its connections open but sends nothing. Closing its links frees the
    resources that this process reserves for the peer's requests. After a pause of this process
    itself, the timers of all links restart, because messages that peers sent during the pause have
    not been read yet.

    Args:
        interval_s: seconds between heartbeats.
        make_heartbeat: returns the heartbeat to send, given the current time of the runtime's
            clock in seconds.

    Attributes:
        links: the open links; the owner adds and removes them.
    """

    def __init__(self, interval_s: float, make_heartbeat: Callable[[float], Heartbeat]) -> None:
        self.links: set[Link] = set()
        self._interval_s = interval_s
        self._make_heartbeat = make_heartbeat
        self._wake = curio.Event()

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        last = await curio.clock()
        while True:
            await curio.ignore_after(self._interval_s, self._wake.wait)
            self._wake.clear()
            now = await curio.clock()
            if now - last > PAUSE_THRESHOLD_BEATS * self._interval_s:
                self._reset_link_timers(now)
            last = now
            await self._send_heartbeats(now)

    async def send_now(self) -> None:
        """Send the next heartbeat immediately instead of at the end of the interval.

        Called when peers must learn of a change without delay, such as the start of a drain.
        """
        await self._wake.set()

    def _reset_link_timers(self, now: float) -> None:
        for link in self.links:
            link.last_received_at = now

    async def _send_heartbeats(self, now: float) -> None:
        frame = encode(self._make_heartbeat(now))
        for link in list(self.links):
            if now - link.last_received_at > LINK_TIMEOUT_BEATS * self._interval_s:
                await link.close()
                continue
            if link.is_congested:
                continue
            try:
                await link.send_frame(frame)
            except LinkClosed:
                continue
