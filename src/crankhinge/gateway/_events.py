"""Splits an event stream at the ends of its events, so that a broken stream can be resumed."""

from __future__ import annotations

EVENT_END = b"\n\n"


class EventSplitter:
    """Holds back an unfinished event and remembers the id of the last complete one.

    Args:
        last_id: id of the last event that the caller has.

    Attributes:
        last_id: id of the last complete event.
        event_count: number of complete events so far.
    """

    def __init__(self, last_id: str = "") -> None:
        self.last_id = last_id
        self.event_count = 0
        self._remainder = b""

    def feed(self, chunk: bytes) -> bytes:
        """Return the complete events that *chunk* finishes; keep the bytes after them."""
        data = self._remainder + chunk
        end = data.rfind(EVENT_END)
        if end < 0:
            self._remainder = data
            return b""
        complete, self._remainder = data[: end + len(EVENT_END)], data[end + len(EVENT_END) :]
        self.event_count += complete.count(EVENT_END)
        for line in reversed(complete.split(b"\n")):
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip().decode("latin-1")
                break
        return complete

    def drop_remainder(self) -> None:
        """Discard an unfinished event; the server that resumes the stream sends it again."""
        self._remainder = b""

    @property
    def remainder(self) -> bytes:
        """Bytes that follow the last complete event."""
        return self._remainder
