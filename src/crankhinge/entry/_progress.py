"""How far one request has come at its entry."""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field

from crankhinge.decisions import Backend
from crankhinge.errors import Outcome

ID_BITS = 63
COUNTER_BITS = 24
STEP_BITS = 8
STEP_MASK = (1 << STEP_BITS) - 1


class RequestIds:
    """Identities that no other entry and no earlier start of this one uses.

    The low eight bits are left for the steps of a request, so that its lines in the logs of all
    processes share all but the last two hex digits.

    Args:
        nonce: random, new at each start.
    """

    def __init__(self, nonce: int) -> None:
        high_bits = ID_BITS - COUNTER_BITS - STEP_BITS
        self._high = (nonce & ((1 << high_bits) - 1)) << (COUNTER_BITS + STEP_BITS)
        self._counter = itertools.count(1)

    def next(self) -> int:
        """Return the identity of a new request."""
        number = next(self._counter) & ((1 << COUNTER_BITS) - 1)
        return self._high | (number << STEP_BITS)


@dataclass
class Progress:
    """How far a request has come.

    Attributes:
        ident: its identity.
        touched: whether a backend server may have worked for it.
        attempts: how often it was tried.
        computed: prompt tokens that engines computed for it.
        unused: of these, not yet put to use.
        wasted: of these, for nothing, as far as this entry knows.
        reader: the backend server that read the prompt; None before.
        slot: time of the lease.
        read: time at which the prompt was read.
        first: time of the first token.
        last: time of the last token so far.
        keyed: whether an earlier attempt with the same key may have run.
    """

    ident: int = 0
    touched: bool = False
    keyed: bool = False
    attempts: int = 0
    computed: int = 0
    unused: int = 0
    wasted: int = 0
    reader: Backend | None = None
    slot: float = 0.0
    read: float = 0.0
    first: float = 0.0
    last: float = 0.0
    _steps: itertools.count[int] = field(default_factory=lambda: itertools.count(1))

    def new_step(self) -> int:
        """Return the identity of a next step: a message to one agent and its answers."""
        return self.ident | (next(self._steps) & STEP_MASK)

    @property
    def outcome(self) -> Outcome:
        """What may be told to the caller when the request fails now."""
        return Outcome.UNKNOWN if self.touched or self.keyed else Outcome.NOT_RUN
