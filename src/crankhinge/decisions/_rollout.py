"""Who may load weights now: a roll through a pool, a few backend servers at a time.

The record is one value in the key-value service, changed by compare-and-swap. A place in it is a
lease with an end: whoever dies while loading leaves its place to the next, and whoever is paused
past its end finds its token outdated. The lease only paces; a wrong clock can make two load at
once, never a wrong order take effect, since orders carry the token and the agent is the only one
that orders its server.
"""

from __future__ import annotations

import msgspec

ROLLOUT_LEASE_S = 60.0


class RolloutLease(msgspec.Struct, array_like=True, frozen=True):
    """A place in a roll.

    Attributes:
        name: the agent that loads.
        until_ms: end of its lease, milliseconds since the epoch.
    """

    name: str
    until_ms: int


class RolloutRecord(msgspec.Struct, array_like=True, frozen=True):
    """Who loads in one pool.

    Attributes:
        token: grows with each place given; the fencing token of that place's orders.
        places: at most as many as may load at once.
    """

    token: int = 0
    places: tuple[RolloutLease, ...] = ()


class AcquiredRollout(msgspec.Struct, frozen=True):
    """A place that would be one's own once *record* is swapped in."""

    token: int
    record: RolloutRecord


def try_acquire_rollout(
    record: RolloutRecord, me: str, width: int, wall_ms: int
) -> AcquiredRollout | None:
    """Return a lease, or None while all places are taken.

    Args:
        record: as last read.
        me: the agent that asks; a place of its own from before is taken over.
        width: how many may load at once.
        wall_ms: milliseconds since the epoch.
    """
    others = tuple(p for p in record.places if p.name != me and p.until_ms > wall_ms)
    if len(others) >= width:
        return None
    token = record.token + 1
    mine = RolloutLease(me, wall_ms + int(ROLLOUT_LEASE_S * 1000))
    return AcquiredRollout(token, RolloutRecord(token, (*others, mine)))


def release_rollout(record: RolloutRecord, me: str) -> RolloutRecord:
    """Return the record with the place of *me* given back."""
    return RolloutRecord(record.token, tuple(p for p in record.places if p.name != me))


def adapters_to_load(wanted: dict[str, int], loaded: dict[str, int]) -> list[str]:
    """Return the adapters whose wanted version isn't loaded, in a stable order."""
    return sorted(name for name, version in wanted.items() if loaded.get(name) != version)
