"""Follows one thing that the source tells: reads it, watches it, reads it anew after a loss."""

from __future__ import annotations

import math
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import curio

from crankhinge.adapters import DiscoverySource, HistoryLost
from crankhinge.decisions import ChangeBatcher
from crankhinge.errors import KeyValueUnavailable

# Pauses between attempts while the source is away, in seconds: soon enough that its return is
# noticed well within the two seconds in which a configuration has to be in force.
FIRST_RETRY_S = 0.1
MAX_RETRY_S = 0.6
# Seconds between lines that tell that the source is still away; each of its calls fails after 1.5 s
# at most, so that a line stands for a few.
STILL_LOST_LOG_INTERVAL_S = 5.0


@dataclass(frozen=True, slots=True)
class CallResult:
    """What one call brought.

    Attributes:
        revision: to watch from.
        may_batch: whether the next call may wait, so that it tells of several changes.
        unchanged: whether nothing had changed to the end of the wait.
    """

    revision: int
    may_batch: bool
    unchanged: bool = False


ReadCall = Callable[[], Awaitable[CallResult]]
WatchCall = Callable[[int, float], Awaitable[CallResult]]
# Returns the longest wait of a watch when what was last proved is so old; both in seconds.
WatchWait = Callable[[float], float]


@dataclass
class _Absence:
    """A time without an answer of the source.

    Attributes:
        since: when the first call failed, on the runtime's clock.
        told_at: when a line was last written of it.
        received: bytes that had come from the source before it.
        failures: calls that failed.
    """

    since: float
    told_at: float
    received: int
    failures: int = 0


class SourceWatcher:
    """Follows one thing until cancelled.

    Args:
        name: its name, for logs.
        read: takes what stands now.
        watch: takes what changed since a mark, within some seconds.
        watch_wait_s: tells the longest wait of one watch.
        pause_s: seconds without a call while changes go on; they come in one answer.
        source: where it comes from.
        log: for events.
        rng: for the pauses between attempts.

    Attributes:
        received_at: when the source last had a word of it, on the runtime's clock; None before
            the first.
        current_at: what is known was current at this time, on the runtime's clock; minus infinity
            before the first word.
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
        self._what = name
        self._read = read
        self._watch = watch
        self._watch_s = watch_wait_s
        self._gathering = ChangeBatcher(pause_s)
        self._source = source
        self._log = log
        self._rng = rng
        self._absence: _Absence | None = None

    @property
    def was_unreachable(self) -> bool:
        """Whether a call to the source has failed since its last word."""
        return self._absence is not None

    async def run(self) -> None:
        """Read and watch until cancelled."""
        mark: int | None = None
        pause = FIRST_RETRY_S
        lost_pause = 0.0
        gathered_s = 0.0
        while True:
            watched = mark is not None
            # After an absence the answer is wanted at once: it tells that the source is back. The
            # watch goes on from its mark; to read all anew may take a thin link seconds.
            asked = await curio.clock()
            wait_s = self._wait_s(asked, gathered_s)
            try:
                step = await (self._read() if mark is None else self._watch(mark, wait_s))
            except HistoryLost as exc:
                self._log.info("history_lost", what=self._what, why=exc.detail)
                mark = None
                # What is read next is current; history that is lost again at once is not pressed.
                await curio.sleep(lost_pause)
                lost_pause = min(MAX_RETRY_S, lost_pause * 2 or FIRST_RETRY_S)
                continue
            except KeyValueUnavailable as exc:
                await self._failed(exc)
                await curio.sleep(pause * self._rng.uniform(0.7, 1.3))
                pause = min(MAX_RETRY_S, pause * 2)
                continue
            mark = step.revision
            # The answer was made some time after the call was sent; one that tells of no change,
            # at the end of the wait.
            self.current_at = max(self.current_at, asked + (wait_s if step.unchanged else 0.0))
            await self._answered()
            pause = FIRST_RETRY_S
            gathered_s = 0.0
            if watched:
                lost_pause = 0.0
                if step.may_batch:
                    # The connection may fall silent meanwhile: the watch that would show it is
                    # shorter by the time in which none is under way.
                    gathered_s = self._gathering.record_change(await curio.clock())
                    await curio.sleep(gathered_s)

    def _wait_s(self, now: float, gathered_s: float) -> float:
        """Return how long the next watch waits, in seconds."""
        if self.was_unreachable:
            return 0.0
        return max(0.0, self._watch_s(now - self.current_at) - gathered_s)

    async def _failed(self, exc: KeyValueUnavailable) -> None:
        now = await curio.clock()
        if self._absence is None:
            self._absence = _Absence(now, now, self._source.received_bytes)
            self._log.warning("source_lost", what=self._what, why=exc.detail)
        absence = self._absence
        absence.failures += 1
        if now - absence.told_at >= STILL_LOST_LOG_INTERVAL_S:
            absence.told_at = now
            self._log.warning(
                "source_still_lost",
                what=self._what,
                why=exc.detail,
                away_s=round(now - absence.since, 3),
                failures=absence.failures,
                received=self._source.received_bytes - absence.received,
            )

    async def _answered(self) -> None:
        self.received_at = await curio.clock()
        if self._absence is not None:
            away_s = round(self.received_at - self._absence.since, 3)
            self._log.info(
                "source_regained",
                what=self._what,
                away_s=away_s,
                failures=self._absence.failures,
            )
            self._absence = None
