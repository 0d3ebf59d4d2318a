"""What the coordinator knows of one engine: its runs, their memory, and its pace."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from crankhinge.decisions._servers import Server
from crankhinge.decisions.placement._memory import BLOCK_TOKENS, EngineMemory, Grid, RunGrowth
from crankhinge.decisions.placement._types import RunReport

# Weight of the newest sample in the moving averages of the pace: about ten reports, one second of
# an engine with ten runs, determine them.
EWMA_WEIGHT = 0.1
# Assumed tokens per second of a run until its engine, or any engine of the group, was measured.
DEFAULT_TOKENS_PER_S = 1200.0
# The pace used for decisions changes only when the measured one has differed by more than this
# share for this many seconds.
PACE_TOLERANCE = 0.1
PACE_HOLD_S = 0.6
PACE_STEP = 0.05
# A pace is measured between two reports at least this far apart. Reports count whole events, so a
# shorter time would give coarse values.
MIN_SAMPLE_S = 0.3
# A sample counts as at most this many times the average. The time of a preempted run is up to 20
# times the average, and says nothing of the pace of the others.
MAX_SAMPLE_RATIO = 2.0
# Pauses vary around their average by up to this factor, since prompts are processed in between.
PAUSE_FACTOR = 2.0
# Until it was measured, each run more is assumed to slow an engine's runs down by this share: most
# of the time of a step does not depend on their number. The assumption counts like measurements
# with this variance of the number of runs.
RUN_SHARE = 0.05
RUNS_VARIANCE = 2.0
# Seconds in which a new or returned engine gets its first runs at a rising rate. An engine that
# fails soon after its start then loses few runs, and its first prompts don't arrive all at once.
RAMP_S = 3.0
# Seconds without grants after an engine refused a reservation, doubled with each further refusal in
# a row. The first is about the time in which an engine with eight runs of three seconds ends one.
REFUSAL_PAUSE_S = 0.1
MAX_REFUSAL_PAUSE_S = 1.6
# Seconds in which the memory that a refusal showed to be in use by others is taken to become free.
UNSEEN_S = 1.0


@dataclass(slots=True)
class Run:
    """A run in progress, or a grant that was not taken up yet.

    Attributes:
        report: the last report of it.
        owner: name of the instance that relays it.
        seen_at: time of the last report, or of the grant.
        growth: what its memory depends on.
        reserved_tokens: tokens reserved for it at the engine; 0 if unknown.
        is_grant: whether its owner has not reported it yet.
    """

    report: RunReport
    owner: str
    seen_at: float
    growth: RunGrowth
    reserved_tokens: int
    is_grant: bool

    @property
    def is_pending(self) -> bool:
        """Whether it has made no event yet."""
        return not self.report.made_tokens

    def tokens_now(self, now: float) -> float:
        """Return the memory that the engine counts for it: what it uses, or its reservation."""
        growth = self.growth
        used = growth.prompt_tokens + min(growth.made_at(now), float(growth.max_tokens))
        return max(used, self.reserved_tokens) + BLOCK_TOKENS / 2


class EnginePace:
    """Measured seconds per token of an engine's runs, and the number of runs at that time."""

    def __init__(self) -> None:
        self._token_s = 0.0
        self._runs = 0.0
        self._runs_variance = 0.0
        self._covariance = 0.0
        self._used_token_s = 0.0
        self._differs_since: float | None = None

    @property
    def token_s(self) -> float:
        """Seconds per token to use in decisions; 0 before the first measurement."""
        return self._used_token_s

    def record(self, token_s: float, runs: int, now: float) -> bool:
        """Record a measured pace with this many runs; return whether the used pace changed."""
        if not self._token_s:
            self._token_s = token_s
            self._used_token_s = _rounded(token_s)
            self._runs = float(runs)
            return True
        token_s = min(token_s, MAX_SAMPLE_RATIO * self._token_s)
        slower_s, more = token_s - self._token_s, runs - self._runs
        self._token_s += EWMA_WEIGHT * slower_s
        self._runs += EWMA_WEIGHT * more
        self._runs_variance += EWMA_WEIGHT * (more * more - self._runs_variance)
        self._covariance += EWMA_WEIGHT * (more * slower_s - self._covariance)
        if abs(self._token_s - self._used_token_s) <= PACE_TOLERANCE * self._used_token_s:
            self._differs_since = None
            return False
        if self._differs_since is None:
            self._differs_since = now
        if now - self._differs_since < PACE_HOLD_S:
            return False
        self._used_token_s = _rounded(self._token_s)
        self._differs_since = None
        return True

    def pause_s(self, runs: int, tokens_per_event: int) -> float:
        """Return the longest likely pause between events with this many runs.

        The seconds per token follow a line through what was measured with other numbers of runs.
        """
        assumed = RUNS_VARIANCE * RUN_SHARE * self._token_s
        per_run_s = max(0.0, self._covariance + assumed) / (self._runs_variance + RUNS_VARIANCE)
        token_s = self._used_token_s + per_run_s * max(0.0, runs - self._runs)
        return token_s * tokens_per_event * PAUSE_FACTOR


def _rounded(token_s: float) -> float:
    """Round to steps of 5 %, so that engines of about the same pace share one prediction."""
    return math.exp(round(math.log(token_s) / PACE_STEP) * PACE_STEP)


@dataclass
class EngineState:
    """One engine of the group.

    Attributes:
        server: its entry in the list of servers.
        ramp_from: when it came, for an engine that has to be filled at a rising rate, else None.
        runs: its runs by id.
        pending: how many of them have no event yet.
        memory: prediction of their memory.
        pace: its measured pace.
        paused_until: time before which it gets no run, after a refusal.
        refusals: refusals in a row.
        ramp_grants: runs granted since it came.
        moves: number of moves in progress from or to it.
        move_paused_until: time before which no run is moved from it, after a move that failed.
    """

    server: Server
    ramp_from: float | None = None
    runs: dict[str, Run] = field(default_factory=dict)
    pending: int = 0
    memory: EngineMemory = field(default_factory=EngineMemory)
    pace: EnginePace = field(default_factory=EnginePace)
    paused_until: float = 0.0
    refusals: int = 0
    ramp_grants: int = 0
    moves: int = 0
    move_paused_until: float = 0.0
    _unseen_tokens: float = 0.0
    _unseen_at: float = 0.0

    def add_run(self, run: Run, grid: Grid, now: float) -> None:
        """Add a run, or replace what is known of it."""
        run_id = run.report.run_id
        known = self.runs.get(run_id)
        self.pending += run.is_pending - (known is not None and known.is_pending)
        self.runs[run_id] = run
        self.memory.put(run_id, run.growth, grid, now)

    def remove_run(self, run_id: str) -> Run:
        """Remove a run and return it."""
        run = self.runs.pop(run_id)
        self.pending -= run.is_pending
        self.memory.remove(run_id)
        return run

    def tokens_now(self, now: float) -> float:
        """Return the memory that the engine counts now, including that of unknown runs."""
        return sum(run.tokens_now(now) for run in self.runs.values()) + self.unseen_tokens(now)

    def unseen_tokens(self, now: float) -> float:
        """Return the memory of runs that are unknown here, as shown by the last refusal."""
        return self._unseen_tokens * max(0.0, 1.0 - (now - self._unseen_at) / UNSEEN_S)

    def record_refusal(self, reserve_tokens: int, kv_tokens: int, now: float) -> None:
        """Record that it had no room for a reservation: it is fuller than was known."""
        missing = kv_tokens - reserve_tokens - self.tokens_now(now)
        self._unseen_tokens = self.unseen_tokens(now) + max(0.0, missing) + BLOCK_TOKENS
        self._unseen_at = now
        self.paused_until = now + min(MAX_REFUSAL_PAUSE_S, REFUSAL_PAUSE_S * 2.0**self.refusals)
        self.refusals = min(10, self.refusals + 1)

    def may_start(self, slots: int, now: float) -> bool:
        """Whether it may get one run more, apart from its memory."""
        if self.server.leaving or self.paused_until > now or len(self.runs) >= slots:
            return False
        if self.ramp_from is None:
            return True
        share = (now - self.ramp_from) / RAMP_S
        if share >= 1.0:
            self.ramp_from = None
            return True
        return self.ramp_grants < 1 + slots * share * share
