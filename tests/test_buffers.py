"""Tests of the bounds on what an instance buffers for peers that read slowly."""

from __future__ import annotations

import socket
from collections.abc import Callable
from functools import partial
from typing import Any

import curio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from crankhinge.errors import BadHttp, OutOfBuffers, ServerReadsSlowly
from crankhinge.http import (
    BufferLimits,
    BufferPool,
    ConnectionBuffers,
    Exchange,
    HttpClient,
    serve_http,
)
from crankhinge.http import _buffers as buffers_module
from crankhinge.http._buffers import MIN_STALL_S
from crankhinge.runtime import get_log, run_until_first_ends
from crankhinge_bench._procs import HOST, free_ports
from platform_fakes import LogCapture

LIMITS = BufferLimits(instance_bytes=1000, connection_bytes=500, server_bytes=400)


class Clock:
    """A clock that the test sets."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        """Return the time."""
        return self.now


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    """Replace the clock of the pool."""
    clock = Clock()
    monkeypatch.setattr(buffers_module, "steady_s", clock)
    return clock


def connect(pool: BufferPool, dropped: list[str], name: str) -> ConnectionBuffers:
    """Return the buffers of a connection; *name* is added to *dropped* when it is dropped."""
    return ConnectionBuffers(pool, lambda: dropped.append(name))


class TestBufferPool:
    """Which connections are dropped, and when memory is refused."""

    def test_longest_stalled_connections_are_dropped_first(self, clock: Clock) -> None:
        """A caller that accepted something lately keeps its connection, however much it holds."""
        pool, dropped = BufferPool(LIMITS), []
        conns = {name: connect(pool, dropped, name) for name in ("large", "old", "older", "busy")}
        for name, size in (("large", 400), ("old", 200), ("older", 200), ("busy", 200)):
            conns[name].hold(size)
        for name in ("large", "older", "old"):
            conns[name].record_stalled()
            clock.now += 0.01
        clock.now += MIN_STALL_S
        conns["large"].record_stalled()
        assert conns["busy"].try_hold(100)
        assert dropped == ["older"]
        assert conns["busy"].try_hold(200)
        assert dropped == ["older", "old"]
        assert pool.held_bytes == 900
        assert conns["older"].dropped is not None
        assert conns["older"].dropped.held_bytes == 200

    def test_short_stall_costs_no_connection_and_no_request(self, clock: Clock) -> None:
        """A lost packet stalls a caller that reads normally for 0.2 s."""
        pool, dropped = BufferPool(LIMITS), []
        stalled, other = connect(pool, dropped, "stalled"), connect(pool, dropped, "other")
        stalled.hold(900)
        stalled.record_stalled()
        clock.now += MIN_STALL_S - 0.01
        assert other.try_hold(300)
        assert not dropped
        assert not other.try_hold(800)

    def test_memory_is_refused_only_while_there_is_none(self, clock: Clock) -> None:
        """Connections that are not stalled are never dropped."""
        pool, dropped = BufferPool(LIMITS), []
        first, second = connect(pool, dropped, "first"), connect(pool, dropped, "second")
        assert first.try_hold(1000)
        clock.now += 100.0
        assert not second.try_hold(1)
        first.release_all()
        assert second.try_hold(1000)
        assert not dropped

    def test_dropped_connection_counts_no_more(self, clock: Clock) -> None:
        """The task of a dropped connection releases its bytes a second time when it ends."""
        pool, dropped = BufferPool(LIMITS), []
        conn = connect(pool, dropped, "conn")
        conn.hold(300)
        conn.record_stalled()
        conn.drop("test", 1.0)
        conn.record_resumed()
        conn.release(300)
        conn.release_all()
        conn.hold(50)
        conn.record_stalled()
        conn.drop("again", 2.0)
        assert pool.held_bytes == 0
        assert dropped == ["conn"]
        assert conn.dropped is not None
        assert conn.dropped.why == "test"

    @given(
        st.lists(
            st.tuples(
                st.integers(0, 3),
                st.sampled_from(["hold", "try", "stall", "read", "resume", "release", "wait"]),
                st.integers(1, 600),
            ),
            max_size=60,
        )
    )
    def test_counts_stay_consistent(self, steps: list[tuple[int, str, int]]) -> None:
        """Whatever the order of events, no byte is lost or counted twice."""
        clock = Clock()
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(buffers_module, "steady_s", clock)
            pool = BufferPool(LIMITS)
            conns = [connect(pool, [], str(number)) for number in range(4)]
            for number, step, size in steps:
                conn = conns[number]
                actions: dict[str, Callable[[], Any]] = {
                    "hold": partial(conn.hold, size),
                    "try": partial(conn.try_hold, size),
                    "stall": conn.record_stalled,
                    "read": partial(conn.record_stalled, is_reading=True),
                    "resume": conn.record_resumed,
                    "release": conn.release_all,
                    "wait": partial(setattr, clock, "now", clock.now + size / 1000),
                }
                actions[step]()
                assert pool.held_bytes == sum(conn.held_bytes for conn in conns)
                assert pool._unread <= set(pool._stalled)
                assert pool._unread_bytes == sum(conn.held_bytes for conn in pool._unread)
                assert all(conn.dropped is None or not conn.held_bytes for conn in conns)


class BodyServer:
    """An HTTP server with a bound on its buffers, and its log."""

    def __init__(self) -> None:
        [self.port] = free_ports(1)
        self.pool = BufferPool(BufferLimits(100_000, 50_000, 50_000))
        self.logs = LogCapture()
        self.refused: list[BadHttp] = []
        self.exchanges: list[Exchange] = []

    async def run(self) -> None:
        """Serve until cancelled."""

        async def respond(exchange: Exchange) -> None:
            self.exchanges.append(exchange)
            await exchange.respond(200, str(len(exchange.req.body)).encode())

        async def refuse(exchange: Exchange, exc: BadHttp) -> None:
            self.refused.append(exc)
            await exchange.respond(exc.status, exchange.req.target.encode())

        log = get_log(program="t", stream=self.logs)
        await serve_http(HOST, self.port, respond, on_malformed=refuse, log=log, pool=self.pool)

    async def send_part(self, size: int) -> Any:
        """Send a part of a request body and return the connection."""
        sock = curio.socket.socket()
        await sock.connect((HOST, self.port))
        head = b"POST /part HTTP/1.1\r\nhost: h\r\ncontent-length: 1000000\r\n\r\n"
        await sock.sendall(head + b"b" * size)
        return sock


class TestRequestBodies:
    """Request bodies count as memory from their first byte to the end of the request."""

    def run(self, scenario: Callable[[BodyServer], Any]) -> None:
        """Run *scenario* in real time beside the server."""
        server = BodyServer()
        curio.run(run_until_first_ends, server.run, partial(scenario, server))

    def test_body_without_memory_is_refused_and_its_memory_is_released(self) -> None:
        """The refusal names the request and a retry delay; the next body that fits is read."""

        async def scenario(server: BodyServer) -> None:
            await curio.sleep(0.01)
            client = HttpClient(HOST, server.port)
            resp = await client.call("POST", "/large", body=b"b" * 200_000)
            assert (resp.status, resp.body) == (503, b"/large")
            [refusal] = server.refused
            assert isinstance(refusal, OutOfBuffers)
            assert refusal.retry_after_s
            await curio.sleep(0.05)
            assert server.pool.held_bytes == 0
            resp = await client.call("POST", "/fits", body=b"b" * 90_000, new_connection=True)
            assert (resp.status, resp.body) == (200, b"90000")
            await client.close()
            assert server.pool.held_bytes == 0

        self.run(scenario)

    def test_body_is_not_kept_after_the_request(self) -> None:
        """Tracebacks of failed requests refer to the exchange until the next garbage collection.

        Five times 100 bodies of 1 MB to a server that reads nothing took 101 MB, though at most
        17.6 MB of them were held at once.
        """

        async def scenario(server: BodyServer) -> None:
            await curio.sleep(0.01)
            client = HttpClient(HOST, server.port)
            await client.call("POST", "/", body=b"b" * 50_000)
            await client.close()
            await curio.sleep(0.05)
            [exchange] = server.exchanges
            assert exchange.req.body == b""

        self.run(scenario)

    def test_caller_that_stops_sending_is_dropped_for_others(self) -> None:
        """Callers that sent a part of a body must not keep others from sending theirs."""

        async def scenario(server: BodyServer) -> None:
            await curio.sleep(0.01)
            socks = [await server.send_part(45_000) for _ in range(2)]
            await curio.sleep(MIN_STALL_S + 0.05)
            client = HttpClient(HOST, server.port)
            resp = await client.call("POST", "/a", body=b"b" * 50_000)
            assert resp.status == 200
            await client.close()
            await curio.sleep(0.05)
            assert len(server.logs.matching("slow_reader_dropped")) == 1
            for sock in socks:
                await sock.close()

        self.run(scenario)


def test_client_sends_no_more_to_a_server_that_is_behind() -> None:
    """The server is sent at most one body above the bound, and then nothing until it reads."""
    body = b"b" * 2_000_000
    [port] = free_ports(1)
    conns: list[Any] = []

    async def serve() -> None:
        listener = curio.tcp_server_socket(HOST, port)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        async with listener:
            while True:
                conns.append((await listener.accept())[0])

    async def scenario() -> None:
        await curio.sleep(0.01)
        client = HttpClient(HOST, port, buffer_limits=BufferLimits(1 << 24, 1 << 20, 3_000_000))
        call = partial(client.call, "POST", "/", body=body)
        calls = [await curio.spawn(call) for _ in range(2)]
        await curio.sleep(0.1)
        assert client.is_behind
        with pytest.raises(ServerReadsSlowly):
            await client.call("POST", "/", body=body)
        assert client.pending_bytes == 2 * len(body)
        for task in calls:
            await task.cancel()
        # What is gone is no longer counted, so the server gets requests again.
        assert (client.unsent_bytes, client.pending_bytes) == (0, 0)
        assert not client.is_behind

    curio.run(run_until_first_ends, serve, scenario)
