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

    async def send(self, instance: str, message: PlacementMessage, *, address: str = "") -> bool:
        """Send a message to an instance.

        Args:
            instance: its name.
            message: the message.
            address: its ``host:port``; empty to look it up.

        Returns:
            Whether the message was sent; False if the address of the instance is unknown.
        """
        if instance == self.name:
            await self._handlers[type(message)](message, "")
            return True
        address = address or self._membership.peer_address(instance)
        if not address:
            return False
        await self._messenger.send(address, message)
        return True

    async def send_to_address(self, address: str, message: PlacementMessage) -> None:
        """Send a message to another instance by its ``host:port``."""
        await self._messenger.send(address, message)
