"""Messages about placement between instances, one per datagram.

Each may be lost, late or duplicated. They are encoded as arrays, and times as whole milliseconds,
since a coordinator receives them for all runs of its engines. A run is identified by its owner and
its counter; its run id is ``<owner>/<counter>``.
"""

from __future__ import annotations

import functools
import hashlib

import msgspec

from crankhinge.decisions.placement import (
    PlacementDecision,
    PlacementOutcome,
    PlacementRequest,
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


class GroupKey(msgspec.Struct, frozen=True, array_like=True):
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


class PlacementAsk(msgspec.Struct, frozen=True, array_like=True, tag="pa"):
    """Request for a place on an engine; asking again returns the present state.

    Attributes:
        key: the group of engines.
        owner: name of the instance that asks.
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
    """

    key: GroupKey
    owner: str
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

    @property
    def run_id(self) -> str:
        """Id of the run."""
        return to_run_id(self.owner, self.counter)

    def to_request(self) -> PlacementRequest:
        """Return the request as the decisions take it."""
        return PlacementRequest(
            run_id=self.run_id,
            owner=self.owner,
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
        )


class PlacementReply(msgspec.Struct, frozen=True, array_like=True, tag="pr"):
    """Response to a :class:`PlacementAsk`.

    Attributes:
        counter: counter of the run.
        outcome: the decision.
        engine: incarnation id of the engine, if granted.
        reserve_tokens: tokens to reserve at the engine, if granted.
        after_ms: milliseconds after which the caller should retry, if refused.
    """

    counter: int
    outcome: PlacementOutcome
    engine: str = ""
    reserve_tokens: int = 0
    after_ms: int = 0

    @property
    def decision(self) -> PlacementDecision:
        """The decision."""
        return PlacementDecision(
            self.outcome, self.engine, self.reserve_tokens, self.after_ms / 1000
        )


class PlacementGrant(msgspec.Struct, frozen=True, array_like=True, tag="pg"):
    """Decision about a waiting request, sent when its turn comes.

    Attributes:
        key: the group of engines.
        reply: the decision.
    """

    key: GroupKey
    reply: PlacementReply


class PlacementWithdrawal(msgspec.Struct, frozen=True, array_like=True, tag="pw"):
    """The caller of a request is gone, or the request was served elsewhere or refused.

    Attributes:
        key: the group of engines.
        owner: name of the instance that asked.
        counter: counter of the run.
    """

    key: GroupKey
    owner: str
    counter: int


class RunState(msgspec.Struct, frozen=True, array_like=True):
    """What changes while a run is in progress.

    Attributes:
        counter: counter of the run.
        made_tokens: tokens of the answer so far.
        engine_hash: :func:`engine_hash` of the engine.
    """

    counter: int
    made_tokens: int
    engine_hash: int


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
        movable: whether it may be moved to another engine.
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
        key: the group of engines.
        owner: name of the instance that relays the runs.
        runs: the runs that started or changed.
        completed: the runs that ended with their whole answer, with its final length.
        aborted: counters of the runs that ended otherwise.
    """

    key: GroupKey
    owner: str
    runs: tuple[RunDetails, ...] = ()
    completed: tuple[RunState, ...] = ()
    aborted: tuple[int, ...] = ()


class RunsComplete(msgspec.Struct, frozen=True, array_like=True, tag="pl"):
    """All runs of an owner at the engines of a group, sent every second.

    Attributes:
        key: the group of engines.
        owner: name of the instance that relays the runs.
        number: grows with each report of the owner.
        part: number of this datagram among those of the report.
        parts: number of datagrams of the report.
        runs: the runs in this datagram.
    """

    key: GroupKey
    owner: str
    number: int
    part: int
    parts: int
    runs: tuple[RunState, ...]


class RunDetailsRequest(msgspec.Struct, frozen=True, array_like=True, tag="pd"):
    """A coordinator asks the owner of runs for their details.

    Attributes:
        key: the group of engines.
        counters: counters of the runs that the coordinator does not know.
    """

    key: GroupKey
    counters: tuple[int, ...]


class RunMoveOrder(msgspec.Struct, frozen=True, array_like=True, tag="pm"):
    """A coordinator asks the owner of a run to move it to another engine.

    Attributes:
        key: the group of engines.
        counter: counter of the run.
        source: incarnation id of the engine that runs it.
        target: incarnation id of the engine to move it to.
    """

    key: GroupKey
    counter: int
    source: str
    target: str


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
)
