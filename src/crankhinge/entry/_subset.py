"""Which agents an entry links to."""

from __future__ import annotations

from crankhinge.adapters import Instance
from crankhinge.decisions import rank_by_key


def subset(
    instances: list[Instance], *, entry: str, limit: int, always: frozenset[str] = frozenset()
) -> dict[str, Instance]:
    """Return the agents this entry links to: at most *limit* of each pool, and all in *always*.

    Which ones depends on the entry's name only, so that all entries together spread evenly and
    a change of the list moves few links.
    """
    pools: dict[str, list[Instance]] = {}
    for instance in instances:
        pools.setdefault(instance.pool, []).append(instance)
    chosen: dict[str, Instance] = {}
    for members in pools.values():
        by_name = {instance.name: instance for instance in members}
        for name in rank_by_key(entry.encode(), by_name)[:limit]:
            chosen[name] = by_name[name]
    chosen.update({i.name: i for i in instances if i.name in always})
    return chosen
