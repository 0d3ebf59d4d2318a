"""A stand-in backend server of the users' platform: a plain service, a prefill or a decode engine.

The server registers itself in the store and speaks the platform's published interface. It records
every arrival and run in a file that remains when the process is killed, for the checker to read.
"""

from __future__ import annotations

import itertools
import os
import random
import secrets
import signal
import time
import zlib
from types import FrameType
from typing import Any, NoReturn

import curio
import msgspec

from crankhinge.errors import BadHttp, HttpClosed, KeyValueUnavailable
from crankhinge.http import Exchange, HttpClient, HttpRequest
from crankhinge_standins._replica_moves import (
    COPY_PATH,
    DROP_PATH,
    USE_PATH,
    DecodeRun,
    RunMoves,
)
from crankhinge_standins._replica_state import KvMemory, ReplicaFaults
from crankhinge_standins._web import Recorder, UnframedResponse, reply, serve

# KV memory of an engine in tokens, and maximum number of requests in progress on any server.
MAX_KV_TOKENS = 12000
SLOTS = 8
# Prefix of the ids of plain requests with a large response, and its size.
LARGE_BODY_PREFIX, LARGE_BODY_BYTES = "large-", 8_000_000
# Maximum duration of a plain call, in seconds.
MAX_WORK_S = 0.05
ENDLESS_PIECE = b"x" * 65536
ENDLESS_HEADS = b"HTTP/1.1 103 Early Hints\r\n\r\n" * 2340
# Where endless bytes come; the last one only in a stream.
ENDLESS_PLACES = ("status-line", "field", "informational", "framing", "event")
# Seconds to prefill one token.
PREFILL_TOKEN_S = 0.00003
# Seconds between two events of a stream.
EVENT_INTERVAL_S = 0.02
# Seconds for which the KV cache of a prompt is kept until another engine fetches it.
KV_HANDLE_TTL_S = 0.5
# Seconds that an engine needs to switch its role once its requests have ended.
ROLE_SWITCH_S = 1.0
# Seconds for which a server still serves after the store has confirmed the announcement of its
# shutdown, and the maximum random addition to them.
DRAIN_S = 2.0
MAX_EXTRA_DRAIN_S = 1.5
SIDE_CALL_TIMEOUT_S = 1.0
# Seconds between checks of whether SIGTERM has arrived.
SIGTERM_POLL_S = 0.05
# Status of a refusal for lack of capacity.
NO_CAPACITY_STATUS = 503
DEFAULT_VERSION = "v1"
# Prefix of the ids of parts of prompts on which an engine crashes when it begins to write.
CRASH_PART_PREFIX = "dead"
ORDER_FIELDS = ("opcode", "holder", "fencing_token")


def make_events(ident: str, version: str = DEFAULT_VERSION) -> list[bytes]:
    """Return the events of the response to the stream request *ident*.

    They are equal on all servers of a software version; their number is the same at any version.
    """
    count = 5 + zlib.crc32(ident.encode()) % 20
    return [
        b"id: %d\ndata: %08x\n\n" % (n, zlib.crc32(f"{version}:{ident}:{n}".encode()))
        for n in range(1, count + 1)
    ]


def find_crash_part(req: HttpRequest) -> str:
    """Return the part of a request's prompt on which engines crash; empty if there is none.

    The last part is the request's own and crashes no engine.
    """
    names = req.headers.get("x-prompt-prefix", "").split(",")[:-1]
    parts = [name.partition(":")[0] for name in names]
    return next((part for part in parts if part.startswith(CRASH_PART_PREFIX)), "")


def make_body(ident: str) -> bytes:
    """Return the body of the response to the plain request *ident*, equal on all servers."""
    if ident.startswith(LARGE_BODY_PREFIX):
        return b"x" * LARGE_BODY_BYTES
    seed = zlib.crc32(ident.encode())
    return f"{ident}:{seed:08x}:".encode() + b"x" * (seed % 3000)


class StandinReplica:
    """One incarnation of a backend server.

    Each row in the file of records has one of these kinds: ``born`` (start of the server),
    ``arrival`` (of a request), ``run`` (start of a run), ``continued`` (a moved run goes on here),
    ``crashed`` (a part of a prompt ended the process), ``ended`` (a decode engine's run has ended,
    or was stopped to be moved), ``told`` (response with a leaving or backoff signal), ``order`` (to
    change the role), ``leaves`` (shutdown announced) and ``left`` (drain over).

    Args:
        host: address to listen on.
        port: TCP port to listen on.
        shown: ``host:port`` that the server's entry in the store shows, at which others reach it.
        service: name of the service.
        phase: initial engine role, ``prefill`` or ``decode``; empty for a plain service.
        store: ``host:port`` of the store.
        record: file for arrivals and runs; empty to record nothing.
        beat_s: seconds between heartbeats.
        silent_leave: whether the server removes its entry at SIGTERM without announcing its
            shutdown.
        place: name of the place where the server runs, the same for each incarnation there.
        version: version of its software, in its entry.
        event_s: seconds between two events of a stream.
        ident: its id; a new one by default. A server that starts again may keep its id.
        log: log for unexpected failures.
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
        version: str = DEFAULT_VERSION,
        event_s: float = EVENT_INTERVAL_S,
        ident: str = "",
    ) -> None:
        self.ident = ident or f"i-{secrets.token_hex(4)}"
        self._born_ms = time.time_ns() // 1_000_000
        self.faults = ReplicaFaults()
        self._host, self._port, self._advertised_address = host, port, shown
        self._service, self._role = service, phase
        store_host, _, store_port = store.rpartition(":")
        self._store = HttpClient(store_host, int(store_port))
        self._recorder = Recorder(record)
        self._heartbeat_s = beat_s
        self._silent_leave = silent_leave
        self._place = place
        self._event_s = event_s
        self.version = version
        self._log = log
        self._memory = KvMemory()
        self._moves = RunMoves(self._memory, KV_HANDLE_TTL_S)
        self._rng = random.Random(self.ident)
        # Copies of responses that are still to be sent, by connection.
        self._copies: dict[int, bytes] = {}
        self._leaving = False
        self._leaves_at: float | None = None
        self._switching_role = False
        self._heartbeat_numbers = itertools.count(1)
        self._id_numbers = itertools.count(1)
        self._order_count = 0
        self._fencing_token = 0
        self._running = 0

    async def run(self) -> None:
        """Serve until SIGTERM has arrived and the drain is over."""
        self._recorder.write(
            kind="born", server=self.ident, place=self._place, version=self.version
        )
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(serve, self._host, self._port, self._handle, self.faults, self._log)
            await group.spawn(self._refresh_entry)
            await group.spawn(self._drain_on_sigterm)

    async def _refresh_entry(self) -> None:
        while True:
            if not (self._leaving and self._silent_leave):
                await self._write_entry()
            await curio.sleep(self._heartbeat_s * self._rng.uniform(0.9, 1.1))

    async def _write_entry(self) -> bool:
        """Write the server's entry to the store; return whether the store confirmed the write."""
        entry: dict[str, Any] = {
            "service": self._service,
            "address": self._advertised_address,
            "zone": "z1",
            "version": self.version,
            "slots": SLOTS,
            "state": "draining" if self._leaving else "ready",
            "sequence": next(self._heartbeat_numbers),
            "born": self._born_ms,
        }
        if self._role:
            entry["phase"] = self._role
            entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
        return await self._put_entry(msgspec.json.encode(entry))

    async def _put_entry(self, body: bytes) -> bool:
        target = f"/v1/kv-key?private_key=servers/{self.ident}"
        try:
            resp = await curio.timeout_after(
                SIDE_CALL_TIMEOUT_S,
                lambda: self._store.call("PUT", target, body=body, new_connection=True),
            )
        except (HttpClosed, BadHttp, KeyValueUnavailable, curio.TaskTimeout) as exc:
            self._log.info("entry_not_written", why=repr(exc))
            return False
        return bool(resp.status == 200)

    async def _drain_on_sigterm(self) -> None:
        """Wait for SIGTERM, announce the shutdown in the store, and serve on for the drain."""
        signal.signal(signal.SIGTERM, self._on_sigterm)
        while not self._leaving:
            await curio.sleep(SIGTERM_POLL_S)
        announce = self._remove_entry if self._silent_leave else self._write_entry
        while not await announce():
            await curio.sleep(SIDE_CALL_TIMEOUT_S / 4)
        self._recorder.write(kind="leaves", server=self.ident)
        drain_s = DRAIN_S + self._rng.uniform(0.0, MAX_EXTRA_DRAIN_S)
        self._leaves_at = await curio.clock() + drain_s
        await curio.sleep(drain_s)
        await self._remove_entry()
        self._recorder.write(kind="left", server=self.ident, running=self._running)

    def _on_sigterm(self, _signum: int, _frame: FrameType | None) -> None:
        self._leaving = True

    async def _remove_entry(self) -> bool:
        return await self._put_entry(b"")

    async def _handle(self, exchange: Exchange) -> None:
        req = exchange.req
        if req.path == "/held":
            await reply(exchange, {"held": self._memory.used, "running": self._running})
            return
        copy = self._copies.pop(exchange.connection_key, b"")
        # A new connection may have the number of one that was closed before its copy was sent.
        if copy and exchange.connection_reused:
            await exchange.write_raw(copy)
        if req.headers.get("x-expect-instance", self.ident) != self.ident:
            id_field = ("x-request-id", req.headers.get("x-request-id", ""))
            fields = [id_field, ("x-instance-id", self.ident)]
            await exchange.respond_with_fields(421, fields, b"")
        elif req.path.startswith("/v1/"):
            await self._handle_side_call(exchange)
        elif req.path.startswith("/engines/"):
            await self._handle_engine_call(exchange)
        else:
            await self._run_or_refuse(exchange)

    async def _run_or_refuse(self, exchange: Exchange) -> None:
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
            crash_part=find_crash_part(req),
        )
        is_prefill = req.headers.get("x-stage") == "prefill"
        role_fits = (self._role == "prefill") == is_prefill
        # The copy of a run and a reservation occupy a slot, which the run takes over.
        is_copied = req.headers.get("kv-from", "") in self._memory.copies
        is_held = req.headers.get("hold", "") in self._memory.holds
        full = (
            self._free_slots + is_copied + is_held <= 0
            or self._switching_role
            or self._by_chance(self.faults.refuses)
        )
        if not role_fits or full:
            await self._refuse(exchange, NO_CAPACITY_STATUS if role_fits else 421)
            return
        self._running += 1
        try:
            if is_prefill:
                await self._run_prefill(exchange)
            elif self._role:
                await self._run_decode(exchange)
            else:
                await self._run_plain(exchange)
        finally:
            self._running -= 1

    @property
    def _free_slots(self) -> int:
        taken = self._running + len(self._memory.copies) + len(self._memory.holds)
        return SLOTS - taken

    def _by_chance(self, share: float) -> bool:
        """Return True with the probability *share*, and False otherwise."""
        return self._rng.random() < share

    def _record_run(self, req: HttpRequest, kind: str = "run") -> str:
        ident = req.headers["x-request-id"]
        after = req.headers.get("last-event-id", "")
        self._recorder.write(
            kind=kind, server=self.ident, service=self._service, request=ident, after=after
        )
        return ident

    def _make_response_fields(self, ident: str) -> list[tuple[str, str]]:
        seal = ("x-server-seal", f"{self.ident}.{ident}")
        return [("x-request-id", ident), seal, *self._make_signal_fields(ident)]

    def _make_signal_fields(self, ident: str, rest_s: float = 0.0) -> list[tuple[str, str]]:
        """Return the header fields with the server's signals to its callers.

        The fields advertise a limit, announce the shutdown and ask for a backoff of *rest_s*
        seconds. The announcement and the backoff are also recorded.
        """
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
        rest_s = self.faults.rest_s if status == NO_CAPACITY_STATUS else 0.0
        await exchange.respond_with_fields(
            status, head + self._make_signal_fields(ident, rest_s), b""
        )
        self._keep_copy(exchange, status, b"", ident, not_executed=True)

    async def _reply(self, exchange: Exchange, value: Any, status: int = 200) -> None:
        """Send a response, and perhaps keep a copy that is sent before the next one."""
        await reply(exchange, value, status)
        request_id = exchange.req.headers.get("x-request-id", "")
        self._keep_copy(exchange, status, msgspec.json.encode(value), request_id)

    def _keep_copy(
        self,
        exchange: Exchange,
        status: int,
        body: bytes,
        request_id: str,
        *,
        not_executed: bool = False,
    ) -> None:
        if self._by_chance(self.faults.copies):
            fields = f"x-request-id: {request_id}\r\n" if request_id else ""
            fields += "x-not-executed: 1\r\n" if not_executed else ""
            head = f"HTTP/1.1 {status} X\r\n{fields}content-length: {len(body)}\r\n\r\n"
            self._copies[exchange.connection_key] = head.encode() + body

    async def _send_nothing(self, exchange: Exchange) -> None:
        """Send no response until the connection is closed."""
        await exchange.wait_for_disconnect()
        raise HttpClosed("response lost on purpose")

    async def _send_endless(self, exchange: Exchange, ident: str) -> None:
        """Send the beginning of a response, or none, and then bytes until the connection closes.

        None of them is a part of a body that can be passed on.
        """
        lines = "".join(f"{k}: {v}\r\n" for k, v in self._make_response_fields(ident))
        head = f"HTTP/1.1 200 OK\r\n{lines}".encode()
        beginnings = {
            "status-line": b"",
            "field": head + b"x-long: ",
            "informational": b"",
            "framing": head + b"transfer-encoding: chunked\r\n\r\n1;",
            "event": head + b"content-type: text/event-stream\r\n\r\nid: 1\ndata: ",
        }
        places = ENDLESS_PLACES if self._role else ENDLESS_PLACES[:-1]
        place = self.faults.endless_in or self._rng.choice(places)
        await exchange.write_raw(beginnings[place])
        piece = ENDLESS_HEADS if place == "informational" else ENDLESS_PIECE
        while True:
            await exchange.write_raw(piece)

    async def _send_unstated(self, exchange: Exchange, ident: str) -> None:
        """Answer a run with a status that promises the opposite, but without the field for it."""
        fields = self._make_response_fields(ident)
        await exchange.respond_with_fields(NO_CAPACITY_STATUS, fields, b"failed")

    async def _run_plain(self, exchange: Exchange) -> None:
        ident = self._record_run(exchange.req)
        await curio.sleep(MAX_WORK_S * self._rng.random() * self.faults.slow)
        if self._by_chance(self.faults.loses):
            await self._send_nothing(exchange)
        if self._by_chance(self.faults.endless):
            await self._send_endless(exchange, ident)
        if self._by_chance(self.faults.resets):
            raise HttpClosed("response lost on purpose")
        if self._by_chance(self.faults.errors):
            await exchange.respond_with_fields(500, self._make_response_fields(ident), b"failed")
            return
        if self._by_chance(self.faults.unstated):
            await self._send_unstated(exchange, ident)
            return
        body = make_body(ident)
        if self._by_chance(self.faults.garbles):
            length = ("content-length", str(len(body)))
            await exchange.start_with_fields(200, [*self._make_response_fields(ident), length])
            await exchange.write(body[: len(body) // 2])
            raise HttpClosed("response broken off on purpose")
        await exchange.respond_with_fields(200, self._make_response_fields(ident), body)

    async def _run_prefill(self, exchange: Exchange) -> None:
        """Process a prompt, and keep its KV cache for a decode engine to fetch."""
        tokens = int(exchange.req.headers["x-token-count"].partition(",")[0])
        await curio.sleep(tokens * PREFILL_TOKEN_S * self.faults.slow)
        handle = f"h{next(self._id_numbers)}"
        self._memory.handles[handle] = tokens
        await curio.spawn(self._expire, self._memory.handles, handle, KV_HANDLE_TTL_S, daemon=True)
        body = msgspec.json.encode({"kv_handle": handle, "tokens": tokens, "version": 1})
        ident = exchange.req.headers["x-request-id"]
        await exchange.respond_with_fields(
            200, [("x-request-id", ident), *self._make_signal_fields(ident)], body
        )
        self._keep_copy(exchange, 200, body, ident)

    async def _expire(self, tokens_by_id: dict[str, int], name: str, after_s: float) -> None:
        await curio.sleep(after_s)
        tokens_by_id.pop(name, None)

    async def _run_decode(self, exchange: Exchange) -> None:
        """Generate the answer to a request as a decode engine.

        If the request has a reservation, the answer uses the reserved KV memory.
        """
        req = exchange.req
        prompt, _, max_answer = req.headers["x-token-count"].partition(",")
        tokens = int(prompt) + int(max_answer)
        number = f"r{next(self._id_numbers)}"
        held = self._memory.holds.pop(req.headers.get("hold", ""), 0)
        location = req.headers.get("kv-from", "")
        # The copy of a moved run becomes the memory of the run.
        copied = self._moves.release(location)
        own_handle = location.removeprefix(f"{self._advertised_address}/")
        kept = self._memory.handles.get(own_handle, 0)
        if self._memory.used - kept + max(tokens, held) > MAX_KV_TOKENS:
            await self._refuse(exchange, NO_CAPACITY_STATUS)
            return
        self._memory.runs[number] = max(tokens, held)
        moved = bool(copied) or location.startswith(f"{self._advertised_address}/")
        try:
            if location and not await self._fetch_kv_cache(location, has_copy=bool(copied)):
                await self._refuse(exchange, NO_CAPACITY_STATUS)
                return
            if not location:
                await curio.sleep(int(prompt) * PREFILL_TOKEN_S * 2 * self.faults.slow)
            ident = self._record_run(req, kind="continued" if moved else "run")
            is_unframed = self._by_chance(self.faults.unframed)
            holds_byte = not self.faults.cut_between_events
            response = (
                UnframedResponse(exchange, holds_byte=holds_byte) if is_unframed else exchange
            )
            run = DecodeRun(ident, max(tokens, held), response)
            await self._stream_run(exchange, run)
        finally:
            del self._memory.runs[number]

    async def _stream_run(self, exchange: Exchange, run: DecodeRun) -> None:
        """Send the events of a run until its end, its stop, or the caller's disconnect."""
        # Two requests may have equal ids; only the newer one can then be moved.
        self._moves.runs[run.ident] = run
        try:
            async with curio.TaskGroup(wait=any) as group:
                writer = await group.spawn(self._stream_events, exchange, run)
                await group.spawn(exchange.wait_for_disconnect)
                await group.spawn(run.stopping.wait)
            run.completed = group.completed is writer and bool(writer.result)
            if not run.completed:
                raise HttpClosed("the caller disconnected, or the response was broken off")
        finally:
            if self._moves.runs.get(run.ident) is run:
                del self._moves.runs[run.ident]
            stopped = run.stopping.is_set() and not run.completed
            self._recorder.write(
                kind="ended", server=self.ident, request=run.ident, stopped=stopped
            )
            await run.stopped.set()

    async def _fetch_kv_cache(self, at: str, *, has_copy: bool) -> bool:
        """Fetch a KV cache from the location *at*; return whether this succeeded.

        Args:
            at: location of the KV cache of a prompt or of a run.
            has_copy: whether this engine has the copy of a run with that location.
        """
        where, _, handle = at.partition("/")
        if where == self._advertised_address:
            return await self._moves.use_at_source(where, handle)
        if has_copy:
            return await self._moves.use_copy(at)
        host, _, port = where.rpartition(":")
        client = HttpClient(host, int(port))
        try:
            resp = await curio.timeout_after(
                SIDE_CALL_TIMEOUT_S,
                lambda: client.call("DELETE", f"/v1/kv-handle/{handle}", new_connection=True),
            )
        except (HttpClosed, BadHttp, curio.TaskTimeout):
            return False
        finally:
            await client.close()
        return bool(resp.status == 200)

    async def _stream_events(self, exchange: Exchange, run: DecodeRun) -> bool:
        """Send the events that the caller lacks; return whether the caller got all of them.

        Returns False instead of raising an exception if the caller closed its connection, because
        curio logs every task that raises.
        """
        try:
            return await self._send_events(exchange, run)
        except HttpClosed:
            return False

    async def _send_events(self, exchange: Exchange, run: DecodeRun) -> bool:
        # A stream that a caller takes up is the one that an earlier attempt began.
        begun_as = exchange.req.headers.get("resumes") or run.ident
        events = make_events(begun_as, self.version)
        begin = run.made = int(exchange.req.headers.get("last-event-id") or "0")
        response = run.response
        if self._by_chance(self.faults.loses):
            # The task that waits for the caller's disconnect ends this one.
            await curio.Event().wait()
        if self._by_chance(self.faults.endless):
            await self._send_endless(exchange, run.ident)
        if self._by_chance(self.faults.unstated):
            await self._send_unstated(exchange, run.ident)
            return True
        await response.start_with_fields(200, self._make_response_fields(run.ident))
        if crash_part := find_crash_part(exchange.req):
            await curio.sleep(EVENT_INTERVAL_S)
            self._crash(crash_part)
        break_at = self._rng.randrange(len(events)) if self._by_chance(self.faults.garbles) else -1
        for number, event in enumerate(events[begin:], start=begin):
            await curio.sleep(self._event_s * self.faults.slow)
            if number == break_at:
                await response.write(event[: len(event) // 2])
                return False
            await response.write(event)
            run.made = number + 1
        await response.finish()
        return True

    def _crash(self, part: str) -> NoReturn:
        """End the process as a failure of its program does, without any clean-up."""
        self._recorder.write(kind="crashed", server=self.ident, part=part)
        os._exit(1)

    async def _handle_side_call(self, exchange: Exchange) -> None:
        req = exchange.req
        name = req.path.rpartition("/")[2]
        if req.path == "/v1/hold-take":
            await self._reserve(exchange, msgspec.json.decode(req.body))
        elif req.path.startswith("/v1/hold-drop/"):
            self._memory.holds.pop(name, None)
            await self._reply(exchange, {})
        elif req.path.startswith("/v1/kv-handle/"):
            known = await self._moves.drop(self._advertised_address, name)
            known = self._memory.handles.pop(name, None) is not None or known
            await self._reply(exchange, {}, 200 if known else 404)
        elif req.path == "/v1/kv-move":
            await self._move_run(exchange, msgspec.json.decode(req.body))
        elif req.path == "/v1/report":
            report: dict[str, Any] = {
                "phase": self._role,
                "sequence": self._order_count,
                "busy": self._switching_role,
                "born": self._born_ms,
            }
            if self._leaves_at is not None:
                report["leaves_ms"] = round(max(0.0, self._leaves_at - await curio.clock()) * 1000)
            await self._reply(exchange, {**report, "kv_used": self._memory.used})
        elif req.path == "/v1/order":
            await self._handle_order(exchange, msgspec.json.decode(req.body))
        else:
            await self._reply(exchange, {}, 404)

    async def _move_run(self, exchange: Exchange, order: dict[str, Any]) -> None:
        """Copy a run to another engine, and stop it if this is the last call."""
        status, answer = await self._moves.copy(
            self._advertised_address, order["id"], order["target_version"], last=order["last"]
        )
        if self._by_chance(self.faults.move_mutes):
            raise HttpClosed("response lost on purpose")
        await self._reply(exchange, answer, status)

    async def _handle_engine_call(self, exchange: Exchange) -> None:
        """Respond to another engine that copies a run here, continues one there, or frees one."""
        path = exchange.req.path
        if path.startswith(COPY_PATH):
            copied = await self._moves.keep(
                path.removeprefix(COPY_PATH),
                msgspec.json.decode(exchange.req.body)["tokens"],
                MAX_KV_TOKENS - self._memory.used if self._role == "decode" else 0,
                has_slot=self._free_slots > 0,
            )
            await self._reply(exchange, {}, 200 if copied else NO_CAPACITY_STATUS)
        elif path.startswith(USE_PATH):
            may_use = self._moves.use(path.removeprefix(USE_PATH))
            await self._reply(exchange, {}, 200 if may_use else NO_CAPACITY_STATUS)
        else:
            self._moves.release(path.removeprefix(DROP_PATH))
            await self._reply(exchange, {})

    async def _reserve(self, exchange: Exchange, request: dict[str, Any]) -> None:
        """Reserve a slot and KV memory for a later request, until its TTL is over."""
        has_room = self._memory.used + request["tokens"] <= MAX_KV_TOKENS
        if self._role != "decode" or not has_room or self._free_slots <= 0:
            await self._reply(exchange, {}, 503)
            return
        hold = f"k{next(self._id_numbers)}"
        self._memory.holds[hold] = request["tokens"]
        ttl_s = request["ttl_ms"] / 1000
        await curio.spawn(self._expire, self._memory.holds, hold, ttl_s, daemon=True)
        await self._reply(exchange, {"hold": hold})

    async def _handle_order(self, exchange: Exchange, order: dict[str, Any]) -> None:
        status = self._decide_order(order)
        fields = {name: order.get(name) for name in ORDER_FIELDS}
        self._recorder.write(kind="order", server=self.ident, status=status, **fields)
        if status == 202:
            self._order_count += 1
            self._fencing_token = order["fencing_token"]
            self._switching_role = True
            await curio.spawn(self._switch_role, order["phase"], daemon=True)
        await self._reply(exchange, {}, status)

    def _decide_order(self, order: dict[str, Any]) -> int:
        """Return the status for an order to switch the role; 202 means that the switch begins."""
        if any(name not in order for name in ORDER_FIELDS):
            return 400
        if order["fencing_token"] < self._fencing_token:
            return 412
        if (
            self._switching_role
            or order.get("expected_revision", self._order_count) != self._order_count
        ):
            return 409
        return 200 if order["phase"] == self._role else 202

    async def _switch_role(self, role: str) -> None:
        while self._running:
            await curio.sleep(EVENT_INTERVAL_S)
        await curio.sleep(ROLE_SWITCH_S)
        self._role = role
        self._switching_role = False
        await self._write_entry()
