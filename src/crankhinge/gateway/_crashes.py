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
class _Cut:
    """Requests whose connections to one server ended.

    Attributes:
        server: the server.
        fingerprints: of the requests.
        at: when it was looked at, on the runtime's clock.
    """

    server: Server
    fingerprints: set[str]
    at: float


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
        self._cut: dict[str, set[str]] = {}
        # Those whose server may have crashed for all that a look told.
        self._unsure: dict[str, _Cut] = {}

    async def on_connection_ended(self, server: Server, fingerprint: str) -> None:
        """Note that a request's connection to a server ended in the middle."""
        if self._backends.is_leaving(server.incarnation_id):
            return
        if server.incarnation_id in self._cut:
            self._cut[server.incarnation_id].add(fingerprint)
            return
        self._cut[server.incarnation_id] = {fingerprint}
        await curio.spawn(self._look, server, daemon=True)

    async def on_entry_gone(self, incarnation_id: str) -> None:
        """Note that a server's entry has gone."""
        cut = self._unsure.pop(incarnation_id, None)
        if cut is None or self._backends.is_leaving(incarnation_id):
            return
        if await curio.clock() - cut.at <= ENTRY_LAPSE_S:
            await self._crashed(cut.server, cut.fingerprints, "entry_gone")

    async def _look(self, server: Server) -> None:
        await curio.sleep(CUTS_BATCH_S)
        fingerprints = self._cut.pop(server.incarnation_id)
        if not self._backends.is_listed(server.incarnation_id):
            # An instance that stood still hears of both together, the entry first.
            await self._crashed(server, fingerprints, "entry_gone")
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
            await self._crashed(server, fingerprints, "nobody_listens")
            return
        self._log.info("server_lives", server=server.incarnation_id, cut=len(fingerprints))
        await self._wait_for_entry(server, fingerprints)

    async def _crashed(self, server: Server, fingerprints: set[str], why: str) -> None:
        self._log.info(
            "server_crashed", server=server.incarnation_id, cut=len(fingerprints), why=why
        )
        await self._on_crash(server, fingerprints)

    async def _wait_for_entry(self, server: Server, fingerprints: set[str]) -> None:
        """Remember requests whose server is known to have crashed only when its entry goes."""
        now = await curio.clock()
        over = [ident for ident, cut in self._unsure.items() if now - cut.at > ENTRY_LAPSE_S]
        for ident in over:
            del self._unsure[ident]
        known = self._unsure.get(server.incarnation_id)
        if known is not None:
            fingerprints = known.fingerprints | fingerprints
        self._unsure[server.incarnation_id] = _Cut(server, fingerprints, now)
