"""How many idle connections an instance keeps to a server.

A server takes so many connections from all instances together and resets what is beyond; each
instance keeps its part of a part of them, and uses new ones where it needs more.
"""

from __future__ import annotations

# Idle connections kept to one server, at most: requests that are under way at once.
KEPT_MOST = 8
# Part of a server's connections that all instances together keep idle; the rest is for those that
# are in use or new.
KEPT_PART = 0.8


def kept_connections(taken: int, fleet: int) -> int:
    """Return how many idle connections to keep to one server; one at least.

    Args:
        taken: connections that it takes from all instances together.
        fleet: how many instances there are.
    """
    return max(1, min(KEPT_MOST, int(taken * KEPT_PART / fleet)))
