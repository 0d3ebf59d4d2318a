"""A local copy of the platform's list of instances, refreshed periodically."""

from __future__ import annotations

import random
from typing import Any

import curio

from crankhinge.adapters import Instance, InstanceList
from crankhinge.errors import KeyValueUnavailable

# Longest refresh interval while the list is still empty, so that a process finds its peers soon
# after its start.
MAX_INITIAL_REFRESH_S = 0.5
# Range of the random factor applied to each refresh interval.
REFRESH_JITTER = (0.8, 1.2)


class InstanceListCache:
    """Refreshes the list periodically and keeps the last copy while the platform is unavailable.

    Args:
        source: client of the platform's instance list.
        refresh_interval_s: seconds between refreshes.
        log: logger for events.
        rng: source of the jitter that keeps the processes of a fleet from refreshing at the same
            time.

    Attributes:
        instances: the list as last read; empty before the first successful refresh.
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
        """Refresh the list until cancelled."""
        while True:
            await self.refresh()
            await self.sleep_until_refresh()

    async def refresh(self) -> bool:
        """Read the list once and return whether the platform provided it."""
        try:
            self.instances = await self._source.list_agents()
        except KeyValueUnavailable as exc:
            self._log.warning("list_unavailable", why=exc.detail)
            return False
        return True

    async def sleep_until_refresh(self) -> None:
        """Sleep until the next refresh is due.

        While the list is empty, the interval is at most ``MAX_INITIAL_REFRESH_S``.
        """
        interval_s = (
            self._refresh_interval_s
            if self.instances
            else min(MAX_INITIAL_REFRESH_S, self._refresh_interval_s)
        )
        await curio.sleep(interval_s * self._rng.uniform(*REFRESH_JITTER))

    def find(self, name: str) -> Instance | None:
        """Return the instance of the agent *name*, or None if the list does not contain it."""
        return next((instance for instance in self.instances if instance.name == name), None)
