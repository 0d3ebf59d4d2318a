"""Tests of when a request is kept from servers: the decision and what it costs a fleet."""

from __future__ import annotations

from typing import Any

import pytest

from crankhinge.decisions import EngineRole, Membership, Quarantine, QuarantineUpdate, Server
from crankhinge.decisions._quarantine import (
    COMPLETED_RETENTION_S,
    CRASH_RETENTION_S,
    FIRST_QUARANTINE_S,
    MAX_CRASHED_SERVERS,
    MAX_CRASHES,
    MAX_PUBLISHED,
    MAX_QUARANTINE_S,
    MAX_QUARANTINED,
    MAX_SUSPECTS,
    QUARANTINE_GROWTH,
    TRIAL_S,
)
from crankhinge.gateway._peer_messenger import PeerMessenger
from crankhinge.gateway._quarantine import COUNTING_INSTANCES, QuarantineService
from crankhinge.runtime import Metrics, get_log
from platform_fakes import Lines
from virtual_time import run_virtual

REQUEST = "f00d"


def isolated(now: float = 0.0) -> Quarantine:
    """Return what one instance believes after three crashes."""
    quarantine = Quarantine()
    for number in range(MAX_CRASHES):
        quarantine.record_crash(REQUEST, f"i-{number}", now)
    return quarantine


class TestCrashes:
    """Crashes of servers under one request."""

    def test_three_servers_begin_a_quarantine(self) -> None:
        """Two do not."""
        quarantine = Quarantine()
        assert quarantine.record_crash(REQUEST, "i-0", 0.0) is None
        assert quarantine.record_crash(REQUEST, "i-1", 0.0) is None
        assert quarantine.refusal_left_s(REQUEST, 0.0) == 0.0
        begun = quarantine.record_crash(REQUEST, "i-2", 0.0)
        assert begun == QuarantineUpdate(REQUEST, ("i-0", "i-1", "i-2"), FIRST_QUARANTINE_S)
        assert quarantine.refusal_left_s(REQUEST, 1.0) == FIRST_QUARANTINE_S - 1.0

    def test_one_crash_that_is_told_twice_counts_once(self) -> None:
        """Two instances saw it, or a message came late."""
        quarantine = Quarantine()
        for _ in range(5):
            assert quarantine.record_crash(REQUEST, "i-0", 0.0) is None
        assert quarantine.crash_count(REQUEST) == 1

    def test_another_life_under_the_same_name_is_another_server(self) -> None:
        """Its identity tells the lives apart."""
        quarantine = Quarantine()
        for born in range(MAX_CRASHES):
            quarantine.record_crash(REQUEST, f"i-0@{born}", 0.0)
        assert quarantine.is_quarantined(REQUEST)

    def test_crashes_long_ago_do_not_count(self) -> None:
        """Three in a day are chance."""
        quarantine = Quarantine()
        for number in range(5):
            assert (
                quarantine.record_crash(REQUEST, f"i-{number}", number * (CRASH_RETENTION_S + 1))
                is None
            )

    def test_each_further_crash_makes_it_longer(self) -> None:
        """So few servers are lost to trials."""
        quarantine = isolated()
        for number in range(MAX_CRASHES, 6):
            longer = quarantine.record_crash(REQUEST, f"i-{number}", 0.0)
            assert longer is not None
            assert longer.left_s == FIRST_QUARANTINE_S * QUARANTINE_GROWTH ** (
                number + 1 - MAX_CRASHES
            )

    def test_one_beyond_those_that_are_remembered_begins_a_quarantine_too(self) -> None:
        """Else a trial would follow every few seconds."""
        quarantine = isolated()
        for number in range(MAX_CRASHES, 3 * MAX_CRASHED_SERVERS):
            quarantine.begin_trial(REQUEST, 0.0)
            assert quarantine.record_crash(REQUEST, f"i-{number}", 0.0) is not None
        assert quarantine.refusal_left_s(REQUEST, 0.0) == MAX_QUARANTINE_S


class TestTrial:
    """One attempt is let through to see."""

    def test_is_due_when_the_quarantine_is_over(self) -> None:
        """The others are refused while it runs."""
        quarantine = isolated()
        assert quarantine.refusal_left_s(REQUEST, FIRST_QUARANTINE_S) == 0.0
        quarantine.begin_trial(REQUEST, FIRST_QUARANTINE_S)
        assert quarantine.refusal_left_s(REQUEST, FIRST_QUARANTINE_S) == TRIAL_S

    def test_another_is_due_when_nothing_came_of_it(self) -> None:
        """Its caller left, or there was no room."""
        quarantine = isolated()
        quarantine.begin_trial(REQUEST, FIRST_QUARANTINE_S)
        assert quarantine.refusal_left_s(REQUEST, FIRST_QUARANTINE_S + TRIAL_S) == 0.0

    def test_an_answer_ends_the_quarantine(self) -> None:
        """The crashes are forgotten; the count begins anew."""
        quarantine = isolated()
        assert quarantine.record_completed(REQUEST, FIRST_QUARANTINE_S) == MAX_CRASHES
        assert not quarantine.is_quarantined(REQUEST)
        assert quarantine.record_crash(REQUEST, "i-9", FIRST_QUARANTINE_S) is None


class TestTold:
    """What other instances tell, by datagrams and in notes."""

    def test_is_taken(self) -> None:
        """Twice is no news."""
        quarantine = Quarantine()
        told = QuarantineUpdate(REQUEST, ("i-0", "i-1", "i-2"), 7.0)
        assert quarantine.apply_update(told, 0.0)
        assert not quarantine.apply_update(told, 0.0)
        assert quarantine.refusal_left_s(REQUEST, 0.0) == 7.0

    def test_can_not_shut_a_request_out_for_longer_than_its_crashes_do(self) -> None:
        """A false message does little harm."""
        quarantine = Quarantine()
        quarantine.apply_update(QuarantineUpdate(REQUEST, ("i-0", "i-1", "i-2"), 1e9), 0.0)
        assert quarantine.refusal_left_s(REQUEST, 0.0) == FIRST_QUARANTINE_S

    def test_a_note_that_is_read_again_and_again_prolongs_nothing(self) -> None:
        """Notes are read every few seconds and say what they said."""
        quarantine = Quarantine()
        noted = isolated().to_instance_record()
        assert list(quarantine.apply_instance_record(noted, 0.0, own=False))
        for now in range(1, 30):
            assert not list(quarantine.apply_instance_record(noted, float(now), own=False))
        assert quarantine.refusal_left_s(REQUEST, 30.0) == 0.0

    def test_a_note_from_before_an_answer_is_not_believed(self) -> None:
        """Until it has surely been written anew."""
        quarantine = isolated()
        noted = quarantine.to_instance_record()
        quarantine.record_completed(REQUEST, 20.0)
        assert not list(
            quarantine.apply_instance_record(noted, 20.0 + COMPLETED_RETENTION_S - 1.0, own=False)
        )

    def test_only_who_counted_tells_it_in_a_note(self) -> None:
        """Else no note would ever lose it, each instance taking it from another's."""
        quarantine = Quarantine()
        list(quarantine.apply_instance_record(isolated().to_instance_record(), 0.0, own=False))
        assert quarantine.to_instance_record() == {}
        later_life = Quarantine()
        list(later_life.apply_instance_record(isolated().to_instance_record(), 0.0, own=True))
        assert later_life.to_instance_record() == isolated().to_instance_record()


class TestBounds:
    """Memory is bounded whatever crashes."""

    def test_of_suspects_and_quarantines(self) -> None:
        """The oldest are forgotten first."""
        quarantine = Quarantine()
        for request in range(2 * MAX_SUSPECTS):
            quarantine.record_crash(f"s{request}", "i-0", 0.0)
        for request in range(2 * MAX_QUARANTINED):
            for number in range(2 * MAX_CRASHED_SERVERS):
                quarantine.record_crash(f"q{request}", f"i-{number}", 0.0)
        assert len(quarantine) == MAX_QUARANTINED
        assert quarantine.crash_count(f"q{2 * MAX_QUARANTINED - 1}") == MAX_CRASHED_SERVERS
        assert quarantine.crash_count("s0") == 0
        assert len(quarantine.to_instance_record()) == MAX_PUBLISHED

    def test_flood_of_suspects_frees_no_request_from_quarantine(self) -> None:
        """They are kept apart."""
        quarantine = isolated()
        for request in range(2 * MAX_SUSPECTS):
            quarantine.record_crash(f"s{request}", "i-0", 0.0)
        assert quarantine.is_quarantined(REQUEST)


class CountingNotices(PeerMessenger):
    """Counts datagrams; nobody gets them."""

    def __init__(self, peer_addresses: list[str], log: Any) -> None:
        super().__init__(address="", peer_addresses=lambda: peer_addresses, log=log)
        self.sent = 0

    async def send(self, address: str, message: Any) -> None:
        """Count one."""
        self.sent += 1


class TestFleet:
    """What a crash costs a fleet of 300 instances.

    A server runs 64 requests at once; told to every instance, a crash would take 19,136 datagrams.
    """

    @pytest.mark.parametrize("instances", [30, 300])
    def test_datagrams_of_a_crash_do_not_grow_with_instances(self, instances: int) -> None:
        """Two a request at most, with all requests for one instance in one."""
        sent = self._sent(instances, requests=64, crashes=1)
        assert sent <= 64 * COUNTING_INSTANCES

    def test_a_quarantine_is_told_to_each_instance_once(self) -> None:
        """By this instance, which saw all three crashes."""
        sent = self._sent(300, requests=1, crashes=MAX_CRASHES)
        assert sent <= MAX_CRASHES * COUNTING_INSTANCES + 299

    def _sent(self, instances: int, *, requests: int, crashes: int) -> int:
        names = [f"g{number}" for number in range(instances)]
        peers = {name: f"10.0.0.1:{number + 1}" for number, name in enumerate(names)}
        members = Membership("g0", 0.0)
        members.join(peers, 0.0, resumed=True)
        log = get_log(program="t", stream=Lines())
        notices = CountingNotices(list(members.peer_addresses), log)
        desk = QuarantineService(
            name="g0", membership=members, messenger=notices, log=log, metrics=Metrics(prefix="t")
        )

        async def story() -> None:
            for number in range(crashes):
                server = Server(f"i-{number}", "s", "h", 1, "z", EngineRole.PLAIN, 64, False, 1)
                await desk.record_crash(server, [f"{request:016x}" for request in range(requests)])

        run_virtual(story)
        return notices.sent
