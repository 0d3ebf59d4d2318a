"""A stand-in platform: key-value store, lagging service list (Consul API), and weight store.

The platform refuses calls that exceed its budgets of reads and writes per second. A watch counts as
one read, however long it waits.
"""

from __future__ import annotations

import base64
from dataclasses import dataclass
from functools import partial
from typing import Any
from urllib.parse import parse_qs, unquote

import curio
import msgspec

from crankhinge.errors import HttpClosed
from crankhinge.http import Exchange
from crankhinge.runtime import run_until_first_ends
from crankhinge_standins._web import Faults, reply, serve

SERVICE_PATH = "/v1/health/service/crankhinge-agent"
# Budgets of calls to the key-value store and the service list.
MAX_READS_PER_S = 2000
MAX_WRITES_PER_S = 300
# Seconds that the weight store needs to send one set of weights.
WEIGHTS_LOAD_S = 0.2


@dataclass
class _StoredValue:
    data: bytes
    index: int


@dataclass
class _CallBudget:
    """Counts calls within the current second and refuses those over the budget."""

    per_s: int
    second: int = 0
    used: int = 0
    total: int = 0
    refused: int = 0

    def try_spend(self, now: float) -> bool:
        """Count a call; return whether it is within the budget of the current second."""
        if int(now) != self.second:
            self.second, self.used = int(now), 0
        self.used += 1
        self.total += 1
        if self.used > self.per_s:
            self.refused += 1
            return False
        return True


class StandinPlatform:
    """One stand-in platform, with a key-value store, a service list and a weight store.

    Args:
        host: address to listen on.
        port: TCP port to listen on.
        list_lag_s: seconds between updates of the service list that clients see.
        log: log for unexpected failures.
    """

    def __init__(self, host: str, port: int, list_lag_s: float, log: Any) -> None:
        self._host = host
        self._port = port
        self._list_lag_s = list_lag_s
        self._log = log
        self.faults = Faults()
        self._values: dict[str, _StoredValue] = {}
        self._index = 0
        self._changed = curio.Event()
        self._services: dict[str, dict[str, Any]] = {}
        self._listed_services: dict[str, dict[str, Any]] = {}
        self._weights_lock = curio.Lock()
        self._reads = _CallBudget(MAX_READS_PER_S)
        self._writes = _CallBudget(MAX_WRITES_PER_S)

    async def run(self) -> None:
        """Serve until cancelled."""
        listen = partial(serve, self._host, self._port, self._handle, self.faults, self._log)
        await run_until_first_ends(self._update_list_loop, listen)

    async def _update_list_loop(self) -> None:
        while True:
            registered = dict(self._services)
            await curio.sleep(self._list_lag_s)
            self._listed_services = registered

    async def _handle(self, exchange: Exchange) -> None:
        req = exchange.req
        path = req.path
        if path.startswith("/weights/"):
            # The weight store is rate-limited: it sends one set of weights at a time.
            async with self._weights_lock:
                await curio.sleep(WEIGHTS_LOAD_S)
            await reply(exchange, {"weights": path})
        elif path == "/stats":
            await reply(exchange, {"reads": self._reads, "writes": self._writes})
        elif path.startswith("/v1/agent/service/"):
            await self._register(exchange, path)
        else:
            await self._serve_call(exchange, path)

    async def _serve_call(self, exchange: Exchange, path: str) -> None:
        faults = self.faults
        if faults.down:
            raise HttpClosed("outage")
        if faults.delay_s:
            await curio.sleep(faults.delay_s)
        budget = self._reads if exchange.req.method == "GET" else self._writes
        if not budget.try_spend(await curio.clock()):
            await reply(exchange, {"error": "over budget"}, 429)
        elif path.startswith("/v1/kv/"):
            await self._handle_kv(exchange, unquote(path.removeprefix("/v1/kv/")))
        elif path == SERVICE_PATH:
            rows = [{"Service": service} for service in self._listed_services.values()]
            await reply(exchange, rows)
        else:
            await reply(exchange, {"error": "no such path"}, 404)

    async def _register(self, exchange: Exchange, path: str) -> None:
        if path.endswith("/register"):
            service = msgspec.json.decode(exchange.req.body)
            self._services[service["ID"]] = service
        else:
            self._services.pop(path.rsplit("/", 1)[1], None)
        await reply(exchange, True)

    async def _handle_kv(self, exchange: Exchange, key: str) -> None:
        query = parse_qs(exchange.req.target.partition("?")[2], keep_blank_values=True)
        if exchange.req.method == "PUT":
            await self._put(exchange, key, query)
            return
        if "index" in query:
            await self._wait_change(key, int(query["index"][0]), query["wait"][0])
        if self.faults.down:
            raise HttpClosed("outage")
        stored = self._values.get(key)
        if stored is None:
            await exchange.respond(404, b"")
            return
        data = base64.b64encode(stored.data).decode()
        await reply(exchange, [{"Key": key, "Value": data, "ModifyIndex": stored.index}])

    async def _wait_change(self, key: str, index: int, wait: str) -> None:
        until = await curio.clock() + int(wait.removesuffix("ms")) / 1000
        while (stored := self._values.get(key)) is None or stored.index == index:
            left = until - await curio.clock()
            if left <= 0 or self.faults.down:
                return
            await curio.ignore_after(min(left, 0.5), self._changed.wait)

    async def _put(self, exchange: Exchange, key: str, query: dict[str, list[str]]) -> None:
        stored = self._values.get(key)
        expected = int(query["cas"][0]) if "cas" in query else None
        if expected is not None and expected != (stored.index if stored else 0):
            await reply(exchange, False)
            return
        self._index += 1
        self._values[key] = _StoredValue(exchange.req.body, self._index)
        if self.faults.down_after_write:
            self.faults.down_after_write = False
            self.faults.down = True
        event, self._changed = self._changed, curio.Event()
        await event.set()
        if self.faults.lose_answers:
            raise HttpClosed("response lost on purpose")
        await reply(exchange, True)
