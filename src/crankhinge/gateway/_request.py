"""One request on its way through the gateway."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import curio

from crankhinge.adapters import RelayRequest
from crankhinge.decisions import Account, Route, Service
from crankhinge.http import Exchange

# Put before a request's fingerprint where its prompt alone is meant.
PROMPT_ONLY_PREFIX = "r:"
# Servers that may not be reached for one request; each costs the time of a connection at most.
MAX_UNREACHABLE = 3


@dataclass(frozen=True)
class TokenGrant:
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
        expires_at: when it is over, on the runtime's clock.
    """

    allocator: str
    expires_at: float


@dataclass
class Relay:
    """A request, what binds it, and what has been done for it.

    Attributes:
        exchange: the caller's request and the way to answer it.
        request: what it says of itself.
        route: the route that it matched.
        service: the service that answers it.
        config_version: of the configuration that decided so.
        started_at: when it was read, on the runtime's clock.
        deadline: when it has to be answered, on the runtime's clock.
        fingerprint: what is equal for attempts at one request.
        account: who asks; None where that needs no key.
        has_accounts: whether the configuration has accounts.
        grant: what it has of its account's tokens; None where none are counted.
        permits: leave to be sent to servers that name limits, by their identities.
        trial_work: the work of it that is let through a quarantine to see what becomes of it; empty
            for none.
        is_retry: whether its caller was refused before and has come back.
        sent_to: identities of the servers that it was sent to.
        unreachable: identities of servers that could not be reached; nothing arrived there.
        may_have_run: whether a server may have run it.
        prompt_processed: whether an engine has read its prompt.
        reserved_at: when it got a place to write in; None before that.
        last_event_at: when the caller was last sent an event; None before the first.
        log_fields: what the line about its end tells.
    """

    exchange: Exchange
    request: RelayRequest
    route: Route
    service: Service
    config_version: int
    started_at: float
    deadline: float
    fingerprint: str = ""
    account: Account | None = None
    has_accounts: bool = False
    grant: TokenGrant | None = None
    permits: dict[str, SendPermit] = field(default_factory=dict)
    trial_work: str = ""
    is_retry: bool = False
    sent_to: list[str] = field(default_factory=list)
    unreachable: list[str] = field(default_factory=list)
    may_have_run: bool = False
    prompt_processed: bool = False
    reserved_at: float | None = None
    last_event_at: float | None = None
    log_fields: dict[str, Any] = field(default_factory=dict)

    async def remaining_s(self) -> float:
        """Return the seconds that are left."""
        now: float = await curio.clock()
        return self.deadline - now

    @property
    def account_name(self) -> str | None:
        """Name of who asks; empty for nobody in particular, None where there are no accounts."""
        if not self.has_accounts:
            return None
        return self.account.name if self.account else ""

    @property
    def rank(self) -> int:
        """How urgent it is, 0 most; the account's goes before the route's."""
        if self.account is None or self.account.rank is None:
            return self.route.rank
        return self.account.rank

    def work_key(self, *, prompt_only: bool) -> str:
        """Return what is equal for attempts at having the request run, or its prompt read apart.

        A prompt that crashes the engines that read it may well be read by the one that writes.
        """
        return f"{PROMPT_ONLY_PREFIX}{self.fingerprint}" if prompt_only else self.fingerprint

    def record_event(self, now: float) -> None:
        """Note that events go to the caller: when the first did, and the longest pause since."""
        if self.last_event_at is None:
            self.log_fields["first_ms"] = round((now - self.started_at) * 1000)
        else:
            gap_ms = round((now - self.last_event_at) * 1000)
            self.log_fields["gap_ms"] = max(gap_ms, self.log_fields.get("gap_ms", 0))
        self.last_event_at = now

    def record_unreachable(self) -> bool:
        """Note that the last server was not reached; returns whether another may be tried."""
        self.unreachable.append(self.sent_to.pop())
        return len(self.unreachable) < MAX_UNREACHABLE

    @property
    def tried_servers(self) -> frozenset[str]:
        """Identities of servers that are out of the question."""
        return frozenset(self.sent_to) | frozenset(self.unreachable)

    @property
    def may_try_another(self) -> bool:
        """Whether the route allows one more server."""
        return len(self.sent_to) < self.route.max_servers

    @property
    def may_retry(self) -> bool:
        """Whether it may be sent again without running twice against the operator's will."""
        return self.route.repeatable or not self.may_have_run
