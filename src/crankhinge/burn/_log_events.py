"""Reads the programs' logs: one key=value line per event."""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path

from crankhinge.errors import SettingsError

_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
_END_EVENTS = frozenset({"answered", "request_failed", "caller_gone"})


@dataclass(frozen=True)
class RequestEvent:
    """How one request ended.

    Attributes:
        ended_at: seconds since the epoch.
        member: who asked; empty when that wasn't known yet.
        model: what for; empty for a plain service.
        cause: class of the failure; empty for an answer.
        first_token_s: seconds until the first token.
        between_tokens_s: mean seconds between tokens.
        prefill_tokens: prompt tokens computed for it.
        wasted_prefill_tokens: of these, without use.
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
    """Return the key=value pairs of a log line."""
    return {key: _unquote(value) for key, value in _PAIR.findall(line)}


def _unquote(value: str) -> str:
    if value.startswith('"'):
        return value[1:-1].replace('\\"', '"').replace("\\\\", "\\")
    return value


def read_events(paths: Iterable[Path]) -> list[RequestEvent]:
    """Return the requests' ends in all files, in order of time.

    Raises:
        SettingsError: when a file can't be read.
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
