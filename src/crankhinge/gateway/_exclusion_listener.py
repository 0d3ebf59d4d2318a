"""Records which servers announce their shutdown or ask for backoff in their responses.

The announcement of a shutdown holds for all instances, so an instance that receives it from the
server notifies the others. Otherwise these would send requests until they get a response with the
announcement, and the server would cut the last of these requests off when it ends.
"""

from __future__ import annotations

from typing import Any

import curio

from crankhinge.adapters import ResponseSignals
from crankhinge.decisions import Server, ServerExclusions
from crankhinge.gateway._peer_messages import ServerLeaving
from crankhinge.gateway._peer_messenger import PeerMessenger
from crankhinge.gateway._signal_listener import SignalListener


class ExclusionListener(SignalListener):
    """Records which servers are leaving and which are in backoff.

    Args:
        exclusions: the excluded servers.
        messenger: sends and receives peer messages.
        log: log for events.
    """

    def __init__(self, *, exclusions: ServerExclusions, messenger: PeerMessenger, log: Any) -> None:
        self._exclusions = exclusions
        self._messenger = messenger
        self._log = log
        messenger.add_handler(ServerLeaving, self._on_server_leaving)

    async def on_signals(
        self, server: Server, signals: ResponseSignals, *, sent_at: float, succeeded: bool
    ) -> None:
        """Record the announced shutdown or backoff in the head of a server's response."""
        now = await curio.clock()
        if signals.leaving and self._record_leaving(server.incarnation_id, now, "own"):
            await self._messenger.send_to_all(
                ServerLeaving(server.incarnation_id), server=server.incarnation_id
            )
        if signals.backoff_s is not None:
            previous = self._exclusions.backoff_until(server.incarnation_id, now)
            longer = self._exclusions.record_backoff(server.incarnation_id, now + signals.backoff_s)
            self._log.info(
                "server_rests",
                server=server.incarnation_id,
                for_s=round(signals.backoff_s, 2),
                left_s=None if previous is None else round(previous - now, 2),
                taken=longer,
            )

    def _record_leaving(self, incarnation_id: str, now: float, source: str) -> bool:
        """Record that a server is leaving; return whether that was not known."""
        is_new = self._exclusions.record_leaving(incarnation_id, now)
        if is_new:
            self._log.info("server_leaves", server=incarnation_id, told_by=source)
        return is_new

    async def _on_server_leaving(self, message: ServerLeaving, sender: str) -> None:
        self._record_leaving(message.server, await curio.clock(), sender)
