"""Heartbeats on all links of a process, and the end of links that have gone silent."""

from __future__ import annotations

from collections.abc import Callable

import curio

from crankhinge.errors import LinkClosed
from crankhinge.wire import Beat, Link, encode

LINK_TIMEOUT_BEATS = 4.0
PAUSE_THRESHOLD_BEATS = 3.0


class HeartbeatSender:
    """Sends one heartbeat per period to each link.

    A peer that is paused keeps its connections open but falls silent: its links are closed, and
    what it held is freed. When this process itself was paused, its peers get a fresh chance.

    Args:
        interval_s: seconds between heartbeats.
        make_heartbeat: makes the heartbeat.
    """

    def __init__(self, interval_s: float, make_heartbeat: Callable[[float], Beat]) -> None:
        self.links: set[Link] = set()
        self._interval_s = interval_s
        self._make_heartbeat = make_heartbeat
        self._wake = curio.Event()

    async def run(self) -> None:
        """Beat until cancelled."""
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
        """Send the next heartbeat at once: the load has changed its kind."""
        await self._wake.set()

    def _reset_link_timers(self, now: float) -> None:
        for link in self.links:
            link.heard = now

    async def _send_heartbeats(self, now: float) -> None:
        frame = encode(self._make_heartbeat(now))
        for link in list(self.links):
            if now - link.heard > LINK_TIMEOUT_BEATS * self._interval_s:
                await link.close()
                continue
            if link.congested:
                continue
            try:
                await link.send_frame(frame)
            except LinkClosed:
                continue
