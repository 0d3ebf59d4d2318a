"""The platform's list of instances, as last read."""

from __future__ import annotations

import random
from typing import Any

import curio

from crankhinge.adapters import Instance, InstanceList
from crankhinge.errors import KeyValueUnavailable

FIRST_PAUSE_S = 0.5
SPREAD = (0.8, 1.2)


class Roster:
    """Reads the list now and then and keeps it while it can't be read.

    Args:
        instances: the platform's list.
        list_s: seconds between readings.
        log: for events.
        rng: spreads the readings of a fleet.
    """

    def __init__(
        self, instances: InstanceList, *, list_s: float, log: Any, rng: random.Random
    ) -> None:
        self.known: list[Instance] = []
        self._instances = instances
        self._list_s = list_s
        self._log = log
        self._rng = rng

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            await self.read()
            await self.pause()

    async def read(self) -> bool:
        """Read the list once; returns whether it could be read."""
        try:
            self.known = await self._instances.agents()
        except KeyValueUnavailable as exc:
            self._log.warning("list_unavailable", why=exc.detail)
            return False
        return True

    async def pause(self) -> None:
        """Wait until the next reading is due; not long while nothing is known."""
        base = self._list_s if self.known else min(FIRST_PAUSE_S, self._list_s)
        await curio.sleep(base * self._rng.uniform(*SPREAD))

    def find(self, name: str) -> Instance | None:
        """Return an instance by name."""
        return next((instance for instance in self.known if instance.name == name), None)
