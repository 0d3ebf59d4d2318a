"""Settings files, command line and the main loop that every binary shares."""

from __future__ import annotations

import argparse
import signal
import socket
import sys
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, TypeVar

import curio
import curio.io
import msgspec

from crankhinge import __version__
from crankhinge.errors import CrankhingeError, SettingsError
from crankhinge.runtime._logs import get_log

EXIT_BAD_INPUT = 2

S = TypeVar("S", bound=msgspec.Struct)


def load_settings(path: str, model: type[S]) -> S:
    """Read a TOML settings file into a validated *model*.

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
        return msgspec.convert(data, model)
    except msgspec.ValidationError as exc:
        raise SettingsError(f"{path}: {exc}") from exc


def run_process(
    *,
    program: str,
    about: str,
    model: type[S],
    serve: Callable[[S, Any, curio.Event], Awaitable[None]],
    argv: list[str] | None = None,
) -> int:
    """Parse the command line, read the settings and run *serve* until a signal.

    Args:
        program: name of the binary.
        about: one line for ``--help``.
        model: the settings model.
        serve: the program; it returns once drained after SIGTERM.

    Returns:
        The exit status: 0, or 2 for bad input.
    """
    parser = argparse.ArgumentParser(prog=program, description=about)
    parser.add_argument("settings", help="TOML settings file")
    parser.add_argument("--check", action="store_true", help="check the settings and exit")
    parser.add_argument("--version", action="version", version=f"{program} {__version__}")
    args = parser.parse_args(argv)
    try:
        settings = load_settings(args.settings, model)
    except SettingsError as exc:
        print(f"{program}: {exc.detail}", file=sys.stderr)
        return EXIT_BAD_INPUT
    if args.check:
        print(f"{args.settings}: ok")
        return 0
    log = get_log(program=program)
    try:
        curio.run(_until_signal, serve, settings, log)
    except CrankhingeError as exc:
        log.error("stopped", kind=type(exc).__name__, why=exc.detail)
        return 1
    return 0


async def _until_signal(
    serve: Callable[[S, Any, curio.Event], Awaitable[None]], settings: S, log: Any
) -> None:
    """Run *serve*; the event it is given is set on SIGTERM or SIGINT."""
    stopping = curio.Event()
    watcher = await curio.spawn(_watch_signals, stopping, daemon=True)
    await serve(settings, log, stopping)
    await watcher.cancel()


async def _watch_signals(stopping: curio.Event) -> None:
    """Set *stopping* when a signal arrives, by way of the interpreter's wake-up descriptor."""
    receiver, sender = socket.socketpair()
    receiver.setblocking(False)
    sender.setblocking(False)
    for signum in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signum, lambda *_: None)
    signal.set_wakeup_fd(sender.fileno())
    conn = curio.io.Socket(receiver)
    try:
        await conn.recv(1)
        await stopping.set()
    finally:
        signal.set_wakeup_fd(-1)
        sender.close()
        await conn.close()
