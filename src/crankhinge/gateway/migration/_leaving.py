"""Moves runs away from engines that announce their shutdown."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import curio

from crankhinge.decisions import EngineRole, Server, Service
from crankhinge.decisions.migration import MoveTarget, RunProgress, ordered_targets, runs_to_move
from crankhinge.errors import BadHttp
from crankhinge.gateway._backends import Backends
from crankhinge.gateway._running_streams import RunningStream, RunningStreams
from crankhinge.gateway.migration._handover import MoveOutcome
from crankhinge.gateway.migration._migrator import RunMigrator

# Seconds between checks whether the engine of a run is leaving.
CHECK_INTERVAL_S = 0.1
# Assumed seconds until a leaving engine ends its runs if it does not tell.
UNKNOWN_LEAVE_S = 1.0
# Engines that one run is offered to in a row.
MAX_TARGETS = 3
# Seconds until a run that could not be moved is tried again.
RETRY_PAUSE_S = 0.25


@dataclass
class _LeavingEngine:
    """An engine that is leaving while runs of this instance are on it.

    Attributes:
        ends_at: when it ends its runs, on the runtime's clock.
        retry_at: when runs that could not be moved are tried again, by run id.
    """

    ends_at: float
    retry_at: dict[str, float]


class LeavingRuns:
    """Moves the runs of this instance that would not end before their leaving engine does.

    Args:
        backends: the backend servers.
        running: registry of the streams that run at engines.
        migrator: moves a run.
        is_active: returns whether the runs of a service are moved away.
        log: log for events.
    """

    def __init__(
        self,
        *,
        backends: Backends,
        running: RunningStreams,
        migrator: RunMigrator,
        is_active: Callable[[Service], bool],
        log: Any,
    ) -> None:
        self._backends = backends
        self._running = running
        self._migrator = migrator
        self._is_active = is_active
        self._log = log
        self._being_emptied: set[str] = set()

    async def run(self) -> None:
        """Look for runs at leaving engines until cancelled."""
        while True:
            await curio.sleep(CHECK_INTERVAL_S)
            for stream in self._running:
                engine = stream.server
                if (
                    stream.movable
                    and engine.incarnation_id not in self._being_emptied
                    and self._backends.is_leaving(engine.incarnation_id)
                    and self._is_active(stream.relay.service)
                ):
                    self._being_emptied.add(engine.incarnation_id)
                    await curio.spawn(self._empty, engine, daemon=True)

    async def _empty(self, engine: Server) -> None:
        """Move runs away from an engine until this instance has none on it."""
        try:
            left_s = await self._left_s(engine)
            leaving = _LeavingEngine(await curio.clock() + left_s, {})
            self._log.info(
                "engine_leaves", server=engine.incarnation_id, left_ms=round(left_s * 1000)
            )
            while streams := self._streams_at(engine):
                if not await self._move_one(streams, leaving):
                    await curio.sleep(CHECK_INTERVAL_S)
        finally:
            self._being_emptied.discard(engine.incarnation_id)

    def _streams_at(self, engine: Server) -> list[RunningStream]:
        return [
            stream
            for stream in self._running
            if stream.server.incarnation_id == engine.incarnation_id
        ]

    async def _left_s(self, engine: Server) -> float:
        """Return the seconds until an engine ends its runs, as it reports or as assumed."""
        dialect = self._backends.dialect
        resp = await self._backends.side_call(engine, dialect.engine_state_call())
        if resp is None or resp.status != 200:
            return UNKNOWN_LEAVE_S
        try:
            left_s = dialect.parse_engine_state(resp.body).leaves_in_s
        except BadHttp as exc:
            self._log.warning("report_unreadable", server=engine.incarnation_id, why=exc.detail)
            return UNKNOWN_LEAVE_S
        return UNKNOWN_LEAVE_S if left_s is None else left_s

    async def _move_one(self, streams: list[RunningStream], leaving: _LeavingEngine) -> bool:
        """Try to move the run that needs it most; return whether one was moved."""
        now = await curio.clock()
        by_run_id = {
            stream.run_id: stream
            for stream in streams
            if stream.movable and leaving.retry_at.get(stream.run_id, now) <= now
        }
        progress = [_progress(stream, now) for stream in by_run_id.values()]
        for run in runs_to_move(progress, leaving.ends_at - now):
            if await self._move(by_run_id[run.run_id]):
                return True
            leaving.retry_at[run.run_id] = await curio.clock() + RETRY_PAUSE_S
        return False

    async def _move(self, stream: RunningStream) -> bool:
        """Offer a run to engines until one takes it; return whether it has left its engine."""
        for target in (await self._targets(stream))[:MAX_TARGETS]:
            outcome = await self._migrator.move(stream, target)
            if outcome is not MoveOutcome.NO_ROOM:
                return outcome is MoveOutcome.MOVED
        return False

    async def _targets(self, stream: RunningStream) -> list[Server]:
        """Return the engines that may take a run, in the order in which to try them."""
        relay = stream.relay
        engine = relay.service.engine
        assert engine is not None
        now = await curio.clock()
        servers = self._backends.eligible_servers(
            relay.service.name,
            now,
            EngineRole.DECODE,
            relay.request.model,
            frozenset({stream.server.incarnation_id}),
            relay.version,
        )
        # An engine that has just refused a reservation has no room for a copy either.
        with_room = [
            server
            for server in servers
            if self._backends.stats(server.incarnation_id).full_until <= now
        ]
        by_id = {server.incarnation_id: server for server in with_room or servers}
        candidates = [
            MoveTarget(
                incarnation_id,
                engine.kv_tokens - self._backends.stats(incarnation_id).reserved_tokens,
                server.zone == stream.server.zone,
            )
            for incarnation_id, server in by_id.items()
        ]
        tokens = stream.prompt_tokens + stream.made_tokens
        order = ordered_targets(candidates, tokens, self._backends.rng)
        return [by_id[target.incarnation_id] for target in order]


def _progress(stream: RunningStream, now: float) -> RunProgress:
    request = stream.relay.request
    return RunProgress(
        run_id=stream.run_id,
        made_tokens=stream.made_tokens,
        expected_tokens=min(
            request.expected_answer_tokens or request.max_answer_tokens, request.max_answer_tokens
        ),
        max_tokens=request.max_answer_tokens,
        age_s=now - stream.started_at,
    )
