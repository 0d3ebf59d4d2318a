"""What instances say to each other, one datagram a message.

A message may be lost, late, doubled or false, and its sender frozen or gone by the time it comes.
"""

from __future__ import annotations

import msgspec

from crankhinge.decisions import Phase, Verdict


class EngineOrdered(msgspec.Struct, frozen=True, tag="engine-ordered"):
    """An engine has taken an order to play another part.

    Attributes:
        server: its identity.
        phase: the part that it will play.
        within_s: seconds within which it does, or the order is over.
    """

    server: str
    phase: Phase
    within_s: float


class Greeting(msgspec.Struct, frozen=True, tag="greeting"):
    """An instance has come.

    Attributes:
        name: of the instance.
        peer: ``host:port`` where it takes datagrams.
    """

    name: str
    peer: str


class Greeted(msgspec.Struct, frozen=True, tag="greeted"):
    """An instance counts the one that greeted.

    Attributes:
        name: of the instance that answers.
    """

    name: str


class QuotaAsk(msgspec.Struct, frozen=True, tag="quota-ask"):
    """A request wants tokens of its account.

    Attributes:
        number: of the question, for who asks.
        account: its name.
        tokens: how many.
    """

    number: int
    account: str
    tokens: int


class QuotaAnswer(msgspec.Struct, frozen=True, tag="quota-answer"):
    """Whether a request has its tokens.

    Attributes:
        number: of the question.
        verdict: on it.
        after_s: seconds after which to come back when it was refused.
        left: tokens of the account that are left now.
    """

    number: int
    verdict: Verdict
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


PeerMessage = (
    EngineOrdered
    | Greeting
    | Greeted
    | QuotaAsk
    | QuotaAnswer
    | QuotaReturn
    | ServerCrashed
    | QuarantineBegun
    | QuarantineEnded
)
