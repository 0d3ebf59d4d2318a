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

# An engine that had no room is asked again after this long, in seconds: some three steps of a
# full batch end one request in this time.
FULL_S = 0.06
# Part of the time for the first event that a newcomer may wait for a place. A refusal within a
# quarter of that time is worth half an answer when the request is served on its return.
NEWCOMER_PART = 0.21
# A request with less than this part of its route's time left has been refused before.
RETURNED_PART = 0.985
# What a returned request keeps for reading and writing, in seconds.
SERVE_S = 3.0
# When to come back: writing an answer takes two to three seconds, so half of the places change
# hands in this time. The spread keeps those that were refused together from returning together.
BACK_S = 1.0
BACK_SPREAD_S = 1.5
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
    """

    tokens: int
    first_by_s: float
    left_s: float
    route_s: float

    @property
    def returned(self) -> bool:
        """Whether it was refused before and has come back."""
        return self.left_s < self.route_s * RETURNED_PART

    @property
    def patience_s(self) -> float:
        """Seconds that it may wait for a place."""
        if self.returned:
            return max(0.0, self.left_s - SERVE_S)
        return min(self.first_by_s * NEWCOMER_PART, max(0.0, self.left_s - SERVE_S))


def memory_needed(prompt: int, likely: int, most: int, longest: int) -> int:
    """Return the memory to reserve for a request, in tokens.

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
) -> list[Server]:
    """Return the engines that may have room, the emptiest first as this instance sees it."""
    able = [
        (standing_of(server.ident).tokens * rng.uniform(1.0, 1.1), rng.random(), server)
        for server in servers
        if standing_of(server.ident).breaker.allows(now)
        and standing_of(server.ident).full_until <= now
        and standing_of(server.ident).tokens + tokens <= kv_tokens
    ]
    return [server for _, _, server in sorted(able, key=lambda row: row[:2])]


def back_after(rng: random.Random) -> float:
    """Return after how many seconds a refused request should come back."""
    return BACK_S + rng.random() * BACK_SPREAD_S
