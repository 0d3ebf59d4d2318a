"""Hears what servers say they take, and tells the other instances.

Whoever hears another word of a server tells all, since the others send to it meanwhile. Those that
hand out for a server keep its rate in their notes in the store, for instances that start.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import curio

from crankhinge.adapters import InstanceRecord, ResponseSignals
from crankhinge.decisions import Server, SharedLimits
from crankhinge.gateway._backends import Backends
from crankhinge.gateway._peer_messages import LimitAdvertised, LimitWithdrawn
from crankhinge.gateway._peer_messenger import PeerMessenger
from crankhinge.gateway._signal_listener import SignalListener

# Seconds between words to all that a server names another rate: who hands out is told with each
# question, and each instance hears the server itself.
NOTIFY_INTERVAL_S = 1.0


class LimitUpdates(SignalListener):
    """What servers name, as this instance and the others hear it.

    Args:
        shared_limits: takes what is heard.
        backends: the servers.
        messenger: carries the datagrams.
        log: for events.
    """

    def __init__(
        self, *, shared_limits: SharedLimits, backends: Backends, messenger: PeerMessenger, log: Any
    ) -> None:
        self._shared = shared_limits
        self._limits = shared_limits.advertised
        self._backends = backends
        self._notices = messenger
        self._log = log
        self._told_at: dict[str, float] = {}
        # Servers whose last word was no rate; one line tells of it.
        self._unreadable: set[str] = set()
        messenger.add_handler(LimitAdvertised, self._take_named)
        messenger.add_handler(LimitWithdrawn, self._take_ended)

    def __len__(self) -> int:
        return len(self._limits)

    async def on_signals(
        self, server: Server, signals: ResponseSignals, *, sent_at: float, succeeded: bool
    ) -> None:
        """Note what the head of a server's answer says of how much it takes.

        Only the answer of a request that it ran well tells that it names nothing any more.
        """
        now = await curio.clock()
        if signals.limit_per_s is not None:
            self._unreadable.discard(server.incarnation_id)
            begun = self._limits.get(server.incarnation_id) is None
            if self._take(server.incarnation_id, signals.limit_per_s, now, "own"):
                await self._tell_named(server.incarnation_id, signals.limit_per_s, now, begun=begun)
        elif signals.advertises_limit:
            self._take_unreadable(server.incarnation_id, now)
        elif succeeded and self._take_end(server.incarnation_id, sent_at, "own"):
            notice = LimitWithdrawn(server.incarnation_id, now - sent_at)
            await self._notices.send_to_all(notice, server=server.incarnation_id)

    def record_peer_update(
        self, incarnation_id: str, per_s: float, received_at: float, source: str
    ) -> None:
        """Note what another instance heard of a server at a time on the runtime's clock."""
        self._take(incarnation_id, per_s, received_at, source)

    def _take(self, ident: str, per_s: float, at: float, told_by: str) -> bool:
        """Take a rate; returns whether it was news."""
        was = self._rate(ident)
        news = self._limits.record_limit(ident, per_s, at)
        if news:
            self._note(ident, per_s, was, told_by)
        return news

    def _take_end(self, ident: str, sent_at: float, told_by: str) -> bool:
        """Take that a server names nothing any more; returns whether it was news."""
        was = self._rate(ident)
        news = self._limits.record_no_limit(ident, sent_at)
        if news:
            self._unreadable.discard(ident)
            self._note(ident, None, was, told_by)
        return news

    def _take_unreadable(self, ident: str, now: float) -> None:
        self._limits.record_unreadable(ident, now)
        if ident not in self._unreadable:
            self._unreadable.add(ident)
            self._log.info("server_limit_unreadable", server=ident, was=self._rate(ident))

    def _rate(self, ident: str) -> float | None:
        limit = self._limits.get(ident)
        return None if limit is None else limit.per_s

    def _note(self, ident: str, per_s: float | None, was: float | None, told_by: str) -> None:
        self._log.info("server_limit", server=ident, per_s=per_s, was=was, told_by=told_by)
        if self._backends.is_listed(ident):
            # What was refused by the old rate says nothing of the new one.
            self._backends.stats(ident).limited_until = 0.0

    async def _tell_named(self, ident: str, per_s: float, now: float, *, begun: bool) -> None:
        if not begun and now - self._told_at.get(ident, float("-inf")) < NOTIFY_INTERVAL_S:
            return
        self._told_at[ident] = now
        await self._notices.send_to_all(
            LimitAdvertised(ident, per_s, 0.0), server=ident, per_s=per_s
        )

    async def _take_named(self, message: LimitAdvertised, sender: str) -> None:
        self.record_peer_update(
            message.server, message.per_s, await curio.clock() - message.ago_s, sender
        )

    async def _take_ended(self, message: LimitWithdrawn, sender: str) -> None:
        self._take_end(message.server, await curio.clock() - message.sent_ago_s, sender)

    async def remove_server(self, incarnation_id: str) -> None:
        """Forget what was told of a server that is gone.

        Its limit stays: its entry may have lapsed though it lives, and its need with it.
        """
        self._told_at.pop(incarnation_id, None)
        self._unreadable.discard(incarnation_id)

    def to_instance_record(self, now: float) -> Mapping[str, float]:
        """Return what belongs into this instance's note: the rates of what it hands out for."""
        servers = [ident for ident in self._limits.servers if self._shared.is_allocator(ident)]
        return self._limits.to_instance_record(servers, now)

    async def apply_instance_records(self, records: Mapping[str, InstanceRecord]) -> None:
        """Take what stands in the notes of instances."""
        now = await curio.clock()
        for name, note in records.items():
            for ident in self._limits.apply_instance_record(note.limited, now):
                self._note(ident, note.limited[ident], None, f"note:{name}")
