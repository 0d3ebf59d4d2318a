"""What one instance found out or did, told to the others at once.

A notice is one datagram to each of them. It may be lost, late or false: whoever gets none finds out
by itself, as all did before, and whoever believes a false one leaves a server out for seconds.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import curio
import curio.socket
import msgspec

from crankhinge.decisions import Phase
from crankhinge.runtime import split_host_port

# Longest notice, in bytes: one fits in a packet.
MOST_BYTES = 1200


class EngineOrdered(msgspec.Struct, frozen=True, tag="engine-ordered"):
    """An engine has taken an order to play another part.

    Attributes:
        server: its identity.
        phase: the part that it will play.
        within_s: seconds within which it does, or the order is over.
    """

    server: str
    phase: Phase
    within_s: float


Handle = Callable[[EngineOrdered], Awaitable[None]]


class Notices:
    """Sends notices to the other instances and takes theirs.

    Args:
        address: ``host:port`` (UDP) where this instance takes them; empty for nowhere.
        peers: where the others take them.
        handle: called with each notice.
        log: for events.
    """

    def __init__(
        self, *, address: str, peers: Callable[[], Sequence[str]], handle: Handle, log: Any
    ) -> None:
        self._address = address
        self._peers = peers
        self._handle = handle
        self._log = log
        self._sock: Any = None

    async def run(self) -> None:
        """Take notices until cancelled."""
        if not self._address:
            await curio.Event().wait()
        self._sock = curio.socket.socket(curio.socket.AF_INET, curio.socket.SOCK_DGRAM)
        async with self._sock:
            self._sock.bind(split_host_port(self._address))
            while True:
                await self._take_one()

    async def _take_one(self) -> None:
        try:
            data, peer = await self._sock.recvfrom(MOST_BYTES)
            notice = msgspec.msgpack.decode(data, type=EngineOrdered)
        except (msgspec.DecodeError, msgspec.ValidationError) as exc:
            self._log.info("notice_unreadable", peer=peer[0], why=str(exc))
            return
        except OSError as exc:
            # The network reports that an earlier notice found nobody.
            self._log.info("notice_undelivered", why=str(exc))
            return
        await self._handle(notice)

    async def tell(self, notice: EngineOrdered) -> None:
        """Send a notice to every other instance that was seen."""
        if self._sock is None:
            return
        data = msgspec.msgpack.encode(notice)
        peers = self._peers()
        for peer in peers:
            try:
                await self._sock.sendto(data, split_host_port(peer))
            except OSError as exc:
                self._log.info("notice_undelivered", peer=peer, why=str(exc))
        self._log.info(
            "notice_told", server=notice.server, phase=notice.phase.value, peers=len(peers)
        )
