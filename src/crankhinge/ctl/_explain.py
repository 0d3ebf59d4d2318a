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
_FRAME = frozenset({"ts", "level", "program", "event", "request", "name"})
# Events that change what an instance believes; the last of each kind before the request counts.
_BELIEFS = frozenset(
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
_OF_SERVERS = {
    "server_seen": "entry",
    "server_gone": "entry",
    "server_limit": "limit",
    "server_leaves": "leave",
    "server_rests": "rest",
}

Pairs = dict[str, str]


@dataclass
class _Story:
    """What one log says of a request."""

    beliefs: dict[str, Pairs] = field(default_factory=dict)
    servers: dict[tuple[str, str], Pairs] = field(default_factory=dict)
    quarantines: dict[str, Pairs] = field(default_factory=dict)
    lines: list[Pairs] = field(default_factory=list)


def explain(args: argparse.Namespace) -> str:
    """Return the story of one request across logs.

    Raises:
        SettingsError: a log can't be read.
        RequestNotFound: no log has a line about the request.
    """
    parts = []
    for name in args.logs:
        story = _read(Path(name), args.request)
        if story.lines:
            parts.append("\n".join(_tell(name, story)))
    if not parts:
        raise RequestNotFound(f"no line about {args.request} in {len(args.logs)} logs")
    return "\n\n".join(parts)


def _read(path: Path, request: str) -> _Story:
    story = _Story()
    try:
        with path.open(encoding="utf-8", errors="replace") as file:
            for line in file:
                _note(story, parse_line(line), request)
    except OSError as exc:
        raise SettingsError(f"{path}: cannot be read: {exc.strerror}") from exc
    return story


def _note(story: _Story, pairs: Pairs, request: str) -> None:
    if pairs.get("request") == request:
        story.lines.append(pairs)
        return
    if story.lines:
        # What is believed later did not decide the request's first step; it may the next ones.
        if pairs.get("server") in _servers_of(story) and "request" not in pairs:
            story.lines.append(pairs)
        return
    event = pairs.get("event", "")
    if event in _BELIEFS:
        story.beliefs[f"{event} {pairs.get('what', '')}"] = pairs
    elif event in _OF_SERVERS:
        story.servers[pairs.get("server", ""), _OF_SERVERS[event]] = pairs
    elif event in ("request_quarantined", "request_cleared"):
        story.quarantines[pairs.get("fingerprint", "")] = pairs


def _servers_of(story: _Story) -> set[str]:
    keys = ("server", "reader")
    return {pairs[key] for pairs in story.lines for key in keys if key in pairs}


def _tell(name: str, story: _Story) -> Iterator[str]:
    yield f"{name}:"
    first = _time(story.lines[0])
    for pairs in story.beliefs.values():
        yield _line("believed", first, pairs)
    for ident in sorted(_servers_of(story)):
        for what in dict.fromkeys(_OF_SERVERS.values()):
            if (ident, what) in story.servers:
                yield _line("believed", first, story.servers[ident, what])
    for fingerprint in sorted({pairs.get("fingerprint", "") for pairs in story.lines}):
        if fingerprint in story.quarantines:
            yield _line("believed", first, story.quarantines[fingerprint])
    for pairs in story.lines:
        yield _line("happened", first, pairs)


def _line(kind: str, first: float, pairs: Pairs) -> str:
    rest = " ".join(f"{key}={value}" for key, value in pairs.items() if key not in _FRAME)
    return f"  {kind} {_time(pairs) - first:+9.3f} s  {pairs.get('event', '?')}  {rest}"


def _time(pairs: Pairs) -> float:
    try:
        return datetime.fromisoformat(pairs["ts"]).timestamp()
    except (KeyError, ValueError):
        # A line without a readable time is shown at the beginning.
        return 0.0
