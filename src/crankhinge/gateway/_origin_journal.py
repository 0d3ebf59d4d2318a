"""Writes what begins streams into the store while versions mix, and reads it there.

The journal serves the case that all instances which saw a stream begin are gone. A few instances,
the recorders, write; the others send theirs to one of them. While one version alone serves, origins
are only collected in memory, so that the streams of the last minute are written, too, once a second
version appears.
"""

from __future__ import annotations

import itertools
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import curio

from crankhinge.adapters import OriginJournalStore
from crankhinge.decisions import (
    MAX_STREAM_S,
    CollectedOrigins,
    Membership,
    OriginCollector,
    OriginJournal,
    StreamOrigin,
    decode_segment,
    rank_by_key,
)
from crankhinge.errors import KeyValueUnavailable, Undecodable
from crankhinge.gateway._peer_messenger import PeerMessenger
from crankhinge.gateway._shared_read import SharedRead
from crankhinge.gateway._stream_origin_messages import OriginsCollected, OriginsReceipt
from crankhinge.runtime import Metrics

# Instances that write. With a write of each twice a second, the fleet makes 16 of the 400 writes a
# second that the store takes.
RECORDERS = 8
WRITE_INTERVAL_S = 0.5
# Seconds between the batches that an instance sends to a recorder. With 0.25 s, streams that began
# up to 0.75 s before a loss were missing.
BATCH_INTERVAL_S = 0.1
# Seconds between checks of whether versions mix, and updates of the versions from the list of
# servers.
IDLE_INTERVAL_S = 0.5
# Segments of a recorder; at two a second, they hold more than a minute.
SLOTS = 124
ORIGIN_LEASE_RENEWAL_INTERVAL_S = 15.0
# Seconds after which a recorder that sent no receipt for a batch is avoided, and for how long.
RECEIPT_TIMEOUT_S = 0.25
AVOIDED_S = 5.0
# Seconds for which a recorder accepts no batches after a failed write, and for which an instance
# sends none to a recorder that did not accept one: the store may turn single machines away.
REFUSING_S = 0.6
REFUSED_S = 0.5
# Seconds after it received a batch for which an instance writes although it is not among the first:
# the sender found the first ones silent, or knows other instances.
ASKED_S = 5.0
# Bytes of the segment in a batch, so that the message fits a datagram.
MAX_BATCH_BYTES = 1100
# Batches that are sent at a time, and that may be without a receipt.
MAX_BATCHES_PER_INTERVAL = 8
MAX_UNANSWERED = 32
# Bytes of values, as encoded in the store's responses, after which no further page is read. A
# minute of the planned size has 2.4 MB.
MAX_READ_BYTES = 8 * 1024 * 1024
RECORDERS_KEY = "origin-journal"


@dataclass(frozen=True)
class _SentBatch:
    batch: CollectedOrigins
    recorder: str
    address: str
    sent_at: float


class OriginJournalService:
    """Passes origins on to the journal while versions mix, and finds them there.

    Args:
        name: name of this instance.
        membership: the instances of the fleet.
        is_mixed: tells whether callers may take up streams of several versions of a service.
        store: store of the segments.
        messenger: sends and receives peer messages.
        log: log for events.
        metrics: receives the counters.
    """

    def __init__(
        self,
        *,
        name: str,
        membership: Membership,
        is_mixed: Callable[[], bool],
        store: OriginJournalStore,
        messenger: PeerMessenger,
        log: Any,
        metrics: Metrics,
    ) -> None:
        self._name = name
        self._membership = membership
        self._is_mixed = is_mixed
        self._store = store
        self._messenger = messenger
        self._log = log
        self._metrics = metrics
        self._collector = OriginCollector()
        self._reported_dropped = 0
        self._journal = OriginJournal()
        self._reads = SharedRead(self._read)
        self._read_at = float("-inf")
        self._is_active = False
        # Batches on their way to recorders, by number; recorders that sent no receipt, and those
        # that did not accept a batch, with the time until which they get none.
        self._numbers = itertools.count()
        self._sent: dict[int, _SentBatch] = {}
        self._avoided: dict[str, float] = {}
        self._refused: dict[str, float] = {}
        self._refusing_until = float("-inf")
        self._asked_until = float("-inf")
        # The segments that this instance has written within a minute: until when each is of use.
        self._written: deque[tuple[float, bytes]] = deque()
        self._token = ""
        self._slots = itertools.cycle(range(SLOTS))
        self._write_began_at = float("-inf")
        self._lease_renewed_at = float("-inf")
        self._may_have_segments = False
        self._store_failed = False
        messenger.add_handler(OriginsCollected, self._on_collected)
        messenger.add_handler(OriginsReceipt, self._on_receipt)

    @property
    def read_bytes(self) -> int:
        """Bytes of the segments that were read last."""
        return self._journal.size

    @property
    def read_segments(self) -> int:
        """Number of the segments that were read last."""
        return len(self._journal)

    @property
    def collected_count(self) -> int:
        """Number of streams that are not in the journal."""
        return len(self._collector)

    def record(self, key: int, origin: StreamOrigin, now: float) -> None:
        """Record what began a stream; it is passed on later."""
        self._collector.add(key, origin, now)

    async def find(self, key: int) -> StreamOrigin | None:
        """Return what began a stream; None if the journal does not tell.

        A record that was read earlier holds. If there is none, the journal is read again.
        """
        origins, is_read = self._known(key), True
        if not origins:
            is_read = await self._reads.get() is not None
            origins = self._known(key)
        if len(origins) == 1:
            self._metrics.count("origin_lookups.found")
            return next(iter(origins))
        # Several: an id was used twice.
        outcome = "conflicting" if origins else "absent" if is_read else "unanswered"
        self._metrics.count(f"origin_lookups.{outcome}")
        return None

    def is_conflicting(self, key: int) -> bool:
        """Whether several origins of a stream are known, so that none of them is certain."""
        return len(self._known(key)) > 1

    def _known(self, key: int) -> frozenset[StreamOrigin]:
        collected = self._collector.get(key)
        return self._journal.find(key) | ({collected} if collected is not None else set())

    async def _read(self) -> bool:
        items = await self._store.read_all(MAX_READ_BYTES)
        for name, why in self._journal.apply(items).items():
            self._log.warning("origin_segment_unreadable", segment=name, why=why)
        self._read_at = await curio.clock()
        return True

    async def run(self) -> None:
        """Pass collected origins on while versions mix, until cancelled."""
        while True:
            await curio.sleep(BATCH_INTERVAL_S if self._is_active else IDLE_INTERVAL_S)
            now = await curio.clock()
            self._drop_old(now)
            is_active = self._is_mixed() or now < self._asked_until
            if is_active is not self._is_active:
                self._is_active = is_active
                self._log.info("origin_journal", active=is_active, waiting=len(self._collector))
            try:
                await (self._pass_on(now) if is_active else self._end())
            except KeyValueUnavailable as exc:
                if not self._store_failed:
                    self._log.info("origin_journal_unknown", why=exc.detail)
                self._store_failed = True

    def _drop_old(self, now: float) -> None:
        """Drop what callers do not take up any more."""
        self._collector.drop_old(now)
        while self._written and self._written[0][0] < now:
            self._written.popleft()
        if now - self._read_at > MAX_STREAM_S:
            self._journal.clear()
        self._avoided = {name: until for name, until in self._avoided.items() if until > now}
        self._refused = {name: until for name, until in self._refused.items() if until > now}
        if self._collector.dropped != self._reported_dropped:
            count = self._collector.dropped - self._reported_dropped
            self._reported_dropped = self._collector.dropped
            self._metrics.count("origins_dropped", count)
            self._log.warning("origins_dropped", count=count)

    async def _pass_on(self, now: float) -> None:
        """Send collected origins to a recorder, or write them as one."""
        for number, sent in list(self._sent.items()):
            if now - sent.sent_at >= RECEIPT_TIMEOUT_S:
                del self._sent[number]
                self._avoided[sent.recorder] = now + AVOIDED_S
                self._collector.put_back(sent.batch)
        if self._membership.is_settling(now) or not self._knows_fleet(now):
            # Instances that all start at once would each write, twice a second.
            return
        recorder = self._choose_recorder(now)
        if recorder is None:
            return
        if recorder != self._name:
            await self._send(recorder, now)
        elif len(self._collector) and now - self._write_began_at >= WRITE_INTERVAL_S:
            await self._write(now)
        if self._may_have_segments and not self._written and recorder != self._name:
            await self._end()
        elif now - self._lease_renewed_at >= ORIGIN_LEASE_RENEWAL_INTERVAL_S and self._token:
            self._lease_renewed_at = now
            if not await self._store.renew():
                self._write_again()

    def _knows_fleet(self, now: float) -> bool:
        return len(self._membership) > 1 or self._membership.has_counted_instances(now)

    def _choose_recorder(self, now: float) -> str | None:
        """Return the instance that writes the origins of this one; None if none can at present."""
        ranked = [
            name
            for name in self._membership.rank_instances(RECORDERS_KEY)
            if name == self._name or self._membership.peer_address(name)
        ]
        is_recorder = self._name in ranked[:RECORDERS] or now < self._asked_until
        if is_recorder and now >= self._refusing_until:
            return self._name
        for begin in range(0, len(ranked), RECORDERS):
            group = ranked[begin : begin + RECORDERS]
            live = [name for name in group if name not in self._avoided]
            usable = [name for name in live if name not in self._refused]
            if is_recorder and self._name in usable:
                usable.remove(self._name)
            if usable:
                return rank_by_key(self._name.encode(), usable)[0]
            if live:
                # The store is away for all of them, and would be for others.
                break
        return self._name if is_recorder or len(ranked) == 1 else None

    async def _send(self, recorder: str, now: float) -> None:
        address = self._membership.peer_address(recorder)
        for _ in range(MAX_BATCHES_PER_INTERVAL):
            if not len(self._collector) or len(self._sent) >= MAX_UNANSWERED:
                return
            number, batch = next(self._numbers), self._collector.take(MAX_BATCH_BYTES)
            self._sent[number] = _SentBatch(batch, recorder, address, now)
            await self._messenger.send(address, OriginsCollected(number, batch.encode()))

    async def _on_collected(self, message: OriginsCollected, sender: str) -> None:
        try:
            segment = decode_segment(message.segment)
        except Undecodable as exc:
            self._log.info("notice_unreadable", peer=sender, why=exc.detail)
            return
        now = await curio.clock()
        accepted = now >= self._refusing_until and not self._membership.is_settling(now)
        if accepted:
            for key, origin in segment.items():
                self._collector.add(key, origin, now)
            self._asked_until = now + ASKED_S
        await self._messenger.send(sender, OriginsReceipt(message.number, accepted))

    async def _on_receipt(self, message: OriginsReceipt, sender: str) -> None:
        sent = self._sent.get(message.number)
        if sent is None or sent.address != sender:
            return
        del self._sent[message.number]
        self._avoided.pop(sent.recorder, None)
        if not message.accepted:
            self._collector.put_back(sent.batch)
            self._refused[sent.recorder] = await curio.clock() + REFUSED_S

    async def _write(self, now: float) -> None:
        """Write a segment. Raises KeyValueUnavailable; then its streams wait for the next one."""
        batch = self._collector.take()
        data = batch.encode()
        self._write_began_at, self._may_have_segments = now, True
        try:
            # A write without a response may take effect later. So the next one uses another slot.
            token = await self._store.write(next(self._slots), data)
        except KeyValueUnavailable:
            self._collector.put_back(batch)
            self._refusing_until = await curio.clock() + REFUSING_S
            raise
        self._store_failed = False
        if token != self._token:
            # The lease that was granted took a write, too.
            self._lease_renewed_at, self._write_began_at = now, now + WRITE_INTERVAL_S
            self._write_again()
        self._token = token
        self._written.append((now + MAX_STREAM_S, data))
        self._metrics.count("origin_segments_written")

    def _write_again(self) -> None:
        """Collect the streams of the last minute again, as the store may have lost its segments."""
        for until, data in reversed(self._written):
            origins = {
                key: (origin, until - MAX_STREAM_S) for key, origin in decode_segment(data).items()
            }
            self._collector.put_back(CollectedOrigins(origins))
        self._written.clear()

    async def _end(self) -> None:
        """End the segments of this instance, if it has written any."""
        # The streams that are on their way are written if versions mix again.
        for sent in self._sent.values():
            self._collector.put_back(sent.batch)
        self._sent.clear()
        if not self._may_have_segments:
            return
        self._may_have_segments, self._token = False, ""
        self._written.clear()
        await self._store.end()
