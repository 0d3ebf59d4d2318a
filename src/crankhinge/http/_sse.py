"""Encodes and parses server-sent events with ``data`` fields only (WHATWG HTML, section 9.2)."""

from __future__ import annotations

import re

from crankhinge.errors import EventTooLong

# A blank line ends an event. A line ends with a line feed, a carriage return or both.
SSE_EVENT_END = re.compile(rb"(?:\r\n?+|\n)(?:\r\n?+|\n)")
# Longest match of SSE_EVENT_END, in bytes.
MAX_EVENT_END_BYTES = 4
# Bytes of one event; a server that sends more without the end of an event may never send it.
MAX_EVENT_BYTES = 8 * 1024 * 1024


def encode_sse_event(data: bytes) -> bytes:
    """Return one encoded event; *data* must not contain line breaks."""
    return b"data: " + data + b"\n\n"


class EventBuffer:
    """Splits a byte stream at the ends of its events.

    The cost is linear in the number of bytes, however they are divided into chunks.

    Args:
        max_event_bytes: longest event that is accepted.
    """

    def __init__(self, max_event_bytes: int = MAX_EVENT_BYTES) -> None:
        self._max_event_bytes = max_event_bytes
        self._unfinished = bytearray()

    def __len__(self) -> int:
        return len(self._unfinished)

    def feed(self, chunk: bytes) -> list[bytes]:
        """Return the events that *chunk* completes, with their ends.

        Raises:
            EventTooLong: the unfinished event is over the limit; it is discarded.
        """
        data = self._unfinished
        # The bytes before contain no end of an event, but perhaps the beginning of one.
        searched = max(0, len(data) - MAX_EVENT_END_BYTES + 1)
        data += chunk
        ends: list[int] = []
        if b"\n" in chunk or b"\r" in chunk:
            ends = [match.end() for match in SSE_EVENT_END.finditer(data, searched)]
        starts = [0, *ends]
        events = [bytes(data[start:end]) for start, end in zip(starts, ends, strict=False)]
        if ends:
            del data[: ends[-1]]
        if len(data) > self._max_event_bytes:
            self.clear()
            raise EventTooLong(f"an event has more than {self._max_event_bytes} bytes")
        return events

    @property
    def unfinished(self) -> bytes:
        """Bytes that follow the last complete event."""
        return bytes(self._unfinished)

    def clear(self) -> None:
        """Discard the bytes that follow the last complete event."""
        self._unfinished.clear()


class SseParser:
    """Splits a byte stream into the data of its server-sent events."""

    def __init__(self) -> None:
        self._buffer = EventBuffer()

    def feed(self, chunk: bytes) -> list[bytes]:
        """Return the data of each event that *chunk* completes.

        Raises:
            EventTooLong: the unfinished event is over the limit.
        """
        events = self._buffer.feed(chunk)
        return [data for event in events if (data := _parse_event_data(event)) is not None]


def _parse_event_data(event_text: bytes) -> bytes | None:
    """Return the joined ``data:`` lines of an event, or None if it has none."""
    lines = [line[5:].lstrip(b" ") for line in event_text.splitlines() if line.startswith(b"data:")]
    return b"\n".join(lines) if lines else None
