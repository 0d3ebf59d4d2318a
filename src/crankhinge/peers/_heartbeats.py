"""Heartbeats on all links of a process, and the end of links that have gone silent."""

from __future__ import annotations

from collections.abc import Callable

import curio

from crankhinge.errors import LinkClosed
from crankhinge.wire import Beat, Link, encode

SILENT_BEATS = 4.0
PAUSE_BEATS = 3.0


class HeartbeatSender:
    """Sends one heartbeat per period to each link.

    A peer that is paused keeps its connections open but falls silent: its links are closed, and
    what it held is freed. When this process itself was paused, its peers get a fresh chance.

    Args:
        beat_s: seconds between heartbeats.
        make_heartbeat: makes the heartbeat.
    """

    def __init__(self, beat_s: float, make_heartbeat: Callable[[float], Beat]) -> None:
        self.links: set[Link] = set()
        self._beat_s = beat_s
        self._make = make_heartbeat
        self._wake = curio.Event()

    async def run(self) -> None:
        """Beat until cancelled."""
        last = await curio.clock()
        while True:
            await curio.ignore_after(self._beat_s, self._wake.wait)
            self._wake.clear()
            now = await curio.clock()
            if now - last > PAUSE_BEATS * self._beat_s:
                self._forgive(now)
            last = now
            await self._beat(now)

    async def send_now(self) -> None:
        """Send the next heartbeat at once: the load has changed its kind."""
        await self._wake.set()

    def _forgive(self, now: float) -> None:
        for link in self.links:
            link.heard = now

    async def _beat(self, now: float) -> None:
        frame = encode(self._make(now))
        for link in list(self.links):
            if now - link.heard > SILENT_BEATS * self._beat_s:
                await link.close()
                continue
            if link.congested:
                continue
            try:
                await link.send_frame(frame)
            except LinkClosed:
                continue
