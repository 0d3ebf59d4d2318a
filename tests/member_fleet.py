"""Simulation of instances that know each other by records in a store and by datagrams."""

from __future__ import annotations

import abc
import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, Generic, TypeVar

from hypothesis import HealthCheck, Phase, settings

from crankhinge.decisions import (
    FLEET_ENTRY_LEASE_S,
    FLEET_ENTRY_RENEWAL_INTERVAL_S,
    JOIN_ANNOUNCEMENT_INTERVAL_S,
    RECORD_LEASE_S,
    START_ALLOWANCE_S,
    Membership,
)

# For tests that draw random faults. A failing case is reported as it was drawn, because shrinking
# it takes minutes.
SIMULATION_SETTINGS = settings(
    max_examples=60,
    deadline=None,
    suppress_health_check=list(HealthCheck),
    phases=[Phase.explicit, Phase.reuse, Phase.generate],
)
# Seconds after which the entry of an instance permits its next incarnation start allowances; use is
# summed over windows of 8 s.
ALLOWANCE_REST_S = 8.0 + START_ALLOWANCE_S
RESPONSE_TIMEOUT_S = 0.1
DATAGRAM_DELAY_S = (0.0005, 0.02)
STORE_CALL_S = (0.002, 0.15)
MAX_READ_STALENESS_S = 5.9
MAX_START_DELAY_S = 0.5


@dataclass
class MemberNode:
    """One incarnation of a simulated instance."""

    name: str
    membership: Membership
    pending: dict[int, Callable[[Any], None]] = field(default_factory=dict)
    has_record: bool = False
    joined: bool = False
    is_announcing: bool = False
    entry_renewed_at: float | None = None
    entered_at: float | None = None
    permits_allowance: bool = False
    is_reading: bool = False
    published_ready: bool = False


@dataclass(frozen=True)
class _Record:
    """An instance record in the simulated store."""

    lease_end: float
    is_ready: bool


NodeT = TypeVar("NodeT", bound=MemberNode)


class MemberFleet(abc.ABC, Generic[NodeT]):
    """Simulates instances, their store and the datagrams between them on a clock of its own.

    Args:
        count: number of instances.
        seed: seed of delays and losses.
        loss: share of datagrams that are lost.
    """

    def __init__(self, count: int, *, seed: int = 1, loss: float = 0.0) -> None:
        self.now = 0.0
        self.names = [f"n{number}" for number in range(count)]
        self.nodes: dict[str, NodeT] = {}
        self.datagrams = 0
        self.cuts: set[frozenset[str]] = set()
        self.frozen: set[str] = set()
        self._rng = random.Random(seed)
        # Separate, so that the calls for fleet entries change no other delay of a seed.
        self._entry_rng = random.Random(seed)
        self._loss = loss
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self._request_numbers = itertools.count()
        self._records: dict[str, _Record] = {}
        # End of each fleet entry, and whether it permits start allowances.
        self._entries: dict[str, tuple[float, bool]] = {}
        self._record_history: list[tuple[float, dict[str, str]]] = []
        self._held_actions: dict[str, list[Callable[[], None]]] = {}
        self._save_records()

    @abc.abstractmethod
    def _make_node(self, name: str, membership: Membership) -> NodeT:
        """Return a new incarnation of an instance."""

    @abc.abstractmethod
    def _record_joined(self, node: NodeT, name: str) -> None:
        """Tell an instance's client of allocators that another instance has joined."""

    # Clock.

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Schedule an action for a time of the simulated clock."""
        heapq.heappush(self._events, (when, next(self._event_numbers), action))

    def run(self, until: float) -> None:
        """Advance the simulated clock to *until* and run all actions that are due."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until

    # Instances.

    def start(self, names: Iterable[str] | None = None) -> None:
        """Start the named instances; a restarted instance has lost all that it had in memory."""
        for name in names or self.names:
            node = self._make_node(name, Membership(name, self.now))
            self.nodes[name] = node
            self._held_actions.pop(name, None)
            self.frozen.discard(name)
            delay = self._rng.uniform(0.0, MAX_START_DELAY_S)
            self._schedule(node, delay, lambda node=node: self._resume_record(node))

    def kill(self, name: str) -> None:
        """End an instance without notice to the others; its record stays until it expires."""
        self.nodes.pop(name, None)

    def freeze(self, name: str) -> None:
        """Freeze an instance; its actions and messages wait until it continues."""
        self.frozen.add(name)

    def thaw(self, name: str) -> None:
        """Let a frozen instance continue and run what it has missed."""
        self.frozen.discard(name)
        for action in self._held_actions.pop(name, []):
            action()

    def cut(self, one: str, other: str) -> None:
        """Cut the connection between two instances, or between an instance and the store."""
        self.cuts.add(frozenset((one, other)))

    def heal(self, one: str, other: str) -> None:
        """Restore a connection that :meth:`cut` has cut."""
        self.cuts.discard(frozenset((one, other)))

    def _schedule(self, node: NodeT, delay: float, action: Callable[[], None]) -> None:
        """Schedule an action of one incarnation: delayed while frozen, dropped once it ended."""

        def run() -> None:
            if self.nodes.get(node.name) is not node:
                return
            if node.name in self.frozen:
                self._held_actions.setdefault(node.name, []).append(run)
                return
            action()

        self.at(self.now + delay, run)

    # Store.

    def _call_store(
        self, node: NodeT, done: Callable[[Any, float], None], operation: Callable[[], Any]
    ) -> None:
        """Run an operation at the store, and pass its result and the call time to *done*."""
        sent_at = self.now
        if frozenset((node.name, "store")) in self.cuts:
            self._schedule(node, 1.0, lambda: self._renew_lease(node))
            return

        def arrive() -> None:
            answer = operation()
            self._schedule(node, self._rng.uniform(*STORE_CALL_S), lambda: done(answer, sent_at))

        self.at(self.now + self._rng.uniform(*STORE_CALL_S), arrive)

    def _live_record(self, name: str) -> _Record | None:
        record = self._records.get(name)
        return record if record is not None and record.lease_end > self.now else None

    def _resume_record(self, node: NodeT) -> None:
        def operation() -> _Record | None:
            record = self._live_record(node.name)
            if record is not None:
                self._write_record(node.name, record.is_ready)
            return record

        def done(record: _Record | None, sent_at: float) -> None:
            if record is not None:
                node.has_record = True
                node.membership.set_lease_end(sent_at + RECORD_LEASE_S)
                if record.is_ready:
                    self._read_and_join(node, resumed=True)
                    self._schedule(node, 2 * STORE_CALL_S[1], lambda: self._renew_lease(node))
                    return
            self._renew_lease(node)

        self._call_store(node, done, operation)

    def _renew_lease(self, node: NodeT) -> None:
        is_ready = node.membership.may_coordinate(self.now)
        must_publish = is_ready is not node.published_ready or not node.has_record

        def operation() -> bool:
            had_record = self._live_record(node.name) is not None
            if must_publish or had_record:
                self._write_record(node.name, is_ready if must_publish else node.published_ready)
            return had_record

        def done(had_record: bool, sent_at: float) -> None:
            is_new_record = not had_record or not node.has_record
            node.has_record = must_publish or had_record
            node.joined = node.joined and not is_new_record
            if node.has_record:
                node.published_ready = is_ready
                node.membership.set_lease_end(sent_at + RECORD_LEASE_S)
            if node.has_record and not node.joined:
                self._read_and_join(node, resumed=False)
            elif node.joined:
                self._update_entry(node)
            self._schedule(node, self._rng.uniform(0.9, 1.2), lambda: self._renew_lease(node))

        self._call_store(node, done, operation)

    def _write_record(self, name: str, is_ready: bool) -> None:
        self._records[name] = _Record(self.now + RECORD_LEASE_S, is_ready)

    def _read_and_join(self, node: NodeT, *, resumed: bool) -> None:
        def done(names: dict[str, str], sent_at: float) -> None:
            node.membership.join(names, sent_at, resumed=resumed)
            node.entry_renewed_at = None
            self._update_entry(node)
            if resumed:
                self._announce_join(node)
            if not node.joined:
                node.joined = True
                self._announce_join(node)
            if not node.is_reading:
                node.is_reading = True
                self._read_records(node)

        self._call_store(node, done, self._live_addresses)

    def _update_entry(self, node: NodeT) -> None:
        """Write or renew the fleet entry of an instance, whichever is due."""
        if node.entry_renewed_at is None:
            self._enter_fleet(node)
        elif not node.permits_allowance and self.now - (node.entered_at or 0.0) >= ALLOWANCE_REST_S:
            self._permit_allowance(node)
        elif self.now - node.entry_renewed_at >= FLEET_ENTRY_RENEWAL_INTERVAL_S:
            self._renew_entry(node)

    def _enter_fleet(self, node: NodeT) -> None:
        """Read the fleet entries, then write the one of this instance."""

        def done(entries: dict[str, bool], read_at: float) -> None:
            def written(in_time: bool, sent_at: float) -> None:
                if not in_time or not node.joined:
                    node.joined = False
                    return
                is_restart = node.entered_at is None
                node.entry_renewed_at, node.entered_at = sent_at, self.now
                node.permits_allowance = False
                node.membership.enter_fleet(
                    {name: name for name in entries},
                    read_at,
                    until=sent_at + FLEET_ENTRY_LEASE_S,
                    returned=node.name in entries,
                    start_allowance=is_restart and entries.get(node.name, False),
                )
                self._announce_join(node)

            self._call_store_for_entry(node, written, lambda: self._write_entry(node.name))

        self._call_store_for_entry(node, done, self._live_entries)

    def _permit_allowance(self, node: NodeT) -> None:
        def done(_: bool, sent_at: float) -> None:
            node.entry_renewed_at, node.permits_allowance = sent_at, True
            node.membership.set_entry_end(sent_at + FLEET_ENTRY_LEASE_S)

        self._call_store_for_entry(node, done, lambda: self._write_entry(node.name, allows=True))

    def _write_entry(self, name: str, *, allows: bool = False) -> bool:
        """Write a fleet entry; return whether the instance has a record."""
        self._entries[name] = (self.now + FLEET_ENTRY_LEASE_S, allows)
        return self._live_record(name) is not None

    def _renew_entry(self, node: NodeT) -> None:
        def renew() -> bool:
            exists = node.name in self._live_entries()
            if exists:
                self._write_entry(node.name, allows=self._entries[node.name][1])
            return exists

        def done(exists: bool, sent_at: float) -> None:
            node.entry_renewed_at = sent_at if exists else None
            if exists:
                node.membership.set_entry_end(sent_at + FLEET_ENTRY_LEASE_S)

        self._call_store_for_entry(node, done, renew)

    def _call_store_for_entry(
        self, node: NodeT, done: Callable[[Any, float], None], operation: Callable[[], Any]
    ) -> None:
        """Run an operation on fleet entries; it is tried again with the next lease renewal."""
        sent_at = self.now
        if frozenset((node.name, "store")) in self.cuts:
            return

        def arrive() -> None:
            answer = operation()
            delay = self._entry_rng.uniform(*STORE_CALL_S)
            self._schedule(node, delay, lambda: done(answer, sent_at))

        self.at(self.now + self._entry_rng.uniform(*STORE_CALL_S), arrive)

    def _live_entries(self) -> dict[str, bool]:
        """Return whether each fleet entry permits start allowances, by instance name."""
        return {name: allows for name, (end, allows) in self._entries.items() if end > self.now}

    def _live_addresses(self) -> dict[str, str]:
        return {name: name for name, record in self._records.items() if record.lease_end > self.now}

    def _read_records(self, node: NodeT) -> None:
        if frozenset((node.name, "store")) not in self.cuts:
            at = self.now - self._rng.uniform(0.0, MAX_READ_STALENESS_S)
            names = next(
                (names for when, names in reversed(self._record_history) if when <= at), {}
            )
            node.membership.apply_records(names, self.now)
        wait_s = node.membership.read_interval_s * self._rng.uniform(0.8, 1.2)
        self._schedule(node, wait_s, lambda: self._read_records(node))

    def _save_records(self) -> None:
        """Save the present records, which stale reads may return later."""
        self._record_history.append((self.now, self._live_addresses()))
        self.at(self.now + 0.1, self._save_records)

    # Datagrams.

    def _send(self, node: NodeT, to: str, handle: Callable[[NodeT], None]) -> None:
        self.datagrams += 1
        if frozenset((node.name, to)) in self.cuts or self._rng.random() < self._loss:
            return
        delay = self._rng.uniform(*DATAGRAM_DELAY_S)

        def arrive() -> None:
            other = self.nodes.get(to)
            if other is None:
                return
            if to in self.frozen:
                self._held_actions.setdefault(to, []).append(arrive)
                return
            handle(other)

        self.at(self.now + delay, arrive)

    def _announce_join(self, node: NodeT) -> None:
        if not node.is_announcing:
            node.is_announcing = True
            self._send_announcements(node)

    def _send_announcements(self, node: NodeT) -> None:
        names = node.membership.unacknowledged_addresses
        node.is_announcing = bool(names)
        for name in names:
            self._send(node, name, lambda other: self._receive_join(other, node.name))
        if names:
            self._schedule(
                node, JOIN_ANNOUNCEMENT_INTERVAL_S, lambda: self._send_announcements(node)
            )

    def _receive_join(self, other: NodeT, name: str) -> None:
        other.membership.record_joined(name, name, self.now)
        self._record_joined(other, name)
        self._send(other, name, lambda node: node.membership.record_acknowledged(other.name))


def schedule_fault(
    fleet: MemberFleet[Any], kind: str, at: float, duration_s: float, one: str, other: str
) -> None:
    """Schedule the begin of a fault and its end *duration_s* seconds later."""
    others = [name for name in fleet.names if name != one]
    peers = {"cut": [other], "alone": [*others, "store"], "store": ["store"]}.get(kind, [])
    for peer in peers:
        if peer != one:
            fleet.at(at, lambda peer=peer: fleet.cut(one, peer))
            fleet.at(at + duration_s, lambda peer=peer: fleet.heal(one, peer))
    if kind == "freeze":
        fleet.at(at, lambda: fleet.freeze(one))
        fleet.at(at + duration_s, lambda: fleet.thaw(one))
    if kind == "loss":
        for name in fleet.names:
            fleet.at(at, lambda name=name: fleet.kill(name))
        fleet.at(at + duration_s, fleet.start)
    if kind == "kill":
        fleet.at(at, lambda: fleet.kill(one))
        fleet.at(at + duration_s, lambda: fleet.start([one]))
