"""Datagrams between instances.

Whoever gets none finds out by itself or does without, and whoever believes a false notice leaves a
server out for seconds.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import curio
import curio.socket
import msgspec

from crankhinge.gateway._peer_messages import PeerMessage
from crankhinge.runtime import split_host_port

# Longest datagram, in bytes: one fits in a packet.
MAX_DATAGRAM_BYTES = 1200

# Called with a message and ``host:port`` of who sent it.
MessageHandler = Callable[[Any, str], Awaitable[None]]


class PeerMessenger:
    """Sends datagrams to the other instances and takes theirs.

    Args:
        address: ``host:port`` (UDP) where this instance takes them; empty for nowhere.
        peer_addresses: tells where the others take them.
        log: for events.
    """

    def __init__(
        self, *, address: str, peer_addresses: Callable[[], Sequence[str]], log: Any
    ) -> None:
        self._address = address
        self._peers = peer_addresses
        self._handlers: dict[type, MessageHandler] = {}
        self._log = log
        self._sock: Any = None

    def add_handler(self, kind: type, handler: MessageHandler) -> None:
        """Have *handler* called with each message of a kind."""
        self._handlers[kind] = handler

    async def run(self) -> None:
        """Take datagrams until cancelled."""
        if not self._address:
            await curio.Event().wait()
        self._sock = curio.socket.socket(curio.socket.AF_INET, curio.socket.SOCK_DGRAM)
        async with self._sock:
            self._sock.bind(split_host_port(self._address))
            while True:
                await self._take_one()

    async def _take_one(self) -> None:
        try:
            data, sender = await self._sock.recvfrom(MAX_DATAGRAM_BYTES)
            message = msgspec.msgpack.decode(data, type=PeerMessage)
        except (msgspec.DecodeError, msgspec.ValidationError) as exc:
            self._log.info("notice_unreadable", peer=sender[0], why=str(exc))
            return
        except OSError as exc:
            # The network reports that an earlier datagram found nobody.
            self._log.info("notice_undelivered", why=str(exc))
            return
        handle = self._handlers.get(type(message))
        if handle is not None:
            await handle(message, f"{sender[0]}:{sender[1]}")

    async def send(self, address: str, message: PeerMessage) -> None:
        """Send a message to one instance."""
        if self._sock is None:
            return
        try:
            await self._sock.sendto(msgspec.msgpack.encode(message), split_host_port(address))
        except OSError as exc:
            self._log.info("notice_undelivered", peer=address, why=str(exc))

    async def send_to_all(self, message: PeerMessage, **facts: Any) -> None:
        """Send a notice to every other instance that was seen.

        Args:
            message: what to tell.
            facts: what the line about it tells besides.
        """
        peers = self._peers()
        for peer in peers:
            await self.send(peer, message)
        self._log.info("notice_told", kind=message.__struct_config__.tag, peers=len(peers), **facts)
