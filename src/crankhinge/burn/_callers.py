"""What service was worth to callers, counted from their first try, from gateways' logs.

A caller that was refused and comes back is a *return*; it is told apart by the time that it still
waits, which is shorter than that of a first try on the same route. What counts is the first try:

* in time: the size of the request;
* late: a part of it;
* anything else: nothing; a refused request that is served on its return stays a refused one.

Each second that a request was held and then not served costs, and so do a return that is not served
and a refusal while nobody was asked for room; all of them linearly, with the weights below.
"""

from __future__ import annotations

import enum
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path
from typing import Annotated

import msgspec

from crankhinge.burn._read import parse_line
from crankhinge.decisions import (
    LATE_VALUE,
    MIN_FIRST_ATTEMPTS,
    RETRY_OF_LONGEST_WAIT,
    RETRY_OF_SHORTEST_FIRST_WAIT,
    WAIT_COST_PER_S,
)
from crankhinge.errors import SettingsError

# A refusal within this time, in milliseconds, is one at once: a question to three engines is
# answered in some ten.
AT_ONCE_MS = 60.0
# Weight of a token of an answer against one of a prompt in the size of a request, and the part of
# a request's worth that does not depend on its size.
ANSWER_WEIGHT = 10
FLAT_PART = 0.3
# Largest worth of a request, in those of the mean one.
LARGEST = 4.0
# A caller that goes later than this part of the time that it would have waited was held in vain;
# one that goes before has changed its mind.
HELD_TO_END = 0.9

_ENDS = frozenset({"answered", "request_failed", "broken_off", "caller_gone"})

Part = Annotated[float, msgspec.Meta(ge=0, le=10)]


class CallerWeights(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What counts how much, in parts of the size of the request concerned.

    Attributes:
        late: an answer that is late.
        held_per_s: cost of each second that a request is held and then not served.
        failed_return: cost of a return that is not served.
        needless: cost of a refusal for which no server was asked for room.
        kinds: worth of a request of mean size by kind of route; 1 where none is given.
    """

    late: Part = LATE_VALUE
    held_per_s: Part = WAIT_COST_PER_S
    failed_return: Part = 0.3
    needless: Part = 0.5
    kinds: dict[str, float] = {}


class Outcome(enum.Enum):
    """How a try ended for its caller."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED_AT_ONCE = "refused at once"
    REFUSED_LATER = "refused after a wait"
    FAILED = "failed"
    LEFT = "left by its caller"

    @property
    def served(self) -> bool:
        """Whether the caller got its answer."""
        return self in (Outcome.IN_TIME, Outcome.LATE)


@dataclass(frozen=True, slots=True)
class Try:
    """One request as a gateway saw it end.

    Attributes:
        at: seconds since the epoch when it began.
        route: its route's name.
        kind: of its route.
        within_ms: how long its caller waited at most.
        took_ms: how long it was in the gateway's hands.
        size: prompt and weighed answer, in tokens; 0 for a plain request.
        outcome: how it ended.
        needless: whether it was refused although nobody was asked for room.
        kept: whether earlier requests came on its connection.
    """

    at: float
    route: str
    kind: str
    within_ms: float
    took_ms: float
    size: float
    outcome: Outcome
    needless: bool
    kept: bool = False


@dataclass
class Tally:
    """The callers' account of some requests.

    Attributes:
        firsts: first tries by outcome.
        returns: the same for returns.
        held_s: seconds that requests were held and then not served.
        owed: worth of all first tries, had they been in time.
        earned: worth of what was served.
        costs: worth of seconds held in vain, failed returns and needless refusals.
    """

    firsts: dict[Outcome, int] = field(default_factory=lambda: dict.fromkeys(Outcome, 0))
    returns: dict[Outcome, int] = field(default_factory=lambda: dict.fromkeys(Outcome, 0))
    held_s: float = 0.0
    owed: float = 0.0
    earned: float = 0.0
    costs: float = 0.0

    @property
    def worth(self) -> float:
        """Return the callers' worth as a part of what was owed."""
        return (self.earned - self.costs) / self.owed if self.owed else 0.0


@dataclass
class CallersAccount:
    """The whole account.

    Attributes:
        whole: of all requests.
        routes: by route.
        windows: by number of the window since the first request.
        window_s: length of a window, in seconds.
    """

    whole: Tally
    routes: dict[str, Tally]
    windows: dict[int, Tally]
    window_s: float


def read_tries(paths: Iterable[Path]) -> list[Try]:
    """Return the requests that ended in gateways' logs, in order of time.

    Raises:
        SettingsError: a file can't be read.
    """
    tries = [one for path in paths for one in _read_file(path)]
    return sorted(tries, key=lambda one: one.at)


def _read_file(path: Path) -> Iterator[Try]:
    asked: dict[str, bool] = {}
    try:
        with path.open(encoding="utf-8", errors="replace") as file:
            for line in file:
                pairs = parse_line(line)
                event, ident = pairs.get("event"), pairs.get("request", "")
                if event == "place_refused":
                    asked[ident] = pairs.get("asked") != "0" or pairs.get("ahead", "0") != "0"
                if event in _ENDS and "within_ms" in pairs:
                    yield from _try_of(pairs, needless=not asked.pop(ident, True))
    except OSError as exc:
        raise SettingsError(f"{path}: cannot be read: {exc.strerror}") from exc


def _try_of(pairs: dict[str, str], *, needless: bool) -> Iterator[Try]:
    """Give the try that a line tells of; nothing where its figures are none."""
    try:
        took_ms = float(pairs["took_ms"])
        yield Try(
            at=datetime.fromisoformat(pairs["ts"]).timestamp() - took_ms / 1000,
            route=pairs["route"],
            kind=pairs["kind"],
            within_ms=float(pairs["within_ms"]),
            took_ms=took_ms,
            size=float(pairs.get("prompt", 0)) + ANSWER_WEIGHT * float(pairs.get("most", 0)),
            outcome=_outcome_of(pairs, took_ms),
            needless=needless,
            kept=pairs.get("kept") == "true",
        )
    except (KeyError, ValueError):
        return


def _outcome_of(pairs: dict[str, str], took_ms: float) -> Outcome:
    event = pairs["event"]
    if event == "caller_gone":
        held = took_ms >= HELD_TO_END * float(pairs["within_ms"])
        late = "first_ms" not in pairs and took_ms > float(pairs["target_ms"])
        return Outcome.FAILED if held or late else Outcome.LEFT
    if event == "answered" and pairs.get("status") == "200":
        return Outcome.IN_TIME if _in_time(pairs, took_ms) else Outcome.LATE
    if event == "request_failed" and pairs.get("status") in ("503", "429"):
        return Outcome.REFUSED_AT_ONCE if took_ms <= AT_ONCE_MS else Outcome.REFUSED_LATER
    return Outcome.FAILED


def _in_time(pairs: dict[str, str], took_ms: float) -> bool:
    first_ms = float(pairs.get("first_ms", took_ms))
    pause_ms = float(pairs.get("pause_ms", 0)) or float("inf")
    return first_ms <= float(pairs["target_ms"]) and float(pairs.get("gap_ms", 0)) <= pause_ms


def callers_account(
    tries: Iterable[Try], weights: CallerWeights, *, window_s: float
) -> CallersAccount:
    """Return the account of *tries*, in windows of *window_s* seconds."""
    tries = [one for one in tries if one.outcome is not Outcome.LEFT]
    shortest = _shortest_firsts(tries)
    sizes: defaultdict[str, list[float]] = defaultdict(list)
    for one in tries:
        sizes[one.route].append(one.size)
    means = {route: sum(values) / len(values) for route, values in sizes.items()}
    account = CallersAccount(Tally(), defaultdict(Tally), defaultdict(Tally), window_s)
    start = tries[0].at if tries else 0.0
    for one in tries:
        worth = weights.kinds.get(one.kind, 1.0) * _size_part(one, means[one.route])
        returned = not one.kept and one.within_ms < shortest[one.route]
        window = int((one.at - start) // window_s)
        for tally in (account.whole, account.routes[one.route], account.windows[window]):
            _count(tally, one, worth, weights, returned=returned)
    return account


def _shortest_firsts(tries: list[Try]) -> dict[str, float]:
    """Return the wait below which a request of a route was refused before, in milliseconds.

    Callers come back on new connections, so requests on kept ones are first tries.
    """
    waits: defaultdict[str, list[float]] = defaultdict(list)
    firsts: defaultdict[str, list[float]] = defaultdict(list)
    for one in tries:
        waits[one.route].append(one.within_ms)
        if one.kept:
            firsts[one.route].append(one.within_ms)
    return {
        route: RETRY_OF_SHORTEST_FIRST_WAIT * min(firsts[route])
        if len(firsts[route]) >= MIN_FIRST_ATTEMPTS
        else RETRY_OF_LONGEST_WAIT * max(all_waits)
        for route, all_waits in waits.items()
    }


def _size_part(one: Try, mean: float) -> float:
    if mean <= 0:
        return 1.0
    return min(LARGEST, FLAT_PART + (1 - FLAT_PART) * one.size / mean)


def _count(tally: Tally, one: Try, worth: float, weights: CallerWeights, *, returned: bool) -> None:
    (tally.returns if returned else tally.firsts)[one.outcome] += 1
    if not returned:
        tally.owed += worth
        if one.outcome.served:
            tally.earned += worth * (1.0 if one.outcome is Outcome.IN_TIME else weights.late)
    if one.outcome.served:
        return
    tally.held_s += one.took_ms / 1000
    tally.costs += worth * weights.held_per_s * one.took_ms / 1000
    if returned:
        tally.costs += worth * weights.failed_return
    if one.needless:
        tally.costs += worth * weights.needless
