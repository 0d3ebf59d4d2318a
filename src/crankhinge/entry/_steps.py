"""What all steps of a request share: links to agents, mailboxes and the router."""

from __future__ import annotations

from crankhinge.decisions import Router
from crankhinge.entry._calls import Calls
from crankhinge.entry._fleet import Fleet


class StepSender:
    """Sends one kind of step to agents.

    Args:
        fleet: the agents.
        calls: the mailboxes.
    """

    def __init__(self, *, fleet: Fleet, calls: Calls) -> None:
        self._fleet = fleet
        self._calls = calls

    @property
    def _router(self) -> Router:
        return self._fleet.router
