"""Servers that must get no request now, by what they announced: a shutdown or a backoff.

An excluded server gets no request even if no other server is left. Among the servers that are not
excluded, the choice follows :class:`ServerStats`. The pauses that this instance estimates by itself
are kept there, too, so that an estimate never shortens a backoff that a server announced.
"""

from __future__ import annotations

import enum

from crankhinge.decisions._bounded import keep_newest

# Number of servers whose announcements are remembered; no fleet has more servers that leave or back
# off at the same time.
MAX_TRACKED_SERVERS = 1024


class ExclusionReason(enum.Enum):
    """Why a server must get no request.

    Attributes:
        GONE: it is no longer in the server list.
        LEAVING: it announced its shutdown.
        REPLACED: another server has its address now.
        UNRECORDED: its software version is not recorded in the store yet.
        BACKOFF: it asked for no requests for a while.
    """

    GONE = "gone"
    LEAVING = "leaving"
    REPLACED = "replaced"
    UNRECORDED = "unrecorded"
    BACKOFF = "resting"


class ServerExclusions:
    """The announcements of servers, by incarnation id.

    An announcement outlives the server's entry in the list: the entry may lapse and be written
    again by the same incarnation.
    """

    def __init__(self) -> None:
        self._leaving_since: dict[str, float] = {}
        self._backoff_ends: dict[str, float] = {}
        self._latest_backoff_end = float("-inf")

    def record_leaving(self, server: str, received_at: float) -> bool:
        """Record that a server announced its shutdown; return whether that is new.

        The announcement is never withdrawn: an incarnation that is leaving does not come back.

        Args:
            server: its incarnation id.
            received_at: when the announcement was received, by the runtime's clock in seconds.
        """
        if server in self._leaving_since:
            return False
        keep_newest(self._leaving_since, server, received_at, MAX_TRACKED_SERVERS)
        return True

    def record_backoff(self, server: str, until: float) -> bool:
        """Record that a server asked for no requests for a while; return whether this extends it.

        Args:
            server: its incarnation id.
            until: end of the backoff by the runtime's clock, in seconds.
        """
        if until <= self._backoff_ends.get(server, float("-inf")):
            return False
        keep_newest(self._backoff_ends, server, until, MAX_TRACKED_SERVERS)
        self._latest_backoff_end = max(self._latest_backoff_end, until)
        return True

    def leaving_since(self, server: str) -> float | None:
        """Return when this instance first learned that the server is leaving; None if it is not.

        The time is by the runtime's clock, in seconds.
        """
        return self._leaving_since.get(server)

    def has_backoffs(self, now: float) -> bool:
        """Whether any server may be in backoff; if not, single servers need no check."""
        return now < self._latest_backoff_end

    def backoff_until(self, server: str, now: float) -> float | None:
        """Return the end of a server's backoff; None when it is not in backoff."""
        until = self._backoff_ends.get(server, now)
        return until if until > now else None

    def violation_log_fields(self, server: str, now: float) -> dict[str, float]:
        """Return the log fields for a request sent to a server despite its announcement."""
        fields = {}
        since, until = self.leaving_since(server), self.backoff_until(server, now)
        if since is not None:
            fields["leaving_s"] = round(now - since, 2)
        if until is not None:
            fields["rest_left_s"] = round(until - now, 2)
        return fields
