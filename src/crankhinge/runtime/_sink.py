"""Writes log lines to a file descriptor without ever waiting for its reader.

Lines of level warning and above are kept as long as they fit into :data:`MAX_PENDING_BYTES`; lines
of lower levels are also limited in rate. Other lines are dropped and counted, and the next accepted
line is preceded by a line with their number.
"""

from __future__ import annotations

import fcntl
import os

from crankhinge.runtime._clock import steady_s

# Rate and burst size up to which ordinary lines (levels info and debug) are kept. An instance at
# peak load completes about 60 requests per second and logs two lines for each.
MAX_ORDINARY_LINES_PER_S = 400.0
MAX_ORDINARY_BURST_LINES = 2000.0
# How many bytes are buffered while the reader is stopped: two seconds of logs at peak load.
MAX_PENDING_BYTES = 128 * 1024
_ORDINARY_LEVELS = (" level=info ", " level=debug ")


class LineSink:
    """A text stream for a logger, with limits on its rate and memory.

    Args:
        fd: the file descriptor, which is set to non-blocking.

    Attributes:
        dropped: number of lines dropped since the last accepted line.
    """

    def __init__(self, fd: int) -> None:
        fcntl.fcntl(fd, fcntl.F_SETFL, fcntl.fcntl(fd, fcntl.F_GETFL) | os.O_NONBLOCK)
        self.dropped = 0
        self._fd = fd
        self._pending = bytearray()
        self._allowed_lines = MAX_ORDINARY_BURST_LINES
        self._refilled_at = steady_s()

    def write(self, text: str) -> int:
        """Buffer a line for the next :meth:`flush`, or drop it.

        Returns:
            The number of accepted characters: the length of *text*, or 0 if it is dropped.
        """
        if self._must_drop(text):
            self.dropped += 1
            return 0
        if self.dropped:
            self._pending += f"event=lines_dropped level=warning count={self.dropped}\n".encode()
            self.dropped = 0
        self._pending += text.encode()
        return len(text)

    def _must_drop(self, text: str) -> bool:
        """Return whether a line must be dropped; count an ordinary line against the rate."""
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
        """Write buffered bytes until none are left or the descriptor accepts no more."""
        try:
            while self._pending:
                del self._pending[: os.write(self._fd, self._pending)]
        except BlockingIOError:
            # The reader is slow; the remaining bytes are written by a later flush.
            return
        except OSError:
            # The reader is gone, so the buffered lines and a report of their loss are useless.
            self._pending.clear()
