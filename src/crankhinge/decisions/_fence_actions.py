"""The roles of a replica of a fence record, and the actions that it decides on."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import NamedTuple

from crankhinge.decisions._fence_messages import (
    FenceAlreadyTaken,
    FenceClaim,
    FenceClaimReply,
    FenceJoined,
    FencePermitted,
    FenceRelease,
    FenceSettle,
    FenceState,
    FenceSync,
)


class FenceRole(enum.Enum):
    """What a replica may do.

    JOINING has no trusted record and grants no permission; PAIRED grants permission with the other
    replica's consent; SOLO grants permission alone.
    """

    JOINING = "joining"
    PAIRED = "paired"
    SOLO = "solo"


class FenceRecord(NamedTuple):
    """The head of a record in the key-value service: which replicas may grant permission.

    Attributes:
        epoch: grows with each change.
        holder: the replica that continues alone; empty while both keep the record.
        writer: identifies the incarnation of the process that swapped it in. When the response to a
            swap is lost, the process recognizes its own swap by this.
    """

    epoch: int
    holder: str
    writer: int


@dataclass(frozen=True)
class Send:
    """Send *msg* to the other replica."""

    msg: (
        FenceJoined
        | FenceState
        | FenceSync
        | FenceRelease
        | FenceSettle
        | FenceClaim
        | FenceClaimReply
    )


@dataclass(frozen=True)
class Reply:
    """Respond to an entry's request for permission.

    Attributes:
        req: identifies the attempt.
        msg: the response; None stands for "not now, and nothing was run".
    """

    req: int
    msg: FencePermitted | FenceAlreadyTaken | None


@dataclass(frozen=True)
class ReadRecord:
    """Read the record's head; its content goes to :meth:`FencePair.on_record`."""


@dataclass(frozen=True)
class SwapRecord:
    """Swap the record's head; the result goes to :meth:`FencePair.on_swapped`.

    Attributes:
        index: index that the compare-and-swap compares; 0 when there is no head yet.
        new: the head to write.
    """

    index: int
    new: FenceRecord


FenceAction = Send | Reply | ReadRecord | SwapRecord
