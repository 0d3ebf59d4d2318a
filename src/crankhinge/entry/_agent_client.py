"""What all steps of a request share: links to agents, mailboxes and the router."""

from __future__ import annotations

from crankhinge.decisions import Router
from crankhinge.entry._agent_links import AgentLinks
from crankhinge.entry._mailboxes import Mailboxes


class AgentClient:
    """Sends one kind of step to agents.

    Args:
        agent_links: the agents.
        mailboxes: the mailboxes.
    """

    def __init__(self, *, agent_links: AgentLinks, mailboxes: Mailboxes) -> None:
        self._agent_links = agent_links
        self._mailboxes = mailboxes

    @property
    def _router(self) -> Router:
        return self._agent_links.router
