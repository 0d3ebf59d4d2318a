"""Decides when the process behind a connection may not be the one that a server's entry describes.

A server may restart under its name, with other software, before its new entry reaches this
instance. A connection cannot outlive the process that accepted it. So one report of a server, asked
for after a connection was opened, shows for the life of that connection which incarnation it leads
to. Such a report costs a round trip, and is asked for only if neither the list nor the server's
other connections speak for the incarnation in the list.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

# Seconds after which the entry of a server that has ended is gone or written anew: three heartbeats
# of 1.2 s, and the delay of the list. After an outage of the store, and after an instance starts,
# entries may be as old.
ENTRY_SETTLED_S = 4.0


@dataclass(frozen=True, slots=True)
class ListState:
    """How far the list of servers can be relied upon.

    Attributes:
        confirmed_at: latest time of which the list is known to show all entries.
        is_current: whether the source responds as usual, so that it would show a new entry soon.
        age_s: seconds since the list was last known to be current.
    """

    confirmed_at: float
    is_current: bool
    age_s: float


class ListConfirmation:
    """Follows the responses of the source of the list.

    Args:
        max_age_s: seconds within which the source responds again, also if nothing changes.
        disturbed_at: returns when any call to the source's store last failed, or the store came
            back from an older copy. A watch that waits shows neither before its end.
    """

    def __init__(
        self, max_age_s: float, disturbed_at: Callable[[], float] = lambda: -math.inf
    ) -> None:
        self._disturbed_at = disturbed_at
        self._seen_disturbed_at = -math.inf
        self._max_age_s = max_age_s
        self._is_lost = True
        self._settled_at = math.inf
        self._received_at = -math.inf
        self._current_at = -math.inf
        self._confirmed_at = -math.inf

    def record_response(self, current_at: float, now: float) -> None:
        """Record a response; the data was current at *current_at*."""
        self._check_disturbed()
        if self._is_lost:
            self._is_lost, self._settled_at = False, now + ENTRY_SETTLED_S
        self._received_at, self._current_at = now, current_at
        if current_at >= self._settled_at:
            self._confirmed_at = current_at

    def record_lost(self) -> None:
        """Record that the source does not respond, or has lost its history."""
        self._is_lost = True

    def _check_disturbed(self) -> None:
        disturbed_at = self._disturbed_at()
        if disturbed_at > self._seen_disturbed_at:
            self._seen_disturbed_at = disturbed_at
            self._is_lost = True

    def state(self, now: float) -> ListState:
        """Return how far the list can be relied upon."""
        self._check_disturbed()
        is_settled = not self._is_lost and now >= self._settled_at
        is_current = is_settled and now - self._received_at <= self._max_age_s
        return ListState(self._confirmed_at, is_current, now - self._current_at)


@dataclass(slots=True)
class _Evidence:
    """What is known about the process at the address of a server.

    Attributes:
        proven_at: when the last report that told the listed incarnation was asked for.
        broken_at: when a connection was last refused, reset or closed by the server.
    """

    proven_at: float = -math.inf
    broken_at: float = -math.inf


class IncarnationDoubts:
    """Decides whether a server must be asked for its incarnation. Times are the runtime's clock."""

    def __init__(self) -> None:
        self._evidence: defaultdict[str, _Evidence] = defaultdict(_Evidence)

    def record_proven(self, incarnation_id: str, asked_at: float) -> None:
        """Record a report of this incarnation that was asked for at *asked_at*."""
        evidence = self._evidence[incarnation_id]
        evidence.proven_at = max(evidence.proven_at, asked_at)

    def record_broken(self, incarnation_id: str, at: float) -> None:
        """Record that a connection was refused, reset or closed by the server."""
        evidence = self._evidence[incarnation_id]
        evidence.broken_at = max(evidence.broken_at, at)

    def remove(self, incarnation_id: str) -> None:
        """Forget a server that is gone."""
        self._evidence.pop(incarnation_id, None)

    def certain_until(self, incarnation_id: str, list_state: ListState) -> float:
        """Return the time until which requests certainly reached an incarnation.

        A broken connection is no evidence: the later incarnation may have broken it.
        """
        evidence = self._evidence.get(incarnation_id) or _Evidence()
        return max(evidence.proven_at, list_state.confirmed_at - ENTRY_SETTLED_S)

    def is_doubtful(
        self, incarnation_id: str, opened_at: float, list_state: ListState, *, is_mixed: bool
    ) -> bool:
        """Return whether a connection may lead to another incarnation.

        Args:
            incarnation_id: incarnation in the list.
            opened_at: when the connection was opened.
            list_state: how far the list can be relied upon.
            is_mixed: whether several versions are in service. Otherwise a list that is current
                is taken to show each restart before the server gets its first request.
        """
        evidence = self._evidence.get(incarnation_id) or _Evidence()
        if opened_at <= max(evidence.proven_at, list_state.confirmed_at - ENTRY_SETTLED_S):
            return False
        is_broken = evidence.proven_at < evidence.broken_at <= opened_at
        if is_broken and list_state.confirmed_at < evidence.broken_at + ENTRY_SETTLED_S:
            return True
        is_listed = list_state.is_current or opened_at <= list_state.confirmed_at
        return is_mixed or not is_listed
