"""Settings files, command line and the main loop that every binary shares."""

from __future__ import annotations

import argparse
import logging
import signal
import socket
import sys
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

import curio
import curio.io
import msgspec

from crankhinge import __version__
from crankhinge.errors import CrankhingeError, SettingsError
from crankhinge.runtime._clock import use_steady_clock_in_curio
from crankhinge.runtime._logs import get_log

EXIT_BAD_INPUT = 2
# Seconds between looks at the settings file, for changes that come without a signal.
SETTINGS_POLL_S = 1.0
# Signals taken from the wake-up descriptor at once.
MAX_SIGNALS_PER_READ = 64

S = TypeVar("S", bound=msgspec.Struct)


def load_settings(path: str, settings_type: type[S]) -> S:
    """Read a TOML settings file into a validated *settings_type*.

    Raises:
        SettingsError: naming the file, the key and the reason.
    """
    try:
        data = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as exc:
        raise SettingsError(f"{path}: cannot be read: {exc.strerror}") from exc
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as exc:
        raise SettingsError(f"{path}: not TOML: {exc}") from exc
    try:
        return msgspec.convert(data, settings_type)
    except msgspec.ValidationError as exc:
        raise SettingsError(f"{path}: {exc}") from exc


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
    """Parse the command line, read the settings and run *serve* until a signal.

    Args:
        program: name of the binary.
        description: one line for ``--help``.
        settings_type: the settings model.
        serve: the program; it returns once drained after SIGTERM.
        argv: arguments; those of the process by default.
        log: for events; lines on standard error by default.
        on_reload: given the new settings after SIGHUP, and when the file changed without one.

    Returns:
        The exit status: 0, or 2 for bad input.
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
    # curio warns of each operation that ends just after its time-out; nothing is wrong with that.
    logging.getLogger("curio").setLevel(logging.ERROR)
    reader = _SettingsReloader(args.settings, settings_type, log, on_reload) if on_reload else None
    use_steady_clock_in_curio()
    try:
        curio.run(_serve_until_signal, serve, settings, log, reader)
    except CrankhingeError as exc:
        log.error("stopped", kind=type(exc).__name__, why=exc.detail)
        return 1
    return 0


class _SettingsReloader:
    """Reads a settings file again when it has changed.

    Settings that can't be read change nothing: the process goes on with those it has.
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
        try:
            stat = Path(self._path).stat()
        except OSError as exc:
            self._log.warning("settings_unreadable", path=self._path, why=str(exc))
            return (0, 0)
        return stat.st_mtime_ns, stat.st_size

    def reload(self, *, cause: str) -> None:
        """Read the file and hand the settings on."""
        self._last_stamp = self._read_stamp()
        try:
            settings = load_settings(self._path, self._settings_type)
        except SettingsError as exc:
            self._log.error("reload_failed", cause=cause, why=exc.detail)
            return
        self._log.info("reloaded", cause=cause, path=self._path)
        self._on_reload(settings)

    async def poll_file(self) -> None:
        """Look for a change that no signal told of, until cancelled."""
        while True:
            await curio.sleep(SETTINGS_POLL_S)
            if self._read_stamp() != self._last_stamp:
                self.reload(cause="file")


@dataclass(frozen=True)
class _SignalPipe:
    """Where signals can be read, each a byte, and where the interpreter writes them."""

    receiver: socket.socket
    sender: socket.socket


async def _serve_until_signal(
    serve: Callable[[S, Any, curio.Event], Awaitable[None]],
    settings: S,
    log: Any,
    reloader: _SettingsReloader | None = None,
) -> None:
    """Run *serve*; the event it is given is set on SIGTERM or SIGINT."""
    stopping = curio.Event()
    # Before the program does anything: until the handlers stand SIGHUP is ignored and lost.
    pipe = _open_signal_pipe()
    watchers = [await curio.spawn(_handle_signals, pipe, stopping, reloader, daemon=True)]
    if reloader is not None:
        watchers.append(await curio.spawn(reloader.poll_file, daemon=True))
    await serve(settings, log, stopping)
    for watcher in watchers:
        await watcher.cancel()


def _open_signal_pipe() -> _SignalPipe:
    """Have signals written to the interpreter's wake-up descriptor."""
    receiver, sender = socket.socketpair()
    receiver.setblocking(False)
    sender.setblocking(False)
    # First of all: a signal between a handler and the descriptor would be lost.
    signal.set_wakeup_fd(sender.fileno())
    for signum in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(signum, lambda *_: None)
    return _SignalPipe(receiver, sender)


async def _handle_signals(
    pipe: _SignalPipe, stopping: curio.Event, reloader: _SettingsReloader | None
) -> None:
    """Act on signals as they come."""
    conn = curio.io.Socket(pipe.receiver)
    try:
        while True:
            for signum in await conn.recv(MAX_SIGNALS_PER_READ):
                if signum != signal.SIGHUP:
                    await stopping.set()
                elif reloader is not None:
                    reloader.reload(cause="sighup")
    finally:
        signal.set_wakeup_fd(-1)
        pipe.sender.close()
        await conn.close()
