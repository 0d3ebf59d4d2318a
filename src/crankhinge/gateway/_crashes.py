"""Tells a server that crashed from a connection that ended.

A connection may be reset on the way, or broken off by a server that is sound otherwise. Of a
process that has gone nobody listens at its address any more.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Collection
from typing import Any

import curio

from crankhinge.decisions import Server
from crankhinge.gateway._backends import Backends
from crankhinge.http import ConnectFailed

# A server that crashes cuts all its requests within a few milliseconds (1 to 5 were seen between
# the first and the last); one look serves those that are cut together. Seconds.
GATHER_S = 0.01


# Called with a server that crashed and the fingerprints of the requests that it was running.
OnCrash = Callable[[Server, Collection[str]], Awaitable[None]]


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

    async def connection_ended(self, server: Server, fingerprint: str) -> None:
        """Note that a request's connection to a server ended in the middle."""
        if server.ident in self._cut:
            self._cut[server.ident].add(fingerprint)
            return
        self._cut[server.ident] = {fingerprint}
        await curio.spawn(self._look, server, daemon=True)

    async def _look(self, server: Server) -> None:
        await curio.sleep(GATHER_S)
        cut = self._cut.pop(server.ident)
        try:
            crashed = not await self._backends.client(server).listens()
        except ConnectFailed as exc:
            self._log.info("server_unreached", server=server.ident, cut=len(cut), why=exc.detail)
            return
        event = "server_crashed" if crashed else "server_lives"
        self._log.info(event, server=server.ident, cut=len(cut))
        if crashed:
            await self._on_crash(server, cut)
