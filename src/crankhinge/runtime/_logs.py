"""Structured logs: one line of ``key=value`` pairs per event, on standard error by default."""

from __future__ import annotations

import sys
from typing import Any, Protocol, TextIO, cast

import structlog


class LineStream(Protocol):
    """Output for log lines: a text file, or a :class:`LineSink` that never blocks."""

    def write(self, text: str, /) -> int:
        """Accept text and return the number of accepted characters."""

    def flush(self) -> None:
        """Write out accepted text."""


Log = structlog.stdlib.BoundLogger

_REDACTED_FIELDS = frozenset({"authorization", "credential", "private_key", "secret", "token"})


def _redact(_: Any, __: str, event: Any) -> Any:
    """Replace the value of every field that may hold a secret (a structlog processor)."""
    for key in _REDACTED_FIELDS & event.keys():
        event[key] = "[redacted]"
    return event


def get_log(*, program: str, stream: LineStream | None = None, **fields: object) -> Any:
    """Return a new logger that writes lines in logfmt.

    Args:
        program: name of the program, added to each line.
        stream: output for the lines; standard error by default.
        fields: further key=value pairs, added to each line.
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
