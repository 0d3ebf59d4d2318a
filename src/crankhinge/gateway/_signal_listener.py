"""Who is told what servers say in the heads of their answers."""

from __future__ import annotations

import abc

from crankhinge.adapters import ResponseSignals
from crankhinge.decisions import Server


class SignalListener(abc.ABC):
    """Keeps some of what servers say of themselves."""

    @abc.abstractmethod
    async def on_signals(
        self, server: Server, signals: ResponseSignals, *, sent_at: float, succeeded: bool
    ) -> None:
        """Note what the head of a server's answer says.

        Args:
            server: the server.
            signals: what the head says.
            sent_at: when the request was sent, on the runtime's clock, in seconds.
            succeeded: whether it is the answer of a request that the server ran well. A refusal may
                come from before the server itself, and the answer to a side call need not say all.
        """
