"""Tells how many calls this instance makes to the platform's service, by kind."""

from __future__ import annotations

from collections import Counter
from typing import Any

import curio

from crankhinge.adapters import DiscoverySource

# Seconds between lines: a few hundred bytes a minute.
LOG_INTERVAL_S = 10.0


class CallLog:
    """Writes a line of the calls made since the last one.

    Args:
        source: whose calls.
        log: for events.
    """

    def __init__(self, source: DiscoverySource, log: Any) -> None:
        self._source = source
        self._log = log

    async def run(self) -> None:
        """Write lines until cancelled."""
        told: Counter[str] = Counter()
        while True:
            await curio.sleep(LOG_INTERVAL_S)
            calls = Counter(self._source.call_counts)
            since = calls - told
            told = calls
            self._log.info("source_called", within_s=LOG_INTERVAL_S, total=since.total(), **since)
