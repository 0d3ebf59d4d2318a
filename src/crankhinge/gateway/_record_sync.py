"""Keeps this instance's note in the store, and reads those of all.

What all instances measured is put together, so that no single one's luck decides. The notes also
tell which instances there are and where they can be reached.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from typing import Any

import curio

from crankhinge.adapters import InstanceRecord, InstanceRegistry, RecordLease
from crankhinge.decisions import (
    LEASE_RENEWAL_INTERVAL_S,
    Membership,
    PoolLoads,
    WorkloadMeter,
    WorkloadStats,
    combined_loads,
)
from crankhinge.errors import KeyValueUnavailable
from crankhinge.gateway._limit_updates import LimitUpdates
from crankhinge.gateway._quarantine import QuarantineService

# Seconds between looks whether the own note is still true.
RECORD_CHECK_INTERVAL_S = 1.0
# A note is written anew when its samples have doubled or its loads have moved by this part, but
# not sooner than this after the last one, in seconds.
REWRITE_CHANGE_SHARE = 0.15
MIN_REWRITE_INTERVAL_S = 2.5
# It is written anew at the latest after this time, in seconds, since the store drops it later.
MAX_REWRITE_INTERVAL_S = 30.0
# Seconds until the store is tried again that did not answer: within the time that a note lasts.
STORE_RETRY_S = 1.0
# Readings of notes are spread by these factors, so that instances do not read in step.
READ_JITTER = (0.8, 1.2)


class InstanceRecordSync:
    """This instance's measurements and, when they are asked for, those of all instances.

    Args:
        name: of this instance.
        address: ``host:port`` where this instance takes notices; empty for nowhere.
        membership: the instances, whose notes tell where they are reached.
        registry: where instances put their notes.
        meters: measure this instance's requests, by service.
        quarantine, limits: what instances tell each other in their notes besides.
        log: for events.
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
    ) -> None:
        self._name = name
        self._peer = address
        self._rng = rng
        self._members = membership
        self._joined = False
        self._held_at = float("-inf")
        self._board = registry
        self._meters = meters
        self._quarantine = quarantine
        self._limits = limit_updates
        self._told_quarantined: Mapping[str, tuple[str, ...]] = {}
        self._told_limited: Mapping[str, float] = {}
        self._log = log
        self._told: dict[str, WorkloadStats] = {}
        self._told_at = float("-inf")
        self._told_settled = False

    async def run(self) -> None:
        """Keep this instance's note true until cancelled."""
        await self._resume()
        # A fleet that starts together does not write in the same moment.
        await curio.sleep(self._rng.uniform(0.0, RECORD_CHECK_INTERVAL_S))
        while True:
            try:
                await self._look()
            except KeyValueUnavailable as exc:
                self._log.info("note_unknown", why=exc.detail)
                await curio.sleep(STORE_RETRY_S)
            else:
                await curio.sleep(RECORD_CHECK_INTERVAL_S)

    async def _resume(self) -> None:
        """Take over the note of a life before, if there is one."""
        while True:
            try:
                found = await self._board.take_over(self._name)
                if found is not None:
                    note, lease = found
                    await self._quarantine.apply_instance_records({self._name: note})
                    await self._limits.apply_instance_records({self._name: note})
                    await self._join(lease, resumed=note.settled)
            except KeyValueUnavailable as exc:
                self._log.info("note_unknown", why=exc.detail)
                await curio.sleep(STORE_RETRY_S)
                continue
            self._log.info("life_before", found=found is not None, joined=self._joined)
            return

    async def _look(self) -> None:
        """Write, renew and follow up the note, whichever is due."""
        sheets = self._sheets()
        now = await curio.clock()
        settled, quarantined = (
            self._members.may_coordinate(now),
            self._quarantine.to_instance_record(),
        )
        limited = self._limits.to_instance_record(now)
        news = (
            settled is not self._told_settled
            or quarantined != self._told_quarantined
            or limited != self._told_limited
        )
        if news or self._due(sheets, now):
            note = InstanceRecord(self._peer, sheets, settled, quarantined, limited)
            lease = await self._board.publish(self._name, note)
            self._told, self._told_at = sheets, now
            self._told_settled, self._told_quarantined = settled, quarantined
            self._told_limited = limited
            await self._hold(lease)
        elif now - self._held_at >= LEASE_RENEWAL_INTERVAL_S:
            await self._hold(await self._board.renew())
        if not self._joined:
            await self._join(None, resumed=False)

    async def _hold(self, lease: RecordLease | None) -> None:
        """Note how long the note lasts; one that had gone makes this instance a new one."""
        if lease is None:
            self._joined, self._told_at = False, float("-inf")
            self._log.info("note_gone")
            return
        self._held_at = await curio.clock()
        self._members.set_lease_end(lease.expires_at)
        if lease.may_have_lapsed:
            self._joined = False

    async def _join(self, lease: RecordLease | None, *, resumed: bool) -> None:
        """Read who else is there, once the note is written."""
        if lease is not None:
            await self._hold(lease)
        elif self._told_at == float("-inf"):
            return
        asked = await curio.clock()
        notes = await self._board.read_all(allow_stale=False)
        await self._recall(notes)
        if self._name in notes:
            self._members.join(_peers(notes), asked, resumed=resumed)
            self._joined = True

    async def refresh_membership(self) -> None:
        """Look who else is there, now and then, until cancelled."""
        while True:
            await curio.sleep(self._members.read_interval_s * self._rng.uniform(*READ_JITTER))
            try:
                await self._read()
            except KeyValueUnavailable as exc:
                self._log.info("notes_unknown", why=exc.detail)

    async def _read(self) -> dict[str, InstanceRecord]:
        asked = await curio.clock()
        notes = await self._board.read_all()
        if self._joined:
            # What a call brings is at least as old as the call.
            self._members.apply_records(_peers(notes), asked)
        await self._recall(notes)
        return notes

    async def _recall(self, notes: Mapping[str, InstanceRecord]) -> None:
        """Take what the others tell besides; what this instance told itself it need not read."""
        others = {name: note for name, note in notes.items() if name != self._name}
        await self._quarantine.apply_instance_records(others)
        await self._limits.apply_instance_records(others)

    def _sheets(self) -> dict[str, WorkloadStats]:
        sheets = {service: meter.stats() for service, meter in self._meters.items()}
        return {service: sheet for service, sheet in sheets.items() if sheet is not None}

    def _due(self, sheets: dict[str, WorkloadStats], now: float) -> bool:
        since = now - self._told_at
        if since < MIN_REWRITE_INTERVAL_S:
            return False
        return since > MAX_REWRITE_INTERVAL_S or any(
            self._moved(sheet, self._told.get(service)) for service, sheet in sheets.items()
        )

    def _moved(self, sheet: WorkloadStats, told: WorkloadStats | None) -> bool:
        if told is None or sheet.admitted >= 2 * told.admitted:
            return True
        now, then = sheet.loads(), told.loads()
        return (
            abs(now.prompt_s - then.prompt_s) > REWRITE_CHANGE_SHARE * then.prompt_s
            or abs(now.answer_s - then.answer_s) > REWRITE_CHANGE_SHARE * then.answer_s
        )

    def local_loads(self, service: str) -> PoolLoads | None:
        """Return the loads as this instance sees them, from however few requests."""
        sheet = self._meters[service].stats()
        return None if sheet is None else sheet.loads()

    async def fleet_loads(self, service: str) -> tuple[PoolLoads | None, int]:
        """Return the loads as all instances see them, and how many answers shaped them.

        Raises:
            KeyValueUnavailable: the others' notes can't be read.
        """
        notes = await self._read()
        notes[self._name] = InstanceRecord(self._peer, self._sheets())
        sheets = [note.sheets[service] for note in notes.values() if service in note.sheets]
        loads = combined_loads(sheets)
        answers = sum(sheet.answers for sheet in sheets)
        self._log.info(
            "work_together",
            service=service,
            instances=len(sheets),
            admitted=sum(sheet.admitted for sheet in sheets),
            answers=answers,
            read_s=None if loads is None else round(loads.prompt_s, 4),
            write_s=None if loads is None else round(loads.answer_s, 4),
        )
        return loads, answers


def _peers(notes: Mapping[str, InstanceRecord]) -> dict[str, str]:
    """Return where instances take datagrams."""
    return {name: note.peer for name, note in notes.items()}
