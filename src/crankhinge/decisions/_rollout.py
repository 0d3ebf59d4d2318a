"""Leases that let only a few agents of a pool load adapter weights at the same time.

The record of a pool is one value in the key-value service, changed by compare-and-swap. Each lease
in it expires: when an agent crashes while loading, its lease ends and another agent can acquire
one, and an agent that was paused beyond the end of its lease finds that its token is outdated. The
leases only pace the rollout. With a wrong clock two agents may load at once, but an outdated order
never takes effect, since orders carry the token and only the agent sends orders to its server.
"""

from __future__ import annotations

import msgspec

# Duration in seconds of the lease for loading adapter weights.
ROLLOUT_LEASE_S = 60.0


class RolloutLease(msgspec.Struct, array_like=True, frozen=True):
    """The lease of one agent.

    Attributes:
        name: name of the agent that loads.
        until_ms: end of its lease, in milliseconds since the Unix epoch.
    """

    name: str
    until_ms: int


class RolloutRecord(msgspec.Struct, array_like=True, frozen=True):
    """The leases of one pool.

    Attributes:
        token: grows with each lease; the fencing token of the lease's orders.
        leases: the leases, at most as many as agents may load at once.
    """

    token: int = 0
    leases: tuple[RolloutLease, ...] = ()


class AcquiredRollout(msgspec.Struct, frozen=True):
    """A new lease, which is acquired once *record* has been swapped in.

    Attributes:
        token: fencing token of the lease.
        record: the record with the new lease.
    """

    token: int
    record: RolloutRecord


def try_acquire_rollout(
    record: RolloutRecord, me: str, width: int, wall_ms: int
) -> AcquiredRollout | None:
    """Return a new lease; None while the maximum number of agents hold one.

    Args:
        record: the record as last read.
        me: the agent that wants to load; an earlier lease of the same agent is replaced.
        width: maximum number of agents that may load at once.
        wall_ms: wall-clock time in milliseconds since the Unix epoch.
    """
    others = tuple(p for p in record.leases if p.name != me and p.until_ms > wall_ms)
    if len(others) >= width:
        return None
    token = record.token + 1
    own_lease = RolloutLease(me, wall_ms + int(ROLLOUT_LEASE_S * 1000))
    return AcquiredRollout(token, RolloutRecord(token, (*others, own_lease)))


def release_rollout(record: RolloutRecord, me: str) -> RolloutRecord:
    """Return the record without the lease of *me*."""
    return RolloutRecord(record.token, tuple(p for p in record.leases if p.name != me))


def adapters_to_load(wanted: dict[str, int], loaded: dict[str, int]) -> list[str]:
    """Return the adapters whose wanted version is not loaded, sorted by name."""
    return sorted(name for name, version in wanted.items() if loaded.get(name) != version)
