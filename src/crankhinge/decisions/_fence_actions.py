"""What a holder of a fence record may do, and what it decides to have done."""

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
    """What a holder may do.

    JOINING has no record it can trust and gives no leave; PAIRED gives leave with the other's
    consent; SOLO gives leave alone.
    """

    JOINING = "joining"
    PAIRED = "paired"
    SOLO = "solo"


class FenceRecord(NamedTuple):
    """What the key-value service holds of a record: who may give leave.

    Attributes:
        epoch: grows with each change.
        holder: the one that is alone; empty while both hold it.
        writer: identity of the swap, to recognise it when its answer was lost.
    """

    epoch: int
    holder: str
    writer: int


@dataclass(frozen=True)
class Send:
    """Send *msg* to the other holder."""

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
    """Answer the entry that asked; ``None`` stands for "not now, and nothing was run"."""

    req: int
    msg: FencePermitted | FenceAlreadyTaken | None


@dataclass(frozen=True)
class ReadRecord:
    """Read the record's head in the key-value service; answer with :meth:`FencePair.on_record`."""


@dataclass(frozen=True)
class SwapRecord:
    """Swap the head; answer with :meth:`FencePair.on_swapped`.

    Attributes:
        index: what the swap compares; 0 when there is none yet.
        new: the head to write.
    """

    index: int
    new: FenceRecord


FenceAction = Send | Reply | ReadRecord | SwapRecord
