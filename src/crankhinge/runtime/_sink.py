"""Writes log lines to a descriptor without ever waiting for its reader.

What is kept: every line of level warning or above as long as PENDING_BYTES hold it, and other
lines up to a rate. What is not kept is counted, and the count is told as soon as lines pass again.
"""

from __future__ import annotations

import fcntl
import os

from crankhinge.runtime._clock import steady_s

# Ordinary lines a second that are kept, and how many may come at once. An instance at its peak
# answers some 60 requests a second with two lines each.
MAX_ORDINARY_LINES_PER_S = 400.0
MAX_ORDINARY_BURST_LINES = 2000.0
# Bytes kept for a reader that has stopped; two seconds of an instance at its peak.
MAX_PENDING_BYTES = 128 * 1024
_ORDINARY_LEVELS = (" level=info ", " level=debug ")


class LineSink:
    """A text stream for a logger, bounded in rate and in memory.

    Args:
        fd: the descriptor; it is made non-blocking.
    """

    def __init__(self, fd: int) -> None:
        fcntl.fcntl(fd, fcntl.F_SETFL, fcntl.fcntl(fd, fcntl.F_GETFL) | os.O_NONBLOCK)
        self.dropped = 0
        self._fd = fd
        self._pending = bytearray()
        self._allowed_lines = MAX_ORDINARY_BURST_LINES
        self._refilled_at = steady_s()

    def write(self, text: str) -> int:
        """Take a line; it is written at once if the reader keeps up."""
        if self._must_drop(text):
            self.dropped += 1
            return 0
        if self.dropped:
            self._pending += f"event=lines_dropped level=warning count={self.dropped}\n".encode()
            self.dropped = 0
        self._pending += text.encode()
        return len(text)

    def _must_drop(self, text: str) -> bool:
        """Whether the line has to be left out."""
        if len(self._pending) + len(text) > MAX_PENDING_BYTES:
            return True
        if not any(mark in text for mark in _ORDINARY_LEVELS):
            return False
        now = steady_s()
        self._allowed_lines = min(
            MAX_ORDINARY_BURST_LINES,
            self._allowed_lines + (now - self._refilled_at) * MAX_ORDINARY_LINES_PER_S,
        )
        self._refilled_at = now
        if self._allowed_lines < 1.0:
            return True
        self._allowed_lines -= 1.0
        return False

    def flush(self) -> None:
        """Write what the reader takes."""
        try:
            while self._pending:
                del self._pending[: os.write(self._fd, self._pending)]
        except BlockingIOError:
            # The reader is behind; what is pending goes out with a later line.
            return
        except OSError:
            # Nobody reads any more, so nobody can be told either.
            self._pending.clear()
