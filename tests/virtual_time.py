"""Runs a coroutine under a clock that jumps to the next event instead of waiting."""

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

# Virtual seconds after which a story is taken never to end, unless it says that it lasts longer.
MAX_VIRTUAL_S = 600.0


class NeverEnds(AssertionError):
    """A story goes on and on; tells what its tasks wait for."""


class VirtualClock:
    """The kernel's clock."""

    def __init__(self, max_virtual_s: float) -> None:
        self.now = 1000.0
        self.max_virtual_s = max_virtual_s
        self.end = self.now + max_virtual_s

    def monotonic(self) -> float:
        """Return the virtual time."""
        return self.now


class SocketActivity:
    """Notes that something was done to a socket, of which its peer may be yet to hear."""

    RECORDED_CALLS = (
        *("send", "sendto", "sendmsg", "connect", "connect_ex", "shutdown", "close", "detach"),
        # Reading makes room, which a peer that could send no more hears of.
        *("recv", "recv_into", "recvfrom", "recvfrom_into", "recvmsg"),
    )

    def __init__(self) -> None:
        self.may_be_undelivered = True

    @contextlib.contextmanager
    def recorded(self) -> Iterator[None]:
        """Note what is done to sockets meanwhile."""
        with contextlib.ExitStack() as stack:
            for name in self.RECORDED_CALLS:
                noting = self._recording(getattr(socket.socket, name))
                stack.enter_context(mock.patch.object(socket.socket, name, noting))
            yield

    def _recording(self, call: Callable[..., Any]) -> Callable[..., Any]:
        @functools.wraps(call)
        def noting(*args: Any, **options: Any) -> Any:
            self.may_be_undelivered = True
            return call(*args, **options)

        return noting


class LoopbackProbe:
    """Tells whether what was sent over loopback is delivered by the time that sending returns."""

    def __init__(self) -> None:
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind(("127.0.0.1", 0))
        self._sock.connect(self._sock.getsockname())
        self._sock.setblocking(False)

    def delivers_at_once(self) -> bool:
        """Return whether a datagram to oneself is there; what was sent earlier went ahead of it."""
        self._sock.send(b".")
        try:
            self._sock.recv(1)
        except BlockingIOError:
            return False
        return True

    def close(self) -> None:
        """Give the socket back."""
        self._sock.close()


class VirtualTimeSelector(selectors.DefaultSelector):  # type: ignore[misc,valid-type]
    """Advances the clock by the time that it was asked to wait."""

    def __init__(
        self, clock: VirtualClock, activity: SocketActivity, settle_s: float = 0.0
    ) -> None:
        super().__init__()
        self._clock = clock
        self._activity = activity
        self._loopback = LoopbackProbe()
        self._settle_s = settle_s

    def select(self, timeout: float | None = None) -> Any:
        """Return what is ready; else let the time pass at once."""
        events = super().select(0) or self._wait_for_delivery(timeout)
        if events:
            return events
        if timeout is None:
            raise RuntimeError("nothing will ever happen")
        self._clock.now += max(0.0, timeout)
        if self._clock.now > self._clock.end:
            # The kernel ends its tasks then; where one does not end, this comes once more.
            self._clock.end = self._clock.now + self._clock.max_virtual_s
            raise NeverEnds(f"no end within {self._clock.max_virtual_s:g} s")
        return []

    def _wait_for_delivery(self, timeout: float | None) -> Any:
        # Waiting at each jump would make a run as slow as the machine's timers are coarse.
        if not self._activity.may_be_undelivered or timeout == 0.0:
            return []
        events = super().select(0.0 if self._loopback.delivers_at_once() else self._settle_s)
        self._activity.may_be_undelivered = bool(events)
        return events

    def close(self) -> None:
        """Close the probe with the selector."""
        self._loopback.close()
        super().close()


def run_virtual(
    main: Callable[..., Any],
    *args: Any,
    settle_s: float = 0.0,
    max_virtual_s: float = MAX_VIRTUAL_S,
) -> Any:
    """Return what ``main(*args)`` returns, its sleeps taking no time.

    Args:
        main: a coroutine function.
        args: its arguments.
        settle_s: real seconds that the kernel gets to deliver what was sent over loopback, before
            the time jumps; spent only after sockets were used and where delivery takes its time.
        max_virtual_s: virtual seconds within which it ends.

    Raises:
        NeverEnds: it did not; with where each of its tasks stood.
    """
    clock, traffic = VirtualClock(max_virtual_s), SocketActivity()
    fake = types.SimpleNamespace(monotonic=clock.monotonic)
    selector = VirtualTimeSelector(clock, traffic, settle_s)
    time_jumps = mock.patch.object(curio.kernel, "time", fake)
    with time_jumps, traffic.recorded(), curio.Kernel(selector=selector) as kernel:
        try:
            return kernel.run(main, *args)
        except NeverEnds as exc:
            waits = sorted(_describe_wait(task.coro) for task in kernel._tasks.values())
            raise NeverEnds("\n".join([str(exc), *waits])) from exc


def _describe_wait(coro: Any) -> str:
    """Return where a task stands, from its outermost call to its innermost."""
    calls = []
    while coro is not None and (frame := getattr(coro, "cr_frame", None)):
        calls.append(f"{frame.f_code.co_qualname}:{frame.f_lineno}")
        coro = coro.cr_await
    return " > ".join(calls)
