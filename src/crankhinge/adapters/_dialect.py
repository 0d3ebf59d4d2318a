"""How requests, answers and orders are written for a platform's callers and backend servers."""

from __future__ import annotations

import abc
import enum
from collections.abc import Mapping
from dataclasses import dataclass, field

from crankhinge.adapters._tenure import Tenure
from crankhinge.decisions import EngineRole
from crankhinge.http import HttpRequest


@dataclass(frozen=True, slots=True)
class RelayAsk:
    """What a caller's request says of itself.

    Attributes:
        ident: the caller's identity of this attempt; empty where it gave none.
        within_s: seconds that the caller waits, or None where it does not say.
        prompt_tokens: length of the prompt.
        answer_tokens: most tokens of the answer.
        likely_tokens: the caller's own estimate of the answer; 0 where it gives none.
        after_event: the last event of a stream that the caller has; empty for none.
        model: what is asked for; empty for no model in particular.
        key: of the client account; empty where the caller gave none.
    """

    ident: str
    within_s: float | None
    prompt_tokens: int = 0
    answer_tokens: int = 0
    likely_tokens: int = 0
    after_event: str = ""
    model: str = ""
    key: str = field(default="", repr=False)

    @property
    def tokens(self) -> int:
        """Tokens of the prompt and most of the answer together; 0 where it states none."""
        return self.prompt_tokens + self.answer_tokens


@dataclass(frozen=True, slots=True)
class Leg:
    """What a backend server is told beside the caller's request.

    Attributes:
        server: name of the server that is meant; another one at its address refuses.
        within_s: seconds that are left.
        read_only: read the prompt, don't answer.
        memory_from: where the memory of the prompt lies; empty to read it there.
        hold: reservation made ahead.
        after_event: continue a stream after this event.
        urgency: 0 is the most urgent; None leaves it to the server.
    """

    server: str
    within_s: float
    read_only: bool = False
    memory_from: str = ""
    hold: str = ""
    after_event: str = ""
    urgency: int | None = None


@dataclass(frozen=True, slots=True)
class ServerWord:
    """What the head of an answer says.

    Attributes:
        not_run: the server states that it did not run the request.
        other_server: the server at this address is not the one that was meant.
        retry_after_s: when it expects to have room.
        rest_s: seconds for which it wants no further request from this instance; None where it
            does not say.
        leaving: whether it says that it leaves.
        names_limit: whether it says how much it takes.
        takes_per_s: requests a second that it takes from all instances together; None where it
            does not say, or says what is no such number.
    """

    not_run: bool
    other_server: bool
    retry_after_s: float | None
    rest_s: float | None = None
    leaving: bool = False
    names_limit: bool = False
    takes_per_s: float | None = None


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
        phase: the part that it plays.
        orders: orders that it has taken since its start.
        busy: whether one is under way.
    """

    phase: EngineRole
    orders: int
    busy: bool


class OrderEnd(enum.Enum):
    """What an engine says to an order."""

    TAKEN = "taken"
    IN_THE_WAY = "in-the-way"
    FENCED = "fenced"
    NOT_THERE = "not-there"
    REFUSED = "refused"


class Dialect(abc.ABC):
    """Translates; decides nothing."""

    @abc.abstractmethod
    def read_ask(self, req: HttpRequest) -> RelayAsk:
        """Decode what a request says of itself. Raises BadHttp for figures that are none."""

    @abc.abstractmethod
    def leg_fields(self, req: HttpRequest, leg: Leg, account: str | None) -> list[tuple[str, str]]:
        """Return the header fields of the request as it goes to a server.

        Args:
            req: the caller's request.
            leg: what the server is told beside it.
            account: name of the client account, empty for none; the caller's key stays here. None
                where there are no accounts: what the caller says of itself is passed on.
        """

    @abc.abstractmethod
    def answer_fields(self, fields: list[tuple[str, str]]) -> list[tuple[str, str]]:
        """Return the header fields of an answer that the caller gets."""

    @abc.abstractmethod
    def own_fields(self, ask: RelayAsk) -> list[tuple[str, str]]:
        """Return the header fields of an answer of the router's own."""

    @abc.abstractmethod
    def word(self, status: int, headers: Mapping[str, str]) -> ServerWord:
        """Decode what the head of an answer says."""

    @abc.abstractmethod
    def owner(self, headers: Mapping[str, str]) -> str:
        """Return the identity of the request that an answer belongs to; empty for none given."""

    @abc.abstractmethod
    def memory_of(self, body: bytes) -> str:
        """Return the handle of a prompt's memory. Raises BadHttp."""

    @abc.abstractmethod
    def memory_at(self, host: str, port: int, handle: str) -> str:
        """Return where a prompt's memory lies, for :class:`Leg`."""

    @abc.abstractmethod
    def free_memory(self, handle: str) -> SideCall:
        """Return the call that frees a prompt's memory."""

    @abc.abstractmethod
    def take_hold(self, tokens: int, for_s: float) -> SideCall:
        """Return the call that reserves a slot and memory."""

    @abc.abstractmethod
    def hold_of(self, body: bytes) -> str:
        """Return the identity of a reservation. Raises BadHttp."""

    @abc.abstractmethod
    def drop_hold(self, hold: str) -> SideCall:
        """Return the call that gives a reservation back."""

    @abc.abstractmethod
    def side_fields(self, server: str) -> dict[str, str]:
        """Return the header fields of a side call that is meant for *server* alone."""

    @abc.abstractmethod
    def ask_state(self) -> SideCall:
        """Return the call that asks an engine for its state."""

    @abc.abstractmethod
    def state_of(self, body: bytes) -> EngineState:
        """Return an engine's state. Raises BadHttp."""

    @abc.abstractmethod
    def order_phase(self, phase: EngineRole, tenure: Tenure, orders: int) -> SideCall:
        """Return the order to play another part, void unless *orders* were taken before it."""

    @abc.abstractmethod
    def order_end(self, status: int) -> OrderEnd:
        """Return what the status of an answer to an order means."""
