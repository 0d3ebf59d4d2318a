"""The state of one request at its entry, and the ids of requests."""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field

from crankhinge.decisions import Backend
from crankhinge.errors import Outcome

# An id consists of a random number, a counter of requests, and a counter of the steps of a request.
ID_BITS = 63
COUNTER_BITS = 24
STEP_ID_BITS = 8
STEP_ID_MASK = (1 << STEP_ID_BITS) - 1


class RequestIds:
    """Creates request ids that other entries and earlier incarnations of this entry do not use.

    The lowest eight bits number the steps of a request. The log lines of a request in all processes
    therefore have ids that differ only in the last two hex digits.

    Args:
        nonce: a random number, new at each start of the process.
    """

    def __init__(self, nonce: int) -> None:
        high_bits = ID_BITS - COUNTER_BITS - STEP_ID_BITS
        self._high = (nonce & ((1 << high_bits) - 1)) << (COUNTER_BITS + STEP_ID_BITS)
        self._counter = itertools.count(1)

    def new_id(self) -> int:
        """Return the id of a new request."""
        number = next(self._counter) & ((1 << COUNTER_BITS) - 1)
        return self._high | (number << STEP_ID_BITS)


@dataclass
class RequestProgress:
    """The state of one request.

    All times are in seconds of the runtime's clock, and 0 until the event occurs.

    Attributes:
        request_id: id of the request.
        may_have_run: whether a backend server may have executed a part of the request.
        attempts: number of attempts so far.
        computed_tokens: number of prompt tokens that engines computed for the request.
        unused_tokens: computed tokens of the current attempt that have not led to a first token.
        wasted_tokens: computed tokens of attempts that failed, as far as this entry knows.
        prefill_backend: the backend server that processed the prompt; None before that.
        slot_granted_at: time at which the first slot was leased.
        prompt_processed_at: time at which an engine had first processed the prompt.
        first_token_at: time of the first token.
        last_token_at: time at which the last token arrived.
        earlier_may_have_run: whether an earlier request with the same idempotency key may have run.
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
    prompt_processed_at: float = 0.0
    first_token_at: float = 0.0
    last_token_at: float = 0.0
    _step_numbers: itertools.count[int] = field(default_factory=lambda: itertools.count(1))

    def new_step_id(self) -> int:
        """Return the id of a new step.

        A step is an exchange with one agent, such as a prefill, or the reservation of a slot
        together with the decode in it. Its id is the ``req`` of all messages of the exchange.
        """
        return self.request_id | (next(self._step_numbers) & STEP_ID_MASK)

    @property
    def outcome(self) -> Outcome:
        """What to report to the caller about whether the request ran, if it fails now."""
        return (
            Outcome.UNKNOWN if self.may_have_run or self.earlier_may_have_run else Outcome.NOT_RUN
        )
