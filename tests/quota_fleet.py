"""Simulation of instances that allocate the tokens of an account."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

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
from member_fleet import RESPONSE_TIMEOUT_S, MemberFleet, MemberNode


@dataclass(frozen=True)
class CompletedRequest:
    """A request that got its tokens: when it was sent, when they were granted, and how many."""

    sent_at: float
    granted_at: float
    tokens: int


@dataclass(kw_only=True)
class QuotaNode(MemberNode):
    """One incarnation of a simulated instance."""

    allocator: QuotaAllocator
    client: QuotaClient
    account: Account


class QuotaFleet(MemberFleet[QuotaNode]):
    """Simulates instances that allocate the tokens of an account, on a clock of its own.

    Args:
        count: number of instances.
        account: account of all requests.
        bounds: what the operators allow beyond the account's limit.
        seed: seed of delays and losses.
        loss: share of datagrams that are lost.
    """

    def __init__(
        self, count: int, account: Account, bounds: QuotaBounds, *, seed: int = 1, loss: float = 0.0
    ) -> None:
        super().__init__(count, seed=seed, loss=loss)
        self.account = account
        self.bounds = bounds
        self.completed: list[CompletedRequest] = []
        # When a first instance granted tokens, and how many.
        self.granted_by_first: list[tuple[float, int]] = []
        self.refused = 0
        self.unallocated = 0

    def _make_node(self, name: str, membership: Membership) -> QuotaNode:
        return QuotaNode(
            name=name,
            membership=membership,
            allocator=QuotaAllocator(
                name=name, membership=membership, bounds=self.bounds, now=self.now
            ),
            client=QuotaClient(name=name, membership=membership),
            account=self.account,
        )

    def _record_joined(self, node: QuotaNode, name: str) -> None:
        node.client.record_response(name)

    # Requests.

    def request(self, name: str, tokens: int) -> None:
        """Have a caller send a request for *tokens* tokens to an instance."""
        node = self.nodes.get(name)
        if node is None:
            return
        sent_at = self.now
        self._schedule(node, 0.001, lambda: self._ask_allocator(node, tokens, sent_at, None))

    def _ask_allocator(
        self, node: QuotaNode, tokens: int, sent_at: float, remaining: list[str] | None
    ) -> None:
        if remaining is None:
            remaining = list(node.client.allocators(self.account.name, self.now))
        if not remaining:
            decision = node.allocator.allocate_local(self.account, tokens, self.now)
            self._finish(node, decision, "", tokens, sent_at)
            return
        allocator, rest = remaining[0], remaining[1:]

        def handle(decision: QuotaDecision | None) -> None:
            if decision is None or decision.outcome is QuotaOutcome.NOT_ALLOCATOR:
                self._ask_allocator(node, tokens, sent_at, rest)
            else:
                self._finish(node, decision, allocator, tokens, sent_at)

        if allocator == node.name:
            handle(self._allocate(node, tokens))
            return
        number = next(self._request_numbers)
        node.pending[number] = handle

        def on_timeout() -> None:
            if node.pending.pop(number, None):
                node.client.record_unresponsive(allocator, self.now)
                handle(None)

        self._send(node, allocator, lambda other: self._respond(other, node.name, number, tokens))
        self._schedule(node, RESPONSE_TIMEOUT_S, on_timeout)

    def _finish(
        self, node: QuotaNode, decision: QuotaDecision, allocator: str, tokens: int, sent_at: float
    ) -> None:
        """Record a decision, or ask again while the fleet starts."""
        waited_s = self.now - sent_at
        if node.client.should_ask_again(
            decision.outcome, allocator, self.account.name, waited_s, self.now
        ):
            self._schedule(
                node, DECISION_RETRY_S, lambda: self._ask_allocator(node, tokens, sent_at, None)
            )
        else:
            self._record_decision(decision, tokens, sent_at)

    def _allocate(self, node: QuotaNode, tokens: int) -> QuotaDecision:
        """Have an instance allocate tokens as the first or second of the account."""
        is_first = node.membership.rank_instances(self.account.name)[0] == node.name
        decision = node.allocator.allocate(self.account, tokens, self.now)
        if is_first and decision.outcome is QuotaOutcome.GRANTED:
            self.granted_by_first.append((self.now, tokens))
        return decision

    def _respond(self, other: QuotaNode, requester: str, number: int, tokens: int) -> None:
        decision = self._allocate(other, tokens)

        def deliver(node: QuotaNode) -> None:
            handle: Any = node.pending.pop(number, None)
            if handle is not None:
                handle(decision)

        self._send(other, requester, deliver)

    def _record_decision(self, decision: QuotaDecision, tokens: int, sent_at: float) -> None:
        if decision.outcome is QuotaOutcome.GRANTED:
            self.completed.append(CompletedRequest(sent_at, self.now, tokens))
        elif decision == NOT_ALLOCATOR:
            self.unallocated += 1
        else:
            self.refused += 1

    def max_tokens_in_window(self) -> float:
        """Return the highest number of tokens that were requested and granted in one window."""
        window_s = self.bounds.window_s
        return max(
            (
                sum(
                    request.tokens
                    for request in self.completed
                    if request.sent_at >= first.sent_at
                    and request.granted_at <= first.sent_at + window_s
                )
                for first in self.completed
            ),
            default=0.0,
        )

    def max_granted_by_first_instances(self) -> float:
        """Return the most tokens that first instances granted in one window, all together."""
        window_s = self.bounds.window_s
        return max(
            (
                sum(tokens for at, tokens in self.granted_by_first if 0 <= at - begin <= window_s)
                for begin, _ in self.granted_by_first
            ),
            default=0.0,
        )
