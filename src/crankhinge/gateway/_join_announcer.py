"""Announces this instance to the other instances when it starts."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

import curio

from crankhinge.decisions import JOIN_ANNOUNCEMENT_INTERVAL_S, Membership
from crankhinge.gateway._peer_messages import JoinAcknowledgement, JoinAnnouncement
from crankhinge.gateway._peer_messenger import PeerMessenger


class JoinAnnouncer:
    """Sends join announcements to known instances, and acknowledges the announcements of others.

    Args:
        name: name of this instance.
        address: ``host:port`` where this instance receives peer messages; empty for none.
        membership: the instances of the fleet.
        messenger: sends and receives peer messages.
        on_joined: each is called with the name of an instance that joined.
        log: log for events.
    """

    def __init__(
        self,
        *,
        name: str,
        address: str,
        membership: Membership,
        messenger: PeerMessenger,
        on_joined: Sequence[Callable[[str], None]],
        log: Any,
    ) -> None:
        self._name = name
        self._address = address
        self._membership = membership
        self._messenger = messenger
        self._on_joined = on_joined
        self._log = log
        messenger.add_handler(JoinAnnouncement, self._on_announcement)
        messenger.add_handler(JoinAcknowledgement, self._on_acknowledgement)

    async def run(self) -> None:
        """Send join announcements to instances that have not acknowledged one, until cancelled."""
        may_coordinate = False
        while True:
            for peer in self._membership.unacknowledged_addresses:
                await self._messenger.send(peer, JoinAnnouncement(self._name, self._address))
            await curio.sleep(JOIN_ANNOUNCEMENT_INTERVAL_S)
            if may_coordinate != self._membership.may_coordinate(await curio.clock()):
                may_coordinate = not may_coordinate
                self._log.info(
                    "members_settled" if may_coordinate else "members_unsettled",
                    members=len(self._membership),
                    unanswered=len(self._membership.unacknowledged_addresses),
                )

    async def _on_announcement(self, message: JoinAnnouncement, sender: str) -> None:
        self._membership.record_joined(message.name, message.peer, await curio.clock())
        for callback in self._on_joined:
            callback(message.name)
        await self._messenger.send(sender, JoinAcknowledgement(self._name))

    async def _on_acknowledgement(self, message: JoinAcknowledgement, sender: str) -> None:
        self._membership.record_acknowledged(message.name)
