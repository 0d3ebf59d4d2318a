"""The backend servers as this instance uses them: connections, statistics and side calls.

A side call is a call to a server that the gateway makes itself, for instance to reserve memory. It
does not carry a caller's request.
"""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Callable, Mapping
from typing import Any

import curio

from crankhinge.adapters import Dialect, ResponseSignals, SideCall
from crankhinge.decisions import (
    MAX_IDLE_CONNECTIONS,
    EngineRole,
    ExclusionReason,
    RoleChange,
    Server,
    ServerExclusions,
    ServerList,
    ServerStats,
    pick_server,
)
from crankhinge.errors import BadHttp, HttpClosed
from crankhinge.gateway._signal_listener import SignalListener
from crankhinge.http import BufferLimits, HttpClient, Response
from crankhinge.runtime import Metrics

# A connection within an availability zone is established in a millisecond. A lost first packet is
# sent again after one second, which is too late for most requests: another server is tried instead.
CONNECT_TIMEOUT_S = 0.35
# Servers respond to a side call within milliseconds. It fails after this many seconds.
SIDE_CALL_TIMEOUT_S = 0.6
# The longest responses list the runs of an engine, some tens of bytes for each.
MAX_SIDE_CALL_BYTES = 1024 * 1024


class Backends:
    """Connections to the backend servers, and what this instance measured of each server.

    Args:
        servers: the list of servers.
        dialect: builds and parses the messages of the platform's protocol.
        zone: availability zone of this instance.
        log: log for events.
        metrics: registry for counters.
        rng: source of the random choices between equal servers.
        idle_limit: returns the number of idle connections to keep to each server of a service.
        buffer_limits: bounds on the request bodies in progress at each server; None for no bound.

    Attributes:
        listeners: notified of the signals in the head of each server response.
        is_held: whether a server must get no request since its version is not recorded yet.
        exclusions: servers that must get no request because they announced their shutdown, to this
            instance or to another one, or asked this instance for backoff.
    """

    def __init__(
        self,
        *,
        servers: ServerList,
        dialect: Dialect,
        zone: str,
        log: Any,
        metrics: Metrics,
        rng: random.Random,
        idle_limit: Callable[[str], int] = lambda service: MAX_IDLE_CONNECTIONS,
        buffer_limits: BufferLimits | None = None,
    ) -> None:
        self.dialect = dialect
        self.rng = rng
        self.listeners: list[SignalListener] = []
        self.exclusions = ServerExclusions()
        self.is_held: Callable[[Server], bool] = lambda server: False
        self._servers = servers
        self._zone = zone
        self._idle_limit = idle_limit
        self._buffer_limits = buffer_limits
        self._log = log
        self._metrics = metrics
        self._clients: dict[str, HttpClient] = {}
        # Each choice of a server looks up every server several times. A defaultdict creates an
        # object only for a server without statistics; ``setdefault`` would need one at each
        # look-up.
        self._stats: defaultdict[str, ServerStats] = defaultdict(ServerStats)

    def stats(self, incarnation_id: str) -> ServerStats:
        """Return the statistics of a server."""
        return self._stats[incarnation_id]

    def client(self, server: Server) -> HttpClient:
        """Return the HTTP client with the connections to a server; create it if there is none."""
        if server.incarnation_id not in self._clients:
            self._clients[server.incarnation_id] = HttpClient(
                server.host,
                server.port,
                connect_timeout_s=CONNECT_TIMEOUT_S,
                buffer_limits=self._buffer_limits,
            )
        client = self._clients[server.incarnation_id]
        client.pool_size = self._idle_limit(server.service)
        return client

    async def remove_server(self, incarnation_id: str) -> None:
        """Remove the statistics of a server that is gone, and close its idle connections."""
        self._stats.pop(incarnation_id, None)
        client = self._clients.pop(incarnation_id, None)
        if client is not None:
            await client.close()

    def available_servers(
        self,
        service: str,
        now: float,
        role: EngineRole | None = None,
        model: str = "",
        avoid: frozenset[str] = frozenset(),
        version: str = "",
    ) -> list[Server]:
        """Return the servers of a service that accept new work for a model, now or soon.

        If *version* is not empty, only servers with this software version are returned.

        Servers that are in backoff or at their advertised limit are included. Servers that carry
        out an order to change their role are included only if there is no other server.

        A server is suspect if its entry is missing from the list but may only have lapsed during an
        outage of the store. Suspect servers are included only while more than half of the servers
        are suspect. The few servers whose entries return first could not carry the load of all;
        once half of the entries are back, the other servers have probably gone.
        """
        listed = [
            server
            for server in self._servers.all()
            if server.service == service
            and self._permanent_exclusion(server) is None
            and (role is None or server.role is role)
            and server.serves_model(model)
        ]
        available = [
            server for server in listed if not self._is_changing_role(server, now)
        ] or listed
        confirmed = [
            server for server in available if not self._servers.is_suspect(server.incarnation_id)
        ]
        available = confirmed if len(confirmed) >= len(available) - len(confirmed) else available
        return (
            [
                server
                for server in available
                if server.incarnation_id not in avoid and server.has_version(version)
            ]
            if avoid or version
            else available
        )

    def eligible_servers(
        self,
        service: str,
        now: float,
        role: EngineRole | None = None,
        model: str = "",
        avoid: frozenset[str] = frozenset(),
        version: str = "",
    ) -> list[Server]:
        """Return the available servers that are not in backoff and have read what they were sent.

        :meth:`available_servers` includes servers in backoff, since they accept requests again
        after a short time. Servers at their advertised limit are included here, too.
        """
        available = self.available_servers(service, now, role, model, avoid, version)
        if self._buffer_limits is not None:
            available = [srv for srv in available if not self.is_behind(srv.incarnation_id)]
        return self.without_backoff(available, now)

    def is_behind(self, incarnation_id: str) -> bool:
        """Return whether a server reads slowly and may be sent no request until it has caught up.

        Only what this instance sent to it counts.
        """
        client = self._clients.get(incarnation_id)
        return client is not None and client.is_behind

    def without_backoff(self, servers: list[Server], now: float) -> list[Server]:
        """Return those of *servers* that are not in backoff."""
        if not self.exclusions.has_backoffs(now):
            return servers
        return [
            server
            for server in servers
            if self.exclusions.backoff_until(server.incarnation_id, now) is None
        ]

    def exclusion_reason(self, server: Server, now: float) -> ExclusionReason | None:
        """Return why no request may be sent to a server; None if requests may be sent.

        Only the state of this server counts. :meth:`available_servers` may also leave out a server
        that is suspect or changes its role, depending on the state of the others.
        """
        listed_server = self._servers.get(server.incarnation_id)
        if listed_server is None:
            return ExclusionReason.GONE
        in_backoff = self.exclusions.backoff_until(server.incarnation_id, now) is not None
        return self._permanent_exclusion(listed_server) or (
            ExclusionReason.BACKOFF if in_backoff else None
        )

    def count_excluded(self, reason: ExclusionReason, now: float) -> int:
        """Return how many servers are excluded for *reason*."""
        return sum(self.exclusion_reason(server, now) is reason for server in self._servers.all())

    def _permanent_exclusion(self, server: Server) -> ExclusionReason | None:
        """Return why a listed server gets no request, whatever else is available; None if it may.

        A leaving server announces its shutdown in its responses. Its entry may show that later,
        since the store may be unreachable or slow to write entries.
        """
        if server.leaving or self.exclusions.leaving_since(server.incarnation_id) is not None:
            return ExclusionReason.LEAVING
        if self.stats(server.incarnation_id).is_replaced:
            return ExclusionReason.REPLACED
        if self.is_held(server):
            return ExclusionReason.UNRECORDED
        return None

    def _is_changing_role(self, server: Server, now: float) -> bool:
        return self.stats(server.incarnation_id).effective_role(server.role, now) is not server.role

    def count_changing_to(self, service: str, role: EngineRole, now: float) -> int:
        """Return how many servers of a service carry out an order to change to *role*."""
        return sum(
            server.service == service
            and self._is_changing_role(server, now)
            and self.stats(server.incarnation_id).effective_role(server.role, now) is role
            for server in self._servers.all()
        )

    def record_order(
        self, incarnation_id: str, role: EngineRole, until: float, *, by_peer: bool
    ) -> None:
        """Record that a server accepted an order to change its role.

        Args:
            incarnation_id: incarnation id of the server.
            role: the role that the server changes to.
            until: time on the runtime's clock by which the change is complete or has failed.
            by_peer: whether another instance sent the order.
        """
        if self._servers.get(incarnation_id) is None:
            return
        self.stats(incarnation_id).role_change = RoleChange(role, until)
        self._log.info("server_changing", server=incarnation_id, phase=role.value, told=by_peer)

    def record_replaced(self, server: Server) -> None:
        """Record that another server responds at the address, so that *server* is gone.

        Its entry may still be listed.
        """
        stats = self.stats(server.incarnation_id)
        if not stats.is_replaced:
            stats.is_replaced = True
            self._log.info(
                "server_replaced", server=server.incarnation_id, at=f"{server.host}:{server.port}"
            )

    def get(self, incarnation_id: str) -> Server | None:
        """Return a listed server; None if it is not in the list."""
        return self._servers.get(incarnation_id)

    def listed_servers(self, service: str, role: EngineRole) -> list[Server]:
        """Return all listed servers of a service with a role, also those that are excluded."""
        return [
            server
            for server in self._servers.all()
            if server.service == service and server.role is role
        ]

    def is_listed(self, incarnation_id: str) -> bool:
        """Return whether a server is in the list."""
        return self._servers.get(incarnation_id) is not None

    def is_leaving(self, incarnation_id: str) -> bool:
        """Return whether a server announced its shutdown; it may be gone already."""
        return (
            self._servers.is_leaving(incarnation_id)
            or self.exclusions.leaving_since(incarnation_id) is not None
        )

    def accepts_work(self, incarnation_id: str, now: float) -> bool:
        """Return whether a server is not excluded and carries out no order to change its role."""
        server = self._servers.get(incarnation_id)
        return (
            server is not None
            and self.exclusion_reason(server, now) is None
            and not self._is_changing_role(server, now)
        )

    def choose_server(
        self,
        service: str,
        now: float,
        *,
        role: EngineRole | None = None,
        avoid: frozenset[str],
        zone: str = "",
        model: str = "",
        version: str = "",
    ) -> Server | None:
        """Return the server with the least expected wait; None if there is none.

        Args:
            service: name of the service.
            now: time on the runtime's clock.
            role: the role that the server must have; None for any.
            avoid: incarnation ids of servers that must not be chosen.
            zone: the availability zone to prefer; empty for this instance's own.
            model: the model that the server must serve; empty for any.
            version: the software version that the server must have; empty for any.
        """
        return pick_server(
            self.eligible_servers(service, now, role, model, version=version),
            self.stats,
            zone=zone or self._zone,
            now=now,
            rng=self.rng,
            avoid=avoid,
        )

    def servers_at_limit(self, servers: list[Server], now: float) -> list[Server]:
        """Return those of *servers* that are at their limit, soonest free first."""
        limited = [
            server for server in servers if self.stats(server.incarnation_id).limited_until > now
        ]
        return sorted(limited, key=lambda server: self.stats(server.incarnation_id).limited_until)

    def backoff_end(self, servers: list[Server], now: float) -> float | None:
        """Return when the first backoff of *servers* ends, on the runtime's clock.

        Return None if at least one server is not in backoff, or if *servers* is empty.
        """
        ends = [self.exclusions.backoff_until(server.incarnation_id, now) for server in servers]
        return None if None in ends else min((end for end in ends if end is not None), default=None)

    async def notify_listeners(
        self, server: Server, signals: ResponseSignals, *, sent_at: float, succeeded: bool
    ) -> None:
        """Notify all listeners of the signals in the head of a server's response."""
        for listener in self.listeners:
            await listener.on_signals(server, signals, sent_at=sent_at, succeeded=succeeded)

    async def side_call(
        self, server: Server, call: SideCall, *, timeout_s: float = SIDE_CALL_TIMEOUT_S
    ) -> Response | None:
        """Make a side call; return None if the server gives no valid response in time.

        The listeners are notified of the signals in the response.
        """
        client = self.client(server)
        headers = self.dialect.side_call_fields(server.name)
        sent_at = await curio.clock()
        try:
            resp: Response = await curio.timeout_after(timeout_s, self._call, client, call, headers)
        except (HttpClosed, BadHttp, curio.TaskTimeout) as exc:
            self._metrics.count("side_calls_failed")
            self._log.info(
                "side_call_failed", server=server.incarnation_id, call=call.target, why=repr(exc)
            )
            return None
        signals = self.dialect.parse_signals(resp.status, resp.headers)
        if not signals.wrong_server:
            await self.notify_listeners(server, signals, sent_at=sent_at, succeeded=False)
        return resp

    async def _call(self, client: HttpClient, call: SideCall, headers: dict[str, str]) -> Response:
        return await client.call(
            call.method,
            call.target,
            headers=headers,
            body=call.body,
            new_connection=call.new_connection,
            is_own_response=self._names_no_request,
            max_body_bytes=MAX_SIDE_CALL_BYTES,
        )

    def _names_no_request(self, headers: Mapping[str, str], reused: bool) -> bool:
        """Return whether a response may belong to a side call, which carries no request id."""
        return not self.dialect.response_request_id(headers)

    async def side_call_in_background(self, server: Server, call: SideCall) -> None:
        """Make a side call in the background and ignore its response."""
        await curio.spawn(self.side_call, server, call, daemon=True)
