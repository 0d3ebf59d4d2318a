"""A backend server of the users' platform: a plain service, or an engine that reads or writes.

It enters itself in the store, serves what the platform's pages publish, and records every arrival
and run in a file that outlives it, for a checker to read.
"""

from __future__ import annotations

import itertools
import random
import secrets
import signal
import zlib
from types import FrameType
from typing import Any

import curio
import msgspec

from crankhinge.errors import BadHttp, HttpClosed, KeyValueUnavailable
from crankhinge.http import Exchange, HttpClient, HttpRequest
from crankhinge_standins._replica_state import KvMemory, ReplicaFaults
from crankhinge_standins._web import Recorder, reply, serve

# Tokens of memory of an engine, and requests at once of any replica.
KV_TOKENS = 12000
SLOTS = 8
# Seconds: work of a plain call, at most; reading of a token; between two events of a stream.
WORK_S = 0.05
READ_TOKEN_S = 0.00003
EVENT_S = 0.02
# Seconds that the memory of a prompt that was read is kept for whoever fetches it.
HANDLE_S = 0.5
# Seconds that an engine needs for another part, once its runs have ended.
SWITCH_S = 1.0
# Seconds that a replica serves on after the store took its word that it leaves, and longer by up
# to the second figure.
DRAIN_S = 2.0
LINGER_S = 1.5
SIDE_CALL_S = 1.0
# Seconds between looks whether SIGTERM has come.
LOOK_S = 0.05
# Status of a refusal for want of room.
FULL = 503
ORDER_FIELDS = ("opcode", "holder", "fencing_token")


def make_events(ident: str) -> list[bytes]:
    """Return the events that answer the request *ident*, wherever it runs."""
    count = 5 + zlib.crc32(ident.encode()) % 20
    return [
        b"id: %d\ndata: %08x\n\n" % (n, zlib.crc32(f"{ident}:{n}".encode()))
        for n in range(1, count + 1)
    ]


def make_body(ident: str) -> bytes:
    """Return the body that answers the plain request *ident*, wherever it runs."""
    seed = zlib.crc32(ident.encode())
    return f"{ident}:{seed:08x}:".encode() + b"x" * (seed % 3000)


class StandinReplica:
    """One life of a replica.

    Args:
        host: address.
        port: TCP port.
        shown: ``host:port`` under which others reach it.
        service: what it serves.
        phase: ``prefill`` or ``decode``; empty for a plain service.
        store: ``host:port`` of the store.
        record: file for what arrived and ran.
        beat_s: seconds between heartbeats.
        place: name of where it runs, the same for each life there.
        silent_leave: whether its entry goes without a word that it leaves.
        log: for unexpected failures.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        shown: str,
        service: str,
        phase: str,
        store: str,
        record: str,
        beat_s: float,
        silent_leave: bool,
        place: str,
        log: Any,
    ) -> None:
        self.ident = f"i-{secrets.token_hex(4)}"
        self.faults = ReplicaFaults()
        self._host, self._port, self._shown = host, port, shown
        self._service, self._phase = service, phase
        store_host, _, store_port = store.rpartition(":")
        self._store = HttpClient(store_host, int(store_port))
        self._recorder = Recorder(record)
        self._beat_s = beat_s
        self._silent_leave = silent_leave
        self._place = place
        self._log = log
        self._memory = KvMemory()
        self._rng = random.Random(self.ident)
        self._leaving = False
        self._switching = False
        self._beats = itertools.count(1)
        self._names = itertools.count(1)
        self._orders = 0
        self._fence = 0
        self._running = 0

    async def run(self) -> None:
        """Serve until SIGTERM and the time to leave."""
        self._recorder.write(kind="born", server=self.ident, place=self._place)
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(serve, self._host, self._port, self._handle, self.faults, self._log)
            await group.spawn(self._keep_entry)
            await group.spawn(self._leave)

    async def _keep_entry(self) -> None:
        while True:
            if not (self._leaving and self._silent_leave):
                await self._enter()
            await curio.sleep(self._beat_s * self._rng.uniform(0.9, 1.1))

    async def _enter(self) -> bool:
        """Write the entry; returns whether the store has taken it."""
        entry: dict[str, Any] = {
            "service": self._service,
            "address": self._shown,
            "zone": "z1",
            "slots": SLOTS,
            "state": "draining" if self._leaving else "ready",
            "sequence": next(self._beats),
        }
        if self._phase:
            entry["phase"] = self._phase
            entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
        return await self._write_entry(msgspec.json.encode(entry))

    async def _write_entry(self, body: bytes) -> bool:
        target = f"/v1/kv-key?private_key=servers/{self.ident}"
        try:
            resp = await curio.timeout_after(
                SIDE_CALL_S, lambda: self._store.call("PUT", target, body=body, fresh=True)
            )
        except (HttpClosed, BadHttp, KeyValueUnavailable, curio.TaskTimeout) as exc:
            self._log.info("entry_not_written", why=repr(exc))
            return False
        return bool(resp.status == 200)

    async def _leave(self) -> None:
        """Wait for SIGTERM, say so in the store, serve on for a while."""
        signal.signal(signal.SIGTERM, self._on_term)
        while not self._leaving:
            await curio.sleep(LOOK_S)
        taken = self._gone if self._silent_leave else self._enter
        while not await taken():
            await curio.sleep(SIDE_CALL_S / 4)
        self._recorder.write(kind="leaves", server=self.ident)
        await curio.sleep(DRAIN_S + self._rng.uniform(0.0, LINGER_S))
        await self._gone()
        self._recorder.write(kind="left", server=self.ident, running=self._running)

    def _on_term(self, _signum: int, _frame: FrameType | None) -> None:
        self._leaving = True

    async def _gone(self) -> bool:
        return await self._write_entry(b"")

    async def _handle(self, exchange: Exchange) -> None:
        req = exchange.req
        if req.path == "/held":
            await reply(exchange, {"held": self._memory.used, "running": self._running})
            return
        if req.headers.get("x-expect-instance", self.ident) != self.ident:
            await exchange.respond_as_is(421, [("x-instance-id", self.ident)], b"")
        elif req.path.startswith("/v1/"):
            await self._side(exchange)
        else:
            await self._take(exchange)

    async def _take(self, exchange: Exchange) -> None:
        """Run a request, or refuse it before it runs."""
        req = exchange.req
        ident = req.headers["x-request-id"]
        self._recorder.write(
            kind="arrival",
            server=self.ident,
            request=ident,
            path=req.path,
            leaving=self._leaving,
            account=req.headers.get("x-tenant", ""),
            key=req.headers.get("authorization", ""),
            limit=self.faults.limit,
        )
        reading = req.headers.get("x-stage") == "prefill"
        fits = (self._phase == "prefill") == reading
        full = self._running >= SLOTS or self._switching or self._by_chance(self.faults.refuses)
        if not fits or full:
            await self._refuse(exchange, FULL if fits else 421)
            return
        self._running += 1
        try:
            if reading:
                await self._read(exchange)
            elif self._phase:
                await self._write(exchange)
            else:
                await self._work(exchange)
        finally:
            self._running -= 1

    def _by_chance(self, share: float) -> bool:
        return self._rng.random() < share

    def _ran(self, req: HttpRequest) -> str:
        ident = req.headers["x-request-id"]
        after = req.headers.get("last-event-id", "")
        self._recorder.write(
            kind="run", server=self.ident, service=self._service, request=ident, after=after
        )
        return ident

    def _head(self, ident: str) -> list[tuple[str, str]]:
        seal = ("x-server-seal", f"{self.ident}.{ident}")
        return [("x-request-id", ident), seal, *self._words(ident)]

    def _words(self, ident: str, rest_s: float = 0.0) -> list[tuple[str, str]]:
        """Return the fields in which it says of itself what it has to say, and record them."""
        fields = []
        if self.faults.limit:
            fields.append(("server-limit", self.faults.limit))
        if self._leaving and not self._silent_leave:
            fields.append(("server-leaving", "1"))
        if rest_s:
            fields.append(("retry-after", f"{rest_s:g}"))
        if self._leaving or rest_s:
            self._recorder.write(
                kind="told",
                server=self.ident,
                request=ident,
                leaving=self._leaving and not self._silent_leave,
                rest_s=rest_s,
            )
        return fields

    async def _refuse(self, exchange: Exchange, status: int) -> None:
        ident = exchange.req.headers["x-request-id"]
        head = [("x-request-id", ident), ("x-not-executed", "1"), ("x-instance-id", self.ident)]
        rest_s = self.faults.rest_s if status == FULL else 0.0
        await exchange.respond_as_is(status, head + self._words(ident, rest_s), b"")

    async def _work(self, exchange: Exchange) -> None:
        ident = self._ran(exchange.req)
        await curio.sleep(WORK_S * self._rng.random() * self.faults.slow)
        if self._by_chance(self.faults.resets):
            raise HttpClosed("lost on purpose")
        if self._by_chance(self.faults.errors):
            await exchange.respond_as_is(500, self._head(ident), b"failed")
            return
        body = make_body(ident)
        if self._by_chance(self.faults.garbles):
            length = ("content-length", str(len(body)))
            await exchange.start_as_is(200, [*self._head(ident), length])
            await exchange.write(body[: len(body) // 2])
            raise HttpClosed("broken off on purpose")
        await exchange.respond_as_is(200, self._head(ident), body)

    async def _read(self, exchange: Exchange) -> None:
        tokens = int(exchange.req.headers["x-token-count"].partition(",")[0])
        await curio.sleep(tokens * READ_TOKEN_S * self.faults.slow)
        handle = f"h{next(self._names)}"
        self._memory.handles[handle] = tokens
        await curio.spawn(self._lapse, self._memory.handles, handle, HANDLE_S, daemon=True)
        body = msgspec.json.encode({"kv_handle": handle, "tokens": tokens, "version": 1})
        ident = exchange.req.headers["x-request-id"]
        await exchange.respond_as_is(200, [("x-request-id", ident), *self._words(ident)], body)

    async def _lapse(self, tied: dict[str, int], name: str, after_s: float) -> None:
        await curio.sleep(after_s)
        tied.pop(name, None)

    async def _write(self, exchange: Exchange) -> None:
        """Write an answer, in memory that a reservation may have set aside."""
        req = exchange.req
        prompt, _, most = req.headers["x-token-count"].partition(",")
        tokens = int(prompt) + int(most)
        run = f"r{next(self._names)}"
        held = self._memory.holds.pop(req.headers.get("hold", ""), 0)
        if self._memory.used + max(tokens, held) > KV_TOKENS:
            await self._refuse(exchange, FULL)
            return
        self._memory.runs[run] = max(tokens, held)
        try:
            if "kv-from" in req.headers and not await self._fetch(req.headers["kv-from"]):
                await self._refuse(exchange, FULL)
                return
            if "kv-from" not in req.headers:
                await curio.sleep(int(prompt) * READ_TOKEN_S * 2 * self.faults.slow)
            ident = self._ran(req)
            async with curio.TaskGroup(wait=any) as group:
                writer = await group.spawn(self._stream, exchange, ident)
                await group.spawn(exchange.wait_gone)
            if group.completed is not writer or not writer.result:
                raise HttpClosed("the caller has gone or the answer was broken off")
        finally:
            del self._memory.runs[run]

    async def _fetch(self, at: str) -> bool:
        """Take the memory of a prompt from where it was read."""
        where, _, handle = at.partition("/")
        host, _, port = where.rpartition(":")
        client = HttpClient(host, int(port))
        try:
            resp = await curio.timeout_after(
                SIDE_CALL_S, lambda: client.call("DELETE", f"/v1/kv-handle/{handle}", fresh=True)
            )
        except (HttpClosed, BadHttp, curio.TaskTimeout):
            return False
        finally:
            await client.close()
        return bool(resp.status == 200)

    async def _stream(self, exchange: Exchange, ident: str) -> bool:
        """Send the events that the caller has not; returns whether it has them all.

        The kernel reports tasks that raise, so a caller that has gone is a result, too.
        """
        try:
            return await self._send_events(exchange, ident)
        except HttpClosed:
            return False

    async def _send_events(self, exchange: Exchange, ident: str) -> bool:
        events = make_events(ident)
        begin = int(exchange.req.headers.get("last-event-id") or "0")
        await exchange.start_as_is(200, self._head(ident))
        broken_at = self._rng.randrange(len(events)) if self._by_chance(self.faults.garbles) else -1
        for number, event in enumerate(events[begin:], start=begin):
            await curio.sleep(EVENT_S * self.faults.slow)
            if number == broken_at:
                await exchange.write(event[: len(event) // 2])
                return False
            await exchange.write(event)
        await exchange.finish()
        return True

    async def _side(self, exchange: Exchange) -> None:
        req = exchange.req
        name = req.path.rpartition("/")[2]
        if req.path == "/v1/hold-take":
            await self._reserve(exchange, msgspec.json.decode(req.body))
        elif req.path.startswith("/v1/hold-drop/"):
            self._memory.holds.pop(name, None)
            await reply(exchange, {})
        elif req.path.startswith("/v1/kv-handle/"):
            known = self._memory.handles.pop(name, None) is not None
            await reply(exchange, {}, 200 if known else 404)
        elif req.path == "/v1/report":
            report = {"phase": self._phase, "sequence": self._orders, "busy": self._switching}
            await reply(exchange, {**report, "kv_used": self._memory.used})
        elif req.path == "/v1/order":
            await self._order(exchange, msgspec.json.decode(req.body))
        else:
            await reply(exchange, {}, 404)

    async def _reserve(self, exchange: Exchange, ask: dict[str, Any]) -> None:
        if self._phase != "decode" or self._memory.used + ask["tokens"] > KV_TOKENS:
            await reply(exchange, {}, 503)
            return
        hold = f"k{next(self._names)}"
        self._memory.holds[hold] = ask["tokens"]
        lapse_s = ask["ttl_ms"] / 1000
        await curio.spawn(self._lapse, self._memory.holds, hold, lapse_s, daemon=True)
        await reply(exchange, {"hold": hold})

    async def _order(self, exchange: Exchange, order: dict[str, Any]) -> None:
        status = self._order_status(order)
        told = {name: order.get(name) for name in ORDER_FIELDS}
        self._recorder.write(kind="order", server=self.ident, status=status, **told)
        if status == 202:
            self._orders += 1
            self._fence = order["fencing_token"]
            self._switching = True
            await curio.spawn(self._switch, order["phase"], daemon=True)
        await reply(exchange, {}, status)

    def _order_status(self, order: dict[str, Any]) -> int:
        if any(name not in order for name in ORDER_FIELDS):
            return 400
        if order["fencing_token"] < self._fence:
            return 412
        if self._switching or order.get("expected_revision", self._orders) != self._orders:
            return 409
        return 200 if order["phase"] == self._phase else 202

    async def _switch(self, phase: str) -> None:
        while self._running:
            await curio.sleep(EVENT_S)
        await curio.sleep(SWITCH_S)
        self._phase = phase
        self._switching = False
        await self._enter()
