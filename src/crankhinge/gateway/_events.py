"""Splits an event stream at the ends of its events, so that a broken one can be continued."""

from __future__ import annotations

EVENT_END = b"\n\n"


class EventSplitter:
    """Holds an unfinished event back and remembers the identity of the last whole one.

    Args:
        last_id: identity of the last event that the caller has.
    """

    def __init__(self, last_id: str = "") -> None:
        self.last_id = last_id
        self.event_count = 0
        self._rest = b""

    def feed(self, chunk: bytes) -> bytes:
        """Return the whole events that *chunk* completes."""
        data = self._rest + chunk
        cut = data.rfind(EVENT_END)
        if cut < 0:
            self._rest = data
            return b""
        whole, self._rest = data[: cut + len(EVENT_END)], data[cut + len(EVENT_END) :]
        self.event_count += whole.count(EVENT_END)
        for line in reversed(whole.split(b"\n")):
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip().decode("latin-1")
                break
        return whole

    def drop_remainder(self) -> None:
        """Forget an unfinished event; the server that continues sends it again."""
        self._rest = b""

    @property
    def remainder(self) -> bytes:
        """Bytes that follow the last whole event."""
        return self._rest
