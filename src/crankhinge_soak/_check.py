"""Checks the invariants of gateways against what callers saw and what backend servers recorded.

An instance is one gateway process under test. An invariant with a time bound applies to an instance
only if no fault hit the instance, its path to the store or the store itself within the last
``FAULT_RECOVERY_S``. An invariant without a time bound always applies.
"""

from __future__ import annotations

import itertools
from collections import defaultdict
from collections.abc import Callable

from crankhinge_soak._faults import InjectedFault
from crankhinge_soak._fleet import (
    GATEWAY_MEMORY_MB,
    LIMIT_BURST_TOKENS,
    LIMIT_TOKENS_PER_S,
    LIMITED_ACCOUNT,
    ONCE_PATH,
    QUOTA_OVERRUN_SHARE,
    QUOTA_SLACK_TOKENS,
    QUOTA_WINDOW_S,
    REVOKE_S,
    ROUTES,
    SAFE_PATH,
    STREAM_PATH,
)
from crankhinge_soak._history import FAULT_RECOVERY_S, History
from crankhinge_soak._load import ObservedRequest
from crankhinge_soak._moves_check import check_moves
from crankhinge_soak._parts_check import check_crash_parts, check_sound_parts
from crankhinge_soak._signals_check import check_backoffs, check_leaving_signals
from crankhinge_soak._streams_check import (
    check_stream_pieces,
    check_stream_versions,
    check_take_ups,
)
from crankhinge_soak._verdict import Verdict, make_verdict

# Seconds after which a server that is leaving gets no new request.
LEAVING_GRACE_S = 2.0
# Seconds after which a published configuration is active on every instance.
CONFIG_PROPAGATION_S = 2.0
# Seconds that a busy machine may add to a time bound.
BUSY_MACHINE_SLACK_S = 1.0
# A request that arrives just as the instance closes the connection gets no response, which is no
# violation. It fails less than this many seconds after it was sent; one that fails later counts as
# cut.
CLOSE_RACE_S = 0.3
# A server that advertises a limit may get more than the limit in any window of LIMIT_WINDOW_S
# seconds: LIMIT_OVERRUN_SHARE of the limit, plus LIMIT_SLACK_REQUESTS requests.
LIMIT_WINDOW_S, LIMIT_OVERRUN_SHARE, LIMIT_SLACK_REQUESTS = 4.0, 0.5, 5
# Minimum share of requests that must succeed after all faults have ended.
MIN_SERVED_SHARE = 0.9
MAX_RUNS = {path: most for path, _, most, _ in ROUTES}
NOT_RUN_STATUSES = (408, 421, 429, 503)


def check(history: History) -> list[Verdict]:
    """Return a verdict for each invariant.

    The names of the invariants appear in reports and never change, so that reports of different
    versions can be compared. The docstring of each check says what the invariant demands.
    """
    checks: dict[str, Callable[[History], tuple[int, list[str]]]] = {
        "whole answer to its own request": _check_responses,
        "no request runs more often than allowed": _check_run_counts,
        "not run is true": _check_not_run_responses,
        "servers run only what callers sent": _check_runs_were_requested,
        "a leaving server gets no new work": _check_leaving_servers,
        "a planned stop cuts nothing": _check_planned_stops,
        "a configuration is in force and never reverts": _check_config_versions,
        "calls go where the configuration sends them": _check_routing,
        "a final answer in time": _check_response_times,
        "no engine memory stays tied": _check_engine_memory,
        "orders come from one holder of a right": _check_orders,
        "served again once all is whole": _check_recovery,
        "no process ends by itself": _check_exits,
        "servers are told the account and never the key": _check_accounts,
        "a key that was taken away runs nothing after its bound": _check_revoked_keys,
        "an account's use stays within its limit": _check_account_limit,
        "a server gets no more than it says it takes": _check_server_limits,
        "a server that says it leaves gets no new work": check_leaving_signals,
        "a server that wants rest gets it": check_backoffs,
        "a moved run works on one engine at a time": check_moves,
        "callers that read nothing fill no memory": _check_memory,
        "a stream goes on at the version that began it": check_stream_versions,
        "the pieces of a stream fit together": check_stream_pieces,
        "streams that are taken up go on": check_take_ups,
        "a part that ends servers is kept from them": check_crash_parts,
        "a part that ends no server is not refused": check_sound_parts,
    }
    return [make_verdict(name, *run_check(history)) for name, run_check in checks.items()]


def _check_responses(history: History) -> tuple[int, list[str]]:
    """Check that each response has the right bytes, and each success a server's signature."""
    answered = [seen for seen in history.seen if seen.status]
    cases = [
        f"{seen.ident} by {seen.gateway}: wrong bytes" for seen in answered if not seen.body_correct
    ]
    cases += [
        f"{seen.ident} by {seen.gateway}: 200 without a server's signature"
        for seen in answered
        if seen.status == 200 and seen.made_by_gateway
    ]
    return len(answered), cases


def _check_run_counts(history: History) -> tuple[int, list[str]]:
    """Check that no request runs on more servers than its route allows."""
    cases = []
    for ident, rows in history.runs.items():
        seen = history.by_ident.get(ident)
        if seen is not None and len(rows) > MAX_RUNS[seen.path]:
            cases.append(f"{ident} on {seen.path}: {len(rows)} runs")
    return len(history.runs), cases


def _check_not_run_responses(history: History) -> tuple[int, list[str]]:
    """Check that a request did not run if its caller got a status that promises so.

    It does not matter whether the status is the instance's own or a server's.
    """
    denials = [
        seen
        for seen in history.seen
        if seen.status in NOT_RUN_STATUSES and seen.path in (ONCE_PATH, STREAM_PATH)
    ]
    cases = [
        f"{seen.ident}: refused with {seen.status}, but ran"
        for seen in denials
        if seen.ident in history.runs
    ]
    return len(denials), cases


def _check_runs_were_requested(history: History) -> tuple[int, list[str]]:
    """Check that a caller sent each request that ran."""
    known = history.by_ident
    # Ids that begin with p are those of probes, which the history keeps apart.
    ran = [ident for ident in history.runs if not ident.startswith("p")]
    return len(ran), [f"{ident}: no caller sent it" for ident in ran if ident not in known]


def _check_leaving_servers(history: History) -> tuple[int, list[str]]:
    """Check that a server gets no new request once its entry says that it leaves, or is gone."""
    leaves = {row["server"]: row["at"] for row in history.rows if row["kind"] == "leaves"}
    cases = []
    for ident, rows in history.arrivals.items():
        seen = history.by_ident.get(ident)
        for row in rows:
            since = leaves.get(row["server"])
            if (
                seen is None
                or since is None
                or row["at"] < since + LEAVING_GRACE_S + BUSY_MACHINE_SLACK_S
            ):
                continue
            path_ok = not history.has_unplanned_fault(
                [history.places[row["server"]]], row["at"] - FAULT_RECOVERY_S, row["at"]
            )
            if path_ok and history.time_bounds_apply(seen.gateway, since, row["at"]):
                cases.append(
                    f"{ident} by {seen.gateway}: {row['at'] - since:.1f} s after it began to leave"
                )
    return len(leaves), cases


def _check_planned_stops(history: History) -> tuple[int, list[str]]:
    """Check that an instance that gets SIGTERM completes all its requests."""
    stops = [t for t in history.troubles if t.kind == "stop" and t.target.startswith("gateway")]
    cases = []
    for stop in stops:
        for seen in history.seen:
            if seen.gateway == stop.target and stop.overlaps(seen.sent, seen.ended):
                cut = _describe_cut(history, seen, stop)
                if cut:
                    cases.append(f"{seen.ident} by {seen.gateway}: {cut}")
    return len(stops), cases


def _describe_cut(history: History, seen: ObservedRequest, stop: InjectedFault) -> str:
    """Return how a planned stop cut a request, or an empty string if it did not."""
    answered = seen.complete and not (seen.made_by_gateway and seen.status == 502)
    if answered or seen.caller_left or seen.failure.startswith("connect-failed"):
        return ""
    raced_close = seen.ended - seen.sent < CLOSE_RACE_S and seen.ident not in history.arrivals
    if raced_close or history.reached_faulty_server(seen) or history.reached_killed_server(seen):
        return ""
    if history.has_unplanned_fault([seen.gateway], seen.sent - FAULT_RECOVERY_S, seen.ended):
        return ""
    at = seen.sent - stop.began
    return (
        f"sent {at:+.1f} s from the stop, "
        f"status {seen.status}, {seen.failure or 'incomplete response'}"
    )


def _check_config_versions(history: History) -> tuple[int, list[str]]:
    """Check that each version becomes active in time, and that no incarnation loses it again."""
    acknowledged = {version: at for at, version, _ in history.acknowledged}
    highest: dict[tuple[str, int], int] = defaultdict(int)
    cases = []
    for probe in sorted(history.probes, key=lambda probe: probe.sent):
        if probe.known is None:
            continue
        incarnation = (probe.gateway, probe.incarnation)
        if probe.known:
            highest[incarnation] = max(highest[incarnation], probe.version)
            continue
        if probe.version <= highest[incarnation]:
            cases.append(
                f"{probe.gateway}: version {probe.version} lost after {highest[incarnation]}"
            )
        since = acknowledged[probe.version]
        late = probe.sent - since - CONFIG_PROPAGATION_S - BUSY_MACHINE_SLACK_S
        if late > 0 and history.time_bounds_apply(probe.gateway, since, probe.sent):
            cases.append(f"{probe.gateway}: version {probe.version} {late:.1f} s late")
    return len(history.acknowledged), cases


def _check_routing(history: History) -> tuple[int, list[str]]:
    """Check that plain calls run at a service that an active configuration names."""
    cases = []
    tested = 0
    for ident, rows in history.runs.items():
        seen = history.by_ident.get(ident)
        if seen is None or seen.path not in (ONCE_PATH, SAFE_PATH):
            continue
        begin = seen.sent - CONFIG_PROPAGATION_S - BUSY_MACHINE_SLACK_S
        if not history.time_bounds_apply(seen.gateway, begin, rows[-1]["at"]):
            continue
        tested += 1
        allowed = _find_allowed_services(history, begin, rows[-1]["at"])
        cases += [
            f"{ident} by {seen.gateway}: ran at {row['service']}"
            for row in rows
            if row["service"] not in allowed
        ]
    return tested, cases


def _find_allowed_services(history: History, begin: float, end: float) -> set[str]:
    """Return the services that plain calls may go to between two times."""
    allowed = set()
    for number, (at, _, service) in enumerate(history.acknowledged):
        following = history.acknowledged[number + 1 :]
        replaced_at = following[0][0] if following else float("inf")
        # A configuration may be active before its publisher has received the store's response.
        if at - BUSY_MACHINE_SLACK_S <= end and replaced_at >= begin:
            allowed.add(service)
    return allowed


def _check_response_times(history: History) -> tuple[int, list[str]]:
    """Check that each request ends by its caller's deadline."""
    cases = [
        f"{seen.ident} by {seen.gateway}: status {seen.status}, no end within "
        f"{seen.ended - seen.sent:.1f} s"
        for seen in history.seen
        if seen.failure == "no end in time"
        and not seen.caller_left
        and not history.has_unplanned_fault(
            [seen.gateway], seen.sent - FAULT_RECOVERY_S, seen.ended
        )
    ]
    return len(history.seen), cases


def _check_engine_memory(history: History) -> tuple[int, list[str]]:
    """Check that no engine keeps KV memory in use after all requests have ended."""
    incomplete = sum(not seen.complete for seen in history.seen)
    return incomplete, [f"{name}: {held} tokens" for name, held in history.held.items() if held]


def _check_orders(history: History) -> tuple[int, list[str]]:
    """Check that all orders with the same fencing token come from one instance."""
    holders: dict[int, set[str]] = defaultdict(set)
    orders = [row for row in history.rows if row["kind"] == "order"]
    for row in orders:
        holders[row["fencing_token"]].add(row["holder"])
    cases = [
        f"fencing token {token}: {names}" for token, names in holders.items() if len(names) > 1
    ]
    return len(orders), cases


def _check_recovery(history: History) -> tuple[int, list[str]]:
    """Check that requests succeed again after all faults have ended."""
    # Requests with a revoked key and those of the account with a limit may be refused. Streams that
    # are taken up have an invariant of their own: a stream that nobody knows is refused again and
    # again, however whole everything is.
    judged = [
        seen
        for seen in history.seen
        if seen.sent >= history.calm_from
        and not seen.caller_left
        and seen.key not in history.revoked
        and seen.account != LIMITED_ACCOUNT
        and not seen.resumes
    ]
    served = sum(seen.status == 200 and seen.complete for seen in judged)
    if judged and served >= MIN_SERVED_SHARE * len(judged):
        return len(judged), []
    failed = [
        f"{s.ident}: {s.status} {s.failure}" for s in judged if s.status != 200 or not s.complete
    ]
    return len(judged), [f"{served} of {len(judged)} served", *failed]


def _check_exits(history: History) -> tuple[int, list[str]]:
    """Check that no process under test exits by itself."""
    return len(history.troubles), history.exits


def _check_memory(history: History) -> tuple[int, list[str]]:
    """Check that no instance exceeds its memory limit while callers read nothing."""
    ran = [seen for seen in history.seen if seen.is_unread and seen.ident in history.runs]
    cases = [
        f"{name}: {peak_mb:.0f} MB, limit {GATEWAY_MEMORY_MB} MB"
        for name, peak_mb in history.peak_memory.items()
        if peak_mb > GATEWAY_MEMORY_MB
    ]
    return len(ran), cases


def _check_accounts(history: History) -> tuple[int, list[str]]:
    """Check that servers receive the account of each request, and never its API key."""
    cases = []
    tested = 0
    for ident, rows in history.arrivals.items():
        seen = history.by_ident.get(ident)
        if seen is None:
            continue
        tested += 1
        cases += [f"{ident}: API key sent to {row['server']}" for row in rows if row["key"]]
        cases += [
            f"{ident}: account {seen.account}, sent as {row['account']!r}"
            for row in rows
            if row["account"] != seen.account
        ]
    return tested, cases


def _check_revoked_keys(history: History) -> tuple[int, list[str]]:
    """Check that no request with a revoked key runs once ``REVOKE_S`` has passed.

    The bound holds even for an instance that is hit by a fault: while it is cut off or paused, or
    while the store sends it nothing.
    """
    late = [
        seen
        for seen in history.seen
        if seen.sent > history.revoked.get(seen.key, float("inf")) + REVOKE_S
    ]
    cases = [
        f"{seen.ident} by {seen.gateway}: "
        f"{seen.sent - history.revoked[seen.key]:.1f} s after it was revoked"
        for seen in late
        if seen.ident in history.runs
    ]
    return len(late), cases


def _check_account_limit(history: History) -> tuple[int, list[str]]:
    """Check the tokens of the account with a limit, summed over all instances.

    For each window, the sum counts the requests that were sent and ran within it.
    """
    allowed = (LIMIT_TOKENS_PER_S * QUOTA_WINDOW_S + LIMIT_BURST_TOKENS) * (
        1 + QUOTA_OVERRUN_SHARE
    ) + QUOTA_SLACK_TOKENS
    requests = [seen for seen in history.seen if seen.account == LIMITED_ACCOUNT]
    ran = [
        (seen.sent, history.runs[seen.ident][0]["at"], seen.tokens)
        for seen in requests
        if seen.ident in history.runs
    ]
    cases = []
    for begin, _, _ in ran:
        end = begin + QUOTA_WINDOW_S
        used = sum(tokens for sent, at, tokens in ran if sent >= begin and at <= end)
        if used > allowed:
            cases.append(
                f"{used} tokens in {QUOTA_WINDOW_S} s from {begin:.1f}, limit {allowed:.0f}"
            )
    return len(requests), cases


def _check_server_limits(history: History) -> tuple[int, list[str]]:
    """Check the number of requests to a server with an advertised limit, summed over all instances.

    The bound holds even for an instance that is hit by a fault. It applies to each window that
    begins at least ``FAULT_RECOVERY_S`` after the first request at which the server advertised its
    limit.
    """
    cases = []
    tested = 0
    for server, per_s, times in _group_by_advertised_limit(history):
        late = [at for at in times if at >= times[0] + FAULT_RECOVERY_S]
        tested += bool(late)
        allowed = per_s * LIMIT_WINDOW_S * (1 + LIMIT_OVERRUN_SHARE) + LIMIT_SLACK_REQUESTS
        for number, begin in enumerate(late):
            got = sum(at <= begin + LIMIT_WINDOW_S for at in late[number:])
            if got > allowed:
                cases.append(f"{server}: {got} in {LIMIT_WINDOW_S} s, limit {per_s} a second")
                break
    return tested, cases


def _group_by_advertised_limit(history: History) -> list[tuple[str, float, list[float]]]:
    """Return each limit that a server advertised: the server, the limit, and arrival times.

    The arrival times are those of the requests that the server got while it advertised the limit.
    """
    rows = [row for row in history.rows if row["kind"] == "arrival"]
    spans = []
    for server in sorted({row["server"] for row in rows}):
        server_rows = [row for row in rows if row["server"] == server]
        for limit, group in itertools.groupby(
            server_rows, key=lambda row: str(row.get("limit", ""))
        ):
            if limit:
                spans.append((server, float(limit), [float(row["at"]) for row in group]))
    return spans
