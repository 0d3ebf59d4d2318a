"""Runs a coroutine under a clock that jumps to the next event instead of waiting."""

import selectors
import types
from collections.abc import Callable
from typing import Any
from unittest import mock

import curio
import curio.kernel


class VirtualClock:
    """The kernel's clock."""

    def __init__(self) -> None:
        self.now = 1000.0

    def monotonic(self) -> float:
        """Return the virtual time."""
        return self.now


class JumpingSelector(selectors.DefaultSelector):  # type: ignore[misc,valid-type]
    """Advances the clock by the time that it was asked to wait."""

    def __init__(self, clock: VirtualClock, settle_s: float = 0.0) -> None:
        super().__init__()
        self._clock = clock
        self._settle_s = settle_s

    def select(self, timeout: float | None = None) -> Any:
        """Return what is ready; else let the time pass at once."""
        events = super().select(0) or super().select(min(self._settle_s, timeout or 0.0))
        if events:
            return events
        if timeout is None:
            raise RuntimeError("nothing will ever happen")
        self._clock.now += max(0.0, timeout)
        return []


def run_virtual(main: Callable[..., Any], *args: Any, settle_s: float = 0.0) -> Any:
    """Return what ``main(*args)`` returns, its sleeps taking no time.

    Args:
        main: a coroutine function.
        args: its arguments.
        settle_s: real seconds that the kernel gets to deliver what was sent over loopback, before
            the time jumps; needed where sockets are used.
    """
    clock = VirtualClock()
    fake = types.SimpleNamespace(monotonic=clock.monotonic)
    with mock.patch.object(curio.kernel, "time", fake):
        return curio.run(main, *args, selector=JumpingSelector(clock, settle_s))
