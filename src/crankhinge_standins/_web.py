"""What the stand-ins share: JSON over HTTP, and faults that are switched on from outside."""

from __future__ import annotations

import os
import time
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from crankhinge.errors import BadHttp
from crankhinge.http import Exchange, HttpLimits, serve_http

Handler = Callable[[Exchange], Awaitable[None]]


async def reply(exchange: Exchange, value: Any, status: int = 200) -> None:
    """Answer with JSON."""
    await exchange.respond(status, msgspec.json.encode(value))


async def _reject(exchange: Exchange, exc: BadHttp) -> None:
    await reply(exchange, {"error": exc.detail}, exc.status)


class FaultSwitches(msgspec.Struct):
    """Faults of a stand-in; ``PUT /faults`` with some of their names changes them."""

    def update(self, body: bytes) -> None:
        """Set the faults that the JSON object *body* names. Raises BadHttp for unknown ones."""
        for name, value in msgspec.json.decode(body).items():
            if name not in self.__struct_fields__:
                raise BadHttp(f"no fault {name!r}")
            setattr(self, name, value)


class Faults(FaultSwitches):
    """Faults of the stand-ins for the product's own interface.

    Attributes:
        down: connections are closed without an answer.
        delay_s: seconds added before each answer.
        lose_answers: requests take effect and the connection is closed without an answer.
        slow: factor on every duration of an engine.
        stall: transfers of KV caches never end.
        refuse: calls are answered with status 503 before they run.
        down_after_write: the next write takes effect, is answered, and an outage begins.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: bool = False
    slow: float = 1.0
    stall: bool = False
    refuse: bool = False
    down_after_write: bool = False


class Recorder:
    """Writes what a stand-in did to a file, which outlives it when it is killed.

    Args:
        path: the file; empty for none.
    """

    def __init__(self, path: str) -> None:
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self._fd = os.open(path, flags, 0o644) if path else -1

    def write(self, **row: Any) -> None:
        """Add a row, with the wall clock's time in ``at``."""
        if self._fd >= 0:
            os.write(self._fd, msgspec.json.encode({**row, "at": time.time()}) + b"\n")


async def serve(host: str, port: int, handler: Handler, faults: FaultSwitches, log: Any) -> None:
    """Serve *handler*, with ``PUT /faults`` beside it."""

    async def handle(exchange: Exchange) -> None:
        req = exchange.req
        if req.path == "/faults" and req.method == "PUT":
            faults.update(req.body)
            await reply(exchange, {"ok": True})
            return
        await handler(exchange)

    limits = HttpLimits(body_bytes=16 * 1024 * 1024, idle_s=3600.0)
    await serve_http(host, port, handle, on_bad=_reject, log=log, limits=limits)
