"""Tests of the record that lets a non-repeatable request run at most once."""

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
NAMES = ("a", "b")
MAX_DELIVERIES = 60


def key_born(ms: int, salt: int = 0) -> str:
    """Return a UUIDv7 born at *ms*."""
    value = (ms << 80) | (7 << 76) | (2 << 62) | salt
    return f"member/{uuid.UUID(int=value)}"


@dataclass
class World:
    """Two holders, a link between them, a key-value service and a clock, all in memory.

    It records to whom leave was given, which is all that the checker looks at.
    """

    now: float = 0.0
    nodes: dict[str, FencePair] = field(default_factory=dict)
    wires: dict[str, deque[Any]] = field(default_factory=lambda: defaultdict(deque))
    linked: bool = False
    head: tuple[FenceRecord | None, int] = (None, 0)
    kv_up: bool = True
    lose_answers: bool = False
    starts: int = 0
    given: dict[str, list[int]] = field(default_factory=lambda: defaultdict(list))
    replies: dict[int, Any] = field(default_factory=dict)
    late_writes: list[SwapRecord] = field(default_factory=list)
    calls: list[tuple[str, FencePair, Any]] = field(default_factory=list)
    nonces: dict[int, str] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for name in NAMES:
            self.start(name)

    @property
    def wall(self) -> int:
        """Milliseconds since the epoch."""
        return START_MS + int(self.now * 1000)

    def start(self, name: str) -> None:
        """Start a holder with an empty memory."""
        self.cut()
        self.starts += 1
        other = "b" if name == "a" else "a"
        self.nodes[name] = FencePair(range_id="r", me=name, other=other, writer=self.starts)

    def cut(self) -> None:
        """Break the link; what is on its way is lost."""
        if self.linked:
            self.linked = False
            self.wires.clear()
            for name, node in self.nodes.items():
                self.act(name, node.on_unlinked(self.now))

    def join(self) -> None:
        """Bring the link up."""
        if not self.linked:
            self.linked = True
            for name, node in self.nodes.items():
                self.act(name, node.on_linked())

    def act(self, name: str, actions: list[Any]) -> None:
        """Carry out what a holder decided."""
        for action in actions:
            if isinstance(action, Send):
                if self.linked:
                    self.wires[name].append(action.msg)
            elif isinstance(action, Reply):
                self.replies[action.req] = action.msg
                if isinstance(action.msg, FencePermitted):
                    self.given[self.nonces[action.req]].append(action.req)
            else:
                self.call_kv(name, action)

    def call_kv(self, name: str, action: ReadRecord | SwapRecord) -> None:
        """Send a call to the key-value service; it is served later, in any order."""
        self.calls.append((name, self.nodes[name], action))

    def serve_kv(self, place: int) -> None:
        """Serve one of the calls that wait."""
        name, node, action = self.calls.pop(place)
        known = self.nodes[name] is node
        if isinstance(action, ReadRecord):
            record, index = self.head
            out = (
                node.on_record(record, index, self.now, self.wall)
                if self.kv_up
                else node.on_read_failed()
            )
        else:
            answer = self.write(action) if self.kv_up else None
            if not self.kv_up:
                self.late_writes.append(action)
            out = node.on_swapped(None if self.lose_answers else answer, self.now, self.wall)
        if known:
            self.act(name, out)

    def write(self, swap: SwapRecord) -> bool:
        """Do a compare-and-swap."""
        if self.head[1] != swap.index:
            return False
        self.head = (swap.new, swap.index + 1)
        return True

    def deliver(self, name: str) -> None:
        """Deliver the oldest message that *name* sent."""
        if not self.wires[name]:
            return
        msg = self.wires[name].popleft()
        other = "b" if name == "a" else "a"
        node = self.nodes[other]
        handlers: dict[type, Any] = {
            FenceClaim: lambda m: node.on_claim(m, self.now),
            FenceClaimReply: node.on_claim_reply,
            FenceState: lambda m: node.on_state(m, self.now),
            FenceSync: node.on_sync,
            FenceJoined: lambda m: node.on_joined(m, self.now),
            FenceRelease: node.on_release,
            FenceSettle: node.on_settle,
        }
        self.act(other, handlers[type(msg)](msg))

    def settle(self, seconds: float = 30.0) -> None:
        """Let everything take its course."""
        until = self.now + seconds
        while self.now < until:
            self.pass_time(0.5)

    def pass_time(self, seconds: float) -> None:
        """Advance the clock, tick, and deliver all messages."""
        self.now += seconds
        for name, node in self.nodes.items():
            self.act(name, node.on_tick(self.now))
        for _ in range(MAX_DELIVERIES):
            if not (self.wires["a"] or self.wires["b"] or self.calls):
                return
            self.deliver("a")
            self.deliver("b")
            if self.calls:
                self.serve_kv(0)

    def ask(self, name: str, key: str, nonce: int) -> None:
        """Ask a holder for leave."""
        self.nonces[nonce] = key
        node = self.nodes[name]
        self.act(
            name, node.on_permit(FencePermitRequest(nonce, "r", key, b"d"), self.now, self.wall)
        )


def paired() -> World:
    """Return a world whose holders are paired, some time later."""
    world = World()
    world.join()
    world.settle()
    assert {node.role for node in world.nodes.values()} == {FenceRole.PAIRED}
    return world


class TestPaired:
    """Both holders are alive."""

    def test_leave_needs_both(self) -> None:
        """Leave is given only when the other has written the key down."""
        world = paired()
        key = key_born(world.wall)
        world.ask("a", key, 1)
        assert 1 not in world.replies
        world.pass_time(0.1)
        assert isinstance(world.replies[1], FencePermitted)
        assert len(world.nodes["b"]) == 1

    def test_a_repeat_is_refused_by_either(self) -> None:
        """A key that was given leave at one holder is refused by the other, with its answer."""
        world = paired()
        key = key_born(world.wall)
        world.ask("a", key, 1)
        world.pass_time(0.1)
        settle = FenceSettle(1, "r", key, to_recorded_response(200, {}, b"done"))
        world.act("a", world.nodes["a"].on_settle(settle))
        world.pass_time(0.1)
        world.ask("b", key, 2)
        reply = world.replies[2]
        assert isinstance(reply, FenceAlreadyTaken)
        assert reply.answer is not None and reply.answer.body == b"done"

    def test_asked_of_both_at_once(self) -> None:
        """Of two attempts for one key at the same moment, one has leave."""
        world = paired()
        key = key_born(world.wall)
        world.ask("a", key, 1)
        world.ask("b", key, 2)
        world.pass_time(0.1)
        assert world.given[key] == [1]
        assert isinstance(world.replies[2], FenceAlreadyTaken)

    def test_a_released_key_is_free(self) -> None:
        """An attempt that never ran gives its key back at both holders."""
        world = paired()
        key = key_born(world.wall)
        world.ask("a", key, 1)
        world.pass_time(0.1)
        world.act("a", world.nodes["a"].on_release(FenceRelease(1, "r", key)))
        world.pass_time(0.1)
        world.ask("b", key, 2)
        world.pass_time(0.1)
        assert isinstance(world.replies[2], FencePermitted)

    @pytest.mark.parametrize(
        ("born_s", "cause"), [(-3600.0, TOO_OLD), (60.0, BAD_KEY), (None, BAD_KEY)]
    )
    def test_a_key_of_unknown_age_is_not_run(self, born_s: float | None, cause: str) -> None:
        """A key too old to be remembered, from the future, or without a birth is refused."""
        world = paired()
        key = "m/x" if born_s is None else key_born(world.wall + int(born_s * 1000))
        world.ask("a", key, 1)
        assert world.replies[1] == FenceAlreadyTaken(1, cause=cause)


class TestFailures:
    """A holder, the link or the key-value service fails."""

    def test_a_lone_holder_goes_on_after_a_swap(self) -> None:
        """When one holder dies, the other gives leave alone, and still knows the old keys."""
        world = paired()
        old = key_born(world.wall)
        world.ask("a", old, 1)
        world.pass_time(0.1)
        world.start("a")
        world.settle(5.0)
        assert world.nodes["b"].role is FenceRole.SOLO
        world.ask("b", old, 2)
        world.ask("b", key_born(world.wall, salt=1), 3)
        assert isinstance(world.replies[2], FenceAlreadyTaken)
        assert isinstance(world.replies[3], FencePermitted)

    def test_nobody_goes_on_alone_without_the_service(self) -> None:
        """With the key-value service out as well, nothing is given leave."""
        world = paired()
        world.kv_up = False
        world.cut()
        world.settle(10.0)
        world.ask("a", key_born(world.wall), 1)
        world.ask("b", key_born(world.wall, salt=1), 2)
        assert world.replies == {1: None, 2: None}

    def test_pair_works_through_an_outage_of_the_service(self) -> None:
        """While both holders live, the key-value service isn't needed."""
        world = paired()
        world.kv_up = False
        world.settle(3600.0)
        world.ask("a", key_born(world.wall), 1)
        world.pass_time(0.1)
        assert isinstance(world.replies[1], FencePermitted)

    def test_a_paused_holder_wakes_up_powerless(self) -> None:
        """A holder that slept while the other went on alone gives no leave on its own."""
        world = paired()
        key = key_born(world.wall)
        world.linked = False
        world.wires.clear()
        world.act("b", world.nodes["b"].on_unlinked(world.now))
        for _ in range(10):
            world.now += 0.5
            world.act("b", world.nodes["b"].on_tick(world.now))
            while world.calls:
                world.serve_kv(0)
        assert world.nodes["b"].role is FenceRole.SOLO
        world.ask("b", key, 1)
        world.ask("a", key, 2)
        world.settle(5.0)
        assert world.given[key] == [1]

    def test_both_memories_lost(self) -> None:
        """After both restart, keys from before are unknown and new ones are served."""
        world = paired()
        key = key_born(world.wall)
        world.ask("a", key, 1)
        world.pass_time(0.1)
        world.start("a")
        world.start("b")
        world.join()
        world.settle(20.0)
        world.ask("b", key, 2)
        world.ask("b", key_born(world.wall), 3)
        world.pass_time(0.1)
        assert world.replies[2] == FenceAlreadyTaken(2, cause=TOO_OLD)
        assert isinstance(world.replies[3], FencePermitted)

    def test_a_returning_holder_is_paired_again(self) -> None:
        """A holder that comes back empty is given the record, and knows the keys."""
        world = paired()
        world.start("a")
        world.settle(5.0)
        key = key_born(world.wall)
        world.ask("b", key, 1)
        world.join()
        world.settle(5.0)
        assert {node.role for node in world.nodes.values()} == {FenceRole.PAIRED}
        world.ask("a", key, 2)
        assert isinstance(world.replies[2], FenceAlreadyTaken)


def ask_both(world: World, rng: random.Random, keys: list[str]) -> None:
    """Ask each holder for leave for one recent key, in a random order."""
    if rng.random() < 0.5 or not keys:
        keys.append(key_born(world.wall, salt=len(keys)))
    key = rng.choice(keys[-3:])
    for name in rng.sample(NAMES, 2):
        world.ask(name, key, len(world.nonces) + 1)


def part_company(world: World, rng: random.Random, keys: list[str]) -> None:
    """Cut the link for long enough that a holder may go on alone, and ask both meanwhile."""
    world.cut()
    world.now += rng.choice((3.5, 20.0))
    for name in rng.sample(NAMES, 2):
        world.act(name, world.nodes[name].on_tick(world.now))
    progress(world, rng, 8)
    ask_both(world, rng, keys)
    if rng.random() < 0.5:
        world.join()
        progress(world, rng, 10)
        ask_both(world, rng, keys)


def progress(world: World, rng: random.Random, most: int) -> None:
    """Deliver some messages and serve some calls."""
    for _ in range(rng.randrange(most)):
        if world.calls and rng.random() < 0.5:
            world.serve_kv(rng.randrange(len(world.calls)))
        else:
            world.deliver(rng.choice(NAMES))


def random_step(world: World, rng: random.Random, keys: list[str]) -> None:
    """Do one thing at random."""
    roll = rng.random()
    if roll < 0.08:
        part_company(world, rng, keys)
        return
    if roll < 0.14:
        ask_both(world, rng, keys)
        return
    roll = rng.random()
    if roll < 0.30:
        if rng.random() < 0.5 or not keys:
            keys.append(key_born(world.wall, salt=len(keys)))
        world.ask(rng.choice(NAMES), rng.choice(keys[-4:]), len(world.nonces) + 1)
    elif roll < 0.60:
        progress(world, rng, 4)
    elif roll < 0.72:
        world.now += rng.choice((0.1, 1.0, 4.0))
        name = rng.choice(NAMES)
        world.act(name, world.nodes[name].on_tick(world.now))
    elif roll < 0.78:
        world.cut()
    elif roll < 0.88:
        world.join()
    elif roll < 0.92:
        world.start(rng.choice(NAMES))
    elif roll < 0.95:
        world.kv_up = not world.kv_up
    elif roll < 0.97:
        world.lose_answers = not world.lose_answers
    elif world.late_writes:
        world.write(world.late_writes.pop(rng.randrange(len(world.late_writes))))
    else:
        world.settle(rng.choice((1.0, 20.0)))


class TestRandom:
    """Any order of failures."""

    @given(st.integers(0, 2**32))
    @settings(max_examples=300, deadline=None, derandomize=True, database=None)
    def test_leave_is_given_once(self, seed: int) -> None:
        """Whatever fails in whatever order, no key is given leave twice."""
        rng = random.Random(seed)
        world = paired()
        keys: list[str] = []
        for _ in range(150):
            random_step(world, rng, keys)
            assert all(len(set(nonces)) <= 1 for nonces in world.given.values())

    @given(st.integers(0, 2**32))
    @settings(max_examples=100, deadline=None, derandomize=True, database=None)
    def test_it_recovers(self, seed: int) -> None:
        """Once the failures end, new requests are given leave again."""
        rng = random.Random(seed)
        world = paired()
        for _ in range(80):
            random_step(world, rng, [])
        world.kv_up = True
        world.lose_answers = False
        world.join()
        world.settle(60.0)
        nonce = len(world.nonces) + 1
        world.ask("a", key_born(world.wall, salt=999), nonce)
        world.pass_time(0.1)
        assert isinstance(world.replies[nonce], FencePermitted)
