"""Messages about placement between instances, one per datagram.

Each may be lost, late or duplicated. A coordinator receives them for all runs of its engines, so
they are kept short: they are encoded as arrays, times are whole milliseconds, groups and engines
are hashes, and the owner of a run is the sender. A run is identified by its owner and its counter;
its run id is ``<owner>/<counter>``.
"""

from __future__ import annotations

import functools
import hashlib
from dataclasses import dataclass

import msgspec

from crankhinge.decisions.placement import (
    PlacementDecision,
    PlacementOutcome,
    PlacementRequest,
    PrefillOutcome,
    RunReport,
)


def to_run_id(owner: str, counter: int) -> str:
    """Return the run id of an owner's run."""
    return f"{owner}/{counter}"


def to_counter(run_id: str) -> int:
    """Return the counter in a run id."""
    return int(run_id.rpartition("/")[2])


@functools.lru_cache(maxsize=4096)
def engine_hash(incarnation_id: str) -> int:
    """Return a number of 16 bits that distinguishes the engines of a group in reports."""
    return int.from_bytes(hashlib.blake2b(incarnation_id.encode(), digest_size=2).digest(), "big")


def to_ms(seconds: float) -> int:
    """Return a time as a message carries it."""
    return round(seconds * 1000)


@dataclass(frozen=True, slots=True)
class GroupKey:
    """A group of engines.

    Attributes:
        service: name of the service.
        group: number of the group.
    """

    service: str
    group: int

    def __str__(self) -> str:
        """Return the key by which the instances are ordered for this group."""
        return f"placement:{self.service}:{self.group}"

    @property
    def id(self) -> int:
        """Number of 32 bits that stands for the group in messages."""
        return _group_id(str(self))


@functools.lru_cache(maxsize=4096)
def _group_id(key: str) -> int:
    return int.from_bytes(hashlib.blake2b(key.encode(), digest_size=4).digest(), "big")


class PlacementAsk(msgspec.Struct, frozen=True, array_like=True, tag="pa"):
    """Request for a place on an engine; asking again returns the present state.

    Attributes:
        group_id: id of the group of engines.
        counter: counter of the run.
        account: name of the client account; empty without accounts.
        rank: priority, 0 is first.
        route: name of the route.
        prompt_tokens: tokens to process before the first event.
        expected_tokens: estimated length of the answer; 0 if unknown.
        max_tokens: maximum length of the answer.
        target_ms: milliseconds until the first event is late.
        timeout_ms: milliseconds until the caller gives up without an event.
        left_ms: milliseconds until the deadline.
        pause_ms: longest pause between events that counts as in time; 0 for no bound.
        is_retry: whether the caller was refused before.
        zone: availability zone of the owner.
        avoid: incarnation ids of engines that must not be used.
        full: incarnation id of the granted engine, if it had no room itself; empty otherwise.
        version: software version that the engine must have; empty for any.
    """

    group_id: int
    counter: int
    account: str
    rank: int
    route: str
    prompt_tokens: int
    expected_tokens: int
    max_tokens: int
    target_ms: int
    timeout_ms: int
    left_ms: int
    pause_ms: int
    is_retry: bool
    zone: str
    avoid: tuple[str, ...] = ()
    full: str = ""
    version: str = ""

    def to_request(self, owner: str) -> PlacementRequest:
        """Return the request as the decisions take it."""
        return PlacementRequest(
            run_id=to_run_id(owner, self.counter),
            owner=owner,
            account=self.account,
            rank=self.rank,
            route=self.route,
            prompt_tokens=self.prompt_tokens,
            expected_tokens=self.expected_tokens,
            max_tokens=self.max_tokens,
            target_left_s=self.target_ms / 1000,
            event_timeout_s=self.timeout_ms / 1000,
            remaining_s=self.left_ms / 1000,
            is_retry=self.is_retry,
            zone=self.zone,
            avoid=self.avoid,
            max_pause_s=self.pause_ms / 1000,
            version=self.version,
        )


class PlacementReply(msgspec.Struct, frozen=True, array_like=True, tag="pr"):
    """Response to a :class:`PlacementAsk`.

    Attributes:
        counter: counter of the run.
        outcome: the decision.
        engine: incarnation id of the engine, if granted.
        reserve_tokens: tokens to reserve at the engine, if granted.
        after_ms: milliseconds after which the caller should retry, if refused.
        reader: incarnation id of the prefill engine, if granted; empty if none is known.
        is_reader_idle: whether the prefill engine has no other work.
    """

    counter: int
    outcome: PlacementOutcome
    engine: str = ""
    reserve_tokens: int = 0
    after_ms: int = 0
    reader: str = ""
    is_reader_idle: bool = False

    @property
    def decision(self) -> PlacementDecision:
        """The decision."""
        return PlacementDecision(
            self.outcome,
            self.engine,
            self.reserve_tokens,
            self.after_ms / 1000,
            self.reader,
            self.is_reader_idle,
        )


class PlacementGrant(msgspec.Struct, frozen=True, array_like=True, tag="pg"):
    """Decision about a waiting request, sent when its turn comes.

    Attributes:
        group_id: id of the group of engines.
        reply: the decision.
    """

    group_id: int
    reply: PlacementReply


class PlacementWithdrawal(msgspec.Struct, frozen=True, array_like=True, tag="pw"):
    """The caller of a request is gone, or the request was served elsewhere or refused.

    Attributes:
        group_id: id of the group of engines.
        counter: counter of the run.
    """

    group_id: int
    counter: int


class RunState(msgspec.Struct, frozen=True, array_like=True):
    """What changes while a run is in progress.

    Attributes:
        counter: counter of the run.
        made_tokens: tokens of the answer so far.
        engine_hash: :func:`engine_hash` of the engine.
        movable: whether it may be moved to another engine now.
    """

    counter: int
    made_tokens: int
    engine_hash: int
    movable: bool = False


class RunDetails(msgspec.Struct, frozen=True, array_like=True):
    """All that a coordinator needs to know about a run that it did not place.

    Attributes:
        counter: counter of the run.
        made_tokens: tokens of the answer so far.
        engine: incarnation id of the engine.
        prompt_tokens: tokens of its prompt.
        expected_tokens: estimated length of the answer; 0 if unknown.
        max_tokens: maximum length of the answer.
        rank: priority, 0 is first.
        account: name of the client account; empty without accounts.
        route: name of the route.
        age_ms: milliseconds since its memory was reserved.
        pause_ms: longest pause between events that counts as in time; 0 for no bound.
        movable: whether it may be moved to another engine now.
    """

    counter: int
    made_tokens: int
    engine: str
    prompt_tokens: int
    expected_tokens: int
    max_tokens: int
    rank: int
    account: str
    route: str
    age_ms: int
    pause_ms: int
    movable: bool

    def to_report(self, owner: str) -> RunReport:
        """Return the report as the decisions take it."""
        return RunReport(
            run_id=to_run_id(owner, self.counter),
            engine=self.engine,
            prompt_tokens=self.prompt_tokens,
            expected_tokens=self.expected_tokens,
            max_tokens=self.max_tokens,
            made_tokens=self.made_tokens,
            rank=self.rank,
            account=self.account,
            route=self.route,
            age_s=self.age_ms / 1000,
            movable=self.movable,
            max_pause_s=self.pause_ms / 1000,
        )


class RunChanges(msgspec.Struct, frozen=True, array_like=True, tag="pc"):
    """Runs that started, changed their engine or ended, sent at once.

    Attributes:
        group_id: id of the group of engines.
        started: the runs that started as their coordinator granted them.
        runs: the runs that the coordinator does not know, or that it asked for.
        completed: the runs that ended with their whole answer, with its final length.
        aborted: counters of the runs that ended otherwise.
    """

    group_id: int
    started: tuple[RunState, ...] = ()
    runs: tuple[RunDetails, ...] = ()
    completed: tuple[RunState, ...] = ()
    aborted: tuple[int, ...] = ()


class PrefillEnded(msgspec.Struct, frozen=True, array_like=True, tag="pf"):
    """How the processing of a run's prompt at a prefill engine ended.

    The coordinator knows the tokens of the prompt from the request.

    Attributes:
        group_id: id of the group of the run's decode engine.
        counter: counter of the run.
        engine_hash: :func:`engine_hash` of the prefill engine.
        duration_ms: milliseconds from when the prompt was sent.
        outcome: how it ended.
    """

    group_id: int
    counter: int
    engine_hash: int
    duration_ms: int
    outcome: PrefillOutcome


# Number of different numbers of complete reports, and how far a report may be behind the newest
# one: a report that is further behind is from a later incarnation of its owner, which began anew.
NUMBERS = 1 << 16
MAX_NUMBERS_BEHIND = 64


def is_older(number: int, newest: int) -> bool:
    """Whether a complete report is older than the newest one of its owner."""
    return 0 < (newest - number) % NUMBERS <= MAX_NUMBERS_BEHIND


class RunsComplete(msgspec.Struct, frozen=True, array_like=True, tag="pl"):
    """All runs of an owner at the engines of a group, sent every second.

    Attributes:
        group_id: id of the group of engines.
        number: grows with each report of the owner, modulo NUMBERS.
        part: number of this datagram among those of the report.
        parts: number of datagrams of the report.
        runs: the runs in this datagram.
    """

    group_id: int
    number: int
    part: int
    parts: int
    runs: tuple[RunState, ...]


class RunDetailsRequest(msgspec.Struct, frozen=True, array_like=True, tag="pd"):
    """A coordinator asks the owner of runs for their details.

    Attributes:
        group_id: id of the group of engines.
        counters: counters of the runs that the coordinator does not know.
    """

    group_id: int
    counters: tuple[int, ...]


class RunMoveOrder(msgspec.Struct, frozen=True, array_like=True, tag="pm"):
    """A coordinator asks the owner of a run to move it to another engine.

    Attributes:
        group_id: id of the group of engines.
        counter: counter of the run.
        source: incarnation id of the engine that runs it.
        target: incarnation id of the engine to move it to.
    """

    group_id: int
    counter: int
    source: str
    target: str


class CoordinatorLeaving(msgspec.Struct, frozen=True, array_like=True, tag="cl"):
    """The coordinator of a group is stopping, so that its standby needs the reports of all runs.

    Attributes:
        group_id: id of the group of engines.
    """

    group_id: int


class PlacementSwitched(msgspec.Struct, frozen=True, array_like=True, tag="ps"):
    """The placement of a service is coordinated.

    An instance that has seen too few requests to decide that itself learns it from this message.

    Attributes:
        service: name of the service.
    """

    service: str


PlacementMessage = (
    PlacementAsk
    | PlacementReply
    | PlacementGrant
    | PlacementWithdrawal
    | RunChanges
    | RunsComplete
    | RunDetailsRequest
    | RunMoveOrder
    | PlacementSwitched
    | CoordinatorLeaving
    | PrefillEnded
)
