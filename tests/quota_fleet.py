"""Instances that hand out an account's tokens, played."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

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
from member_fleet import ANSWER_S, MemberFleet, MemberNode


@dataclass(frozen=True)
class Use:
    """A request that ran: when its caller sent it, when it got its tokens, how many."""

    sent: float
    ran: float
    tokens: int


@dataclass(kw_only=True)
class Node(MemberNode):
    """One life of an instance."""

    allocator: QuotaAllocator
    asker: QuotaClient
    account: Account


class Fleet(MemberFleet[Node]):
    """Plays instances on a clock of its own.

    Args:
        count: instances.
        account: whose tokens are asked for.
        bounds: what the operators allow.
        seed: of delays and losses.
        loss: share of datagrams that are lost.
    """

    def __init__(
        self, count: int, account: Account, bounds: QuotaBounds, *, seed: int = 1, loss: float = 0.0
    ) -> None:
        super().__init__(count, seed=seed, loss=loss)
        self.account = account
        self.bounds = bounds
        self.uses: list[Use] = []
        self.refused = 0
        self.unknown = 0

    def _born(self, name: str, members: Membership) -> Node:
        return Node(
            name=name,
            members=members,
            allocator=QuotaAllocator(
                name=name, membership=members, bounds=self.bounds, now=self.now
            ),
            asker=QuotaClient(name=name, membership=members),
            account=self.account,
        )

    def _has_come(self, node: Node, name: str) -> None:
        node.asker.record_response(name)

    # Requests.

    def request(self, name: str, tokens: int) -> None:
        """Have a caller send a request to an instance."""
        node = self.nodes.get(name)
        if node is None:
            return
        sent = self.now
        self._later(node, 0.001, lambda: self._ask(node, tokens, sent, None))

    def _ask(self, node: Node, tokens: int, sent: float, left: list[str] | None) -> None:
        if left is None:
            left = list(node.asker.allocators(self.account.name, self.now))
        if not left:
            self._end(node.allocator.allocate_local(self.account, tokens, self.now), tokens, sent)
            return
        allocator, rest = left[0], left[1:]

        def take(word: QuotaDecision | None) -> None:
            if word is None or word.outcome is QuotaOutcome.NOT_ALLOCATOR:
                self._ask(node, tokens, sent, rest)
            else:
                self._end(word, tokens, sent)

        if allocator == node.name:
            take(node.allocator.allocate(self.account, tokens, self.now))
            return
        number = next(self._numbers)
        node.open[number] = take

        def silent() -> None:
            if node.open.pop(number, None):
                node.asker.record_unresponsive(allocator, self.now)
                take(None)

        self._send(node, allocator, lambda other: self._answer(other, node.name, number, tokens))
        self._later(node, ANSWER_S, silent)

    def _answer(self, other: Node, asker: str, number: int, tokens: int) -> None:
        word = other.allocator.allocate(self.account, tokens, self.now)

        def deliver(node: Node) -> None:
            take: Any = node.open.pop(number, None)
            if take is not None:
                take(word)

        self._send(other, asker, deliver)

    def _end(self, word: QuotaDecision, tokens: int, sent: float) -> None:
        if word.outcome is QuotaOutcome.GRANTED:
            self.uses.append(Use(sent, self.now, tokens))
        elif word == NOT_ALLOCATOR:
            self.unknown += 1
        else:
            self.refused += 1

    def worst(self) -> float:
        """Return the most tokens that were sent and ran in one window."""
        window_s = self.bounds.window_s
        return max(
            (
                sum(
                    use.tokens
                    for use in self.uses
                    if use.sent >= first.sent and use.ran <= first.sent + window_s
                )
                for first in self.uses
            ),
            default=0.0,
        )
