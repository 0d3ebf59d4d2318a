"""Chooses servers that a request may be sent to, and gets it the permits that they ask for."""

from __future__ import annotations

import curio

from crankhinge.decisions import EngineRole, Server
from crankhinge.errors import ServerAtLimit, ServersRest
from crankhinge.gateway._backends import Backends
from crankhinge.gateway._permits import Permits
from crankhinge.gateway._request import Relay

# When to come back after a rest, in parts of what is left of it: those that were refused in it do
# not all come with its end.
BACKOFF_JITTER = (1.0, 1.2)


class ServerSelector:
    """Chooses among the servers of a request's service.

    Args:
        backends: the servers.
        permits: leave to send to those that say how much they take.
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
        """Return a server that the request may be sent to at once; None where there is none.

        Args:
            relay: the request.
            avoid: identities that are out of the question.
            role: the part that the server plays; any by default.
            zone: availability zone to stay in; this instance's by default.
        """
        while True:
            server = self._backends.choose_server(
                relay.service.name,
                await curio.clock(),
                role=role,
                avoid=avoid,
                zone=zone,
                model=relay.request.model,
            )
            # What is over at one server goes to the others: whoever refuses is not picked again.
            if server is None or await self._permits.try_get_permit(relay, server):
                return server

    async def wait_for_server(
        self,
        relay: Relay,
        *,
        avoid: frozenset[str],
        max_wait_s: float,
        role: EngineRole | None = None,
    ) -> Server | None:
        """Wait for the first server that takes a request again; None where none will.

        Args:
            relay: the request.
            avoid: identities that are out of the question.
            max_wait_s: seconds that it may wait.
            role: the part that the server plays; any by default.

        Raises:
            ServerAtLimit: no server takes it within that time, as is known at once.
            ServersRest: all want none for longer, as is known at once.
        """
        at_limit = await self._at_limit(relay, avoid, role)
        if not at_limit:
            return await self._after_rest(relay, avoid, max_wait_s, role)
        word = await self._permits.request_permit(relay, at_limit[0], max(0.0, max_wait_s))
        if not word.granted:
            raise ServerAtLimit(
                f"{relay.service.name}: servers take no more now", retry_after_s=word.after_s
            )
        await self._permits.wait_for_permit(at_limit[0], word)
        relay.log_fields["permit_ms"] = round(word.after_s * 1000)
        return at_limit[0]

    async def _after_rest(
        self, relay: Relay, avoid: frozenset[str], spare_s: float, phase: EngineRole | None
    ) -> Server | None:
        now = await curio.clock()
        ends = self.backoff_end(relay, now, avoid=avoid, max_wait_s=spare_s, role=phase)
        if ends is None:
            return None
        await curio.sleep(ends - now)
        return await self.select(relay, avoid=avoid, role=phase)

    def backoff_end(
        self,
        relay: Relay,
        now: float,
        *,
        avoid: frozenset[str],
        max_wait_s: float,
        role: EngineRole | None = None,
    ) -> float | None:
        """Return when the first server wants requests again; None where one does, or none is there.

        Args:
            relay: the request.
            now: on the runtime's clock.
            avoid: identities that are out of the question.
            max_wait_s: seconds that it may wait for that.
            role: the part that the servers play; any by default.

        Raises:
            ServersRest: that is too late for it; its caller is told when to come back.
        """
        if not self._backends.exclusions.has_backoffs(now):
            return None
        service, model = relay.service.name, relay.request.model
        ends = self._backends.backoff_end(
            self._backends.available_servers(service, now, role, model, avoid), now
        )
        if ends is not None and ends - now > max_wait_s:
            after_s = (ends - now) * self._backends.rng.uniform(*BACKOFF_JITTER)
            raise ServersRest(f"{service}: servers rest", retry_after_s=after_s)
        return ends

    async def _at_limit(
        self, relay: Relay, avoid: frozenset[str], phase: EngineRole | None
    ) -> list[Server]:
        now = await curio.clock()
        service, model = relay.service.name, relay.request.model
        eligible = self._backends.eligible_servers(service, now, phase, model, avoid)
        return self._backends.servers_at_limit(eligible, now)
