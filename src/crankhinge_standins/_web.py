"""What the stand-ins share: JSON over HTTP, and faults that are switched on from outside."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from crankhinge.errors import BadHttp
from crankhinge.http import Exchange, HttpLimits, serve_http

Handler = Callable[[Exchange], Awaitable[None]]


async def reply(exchange: Exchange, value: Any, status: int = 200) -> None:
    """Answer with JSON."""
    await exchange.respond(status, msgspec.json.encode(value))


async def _on_bad(exchange: Exchange, exc: BadHttp) -> None:
    await reply(exchange, {"error": exc.detail}, exc.status)


class Faults(msgspec.Struct):
    """Faults of a stand-in; ``PUT /faults`` with some of these keys changes them.

    Attributes:
        down: connections are closed without an answer.
        delay_s: seconds added before each answer.
        lose_answers: requests take effect and the connection is closed without an answer.
        slow: factor on every duration of an engine.
        stall: transfers of KV caches never end.
        refuse: calls are answered with status 503 before they run.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: bool = False
    slow: float = 1.0
    stall: bool = False
    refuse: bool = False

    def change(self, body: bytes) -> None:
        """Set the faults that the JSON object *body* names."""
        for name, value in msgspec.json.decode(body).items():
            if name not in self.__struct_fields__:
                raise BadHttp(f"no fault {name!r}")
            setattr(self, name, value)


class Dropped(BadHttp):
    """The connection is to be closed without an answer."""


async def serve(host: str, port: int, handler: Handler, faults: Faults, log: Any) -> None:
    """Serve *handler*, with ``PUT /faults`` beside it."""

    async def handle(exchange: Exchange) -> None:
        req = exchange.req
        if req.path == "/faults" and req.method == "PUT":
            faults.change(req.body)
            await reply(exchange, {"ok": True})
            return
        await handler(exchange)

    limits = HttpLimits(body_bytes=16 * 1024 * 1024, idle_s=3600.0)
    await serve_http(host, port, handle, on_bad=_on_bad, log=log, limits=limits)
