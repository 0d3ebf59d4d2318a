"""Watches one kind of data at the source.

The data is read once, then each watch waits for changes after the last known revision. If the
source has lost the history since that revision, the data is read again.
"""

from __future__ import annotations

import math
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import curio

from crankhinge.adapters import DiscoverySource, HistoryLost
from crankhinge.decisions import WATCH_RECOVERY_S, ChangeBatcher, ListConfirmation
from crankhinge.errors import KeyValueUnavailable

# Bounds of the delay between attempts while the source is unreachable, in seconds, before jitter:
# short enough that its return is noticed well within the two seconds in which a changed
# configuration has to be active.
FIRST_RETRY_S = 0.1
MAX_RETRY_S = 0.6
# Seconds between log lines about a source that is still unreachable. Each call fails after 1.5 s at
# most, so a line stands for a few calls.
STILL_LOST_LOG_INTERVAL_S = 5.0


@dataclass(frozen=True, slots=True)
class CallResult:
    """Result of one call to the source.

    Attributes:
        revision: revision from which to watch next.
        may_batch: whether the next call may be delayed, so that its response has several changes.
        unchanged: whether nothing changed until the end of the wait.
    """

    revision: int
    may_batch: bool
    unchanged: bool = False


ReadCall = Callable[[], Awaitable[CallResult]]
WatchCall = Callable[[int, float], Awaitable[CallResult]]
# Takes the age of the data in seconds; returns the longest wait of a watch in seconds.
WatchWait = Callable[[float], float]


@dataclass
class _Outage:
    """A time in which the source does not respond.

    Attributes:
        since: when the first call failed, on the runtime's clock.
        logged_at: when the outage was last logged.
        received_bytes: bytes received from the source before the outage.
        failures: number of calls that failed.
    """

    since: float
    logged_at: float
    received_bytes: int
    failures: int = 0


class SourceWatcher:
    """Watches one kind of data until cancelled.

    Args:
        name: name of the data, for logs.
        read: reads the current data and applies it.
        watch: waits for changes after a revision, for some seconds at most, and applies them.
        watch_wait_s: returns the longest wait of one watch.
        pause_s: seconds to wait before the next watch while the data keeps changing, so that one
            response has several changes.
        source: the source of the data.
        log: log for events.
        rng: source of the jitter of retry delays.

    Attributes:
        received_at: when the source last responded, on the runtime's clock; None before the first
            response.
        current_at: time on the runtime's clock at which the data was known to be current; minus
            infinity before the first response.
        confirmation: how far the data can be relied upon.
    """

    def __init__(
        self,
        name: str,
        *,
        read: ReadCall,
        watch: WatchCall,
        watch_wait_s: WatchWait,
        pause_s: float,
        source: DiscoverySource,
        log: Any,
        rng: random.Random,
    ) -> None:
        self.received_at: float | None = None
        self.current_at = -math.inf
        self.confirmation = ListConfirmation(
            watch_wait_s(0.0) + WATCH_RECOVERY_S, lambda: source.disturbed_at
        )
        self._name = name
        self._read = read
        self._watch = watch
        self._watch_wait_s = watch_wait_s
        self._batcher = ChangeBatcher(pause_s)
        self._source = source
        self._log = log
        self._rng = rng
        self._outage: _Outage | None = None

    @property
    def was_unreachable(self) -> bool:
        """Whether a call to the source has failed since its last response."""
        return self._outage is not None

    async def run(self) -> None:
        """Read and watch the data until cancelled."""
        revision: int | None = None
        retry_s = FIRST_RETRY_S
        history_retry_s = 0.0
        last_pause_s = 0.0
        while True:
            was_watch = revision is not None
            # After an outage the watch does not wait, since its response shows that the source is
            # back. It continues from the last revision: to read all data again may take seconds on
            # a link of low bandwidth.
            sent_at = await curio.clock()
            wait_s = self._wait_s(sent_at, last_pause_s)
            try:
                result = await (self._read() if revision is None else self._watch(revision, wait_s))
            except HistoryLost as exc:
                self.confirmation.record_lost()
                self._log.info("history_lost", what=self._name, why=exc.detail)
                revision = None
                # The data is read again without delay at the first loss. The delay grows with each
                # further one, so that a source that keeps losing its history is not read in a loop.
                await curio.sleep(history_retry_s)
                history_retry_s = min(MAX_RETRY_S, history_retry_s * 2 or FIRST_RETRY_S)
                continue
            except KeyValueUnavailable as exc:
                await self._record_failure(exc)
                await curio.sleep(retry_s * self._rng.uniform(0.7, 1.3))
                retry_s = min(MAX_RETRY_S, retry_s * 2)
                continue
            revision = result.revision
            # The response was made at some time after the call was sent. A response without a
            # change was made at the end of the wait.
            self.current_at = max(self.current_at, sent_at + (wait_s if result.unchanged else 0.0))
            await self._record_response()
            retry_s = FIRST_RETRY_S
            last_pause_s = 0.0
            if was_watch:
                history_retry_s = 0.0
                if result.may_batch:
                    # If the connection becomes unresponsive during this pause, no watch is open
                    # that would notice it. Therefore the next watch is shorter by the pause.
                    last_pause_s = self._batcher.record_change(await curio.clock())
                    await curio.sleep(last_pause_s)

    def _wait_s(self, now: float, last_pause_s: float) -> float:
        """Return how long the next watch waits, in seconds."""
        if self.was_unreachable:
            return 0.0
        return max(0.0, self._watch_wait_s(now - self.current_at) - last_pause_s)

    async def _record_failure(self, exc: KeyValueUnavailable) -> None:
        self.confirmation.record_lost()
        now = await curio.clock()
        if self._outage is None:
            self._outage = _Outage(now, now, self._source.received_bytes)
            self._log.warning("source_lost", what=self._name, why=exc.detail)
        outage = self._outage
        outage.failures += 1
        if now - outage.logged_at >= STILL_LOST_LOG_INTERVAL_S:
            outage.logged_at = now
            self._log.warning(
                "source_still_lost",
                what=self._name,
                why=exc.detail,
                away_s=round(now - outage.since, 3),
                failures=outage.failures,
                received=self._source.received_bytes - outage.received_bytes,
            )

    async def _record_response(self) -> None:
        self.received_at = await curio.clock()
        self.confirmation.record_response(self.current_at, self.received_at)
        if self._outage is not None:
            away_s = round(self.received_at - self._outage.since, 3)
            self._log.info(
                "source_regained",
                what=self._name,
                away_s=away_s,
                failures=self._outage.failures,
            )
            self._outage = None
