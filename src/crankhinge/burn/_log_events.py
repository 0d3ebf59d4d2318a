"""Parses log lines, one of key=value pairs per event, and reads the entries' logs of requests."""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path

from crankhinge.errors import SettingsError

_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
# Events with which entries log the end of a request.
_END_EVENTS = frozenset({"answered", "request_failed", "caller_gone"})


@dataclass(frozen=True)
class RequestEvent:
    """The end of one request.

    Attributes:
        ended_at: time of the end, in seconds since the epoch.
        member: name of the client account; empty if the request ended before it was known.
        model: name of the model; empty for a call of a plain service.
        cause: code of the failure; empty if the request was answered.
        first_token_s: seconds from the start of the request to the first token.
        between_tokens_s: mean number of seconds between tokens.
        prefill_tokens: number of prompt tokens that engines prefilled for the request.
        wasted_prefill_tokens: number of these tokens whose prefill was not used.
    """

    ended_at: float
    member: str
    model: str
    cause: str
    first_token_s: float
    between_tokens_s: float
    prefill_tokens: int
    wasted_prefill_tokens: int


def parse_line(line: str) -> dict[str, str]:
    """Return the key=value pairs of a log line, with quoted values unquoted."""
    return {key: _unquote(value) for key, value in _PAIR.findall(line)}


def _unquote(value: str) -> str:
    if value.startswith('"'):
        return value[1:-1].replace('\\"', '"').replace("\\\\", "\\")
    return value


def read_events(paths: Iterable[Path]) -> list[RequestEvent]:
    """Return the ends of requests from all files, sorted by time.

    Raises:
        SettingsError: a file cannot be read.
    """
    events = [event for path in paths for event in _read_file(path)]
    return sorted(events, key=lambda event: event.ended_at)


def _read_file(path: Path) -> Iterator[RequestEvent]:
    try:
        with path.open(encoding="utf-8", errors="replace") as file:
            for line in file:
                event = _parse_event(parse_line(line))
                if event is not None:
                    yield event
    except OSError as exc:
        raise SettingsError(f"{path}: cannot be read: {exc.strerror}") from exc


def _parse_event(pairs: dict[str, str]) -> RequestEvent | None:
    if pairs.get("event") not in _END_EVENTS or "ts" not in pairs:
        return None
    try:
        return RequestEvent(
            ended_at=datetime.fromisoformat(pairs["ts"]).timestamp(),
            member=pairs.get("member", ""),
            model=pairs.get("model", ""),
            cause=_failure_cause(pairs),
            first_token_s=float(pairs.get("first_ms", 0)) / 1000,
            between_tokens_s=float(pairs.get("gap_ms", 0)) / 1000,
            prefill_tokens=int(pairs.get("read_tokens", 0)),
            wasted_prefill_tokens=int(pairs.get("wasted_tokens", 0)),
        )
    except ValueError:
        return None


def _failure_cause(pairs: dict[str, str]) -> str:
    if pairs["event"] == "answered":
        return ""
    return pairs.get("code", "caller-gone")
