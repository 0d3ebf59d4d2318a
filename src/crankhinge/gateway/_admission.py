"""Admits requests: finds the route, the service, the account and the deadline of each."""

from __future__ import annotations

import random

import curio

from crankhinge.adapters import RelayRequest
from crankhinge.decisions import (
    CallerRetryDetector,
    Route,
    RouteTable,
    Service,
    fingerprint,
    part_keys,
)
from crankhinge.errors import NotReady, UnknownRoute
from crankhinge.gateway._authenticator import Authenticator
from crankhinge.gateway._discovery import Discovery
from crankhinge.gateway._request import Relay
from crankhinge.http import Exchange, HttpRequest

# Seconds that a request may take if its caller sets no bound. The route may set a shorter one.
DEFAULT_TIMEOUT_S = 60.0
# Maximum number of parts of a prompt that a log line names.
MAX_LOGGED_PARTS = 8
# Seconds after which a caller should retry if this instance cannot serve requests yet.
NOT_READY_RETRY_S = 0.5


class Admission:
    """Creates a :class:`Relay` for each request that arrives.

    Args:
        discovery: the configuration, with its routes and services.
        authenticator: identifies the caller.
        rng: source of the random choices between the services of a route.
    """

    def __init__(
        self, *, discovery: Discovery, authenticator: Authenticator, rng: random.Random
    ) -> None:
        self._discovery = discovery
        self._authenticator = authenticator
        self._rng = rng
        self._retry_detector = CallerRetryDetector()

    async def admit(self, exchange: Exchange, request: RelayRequest) -> Relay:
        """Return the :class:`Relay` of a request.

        Raises:
            NotReady: this instance has no configuration or no list of servers yet, or the
                configuration lacks the route's service.
            UnknownRoute: the configuration has no route for the request.
            BadCredentials, ConfigTooOld: as raised by :meth:`Authenticator.identify`.
        """
        config = self._discovery.config
        if config is None or not self._discovery.has_server_list:
            raise NotReady(
                "no configuration or no list of servers yet", retry_after_s=NOT_READY_RETRY_S
            )
        route, service = self._match(config, exchange.req)
        started_at = await curio.clock()
        account = self._authenticator.identify(config, route, request, started_at)
        caller_timeout_s = DEFAULT_TIMEOUT_S if request.timeout_s is None else request.timeout_s
        deadline = started_at + min(route.timeout_s, caller_timeout_s)
        relay = Relay(exchange, request, route, service, config.version, started_at, deadline)
        relay.has_accounts, relay.account = config.accounts is not None, account
        relay.fingerprint = _fingerprint(relay, exchange.req)
        relay.part_keys = part_keys(request.prompt_parts, at_engine=service.engine is not None)
        relay.is_retry = self._retry_detector.record_request(
            route.name, caller_timeout_s, connection_reused=exchange.connection_reused
        )
        self._record_log_fields(relay, caller_timeout_s)
        return relay

    def _match(self, config: RouteTable, req: HttpRequest) -> tuple[Route, Service]:
        route = config.match(req.headers.get("host", ""), req.path)
        if route is None:
            raise UnknownRoute(f"no route for {req.headers.get('host')}{req.path}")
        service = config.services.get(route.pick_service(self._rng.random()))
        if service is None:
            raise NotReady(f"route {route.name} names a service that is not configured")
        return route, service

    def _record_log_fields(self, relay: Relay, caller_timeout_s: float) -> None:
        """Record what decides how the request is handled, for the log line about its end."""
        if relay.account is not None:
            relay.log_fields["account"] = relay.account.name
            relay.log_fields["keys_age_s"] = round(self._discovery.keys_age_s(relay.started_at), 2)
        relay.log_fields.update(
            fingerprint=relay.fingerprint,
            service=relay.service.name,
            kind=relay.route.kind.value,
            target_ms=round(relay.route.target_s * 1000),
            within_ms=round(caller_timeout_s * 1000),
            returned=relay.is_retry,
            kept=relay.exchange.connection_reused,
        )
        if relay.request.prompt_parts:
            relay.log_fields["parts"] = ",".join(relay.request.prompt_parts[:MAX_LOGGED_PARTS])
        if relay.route.max_pause_s:
            relay.log_fields["pause_ms"] = round(relay.route.max_pause_s * 1000)
        # Seconds since the last response about the list of servers. The list may still be current
        # if it is watched: the watch responds only when the list changes or the wait ends.
        relay.log_fields["list_age_s"] = round(
            relay.started_at - (self._discovery.server_list_watcher.received_at or 0.0), 1
        )


def _fingerprint(relay: Relay, req: HttpRequest) -> str:
    host = req.headers.get("host", "")
    return fingerprint(relay.account_name or "", req.method, host, req.target, req.body)
