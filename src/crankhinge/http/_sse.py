"""Encodes and parses server-sent events with ``data`` fields only (WHATWG HTML, section 9.2)."""

from __future__ import annotations

import re

# A blank line ends an event. A line ends with a line feed, a carriage return or both.
SSE_EVENT_END = re.compile(rb"(?:\r\n|\n|\r(?!\n)){2}")


def encode_sse_event(data: bytes) -> bytes:
    """Return one encoded event; *data* must not contain line breaks."""
    return b"data: " + data + b"\n\n"


class SseParser:
    """Splits a byte stream into the data of its server-sent events."""

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, chunk: bytes) -> list[bytes]:
        """Return the data of each event that *chunk* completes."""
        *complete, self._buffer = SSE_EVENT_END.split(self._buffer + chunk)
        return [data for event in complete if (data := _parse_event_data(event)) is not None]


def _parse_event_data(event_text: bytes) -> bytes | None:
    """Return the joined ``data:`` lines of an event, or None if it has none."""
    lines = [line[5:].lstrip(b" ") for line in event_text.splitlines() if line.startswith(b"data:")]
    return b"\n".join(lines) if lines else None
