"""What instances say to each other, one datagram a message.

A message may be lost, late, doubled or false, and its sender frozen or gone by the time it comes.
"""

from __future__ import annotations

import msgspec

from crankhinge.decisions import ClockStamp, EngineRole, QuotaOutcome, ShareLease


class EngineOrdered(msgspec.Struct, frozen=True, tag="engine-ordered"):
    """An engine has taken an order to play another part.

    Attributes:
        server: its identity.
        phase: the part that it will play.
        within_s: seconds within which it does, or the order is over.
    """

    server: str
    phase: EngineRole
    within_s: float


class JoinAnnouncement(msgspec.Struct, frozen=True, tag="greeting"):
    """An instance has come.

    Attributes:
        name: of the instance.
        peer: ``host:port`` where it takes datagrams.
    """

    name: str
    peer: str


class JoinAcknowledgement(msgspec.Struct, frozen=True, tag="greeted"):
    """An instance counts the one that greeted.

    Attributes:
        name: of the instance that answers.
    """

    name: str


class QuotaRequest(msgspec.Struct, frozen=True, tag="quota-ask"):
    """A request wants tokens of its account.

    Attributes:
        number: of the question, for who asks.
        account: its name.
        tokens: how many.
    """

    number: int
    account: str
    tokens: int


class QuotaResponse(msgspec.Struct, frozen=True, tag="quota-answer"):
    """Whether a request has its tokens.

    Attributes:
        number: of the question.
        verdict: on it.
        after_s: seconds after which to come back when it was refused.
        left: tokens of the account that are left now.
    """

    number: int
    verdict: QuotaOutcome
    after_s: float
    left: float


class QuotaReturn(msgspec.Struct, frozen=True, tag="quota-return"):
    """A request that had tokens did not run.

    Attributes:
        account: its name.
        tokens: how many it had.
    """

    account: str
    tokens: int


class ServerCrashed(msgspec.Struct, frozen=True, tag="server-crashed"):
    """A server crashed while it ran requests.

    Attributes:
        server: identity of the life that ended.
        fingerprints: of the requests.
    """

    server: str
    fingerprints: tuple[str, ...]


class QuarantineBegun(msgspec.Struct, frozen=True, tag="quarantine-begun"):
    """A request is kept from servers, or one attempt at it is let through meanwhile.

    Attributes:
        fingerprint: of the request.
        servers: identities of the lives that ended under it.
        left_s: seconds until an attempt may be let through.
    """

    fingerprint: str
    servers: tuple[str, ...]
    left_s: float


class QuarantineEnded(msgspec.Struct, frozen=True, tag="quarantine-ended"):
    """A server ran a request to its end, so it does not crash servers.

    Attributes:
        fingerprint: of the request.
    """

    fingerprint: str


class LimitAdvertised(msgspec.Struct, frozen=True, tag="limit-named"):
    """A server said how much it takes from all instances together.

    Attributes:
        server: its identity.
        per_s: requests a second.
        ago_s: seconds since it was heard.
    """

    server: str
    per_s: float
    ago_s: float


class LimitWithdrawn(msgspec.Struct, frozen=True, tag="limit-ended"):
    """A server that named a limit names none any more.

    Attributes:
        server: its identity.
        sent_ago_s: seconds since the request was sent that it answered so.
    """

    server: str
    sent_ago_s: float


class ServerLeaving(msgspec.Struct, frozen=True, tag="server-leaves"):
    """A server said in an answer that it leaves.

    Attributes:
        server: its identity.
    """

    server: str


class ShareLeaseMessage(msgspec.Struct, frozen=True, array_like=True):
    """The sender's share of a server's limit, lent to the receiver.

    Attributes:
        incarnation: number of the receiver's life, as the lender knows it.
        clock_s: the latest moment of the receiver's clock that the lender has seen, in seconds.
        duration_s: seconds for which it is lent from then.
        fleet_size: instances that the lender counts.
    """

    incarnation: int
    clock_s: float
    duration_s: float
    fleet_size: int

    @classmethod
    def from_lease(cls, lease: ShareLease) -> ShareLeaseMessage:
        """Return the message of a loan."""
        return cls(lease.stamp.incarnation, lease.stamp.at, lease.duration_s, lease.fleet_size)

    def to_lease(self) -> ShareLease:
        """Return the loan."""
        return ShareLease(
            ClockStamp(self.incarnation, self.clock_s), self.duration_s, self.fleet_size
        )


class PermitRequest(msgspec.Struct, frozen=True, tag="permit-ask", kw_only=True):
    """An instance lends its share of a server's limit, and may want to send a request there.

    Attributes:
        number: of the question, for who asks.
        lender: name of the instance.
        server: its identity.
        per_s: requests a second that the server named.
        ago_s: seconds since that was heard.
        within_s: seconds within which the request is to be sent; None for no request.
        caller: whether its caller is told when to come back.
        loan: the share; None where it can't be lent now.
    """

    number: int
    lender: str
    server: str
    per_s: float
    ago_s: float
    within_s: float | None
    caller: bool
    loan: ShareLeaseMessage | None

    def with_number(self, number: int) -> PermitRequest:
        """Return the question under a number."""
        return msgspec.structs.replace(self, number=number)


class PermitResponse(msgspec.Struct, frozen=True, tag="permit-answer", kw_only=True):
    """Whether a request may be sent to a server.

    Attributes:
        number: of the question.
        granted: whether it may; None where that was not asked.
        after_s: seconds after which it may, or may be asked for again.
        life: number of the life of the instance that answers.
        at: the moment of its clock, in seconds.
    """

    number: int
    granted: bool | None
    after_s: float
    life: int
    at: float


class PermitReturn(msgspec.Struct, frozen=True, tag="permit-return"):
    """A request that might have been sent to a server was not.

    Attributes:
        server: its identity.
    """

    server: str


PeerMessage = (
    EngineOrdered
    | JoinAnnouncement
    | JoinAcknowledgement
    | QuotaRequest
    | QuotaResponse
    | QuotaReturn
    | ServerCrashed
    | QuarantineBegun
    | QuarantineEnded
    | LimitAdvertised
    | LimitWithdrawn
    | ServerLeaving
    | PermitRequest
    | PermitResponse
    | PermitReturn
)
