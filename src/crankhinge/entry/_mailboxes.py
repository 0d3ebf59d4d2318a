"""Answers of agents, matched to the requests that wait for them."""

from __future__ import annotations

from typing import Any

import curio

from crankhinge.errors import BackendFailed, LinkClosed, SlowCaller
from crankhinge.wire import Cancel, Failed, Link, Message, Tokens, send_if_open

STREAM_CHECK_INTERVAL_S = 3.0


class LinkLost(BackendFailed):
    """The link to the agent ended while an answer was awaited."""

    code = "link-lost"


class AttemptFailed(BackendFailed):
    """One attempt failed; another may be made."""

    code = "attempt-failed"


class Mailbox:
    """What arrives for one request from one agent, in order and bounded.

    Args:
        req: identity of the request.
        max_unread_tokens: tokens kept for a caller that reads slowly.

    Attributes:
        received_count: messages so far.
        is_streaming: whether messages are expected without a pause.
    """

    def __init__(self, req: int, max_unread_tokens: int) -> None:
        self.req = req
        self._limit = max_unread_tokens
        self.received_count = 0
        self.is_streaming = False
        self._queue: curio.Queue = curio.Queue()
        self._tokens = 0

    async def put(self, msg: Message | None) -> None:
        """Add a message; None says that the link is gone."""
        self.received_count += 1
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


class Mailboxes:
    """The mailboxes of this entry.

    Args:
        max_unread_tokens: tokens kept per mailbox.
    """

    def __init__(self, max_unread_tokens: int) -> None:
        self.dropped_count = 0
        self._limit = max_unread_tokens
        self._boxes: dict[int, tuple[Link, Mailbox]] = {}

    def open(self, link: Link, req: int) -> Mailbox:
        """Return a mailbox for the step *req* of a request, to the agent behind *link*.

        Raises:
            LinkClosed: when the link is gone already.
        """
        if link.closed:
            raise LinkClosed(link.peer.name)
        box = Mailbox(req, self._limit)
        self._boxes[box.req] = (link, box)
        return box

    def close(self, mailbox: Mailbox) -> None:
        """Forget a mailbox; what still arrives for it is dropped and counted."""
        self._boxes.pop(mailbox.req, None)

    async def deliver(self, link: Link, msg: Any) -> None:
        """Pass *msg* to the request it names, if that is one sent over *link*."""
        entry = self._boxes.get(getattr(msg, "req", 0))
        if entry is None or entry[0] is not link:
            self.dropped_count += 1
            return
        await entry[1].put(msg)

    async def watch_streams(self) -> None:
        """End the streams that have fallen silent, until cancelled.

        One look at all streams now and then takes the place of a timer for each token.
        """
        before: dict[int, int] = {}
        while True:
            await curio.sleep(STREAM_CHECK_INTERVAL_S)
            streams = {req: box for req, (_, box) in self._boxes.items() if box.is_streaming}
            for req, box in streams.items():
                if before.get(req) == box.received_count:
                    await box.put(Failed(req, "silent", True))
            before = {req: box.received_count for req, box in streams.items()}

    async def fail_link(self, link: Link) -> None:
        """Tell every request that waits on *link* that it is gone."""
        for owner, box in list(self._boxes.values()):
            if owner is link:
                await box.put(None)


async def cancel_step(link: Link, mailbox: Mailbox) -> None:
    """Tell an agent that nobody waits for a step any more; a lost link has told it already."""
    await send_if_open(link, Cancel(mailbox.req))
