"""Helpers of all stand-ins: JSON over HTTP, faults that are set over HTTP, and a recorder."""

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
    """Send *value* as a JSON response."""
    await exchange.respond(status, msgspec.json.encode(value))


async def _reject(exchange: Exchange, exc: BadHttp) -> None:
    await reply(exchange, {"error": exc.detail}, exc.status)


class UnframedResponse:
    """A streamed response with neither a length nor chunks: its end is that of the connection.

    Args:
        exchange: the request.
        holds_byte: whether the last byte is held back until more follows, so that the body ends
            inside an event if the process ends.
    """

    def __init__(self, exchange: Exchange, *, holds_byte: bool = False) -> None:
        self._exchange = exchange
        self._holds_byte = holds_byte
        self._held = b""

    async def start_with_fields(self, status: int, fields: list[tuple[str, str]]) -> None:
        """Send the head of the response."""
        head = [("connection", "close"), *fields]
        lines = "".join(f"{name}: {value}\r\n" for name, value in head)
        await self._exchange.write_raw(f"HTTP/1.1 {status} \r\n{lines}\r\n".encode("latin-1"))

    async def write(self, chunk: bytes) -> None:
        """Send a part of the body."""
        data, self._held = self._held + chunk, b""
        if self._holds_byte:
            data, self._held = data[:-1], data[-1:]
        await self._exchange.write_raw(data)

    async def finish(self) -> None:
        """Send what was held back; the server closes the connection after the request."""
        await self._exchange.write_raw(self._held)


class FaultSettings(msgspec.Struct):
    """Base class of the fault settings of a stand-in.

    A request ``PUT /faults`` with a JSON object sets the faults that the object names. All other
    faults stay as they are.
    """

    def update(self, body: bytes) -> None:
        """Set the faults that the JSON object *body* names. Raises BadHttp for unknown names."""
        for name, value in msgspec.json.decode(body).items():
            if name not in self.__struct_fields__:
                raise BadHttp(f"no fault {name!r}")
            setattr(self, name, value)


class Faults(FaultSettings):
    """Faults of the stand-ins for the model engine, the plain service and the platform.

    Attributes:
        down: whether connections are closed without a response.
        delay_s: seconds of delay before each response.
        lose_answers: whether connections are closed without a response although the requests take
            effect.
        slow: factor by which every duration is multiplied.
        stall: whether transfers of KV caches wait until the fault ends.
        refuse: whether requests get status 503 before they run.
        down_after_write: whether the next write takes effect, gets a response, and sets ``down``.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: bool = False
    slow: float = 1.0
    stall: bool = False
    refuse: bool = False
    down_after_write: bool = False


class Recorder:
    """Appends what a stand-in does to a file, which remains when the process is killed.

    Args:
        path: the file; empty to record nothing.
    """

    def __init__(self, path: str) -> None:
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self._fd = os.open(path, flags, 0o644) if path else -1

    def write(self, **row: Any) -> None:
        """Append a row of the given fields, with the wall clock in ``at``."""
        if self._fd >= 0:
            os.write(self._fd, msgspec.json.encode({**row, "at": time.time()}) + b"\n")


async def serve(host: str, port: int, handler: Handler, faults: FaultSettings, log: Any) -> None:
    """Serve requests with *handler*, except ``PUT /faults``, which sets *faults*."""

    async def handle(exchange: Exchange) -> None:
        req = exchange.req
        if req.path == "/faults" and req.method == "PUT":
            faults.update(req.body)
            await reply(exchange, {"ok": True})
            return
        await handler(exchange)

    limits = HttpLimits(max_body_bytes=16 * 1024 * 1024, idle_timeout_s=3600.0)
    await serve_http(host, port, handle, on_malformed=_reject, log=log, limits=limits)
