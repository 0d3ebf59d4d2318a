"""Turns of tasks that may never have to wait."""

from __future__ import annotations

import curio

# Steps in a turn. A step is a call that processes one message or this many bytes; 64 of them take
# about a millisecond.
STEPS_PER_TURN = 64
BYTES_PER_STEP = 4096


class Turns:
    """Lets other tasks run after every so many steps of a task.

    curio switches tasks only where one waits. A task that reads from a peer which sends faster than
    the task processes never waits, so it would hold up all others.
    """

    def __init__(self) -> None:
        self._steps = 0

    async def end_step(self, size: int = 0) -> None:
        """Count a step that processed *size* bytes; let other tasks run if it ended a turn."""
        self._steps += 1 + size // BYTES_PER_STEP
        if self._steps >= STEPS_PER_TURN:
            self._steps = 0
            await curio.sleep(0)
