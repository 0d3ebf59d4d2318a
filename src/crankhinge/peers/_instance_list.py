"""The platform's list of instances, as last read."""

from __future__ import annotations

import random
from typing import Any

import curio

from crankhinge.adapters import Instance, InstanceList
from crankhinge.errors import KeyValueUnavailable

MAX_INITIAL_REFRESH_S = 0.5
REFRESH_JITTER = (0.8, 1.2)


class InstanceListCache:
    """Reads the list now and then and keeps it while it can't be read.

    Args:
        source: the platform's list.
        refresh_interval_s: seconds between readings.
        log: for events.
        rng: spreads the readings of a fleet.
    """

    def __init__(
        self, source: InstanceList, *, refresh_interval_s: float, log: Any, rng: random.Random
    ) -> None:
        self.instances: list[Instance] = []
        self._source = source
        self._refresh_interval_s = refresh_interval_s
        self._log = log
        self._rng = rng

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            await self.refresh()
            await self.sleep_until_refresh()

    async def refresh(self) -> bool:
        """Read the list once; returns whether it could be read."""
        try:
            self.instances = await self._source.agents()
        except KeyValueUnavailable as exc:
            self._log.warning("list_unavailable", why=exc.detail)
            return False
        return True

    async def sleep_until_refresh(self) -> None:
        """Wait until the next reading is due; not long while nothing is known."""
        base = (
            self._refresh_interval_s
            if self.instances
            else min(MAX_INITIAL_REFRESH_S, self._refresh_interval_s)
        )
        await curio.sleep(base * self._rng.uniform(*REFRESH_JITTER))

    def find(self, name: str) -> Instance | None:
        """Return an instance by name."""
        return next((instance for instance in self.instances if instance.name == name), None)
