"""Keeps requests that servers were running when they crashed away from further servers.

An instance that notices a crash counts it for each request that the crash cut, and reports it to
the first two instances in the order that depends on the request's fingerprint. So a crash costs at
most two datagrams for each request that it cut, however many instances there are; one datagram
holds up to 48 requests. An instance that has counted enough crashes of a request puts it in
quarantine and notifies all others once. The instance that begins a trial notifies them as well.

Datagrams may be lost. Therefore the reports go to two instances. An instance that missed the
notification about a quarantine is notified again when it reports the request's next crash. The
instances that counted the crashes publish the quarantine in their records in the store, which all
instances read and which outlive restarts.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection, Mapping
from typing import Any

import curio

from crankhinge.adapters import InstanceRecord
from crankhinge.decisions import Membership, Quarantine, QuarantineUpdate, Server
from crankhinge.errors import Quarantined
from crankhinge.gateway._peer_messages import (
    QuarantineEnded,
    QuarantineUpdateMessage,
    ServerCrashed,
)
from crankhinge.gateway._peer_messenger import PeerMessenger
from crankhinge.gateway._request import Relay
from crankhinge.runtime import Metrics

# Instances to which the crashes of one request are reported: one of them may be gone or miss a
# message.
COUNTING_INSTANCES = 2
# Fingerprints in one datagram: each takes 19 bytes, and a datagram has 1,200.
MAX_FINGERPRINTS_PER_MESSAGE = 48


class QuarantineService:
    """Refuses requests that are in quarantine, and counts and reports crashes.

    Args:
        name: name of this instance.
        membership: the instances of the fleet.
        messenger: sends and receives peer messages.
        log: log for events.
        metrics: registry for counters.
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
        self._membership = membership
        self._messenger = messenger
        self._log = log
        self._metrics = metrics
        self._quarantine = Quarantine()
        messenger.add_handler(ServerCrashed, self._on_server_crashed)
        messenger.add_handler(QuarantineUpdateMessage, self._on_quarantine_update)
        messenger.add_handler(QuarantineEnded, self._on_quarantine_ended)

    def __len__(self) -> int:
        return len(self._quarantine)

    def refuse_quarantined(self, work_key: str, now: float) -> None:
        """Refuse work that must not be sent to any server now.

        Args:
            work_key: key of the work as returned by :meth:`Relay.work_key`.
            now: time on the runtime's clock, in seconds.

        Raises:
            Quarantined: servers crashed while they ran this work.
        """
        left_s = self._quarantine.refusal_left_s(work_key, now)
        if left_s > 0:
            crashes = self._quarantine.crash_count(work_key)
            raise Quarantined(
                f"{crashes} servers crashed while they ran this request", retry_after_s=left_s
            )

    async def admit(self, relay: Relay, work_key: str, now: float) -> None:
        """Check work that is about to be sent to a server.

        If the work is in quarantine and a trial is due, it becomes the trial.

        Raises:
            Quarantined: as raised by :meth:`refuse_quarantined`.
        """
        if relay.trial_work == work_key:
            return
        self.refuse_quarantined(work_key, now)
        if not self._quarantine.is_quarantined(work_key):
            return
        relay.trial_work = work_key
        trial = self._quarantine.begin_trial(work_key, now)
        self._log.info("quarantine_trial", request=relay.request.request_id, fingerprint=work_key)
        await self._announce(trial)

    async def record_crash(self, server: Server, fingerprints: Collection[str]) -> None:
        """Count a server's crash for each request that it ran, and report it to other instances."""
        by_instance: defaultdict[str, list[str]] = defaultdict(list)
        for fingerprint in fingerprints:
            for instance in self._membership.first_instances(fingerprint, COUNTING_INSTANCES):
                by_instance[instance].append(fingerprint)
            await self._count_crash(fingerprint, server.incarnation_id, "own")
        by_instance.pop(self._name, None)
        for instance, cut in by_instance.items():
            address = self._membership.peer_address(instance)
            for first in range(0, len(cut) if address else 0, MAX_FINGERPRINTS_PER_MESSAGE):
                part = tuple(cut[first : first + MAX_FINGERPRINTS_PER_MESSAGE])
                await self._messenger.send(address, ServerCrashed(server.incarnation_id, part))

    async def _count_crash(self, fingerprint: str, server: str, source: str) -> None:
        update = self._quarantine.record_crash(fingerprint, server, await curio.clock())
        self._log.info(
            "request_cut",
            fingerprint=fingerprint,
            server=server,
            crashes=self._quarantine.crash_count(fingerprint),
            told_by=source,
        )
        if update is not None:
            self._log_begun(update, "own")
            await self._announce(update)

    async def record_completed(self, relay: Relay, work_key: str) -> None:
        """Record that a server completed work, which shows that the work does not crash servers."""
        was_quarantined = self._quarantine.is_quarantined(work_key)
        crashes = self._quarantine.record_completed(work_key, await curio.clock())
        if not crashes:
            return
        self._log.info(
            "request_cleared",
            request=relay.request.request_id,
            fingerprint=work_key,
            crashes=crashes,
        )
        if was_quarantined:
            await self._messenger.send_to_all(QuarantineEnded(work_key), fingerprint=work_key)
            return
        for instance in self._membership.first_instances(work_key, COUNTING_INSTANCES):
            if instance != self._name and (address := self._membership.peer_address(instance)):
                await self._messenger.send(address, QuarantineEnded(work_key))

    def to_instance_record(self) -> Mapping[str, tuple[str, ...]]:
        """Return what this instance publishes in its record in the store.

        These are the newest requests that this instance put in quarantine, by fingerprint, each
        with the servers that crashed.
        """
        return self._quarantine.to_instance_record()

    async def apply_instance_records(self, records: Mapping[str, InstanceRecord]) -> None:
        """Apply the quarantines in the records of instances.

        A record under this instance's own name was published by its earlier incarnation.
        """
        now = await curio.clock()
        for name, record in records.items():
            own = name == self._name
            for update in self._quarantine.apply_instance_record(record.quarantined, now, own=own):
                self._log_begun(update, f"note:{name}")

    def _log_begun(self, update: QuarantineUpdate, source: str) -> None:
        self._metrics.count("quarantines")
        self._log.warning(
            "request_quarantined",
            fingerprint=update.fingerprint,
            crashes=len(update.servers),
            left_s=round(update.left_s, 1),
            servers=",".join(update.servers),
            told_by=source,
        )

    async def _announce(self, update: QuarantineUpdate) -> None:
        message = QuarantineUpdateMessage(update.fingerprint, update.servers, update.left_s)
        await self._messenger.send_to_all(message, fingerprint=update.fingerprint)

    async def _on_server_crashed(self, message: ServerCrashed, sender: str) -> None:
        for fingerprint in message.fingerprints:
            await self._count_crash(fingerprint, message.server, sender)

    async def _on_quarantine_update(self, message: QuarantineUpdateMessage, sender: str) -> None:
        update = QuarantineUpdate(message.fingerprint, message.servers, message.left_s)
        if self._quarantine.apply_update(update, await curio.clock()):
            self._log_begun(update, sender)

    async def _on_quarantine_ended(self, message: QuarantineEnded, sender: str) -> None:
        crashes = self._quarantine.record_completed(message.fingerprint, await curio.clock())
        if crashes:
            self._log.info(
                "request_cleared", fingerprint=message.fingerprint, crashes=crashes, told_by=sender
            )
