"""The messages between entries and agents, and those between two agents.

Agents exchange messages with each other about bundles and fence records.

The field ``req`` of a message is the id of a step, which is an exchange of an entry with one agent.
One attempt of a completion consists of two steps: the prefill, and the reservation of a slot
together with the decode in that slot.

A message is encoded as a msgpack array of its tag and its fields in order. A new field may be added
at the end with a default: an older process ignores it, and a newer process uses the default if it
is missing. Processes of both versions can therefore run together during a rolling upgrade. Any
other change requires a new ``WIRE_VERSION``.

All durations are in seconds. Messages contain no wall-clock times because the clocks of instances
differ. The one exception is ``FenceSync.since_ms``, whose use allows for clock skew.
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
    """Requests a memory slot from the agent of a decode engine.

    Attributes:
        req: id of the step; the decode that uses the slot has the same id.
        member: client account of the caller. Capacity is shared fairly between members.
        model: name of the model or adapter.
        rank: priority class; 0 is the most urgent.
        timeout_s: seconds within which the slot must be granted; 0 if it must be free now.
        lead_s: seconds from the grant until the slot is used, for the prefill and the transfer of
            the KV cache.
        max_tokens: largest number of tokens in the answer.
        partner: partner that the member belongs to.
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
    """Grants a lease of a memory slot.

    Attributes:
        req: id of the step.
        ready_in_s: seconds until the slot is expected to be free.
        lease_s: seconds after which the lease ends if the slot has not been used.
        load: load of the agent's server after the grant.
    """

    req: int
    ready_in_s: float
    lease_s: float
    load: Load | None = None


class Refused(MessageBase, tag=7, frozen=True):
    """Refuses a request. The backend server has not started it.

    Attributes:
        req: id of the step.
        code: reason of the refusal.
        retry_after_s: seconds after which the agent may accept the request; 0 if unknown.
        load: load of the agent's server after the refusal.
    """

    req: int
    code: str
    retry_after_s: float = 0.0
    load: Load | None = None


class Prefill(MessageBase, tag=8, frozen=True):
    """Requests the prefill of a prompt from the agent of a prefill engine.

    Attributes:
        req: id of the step.
        path: path of the engine's completion endpoint.
        body: JSON body for the engine. The entry derives it from the caller's: it sets the maximum
            number of tokens, removes options of the stream, and adds the part of the answer that
            an earlier attempt has written.
        member: client account of the caller. Capacity is shared fairly between members.
        rank: priority class; 0 is the most urgent.
        timeout_s: seconds after which the result can no longer be used.
        uncached_tokens: estimated number of prompt tokens that the engine must compute.
    """

    req: int
    path: str
    body: bytes
    member: str
    rank: int
    timeout_s: float
    uncached_tokens: int


class PrefillDone(MessageBase, tag=9, frozen=True):
    """Reports a completed prefill.

    Attributes:
        req: id of the step.
        kv_handle: opaque handle of the KV cache of the prompt: the engine's transfer parameters,
            in JSON.
        cached_tokens: number of prompt tokens that were in the engine's prefix cache.
        prompt_tokens: number of all prompt tokens.
        duration_s: seconds that the engine took.
        load: load of the agent's server after the prefill.
    """

    req: int
    kv_handle: bytes
    cached_tokens: int
    prompt_tokens: int
    duration_s: float
    load: Load | None = None


class Decode(MessageBase, tag=10, frozen=True):
    """Requests the answer from a decode engine, in the slot that is leased to ``req``.

    Attributes:
        req: id of the step.
        path: path of the engine's completion endpoint.
        body: JSON body for the engine, the same as in ``Prefill``.
        kv_handle: the handle from ``PrefillDone``.
        transfer_timeout_s: seconds without a first token after which the transfer of the KV cache
            counts as stalled.
    """

    req: int
    path: str
    body: bytes
    kv_handle: bytes
    transfer_timeout_s: float = 2.0


class Tokens(MessageBase, tag=11, frozen=True):
    """Carries consecutive tokens of an answer.

    Attributes:
        req: id of the step.
        first_index: position of the first token in the answer, counted from 0.
        texts: the text of each token.
    """

    req: int
    first_index: int
    texts: tuple[str, ...]


class DecodeDone(MessageBase, tag=12, frozen=True):
    """Reports that the answer is complete.

    Attributes:
        req: id of the step.
        token_count: number of tokens in the whole answer.
        finish_reason: why the engine ended the answer, such as ``stop`` or ``length``.
    """

    req: int
    token_count: int
    finish_reason: str


class Failed(MessageBase, tag=13, frozen=True):
    """Reports that a request failed at the backend server.

    Attributes:
        req: id of the step.
        code: reason of the failure.
        may_have_run: False only if the server has certainly not executed any part of the request.
    """

    req: int
    code: str
    may_have_run: bool


class Cancel(MessageBase, tag=14, frozen=True):
    """Cancels a request; the agent frees all that is reserved for it."""

    req: int


class ServiceCall(MessageBase, tag=15, frozen=True):
    """Requests a call to a plain service.

    Attributes:
        req: id of the step.
        method: HTTP method.
        target: HTTP request target.
        headers: HTTP headers to forward.
        body: HTTP body.
        timeout_s: seconds after which the response can no longer be used.
        member: client account of the caller.
    """

    req: int
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    timeout_s: float
    member: str = ""


class ServiceCallDone(MessageBase, tag=16, frozen=True):
    """Carries the HTTP response of a plain service."""

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
    | ServiceCallDone
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
