"""Leave to run a non-repeatable request, asked of the agents that keep its record."""

from __future__ import annotations

import hashlib
import zlib
from dataclasses import dataclass
from typing import Any

import curio

from crankhinge.config import Pool, fence_range_id
from crankhinge.decisions import (
    FenceAlreadyTaken,
    FencePermitRequest,
    FencePermitted,
    FenceRelease,
    FenceSettle,
    RecordedResponse,
)
from crankhinge.entry._agent_links import AgentLinks
from crankhinge.entry._mailboxes import LinkLost, Mailboxes
from crankhinge.errors import (
    AlreadyTaken,
    BadKey,
    FenceUnavailable,
    KeyReused,
    KeyTooOld,
    LinkClosed,
)
from crankhinge.runtime import Metrics
from crankhinge.wire import Link, Message

REPLICA_RESPONSE_TIMEOUT_S = 1.0


def digest_request(method: str, target: str, body: bytes) -> bytes:
    """Return what tells two requests with one key apart."""
    return hashlib.blake2b(
        b"\0".join((method.encode(), target.encode(), body)), digest_size=16
    ).digest()


@dataclass
class FencePermit:
    """Leave for one attempt.

    Attributes:
        req: identity of the attempt.
        range_id: the record.
        key: of the request.
        replicas: names of the agents that keep the record.
    """

    req: int
    range_id: str
    key: str
    replicas: tuple[str, str]


class FenceClient:
    """Asks for leave and reports how it ended.

    Args:
        agent_links: the agents.
        mailboxes: the mailboxes.
        metrics: for counters.
    """

    def __init__(self, *, agent_links: AgentLinks, mailboxes: Mailboxes, metrics: Metrics) -> None:
        self._fleet = agent_links
        self._calls = mailboxes
        self._metrics = metrics

    async def request_permit(
        self, pool: Pool, member: str, key: str, digest: bytes, req: int
    ) -> FencePermit | RecordedResponse:
        """Return leave for the attempt *req*, or the recorded answer of an earlier one.

        Raises:
            AlreadyTaken: another attempt had leave and its outcome isn't known.
            KeyReused: the key stands for another request.
            KeyTooOld: the key is so old that nobody remembers whether it was used.
            BadKey: the key is no UUID of version 7, or from the future.
            FenceUnavailable: the record can't be consulted now.
        """
        if not pool.fence:
            raise FenceUnavailable(f"pool {pool.name} keeps no record (fence)")
        number = zlib.crc32(key.encode()) % len(pool.fence)
        holders = pool.fence[number]
        leave = FencePermit(
            req,
            fence_range_id(pool.name, number, holders),
            f"{member}/{key}",
            holders,
        )
        settled = False
        try:
            for name in self._order(leave):
                answer = await self._ask_one(name, leave, digest)
                if isinstance(answer, FencePermitted):
                    settled = True
                    return leave
                if isinstance(answer, FenceAlreadyTaken):
                    settled = True
                    return _before(answer)
        finally:
            if not settled:
                await self.release(leave)
        self._metrics.count("fence_unavailable")
        raise FenceUnavailable("its record can't be consulted", retry_after_s=1.0)

    def _order(self, leave: FencePermit) -> tuple[str, ...]:
        """Return the holders, spread over the keys."""
        first, second = leave.replicas
        return (first, second) if leave.req % 2 else (second, first)

    async def _ask_one(self, name: str, leave: FencePermit, digest: bytes) -> Any:
        """Return one holder's answer; None when it gives none."""
        try:
            link = self._fleet.get_link(name)
            box = self._calls.open(link, leave.req)
        except LinkClosed:
            return None
        try:
            await link.send(FencePermitRequest(leave.req, leave.range_id, leave.key, digest))
            return await curio.ignore_after(REPLICA_RESPONSE_TIMEOUT_S, box.get)
        except (LinkClosed, LinkLost):
            return None
        finally:
            self._calls.close(box)

    async def record_response(self, permit: FencePermit, response: RecordedResponse) -> None:
        """Record how the attempt ended, for callers that repeat it."""
        await self._tell(permit, FenceSettle(permit.req, permit.range_id, permit.key, response))

    async def release(self, permit: FencePermit) -> None:
        """Give the key back: the attempt has not run and never will."""
        await self._tell(permit, FenceRelease(permit.req, permit.range_id, permit.key))

    async def _tell(self, leave: FencePermit, msg: Message) -> None:
        for name in leave.replicas:
            try:
                link: Link = self._fleet.get_link(name)
                await link.send(msg)
            except LinkClosed:
                continue


def _before(answer: FenceAlreadyTaken) -> RecordedResponse:
    """Return the recorded answer, or say why there is none."""
    if answer.cause == "bad-key":
        raise BadKey("the idempotency key must be a UUID of version 7, born now")
    if answer.cause == "key-too-old":
        raise KeyTooOld("whether this key was used before is no longer known")
    if not answer.same:
        raise KeyReused("this key was used for another request")
    if answer.answer is None or answer.answer.cut:
        raise AlreadyTaken("a request with this key was taken before")
    return answer.answer
