"""Holds accounts to their limits, over all instances together."""

from __future__ import annotations

from typing import Any

import curio

from crankhinge.decisions import (
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

# When to come back where no instance could tell whether tokens are there, in seconds.
NO_ALLOCATOR_RETRY_S = 0.2


class AccountLimits:
    """Gets each request the tokens that it counts, before it waits for anything.

    Args:
        name: of this instance.
        discovery: the accounts and how old they are.
        membership: the instances.
        bounds: what the operators allow.
        messenger: carries questions and answers.
        log: for events.
        metrics: for counters.
        now: on the runtime's clock, in seconds.
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
        self._directory = discovery
        self._members = membership
        self._notices = messenger
        self._log = log
        self._metrics = metrics
        self._allocator = QuotaAllocator(name=name, membership=membership, bounds=bounds, now=now)
        self._asker = QuotaClient(name=name, membership=membership)
        self._questions: PendingRequests[QuotaDecision] = PendingRequests()
        messenger.add_handler(QuotaRequest, self._take_ask)
        messenger.add_handler(QuotaResponse, self._take_answer)
        messenger.add_handler(QuotaReturn, self._take_return)

    def record_joined(self, name: str) -> None:
        """Note that an instance has come."""
        self._asker.record_response(name)

    async def take_tokens(self, relay: Relay) -> None:
        """Get a request its tokens.

        Raises:
            LimitReached: its account has used what it may.
            NotReady: nobody can tell.
        """
        account = relay.account
        if account is None or account.limit is None:
            return
        tokens = account.cost(relay.request.max_total_tokens)
        for allocator in self._asker.allocators(account.name, await curio.clock()):
            word = await self._ask(allocator, account, tokens)
            if word is not None and word.outcome is not QuotaOutcome.NOT_ALLOCATOR:
                self._decide(relay, TokenGrant(allocator, account, tokens), word)
                return
        word = self._allocator.allocate_local(account, tokens, await curio.clock())
        self._decide(relay, TokenGrant("", account, tokens), word)

    def _decide(self, relay: Relay, grant: TokenGrant, word: QuotaDecision) -> None:
        by = grant.allocator or "own"
        if word.outcome is QuotaOutcome.GRANTED:
            relay.grant = grant
            relay.log_fields.update(cost=grant.tokens, granted_by=by)
            return
        self._metrics.count("over_limit")
        self._log.info(
            "over_limit",
            request=relay.request.request_id,
            account=grant.account.name,
            tokens=grant.tokens,
            by=by,
            left=round(word.left_tokens),
            after_ms=round(word.retry_after_s * 1000),
            config=relay.config_version,
        )
        if word.outcome is QuotaOutcome.NOT_ALLOCATOR:
            raise NotReady(
                "nobody can tell what the account has left", retry_after_s=NO_ALLOCATOR_RETRY_S
            )
        raise LimitReached(
            f"account {grant.account.name} has used its limit", retry_after_s=word.retry_after_s
        )

    async def return_unused(self, relay: Relay) -> None:
        """Give the tokens of a request back that no server had."""
        grant, relay.grant = relay.grant, None
        if grant is None or relay.sent_to or relay.prompt_processed or relay.may_have_run:
            return
        if grant.allocator in ("", self._name):
            now = await curio.clock()
            self._allocator.return_tokens(
                grant.account, grant.tokens, now, local=not grant.allocator
            )
        elif peer := self._members.peer_address(grant.allocator):
            await self._notices.send(peer, QuotaReturn(grant.account.name, grant.tokens))

    async def _ask(self, allocator: str, account: Account, tokens: int) -> QuotaDecision | None:
        """Return what an instance says; None when it says nothing."""
        if allocator == self._name:
            return self._allocator.allocate(account, tokens, await curio.clock())
        peer = self._members.peer_address(allocator)
        if not peer:
            return None

        async def send(number: int) -> None:
            await self._notices.send(peer, QuotaRequest(number, account.name, tokens))

        word = await self._questions.send_and_wait(send)
        if word is None:
            self._log.info("quota_unanswered", account=account.name, instance=allocator)
            self._metrics.count("quota_unanswered")
            self._asker.record_unresponsive(allocator, await curio.clock())
        else:
            self._asker.record_response(allocator)
        return word

    def _account(self, name: str) -> Account | None:
        table = self._directory.table
        if table is None or table.accounts is None:
            return None
        return table.accounts.by_name.get(name)

    async def _take_ask(self, message: QuotaRequest, sender: str) -> None:
        account = self._account(message.account)
        word = NOT_ALLOCATOR
        if account is not None and account.limit is not None:
            # Also by an old limit: a new one binds once every instance can have heard of it.
            word = self._allocator.allocate(account, message.tokens, await curio.clock())
        answer = QuotaResponse(message.number, word.outcome, word.retry_after_s, word.left_tokens)
        await self._notices.send(sender, answer)

    async def _take_answer(self, message: QuotaResponse, sender: str) -> None:
        word = QuotaDecision(message.verdict, message.after_s, message.left)
        await self._questions.resolve(message.number, word)

    async def _take_return(self, message: QuotaReturn, sender: str) -> None:
        account = self._account(message.account)
        if account is not None:
            self._allocator.return_tokens(account, message.tokens, await curio.clock())
