"""The story of one request, from the logs of the programs that had to do with it.

Clocks of instances may differ by seconds, so lines are put in order within each log only; each is
shown with its time since the first line about the request in the same log.
"""

from __future__ import annotations

import argparse
from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path

from crankhinge.burn import parse_line
from crankhinge.errors import RequestNotFound, SettingsError

# Keys that say where a line comes from rather than what happened.
_SOURCE_KEYS = frozenset({"ts", "level", "program", "event", "request", "name"})
# Events that change what an instance believes; the last of each kind before the request counts.
_STATE_EVENTS = frozenset(
    {
        "config_in_force",
        "source_lost",
        "source_still_lost",
        "source_regained",
        "history_lost",
        "servers_listed",
        "started",
        "draining",
        "reloaded",
        "lines_dropped",
        "split_wanted",
        "order_given",
        "life_before",
        "members_settled",
        "members_unsettled",
        "note_gone",
    }
)
# What is believed of a server, by the events that change it; told in this order.
_SERVER_STATE_EVENTS = {
    "server_seen": "entry",
    "server_gone": "entry",
    "server_limit": "limit",
    "server_leaves": "leave",
    "server_rests": "rest",
}

Pairs = dict[str, str]


@dataclass
class _RequestLog:
    """What one log says of a request."""

    state: dict[str, Pairs] = field(default_factory=dict)
    server_state: dict[tuple[str, str], Pairs] = field(default_factory=dict)
    quarantines: dict[str, Pairs] = field(default_factory=dict)
    lines: list[Pairs] = field(default_factory=list)


def explain_request(args: argparse.Namespace) -> str:
    """Return the story of one request across logs.

    Raises:
        SettingsError: a log can't be read.
        RequestNotFound: no log has a line about the request.
    """
    parts = []
    for name in args.logs:
        story = _read_log(Path(name), args.request)
        if story.lines:
            parts.append("\n".join(_render_log(name, story)))
    if not parts:
        raise RequestNotFound(f"no line about {args.request} in {len(args.logs)} logs")
    return "\n\n".join(parts)


def _read_log(path: Path, request: str) -> _RequestLog:
    story = _RequestLog()
    try:
        with path.open(encoding="utf-8", errors="replace") as file:
            for line in file:
                _add_line(story, parse_line(line), request)
    except OSError as exc:
        raise SettingsError(f"{path}: cannot be read: {exc.strerror}") from exc
    return story


def _add_line(story: _RequestLog, pairs: Pairs, request: str) -> None:
    if pairs.get("request") == request:
        story.lines.append(pairs)
        return
    if story.lines:
        # What is believed later did not decide the request's first step; it may the next ones.
        if pairs.get("server") in _involved_servers(story) and "request" not in pairs:
            story.lines.append(pairs)
        return
    event = pairs.get("event", "")
    if event in _STATE_EVENTS:
        story.state[f"{event} {pairs.get('what', '')}"] = pairs
    elif event in _SERVER_STATE_EVENTS:
        story.server_state[pairs.get("server", ""), _SERVER_STATE_EVENTS[event]] = pairs
    elif event in ("request_quarantined", "request_cleared"):
        story.quarantines[pairs.get("fingerprint", "")] = pairs


def _involved_servers(story: _RequestLog) -> set[str]:
    keys = ("server", "reader")
    return {pairs[key] for pairs in story.lines for key in keys if key in pairs}


def _render_log(name: str, story: _RequestLog) -> Iterator[str]:
    yield f"{name}:"
    first = _line_time(story.lines[0])
    for pairs in story.state.values():
        yield _render_line("believed", first, pairs)
    for ident in sorted(_involved_servers(story)):
        for what in dict.fromkeys(_SERVER_STATE_EVENTS.values()):
            if (ident, what) in story.server_state:
                yield _render_line("believed", first, story.server_state[ident, what])
    for fingerprint in sorted({pairs.get("fingerprint", "") for pairs in story.lines}):
        if fingerprint in story.quarantines:
            yield _render_line("believed", first, story.quarantines[fingerprint])
    for pairs in story.lines:
        yield _render_line("happened", first, pairs)


def _render_line(kind: str, first: float, pairs: Pairs) -> str:
    rest = " ".join(f"{key}={value}" for key, value in pairs.items() if key not in _SOURCE_KEYS)
    return f"  {kind} {_line_time(pairs) - first:+9.3f} s  {pairs.get('event', '?')}  {rest}"


def _line_time(pairs: Pairs) -> float:
    try:
        return datetime.fromisoformat(pairs["ts"]).timestamp()
    except (KeyError, ValueError):
        # A line without a readable time is shown at the beginning.
        return 0.0
