"""One request on its way through the gateway."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import curio

from crankhinge.adapters import RelayRequest
from crankhinge.decisions import Account, Route, Service
from crankhinge.http import Exchange

# Put before a request's fingerprint where its prompt alone is meant.
READ_APART = "r:"
# Servers that may not be reached for one request; each costs the time of a connection at most.
MAX_UNREACHED = 3


@dataclass(frozen=True)
class Grant:
    """Tokens of an account that a request has.

    Attributes:
        allocator: the instance that handed them out; empty for this instance's own part.
        account: the account.
        tokens: how many.
    """

    allocator: str
    account: Account
    tokens: int


@dataclass(frozen=True)
class SendPermit:
    """Leave to send a request to a server that says how much it takes.

    Attributes:
        allocator: the instance that gave it; empty for this one.
        until: when it is over, on the runtime's clock.
    """

    allocator: str
    until: float


@dataclass
class Relay:
    """A request, what binds it, and what has been done for it.

    Attributes:
        exchange: the caller's request and the way to answer it.
        ask: what it says of itself.
        route: the route that it matched.
        service: the service that answers it.
        version: of the configuration that decided so.
        began: when it was read, on the runtime's clock.
        until: when it has to be answered, on the runtime's clock.
        fingerprint: what is equal for attempts at one request.
        account: who asks; None where that needs no key.
        keyed: whether the configuration has accounts.
        grant: what it has of its account's tokens; None where none are counted.
        permits: leave to be sent to servers that name limits, by their identities.
        trial: the work of it that is let through a quarantine to see what becomes of it; empty
            for none.
        returned: whether its caller was refused before and has come back.
        sent: identities of the servers that it was sent to.
        unreached: identities of servers that could not be reached; nothing arrived there.
        may_have_run: whether a server may have run it.
        was_read: whether an engine has read its prompt.
        placed_at: when it got a place to write in; None before that.
        event_at: when the caller was last sent an event; None before the first.
        facts: what the line about its end tells.
    """

    exchange: Exchange
    ask: RelayRequest
    route: Route
    service: Service
    version: int
    began: float
    until: float
    fingerprint: str = ""
    account: Account | None = None
    keyed: bool = False
    grant: Grant | None = None
    permits: dict[str, SendPermit] = field(default_factory=dict)
    trial: str = ""
    returned: bool = False
    sent: list[str] = field(default_factory=list)
    unreached: list[str] = field(default_factory=list)
    may_have_run: bool = False
    was_read: bool = False
    placed_at: float | None = None
    event_at: float | None = None
    facts: dict[str, Any] = field(default_factory=dict)

    async def left(self) -> float:
        """Return the seconds that are left."""
        now: float = await curio.clock()
        return self.until - now

    @property
    def account_name(self) -> str | None:
        """Name of who asks; empty for nobody in particular, None where there are no accounts."""
        if not self.keyed:
            return None
        return self.account.name if self.account else ""

    @property
    def rank(self) -> int:
        """How urgent it is, 0 most; the account's goes before the route's."""
        if self.account is None or self.account.rank is None:
            return self.route.rank
        return self.account.rank

    def work(self, *, read_only: bool) -> str:
        """Return what is equal for attempts at having the request run, or its prompt read apart.

        A prompt that crashes the engines that read it may well be read by the one that writes.
        """
        return f"{READ_APART}{self.fingerprint}" if read_only else self.fingerprint

    def note_event(self, now: float) -> None:
        """Note that events go to the caller: when the first did, and the longest pause since."""
        if self.event_at is None:
            self.facts["first_ms"] = round((now - self.began) * 1000)
        else:
            gap_ms = round((now - self.event_at) * 1000)
            self.facts["gap_ms"] = max(gap_ms, self.facts.get("gap_ms", 0))
        self.event_at = now

    def not_reached(self) -> bool:
        """Note that the last server was not reached; returns whether another may be tried."""
        self.unreached.append(self.sent.pop())
        return len(self.unreached) < MAX_UNREACHED

    @property
    def tried(self) -> frozenset[str]:
        """Identities of servers that are out of the question."""
        return frozenset(self.sent) | frozenset(self.unreached)

    @property
    def may_be_sent(self) -> bool:
        """Whether the route allows one more server."""
        return len(self.sent) < self.route.max_servers

    @property
    def may_repeat(self) -> bool:
        """Whether it may be sent again without running twice against the operator's will."""
        return self.route.repeatable or not self.may_have_run
