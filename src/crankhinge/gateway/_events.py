"""Splits an event stream at the ends of its events, so that a broken one can be continued."""

from __future__ import annotations

END = b"\n\n"


class EventSplitter:
    """Holds an unfinished event back and remembers the identity of the last whole one.

    Args:
        last: identity of the last event that the caller has.
    """

    def __init__(self, last: str = "") -> None:
        self.last = last
        self.events = 0
        self._rest = b""

    def feed(self, chunk: bytes) -> bytes:
        """Return the whole events that *chunk* completes."""
        data = self._rest + chunk
        cut = data.rfind(END)
        if cut < 0:
            self._rest = data
            return b""
        whole, self._rest = data[: cut + len(END)], data[cut + len(END) :]
        self.events += whole.count(END)
        for line in reversed(whole.split(b"\n")):
            if line.startswith(b"id:"):
                self.last = line[3:].strip().decode("latin-1")
                break
        return whole

    def drop_rest(self) -> None:
        """Forget an unfinished event; the server that continues sends it again."""
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """Bytes that follow the last whole event."""
        return self._rest
