"""Keeps accounts within their limits, over all instances together."""

from __future__ import annotations

from typing import Any

import curio

from crankhinge.decisions import (
    DECISION_RETRY_S,
    NOT_ALLOCATOR,
    Account,
    Membership,
    QuotaAllocator,
    QuotaBounds,
    QuotaClient,
    QuotaDecision,
    QuotaOutcome,
)
from crankhinge.errors import LimitReached, NotReady
from crankhinge.gateway._discovery import Discovery
from crankhinge.gateway._peer_messages import QuotaRequest, QuotaResponse, QuotaReturn
from crankhinge.gateway._peer_messenger import PeerMessenger
from crankhinge.gateway._peer_requests import PendingRequests
from crankhinge.gateway._request import Relay, TokenGrant
from crankhinge.runtime import Metrics

# Seconds after which a caller should retry if no instance could decide.
NO_ALLOCATOR_RETRY_S = 0.2


class AccountLimits:
    """Takes the tokens of a request from its account, before the request waits for a server.

    Args:
        name: name of this instance.
        discovery: the accounts, and how old that information is.
        membership: the instances of the fleet.
        bounds: what the operators allow above the accounts' limits.
        messenger: sends and receives peer messages.
        log: log for events.
        metrics: registry for counters.
        now: time on the runtime's clock, in seconds.
    """

    def __init__(
        self,
        *,
        name: str,
        discovery: Discovery,
        membership: Membership,
        bounds: QuotaBounds,
        messenger: PeerMessenger,
        log: Any,
        metrics: Metrics,
        now: float,
    ) -> None:
        self._name = name
        self._discovery = discovery
        self._membership = membership
        self._messenger = messenger
        self._log = log
        self._metrics = metrics
        self._allocator = QuotaAllocator(name=name, membership=membership, bounds=bounds, now=now)
        self._client = QuotaClient(name=name, membership=membership)
        self._pending: PendingRequests[QuotaDecision] = PendingRequests()
        messenger.add_handler(QuotaRequest, self._on_request)
        messenger.add_handler(QuotaResponse, self._on_response)
        messenger.add_handler(QuotaReturn, self._on_return)

    def record_joined(self, name: str) -> None:
        """Record that an instance joined the fleet."""
        self._client.record_response(name)

    async def take_tokens(self, relay: Relay) -> None:
        """Take the tokens of a request from its account.

        Raises:
            LimitReached: the account has reached its limit.
            NotReady: no instance can decide now.
        """
        account = relay.account
        if account is None or account.limit is None:
            return
        tokens = account.cost(relay.request.max_total_tokens)
        while True:
            requested, decision = await self._ask_allocators(account, tokens)
            now = await curio.clock()
            waited_s = now - relay.started_at
            if now >= relay.deadline or not self._client.should_ask_again(
                decision.outcome, requested.allocator, account.name, waited_s, now
            ):
                break
            await curio.sleep(DECISION_RETRY_S)
        self._apply_decision(relay, requested, decision)

    async def _ask_allocators(
        self, account: Account, tokens: int
    ) -> tuple[TokenGrant, QuotaDecision]:
        """Return the decision of the first allocator that responds, or about the local part."""
        for allocator in self._client.allocators(account.name, await curio.clock()):
            decision = await self._request_from(allocator, account, tokens)
            if decision is not None and decision.outcome is not QuotaOutcome.NOT_ALLOCATOR:
                return TokenGrant(allocator, account, tokens), decision
        decision = self._allocator.allocate_local(account, tokens, await curio.clock())
        return TokenGrant("", account, tokens), decision

    def _apply_decision(self, relay: Relay, requested: TokenGrant, decision: QuotaDecision) -> None:
        allocator_name = requested.allocator or "own"
        if decision.outcome is QuotaOutcome.GRANTED:
            relay.grant = requested
            relay.log_fields.update(cost=requested.tokens, granted_by=allocator_name)
            return
        self._metrics.count("over_limit")
        self._log.info(
            "over_limit",
            request=relay.request.request_id,
            account=requested.account.name,
            tokens=requested.tokens,
            by=allocator_name,
            left=round(decision.left_tokens),
            after_ms=round(decision.retry_after_s * 1000),
            config=relay.config_version,
        )
        if decision.outcome is QuotaOutcome.NOT_ALLOCATOR:
            raise NotReady(
                "no instance can tell how many tokens the account has left",
                retry_after_s=NO_ALLOCATOR_RETRY_S,
            )
        raise LimitReached(
            f"account {requested.account.name} has reached its limit",
            retry_after_s=decision.retry_after_s,
        )

    async def return_unused(self, relay: Relay) -> None:
        """Return the tokens of a request that was not sent to any server."""
        grant, relay.grant = relay.grant, None
        if grant is None or relay.sent_to or relay.prompt_processed or relay.may_have_run:
            return
        if grant.allocator in ("", self._name):
            now = await curio.clock()
            self._allocator.return_tokens(
                grant.account, grant.tokens, now, local=not grant.allocator
            )
        elif address := self._membership.peer_address(grant.allocator):
            await self._messenger.send(address, QuotaReturn(grant.account.name, grant.tokens))

    async def _request_from(
        self, allocator: str, account: Account, tokens: int
    ) -> QuotaDecision | None:
        """Return an allocator's decision; None if it has no known address or does not respond."""
        if allocator == self._name:
            return self._allocator.allocate(account, tokens, await curio.clock())
        address = self._membership.peer_address(allocator)
        if not address:
            return None

        async def send(number: int) -> None:
            await self._messenger.send(address, QuotaRequest(number, account.name, tokens))

        decision = await self._pending.send_and_wait(send)
        if decision is None:
            self._log.info("quota_unanswered", account=account.name, instance=allocator)
            self._metrics.count("quota_unanswered")
            self._client.record_unresponsive(allocator, await curio.clock())
        else:
            self._client.record_response(allocator)
        return decision

    def _account(self, name: str) -> Account | None:
        config = self._discovery.config
        if config is None or config.accounts is None:
            return None
        return config.accounts.by_name.get(name)

    async def _on_request(self, message: QuotaRequest, sender: str) -> None:
        account = self._account(message.account)
        decision = NOT_ALLOCATOR
        if account is not None and account.limit is not None:
            # This instance decides even if its limit of the account may be outdated: a changed
            # limit has to be kept only after the time within which all instances must have received
            # it.
            decision = self._allocator.allocate(account, message.tokens, await curio.clock())
        response = QuotaResponse(
            message.number, decision.outcome, decision.retry_after_s, decision.left_tokens
        )
        await self._messenger.send(sender, response)

    async def _on_response(self, message: QuotaResponse, sender: str) -> None:
        decision = QuotaDecision(message.verdict, message.after_s, message.left)
        await self._pending.resolve(message.number, decision)

    async def _on_return(self, message: QuotaReturn, sender: str) -> None:
        account = self._account(message.account)
        if account is not None:
            self._allocator.return_tokens(account, message.tokens, await curio.clock())
