"""The state of one request while the gateway handles it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import curio

from crankhinge.adapters import RelayRequest
from crankhinge.decisions import Account, EngineRole, Route, Service, WorkKeys, prompt_only_keys
from crankhinge.http import Exchange

# A request fails when this many servers were unreachable for it. Each of them costs at most the
# timeout of a connection.
MAX_UNREACHABLE = 3
# Attempts of a request in a line of the log. A stream that is moved often has more.
MAX_LOGGED_ATTEMPTS = 8


@dataclass(frozen=True)
class TokenGrant:
    """Tokens of its account that a request was granted.

    Attributes:
        allocator: name of the instance that granted them; empty for this instance's local share.
        account: the account.
        tokens: number of tokens.
    """

    allocator: str
    account: Account
    tokens: int


@dataclass(frozen=True)
class SendPermit:
    """Permit to send a request to a server that advertises a limit.

    Attributes:
        allocator: name of the instance that granted it; empty for this instance.
        expires_at: when the permit expires, on the runtime's clock.
    """

    allocator: str
    expires_at: float


@dataclass
class SentAttempt:
    """What a server was sent of a request, and what the head of its response said about it.

    Attributes:
        server: incarnation id of the server.
        prompt_only: whether only the prompt was to be processed, which is no run.
        status: status of the response; 0 until its head has arrived.
        is_refused: whether the response states that the server did not execute what it was sent.
        reused: whether the connection had carried an earlier request.
        opened_at: when the connection was opened, on the runtime's clock.
    """

    server: str
    prompt_only: bool
    status: int = 0
    is_refused: bool = False
    reused: bool = False
    opened_at: float = 0.0

    def record_response(self, status: int, *, is_refused: bool, reused: bool) -> None:
        """Record the head of the response."""
        self.status, self.is_refused, self.reused = status, is_refused, reused

    @property
    def may_have_run(self) -> bool:
        """Whether the server may have executed the request."""
        return not self.prompt_only and not self.is_refused

    def __str__(self) -> str:
        """Return the form for logs, such as ``i-1:run:503:not-run:reused`` or ``i-1:run:none``."""
        kind = "prompt" if self.prompt_only else "run"
        notes = [
            *(["not-run"] if self.is_refused else []),
            *(["reused"] if self.reused else []),
        ]
        return ":".join([self.server, kind, str(self.status or "none"), *notes])


@dataclass
class Relay:
    """A request that the gateway relays, the rules that apply to it, and its progress so far.

    Attributes:
        exchange: the caller's HTTP request and the means to respond.
        request: the fields of the request that the gateway uses.
        route: the route that the request matched.
        service: the service that runs the request.
        config_version: version of the configuration that chose route and service.
        started_at: when the request was read, on the runtime's clock.
        deadline: when the response must be complete, on the runtime's clock.
        fingerprint: equal for all attempts of a caller at the same request.
        part_keys: keys of the parts of the prompt that other requests may have as well.
        account: account of the caller; None if the request needs no key.
        has_accounts: whether the configuration has accounts.
        grant: tokens that the request was granted; None if it costs none.
        permits: permits for servers that advertise limits, by incarnation id.
        trial_work: keys of the work that may run as the trial of a quarantine.
        is_retry: whether the request is probably a caller's retry after a refusal.
        sent_to: incarnation ids of the decode engines or plain servers that were tried, including
            the current one. Prompt engines and unreachable servers are not included.
        unreachable: incarnation ids of servers that could not be reached; they received nothing.
        attempts: what servers were sent, in order. An attempt is added before its first byte is
            sent, so that :attr:`may_have_run` holds however the attempt ends: by an error, a
            timeout or a cancellation.
        version: software version that the servers of the stream must have; empty for any.
        prompt_processed: whether a prompt engine processed the prompt.
        reserved_at: when a decode engine granted the reservation; None before.
        last_event_at: when the caller was last sent an event; None before the first.
        writing_since: when the caller was sent the first event of the current attempt; None before.
        log_fields: fields of the log line about the end of the request.
    """

    exchange: Exchange
    request: RelayRequest
    route: Route
    service: Service
    config_version: int
    started_at: float
    deadline: float
    fingerprint: str = ""
    part_keys: tuple[str, ...] = ()
    account: Account | None = None
    has_accounts: bool = False
    grant: TokenGrant | None = None
    permits: dict[str, SendPermit] = field(default_factory=dict)
    trial_work: frozenset[str] = frozenset()
    is_retry: bool = False
    sent_to: list[str] = field(default_factory=list)
    unreachable: list[str] = field(default_factory=list)
    attempts: list[SentAttempt] = field(default_factory=list)
    version: str = ""
    prompt_processed: bool = False
    reserved_at: float | None = None
    last_event_at: float | None = None
    writing_since: float | None = None
    log_fields: dict[str, Any] = field(default_factory=dict)

    async def remaining_s(self) -> float:
        """Return the seconds until the deadline."""
        now: float = await curio.clock()
        return self.deadline - now

    @property
    def account_name(self) -> str | None:
        """Name of the caller's account; empty without an account, None if accounts are not used."""
        if not self.has_accounts:
            return None
        return self.account.name if self.account else ""

    @property
    def rank(self) -> int:
        """Priority of the request, 0 the highest; the account's, if set, overrides the route's."""
        if self.account is None or self.account.rank is None:
            return self.route.rank
        return self.account.rank

    def required_version(self, role: EngineRole | None) -> str:
        """Return the software version that servers of a role must have; empty for any.

        A prompt may be processed at any version: only the events of a stream must not be mixed.
        """
        return "" if role is EngineRole.PREFILL else self.version

    def work_keys(self, *, prompt_only: bool) -> WorkKeys:
        """Return the keys under which a crash of a server during this work is counted.

        The work is the execution of the request or, with *prompt_only*, the processing of its
        prompt by a prompt engine.
        """
        keys = (self.fingerprint, *self.part_keys)
        return prompt_only_keys(keys) if prompt_only else keys

    @property
    def may_have_run(self) -> bool:
        """Whether a server may have executed the request."""
        return any(attempt.may_have_run for attempt in self.attempts)

    def was_sent_to(self, incarnation_id: str) -> bool:
        """Return whether a server received the request's id, with the prompt alone included.

        The id does not tell the responses of one server to several attempts apart.
        """
        return any(attempt.server == incarnation_id for attempt in self.attempts)

    @property
    def attempts_field(self) -> dict[str, str]:
        """The log field with the last attempts; none if nothing was sent."""
        attempts = self.attempts[-MAX_LOGGED_ATTEMPTS:]
        return {"attempts": ",".join(map(str, attempts))} if attempts else {}

    def record_event(self, now: float) -> None:
        """Record that events are sent to the caller: when the first was, and the longest pause."""
        if self.last_event_at is None:
            self.log_fields["first_ms"] = round((now - self.started_at) * 1000)
        else:
            gap_ms = round((now - self.last_event_at) * 1000)
            self.log_fields["gap_ms"] = max(gap_ms, self.log_fields.get("gap_ms", 0))
        self.last_event_at = now
        if self.writing_since is None:
            self.writing_since = now

    def record_unreachable(self) -> bool:
        """Record that the last server was unreachable; return whether another may be tried."""
        self.unreachable.append(self.sent_to.pop())
        return len(self.unreachable) < MAX_UNREACHABLE

    @property
    def tried_servers(self) -> frozenset[str]:
        """Incarnation ids of the servers that must not be tried again."""
        return frozenset(self.sent_to) | frozenset(self.unreachable)

    @property
    def may_try_another(self) -> bool:
        """Whether the route allows the request to be sent to one more server."""
        return len(self.sent_to) < self.route.max_servers

    @property
    def may_retry(self) -> bool:
        """Whether the request has certainly not run yet, or the route allows it to run again."""
        return self.route.repeatable or not self.may_have_run
