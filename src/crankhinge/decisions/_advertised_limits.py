"""The limits that servers advertise for all instances together, as one instance knows them.

An overloaded server advertises a rate in its responses as long as the overload lasts. Responses
overtake each other, and instances forward what they received. Of two contradicting messages, the
one that is certainly later counts: an advertised rate is dated by the time at which it was
received, and the end of a limit by the time at which the request was sent whose response advertised
no limit. A server that advertises something that is not a rate is still overloaded, and its last
rate continues to apply.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from crankhinge.decisions._bounded import keep_newest

# Maximum number of servers with a limit that are remembered, and of servers whose limit has ended:
# no fleet has more overloaded servers at a time.
MAX_TRACKED_SERVERS = 1024
# Maximum number of limits in the instance record in the store: 1 kB at most.
MAX_PUBLISHED_LIMITS = 16
# A published limit is updated only when it has changed by this factor. Each update of the record is
# a write that is charged for, and its readers get the exact limit with the server's first response.
REPUBLISH_FACTOR = 2.0
# Seconds for which a limit is published after it was last received. A limit that is read from an
# instance record is assumed to be this old, so that it does not override an end of the limit that
# this instance has seen since then.
MAX_RECORD_AGE_S = 40.0


@dataclass(frozen=True, slots=True)
class AdvertisedLimit:
    """The limit that a server advertises.

    Attributes:
        per_s: requests a second from all instances together.
        received_at: when it was received, by the runtime's clock in seconds.
    """

    per_s: float
    received_at: float


class AdvertisedLimits:
    """The advertised limits, by the incarnation id of the server."""

    def __init__(self) -> None:
        self._limits: dict[str, AdvertisedLimit] = {}
        self._ended_at: dict[str, float] = {}
        self._published: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._limits)

    @property
    def servers(self) -> list[str]:
        """Incarnation ids of the servers that advertise a limit."""
        return list(self._limits)

    def get(self, server: str) -> AdvertisedLimit | None:
        """Return the limit of a server; None when it advertises none."""
        return self._limits.get(server)

    def record_limit(self, server: str, per_s: float, received_at: float) -> bool:
        """Record that a server advertised a limit.

        Args:
            server: its incarnation id.
            per_s: requests a second.
            received_at: when the response with the limit was received, by the runtime's clock in
                seconds.

        Returns:
            Whether this changed the known limit.
        """
        if received_at <= self._ended_at.get(server, float("-inf")):
            return False
        known = self._limits.get(server)
        if known is not None and received_at < known.received_at:
            return False
        keep_newest(self._limits, server, AdvertisedLimit(per_s, received_at), MAX_TRACKED_SERVERS)
        return known is None or known.per_s != per_s

    def record_unreadable(self, server: str, received_at: float) -> None:
        """Record that a server advertised something that is not a rate.

        The server is still overloaded, so its last rate continues to apply.
        """
        known = self._limits.get(server)
        if known is not None and received_at > known.received_at:
            keep_newest(
                self._limits, server, AdvertisedLimit(known.per_s, received_at), MAX_TRACKED_SERVERS
            )

    def record_no_limit(self, server: str, sent_at: float) -> bool:
        """Record that a response of a server advertised no limit.

        Args:
            server: its incarnation id.
            sent_at: when the request was sent, by the runtime's clock in seconds. If that was
                before the limit was received, the response may be older than the limit as well, and
                ends nothing.

        Returns:
            Whether this ended a known limit.
        """
        known = self._limits.get(server)
        if known is None or sent_at <= known.received_at:
            return False
        del self._limits[server]
        keep_newest(self._ended_at, server, sent_at, MAX_TRACKED_SERVERS)
        return True

    def to_instance_record(self, servers: Collection[str], now: float) -> Mapping[str, float]:
        """Return the limits of some servers for this instance's record in the store.

        The limits are approximate: a small change is not published.

        Args:
            servers: incarnation ids.
            now: time of the runtime's clock in seconds.
        """
        recent = [
            server
            for server, limit in self._limits.items()
            if server in servers and now - limit.received_at <= MAX_RECORD_AGE_S
        ]
        published = {}
        for server in recent[-MAX_PUBLISHED_LIMITS:]:
            per_s, last_published = self._limits[server].per_s, self._published.get(server)
            published[server] = (
                per_s
                if last_published is None or _has_moved(last_published, per_s)
                else last_published
            )
        self._published = published
        return dict(published)

    def apply_instance_record(self, published: Mapping[str, float], now: float) -> list[str]:
        """Apply the limits from an instance record; return the servers whose limit changed."""
        at = now - MAX_RECORD_AGE_S
        return [
            server for server, per_s in published.items() if self.record_limit(server, per_s, at)
        ]


def _has_moved(published: float, per_s: float) -> bool:
    """Whether a limit has changed enough to be published again."""
    low, high = sorted((published, per_s))
    return high > REPUBLISH_FACTOR * low
