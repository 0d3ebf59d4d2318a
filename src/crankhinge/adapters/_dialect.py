"""How requests, answers and orders are written for a platform's callers and backend servers."""

from __future__ import annotations

import abc
import enum
from collections.abc import Mapping
from dataclasses import dataclass, field

from crankhinge.adapters._order_lease import OrderLease
from crankhinge.decisions import EngineRole
from crankhinge.http import HttpRequest


@dataclass(frozen=True, slots=True)
class RelayRequest:
    """What a caller's request says of itself.

    Attributes:
        request_id: the caller's identity of this attempt; empty where it gave none.
        timeout_s: seconds that the caller waits, or None where it does not say.
        prompt_tokens: length of the prompt.
        max_answer_tokens: most tokens of the answer.
        expected_answer_tokens: the caller's own estimate of the answer; 0 where it gives none.
        last_event_id: the last event of a stream that the caller has; empty for none.
        model: what is asked for; empty for no model in particular.
        api_key: of the client account; empty where the caller gave none.
    """

    request_id: str
    timeout_s: float | None
    prompt_tokens: int = 0
    max_answer_tokens: int = 0
    expected_answer_tokens: int = 0
    last_event_id: str = ""
    model: str = ""
    api_key: str = field(default="", repr=False)

    @property
    def max_total_tokens(self) -> int:
        """Tokens of the prompt and most of the answer together; 0 where it states none."""
        return self.prompt_tokens + self.max_answer_tokens


@dataclass(frozen=True, slots=True)
class AttemptParams:
    """What a backend server is told beside the caller's request.

    Attributes:
        server: name of the server that is meant; another one at its address refuses.
        timeout_s: seconds that are left.
        prompt_only: read the prompt, don't answer.
        kv_cache_location: where the memory of the prompt lies; empty to read it there.
        reservation_id: reservation made ahead.
        last_event_id: continue a stream after this event.
        urgency: 0 is the most urgent; None leaves it to the server.
    """

    server: str
    timeout_s: float
    prompt_only: bool = False
    kv_cache_location: str = ""
    reservation_id: str = ""
    last_event_id: str = ""
    urgency: int | None = None


@dataclass(frozen=True, slots=True)
class ResponseSignals:
    """What the head of an answer says.

    Attributes:
        not_run: the server states that it did not run the request.
        wrong_server: the server at this address is not the one that was meant.
        retry_after_s: when it expects to have room.
        backoff_s: seconds for which it wants no further request from this instance; None where it
            does not say.
        leaving: whether it says that it leaves.
        advertises_limit: whether it says how much it takes.
        limit_per_s: requests a second that it takes from all instances together; None where it
            does not say, or says what is no such number.
    """

    not_run: bool
    wrong_server: bool
    retry_after_s: float | None
    backoff_s: float | None = None
    leaving: bool = False
    advertises_limit: bool = False
    limit_per_s: float | None = None


@dataclass(frozen=True, slots=True)
class SideCall:
    """A call of the router's own to a backend server."""

    method: str
    target: str
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class EngineState:
    """What an engine says of itself.

    Attributes:
        role: the part that it plays.
        orders_taken: orders that it has taken since its start.
        busy: whether one is under way.
    """

    role: EngineRole
    orders_taken: int
    busy: bool


class OrderOutcome(enum.Enum):
    """What an engine says to an order."""

    ACCEPTED = "taken"
    CONFLICT = "in-the-way"
    FENCED = "fenced"
    WRONG_SERVER = "not-there"
    REFUSED = "refused"


class Dialect(abc.ABC):
    """Translates; decides nothing."""

    @abc.abstractmethod
    def parse_request(self, req: HttpRequest) -> RelayRequest:
        """Decode what a request says of itself. Raises BadHttp for figures that are none."""

    @abc.abstractmethod
    def attempt_fields(
        self, req: HttpRequest, attempt: AttemptParams, account: str | None
    ) -> list[tuple[str, str]]:
        """Return the header fields of the request as it goes to a server.

        Args:
            req: the caller's request.
            attempt: what the server is told beside it.
            account: name of the client account, empty for none; the caller's key stays here. None
                where there are no accounts: what the caller says of itself is passed on.
        """

    @abc.abstractmethod
    def response_fields(self, fields: list[tuple[str, str]]) -> list[tuple[str, str]]:
        """Return the header fields of an answer that the caller gets."""

    @abc.abstractmethod
    def own_response_fields(self, request: RelayRequest) -> list[tuple[str, str]]:
        """Return the header fields of an answer of the router's own."""

    @abc.abstractmethod
    def parse_signals(self, status: int, headers: Mapping[str, str]) -> ResponseSignals:
        """Decode what the head of an answer says."""

    @abc.abstractmethod
    def response_request_id(self, headers: Mapping[str, str]) -> str:
        """Return the identity of the request that an answer belongs to; empty for none given."""

    @abc.abstractmethod
    def parse_kv_cache_handle(self, body: bytes) -> str:
        """Return the handle of a prompt's memory. Raises BadHttp."""

    @abc.abstractmethod
    def kv_cache_location(self, host: str, port: int, handle: str) -> str:
        """Return where a prompt's memory lies, for :class:`AttemptParams`."""

    @abc.abstractmethod
    def free_kv_cache_call(self, handle: str) -> SideCall:
        """Return the call that frees a prompt's memory."""

    @abc.abstractmethod
    def reserve_call(self, tokens: int, duration_s: float) -> SideCall:
        """Return the call that reserves a slot and memory."""

    @abc.abstractmethod
    def parse_reservation_id(self, body: bytes) -> str:
        """Return the identity of a reservation. Raises BadHttp."""

    @abc.abstractmethod
    def release_reservation_call(self, reservation_id: str) -> SideCall:
        """Return the call that gives a reservation back."""

    @abc.abstractmethod
    def side_call_fields(self, server: str) -> dict[str, str]:
        """Return the header fields of a side call that is meant for *server* alone."""

    @abc.abstractmethod
    def engine_state_call(self) -> SideCall:
        """Return the call that asks an engine for its state."""

    @abc.abstractmethod
    def parse_engine_state(self, body: bytes) -> EngineState:
        """Return an engine's state. Raises BadHttp."""

    @abc.abstractmethod
    def role_order_call(self, role: EngineRole, lease: OrderLease, orders_taken: int) -> SideCall:
        """Return the order to play another part, void unless *orders_taken* came before."""

    @abc.abstractmethod
    def order_outcome(self, status: int) -> OrderOutcome:
        """Return what the status of an answer to an order means."""
