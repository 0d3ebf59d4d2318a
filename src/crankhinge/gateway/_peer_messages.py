"""Messages between instances, one per datagram.

A message may be lost, late, duplicated or false, and its sender may be suspended or gone when the
message arrives.
"""

from __future__ import annotations

import msgspec

from crankhinge.decisions import ClockStamp, EngineRole, QuotaOutcome, ShareLease
from crankhinge.decoding import MsgpackDecoder
from crankhinge.gateway._stream_origin_messages import StreamOriginMessage
from crankhinge.gateway.placement._messages import PlacementMessage


class EngineOrdered(msgspec.Struct, frozen=True, tag="engine-ordered"):
    """An engine accepted an order to change its role.

    Attributes:
        server: incarnation id of the engine.
        phase: the new role.
        within_s: seconds within which the change is complete or the order has expired.
    """

    server: str
    phase: EngineRole
    within_s: float


class JoinAnnouncement(msgspec.Struct, frozen=True, tag="greeting"):
    """An instance joined the fleet.

    Attributes:
        name: name of the instance.
        peer: ``host:port`` where it receives datagrams.
    """

    name: str
    peer: str


class JoinAcknowledgement(msgspec.Struct, frozen=True, tag="greeted"):
    """An instance has added the instance that announced itself to its fleet.

    Attributes:
        name: name of the instance that acknowledges.
    """

    name: str


class QuotaRequest(msgspec.Struct, frozen=True, tag="quota-ask"):
    """Request for tokens of an account.

    Attributes:
        number: number by which the client matches the response.
        account: name of the account.
        tokens: number of tokens.
        caller: identifies the caller's request, so that its retry gets the tokens promised to it.
        within_s: seconds within which the caller may retry.
    """

    number: int
    account: str
    tokens: int
    caller: str = ""
    within_s: float = 0.0


class QuotaResponse(msgspec.Struct, frozen=True, tag="quota-answer"):
    """Response to a request for tokens of an account.

    Attributes:
        number: number of the request.
        verdict: outcome of the request.
        after_s: seconds after which the caller should retry if the request was refused.
        left: tokens that the account has left now.
    """

    number: int
    verdict: QuotaOutcome
    after_s: float
    left: float


class QuotaReturn(msgspec.Struct, frozen=True, tag="quota-return"):
    """Return of the tokens of a request that did not run.

    Attributes:
        account: name of the account.
        tokens: number of tokens.
    """

    account: str
    tokens: int


class ServerCrashed(msgspec.Struct, frozen=True, tag="server-crashed"):
    """A server crashed while it ran requests.

    Attributes:
        server: incarnation id of the server.
        fingerprints: keys of the work that the server was doing. A key may occur several times.
        requests: for each key of a part of a prompt, a tag of the request with it; otherwise empty.
    """

    server: str
    fingerprints: tuple[str, ...]
    requests: tuple[str, ...] = ()


class QuarantineUpdateMessage(msgspec.Struct, frozen=True, tag="quarantine-begun"):
    """The quarantine of some work began or was extended, or its trial began.

    Attributes:
        fingerprint: key of the work.
        servers: incarnation ids of the servers that crashed while doing it.
        left_s: seconds until a trial, or the next trial, may begin.
        ages_s: seconds since each of the crashes.
        trials: number of trials of a part of a prompt.
    """

    fingerprint: str
    servers: tuple[str, ...]
    left_s: float
    ages_s: tuple[float, ...] = ()
    trials: int = 0


class QuarantineEnded(msgspec.Struct, frozen=True, tag="quarantine-ended"):
    """A server completed some work, which shows that the work does not crash servers.

    Attributes:
        fingerprint: key of the work.
        to_all: whether it is sent to all instances. Otherwise it is sent to those that count the
            crashes, and the sender does not know of a quarantine.
    """

    fingerprint: str
    to_all: bool = False


class PartServed(msgspec.Struct, frozen=True, tag="part-served"):
    """A server served a request with a part that the receiver has put in quarantine.

    Attributes:
        key: key of the part.
        ago_s: seconds since then.
    """

    key: str
    ago_s: float


class LimitAdvertised(msgspec.Struct, frozen=True, tag="limit-named"):
    """A server advertised how many requests it accepts from all instances together.

    Attributes:
        server: incarnation id of the server.
        per_s: requests per second.
        ago_s: seconds since the limit was received.
    """

    server: str
    per_s: float
    ago_s: float


class LimitWithdrawn(msgspec.Struct, frozen=True, tag="limit-ended"):
    """A server that advertised a limit advertises none any more.

    Attributes:
        server: incarnation id of the server.
        sent_ago_s: seconds since the request was sent whose response had no limit.
    """

    server: str
    sent_ago_s: float


class ServerLeaving(msgspec.Struct, frozen=True, tag="server-leaves"):
    """A server announced its shutdown in a response.

    Attributes:
        server: incarnation id of the server.
    """

    server: str


class ShareLeaseMessage(msgspec.Struct, frozen=True, array_like=True):
    """Lease of the sender's share of a server's limit to the receiver.

    Attributes:
        incarnation: number of the receiver's incarnation, as the lender knows it.
        clock_s: latest time of the receiver's clock that the lender knows, in seconds.
        duration_s: seconds that the lease lasts from then.
        fleet_size: number of instances that the lender counts.
    """

    incarnation: int
    clock_s: float
    duration_s: float
    fleet_size: int

    @classmethod
    def from_lease(cls, lease: ShareLease) -> ShareLeaseMessage:
        """Return the message for a lease."""
        return cls(lease.stamp.incarnation, lease.stamp.at, lease.duration_s, lease.fleet_size)

    def to_lease(self) -> ShareLease:
        """Return the lease."""
        return ShareLease(
            ClockStamp(self.incarnation, self.clock_s), self.duration_s, self.fleet_size
        )


class PermitRequest(msgspec.Struct, frozen=True, tag="permit-ask", kw_only=True):
    """Request for a permit to send to a server, lease of the sender's share of its limit, or both.

    Without both it only tells the receiver the limit, and the response tells the sender the
    receiver's clock.

    Attributes:
        number: number by which the sender matches the response.
        lender: name of the sender.
        server: incarnation id of the server.
        per_s: advertised limit in requests per second.
        ago_s: seconds since the limit was received.
        within_s: seconds within which the request is to be sent; None for no permit request.
        caller: whether, if the permit is refused, the caller will be told to retry after the delay
            in the response.
        loan: the lease of the share; None if the share cannot be leased now.
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
        """Return this request with a number."""
        return msgspec.structs.replace(self, number=number)


class PermitResponse(msgspec.Struct, frozen=True, tag="permit-answer", kw_only=True):
    """Response to a permit request or a share lease.

    Attributes:
        number: number of the request.
        granted: whether the permit is granted; None if none was requested.
        after_s: seconds after which the request may be sent, or the permit requested again.
        life: number of the incarnation of the responding instance.
        at: time on that instance's clock, in seconds.
    """

    number: int
    granted: bool | None
    after_s: float
    life: int
    at: float


class PermitReturn(msgspec.Struct, frozen=True, tag="permit-return"):
    """Return of a permit for a request that was not sent.

    Attributes:
        server: incarnation id of the server.
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
    | QuarantineUpdateMessage
    | QuarantineEnded
    | PartServed
    | LimitAdvertised
    | LimitWithdrawn
    | ServerLeaving
    | PermitRequest
    | PermitResponse
    | PermitReturn
)
# The first byte of an encoded message is below this if the message is a map, as the messages of
# this module are. Messages about placement and about the origins of streams are arrays: they are
# sent most often, and the names of their fields would take more bytes than their values.
_FIRST_ARRAY_BYTE = 0x90
_map_decoder: MsgpackDecoder[PeerMessage] = MsgpackDecoder(PeerMessage)
_array_decoder: MsgpackDecoder[PlacementMessage | StreamOriginMessage] = MsgpackDecoder(
    PlacementMessage | StreamOriginMessage
)


def decode_message(data: bytes) -> PeerMessage | PlacementMessage | StreamOriginMessage:
    """Return the message that a datagram contains.

    Raises:
        Undecodable: the datagram contains no valid message.
    """
    is_map = not data or data[0] < _FIRST_ARRAY_BYTE
    return _map_decoder.decode(data) if is_map else _array_decoder.decode(data)
