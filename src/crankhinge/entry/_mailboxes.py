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
        self._max_unread_tokens = max_unread_tokens
        self.received_count = 0
        self.is_streaming = False
        self._queue: curio.Queue = curio.Queue()
        self._unread_tokens = 0

    async def put(self, msg: Message | None) -> None:
        """Add a message; None says that the link is gone."""
        self.received_count += 1
        if isinstance(msg, Tokens):
            self._unread_tokens += len(msg.texts)
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
            if self._unread_tokens > self._max_unread_tokens:
                raise SlowCaller(f"{self._unread_tokens} tokens unread")
            self._unread_tokens -= len(msg.texts)
        return msg


class Mailboxes:
    """The mailboxes of this entry.

    Args:
        max_unread_tokens: tokens kept per mailbox.
    """

    def __init__(self, max_unread_tokens: int) -> None:
        self.dropped_count = 0
        self._max_unread_tokens = max_unread_tokens
        self._mailboxes: dict[int, tuple[Link, Mailbox]] = {}

    def open(self, link: Link, req: int) -> Mailbox:
        """Return a mailbox for the step *req* of a request, to the agent behind *link*.

        Raises:
            LinkClosed: when the link is gone already.
        """
        if link.closed:
            raise LinkClosed(link.peer.name)
        mailbox = Mailbox(req, self._max_unread_tokens)
        self._mailboxes[mailbox.req] = (link, mailbox)
        return mailbox

    def close(self, mailbox: Mailbox) -> None:
        """Forget a mailbox; what still arrives for it is dropped and counted."""
        self._mailboxes.pop(mailbox.req, None)

    async def deliver(self, link: Link, msg: Any) -> None:
        """Pass *msg* to the request it names, if that is one sent over *link*."""
        found = self._mailboxes.get(getattr(msg, "req", 0))
        if found is None or found[0] is not link:
            self.dropped_count += 1
            return
        await found[1].put(msg)

    async def watch_streams(self) -> None:
        """End the streams that have fallen silent, until cancelled.

        One look at all streams now and then takes the place of a timer for each token.
        """
        counts_before: dict[int, int] = {}
        while True:
            await curio.sleep(STREAM_CHECK_INTERVAL_S)
            streams = {
                req: mailbox
                for req, (_, mailbox) in self._mailboxes.items()
                if mailbox.is_streaming
            }
            for req, mailbox in streams.items():
                if counts_before.get(req) == mailbox.received_count:
                    await mailbox.put(Failed(req, "silent", True))
            counts_before = {req: mailbox.received_count for req, mailbox in streams.items()}

    async def fail_link(self, link: Link) -> None:
        """Tell every request that waits on *link* that it is gone."""
        for owner, mailbox in list(self._mailboxes.values()):
            if owner is link:
                await mailbox.put(None)


async def cancel_step(link: Link, mailbox: Mailbox) -> None:
    """Tell an agent that nobody waits for a step any more; a lost link has told it already."""
    await send_if_open(link, Cancel(mailbox.req))
