"""Splits an event stream at the ends of its events, so that a broken stream can be resumed."""

from __future__ import annotations

from crankhinge.http import EventBuffer

LINE_ENDS = (b"\n", b"\r")
COMMENT_START = b":"
EVENT_STREAM_TYPE = "text/event-stream"


def is_event_stream(content_type: str) -> bool:
    """Return whether a content type, parameters included, is that of an event stream."""
    return content_type.partition(";")[0].strip().lower() == EVENT_STREAM_TYPE


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
        self._buffer = EventBuffer()

    def feed(self, chunk: bytes) -> bytes:
        """Return the complete events that *chunk* finishes; keep the bytes after them.

        Raises:
            EventTooLong: the unfinished event is over the limit.
        """
        events = self._buffer.feed(chunk)
        if not events:
            return b""
        complete = b"".join(events)
        self.event_count += len(events)
        for line in reversed(complete.splitlines()):
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip().decode("latin-1")
                break
        return complete

    def drop_remainder(self) -> None:
        """Discard an unfinished event; the server that resumes the stream sends it again."""
        self._buffer.clear()

    @property
    def ends_inside_event(self) -> bool:
        """Whether the bytes after the last complete event are part of another event.

        Complete comment lines and blank lines belong to no event.
        """
        lines = self.remainder.splitlines(keepends=True)
        return any(not line.endswith(LINE_ENDS) or not _is_comment_or_blank(line) for line in lines)

    @property
    def remainder(self) -> bytes:
        """Bytes that follow the last complete event."""
        return self._buffer.unfinished

    @property
    def remainder_bytes(self) -> int:
        """Number of bytes that follow the last complete event."""
        return len(self._buffer)


def _is_comment_or_blank(line: bytes) -> bool:
    return line.startswith(COMMENT_START) or not line.strip()
