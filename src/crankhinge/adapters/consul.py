"""Adapters for the Consul HTTP API (v1): key-value store and service catalogue.

Source: the published API pages "KV Store", "Blocking Queries" and "Health". A blocking query is
used as a watch and ``?cas=`` as the compare-and-swap. The service catalogue serves as the list of
instances, which lags behind the real state. An instance that is shutting down is listed there with
the metadata ``state=leaving``.
"""

from __future__ import annotations

import base64
from typing import Any
from urllib.parse import quote

from crankhinge.adapters._instances import Instance, InstanceList
from crankhinge.adapters._keyvalue import KeyValueStore, StoredValue
from crankhinge.decoding import decode_json
from crankhinge.errors import BadHttp, HttpClosed, KeyValueUnavailable, Undecodable
from crankhinge.http import HttpClient, Response, ResponseTimeouts

# Seconds until the first byte of a response, and between its pieces.
CALL_TIMEOUT_S = 2.0
# Enough for the longest response, a bundle of 512 KB in base64, at 12 KB per second.
MAX_RESPONSE_S = 60.0
AGENT_SERVICE = "crankhinge-agent"


class ConsulKeyValueStore(KeyValueStore):
    """Consul's key-value store at one address."""

    def __init__(self, host: str, port: int) -> None:
        self._client = HttpClient(host, port)

    async def get(self, key: str) -> StoredValue | None:
        """Return the value of *key*, or None if the key does not exist."""
        resp = await _call(self._client, "GET", _key_path(key) + "?consistent")
        return _parse_value(resp)

    async def watch(self, key: str, index: int, wait_s: float) -> StoredValue | None:
        """Return the value as soon as its index differs from *index*, or after *wait_s* seconds."""
        target = f"{_key_path(key)}?index={index}&wait={int(wait_s * 1000)}ms"
        # Consul may extend the wait by up to a sixteenth.
        return _parse_value(await _call(self._client, "GET", target, wait_s=wait_s * 17 / 16))

    async def compare_and_swap(self, key: str, data: bytes, index: int) -> bool:
        """Write *data* if the value's index is *index* (0: if the key does not exist)."""
        resp = await _call(self._client, "PUT", f"{_key_path(key)}?cas={index}", data)
        if resp.status != 200:
            raise KeyValueUnavailable(f"status {resp.status}")
        return resp.body.strip() == b"true"


class ConsulInstanceList(InstanceList):
    """The instances that Consul's catalogue lists as running an agent."""

    def __init__(self, host: str, port: int) -> None:
        self._client = HttpClient(host, port)

    async def list_agents(self) -> list[Instance]:
        """Return the instances that run agents, including those that are leaving."""
        target = f"/v1/health/service/{AGENT_SERVICE}"
        resp = await _call(self._client, "GET", target)
        if resp.status != 200:
            raise KeyValueUnavailable(f"status {resp.status}")
        return [_parse_instance(row) for row in _decode_json(resp)]


def _key_path(key: str) -> str:
    return "/v1/kv/" + quote(key)


async def _call(
    client: HttpClient, method: str, target: str, body: bytes = b"", *, wait_s: float = 0.0
) -> Response:
    """Make a call to which Consul may delay its response by *wait_s* seconds."""
    timeouts = ResponseTimeouts(
        first_byte_s=wait_s + CALL_TIMEOUT_S,
        next_byte_s=CALL_TIMEOUT_S,
        total_s=wait_s + MAX_RESPONSE_S,
    )
    # A pooled connection may be dead, and then it is unknown whether a write took effect. A fresh
    # connection makes that less likely.
    fresh = method != "GET"
    try:
        return await client.call(method, target, body=body, new_connection=fresh, timeouts=timeouts)
    except (HttpClosed, BadHttp, OSError) as exc:
        raise KeyValueUnavailable(str(exc)) from exc


def _decode_json(resp: Response) -> Any:
    try:
        return decode_json(resp.body, object)
    except Undecodable as exc:
        raise KeyValueUnavailable(f"response is not JSON: {exc.detail}") from exc


def _parse_value(resp: Response) -> StoredValue | None:
    if resp.status == 404:
        return None
    if resp.status != 200:
        raise KeyValueUnavailable(f"status {resp.status}")
    try:
        row = _decode_json(resp)[0]
        return StoredValue(base64.b64decode(row["Value"] or ""), int(row["ModifyIndex"]))
    except (LookupError, TypeError, ValueError) as exc:
        raise KeyValueUnavailable(f"unexpected response: {exc}") from exc


def _parse_instance(row: Any) -> Instance:
    try:
        service = row["Service"]
        meta = service["Meta"]
        return Instance(
            name=service["ID"],
            host=service["Address"],
            port=int(service["Port"]),
            zone=meta["zone"],
            pool=meta["pool"],
            leaving=meta.get("state") == "leaving",
        )
    except (LookupError, TypeError, ValueError) as exc:
        raise KeyValueUnavailable(f"unexpected response: {exc}") from exc
