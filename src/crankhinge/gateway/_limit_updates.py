"""Learns the limits that servers advertise in their responses, and notifies the other instances.

An instance that receives a changed limit notifies all others, since they may be sending requests to
the server at the same time. The allocators of a server also publish its rate in their instance
records in the store, for instances that start.
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

# Minimum seconds between notifications of all instances that a server's rate changed. Allocators
# get the rate with each permit request, and each instance also learns it from the server itself.
NOTIFY_INTERVAL_S = 1.0


class LimitUpdates(SignalListener):
    """Receives advertised limits from servers and from other instances.

    Args:
        shared_limits: gets the limits.
        backends: the backend servers.
        messenger: sends and receives peer messages.
        log: log for events.
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
        # Incarnation ids of servers whose latest limit was unreadable, so that it is logged once.
        self._unreadable: set[str] = set()
        messenger.add_handler(LimitAdvertised, self._on_limit_advertised)
        messenger.add_handler(LimitWithdrawn, self._on_limit_withdrawn)

    def __len__(self) -> int:
        return len(self._limits)

    async def on_signals(
        self, server: Server, signals: ResponseSignals, *, sent_at: float, succeeded: bool
    ) -> None:
        """Record the limit that the head of a server's response advertises.

        Only the response to a request that the server executed successfully shows that a server
        advertises no limit any more.
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
        """Record a limit that another instance received at a time on the runtime's clock."""
        self._apply_limit(incarnation_id, per_s, received_at, source)

    def _apply_limit(self, incarnation_id: str, per_s: float, at: float, source: str) -> bool:
        """Record a rate; return whether it changed."""
        previous = self._rate(incarnation_id)
        changed = self._limits.record_limit(incarnation_id, per_s, at)
        if changed:
            self._record_change(incarnation_id, per_s, previous, source)
        return changed

    def _apply_no_limit(self, incarnation_id: str, sent_at: float, source: str) -> bool:
        """Record that a server advertises no limit any more; return whether that changed."""
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
            # A refusal under the old rate says nothing about the new one.
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
        """Remove the notification state of a server that is gone.

        Its limit is kept: the entry of a running server may have lapsed, and that server still
        needs its limit to be respected.
        """
        self._notified_at.pop(incarnation_id, None)
        self._unreadable.discard(incarnation_id)

    def to_instance_record(self, now: float) -> Mapping[str, float]:
        """Return the limits to publish: of the servers that this instance is an allocator of."""
        incarnation_ids = [
            incarnation_id
            for incarnation_id in self._limits.servers
            if self._shared_limits.is_allocator(incarnation_id)
        ]
        return self._limits.to_instance_record(incarnation_ids, now)

    async def apply_instance_records(self, records: Mapping[str, InstanceRecord]) -> None:
        """Apply the limits in the records of instances."""
        now = await curio.clock()
        for name, record in records.items():
            for incarnation_id in self._limits.apply_instance_record(record.limited, now):
                self._record_change(
                    incarnation_id, record.limited[incarnation_id], None, f"note:{name}"
                )
