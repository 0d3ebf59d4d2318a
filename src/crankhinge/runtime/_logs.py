"""One key=value line per event, on standard error."""

from __future__ import annotations

import sys
from typing import Any, Protocol, TextIO, cast

import structlog


class LineStream(Protocol):
    """Where lines go: a text file, or a sink that never waits."""

    def write(self, text: str, /) -> int:
        """Take a line."""

    def flush(self) -> None:
        """Pass on what was taken."""


Log = structlog.stdlib.BoundLogger

_SECRET_KEYS = frozenset({"authorization", "credential", "private_key", "secret", "token"})


def _redact(_: Any, __: str, event: Any) -> Any:
    """Replace the value of every key that names a secret."""
    for key in _SECRET_KEYS & event.keys():
        event[key] = "[redacted]"
    return event


def get_log(*, program: str, stream: LineStream | None = None, **fields: object) -> Any:
    """Return a logger that writes logfmt lines.

    Args:
        program: name of the binary, in each line.
        stream: where lines go; standard error by default.
        fields: key=value pairs in each line.
    """
    return structlog.wrap_logger(
        structlog.WriteLogger(cast(TextIO, stream or sys.stderr)),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True, key="ts"),
            _redact,
            structlog.processors.LogfmtRenderer(
                key_order=["ts", "level", "program", "event"],
                drop_missing=True,
                bool_as_flag=False,
            ),
        ],
    ).bind(program=program, **fields)
