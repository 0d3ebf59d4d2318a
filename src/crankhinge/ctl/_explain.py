"""``crankhinge-ctl explain``: shows what the logs of the programs contain about one request.

The clocks of instances may differ by seconds, so the lines of different logs are not merged. Each
line is shown with its time relative to the first line about the request in the same log.
"""

from __future__ import annotations

import argparse
from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path

from crankhinge.burn import parse_line
from crankhinge.decisions import part_keys
from crankhinge.errors import RequestNotFound, SettingsError

# Keys that identify the origin or the type of a line. They are left out of the printed pairs.
_SOURCE_KEYS = frozenset({"ts", "level", "program", "event", "request", "name"})
# Events about the state of an instance. The last one of each kind before the request is shown,
# because it determines how the instance handled the request. The members in two of these names are
# the instances of the fleet, not client accounts; `note_gone` is about an instance record.
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
# Events that change what an instance knows of a server, and the aspect that they change: its entry
# in the store, its advertised limit, that it is leaving, or its backoff. The aspects are shown in
# this order.
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
    """What one log contains about a request.

    Attributes:
        state: the last line of each kind of state event before the request.
        server_state: the last line about each server and aspect before the request, by server id
            and aspect (see ``_SERVER_STATE_EVENTS``).
        quarantines: the last line about a quarantine before the request, by the fingerprint of the
            request or the key of a part of its prompt.
        lines: the lines about the request, including those of the instance that placed its runs,
            and later lines about the servers that it involves.
    """

    state: dict[str, Pairs] = field(default_factory=dict)
    server_state: dict[tuple[str, str], Pairs] = field(default_factory=dict)
    quarantines: dict[str, Pairs] = field(default_factory=dict)
    lines: list[Pairs] = field(default_factory=list)


def explain_request(args: argparse.Namespace) -> str:
    """Return what each log contains about the request that the command line names.

    Raises:
        SettingsError: a log cannot be read.
        RequestNotFound: no log contains a line about the request.
    """
    parts = []
    runs = frozenset(
        pairs["run"]
        for name in args.logs
        for pairs in _read_lines(Path(name))
        if pairs.get("request") == args.request and pairs.get("run")
    )
    for name in args.logs:
        log = _read_log(Path(name), args.request, runs)
        if log.lines:
            parts.append("\n".join(_render_log(name, log)))
    if not parts:
        raise RequestNotFound(
            f"no log contains a line about request {args.request} (logs read: {len(args.logs)})"
        )
    return "\n\n".join(parts)


def _read_lines(path: Path) -> Iterator[Pairs]:
    try:
        with path.open(encoding="utf-8", errors="replace") as file:
            for line in file:
                yield parse_line(line)
    except OSError as exc:
        raise SettingsError(f"{path}: cannot be read: {exc.strerror}") from exc


def _read_log(path: Path, request: str, runs: frozenset[str]) -> _RequestLog:
    log = _RequestLog()
    for pairs in _read_lines(path):
        _add_line(log, pairs, request, runs)
    return log


def _add_line(log: _RequestLog, pairs: Pairs, request: str, runs: frozenset[str]) -> None:
    if pairs.get("request") == request or pairs.get("run") in runs:
        log.lines.append(pairs)
        return
    if "run" in pairs:
        # The run of another request.
        return
    if log.lines:
        # A later state change cannot have influenced the first step of the request, but a change
        # of an involved server may have influenced the following steps.
        if pairs.get("server") in _involved_servers(log) and "request" not in pairs:
            log.lines.append(pairs)
        return
    event = pairs.get("event", "")
    if event in _STATE_EVENTS:
        log.state[f"{event} {pairs.get('what', '')}"] = pairs
    elif event in _SERVER_STATE_EVENTS:
        log.server_state[pairs.get("server", ""), _SERVER_STATE_EVENTS[event]] = pairs
    elif event in ("request_quarantined", "request_cleared"):
        log.quarantines[pairs.get("fingerprint", "")] = pairs


def _involved_servers(log: _RequestLog) -> set[str]:
    # Under `reader`, gateways log the prefill engine of a request.
    keys = ("server", "reader")
    return {pairs[key] for pairs in log.lines for key in keys if key in pairs}


def _work_keys(log: _RequestLog) -> set[str]:
    """Return the fingerprint of the request, and the keys of the parts that its lines name."""
    keys = {pairs.get("fingerprint", "") for pairs in log.lines}
    for pairs in log.lines:
        # The line names the last part as well, which has no key.
        parts = (*pairs.get("parts", "").split(","), "")
        for at_engine in (True, False):
            keys |= set(part_keys(parts, at_engine=at_engine))
    return keys


def _render_log(name: str, log: _RequestLog) -> Iterator[str]:
    """Yield the lines of the report on one log.

    They are labelled `believed` for the state before the request, which may have been outdated, and
    `happened` for the events of the request.
    """
    yield f"{name}:"
    start_s = _line_time(log.lines[0])
    for pairs in log.state.values():
        yield _render_line("believed", start_s, pairs)
    for server in sorted(_involved_servers(log)):
        for aspect in dict.fromkeys(_SERVER_STATE_EVENTS.values()):
            if (server, aspect) in log.server_state:
                yield _render_line("believed", start_s, log.server_state[server, aspect])
    for key in sorted(_work_keys(log)):
        if key in log.quarantines:
            yield _render_line("believed", start_s, log.quarantines[key])
    for pairs in log.lines:
        yield _render_line("happened", start_s, pairs)


def _render_line(label: str, start_s: float, pairs: Pairs) -> str:
    details = " ".join(f"{key}={value}" for key, value in pairs.items() if key not in _SOURCE_KEYS)
    return f"  {label} {_line_time(pairs) - start_s:+9.3f} s  {pairs.get('event', '?')}  {details}"


def _line_time(pairs: Pairs) -> float:
    try:
        return datetime.fromisoformat(pairs["ts"]).timestamp()
    except (KeyError, ValueError):
        # Without a readable timestamp, the line is shown as if it were at the epoch.
        return 0.0
