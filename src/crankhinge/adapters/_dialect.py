"""How a platform's callers and backend servers encode requests, responses and orders."""

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
    """What the header of a caller's request states.

    Attributes:
        request_id: id that the caller gave to this attempt; empty if it gave none.
        timeout_s: seconds that the caller waits for the response; None if it does not say.
        prompt_tokens: number of tokens of the prompt; 0 if the caller does not say.
        max_answer_tokens: maximum number of tokens of the answer; 0 if the caller does not say.
        expected_answer_tokens: number of tokens that the caller expects in the answer; 0 if it does
            not say.
        last_event_id: id of the last stream event that the caller received; empty if it received
            none.
        resumes: id of the caller's attempt that brought the first event of the stream that this
            request takes up; empty if it begins a stream or the caller does not say.
        model: name of the requested model; empty if the caller names none.
        prompt_parts: ids of the parts of the prompt, in order. The last part is the request's own
            or its session's; requests share the others. Empty if the caller names no parts.
        api_key: key of the client account; empty if the caller sent none.
    """

    request_id: str
    timeout_s: float | None
    prompt_tokens: int = 0
    max_answer_tokens: int = 0
    expected_answer_tokens: int = 0
    last_event_id: str = ""
    resumes: str = ""
    model: str = ""
    prompt_parts: tuple[str, ...] = ()
    api_key: str = field(default="", repr=False)

    @property
    def max_total_tokens(self) -> int:
        """Tokens of the prompt plus maximum tokens of the answer; 0 if both are missing."""
        return self.prompt_tokens + self.max_answer_tokens


@dataclass(frozen=True, slots=True)
class AttemptParams:
    """Parameters that the router adds to a caller's request when it sends it to a server.

    Attributes:
        server: name of the intended server; a different server at the same address refuses the
            request.
        timeout_s: seconds until the caller's deadline.
        prompt_only: whether the server processes the prompt without generating an answer.
        kv_cache_location: where the server fetches the KV cache of the prompt; empty if the server
            processes the prompt itself.
        reservation_id: id of a reservation made on the server before; empty if there is none.
        last_event_id: event after which the server continues a stream; empty to start at its
            beginning.
        urgency: 0 is the most urgent; None leaves the choice to the server.
        has_copy: whether the server has a copy of the run that it continues, or has stopped it.
    """

    server: str
    timeout_s: float
    prompt_only: bool = False
    kv_cache_location: str = ""
    reservation_id: str = ""
    last_event_id: str = ""
    urgency: int | None = None
    has_copy: bool = False


@dataclass(frozen=True, slots=True)
class ResponseSignals:
    """What the head of a server's response says beside its status.

    Attributes:
        not_run: whether the server states that it did not run the request.
        wrong_server: whether the server at this address is not the intended one.
        retry_after_s: seconds after which the server expects to have capacity; None if it does not
            say.
        backoff_s: seconds during which the server wants no further request from this instance;
            None if it does not say.
        leaving: whether the server announces its shutdown.
        advertises_limit: whether the response has the field for the server's own limit, readable
            or not.
        limit_per_s: requests per second that the server accepts from all instances together; None
            if the field is absent or holds no valid rate.
        unstated: whether callers take the status for a promise that the request did not run, and
            the server does not state that.
    """

    not_run: bool
    wrong_server: bool
    retry_after_s: float | None
    backoff_s: float | None = None
    leaving: bool = False
    advertises_limit: bool = False
    limit_per_s: float | None = None
    unstated: bool = False


@dataclass(frozen=True, slots=True)
class SideCall:
    """Call that the router itself makes to a backend server, such as one that reserves a slot.

    Attributes:
        method: HTTP method.
        target: path.
        body: the complete body.
        new_connection: whether the call must not share a connection with earlier ones, because a
            late copy of the response to one of those would do harm if it were taken for its own.
    """

    method: str
    target: str
    body: bytes = b""
    new_connection: bool = False


@dataclass(frozen=True, slots=True)
class EngineState:
    """State that an engine reports.

    Attributes:
        role: current role of the engine.
        accepted_orders: number of orders that the engine has accepted since its start.
        busy: whether the engine is still carrying out an order.
        leaves_in_s: seconds until the engine ends the runs that are then in progress; None unless
            it is leaving and says when.
    """

    role: EngineRole
    accepted_orders: int
    busy: bool
    leaves_in_s: float | None = None


class CopyOutcome(enum.Enum):
    """How an engine responds to the call that copies a run to another engine. Values are logged.

    Attributes:
        COPIED: the target has the copy.
        NO_SUCH_RUN: the engine runs no request with that id.
        IN_PROGRESS: another call is copying the same run.
        NO_ROOM: the target has no room, or the engine cannot reach it.
        WRONG_SERVER: the server at this address is not the intended one.
        FAILED: any other response. Whether the run goes on is unknown.
    """

    COPIED = "copied"
    NO_SUCH_RUN = "no-such-run"
    IN_PROGRESS = "in-progress"
    NO_ROOM = "no-room"
    WRONG_SERVER = "wrong-server"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class RunCopy:
    """Response of an engine to the call that copies a run to another engine.

    Attributes:
        outcome: the outcome.
        cache_handle: handle with which the run continues, at the target or at the engine itself;
            empty if the response has none.
        events_made: number of events that the run has made.
    """

    outcome: CopyOutcome
    cache_handle: str = ""
    events_made: int = 0


class OrderOutcome(enum.Enum):
    """How an engine responds to an order. The values are logged.

    Attributes:
        ACCEPTED: the engine carries out the order, or already has the role.
        CONFLICT: another order was accepted before, or is still being carried out.
        FENCED: the engine has seen a greater fencing token.
        WRONG_SERVER: the server at this address is not the intended one.
        REFUSED: any other response.
    """

    ACCEPTED = "taken"
    CONFLICT = "in-the-way"
    FENCED = "fenced"
    WRONG_SERVER = "not-there"
    REFUSED = "refused"


class Dialect(abc.ABC):
    """Translates between the platform's formats and the router's types. It makes no decisions."""

    @abc.abstractmethod
    def parse_request(self, req: HttpRequest) -> RelayRequest:
        """Decode the header of a caller's request. Raises BadHttp if a number in it is invalid."""

    @abc.abstractmethod
    def attempt_fields(
        self, req: HttpRequest, attempt: AttemptParams, account: str | None
    ) -> list[tuple[str, str]]:
        """Return the header fields of the request as it is sent to a server.

        Args:
            req: the caller's request.
            attempt: parameters that the router adds.
            account: name of the client account, empty if the request has none; the caller's key
                is then removed. None if no accounts are configured: the fields in which the caller
                identifies itself are passed on unchanged.
        """

    @abc.abstractmethod
    def response_fields(self, fields: list[tuple[str, str]]) -> list[tuple[str, str]]:
        """Return the fields of a server's response that are passed on to the caller."""

    @abc.abstractmethod
    def own_response_fields(self, request: RelayRequest) -> list[tuple[str, str]]:
        """Return the header fields of a response that the router itself makes to *request*."""

    @abc.abstractmethod
    def parse_signals(self, status: int, headers: Mapping[str, str]) -> ResponseSignals:
        """Decode the signals in the head of a server's response."""

    @abc.abstractmethod
    def response_request_id(self, headers: Mapping[str, str]) -> str:
        """Return the id of the request that a response belongs to; empty if it carries none."""

    @abc.abstractmethod
    def parse_kv_cache_handle(self, body: bytes) -> str:
        """Return the handle of a KV cache from a response body. Raises BadHttp if it has none."""

    @abc.abstractmethod
    def kv_cache_location(self, host: str, port: int, handle: str) -> str:
        """Return the location of a KV cache, for :class:`AttemptParams`."""

    @abc.abstractmethod
    def free_kv_cache_call(self, handle: str) -> SideCall:
        """Return the call that frees the KV cache of a prompt, or both ends of a run's copy."""

    @abc.abstractmethod
    def reserve_call(self, tokens: int, duration_s: float) -> SideCall:
        """Return the call that reserves a slot and KV memory for *tokens* tokens.

        The reservation expires after *duration_s* seconds.
        """

    @abc.abstractmethod
    def parse_reservation_id(self, body: bytes) -> str:
        """Return the id of a reservation from a response body. Raises BadHttp if it has none."""

    @abc.abstractmethod
    def release_reservation_call(self, reservation_id: str) -> SideCall:
        """Return the call that releases a reservation."""

    @abc.abstractmethod
    def copy_run_call(self, request_id: str, host: str, port: int, *, last: bool) -> SideCall:
        """Return the call that copies the KV memory of a run to another engine.

        The call goes to the engine that runs the request. A repeated call copies what is new.

        Args:
            request_id: id of the running request.
            host: host of the engine that receives the copy.
            port: its port.
            last: whether the run stops before it is copied. Its stream is then closed without its
                end.
        """

    @abc.abstractmethod
    def parse_run_copy(self, status: int, body: bytes) -> RunCopy:
        """Return the meaning of the response to :meth:`copy_run_call`.

        A response whose body lacks a required field counts as :attr:`CopyOutcome.FAILED`.
        """

    @abc.abstractmethod
    def side_call_fields(self, server: str) -> dict[str, str]:
        """Return the header fields of a side call, which any server but *server* refuses."""

    @abc.abstractmethod
    def engine_state_call(self) -> SideCall:
        """Return the call that queries the state of an engine."""

    @abc.abstractmethod
    def parse_engine_state(self, body: bytes) -> EngineState:
        """Return the state of an engine from a response body. Raises BadHttp if it is invalid."""

    @abc.abstractmethod
    def parse_started_ms(self, status: int, body: bytes) -> int | None:
        """Return when a server was started, from its response to :meth:`engine_state_call`.

        The time is in milliseconds since the Unix epoch; None if such servers do not tell it.

        Raises:
            BadHttp: the response is no report.
        """

    @abc.abstractmethod
    def role_order_call(
        self, role: EngineRole, lease: OrderLease, accepted_orders: int
    ) -> SideCall:
        """Return the call that orders an engine to change its role.

        Args:
            role: the new role.
            lease: order lease of this instance; the engine checks its fencing token.
            accepted_orders: number of accepted orders as the engine last reported it. The engine
                refuses the order if it has accepted another one since.
        """

    @abc.abstractmethod
    def order_outcome(self, status: int) -> OrderOutcome:
        """Return the meaning of the response status to an order."""
