"""Server-sent events: the ``data:`` lines of the WHATWG HTML specification, section 9.2."""

from __future__ import annotations


def encode_sse_event(data: bytes) -> bytes:
    """Return one event that carries *data* (no line breaks in it)."""
    return b"data: " + data + b"\n\n"


class SseParser:
    """Splits a byte stream into the data of its events."""

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, chunk: bytes) -> list[bytes]:
        """Return the data of each event that *chunk* completes."""
        self._buffer += chunk.replace(b"\r\n", b"\n")
        *whole, self._buffer = self._buffer.split(b"\n\n")
        return [data for event in whole if (data := _parse_event_data(event)) is not None]


def _parse_event_data(event_text: bytes) -> bytes | None:
    lines = [line[5:].lstrip(b" ") for line in event_text.split(b"\n") if line.startswith(b"data:")]
    return b"\n".join(lines) if lines else None
