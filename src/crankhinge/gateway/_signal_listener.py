"""Interface of objects that process what servers say about themselves in their responses."""

from __future__ import annotations

import abc

from crankhinge.adapters import ResponseSignals
from crankhinge.decisions import Server


class SignalListener(abc.ABC):
    """Notified of the signals of each server response: its limit, shutdown or backoff.

    Each subclass uses the signals that concern it.
    """

    @abc.abstractmethod
    async def on_signals(
        self, server: Server, signals: ResponseSignals, *, sent_at: float, succeeded: bool
    ) -> None:
        """Process the signals in the head of a server's response.

        Args:
            server: the server.
            signals: the signals in the head.
            sent_at: when the request was sent, on the runtime's clock, in seconds.
            succeeded: whether the response shows that the server executed a caller's request
                successfully. Only then does a missing signal mean anything: a refusal may come from
                a component in front of the server, and the response to a side call need not have
                all signals. It is false for all side calls.
        """
