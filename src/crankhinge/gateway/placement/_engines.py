"""The decode engines of a service as placement sees them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from crankhinge.decisions import EngineRole, Server
from crankhinge.decisions.coordination import EngineGroups
from crankhinge.gateway._backends import Backends
from crankhinge.gateway.placement._messages import GroupKey


class PlacementEngines:
    """The engines of each service and their groups.

    Args:
        backends: the backend servers.
    """

    def __init__(self, backends: Backends) -> None:
        self._backends = backends
        self._groups: dict[str, tuple[tuple[str, ...], EngineGroups]] = {}

    def groups(self, service: str) -> EngineGroups:
        """Return the groups of a service; computed again only when its engines have changed."""
        engines = self._backends.listed_servers(service, EngineRole.DECODE)
        ids = tuple(server.incarnation_id for server in engines)
        known = self._groups.get(service)
        if known is None or known[0] != ids:
            known = ids, EngineGroups(engines)
            self._groups[service] = known
        return known[1]

    def key_of(self, group_id: int, services: Iterable[str]) -> GroupKey | None:
        """Return the group of one of *services* with an id; None if there is none."""
        for service in services:
            for group in range(len(self.groups(service))):
                key = GroupKey(service, group)
                if key.id == group_id:
                    return key
        return None

    def members(self, service: str, group: int, now: float) -> list[Server]:
        """Return the engines of a group that run requests or may get some.

        An engine that announced its shutdown is marked as leaving, although its entry may not show
        that yet. An engine that changes its role, or may be gone, is left out.
        """
        available = {
            server.incarnation_id
            for server in self._backends.available_servers(service, now, EngineRole.DECODE)
        }
        members = []
        for member in self.groups(service).members(group):
            # The groups are kept while the set of engines is the same; an entry may have changed.
            server = self._backends.get(member.incarnation_id)
            if server is None:
                continue
            if self._backends.is_leaving(server.incarnation_id):
                members.append(server if server.leaving else replace(server, leaving=True))
            elif server.incarnation_id in available:
                members.append(server)
        return members

    def readers(self, service: str, group: int, now: float) -> list[Server]:
        """Return the prefill engines of a group that accept prompts."""
        groups = self.groups(service)
        return [
            server
            for server in self._backends.eligible_servers(service, now, EngineRole.PREFILL)
            if groups.assign(server.incarnation_id) == group
        ]

    def usable(
        self, service: str, now: float, model: str, avoid: frozenset[str], version: str = ""
    ) -> frozenset[str]:
        """Return the incarnation ids of the engines that a request of this instance may use.

        Engines in backoff, and those whose circuit breaker is open here, are not included.
        """
        servers = self._backends.eligible_servers(
            service, now, EngineRole.DECODE, model, avoid, version
        )
        return frozenset(
            server.incarnation_id
            for server in servers
            if self._backends.stats(server.incarnation_id).breaker.allows_request(now)
        )
