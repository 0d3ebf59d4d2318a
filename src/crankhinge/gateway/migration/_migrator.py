"""Moves a running stream to another engine."""

from __future__ import annotations

from typing import Any

import curio

from crankhinge.adapters import CopyOutcome, RunCopy
from crankhinge.decisions import EngineRole, Server
from crankhinge.errors import CrankhingeError
from crankhinge.gateway._authenticator import Authenticator
from crankhinge.gateway._backends import Backends
from crankhinge.gateway._permits import Permits
from crankhinge.gateway._quarantine import QuarantineService
from crankhinge.gateway._running_streams import RunningStream, RunningStreams
from crankhinge.gateway.migration._handover import Handover, MoveOutcome
from crankhinge.runtime import Metrics

# Seconds to wait for the response to the first call. It is shorter than the validity of a handle,
# so that a repeated call finds the copy of a call whose response was lost.
FIRST_CALL_TIMEOUT_S = 0.3
# The time that the copy itself takes over the link is added this many times: a copy to another zone
# takes twice as long, and the engine may have another copy to make first.
COPY_TIME_FACTOR = 4.0
# Seconds to wait for the response to the last call. The run may be stopped meanwhile, and a run may
# stand still for 0.4 s at most.
LAST_CALL_TIMEOUT_S = 0.4
# Seconds for which a confirmed stop waits for the end of the source's stream. Events that have not
# arrived by then are made again by the target.
DRAIN_S = 0.1
# Seconds for which a move waits for a caller that does not read. A run that stops meanwhile would
# lose its copy, since nothing reads the end of its stream.
CALLER_WAIT_S = 0.05
# Seconds before the end of a handle's validity at which an unused copy is freed. Later, the engines
# would keep the memory until the copy lapses.
FREE_BEFORE_EXPIRY_S = 0.05
# Outcomes of the first call that leave no copy behind.
REFUSED_OUTCOMES = {
    CopyOutcome.NO_SUCH_RUN: MoveOutcome.ENDED,
    CopyOutcome.IN_PROGRESS: MoveOutcome.IN_PROGRESS,
    CopyOutcome.NO_ROOM: MoveOutcome.NO_ROOM,
    CopyOutcome.WRONG_SERVER: MoveOutcome.NO_ANSWER,
}


class RunMigrator:
    """Moves running streams of this instance to other engines.

    Args:
        backends: the backend servers.
        running: registry of the streams that run at engines.
        authenticator: checks whether the caller's key still allows the request.
        quarantine: refuses requests that servers were running when they crashed.
        permits: gets permits to send requests to servers that advertise a limit.
        log: log for events.
        metrics: registry for counters.
    """

    def __init__(
        self,
        *,
        backends: Backends,
        running: RunningStreams,
        authenticator: Authenticator,
        quarantine: QuarantineService,
        permits: Permits,
        log: Any,
        metrics: Metrics,
    ) -> None:
        self._backends = backends
        self._running = running
        self._authenticator = authenticator
        self._quarantine = quarantine
        self._permits = permits
        self._log = log
        self._metrics = metrics

    async def move(self, run: RunningStream, target: Server) -> MoveOutcome:
        """Move a run to another engine; return how that ended.

        The run goes on at its source unless the source has stopped it. When this returns, the run
        has the only copy of its memory, or the other copy is being freed.
        """
        started_at = await curio.clock()
        obstacle = self._obstacle(run, target, started_at)
        if obstacle:
            self._log_failed(run, target, MoveOutcome.NOT_MOVABLE, obstacle)
            return MoveOutcome.NOT_MOVABLE
        handover = run.handover = Handover(run.server, target)
        self._log.info("run_move_started", **_log_fields(run, target))
        outcome = MoveOutcome.NO_ANSWER
        try:
            # The request at the target needs the permit when it is too late to go back.
            if await self._permits.try_get_permit(run.relay, target):
                outcome = await self._move(run, handover)
            else:
                outcome = MoveOutcome.NOT_MOVABLE
        except BaseException:
            if not handover.is_finished:
                # Nobody follows the move any more, so the end of the source's stream may be a stop.
                run.may_be_stopped = run.may_be_stopped or handover.may_be_stopped
            raise
        finally:
            if run.handover is handover:
                run.handover = None
            await handover.finish(outcome)
            await handover.end_calls()
            if outcome not in (MoveOutcome.MOVED, MoveOutcome.RETURNED) and handover.cache_handle:
                call = self._backends.dialect.free_kv_cache_call(handover.cache_handle)
                await self._backends.side_call_in_background(handover.source, call)
        self._metrics.count(f"run_moves.{outcome.value}")
        took_ms = round((await curio.clock() - started_at) * 1000)
        if outcome is MoveOutcome.MOVED:
            self._log.info(
                "run_moved",
                request=run.relay.request.request_id,
                run=run.run_id,
                source=handover.source.incarnation_id,
                target=target.incarnation_id,
                events=run.events.event_count,
                took_ms=took_ms,
            )
        else:
            self._log_failed(run, target, outcome, took_ms=took_ms)
        return outcome

    def _obstacle(self, run: RunningStream, target: Server, now: float) -> str:
        """Return why a run cannot be moved to an engine; empty if it can.

        After the source has stopped the run, a check that fails breaks the stream off. Therefore
        every check of an attempt is made here first.
        """
        relay = run.relay
        engine = relay.service.engine
        request_id = relay.request.request_id
        if engine is None or not engine.moves:
            return "service has no moves"
        if run.handover is not None:
            return "run is being moved"
        if run.connection is None:
            return "engine has not begun to respond"
        if not run.events.can_be_resumed:
            return "last event has no id"
        same_id = [
            other
            for other in self._running
            if other.relay.request.request_id == request_id and other.server == run.server
        ]
        if not request_id or len(same_id) > 1:
            return "request id is not unique at the engine"
        if (
            target.incarnation_id == run.server.incarnation_id
            or target.service != relay.service.name
            or target.role is not EngineRole.DECODE
            or not target.serves_model(relay.request.model)
            or not target.has_version(relay.version)
        ):
            return "target cannot run the request"
        reason = self._backends.exclusion_reason(target, now)
        if reason is not None:
            return f"target is excluded: {reason.value}"
        if not self._backends.accepts_work(target.incarnation_id, now):
            return "target changes its role"
        try:
            self._authenticator.recheck(relay, now)
            self._quarantine.refuse_quarantined(relay, now)
        except CrankhingeError as exc:
            return exc.code
        return ""

    async def _move(self, run: RunningStream, handover: Handover) -> MoveOutcome:
        copy = await self._copy(run, handover, last=False)
        if copy is None or copy.outcome is CopyOutcome.FAILED:
            # The copy may exist, and only a repeated call tells its handle.
            copy = await self._copy(run, handover, last=False)
            if copy is not None:
                handover.cache_handle = copy.cache_handle
            return _ended_or(handover, MoveOutcome.NO_ANSWER)
        if copy.outcome is not CopyOutcome.COPIED:
            return REFUSED_OUTCOMES[copy.outcome]
        handover.cache_handle = copy.cache_handle
        handover.target_has_copy = True
        engine = run.relay.service.engine
        assert engine is not None
        handover.valid_until = await curio.clock() + engine.kv_handle_ttl_s
        if not handover.source_has_ended:
            if not await self._wait_for_caller(run):
                return MoveOutcome.NOT_MOVABLE
            if not handover.source_has_ended:
                refusal = await self._stop(run, handover)
                if refusal is not None:
                    return refusal
        await handover.end_calls()
        return await self._follow(run, handover)

    async def _wait_for_caller(self, run: RunningStream) -> bool:
        """Wait until the caller has taken the events so far; return False if it does not."""
        deadline = await curio.clock() + CALLER_WAIT_S
        while run.is_writing:
            if await curio.clock() >= deadline:
                return False
            await curio.sleep(CALLER_WAIT_S / 10)
        return True

    async def _stop(self, run: RunningStream, handover: Handover) -> MoveOutcome | None:
        """Make the last call; return the outcome if the run certainly goes on at its source."""
        handover.stop_requested = True
        copy = await self._copy(run, handover, last=True)
        if copy is None:
            return None
        if copy.outcome is CopyOutcome.IN_PROGRESS:
            return MoveOutcome.IN_PROGRESS
        handover.run_had_ended = copy.outcome is CopyOutcome.NO_SUCH_RUN
        if copy.cache_handle and copy.outcome in (CopyOutcome.COPIED, CopyOutcome.NO_ROOM):
            handover.cache_handle = copy.cache_handle
            handover.source_stopped = True
            handover.target_has_copy = copy.outcome is CopyOutcome.COPIED
        return None

    async def _follow(self, run: RunningStream, handover: Handover) -> MoveOutcome:
        """Wait until the relaying task has continued the run, or until the run goes on.

        A last call without an answer leaves open whether the source has stopped the run. The
        source's stream shows it: it is closed without its end, or it still sends. While the handle
        is valid, a closed stream counts as stopped; then the run is taken to go on.
        """
        if handover.source_stopped:
            await curio.ignore_after(DRAIN_S, handover.wait_source_ended)
            if not handover.source_has_ended and run.connection is not None:
                run.connection.shut_down()
        else:
            left_s = handover.valid_until - FREE_BEFORE_EXPIRY_S - await curio.clock()
            await curio.ignore_after(max(0.0, left_s), handover.wait_source_ended)
            if not handover.source_has_ended:
                run.may_be_stopped = handover.may_be_stopped
                return MoveOutcome.NO_ANSWER
        await handover.wait_finished()
        assert handover.outcome is not None
        return handover.outcome

    async def _copy(self, run: RunningStream, handover: Handover, *, last: bool) -> RunCopy | None:
        """Ask the source to copy the run; return None without a response."""
        dialect = self._backends.dialect
        target = handover.target
        call = dialect.copy_run_call(
            run.relay.request.request_id, target.host, target.port, last=last
        )
        if last:
            # Only what is new since the first call is copied.
            timeout_s = LAST_CALL_TIMEOUT_S
        else:
            engine = run.relay.service.engine
            assert engine is not None
            tokens = run.prompt_tokens + run.made_tokens
            timeout_s = FIRST_CALL_TIMEOUT_S + COPY_TIME_FACTOR * engine.copy_s(tokens)
        resp = await self._backends.side_call(handover.source, call, timeout_s=timeout_s)
        if resp is None:
            return None
        if dialect.parse_signals(resp.status, resp.headers).wrong_server:
            self._backends.record_replaced(handover.source)
        return dialect.parse_run_copy(resp.status, resp.body)

    def _log_failed(
        self, run: RunningStream, target: Server, outcome: MoveOutcome, why: str = "", **more: Any
    ) -> None:
        self._log.info(
            "run_move_failed",
            **_log_fields(run, target),
            outcome=outcome.value,
            why=why or outcome.value,
            **more,
        )


def _ended_or(handover: Handover, outcome: MoveOutcome) -> MoveOutcome:
    """Return that the run has ended if its stream has, else *outcome*."""
    return MoveOutcome.ENDED if handover.source_has_ended else outcome


def _log_fields(run: RunningStream, target: Server) -> dict[str, Any]:
    return {
        "request": run.relay.request.request_id,
        "run": run.run_id,
        "source": run.server.incarnation_id,
        "target": target.incarnation_id,
        "events": run.events.event_count,
    }
