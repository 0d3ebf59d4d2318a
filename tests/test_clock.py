"""Tests of the runtime's clock.

What users may see: an instance that was suspended for seconds, and woke, runs a request by a key
that was taken away meanwhile, or hands out tokens that another instance hands out already.

Order of events: the instance's machine is suspended; its steady clock stands still; a key is taken
away, a lease ends, another instance acts in its place; the instance wakes, and finds its belief as
young and its lease as long as before.

Cause: ages and leases were measured by a clock that does not count the time of a suspension.
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
    """Put the handlers of signals back that a program sets."""
    signals = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    before = [signal.getsignal(signum) for signum in signals]
    yield
    for signum, handler in zip(signals, before, strict=True):
        signal.signal(signum, handler)


class Nothing(msgspec.Struct):
    """No settings."""


class TestSuspension:
    """The machine was suspended: its monotonic clock stood still, that of its boot went on."""

    def test_counts_in_the_ages_of_what_is_believed(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """The runtime's clock goes on with it, so leases and ages end as they would otherwise."""
        path = tmp_path / "settings.toml"
        path.write_text("")
        suspended_s = 0.0
        real = time.clock_gettime
        passed: list[float] = []

        def suspended(clock: int) -> float:
            return real(clock) + (suspended_s if clock == time.CLOCK_BOOTTIME else 0.0)

        async def serve(settings: Nothing, log: object, stopping: curio.Event) -> None:
            nonlocal suspended_s
            before = await curio.clock()
            suspended_s = SUSPENDED_S
            passed.append(await curio.clock() - before)

        monkeypatch.setattr(time, "clock_gettime", suspended)
        status = run_process(
            program="t", description="t", settings_type=Nothing, serve=serve, argv=[str(path)]
        )
        assert status == 0
        assert passed[0] == pytest.approx(SUSPENDED_S, abs=0.5)
