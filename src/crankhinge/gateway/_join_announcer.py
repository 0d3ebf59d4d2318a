"""Makes this instance known to the others as it comes."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

import curio

from crankhinge.decisions import JOIN_ANNOUNCEMENT_INTERVAL_S, Membership
from crankhinge.gateway._peer_messages import JoinAcknowledgement, JoinAnnouncement
from crankhinge.gateway._peer_messenger import PeerMessenger


class JoinAnnouncer:
    """Greets the instances that it finds, and answers those that come after it.

    Args:
        name: of this instance.
        address: ``host:port`` where it takes datagrams; empty for nowhere.
        membership: the instances.
        messenger: carries the datagrams.
        on_joined: each is called with the name of an instance that has come.
        log: for events.
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
        self._peer = address
        self._members = membership
        self._notices = messenger
        self._on_come = on_joined
        self._log = log
        messenger.add_handler(JoinAnnouncement, self._take_greeting)
        messenger.add_handler(JoinAcknowledgement, self._take_answer)

    async def run(self) -> None:
        """Greet those that have not answered, until cancelled."""
        settled = False
        while True:
            for peer in self._members.unacknowledged_addresses:
                await self._notices.send(peer, JoinAnnouncement(self._name, self._peer))
            await curio.sleep(JOIN_ANNOUNCEMENT_INTERVAL_S)
            if settled != self._members.may_coordinate(await curio.clock()):
                settled = not settled
                self._log.info(
                    "members_settled" if settled else "members_unsettled",
                    members=len(self._members),
                    unanswered=len(self._members.unacknowledged_addresses),
                )

    async def _take_greeting(self, message: JoinAnnouncement, sender: str) -> None:
        self._members.record_joined(message.name, message.peer, await curio.clock())
        for on_come in self._on_come:
            on_come(message.name)
        await self._notices.send(sender, JoinAcknowledgement(self._name))

    async def _take_answer(self, message: JoinAcknowledgement, sender: str) -> None:
        self._members.record_acknowledged(message.name)
