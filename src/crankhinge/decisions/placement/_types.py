"""What instances and their placement coordinator tell each other."""

from __future__ import annotations

import enum
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A request for memory and a slot on one engine of a group.

    Attributes:
        run_id: unique per attempt, ``<instance>/<counter>``.
        owner: name of the instance that asks.
        account: name of the client account; empty without accounts.
        rank: priority, 0 is the most urgent; that of the account, else that of the route.
        route: name of the route.
        prompt_tokens: tokens to process before the next event, including those of the answer that
            were sent already when a stream is resumed.
        expected_tokens: the caller's estimate of the answer, bounded by the maximum; 0 if unknown.
        max_tokens: maximum length of the answer.
        target_left_s: seconds until the first event is late; negative if it is late.
        event_timeout_s: seconds until the caller gives up without an event.
        remaining_s: seconds until the caller's deadline.
        is_retry: whether the caller was refused before and has sent the request again.
        zone: availability zone of the owner.
        avoid: incarnation ids of engines that must not be used.
        max_pause_s: longest pause between events that counts as in time; 0 for no bound.
        version: software version that the engine must have; empty for any.
    """

    run_id: str
    owner: str
    account: str
    rank: int
    route: str
    prompt_tokens: int
    expected_tokens: int
    max_tokens: int
    target_left_s: float
    event_timeout_s: float
    remaining_s: float
    is_retry: bool
    zone: str
    avoid: tuple[str, ...] = ()
    max_pause_s: float = 0.0
    version: str = ""


class PlacementOutcome(enum.Enum):
    """What the coordinator decided about a request."""

    GRANTED = "granted"
    WAITING = "waiting"
    REFUSED = "refused"
    NOT_COORDINATOR = "not_coordinator"


@dataclass(frozen=True, slots=True)
class PlacementDecision:
    """The coordinator's decision about a request.

    Attributes:
        outcome: the decision.
        engine: incarnation id of the engine, if granted.
        reserve_tokens: tokens to reserve at the engine, if granted.
        retry_after_s: seconds after which the caller should return, if refused.
        reader: incarnation id of the prefill engine that processes the prompt, if granted; empty if
            the coordinator knows none.
        is_reader_idle: whether the prefill engine has no other work, so that the time that it takes
            is that of the work.
    """

    outcome: PlacementOutcome
    engine: str = ""
    reserve_tokens: int = 0
    retry_after_s: float = 0.0
    reader: str = ""
    is_reader_idle: bool = False


@dataclass(frozen=True, slots=True)
class RunReport:
    """One run, as its owner sees it.

    Attributes:
        run_id: the id of its placement request.
        engine: incarnation id of the engine that runs it.
        prompt_tokens: tokens of its prompt.
        expected_tokens: the caller's estimate of the answer, bounded by the maximum; 0 if unknown.
        max_tokens: maximum length of the answer.
        made_tokens: tokens of the answer that the owner has received.
        rank: priority, 0 is the most urgent.
        account: name of the client account; empty without accounts.
        route: name of the route.
        age_s: seconds since the engine was asked to run it.
        movable: whether it may be moved to another engine.
        max_pause_s: longest pause between events that counts as in time; 0 for no bound.
    """

    run_id: str
    engine: str
    prompt_tokens: int
    expected_tokens: int
    max_tokens: int
    made_tokens: int
    rank: int
    account: str
    route: str
    age_s: float
    movable: bool
    max_pause_s: float = 0.0


@dataclass(frozen=True, slots=True)
class RunMove:
    """An order to move a run to another engine.

    Attributes:
        run_id: the run.
        owner: name of the instance that relays it.
        source: incarnation id of the engine that runs it.
        target: incarnation id of the engine to move it to.
    """

    run_id: str
    owner: str
    source: str
    target: str
