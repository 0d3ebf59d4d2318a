"""Tests of the fence record that lets a non-repeatable request run at most once."""

import random
import uuid
from collections import defaultdict, deque
from dataclasses import dataclass, field
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from crankhinge.decisions import FencePair, FenceRecord, FenceRole
from crankhinge.decisions._fence_actions import ReadRecord, Reply, Send, SwapRecord
from crankhinge.decisions._fence_keys import BAD_KEY, TOO_OLD, to_recorded_response
from crankhinge.decisions._fence_messages import (
    FenceAlreadyTaken,
    FenceClaim,
    FenceClaimReply,
    FenceJoined,
    FencePermitRequest,
    FencePermitted,
    FenceRelease,
    FenceSettle,
    FenceState,
    FenceSync,
)

START_MS = 1_000_000_000_000
REPLICA_NAMES = ("a", "b")
MAX_DELIVERIES = 60


def make_key(created_ms: int, salt: int = 0) -> str:
    """Return a key with a UUIDv7 that was created at *created_ms*."""
    value = (created_ms << 80) | (7 << 76) | (2 << 62) | salt
    return f"member/{uuid.UUID(int=value)}"


@dataclass
class FenceSimulation:
    """Two replicas, the link between them, the key-value service and a clock, all in memory.

    The simulation records which requests were permitted for each key; the random tests check
    nothing else.
    """

    now: float = 0.0
    replicas: dict[str, FencePair] = field(default_factory=dict)
    in_flight: dict[str, deque[Any]] = field(default_factory=lambda: defaultdict(deque))
    linked: bool = False
    stored_record: tuple[FenceRecord | None, int] = (None, 0)
    kv_available: bool = True
    lose_kv_responses: bool = False
    start_count: int = 0
    permitted: dict[str, list[int]] = field(default_factory=lambda: defaultdict(list))
    replies: dict[int, Any] = field(default_factory=dict)
    delayed_writes: list[SwapRecord] = field(default_factory=list)
    pending_calls: list[tuple[str, FencePair, Any]] = field(default_factory=list)
    key_of_request: dict[int, str] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for name in REPLICA_NAMES:
            self.start(name)

    @property
    def wall_ms(self) -> int:
        """The simulated time in milliseconds since the epoch."""
        return START_MS + int(self.now * 1000)

    def start(self, name: str) -> None:
        """Start or restart a replica, with an empty record and without its link."""
        self.cut_link()
        self.start_count += 1
        other = "b" if name == "a" else "a"
        self.replicas[name] = FencePair(range_id="r", me=name, other=other, writer=self.start_count)

    def cut_link(self) -> None:
        """Break the link between the replicas and drop the messages in flight."""
        if self.linked:
            self.linked = False
            self.in_flight.clear()
            for name, replica in self.replicas.items():
                self.perform(name, replica.on_unlinked(self.now))

    def restore_link(self) -> None:
        """Restore the link between the replicas."""
        if not self.linked:
            self.linked = True
            for name, replica in self.replicas.items():
                self.perform(name, replica.on_linked())

    def perform(self, name: str, actions: list[Any]) -> None:
        """Perform the actions that a replica decided on: messages, replies, key-value calls."""
        for action in actions:
            if isinstance(action, Send):
                if self.linked:
                    self.in_flight[name].append(action.msg)
            elif isinstance(action, Reply):
                self.replies[action.req] = action.msg
                if isinstance(action.msg, FencePermitted):
                    self.permitted[self.key_of_request[action.req]].append(action.req)
            else:
                self.send_kv_call(name, action)

    def send_kv_call(self, name: str, action: ReadRecord | SwapRecord) -> None:
        """Send a call to the key-value service, which completes calls later and in any order."""
        self.pending_calls.append((name, self.replicas[name], action))

    def complete_kv_call(self, position: int) -> None:
        """Complete one of the pending calls, or let it fail if the service is unavailable."""
        name, replica, action = self.pending_calls.pop(position)
        is_current = self.replicas[name] is replica
        if isinstance(action, ReadRecord):
            record, index = self.stored_record
            actions = (
                replica.on_record(record, index, self.now, self.wall_ms)
                if self.kv_available
                else replica.on_read_failed()
            )
        else:
            swapped = self.compare_and_swap(action) if self.kv_available else None
            if not self.kv_available:
                self.delayed_writes.append(action)
            actions = replica.on_swapped(
                None if self.lose_kv_responses else swapped, self.now, self.wall_ms
            )
        if is_current:
            self.perform(name, actions)

    def compare_and_swap(self, swap: SwapRecord) -> bool:
        """Replace the stored record if its index is unchanged, and return whether it was."""
        if self.stored_record[1] != swap.index:
            return False
        self.stored_record = (swap.new, swap.index + 1)
        return True

    def deliver(self, name: str) -> None:
        """Deliver the oldest message in flight that *name* sent."""
        if not self.in_flight[name]:
            return
        msg = self.in_flight[name].popleft()
        other = "b" if name == "a" else "a"
        replica = self.replicas[other]
        handlers: dict[type, Any] = {
            FenceClaim: lambda m: replica.on_claim(m, self.now),
            FenceClaimReply: replica.on_claim_reply,
            FenceState: lambda m: replica.on_state(m, self.now),
            FenceSync: replica.on_sync,
            FenceJoined: lambda m: replica.on_joined(m, self.now),
            FenceRelease: replica.on_release,
            FenceSettle: replica.on_settle,
        }
        self.perform(other, handlers[type(msg)](msg))

    def run_for(self, seconds: float = 30.0) -> None:
        """Advance the clock in steps of half a second, delivering all messages."""
        until = self.now + seconds
        while self.now < until:
            self.advance(0.5)

    def advance(self, seconds: float) -> None:
        """Advance the clock once, call each replica's timer and deliver all messages."""
        self.now += seconds
        for name, replica in self.replicas.items():
            self.perform(name, replica.on_tick(self.now))
        for _ in range(MAX_DELIVERIES):
            if not (self.in_flight["a"] or self.in_flight["b"] or self.pending_calls):
                return
            self.deliver("a")
            self.deliver("b")
            if self.pending_calls:
                self.complete_kv_call(0)

    def request_permit(self, name: str, key: str, request_id: int) -> None:
        """Request a permit to run a request with a key from one replica."""
        self.key_of_request[request_id] = key
        replica = self.replicas[name]
        self.perform(
            name,
            replica.on_permit(
                FencePermitRequest(request_id, "r", key, b"d"), self.now, self.wall_ms
            ),
        )


@dataclass
class KvResponse:
    """The response of a call to the key-value service that was executed but not yet answered."""

    action: ReadRecord | SwapRecord
    result: Any


@dataclass
class SlowSimulation(FenceSimulation):
    """A simulation in which responses and notices come late.

    The key-value service executes a call at one time and answers it at a later time, each replica
    has a path of its own to the service, and a replica may learn of a broken link only when the
    other replica connects again. The simulation also records the requests that a replica permitted
    alone while the stored record did not name it.
    """

    unreachable_from: set[str] = field(default_factory=set)
    unaware: str = ""
    permitted_unnamed: list[int] = field(default_factory=list)

    def perform(self, name: str, actions: list[Any]) -> None:
        """Perform the actions, and compare permits with the stored record."""
        replica, head = self.replicas[name], self.stored_record[0]
        is_named = head is not None and (head.epoch, head.holder) == (replica.epoch, name)
        if replica.role is FenceRole.SOLO and not is_named:
            self.permitted_unnamed += [
                action.req
                for action in actions
                if isinstance(action, Reply) and isinstance(action.msg, FencePermitted)
            ]
        super().perform(name, actions)

    def cut_link(self) -> None:
        """Break the link, unnoticed by the unaware replica, and drop the messages in flight."""
        if self.linked:
            self.linked = False
            self.in_flight.clear()
            for name, replica in self.replicas.items():
                if name != self.unaware:
                    self.perform(name, replica.on_unlinked(self.now))

    def complete_kv_call(self, position: int) -> None:
        """Execute one of the pending calls, or answer a call that was executed before."""
        name, replica, action = self.pending_calls.pop(position)
        if not isinstance(action, KvResponse):
            response = KvResponse(action, self.execute(name, action))
            self.pending_calls.append((name, replica, response))
            return
        if isinstance(action.action, SwapRecord):
            won = None if self.lose_kv_responses else action.result
            actions = replica.on_swapped(won, self.now, self.wall_ms)
        elif action.result is None:
            actions = replica.on_read_failed()
        else:
            actions = replica.on_record(*action.result, self.now, self.wall_ms)
        if self.replicas[name] is replica:
            self.perform(name, actions)

    def execute(self, name: str, action: ReadRecord | SwapRecord) -> Any:
        """Return the result of a call; None if the service is unavailable to the replica."""
        available = self.kv_available and name not in self.unreachable_from
        if isinstance(action, ReadRecord):
            return self.stored_record if available else None
        if available:
            return self.compare_and_swap(action)
        self.delayed_writes.append(action)
        return None


def paired_simulation(simulation: FenceSimulation | None = None) -> FenceSimulation:
    """Return the simulation, a new one by default, after both replicas have paired."""
    simulation = simulation or FenceSimulation()
    simulation.restore_link()
    simulation.run_for()
    assert {replica.role for replica in simulation.replicas.values()} == {FenceRole.PAIRED}
    return simulation


class TestPaired:
    """Both replicas are alive and linked, so each permit needs the other replica."""

    def test_permit_needs_both_replicas(self) -> None:
        """A permit is granted only after the other replica has recorded the key."""
        simulation = paired_simulation()
        key = make_key(simulation.wall_ms)
        simulation.request_permit("a", key, 1)
        assert 1 not in simulation.replies
        simulation.advance(0.1)
        assert isinstance(simulation.replies[1], FencePermitted)
        assert len(simulation.replicas["b"]) == 1

    def test_other_replica_refuses_a_used_key(self) -> None:
        """The refusal contains the response that the first request got, for the caller."""
        simulation = paired_simulation()
        key = make_key(simulation.wall_ms)
        simulation.request_permit("a", key, 1)
        simulation.advance(0.1)
        message = FenceSettle(1, "r", key, to_recorded_response(200, {}, b"done"))
        simulation.perform("a", simulation.replicas["a"].on_settle(message))
        simulation.advance(0.1)
        simulation.request_permit("b", key, 2)
        reply = simulation.replies[2]
        assert isinstance(reply, FenceAlreadyTaken)
        assert reply.answer is not None and reply.answer.body == b"done"

    def test_concurrent_requests_get_one_permit(self) -> None:
        """Each replica gets a request for the same key before it hears of the other one."""
        simulation = paired_simulation()
        key = make_key(simulation.wall_ms)
        simulation.request_permit("a", key, 1)
        simulation.request_permit("b", key, 2)
        simulation.advance(0.1)
        assert simulation.permitted[key] == [1]
        assert isinstance(simulation.replies[2], FenceAlreadyTaken)

    def test_released_key_can_be_permitted_again(self) -> None:
        """An attempt that never ran releases its key on both replicas."""
        simulation = paired_simulation()
        key = make_key(simulation.wall_ms)
        simulation.request_permit("a", key, 1)
        simulation.advance(0.1)
        simulation.perform("a", simulation.replicas["a"].on_release(FenceRelease(1, "r", key)))
        simulation.advance(0.1)
        simulation.request_permit("b", key, 2)
        simulation.advance(0.1)
        assert isinstance(simulation.replies[2], FencePermitted)

    @pytest.mark.parametrize(
        ("created_s", "cause"), [(-3600.0, TOO_OLD), (60.0, BAD_KEY), (None, BAD_KEY)]
    )
    def test_key_without_valid_time_is_refused(self, created_s: float | None, cause: str) -> None:
        """A replica cannot know whether a key was used that is too old or from the future."""
        simulation = paired_simulation()
        key = "m/x" if created_s is None else make_key(simulation.wall_ms + int(created_s * 1000))
        simulation.request_permit("a", key, 1)
        assert simulation.replies[1] == FenceAlreadyTaken(1, cause=cause)


class TestFailures:
    """One replica, the link or the key-value service fails."""

    def test_surviving_replica_continues_alone_after_a_swap(self) -> None:
        """The surviving replica writes to the key-value service first and keeps the old keys."""
        simulation = paired_simulation()
        old = make_key(simulation.wall_ms)
        simulation.request_permit("a", old, 1)
        simulation.advance(0.1)
        simulation.start("a")
        simulation.run_for(5.0)
        assert simulation.replicas["b"].role is FenceRole.SOLO
        simulation.request_permit("b", old, 2)
        simulation.request_permit("b", make_key(simulation.wall_ms, salt=1), 3)
        assert isinstance(simulation.replies[2], FenceAlreadyTaken)
        assert isinstance(simulation.replies[3], FencePermitted)

    def test_no_replica_continues_alone_without_the_key_value_service(self) -> None:
        """Without link and service, a replica cannot know whether the other one continues."""
        simulation = paired_simulation()
        simulation.kv_available = False
        simulation.cut_link()
        simulation.run_for(10.0)
        simulation.request_permit("a", make_key(simulation.wall_ms), 1)
        simulation.request_permit("b", make_key(simulation.wall_ms, salt=1), 2)
        assert simulation.replies == {1: None, 2: None}

    def test_pair_works_during_key_value_service_outage(self) -> None:
        """Two linked replicas need the service only when they pair or continue alone."""
        simulation = paired_simulation()
        simulation.kv_available = False
        simulation.run_for(3600.0)
        simulation.request_permit("a", make_key(simulation.wall_ms), 1)
        simulation.advance(0.1)
        assert isinstance(simulation.replies[1], FencePermitted)

    def test_paused_replica_grants_no_permit_after_resuming(self) -> None:
        """The other replica continued alone during the pause, so the paused one may not decide."""
        simulation = paired_simulation()
        key = make_key(simulation.wall_ms)
        simulation.linked = False
        simulation.in_flight.clear()
        simulation.perform("b", simulation.replicas["b"].on_unlinked(simulation.now))
        for _ in range(10):
            simulation.now += 0.5
            simulation.perform("b", simulation.replicas["b"].on_tick(simulation.now))
            while simulation.pending_calls:
                simulation.complete_kv_call(0)
        assert simulation.replicas["b"].role is FenceRole.SOLO
        simulation.request_permit("b", key, 1)
        simulation.request_permit("a", key, 2)
        simulation.run_for(5.0)
        assert simulation.permitted[key] == [1]

    def test_keys_from_before_a_restart_of_both_replicas_are_refused(self) -> None:
        """Both records are lost, so only keys created after the restarts are surely unused."""
        simulation = paired_simulation()
        key = make_key(simulation.wall_ms)
        simulation.request_permit("a", key, 1)
        simulation.advance(0.1)
        simulation.start("a")
        simulation.start("b")
        simulation.restore_link()
        simulation.run_for(20.0)
        simulation.request_permit("b", key, 2)
        simulation.request_permit("b", make_key(simulation.wall_ms), 3)
        simulation.advance(0.1)
        assert simulation.replies[2] == FenceAlreadyTaken(2, cause=TOO_OLD)
        assert isinstance(simulation.replies[3], FencePermitted)

    def test_restarted_replica_is_paired_again(self) -> None:
        """The restarted replica receives a copy of the record and refuses the keys in it."""
        simulation = paired_simulation()
        simulation.start("a")
        simulation.run_for(5.0)
        key = make_key(simulation.wall_ms)
        simulation.request_permit("b", key, 1)
        simulation.restore_link()
        simulation.run_for(5.0)
        assert {replica.role for replica in simulation.replicas.values()} == {FenceRole.PAIRED}
        simulation.request_permit("a", key, 2)
        assert isinstance(simulation.replies[2], FenceAlreadyTaken)


def continue_alone_beside_joining(simulation: FenceSimulation) -> None:
    """Let "b" win the swap to continue alone after "a", which is empty, heard that b is empty."""
    simulation.start("b")
    simulation.start("a")
    simulation.advance(0.5)
    simulation.now += 20.0
    simulation.perform("b", simulation.replicas["b"].on_tick(simulation.now))
    simulation.complete_kv_call(0)
    simulation.restore_link()
    while simulation.in_flight["a"] or simulation.in_flight["b"]:
        simulation.deliver("a")
        simulation.deliver("b")


class TestChangeOfHead:
    """The record's head changes while a replica or its information is outdated."""

    def test_empty_replica_does_not_displace_one_that_continues_alone(self) -> None:
        """The other replica announced that it is empty and then won the swap to continue alone.

        It would go on permitting keys after the empty replica has begun a new record.
        """
        simulation = paired_simulation()
        continue_alone_beside_joining(simulation)
        simulation.complete_kv_call(0)
        assert simulation.replicas["b"].role is FenceRole.SOLO
        while simulation.pending_calls:
            simulation.complete_kv_call(0)
        assert simulation.stored_record[0] == FenceRecord(2, "b", 3)

    def test_empty_replicas_begin_a_record_after_one_continued_alone(self) -> None:
        """The replica that the stored record names begins, also if its name is the greater one."""
        simulation = paired_simulation()
        simulation.start("a")
        simulation.run_for(5.0)
        assert simulation.replicas["b"].role is FenceRole.SOLO
        simulation.start("b")
        simulation.restore_link()
        simulation.run_for(5.0)
        assert {replica.role for replica in simulation.replicas.values()} == {FenceRole.PAIRED}

    def test_late_response_to_an_earlier_swap_is_not_taken_for_the_present_one(self) -> None:
        """The response to the swap that paired both arrives during the swap to continue alone."""
        simulation = FenceSimulation()
        first = simulation.replicas["a"]
        simulation.restore_link()
        simulation.deliver("b")
        simulation.complete_kv_call(0)
        (_, _, swap) = simulation.pending_calls.pop()
        assert simulation.compare_and_swap(swap)
        simulation.run_for(5.0)
        assert first.role is FenceRole.PAIRED
        simulation.cut_link()
        simulation.now += 5.0
        simulation.perform("a", first.on_tick(simulation.now))
        simulation.complete_kv_call(0)
        assert simulation.pending_calls
        simulation.perform("a", first.on_swapped(True, simulation.now, simulation.wall_ms))
        assert first.role is FenceRole.PAIRED

    def test_replica_keeps_its_record_when_the_other_reports_its_own_swap(self) -> None:
        """The epoch of a replica's own swap reaches it through the other replica first."""
        simulation = paired_simulation()
        key = make_key(simulation.wall_ms)
        simulation.request_permit("b", key, 1)
        simulation.advance(0.1)
        simulation.cut_link()
        simulation.now += 5.0
        simulation.perform("b", simulation.replicas["b"].on_tick(simulation.now))
        simulation.complete_kv_call(0)
        (_, _, swap) = simulation.pending_calls.pop()
        assert simulation.compare_and_swap(swap)
        news = FenceState("r", FenceRole.JOINING.value, swap.new.epoch)
        simulation.perform("b", simulation.replicas["b"].on_state(news, simulation.now))
        simulation.run_for(1.0)
        simulation.request_permit("b", key, 2)
        assert simulation.replies[2] == FenceAlreadyTaken(2)

    def test_head_that_was_read_before_a_swap_is_ignored(self) -> None:
        """The response with the older head arrives after the swap; the record is kept."""
        simulation = paired_simulation()
        simulation.cut_link()
        simulation.now += 5.0
        replica = simulation.replicas["b"]
        simulation.perform("b", replica.on_tick(simulation.now))
        simulation.complete_kv_call(0)
        older = simulation.stored_record
        simulation.perform("b", replica.on_tick(simulation.now))
        simulation.complete_kv_call(0)
        assert replica.role is FenceRole.SOLO
        replica.on_record(*older, simulation.now, simulation.wall_ms)
        assert replica.role is FenceRole.SOLO

    def test_replica_learns_that_the_other_began_a_new_record(self) -> None:
        """A replica that is paired at an older epoch gives that record up and gets the new one."""
        simulation = paired_simulation()
        simulation.start("a")
        simulation.restore_link()
        simulation.deliver("b")
        joining = FenceState("r", FenceRole.JOINING.value, 0)
        simulation.perform("a", simulation.replicas["a"].on_state(joining, simulation.now))
        while simulation.pending_calls:
            simulation.complete_kv_call(0)
        assert simulation.replicas["a"].epoch == 2
        simulation.run_for(5.0)
        assert {replica.role for replica in simulation.replicas.values()} == {FenceRole.PAIRED}
        assert {replica.epoch for replica in simulation.replicas.values()} == {2}

    def test_claim_is_answered_when_its_connection_is_replaced(self) -> None:
        """The reply to the claim is lost with the old connection, so the request gets "not now"."""
        simulation = paired_simulation()
        simulation.request_permit("a", make_key(simulation.wall_ms), 1)
        simulation.linked = False
        simulation.in_flight.clear()
        simulation.restore_link()
        assert simulation.replies == {1: None}

    def test_copy_is_not_used_after_an_older_announcement(self) -> None:
        """The sender announced that it is paired before it was alone, not since."""
        replica = FencePair(range_id="r", me="b", other="a", writer=1)
        replica.on_linked()
        replica.on_sync(FenceSync("r", 2, 0, 1, (), final=True))
        replica.on_state(FenceState("r", FenceRole.PAIRED.value, 1), 0.0)
        replica.on_record(FenceRecord(3, "", 2), 3, 0.0, START_MS)
        assert replica.role is FenceRole.JOINING

    def test_copy_is_dropped_when_its_sender_begins_again(self) -> None:
        """A change of the configuration takes the record from its sender and gives it back empty.

        The connection stays, and the sender then begins a new record, which the copy is not of.
        """
        simulation = paired_simulation()
        simulation.start("b")
        simulation.run_for(5.0)
        key = make_key(simulation.wall_ms)
        simulation.restore_link()
        simulation.deliver("b")
        simulation.deliver("a")
        simulation.deliver("a")
        simulation.now += 6.0
        simulation.request_permit("a", key, 1)
        assert isinstance(simulation.replies[1], FencePermitted)
        empty = FencePair(range_id="r", me="a", other="b", writer=9)
        simulation.replicas["a"] = empty
        simulation.perform("a", empty.on_linked())
        # "b" had announced itself twice before it received the copy; it reads the head last.
        simulation.deliver("b")
        while empty.role is FenceRole.JOINING:
            simulation.complete_kv_call(1)
        simulation.deliver("a")
        simulation.deliver("a")
        simulation.complete_kv_call(0)
        simulation.advance(0.1)
        for request_id, name in ((2, "b"), (3, "a")):
            simulation.request_permit(name, key, request_id)
            simulation.advance(0.1)
        assert simulation.permitted[key] == [1]
        assert {replica.role for replica in simulation.replicas.values()} == {FenceRole.PAIRED}

    def test_copy_is_dropped_with_the_connection_over_which_it_came(self) -> None:
        """The other replica restarts and connects again before the old link is known to be broken.

        It then begins a new record, which the copy of its old one does not belong to.
        """
        simulation = paired_simulation()
        simulation.start("b")
        simulation.run_for(5.0)
        key = make_key(simulation.wall_ms)
        simulation.restore_link()
        simulation.deliver("b")
        simulation.deliver("a")
        simulation.deliver("a")
        simulation.now += 6.0
        simulation.request_permit("a", key, 1)
        assert isinstance(simulation.replies[1], FencePermitted)
        simulation.linked = False
        simulation.in_flight.clear()
        simulation.start("a")
        simulation.restore_link()
        simulation.run_for(10.0)
        for request_id, name in ((2, "b"), (3, "a")):
            simulation.request_permit(name, key, request_id)
            simulation.advance(0.1)
        assert simulation.permitted[key] == [1]
        assert {replica.role for replica in simulation.replicas.values()} == {FenceRole.PAIRED}

    def test_copy_without_the_latest_permits_is_not_used(self) -> None:
        """A replica that permitted a key after it sent a copy sends another one before it pairs."""
        simulation = paired_simulation()
        simulation.start("b")
        simulation.run_for(5.0)
        alone = simulation.replicas["a"]
        alone.on_linked()
        joining = FenceState("r", FenceRole.JOINING.value, 0)
        (sync,) = alone.on_state(joining, simulation.now)
        assert isinstance(sync, Send) and isinstance(sync.msg, FenceSync)
        received = FenceJoined("r", 2, sync.msg.sync)
        simulation.perform("a", alone.on_joined(received, simulation.now))
        simulation.now += 6.0
        simulation.request_permit("a", make_key(simulation.wall_ms), 1)
        assert isinstance(simulation.replies[1], FencePermitted)
        alone.on_state(joining, simulation.now)
        simulation.complete_kv_call(0)
        assert not simulation.pending_calls


def request_from_both(simulation: FenceSimulation, rng: random.Random, keys: list[str]) -> None:
    """Request a permit for the same recent key from each replica, in a random order."""
    if rng.random() < 0.5 or not keys:
        keys.append(make_key(simulation.wall_ms, salt=len(keys)))
    key = rng.choice(keys[-3:])
    for name in rng.sample(REPLICA_NAMES, 2):
        simulation.request_permit(name, key, len(simulation.key_of_request) + 1)


def cut_link_and_request_both(
    simulation: FenceSimulation, rng: random.Random, keys: list[str]
) -> None:
    """Cut the link until a replica may continue alone, and request permits from both meanwhile."""
    simulation.cut_link()
    simulation.now += rng.choice((3.5, 20.0))
    for name in rng.sample(REPLICA_NAMES, 2):
        simulation.perform(name, simulation.replicas[name].on_tick(simulation.now))
    deliver_some(simulation, rng, 8)
    request_from_both(simulation, rng, keys)
    if rng.random() < 0.5:
        simulation.restore_link()
        deliver_some(simulation, rng, 10)
        request_from_both(simulation, rng, keys)


def deliver_some(simulation: FenceSimulation, rng: random.Random, max_steps: int) -> None:
    """Deliver some messages and complete some calls."""
    for _ in range(rng.randrange(max_steps)):
        if simulation.pending_calls and rng.random() < 0.5:
            simulation.complete_kv_call(rng.randrange(len(simulation.pending_calls)))
        else:
            simulation.deliver(rng.choice(REPLICA_NAMES))


def random_step(simulation: FenceSimulation, rng: random.Random, keys: list[str]) -> None:
    """Apply one random event to the simulation."""
    draw = rng.random()
    if draw < 0.08:
        cut_link_and_request_both(simulation, rng, keys)
        return
    if draw < 0.14:
        request_from_both(simulation, rng, keys)
        return
    draw = rng.random()
    if draw < 0.30:
        if rng.random() < 0.5 or not keys:
            keys.append(make_key(simulation.wall_ms, salt=len(keys)))
        simulation.request_permit(
            rng.choice(REPLICA_NAMES), rng.choice(keys[-4:]), len(simulation.key_of_request) + 1
        )
    elif draw < 0.60:
        deliver_some(simulation, rng, 4)
    elif draw < 0.72:
        simulation.now += rng.choice((0.1, 1.0, 4.0))
        name = rng.choice(REPLICA_NAMES)
        simulation.perform(name, simulation.replicas[name].on_tick(simulation.now))
    elif draw < 0.78:
        simulation.cut_link()
    elif draw < 0.88:
        simulation.restore_link()
    elif draw < 0.92:
        simulation.start(rng.choice(REPLICA_NAMES))
    elif draw < 0.95:
        simulation.kv_available = not simulation.kv_available
    elif draw < 0.97:
        simulation.lose_kv_responses = not simulation.lose_kv_responses
    elif simulation.delayed_writes:
        simulation.compare_and_swap(
            simulation.delayed_writes.pop(rng.randrange(len(simulation.delayed_writes)))
        )
    else:
        simulation.run_for(rng.choice((1.0, 20.0)))


def restart_both(simulation: FenceSimulation, rng: random.Random) -> None:
    """Restart both replicas, which may try to continue alone before they are linked again."""
    for name in REPLICA_NAMES:
        simulation.start(name)
    for seconds in (0.0, rng.choice((0.0, 20.0))):
        simulation.now += seconds
        for name in rng.sample(REPLICA_NAMES, 2):
            simulation.perform(name, simulation.replicas[name].on_tick(simulation.now))
    deliver_some(simulation, rng, 6)
    simulation.restore_link()
    deliver_some(simulation, rng, 12)


def slow_random_step(simulation: SlowSimulation, rng: random.Random, keys: list[str]) -> None:
    """Apply one random event, which may change who learns of failures and reaches the service."""
    draw = rng.random()
    if draw < 0.04:
        # Only "b" may be unaware: "a" opens the links, and does so after it has noticed the break.
        simulation.unaware = rng.choice(("", "b"))
    elif draw < 0.06:
        simulation.unreachable_from ^= {rng.choice(REPLICA_NAMES)}
    elif draw < 0.10:
        simulation.cut_link()
        simulation.restore_link()
    elif draw < 0.12:
        restart_both(simulation, rng)
    elif draw < 0.40:
        deliver_some(simulation, rng, 12)
    else:
        random_step(simulation, rng, keys)


class TestRandom:
    """Random sequences of failures and requests."""

    @given(st.integers(0, 2**32))
    @settings(max_examples=300, deadline=None, derandomize=True, database=None)
    def test_each_key_is_permitted_at_most_once(self, seed: int) -> None:
        """No key is permitted twice, whatever fails in whatever order."""
        rng = random.Random(seed)
        simulation = paired_simulation()
        keys: list[str] = []
        for _ in range(150):
            random_step(simulation, rng, keys)
            assert all(len(set(requests)) <= 1 for requests in simulation.permitted.values())

    @given(st.integers(0, 2**32))
    @settings(max_examples=100, deadline=None, derandomize=True, database=None)
    def test_permits_keys_again_after_failures(self, seed: int) -> None:
        """Once the failures end, new keys are permitted again."""
        rng = random.Random(seed)
        simulation = paired_simulation()
        for _ in range(80):
            random_step(simulation, rng, [])
        simulation.kv_available = True
        simulation.lose_kv_responses = False
        simulation.restore_link()
        simulation.run_for(60.0)
        request_id = len(simulation.key_of_request) + 1
        simulation.request_permit("a", make_key(simulation.wall_ms, salt=999), request_id)
        simulation.advance(0.1)
        assert isinstance(simulation.replies[request_id], FencePermitted)

    def test_permits_keys_again_after_the_failures_of_seed_59055(self) -> None:
        """One replica must not stay alone at an epoch while the other is paired at the next."""
        self.test_permits_keys_again_after_failures.hypothesis.inner_test(self, 59055)

    def test_key_is_permitted_once_after_the_failures_of_seed_59055(self) -> None:
        """A replica that stayed alone must not permit a key that the other permits as well."""
        rng = random.Random(59055)
        simulation = paired_simulation()
        for _ in range(80):
            random_step(simulation, rng, [])
        simulation.kv_available = True
        simulation.lose_kv_responses = False
        simulation.restore_link()
        simulation.run_for(60.0)
        key = make_key(simulation.wall_ms, salt=999)
        first = len(simulation.key_of_request) + 1
        alone_first = sorted(
            REPLICA_NAMES, key=lambda name: simulation.replicas[name].role is not FenceRole.SOLO
        )
        for number, name in enumerate(alone_first):
            simulation.request_permit(name, key, first + number)
            simulation.advance(0.1)
            simulation.cut_link()
            simulation.run_for(10.0)
        assert len(simulation.permitted[key]) <= 1

    @given(st.integers(0, 2**32))
    @settings(max_examples=300, deadline=None, derandomize=True, database=None)
    def test_each_key_is_permitted_at_most_once_with_late_responses(self, seed: int) -> None:
        """A late response or a link that was replaced unnoticed does not permit a key twice."""
        rng = random.Random(seed)
        simulation = SlowSimulation()
        paired_simulation(simulation)
        keys: list[str] = []
        for _ in range(150):
            slow_random_step(simulation, rng, keys)
            assert all(len(set(requests)) <= 1 for requests in simulation.permitted.values())
            assert not simulation.permitted_unnamed

    @given(st.integers(0, 2**32))
    @settings(max_examples=100, deadline=None, derandomize=True, database=None)
    def test_permits_keys_again_after_late_responses(self, seed: int) -> None:
        """Once responses are in time, both replicas are paired and permit new keys again."""
        rng = random.Random(seed)
        simulation = SlowSimulation()
        paired_simulation(simulation)
        for _ in range(80):
            slow_random_step(simulation, rng, [])
        simulation.kv_available = True
        simulation.lose_kv_responses = False
        simulation.unreachable_from.clear()
        simulation.restore_link()
        simulation.run_for(60.0)
        assert {replica.role for replica in simulation.replicas.values()} == {FenceRole.PAIRED}
        request_id = len(simulation.key_of_request) + 1
        simulation.request_permit("a", make_key(simulation.wall_ms, salt=999), request_id)
        simulation.advance(0.1)
        assert isinstance(simulation.replies[request_id], FencePermitted)
