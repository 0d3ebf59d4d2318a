"""The placement coordinator: one instance that places the runs of a group of engines."""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field, replace

from crankhinge.decisions._routes import EngineLimits
from crankhinge.decisions._servers import Server
from crankhinge.decisions.placement._types import (
    PlacementDecision,
    PlacementOutcome,
    PlacementRequest,
    RunMove,
    RunReport,
)

# Seconds after which the runs of a silent owner are removed: three lost complete reports in a row.
RUN_EXPIRY_S = 3.5
# Seconds for which a grant is kept without a report of its run. An owner reports a run when it
# starts, and all of its runs every second.
GRANT_EXPIRY_S = 2.5
# Seconds from the first call until the coordinator decides. Each owner reports all of its runs
# every second.
WARM_UP_S = 1.5
# Seconds for which an engine that refused a reservation gets no further run.
REFUSAL_PAUSE_S = 0.1
DEFAULT_RETRY_S = 3.0

WAITING = PlacementDecision(PlacementOutcome.WAITING)
NOT_COORDINATOR = PlacementDecision(PlacementOutcome.NOT_COORDINATOR)


@dataclass
class _Run:
    report: RunReport
    owner: str
    seen_at: float
    is_grant: bool = False

    @property
    def tokens(self) -> int:
        answer = max(self.report.made_tokens, self.report.expected_tokens or self.report.max_tokens)
        return self.report.prompt_tokens + answer


@dataclass
class _Engine:
    server: Server
    runs: dict[str, _Run] = field(default_factory=dict)
    paused_until: float = 0.0


@dataclass
class _Waiting:
    need: PlacementRequest
    asked_at: float
    number: int


class PlacementCoordinator:
    """Tracks which runs are on which engine of a group, and decides which request goes where.

    Args:
        rng: breaks ties.
        now: time of the runtime's clock at which it begins to coordinate.
    """

    def __init__(self, *, rng: random.Random, now: float) -> None:
        self._rng = rng
        self._started_at = now
        self._engines: dict[str, _Engine] = {}
        self._limits: EngineLimits | None = None
        self._where: dict[str, str] = {}
        self._waiting: dict[str, _Waiting] = {}
        self._decided: dict[str, tuple[PlacementRequest, PlacementDecision, float]] = {}
        self._number = 0

    def set_engines(self, engines: Iterable[Server], limits: EngineLimits, now: float) -> None:
        """Set the engines of the group; runs on engines that are gone are forgotten."""
        self._limits = limits
        servers = {server.incarnation_id: server for server in engines}
        for gone in [engine for engine in self._engines if engine not in servers]:
            for run_id in self._engines.pop(gone).runs:
                self._where.pop(run_id, None)
        for incarnation_id, server in servers.items():
            known = self._engines.get(incarnation_id)
            if known is None:
                self._engines[incarnation_id] = _Engine(server)
            else:
                known.server = server

    def request(self, need: PlacementRequest, now: float) -> PlacementDecision:
        """Decide about a request; asking again for the same run returns its present state."""
        if not self.is_ready(now):
            return NOT_COORDINATOR
        decided = self._decided.get(need.run_id)
        if decided is not None:
            return decided[1]
        if need.run_id not in self._waiting:
            self._number += 1
            self._waiting[need.run_id] = _Waiting(need, now, self._number)
        self._serve(now, notify=False, asking=need.run_id)
        decided = self._decided.get(need.run_id)
        return WAITING if decided is None else decided[1]

    def engine_refused(self, run_id: str, engine: str, now: float) -> None:
        """Record that the engine itself had no room; the request waits again."""
        known = self._engines.get(engine)
        if known is not None:
            known.paused_until = now + REFUSAL_PAUSE_S
        self._remove_run(run_id)
        decided = self._decided.pop(run_id, None)
        if decided is not None:
            self._number += 1
            self._waiting[run_id] = _Waiting(decided[0], now, self._number)

    def withdraw(self, run_id: str, now: float) -> None:
        """Forget a request whose caller is gone, or which was served elsewhere or refused."""
        self._waiting.pop(run_id, None)
        self._decided.pop(run_id, None)
        self._remove_run(run_id)

    def report(
        self,
        owner: str,
        runs: Sequence[RunReport],
        ended: Sequence[str],
        now: float,
        *,
        complete: bool,
    ) -> None:
        """Apply an owner's report of its runs.

        Args:
            owner: name of the instance.
            runs: its runs; all of them if *complete*. A run that has completed is in *runs*, with
                its final length, and in *ended*.
            ended: ids of runs that have ended. Those that are not in *runs* did not complete.
            now: time of the runtime's clock in seconds.
            complete: whether *runs* are all runs of the owner.
        """
        for run in runs:
            if run.engine in self._engines and run.run_id not in ended:
                self._put_run(run, owner, now)
        for run_id in ended:
            self._remove_run(run_id)
            self._decided.pop(run_id, None)
        if complete:
            kept = {run.run_id for run in runs}
            for engine in self._engines.values():
                for run_id, run_state in list(engine.runs.items()):
                    if run_state.owner == owner and run_id not in kept and not run_state.is_grant:
                        self._remove_run(run_id)

    def expire(self, now: float) -> None:
        """Remove runs of owners silent for :data:`RUN_EXPIRY_S`, and grants not taken up."""
        for engine in self._engines.values():
            for run_id, run in list(engine.runs.items()):
                limit_s = GRANT_EXPIRY_S if run.is_grant else RUN_EXPIRY_S
                if now - run.seen_at > limit_s:
                    self._remove_run(run_id)
        for run_id, (_, _, at) in list(self._decided.items()):
            if now - at > GRANT_EXPIRY_S and run_id not in self._where:
                del self._decided[run_id]

    def grants(self, now: float) -> list[tuple[PlacementRequest, PlacementDecision]]:
        """Return the requests granted or refused while waiting, since the last call."""
        return self._serve(now, notify=True) if self.is_ready(now) else []

    def moves(self, now: float) -> list[RunMove]:
        """Return the moves to start now."""
        return []

    def is_ready(self, now: float) -> bool:
        """Whether it has coordinated for long enough to know the runs."""
        return now - self._started_at >= WARM_UP_S

    def _serve(
        self, now: float, *, notify: bool, asking: str = ""
    ) -> list[tuple[PlacementRequest, PlacementDecision]]:
        made = []
        for run_id, waiting in list(self._waiting.items()):
            if not notify and run_id != asking:
                continue
            decision = self._decide(waiting, now)
            if decision.outcome is not PlacementOutcome.WAITING:
                del self._waiting[run_id]
                self._decided[run_id] = (waiting.need, decision, now)
                made.append((waiting.need, decision))
        return made

    def _decide(self, waiting: _Waiting, now: float) -> PlacementDecision:
        need = waiting.need
        if now - waiting.asked_at >= min(need.event_timeout_s, need.remaining_s):
            return PlacementDecision(PlacementOutcome.REFUSED, retry_after_s=DEFAULT_RETRY_S)
        tokens = need.prompt_tokens + (need.expected_tokens or need.max_tokens)
        assert self._limits is not None or not self._engines
        best: _Engine | None = None
        best_load = 0
        for incarnation_id, engine in self._engines.items():
            assert self._limits is not None
            load = sum(run.tokens for run in engine.runs.values())
            if (
                incarnation_id not in need.avoid
                and not engine.server.leaving
                and engine.paused_until <= now
                and len(engine.runs) < self._limits.slots
                and load + tokens <= self._limits.kv_tokens
                and (best is None or load < best_load)
            ):
                best, best_load = engine, load
        if best is None:
            return WAITING
        engine_id = best.server.incarnation_id
        best.runs[need.run_id] = _Run(
            RunReport(
                need.run_id,
                engine_id,
                need.prompt_tokens,
                need.expected_tokens,
                need.max_tokens,
                0,
                need.rank,
                need.account,
                need.route,
                0.0,
                False,
                need.max_pause_s,
            ),
            need.owner,
            now,
            is_grant=True,
        )
        self._where[need.run_id] = engine_id
        return PlacementDecision(PlacementOutcome.GRANTED, engine_id, tokens)

    def _put_run(self, run: RunReport, owner: str, now: float) -> None:
        if self._where.get(run.run_id) != run.engine:
            self._remove_run(run.run_id)
        self._engines[run.engine].runs[run.run_id] = _Run(replace(run), owner, now)
        self._where[run.run_id] = run.engine

    def _remove_run(self, run_id: str) -> None:
        engine = self._engines.get(self._where.pop(run_id, ""))
        if engine is not None:
            engine.runs.pop(run_id, None)
