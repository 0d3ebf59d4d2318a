"""Tests of the choice of the instance that keeps something for the fleet, and of engine groups."""

from __future__ import annotations

import random

from crankhinge.decisions import EngineRole, Membership, Server
from crankhinge.decisions.coordination import CoordinatorOrder, EngineGroups

NAMES = [f"g-{number}" for number in range(5)]


def make_order(name: str, max_misses: int = 2) -> CoordinatorOrder:
    """Return the order as the instance *name* sees it, in a fleet of five."""
    membership = Membership(name, 0.0)
    membership.join({peer: f"127.0.0.1:{peer[2:]}" for peer in NAMES}, 0.0, resumed=True)
    return CoordinatorOrder(name=name, membership=membership, max_misses=max_misses)


def engines(count: int) -> list[Server]:
    """Return *count* decode engines of one service."""
    return [
        Server(f"e-{number}", "llm", "h", 9, "z1", EngineRole.DECODE, 8, False, 1)
        for number in range(count)
    ]


class TestCoordinatorOrder:
    """Which instances are asked about a key."""

    def test_all_instances_compute_the_same_first_and_standby(self) -> None:
        """Two instances that ask different coordinators would both place runs on one engine."""
        orders = [make_order(name) for name in NAMES]
        assert len({tuple(order.coordinators("k", 0.0)) for order in orders}) == 1
        asked = orders[0].coordinators("k", 0.0)
        assert [order.is_coordinator("k") for order in orders] == [name in asked for name in NAMES]

    def test_instance_that_misses_twice_is_skipped_until_it_may_be_back(self) -> None:
        """One lost datagram must not change the coordinator; a dead one must not be asked again."""
        first, standby = make_order("g-0").ranked("k")
        order = make_order(next(name for name in NAMES if name not in (first, standby)))
        order.record_unresponsive(first, 0.0)
        assert order.coordinators("k", 0.0) == [first, standby]
        order.record_unresponsive(first, 0.1)
        assert order.coordinators("k", 0.1) == [standby]
        assert order.coordinators("k", 5.0) == [first, standby]
        order.record_response(first)
        assert order.coordinators("k", 0.1) == [first, standby]

    def test_instance_never_skips_itself(self) -> None:
        """An instance that is its own coordinator needs no datagram, so it cannot miss one."""
        first = make_order("g-0").ranked("k")[0]
        order = make_order(first, max_misses=1)
        order.record_unresponsive(first, 0.0)
        assert order.coordinators("k", 0.0)[0] == first


class TestEngineGroups:
    """The groups of the engines of a service."""

    def test_small_service_has_one_group_and_a_large_one_a_group_per_six_engines(self) -> None:
        """One coordinator of 600 engines would receive far more than 10 KB/s."""
        assert len(EngineGroups(engines(32))) == 1
        assert len(EngineGroups(engines(33))) == 6
        groups = EngineGroups(engines(600))
        assert len(groups) == 100
        members = [len(groups.members(group)) for group in range(100)]
        assert sum(members) == 600
        assert max(members) <= 20

    def test_new_engine_changes_no_other_group(self) -> None:
        """A coordinator that lost its engines to another group would lose what it knows."""
        before, after = EngineGroups(engines(599)), EngineGroups(engines(600))
        for server in engines(599):
            assert before.group_of(server.incarnation_id) == after.group_of(server.incarnation_id)

    def test_choice_is_weighted_by_usable_engines(self) -> None:
        """Groups of different sizes get requests in proportion, and full ones are not asked."""
        groups = EngineGroups(engines(60))
        usable = frozenset(server.incarnation_id for server in engines(60))
        rng = random.Random(3)
        chosen = [groups.choose(rng, usable=usable) for _ in range(6000)]
        for group in range(len(groups)):
            share = len(groups.members(group)) / 60
            assert abs(chosen.count(group) / 6000 - share) < 0.03
        everything_tried = frozenset(range(len(groups)))
        assert groups.choose(rng, usable=usable, tried=everything_tried) is None
        only = frozenset({"e-7"})
        assert groups.choose(rng, usable=only) == groups.group_of("e-7")

    def test_unknown_engine_has_no_group(self) -> None:
        """A run on an engine that is gone belongs to no coordinator."""
        assert EngineGroups(engines(3)).group_of("gone") is None
        assert EngineGroups([]).choose(random.Random(1), usable=frozenset()) is None
