"""A stand-in metadata store of the users' platform: revisions, watches, leases, transactions.

The store speaks the platform's published interface and keeps everything in memory. Tests run it in
their own curio kernel; the soak starts it as a process and sets its faults over HTTP.
"""

from __future__ import annotations

import base64
import bisect
import itertools
import weakref
from typing import Any
from urllib.parse import parse_qs, urlsplit

import curio
import msgspec

from crankhinge.errors import HttpClosed
from crankhinge.http import Exchange
from crankhinge.runtime import get_log
from crankhinge_standins._web import FaultSettings, serve

# Prefix of the keys of backend servers' entries.
SERVERS_PREFIX = "servers/"
# Number of missed heartbeats after which a server's entry is removed.
MAX_MISSED_HEARTBEATS = 3.2
# Seconds between checks for expired leases and missed heartbeats.
EXPIRY_CHECK_S = 0.05
# Bounds of a page of a range.
MAX_PAGE_ITEMS = 500
MAX_PAGE_BYTES = 1_000_000
# Interval in seconds between the pieces of a paced response.
PACED_PIECE_S = 0.02

Item = dict[str, Any]


class StoreFaults(FaultSettings):
    """Faults of the store.

    Attributes:
        down: ``silent``, ``busy`` (status 503) or ``reset``; empty for none.
        lapse: whether servers' entries and leases expire while the store is down.
        delay_s: seconds of delay before each response.
        lose_writes: whether calls with POST (transactions, leases) get no response, although they
            take effect.
        forget: whether the history of changes is dropped continuously.
        bytes_per_s: rate of each response, as on a slow link; 0 for no limit.
        break_off: whether every response ends in the middle.
    """

    down: str = ""
    lapse: bool = False
    delay_s: float = 0.0
    lose_writes: bool = False
    forget: bool = False
    bytes_per_s: int = 0
    break_off: bool = False


class StandinStore:
    """One stand-in store.

    Args:
        host: address to listen on.
        port: TCP port to listen on.
        beat_s: seconds between heartbeats of servers, which determines when the store removes a
            server's entry. With 0, neither entries nor leases expire; tests that set the clock
            themselves use 0.
        history_s: seconds for which changes are remembered; 0 to remember them for ever.

    Attributes:
        era: value of the header that rises each time the store comes back from an older copy; None
            to leave the header out.
    """

    def __init__(self, host: str, port: int, beat_s: float = 0.0, history_s: float = 0.0) -> None:
        self.host = host
        self.port = port
        self.era: int | None = None
        self.revision = 10
        self.items: dict[str, Item] = {}
        self.changes: list[Item] = []
        self.calls: list[str] = []
        self.faults = StoreFaults()
        self.oldest_revision = 0
        self.waiting_watches = 0
        self._mute_count = 0
        self._conns: weakref.WeakSet[Any] = weakref.WeakSet()
        self._muted_conns: weakref.WeakSet[Any] = weakref.WeakSet()
        self._heartbeat_s = beat_s
        self._history_s = history_s
        # Time of each change, parallel to ``changes``.
        self._changed_at: list[float] = []
        self._heartbeats: dict[str, float] = {}
        self._leases: dict[int, tuple[float, float]] = {}
        self._lease_ids = itertools.count(7)
        self._changed = curio.Event()

    async def put(self, key: str, value: Any, lease: int = 0) -> None:
        """Write an item as the operator or a backend server does."""
        await self._put_data(key, msgspec.json.encode(value), lease)

    async def _put_data(self, key: str, value: bytes, lease: int) -> None:
        self.revision += 1
        data = base64.b64encode(value).decode()
        created = self.items[key]["made"] if key in self.items else self.revision
        item = {
            "private_key": key,
            "value": data,
            "revision": self.revision,
            "made": created,
            "lease": lease,
        }
        self.items[key] = item
        await self._record_change(item)

    async def remove(self, key: str) -> None:
        """Remove an item."""
        self.revision += 1
        self.items.pop(key, None)
        await self._record_change({"private_key": key, "revision": self.revision, "gone": True})

    async def _record_change(self, change: Item) -> None:
        """Append a change to the history and wake the watches."""
        self.changes.append(change)
        self._changed_at.append(await curio.clock())
        await self._changed.set()
        self._changed = curio.Event()

    async def end_leases(self) -> None:
        """End every lease and remove its items."""
        for lease in list(self._leases):
            await self._end_lease(lease)

    def mute_open_calls(self) -> None:
        """Never respond to the calls in progress, but keep their connections; new calls work."""
        self._mute_count += 1

    def mute_open_conns(self) -> None:
        """Never respond on the connections that are open now, idle ones included; new ones work."""
        self.mute_open_calls()
        self._muted_conns.update(self._conns)

    def forget_history(self) -> None:
        """Drop all changes made so far from the history."""
        self.oldest_revision = self.revision

    def _forget_before(self, moment: float) -> None:
        """Drop the changes made before the time *moment* from the history."""
        first_kept = bisect.bisect_left(self._changed_at, moment)
        if first_kept:
            self.oldest_revision = max(
                self.oldest_revision, int(self.changes[first_kept - 1]["revision"])
            )
            del self.changes[:first_kept], self._changed_at[:first_kept]

    async def run(self) -> None:
        """Serve until cancelled."""
        log = get_log(program="standin-store")
        async with curio.TaskGroup(wait=any) as group:
            if self._heartbeat_s:
                await group.spawn(self._expire_loop)
            await group.spawn(serve, self.host, self.port, self._handle, self.faults, log)

    async def _expire_loop(self) -> None:
        """Remove expired leases, and entries of servers whose heartbeats have stopped."""
        while True:
            await curio.sleep(EXPIRY_CHECK_S)
            if self.faults.forget:
                self.forget_history()
            if self.faults.down and not self.faults.lapse:
                continue
            now = await curio.clock()
            for lease in [i for i, (until, _) in self._leases.items() if until < now]:
                await self._end_lease(lease)
            latest = now - MAX_MISSED_HEARTBEATS * self._heartbeat_s
            for key in [key for key, at in self._heartbeats.items() if at < latest]:
                del self._heartbeats[key]
                await self.remove(key)

    async def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            await self.remove(key)

    async def _handle(self, exchange: Exchange) -> None:
        url = urlsplit(exchange.req.target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        self.calls.append(url.path)
        conn = exchange.conn
        self._conns.add(conn)
        if conn in self._muted_conns:
            await _never_respond(exchange)
        muted = self._mute_count
        await self._fail_if_down(exchange)
        if self.faults.delay_s:
            await curio.sleep(self.faults.delay_s)
        status, body = await self._dispatch(exchange.req.method, url.path, query, exchange.req.body)
        await self._fail_if_down(exchange)
        if muted != self._mute_count:
            await _never_respond(exchange)
        if self.faults.lose_writes and exchange.req.method == "POST":
            await _never_respond(exchange)
        data = msgspec.json.encode(body)
        if self.faults.break_off:
            await _start_response(exchange, status, data)
            await exchange.write(data[: len(data) // 2])
            raise HttpClosed("response broken off on purpose")
        if self.faults.bytes_per_s:
            await _respond_paced(exchange, status, data, self.faults.bytes_per_s)
        else:
            headers = {} if self.era is None else {"store-era": str(self.era)}
            await exchange.respond(status, data, headers)

    async def _fail_if_down(self, exchange: Exchange) -> None:
        """Fail the call as the fault ``down`` says; return if the store is not down."""
        down = self.faults.down
        if down == "busy":
            await exchange.respond(503, b"{}")
        if down == "silent":
            await _never_respond(exchange)
        if down:
            raise HttpClosed("down")

    async def _dispatch(
        self, method: str, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, Any]:
        if path == "/v1/kv-key" and method == "PUT":
            # The operator and the backend servers write through an interface that is not published.
            await self._write_by_owner(query["private_key"], body)
            return 200, {"revision": self.revision}
        if path == "/v1/kv-key":
            item = self.items.get(query["private_key"])
            return (200, {**item, "at": self.revision}) if item else (404, {})
        if path == "/v1/kv-range":
            return 200, self._make_page(query["path_prefix"], query.get("after", ""))
        if path == "/v1/kv-watch":
            return await self._watch(query)
        if path == "/v1/kv-txn":
            return await self._run_transaction(msgspec.json.decode(body))
        return await self._handle_lease_call(method, path, body)

    def _make_page(self, prefix: str, after: str) -> dict[str, Any]:
        """Return the first items under *prefix* whose keys come after *after*."""
        page: list[Item] = []
        size = 0
        for key, item in sorted(self.items.items()):
            if not key.startswith(prefix) or key <= after:
                continue
            if len(page) == MAX_PAGE_ITEMS or (page and size + len(item["value"]) > MAX_PAGE_BYTES):
                return {"items": page, "more": True, "at": self.revision}
            page.append(item)
            size += len(item["value"])
        return {"items": page, "more": False, "at": self.revision}

    async def _write_by_owner(self, key: str, body: bytes) -> None:
        """Write the item *key* for its owner; an empty body removes the item."""
        now = await curio.clock()
        if not body:
            self._heartbeats.pop(key, None)
            if key in self.items:
                await self.remove(key)
            return
        try:
            value = msgspec.json.decode(body)
        except (ValueError, RecursionError):
            # Another writer may leave any bytes; they stay until it removes them.
            await self._put_data(key, body, 0)
            return
        if key.startswith(SERVERS_PREFIX):
            self._heartbeats[key] = now
            if self._is_heartbeat_only(key, value):
                return
        await self.put(key, value)

    def _is_heartbeat_only(self, key: str, entry: dict[str, Any]) -> bool:
        """Whether *entry* differs from the stored entry at most in its sequence number.

        Writing such an entry makes no new revision.
        """
        if key not in self.items:
            return False
        current = msgspec.json.decode(base64.b64decode(self.items[key]["value"]))
        return bool({**current, "sequence": 0} == {**entry, "sequence": 0})

    async def _handle_lease_call(self, method: str, path: str, body: bytes) -> tuple[int, Any]:
        now = await curio.clock()
        if path == "/v1/kv-lease":
            ttl_ms = msgspec.json.decode(body)["ttl_ms"]
            lease = next(self._lease_ids)
            self._leases[lease] = (now + ttl_ms / 1000, ttl_ms / 1000)
            return 200, {"lease": lease, "ttl_ms": ttl_ms}
        name, _, ident = path.rpartition("/")
        lease = int(ident) if ident.isdigit() else 0
        if lease not in self._leases:
            return 404, {}
        if name == "/v1/kv-keep":
            ttl_s = self._leases[lease][1]
            self._leases[lease] = (now + ttl_s, ttl_s)
            return 200, {"ttl_ms": ttl_s * 1000}
        if name == "/v1/kv-lease-end" and method == "DELETE":
            await self._end_lease(lease)
            return 200, {}
        return 404, {}

    async def _watch(self, query: dict[str, str]) -> tuple[int, Any]:
        after, prefix = int(query["after"]), query["path_prefix"]
        until = await curio.clock() + int(query["wait_ms"]) / 1000
        self.waiting_watches += 1
        try:
            if await self._is_forgotten(after):
                return 410, {}
            while True:
                matching = [
                    change
                    for change in self.changes
                    if change["revision"] > after and change["private_key"].startswith(prefix)
                ]
                remaining_s = until - await curio.clock()
                if matching or remaining_s <= 0:
                    break
                await curio.ignore_after(remaining_s, self._changed.wait)
            # The loss of history does not end the wait of a watch. It is checked again here, when
            # there is a change or the wait is over.
            if await self._is_forgotten(after):
                return 410, {}
            return 200, {"events": matching, "at": self.revision}
        finally:
            self.waiting_watches -= 1

    async def _is_forgotten(self, after: int) -> bool:
        """Whether a change after the revision *after* is no longer remembered."""
        if self._history_s:
            self._forget_before(await curio.clock() - self._history_s)
        return after < self.oldest_revision

    async def _run_transaction(self, txn: dict[str, Any]) -> tuple[int, Any]:
        for row in txn["expected_revision"]:
            current = self.items.get(row["private_key"], {"revision": 0})
            if current["revision"] != row["revision"]:
                return 412, {"items": [current]}
        if any(row["lease"] and row["lease"] not in self._leases for row in txn["put"]):
            return 404, {}
        for row in txn["put"]:
            value = base64.b64decode(row["value"])
            await self._put_data(row["private_key"], value, row["lease"])
        return 200, {"revision": self.revision}


async def _start_response(exchange: Exchange, status: int, data: bytes) -> None:
    fields = [("content-type", "application/json"), ("content-length", str(len(data)))]
    await exchange.start_with_fields(status, fields)


async def _respond_paced(exchange: Exchange, status: int, data: bytes, per_s: int) -> None:
    """Send a response in pieces at the rate of a slow link."""
    await _start_response(exchange, status, data)
    size = max(1, round(per_s * PACED_PIECE_S))
    for begin in range(0, len(data), size):
        await curio.sleep(PACED_PIECE_S)
        await exchange.write(data[begin : begin + size])
    await exchange.finish()


async def _never_respond(exchange: Exchange) -> None:
    """Send no response; the connection ends when the client closes it."""
    await exchange.wait_for_disconnect()
    raise HttpClosed("silent")
