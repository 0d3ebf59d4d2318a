"""What servers say that bars requests from them: that they leave, or want none for a while.

A bar holds whatever other servers there are. Which of the servers without one gets a request is a
preference, kept in :class:`ServerStats`, so that no guess of an instance shortens what a server
said.
"""

from __future__ import annotations

import enum

from crankhinge.decisions._bounded import keep_newest

# Servers remembered that said something: more than a fleet has that leave or rest at once.
MAX_TRACKED_SERVERS = 1024


class ExclusionReason(enum.Enum):
    """Why a server gets no request."""

    GONE = "gone"
    LEAVING = "leaving"
    REPLACED = "replaced"
    BACKOFF = "resting"


class ServerExclusions:
    """What servers said, by the identities of their lives.

    A word outlives the server's entry, which may lapse and come back while the same life goes on.
    """

    def __init__(self) -> None:
        self._leaving_since: dict[str, float] = {}
        self._backoff_ends: dict[str, float] = {}
        self._latest_backoff_end = float("-inf")

    def record_leaving(self, server: str, at: float) -> bool:
        """Note that a server says it leaves; returns whether that is news.

        No life that leaves comes back, so nothing lifts it.

        Args:
            server: its identity.
            at: when it was heard, on the runtime's clock, in seconds.
        """
        if server in self._leaving_since:
            return False
        keep_newest(self._leaving_since, server, at, MAX_TRACKED_SERVERS)
        return True

    def record_backoff(self, server: str, until: float) -> bool:
        """Note that a server wants no request for a while; returns whether for longer than known.

        Args:
            server: its identity.
            until: on the runtime's clock, in seconds.
        """
        if until <= self._backoff_ends.get(server, float("-inf")):
            return False
        keep_newest(self._backoff_ends, server, until, MAX_TRACKED_SERVERS)
        self._latest_backoff_end = max(self._latest_backoff_end, until)
        return True

    def leaving_since(self, server: str) -> float | None:
        """Return when a server was first heard to leave; None where it was not."""
        return self._leaving_since.get(server)

    def has_backoffs(self, now: float) -> bool:
        """Whether any server may want no request now; false spares the look at each of them."""
        return now < self._latest_backoff_end

    def backoff_until(self, server: str, now: float) -> float | None:
        """Return until when a server wants no request; None where it wants some now."""
        until = self._backoff_ends.get(server, now)
        return until if until > now else None

    def violation_log_fields(self, server: str, now: float) -> dict[str, float]:
        """Return what tells that a request is sent to a server in spite of what that said."""
        fields = {}
        since, until = self.leaving_since(server), self.backoff_until(server, now)
        if since is not None:
            fields["leaving_s"] = round(now - since, 2)
        if until is not None:
            fields["rest_left_s"] = round(until - now, 2)
        return fields
