"""The platform's lagging list of instances."""

from __future__ import annotations

import abc
from dataclasses import dataclass


@dataclass(frozen=True)
class Instance:
    """An agent's instance.

    Attributes:
        name: unique within the fleet.
        host: IP address.
        port: of the agent's internal listener.
        zone: availability zone.
        pool: pool of its backend server.
        leaving: whether it is about to go.
    """

    name: str
    host: str
    port: int
    zone: str
    pool: str
    leaving: bool = False


class InstanceList(abc.ABC):
    """Who is there, as far as the platform has noticed."""

    @abc.abstractmethod
    async def list_agents(self) -> list[Instance]:
        """Return the agents. Raises KeyValueUnavailable."""
