"""How many engines should read and how many should write, from the work that requests bring.

Both pools serve the same requests, so the pool with the larger load per engine bounds them all;
the best split makes the larger of the two loads as small as it can be.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

# Weight of the newest sample: some fifty requests shape an average, a few seconds of traffic.
EWMA_WEIGHT = 0.02
EWMA_SAMPLES = 50
# Requests let in and answers ended before anything is said, and answers before more engines are
# asked to read: a calm moment right after a start must not undo a split that a burst needs.
MIN_ADMITTED = 10
MIN_ANSWERS = 3
MIN_ANSWERS_TO_GROW_PREFILL = 60
# Readings are compared by length in classes of this many tokens, each with some readings.
LENGTH_CLASS_TOKENS = 1000
MIN_CLASS_SAMPLES = 3
# Newest readings of a class that are remembered, and the part of them, fastest first, that is
# passed over: a prompt that the engine still kept is read in no time.
MAX_CLASS_SAMPLES = 20
FAST_QUANTILE_DIVISOR = 4
# Newest readings that an instance tells the others, some 15 bytes each: a few of each instance show
# together what reading takes, while each by itself, at four readings, holds waits for work.
MAX_PUBLISHED_PREFILLS = 12
# Least part of a fast reading that is counted as work, whatever the slope says: a short
# reading that had to wait makes the slope look flat.
MIN_WORK_SHARE = 0.6
# Engines that read are loaded so many times less than those that write: what a prompt waits behind
# others its caller waits, while a full writer only turns requests away. Far more than this takes
# the memory to write in away again.
PREFILL_HEADROOM = 1.3
# Engines left in each pool as long as there are others: one that crashes must not be the last.
MIN_POOL_ENGINES = 2
# A change costs an engine's work for seconds; it has to lower the larger load by this part.
MIN_GAIN = 0.12
# One change takes a pool's engines divided by this at most: what was seen may be wrong.
MAX_CHANGE_DIVISOR = 3


@dataclass(frozen=True, slots=True)
class PoolLoads:
    """Work of the mean request.

    Attributes:
        prompt_s: seconds of an engine that reads.
        answer_s: seconds of the whole memory of an engine that writes.
    """

    prompt_s: float
    answer_s: float

    def max_per_engine(self, prompt_engines: int, decode_engines: int) -> float:
        """Return the load per engine of the pool that is loaded more, readings with headroom."""
        if prompt_engines < 1 or decode_engines < 1:
            return float("inf")
        return max(
            PREFILL_HEADROOM * self.prompt_s / prompt_engines, self.answer_s / decode_engines
        )


class _LengthClass:
    """The newest readings of about one length."""

    def __init__(self, max_samples: int | None) -> None:
        self._prefills: deque[tuple[float, int]] = deque(maxlen=max_samples)

    def __len__(self) -> int:
        return len(self._prefills)

    def add(self, tokens: int, took_s: float) -> None:
        """Note a reading."""
        self._prefills.append((took_s, tokens))

    @property
    def fast_prefill(self) -> tuple[float, int]:
        """Seconds and tokens of a reading that did not wait and was no kept prompt."""
        ordered = sorted(self._prefills)
        return ordered[len(ordered) // FAST_QUANTILE_DIVISOR]


class _LengthClasses:
    """Readings by their length.

    Args:
        max_samples: how many of each length, the newest; all by default.
    """

    def __init__(self, max_samples: int | None = None) -> None:
        self._max_samples = max_samples
        self._classes: dict[int, _LengthClass] = {}

    def __bool__(self) -> bool:
        return bool(self._classes)

    def add(self, tokens: int, took_s: float) -> None:
        """Note a reading."""
        length_class = self._classes.setdefault(
            tokens // LENGTH_CLASS_TOKENS, _LengthClass(self._max_samples)
        )
        length_class.add(tokens, took_s)

    def token_s(self) -> float:
        """Return the seconds that a token keeps an engine busy, rather too many than too few."""
        classes = list(self._classes.values())
        seen = [
            length_class for length_class in classes if len(length_class) >= MIN_CLASS_SAMPLES
        ] or classes
        fast = sorted(
            (length_class.fast_prefill for length_class in seen), key=lambda reading: reading[1]
        )
        (short_s, short_tokens), (long_s, long_tokens) = fast[0], fast[-1]
        alone = long_s / max(1, long_tokens)
        if long_tokens - short_tokens < LENGTH_CLASS_TOKENS:
            return alone
        slope = (long_s - short_s) / (long_tokens - short_tokens)
        return min(alone, max(slope, alone * MIN_WORK_SHARE))


@dataclass(frozen=True, slots=True)
class WorkloadStats:
    """What one instance measured of a service's requests; means over the newest ones.

    Attributes:
        admitted: requests that were let in.
        answers: answers that have ended.
        readings: prompts that were read.
        tokens: of a prompt.
        read_s: seconds of a reading, with its wait.
        token_s: seconds that a token of a prompt keeps a reading engine busy.
        part: part of an engine's memory that a request gets.
        part_tokens: that part times the likely tokens of the answer.
        pace_s: seconds of a token of an answer.
        newest: tokens and seconds of its newest readings; none from instances that don't tell.
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
        """Return the loads that these figures make."""
        # A place is held while the prompt is read, too.
        write_s = self.part * self.read_s + self.part_tokens * self.pace_s
        return PoolLoads(self.token_s * self.tokens, write_s)


class WorkloadMeter:
    """Measures what requests take.

    The time of a reading is the sum of a wait, a fixed part that does not keep the engine busy,
    and a part for each token. Fast readings waited for nobody, so what a fast long one took beyond
    a fast short one is the part for its tokens. The very fastest are passed over, since their
    prompts were kept from before.

    Writing is worked out from all requests that were let in, by the pace of the answers that have
    ended: those that end first are the short ones, and would hold writing for cheaper than it is.
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

    @property
    def completed_answers(self) -> int:
        """How many answers were seen."""
        return self._answers

    def record_prompt(self, tokens: int, took_s: float) -> None:
        """Note a reading of *tokens* that took *took_s* seconds."""
        self._prefills += 1
        step = max(EWMA_WEIGHT, 1.0 / self._prefills)
        self._mean_tokens += step * (tokens - self._mean_tokens)
        self._mean_prefill_s += step * (took_s - self._mean_prefill_s)
        self._length_classes.add(tokens, took_s)
        self._newest_prefills.append((tokens, took_s))

    def record_admission(self, memory_share: float, answer_tokens: int) -> None:
        """Record an admitted request.

        Args:
            memory_share: share of an engine's KV memory that the request reserves, from 0 to 1.
            answer_tokens: estimated length of its answer.
        """
        self._admitted += 1
        step = max(EWMA_WEIGHT, 1.0 / self._admitted)
        self._mean_memory_share += step * (memory_share - self._mean_memory_share)
        self._mean_share_tokens += step * (memory_share * answer_tokens - self._mean_share_tokens)

    def record_answer(self, tokens: int, took_s: float) -> None:
        """Note an answer of *tokens* that was written in *took_s* seconds."""
        self._answers += 1
        step = max(EWMA_WEIGHT, 1.0 / self._answers)
        self._mean_token_s += step * (took_s / max(1, tokens) - self._mean_token_s)

    def record_first_event(self, took_s: float) -> None:
        """Note a first event *took_s* seconds after its place was taken."""
        self._first_events += 1
        step = max(EWMA_WEIGHT, 1.0 / self._first_events)
        self._mean_first_event_s += step * (took_s - self._mean_first_event_s)

    @property
    def mean_first_event_s(self) -> float | None:
        """Return the seconds from a place to the first event; None while too little was seen."""
        return self._mean_first_event_s if self._first_events >= MIN_ANSWERS else None

    def expected_service_s(self, answer_tokens: int) -> float | None:
        """Return the seconds that reading and an answer take; None while too little was seen."""
        if self._answers < MIN_ANSWERS:
            return None
        return self._mean_prefill_s + answer_tokens * self._mean_token_s

    def stats(self) -> WorkloadStats | None:
        """Return what was measured, or None while one of the three was never seen."""
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
        """Return the loads as this instance alone sees them, or None while that is too little."""
        stats = self.stats()
        return combined_loads([] if stats is None else [stats])


def combined_loads(all_stats: Sequence[WorkloadStats]) -> PoolLoads | None:
    """Return the loads that several instances' measurements show together, each by its samples.

    Args:
        all_stats: one of each instance.

    Returns:
        The loads, or None while too little was seen by all of them.
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
    """Return the seconds that a token keeps a reading engine busy, from all readings together."""
    classes = _LengthClasses()
    for stats in all_stats:
        for tokens, took_s in stats.newest or _implied_prefills(stats):
            classes.add(tokens, took_s)
    return classes.token_s()


def _implied_prefills(stats: WorkloadStats) -> list[tuple[int, float]]:
    """Return what an instance that tells no readings makes of them, as often as it saw any."""
    reading = (round(stats.tokens), stats.token_s * stats.tokens)
    return [reading] * min(stats.readings, MAX_PUBLISHED_PREFILLS)


def _mean(rows: Iterable[tuple[float, int]]) -> float:
    """Return the mean of values, each with the number of its samples; a mean holds the newest."""
    weighed = [(value, min(samples, EWMA_SAMPLES)) for value, samples in rows]
    return sum(value * samples for value, samples in weighed) / sum(row[1] for row in weighed)


def wanted_prompt_engines(
    loads: PoolLoads, prompt_engines: int, decode_engines: int, answers: int
) -> int:
    """Return how many of the engines should read; the present number unless a change pays.

    Args:
        loads: work of the mean request.
        prompt_engines: engines that read now.
        decode_engines: engines that write now.
        answers: how many answers shaped the loads.
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
