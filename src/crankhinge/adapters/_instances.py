"""Interface of the platform's list of instances, which lags behind the real state."""

from __future__ import annotations

import abc
from dataclasses import dataclass


@dataclass(frozen=True)
class Instance:
    """An instance that runs an agent; it stands for that agent process.

    Attributes:
        name: name of the agent, unique within the fleet.
        host: IP address that the agent listens on.
        port: port of the agent's internal listener.
        zone: availability zone.
        pool: pool of the agent's backend server.
        leaving: whether the instance has announced its shutdown.
    """

    name: str
    host: str
    port: int
    zone: str
    pool: str
    leaving: bool = False


class InstanceList(abc.ABC):
    """List of the instances that the platform knows; recent changes may be missing."""

    @abc.abstractmethod
    async def list_agents(self) -> list[Instance]:
        """Return the instances that run agents. Raises KeyValueUnavailable."""
