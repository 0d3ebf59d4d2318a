"""Adapters for the Consul HTTP API (v1): key-value store and service catalogue.

Source: the published API pages "KV Store", "Blocking Queries" and "Health". A blocking query is a
watch; ``?cas=`` is the compare-and-swap; the catalogue is the lagging list of instances, where
the metadata key ``state`` says ``leaving`` for an instance that leaves.
"""

from __future__ import annotations

import base64
from typing import Any
from urllib.parse import quote

import msgspec

from crankhinge.adapters._instances import Instance, InstanceList
from crankhinge.adapters._keyvalue import KeyValueStore, StoredValue
from crankhinge.errors import BadHttp, HttpClosed, KeyValueUnavailable
from crankhinge.http import HttpClient, Response, ResponseTimeouts

# Seconds until the first byte of an answer, and between its pieces.
CALL_TIMEOUT_S = 2.0
# The longest answer, a bundle of 512 KB in base64, gets this far at 12 KB a second.
MAX_RESPONSE_S = 60.0
AGENT_SERVICE = "crankhinge-agent"


class ConsulKeyValueStore(KeyValueStore):
    """The key-value store at one address."""

    def __init__(self, host: str, port: int) -> None:
        self._client = HttpClient(host, port)

    async def get(self, key: str) -> StoredValue | None:
        """Return the value, or None when there is none."""
        resp = await _call(self._client, "GET", _path(key) + "?consistent")
        return _value_of(resp)

    async def watch(self, key: str, index: int, wait_s: float) -> StoredValue | None:
        """Return the value once its index differs from *index*, or after *wait_s* seconds."""
        target = f"{_path(key)}?index={index}&wait={int(wait_s * 1000)}ms"
        # The service may add a sixteenth of the wait.
        return _value_of(await _call(self._client, "GET", target, wait_s=wait_s * 17 / 16))

    async def compare_and_swap(self, key: str, data: bytes, index: int) -> bool:
        """Write *data* if the value's index is *index* (0: if there is none)."""
        resp = await _call(self._client, "PUT", f"{_path(key)}?cas={index}", data)
        if resp.status != 200:
            raise KeyValueUnavailable(f"status {resp.status}")
        return resp.body.strip() == b"true"


class ConsulInstanceList(InstanceList):
    """The instances that are registered as agents."""

    def __init__(self, host: str, port: int) -> None:
        self._client = HttpClient(host, port)

    async def list_agents(self) -> list[Instance]:
        """Return the agents, live and leaving."""
        target = f"/v1/health/service/{AGENT_SERVICE}"
        resp = await _call(self._client, "GET", target)
        if resp.status != 200:
            raise KeyValueUnavailable(f"status {resp.status}")
        return [_instance_of(row) for row in _json(resp)]


def _path(key: str) -> str:
    return "/v1/kv/" + quote(key)


async def _call(
    client: HttpClient, method: str, target: str, body: bytes = b"", *, wait_s: float = 0.0
) -> Response:
    """Make a call that the service may hold back for *wait_s* seconds."""
    patience = ResponseTimeouts(
        first_byte_s=wait_s + CALL_TIMEOUT_S,
        next_byte_s=CALL_TIMEOUT_S,
        total_s=wait_s + MAX_RESPONSE_S,
    )
    # A kept connection may be dead; a fresh one leaves less doubt about a write.
    fresh = method != "GET"
    try:
        return await client.call(method, target, body=body, new_connection=fresh, timeouts=patience)
    except (HttpClosed, BadHttp, OSError) as exc:
        raise KeyValueUnavailable(str(exc)) from exc


def _json(resp: Response) -> Any:
    try:
        return msgspec.json.decode(resp.body)
    except msgspec.DecodeError as exc:
        raise KeyValueUnavailable(f"answer is not JSON: {exc}") from exc


def _value_of(resp: Response) -> StoredValue | None:
    if resp.status == 404:
        return None
    if resp.status != 200:
        raise KeyValueUnavailable(f"status {resp.status}")
    try:
        row = _json(resp)[0]
        return StoredValue(base64.b64decode(row["Value"] or ""), int(row["ModifyIndex"]))
    except (LookupError, TypeError, ValueError) as exc:
        raise KeyValueUnavailable(f"unexpected answer: {exc}") from exc


def _instance_of(row: Any) -> Instance:
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
        raise KeyValueUnavailable(f"unexpected answer: {exc}") from exc
