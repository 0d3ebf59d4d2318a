"""Keeps this instance's record in the store, and reads the records of all instances.

The measurements of all instances are combined, so that no decision depends on the random load of
one instance. The records also show which instances exist and where they can be reached.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from typing import Any

import curio

from crankhinge.adapters import FleetEntry, InstanceRecord, InstanceRegistry, RecordLease
from crankhinge.decisions import (
    DEFAULT_WINDOW_S,
    FLEET_ENTRY_LEASE_S,
    FLEET_ENTRY_RENEWAL_INTERVAL_S,
    LEASE_RENEWAL_INTERVAL_S,
    START_ALLOWANCE_S,
    Membership,
    PoolLoads,
    WorkloadMeter,
    WorkloadStats,
    combined_loads,
)
from crankhinge.errors import KeyValueUnavailable
from crankhinge.gateway._limit_updates import LimitUpdates
from crankhinge.gateway._quarantine import QuarantineService

# Seconds between checks of whether this instance's record is up to date.
RECORD_CHECK_INTERVAL_S = 1.0
# A record is written again when its number of samples has doubled or its loads have changed by this
# share, but at the earliest MIN_REWRITE_INTERVAL_S seconds after the last write. Changes of its
# quarantines, its limits or its readiness to coordinate are written at the next check.
REWRITE_CHANGE_SHARE = 0.15
MIN_REWRITE_INTERVAL_S = 2.5
# Seconds after which a record is written again at the latest, so that small changes are published,
# too.
MAX_REWRITE_INTERVAL_S = 30.0
# Seconds until the store is tried again after it did not respond, well before a record's lease
# ends.
STORE_RETRY_S = 1.0
# Jitter factors of the read interval, so that instances do not read in step.
READ_JITTER = (0.8, 1.2)


class InstanceRecordSync:
    """Publishes this instance's measurements and reads those of all instances when needed.

    Args:
        name: name of this instance.
        address: ``host:port`` where this instance receives peer messages; empty for none.
        membership: the instances of the fleet, as their records show them.
        registry: store of the instance records.
        meters: measured cost of this instance's requests, by service name.
        quarantine: publishes and applies quarantines in instance records.
        limit_updates: publishes and applies advertised limits in instance records.
        log: log for events.
        rng: source of the jitter of intervals.
    """

    def __init__(
        self,
        *,
        name: str,
        address: str,
        membership: Membership,
        registry: InstanceRegistry,
        meters: Mapping[str, WorkloadMeter],
        quarantine: QuarantineService,
        limit_updates: LimitUpdates,
        log: Any,
        rng: random.Random,
        quota_window_s: float = DEFAULT_WINDOW_S,
    ) -> None:
        self._name = name
        self._address = address
        self._rng = rng
        self._membership = membership
        self._joined = False
        self._lease_renewed_at = float("-inf")
        self._lease_expires_at = float("-inf")
        self._entered = False
        self._is_leaving = False
        # When the present run of this instance's fleet entry began, and whether the entry permits
        # the next incarnation start allowances.
        self._entered_at = float("-inf")
        self._permits_allowance = False
        self._allowance_rest_s = quota_window_s + START_ALLOWANCE_S
        self._entry_renewed_at = float("-inf")
        self._registry = registry
        self._meters = meters
        self._quarantine = quarantine
        self._limit_updates = limit_updates
        self._published_quarantined: Mapping[str, tuple[str, ...]] = {}
        self._published_rates: Mapping[str, float] = {}
        self._log = log
        self._published_stats: dict[str, WorkloadStats] = {}
        self._published_at = float("-inf")
        self._published_may_coordinate = False

    async def run(self) -> None:
        """Keep this instance's record up to date, until cancelled."""
        await self._take_over()
        # Instances that start together do not write at the same moment.
        await curio.sleep(self._rng.uniform(0.0, RECORD_CHECK_INTERVAL_S))
        while True:
            try:
                await self._update_record()
            except KeyValueUnavailable as exc:
                self._log.info("note_unknown", why=exc.detail)
                await curio.sleep(STORE_RETRY_S)
            else:
                await curio.sleep(RECORD_CHECK_INTERVAL_S)

    async def _take_over(self) -> None:
        """Take over the record of this instance's earlier incarnation, if there is one."""
        while True:
            try:
                found = await self._registry.take_over(self._name)
                if found is not None:
                    record, lease = found
                    await self._quarantine.apply_instance_records({self._name: record})
                    await self._limit_updates.apply_instance_records({self._name: record})
                    await self._join(lease, resumed=record.settled)
            except KeyValueUnavailable as exc:
                self._log.info("note_unknown", why=exc.detail)
                await curio.sleep(STORE_RETRY_S)
                continue
            self._log.info("life_before", found=found is not None, joined=self._joined)
            return

    async def _update_record(self) -> None:
        """Write the record or renew its lease, whichever is due; join the fleet if necessary."""
        all_stats = self._local_stats()
        now = await curio.clock()
        may_coordinate, quarantined = (
            self._membership.may_coordinate(now),
            self._quarantine.to_instance_record(),
        )
        rates = self._limit_updates.to_instance_record(now)
        changed = (
            may_coordinate is not self._published_may_coordinate
            or quarantined != self._published_quarantined
            or rates != self._published_rates
        )
        if changed or self._is_rewrite_due(all_stats, now):
            record = InstanceRecord(self._address, all_stats, may_coordinate, quarantined, rates)
            lease = await self._registry.publish(self._name, record)
            self._published_stats, self._published_at = all_stats, now
            self._published_may_coordinate, self._published_quarantined = (
                may_coordinate,
                quarantined,
            )
            self._published_rates = rates
            await self._record_lease(lease)
        elif now - self._lease_renewed_at >= LEASE_RENEWAL_INTERVAL_S:
            await self._record_lease(await self._registry.renew())
        if not self._joined:
            await self._join(None, resumed=False)
        elif self._is_leaving:
            return
        elif not self._entered:
            await self._enter_fleet()
        elif self._may_permit_allowance(await curio.clock()):
            until = await self._registry.write_fleet_entry(
                self._name, FleetEntry(self._address, start_allowance=True)
            )
            self._permits_allowance = True
            self._membership.set_entry_end(until)
        elif await curio.clock() - self._entry_renewed_at >= FLEET_ENTRY_RENEWAL_INTERVAL_S:
            await self._renew_fleet_entry()

    async def _record_lease(self, lease: RecordLease | None) -> None:
        """Record how long the lease holds.

        After its record has lapsed, this instance joins the fleet as a new one.
        """
        if lease is None:
            self._joined, self._published_at = False, float("-inf")
            self._log.info("note_gone")
            return
        self._lease_renewed_at = await curio.clock()
        self._lease_expires_at = lease.expires_at
        self._membership.set_lease_end(lease.expires_at)
        if lease.may_have_lapsed:
            self._joined = False

    async def _join(self, lease: RecordLease | None, *, resumed: bool) -> None:
        """Join the fleet of instances that the records show, once this instance's record is stored.

        Args:
            lease: lease of the record that this instance took over; None if it wrote its own.
            resumed: whether this instance's earlier incarnation was ready to coordinate.
        """
        if lease is not None:
            await self._record_lease(lease)
        elif self._published_at == float("-inf"):
            return
        sent_at = await curio.clock()
        records = await self._registry.read_all(allow_stale=False)
        await self._apply_records(records)
        if self._name in records:
            self._membership.join(_addresses(records), sent_at, resumed=resumed)
            self._joined, self._entered = True, False
            await self._enter_fleet()

    async def _enter_fleet(self) -> None:
        """Count the instances that have a fleet entry, and write the entry of this one.

        An instance that joins reads the records first and then the entries. So the entry has to be
        written while the record of this instance exists.
        """
        if self._is_leaving:
            return
        is_restart = self._entered_at == float("-inf")
        sent_at = await curio.clock()
        entries = await self._registry.read_fleet_entries()
        own_entry = entries.pop(self._name, None)
        until = await self._registry.write_fleet_entry(self._name, FleetEntry(self._address))
        if await curio.clock() >= self._lease_expires_at:
            self._joined = False
            return
        self._entry_renewed_at = sent_at
        self._permits_allowance, self._entered_at = False, await curio.clock()
        self._membership.enter_fleet(
            {name: entry.peer for name, entry in entries.items()},
            sent_at,
            until=until,
            returned=own_entry is not None,
            start_allowance=is_restart and own_entry is not None and own_entry.start_allowance,
            leaving={
                name: entry.unused_after_s
                for name, entry in entries.items()
                if entry.unused_after_s is not None
            },
        )
        self._entered = True

    async def leave_fleet(self, unused_after_s: float) -> None:
        """Stop using this instance's share, so that its successors need not wait for its end.

        Args:
            unused_after_s: seconds after which no other instance uses the share either.
        """
        self._is_leaving = True
        self._membership.leave_fleet()
        try:
            await self._registry.write_fleet_entry(
                self._name,
                FleetEntry(self._address, unused_after_s, start_allowance=self._permits_allowance),
            )
        except KeyValueUnavailable as exc:
            self._log.info("note_unknown", why=exc.detail)

    def _may_permit_allowance(self, now: float) -> bool:
        """Whether the fleet entry should permit the next incarnation start allowances now.

        Two start allowances for one account must be further apart than the window over which use
        is summed. Entries have to exist all that time.
        """
        return (
            not self._permits_allowance
            and now - self._entry_renewed_at <= FLEET_ENTRY_LEASE_S / 2
            and now - self._entered_at >= self._allowance_rest_s
            and self._allowance_rest_s <= FLEET_ENTRY_LEASE_S / 2
        )

    async def _renew_fleet_entry(self) -> None:
        sent_at = await curio.clock()
        until = await self._registry.renew_fleet_entry()
        if until is None:
            self._entered = False
            return
        self._entry_renewed_at = sent_at
        self._membership.set_entry_end(until)

    async def refresh_membership(self) -> None:
        """Read the records at intervals to learn which instances exist, until cancelled."""
        while True:
            await curio.sleep(self._membership.read_interval_s * self._rng.uniform(*READ_JITTER))
            try:
                await self._read_records()
            except KeyValueUnavailable as exc:
                self._log.info("notes_unknown", why=exc.detail)

    async def _read_records(self) -> dict[str, InstanceRecord]:
        sent_at = await curio.clock()
        records = await self._registry.read_all()
        if self._joined:
            # The age of the records counts from when the call was sent, since it is unknown when
            # the store made its response. Membership allows for the further seconds by which the
            # records of a stale read may be older.
            self._membership.apply_records(_addresses(records), sent_at)
        await self._apply_records(records)
        return records

    async def _apply_records(self, records: Mapping[str, InstanceRecord]) -> None:
        """Apply the quarantines and limits of the other instances' records.

        This instance's own record has nothing that it does not know.
        """
        others = {name: record for name, record in records.items() if name != self._name}
        await self._quarantine.apply_instance_records(others)
        await self._limit_updates.apply_instance_records(others)

    def _local_stats(self) -> dict[str, WorkloadStats]:
        all_stats = {service: meter.stats() for service, meter in self._meters.items()}
        return {service: stats for service, stats in all_stats.items() if stats is not None}

    def _is_rewrite_due(self, all_stats: dict[str, WorkloadStats], now: float) -> bool:
        since = now - self._published_at
        if since < MIN_REWRITE_INTERVAL_S:
            return False
        return since > MAX_REWRITE_INTERVAL_S or any(
            self._has_changed(stats, self._published_stats.get(service))
            for service, stats in all_stats.items()
        )

    def _has_changed(self, stats: WorkloadStats, published: WorkloadStats | None) -> bool:
        if published is None or stats.admitted >= 2 * published.admitted:
            return True
        now, before = stats.loads(), published.loads()
        return (
            abs(now.prompt_s - before.prompt_s) > REWRITE_CHANGE_SHARE * before.prompt_s
            or abs(now.answer_s - before.answer_s) > REWRITE_CHANGE_SHARE * before.answer_s
        )

    def local_loads(self, service: str) -> PoolLoads | None:
        """Return the load of an average request on the engines, as this instance measured it.

        Return None if it measured no request. Its number of requests may be small.
        """
        stats = self._meters[service].stats()
        return None if stats is None else stats.loads()

    async def fleet_loads(self, service: str) -> tuple[PoolLoads | None, int]:
        """Return the load of an average request on the engines, as all instances measured it.

        The second value is the number of answers that the instances measured.

        Raises:
            KeyValueUnavailable: the records of the other instances cannot be read.
        """
        records = await self._read_records()
        records[self._name] = InstanceRecord(self._address, self._local_stats())
        all_stats = [
            record.sheets[service] for record in records.values() if service in record.sheets
        ]
        loads = combined_loads(all_stats)
        answers = sum(stats.answers for stats in all_stats)
        self._log.info(
            "work_together",
            service=service,
            instances=len(all_stats),
            admitted=sum(stats.admitted for stats in all_stats),
            answers=answers,
            read_s=None if loads is None else round(loads.prompt_s, 4),
            write_s=None if loads is None else round(loads.answer_s, 4),
        )
        return loads, answers


def _addresses(records: Mapping[str, InstanceRecord]) -> dict[str, str]:
    """Return the addresses where instances receive peer messages, by name."""
    return {name: record.peer for name, record in records.items()}
