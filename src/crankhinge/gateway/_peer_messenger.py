"""Sends and receives datagrams between instances.

No instance depends on a datagram: an instance that misses one learns its content in another way
later or does without it. A false datagram may exclude a server, for seconds or, if it announces a
shutdown, until the server's incarnation ends; it may also put a request in quarantine.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import curio
import curio.socket
import msgspec

from crankhinge.errors import Undecodable
from crankhinge.gateway._peer_messages import PeerMessage, decode_message
from crankhinge.gateway._stream_origin_messages import StreamOriginMessage
from crankhinge.gateway.placement._messages import PlacementMessage
from crankhinge.runtime import Turns, parse_ip_port, split_host_port

# Maximum size of a datagram in bytes, so that it fits in one packet.
MAX_DATAGRAM_BYTES = 1200

MAX_LOGGED_CHARS = 200

# Called with a message and the ``host:port`` of its sender.
MessageHandler = Callable[[Any, str], Awaitable[None]]


class PeerMessenger:
    """Sends datagrams to the other instances and receives theirs.

    Args:
        address: ``host:port`` (UDP) where this instance receives; empty for none.
        peer_addresses: returns the addresses where the other instances receive.
        log: log for events.
    """

    def __init__(
        self, *, address: str, peer_addresses: Callable[[], Sequence[str]], log: Any
    ) -> None:
        self._address = address
        self._peer_addresses = peer_addresses
        self._handlers: dict[type, MessageHandler] = {}
        self._log = log
        self._sock: Any = None

    def add_handler(self, kind: type, handler: MessageHandler) -> None:
        """Register *handler* for the messages of a class."""
        self._handlers[kind] = handler

    async def run(self) -> None:
        """Receive datagrams until cancelled."""
        if not self._address:
            await curio.Event().wait()
        self._sock = curio.socket.socket(curio.socket.AF_INET, curio.socket.SOCK_DGRAM)
        async with self._sock:
            self._sock.bind(split_host_port(self._address))
            turns = Turns()
            while True:
                await self._receive_one()
                await turns.end_step()

    async def _receive_one(self) -> None:
        try:
            data, sender = await self._sock.recvfrom(MAX_DATAGRAM_BYTES)
            message = decode_message(data)
        except Undecodable as exc:
            self._log.info("notice_unreadable", peer=sender[0], why=exc.detail)
            return
        except OSError as exc:
            # The network reports that nothing received an earlier datagram.
            self._log.info("notice_undelivered", why=str(exc))
            return
        handler = self._handlers.get(type(message))
        if handler is not None:
            await self._handle(handler, message, f"{sender[0]}:{sender[1]}")

    async def _handle(self, handler: MessageHandler, message: Any, sender: str) -> None:
        """Handle a message; one that its handler fails on is set aside.

        Its numbers may be of any size, and whoever reaches the port can send it, so that it must
        not count towards the restart limit of this task.
        """
        try:
            await handler(message, sender)
        except curio.CancelledError:
            raise
        except Exception as exc:
            self._log.error(
                "notice_failed",
                peer=sender,
                kind=type(message).__name__,
                error=type(exc).__name__,
                why=str(exc)[:MAX_LOGGED_CHARS],
            )

    async def send(
        self, address: str, message: PeerMessage | PlacementMessage | StreamOriginMessage
    ) -> None:
        """Send a message to one instance."""
        if self._sock is None:
            return
        try:
            await self._sock.sendto(msgspec.msgpack.encode(message), parse_ip_port(address))
        except Undecodable as exc:
            # Another instance, or a datagram, named it.
            self._log.info("notice_undelivered", peer=address[:100], why=exc.detail)
        except OSError as exc:
            self._log.info("notice_undelivered", peer=address, why=str(exc))

    async def send_to_all(self, message: PeerMessage, **facts: Any) -> None:
        """Send a message to all other instances that are known.

        Args:
            message: the message.
            facts: further fields of the log line about it.
        """
        addresses = self._peer_addresses()
        for address in addresses:
            await self.send(address, message)
        self._log.info(
            "notice_told", kind=message.__struct_config__.tag, peers=len(addresses), **facts
        )
