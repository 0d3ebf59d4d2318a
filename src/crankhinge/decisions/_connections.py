"""The number of idle connections that an instance keeps to a server.

A server accepts a fixed number of connections from all instances together and resets any beyond it.
Each instance keeps an equal share of a fraction of them idle, and opens new ones when it needs
more.
"""

from __future__ import annotations

# Maximum number of idle connections to one server: the number of requests that are in progress at
# once.
MAX_IDLE_CONNECTIONS = 8
# Fraction of a server's connections that all instances together keep idle; the rest is for
# connections that are in use or new.
IDLE_CONNECTIONS_SHARE = 0.8


def idle_connection_limit(server_limit: int, fleet_size: int) -> int:
    """Return the number of idle connections to keep to one server; at least one.

    Args:
        server_limit: connections that the server accepts from all instances together.
        fleet_size: number of instances.
    """
    return max(
        1, min(MAX_IDLE_CONNECTIONS, int(server_limit * IDLE_CONNECTIONS_SHARE / fleet_size))
    )
