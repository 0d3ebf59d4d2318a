"""Tests of the steady clock.

They guard against an instance that, after its machine was suspended for some seconds, runs a
request with a key that was revoked meanwhile, or grants tokens that another instance already
grants. It happens if ages and leases are measured with a clock that stops during a suspension: the
key is revoked, the lease ends and another instance takes over, but after the resume the instance
still takes its data for recent and its lease for valid.
"""

from __future__ import annotations

import signal
import time
from collections.abc import Iterator
from pathlib import Path

import curio
import msgspec
import pytest

from crankhinge.runtime import run_process

SUSPENDED_S = 7.0


@pytest.fixture(autouse=True)
def handlers() -> Iterator[None]:
    """Restore the signal handlers that a program replaces."""
    signals = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    before = [signal.getsignal(signum) for signum in signals]
    yield
    for signum, handler in zip(signals, before, strict=True):
        signal.signal(signum, handler)


class EmptySettings(msgspec.Struct):
    """Settings without fields."""


class TestSuspension:
    """A suspension, in which the monotonic clock stops and the boot-time clock continues."""

    def test_steady_clock_counts_suspended_time(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """curio's kernel uses this clock, so leases and ages end in spite of a suspension."""
        path = tmp_path / "settings.toml"
        path.write_text("")
        suspended_s = 0.0
        real_clock_gettime = time.clock_gettime
        elapsed: list[float] = []

        def suspended_clock_gettime(clock: int) -> float:
            return real_clock_gettime(clock) + (
                suspended_s if clock == time.CLOCK_BOOTTIME else 0.0
            )

        async def serve(settings: EmptySettings, log: object, stopping: curio.Event) -> None:
            nonlocal suspended_s
            before = await curio.clock()
            suspended_s = SUSPENDED_S
            elapsed.append(await curio.clock() - before)

        monkeypatch.setattr(time, "clock_gettime", suspended_clock_gettime)
        status = run_process(
            program="t", description="t", settings_type=EmptySettings, serve=serve, argv=[str(path)]
        )
        assert status == 0
        assert elapsed[0] == pytest.approx(SUSPENDED_S, abs=0.5)
