"""Finds out whether a server crashed when a connection to it ended.

A connection may also be reset by the network, or closed by a server that is still running. If the
server's process is gone, nothing listens at its address any more, and its entry lapses some seconds
later. A server that announced its shutdown has not crashed when it ends.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Collection
from dataclasses import dataclass
from typing import Any

import curio

from crankhinge.decisions import Server, WorkKeys
from crankhinge.gateway._backends import Backends
from crankhinge.http import ConnectFailed

# Seconds to collect cut requests before the server is checked once for all of them. A server that
# crashes cuts all its requests within a few milliseconds: 1 to 5 ms were measured between the first
# and the last.
CUTS_BATCH_S = 0.01
# Seconds after a crash within which the server's entry lapses: three heartbeat intervals of 1.2 s
# after the last heartbeat, which the server sent before the crash, plus the delay of the list, and
# as much again for a busy store. From the crash to the lapse, 2.6 to 2.9 s were measured. The lapse
# shows crashes that the check of the address misses: the machine does not respond at all, or
# another incarnation listens there already.
ENTRY_LAPSE_S = 8.0

# Called with a server that crashed and the requests that it was running.
OnCrash = Callable[[Server, Collection[WorkKeys]], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class _CutRequests:
    """Requests whose connections to one server ended.

    Attributes:
        server: the server.
        requests: the requests.
        checked_at: when the server was last checked, on the runtime's clock.
    """

    server: Server
    requests: set[WorkKeys]
    checked_at: float


class CrashDetector:
    """Checks servers whose connections end in the middle of requests.

    Args:
        backends: the backend servers.
        on_crash: called with each server that crashed.
        log: log for events.
    """

    def __init__(self, *, backends: Backends, on_crash: OnCrash, log: Any) -> None:
        self._backends = backends
        self._on_crash = on_crash
        self._log = log
        # Cut requests by the incarnation id of the server that is about to be checked.
        self._cut_requests: dict[str, set[WorkKeys]] = {}
        # Cut requests whose server may have crashed although the check found no crash.
        self._undecided: dict[str, _CutRequests] = {}

    async def on_connection_ended(self, server: Server, request: WorkKeys) -> None:
        """Record that a request's connection to a server ended in the middle of the request."""
        if self._backends.is_leaving(server.incarnation_id):
            return
        if server.incarnation_id in self._cut_requests:
            self._cut_requests[server.incarnation_id].add(request)
            return
        self._cut_requests[server.incarnation_id] = {request}
        await curio.spawn(self._check_server, server, daemon=True)

    async def on_entry_gone(self, incarnation_id: str) -> None:
        """Report a crash if requests of a server were cut shortly before its entry was removed."""
        cut = self._undecided.pop(incarnation_id, None)
        if cut is None or self._backends.is_leaving(incarnation_id):
            return
        if await curio.clock() - cut.checked_at <= ENTRY_LAPSE_S:
            await self._report_crash(cut.server, cut.requests, "entry_gone")

    async def _check_server(self, server: Server) -> None:
        await curio.sleep(CUTS_BATCH_S)
        requests = self._cut_requests.pop(server.incarnation_id)
        if not self._backends.is_listed(server.incarnation_id):
            # An instance that was suspended may learn of the removed entry and of the ended
            # connection at the same time, and handle the entry first.
            await self._report_crash(server, requests, "entry_gone")
            return
        try:
            crashed = not await self._backends.client(server).is_listening()
        except ConnectFailed as exc:
            why = exc.detail
            self._log.info(
                "server_unreached", server=server.incarnation_id, cut=len(requests), why=why
            )
            await self._wait_for_entry(server, requests)
            return
        if crashed:
            await self._report_crash(server, requests, "nobody_listens")
            return
        self._log.info("server_lives", server=server.incarnation_id, cut=len(requests))
        await self._wait_for_entry(server, requests)

    async def _report_crash(self, server: Server, requests: set[WorkKeys], why: str) -> None:
        self._log.info("server_crashed", server=server.incarnation_id, cut=len(requests), why=why)
        await self._on_crash(server, requests)

    async def _wait_for_entry(self, server: Server, requests: set[WorkKeys]) -> None:
        """Keep cut requests until the server's entry lapses, which would show that it crashed."""
        now = await curio.clock()
        expired = [
            incarnation_id
            for incarnation_id, cut in self._undecided.items()
            if now - cut.checked_at > ENTRY_LAPSE_S
        ]
        for incarnation_id in expired:
            del self._undecided[incarnation_id]
        earlier = self._undecided.get(server.incarnation_id)
        if earlier is not None:
            requests = earlier.requests | requests
        self._undecided[server.incarnation_id] = _CutRequests(server, requests, now)
