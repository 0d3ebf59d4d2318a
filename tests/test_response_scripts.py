"""Tests that callers are told the truth by a gateway whose servers answer by random scripts."""

from __future__ import annotations

import json
from collections import Counter
from dataclasses import dataclass, field
from typing import Any
from weakref import WeakKeyDictionary

import curio
from hypothesis import given, settings
from hypothesis import strategies as st

from crankhinge.errors import BadHttp, HttpClosed
from crankhinge.http import Exchange
from platform_fakes import (
    SERVER_SEAL,
    FakeReplica,
    GatewayHarness,
    make_events,
    respond_ok,
    respond_stream,
    route,
)
from virtual_time import run_virtual

PROMISES = (408, 421, 429, 503)
DEADLINE_S, SLACK_S = 6.0, 1.5
ROUTES = (
    route("r-once", "/once/", "unsafe", "plain", max_attempts=3, timeout_ms=3000),
    route("r-safe", "/safe/", "safe", "plain", max_attempts=2, timeout_ms=3000),
    route("r-stream", "/stream/", "streaming", "llm", max_attempts=3, timeout_ms=3000),
    route("r-plain", "/plain/", "streaming", "plain", max_attempts=2, timeout_ms=3000),
    route("r-resumed", "/resumed/", "streaming", "llm", max_attempts=3, resumable=True),
)
PATHS = tuple(str(each["path_prefix"]) for each in ROUTES)
REPEATABLE = ("/safe/", "/resumed/")
# Ways of a server to answer, by whether it runs the request.
RUNS = ("answer", "answer", "error", "unstated", "lose", "reset", "cut", "garbage", "endless")
REFUSALS = ("refuse", "busy", "moved", "refuse-open", "refuse-cut")
# What is sent before the response: nothing, or a copy of the last one on the connection.
BEFORE = ("", "", "copy", "nameless", "hint")


@dataclass
class ScriptedServers:
    """Servers that take their ways to answer from one list, in the order of the arrivals.

    Attributes:
        ways: what is sent before the response, and the way to answer; used again from its start.
        executed: ids of the requests that were run, one for each run.
    """

    ways: list[tuple[str, str]]
    executed: list[str] = field(default_factory=list)
    used: int = 0
    last_on: WeakKeyDictionary[object, bytes] = field(default_factory=WeakKeyDictionary)

    async def handle(self, replica: FakeReplica, exchange: Exchange) -> None:
        """Answer a request as the next entry says."""
        before, way = self.ways[self.used % len(self.ways)]
        self.used += 1
        request_id = exchange.req.headers["x-request-id"]
        if way in RUNS:
            self.executed.append(request_id)
        # Copies come on connections that carried an earlier request.
        copy = self.last_on.get(exchange.conn, b"") if exchange.connection_reused else b""
        if before == "copy" and copy:
            await exchange._conn.send(copy)
        elif before == "nameless" and exchange.connection_reused:
            await exchange._conn.send(encode_head(503, ["x-not-executed: 1"]))
        elif before == "hint":
            await exchange._conn.send(b"HTTP/1.1 103 Early Hints\r\n\r\n")
        named = f"x-request-id: {request_id}"
        refusal = encode_head(429 if way == "busy" else 503, [named, "x-not-executed: 1"])
        self.last_on[exchange.conn] = refusal if way in REFUSALS else encode_head(200, [named])
        await self._answer(way, replica, exchange, named)

    async def _answer(self, way: str, replica: FakeReplica, exchange: Exchange, named: str) -> None:
        fields = replica.response_fields(exchange)
        is_stream = not exchange.req.path.startswith(("/once/", "/safe/"))
        refused = [("x-request-id", exchange.req.headers["x-request-id"]), ("x-not-executed", "1")]
        if way == "answer":
            await (respond_stream if is_stream else respond_ok)(replica, exchange)
        elif way in ("error", "unstated"):
            await exchange.respond_with_fields(500 if way == "error" else 503, fields, b"failed")
        elif way in ("refuse", "busy"):
            await exchange.respond_with_fields(429 if way == "busy" else 503, refused, b"")
        elif way == "moved":
            await exchange.respond_with_fields(421, refused[:1], b"")
        elif way in ("refuse-open", "refuse-cut"):
            await exchange.start_with_fields(503, refused)
            await exchange.write(b"full")
            if way == "refuse-open":
                await exchange.wait_for_disconnect()
            raise HttpClosed("cut")
        elif way == "lose":
            await exchange.wait_for_disconnect()
            raise HttpClosed("gone")
        elif way == "reset":
            raise HttpClosed("reset")
        elif way == "cut":
            await exchange.write_raw(encode_head(503, [named, "x-not-executed: 1"])[:40])
            raise HttpClosed("cut")
        elif way == "garbage":
            await exchange.write_raw(b"\x00\x01 no HTTP\r\n\r\n")
            raise HttpClosed("garbage")
        else:
            await exchange.write_raw(f"HTTP/1.1 200 OK\r\n{named}\r\nx-long: ".encode())
            for _ in range(64):
                await exchange.write_raw(b"x" * 4096)
            raise HttpClosed("endless")


def encode_head(status: int, fields: list[str]) -> bytes:
    """Return a response without a body."""
    lines = [f"HTTP/1.1 {status} X", *fields, "content-length: 0", "", ""]
    return "\r\n".join(lines).encode()


@dataclass
class Told:
    """What a caller was told of its request."""

    path: str
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    took_s: float = 0.0


def check_told(request_id: str, told: Told, executed: Counter[str]) -> None:
    """Check that what a caller was told of a request is true."""
    runs = executed[request_id]
    assert told.took_s < DEADLINE_S + SLACK_S, "no final answer in time"
    assert runs <= 1 or told.path in REPEATABLE, f"ran {runs} times"
    if told.status in PROMISES:
        assert not runs, f"told {told.status}, but it ran"
        assert json.loads(told.body)["outcome"] == "not-run"
    if told.status:
        assert told.headers["x-request-id"] == request_id, "the answer to another request"
    if told.status == 200:
        is_stream = told.path not in ("/once/", "/safe/")
        assert runs and told.headers[SERVER_SEAL].startswith("seal-i-")
        expected = make_events(1, 5) if is_stream else b"whole:" + seal_owner(told)
        assert told.body == expected, "not the server's whole answer"


def seal_owner(told: Told) -> bytes:
    """Return the server that signed an answer."""
    return told.headers[SERVER_SEAL].removeprefix("seal-").encode()


async def send(harness: GatewayHarness, request_id: str, path: str, told: dict[str, Told]) -> None:
    """Send a request and keep what its caller is told."""
    seen = told[request_id] = Told(path)
    started_at = await curio.clock()
    fields = {"x_deadline_ms": f"{DEADLINE_S * 1000:.0f}", "x_token_count": "100,50"}
    try:
        seen.status, seen.headers, seen.body = await harness.call(
            request_id, f"{path}a", length_hint="40", **fields
        )
    except (HttpClosed, BadHttp):
        # A broken-off answer promises nothing.
        seen.status = 0
    seen.took_s = await curio.clock() - started_at


def play(ways: list[tuple[str, str]], requests: list[tuple[int, float]]) -> dict[str, Any]:
    """Play requests against scripted servers; return how often each status was told."""
    servers = ScriptedServers(ways)
    harness = GatewayHarness()
    harness.add_replica("i-p", "llm", "prefill")
    for number in range(3):
        harness.add_replica(f"i-w{number}", "llm", "decode", handler=servers.handle)
        harness.add_replica(f"i-s{number}", "plain", handler=servers.handle)
    for replica in harness.replicas:
        replica.free_reservations = 10_000
    told: dict[str, Told] = {}

    async def scenario() -> None:
        tasks = []
        for number, (path, gap_s) in enumerate(requests):
            tasks.append(await curio.spawn(send, harness, f"q{number}", PATHS[path], told))
            await curio.sleep(gap_s)
        for task in tasks:
            await task.join()
        # A request may still run after its caller was told.
        await curio.sleep(3.0)

    run_virtual(harness.run, scenario, *ROUTES, settle_s=0.003)
    executed = Counter(servers.executed)
    for request_id, seen in told.items():
        check_told(request_id, seen, executed)
    return Counter(seen.status for seen in told.values())


WAYS = st.tuples(st.sampled_from(BEFORE), st.sampled_from(RUNS + REFUSALS))
REQUESTS = st.tuples(st.integers(0, len(PATHS) - 1), st.sampled_from([0.0, 0.05, 0.4, 1.5]))


class TestScripts:
    """Random scripts of answers, the same ones each time."""

    @settings(max_examples=25, deadline=None, derandomize=True, database=None)
    @given(
        ways=st.lists(WAYS, min_size=3, max_size=10),
        requests=st.lists(REQUESTS, min_size=4, max_size=10),
    )
    def test_callers_are_told_the_truth(
        self, ways: list[tuple[str, str]], requests: list[tuple[int, float]]
    ) -> None:
        """Refused requests did not run, answers are whole, and each unsafe request runs once."""
        play(ways, requests)

    def test_all_kinds_of_statuses_are_told(self) -> None:
        """The scripts reach answers, promises and open outcomes, so the checks are put to use."""
        ways = [("", way) for way in ("answer", "refuse", "lose", "unstated", "busy")]
        told = play(ways, [(0, 1.5)] * 5 + [(2, 1.5)] * 5)
        assert {200, 502, 503} <= told.keys()
