"""Tests of when an instance tells the others what its requests take."""

from __future__ import annotations

import random
from collections.abc import Mapping

import curio

from crankhinge.adapters import InstanceRecord, InstanceRegistry, RecordLease
from crankhinge.decisions import RECORD_LEASE_S, Membership, WorkloadMeter, WorkloadStats
from crankhinge.errors import KeyValueUnavailable
from crankhinge.gateway._record_sync import (
    MAX_REWRITE_INTERVAL_S,
    STORE_RETRY_S,
    InstanceRecordSync,
)
from crankhinge.runtime import get_log, run_until_first_ends
from platform_fakes import (
    LogCapture,
    make_standalone_backends,
    make_standalone_limits,
    make_standalone_quarantine,
)
from virtual_time import run_virtual


class Board(InstanceRegistry):
    """Remembers what was published; away when told so."""

    def __init__(self) -> None:
        self.notes: list[InstanceRecord] = []
        self.renewals = 0
        self.away = False

    @property
    def published(self) -> list[Mapping[str, WorkloadStats]]:
        """What notes that told of any work said."""
        return [note.sheets for note in self.notes if note.sheets]

    async def take_over(self, name: str) -> tuple[InstanceRecord, RecordLease] | None:
        """Return the note of a life before."""
        if not self.notes:
            return None
        return self.notes[-1], RecordLease(
            await curio.clock() + RECORD_LEASE_S, may_have_lapsed=False
        )

    async def publish(self, name: str, record: InstanceRecord) -> RecordLease:
        """Take a note."""
        if self.away:
            raise KeyValueUnavailable("away")
        self.notes.append(record)
        return RecordLease(
            await curio.clock() + RECORD_LEASE_S, may_have_lapsed=len(self.notes) == 1
        )

    async def renew(self) -> RecordLease | None:
        """Have the note last longer."""
        self.renewals += 1
        return RecordLease(await curio.clock() + RECORD_LEASE_S, may_have_lapsed=False)

    async def read_all(self, *, allow_stale: bool = True) -> dict[str, InstanceRecord]:
        """Return the last note, also under another instance's name, and one of a third one."""
        if not self.notes:
            return {}
        return {
            "here": self.notes[-1],
            "other": self.notes[-1],
            "third": InstanceRecord("127.0.0.1:9", {}),
        }


class Instance:
    """A meter and the task that tells of it.

    Args:
        resumed: whether the note of a life before lies on the board.
    """

    def __init__(self, *, resumed: bool = False) -> None:
        self.board = Board()
        if resumed:
            self.board.notes.append(InstanceRecord("127.0.0.1:7", {}, settled=True))
        self.meter = WorkloadMeter()
        self.lines = LogCapture()
        log = get_log(program="t", stream=self.lines)
        self.members = Membership("here", 0.0)
        self.limits = make_standalone_limits("here", make_standalone_backends(log), log)
        self.work = InstanceRecordSync(
            name="here",
            address="127.0.0.1:7",
            membership=self.members,
            registry=self.board,
            meters={"llm": self.meter},
            quarantine=make_standalone_quarantine("here", log),
            limit_updates=self.limits.news,
            log=log,
            rng=random.Random(3),
        )

    def serve(self, count: int, *, pace_s: float = 0.004) -> None:
        """Note *count* requests."""
        for _ in range(count):
            self.meter.record_prompt(3000, 0.1)
            self.meter.record_admission(0.1, 800)
            self.meter.record_answer(800, 800 * pace_s)

    def play(self, story: object) -> None:
        """Run the task under *story*."""
        run_virtual(run_until_first_ends, self.work.run, self.work.refresh_membership, story)


class TestNote:
    """When the note is written."""

    def test_where_an_instance_is_reached_is_told_at_once(self) -> None:
        """Then rarely, as long as nothing was measured."""
        here = Instance()

        async def story() -> None:
            await curio.sleep(1.5)
            assert [note.peer for note in here.board.notes] == ["127.0.0.1:7"]
            await curio.sleep(60.0)
            assert len(here.board.notes) <= 3
            assert here.board.published == []

        here.play(story)

    def test_others_are_seen_after_a_while(self) -> None:
        """Each look is a tenth of a call."""
        here = Instance()

        async def story() -> None:
            await curio.sleep(13.0)
            assert set(here.members.peer_addresses) == {"127.0.0.1:7", "127.0.0.1:9"}

        here.play(story)

    def test_what_stays_true_is_told_rarely(self) -> None:
        """At once, then only before the store would drop it."""
        here = Instance(resumed=True)

        async def story() -> None:
            here.serve(10)
            await curio.sleep(2.0)
            assert len(here.board.published) == 1
            await curio.sleep(MAX_REWRITE_INTERVAL_S - 5.0)
            assert len(here.board.published) == 1
            await curio.sleep(10.0)
            assert len(here.board.published) == 2

        here.play(story)

    def test_twice_the_samples_are_told(self) -> None:
        """They weigh more where they are put together."""
        here = Instance()

        async def story() -> None:
            here.serve(5)
            await curio.sleep(4.0)
            here.serve(5)
            await curio.sleep(4.0)
            assert [note["llm"].admitted for note in here.board.published] == [5, 10]

        here.play(story)

    def test_loads_that_moved_are_told(self) -> None:
        """Answers take three times as long."""
        here = Instance()

        async def story() -> None:
            here.serve(100)
            await curio.sleep(4.0)
            here.serve(60, pace_s=0.012)
            await curio.sleep(4.0)
            first, second = here.board.published
            assert second["llm"].pace_s > 1.5 * first["llm"].pace_s

        here.play(story)

    def test_a_note_that_was_not_taken_is_tried_again(self) -> None:
        """After a while, with a line that says why."""
        here = Instance()

        async def story() -> None:
            here.board.away = True
            here.serve(10)
            await curio.sleep(2.0)
            assert here.lines.matching("event=note_unknown", "why=away")
            here.board.away = False
            await curio.sleep(STORE_RETRY_S + 2.0)
            assert len(here.board.published) == 1

        here.play(story)


class TestTogether:
    """What all instances measured."""

    def test_the_own_note_is_the_newest(self) -> None:
        """Not what the store holds of it, but what was measured until now."""
        here = Instance()

        async def story() -> None:
            here.serve(10)
            await curio.sleep(2.0)
            here.serve(5)
            loads, answers = await here.work.fleet_loads("llm")
            assert loads is not None
            assert answers == 10 + 15

        here.play(story)
