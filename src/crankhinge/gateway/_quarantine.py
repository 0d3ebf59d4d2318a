"""Keeps requests under which servers crashed from further servers, over all instances.

Crashes of one request are counted by the two instances that come first for its fingerprint, so a
crash costs two datagrams for each request that it cut, however many instances there are. Whoever
has counted enough of them tells all, once a quarantine. Datagrams may be lost: two count, an
instance that was not told is told again when it reports its next crash, and who counted keeps the
quarantine in its note in the store, which all read and which outlives restarts.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection, Mapping
from typing import Any

import curio

from crankhinge.adapters import InstanceRecord
from crankhinge.decisions import Membership, Quarantine, QuarantineUpdate, Server
from crankhinge.errors import Quarantined
from crankhinge.gateway._peer_messages import QuarantineBegun, QuarantineEnded, ServerCrashed
from crankhinge.gateway._peer_messenger import PeerMessenger
from crankhinge.gateway._request import Relay
from crankhinge.runtime import Metrics

# Instances that count the crashes of one request: one may be gone or not hear.
COUNTING_INSTANCES = 2
# Fingerprints in one datagram: 19 bytes each, 1,200 in a datagram.
MAX_FINGERPRINTS_PER_MESSAGE = 48


class QuarantineService:
    """Refuses requests that are in quarantine and tells instances of crashes.

    Args:
        name: of this instance.
        membership: the instances.
        messenger: carries the datagrams.
        log: for events.
        metrics: for counters.
    """

    def __init__(
        self,
        *,
        name: str,
        membership: Membership,
        messenger: PeerMessenger,
        log: Any,
        metrics: Metrics,
    ) -> None:
        self._name = name
        self._members = membership
        self._notices = messenger
        self._log = log
        self._metrics = metrics
        self._quarantine = Quarantine()
        messenger.add_handler(ServerCrashed, self._take_crash)
        messenger.add_handler(QuarantineBegun, self._take_begun)
        messenger.add_handler(QuarantineEnded, self._take_ended)

    def __len__(self) -> int:
        return len(self._quarantine)

    def refuse_quarantined(self, work: str, now: float) -> None:
        """Refuse work that no server may be sent now.

        Args:
            work: as :meth:`Relay.work` returns it.
            now: on the runtime's clock, in seconds.

        Raises:
            Quarantined: servers crashed while they did it.
        """
        left_s = self._quarantine.refusal_left_s(work, now)
        if left_s > 0:
            crashes = self._quarantine.crash_count(work)
            raise Quarantined(
                f"{crashes} servers crashed while they ran this request", retry_after_s=left_s
            )

    async def admit(self, relay: Relay, work: str, now: float) -> None:
        """Look at work that is about to be sent to a server; it may become the trial.

        Raises:
            Quarantined: as :meth:`refuse_quarantined` does.
        """
        if relay.trial_work == work:
            return
        self.refuse_quarantined(work, now)
        if not self._quarantine.is_quarantined(work):
            return
        relay.trial_work = work
        trial = self._quarantine.begin_trial(work, now)
        self._log.info("quarantine_trial", request=relay.request.request_id, fingerprint=work)
        await self._tell(trial)

    async def record_crash(self, server: Server, fingerprints: Collection[str]) -> None:
        """Note that a server crashed while it ran requests, and have it counted."""
        by_keeper: defaultdict[str, list[str]] = defaultdict(list)
        for fingerprint in fingerprints:
            for keeper in self._members.first_instances(fingerprint, COUNTING_INSTANCES):
                by_keeper[keeper].append(fingerprint)
            await self._count(fingerprint, server.incarnation_id, "own")
        by_keeper.pop(self._name, None)
        for keeper, cut in by_keeper.items():
            peer = self._members.peer_address(keeper)
            for first in range(0, len(cut) if peer else 0, MAX_FINGERPRINTS_PER_MESSAGE):
                some = tuple(cut[first : first + MAX_FINGERPRINTS_PER_MESSAGE])
                await self._notices.send(peer, ServerCrashed(server.incarnation_id, some))

    async def _count(self, fingerprint: str, server: str, told_by: str) -> None:
        isolation = self._quarantine.record_crash(fingerprint, server, await curio.clock())
        self._log.info(
            "request_cut",
            fingerprint=fingerprint,
            server=server,
            crashes=self._quarantine.crash_count(fingerprint),
            told_by=told_by,
        )
        if isolation is not None:
            self._note_begun(isolation, "own")
            await self._tell(isolation)

    async def record_completed(self, relay: Relay, work: str) -> None:
        """Note that a server did work to its end, which it does not where that crashes servers."""
        isolated = self._quarantine.is_quarantined(work)
        crashes = self._quarantine.record_completed(work, await curio.clock())
        if not crashes:
            return
        self._log.info(
            "request_cleared", request=relay.request.request_id, fingerprint=work, crashes=crashes
        )
        if isolated:
            await self._notices.send_to_all(QuarantineEnded(work), fingerprint=work)
            return
        for keeper in self._members.first_instances(work, COUNTING_INSTANCES):
            if keeper != self._name and (peer := self._members.peer_address(keeper)):
                await self._notices.send(peer, QuarantineEnded(work))

    def to_instance_record(self) -> Mapping[str, tuple[str, ...]]:
        """Return what belongs into this instance's note."""
        return self._quarantine.to_instance_record()

    async def apply_instance_records(self, records: Mapping[str, InstanceRecord]) -> None:
        """Take what stands in the notes of instances; this one's own is of an earlier life."""
        now = await curio.clock()
        for name, note in records.items():
            own = name == self._name
            for isolation in self._quarantine.apply_instance_record(note.quarantined, now, own=own):
                self._note_begun(isolation, f"note:{name}")

    def _note_begun(self, isolation: QuarantineUpdate, told_by: str) -> None:
        self._metrics.count("quarantines")
        self._log.warning(
            "request_quarantined",
            fingerprint=isolation.fingerprint,
            crashes=len(isolation.servers),
            left_s=round(isolation.left_s, 1),
            servers=",".join(isolation.servers),
            told_by=told_by,
        )

    async def _tell(self, isolation: QuarantineUpdate) -> None:
        notice = QuarantineBegun(isolation.fingerprint, isolation.servers, isolation.left_s)
        await self._notices.send_to_all(notice, fingerprint=isolation.fingerprint)

    async def _take_crash(self, message: ServerCrashed, sender: str) -> None:
        for fingerprint in message.fingerprints:
            await self._count(fingerprint, message.server, sender)

    async def _take_begun(self, message: QuarantineBegun, sender: str) -> None:
        isolation = QuarantineUpdate(message.fingerprint, message.servers, message.left_s)
        if self._quarantine.apply_update(isolation, await curio.clock()):
            self._note_begun(isolation, sender)

    async def _take_ended(self, message: QuarantineEnded, sender: str) -> None:
        crashes = self._quarantine.record_completed(message.fingerprint, await curio.clock())
        if crashes:
            self._log.info(
                "request_cleared", fingerprint=message.fingerprint, crashes=crashes, told_by=sender
            )
