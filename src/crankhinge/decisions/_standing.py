"""What one instance has seen of a backend server: load, speed, failures."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from crankhinge.decisions._breaker import Breaker
from crankhinge.decisions._servers import Phase, Server

# Weight of the newest sample in the averages: some ten requests shape them.
EWMA = 0.15
# How much a failure share of one makes a server look slower.
FAILURE_FACTOR = 8.0
# Before anything was seen of any server all count as this fast, in seconds.
FIRST_TOOK_S = 0.05
# An engine that had no room for a reservation is asked again after this long, in seconds: with
# twelve answers of three seconds in its memory, one ends four times as rarely.
NO_ROOM_S = 0.06
# After a refusal a server is left alone for this long, in seconds; twice as long after each further
# one, up to the most. An engine that changes its part refuses for six seconds or more, and all
# instances together may repeat a fifth of their requests only; a plain server that refuses at once
# looks least busy, and would get most of the next calls.
REFUSED_S = 0.7
REFUSED_MOST_S = 6.0
# A server in another availability zone looks this much slower; a few percent is what the way costs.
FAR_FACTOR = 1.1


@dataclass(frozen=True, slots=True)
class PhaseChange:
    """An order that a server has taken.

    Attributes:
        phase: the part that it will play.
        until: when it does at the latest, or the order is over.
    """

    phase: Phase
    until: float


@dataclass
class Standing:
    """Beliefs about one server; ages are those of the requests that shaped them.

    Attributes:
        open: requests of this instance in progress there.
        tokens: memory in tokens that those requests take.
        took_s: average time of an answer; 0 before the first.
        failing: average share of failures.
        full_until: when to ask again after it refused for want of room; a guess. What it asks for
            itself is kept in :class:`Bars`.
        limited_until: when it may be sent more than it says it takes all together.
        refusals: in a row.
        replaced: another server has its address.
        change: the last order that it is known to have taken.
    """

    open: int = 0
    tokens: int = 0
    took_s: float = 0.0
    failing: float = 0.0
    full_until: float = 0.0
    limited_until: float = 0.0
    refusals: int = 0
    replaced: bool = False
    change: PhaseChange | None = None
    breaker: Breaker = field(default_factory=Breaker)

    def plays(self, phase: Phase, now: float) -> Phase:
        """Return the part that it takes work for, when its entry tells *phase*.

        From an order on it refuses work for its old part, and its entry tells the new one some six
        seconds later. What is sent until then is refused, and each refusal is a repeat.
        """
        change = self.change
        return phase if change is None or now >= change.until else change.phase

    def succeeded(self, took_s: float) -> None:
        """Note an answer."""
        self.took(took_s)
        self.failing *= 1 - EWMA
        self.refusals = 0
        self.breaker.succeeded()

    def took(self, seconds: float) -> None:
        """Note how long a request took, or how long it was waited for in vain."""
        # The first tells all: averages that begin elsewhere take a reader's ten answers to arrive.
        self.took_s += (EWMA if self.took_s else 1.0) * (seconds - self.took_s)

    def failed(self, now: float) -> None:
        """Note a failure of the server itself."""
        self.failing += EWMA * (1 - self.failing)
        self.breaker.failed(now)

    def refused(self, now: float) -> None:
        """Note that the server took a request up without running it."""
        self.failing += EWMA * (1 - self.failing)
        self.full_until = now + min(REFUSED_MOST_S, REFUSED_S * 2.0**self.refusals)
        self.refusals = min(10, self.refusals + 1)

    def had_no_room(self, now: float, rng: random.Random) -> None:
        """Note that it had no room for a reservation; instances ask again at different times."""
        # The pause after a refusal is longer, and no shorter for this.
        self.full_until = max(self.full_until, now + NO_ROOM_S * rng.uniform(0.7, 1.3))

    def at_limit(self, now: float, after_s: float) -> None:
        """Note that it may be sent a request in *after_s*; several may be told different times."""
        until = now + after_s
        known = self.limited_until
        self.limited_until = min(known, until) if known > now else until

    def cost(self, usual_s: float, *, far: bool) -> float:
        """Return the expected wait there, in arbitrary units.

        Args:
            usual_s: what an answer is held to take where nothing was seen, in seconds.
            far: whether it is in another availability zone.
        """
        took_s = max(self.took_s or usual_s, 0.001)
        base = (self.open + 1) * took_s * (1 + FAILURE_FACTOR * self.failing)
        return base * (FAR_FACTOR if far else 1.0)


def _usual_s(standings: Iterable[Standing]) -> float:
    """Return what an answer is held to take at a server of which nothing was seen, in seconds.

    As the others on the mean: held for faster, a reader that came in the place of another would get
    the requests of all instances at once.
    """
    seen = [standing.took_s for standing in standings if standing.took_s]
    return sum(seen) / len(seen) if seen else FIRST_TOOK_S


def pick_server(
    servers: Iterable[Server],
    standing_of: Callable[[str], Standing],
    *,
    zone: str,
    now: float,
    rng: random.Random,
    avoid: frozenset[str] = frozenset(),
) -> Server | None:
    """Return the server with the least expected wait, or None when there is none.

    Servers that take no more now are out of the question. Those whose breaker is open, or that
    refused a moment ago without a word on when to come back, are taken only when there is no other.
    """
    able = [
        server
        for server in servers
        if server.ident not in avoid and standing_of(server.ident).limited_until <= now
    ]
    sound = [
        server
        for server in able
        if standing_of(server.ident).breaker.allows(now)
        and standing_of(server.ident).full_until <= now
    ]
    choice = sound or able
    if not choice:
        return None
    usual_s = _usual_s(standing_of(server.ident) for server in choice)
    costs = {
        server.ident: standing_of(server.ident).cost(usual_s, far=server.zone != zone)
        * rng.uniform(1.0, 1.2)
        for server in choice
    }
    return min(choice, key=lambda server: costs[server.ident])
