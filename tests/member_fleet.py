"""Instances that know each other by notes and datagrams, and what lies between them, played."""

from __future__ import annotations

import abc
import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, Generic, TypeVar

from hypothesis import HealthCheck, Phase, settings

from crankhinge.decisions import JOIN_ANNOUNCEMENT_INTERVAL_S, RECORD_LEASE_S, Membership

# For tests that draw what befalls such a fleet. A case that fails is told as it was drawn; making
# it smaller takes minutes.
PLAYED = settings(
    max_examples=60,
    deadline=None,
    suppress_health_check=list(HealthCheck),
    phases=[Phase.explicit, Phase.reuse, Phase.generate],
)
ANSWER_S = 0.1
DELAY_S = (0.0005, 0.02)
CALL_S = (0.002, 0.15)
STALE_S = 5.9
START_S = 0.5


@dataclass
class MemberNode:
    """One life of an instance."""

    name: str
    members: Membership
    open: dict[int, Callable[[Any], None]] = field(default_factory=dict)
    written: bool = False
    joined: bool = False
    reading: bool = False
    told: bool = False


@dataclass(frozen=True)
class _Note:
    """A note in the store."""

    until: float
    settled: bool


N = TypeVar("N", bound=MemberNode)


class MemberFleet(abc.ABC, Generic[N]):
    """Plays instances on a clock of its own.

    Args:
        count: instances.
        seed: of delays and losses.
        loss: share of datagrams that are lost.
    """

    def __init__(self, count: int, *, seed: int = 1, loss: float = 0.0) -> None:
        self.now = 0.0
        self.names = [f"n{number}" for number in range(count)]
        self.nodes: dict[str, N] = {}
        self.datagrams = 0
        self.cuts: set[frozenset[str]] = set()
        self.frozen: set[str] = set()
        self._rng = random.Random(seed)
        self._loss = loss
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._numbers = itertools.count()
        self._notes: dict[str, _Note] = {}
        self._seen: list[tuple[float, dict[str, str]]] = []
        self._held: dict[str, list[Callable[[], None]]] = {}
        self._record()

    @abc.abstractmethod
    def _born(self, name: str, members: Membership) -> N:
        """Return a new life of an instance."""

    @abc.abstractmethod
    def _has_come(self, node: N, name: str) -> None:
        """Have an instance note that another one has come."""

    # The clock.

    def at(self, when: float, do: Callable[[], None]) -> None:
        """Have something done at a time."""
        heapq.heappush(self._queue, (when, next(self._order), do))

    def run(self, until: float) -> None:
        """Let the time pass."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, do = heapq.heappop(self._queue)
            do()
        self.now = until

    # Instances.

    def start(self, names: Iterable[str] | None = None) -> None:
        """Start instances; a life before is forgotten."""
        for name in names or self.names:
            node = self._born(name, Membership(name, self.now))
            self.nodes[name] = node
            self._held.pop(name, None)
            self.frozen.discard(name)
            delay = self._rng.uniform(0.0, START_S)
            self._later(node, delay, lambda node=node: self._resume(node))

    def kill(self, name: str) -> None:
        """End an instance."""
        self.nodes.pop(name, None)

    def freeze(self, name: str) -> None:
        """Have an instance stand still; what comes meanwhile waits."""
        self.frozen.add(name)

    def thaw(self, name: str) -> None:
        """Let an instance go on."""
        self.frozen.discard(name)
        for do in self._held.pop(name, []):
            do()

    def cut(self, one: str, other: str) -> None:
        """Cut two instances off from each other, or one from the store."""
        self.cuts.add(frozenset((one, other)))

    def heal(self, one: str, other: str) -> None:
        """Undo :meth:`cut`."""
        self.cuts.discard(frozenset((one, other)))

    def _later(self, node: N, delay: float, do: Callable[[], None]) -> None:
        """Have something done by an instance, if it lives then and once it goes on."""

        def run() -> None:
            if self.nodes.get(node.name) is not node:
                return
            if node.name in self.frozen:
                self._held.setdefault(node.name, []).append(run)
                return
            do()

        self.at(self.now + delay, run)

    # The store.

    def _call(self, node: N, done: Callable[[Any, float], None], op: Callable[[], Any]) -> None:
        """Have the store do something, and an instance take its answer with when it asked."""
        asked = self.now
        if frozenset((node.name, "store")) in self.cuts:
            self._later(node, 1.0, lambda: self._look(node))
            return

        def arrive() -> None:
            answer = op()
            self._later(node, self._rng.uniform(*CALL_S), lambda: done(answer, asked))

        self.at(self.now + self._rng.uniform(*CALL_S), arrive)

    def _note(self, name: str) -> _Note | None:
        note = self._notes.get(name)
        return note if note is not None and note.until > self.now else None

    def _resume(self, node: N) -> None:
        def op() -> _Note | None:
            note = self._note(node.name)
            if note is not None:
                self._write(node.name, note.settled)
            return note

        def done(note: _Note | None, asked: float) -> None:
            if note is not None:
                node.written = True
                node.members.set_lease_end(asked + RECORD_LEASE_S)
                if note.settled:
                    self._join(node, resumed=True)
                    self._later(node, 2 * CALL_S[1], lambda: self._look(node))
                    return
            self._look(node)

        self._call(node, done, op)

    def _look(self, node: N) -> None:
        settled = node.members.may_coordinate(self.now)
        publish = settled is not node.told or not node.written

        def op() -> bool:
            held = self._note(node.name) is not None
            if publish or held:
                self._write(node.name, settled if publish else node.told)
            return held

        def done(held: bool, asked: float) -> None:
            anew = not held or not node.written
            node.written = publish or held
            node.joined = node.joined and not anew
            if node.written:
                node.told = settled
                node.members.set_lease_end(asked + RECORD_LEASE_S)
            if node.written and not node.joined:
                self._join(node, resumed=False)
            self._later(node, self._rng.uniform(0.9, 1.2), lambda: self._look(node))

        self._call(node, done, op)

    def _write(self, name: str, settled: bool) -> None:
        self._notes[name] = _Note(self.now + RECORD_LEASE_S, settled)

    def _join(self, node: N, *, resumed: bool) -> None:
        def done(names: dict[str, str], asked: float) -> None:
            node.members.join(names, asked, resumed=resumed)
            if not node.joined:
                node.joined = True
                self._greet(node)
            if not node.reading:
                node.reading = True
                self._read(node)

        self._call(node, done, self._noted)

    def _noted(self) -> dict[str, str]:
        return {name: name for name, note in self._notes.items() if note.until > self.now}

    def _read(self, node: N) -> None:
        if frozenset((node.name, "store")) not in self.cuts:
            at = self.now - self._rng.uniform(0.0, STALE_S)
            names = next((names for when, names in reversed(self._seen) if when <= at), {})
            node.members.apply_records(names, self.now)
        wait_s = node.members.read_interval_s * self._rng.uniform(0.8, 1.2)
        self._later(node, wait_s, lambda: self._read(node))

    def _record(self) -> None:
        """Remember which notes there are, for stale reads."""
        self._seen.append((self.now, self._noted()))
        self.at(self.now + 0.1, self._record)

    # Datagrams.

    def _send(self, node: N, to: str, take: Callable[[N], None]) -> None:
        self.datagrams += 1
        if frozenset((node.name, to)) in self.cuts or self._rng.random() < self._loss:
            return
        delay = self._rng.uniform(*DELAY_S)

        def arrive() -> None:
            other = self.nodes.get(to)
            if other is None:
                return
            if to in self.frozen:
                self._held.setdefault(to, []).append(arrive)
                return
            take(other)

        self.at(self.now + delay, arrive)

    def _greet(self, node: N) -> None:
        names = node.members.unacknowledged_addresses
        for name in names:
            self._send(node, name, lambda other: self._greeted(other, node.name))
        if names:
            self._later(node, JOIN_ANNOUNCEMENT_INTERVAL_S, lambda: self._greet(node))

    def _greeted(self, other: N, name: str) -> None:
        other.members.record_joined(name, name, self.now)
        self._has_come(other, name)
        self._send(other, name, lambda node: node.members.record_acknowledged(other.name))


def strike(
    fleet: MemberFleet[Any], kind: str, at: float, for_s: float, one: str, other: str
) -> None:
    """Have a trouble begin and end."""
    others = [name for name in fleet.names if name != one]
    ends = {"cut": [other], "alone": [*others, "store"], "store": ["store"]}.get(kind, [])
    for end in ends:
        if end != one:
            fleet.at(at, lambda end=end: fleet.cut(one, end))
            fleet.at(at + for_s, lambda end=end: fleet.heal(one, end))
    if kind == "freeze":
        fleet.at(at, lambda: fleet.freeze(one))
        fleet.at(at + for_s, lambda: fleet.thaw(one))
    if kind == "kill":
        fleet.at(at, lambda: fleet.kill(one))
        fleet.at(at + for_s, lambda: fleet.start([one]))
