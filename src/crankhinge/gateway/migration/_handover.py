"""A move in progress, as the mover and the task that relays the stream share it.

The mover makes the calls that copy the run. The relaying task alone reads the source's stream and
sends the request to the next engine, so that the caller's events have one sender.
"""

from __future__ import annotations

import enum

import curio

from crankhinge.decisions import Server


class MoveOutcome(enum.Enum):
    """How a move ended. The values are logged.

    Attributes:
        MOVED: the run continues at the target.
        RETURNED: the run was stopped and continues at its source.
        NOT_MOVABLE: nothing was done, since the run or the target does not qualify.
        NO_ROOM: the target has no room; the run goes on at its source.
        IN_PROGRESS: another call copies the run; it goes on as that call decides.
        NO_ANSWER: the source gave no usable response; the run goes on there.
        ENDED: the run ended, or its caller left, before it was moved.
        BROKEN: the stream broke and no engine continued the run from the copy.
    """

    MOVED = "moved"
    RETURNED = "returned"
    NOT_MOVABLE = "not_movable"
    NO_ROOM = "no_room"
    IN_PROGRESS = "in_progress"
    NO_ANSWER = "no_answer"
    ENDED = "ended"
    BROKEN = "broken"


class Handover:
    """A move in progress.

    Args:
        source: the engine that runs the request.
        target: the engine that is to continue it.

    Attributes:
        source: the engine that runs the request.
        target: the engine that is to continue it.
        cache_handle: handle of the copy; empty while there is none that may be used.
        stop_requested: whether the source was asked to stop the run.
        run_had_ended: whether the source has answered that the run had ended by itself.
        source_stopped: whether the source has confirmed that it stopped the run to move it.
        target_has_copy: whether the target has a copy that may be used.
        valid_until: when the handle of the first call expires, on the runtime's clock.
        outcome: how the move ended; None before.
    """

    def __init__(self, source: Server, target: Server) -> None:
        self.source = source
        self.target = target
        self.cache_handle = ""
        self.stop_requested = False
        self.run_had_ended = False
        self.source_stopped = False
        self.target_has_copy = False
        self.valid_until = 0.0
        self.outcome: MoveOutcome | None = None
        self._source_ended = curio.Event()
        self._calls_ended = curio.Event()
        self._finished = curio.Event()

    @property
    def source_has_ended(self) -> bool:
        """Whether the source's stream has ended, with or without the end of the answer."""
        return bool(self._source_ended.is_set())

    @property
    def may_be_stopped(self) -> bool:
        """Whether the source may have stopped the run, as far as its answers tell."""
        return self.stop_requested and not self.run_had_ended

    @property
    def is_finished(self) -> bool:
        """Whether the outcome is certain."""
        return self.outcome is not None

    def engines_to_continue(self) -> list[Server]:
        """Return the engines that may continue the run from the copy, in order."""
        if not self.cache_handle:
            return []
        return [self.target, self.source] if self.target_has_copy else [self.source]

    async def on_source_closed(self) -> None:
        """Record that the source closed the stream without its end.

        Returns when the mover has no call in progress. Until then it is open whether the source has
        stopped the run or the stream has broken, and with which handle the run can continue.
        """
        await self._source_ended.set()
        await self._calls_ended.wait()

    async def end_calls(self) -> None:
        """Record that the mover makes no further call."""
        await self._calls_ended.set()

    async def wait_source_ended(self) -> None:
        """Wait until the source's stream has ended."""
        await self._source_ended.wait()

    async def finish(self, outcome: MoveOutcome) -> None:
        """Record how the move ended, unless that is known already."""
        if self.outcome is None:
            self.outcome = outcome
        await self._source_ended.set()
        await self._finished.set()

    async def wait_finished(self) -> None:
        """Wait until the outcome is certain."""
        await self._finished.wait()
