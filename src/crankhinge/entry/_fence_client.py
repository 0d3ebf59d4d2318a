"""Requests permits for non-repeatable requests from the agents that keep the fence records.

A fence record lets a request with an idempotency key run at most once. Two agents keep each record,
one replica each.
"""

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
    """Return a digest that shows whether two requests with one idempotency key are identical."""
    return hashlib.blake2b(
        b"\0".join((method.encode(), target.encode(), body)), digest_size=16
    ).digest()


@dataclass
class FencePermit:
    """A permit to run a non-repeatable request once.

    Attributes:
        req: id of the message exchange in which the permit was requested.
        range_id: id of the range of idempotency keys that the fence record belongs to.
        key: name of the client account and idempotency key of the request, joined by a slash.
        replicas: names of the two agents that keep the fence record.
    """

    req: int
    range_id: str
    key: str
    replicas: tuple[str, str]


class FenceClient:
    """Requests permits to run non-repeatable requests, and reports to the agents how these ended.

    Args:
        agent_links: links to the agents.
        mailboxes: mailboxes for the responses of agents.
        metrics: counters of this entry.
    """

    def __init__(self, *, agent_links: AgentLinks, mailboxes: Mailboxes, metrics: Metrics) -> None:
        self._agent_links = agent_links
        self._mailboxes = mailboxes
        self._metrics = metrics

    async def request_permit(
        self, pool: Pool, member: str, key: str, digest: bytes, req: int
    ) -> FencePermit | RecordedResponse:
        """Return a permit, or the recorded response if an earlier request with this key has run.

        Args:
            pool: pool of backend servers that the request is sent to.
            member: name of the caller's client account.
            key: idempotency key of the request.
            digest: result of :func:`digest_request`.
            req: id of the message exchange in which the permit is requested.

        Raises:
            AlreadyTaken: an earlier request with this key has the permit, and its response is not
                recorded, or only a part of the response is.
            KeyReused: the key was used for a different request.
            KeyTooOld: the key is so old that its fence record may have been deleted.
            BadKey: the key is not a UUID of version 7, or the time in the key is in the future.
            FenceUnavailable: the pool has no fence, or neither replica of the fence record can
                decide now.
        """
        if not pool.fence:
            raise FenceUnavailable(f"pool {pool.name} has no fence")
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
        raise FenceUnavailable("no replica of the fence record can decide", retry_after_s=1.0)

    def _order_replicas(self, permit: FencePermit) -> tuple[str, ...]:
        """Return the replicas in the order in which they are asked.

        The order depends on the id of the message exchange.
        """
        first, second = permit.replicas
        return (first, second) if permit.req % 2 else (second, first)

    async def _request_from(self, name: str, permit: FencePermit, digest: bytes) -> Any:
        """Return the response of the replica *name*, or None if it does not respond in time."""
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
        """Record the response to a permitted request, for retries of the caller."""
        await self._send_to_replicas(
            permit, FenceSettle(permit.req, permit.range_id, permit.key, response)
        )

    async def release(self, permit: FencePermit) -> None:
        """Release the permit of a request that has not run and will not; its key is free again."""
        await self._send_to_replicas(permit, FenceRelease(permit.req, permit.range_id, permit.key))

    async def _send_to_replicas(self, permit: FencePermit, msg: Message) -> None:
        for name in permit.replicas:
            try:
                link: Link = self._agent_links.get_link(name)
                await link.send(msg)
            except LinkClosed:
                continue


def _to_recorded_response(response: FenceAlreadyTaken) -> RecordedResponse:
    """Return the response to the earlier request, which a replica recorded.

    Raises:
        BadKey: the key is not a UUID of version 7, or the time in the key is in the future.
        KeyTooOld: the key is so old that its fence record may have been deleted.
        KeyReused: the key was used for a different request.
        AlreadyTaken: the response is not recorded, or only a part of it is.
    """
    if response.cause == "bad-key":
        raise BadKey("the idempotency key must be a UUID of version 7 with the current time")
    if response.cause == "key-too-old":
        raise KeyTooOld("the key is too old to determine whether it was used before")
    if not response.same:
        raise KeyReused("the key was used for a different request")
    if response.answer is None or response.answer.cut:
        raise AlreadyTaken("an earlier request with this key was permitted to run")
    return response.answer
