"""Who is let into the memory of the engines that write, and who is told to come back.

Memory to write in is the scarce good: a prompt that is read without a place to write is read for
nothing. So a place is reserved first; the engine itself is the judge of its room, and these
decisions only say whom to ask, how long to ask, and when to come back.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from crankhinge.decisions._servers import Server
from crankhinge.decisions._standing import Standing

# A newcomer leaves an engine alone for this long after its refusal, in seconds: who came back
# asks first, since a second refusal costs more than a first. Who is late anyway asks last.
YIELD_S = 0.12
LATE_YIELD_S = 0.4
# Part of the time for the first event that a newcomer may wait for a place. A refusal within a
# quarter of that time is worth half an answer when the request is served on its return.
NEWCOMER_PART = 0.18
# The same for a request that was refused before; reading and the first event take the rest.
RETURNED_WAIT_PART = 0.55
# After that it goes on waiting, behind everybody else, until this part: an answer that is late is
# worth less than one in time and more than none. Callers leave at four times the objective.
LATE_WAIT_PART = 3.0
# A request with less than this part of its route's time left has been refused before.
RETURNED_PART = 0.985
# Reading and writing are held to take this long, in seconds, until answers have shown the pace.
SERVE_S = 3.0
# What is left after coming back and being served, in seconds: the wait for a place, then.
BACK_SPARE_S = 0.5
# Nobody is told to come back sooner, in seconds.
BACK_LEAST_S = 0.3
# When to come back: writing an answer takes two to three seconds, so half of the places change
# hands in this time. The spread keeps those that were refused together from returning together.
BACK_S = 3.0
BACK_SPREAD_S = 1.6
# Part of the likely answer that is reserved: an answer takes its memory as it grows, and those
# that run beside it are at other points of theirs.
ANSWER_PART = 0.75
# Memory is given out in blocks of this many tokens.
BLOCK = 16


@dataclass(frozen=True, slots=True)
class PlaceAsk:
    """What a request needs.

    Attributes:
        tokens: memory, in tokens.
        first_by_s: seconds within which its first event is worth most.
        left_s: seconds that its caller still waits.
        route_s: seconds that its route allows from the start.
        serve_s: seconds that reading it and writing its likely answer take.
    """

    tokens: int
    first_by_s: float
    left_s: float
    route_s: float
    serve_s: float = SERVE_S

    @property
    def returned(self) -> bool:
        """Whether it was refused before and has come back."""
        return self.left_s < self.route_s * RETURNED_PART

    @property
    def patience_s(self) -> float:
        """Seconds that it may wait for a place; negative when it can't be served in time any more.

        Memory that is given to an answer that can't end in time serves nobody.
        """
        part = LATE_WAIT_PART if self.returned else NEWCOMER_PART
        return min(self.first_by_s * part, self.left_s - self.serve_s)

    def yield_s(self, waited_s: float) -> float:
        """Return how long after an engine's refusal it is left to others, in seconds."""
        if not self.returned:
            return YIELD_S
        return 0.0 if waited_s <= self.first_by_s * RETURNED_WAIT_PART else LATE_YIELD_S


def memory_needed(prompt: int, likely: int, most: int, longest: int) -> int:
    """Return the memory to reserve for a request, in tokens.

    Args:
        prompt: tokens of its prompt.
        likely: the caller's estimate of the answer; 0 for none.
        most: most tokens of the answer.
        longest: tokens of memory of an engine.
    """
    answer = int(min(likely or most, most) * ANSWER_PART)
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
        and standing_of(server.ident).full_until + yield_s <= now
        and standing_of(server.ident).tokens + tokens <= kv_tokens
    ]
    return [server for _, _, server in sorted(able, key=lambda row: row[:2])]


def back_after(rng: random.Random, need: PlaceAsk | None = None) -> float:
    """Return after how many seconds a refused request should come back.

    Args:
        rng: spreads those that were refused together.
        need: what the request needs, where that is known; one with a long answer comes back while
            there is time for it.
    """
    back = BACK_S + rng.random() * BACK_SPREAD_S
    if need is None:
        return back
    latest = need.left_s - need.serve_s - BACK_SPARE_S
    return max(BACK_LEAST_S, min(back, latest)) if latest > 0 else back
