"""What a request is: its route, its service, who asks, and by when it has to be answered."""

from __future__ import annotations

import random

import curio

from crankhinge.adapters import RelayRequest
from crankhinge.decisions import CallerRetryDetector, Route, RouteTable, Service, fingerprint
from crankhinge.errors import NotReady, UnknownRoute
from crankhinge.gateway._authenticator import Authenticator
from crankhinge.gateway._discovery import Discovery
from crankhinge.gateway._request import Relay
from crankhinge.http import Exchange, HttpRequest

# Seconds that a request may take where neither caller nor route sets a bound.
DEFAULT_TIMEOUT_S = 60.0
# When a caller should come back that an instance can't serve yet, in seconds.
NOT_READY_RETRY_S = 0.5


class Admission:
    """Makes relays of requests.

    Args:
        discovery: routes and services.
        authenticator: tells who asks.
        rng: for splits between services.
    """

    def __init__(
        self, *, discovery: Discovery, authenticator: Authenticator, rng: random.Random
    ) -> None:
        self._directory = discovery
        self._authenticator = authenticator
        self._rng = rng
        self._first_tries = CallerRetryDetector()

    async def admit(self, exchange: Exchange, request: RelayRequest) -> Relay:
        """Return the relay of a request.

        Raises:
            NotReady: this instance knows no configuration, or none of the route's service.
            UnknownRoute: the configuration has no route for it.
            BadCredentials, ConfigTooOld: as :meth:`Authenticator.identify` does.
        """
        table = self._directory.table
        if table is None or not self._directory.has_server_list:
            raise NotReady(
                "no configuration or no list of servers yet", retry_after_s=NOT_READY_RETRY_S
            )
        route, service = self._match(table, exchange.req)
        began = await curio.clock()
        account = self._authenticator.identify(table, route, request, began)
        caller_s = DEFAULT_TIMEOUT_S if request.timeout_s is None else request.timeout_s
        until = began + min(route.timeout_s, caller_s)
        relay = Relay(exchange, request, route, service, table.version, began, until)
        relay.has_accounts, relay.account = table.accounts is not None, account
        relay.fingerprint = _fingerprint(relay, exchange.req)
        relay.is_retry = self._first_tries.record_request(
            route.name, caller_s, connection_reused=exchange.connection_reused
        )
        self._note_facts(relay, caller_s)
        return relay

    def _match(self, table: RouteTable, req: HttpRequest) -> tuple[Route, Service]:
        route = table.match(req.headers.get("host", ""), req.path)
        if route is None:
            raise UnknownRoute(f"no route for {req.headers.get('host')}{req.path}")
        service = table.services.get(route.pick_service(self._rng.random()))
        if service is None:
            raise NotReady(f"route {route.name} names a service that is not there")
        return route, service

    def _note_facts(self, relay: Relay, caller_s: float) -> None:
        """Note what decided the request's course, for the line about its end."""
        if relay.account is not None:
            relay.log_fields["account"] = relay.account.name
            relay.log_fields["keys_age_s"] = round(self._directory.keys_age_s(relay.started_at), 2)
        relay.log_fields.update(
            fingerprint=relay.fingerprint,
            service=relay.service.name,
            kind=relay.route.kind.value,
            target_ms=round(relay.route.target_s * 1000),
            within_ms=round(caller_s * 1000),
            returned=relay.is_retry,
            kept=relay.exchange.connection_reused,
        )
        if relay.route.max_pause_s:
            relay.log_fields["pause_ms"] = round(relay.route.max_pause_s * 1000)
        # How long ago the list of servers was last heard of, in seconds: what is believed of
        # servers is at least that old, unless the list is watched and did not change.
        relay.log_fields["list_age_s"] = round(
            relay.started_at - (self._directory.server_list_watcher.received_at or 0.0), 1
        )


def _fingerprint(relay: Relay, req: HttpRequest) -> str:
    host = req.headers.get("host", "")
    return fingerprint(relay.account_name or "", req.method, host, req.target, req.body)
