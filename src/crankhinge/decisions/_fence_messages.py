"""The messages of the record that lets a non-repeatable request run at most once.

They are plain values; :mod:`crankhinge.wire` sends them.
"""

from __future__ import annotations

import msgspec


class _Base(msgspec.Struct, array_like=True, frozen=True):
    """Common options."""


class RecordedResponse(msgspec.Struct, array_like=True, frozen=True):
    """A recorded answer.

    Attributes:
        status: HTTP status.
        headers: its headers.
        body: its body; empty with ``cut`` when it was too long to keep.
        cut: whether the body was left out.
    """

    status: int
    headers: dict[str, str] = {}
    body: bytes = b""
    cut: bool = False


class FenceRow(msgspec.Struct, array_like=True, frozen=True):
    """One key of the record.

    Attributes:
        key: member and idempotency key.
        digest: of the request.
        nonce: identity of the attempt that was given leave.
        age_s: seconds since.
        answer: how it ended; None while that is not known.
    """

    key: str
    digest: bytes
    nonce: int
    age_s: float
    answer: RecordedResponse | None = None


class FencePermitRequest(_Base, tag=17, frozen=True):
    """An entry asks for leave to run a non-repeatable request.

    Attributes:
        req: this attempt.
        range_id: which record.
        key: member and idempotency key.
        digest: of the request.
    """

    req: int
    range_id: str
    key: str
    digest: bytes


class FencePermitted(_Base, tag=18, frozen=True):
    """Leave is given, to this attempt alone."""

    req: int


class FenceAlreadyTaken(_Base, tag=19, frozen=True):
    """Leave was given to another attempt, or may have been.

    Attributes:
        req: this attempt.
        same: whether the other attempt was for the same request.
        answer: how that one ended; None while that is not known.
        cause: class of the failure to tell the caller.
    """

    req: int
    same: bool = True
    answer: RecordedResponse | None = None
    cause: str = "already-taken"


class FenceSettle(_Base, tag=20, frozen=True):
    """How a permitted attempt ended, for callers that repeat the request."""

    req: int
    range_id: str
    key: str
    answer: RecordedResponse


class FenceRelease(_Base, tag=23, frozen=True):
    """The attempt has not run and never will; its key is free again."""

    req: int
    range_id: str
    key: str


class FenceClaim(_Base, tag=21, frozen=True):
    """One holder asks the other to write a key down before leave is given."""

    range_id: str
    epoch: int
    key: str
    digest: bytes
    nonce: int


class FenceClaimReply(_Base, tag=22, frozen=True):
    """The other holder's answer.

    Attributes:
        range_id: which record.
        key: the key.
        nonce: of the Take.
        valid: whether the two are paired at the Take's epoch.
        fresh: whether the key is now written down for this nonce.
        epoch: of the one that answers.
    """

    range_id: str
    key: str
    nonce: int
    valid: bool
    fresh: bool
    epoch: int


class FenceState(_Base, tag=24, frozen=True):
    """What one holder tells the other when they meet and when its state changes."""

    range_id: str
    state: str
    epoch: int


class FenceSync(_Base, tag=25, frozen=True):
    """Part of a record, for a holder that has none.

    Attributes:
        range_id: which record.
        epoch: of the sender.
        since_ms: keys born before this (wall clock) may be missing from the record.
        sync: identity of this copy.
        rows: keys.
        final: whether this is the last part.
    """

    range_id: str
    epoch: int
    since_ms: int
    sync: int
    rows: tuple[FenceRow, ...]
    final: bool


class FenceJoined(_Base, tag=26, frozen=True):
    """The copy *sync* has arrived whole."""

    range_id: str
    epoch: int
    sync: int
