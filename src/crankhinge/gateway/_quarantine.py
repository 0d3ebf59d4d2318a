"""Keeps work that servers were doing when they crashed away from further servers.

An instance that notices a crash counts it for each request that the crash cut, and for each part of
their prompts. It reports it to the first two instances in the order that depends on the key of the
work. So a crash costs at most two datagrams for each of these keys, however many instances there
are; one datagram holds up to 40 keys. An instance that has counted enough crashes puts the work in
quarantine and notifies all others. The instance that begins a trial notifies them as well.

The instance that counts the crashes of a part knows only some of the requests with it. An instance
that has seen such a request served since then answers the notification, and the quarantine ends
within milliseconds.

Datagrams may be lost. Therefore the reports go to two instances, and notifications about parts are
repeated. An instance that missed the notification about a quarantine is notified again when it
reports the next crash. The instances that counted the crashes publish the quarantine in their
records in the store, which all instances read and which outlive restarts.
"""

from __future__ import annotations

import itertools
from collections import defaultdict
from collections.abc import Collection, Mapping
from typing import Any

import curio

from crankhinge.adapters import InstanceRecord
from crankhinge.decisions import (
    COMPLETED_RETENTION_S,
    Membership,
    Quarantine,
    QuarantineUpdate,
    Server,
    WorkKeys,
    is_part_key,
    is_served_since,
)
from crankhinge.errors import Quarantined
from crankhinge.gateway._part_evidence import PartEvidence
from crankhinge.gateway._peer_messages import (
    PartServed,
    QuarantineEnded,
    QuarantineUpdateMessage,
    ServerCrashed,
)
from crankhinge.gateway._peer_messenger import PeerMessenger
from crankhinge.gateway._request import Relay
from crankhinge.runtime import Metrics

# Instances to which the crashes of one key are reported: one of them may be gone or miss a message.
COUNTING_INSTANCES = 2
# Keys in one datagram: each takes up to 26 bytes with its tag, and a datagram has 1,200.
MAX_KEYS_PER_MESSAGE = 40
# Characters of a request's fingerprint that tell it from others with the same part.
REQUEST_TAG_CHARS = 4
# Seconds after which notifications about parts are repeated. With 3 in 10 datagrams lost, 1 in 100
# instances misses all of them; it reads of the quarantine in the store. By the last of them,
# servers have been writing for MAX_WRITING_S on the streams that were in progress at the first.
REPEAT_AFTER_S = (0.2, 0.8, 1.0)
# Each instance may begin the trial of a part this many seconds later than the one before it in the
# order of the key, so that instances with many requests do not begin several trials at once.
TRIAL_STAGGER_S = 0.5
MAX_TRIAL_STAGGER_S = 10.0


class QuarantineService:
    """Refuses requests that are in quarantine, and counts and reports crashes.

    Attributes:
        part_evidence: what this instance knows of servers that serve requests with a part.

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
        self.part_evidence = PartEvidence()
        messenger.add_handler(ServerCrashed, self._on_server_crashed)
        messenger.add_handler(QuarantineUpdateMessage, self._on_quarantine_update)
        messenger.add_handler(QuarantineEnded, self._on_quarantine_ended)
        messenger.add_handler(PartServed, self._on_part_served)

    def __len__(self) -> int:
        return len(self._quarantine)

    @property
    def part_count(self) -> int:
        """Number of parts of prompts in quarantine."""
        return self._quarantine.part_count

    def refuse_quarantined(self, relay: Relay, now: float) -> None:
        """Refuse a request that must not be sent to any server now.

        Args:
            relay: the request.
            now: time on the runtime's clock, in seconds.

        Raises:
            Quarantined: servers crashed while they ran this request, or others that share a part of
                its prompt.
        """
        keys = relay.work_keys(prompt_only=False)
        self._quarantine.record_request(keys)
        self._refuse(relay, keys, now)

    def _refuse(self, relay: Relay, keys: Collection[str], now: float) -> None:
        for key in self._quarantine.barring_keys(keys):
            if key in relay.trial_work:
                continue
            left_s = self._refusal_left_s(key, now)
            if left_s > 0:
                raise Quarantined(self._describe(key), retry_after_s=left_s)

    def _refusal_left_s(self, key: str, now: float) -> float:
        left_s = self._quarantine.refusal_left_s(key, now)
        if left_s > 0 or not is_part_key(key):
            return left_s
        rank = self._membership.rank_instances(key).index(self._name)
        delay_s = min(rank * TRIAL_STAGGER_S, MAX_TRIAL_STAGGER_S)
        return self._quarantine.refusal_left_s(key, now - delay_s)

    def _describe(self, key: str) -> str:
        crashes = self._quarantine.crash_count(key)
        if is_part_key(key):
            return f"{crashes} servers crashed while they ran requests with part {key}"
        return f"{crashes} servers crashed while they ran this request"

    async def admit(self, relay: Relay, now: float, *, prompt_only: bool) -> None:
        """Check work that is about to be sent to a server.

        If the work is in quarantine and a trial is due, it becomes the trial. The prompt of a trial
        is not processed by another engine first, so that the trial reaches one server only.

        Raises:
            Quarantined: as raised by :meth:`refuse_quarantined`.
        """
        keys = relay.work_keys(prompt_only=False)
        if prompt_only:
            for key in self._quarantine.barring_keys(keys):
                raise Quarantined(self._describe(key), retry_after_s=0.0)
            keys = relay.work_keys(prompt_only=True)
        self._refuse(relay, keys, now)
        due = [key for key in self._quarantine.barring_keys(keys) if key not in relay.trial_work]
        for key in due:
            relay.trial_work |= {key}
            trial = self._quarantine.begin_trial(key, now)
            self._log.info("quarantine_trial", request=relay.request.request_id, fingerprint=key)
            await self._announce(trial)

    async def record_crash(self, server: Server, requests: Collection[WorkKeys]) -> None:
        """Count a server's crash for the work that it did, and report it to other instances."""
        requests_by_key = _requests_by_key(requests)
        by_instance: defaultdict[str, list[tuple[str, str]]] = defaultdict(list)
        for key, tags in requests_by_key.items():
            for instance in self._membership.first_instances(key, COUNTING_INSTANCES):
                by_instance[instance] += [(key, tag) for tag in sorted(tags) or [""]]
            await self._count_crash(key, server.incarnation_id, tags, "own")
        by_instance.pop(self._name, None)
        for instance, cut in by_instance.items():
            address = self._membership.peer_address(instance)
            for first in range(0, len(cut) if address else 0, MAX_KEYS_PER_MESSAGE):
                batch = cut[first : first + MAX_KEYS_PER_MESSAGE]
                report = ServerCrashed(
                    server.incarnation_id,
                    tuple(key for key, _ in batch),
                    tuple(tag for _, tag in batch),
                )
                await self._messenger.send(address, report)

    async def _count_crash(
        self, key: str, server: str, requests: Collection[str], source: str
    ) -> None:
        now = await curio.clock()
        update = self._quarantine.record_crash(
            key, server, now, requests=requests, served_at=self._served_at(key)
        )
        self._log.info(
            "request_cut",
            fingerprint=key,
            server=server,
            crashes=self._quarantine.crash_count(key),
            told_by=source,
        )
        if update is not None:
            self._log_begun(update, "own")
            await self._announce(update)

    async def record_completed(self, relay: Relay, *, prompt_only: bool) -> None:
        """Record that a server completed work, which shows that the work does not crash servers.

        Args:
            relay: the request.
            prompt_only: whether a prompt engine processed its prompt; otherwise it is complete.
        """
        now = await curio.clock()
        keys = relay.work_keys(prompt_only=prompt_only)
        self.part_evidence.record_served([key for key in keys if is_part_key(key)], now)
        for key in keys:
            await self._clear(key, now, request=relay.request.request_id)

    async def _clear(self, key: str, now: float, **log_fields: Any) -> None:
        """Forget the crashes of some work, and notify the instances that may know of them."""
        was_quarantined = self._quarantine.is_quarantined(key)
        crashes = self._quarantine.record_completed(key, now)
        if not crashes:
            return
        self._log.info("request_cleared", fingerprint=key, crashes=crashes, **log_fields)
        if was_quarantined:
            await self._announce_ended(key)
            return
        for instance in self._membership.first_instances(key, COUNTING_INSTANCES):
            if instance != self._name and (address := self._membership.peer_address(instance)):
                await self._messenger.send(address, QuarantineEnded(key))

    def to_instance_record(self) -> Mapping[str, tuple[str, ...]]:
        """Return what this instance publishes in its record in the store.

        This is the work that this instance most recently put in quarantine, by key, each with the
        servers that crashed.
        """
        return self._quarantine.to_instance_record()

    async def apply_instance_records(self, records: Mapping[str, InstanceRecord]) -> None:
        """Apply the quarantines in the records of instances.

        A record under this instance's own name was published by its earlier incarnation.
        """
        now = await curio.clock()
        for name, record in records.items():
            own = name == self._name
            published = {
                key: servers
                for key, servers in record.quarantined.items()
                if not self._is_served_recently(key, now)
            }
            for update in self._quarantine.apply_instance_record(published, now, own=own):
                self._log_begun(update, f"note:{name}")

    def _served_at(self, key: str) -> float | None:
        """Return when a part was last served; None for a whole request."""
        return self.part_evidence.served_at(key) if is_part_key(key) else None

    def _is_served_recently(self, key: str, now: float) -> bool:
        """Return whether a part was served too recently for an instance record to count.

        The record may have been written before that.
        """
        served_at = self._served_at(key)
        return served_at is not None and now - served_at < COMPLETED_RETENTION_S

    def _log_begun(self, update: QuarantineUpdate, source: str) -> None:
        self._metrics.count("part_quarantines" if is_part_key(update.key) else "quarantines")
        self._log.warning(
            "request_quarantined",
            fingerprint=update.key,
            crashes=len(update.servers),
            left_s=round(update.left_s, 1),
            servers=",".join(update.servers),
            told_by=source,
        )

    async def _announce(self, update: QuarantineUpdate) -> None:
        await self._messenger.send_to_all(_to_message(update), fingerprint=update.key)
        if is_part_key(update.key):
            await curio.spawn(self._repeat_announcement, update, daemon=True)

    async def _repeat_announcement(self, announced: QuarantineUpdate) -> None:
        for delay_s in REPEAT_AFTER_S:
            await curio.sleep(delay_s)
            now = await curio.clock()
            update = self._quarantine.to_update(announced.key, now)
            if update is None or update.servers != announced.servers:
                return
            if is_served_since(update.crashes(now).values(), self._served_at(update.key)):
                await self._clear(announced.key, now, told_by="own")
                return
            await self._messenger.send_to_all(_to_message(update), fingerprint=update.key)

    async def _announce_ended(self, key: str) -> None:
        ended = QuarantineEnded(key, to_all=True)
        await self._messenger.send_to_all(ended, fingerprint=key)
        if is_part_key(key):
            await curio.spawn(self._repeat_ended, ended, daemon=True)

    async def _repeat_ended(self, ended: QuarantineEnded) -> None:
        for delay_s in REPEAT_AFTER_S:
            await curio.sleep(delay_s)
            if self._quarantine.is_quarantined(ended.fingerprint):
                return
            await self._messenger.send_to_all(ended, fingerprint=ended.fingerprint)

    async def _on_server_crashed(self, message: ServerCrashed, sender: str) -> None:
        tags_by_key: defaultdict[str, set[str]] = defaultdict(set)
        tags = itertools.chain(message.requests, itertools.repeat(""))
        for key, tag in zip(message.fingerprints, tags, strict=False):
            tags_by_key[key] |= {tag} if tag else set()
        for key, requests in tags_by_key.items():
            await self._count_crash(key, message.server, requests, sender)

    async def _on_quarantine_update(self, message: QuarantineUpdateMessage, sender: str) -> None:
        update = QuarantineUpdate(
            message.fingerprint, message.servers, message.left_s, message.ages_s, message.trials
        )
        now = await curio.clock()
        served_at = self._served_at(update.key)
        if served_at is not None and is_served_since(update.crashes(now).values(), served_at):
            self._log.info("quarantine_refuted", fingerprint=update.key, told_by=sender)
            await self._messenger.send(sender, PartServed(update.key, now - served_at))
            return
        if self._quarantine.apply_update(update, now):
            self._log_begun(update, sender)

    async def _on_part_served(self, message: PartServed, sender: str) -> None:
        now = await curio.clock()
        served_at = now - message.ago_s
        self.part_evidence.record_served([message.key], served_at)
        if is_served_since(self._quarantine.crashed_at(message.key), served_at):
            await self._clear(message.key, now, told_by=sender)

    async def _on_quarantine_ended(self, message: QuarantineEnded, sender: str) -> None:
        key = message.fingerprint
        was_quarantined = self._quarantine.is_quarantined(key)
        crashes = self._quarantine.record_completed(key, await curio.clock())
        if not crashes:
            return
        self._log.info("request_cleared", fingerprint=key, crashes=crashes, told_by=sender)
        counts = self._name in self._membership.first_instances(key, COUNTING_INSTANCES)
        if was_quarantined and counts and not message.to_all:
            # This instance notified others of the quarantine while the message was on its way.
            await self._announce_ended(key)


def _requests_by_key(requests: Collection[WorkKeys]) -> dict[str, set[str]]:
    """Return the tags of the requests with each part; none for the key of a whole request."""
    tags_by_key: defaultdict[str, set[str]] = defaultdict(set)
    for request_key, *part_keys in requests:
        tags_by_key[request_key] = set()
        for key in part_keys:
            tags_by_key[key].add(request_key[-REQUEST_TAG_CHARS:])
    return dict(tags_by_key)


def _to_message(update: QuarantineUpdate) -> QuarantineUpdateMessage:
    return QuarantineUpdateMessage(
        update.key, update.servers, update.left_s, update.ages_s, update.trials
    )
