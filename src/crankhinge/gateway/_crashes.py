"""Tells a server that crashed from a connection that ended.

A connection may be reset on the way, or broken off by a server that is sound otherwise. Of a
process that has gone nobody listens at its address any more, and its entry goes some seconds later.
A server that said it leaves has not crashed when it ends.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Collection
from dataclasses import dataclass
from typing import Any

import curio

from crankhinge.decisions import Server
from crankhinge.gateway._backends import Backends
from crankhinge.http import ConnectFailed

# A server that crashes cuts all its requests within a few milliseconds (1 to 5 were seen between
# the first and the last); one look serves those that are cut together. Seconds.
CUTS_BATCH_S = 0.01
# Seconds within which the entry of a server that crashed goes: three of its heartbeats of 1.2 s and
# what the list may be late (2.6 to 2.9 s were seen); with as much again for a busy store. It tells
# of crashes that a look does not: the machine is silent, or another life listens there already.
ENTRY_LAPSE_S = 8.0

# Called with a server that crashed and the fingerprints of the requests that it was running.
OnCrash = Callable[[Server, Collection[str]], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class _CutRequests:
    """Requests whose connections to one server ended.

    Attributes:
        server: the server.
        fingerprints: of the requests.
        checked_at: when it was looked at, on the runtime's clock.
    """

    server: Server
    fingerprints: set[str]
    checked_at: float


class CrashDetector:
    """Looks at servers whose connections end in the middle of requests.

    Args:
        backends: the servers.
        on_crash: is told of servers that crashed.
        log: for events.
    """

    def __init__(self, *, backends: Backends, on_crash: OnCrash, log: Any) -> None:
        self._backends = backends
        self._on_crash = on_crash
        self._log = log
        # Requests that were cut, by the identity of the server that is about to be looked at.
        self._cut_requests: dict[str, set[str]] = {}
        # Those whose server may have crashed for all that a look told.
        self._undecided: dict[str, _CutRequests] = {}

    async def on_connection_ended(self, server: Server, fingerprint: str) -> None:
        """Note that a request's connection to a server ended in the middle."""
        if self._backends.is_leaving(server.incarnation_id):
            return
        if server.incarnation_id in self._cut_requests:
            self._cut_requests[server.incarnation_id].add(fingerprint)
            return
        self._cut_requests[server.incarnation_id] = {fingerprint}
        await curio.spawn(self._check_server, server, daemon=True)

    async def on_entry_gone(self, incarnation_id: str) -> None:
        """Note that a server's entry has gone."""
        cut = self._undecided.pop(incarnation_id, None)
        if cut is None or self._backends.is_leaving(incarnation_id):
            return
        if await curio.clock() - cut.checked_at <= ENTRY_LAPSE_S:
            await self._report_crash(cut.server, cut.fingerprints, "entry_gone")

    async def _check_server(self, server: Server) -> None:
        await curio.sleep(CUTS_BATCH_S)
        fingerprints = self._cut_requests.pop(server.incarnation_id)
        if not self._backends.is_listed(server.incarnation_id):
            # An instance that stood still hears of both together, the entry first.
            await self._report_crash(server, fingerprints, "entry_gone")
            return
        try:
            crashed = not await self._backends.client(server).is_listening()
        except ConnectFailed as exc:
            why = exc.detail
            self._log.info(
                "server_unreached", server=server.incarnation_id, cut=len(fingerprints), why=why
            )
            await self._wait_for_entry(server, fingerprints)
            return
        if crashed:
            await self._report_crash(server, fingerprints, "nobody_listens")
            return
        self._log.info("server_lives", server=server.incarnation_id, cut=len(fingerprints))
        await self._wait_for_entry(server, fingerprints)

    async def _report_crash(self, server: Server, fingerprints: set[str], why: str) -> None:
        self._log.info(
            "server_crashed", server=server.incarnation_id, cut=len(fingerprints), why=why
        )
        await self._on_crash(server, fingerprints)

    async def _wait_for_entry(self, server: Server, fingerprints: set[str]) -> None:
        """Remember requests whose server is known to have crashed only when its entry goes."""
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
            fingerprints = earlier.fingerprints | fingerprints
        self._undecided[server.incarnation_id] = _CutRequests(server, fingerprints, now)
