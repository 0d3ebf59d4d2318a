"""Adapters for the Consul HTTP API (v1): key-value store and service catalogue.

Source: the published API pages "KV Store", "Blocking Queries" and "Health". A blocking query is a
watch; ``?cas=`` is the compare-and-swap; the catalogue is the lagging list of instances, where
the metadata key ``state`` says ``leaving`` for an instance that leaves.
"""

from __future__ import annotations

import base64
from typing import Any
from urllib.parse import quote

import curio
import msgspec

from crankhinge.adapters._instances import Instance, InstanceList
from crankhinge.adapters._keyvalue import KeyValue, Value
from crankhinge.errors import BadHttp, HttpClosed, KeyValueUnavailable
from crankhinge.http import HttpClient, Response

CALL_TIMEOUT_S = 2.0
WATCH_SLACK_S = 5.0
AGENT_SERVICE = "crankhinge-agent"


class ConsulKeyValue(KeyValue):
    """The key-value store at one address."""

    def __init__(self, host: str, port: int) -> None:
        self._client = HttpClient(host, port)

    async def get(self, key: str) -> Value | None:
        """Return the value, or None when there is none."""
        resp = await _call(
            self._client, "GET", _path(key) + "?consistent", timeout_s=CALL_TIMEOUT_S
        )
        return _value_of(resp)

    async def watch(self, key: str, index: int, wait_s: float) -> Value | None:
        """Return the value once its index differs from *index*, or after *wait_s* seconds."""
        target = f"{_path(key)}?index={index}&wait={int(wait_s * 1000)}ms"
        return _value_of(await _call(self._client, "GET", target, timeout_s=wait_s + WATCH_SLACK_S))

    async def swap(self, key: str, data: bytes, index: int) -> bool:
        """Write *data* if the value's index is *index* (0: if there is none)."""
        resp = await _call(
            self._client, "PUT", f"{_path(key)}?cas={index}", data, timeout_s=CALL_TIMEOUT_S
        )
        if resp.status != 200:
            raise KeyValueUnavailable(f"status {resp.status}")
        return resp.body.strip() == b"true"


class ConsulInstanceList(InstanceList):
    """The instances that are registered as agents."""

    def __init__(self, host: str, port: int) -> None:
        self._client = HttpClient(host, port)

    async def agents(self) -> list[Instance]:
        """Return the agents, live and leaving."""
        target = f"/v1/health/service/{AGENT_SERVICE}"
        resp = await _call(self._client, "GET", target, timeout_s=CALL_TIMEOUT_S)
        if resp.status != 200:
            raise KeyValueUnavailable(f"status {resp.status}")
        return [_instance_of(row) for row in _json(resp)]


def _path(key: str) -> str:
    return "/v1/kv/" + quote(key)


async def _call(
    client: HttpClient, method: str, target: str, body: bytes = b"", *, timeout_s: float
) -> Response:
    try:
        # A kept connection may be dead; a fresh one leaves less doubt about a write.
        resp: Response = await curio.timeout_after(
            timeout_s, _call_fresh, client, method, target, body, method != "GET"
        )
    except (HttpClosed, BadHttp, OSError) as exc:
        raise KeyValueUnavailable(str(exc)) from exc
    except curio.TaskTimeout as exc:
        raise KeyValueUnavailable(f"no answer in {timeout_s} s") from exc
    return resp


async def _call_fresh(
    client: HttpClient, method: str, target: str, body: bytes, fresh: bool
) -> Response:
    return await client.call(method, target, body=body, fresh=fresh)


def _json(resp: Response) -> Any:
    try:
        return msgspec.json.decode(resp.body)
    except msgspec.DecodeError as exc:
        raise KeyValueUnavailable(f"answer is not JSON: {exc}") from exc


def _value_of(resp: Response) -> Value | None:
    if resp.status == 404:
        return None
    if resp.status != 200:
        raise KeyValueUnavailable(f"status {resp.status}")
    try:
        row = _json(resp)[0]
        return Value(base64.b64decode(row["Value"] or ""), int(row["ModifyIndex"]))
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
