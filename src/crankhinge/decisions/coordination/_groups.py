"""Groups of the engines of a service, each of which one instance coordinates."""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping, Sequence

from crankhinge.decisions._rendezvous import rank_by_key
from crankhinge.decisions._servers import Server

# A service with up to this many engines has one group; a larger one has a group for each
# ENGINES_PER_GROUP engines. A coordinator receives 290 to 450 bytes per second and engine, and the
# groups differ in size: with 6 on average, the busiest of 300 instances receives 9.8 KB/s of the
# 10 KB/s that it may receive (tests/test_placement_messages.py).
MAX_SINGLE_GROUP = 32
ENGINES_PER_GROUP = 6


class EngineGroups:
    """The groups of the engines of one service.

    All instances that know the same engines compute the same groups. An engine that is added or
    removed changes the group of no other engine as long as the number of groups stays the same.

    Args:
        engines: the engines of the service.
    """

    def __init__(self, engines: Iterable[Server]) -> None:
        known = list(engines)
        self._count = 1 if len(known) <= MAX_SINGLE_GROUP else -(-len(known) // ENGINES_PER_GROUP)
        members: dict[int, list[Server]] = {}
        self._group_of: dict[str, int] = {}
        self._assigned: dict[str, int] = {}
        for server in known:
            group = self.assign(server.incarnation_id)
            members.setdefault(group, []).append(server)
            self._group_of[server.incarnation_id] = group
        self._members: Mapping[int, Sequence[Server]] = members

    def __len__(self) -> int:
        return self._count

    def members(self, group: int) -> Sequence[Server]:
        """Return the engines of a group."""
        return self._members.get(group, ())

    def assign(self, incarnation_id: str) -> int:
        """Return the group to which any engine belongs, also one that is not among the given."""
        if self._count == 1:
            return 0
        if incarnation_id not in self._assigned:
            names = [str(group) for group in range(self._count)]
            self._assigned[incarnation_id] = int(rank_by_key(incarnation_id.encode(), names)[0])
        return self._assigned[incarnation_id]

    def group_of(self, incarnation_id: str) -> int | None:
        """Return the group of an engine; None if the engine is unknown."""
        return self._group_of.get(incarnation_id)

    def choose(
        self, rng: random.Random, *, usable: frozenset[str], tried: frozenset[int] = frozenset()
    ) -> int | None:
        """Return a random group, weighted by the number of its usable engines.

        Args:
            rng: source of the random choice.
            usable: incarnation ids of the engines that the request may use.
            tried: groups that must not be chosen.

        Returns:
            The group; None if no other group has a usable engine.
        """
        weights = {
            group: weight
            for group, servers in self._members.items()
            if group not in tried
            and (weight := sum(server.incarnation_id in usable for server in servers))
        }
        if not weights:
            return None
        return rng.choices(list(weights), weights=list(weights.values()))[0]
