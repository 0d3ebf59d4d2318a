"""What servers say they take, and what this instance sends them since."""

from __future__ import annotations

from collections import Counter
from typing import Any

import curio

from crankhinge.adapters import ServerWord
from crankhinge.decisions import Server

# Seconds between lines that tell how much was sent to servers that name limits; the operators sum
# their requests over as long.
USE_S = 4.0


class ServerLimits:
    """Keeps what servers name in their answers.

    Args:
        log: for events.
    """

    def __init__(self, *, log: Any) -> None:
        self._log = log
        # Requests a second, by the server's identity.
        self._named: dict[str, float] = {}
        self._sent: Counter[str] = Counter()

    def heard(self, server: Server, word: ServerWord) -> None:
        """Note what the head of a server's answer says of how much it takes."""
        was = self._named.get(server.ident)
        if word.names_limit and word.takes_per_s is None:
            self._log.info("server_limit_unreadable", server=server.ident, was=was)
            return
        if word.takes_per_s == was:
            return
        if word.takes_per_s is None:
            del self._named[server.ident]
        else:
            self._named[server.ident] = word.takes_per_s
        self._log.info("server_limit", server=server.ident, per_s=word.takes_per_s, was=was)

    def sent(self, server: Server) -> None:
        """Note that a request goes to a server."""
        if server.ident in self._named:
            self._sent[server.ident] += 1

    async def forget(self, ident: str) -> None:
        """Forget a server that is gone."""
        self._named.pop(ident, None)

    async def run(self) -> None:
        """Tell how much is sent to servers that name limits, until cancelled."""
        while True:
            await curio.sleep(USE_S)
            sent, self._sent = self._sent, Counter()
            for ident, requests in sent.items():
                per_s = self._named.get(ident)
                self._log.info(
                    "server_limit_use", server=ident, per_s=per_s, sent=requests, within_s=USE_S
                )
