"""The base class of an agent's roles, one for each kind of backend server."""

from __future__ import annotations

import abc
from collections.abc import Awaitable, Callable
from typing import Any

import curio

from crankhinge.config import BundleKeeper, Pool
from crankhinge.runtime import Metrics
from crankhinge.wire import Failed, Link, Load, Message, Refused, send_if_open

# Number of slots that stands for no limit.
UNBOUNDED = 1_000_000
# Interval at which the backend server is probed.
PROBE_INTERVAL_S = 0.5
BACKEND_DOWN = "backend-down"


class Role(abc.ABC):
    """Handles the requests that entries send to this agent, and sends them to the backend server.

    Requests are known by the ``req`` of their messages: the entry sends each step of a caller's
    request under an id of its own.

    Args:
        keeper: holds the active bundle.
        log: logger for events.
        metrics: counters of this agent.

    Attributes:
        is_unreachable: whether the last probe could not reach the backend server.
        on_health_change: called when ``is_unreachable`` changes.
    """

    def __init__(self, *, keeper: BundleKeeper, log: Any, metrics: Metrics) -> None:
        self.keeper = keeper
        self.log = log
        self.metrics = metrics
        self._request_links: dict[int, Link] = {}
        self._tasks: dict[int, curio.Task] = {}
        self._requests_by_link: dict[Link, set[int]] = {}
        self.is_unreachable = False
        self.on_health_change: Callable[[], Awaitable[None]] | None = None

    @abc.abstractmethod
    async def probe(self) -> bool:
        """Return whether the backend server can be reached."""

    async def watch_backend(self) -> None:
        """Probe the backend server until cancelled.

        While the server cannot be reached, no request is granted or queued. The slots of a dead
        engine would otherwise look free, and every prefill for them would be wasted.
        """
        while True:
            await self.record_health(await self.probe())
            await curio.sleep(PROBE_INTERVAL_S)

    async def record_health(self, reachable: bool) -> None:
        """Record whether the backend server was reachable, and notify entries of a change."""
        if self.is_unreachable is not reachable:
            return
        self.is_unreachable = not reachable
        self.log.warning("backend_health", reachable=reachable)
        self.metrics.count("backend_up" if reachable else "backend_down")
        if self.on_health_change is not None:
            await self.on_health_change()

    @abc.abstractmethod
    async def handle(self, link: Link, msg: Message) -> None:
        """Handle a message from an entry."""

    @abc.abstractmethod
    async def release(self, req: int) -> None:
        """Free the slot or queue position of *req*."""

    @abc.abstractmethod
    def load(self, now: float) -> Load:
        """Return the load of the server for heartbeats and responses, at time *now*."""

    @abc.abstractmethod
    def stop_accepting(self) -> None:
        """Refuse new requests from now on."""

    @abc.abstractmethod
    def apply_pool(self, pool: Pool) -> None:
        """Apply the settings that the bundle has for this agent's pool."""

    @property
    @abc.abstractmethod
    def is_busy(self) -> bool:
        """Whether any request is in progress."""

    @property
    def open_requests(self) -> int:
        """Number of requests that run, wait, or hold a lease at this agent."""
        return len(self._request_links)

    async def run(self) -> None:
        """Run periodic work until cancelled; the base class has none."""
        await curio.sleep(float("inf"))

    def record_link(self, req: int, link: Link) -> None:
        """Record that the request *req* came over *link*."""
        self._request_links[req] = link
        self._requests_by_link.setdefault(link, set()).add(req)

    def find_link(self, req: int) -> Link | None:
        """Return the link that the request *req* came over, or None if *req* is unknown."""
        return self._request_links.get(req)

    def forget_link(self, req: int) -> None:
        """Remove the record of the link that the request *req* came over."""
        link = self._request_links.pop(req, None)
        if link in self._requests_by_link:
            self._requests_by_link[link].discard(req)

    async def start_task(self, req: int, run: Callable[..., Awaitable[Any]], *args: Any) -> None:
        """Start the task of a request, which :meth:`cancel` can end."""
        self._tasks[req] = await curio.spawn(self._run_task, req, run, *args, daemon=True)

    async def _run_task(self, req: int, run: Callable[..., Awaitable[Any]], *args: Any) -> None:
        try:
            await run(*args)
        except Exception as exc:
            self.log.error("request_crashed", req=req, kind=type(exc).__name__, why=str(exc))
            await self.send_response(req, Failed(req, "internal", True))
        finally:
            self._tasks.pop(req, None)

    async def cancel(self, req: int) -> None:
        """Cancel a request and free its resources."""
        task = self._tasks.pop(req, None)
        if task is not None:
            await task.cancel()
        await self.release(req)
        self.forget_link(req)

    async def cancel_requests_of(self, link: Link) -> None:
        """Cancel all requests that came over a link that has ended."""
        reqs = list(self._requests_by_link.get(link, ()))
        if reqs:
            self.log.info("entry_gone", entry=link.peer.name, requests=len(reqs))
            self.metrics.count("requests_orphaned", len(reqs))
        for req in reqs:
            await self.cancel(req)
        self._requests_by_link.pop(link, None)

    async def send_response(self, req: int, msg: Message) -> None:
        """Send *msg* to the entry that sent the request, if its link is still open."""
        link = self._request_links.get(req)
        if link is not None:
            await send_if_open(link, msg)

    async def refuse(self, link: Link, req: int, code: str, retry_after_s: float = 0.0) -> None:
        """Refuse the request *req*, which has not started, and log and count the refusal."""
        self.metrics.count(f"refused.{code}")
        self.log.info("refused", req=f"{req:016x}", code=code, retry_after=round(retry_after_s, 3))
        load = self.load(await curio.clock())
        await send_if_open(link, Refused(req, code, retry_after_s, load))
