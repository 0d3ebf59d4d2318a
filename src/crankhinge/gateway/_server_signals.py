"""Hears what servers say of themselves in the heads of their answers.

That one leaves holds for all instances, so whoever hears it first tells the others: those would go
on sending until an answer of their own, and what is sent last is cut off when the server ends.
"""

from __future__ import annotations

from typing import Any

import curio

from crankhinge.adapters import ResponseSignals
from crankhinge.decisions import Server, ServerExclusions
from crankhinge.gateway._peer_messages import ServerLeaving
from crankhinge.gateway._peer_messenger import PeerMessenger
from crankhinge.gateway._signal_listener import SignalListener


class ServerSignals(SignalListener):
    """What servers say, as this instance hears it.

    Args:
        exclusions: keeps it.
        messenger: carries it to the other instances.
        log: for events.
    """

    def __init__(self, *, exclusions: ServerExclusions, messenger: PeerMessenger, log: Any) -> None:
        self._bars = exclusions
        self._notices = messenger
        self._log = log
        messenger.add_handler(ServerLeaving, self._take_leaves)

    async def on_signals(
        self, server: Server, signals: ResponseSignals, *, sent_at: float, succeeded: bool
    ) -> None:
        """Note what the head of a server's answer says of leaving and rest."""
        now = await curio.clock()
        if signals.leaving and self._note_leaves(server.incarnation_id, now, "own"):
            await self._notices.send_to_all(
                ServerLeaving(server.incarnation_id), server=server.incarnation_id
            )
        if signals.backoff_s is not None:
            was = self._bars.backoff_until(server.incarnation_id, now)
            longer = self._bars.record_backoff(server.incarnation_id, now + signals.backoff_s)
            self._log.info(
                "server_rests",
                server=server.incarnation_id,
                for_s=round(signals.backoff_s, 2),
                left_s=None if was is None else round(was - now, 2),
                taken=longer,
            )

    def _note_leaves(self, ident: str, now: float, told_by: str) -> bool:
        """Note that a server leaves; returns whether that is news."""
        news = self._bars.record_leaving(ident, now)
        if news:
            self._log.info("server_leaves", server=ident, told_by=told_by)
        return news

    async def _take_leaves(self, message: ServerLeaving, sender: str) -> None:
        self._note_leaves(message.server, await curio.clock(), sender)
