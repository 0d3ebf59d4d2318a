"""What a process does before it imports anything that takes time."""

from __future__ import annotations

import signal


def ignore_sighup() -> None:
    """Ignore SIGHUP until the process can act on it; left alone it ends the process.

    Whatever changed by then is read at the start, and a later change of the file is seen without
    a signal.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
