"""The configuration as the users' operator writes it: routes, services, limits."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

HOST_NAME = "h.example"
# What callers may send, and how long they may take or stay idle.
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 65536,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}

ConfigRow = dict[str, Any]


def route(name: str, prefix: str, kind: str, service: str, **more: Any) -> ConfigRow:
    """Return a route; *more* stands for other fields than the usual ones."""
    usual = {
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
    return {**usual, **more}


def engine(*, slots: int, kv_tokens: int) -> ConfigRow:
    """Return what the engines of a service hold."""
    return {
        "slots": slots,
        "kv_tokens": kv_tokens,
        "stride": 10,
        "handle_ttl_s": 0.5,
        "hold_ms": 2000.0,
    }


def service(name: str, engine_row: ConfigRow | None = None) -> ConfigRow:
    """Return a service, of engines where *engine_row* is given."""
    row: ConfigRow = {"name": name, "max_connections": 100}
    return row if engine_row is None else {**row, "engine": engine_row}


def account(name: str, *keys: str, **more: Any) -> ConfigRow:
    """Return a client account without a limit; *more* stands for other fields."""
    usual = {
        "name": name,
        "api_keys": list(keys),
        "priority": 1,
        "unit": "token_stream",
        "plain_tokens": 200,
        "rate_per_s": 0,
        "burst": 0,
    }
    return {**usual, **more}


def config(
    version: int,
    routes: Iterable[ConfigRow],
    services: Iterable[ConfigRow],
    tenants: Iterable[ConfigRow] | None = None,
) -> ConfigRow:
    """Return a configuration; callers need a key where *tenants* are given."""
    row = {
        "version": version,
        "routes": list(routes),
        "services": list(services),
        "limits": LIMITS,
    }
    return row if tenants is None else {**row, "tenants": list(tenants)}
