"""Which requests get KV memory on the decode engines, and when refused callers should retry.

KV memory of decode engines is the scarce resource: a prompt that is processed without memory to
decode its answer is processed for nothing. So memory is reserved first. The engine itself decides
whether it has capacity; the decisions here only say which engines to ask, how long to keep asking,
and when to retry.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, replace

from crankhinge.decisions._server_stats import ServerStats
from crankhinge.decisions._servers import Server

# Value of a served request to its caller, and cost of waiting, as fractions of the value of an
# answer in time: the value of a late answer; the value of an answer to a retry (it is late, but the
# caller is not refused again); and the cost of each second for which a caller waits in vain. A
# caller that is kept waiting in vain for three quarters of 14 s has lost the whole value.
LATE_VALUE = 0.2
RETRY_VALUE = 0.5
WAIT_COST_PER_S = 0.1
# Additional seconds for which requests that are already late skip an engine that refused a
# reservation, so that requests that may still be in time find the memory that is freed first.
LATE_REFUSAL_PAUSE_S = 0.3
# The caller of a stream gives up when it has received no event for the longest of these times: a
# minimum in seconds, a multiple of the route's target, and a multiple of the route's longest pause,
# as the operators state it.
MIN_EVENT_TIMEOUT_S = 2.0
EVENT_TIMEOUT_TARGETS = 4.0
EVENT_TIMEOUT_PAUSES = 8.0
# The first event must be sent at least this many seconds before the caller gives up.
EVENT_TIMEOUT_MARGIN_S = 0.2
# Assumed seconds from the reservation to the first event, until some were measured.
DEFAULT_FIRST_EVENT_S = 0.25
# Until enough certain first attempts were seen on a route, a request counts as a caller retry when
# its caller waits less than this fraction of the longest wait seen on the route.
RETRY_OF_LONGEST_WAIT = 0.985
# Number of waits kept for a route: enough to include a first attempt even when most are retries.
MAX_KEPT_WAITS = 64
# Number of certain first attempts on a route from which on their shortest wait is used to recognize
# retries, and the fraction of that wait below which a request is a retry; callers round their
# waits, and a request is on its way for a few milliseconds.
MIN_FIRST_ATTEMPTS = 8
RETRY_OF_SHORTEST_FIRST_WAIT = 0.99
# Assumed seconds to process a prompt and decode its answer, until some were measured.
DEFAULT_SERVICE_S = 3.0
# Seconds of a caller's remaining time that a retry must have left for its wait for memory, in
# addition to its service time.
RETRY_MARGIN_S = 0.5
# Shortest retry delay, in seconds.
MIN_RETRY_DELAY_S = 0.3
# Retry delay in seconds when nothing is known about the memory. Decoding an answer takes two to
# three seconds, so half of the memory passes to other requests in this time.
DEFAULT_RETRY_DELAY_S = 3.0
# Retry delays are multiplied by a random factor between these, so that callers that were refused
# together do not retry together.
RETRY_DELAY_JITTER = (0.9, 1.3)
# KV memory is allocated in blocks of this many tokens.
BLOCK_TOKENS = 16
# Of an answer that is as long as expected, and whose stream is resumed, this share of the expected
# length is assumed to be left.
OVERDUE_SHARE = 0.25
# Longest id of an event that is taken for its number.
MAX_ID_DIGITS = 9


@dataclass(frozen=True, slots=True)
class ReservationRequest:
    """The KV memory that a request needs, and how long it may wait for it.

    Attributes:
        tokens: KV memory, in tokens.
        target_s: seconds within which its first event is in time.
        remaining_s: seconds until its caller gives up.
        event_timeout_s: seconds that its caller waits for a first event.
        is_retry: whether it was refused before and its caller has sent it again.
        service_s: estimated seconds to process its prompt and decode its answer.
        first_event_s: estimated seconds from the reservation to its first event.
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
        """Longest wait in seconds after which a first attempt is still in time; 0 for a retry."""
        return 0.0 if self.is_retry else max(0.0, self.target_s - self.first_event_s)

    @property
    def max_wait_s(self) -> float:
        """Seconds that the request may wait for memory.

        Negative when its answer could not be complete before its caller gives up.

        A request that can only be answered late waits as long as the cost of waiting in vain stays
        below the value of the answer.
        """
        value = RETRY_VALUE if self.is_retry else LATE_VALUE
        return min(self.max_in_time_wait_s + value / WAIT_COST_PER_S, self.latest_wait_s)

    @property
    def latest_wait_s(self) -> float:
        """Seconds after which memory is of no use to the request, whatever the answer is worth."""
        return min(
            self.event_timeout_s - self.first_event_s - EVENT_TIMEOUT_MARGIN_S,
            self.remaining_s - self.service_s,
        )

    def after(self, waited_s: float) -> ReservationRequest:
        """Return the request with the times that are left after it has waited *waited_s*."""
        return replace(
            self,
            target_s=self.target_s - waited_s,
            remaining_s=self.remaining_s - waited_s,
            event_timeout_s=self.event_timeout_s - waited_s,
        )

    def is_late(self, waited_s: float) -> bool:
        """Whether the request can no longer be answered in time after it has waited *waited_s*."""
        return waited_s >= self.max_in_time_wait_s

    def should_keep_waiting(self, waited_s: float, free_s: float | None) -> bool:
        """Whether the request should keep waiting for memory.

        A request that is already late is refused as soon as memory is predicted for a time after
        its longest wait: of the retries with such a prediction 2 in 10 got memory, after two
        seconds, and the others were kept waiting for three. A request that may still be in time
        keeps waiting: of these 6 in 10 got memory in time whatever was predicted, since they go
        before all requests that are late.

        Args:
            waited_s: seconds that it has waited.
            free_s: predicted seconds until memory for it is free; None without a prediction.
        """
        if free_s is None or not self.is_late(waited_s):
            return True
        return free_s <= self.max_wait_s - waited_s

    def refusal_pause_s(self, waited_s: float) -> float:
        """Return how many seconds longer the request skips an engine that refused it."""
        return LATE_REFUSAL_PAUSE_S if self.is_late(waited_s) else 0.0


class CallerRetryDetector:
    """Distinguishes caller retries from first attempts by the time that their callers still wait.

    Callers retry on a new connection, so a request on a connection that was used before is
    certainly a first attempt. Once enough of these were seen on a route, a request whose caller
    waits less than the shortest wait among them is a retry; before that, a request whose caller
    waits less than a fixed fraction of the longest wait. Where first attempts wait 0.85 to 1.0 of
    the longest wait, such a fixed fraction took three of four first attempts for retries.
    """

    def __init__(self) -> None:
        self._recent_waits: dict[str, deque[float]] = {}
        self._first_attempt_waits: dict[str, deque[float]] = {}

    def record_request(
        self, route: str, within_s: float, *, connection_reused: bool = False
    ) -> bool:
        """Record a request; return whether it is a caller retry.

        Args:
            route: name of its route.
            within_s: seconds that its caller still waits.
            connection_reused: whether earlier requests arrived on its connection.
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
    """The requests of one service that wait to reserve memory, in the order in which they try.

    Requests that may still be in time come before those that are late; within each group the order
    is that of arrival.
    """

    def __init__(self) -> None:
        self._waiting: dict[int, tuple[ReservationRequest, float]] = {}
        self._last_number = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, request: ReservationRequest, now: float) -> int:
        """Add a request; return its number in the queue.

        The queue numbers requests itself, since callers may repeat a request id or send none.
        """
        self._last_number += 1
        self._waiting[self._last_number] = (request, now)
        return self._last_number

    def remove(self, number: int) -> None:
        """Remove the request with this number."""
        del self._waiting[number]

    def requests_ahead(self, number: int, now: float) -> list[ReservationRequest]:
        """Return the requests that try to reserve memory before this one."""
        return list(self._iter_ahead(number, now))

    def is_first(self, number: int, now: float) -> bool:
        """Whether no request tries to reserve memory before this one."""
        return next(self._iter_ahead(number, now), None) is None

    def tokens_of_others(self, number: int) -> int:
        """Return the KV memory that all other waiting requests need, in tokens."""
        return sum(
            request.tokens for other, (request, _) in self._waiting.items() if other != number
        )

    def may_try(self, number: int, now: float) -> bool:
        """Whether the request may ask an engine now.

        Where no engine had capacity for a smaller request, none has it for this one. So a request
        asks only if it needs less memory than each request before it.
        """
        tokens = self._waiting[number][0].tokens
        return all(other.tokens > tokens for other in self._iter_ahead(number, now))

    def _iter_ahead(self, number: int, now: float) -> Iterator[ReservationRequest]:
        """Yield the requests before this one, the oldest first.

        All waiting requests ask again and again whether it is their turn, so those that only need
        to know of one request before them must not look at all the others.
        """
        own_rank = self._rank(number, now)
        for other, (request, _) in self._waiting.items():
            if other != number and self._rank(other, now) < own_rank:
                yield request

    def _rank(self, number: int, now: float) -> tuple[bool, float]:
        """Return the sort key of a request; lower keys try first."""
        request, added_at = self._waiting[number]
        return request.is_late(now - added_at), added_at


def stream_event_timeout_s(target_s: float, max_pause_s: float) -> float:
    """Estimate how long the caller of a stream waits for the next event, in seconds.

    Args:
        target_s: latency target of the route, in seconds.
        max_pause_s: longest pause within a stream of the route that counts as in time; 0 for none.
    """
    return max(
        MIN_EVENT_TIMEOUT_S, EVENT_TIMEOUT_TARGETS * target_s, EVENT_TIMEOUT_PAUSES * max_pause_s
    )


def answer_left(expected_tokens: int, max_tokens: int, answered_tokens: int) -> tuple[int, int]:
    """Return the expected and the maximum tokens of an answer that are left.

    Args:
        expected_tokens: the caller's estimate of the length of the answer; 0 for none.
        max_tokens: longest answer, in tokens.
        answered_tokens: tokens of the answer that the caller has.
    """
    expected = min(expected_tokens, max_tokens)
    most = max(1, max_tokens - answered_tokens)
    if expected and answered_tokens:
        expected = max(expected - answered_tokens, round(OVERDUE_SHARE * expected))
    return min(expected, most), most


def answered_tokens(
    event_count: int, last_event_id: str, tokens_per_event: int, max_tokens: int
) -> int:
    """Return how many tokens of an answer its caller has, as far as its events tell.

    Args:
        event_count: events that were passed on in this response.
        last_event_id: id of the last event that the caller had before; empty for none. An id that
            cannot be the number of an event of this answer tells nothing.
        tokens_per_event: tokens in an event.
        max_tokens: longest answer, in tokens.
    """
    is_number = last_event_id.isascii() and last_event_id.isdigit()
    number = int(last_event_id) if is_number and len(last_event_id) <= MAX_ID_DIGITS else 0
    before = number * tokens_per_event
    return event_count * tokens_per_event + (before if before < max_tokens else 0)


def tokens_to_reserve(
    prompt_tokens: int, likely_tokens: int, max_tokens: int, engine_tokens: int
) -> int:
    """Return the KV memory to reserve for a request, in tokens.

    The reservation includes the whole estimated answer. An answer occupies its memory only as it
    grows, but an engine that runs out of memory aborts an answer and processes its prompt again.
    With three quarters of the estimate, 313 answers were aborted in 15 simulated days of three
    small sites, and 163 in 14 with all of it. On a day of 68 instances the numbers were 277 and
    199; there 0.732 and 0.748 of the first attempts were in time.

    Args:
        prompt_tokens: tokens of its prompt.
        likely_tokens: the caller's estimate of the length of the answer; 0 for none.
        max_tokens: longest answer, in tokens.
        engine_tokens: KV memory of an engine, in tokens.
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
    """Return the engines that may have capacity.

    Those with the most free memory, as far as this instance knows, come first.

    Args:
        servers: the decode engines.
        stats_of: returns what this instance measured of a server.
        tokens: KV memory to reserve, in tokens.
        kv_tokens: KV memory of an engine, in tokens.
        now: time of the runtime's clock in seconds.
        rng: breaks ties.
        refusal_pause_s: additional seconds for which to skip an engine that had no capacity.
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
    """Return the seconds after which the caller of a refused request should retry.

    Args:
        rng: varies the delay between callers that are refused together.
        request: what the request needs, if known; a caller with a long answer has to retry while
            there is time left for it.
        free_s: predicted seconds until memory for it is free, if known.
    """
    delay_s = (DEFAULT_RETRY_DELAY_S if free_s is None else free_s) * rng.uniform(
        *RETRY_DELAY_JITTER
    )
    if request is None:
        return delay_s
    latest = request.remaining_s - request.service_s - RETRY_MARGIN_S
    return max(MIN_RETRY_DELAY_S, min(delay_s, latest) if latest > 0 else delay_s)
