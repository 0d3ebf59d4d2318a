"""Answers of agents, matched to the requests that wait for them."""

from __future__ import annotations

import itertools
from typing import Any

import curio

from crankhinge.errors import BackendFailed, LinkClosed, SlowCaller
from crankhinge.wire import Link, Message, Tokens

ID_BITS = 63
COUNTER_BITS = 31


class RequestIds:
    """Identities that no other entry and no earlier start of this one uses.

    Args:
        nonce: random, new at each start.
    """

    def __init__(self, nonce: int) -> None:
        self._high = (nonce & ((1 << (ID_BITS - COUNTER_BITS)) - 1)) << COUNTER_BITS
        self._counter = itertools.count(1)

    def next(self) -> int:
        """Return a new identity."""
        return self._high | (next(self._counter) & ((1 << COUNTER_BITS) - 1))


class LinkLost(BackendFailed):
    """The link to the agent ended while an answer was awaited."""

    code = "link-lost"


class Mailbox:
    """What arrives for one request from one agent, in order and bounded.

    Args:
        req: identity of the request.
        limit: tokens kept for a caller that reads slowly.
    """

    def __init__(self, req: int, limit: int) -> None:
        self.req = req
        self._limit = limit
        self._queue: curio.Queue = curio.Queue()
        self._tokens = 0

    async def put(self, msg: Message | None) -> None:
        """Add a message; None says that the link is gone."""
        if isinstance(msg, Tokens):
            self._tokens += len(msg.texts)
        await self._queue.put(msg)

    async def get(self) -> Any:
        """Return the next message.

        Raises:
            LinkLost: when the link to the agent is gone.
            SlowCaller: when more tokens have piled up than are kept.
        """
        msg = await self._queue.get()
        if msg is None:
            raise LinkLost("the agent's link ended")
        if isinstance(msg, Tokens):
            if self._tokens > self._limit:
                raise SlowCaller(f"{self._tokens} tokens unread")
            self._tokens -= len(msg.texts)
        return msg


class Calls:
    """The mailboxes of this entry.

    Args:
        ids: source of identities.
        limit: tokens kept per mailbox.
    """

    def __init__(self, ids: RequestIds, limit: int) -> None:
        self.dropped = 0
        self._ids = ids
        self._limit = limit
        self._boxes: dict[int, tuple[Link, Mailbox]] = {}

    def new_id(self) -> int:
        """Return the identity of a new request."""
        return self._ids.next()

    def open(self, link: Link, req: int = 0) -> Mailbox:
        """Return a mailbox for a request to the agent behind *link*.

        Args:
            link: to the agent.
            req: its identity; a new one by default.

        Raises:
            LinkClosed: when the link is gone already.
        """
        if link.closed:
            raise LinkClosed(link.peer.name)
        box = Mailbox(req or self._ids.next(), self._limit)
        self._boxes[box.req] = (link, box)
        return box

    def close(self, box: Mailbox) -> None:
        """Forget a mailbox; what still arrives for it is dropped and counted."""
        self._boxes.pop(box.req, None)

    async def deliver(self, link: Link, msg: Any) -> None:
        """Pass *msg* to the request it names, if that is one sent over *link*."""
        entry = self._boxes.get(getattr(msg, "req", 0))
        if entry is None or entry[0] is not link:
            self.dropped += 1
            return
        await entry[1].put(msg)

    async def fail(self, link: Link) -> None:
        """Tell every request that waits on *link* that it is gone."""
        for owner, box in list(self._boxes.values()):
            if owner is link:
                await box.put(None)
