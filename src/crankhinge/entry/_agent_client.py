"""The base class of clients that send one kind of request to agents."""

from __future__ import annotations

from crankhinge.decisions import Router
from crankhinge.entry._agent_links import AgentLinks
from crankhinge.entry._mailboxes import Mailboxes


class AgentClient:
    """Base class of clients that send one kind of request to agents.

    Args:
        agent_links: links to the agents.
        mailboxes: mailboxes for the responses of agents.
    """

    def __init__(self, *, agent_links: AgentLinks, mailboxes: Mailboxes) -> None:
        self._agent_links = agent_links
        self._mailboxes = mailboxes

    @property
    def _router(self) -> Router:
        return self._agent_links.router
