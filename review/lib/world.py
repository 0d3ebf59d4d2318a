"""A small deployment on loopback addresses: store, replicas, clients, and real gateway processes.

Only the standard library is used. The gateways are started with the command and the template of
`deploy/system.toml`; the store, the replicas, the balancer and the clients are stand-ins in this
process that follow the users' pages (PROTOCOL.md, DEPLOY.md, page-additions.md).
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import itertools
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST_NAME = "ficu95.example"
BEAT_S = 1.2
# Figures of the small deployment `timbook-ie`.
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
    "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
    "rollback_slack_ms": 250, "max_skew_ms": 5000, "retry_budget_ratio": 0.2,
    "budget_window_s": 10, "budget_slack": 58, "recovery_s": 12, "transit_ms": 120,
    "again_s": 5.7, "fencing_required": True, "lease_ms": 3000, "thaw_ms": 300,
}
LIMITS = {
    "max_header_bytes": 16384, "max_body_bytes": 4194304,
    "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
}


class Record:
    """Writes what was sent, answered and run, one JSON object a line."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start = time.monotonic()
        self.rows: list[dict] = []

    def now(self) -> float:
        return round(time.monotonic() - self._start, 4)

    def write(self, kind: str, **fields) -> dict:
        row = {"t": self.now(), "kind": kind, **fields}
        self.rows.append(row)
        self._file.write(json.dumps(row) + "\n")
        return row

    def close(self) -> None:
        self._file.close()


# HTTP/1.1


class Closed(Exception):
    """The peer closed the connection in the middle of a message."""


async def read_head(reader) -> tuple[str, list[tuple[str, str]]] | None:
    """Return start line and header fields; None if the connection ended before a byte."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as exc:
        if exc.partial:
            raise Closed("inside a head") from exc
        return None
    except (ConnectionError, OSError) as exc:
        raise Closed(repr(exc)) from exc
    lines = raw.decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields.append((name.strip().lower(), value.strip()))
    return lines[0], fields


async def read_body(reader, fields: dict[str, str], *, response: bool, sink=None) -> bytes:
    """Return the whole body; *sink* gets each piece as it comes."""
    body = bytearray()

    def add(data: bytes) -> None:
        body.extend(data)
        if sink is not None and data:
            sink(data)

    try:
        if "chunked" in fields.get("transfer-encoding", "").lower():
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                if size:
                    add(await reader.readexactly(size))
                    await reader.readexactly(2)
                else:
                    while await reader.readuntil(b"\r\n") != b"\r\n":
                        pass
                    return bytes(body)
        elif "content-length" in fields:
            left = int(fields["content-length"])
            while left:
                data = await reader.read(min(left, 65536))
                if not data:
                    raise Closed("inside a body")
                left -= len(data)
                add(data)
        elif response:
            while data := await reader.read(65536):
                add(data)
        return bytes(body)
    except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError) as exc:
        raise Closed(repr(exc)) from exc


def head_bytes(status: int, fields, length: int | None) -> bytes:
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in fields]
    lines.append("transfer-encoding: chunked" if length is None else f"content-length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def chunk(data: bytes) -> bytes:
    return b"%x\r\n" % len(data) + data + b"\r\n"


class Server:
    """An HTTP/1.1 server; a subclass handles each request in :meth:`handle`."""

    def __init__(self, ip: str, port: int) -> None:
        self.ip, self.port = ip, port
        self._server = None
        self._tasks: set[asyncio.Task] = set()
        self.writers: set = set()

    @property
    def address(self) -> str:
        return f"{self.ip}:{self.port}"

    async def listen(self) -> None:
        self._server = await asyncio.start_server(
            self._connection, self.ip, self.port, limit=1 << 20, backlog=512
        )

    async def shut(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _connection(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        self.writers.add(writer)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, dict(head[1]), response=False)
                if not await self.handle(method, target, head[1], body, reader, writer):
                    return
        except (Closed, ConnectionError, OSError, asyncio.CancelledError):
            return
        finally:
            self._tasks.discard(task)
            self.writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    async def answer(self, writer, status: int, fields, body: bytes) -> bool:
        writer.write(head_bytes(status, fields, len(body)) + body)
        await writer.drain()
        return True

    async def handle(self, method, target, fields, body, reader, writer) -> bool:
        raise NotImplementedError


# The platform's store


class Store(Server):
    """The platform's metadata store, with an optional header `Store-Era`."""

    def __init__(self, ip: str, port: int, record: Record, era: int | None = None) -> None:
        super().__init__(ip, port)
        self.record = record
        self.era = era
        self.revision = 100
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.oldest = 100
        self.leases: dict[int, tuple[float, float]] = {}
        self._lease_ids = itertools.count(7)
        self._beats: dict[str, float] = {}
        self._changed = asyncio.Event()
        self.silent = False
        self.silent_before = 0.0

    # Writes.

    def _note(self, change: dict) -> None:
        self.history.append(change)
        self._changed.set()
        self._changed = asyncio.Event()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        self.revision += 1
        made = self.items[key]["made"] if key in self.items else self.revision
        item = {"private_key": key, "value": base64.b64encode(value).decode(),
                "revision": self.revision, "made": made, "lease": lease}
        self.items[key] = item
        self._note(item)
        return self.revision

    def put_json(self, key: str, value) -> int:
        return self.put(key, json.dumps(value).encode())

    def remove(self, key: str) -> None:
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self._note({"private_key": key, "revision": self.revision, "gone": True})

    def beat(self, key: str, entry: dict) -> None:
        """A replica's heartbeat: the item changes if more than `sequence` does."""
        self._beats[key] = time.monotonic()
        old = self.items.get(key)
        if old is not None:
            with contextlib.suppress(ValueError):
                before = json.loads(base64.b64decode(old["value"]))
                if isinstance(before, dict) and {**before, "sequence": 0} == {**entry, "sequence": 0}:
                    return
        self.put_json(key, entry)

    def end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def expire(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            if self.silent:
                continue
            now = time.monotonic()
            for lease in [ident for ident, (until, _) in self.leases.items() if until < now]:
                self.end_lease(lease)
            for key in [k for k, at in self._beats.items() if at < now - 3.2 * BEAT_S]:
                del self._beats[key]
                self.remove(key)

    # A drill: an older copy.

    def copy(self) -> dict:
        now = time.monotonic()
        return {"revision": self.revision, "items": {k: dict(v) for k, v in self.items.items()},
                "leases": {k: (until - now, ttl) for k, (until, ttl) in self.leases.items()}}

    def restore(self, copy: dict) -> None:
        self.revision = copy["revision"]
        self.items = {k: dict(v) for k, v in copy["items"].items()}
        now = time.monotonic()
        self.leases = {k: (now + left, ttl) for k, (left, ttl) in copy["leases"].items()}
        self.history = []
        self.oldest = self.revision
        if self.era is not None:
            self.era += 1

    # Calls.

    async def handle(self, method, target, fields, body, reader, writer) -> bool:
        if self.silent:
            # The store is away: this connection says nothing further.
            while await reader.read(65536):
                pass
            return False
        path, _, query_text = target.partition("?")
        query = {}
        for pair in filter(None, query_text.split("&")):
            name, _, value = pair.partition("=")
            query[name] = re.sub(r"%([0-9A-Fa-f]{2})", lambda m: chr(int(m[1], 16)), value)
        await asyncio.sleep(0.004)
        arrived = time.monotonic()
        status, answer = await self._run(method, path, query, body)
        if self.silent or arrived < self.silent_before:
            # The store was away meanwhile: the answer is lost, and the connection says nothing.
            while await reader.read(65536):
                pass
            return False
        head = [("content-type", "application/json")]
        if self.era is not None:
            head.append(("store-era", str(self.era)))
        return await self.answer(writer, status, head, json.dumps(answer).encode())

    async def _run(self, method, path, query, body):
        if path == "/v1/kv-key":
            item = self.items.get(query["private_key"])
            return (200, {**item, "at": self.revision}) if item else (404, {})
        if path == "/v1/kv-range":
            prefix = query["path_prefix"]
            rows = [v for k, v in sorted(self.items.items()) if k.startswith(prefix)]
            return 200, {"items": rows, "more": False, "at": self.revision}
        if path == "/v1/kv-watch":
            return await self._watch(query)
        if path == "/v1/kv-txn":
            return self._txn(json.loads(body))
        if path == "/v1/kv-lease":
            ttl = json.loads(body)["ttl_ms"]
            lease = next(self._lease_ids)
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl / 1000)
            return 200, {"lease": lease, "ttl_ms": ttl}
        name, _, ident = path.rpartition("/")
        lease = int(ident) if ident.isdigit() else 0
        if lease not in self.leases:
            return 404, {}
        if name == "/v1/kv-keep":
            ttl_s = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {"ttl_ms": ttl_s * 1000}
        if name == "/v1/kv-lease-end":
            self.end_lease(lease)
            return 200, {}
        return 404, {}

    async def _watch(self, query):
        after, prefix = int(query["after"]), query["path_prefix"]
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        history = self.history
        while True:
            if after < self.oldest or after > self.revision or history is not self.history:
                return 410, {}
            rows = [c for c in self.history
                    if c["revision"] > after and c["private_key"].startswith(prefix)]
            left = until - time.monotonic()
            if rows or left <= 0:
                return 200, {"events": rows, "at": self.revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    def _txn(self, txn):
        for row in txn["expected_revision"]:
            current = self.items.get(row["private_key"])
            if (current["revision"] if current else 0) != row["revision"]:
                return 412, {"items": [current] if current else []}
        if any(row.get("lease") and row["lease"] not in self.leases for row in txn["put"]):
            return 404, {}
        for row in txn["put"]:
            self.put(row["private_key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in txn["remove"]:
            self.remove(key)
        return 200, {"revision": self.revision}


# Replicas


class Replica(Server):
    """A sound replica: a plain one, or a model engine that reads prompts or decodes.

    Attributes that a script sets: `loses` (share of the runs whose answer is lost: nothing is sent
    and the connection stays open), `late_copies` (share of its answers of which it sends a second
    copy, late).
    """

    EVENT_S = 0.04
    FIRST_S = 0.05
    PREFILL_TOKENS_PER_S = 33333.0

    def __init__(self, world: World, service: str, phase: str, *, slots: int, ip: str, port: int) -> None:
        super().__init__(ip, port)
        self.world, self.record, self.store = world, world.record, world.store
        self.service, self.phase, self.slots = service, phase, slots
        self.ident = f"i-{random.randbytes(4).hex()}"
        self.born = int(time.time() * 1000)
        self.zone = "naas"
        self.version = "7"
        self.state = "ready"
        self.kv_tokens = 37745
        self.loses = 0.0
        self.late_copies = 0.0
        self.late_copy_s = (0.0, 0.0)
        self.running = 0
        self.holds: dict[str, int] = {}
        self.handles: dict[str, int] = {}
        self.fence = 0
        self.orders = 0
        self.busy = False
        self.fencing_required = True
        self._beats = itertools.count(1)
        self._rng = random.Random(self.ident)

    def entry(self) -> dict:
        entry = {"service": self.service, "address": self.address, "zone": self.zone,
                 "version": self.version, "slots": self.slots, "state": self.state,
                 "cold_remaining_ms": 0, "sequence": next(self._beats), "born": self.born}
        if self.phase:
            entry |= {"phase": self.phase, "models": [{"name": "m", "version": 1, "adapters": []}]}
        return entry

    async def heartbeats(self) -> None:
        while True:
            if not self.store.silent:
                self.store.beat(f"servers/{self.ident}", self.entry())
            await asyncio.sleep(BEAT_S * self._rng.uniform(0.9, 1.1))

    @property
    def used(self) -> int:
        return sum(self.holds.values()) + sum(self.handles.values())

    async def handle(self, method, target, fields, body, reader, writer) -> bool:
        head = dict(fields)
        if head.get("x-expect-instance", self.ident) != self.ident:
            return await self.answer(writer, 421, [("x-not-executed", "1")], b"")
        if target.startswith("/v1/") and "x-request-id" not in head:
            status, answer = self._side_call(method, target, body)
            return await self._reply(writer, status, [("content-type", "application/json")],
                                     json.dumps(answer).encode(), what=target)
        return await self._request(method, target, head, body, reader, writer)

    async def _reply(self, writer, status, fields, body: bytes, what: str) -> bool:
        """Send an answer; a faulty replica sends a second copy of it, late."""
        await self.answer(writer, status, fields, body)
        if self.late_copies and self._rng.random() < self.late_copies:
            delay = self._rng.uniform(*self.late_copy_s)
            self.record.write("late_copy", replica=self.ident, of=what, after_s=round(delay, 3))
            task = asyncio.create_task(self._send_later(writer, status, fields, body, delay))
            self.world.keep(task)
        return True

    async def _send_later(self, writer, status, fields, body, delay) -> None:
        await asyncio.sleep(delay)
        with contextlib.suppress(Exception):
            if not writer.is_closing():
                writer.write(head_bytes(status, fields, len(body)) + body)

    def _side_call(self, method, target, body):
        name = target.rpartition("/")[2]
        if target == "/v1/report":
            return 200, {"phase": self.phase, "models": [{"name": "m", "version": 1, "adapters": []}],
                         "busy": self.busy, "sequence": self.orders, "queued": 0,
                         "running": self.running, "kv_used": self.used, "kv_total": self.kv_tokens,
                         "kv_handles": len(self.handles), "state": self.state, "born": self.born}
        if target == "/v1/hold-take":
            ask = json.loads(body)
            if self.phase != "decode" or self.used + ask["tokens"] > self.kv_tokens:
                return 503, {}
            hold = f"k{random.randbytes(5).hex()}"
            self.holds[hold] = ask["tokens"]
            asyncio.get_running_loop().call_later(
                min(2.0, ask["ttl_ms"] / 1000), self.holds.pop, hold, None)
            return 200, {"hold": hold}
        if target.startswith("/v1/hold-drop/"):
            return (200, {}) if self.holds.pop(name, None) is not None else (404, {})
        if target.startswith("/v1/kv-handle/"):
            return (200, {}) if self.handles.pop(name, None) is not None else (404, {})
        if target == "/v1/order":
            return self._order(json.loads(body))
        return 404, {}

    def _order(self, order):
        if any(name not in order for name in ("opcode", "holder", "fencing_token")):
            return 400, {}
        self.record.write("order", replica=self.ident, holder=order["holder"],
                          fence=order["fencing_token"], phase=order.get("phase"))
        if self.fencing_required and order["fencing_token"] < self.fence:
            return 412, {}
        if self.busy or order.get("expected_revision", self.orders) != self.orders:
            return 409, {}
        self.fence = max(self.fence, order["fencing_token"])
        if order["phase"] == self.phase:
            return 200, {}
        self.orders += 1
        self.busy = True
        self.world.keep(asyncio.create_task(self._switch(order["phase"])))
        return 202, {}

    async def _switch(self, phase: str) -> None:
        while self.running:
            await asyncio.sleep(0.05)
        await asyncio.sleep(6.0)
        self.phase, self.busy = phase, False
        if not self.store.silent:
            self.store.beat(f"servers/{self.ident}", self.entry())

    async def _refuse(self, writer, ident: str, status: int, why: str) -> bool:
        self.record.write("turned_away", replica=self.ident, id=ident, status=status, why=why)
        return await self._reply(
            writer, status, [("x-request-id", ident), ("x-not-executed", "1")], b"", what="refusal")

    async def _request(self, method, target, head, body, reader, writer) -> bool:
        ident = head.get("x-request-id", "")
        stage = "prefill" if head.get("x-stage") == "prefill" else ""
        self.record.write("arrival", replica=self.ident, service=self.service, id=ident,
                          target=target, stage=stage, deadline_ms=head.get("x-deadline-ms"))
        if not ident:
            return await self._refuse(writer, ident, 400, "no id")
        if (self.phase == "prefill") != bool(stage):
            return await self._refuse(writer, ident, 421, "wrong stage")
        if self.busy or self.running >= self.slots:
            return await self._refuse(writer, ident, 503, "full")
        deadline = time.monotonic() + int(head.get("x-deadline-ms", "60000")) / 1000
        self.running += 1
        try:
            if stage:
                return await self._prefill(head, ident, writer)
            if self.phase:
                return await self._until_closed(
                    reader, self._decode(head, ident, writer, deadline), ident)
            return await self._until_closed(
                reader, self._plain(target, body, ident, writer, deadline), ident)
        finally:
            self.running -= 1

    async def _until_closed(self, reader, work, ident: str) -> bool:
        """Run *work* until it ends or the caller's connection does: then drop the request."""
        task = asyncio.create_task(work)
        watch = asyncio.create_task(self._closed(reader))
        try:
            await asyncio.wait({task, watch}, return_when=asyncio.FIRST_COMPLETED)
            if task.done():
                return task.result()
            self.record.write("dropped", replica=self.ident, id=ident, why="connection closed")
            return False
        finally:
            for one in (task, watch):
                one.cancel()
            await asyncio.gather(task, watch, return_exceptions=True)

    async def _closed(self, reader) -> None:
        # One request at a time: what arrives meanwhile stays in the reader's buffer.
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.01)

    async def _prefill(self, head, ident, writer) -> bool:
        tokens = int(head["x-token-count"].partition(",")[0])
        await asyncio.sleep(tokens / self.PREFILL_TOKENS_PER_S)
        handle = random.randbytes(6).hex()
        self.handles[handle] = tokens
        asyncio.get_running_loop().call_later(0.5, self.handles.pop, handle, None)
        answer = json.dumps({"kv_handle": handle, "tokens": tokens, "version": 1}).encode()
        return await self._reply(writer, 200, [("content-type", "application/json"),
                                               ("x-request-id", ident)], answer, what="prefill")

    async def _decode(self, head, ident, writer, deadline) -> bool:
        prompt, _, out = head["x-token-count"].partition(",")
        hold = self.holds.pop(head.get("hold", ""), None)
        location = head.get("kv-from", "")
        if location:
            address, _, handle = location.partition("/")
            source = self.world.replica_at(address)
            tokens = source.handles.pop(handle, None) if source is not None else None
            if tokens is None:
                return await self._refuse(writer, ident, 503, "handle is gone")
            await asyncio.sleep(0.003)
        else:
            await asyncio.sleep(2 * int(prompt) / self.PREFILL_TOKENS_PER_S)
        await asyncio.sleep(self.FIRST_S)
        events = min(int(out), 680) // 10 or 1
        # The first token is there: from here the request has run.
        lost = self._rng.random() < self.loses
        self.record.write("run", replica=self.ident, service=self.service, id=ident,
                          held=hold is not None, answer_lost=lost)
        seal = f"{self.ident}.{ident}"
        if not lost:
            writer.write(head_bytes(200, [("content-type", "text/event-stream"),
                                          ("x-request-id", ident), ("x-server-seal", seal)], None))
        for number in range(1, events + 1):
            if time.monotonic() >= deadline:
                self.record.write("stopped", replica=self.ident, id=ident, why="deadline", made=number - 1)
                return False
            if not lost:
                writer.write(chunk(f"id: {number}\ndata: {seal}.{number}\n\n".encode()))
                await writer.drain()
            await asyncio.sleep(self.EVENT_S)
        self.record.write("run_ended", replica=self.ident, id=ident, made=events)
        if lost:
            await asyncio.sleep(3600)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    WORK_S = (0.02, 0.07)

    async def _plain(self, target, body, ident, writer, deadline) -> bool:
        lost = self._rng.random() < self.loses
        self.record.write("run", replica=self.ident, service=self.service, id=ident, answer_lost=lost)
        await asyncio.sleep(self._rng.uniform(*self.WORK_S))
        if lost:
            await asyncio.sleep(3600)
        if time.monotonic() >= deadline:
            return await self._reply(writer, 504, [("x-request-id", ident)], b"", what="504")
        self.record.write("run_ended", replica=self.ident, id=ident)
        seal = f"{self.ident}.{ident}"
        return await self._reply(writer, 200, [("x-request-id", ident), ("x-server-seal", seal)],
                                 f"{seal}:{self.service}".encode().ljust(800, b"x"), what="plain")


# Gateways


def render(text: str, values: dict) -> str:
    """Fill the deploy file's template (the forms of DEPLOY.md that the template uses)."""

    def look_up(name: str):
        value = values
        for part in name.split("."):
            try:
                value = value[int(part)] if isinstance(value, list) else value[part]
            except (KeyError, IndexError, TypeError):
                return None
        return value

    def section(match):
        value = look_up(match[1])
        return match[2] if value not in (None, False, "", [], {}) else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)

    def gap(match):
        value = look_up(match[1])
        if match[2]:
            return json.dumps(value)
        return "" if value is None else str(value).lower() if isinstance(value, bool) else str(value)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", gap, text)


class Gateway:
    """One `frontend` machine with its process, started with the deploy file's command."""

    def __init__(self, world: World, name: str, ip: str) -> None:
        self.world, self.name, self.ip = world, name, ip
        ports = free_ports(ip, 3)
        self.front, self.readiness, self.control = (f"{ip}:{port}" for port in ports)
        self.internal = free_ports(ip, 1)[0]
        self.process: subprocess.Popen | None = None
        self.starts = 0
        self.ends = 0
        self.misses = 0
        self.planned_end = False
        self.log_path = world.folder / f"{name}.log"

    def start(self) -> None:
        role = self.world.deploy["roles"]["gateway"]
        settings = {
            "node": self.name, "role": "gateway", "machine_class": "frontend",
            "serves": ["frontend"], "ip": self.ip, "zone": "naas", "region": "leinster",
            "zones": {"naas": "leinster"},
            "listen": {"front": self.front, "readiness": self.readiness, "control": self.control},
            "internal_ports": [self.internal, self.internal + 15], "seeds": [],
            "bootstrap": self.starts == 0,
            "limits": {"cpu_share": 0.817, "cores": 1, "memory_mb": 150, "max_fds": 4100,
                       "link_mbps": 1000.0, "disk_mb": 0},
            "bounds": self.world.bounds,
            "platform": {"address": self.world.store.address, "form": "kv", "writes_per_s": 400,
                         "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576,
                         "ttl_min_ms": 1000},
        }
        path = self.world.folder / f"{self.name}.toml"
        path.write_text(render((ROOT / role["template"]).read_text(), settings))
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env |= {"CRANKHINGE_CONFIG": str(path), "PYTHONPATH": str(ROOT / "target" / "deps")}
        self.starts += 1
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(), cwd=ROOT, env=env, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL)
        self.world.record.write("gateway_started", gateway=self.name, pid=self.process.pid,
                                start=self.starts)

    async def watch(self) -> None:
        """Start the process again after a short delay when it has ended, as the platform does."""
        while True:
            await asyncio.sleep(0.05)
            if self.process is None or self.process.poll() is None:
                continue
            self.ends += not self.planned_end
            self.world.record.write("gateway_ended", gateway=self.name, by_itself=not self.planned_end,
                                    exit=self.process.returncode)
            self.process = None
            self.planned_end = False
            await asyncio.sleep(0.5)
            self.start()

    async def poll_readiness(self) -> None:
        while True:
            status = 0
            with contextlib.suppress(Exception):
                status = await asyncio.wait_for(self._ready_status(), 0.9)
            self.misses = 0 if status == 200 else self.misses + 1
            await asyncio.sleep(1.0)

    async def _ready_status(self) -> int:
        ip, _, port = self.readiness.rpartition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            writer.write(b"GET /v1/ready HTTP/1.1\r\nhost: x\r\n\r\n")
            head = await read_head(reader)
            return int(head[0].split()[1]) if head else 0
        finally:
            writer.close()

    def log_lines(self, *words: str) -> list[str]:
        if not self.log_path.exists():
            return []
        lines = self.log_path.read_text(errors="replace").splitlines()
        return [line for line in lines if any(word in line for word in words)]


def free_ports(ip: str, count: int) -> list[int]:
    socks = []
    try:
        for _ in range(count):
            sock = socket.socket()
            sock.bind((ip, 0))
            socks.append(sock)
        return [sock.getsockname()[1] for sock in socks]
    finally:
        for sock in socks:
            sock.close()


def free_ip(base: str, number: int) -> str:
    """Return an unused loopback address; the deploy file's metrics port must be free there."""
    ip = f"{base}.{number}"
    sock = socket.socket()
    try:
        sock.bind((ip, 9464))
    finally:
        sock.close()
    return ip


# Clients


class Connection:
    """A client's kept connection to the `front` address of a gateway."""

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self.reader = self.writer = None
        self.requests = 0
        self.usable = True

    async def open(self) -> None:
        ip, _, port = self.gateway.front.rpartition(":")
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(ip, int(port), limit=1 << 20), 1.0)

    def close(self) -> None:
        self.usable = False
        if self.writer is not None:
            with contextlib.suppress(Exception):
                self.writer.close()


class World:
    """The small deployment."""

    def __init__(self, record_path: Path, *, bounds: dict | None = None, era: int | None = None) -> None:
        self.record = Record(record_path)
        self.folder = Path(tempfile.mkdtemp(prefix="crankhinge-review-"))
        self.base = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        self.deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.bounds = {**BOUNDS, **(bounds or {})}
        ip = f"{self.base}.7"
        self.store = Store(ip, free_ports(ip, 1)[0], self.record, era)
        self.gateways: list[Gateway] = []
        self.replicas: list[Replica] = []
        self._tasks: set[asyncio.Task] = set()
        self._numbers = itertools.count(1)
        self.tag = random.randbytes(4).hex()
        self.trouble = os.environ.get("TROUBLE", "1") != "0"

    def keep(self, task: asyncio.Task) -> asyncio.Task:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def spawn(self, coro) -> asyncio.Task:
        return self.keep(asyncio.create_task(coro))

    def replica_at(self, address: str) -> Replica | None:
        return next((r for r in self.replicas if r.address == address), None)

    def new_id(self) -> str:
        return f"{self.tag}{next(self._numbers):08x}"

    async def start_store(self) -> None:
        await self.store.listen()
        self.spawn(self.store.expire())

    async def add_replica(self, service: str, phase: str = "", *, slots: int) -> Replica:
        ip = f"{self.base}.{100 + len(self.replicas)}"
        replica = Replica(self, service, phase, slots=slots, ip=ip, port=free_ports(ip, 1)[0])
        await replica.listen()
        self.replicas.append(replica)
        self.spawn(replica.heartbeats())
        self.record.write("replica", id=replica.ident, service=service, phase=phase,
                          address=replica.address)
        return replica

    def add_gateway(self) -> Gateway:
        number = len(self.gateways) + 1
        gateway = Gateway(self, f"frontend-naas-{number}", free_ip(self.base, 10 + number))
        self.gateways.append(gateway)
        gateway.start()
        self.spawn(gateway.watch())
        self.spawn(gateway.poll_readiness())
        return gateway

    def publish(self, config: dict) -> None:
        """The operator writes a configuration; the store's answer is its acknowledgement."""
        revision = self.store.put_json("op/config", config)
        self.record.write("config_acknowledged", version=config["version"], revision=revision)

    async def wait_ready(self, timeout_s: float = 20.0) -> bool:
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            with contextlib.suppress(Exception):
                states = [await asyncio.wait_for(g._ready_status(), 1.0) for g in self.gateways]
                if all(state == 200 for state in states):
                    return True
            await asyncio.sleep(0.2)
        return False

    def pick_gateway(self, rng: random.Random) -> Gateway:
        """The balancer's choice for a new connection."""
        inside = [g for g in self.gateways if g.misses < 2]
        return rng.choice(inside if 2 * len(inside) >= len(self.gateways) else self.gateways)

    async def request(self, conn: Connection, method: str, target: str, *, ident: str = "",
                      fields: dict | None = None, body: bytes = b"", deadline_ms: int = 14000,
                      what: str = "") -> dict:
        """Send one client attempt on a connection and record how it ended."""
        ident = ident or self.new_id()
        conn.requests += 1
        kept = conn.requests > 1
        sent = self.record.write("sent", id=ident, gateway=conn.gateway.name, what=what,
                                 target=target, kept=kept, deadline_ms=deadline_ms)
        seen = {"id": ident, "gateway": conn.gateway.name, "what": what, "kept": kept,
                "sent_at": sent["t"], "status": 0, "seal": None, "complete": False, "bytes": 0,
                "answer_id": None, "retry_after": None, "end": ""}
        got = bytearray()

        async def exchange() -> None:
            lines = [f"{method} {target} HTTP/1.1", f"host: {HOST_NAME}", f"x-request-id: {ident}",
                     f"x-deadline-ms: {deadline_ms}", f"content-length: {len(body)}"]
            lines += [f"{name}: {value}" for name, value in (fields or {}).items()]
            conn.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await conn.writer.drain()
            head = await read_head(conn.reader)
            if head is None:
                raise Closed("no answer")
            found = dict(head[1])
            seen["status"] = int(head[0].split()[1])
            seen["seal"] = found.get("x-server-seal")
            seen["answer_id"] = found.get("x-request-id")
            seen["retry_after"] = found.get("retry-after")
            await read_body(conn.reader, found, response=True, sink=got.extend)
            seen["complete"] = True
            if "close" in found.get("connection", "").lower():
                conn.usable = False

        try:
            await asyncio.wait_for(exchange(), deadline_ms / 1000 + 0.05)
        except asyncio.TimeoutError:
            seen["end"] = "client gave up at its deadline"
            conn.close()
        except (Closed, ConnectionError, OSError) as exc:
            seen["end"] = f"connection closed: {exc}"
            conn.close()
        seen["bytes"] = len(got)
        self.record.write("answered", **{k: v for k, v in seen.items() if k != "sent_at"},
                          start=bytes(got[:80]).decode("latin-1"))
        seen["body"] = bytes(got)
        seen["ended_at"] = self.record.now()
        return seen

    async def close(self) -> None:
        for gateway in self.gateways:
            gateway.planned_end = True
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for gateway in self.gateways:
            if gateway.process is not None and gateway.process.poll() is None:
                gateway.process.kill()
                gateway.process.wait()
        for server in [self.store, *self.replicas]:
            await server.shut()
        self.record.close()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name: str, prefix: str, kind: str, service: str, **more) -> dict:
    return {"name": name, "host": HOST_NAME, "path_prefix": prefix, "kind": kind,
            "service": service, "timeout_ms": 4000, "target_latency_ms": 900, "priority": 1,
            "max_attempts": 1, **more}


ENGINE = {"slots": 64, "kv_tokens": 37745, "stride": 10, "handle_ttl_s": 0.5, "hold_ms": 2000.0,
          "kv_token_bytes": 35136.0, "link_mbps": 1100000.0}


def config(version: int, routes: list[dict], services: list[dict]) -> dict:
    return {"version": version, "routes": routes, "services": services, "limits": LIMITS}


def run_case(main, record_path: Path, **world_options) -> int:
    """Run `main(world)`; return 1 if it says that the rule was broken, 0 if not, 2 on a failure."""

    async def whole() -> int:
        world = World(record_path, **world_options)
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(115):
                broken = await main(world)
            world.record.write("verdict", trouble=world.trouble, broken=broken)
            return 1 if broken else 0
        except (Exception, asyncio.CancelledError) as exc:
            world.record.write("could_not_run", why=repr(exc))
            print(f"could not run: {exc!r}", file=sys.stderr)
            return 2
        finally:
            await world.close()

    return asyncio.run(whole())
