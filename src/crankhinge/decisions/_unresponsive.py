"""Peer instances that did not respond, and how long no requests are sent to them."""

from __future__ import annotations

# Seconds for which an unresponsive instance is skipped, doubled each time it does not respond
# again, up to the maximum. A request to an instance that is gone costs a tenth of a second.
FIRST_SKIP_S = 1.0
MAX_SKIP_S = 16.0


class UnresponsivePeers:
    """Counts the requests to peer instances that got no response.

    Args:
        max_misses: unanswered requests in a row after which an instance is skipped; single
            datagrams are lost now and then.
    """

    def __init__(self, max_misses: int) -> None:
        self._max_misses = max_misses
        self._misses: dict[str, int] = {}
        self._skip_until: dict[str, float] = {}
        self._skip_s: dict[str, float] = {}

    def is_skipped(self, name: str, now: float) -> bool:
        """Whether no requests should be sent to an instance now."""
        return self._skip_until.get(name, now) > now

    def missed_last(self, name: str) -> bool:
        """Whether the last request to an instance got no response."""
        return name in self._misses

    def record_unresponsive(self, name: str, now: float) -> None:
        """Record that an instance did not respond."""
        self._misses[name] = self._misses.get(name, 0) + 1
        if self._misses[name] < self._max_misses:
            return
        skip_s = self._skip_s.get(name, FIRST_SKIP_S)
        self._skip_until[name] = now + skip_s
        self._skip_s[name] = min(MAX_SKIP_S, 2 * skip_s)

    def record_response(self, name: str) -> None:
        """Record that an instance responded, or that it has just joined."""
        for table in (self._misses, self._skip_until, self._skip_s):
            table.pop(name, None)
