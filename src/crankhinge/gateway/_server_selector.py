"""Selects a server for a request and obtains the send permits that limited servers require."""

from __future__ import annotations

import curio

from crankhinge.decisions import EngineRole, Server
from crankhinge.errors import ServerAtLimit, ServersRest
from crankhinge.gateway._backends import Backends
from crankhinge.gateway._permits import Permits
from crankhinge.gateway._request import Relay

# Jitter of the retry delay after a backoff, as factors of the time that is left of the backoff, so
# that the callers that were refused during a backoff do not all retry at its end.
BACKOFF_JITTER = (1.0, 1.2)


class ServerSelector:
    """Selects among the servers of a request's service.

    Args:
        backends: the backend servers.
        permits: gets permits to send requests to servers that advertise a limit.
    """

    def __init__(self, backends: Backends, permits: Permits) -> None:
        self._backends = backends
        self._permits = permits

    async def select(
        self,
        relay: Relay,
        *,
        avoid: frozenset[str],
        role: EngineRole | None = None,
        zone: str = "",
    ) -> Server | None:
        """Return a server that the request may be sent to now; None if there is none.

        Args:
            relay: the request.
            avoid: incarnation ids of servers that must not be selected.
            role: the role that the server must have; None for any.
            zone: the availability zone to prefer; empty for this instance's own.
        """
        while True:
            server = self._backends.choose_server(
                relay.service.name,
                await curio.clock(),
                role=role,
                avoid=avoid,
                zone=zone,
                model=relay.request.model,
                version=relay.required_version(role),
            )
            # If no permit is granted for a server, the server counts as at its limit and the next
            # turn of this loop selects another one. So requests above the limit of one server go to
            # the other servers.
            if server is None or await self._permits.try_get_permit(relay, server):
                return server

    async def may_send(self, relay: Relay, server: Server) -> bool:
        """Whether the request may be sent to a given server now; gets the permit for it.

        Args:
            relay: the request.
            server: the server.
        """
        now = await curio.clock()
        return (
            self._backends.accepts_work(server.incarnation_id, now)
            and self._backends.stats(server.incarnation_id).breaker.allows_request(now)
            and await self._permits.try_get_permit(relay, server)
        )

    async def wait_for_server(
        self,
        relay: Relay,
        *,
        avoid: frozenset[str],
        max_wait_s: float,
        role: EngineRole | None = None,
    ) -> Server | None:
        """Wait until a server accepts requests again, then return it; None if there is none.

        Args:
            relay: the request.
            avoid: incarnation ids of servers that must not be selected.
            max_wait_s: seconds that the request may wait.
            role: the role that the server must have; None for any.

        Raises:
            ServerAtLimit: no permit is available within *max_wait_s*; raised without waiting.
            ServersRest: all servers are in backoff for longer than *max_wait_s*; raised without
                waiting.
        """
        at_limit = await self._servers_at_limit(relay, avoid, role)
        if not at_limit:
            return await self._select_after_backoff(relay, avoid, max_wait_s, role)
        decision = await self._permits.request_permit(relay, at_limit[0], max(0.0, max_wait_s))
        if not decision.granted:
            raise ServerAtLimit(
                f"{relay.service.name}: all servers are at their limit",
                retry_after_s=decision.after_s,
            )
        await self._permits.wait_for_permit(at_limit[0], decision)
        relay.log_fields["permit_ms"] = round(decision.after_s * 1000)
        return at_limit[0]

    async def _select_after_backoff(
        self, relay: Relay, avoid: frozenset[str], max_wait_s: float, role: EngineRole | None
    ) -> Server | None:
        now = await curio.clock()
        end = self.backoff_end(relay, now, avoid=avoid, max_wait_s=max_wait_s, role=role)
        if end is None:
            return None
        await curio.sleep(end - now)
        return await self.select(relay, avoid=avoid, role=role)

    def backoff_end(
        self,
        relay: Relay,
        now: float,
        *,
        avoid: frozenset[str],
        max_wait_s: float,
        role: EngineRole | None = None,
    ) -> float | None:
        """Return when the first of the servers' backoffs ends, on the runtime's clock.

        Return None if at least one server is not in backoff, or if there is no server.

        Args:
            relay: the request.
            now: time on the runtime's clock.
            avoid: incarnation ids of servers that do not count.
            max_wait_s: seconds that the request may wait for the end of the backoff.
            role: the role that the servers must have; None for any.

        Raises:
            ServersRest: the first backoff ends too late for the request. The error carries the
                delay after which the caller may retry.
        """
        if not self._backends.exclusions.has_backoffs(now):
            return None
        service, model = relay.service.name, relay.request.model
        end = self._backends.backoff_end(
            self._backends.available_servers(
                service, now, role, model, avoid, relay.required_version(role)
            ),
            now,
        )
        if end is not None and end - now > max_wait_s:
            retry_after_s = (end - now) * self._backends.rng.uniform(*BACKOFF_JITTER)
            raise ServersRest(f"{service}: all servers are in backoff", retry_after_s=retry_after_s)
        return end

    async def _servers_at_limit(
        self, relay: Relay, avoid: frozenset[str], role: EngineRole | None
    ) -> list[Server]:
        now = await curio.clock()
        service, model = relay.service.name, relay.request.model
        eligible = self._backends.eligible_servers(
            service, now, role, model, avoid, relay.required_version(role)
        )
        return self._backends.servers_at_limit(eligible, now)
