"""Which prefill engine processes the prompt of a run, from the work that was assigned before.

The books of the coordinator hold the work in progress of each prefill engine: the prompts that it
assigned, in this order, each with its predicted end if the engine processes one after another. An
engine may also process them concurrently: then the first of several ends later than predicted, but
the last does not.
"""

from __future__ import annotations

import enum
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from crankhinge.decisions._servers import Server

# Weight of the newest sample in the speed of an engine: about ten prompts, a few seconds of the
# load of an engine, determine it.
EWMA_WEIGHT = 0.1
# A sample counts as at most this many times the speed known so far, and at least as its inverse.
# The prompt may have waited behind work that the books do not know, or been cached by the engine.
MAX_SAMPLE_RATIO = 2.0
# Assumed seconds per prompt token until an engine of the group was measured.
DEFAULT_TOKEN_S = 2e-5
# Half-life in seconds of the weight of a measured speed against those of the other engines. An
# engine that was slow gets few prompts, so its recovery would not be noticed.
SPEED_HALF_LIFE_S = 10.0
MAX_HALF_LIVES = 100.0
# Cost factor of an engine in another availability zone than the decode engine, which fetches the
# KV cache from it.
OTHER_ZONE_FACTOR = 1.05
# With a wait of more than this many times its work, the decode engine processes a prompt itself. It
# does so at half the pace, so the first event would be sooner from twice the work on; the rest is
# for the runs that it slows down meanwhile.
MAX_WAIT_WORKS = 3.0
# Ends closer than this share of the work are equal: which of them is earlier is noise.
EQUAL_SHARE = 0.03
# Seconds after the predicted end of all work of an engine for which work without a result is kept
# in the books. Until then, the engine seems to be slower than predicted and is not measured;
# afterwards, the report is lost. Counted from its own predicted end, the first of several prompts
# that are processed concurrently would be taken for lost.
LOST_REPORT_S = 0.3
# Seconds after its own predicted end for which work is kept at most, while other work follows. An
# instance gives a prompt up after 1.8 s.
MAX_OVERDUE_S = 2.0
# Share of results that arrive, as a moving average, below which an engine's missing results are
# taken for lost reports and not for prompts that are processed concurrently.
MIN_REPORTED_SHARE = 0.7
REPORTED_WEIGHT = 0.1
# Share of its work as which overdue work counts at most where reports are lost. Counted for as long
# as it is overdue, a loss of three in four reports made the prompts wait four times as long.
OVERDUE_SHARE = 0.25
# Prompts in a row without a result after which an engine counts as failed. An engine that stalls
# would otherwise get prompts until the first of them runs out of time, after 1.8 s of 2 s. The
# reports of one instance that is lost or slow do not make so many.
MAX_UNREPORTED = 3
# Seconds after its predicted end until which a result still counts for the speed. An engine that
# takes several times as long as predicted would otherwise never be measured.
LATE_RESULT_S = 3.0
# Share of its work as which work counts at least, as long as there is no result. Without it, an
# engine that was about to be done was preferred to an idle one that is a few percent slower.
BUSY_SHARE = 0.1
# Seconds for which an engine that failed is avoided, doubled with each further failure in a row.
# All instances ask for an engine here, so a few failures in this time are all that it costs.
AVOID_S = 2.0
MAX_AVOID_S = 16.0
# Number of engines that are gone whose speed and failures are kept. An engine is not listed while
# it asks for a backoff, for seconds, or has the other role.
MAX_GONE = 64


class PrefillOutcome(enum.IntEnum):
    """How the processing of a prompt ended."""

    DONE = 0
    FAILED = 1
    TIMED_OUT = 2
    NOT_SENT = 3


@dataclass(frozen=True, slots=True)
class PrefillChoice:
    """The engine that processes a prompt.

    Attributes:
        engine: its incarnation id; the decode engine's own if all prefill engines have too much
            work; empty if none is known.
        is_idle: whether it has no other work, so that the duration is that of the work.
    """

    engine: str = ""
    is_idle: bool = False


@dataclass(slots=True)
class _Work:
    """A prompt that an engine was assigned."""

    tokens: int
    work_s: float
    ends_at: float
    found_idle: bool


@dataclass
class _PrefillEngine:
    """A prefill engine.

    Attributes:
        server: its entry in the list of servers.
        token_s: measured seconds per prompt token; 0 before the first measurement.
        measured_at: when it was last measured.
        works: its prompts by run id, in the order of their assignment.
        late: prompts by run id that are not counted as work any more, but may still have a result.
        unreported: prompts in a row that became late.
        reported_share: moving average of the share of prompts whose result arrived.
        avoided_until: time before which it gets no prompt, after a failure.
        failures: failures in a row.
    """

    server: Server
    token_s: float = 0.0
    measured_at: float = 0.0
    works: dict[str, _Work] = field(default_factory=dict)
    late: dict[str, _Work] = field(default_factory=dict)
    unreported: int = 0
    reported_share: float = 1.0
    avoided_until: float = float("-inf")
    failures: int = 0

    def expected_token_s(self, mean_token_s: float, now: float) -> float:
        """Return the expected seconds per prompt token, given the mean of all engines."""
        if not self.token_s:
            return mean_token_s
        return mean_token_s + self.weight(now) * (self.token_s - mean_token_s)

    def weight(self, now: float) -> float:
        """Return the weight of its measured speed, from 0 to 1."""
        half_lives = (now - self.measured_at) / SPEED_HALF_LIFE_S
        weight: float = 0.5 ** min(MAX_HALF_LIVES, max(0.0, half_lives))
        return weight

    @property
    def is_reported(self) -> bool:
        """Whether its results arrive, so that missing ones show that it still works on them."""
        return self.reported_share >= MIN_REPORTED_SHARE

    def record_reported(self, arrived: bool) -> None:
        """Record whether the result of a prompt arrived in time."""
        self.reported_share += REPORTED_WEIGHT * (float(arrived) - self.reported_share)

    def free_in_s(self, now: float) -> float:
        """Return the predicted seconds until its work ends.

        If the first prompt is overdue, all behind it are assumed to end as much later, up to the
        time that processing all of them concurrently would add.
        """
        if not self.works:
            return 0.0
        first = next(iter(self.works.values()))
        last = next(reversed(self.works.values()))
        most = len(self.works) - 1 if self.is_reported else OVERDUE_SHARE
        overdue_s = min(max(0.0, now - first.ends_at), most * first.work_s)
        return max(0.0, last.ends_at + overdue_s - now)

    def wait_s(self, now: float) -> float:
        """Return the seconds that another prompt is expected to wait; 0 if it has no work."""
        if not self.works:
            return 0.0
        return max(self.free_in_s(now), BUSY_SHARE * next(iter(self.works.values())).work_s)

    def expire(self, now: float, *, all_reported: bool) -> None:
        """Remove work whose result is overdue: its report was lost, or the engine is stalled.

        Args:
            now: time of the runtime's clock in seconds.
            all_reported: whether owners report all results, so that missing ones show a stall.
        """
        all_end_at = max((work.ends_at for work in self.works.values()), default=now)
        for run_id, work in list(self.works.items()):
            end = all_end_at if self.is_reported else work.ends_at
            if now - end > LOST_REPORT_S or now - work.ends_at > MAX_OVERDUE_S:
                self.late[run_id] = self.works.pop(run_id)
                self.unreported += 1
                self.record_reported(False)
        if all_reported and self.unreported >= MAX_UNREPORTED:
            self.unreported = 0
            self.record_failure(now)
        for run_id, work in list(self.late.items()):
            if now - work.ends_at > LATE_RESULT_S:
                del self.late[run_id]

    def forget_work(self) -> None:
        """Forget all prompts."""
        self.works.clear()
        self.late.clear()
        self.unreported = 0

    def may_start(self, now: float) -> bool:
        """Whether it may get a prompt; after a failure it gets one at a time until one is done."""
        return now >= self.avoided_until and not (self.failures and self.works)

    def assign(
        self, run_id: str, tokens: int, work_s: float, now: float, *, all_reported: bool
    ) -> bool:
        """Add a prompt to its work; return whether it is certain that it had none."""
        is_idle = not self.works and not (all_reported and self.late)
        begins_at = max([now, *(work.ends_at for work in self.works.values())])
        self.works[run_id] = _Work(tokens, work_s, begins_at + work_s, is_idle)
        return is_idle

    def remove(self, run_id: str, now: float) -> _Work | None:
        """Remove a prompt; those behind it are predicted to end earlier or later than before."""
        if run_id not in self.works:
            return self.late.pop(run_id, None)
        was_first = next(iter(self.works)) == run_id
        removed = self.works.pop(run_id)
        # The first prompt is being processed since the one before it ended.
        free_at = now if was_first else 0.0
        for work in self.works.values():
            work.ends_at = free_at + work.work_s if free_at else work.ends_at
            free_at = work.ends_at
        return removed

    def record_speed(self, token_s: float, known_token_s: float, now: float) -> None:
        """Record the measured seconds per token of a prompt that found the engine idle."""
        if known_token_s:
            token_s = max(token_s, known_token_s / MAX_SAMPLE_RATIO)
            token_s = min(token_s, known_token_s * MAX_SAMPLE_RATIO)
            token_s = known_token_s + EWMA_WEIGHT * (token_s - known_token_s)
        self.token_s, self.measured_at = token_s, now

    def record_failure(self, now: float) -> None:
        """Record that it failed to process a prompt."""
        if now < self.avoided_until:
            # The failures of prompts that were sent before are one failure.
            return
        self.avoided_until = now + min(MAX_AVOID_S, AVOID_S * 2.0**self.failures)
        self.failures = min(10, self.failures + 1)


class PrefillBooks:
    """The work in progress of the prefill engines of a group.

    Args:
        rng: chooses among engines of about equal cost.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._engines: dict[str, _PrefillEngine] = {}
        self._gone: dict[str, _PrefillEngine] = {}
        self._all_reported = True
        self._where: dict[str, str] = {}

    def set_engines(self, engines: Iterable[Server], *, all_reported: bool = True) -> None:
        """Set the engines; the work of engines that are gone is forgotten.

        Args:
            engines: the engines.
            all_reported: whether owners report all results, and not only a part of them.
        """
        self._all_reported = all_reported
        servers = {server.incarnation_id: server for server in engines}
        for engine_id in [known for known in self._engines if known not in servers]:
            gone = self._gone[engine_id] = self._engines.pop(engine_id)
            gone.forget_work()
        for engine_id in list(self._gone)[:-MAX_GONE]:
            del self._gone[engine_id]
        for engine_id, server in servers.items():
            if engine_id not in self._engines:
                engine = self._gone.pop(engine_id, None) or _PrefillEngine(server)
                self._engines[engine_id] = engine
            self._engines[engine_id].server = server

    def mean_token_s(self, now: float) -> float:
        """Return the mean measured seconds per prompt token, weighted by their age."""
        rows = [
            (engine.weight(now), engine.token_s)
            for engine in self._engines.values()
            if engine.token_s
        ]
        if not rows:
            return DEFAULT_TOKEN_S
        return sum(weight * token_s for weight, token_s in rows) / sum(row[0] for row in rows)

    def token_s(self, engine_id: str, now: float) -> float:
        """Return the expected seconds per prompt token of an engine."""
        return self._engines[engine_id].expected_token_s(self.mean_token_s(now), now)

    def choose(
        self, run_id: str, tokens: int, zone: str, now: float, *, decode_engine: str = ""
    ) -> PrefillChoice:
        """Assign a prompt to the engine that is predicted to be done with it first.

        Args:
            run_id: the run.
            tokens: tokens of its prompt.
            zone: availability zone of the decode engine, which fetches the KV cache.
            now: time of the runtime's clock in seconds.
            decode_engine: incarnation id of the decode engine; empty if it cannot process the
                prompt.
        """
        self.cancel(run_id, now)
        best: tuple[float, str, float] | None = None
        mean_token_s = self.mean_token_s(now)
        for engine_id, engine in self._engines.items():
            engine.expire(now, all_reported=self._all_reported)
            if not engine.may_start(now):
                continue
            work_s = tokens * engine.expected_token_s(mean_token_s, now)
            factor = 1.0 if engine.server.zone == zone else OTHER_ZONE_FACTOR
            cost = engine.wait_s(now) + work_s * (factor + EQUAL_SHARE * self._rng.random())
            if best is None or cost < best[0]:
                best = cost, engine_id, work_s
        if best is None:
            return PrefillChoice()
        _, engine_id, work_s = best
        if decode_engine and self._engines[engine_id].wait_s(now) > MAX_WAIT_WORKS * work_s:
            return PrefillChoice(decode_engine)
        self._where[run_id] = engine_id
        is_idle = self._engines[engine_id].assign(
            run_id, tokens, work_s, now, all_reported=self._all_reported
        )
        return PrefillChoice(engine_id, is_idle)

    def cancel(self, run_id: str, now: float) -> None:
        """Remove the prompt of a run that has ended or needs no prefill engine any more."""
        engine = self._engines.get(self._where.pop(run_id, ""))
        if engine is not None:
            engine.remove(run_id, now)

    def record_result(
        self, run_id: str, engine_id: str, duration_s: float, outcome: PrefillOutcome, now: float
    ) -> None:
        """Record how the processing of a prompt ended.

        Args:
            run_id: the run.
            engine_id: the engine, which its owner may have chosen itself.
            duration_s: seconds from when the prompt was sent.
            outcome: how it ended.
            now: time of the runtime's clock in seconds.
        """
        engine = self._engines.get(engine_id)
        if engine is None:
            return
        known_token_s = self.token_s(engine_id, now) if engine.token_s else 0.0
        work = None
        if self._where.get(run_id) == engine_id:
            del self._where[run_id]
            work = engine.remove(run_id, now)
        engine.unreported = 0
        engine.record_reported(True)
        if outcome is PrefillOutcome.DONE:
            if now >= engine.avoided_until:
                # A prompt that was sent before the failure does not show that it is over.
                engine.failures = 0
            if work is not None and work.found_idle and work.tokens > 0:
                engine.record_speed(duration_s / work.tokens, known_token_s, now)
        elif outcome is PrefillOutcome.FAILED or (
            # A prompt whose turn had not come by the books says nothing about the engine.
            outcome is PrefillOutcome.TIMED_OUT and (work is None or now >= work.ends_at)
        ):
            engine.record_failure(now)

    def expire(self, now: float) -> None:
        """Forget the work whose reports were lost."""
        for engine in self._engines.values():
            engine.expire(now, all_reported=self._all_reported)
        for run_id, engine_id in list(self._where.items()):
            known = self._engines.get(engine_id)
            if known is None or not (run_id in known.works or run_id in known.late):
                del self._where[run_id]
