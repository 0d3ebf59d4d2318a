"""Delivers the messages of agents to the requests that wait for them."""

from __future__ import annotations

from typing import Any

import curio

from crankhinge.errors import BackendFailed, LinkClosed, SlowCaller
from crankhinge.wire import Cancel, Failed, Link, Message, Tokens, send_if_open

# A stream that receives no message between two checks has failed.
STREAM_CHECK_INTERVAL_S = 3.0


class LinkLost(BackendFailed):
    """The link to the agent ended while a request waited for its response."""

    code = "link-lost"


class AttemptFailed(BackendFailed):
    """One attempt of a request failed; it may be retried."""

    code = "attempt-failed"


class Mailbox:
    """A bounded queue of the messages from one agent for one step of a request.

    Args:
        req: id of the step.
        max_unread_tokens: largest number of unread tokens. A caller that reads too slowly exceeds
            it, and its request fails.

    Attributes:
        received_count: number of messages received so far.
        is_streaming: whether tokens are being received, so that a long pause means a failure.
    """

    def __init__(self, req: int, max_unread_tokens: int) -> None:
        self.req = req
        self._max_unread_tokens = max_unread_tokens
        self.received_count = 0
        self.is_streaming = False
        self._queue: curio.Queue = curio.Queue()
        self._unread_tokens = 0

    async def put(self, msg: Message | None) -> None:
        """Add a message, or None if the link to the agent has ended."""
        self.received_count += 1
        if isinstance(msg, Tokens):
            self._unread_tokens += len(msg.texts)
        await self._queue.put(msg)

    async def get(self) -> Any:
        """Wait for the next message and return it.

        Raises:
            LinkLost: the link to the agent has ended.
            SlowCaller: there are more unread tokens than ``max_unread_tokens``.
        """
        msg = await self._queue.get()
        if msg is None:
            raise LinkLost("the link to the agent ended")
        if isinstance(msg, Tokens):
            if self._unread_tokens > self._max_unread_tokens:
                raise SlowCaller(f"{self._unread_tokens} tokens are unread by the caller")
            self._unread_tokens -= len(msg.texts)
        return msg


class Mailboxes:
    """The open mailboxes of an entry.

    Args:
        max_unread_tokens: largest number of unread tokens in one mailbox.

    Attributes:
        dropped_count: number of received messages that had no open mailbox.
    """

    def __init__(self, max_unread_tokens: int) -> None:
        self.dropped_count = 0
        self._max_unread_tokens = max_unread_tokens
        self._mailboxes: dict[int, tuple[Link, Mailbox]] = {}

    def open(self, link: Link, req: int) -> Mailbox:
        """Open a mailbox for the responses to the step *req*, which is sent over *link*.

        Raises:
            LinkClosed: the link has ended.
        """
        if link.closed:
            raise LinkClosed(link.peer.name)
        mailbox = Mailbox(req, self._max_unread_tokens)
        self._mailboxes[mailbox.req] = (link, mailbox)
        return mailbox

    def close(self, mailbox: Mailbox) -> None:
        """Close a mailbox. Messages that arrive for it later are dropped and counted."""
        self._mailboxes.pop(mailbox.req, None)

    async def deliver(self, link: Link, msg: Any) -> None:
        """Put *msg* into the mailbox of the step that it responds to, or drop and count it.

        A message is dropped if the step has no open mailbox or was sent over another link.
        """
        found = self._mailboxes.get(getattr(msg, "req", 0))
        if found is None or found[0] is not link:
            self.dropped_count += 1
            return
        await found[1].put(msg)

    async def watch_streams(self) -> None:
        """Fail streams that have stopped receiving messages, until cancelled.

        One periodic check of all streams is cheaper than a timer for each token.
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
        """Notify all requests that wait for a message on *link* that the link has ended."""
        for owner, mailbox in list(self._mailboxes.values()):
            if owner is link:
                await mailbox.put(None)


async def cancel_step(link: Link, mailbox: Mailbox) -> None:
    """Cancel a step at its agent.

    Nothing is sent on a closed link: the agent cancels all steps of a link that ends.
    """
    await send_if_open(link, Cancel(mailbox.req))
