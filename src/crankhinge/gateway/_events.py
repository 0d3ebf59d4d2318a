"""Splits an event stream at the ends of its events, so that a broken stream can be resumed."""

from __future__ import annotations

import re

from crankhinge.http import EventBuffer

LINE_ENDS = (b"\n", b"\r")
COMMENT_START = b":"
EVENT_STREAM_TYPE = "text/event-stream"
# The lines of a block that state its id, with or without a value.
_ID_LINE = re.compile(rb"(?:^|[\r\n])id(?::([^\r\n]*))?(?=[\r\n])")
# A line that is neither blank nor a comment nor a retry time.
_CONTENT_LINE = re.compile(rb"(?:^|[\r\n])(?!retry[:\r\n])[^:\r\n]")
# Longest id that is taken for a number.
MAX_ID_DIGITS = 18
# An id that a header field can carry unchanged.
_USABLE_ID = re.compile(rb"[!-~](?:[ -~]{0,198}[!-~])?")


def is_event_stream(content_type: str) -> bool:
    """Return whether a content type, parameters included, is that of an event stream."""
    return content_type.partition(";")[0].strip().lower() == EVENT_STREAM_TYPE


class EventSplitter:
    """Holds back an unfinished event and remembers where another server can go on.

    Args:
        last_id: id of the last event that the caller has.

    Attributes:
        last_id: id of the last complete event that has one.
        event_count: number of complete events so far.
        can_be_resumed: whether no event has followed the one with *last_id*. A server that is asked
            to go on after *last_id* would send such an event again.
        is_out_of_place: whether an event cannot follow those before it. It and what followed it was
            discarded.
    """

    def __init__(self, last_id: str = "") -> None:
        self.last_id = last_id
        self.event_count = 0
        self.can_be_resumed = True
        self.is_out_of_place = False
        # Whether the next event shows if a server goes on where it was asked to.
        self._needs_id = bool(last_id)
        self._number = _number_of(last_id)
        self._buffer = EventBuffer()

    def feed(self, chunk: bytes) -> bytes:
        """Return the complete events that *chunk* finishes; keep the bytes after them.

        Ids of events rise, and the first event of a stream that goes on has one. If one does not
        rise, or is missing there, only the events before it are returned.

        Raises:
            EventTooLong: the unfinished event is over the limit.
        """
        events = self._buffer.feed(chunk)
        if not events:
            return b""
        complete = []
        for event in events:
            if not self._record(event):
                self._buffer.clear()
                self.is_out_of_place = True
                break
            complete.append(event)
        self.event_count += len(complete)
        return b"".join(complete)

    def _record(self, event: bytes) -> bool:
        """Record the id of a complete event; return whether the event may follow the last one.

        If it states several ids, the last one counts.
        """
        ids = _ID_LINE.findall(event)
        if not ids and not _CONTENT_LINE.search(event):
            return True
        event_id = ids[-1].strip(b" ") if ids else b""
        if not _USABLE_ID.fullmatch(event_id):
            if not self._needs_id:
                self.can_be_resumed = False
            return not self._needs_id
        number = _number_of(event_id.decode("ascii"))
        if number is not None and self._number is not None and number <= self._number:
            return False
        self.last_id, self._number = event_id.decode("ascii"), number
        self.can_be_resumed, self._needs_id = True, False
        return True

    def drop_remainder(self) -> None:
        """Discard an unfinished event; the server that resumes the stream sends it again."""
        self._buffer.clear()
        self.is_out_of_place = False
        self._needs_id = bool(self.last_id)

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


def _number_of(event_id: str) -> int | None:
    """Return the number that an id is; None if it is none."""
    is_number = event_id.isascii() and event_id.isdigit() and len(event_id) <= MAX_ID_DIGITS
    return int(event_id) if is_number else None


def _is_comment_or_blank(line: bytes) -> bool:
    return line.startswith(COMMENT_START) or not line.strip()
