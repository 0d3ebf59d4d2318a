"""Interface of the parts that process the signals in the heads of servers' responses."""

from __future__ import annotations

import abc

from crankhinge.adapters import ResponseSignals
from crankhinge.decisions import Server


class SignalListener(abc.ABC):
    """Processes some of the signals in the heads of servers' responses."""

    @abc.abstractmethod
    async def on_signals(
        self, server: Server, signals: ResponseSignals, *, sent_at: float, succeeded: bool
    ) -> None:
        """Process the signals in the head of a server's response.

        Args:
            server: the server.
            signals: the signals in the head.
            sent_at: when the request was sent, on the runtime's clock, in seconds.
            succeeded: whether the server executed a request successfully. A refusal may come from
                a component in front of the server, and the response to a side call need not have
                all signals.
        """
