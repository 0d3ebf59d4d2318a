"""Signal set-up for the very start of a process, before slow imports."""

from __future__ import annotations

import signal


def ignore_sighup() -> None:
    """Ignore SIGHUP until the process can handle it; its default action ends the process.

    No change of the settings is lost: the process reads the settings file after this call, and
    later polls the file for changes.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
