"""Encodes and parses server-sent events, ``data:`` lines only (WHATWG HTML, section 9.2)."""

from __future__ import annotations


def encode_sse_event(data: bytes) -> bytes:
    """Return one encoded event; *data* must not contain line breaks."""
    return b"data: " + data + b"\n\n"


class SseParser:
    """Splits a byte stream into the data of its server-sent events."""

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, chunk: bytes) -> list[bytes]:
        """Return the data of each event that *chunk* completes."""
        self._buffer += chunk.replace(b"\r\n", b"\n")
        *complete, self._buffer = self._buffer.split(b"\n\n")
        return [data for event in complete if (data := _parse_event_data(event)) is not None]


def _parse_event_data(event_text: bytes) -> bytes | None:
    """Return the joined ``data:`` lines of an event, or None if it has none."""
    lines = [line[5:].lstrip(b" ") for line in event_text.split(b"\n") if line.startswith(b"data:")]
    return b"\n".join(lines) if lines else None
