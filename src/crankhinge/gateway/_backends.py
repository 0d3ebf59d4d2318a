"""The backend servers as this instance uses them: connections, load, side calls."""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Callable
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
from crankhinge.http import HttpClient, Response
from crankhinge.runtime import Metrics

# A connection in one availability zone comes up in a millisecond; a lost first packet is sent
# again after one second, which is too late for most requests: then another server is asked.
CONNECT_TIMEOUT_S = 0.35
# A side call is answered in milliseconds; its server is given up on after this, in seconds.
SIDE_CALL_TIMEOUT_S = 0.6


class Backends:
    """Connections to servers and what was seen of them.

    Args:
        servers: which servers there are.
        dialect: how side calls are written.
        zone: of this instance.
        log: for events.
        metrics: for counters.
        rng: for choices between equals.
        idle_limit: returns how many idle connections to keep to each server of a service.

    Attributes:
        listeners: are told what servers say in the heads of their answers.
        exclusions: what servers said that bars requests from them.
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
    ) -> None:
        self.dialect = dialect
        self.rng = rng
        self.listeners: list[SignalListener] = []
        self.exclusions = ServerExclusions()
        self._servers = servers
        self._zone = zone
        self._most_kept = idle_limit
        self._log = log
        self._metrics = metrics
        self._clients: dict[str, HttpClient] = {}
        # Asked several times a server at each choice: none is made but for a server not seen yet.
        self._standing: defaultdict[str, ServerStats] = defaultdict(ServerStats)

    def stats(self, incarnation_id: str) -> ServerStats:
        """Return what was seen of a server."""
        return self._standing[incarnation_id]

    def client(self, server: Server) -> HttpClient:
        """Return the connections to a server."""
        if server.incarnation_id not in self._clients:
            self._clients[server.incarnation_id] = HttpClient(
                server.host, server.port, connect_timeout_s=CONNECT_TIMEOUT_S
            )
        client = self._clients[server.incarnation_id]
        client.pool_size = self._most_kept(server.service)
        return client

    async def remove_server(self, incarnation_id: str) -> None:
        """Close the idle connections to a server that is gone."""
        self._standing.pop(incarnation_id, None)
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
    ) -> list[Server]:
        """Return the servers of a service that take new work for a model.

        Those that follow an order to play another part are among them only where no other is.

        Doubted ones are among them only while most are doubted: those few that are back first
        could not carry the load of all, and once half are back the rest has probably gone.
        """
        entered = [
            server
            for server in self._servers.all()
            if server.service == service
            and self._lasting_bar(server) is None
            and (role is None or server.role is role)
            and server.serves_model(model)
        ]
        able = [server for server in entered if not self._changes(server, now)] or entered
        sure = [server for server in able if not self._servers.is_suspect(server.incarnation_id)]
        able = sure if len(sure) >= len(able) - len(sure) else able
        return [server for server in able if server.incarnation_id not in avoid] if avoid else able

    def eligible_servers(
        self,
        service: str,
        now: float,
        role: EngineRole | None = None,
        model: str = "",
        avoid: frozenset[str] = frozenset(),
    ) -> list[Server]:
        """Return the servers of a service that a request may be sent to now.

        A server that wants no request for a while counts among the able ones: it stays.
        """
        return self.without_backoff(self.available_servers(service, now, role, model, avoid), now)

    def without_backoff(self, servers: list[Server], now: float) -> list[Server]:
        """Return those of some servers that want requests now."""
        if not self.exclusions.has_backoffs(now):
            return servers
        return [
            server
            for server in servers
            if self.exclusions.backoff_until(server.incarnation_id, now) is None
        ]

    def exclusion_reason(self, server: Server, now: float) -> ExclusionReason | None:
        """Return what keeps requests from a server, whatever others there are; None for nothing."""
        known = self._servers.get(server.incarnation_id)
        if known is None:
            return ExclusionReason.GONE
        resting = self.exclusions.backoff_until(server.incarnation_id, now) is not None
        return self._lasting_bar(known) or (ExclusionReason.BACKOFF if resting else None)

    def count_excluded(self, reason: ExclusionReason, now: float) -> int:
        """Return how many servers get no request for a cause."""
        return sum(self.exclusion_reason(server, now) is reason for server in self._servers.all())

    def _lasting_bar(self, server: Server) -> ExclusionReason | None:
        """Return what keeps requests from a server in the list for as long as it lives.

        A server that leaves says so in its answers before its entry does: the store may be away,
        and takes entries late.
        """
        if server.leaving or self.exclusions.leaving_since(server.incarnation_id) is not None:
            return ExclusionReason.LEAVING
        if self.stats(server.incarnation_id).is_replaced:
            return ExclusionReason.REPLACED
        return None

    def _changes(self, server: Server, now: float) -> bool:
        return self.stats(server.incarnation_id).effective_role(server.role, now) is not server.role

    def count_changing_to(self, service: str, role: EngineRole, now: float) -> int:
        """Return how many servers of a service follow an order to play *role*."""
        return sum(
            server.service == service
            and self._changes(server, now)
            and self.stats(server.incarnation_id).effective_role(server.role, now) is role
            for server in self._servers.all()
        )

    def record_order(
        self, incarnation_id: str, role: EngineRole, until: float, *, by_peer: bool
    ) -> None:
        """Note that a server has taken an order.

        Args:
            incarnation_id: its identity.
            role: the part that it will play.
            until: when it does at the latest, on the runtime's clock.
            by_peer: whether another instance gave the order.
        """
        if self._servers.get(incarnation_id) is None:
            return
        self.stats(incarnation_id).role_change = RoleChange(role, until)
        self._log.info("server_changing", server=incarnation_id, phase=role.value, told=by_peer)

    def record_replaced(self, server: Server) -> None:
        """Note that another server answers at the address: this one is gone, whatever its entry."""
        standing = self.stats(server.incarnation_id)
        if not standing.is_replaced:
            standing.is_replaced = True
            self._log.info(
                "server_replaced", server=server.incarnation_id, at=f"{server.host}:{server.port}"
            )

    def is_listed(self, incarnation_id: str) -> bool:
        """Whether a server is still in the list."""
        return self._servers.get(incarnation_id) is not None

    def is_leaving(self, incarnation_id: str) -> bool:
        """Whether a server said that it leaves; it may have gone since."""
        return (
            self._servers.is_leaving(incarnation_id)
            or self.exclusions.leaving_since(incarnation_id) is not None
        )

    def accepts_work(self, incarnation_id: str, now: float) -> bool:
        """Whether nothing keeps requests from a server, and it follows no order."""
        server = self._servers.get(incarnation_id)
        return (
            server is not None
            and self.exclusion_reason(server, now) is None
            and not self._changes(server, now)
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
    ) -> Server | None:
        """Return the server with the least expected wait, or None.

        Args:
            service: its service.
            now: on the runtime's clock.
            role: the part that it plays; any by default.
            avoid: identities that are out of the question.
            zone: availability zone to stay in where it costs little; this instance's by default.
            model: that it has to hold.
        """
        return pick_server(
            self.eligible_servers(service, now, role, model),
            self.stats,
            zone=zone or self._zone,
            now=now,
            rng=self.rng,
            avoid=avoid,
        )

    def servers_at_limit(self, servers: list[Server], now: float) -> list[Server]:
        """Return those of some servers that take no more now, the first to do so first."""
        limited = [
            server for server in servers if self.stats(server.incarnation_id).limited_until > now
        ]
        return sorted(limited, key=lambda server: self.stats(server.incarnation_id).limited_until)

    def backoff_end(self, servers: list[Server], now: float) -> float | None:
        """Return when the first of some servers wants requests; None where one does already."""
        ends = [self.exclusions.backoff_until(server.incarnation_id, now) for server in servers]
        return None if None in ends else min((end for end in ends if end is not None), default=None)

    async def notify_listeners(
        self, server: Server, signals: ResponseSignals, *, sent_at: float, succeeded: bool
    ) -> None:
        """Tell all listeners what the head of a server's answer says."""
        for listener in self.listeners:
            await listener.on_signals(server, signals, sent_at=sent_at, succeeded=succeeded)

    async def side_call(self, server: Server, call: SideCall) -> Response | None:
        """Make a call of the router's own; None when it isn't answered."""
        client = self.client(server)
        headers = self.dialect.side_call_fields(server.name)
        sent_at = await curio.clock()
        try:
            resp: Response = await curio.timeout_after(
                SIDE_CALL_TIMEOUT_S, _call, client, call, headers
            )
        except (HttpClosed, BadHttp, curio.TaskTimeout) as exc:
            self._metrics.count("side_calls_failed")
            self._log.info(
                "side_call_failed", server=server.incarnation_id, call=call.target, why=repr(exc)
            )
            return None
        word = self.dialect.parse_signals(resp.status, resp.headers)
        if not word.wrong_server:
            await self.notify_listeners(server, word, sent_at=sent_at, succeeded=False)
        return resp

    async def side_call_in_background(self, server: Server, call: SideCall) -> None:
        """Make a call whose answer nobody waits for."""
        await curio.spawn(self.side_call, server, call, daemon=True)


async def _call(client: HttpClient, call: SideCall, headers: dict[str, str]) -> Response:
    return await client.call(call.method, call.target, headers=headers, body=call.body)
