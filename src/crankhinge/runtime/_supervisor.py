"""A supervisor that runs tasks and restarts those that fail, up to a limit."""

from __future__ import annotations

from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import curio

from crankhinge.errors import CrankhingeError

RESTART_DELAY_S = 0.2


class RestartLimitReached(CrankhingeError):
    """A supervised task failed more often than its limit allows."""

    code = "restart-limit"


async def run_until_first_ends(*starts: Callable[[], Awaitable[Any]]) -> None:
    """Run coroutines concurrently until one ends, then cancel the others.

    Args:
        starts: functions that each return a coroutine.

    Raises:
        Exception: the exception of the coroutine that ended first, if it failed.
    """
    async with curio.TaskGroup(wait=any) as group:
        for start in starts:
            await group.spawn(start)
    if group.exception is not None:
        raise group.exception


@dataclass(frozen=True)
class Child:
    """A supervised task.

    Attributes:
        name: name of the task in logs.
        start: returns a new coroutine for the task, which runs until it is cancelled.
        max_restarts: how many failures within ``window_s`` lead to a restart; one more ends the
            supervisor.
        window_s: seconds for which a failure counts.
    """

    name: str
    start: Callable[[], Awaitable[Any]]
    max_restarts: int = 10
    window_s: float = 30.0


@dataclass
class Supervisor:
    """Runs child tasks concurrently and restarts each one that fails.

    Attributes:
        log: logs each failure.
        children: the tasks to run.
    """

    log: Any
    children: list[Child] = field(default_factory=list)

    def add(self, name: str, start: Callable[[], Awaitable[Any]]) -> None:
        """Add a child task with default limits; call it before :meth:`run`."""
        self.children.append(Child(name, start))

    async def run(self) -> None:
        """Run all children until one of them ends or the supervisor is cancelled.

        Raises:
            RestartLimitReached: a child failed too often; the others were cancelled first.
        """
        await run_until_first_ends(
            *(partial(self._run_with_restarts, child) for child in self.children)
        )

    async def _run_with_restarts(self, child: Child) -> None:
        failures: deque[float] = deque()
        while True:
            try:
                await child.start()
                return
            except curio.CancelledError:
                raise
            except Exception as exc:
                now = await curio.clock()
                failures.append(now)
                self._check_restart_limit(child, failures, now, exc)
            await curio.sleep(RESTART_DELAY_S)

    def _check_restart_limit(
        self, child: Child, failures: deque[float], now: float, exc: Exception
    ) -> None:
        while failures and failures[0] < now - child.window_s:
            failures.popleft()
        self.log.error("child_failed", child=child.name, kind=type(exc).__name__, why=str(exc))
        if len(failures) > child.max_restarts:
            raise RestartLimitReached(child.name) from exc
