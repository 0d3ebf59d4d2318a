"""Runs a coroutine with a virtual clock that jumps to the next timer instead of waiting."""

import contextlib
import functools
import selectors
import socket
import types
from collections.abc import Callable, Iterator
from typing import Any
from unittest import mock

import curio
import curio.kernel

# Default limit on the virtual seconds of a run; a longer run fails as one that never ends.
MAX_VIRTUAL_S = 600.0


class NeverEnds(AssertionError):
    """A run exceeded its limit of virtual time; the message says what its tasks wait for."""


class VirtualClock:
    """The virtual clock of curio's kernel.

    Attributes:
        now: virtual time in seconds.
        max_virtual_s: limit on the virtual seconds of a run.
        end: virtual time at which the limit is exceeded.
    """

    def __init__(self, max_virtual_s: float) -> None:
        self.now = 1000.0
        self.max_virtual_s = max_virtual_s
        self.end = self.now + max_virtual_s

    def monotonic(self) -> float:
        """Return the virtual time in seconds."""
        return self.now


class SocketActivity:
    """Records that a socket was used, so that data may not have reached its peer yet."""

    RECORDED_CALLS = (
        *("send", "sendto", "sendmsg", "connect", "connect_ex", "shutdown", "close", "detach"),
        # Reading frees buffer space, which lets a blocked peer send more.
        *("recv", "recv_into", "recvfrom", "recvfrom_into", "recvmsg"),
    )

    def __init__(self) -> None:
        self.may_be_undelivered = True

    @contextlib.contextmanager
    def recorded(self) -> Iterator[None]:
        """Record the use of sockets inside the context."""
        with contextlib.ExitStack() as stack:
            for name in self.RECORDED_CALLS:
                recording = self._recording(getattr(socket.socket, name))
                stack.enter_context(mock.patch.object(socket.socket, name, recording))
            yield

    def _recording(self, call: Callable[..., Any]) -> Callable[..., Any]:
        @functools.wraps(call)
        def recording(*args: Any, **options: Any) -> Any:
            self.may_be_undelivered = True
            return call(*args, **options)

        return recording


class LoopbackProbe:
    """Checks whether data sent over the loopback device was delivered already."""

    def __init__(self) -> None:
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind(("127.0.0.1", 0))
        self._sock.connect(self._sock.getsockname())
        self._sock.setblocking(False)

    def delivers_at_once(self) -> bool:
        """Return whether a datagram to itself arrives at once; then earlier data arrived, too."""
        self._sock.send(b".")
        try:
            self._sock.recv(1)
        except BlockingIOError:
            return False
        return True

    def close(self) -> None:
        """Close the socket."""
        self._sock.close()


class VirtualTimeSelector(selectors.DefaultSelector):  # type: ignore[misc,valid-type]
    """A selector that advances the virtual clock instead of waiting.

    Args:
        clock: the clock to advance.
        activity: whether sockets were used since the last check.
        settle_s: real seconds to wait for the delivery of sent data.
    """

    def __init__(
        self, clock: VirtualClock, activity: SocketActivity, settle_s: float = 0.0
    ) -> None:
        super().__init__()
        self._clock = clock
        self._activity = activity
        self._loopback = LoopbackProbe()
        self._settle_s = settle_s

    def select(self, timeout: float | None = None) -> Any:
        """Return ready events; without any, advance the clock by *timeout* at once."""
        events = super().select(0) or self._wait_for_delivery(timeout)
        if events:
            return events
        if timeout is None:
            raise RuntimeError("no socket is ready and no timer is set")
        self._clock.now += max(0.0, timeout)
        if self._clock.now > self._clock.end:
            # The kernel now cancels its tasks; if one does not end, the run exceeds the new limit.
            self._clock.end = self._clock.now + self._clock.max_virtual_s
            raise NeverEnds(
                f"the run did not end within {self._clock.max_virtual_s:g} virtual seconds"
            )
        return []

    def _wait_for_delivery(self, timeout: float | None) -> Any:
        # A real wait before every jump, not only after the use of sockets, would take at least the
        # resolution of the system's timers each time and make runs slow.
        if not self._activity.may_be_undelivered or timeout == 0.0:
            return []
        events = super().select(0.0 if self._loopback.delivers_at_once() else self._settle_s)
        self._activity.may_be_undelivered = bool(events)
        return events

    def close(self) -> None:
        """Close the selector and its loopback probe."""
        self._loopback.close()
        super().close()


def run_virtual(
    main: Callable[..., Any],
    *args: Any,
    settle_s: float = 0.0,
    max_virtual_s: float = MAX_VIRTUAL_S,
) -> Any:
    """Runs ``main(*args)`` in virtual time, in which sleeps take no real time.

    Args:
        main: a coroutine function.
        args: arguments of *main*.
        settle_s: real seconds before each jump in which the system may deliver data sent over the
            loopback device; spent only after sockets were used and if delivery is not immediate.
        max_virtual_s: virtual seconds within which the run must end.

    Returns:
        What *main* returns.

    Raises:
        NeverEnds: the run exceeded its limit; the message lists where each task waits.
    """
    clock, activity = VirtualClock(max_virtual_s), SocketActivity()
    fake = types.SimpleNamespace(monotonic=clock.monotonic)
    selector = VirtualTimeSelector(clock, activity, settle_s)
    time_jumps = mock.patch.object(curio.kernel, "time", fake)
    with time_jumps, activity.recorded(), curio.Kernel(selector=selector) as kernel:
        try:
            return kernel.run(main, *args)
        except NeverEnds as exc:
            waits = sorted(_describe_wait(task.coro) for task in kernel._tasks.values())
            raise NeverEnds("\n".join([str(exc), *waits])) from exc


def _describe_wait(coro: Any) -> str:
    """Return the calls in which a task waits, from the outermost to the innermost."""
    calls = []
    while coro is not None and (frame := getattr(coro, "cr_frame", None)):
        calls.append(f"{frame.f_code.co_qualname}:{frame.f_lineno}")
        coro = coro.cr_await
    return " > ".join(calls)
