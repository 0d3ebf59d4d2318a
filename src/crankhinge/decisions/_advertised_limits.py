"""What servers say they take from all instances together, as one instance knows it.

A server in need names a rate in its answers, for as long as the need lasts. Answers overtake each
other, and instances tell each other what they heard, so of two words the one that can only have
been said later stands: a rate counts from when it was heard, and its end from when a request was
sent that an answer without one came to. A server that names something that is no rate is still in
need; its last rate stands.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from crankhinge.decisions._bounded import keep_newest

# Servers remembered that name rates, and those that named one before: more than a fleet has that
# are in need at once.
MAX_TRACKED_SERVERS = 1024
# Rates that an instance tells in its note in the store: 1 kB at most.
MAX_PUBLISHED_LIMITS = 16
# A note tells another rate of a server only when it has moved by this factor: each change of a note
# is a priced write, and whoever reads it hears the server's own word with its first answer.
REPUBLISH_FACTOR = 2.0
# How old a rate may be that is read in a note, in seconds: an end that was heard since stands.
MAX_RECORD_AGE_S = 40.0


@dataclass(frozen=True, slots=True)
class AdvertisedLimit:
    """What a server takes.

    Attributes:
        per_s: requests a second from all instances together.
        received_at: when it was heard, on the runtime's clock, in seconds.
    """

    per_s: float
    received_at: float


class AdvertisedLimits:
    """The rates that servers name, by the servers' identities."""

    def __init__(self) -> None:
        self._limits: dict[str, AdvertisedLimit] = {}
        self._ended_at: dict[str, float] = {}
        self._published: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._limits)

    @property
    def servers(self) -> list[str]:
        """Identities of the servers that name rates."""
        return list(self._limits)

    def get(self, server: str) -> AdvertisedLimit | None:
        """Return what a server takes; None where it names nothing."""
        return self._limits.get(server)

    def record_limit(self, server: str, per_s: float, at: float) -> bool:
        """Note that a server named a rate.

        Args:
            server: its identity.
            per_s: requests a second.
            at: when an answer told so, on the runtime's clock, in seconds.

        Returns:
            Whether this instance believed something else.
        """
        if at <= self._ended_at.get(server, float("-inf")):
            return False
        known = self._limits.get(server)
        if known is not None and at < known.received_at:
            return False
        keep_newest(self._limits, server, AdvertisedLimit(per_s, at), MAX_TRACKED_SERVERS)
        return known is None or known.per_s != per_s

    def record_unreadable(self, server: str, at: float) -> None:
        """Note that a server named something that is no rate: it is still in need."""
        known = self._limits.get(server)
        if known is not None and at > known.received_at:
            keep_newest(self._limits, server, AdvertisedLimit(known.per_s, at), MAX_TRACKED_SERVERS)

    def record_no_limit(self, server: str, sent_at: float) -> bool:
        """Note that a server named nothing in an answer.

        Args:
            server: its identity.
            sent_at: when the request was sent that it answered, on the runtime's clock, in seconds.
                Sent before the rate was heard, it may have been answered before that, too.

        Returns:
            Whether it has ceased to name a rate by that.
        """
        known = self._limits.get(server)
        if known is None or sent_at <= known.received_at:
            return False
        del self._limits[server]
        keep_newest(self._ended_at, server, sent_at, MAX_TRACKED_SERVERS)
        return True

    def to_instance_record(self, servers: Collection[str], now: float) -> Mapping[str, float]:
        """Return what belongs into this instance's note of some servers: their rates, roughly.

        Args:
            servers: identities.
            now: on the runtime's clock, in seconds.
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
        """Take what was read in a note; returns the servers of which it was news."""
        at = now - MAX_RECORD_AGE_S
        return [
            server for server, per_s in published.items() if self.record_limit(server, per_s, at)
        ]


def _has_moved(published: float, per_s: float) -> bool:
    low, high = sorted((published, per_s))
    return high > REPUBLISH_FACTOR * low
