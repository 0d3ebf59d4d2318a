"""Tests of the quarantine of requests that crash servers, and of the messages it costs a fleet."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from crankhinge.decisions import EngineRole, Membership, Quarantine, QuarantineUpdate, Server
from crankhinge.decisions._quarantine import (
    COMPLETED_RETENTION_S,
    CRASH_RETENTION_S,
    FIRST_PART_QUARANTINE_S,
    FIRST_QUARANTINE_S,
    MAX_CRASHED_SERVERS,
    MAX_CRASHES,
    MAX_PART_QUARANTINE_S,
    MAX_PART_TRIALS,
    MAX_PUBLISHED,
    MAX_QUARANTINE_S,
    MAX_QUARANTINED,
    MAX_SUSPECTS,
    QUARANTINE_GROWTH,
    TRIAL_S,
)
from crankhinge.gateway._peer_messenger import MAX_DATAGRAM_BYTES, PeerMessenger
from crankhinge.gateway._quarantine import (
    COUNTING_INSTANCES,
    MAX_KEYS_PER_MESSAGE,
    QuarantineService,
)
from crankhinge.runtime import Metrics, get_log
from platform_fakes import LogCapture
from virtual_time import run_virtual

REQUEST = "f00d"
PART = "p:5c1e07a2"
# Size of the longest key of a part with the tag of its request, as encoded.
MAX_KEY_BYTES = len(msgspec.msgpack.encode(["r:p:" + 16 * "f", "beef"]))


def quarantine_after_three_crashes(now: float = 0.0) -> Quarantine:
    """Return the quarantine of an instance that counted three crashes under one request."""
    quarantine = Quarantine()
    for number in range(MAX_CRASHES):
        quarantine.record_crash(REQUEST, f"i-{number}", now)
    return quarantine


class TestCrashes:
    """When crashes of servers that ran a request begin or lengthen its quarantine."""

    def test_crashes_of_three_servers_begin_a_quarantine(self) -> None:
        """Two crashes may be a coincidence, so after two the request is still sent to servers."""
        quarantine = Quarantine()
        assert quarantine.record_crash(REQUEST, "i-0", 0.0) is None
        assert quarantine.record_crash(REQUEST, "i-1", 0.0) is None
        assert quarantine.refusal_left_s(REQUEST, 0.0) == 0.0
        update = quarantine.record_crash(REQUEST, "i-2", 0.0)
        assert update == QuarantineUpdate(
            REQUEST, ("i-0", "i-1", "i-2"), FIRST_QUARANTINE_S, ages_s=(0.0, 0.0, 0.0)
        )
        assert quarantine.refusal_left_s(REQUEST, 1.0) == FIRST_QUARANTINE_S - 1.0

    def test_repeated_report_of_a_crash_counts_once(self) -> None:
        """Two instances may report the same crash, and a message about it may arrive late."""
        quarantine = Quarantine()
        for _ in range(5):
            assert quarantine.record_crash(REQUEST, "i-0", 0.0) is None
        assert quarantine.crash_count(REQUEST) == 1

    def test_each_incarnation_of_a_server_counts(self) -> None:
        """A request that crashes the same restarted server three times is quarantined as well."""
        quarantine = Quarantine()
        for started_ms in range(MAX_CRASHES):
            quarantine.record_crash(REQUEST, f"i-0@{started_ms}", 0.0)
        assert quarantine.is_quarantined(REQUEST)

    def test_old_crashes_do_not_count(self) -> None:
        """Single crashes far apart are more likely to have other causes than the request."""
        quarantine = Quarantine()
        for number in range(5):
            assert (
                quarantine.record_crash(REQUEST, f"i-{number}", number * (CRASH_RETENTION_S + 1))
                is None
            )

    def test_each_further_crash_lengthens_the_quarantine(self) -> None:
        """Each trial may cost a server, so trials of a request become rarer with every crash."""
        quarantine = quarantine_after_three_crashes()
        for number in range(MAX_CRASHES, 6):
            update = quarantine.record_crash(REQUEST, f"i-{number}", 0.0)
            assert update is not None
            assert update.left_s == FIRST_QUARANTINE_S * QUARANTINE_GROWTH ** (
                number + 1 - MAX_CRASHES
            )

    def test_crash_beyond_the_tracked_ones_renews_the_quarantine(self) -> None:
        """Otherwise trials of a request with many crashes would follow every few seconds."""
        quarantine = quarantine_after_three_crashes()
        for number in range(MAX_CRASHES, 3 * MAX_CRASHED_SERVERS):
            quarantine.begin_trial(REQUEST, 0.0)
            assert quarantine.record_crash(REQUEST, f"i-{number}", 0.0) is not None
        assert quarantine.refusal_left_s(REQUEST, 0.0) == MAX_QUARANTINE_S


class TestTrial:
    """After a quarantine, one attempt is sent to see whether it crashes its server, too."""

    def test_trial_is_due_after_the_quarantine(self) -> None:
        """Once a trial has begun, other attempts are refused until its result must be known."""
        quarantine = quarantine_after_three_crashes()
        assert quarantine.refusal_left_s(REQUEST, FIRST_QUARANTINE_S) == 0.0
        quarantine.begin_trial(REQUEST, FIRST_QUARANTINE_S)
        assert quarantine.refusal_left_s(REQUEST, FIRST_QUARANTINE_S) == TRIAL_S

    def test_another_trial_is_due_without_a_result(self) -> None:
        """A trial has no result if its caller disconnects or no server has capacity for it."""
        quarantine = quarantine_after_three_crashes()
        quarantine.begin_trial(REQUEST, FIRST_QUARANTINE_S)
        assert quarantine.refusal_left_s(REQUEST, FIRST_QUARANTINE_S + TRIAL_S) == 0.0

    def test_completed_request_ends_the_quarantine(self) -> None:
        """The earlier crashes are forgotten, so a single new one begins no quarantine."""
        quarantine = quarantine_after_three_crashes()
        assert quarantine.record_completed(REQUEST, FIRST_QUARANTINE_S) == MAX_CRASHES
        assert not quarantine.is_quarantined(REQUEST)
        assert quarantine.record_crash(REQUEST, "i-9", FIRST_QUARANTINE_S) is None


class TestPart:
    """Quarantines of parts of prompts."""

    def test_trials_after_the_fifth_crash_are_bounded(self) -> None:
        """The operators allow three requests with a part after the fifth crash."""
        quarantine = Quarantine()
        for number in range(MAX_CRASHES):
            quarantine.record_crash(PART, f"i-{number}", 0.0, requests=[f"r{number}"])
        crashes, now, late_trials = MAX_CRASHES, 0.0, 0
        while now < MAX_PART_QUARANTINE_S:
            now += 1.0
            if quarantine.refusal_left_s(PART, now) > 0:
                continue
            late_trials += crashes >= 5
            quarantine.begin_trial(PART, now)
            quarantine.record_crash(PART, f"i-{crashes}", now)
            crashes += 1
        assert crashes == MAX_CRASHES + MAX_PART_TRIALS
        assert late_trials <= 3

    def test_many_crashes_at_once_bar_a_part_no_longer_than_three(self) -> None:
        """The failure of a rack may end six servers with a part that was never served."""
        quarantine = Quarantine()
        for number in range(2 * MAX_CRASHES):
            quarantine.record_crash(PART, f"i-{number}", 0.0, requests=[f"r{number}"])
        assert quarantine.refusal_left_s(PART, 0.0) == FIRST_PART_QUARANTINE_S

    def test_part_is_barred_for_requests_that_no_narrower_one_explains(self) -> None:
        """The wide part is in all requests with the narrow one, which crash servers."""
        wide, narrow, own = f"{PART}-wide", f"{PART}-narrow", "own"

        def make(*seen: tuple[str, ...], more_wide_crashes: int = 0) -> Quarantine:
            quarantine = Quarantine()
            for number in range(MAX_CRASHES + more_wide_crashes):
                for key in (wide, narrow)[: 2 if number < MAX_CRASHES else 1]:
                    quarantine.record_crash(
                        key, f"i-{number}", 9.0 * number, requests=[f"{number}"]
                    )
            for keys in seen:
                quarantine.record_request(keys)
            return quarantine

        bad, sound = (own, wide, narrow), ("own2", wide)
        assert make(bad).barring_keys(sound) == []
        assert make(bad, sound).barring_keys(sound) == []
        assert make(bad, sound).barring_keys(bad) == [wide, narrow]
        assert make().barring_keys(sound) == [wide]
        assert make(sound).barring_keys(sound) == [wide]
        assert make(bad, more_wide_crashes=1).barring_keys(sound) == [wide]
        # Also requests without the wide part have the narrow one, so neither explains the other.
        elsewhere = ("own3", narrow)
        assert make(bad, elsewhere).barring_keys(sound) == [wide]
        assert make(bad, sound).barring_keys(elsewhere) == [narrow]

    def test_trials_without_a_result_are_bounded(self) -> None:
        """A server may fall silent in a trial, so that no crash is noticed."""
        quarantine = Quarantine()
        for number in range(MAX_CRASHES):
            quarantine.record_crash(PART, f"i-{number}", 0.0, requests=[f"r{number}"])
        trials = 0
        for now in range(int(MAX_PART_QUARANTINE_S)):
            if quarantine.refusal_left_s(PART, float(now)) <= 0:
                quarantine.begin_trial(PART, float(now))
                trials += 1
        assert trials == MAX_PART_TRIALS

    def test_other_instances_count_the_trials(self) -> None:
        """An update that is applied later does not begin the schedule anew."""
        counting, other = Quarantine(), Quarantine()
        for number in range(MAX_CRASHES):
            counting.record_crash(PART, f"i-{number}", 0.0, requests=[f"r{number}"])
        for _ in range(MAX_PART_TRIALS):
            update = counting.begin_trial(PART, 0.0)
        other.apply_update(update, 0.0)
        assert other.refusal_left_s(PART, 0.0) == MAX_PART_QUARANTINE_S

    def test_part_that_is_served_between_crashes_is_not_suspected(self) -> None:
        """All requests of a route may share a part, so each crash cuts some with it."""
        quarantine = Quarantine()
        for number in range(50):
            now, requests = 2.0 * number, [f"r{number}"]
            update = quarantine.record_crash(
                PART, f"i-{number}", now, requests=requests, served_at=now - 3.0
            )
            assert update is None

    def test_crashes_of_one_request_do_not_bar_its_parts(self) -> None:
        """Other requests that run on one of the servers may have the part as well."""
        quarantine = Quarantine()
        for number in range(2 * MAX_CRASHES):
            requests = ["bad", f"sound-{number}"]
            assert quarantine.record_crash(PART, f"i-{number}", 0.0, requests=requests) is None


class TestUpdatesFromPeers:
    """Quarantines that other instances send in datagrams or publish in instance records."""

    def test_update_is_applied_once(self) -> None:
        """A repeated update must not start the time of the quarantine again."""
        quarantine = Quarantine()
        update = QuarantineUpdate(REQUEST, ("i-0", "i-1", "i-2"), 7.0)
        assert quarantine.apply_update(update, 0.0)
        assert not quarantine.apply_update(update, 0.0)
        assert quarantine.refusal_left_s(REQUEST, 0.0) == 7.0

    def test_update_cannot_prolong_beyond_the_time_for_its_crashes(self) -> None:
        """A wrong message could otherwise refuse a request for ever."""
        quarantine = Quarantine()
        quarantine.apply_update(QuarantineUpdate(REQUEST, ("i-0", "i-1", "i-2"), 1e9), 0.0)
        assert quarantine.refusal_left_s(REQUEST, 0.0) == FIRST_QUARANTINE_S

    def test_repeated_reads_of_a_record_prolong_nothing(self) -> None:
        """An instance reads the same unchanged record every few seconds."""
        quarantine = Quarantine()
        published = quarantine_after_three_crashes().to_instance_record()
        assert list(quarantine.apply_instance_record(published, 0.0, own=False))
        for now in range(1, 30):
            assert not list(quarantine.apply_instance_record(published, float(now), own=False))
        assert quarantine.refusal_left_s(REQUEST, 30.0) == 0.0

    def test_record_from_before_a_completed_request_is_ignored(self) -> None:
        """For some time after the completion, reads may return the record as it was before."""
        quarantine = quarantine_after_three_crashes()
        published = quarantine.to_instance_record()
        quarantine.record_completed(REQUEST, 20.0)
        assert not list(
            quarantine.apply_instance_record(
                published, 20.0 + COMPLETED_RETENTION_S - 1.0, own=False
            )
        )

    def test_only_the_counting_instance_publishes_a_quarantine(self) -> None:
        """Instances that copied each other's records would keep the quarantine for ever."""
        quarantine = Quarantine()
        list(
            quarantine.apply_instance_record(
                quarantine_after_three_crashes().to_instance_record(), 0.0, own=False
            )
        )
        assert quarantine.to_instance_record() == {}
        later_incarnation = Quarantine()
        list(
            later_incarnation.apply_instance_record(
                quarantine_after_three_crashes().to_instance_record(), 0.0, own=True
            )
        )
        assert (
            later_incarnation.to_instance_record()
            == quarantine_after_three_crashes().to_instance_record()
        )


class TestBounds:
    """Bounds on the memory that crashes can take, however many requests cause them."""

    def test_tracked_and_published_requests_are_bounded(self) -> None:
        """The requests whose crashes were counted first are forgotten first."""
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
        """Requests with a single crash must not take the memory of quarantined requests."""
        quarantine = quarantine_after_three_crashes()
        for request in range(2 * MAX_SUSPECTS):
            quarantine.record_crash(f"s{request}", "i-0", 0.0)
        assert quarantine.is_quarantined(REQUEST)


class CountingMessenger(PeerMessenger):
    """A messenger that counts datagrams instead of sending them."""

    def __init__(self, peer_addresses: list[str], log: Any) -> None:
        super().__init__(address="", peer_addresses=lambda: peer_addresses, log=log)
        self.sent = 0

    async def send(self, address: str, message: Any) -> None:
        """Count one datagram."""
        self.sent += 1


class TestFleet:
    """The number of messages that a crash costs a fleet of 300 instances.

    A server runs 64 requests at once; sent to every instance, a crash would take 19,136
    datagrams.
    """

    @pytest.mark.parametrize("instances", [30, 300])
    def test_datagrams_of_a_crash_do_not_grow_with_instances(self, instances: int) -> None:
        """At most two datagrams per request are sent; all requests for one instance share one."""
        sent = self._count_datagrams(instances, requests=64, crashes=1)
        assert sent <= 64 * COUNTING_INSTANCES

    def test_datagrams_of_parts_do_not_grow_with_instances(self) -> None:
        """The instance that the most requests were cut at sends the most: two datagrams a key."""
        parts = (PART, "p:a", "p:b")
        few, many = (
            self._count_datagrams(instances, requests=64, crashes=1, parts=parts)
            for instances in (30, 300)
        )
        keys = 64 + len(parts)
        assert few <= many <= COUNTING_INSTANCES * keys
        assert MAX_KEYS_PER_MESSAGE * MAX_KEY_BYTES < MAX_DATAGRAM_BYTES

    def test_quarantine_is_sent_to_each_instance_once(self) -> None:
        """Only the instance that counted all three crashes sends the quarantine to the others."""
        sent = self._count_datagrams(300, requests=1, crashes=MAX_CRASHES)
        assert sent <= MAX_CRASHES * COUNTING_INSTANCES + 299

    def _count_datagrams(
        self, instances: int, *, requests: int, crashes: int, parts: tuple[str, ...] = ()
    ) -> int:
        names = [f"g{number}" for number in range(instances)]
        peers = {name: f"10.0.0.1:{number + 1}" for number, name in enumerate(names)}
        membership = Membership("g0", 0.0)
        membership.join(peers, 0.0, resumed=True)
        log = get_log(program="t", stream=LogCapture())
        messenger = CountingMessenger(list(membership.peer_addresses), log)
        service = QuarantineService(
            name="g0",
            membership=membership,
            messenger=messenger,
            log=log,
            metrics=Metrics(prefix="t"),
        )

        async def run_crashes() -> None:
            for number in range(crashes):
                server = Server(f"i-{number}", "s", "h", 1, "z", EngineRole.PLAIN, 64, False, 1)
                await service.record_crash(
                    server, [(f"{request:016x}", *parts) for request in range(requests)]
                )

        run_virtual(run_crashes)
        return messenger.sent
