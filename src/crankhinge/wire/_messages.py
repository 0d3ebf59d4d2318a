"""The messages between entries and agents.

Each is written as a msgpack array: its tag, then its fields in order. A field may be added at the
end with a default: an older reader passes over it and a newer one fills it in, so that old and
new processes run side by side during a roll. A change that this does not cover raises
``WIRE_VERSION``.

Durations are seconds. No message carries a wall-clock time: clocks of two instances differ.
"""

from __future__ import annotations

import msgspec

from crankhinge.decisions._fence_messages import (
    FenceJoined,
    FenceState,
    FenceSync,
    Permit,
    Permitted,
    Release,
    Settle,
    Take,
    Taken,
    TakenBefore,
)

WIRE_VERSION = 1


class Load(msgspec.Struct, array_like=True, frozen=True):
    """What an agent says of its backend server.

    Attributes:
        free: memory slots (or call places) not taken now.
        queued: requests that wait here.
        backlog_s: seconds of work queued before a new request would start.
        step_s: seconds between tokens at the present batch; 0 when unknown.
        draining: takes no new work.
        rate: prompt tokens read per second; 0 when unknown.
    """

    free: int
    queued: int
    backlog_s: float = 0.0
    step_s: float = 0.0
    draining: bool = False
    rate: float = 0.0


class _Base(msgspec.Struct, array_like=True, frozen=True):
    """Common options of all messages."""


class Hello(_Base, tag=1, frozen=True):
    """First message of both ends.

    Attributes:
        version: wire version.
        name: the process's name, unique within the fleet.
        role: ``entry``, ``prefill``, ``decode`` or ``plain``.
        zone: availability zone.
        incarnation: differs each time the process starts; larger is newer.
        pool: pool of the backend server; empty for an entry.
        bundle: version of the bundle in force; 0 without one.
        groups: further fault domains (rack, link), from the settings.
    """

    version: int
    name: str
    role: str
    zone: str
    incarnation: int
    pool: str = ""
    bundle: int = 0
    groups: tuple[str, ...] = ()


class Beat(_Base, tag=2, frozen=True):
    """Heartbeat of both ends; an agent's carries its load.

    Attributes:
        bundle: version of the bundle in force.
        load: None from an entry.
    """

    bundle: int
    load: Load | None = None


class GetBundle(_Base, tag=3, frozen=True):
    """Asks the peer for its bundle."""


class BundleIs(_Base, tag=4, frozen=True):
    """Carries a signed bundle. Sent when asked, and unasked to a peer that has an older one."""

    envelope: bytes


class Reserve(_Base, tag=5, frozen=True):
    """Asks a decode agent for a memory slot.

    Attributes:
        req: identity of the request, unique per attempt.
        member: who asks; shares are kept per member.
        model: name of the model or adapter.
        rank: priority class; 0 is the most urgent.
        within: seconds from now until the slot is of no more use.
        lead: seconds from the grant until the slot would be used (reading and transfer).
        max_tokens: most tokens the answer may have.
        partner: partner of the member.
    """

    req: int
    member: str
    model: str
    rank: int
    within: float
    lead: float
    max_tokens: int
    partner: str = ""


class Granted(_Base, tag=6, frozen=True):
    """A slot is leased.

    Attributes:
        req: the request.
        ready: seconds until the slot is expected to be free.
        lease: seconds for which the slot is held unused.
        load: the agent's load just after.
    """

    req: int
    ready: float
    lease: float
    load: Load | None = None


class Refused(_Base, tag=7, frozen=True):
    """The request was not started here.

    Attributes:
        req: the request.
        code: class of failure.
        retry_after: seconds after which it might be taken.
        load: the agent's load just after.
    """

    req: int
    code: str
    retry_after: float = 0.0
    load: Load | None = None


class Prefill(_Base, tag=8, frozen=True):
    """Asks a prefill agent to read a prompt.

    Attributes:
        req: the request.
        path: path of the engine's completion call.
        body: the caller's JSON body.
        member: for the shares.
        rank: priority class.
        within: seconds after which the result is of no more use.
        tokens: estimated length of the prompt.
    """

    req: int
    path: str
    body: bytes
    member: str
    rank: int
    within: float
    tokens: int


class PrefillDone(_Base, tag=9, frozen=True):
    """The prompt is read; ``kv`` is the engine's opaque handle on the result.

    Attributes:
        req: the request.
        kv: JSON of the engine's transfer parameters.
        cached: prompt tokens found in the prefix cache.
        prompt: prompt tokens.
        took: seconds the engine spent.
        load: the agent's load just after.
    """

    req: int
    kv: bytes
    cached: int
    prompt: int
    took: float
    load: Load | None = None


class Decode(_Base, tag=10, frozen=True):
    """Asks a decode agent to write the answer in the slot leased to ``req``.

    Attributes:
        req: the request.
        path: path of the engine's completion call.
        body: the caller's JSON body.
        kv: from PrefillDone.
        patience: seconds without a first piece after which the transfer counts as stalled.
    """

    req: int
    path: str
    body: bytes
    kv: bytes
    patience: float = 2.0


class Tokens(_Base, tag=11, frozen=True):
    """Pieces of an answer, one per token.

    Attributes:
        req: the request.
        seq: number of the first piece, from 0.
        texts: the pieces.
    """

    req: int
    seq: int
    texts: tuple[str, ...]


class DecodeDone(_Base, tag=12, frozen=True):
    """The answer is complete.

    Attributes:
        req: the request.
        count: number of pieces in the whole answer.
        finish: the engine's finish reason.
    """

    req: int
    count: int
    finish: str


class Failed(_Base, tag=13, frozen=True):
    """The backend server failed the request.

    Attributes:
        req: the request.
        code: class of failure.
        ran: False only when it is certain that nothing ran.
    """

    req: int
    code: str
    ran: bool


class Cancel(_Base, tag=14, frozen=True):
    """Nobody waits for this request any more; whatever it holds is to be freed."""

    req: int


class Call(_Base, tag=15, frozen=True):
    """A call to a plain service."""

    req: int
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    repeatable: bool
    within: float
    member: str = ""


class CallDone(_Base, tag=16, frozen=True):
    """A plain service's answer."""

    req: int
    status: int
    headers: dict[str, str]
    body: bytes


class InstanceRow(msgspec.Struct, array_like=True, frozen=True):
    """An agent's instance, as the platform's list showed it."""

    name: str
    host: str
    port: int
    zone: str
    pool: str
    leaving: bool = False


class GetInstances(_Base, tag=27, frozen=True):
    """A newcomer that can't read the platform's list asks a peer for it."""


class InstancesAre(_Base, tag=28, frozen=True):
    """The list, as the peer last read it."""

    rows: tuple[InstanceRow, ...]


class Serves(_Base, tag=29, frozen=True):
    """An agent's engine has these adapters loaded; replaces what was said before."""

    names: tuple[str, ...]


Message = (
    Hello
    | Beat
    | GetBundle
    | BundleIs
    | Reserve
    | Granted
    | Refused
    | Prefill
    | PrefillDone
    | Decode
    | Tokens
    | DecodeDone
    | Failed
    | Cancel
    | Call
    | CallDone
    | Permit
    | Permitted
    | TakenBefore
    | Settle
    | Take
    | Taken
    | Release
    | FenceState
    | FenceSync
    | FenceJoined
    | GetInstances
    | InstancesAre
    | Serves
)
