"""A small stand-in replica: a plain service, a prefill engine or a decode engine.

It speaks what PROTOCOL.md says of replicas, as far as the cases need it, and keeps its entry in the
store. Started with one JSON object of options; see Options. SIGUSR1 begins the trouble that the
options name, SIGUSR2 ends it. Runs are recorded in a file that outlives the process.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import secrets
import signal
import sys
import time
import zlib
from dataclasses import dataclass
from typing import Any


@dataclass
class Options:
    """Options of a replica.

    Attributes:
        ident: its id; a new one by default.
        framing: how answers end: ``length``, ``chunked``, or ``connection`` (neither a length nor
            chunks, the answer ends with its connection).
        body_bytes, pieces, work_ms: size of a plain answer, in how many pieces it is written, and
            the time that this takes.
        events, event_ms: number of events of a stream, and the time between two.
        error_status, error_fast_bytes, error_bytes_per_s: the trouble: a run is answered with this
            status and a body without end, which begins with so many bytes at once and goes on at so
            many a second until the caller closes.
        order_answer_ms, report_ms: time until an order or a report is answered.
        report_lag_ms: how much earlier what a report says was so.
        switch_s: time that a change of its phase takes once its runs have ended.
    """

    name: str
    host: str
    port: int
    service: str
    store: str
    beat_s: float
    record: str
    phase: str = ""
    ident: str = ""
    version: str = "v1"
    slots: int = 6
    kv_tokens: int = 0
    framing: str = "length"
    body_bytes: int = 800
    pieces: int = 1
    work_ms: float = 30.0
    events: int = 68
    event_ms: float = 10.0
    hold_ms: float = 2000.0
    error_status: int = 0
    error_fast_bytes: int = 0
    error_bytes_per_s: int = 0
    order_answer_ms: float = 0.0
    report_ms: float = 0.0
    report_lag_ms: float = 0.0
    switch_s: float = 6.0


def make_body(ident: str, size: int) -> bytes:
    """Return the whole body of the plain answer to the request *ident*, equal at all replicas."""
    row = f"{ident}:{zlib.crc32(ident.encode()):08x}\n".encode()
    return (row * (size // len(row) + 1))[:size]


def make_event(ident: str, number: int) -> bytes:
    """Return an event of the stream *ident*, equal at all replicas."""
    return f"id: {number}\ndata: {ident}-{number}\n\n".encode()


class Replica:
    def __init__(self, options: Options) -> None:
        self.o = options
        self.ident = options.ident or f"i-{secrets.token_hex(4)}"
        self.born = time.time_ns() // 1_000_000
        self.phase = options.phase
        self.trouble = False
        self.running = 0
        self.orders = 0
        self.busy = False
        # What reports say, and since when it has been so.
        self.past: list[tuple[float, dict[str, Any]]] = []
        self.holds: dict[str, int] = {}
        self.handles: set[str] = set()
        self.beats = 0
        self.fd = os.open(options.record, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)

    def note(self, kind: str, **row: Any) -> None:
        row = {"kind": kind, "server": self.o.name, "id": self.ident, "at": time.time(), **row}
        os.write(self.fd, json.dumps(row).encode() + b"\n")

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGUSR1, self._set_trouble, True)
        loop.add_signal_handler(signal.SIGUSR2, self._set_trouble, False)
        self.note("born", born=self.born)
        self._keep_state()
        server = await asyncio.start_server(self._serve, self.o.host, self.o.port, backlog=512)
        async with server:
            await self._beat()

    def _set_trouble(self, on: bool) -> None:
        self.trouble = on

    # Service discovery.

    async def _beat(self) -> None:
        while True:
            with contextlib.suppress(OSError, asyncio.TimeoutError, EOFError):
                async with asyncio.timeout(1.0):
                    await self._write_entry()
            await asyncio.sleep(self.o.beat_s)

    async def _write_entry(self) -> None:
        self.beats += 1
        entry: dict[str, Any] = {
            "service": self.o.service,
            "address": f"{self.o.host}:{self.o.port}",
            "zone": "z1",
            "version": self.o.version,
            "slots": self.o.slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": self.beats,
            "born": self.born,
        }
        if self.phase:
            entry["phase"] = self.phase
            entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
        body = json.dumps(entry).encode()
        host, _, port = self.o.store.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            head = f"PUT /v1/kv-key?private_key=servers/{self.ident} HTTP/1.1\r\nHost: store\r\n"
            head += f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
            writer.write(head.encode() + body)
            await writer.drain()
            await reader.read(65536)
        finally:
            writer.close()

    # Requests.

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
            while await self._serve_one(reader, writer):
                pass
        with contextlib.suppress(OSError):
            writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        except asyncio.IncompleteReadError:
            return False
        first, *lines = head.strip().split("\r\n")
        method, target, _ = first.split()
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        if headers.get("x-expect-instance", self.ident) != self.ident:
            await self._answer(writer, 421, b"", headers)
            return True
        if target.startswith("/v1/"):
            await self._side_call(writer, method, target, headers, body)
            return True
        if target == "/health":
            await self._answer(writer, 200, b"", headers, {"X-Instance-Id": self.ident})
            return True
        self.note("arrival", request=headers.get("x-request-id", ""), stage=headers.get("x-stage"))
        is_prefill = headers.get("x-stage") == "prefill"
        if self.phase and (self.phase == "prefill") != is_prefill:
            await self._answer(writer, 421, b"", headers)
            return True
        if self.busy or self.running + len(self.holds) - (headers.get("hold") in self.holds) >= self.o.slots:
            await self._answer(writer, 503, b"", headers, {"X-Not-Executed": "1"})
            return True
        self.holds.pop(headers.get("hold", ""), None)
        if is_prefill:
            await self._prefill(writer, headers)
            return True
        self.running += 1
        try:
            return await self._run(reader, writer, headers)
        finally:
            self.running -= 1

    async def _run(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, headers: dict[str, str]
    ) -> bool:
        """Run a request; stop when the caller closes its connection or the deadline passes."""
        ident = headers.get("x-request-id", "")
        self.note("run", request=ident, after=headers.get("last-event-id", ""))
        work = asyncio.ensure_future(self._write_run(writer, headers))
        gone = asyncio.ensure_future(reader.read(1))
        timeout_s = int(headers.get("x-deadline-ms", "60000")) / 1000
        done, _ = await asyncio.wait(
            {work, gone}, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
        )
        if work not in done:
            work.cancel()
            with contextlib.suppress(asyncio.CancelledError, OSError):
                await work
            gone.cancel()
            self.note("stopped", request=ident)
            return False
        if gone.done():
            return False
        gone.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await gone
        keeps = work.result()
        self.note("completed", request=ident)
        return keeps

    async def _write_run(self, writer: asyncio.StreamWriter, headers: dict[str, str]) -> bool:
        ident = headers.get("x-request-id", "")
        own = {"X-Request-Id": ident, "X-Server-Seal": f"{self.ident}.{ident}"}
        if self.trouble and self.o.error_status:
            await self._write_endless(writer, own)
            return False
        if self.phase:
            return await self._write_stream(writer, headers, own)
        body = make_body(ident, self.o.body_bytes)
        await self._start(writer, 200, own, len(body))
        step = -(-len(body) // self.o.pieces)
        for at in range(0, len(body), step):
            await asyncio.sleep(self.o.work_ms / 1000 / self.o.pieces)
            await self._piece(writer, body[at : at + step])
        return await self._end(writer)

    async def _write_stream(
        self, writer: asyncio.StreamWriter, headers: dict[str, str], own: dict[str, str]
    ) -> bool:
        begun_as = headers.get("resumes") or headers.get("x-request-id", "")
        after = int(headers.get("last-event-id") or "0")
        own = {**own, "Content-Type": "text/event-stream"}
        framing = "chunked" if self.o.framing == "length" else self.o.framing
        await self._start(writer, 200, own, None, framing)
        for number in range(after + 1, self.o.events + 1):
            await asyncio.sleep(self.o.event_ms / 1000)
            await self._piece(writer, make_event(begun_as, number), framing)
        return await self._end(writer, framing)

    async def _write_endless(self, writer: asyncio.StreamWriter, own: dict[str, str]) -> None:
        head = [f"HTTP/1.1 {self.o.error_status} X"]
        head += [f"{name}: {value}" for name, value in own.items()]
        writer.write("\r\n".join([*head, "", ""]).encode() + b"x" * self.o.error_fast_bytes)
        await writer.drain()
        while True:
            await asyncio.sleep(0.1)
            writer.write(b"x" * max(1, self.o.error_bytes_per_s // 10))
            await writer.drain()

    async def _start(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        fields: dict[str, str],
        size: int | None,
        framing: str = "",
    ) -> None:
        framing = framing or self.o.framing
        head = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in fields.items())]
        if framing == "length":
            head.append(f"Content-Length: {size}")
        elif framing == "chunked":
            head.append("Transfer-Encoding: chunked")
        else:
            head.append("Connection: close")
        writer.write("\r\n".join([*head, "", ""]).encode())
        await writer.drain()

    async def _piece(self, writer: asyncio.StreamWriter, data: bytes, framing: str = "") -> None:
        chunked = (framing or self.o.framing) == "chunked"
        writer.write(b"%x\r\n%s\r\n" % (len(data), data) if chunked else data)
        await writer.drain()

    async def _end(self, writer: asyncio.StreamWriter, framing: str = "") -> bool:
        framing = framing or self.o.framing
        if framing == "chunked":
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        return framing != "connection"

    async def _answer(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        body: bytes,
        headers: dict[str, str],
        more: dict[str, str] | None = None,
    ) -> None:
        fields = {"Content-Length": str(len(body)), **(more or {})}
        if "x-request-id" in headers:
            fields["X-Request-Id"] = headers["x-request-id"]
        head = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in fields.items())]
        writer.write("\r\n".join([*head, "", ""]).encode() + body)
        await writer.drain()

    # Engines.

    async def _prefill(self, writer: asyncio.StreamWriter, headers: dict[str, str]) -> None:
        tokens = int(headers.get("x-token-count", "0,0").split(",")[0])
        await asyncio.sleep(tokens / 33.3 / 1000)
        handle = secrets.token_hex(6)
        self.handles.add(handle)
        body = json.dumps({"kv_handle": handle, "tokens": tokens, "version": 1}).encode()
        await self._answer(writer, 200, body, headers, {"Content-Type": "application/json"})

    async def _side_call(
        self,
        writer: asyncio.StreamWriter,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        status, value = 404, {}
        name = target.rpartition("/")[2]
        if target == "/v1/report":
            await asyncio.sleep(self.o.report_ms / 1000)
            status, value = 200, {
                **self._state_before(self.o.report_lag_ms / 1000),
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "queued": 0,
                "running": self.running,
                "kv_used": 0,
                "kv_total": self.o.kv_tokens,
                "kv_handles": len(self.handles),
                "born": self.born,
            }
        elif target == "/v1/hold-take" and self.phase == "decode":
            if self.busy or self.running + len(self.holds) < self.o.slots:
                hold = secrets.token_hex(6)
                self.holds[hold] = 1
                asyncio.get_running_loop().call_later(
                    json.loads(body)["ttl_ms"] / 1000, self.holds.pop, hold, None
                )
                status, value = 200, {"hold": hold}
            else:
                status = 503
        elif target.startswith("/v1/hold-drop/"):
            status = 200
            self.holds.pop(name, None)
        elif target.startswith("/v1/kv-handle/"):
            status = 200 if name in self.handles else 404
            self.handles.discard(name)
        elif target == "/v1/order":
            status = self._order(json.loads(body))
            await asyncio.sleep(self.o.order_answer_ms / 1000)
        await self._answer(
            writer, status, json.dumps(value).encode(), headers, {"Content-Type": "application/json"}
        )

    def _keep_state(self) -> None:
        state = {"phase": self.phase, "busy": self.busy, "sequence": self.orders}
        self.past.append((time.monotonic(), state))

    def _state_before(self, age_s: float) -> dict[str, Any]:
        until = time.monotonic() - age_s
        rows = [state for at, state in self.past if at <= until]
        return rows[-1] if rows else self.past[0][1]

    def _order(self, order: dict[str, Any]) -> int:
        """Take an order to change the phase; fences are not checked (``fencing_required`` false)."""
        status = 202
        if any(name not in order for name in ("opcode", "holder", "fencing_token")):
            status = 400
        elif self.busy or order.get("expected_revision", self.orders) != self.orders:
            status = 409
        elif order.get("phase") == self.phase:
            status = 200
        holder, fence = order.get("holder"), order.get("fencing_token")
        self.note("order", status=status, holder=holder, fence=fence, phase=order.get("phase"))
        if status == 202:
            self.orders += 1
            self.busy = True
            self._keep_state()
            self.task = asyncio.ensure_future(self._switch(order["phase"]))
        return status

    async def _switch(self, phase: str) -> None:
        while self.running:
            await asyncio.sleep(0.05)
        await asyncio.sleep(self.o.switch_s)
        self.phase, self.busy = phase, False
        self._keep_state()
        self.note("switched", phase=phase)
        with contextlib.suppress(OSError, asyncio.TimeoutError, EOFError):
            await self._write_entry()


if __name__ == "__main__":
    asyncio.run(Replica(Options(**json.loads(sys.argv[1]))).run())
