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
        self._agent_links = agent_links
        self._mailboxes = mailboxes
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
        range_number = zlib.crc32(key.encode()) % len(pool.fence)
        replicas = pool.fence[range_number]
        permit = FencePermit(
            req,
            fence_range_id(pool.name, range_number, replicas),
            f"{member}/{key}",
            replicas,
        )
        is_decided = False
        try:
            for name in self._order_replicas(permit):
                response = await self._request_from(name, permit, digest)
                if isinstance(response, FencePermitted):
                    is_decided = True
                    return permit
                if isinstance(response, FenceAlreadyTaken):
                    is_decided = True
                    return _to_recorded_response(response)
        finally:
            if not is_decided:
                await self.release(permit)
        self._metrics.count("fence_unavailable")
        raise FenceUnavailable("its record can't be consulted", retry_after_s=1.0)

    def _order_replicas(self, permit: FencePermit) -> tuple[str, ...]:
        """Return the holders, spread over the keys."""
        first, second = permit.replicas
        return (first, second) if permit.req % 2 else (second, first)

    async def _request_from(self, name: str, permit: FencePermit, digest: bytes) -> Any:
        """Return one holder's answer; None when it gives none."""
        try:
            link = self._agent_links.get_link(name)
            mailbox = self._mailboxes.open(link, permit.req)
        except LinkClosed:
            return None
        try:
            await link.send(FencePermitRequest(permit.req, permit.range_id, permit.key, digest))
            return await curio.ignore_after(REPLICA_RESPONSE_TIMEOUT_S, mailbox.get)
        except (LinkClosed, LinkLost):
            return None
        finally:
            self._mailboxes.close(mailbox)

    async def record_response(self, permit: FencePermit, response: RecordedResponse) -> None:
        """Record how the attempt ended, for callers that repeat it."""
        await self._send_to_replicas(
            permit, FenceSettle(permit.req, permit.range_id, permit.key, response)
        )

    async def release(self, permit: FencePermit) -> None:
        """Give the key back: the attempt has not run and never will."""
        await self._send_to_replicas(permit, FenceRelease(permit.req, permit.range_id, permit.key))

    async def _send_to_replicas(self, permit: FencePermit, msg: Message) -> None:
        for name in permit.replicas:
            try:
                link: Link = self._agent_links.get_link(name)
                await link.send(msg)
            except LinkClosed:
                continue


def _to_recorded_response(response: FenceAlreadyTaken) -> RecordedResponse:
    """Return the recorded answer, or say why there is none."""
    if response.cause == "bad-key":
        raise BadKey("the idempotency key must be a UUID of version 7, born now")
    if response.cause == "key-too-old":
        raise KeyTooOld("whether this key was used before is no longer known")
    if not response.same:
        raise KeyReused("this key was used for another request")
    if response.answer is None or response.answer.cut:
        raise AlreadyTaken("a request with this key was taken before")
    return response.answer
