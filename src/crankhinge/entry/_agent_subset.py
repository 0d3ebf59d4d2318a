"""Chooses the agents that an entry opens links to."""

from __future__ import annotations

from crankhinge.adapters import Instance
from crankhinge.decisions import rank_by_key


def choose_agents(
    instances: list[Instance],
    *,
    entry_name: str,
    max_per_pool: int,
    required_names: frozenset[str] = frozenset(),
) -> dict[str, Instance]:
    """Return the agents that an entry opens links to, by name.

    The result contains at most *max_per_pool* agents of each pool, and all of *required_names*.

    The choice depends only on the names of the entry and the agents. The links of all entries
    together are therefore spread evenly over the agents, and a change of the list moves few links.
    """
    pools: dict[str, list[Instance]] = {}
    for instance in instances:
        pools.setdefault(instance.pool, []).append(instance)
    chosen: dict[str, Instance] = {}
    for pool_instances in pools.values():
        by_name = {instance.name: instance for instance in pool_instances}
        for name in rank_by_key(entry_name.encode(), by_name)[:max_per_pool]:
            chosen[name] = by_name[name]
    chosen.update({i.name: i for i in instances if i.name in required_names})
    return chosen
