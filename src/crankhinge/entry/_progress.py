"""How far one request has come at its entry."""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field

from crankhinge.decisions import Backend
from crankhinge.errors import Outcome

ID_BITS = 63
COUNTER_BITS = 24
STEP_ID_BITS = 8
STEP_ID_MASK = (1 << STEP_ID_BITS) - 1


class RequestIds:
    """Identities that no other entry and no earlier start of this one uses.

    The low eight bits are left for the steps of a request, so that its lines in the logs of all
    processes share all but the last two hex digits.

    Args:
        nonce: random, new at each start.
    """

    def __init__(self, nonce: int) -> None:
        high_bits = ID_BITS - COUNTER_BITS - STEP_ID_BITS
        self._high = (nonce & ((1 << high_bits) - 1)) << (COUNTER_BITS + STEP_ID_BITS)
        self._counter = itertools.count(1)

    def new_id(self) -> int:
        """Return the identity of a new request."""
        number = next(self._counter) & ((1 << COUNTER_BITS) - 1)
        return self._high | (number << STEP_ID_BITS)


@dataclass
class RequestProgress:
    """How far a request has come.

    Attributes:
        request_id: its identity.
        may_have_run: whether a backend server may have worked for it.
        attempts: how often it was tried.
        computed_tokens: prompt tokens that engines computed for it.
        unused_tokens: of these, not yet put to use.
        wasted_tokens: of these, for nothing, as far as this entry knows.
        prefill_backend: the backend server that read the prompt; None before.
        slot_granted_at: time of the lease.
        prompt_read_at: time at which the prompt was read.
        first_token_at: time of the first token.
        last_token_at: time of the last token so far.
        earlier_may_have_run: whether an earlier attempt with the same key may have run.
    """

    request_id: int = 0
    may_have_run: bool = False
    earlier_may_have_run: bool = False
    attempts: int = 0
    computed_tokens: int = 0
    unused_tokens: int = 0
    wasted_tokens: int = 0
    prefill_backend: Backend | None = None
    slot_granted_at: float = 0.0
    prompt_read_at: float = 0.0
    first_token_at: float = 0.0
    last_token_at: float = 0.0
    _steps: itertools.count[int] = field(default_factory=lambda: itertools.count(1))

    def new_step_id(self) -> int:
        """Return the identity of a next step: a message to one agent and its answers."""
        return self.request_id | (next(self._steps) & STEP_ID_MASK)

    @property
    def outcome(self) -> Outcome:
        """What may be told to the caller when the request fails now."""
        return (
            Outcome.UNKNOWN if self.may_have_run or self.earlier_may_have_run else Outcome.NOT_RUN
        )
