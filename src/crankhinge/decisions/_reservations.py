"""Who is let into the memory of the engines that write, and who is told to come back.

Memory to write in is the scarce good: a prompt that is read without a place to write is read for
nothing. So a place is reserved first; the engine itself is the judge of its room, and these
decisions only say whom to ask, how long to ask, and when to come back.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from crankhinge.decisions._server_stats import ServerStats
from crankhinge.decisions._servers import Server

# What a served request is worth to its caller, and what waiting costs, in parts of the worth of an
# answer in time: an answer that is late, an answer on a return (late, and no second refusal), and a
# second held in vain. A caller held for three quarters of 14 s has lost all of it.
LATE_VALUE = 0.2
RETRY_VALUE = 0.5
WAIT_COST_PER_S = 0.1
# An engine that refused is left alone for this long, in seconds, by requests that are late anyway,
# so that others', which may yet be in time, find the memory that frees first.
LATE_REFUSAL_PAUSE_S = 0.3
# A caller of a stream leaves when no event has come for the longest of these: seconds, the route's
# target and its longest pause, so many times over, as the operators state it.
MIN_EVENT_TIMEOUT_S = 2.0
EVENT_TIMEOUT_TARGETS = 4.0
EVENT_TIMEOUT_PAUSES = 8.0
# Seconds before that at which its first event has to be on its way.
EVENT_TIMEOUT_MARGIN_S = 0.2
# Seconds from a place to the first event, until some were seen.
DEFAULT_FIRST_EVENT_S = 0.25
# A request is held to have come back when its caller waits less than this part of the longest wait
# seen on its route.
RETRY_OF_LONGEST_WAIT = 0.985
# Waits that are remembered of a route: enough to hold a first try also when most are returns.
MAX_KEPT_WAITS = 64
# Certain first tries from which the shortest wait of one is taken, and the part of that below which
# a caller has come back; callers round their waits and are a few milliseconds on the way.
MIN_FIRST_ATTEMPTS = 8
RETRY_OF_SHORTEST_FIRST_WAIT = 0.99
# Reading and writing are held to take this long, in seconds, until answers have shown the pace.
DEFAULT_SERVICE_S = 3.0
# What is left after coming back and being served, in seconds: the wait for a place, then.
RETRY_MARGIN_S = 0.5
# Nobody is told to come back sooner, in seconds.
MIN_RETRY_DELAY_S = 0.3
# When to come back where nothing is known of memory: writing an answer takes two to three seconds,
# so half of the places change hands in this time.
DEFAULT_RETRY_DELAY_S = 3.0
# Predictions are spread by these factors, which keep those that were refused together from
# returning together.
RETRY_DELAY_JITTER = (0.9, 1.3)
# Memory is given out in blocks of this many tokens.
BLOCK_TOKENS = 16


@dataclass(frozen=True, slots=True)
class ReservationRequest:
    """What a request needs.

    Attributes:
        tokens: memory, in tokens.
        target_s: seconds within which its first event is in time.
        remaining_s: seconds that its caller still waits.
        event_timeout_s: seconds that its caller waits for a first event.
        is_retry: whether it was refused before and has come back.
        service_s: seconds that reading it and writing its likely answer take.
        first_event_s: seconds from a place to its first event.
    """

    tokens: int
    target_s: float
    remaining_s: float
    event_timeout_s: float = float("inf")
    is_retry: bool = False
    service_s: float = DEFAULT_SERVICE_S
    first_event_s: float = DEFAULT_FIRST_EVENT_S

    @property
    def max_in_time_wait_s(self) -> float:
        """Seconds that it may wait and still be in time for its caller's first try."""
        return 0.0 if self.is_retry else max(0.0, self.target_s - self.first_event_s)

    @property
    def max_wait_s(self) -> float:
        """Seconds that it may wait for a place; negative when its answer could not end in time.

        A late answer is waited for as long as the wait, if it was in vain, costs less than the
        answer is worth.
        """
        value = RETRY_VALUE if self.is_retry else LATE_VALUE
        return min(
            self.max_in_time_wait_s + value / WAIT_COST_PER_S,
            self.event_timeout_s - self.first_event_s - EVENT_TIMEOUT_MARGIN_S,
            self.remaining_s - self.service_s,
        )

    def is_late(self, waited_s: float) -> bool:
        """Whether it can't be in time any more."""
        return waited_s >= self.max_in_time_wait_s

    def should_keep_waiting(self, waited_s: float, free_s: float | None) -> bool:
        """Whether it goes on waiting when memory for it is predicted to free in *free_s*.

        A request that is late anyway is refused as soon as memory is predicted to come after its
        patience: of returns with such a prediction 2 in 10 got a place, after two seconds, and the
        others were held for three. Who may be in time waits: of these 6 in 10 got a place in time
        whatever was predicted, since they go before all that is late.
        """
        if free_s is None or not self.is_late(waited_s):
            return True
        return free_s <= self.max_wait_s - waited_s

    def refusal_pause_s(self, waited_s: float) -> float:
        """Return how long after an engine's refusal it is left to others, in seconds."""
        return LATE_REFUSAL_PAUSE_S if self.is_late(waited_s) else 0.0


class CallerRetryDetector:
    """Tells returns from first tries by how long their callers still wait.

    Callers come back on a new connection, so whoever comes on one that was used before is a first
    try, and the shortest wait of these tells from where on a wait is that of a return. Where
    callers wait 0.85 to 1.0 of the longest wait, a fixed part of that took three of four first
    tries for returns.
    """

    def __init__(self) -> None:
        self._recent_waits: dict[str, deque[float]] = {}
        self._first_attempt_waits: dict[str, deque[float]] = {}

    def record_request(
        self, route: str, within_s: float, *, connection_reused: bool = False
    ) -> bool:
        """Note a request of *route* whose caller waits *within_s*; returns whether it came back.

        Args:
            route: its name.
            within_s: seconds.
            connection_reused: whether earlier requests came on its connection.
        """
        waits = self._recent_waits.setdefault(route, deque(maxlen=MAX_KEPT_WAITS))
        waits.append(within_s)
        first_waits = self._first_attempt_waits.setdefault(route, deque(maxlen=MAX_KEPT_WAITS))
        if connection_reused:
            first_waits.append(within_s)
            return False
        if len(first_waits) < MIN_FIRST_ATTEMPTS:
            return within_s < RETRY_OF_LONGEST_WAIT * max(waits)
        return within_s < RETRY_OF_SHORTEST_FIRST_WAIT * min(first_waits)


class ReservationQueue:
    """The order in which requests of one service that found no room ask for it.

    Those that may yet be in time come before those that are late anyway; each in order of arrival.
    """

    def __init__(self) -> None:
        self._waiting: dict[int, tuple[ReservationRequest, float]] = {}
        self._last_number = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, request: ReservationRequest, now: float) -> int:
        """Add a request; returns its number, since callers may send one identity twice or none."""
        self._last_number += 1
        self._waiting[self._last_number] = (request, now)
        return self._last_number

    def remove(self, number: int) -> None:
        """Remove a request."""
        del self._waiting[number]

    def requests_ahead(self, number: int, now: float) -> list[ReservationRequest]:
        """Return the requests before this one."""
        own_rank = self._rank(number, now)
        return [
            request
            for other, (request, _) in self._waiting.items()
            if other != number and self._rank(other, now) < own_rank
        ]

    def tokens_of_others(self, number: int) -> int:
        """Return the memory that all others need that wait, in tokens."""
        return sum(
            request.tokens for other, (request, _) in self._waiting.items() if other != number
        )

    def may_try(self, number: int, now: float) -> bool:
        """Whether it may ask an engine now.

        Where there was no room for less there is none for it, so it asks only for less than all
        that come before it.
        """
        tokens = self._waiting[number][0].tokens
        return all(other.tokens > tokens for other in self.requests_ahead(number, now))

    def _rank(self, number: int, now: float) -> tuple[bool, float]:
        request, added_at = self._waiting[number]
        return request.is_late(now - added_at), added_at


def stream_event_timeout_s(target_s: float, max_pause_s: float) -> float:
    """Return how long a caller of a stream waits for the next event, in seconds.

    Args:
        target_s: of the route.
        max_pause_s: longest pause of the route's streams that are in time; 0 for no bound.
    """
    return max(
        MIN_EVENT_TIMEOUT_S, EVENT_TIMEOUT_TARGETS * target_s, EVENT_TIMEOUT_PAUSES * max_pause_s
    )


def tokens_to_reserve(
    prompt_tokens: int, likely_tokens: int, max_tokens: int, engine_tokens: int
) -> int:
    """Return the memory to reserve for a request, in tokens.

    All of the likely answer: an answer takes its memory only as it grows, but an engine that runs
    out of memory stops one in its middle and reads it anew. With three quarters of it, 313 answers
    were stopped in 15 played days of three small sites, 163 in 14 with all, and on a day of 68
    instances 277 and 199; first tries in time 0.732 and 0.748 there.

    Args:
        prompt_tokens: tokens of its prompt.
        likely_tokens: the caller's estimate of the answer; 0 for none.
        max_tokens: most tokens of the answer.
        engine_tokens: tokens of memory of an engine.
    """
    answer_tokens = min(likely_tokens or max_tokens, max_tokens)
    blocks = -(-(prompt_tokens + answer_tokens) // BLOCK_TOKENS)
    return min(blocks * BLOCK_TOKENS, engine_tokens)


def engines_to_try(
    servers: Iterable[Server],
    stats_of: Callable[[str], ServerStats],
    *,
    tokens: int,
    kv_tokens: int,
    now: float,
    rng: random.Random,
    refusal_pause_s: float = 0.0,
) -> list[Server]:
    """Return the engines that may have room, the emptiest first as this instance sees it.

    Args:
        servers: engines that write.
        stats_of: what was seen of them.
        tokens: memory that is needed.
        kv_tokens: memory of an engine.
        now: on the runtime's clock.
        rng: for choices between equals.
        refusal_pause_s: how long an engine that refused is left to others.
    """
    candidates = [
        (
            stats_of(server.incarnation_id).reserved_tokens * rng.uniform(1.0, 1.1),
            rng.random(),
            server,
        )
        for server in servers
        if stats_of(server.incarnation_id).breaker.allows_request(now)
        and stats_of(server.incarnation_id).limited_until <= now
        and stats_of(server.incarnation_id).full_until + refusal_pause_s <= now
        and stats_of(server.incarnation_id).reserved_tokens + tokens <= kv_tokens
    ]
    return [server for _, _, server in sorted(candidates, key=lambda row: row[:2])]


def retry_delay_s(
    rng: random.Random, request: ReservationRequest | None = None, free_s: float | None = None
) -> float:
    """Return after how many seconds a refused request should come back.

    Args:
        rng: spreads those that were refused together.
        request: what the request needs, where that is known; one with a long answer comes back
            while there is time for it.
        free_s: seconds until there is memory for it, where that can be predicted.
    """
    delay_s = (DEFAULT_RETRY_DELAY_S if free_s is None else free_s) * rng.uniform(
        *RETRY_DELAY_JITTER
    )
    if request is None:
        return delay_s
    latest = request.remaining_s - request.service_s - RETRY_MARGIN_S
    return max(MIN_RETRY_DELAY_S, min(delay_s, latest) if latest > 0 else delay_s)
