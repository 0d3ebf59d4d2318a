"""Splits an event stream at the ends of its events, so that a broken stream can be resumed."""

from __future__ import annotations

from crankhinge.http import SSE_EVENT_END

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
        self._remainder = b""

    def feed(self, chunk: bytes) -> bytes:
        """Return the complete events that *chunk* finishes; keep the bytes after them."""
        data = self._remainder + chunk
        ends = [match.end() for match in SSE_EVENT_END.finditer(data)]
        if not ends:
            self._remainder = data
            return b""
        complete, self._remainder = data[: ends[-1]], data[ends[-1] :]
        self.event_count += len(ends)
        for line in reversed(complete.splitlines()):
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip().decode("latin-1")
                break
        return complete

    def drop_remainder(self) -> None:
        """Discard an unfinished event; the server that resumes the stream sends it again."""
        self._remainder = b""

    @property
    def ends_inside_event(self) -> bool:
        """Whether the bytes after the last complete event are part of another event.

        Complete comment lines and blank lines belong to no event.
        """
        lines = self._remainder.splitlines(keepends=True)
        return any(not line.endswith(LINE_ENDS) or not _is_comment_or_blank(line) for line in lines)

    @property
    def remainder(self) -> bytes:
        """Bytes that follow the last complete event."""
        return self._remainder


def _is_comment_or_blank(line: bytes) -> bool:
    return line.startswith(COMMENT_START) or not line.strip()
