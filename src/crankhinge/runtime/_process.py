"""Settings file, command line, signals and main loop that all programs share."""

from __future__ import annotations

import argparse
import logging
import signal
import socket
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

import curio
import curio.io
import msgspec

from crankhinge import __version__
from crankhinge.decoding import decode_toml
from crankhinge.errors import CrankhingeError, SettingsError, Undecodable
from crankhinge.runtime._clock import use_steady_clock_in_curio
from crankhinge.runtime._logs import get_log

EXIT_BAD_INPUT = 2
# Seconds between two checks whether the settings file has changed. An operator may replace the file
# without sending SIGHUP.
SETTINGS_POLL_S = 1.0
# How many signals, a byte each, one read of the wake-up descriptor returns at most.
MAX_SIGNALS_PER_READ = 64

S = TypeVar("S", bound=msgspec.Struct)


def load_settings(path: str, settings_type: type[S]) -> S:
    """Read a TOML settings file and return it as a validated *settings_type*.

    Raises:
        SettingsError: the file cannot be read or is invalid; the detail states the file, the key
            and the reason.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as exc:
        raise SettingsError(f"{path}: cannot be read: {exc.strerror}") from exc
    except UnicodeDecodeError as exc:
        raise SettingsError(f"{path}: not TOML: {exc}") from exc
    try:
        return decode_toml(text, settings_type)
    except Undecodable as exc:
        raise SettingsError(f"{path}: {exc.detail}") from exc


def run_process(
    *,
    program: str,
    description: str,
    settings_type: type[S],
    serve: Callable[[S, Any, curio.Event], Awaitable[None]],
    argv: list[str] | None = None,
    log: Any = None,
    on_reload: Callable[[S], None] | None = None,
) -> int:
    """Parse the command line, read the settings and run *serve* until a signal ends it.

    Args:
        program: name of the program.
        description: one line for ``--help``.
        settings_type: the msgspec struct that the settings file is decoded into.
        serve: runs the program, given the settings, the log, and an event that is set on SIGTERM
            or SIGINT; it returns once the program has drained.
        argv: command-line arguments; those of the process by default.
        log: logger for events; by default it writes lines to standard error.
        on_reload: called with the new settings after SIGHUP and after a change of the settings
            file; None ignores both.

    Returns:
        The exit status: 0 after a normal stop, 1 after a :class:`CrankhingeError`, 2 for invalid
        settings.
    """
    parser = argparse.ArgumentParser(prog=program, description=description)
    parser.add_argument("settings", help="TOML settings file")
    parser.add_argument("--check", action="store_true", help="check the settings and exit")
    parser.add_argument("--version", action="version", version=f"{program} {__version__}")
    args = parser.parse_args(argv)
    try:
        settings = load_settings(args.settings, settings_type)
    except SettingsError as exc:
        print(f"{program}: {exc.detail}", file=sys.stderr)
        return EXIT_BAD_INPUT
    if args.check:
        print(f"{args.settings}: ok")
        return 0
    log = log or get_log(program=program)
    # curio warns about each operation that finishes just after its timeout, which is harmless.
    logging.getLogger("curio").setLevel(logging.ERROR)
    reloader = (
        _SettingsReloader(args.settings, settings_type, log, on_reload) if on_reload else None
    )
    use_steady_clock_in_curio()
    try:
        curio.run(_serve_until_signal, serve, settings, log, reloader)
    except CrankhingeError as exc:
        log.error("stopped", kind=type(exc).__name__, why=exc.detail)
        return 1
    return 0


class _SettingsReloader:
    """Reloads the settings file after SIGHUP and when the file changes.

    If the new settings cannot be read, the process keeps its current ones.
    """

    def __init__(
        self, path: str, settings_type: type[S], log: Any, on_reload: Callable[[S], None]
    ) -> None:
        self._path = path
        self._settings_type = settings_type
        self._log = log
        self._on_reload = on_reload
        self._last_stamp = self._read_stamp()

    def _read_stamp(self) -> tuple[int, int]:
        """Return the settings file's modification time in nanoseconds and its size in bytes."""
        try:
            stat = Path(self._path).stat()
        except OSError as exc:
            self._log.warning("settings_unreadable", path=self._path, why=str(exc))
            return (0, 0)
        return stat.st_mtime_ns, stat.st_size

    def reload(self, *, cause: str) -> None:
        """Read the settings file and pass valid settings to the program; *cause* is logged."""
        self._last_stamp = self._read_stamp()
        try:
            settings = load_settings(self._path, self._settings_type)
        except SettingsError as exc:
            self._log.error("reload_failed", cause=cause, why=exc.detail)
            return
        self._log.info("reloaded", cause=cause, path=self._path)
        self._on_reload(settings)

    async def poll_file(self) -> None:
        """Reload the settings whenever the file's time or size changes, until cancelled."""
        while True:
            await curio.sleep(SETTINGS_POLL_S)
            if self._read_stamp() != self._last_stamp:
                self.reload(cause="file")


@dataclass(frozen=True)
class _SignalPipe:
    """A socket pair that carries signals, one byte each.

    Attributes:
        receiver: end from which the program reads signals.
        sender: end to which the interpreter writes them.
    """

    receiver: socket.socket
    sender: socket.socket


async def _serve_until_signal(
    serve: Callable[[S, Any, curio.Event], Awaitable[None]],
    settings: S,
    log: Any,
    reloader: _SettingsReloader | None = None,
) -> None:
    """Run *serve* with an event that is set on SIGTERM or SIGINT."""
    stopping = curio.Event()
    # The signal handlers are installed before the program runs: until then, SIGHUP is ignored.
    pipe = _open_signal_pipe()
    watchers = [await curio.spawn(_handle_signals, pipe, stopping, reloader, daemon=True)]
    if reloader is not None:
        watchers.append(await curio.spawn(reloader.poll_file, daemon=True))
    await serve(settings, log, stopping)
    for watcher in watchers:
        await watcher.cancel()


def _open_signal_pipe() -> _SignalPipe:
    """Install handlers so that the interpreter writes signals to a socket pair."""
    receiver, sender = socket.socketpair()
    receiver.setblocking(False)
    sender.setblocking(False)
    # The descriptor is set before the handlers; a signal that came in between would be lost.
    signal.set_wakeup_fd(sender.fileno())
    for signum in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(signum, lambda *_: None)
    return _SignalPipe(receiver, sender)


async def _handle_signals(
    pipe: _SignalPipe, stopping: curio.Event, reloader: _SettingsReloader | None
) -> None:
    """Set *stopping* on SIGTERM or SIGINT and reload the settings on SIGHUP."""
    signal_socket = curio.io.Socket(pipe.receiver)
    try:
        while True:
            for signum in await signal_socket.recv(MAX_SIGNALS_PER_READ):
                if signum != signal.SIGHUP:
                    await stopping.set()
                elif reloader is not None:
                    reloader.reload(cause="sighup")
    finally:
        signal.set_wakeup_fd(-1)
        pipe.sender.close()
        await signal_socket.close()
