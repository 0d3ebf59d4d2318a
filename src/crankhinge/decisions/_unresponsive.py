"""Which instances did not answer, and for how long they are not asked."""

from __future__ import annotations

# An instance that did not answer is passed over for this long, in seconds, and twice as long each
# time that it does not answer again; each question to one that is gone takes a tenth of a second.
FIRST_SKIP_S = 1.0
MAX_SKIP_S = 16.0


class UnresponsivePeers:
    """Keeps count of questions that were not answered.

    Args:
        max_misses: questions in a row that an instance may leave unanswered before it is passed
            over; datagrams are lost now and then.
    """

    def __init__(self, max_misses: int) -> None:
        self._max_misses = max_misses
        self._misses: dict[str, int] = {}
        self._skip_until: dict[str, float] = {}
        self._skip_s: dict[str, float] = {}

    def is_skipped(self, name: str, now: float) -> bool:
        """Whether an instance is not worth a question now."""
        return self._skip_until.get(name, now) > now

    def missed_last(self, name: str) -> bool:
        """Whether the last question to an instance was left unanswered."""
        return name in self._misses

    def record_unresponsive(self, name: str, now: float) -> None:
        """Note that an instance did not answer."""
        self._misses[name] = self._misses.get(name, 0) + 1
        if self._misses[name] < self._max_misses:
            return
        skip_s = self._skip_s.get(name, FIRST_SKIP_S)
        self._skip_until[name] = now + skip_s
        self._skip_s[name] = min(MAX_SKIP_S, 2 * skip_s)

    def record_response(self, name: str) -> None:
        """Note that an instance answered, or that it has just come."""
        for table in (self._misses, self._skip_until, self._skip_s):
            table.pop(name, None)
