"""What an agent does for one kind of backend server."""

from __future__ import annotations

import abc
from collections.abc import Awaitable, Callable
from typing import Any

import curio

from crankhinge.config import BundleKeeper, Pool
from crankhinge.runtime import Metrics
from crankhinge.wire import Failed, Link, Load, Message, Refused, send_if_open

UNBOUNDED = 1_000_000
PROBE_INTERVAL_S = 0.5
BACKEND_DOWN = "backend-down"


class Role(abc.ABC):
    """Owns the requests that were sent to this agent.

    Args:
        keeper: holds the bundle.
        log: for events.
        metrics: for counters.
    """

    def __init__(self, *, keeper: BundleKeeper, log: Any, metrics: Metrics) -> None:
        self.keeper = keeper
        self.log = log
        self.metrics = metrics
        self._owners: dict[int, Link] = {}
        self._tasks: dict[int, curio.Task] = {}
        self._requests_of: dict[Link, set[int]] = {}
        self.is_unreachable = False
        self.on_health_change: Callable[[], Awaitable[None]] | None = None

    @abc.abstractmethod
    async def probe(self) -> bool:
        """Whether the backend server can be reached."""

    async def watch_backend(self) -> None:
        """Probe the backend server until cancelled.

        While it can't be reached nothing is granted or queued: a slot of a dead engine looks free,
        and every prompt read for it would be wasted.
        """
        while True:
            await self.record_health(await self.probe())
            await curio.sleep(PROBE_INTERVAL_S)

    async def record_health(self, reachable: bool) -> None:
        """Note what was seen of the backend server, and tell the entries when it changes."""
        if self.is_unreachable is not reachable:
            return
        self.is_unreachable = not reachable
        self.log.warning("backend_health", reachable=reachable)
        self.metrics.count("backend_up" if reachable else "backend_down")
        if self.on_health_change is not None:
            await self.on_health_change()

    @abc.abstractmethod
    async def handle(self, link: Link, msg: Message) -> None:
        """Act on a message of an entry."""

    @abc.abstractmethod
    async def release(self, req: int) -> None:
        """Free whatever *req* holds or waits for here."""

    @abc.abstractmethod
    def load(self, now: float) -> Load:
        """Return the load to report."""

    @abc.abstractmethod
    def stop_accepting(self) -> None:
        """Take no new work from now on."""

    @abc.abstractmethod
    def apply_pool(self, pool: Pool) -> None:
        """Take over what the bundle says of this agent's pool."""

    @property
    @abc.abstractmethod
    def is_busy(self) -> bool:
        """Whether any request is in progress."""

    @property
    def open_requests(self) -> int:
        """Requests that hold or await something here."""
        return len(self._owners)

    async def run(self) -> None:
        """Do what has to be done by time, until cancelled."""
        await curio.sleep(float("inf"))

    def set_owner(self, req: int, link: Link) -> None:
        """Note whose request *req* is."""
        self._owners[req] = link
        self._requests_of.setdefault(link, set()).add(req)

    def find_owner(self, req: int) -> Link | None:
        """Return whose request *req* is."""
        return self._owners.get(req)

    def remove_owner(self, req: int) -> None:
        """Forget *req*."""
        link = self._owners.pop(req, None)
        if link in self._requests_of:
            self._requests_of[link].discard(req)

    async def start_task(self, req: int, run: Callable[..., Awaitable[Any]], *args: Any) -> None:
        """Run a request's task; :meth:`cancel` ends it."""
        self._tasks[req] = await curio.spawn(self._run_task, req, run, *args, daemon=True)

    async def _run_task(self, req: int, run: Callable[..., Awaitable[Any]], *args: Any) -> None:
        try:
            await run(*args)
        except Exception as exc:
            self.log.error("request_crashed", req=req, kind=type(exc).__name__, why=str(exc))
            await self.send_to_owner(req, Failed(req, "internal", True))
        finally:
            self._tasks.pop(req, None)

    async def cancel(self, req: int) -> None:
        """End a request that nobody waits for any more."""
        task = self._tasks.pop(req, None)
        if task is not None:
            await task.cancel()
        await self.release(req)
        self.remove_owner(req)

    async def cancel_requests_of(self, link: Link) -> None:
        """End every request of an entry that is gone."""
        reqs = list(self._requests_of.get(link, ()))
        if reqs:
            self.log.info("entry_gone", entry=link.peer.name, requests=len(reqs))
            self.metrics.count("requests_orphaned", len(reqs))
        for req in reqs:
            await self.cancel(req)
        self._requests_of.pop(link, None)

    async def send_to_owner(self, req: int, msg: Message) -> None:
        """Send *msg* to the request's entry, if that is still there."""
        link = self._owners.get(req)
        if link is not None:
            await send_if_open(link, msg)

    async def refuse(self, link: Link, req: int, code: str, retry_after_s: float = 0.0) -> None:
        """Tell an entry that *req* was not started."""
        self.metrics.count(f"refused.{code}")
        self.log.info("refused", req=f"{req:016x}", code=code, retry_after=round(retry_after_s, 3))
        load = self.load(await curio.clock())
        await send_if_open(link, Refused(req, code, retry_after_s, load))
