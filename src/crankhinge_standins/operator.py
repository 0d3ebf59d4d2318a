"""Builds the configuration as the operator of the users' platform writes it."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

HOST_NAME = "h.example"
# Maximum sizes of requests, and time limits on request headers and idle connections.
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 65536,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}

JsonObject = dict[str, Any]


def route(name: str, prefix: str, kind: str, service: str, **overrides: Any) -> JsonObject:
    """Return a route; *overrides* replaces or adds fields."""
    defaults = {
        "name": name,
        "host": HOST_NAME,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 4000,
        "target_latency_ms": 900,
        "priority": 1,
        "service": service,
        "max_attempts": 1,
    }
    return {**defaults, **overrides}


def engine_capacity(*, slots: int, kv_tokens: int, moves: bool = False) -> JsonObject:
    """Return the capacity of each engine of a service, and whether runs can be moved."""
    capacity: JsonObject = {
        "slots": slots,
        "kv_tokens": kv_tokens,
        "stride": 10,
        "handle_ttl_s": 0.5,
        "hold_ms": 2000.0,
    }
    if moves:
        capacity.update(moves=True, kv_token_bytes=18432.0, link_mbps=2.2e6)
    return capacity


def service(name: str, capacity: JsonObject | None = None) -> JsonObject:
    """Return a service; its servers are engines with *capacity* if that is given."""
    fields: JsonObject = {"name": name, "max_connections": 100}
    return fields if capacity is None else {**fields, "engine": capacity}


def account(name: str, *keys: str, **overrides: Any) -> JsonObject:
    """Return a client account without a limit; *overrides* replaces or adds fields."""
    defaults = {
        "name": name,
        "api_keys": list(keys),
        "priority": 1,
        "unit": "token_stream",
        "plain_tokens": 200,
        "rate_per_s": 0,
        "burst": 0,
    }
    return {**defaults, **overrides}


def config(
    version: int,
    routes: Iterable[JsonObject],
    services: Iterable[JsonObject],
    tenants: Iterable[JsonObject] | None = None,
) -> JsonObject:
    """Return a configuration; callers need an API key if *tenants* is given."""
    configuration = {
        "version": version,
        "routes": list(routes),
        "services": list(services),
        "limits": LIMITS,
    }
    return configuration if tenants is None else {**configuration, "tenants": list(tenants)}
