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
        self._shared_limits = shared_limits
        self._limits = shared_limits.advertised
        self._backends = backends
        self._messenger = messenger
        self._log = log
        self._notified_at: dict[str, float] = {}
        # Servers whose last word was no rate; one line tells of it.
        self._unreadable: set[str] = set()
        messenger.add_handler(LimitAdvertised, self._on_limit_advertised)
        messenger.add_handler(LimitWithdrawn, self._on_limit_withdrawn)

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
            is_first = self._limits.get(server.incarnation_id) is None
            if self._apply_limit(server.incarnation_id, signals.limit_per_s, now, "own"):
                await self._notify_limit(
                    server.incarnation_id, signals.limit_per_s, now, is_first=is_first
                )
        elif signals.advertises_limit:
            self._apply_unreadable(server.incarnation_id, now)
        elif succeeded and self._apply_no_limit(server.incarnation_id, sent_at, "own"):
            message = LimitWithdrawn(server.incarnation_id, now - sent_at)
            await self._messenger.send_to_all(message, server=server.incarnation_id)

    def record_peer_update(
        self, incarnation_id: str, per_s: float, received_at: float, source: str
    ) -> None:
        """Note what another instance heard of a server at a time on the runtime's clock."""
        self._apply_limit(incarnation_id, per_s, received_at, source)

    def _apply_limit(self, incarnation_id: str, per_s: float, at: float, source: str) -> bool:
        """Take a rate; returns whether it was news."""
        previous = self._rate(incarnation_id)
        changed = self._limits.record_limit(incarnation_id, per_s, at)
        if changed:
            self._record_change(incarnation_id, per_s, previous, source)
        return changed

    def _apply_no_limit(self, incarnation_id: str, sent_at: float, source: str) -> bool:
        """Take that a server names nothing any more; returns whether it was news."""
        previous = self._rate(incarnation_id)
        changed = self._limits.record_no_limit(incarnation_id, sent_at)
        if changed:
            self._unreadable.discard(incarnation_id)
            self._record_change(incarnation_id, None, previous, source)
        return changed

    def _apply_unreadable(self, incarnation_id: str, now: float) -> None:
        self._limits.record_unreadable(incarnation_id, now)
        if incarnation_id not in self._unreadable:
            self._unreadable.add(incarnation_id)
            self._log.info(
                "server_limit_unreadable", server=incarnation_id, was=self._rate(incarnation_id)
            )

    def _rate(self, incarnation_id: str) -> float | None:
        limit = self._limits.get(incarnation_id)
        return None if limit is None else limit.per_s

    def _record_change(
        self, incarnation_id: str, per_s: float | None, previous: float | None, source: str
    ) -> None:
        self._log.info(
            "server_limit", server=incarnation_id, per_s=per_s, was=previous, told_by=source
        )
        if self._backends.is_listed(incarnation_id):
            # What was refused by the old rate says nothing of the new one.
            self._backends.stats(incarnation_id).limited_until = 0.0

    async def _notify_limit(
        self, incarnation_id: str, per_s: float, now: float, *, is_first: bool
    ) -> None:
        if (
            not is_first
            and now - self._notified_at.get(incarnation_id, float("-inf")) < NOTIFY_INTERVAL_S
        ):
            return
        self._notified_at[incarnation_id] = now
        await self._messenger.send_to_all(
            LimitAdvertised(incarnation_id, per_s, 0.0), server=incarnation_id, per_s=per_s
        )

    async def _on_limit_advertised(self, message: LimitAdvertised, sender: str) -> None:
        self.record_peer_update(
            message.server, message.per_s, await curio.clock() - message.ago_s, sender
        )

    async def _on_limit_withdrawn(self, message: LimitWithdrawn, sender: str) -> None:
        self._apply_no_limit(message.server, await curio.clock() - message.sent_ago_s, sender)

    async def remove_server(self, incarnation_id: str) -> None:
        """Forget what was told of a server that is gone.

        Its limit stays: its entry may have lapsed though it lives, and its need with it.
        """
        self._notified_at.pop(incarnation_id, None)
        self._unreadable.discard(incarnation_id)

    def to_instance_record(self, now: float) -> Mapping[str, float]:
        """Return what belongs into this instance's note: the rates of what it hands out for."""
        servers = [
            incarnation_id
            for incarnation_id in self._limits.servers
            if self._shared_limits.is_allocator(incarnation_id)
        ]
        return self._limits.to_instance_record(servers, now)

    async def apply_instance_records(self, records: Mapping[str, InstanceRecord]) -> None:
        """Take what stands in the notes of instances."""
        now = await curio.clock()
        for name, record in records.items():
            for incarnation_id in self._limits.apply_instance_record(record.limited, now):
                self._record_change(
                    incarnation_id, record.limited[incarnation_id], None, f"note:{name}"
                )
