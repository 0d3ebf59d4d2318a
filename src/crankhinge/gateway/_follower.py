"""Follows one thing that the source tells: reads it, watches it, reads it anew after a loss."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import curio

from crankhinge.adapters import FleetSource, HistoryLost
from crankhinge.errors import KeyValueUnavailable

# Longest wait of one watch, in seconds. With the 0.8 s that it may take beyond that, a connection
# on which the source has fallen silent for good is noticed within 2.8 s: before an instance counts
# as in touch again, after 3 s. A watch that answers nothing costs a call; on a quiet day of 26
# instances calls cost 0.0248 of the worth instead of 0.0128 with 25 s, of 4 and 5 instances 0.0026
# and 0.0042 instead of 0.0010 and 0.0019. It must be shorter than the source remembers changes,
# 20 s, or a quiet source ends each watch with lost history.
WATCH_S = 2.0
# Pauses between attempts while the source is away, in seconds: soon enough that its return is
# noticed well within the two seconds in which a configuration has to be in force.
FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 0.6
# Seconds between lines that tell that the source is still away; each of its calls fails after 1.5 s
# at most, so that a line stands for a few.
STILL_LOST_S = 5.0

Read = Callable[[], Awaitable[int]]
Watch = Callable[[int, float], Awaitable[int]]


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


class Follower:
    """Follows one thing until cancelled.

    Args:
        what: its name, for logs.
        read: takes what stands now; returns the mark to watch from.
        watch: takes what changed since a mark, within some seconds; returns the next mark.
        source: where it comes from.
        log: for events.
        rng: for the pauses between attempts.

    Attributes:
        heard: when the source last had a word of it, on the runtime's clock; None before the first.
    """

    def __init__(
        self,
        what: str,
        *,
        read: Read,
        watch: Watch,
        source: FleetSource,
        log: Any,
        rng: random.Random,
    ) -> None:
        self.heard: float | None = None
        self._what = what
        self._read = read
        self._watch = watch
        self._source = source
        self._log = log
        self._rng = rng
        self._absence: _Absence | None = None

    @property
    def was_away(self) -> bool:
        """Whether a call to the source has failed since its last word."""
        return self._absence is not None

    async def run(self) -> None:
        """Read and watch until cancelled."""
        mark: int | None = None
        pause = FIRST_PAUSE_S
        lost_pause = 0.0
        while True:
            watched = mark is not None
            # After an absence the answer is wanted at once: it tells that the source is back. The
            # watch goes on from its mark; to read all anew may take a thin link seconds.
            wait_s = 0.0 if self.was_away else WATCH_S
            try:
                mark = await (self._read() if mark is None else self._watch(mark, wait_s))
            except HistoryLost as exc:
                self._log.info("history_lost", what=self._what, why=exc.detail)
                mark = None
                # What is read next is current; history that is lost again at once is not pressed.
                await curio.sleep(lost_pause)
                lost_pause = min(MAX_PAUSE_S, lost_pause * 2 or FIRST_PAUSE_S)
                continue
            except KeyValueUnavailable as exc:
                await self._failed(exc)
                await curio.sleep(pause * self._rng.uniform(0.7, 1.3))
                pause = min(MAX_PAUSE_S, pause * 2)
                continue
            await self._answered()
            pause = FIRST_PAUSE_S
            if watched:
                lost_pause = 0.0

    async def _failed(self, exc: KeyValueUnavailable) -> None:
        now = await curio.clock()
        if self._absence is None:
            self._absence = _Absence(now, now, self._source.received)
            self._log.warning("source_lost", what=self._what, why=exc.detail)
        absence = self._absence
        absence.failures += 1
        if now - absence.told_at >= STILL_LOST_S:
            absence.told_at = now
            self._log.warning(
                "source_still_lost",
                what=self._what,
                why=exc.detail,
                away_s=round(now - absence.since, 3),
                failures=absence.failures,
                received=self._source.received - absence.received,
            )

    async def _answered(self) -> None:
        self.heard = await curio.clock()
        if self._absence is not None:
            away_s = round(self.heard - self._absence.since, 3)
            self._log.info(
                "source_regained",
                what=self._what,
                away_s=away_s,
                failures=self._absence.failures,
            )
            self._absence = None
