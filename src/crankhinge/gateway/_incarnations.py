"""Asks servers that may have restarted for their incarnation, before streams are sent to them."""

from __future__ import annotations

import enum
import math
from collections import defaultdict
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import curio

from crankhinge.decisions import (
    IncarnationDoubts,
    ListState,
    Server,
    ServerList,
)
from crankhinge.errors import BadHttp, ServerBarred
from crankhinge.gateway._backends import Backends
from crankhinge.gateway._request import Relay
from crankhinge.http import ConnectFailed
from crankhinge.runtime import Metrics

# State of a list that has no entry of a server.
NOTHING_LISTED = ListState(confirmed_at=-math.inf, is_current=False, age_s=math.inf)

OnRestart = Callable[[Server, int], Awaitable[None]]


class IncarnationUnproven(ConnectFailed):
    """A server did not say whether it is the listed incarnation; the request was not sent."""

    code = "incarnation-unproven"


class _Outcome(enum.Enum):
    """What a server said when it was asked for its incarnation.

    Attributes:
        SAME: it is the listed incarnation.
        RESTARTED: it is a later one.
        REPLACED: it is another server, or an incarnation that seems earlier.
        UNTOLD: its reports do not tell its start time.
        SILENT: it gave no report.
    """

    SAME = "same"
    RESTARTED = "restarted"
    REPLACED = "replaced"
    UNTOLD = "untold"
    SILENT = "silent"


class IncarnationChecks:
    """Checks that a connection leads to the listed incarnation of a server.

    Only streams that may be taken up are checked: they go on at the software version that began
    them, and the version is known from the entry of one incarnation.

    Args:
        backends: the backend servers.
        servers: the list of servers.
        list_state: returns how far the list can be relied upon at a time.
        on_restart: called with a server and the start time of its later incarnation.
        log: log for events.
        metrics: registry for counters.
    """

    def __init__(
        self,
        *,
        backends: Backends,
        servers: ServerList,
        list_state: Callable[[float], ListState],
        on_restart: OnRestart,
        log: Any,
        metrics: Metrics,
    ) -> None:
        self._backends = backends
        self._servers = servers
        self._list_state = list_state
        self._on_restart = on_restart
        self._log = log
        self._metrics = metrics
        self._doubts = IncarnationDoubts()
        # One report at a time is asked for of each server, for all requests that wait for it.
        self._locks: defaultdict[str, curio.Lock] = defaultdict(curio.Lock)
        # When each server last gave no report, so that a silent one delays no request twice.
        self._unproven_at: dict[str, float] = {}

    async def remove_server(self, incarnation_id: str) -> None:
        """Forget a server that is gone."""
        self._doubts.remove(incarnation_id)
        self._locks.pop(incarnation_id, None)
        self._unproven_at.pop(incarnation_id, None)

    def record_broken(self, server: Server, now: float) -> None:
        """Record that a connection was refused, reset or closed by the server."""
        if self._backends.is_listed(server.incarnation_id):
            self._doubts.record_broken(server.incarnation_id, now)

    def certain_until(self, incarnation_id: str, now: float) -> float:
        """Return the time until which requests certainly reached an incarnation."""
        return self._doubts.certain_until(incarnation_id, self._list_state(now))

    async def check(
        self, relay: Relay, server: Server, opened_at: float, *, has_copy: bool = False
    ) -> None:
        """Check the connection on which a stream is about to be sent.

        Args:
            relay: the request.
            server: the server.
            opened_at: when the connection was opened, on the runtime's clock.
            has_copy: whether the server has a copy of the run, which it has not after a restart.

        Raises:
            ServerBarred: the server has restarted, or another one has its address.
            IncarnationUnproven: it did not say which incarnation it is.
        """
        if not (server.started_ms and relay.route.resumable and relay.request.request_id):
            # Without a start time, each incarnation has a name of its own, which servers check.
            return
        name, entered_at = server.incarnation_id, await curio.clock()
        # A stream that is continued is rare, and would be joined at once.
        is_bound = bool(relay.version) and not has_copy
        if not self._is_doubtful(server, opened_at, entered_at, is_bound=is_bound):
            return
        self._check_listed(server, entered_at)
        async with self._locks[name]:
            now = await curio.clock()
            self._check_listed(server, now)
            if not self._is_doubtful(server, opened_at, now, is_bound=is_bound):
                return
            if self._unproven_at.get(name, -math.inf) >= entered_at:
                raise IncarnationUnproven(f"{name} gave no report")
            await self._ask(relay, server, now)

    async def check_broken(self, relay: Relay, server: Server, opened_at: float) -> None:
        """Learn of a restart that nothing has shown, before a broken stream goes on elsewhere.

        Args:
            relay: the request, whose stream has broken off.
            server: the server.
            opened_at: when the connection was opened, on the runtime's clock.
        """
        if not (server.started_ms and relay.route.resumable and relay.request.request_id):
            return
        name, entered_at = server.incarnation_id, await curio.clock()
        async with self._locks[name]:
            now = await curio.clock()
            is_certain = opened_at <= self.certain_until(name, now)
            is_silent = self._unproven_at.get(name, -math.inf) >= entered_at
            if is_certain or is_silent or not self._backends.is_listed(name):
                return
            try:
                await self._ask(relay, server, now)
            except (ServerBarred, IncarnationUnproven):
                # What the report shows is recorded. Without one, the entry counts.
                pass

    def _check_listed(self, server: Server, now: float) -> None:
        reason = self._backends.exclusion_reason(server, now)
        if reason is not None:
            raise ServerBarred(f"{server.incarnation_id}: {reason.value}")

    def _is_doubtful(self, server: Server, opened_at: float, now: float, *, is_bound: bool) -> bool:
        self.record_broken(server, self._backends.client(server).broken_at)
        name = server.incarnation_id
        # The list says nothing of a server whose entry has lapsed, however current it is.
        is_suspect = self._servers.is_suspect(name)
        list_state = NOTHING_LISTED if is_suspect else self._list_state(now)
        is_doubtful = partial(self._doubts.is_doubtful, name, opened_at, list_state)
        if is_bound or not is_doubtful(is_mixed=True):
            return is_doubtful(is_mixed=True)
        return is_doubtful(is_mixed=len(self._servers.versions(server.service)) > 1)

    async def _ask(self, relay: Relay, server: Server, asked_at: float) -> None:
        dialect = self._backends.dialect
        resp = await self._backends.side_call(server, dialect.engine_state_call())
        started_ms: int | None = None
        outcome = _Outcome.SILENT
        if resp is not None and dialect.parse_signals(resp.status, resp.headers).wrong_server:
            outcome = _Outcome.REPLACED
        elif resp is not None:
            try:
                started_ms = dialect.parse_started_ms(resp.status, resp.body)
            except BadHttp:
                pass
            else:
                outcome = _outcome(server, started_ms)
        self._metrics.count(f"incarnations_{outcome.value}")
        self._log.info(
            "incarnation_asked",
            server=server.incarnation_id,
            request=relay.request.request_id,
            version=server.version,
            bound=relay.version,
            list_age_s=round(self._list_state(asked_at).age_s, 3),
            outcome=outcome.value,
            took_s=round(await curio.clock() - asked_at, 3),
        )
        if outcome is _Outcome.SAME:
            self._doubts.record_proven(server.incarnation_id, asked_at)
            return
        is_current = self._list_state(asked_at).is_current
        if outcome is _Outcome.UNTOLD and (is_current or not relay.version):
            # Its reports tell no start time, so nothing but its entry tells its version.
            return
        if outcome in (_Outcome.SILENT, _Outcome.UNTOLD):
            self._unproven_at[server.incarnation_id] = await curio.clock()
            raise IncarnationUnproven(f"{server.incarnation_id} does not tell its start time")
        if started_ms is not None and outcome is _Outcome.RESTARTED:
            await self._on_restart(server, started_ms)
        else:
            self._backends.record_replaced(server)
        raise ServerBarred(f"{server.incarnation_id}: {outcome.value}")


def _outcome(server: Server, started_ms: int | None) -> _Outcome:
    if started_ms is None:
        return _Outcome.UNTOLD
    if started_ms == server.started_ms:
        return _Outcome.SAME
    # Entries of an incarnation with an earlier start time are taken for late ones.
    return _Outcome.RESTARTED if started_ms > server.started_ms else _Outcome.REPLACED
