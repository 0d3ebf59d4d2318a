"""How many idle connections an instance keeps to a server.

A server takes so many connections from all instances together and resets what is beyond; each
instance keeps its part of a part of them, and uses new ones where it needs more.
"""

from __future__ import annotations

# Idle connections kept to one server, at most: requests that are under way at once.
MAX_IDLE_CONNECTIONS = 8
# Part of a server's connections that all instances together keep idle; the rest is for those that
# are in use or new.
IDLE_CONNECTIONS_SHARE = 0.8


def idle_connection_limit(server_limit: int, fleet_size: int) -> int:
    """Return how many idle connections to keep to one server; one at least.

    Args:
        server_limit: connections that it takes from all instances together.
        fleet_size: how many instances there are.
    """
    return max(
        1, min(MAX_IDLE_CONNECTIONS, int(server_limit * IDLE_CONNECTIONS_SHARE / fleet_size))
    )
