"""Delivers messages about placement, to this instance itself without a datagram."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from crankhinge.decisions import Membership
from crankhinge.gateway._peer_messenger import PeerMessenger
from crankhinge.gateway.placement._messages import PlacementMessage

M = TypeVar("M")
# Called with a message and the ``host:port`` of its sender; empty if this instance sent it.
Handler = Callable[[Any, str], Awaitable[None]]


class PlacementTransport:
    """Sends messages about placement to instances by their names.

    Args:
        name: name of this instance.
        membership: the instances of the fleet and their addresses.
        messenger: sends and receives datagrams.
    """

    def __init__(self, *, name: str, membership: Membership, messenger: PeerMessenger) -> None:
        self.name = name
        self._membership = membership
        self._messenger = messenger
        self._handlers: dict[type, Handler] = {}

    def add_handler(self, kind: type[M], handler: Callable[[M, str], Awaitable[None]]) -> None:
        """Register the handler of a class of messages, from this instance and from others."""
        self._handlers[kind] = handler
        self._messenger.add_handler(kind, handler)

    def name_of(self, address: str) -> str:
        """Return the name of a sender; its address if the name is not known yet."""
        return (self._membership.name_at(address) or address) if address else self.name

    async def send(self, instance: str, message: PlacementMessage) -> bool:
        """Send a message to an instance.

        Args:
            instance: its name.
            message: the message.

        Returns:
            Whether the message was sent; False if the address of the instance is unknown.
        """
        address = "" if instance == self.name else self._membership.peer_address(instance)
        if not address and instance != self.name:
            return False
        await self.reply(address, message)
        return True

    async def reply(self, address: str, message: PlacementMessage) -> None:
        """Send a message to the sender of another one.

        Args:
            address: ``host:port`` of the sender; empty for this instance.
            message: the message.
        """
        if address:
            await self._messenger.send(address, message)
        else:
            await self._handlers[type(message)](message, "")
