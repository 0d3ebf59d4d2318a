"""The messages between entries and agents.

Each is written as a msgpack array: its tag, then its fields in order. A field may be added at the
end with a default: an older reader passes over it and a newer one fills it in, so that old and
new processes run side by side during a roll. A change that this does not cover raises
``WIRE_VERSION``.

Durations are seconds. No message carries a wall-clock time, since clocks of two instances differ,
but the fence's ``since_ms``, which allows for a skew.
"""

from __future__ import annotations

from crankhinge.decisions._fence_messages import (
    FenceAlreadyTaken,
    FenceClaim,
    FenceClaimReply,
    FenceJoined,
    FencePermitRequest,
    FencePermitted,
    FenceRelease,
    FenceSettle,
    FenceState,
    FenceSync,
)
from crankhinge.wire._base import Load, MessageBase
from crankhinge.wire._control import (
    BundleUpdate,
    GetBundle,
    GetInstances,
    Heartbeat,
    Hello,
    InstanceListReply,
    LoadedAdapters,
)


class ReserveSlot(MessageBase, tag=5, frozen=True):
    """Asks a decode agent for a memory slot.

    Attributes:
        req: identity of the request, unique per attempt.
        member: who asks; shares are kept per member.
        model: name of the model or adapter.
        rank: priority class; 0 is the most urgent.
        timeout_s: seconds from now until the slot is of no more use.
        lead_s: seconds from the grant until the slot would be used (reading and transfer).
        max_tokens: most tokens the answer may have.
        partner: partner of the member.
    """

    req: int
    member: str
    model: str
    rank: int
    timeout_s: float
    lead_s: float
    max_tokens: int
    partner: str = ""


class SlotGranted(MessageBase, tag=6, frozen=True):
    """A slot is leased.

    Attributes:
        req: the request.
        ready_in_s: seconds until the slot is expected to be free.
        lease_s: seconds for which the slot is held unused.
        load: the agent's load just after.
    """

    req: int
    ready_in_s: float
    lease_s: float
    load: Load | None = None


class Refused(MessageBase, tag=7, frozen=True):
    """The request was not started here.

    Attributes:
        req: the request.
        code: class of failure.
        retry_after_s: seconds after which it might be taken.
        load: the agent's load just after.
    """

    req: int
    code: str
    retry_after_s: float = 0.0
    load: Load | None = None


class Prefill(MessageBase, tag=8, frozen=True):
    """Asks a prefill agent to read a prompt.

    Attributes:
        req: the request.
        path: path of the engine's completion call.
        body: the caller's JSON body.
        member: for the shares.
        rank: priority class.
        timeout_s: seconds after which the result is of no more use.
        uncached_tokens: estimated length of the prompt.
    """

    req: int
    path: str
    body: bytes
    member: str
    rank: int
    timeout_s: float
    uncached_tokens: int


class PrefillDone(MessageBase, tag=9, frozen=True):
    """The prompt is read; ``kv`` is the engine's opaque handle on the result.

    Attributes:
        req: the request.
        kv_handle: JSON of the engine's transfer parameters.
        cached_tokens: prompt tokens found in the prefix cache.
        prompt_tokens: prompt tokens.
        duration_s: seconds the engine spent.
        load: the agent's load just after.
    """

    req: int
    kv_handle: bytes
    cached_tokens: int
    prompt_tokens: int
    duration_s: float
    load: Load | None = None


class Decode(MessageBase, tag=10, frozen=True):
    """Asks a decode agent to write the answer in the slot leased to ``req``.

    Attributes:
        req: the request.
        path: path of the engine's completion call.
        body: the caller's JSON body.
        kv_handle: from PrefillDone.
        transfer_timeout_s: seconds without a first token after which the transfer counts as
            stalled.
    """

    req: int
    path: str
    body: bytes
    kv_handle: bytes
    transfer_timeout_s: float = 2.0


class Tokens(MessageBase, tag=11, frozen=True):
    """Pieces of an answer, one per token.

    Attributes:
        req: the request.
        first_index: number of the first piece, from 0.
        texts: the pieces.
    """

    req: int
    first_index: int
    texts: tuple[str, ...]


class DecodeDone(MessageBase, tag=12, frozen=True):
    """The answer is complete.

    Attributes:
        req: the request.
        token_count: number of pieces in the whole answer.
        finish_reason: the engine's finish reason.
    """

    req: int
    token_count: int
    finish_reason: str


class Failed(MessageBase, tag=13, frozen=True):
    """The backend server failed the request.

    Attributes:
        req: the request.
        code: class of failure.
        may_have_run: False only when it is certain that nothing ran.
    """

    req: int
    code: str
    may_have_run: bool


class Cancel(MessageBase, tag=14, frozen=True):
    """Nobody waits for this request any more; whatever it holds is to be freed."""

    req: int


class ServiceCall(MessageBase, tag=15, frozen=True):
    """A call to a plain service."""

    req: int
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    timeout_s: float
    member: str = ""


class ServiceResponse(MessageBase, tag=16, frozen=True):
    """A plain service's answer."""

    req: int
    status: int
    headers: dict[str, str]
    body: bytes


Message = (
    Hello
    | Heartbeat
    | GetBundle
    | BundleUpdate
    | ReserveSlot
    | SlotGranted
    | Refused
    | Prefill
    | PrefillDone
    | Decode
    | Tokens
    | DecodeDone
    | Failed
    | Cancel
    | ServiceCall
    | ServiceResponse
    | FencePermitRequest
    | FencePermitted
    | FenceAlreadyTaken
    | FenceSettle
    | FenceClaim
    | FenceClaimReply
    | FenceRelease
    | FenceState
    | FenceSync
    | FenceJoined
    | GetInstances
    | InstanceListReply
    | LoadedAdapters
)
