"""How many engines should prefill and how many should decode, from the measured workload.

Both pools serve the same requests, so the pool with the higher load per engine limits the
throughput of both; the best split minimizes the higher of the two loads.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from crankhinge.decisions._servers import EngineRole, Server

# Weight of the newest sample in a moving average: about fifty requests, a few seconds of traffic,
# determine it. EWMA_SAMPLES is that number of requests.
EWMA_WEIGHT = 0.02
# While all requests are refused because their answers are expected to take too long, one of them is
# sent after this many seconds without an answer, and its times have this weight.
PROBE_INTERVAL_S = 1.0
PROBE_WEIGHT = 0.5
EWMA_SAMPLES = 50
# Admitted requests and completed answers needed before any load is reported, and answers needed
# before more engines are moved to prefill: a quiet moment right after a start must not undo a split
# that a burst needs.
MIN_ADMITTED = 10
MIN_ANSWERS = 3
MIN_ANSWERS_TO_GROW_PREFILL = 60
# Prefills are compared by prompt length in classes of this many tokens, each with a minimum number
# of samples.
LENGTH_CLASS_TOKENS = 1000
MIN_CLASS_SAMPLES = 3
# Number of newest prefills that are kept of a class. The number of prefills of a class divided by
# FAST_QUANTILE_DIVISOR is the number of its fastest ones that are skipped, because a prompt that
# was still cached by the engine takes no time.
MAX_CLASS_SAMPLES = 20
FAST_QUANTILE_DIVISOR = 4
# Number of newest prefills that an instance publishes to the others, about 15 bytes each. A few
# prefills of each instance together show the cost of prefill; an instance that used only four
# prefills of its own would count waiting time as work.
MAX_PUBLISHED_PREFILLS = 12
# Minimum share of the duration of a fast prefill that counts as work, whatever the slope says: a
# short prefill that had to wait makes the slope look flat.
MIN_WORK_SHARE = 0.6
# Factor by which prefill engines are loaded less than decode engines. A caller waits for all
# prompts that are queued before its own, while a full decode engine only refuses requests. A much
# larger factor would leave too little KV memory for decoding.
PREFILL_HEADROOM = 1.3
# Minimum number of engines in each pool while there are enough engines: a crash must not hit the
# last one.
MIN_POOL_ENGINES = 2
# Fraction by which a change of the split must lower the higher of the two loads to be worth it: a
# change costs an engine's work for seconds.
MIN_GAIN = 0.12
# One change moves at most the number of a pool's engines divided by this (rounded up), since the
# measurements may be wrong.
MAX_CHANGE_DIVISOR = 3


@dataclass(frozen=True, slots=True)
class PoolLoads:
    """The work that an average request causes in each of the two pools.

    Attributes:
        prompt_s: seconds for which it keeps a prefill engine busy.
        answer_s: seconds for which it would occupy the whole KV memory of a decode engine: the
            seconds for which memory is reserved, times the fraction of the memory.
    """

    prompt_s: float
    answer_s: float

    def max_per_engine(self, prompt_engines: int, decode_engines: int) -> float:
        """Return the higher load per engine of the two pools.

        The load of prefill engines is raised by PREFILL_HEADROOM.
        """
        if prompt_engines < 1 or decode_engines < 1:
            return float("inf")
        return max(
            PREFILL_HEADROOM * self.prompt_s / prompt_engines, self.answer_s / decode_engines
        )


def mean_run_tokens(max_tokens: int, answer_tokens: int) -> float:
    """Return the mean memory of a run over its time, in tokens.

    A run holds its prompt from the start, and its answer as it grows.

    Args:
        max_tokens: memory at its end.
        answer_tokens: the part of it that is the answer.
    """
    return max_tokens - min(answer_tokens, max_tokens) / 2


class _LengthClass:
    """The newest prefills of prompts of similar length."""

    def __init__(self, max_samples: int | None) -> None:
        self._prefills: deque[tuple[float, int]] = deque(maxlen=max_samples)

    def __len__(self) -> int:
        return len(self._prefills)

    def add(self, tokens: int, took_s: float) -> None:
        """Record a prefill."""
        self._prefills.append((took_s, tokens))

    @property
    def fast_prefill(self) -> tuple[float, int]:
        """Duration in seconds and prompt tokens of a prefill that neither waited nor was cached."""
        ordered = sorted(self._prefills)
        return ordered[len(ordered) // FAST_QUANTILE_DIVISOR]


class _LengthClasses:
    """Prefills by prompt length.

    Args:
        max_samples: number of newest prefills kept of each class; None keeps all.
    """

    def __init__(self, max_samples: int | None = None) -> None:
        self._max_samples = max_samples
        self._classes: dict[int, _LengthClass] = {}

    def __bool__(self) -> bool:
        return bool(self._classes)

    def add(self, tokens: int, took_s: float) -> None:
        """Record a prefill."""
        length_class = self._classes.setdefault(
            tokens // LENGTH_CLASS_TOKENS, _LengthClass(self._max_samples)
        )
        length_class.add(tokens, took_s)

    def token_s(self) -> float:
        """Return the estimated seconds of work per prompt token; it errs on the high side."""
        classes = list(self._classes.values())
        seen = [
            length_class for length_class in classes if len(length_class) >= MIN_CLASS_SAMPLES
        ] or classes
        fast_prefills = sorted(
            (length_class.fast_prefill for length_class in seen), key=lambda prefill: prefill[1]
        )
        (short_s, short_tokens), (long_s, long_tokens) = fast_prefills[0], fast_prefills[-1]
        long_token_s = long_s / max(1, long_tokens)
        if long_tokens - short_tokens < LENGTH_CLASS_TOKENS:
            return long_token_s
        slope = (long_s - short_s) / (long_tokens - short_tokens)
        return min(long_token_s, max(slope, long_token_s * MIN_WORK_SHARE))


@dataclass(frozen=True, slots=True)
class WorkloadStats:
    """What one instance measured of a service's requests.

    The instances publish it under these field names, in which "read" stands for prefill, "part" for
    a fraction of the KV memory and "pace" for the seconds per token of an answer. The mean values
    are moving averages over the newest requests.

    Attributes:
        admitted: number of admitted requests.
        answers: number of completed answers.
        readings: number of prefills (processed prompts).
        tokens: mean number of tokens of a prompt.
        read_s: mean duration of a prefill in seconds, including its wait.
        token_s: seconds of a prefill engine's work per prompt token.
        part: mean fraction of a decode engine's KV memory that a request reserves.
        part_tokens: mean product of that fraction and the estimated tokens of the request's answer.
        pace_s: mean seconds per token of an answer.
        newest: prompt tokens and duration in seconds of its newest prefills; empty from instances
            that publish none.
    """

    admitted: int
    answers: int
    readings: int
    tokens: float
    read_s: float
    token_s: float
    part: float
    part_tokens: float
    pace_s: float
    newest: tuple[tuple[int, float], ...] = ()

    def loads(self) -> PoolLoads:
        """Return the load per request that follows from these measurements."""
        # The memory is reserved during the prefill, too.
        decode_s = self.part * self.read_s + self.part_tokens * self.pace_s
        return PoolLoads(self.token_s * self.tokens, decode_s)


class WorkloadMeter:
    """Measures the cost of requests.

    The duration of a prefill is the sum of a wait, a fixed part that does not keep the engine busy,
    and a part for each prompt token. Fast prefills did not wait, so the time by which a fast long
    one exceeds a fast short one is the cost of its additional tokens. The very fastest are skipped,
    since their prompts were cached. Where a coordinator chooses the engines, only prompts that it
    assigned to an engine without other work count for the work per token.

    The cost of decoding is computed from all admitted requests and the time per token of the
    completed answers: the answers that complete first are the short ones, and measuring only those
    would underestimate it.
    """

    def __init__(self) -> None:
        self._prefills = 0
        self._admitted = 0
        self._answers = 0
        self._mean_tokens = 0.0
        self._mean_prefill_s = 0.0
        self._mean_memory_share = 0.0
        self._mean_share_tokens = 0.0
        self._mean_token_s = 0.0
        self._first_events = 0
        self._mean_first_event_s = 0.0
        self._length_classes = _LengthClasses(MAX_CLASS_SAMPLES)
        self._newest_prefills: deque[tuple[int, float]] = deque(maxlen=MAX_PUBLISHED_PREFILLS)
        self._is_probing = False
        self._next_probe_at = 0.0
        self._answers_before_probe = 0

    def try_probe(self, now: float) -> bool:
        """Return whether a request may be sent although its answer is expected to take too long.

        Only answers are measured. If the expectation is wrong, because servers or this instance
        itself stood still for a while, it would hold for as long as it refuses all requests.

        Args:
            now: time on the runtime's clock, in seconds.
        """
        if self._answers != self._answers_before_probe:
            self._answers_before_probe = self._answers
            self._next_probe_at = now + PROBE_INTERVAL_S
        if now < self._next_probe_at:
            return False
        self._next_probe_at = now + PROBE_INTERVAL_S
        self._is_probing = True
        return True

    @property
    def completed_answers(self) -> int:
        """Number of completed answers."""
        return self._answers

    def record_prompt(self, tokens: int, took_s: float, *, may_have_waited: bool = False) -> None:
        """Record that a prompt was processed.

        Args:
            tokens: its length.
            took_s: seconds that it took, including its wait.
            may_have_waited: whether a coordinator, which knows the work of the engines, did not
                find the engine idle. Such a prompt says nothing about the work per token.
        """
        self._prefills += 1
        step = max(EWMA_WEIGHT, 1.0 / self._prefills)
        self._mean_tokens += step * (tokens - self._mean_tokens)
        self._mean_prefill_s += self._weight(self._prefills) * (took_s - self._mean_prefill_s)
        if may_have_waited:
            return
        self._length_classes.add(tokens, took_s)
        self._newest_prefills.append((tokens, took_s))

    def record_admission(self, memory_share: float, answer_tokens: int) -> None:
        """Record an admitted request.

        Args:
            memory_share: fraction of an engine's KV memory that the request reserves.
            answer_tokens: estimated length of its answer, in tokens.
        """
        self._admitted += 1
        step = max(EWMA_WEIGHT, 1.0 / self._admitted)
        self._mean_memory_share += step * (memory_share - self._mean_memory_share)
        self._mean_share_tokens += step * (memory_share * answer_tokens - self._mean_share_tokens)

    def record_answer(self, tokens: int, took_s: float) -> None:
        """Record an answer of *tokens* tokens that was decoded in *took_s* seconds."""
        self._answers += 1
        token_s = took_s / max(1, tokens)
        self._mean_token_s += self._weight(self._answers) * (token_s - self._mean_token_s)
        self._is_probing = False

    def record_first_event(self, took_s: float) -> None:
        """Record a first event that came *took_s* seconds after the reservation."""
        self._first_events += 1
        weight = self._weight(self._first_events)
        self._mean_first_event_s += weight * (took_s - self._mean_first_event_s)

    def _weight(self, samples: int) -> float:
        """Return the weight of the newest of *samples* measured times."""
        return max(PROBE_WEIGHT if self._is_probing else EWMA_WEIGHT, 1.0 / samples)

    @property
    def mean_first_event_s(self) -> float | None:
        """Mean seconds from the reservation to the first event; None with too few samples."""
        return self._mean_first_event_s if self._first_events >= MIN_ANSWERS else None

    def expected_service_s(self, answer_tokens: int) -> float | None:
        """Return the expected seconds to process a prompt and decode an answer of *answer_tokens*.

        None while too few answers have been measured.
        """
        if self._answers < MIN_ANSWERS:
            return None
        return self._mean_prefill_s + answer_tokens * self._mean_token_s

    def stats(self) -> WorkloadStats | None:
        """Return the measurements; None until there is an admission, an answer and a prefill."""
        if not self._admitted or not self._answers or not self._length_classes:
            return None
        return WorkloadStats(
            admitted=self._admitted,
            answers=self._answers,
            readings=self._prefills,
            tokens=self._mean_tokens,
            read_s=self._mean_prefill_s,
            token_s=self._length_classes.token_s(),
            part=self._mean_memory_share,
            part_tokens=self._mean_share_tokens,
            pace_s=self._mean_token_s,
            newest=tuple(self._newest_prefills),
        )

    def loads(self) -> PoolLoads | None:
        """Return the loads measured by this instance alone, or None with too few samples."""
        stats = self.stats()
        return combined_loads([] if stats is None else [stats])


def combined_loads(all_stats: Sequence[WorkloadStats]) -> PoolLoads | None:
    """Return the loads that follow from several instances' measurements, weighted by samples.

    Args:
        all_stats: the measurements of each instance.

    Returns:
        The loads, or None while all instances together have too few samples.
    """
    admitted = sum(stats.admitted for stats in all_stats)
    if admitted < MIN_ADMITTED or sum(stats.answers for stats in all_stats) < MIN_ANSWERS:
        return None
    mean = WorkloadStats(
        admitted=admitted,
        answers=sum(stats.answers for stats in all_stats),
        readings=sum(stats.readings for stats in all_stats),
        tokens=_mean((stats.tokens, stats.readings) for stats in all_stats),
        read_s=_mean((stats.read_s, stats.readings) for stats in all_stats),
        token_s=_combined_token_s(all_stats),
        part=_mean((stats.part, stats.admitted) for stats in all_stats),
        part_tokens=_mean((stats.part_tokens, stats.admitted) for stats in all_stats),
        pace_s=_mean((stats.pace_s, stats.answers) for stats in all_stats),
    )
    return mean.loads()


def _combined_token_s(all_stats: Sequence[WorkloadStats]) -> float:
    """Return the seconds of a prefill engine's work per prompt token, from all samples together."""
    classes = _LengthClasses()
    for stats in all_stats:
        for tokens, took_s in stats.newest or _implied_prefills(stats):
            classes.add(tokens, took_s)
    return classes.token_s()


def _implied_prefills(stats: WorkloadStats) -> list[tuple[int, float]]:
    """Return prefills like the mean one of an instance that publishes no single prefills."""
    prefill = (round(stats.tokens), stats.token_s * stats.tokens)
    return [prefill] * min(stats.readings, MAX_PUBLISHED_PREFILLS)


def _mean(rows: Iterable[tuple[float, int]]) -> float:
    """Return the mean of values, each weighted by its number of samples.

    The weight is bounded, since a moving average covers only about EWMA_SAMPLES samples.

    Args:
        rows: a value and its number of samples each.
    """
    weighted = [(value, min(samples, EWMA_SAMPLES)) for value, samples in rows]
    return sum(value * samples for value, samples in weighted) / sum(row[1] for row in weighted)


def wanted_prompt_engines(
    loads: PoolLoads, prompt_engines: int, decode_engines: int, answers: int
) -> int:
    """Return how many engines should prefill.

    That is the present number unless a change lowers the higher load enough.

    Args:
        loads: work of an average request.
        prompt_engines: number of prefill engines now.
        decode_engines: number of decode engines now.
        answers: number of answers on which the loads are based; too few do not justify more prefill
            engines.
    """
    total = prompt_engines + decode_engines
    if total < 2:
        return prompt_engines
    min_engines = MIN_POOL_ENGINES if total >= 2 * MIN_POOL_ENGINES else 1
    choices = range(min_engines, total - min_engines + 1)
    if prompt_engines and decode_engines:
        min_prompt_engines = prompt_engines - -(-prompt_engines // MAX_CHANGE_DIVISOR)
        max_prompt_engines = prompt_engines + -(-decode_engines // MAX_CHANGE_DIVISOR)
        choices = range(
            max(min_engines, min_prompt_engines), min(total - min_engines, max_prompt_engines) + 1
        )
    best = min(choices, key=lambda count: loads.max_per_engine(count, total - count))
    current = loads.max_per_engine(prompt_engines, decode_engines)
    if best > prompt_engines >= 1 and answers < MIN_ANSWERS_TO_GROW_PREFILL:
        return prompt_engines
    return (
        best
        if loads.max_per_engine(best, total - best) <= current * (1 - MIN_GAIN)
        else prompt_engines
    )


def order_by_versions(
    engines: Sequence[Server], decode_engines: Iterable[Server], role: EngineRole
) -> list[Server]:
    """Return engines in the order in which they should change to a role.

    A stream goes on only at a decode engine of the software version that began it. So the last
    decode engine of a version changes after all others, and a version without one gets one first.

    Args:
        engines: the engines that may change, those that should change first at the front.
        decode_engines: the present decode engines.
        role: the role that they change to.
    """
    decoding = Counter(server.version for server in decode_engines)
    remaining, ordered = list(engines), []
    while remaining:
        if role is EngineRole.PREFILL:
            preferred = [server for server in remaining if decoding[server.version] > 1]
        else:
            preferred = [server for server in remaining if not decoding[server.version]]
        engine = (preferred or remaining)[0]
        decoding[engine.version] += -1 if role is EngineRole.PREFILL else 1
        remaining.remove(engine)
        ordered.append(engine)
    return ordered
