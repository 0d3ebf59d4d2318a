"""Hears what servers say of themselves in the heads of their answers.

That one leaves holds for all instances, so whoever hears it first tells the others: those would go
on sending until an answer of their own, and what is sent last is cut off when the server ends.
"""

from __future__ import annotations

from typing import Any

import curio

from crankhinge.adapters import ResponseSignals
from crankhinge.decisions import Server, ServerExclusions
from crankhinge.gateway._listener import WordListener
from crankhinge.gateway._notices import Notices
from crankhinge.gateway._peer_messages import ServerLeaves


class ServerWords(WordListener):
    """What servers say, as this instance hears it.

    Args:
        bars: keeps it.
        notices: carries it to the other instances.
        log: for events.
    """

    def __init__(self, *, bars: ServerExclusions, notices: Notices, log: Any) -> None:
        self._bars = bars
        self._notices = notices
        self._log = log
        notices.on(ServerLeaves, self._take_leaves)

    async def heard(
        self, server: Server, word: ResponseSignals, *, sent_at: float, ran: bool
    ) -> None:
        """Note what the head of a server's answer says of leaving and rest."""
        now = await curio.clock()
        if word.leaving and self._note_leaves(server.incarnation_id, now, "own"):
            await self._notices.tell(
                ServerLeaves(server.incarnation_id), server=server.incarnation_id
            )
        if word.backoff_s is not None:
            was = self._bars.backoff_until(server.incarnation_id, now)
            longer = self._bars.record_backoff(server.incarnation_id, now + word.backoff_s)
            self._log.info(
                "server_rests",
                server=server.incarnation_id,
                for_s=round(word.backoff_s, 2),
                left_s=None if was is None else round(was - now, 2),
                taken=longer,
            )

    def _note_leaves(self, ident: str, now: float, told_by: str) -> bool:
        """Note that a server leaves; returns whether that is news."""
        news = self._bars.record_leaving(ident, now)
        if news:
            self._log.info("server_leaves", server=ident, told_by=told_by)
        return news

    async def _take_leaves(self, message: ServerLeaves, sender: str) -> None:
        self._note_leaves(message.server, await curio.clock(), sender)
