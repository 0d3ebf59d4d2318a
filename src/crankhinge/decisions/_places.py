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

from crankhinge.decisions._servers import Server
from crankhinge.decisions._standing import Standing

# What a served request is worth to its caller, and what waiting costs, in parts of the worth of an
# answer in time: an answer that is late, an answer on a return (late, and no second refusal), and a
# second held in vain. A caller held for three quarters of 14 s has lost all of it.
LATE_WORTH = 0.2
RETURN_WORTH = 0.5
HELD_PER_S = 0.1
# An engine that refused is left alone for this long, in seconds, by requests that are late anyway,
# so that others', which may yet be in time, find the memory that frees first.
LATE_YIELD_S = 0.3
# A caller of a stream leaves when no event has come for the longest of these: seconds, the route's
# target and its longest pause, so many times over, as the operators state it.
SILENT_S = 2.0
SILENT_TARGETS = 4.0
SILENT_PAUSES = 8.0
# Seconds before that at which its first event has to be on its way.
SILENT_SPARE_S = 0.2
# Seconds from a place to the first event, until some were seen.
FIRST_S = 0.25
# A request is held to have come back when its caller waits less than this part of the longest wait
# seen on its route.
RETURNED_PART = 0.985
# Waits that are remembered of a route: enough to hold a first try also when most are returns.
WAITS_KEPT = 64
# Certain first tries from which the shortest wait of one is taken, and the part of that below which
# a caller has come back; callers round their waits and are a few milliseconds on the way.
FIRSTS_LEAST = 8
FIRSTS_PART = 0.99
# Reading and writing are held to take this long, in seconds, until answers have shown the pace.
SERVE_S = 3.0
# What is left after coming back and being served, in seconds: the wait for a place, then.
BACK_SPARE_S = 0.5
# Nobody is told to come back sooner, in seconds.
BACK_LEAST_S = 0.3
# When to come back where nothing is known of memory: writing an answer takes two to three seconds,
# so half of the places change hands in this time.
BACK_S = 3.0
# Predictions are spread by these factors, which keep those that were refused together from
# returning together.
BACK_SPREAD = (0.9, 1.3)
# Memory is given out in blocks of this many tokens.
BLOCK = 16


@dataclass(frozen=True, slots=True)
class PlaceAsk:
    """What a request needs.

    Attributes:
        tokens: memory, in tokens.
        target_s: seconds within which its first event is in time.
        left_s: seconds that its caller still waits.
        silent_s: seconds that its caller waits for a first event.
        returned: whether it was refused before and has come back.
        serve_s: seconds that reading it and writing its likely answer take.
        first_s: seconds from a place to its first event.
    """

    tokens: int
    target_s: float
    left_s: float
    silent_s: float = float("inf")
    returned: bool = False
    serve_s: float = SERVE_S
    first_s: float = FIRST_S

    @property
    def in_time_s(self) -> float:
        """Seconds that it may wait and still be in time for its caller's first try."""
        return 0.0 if self.returned else max(0.0, self.target_s - self.first_s)

    @property
    def patience_s(self) -> float:
        """Seconds that it may wait for a place; negative when its answer could not end in time.

        A late answer is waited for as long as the wait, if it was in vain, costs less than the
        answer is worth.
        """
        worth = RETURN_WORTH if self.returned else LATE_WORTH
        return min(
            self.in_time_s + worth / HELD_PER_S,
            self.silent_s - self.first_s - SILENT_SPARE_S,
            self.left_s - self.serve_s,
        )

    def late(self, waited_s: float) -> bool:
        """Whether it can't be in time any more."""
        return waited_s >= self.in_time_s

    def worth_waiting(self, waited_s: float, free_s: float | None) -> bool:
        """Whether it goes on waiting when memory for it is predicted to free in *free_s*.

        A request that is late anyway is refused as soon as memory is predicted to come after its
        patience: of returns with such a prediction 2 in 10 got a place, after two seconds, and the
        others were held for three. Who may be in time waits: of these 6 in 10 got a place in time
        whatever was predicted, since they go before all that is late.
        """
        if free_s is None or not self.late(waited_s):
            return True
        return free_s <= self.patience_s - waited_s

    def yield_s(self, waited_s: float) -> float:
        """Return how long after an engine's refusal it is left to others, in seconds."""
        return LATE_YIELD_S if self.late(waited_s) else 0.0


class FirstTries:
    """Tells returns from first tries by how long their callers still wait.

    Callers come back on a new connection, so whoever comes on one that was used before is a first
    try, and the shortest wait of these tells from where on a wait is that of a return. Where
    callers wait 0.85 to 1.0 of the longest wait, a fixed part of that took three of four first
    tries for returns.
    """

    def __init__(self) -> None:
        self._waits: dict[str, deque[float]] = {}
        self._firsts: dict[str, deque[float]] = {}

    def returned(self, route: str, within_s: float, *, kept: bool = False) -> bool:
        """Note a request of *route* whose caller waits *within_s*; returns whether it came back.

        Args:
            route: its name.
            within_s: seconds.
            kept: whether earlier requests came on its connection.
        """
        waits = self._waits.setdefault(route, deque(maxlen=WAITS_KEPT))
        waits.append(within_s)
        firsts = self._firsts.setdefault(route, deque(maxlen=WAITS_KEPT))
        if kept:
            firsts.append(within_s)
            return False
        if len(firsts) < FIRSTS_LEAST:
            return within_s < RETURNED_PART * max(waits)
        return within_s < FIRSTS_PART * min(firsts)


class WaitingOrder:
    """The order in which requests of one service that found no room ask for it.

    Those that may yet be in time come before those that are late anyway; each in order of arrival.
    """

    def __init__(self) -> None:
        self._waiting: dict[int, tuple[PlaceAsk, float]] = {}
        self._entered = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def enter(self, need: PlaceAsk, now: float) -> int:
        """Add a request; returns its number, since callers may send one identity twice or none."""
        self._entered += 1
        self._waiting[self._entered] = (need, now)
        return self._entered

    def leave(self, number: int) -> None:
        """Remove a request."""
        del self._waiting[number]

    def ahead(self, number: int, now: float) -> list[PlaceAsk]:
        """Return the requests before this one."""
        mine = self._rank(number, now)
        return [
            need
            for other, (need, _) in self._waiting.items()
            if other != number and self._rank(other, now) < mine
        ]

    def tokens(self, number: int) -> int:
        """Return the memory that all others need that wait, in tokens."""
        return sum(need.tokens for other, (need, _) in self._waiting.items() if other != number)

    def may_ask(self, number: int, now: float) -> bool:
        """Whether it may ask an engine now.

        Where there was no room for less there is none for it, so it asks only for less than all
        that come before it.
        """
        tokens = self._waiting[number][0].tokens
        return all(need.tokens > tokens for need in self.ahead(number, now))

    def _rank(self, number: int, now: float) -> tuple[bool, float]:
        need, since = self._waiting[number]
        return need.late(now - since), since


def silent_s(target_s: float, pause_s: float) -> float:
    """Return how long a caller of a stream waits for the next event, in seconds.

    Args:
        target_s: of the route.
        pause_s: longest pause of the route's streams that are in time; 0 for no bound.
    """
    return max(SILENT_S, SILENT_TARGETS * target_s, SILENT_PAUSES * pause_s)


def memory_needed(prompt: int, likely: int, most: int, longest: int) -> int:
    """Return the memory to reserve for a request, in tokens.

    All of the likely answer: an answer takes its memory only as it grows, but an engine that runs
    out of memory stops one in its middle and reads it anew. With three quarters of it, 313 answers
    were stopped in 15 played days of three small sites, 163 in 14 with all, and on a day of 68
    instances 277 and 199; first tries in time 0.732 and 0.748 there.

    Args:
        prompt: tokens of its prompt.
        likely: the caller's estimate of the answer; 0 for none.
        most: most tokens of the answer.
        longest: tokens of memory of an engine.
    """
    answer = min(likely or most, most)
    blocks = -(-(prompt + answer) // BLOCK)
    return min(blocks * BLOCK, longest)


def places_to_ask(
    servers: Iterable[Server],
    standing_of: Callable[[str], Standing],
    *,
    tokens: int,
    kv_tokens: int,
    now: float,
    rng: random.Random,
    yield_s: float = 0.0,
) -> list[Server]:
    """Return the engines that may have room, the emptiest first as this instance sees it.

    Args:
        servers: engines that write.
        standing_of: what was seen of them.
        tokens: memory that is needed.
        kv_tokens: memory of an engine.
        now: on the runtime's clock.
        rng: for choices between equals.
        yield_s: how long an engine that refused is left to others.
    """
    able = [
        (standing_of(server.ident).tokens * rng.uniform(1.0, 1.1), rng.random(), server)
        for server in servers
        if standing_of(server.ident).breaker.allows(now)
        and standing_of(server.ident).limited_until <= now
        and standing_of(server.ident).full_until + yield_s <= now
        and standing_of(server.ident).tokens + tokens <= kv_tokens
    ]
    return [server for _, _, server in sorted(able, key=lambda row: row[:2])]


def back_after(
    rng: random.Random, need: PlaceAsk | None = None, free_s: float | None = None
) -> float:
    """Return after how many seconds a refused request should come back.

    Args:
        rng: spreads those that were refused together.
        need: what the request needs, where that is known; one with a long answer comes back while
            there is time for it.
        free_s: seconds until there is memory for it, where that can be predicted.
    """
    back = (BACK_S if free_s is None else free_s) * rng.uniform(*BACK_SPREAD)
    if need is None:
        return back
    latest = need.left_s - need.serve_s - BACK_SPARE_S
    return max(BACK_LEAST_S, min(back, latest) if latest > 0 else back)
