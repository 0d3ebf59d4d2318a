"""Messages about a fence record, which lets a non-repeatable request run at most once.

They are plain values; :mod:`crankhinge.wire` sends them.
"""

from __future__ import annotations

import msgspec


class _Base(msgspec.Struct, array_like=True, frozen=True):
    """Options common to all messages."""


class RecordedResponse(msgspec.Struct, array_like=True, frozen=True):
    """A recorded response.

    Attributes:
        status: HTTP status.
        headers: its headers.
        body: its body; empty with ``cut`` when it was too long to be recorded.
        cut: whether the body was left out.
    """

    status: int
    headers: dict[str, str] = {}
    body: bytes = b""
    cut: bool = False


class FenceRow(msgspec.Struct, array_like=True, frozen=True):
    """One key of the record.

    Attributes:
        key: name of the member (a client account) and idempotency key of the request.
        digest: digest of the request.
        nonce: identifies the attempt that got permission.
        age_s: seconds since the key was recorded.
        answer: the response of the attempt; None while unknown.
    """

    key: str
    digest: bytes
    nonce: int
    age_s: float
    answer: RecordedResponse | None = None


class FencePermitRequest(_Base, tag=17, frozen=True):
    """An entry asks for permission to run a non-repeatable request.

    Attributes:
        req: identifies this attempt.
        range_id: identifies the record.
        key: name of the member (a client account) and idempotency key of the request.
        digest: digest of the request.
    """

    req: int
    range_id: str
    key: str
    digest: bytes


class FencePermitted(_Base, tag=18, frozen=True):
    """Permission is granted to the attempt *req* only."""

    req: int


class FenceAlreadyTaken(_Base, tag=19, frozen=True):
    """Permission was granted to another attempt, or may have been.

    Attributes:
        req: identifies this attempt.
        same: whether the other attempt was for the same request.
        answer: the response of the other attempt; None while unknown.
        cause: error code for the caller.
    """

    req: int
    same: bool = True
    answer: RecordedResponse | None = None
    cause: str = "already-taken"


class FenceSettle(_Base, tag=20, frozen=True):
    """The response of a permitted attempt, recorded for callers that retry the request."""

    req: int
    range_id: str
    key: str
    answer: RecordedResponse


class FenceRelease(_Base, tag=23, frozen=True):
    """The attempt *req* has not run and never will; its key may be used again."""

    req: int
    range_id: str
    key: str


class FenceClaim(_Base, tag=21, frozen=True):
    """One replica asks the other to record a key before permission is granted."""

    range_id: str
    epoch: int
    key: str
    digest: bytes
    nonce: int


class FenceClaimReply(_Base, tag=22, frozen=True):
    """The other replica's response to a :class:`FenceClaim`.

    Attributes:
        range_id: identifies the record.
        key: the key.
        nonce: nonce of the claim.
        valid: whether the two replicas are paired at the epoch of the claim.
        fresh: whether the key is now recorded for this nonce, which consents to the attempt.
        epoch: epoch of the responding replica.
    """

    range_id: str
    key: str
    nonce: int
    valid: bool
    fresh: bool
    epoch: int


class FenceState(_Base, tag=24, frozen=True):
    """The state that a replica sends to the other when they connect and when the state changes."""

    range_id: str
    state: str
    epoch: int


class FenceSync(_Base, tag=25, frozen=True):
    """Part of a record, for a replica that has none.

    Attributes:
        range_id: identifies the record.
        epoch: epoch of the sender.
        since_ms: keys created before this time (wall clock) may be missing from the record.
        sync: identifies this copy.
        rows: the keys.
        final: whether this is the last part.
    """

    range_id: str
    epoch: int
    since_ms: int
    sync: int
    rows: tuple[FenceRow, ...]
    final: bool


class FenceJoined(_Base, tag=26, frozen=True):
    """The replica that joins has received the copy *sync* completely."""

    range_id: str
    epoch: int
    sync: int
