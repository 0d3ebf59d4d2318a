"""Tests of the moves of runs between stand-in engines."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from typing import Any

import curio
import pytest

from crankhinge.errors import HttpClosed
from crankhinge.http import ClientStream, HttpClient
from crankhinge.runtime import get_log, run_until_first_ends
from crankhinge_standins.replica import (
    EVENT_INTERVAL_S,
    KV_HANDLE_TTL_S,
    MAX_KV_TOKENS,
    StandinReplica,
    make_events,
)
from platform_fakes import HOST, LogCapture, free_port
from virtual_time import run_virtual

# A request whose answer has 20 events or more.
IDENT = next(ident for ident in (f"q{n}" for n in range(100)) if len(make_events(ident)) >= 20)
TOKENS = 100


class Engines:
    """Two decode engines that nothing else uses, and calls to them."""

    def __init__(self) -> None:
        self.ports = [free_port(), free_port()]
        self.clients = [HttpClient(HOST, port) for port in self.ports]
        self._streams: list[ClientStream] = []
        self.engines = [self._make_engine(port) for port in self.ports]

    def _make_engine(self, port: int) -> StandinReplica:
        return StandinReplica(
            host=HOST,
            port=port,
            shown=f"{HOST}:{port}",
            service="llm",
            phase="decode",
            store=f"{HOST}:{free_port()}",
            record="",
            beat_s=1000.0,
            silent_leave=False,
            place="",
            log=get_log(program="r", stream=LogCapture()),
        )

    def run(self, scenario: Callable[[], Awaitable[None]]) -> None:
        """Run *scenario* in virtual time beside both engines."""

        async def run_scenario() -> None:
            await curio.sleep(0.01)
            await scenario()

        run_virtual(run_until_first_ends, *(e.run for e in self.engines), run_scenario)

    async def open(self, engine: int, **fields: str) -> ClientStream:
        """Send the request to an engine; its connection stays open."""
        extra = {name.replace("_", "-"): value for name, value in fields.items()}
        headers = {"x-request-id": IDENT, "x-token-count": f"{TOKENS},0", **extra}
        stream = await self.clients[engine].open("POST", "/a", headers=headers)
        self._streams.append(stream)
        return stream

    async def move(self, source: int = 0, *, last: bool = False) -> tuple[int, dict[str, Any]]:
        """Ask an engine to copy the run to the other one; return status and body."""
        body = {"id": IDENT, "target_version": f"{HOST}:{self.ports[1 - source]}", "last": last}
        resp = await self.clients[source].call(
            "POST", "/v1/kv-move", body=json.dumps(body).encode()
        )
        return resp.status, json.loads(resp.body)

    async def free(self, handle: str) -> int:
        """Free a copy at its source, the first engine; return the status."""
        return (await self.clients[0].call("DELETE", f"/v1/kv-handle/{handle}")).status

    async def held(self, engine: int) -> int:
        """Return the KV tokens in use at an engine."""
        resp = await self.clients[engine].call("GET", "/held")
        return int(json.loads(resp.body)["held"])

    def location(self, handle: str) -> str:
        """Return the location of a handle of the first engine."""
        return f"{HOST}:{self.ports[0]}/{handle}"


async def read_until_closed(stream: ClientStream) -> bytes:
    """Read a stream that is closed without its end; return the bytes before that."""
    data = b""
    with pytest.raises(HttpClosed):
        while True:
            chunk = await stream.next_chunk()
            assert chunk, "the stream had its end"
            data += chunk
    await stream.abort()
    return data


class TestMove:
    """The calls that move a run, as the platform publishes them."""

    def test_moved_run_continues_at_the_target(self) -> None:
        """The events of both engines are the whole answer, and no memory stays in use."""
        engines = Engines()

        async def scenario() -> None:
            stream = await engines.open(0)
            await curio.sleep(3.5 * EVENT_INTERVAL_S)
            assert (await engines.move())[0] == 200
            assert await engines.held(1) == TOKENS
            status, answer = await engines.move(last=True)
            assert (status, answer["made"]) == (200, 3)
            first = await read_until_closed(stream)
            second = await engines.open(
                1, kv_from=engines.location(answer["kv_handle"]), last_event_id="3"
            )
            assert first + await second.read_all() == b"".join(make_events(IDENT))
            await curio.sleep(EVENT_INTERVAL_S)
            assert [await engines.held(0), await engines.held(1)] == [0, 0]

        engines.run(scenario)

    def test_run_goes_on_after_a_call_without_last(self) -> None:
        """The copy may be freed; both ends are free then."""
        engines = Engines()

        async def scenario() -> None:
            stream = await engines.open(0)
            _, answer = await engines.move()
            assert await engines.free(answer["kv_handle"]) == 200
            assert await engines.held(1) == 0
            assert await stream.read_all() == b"".join(make_events(IDENT))

        engines.run(scenario)

    def test_handle_is_used_once(self) -> None:
        """The second request with a handle must not run, at the target or at the source."""
        engines = Engines()

        async def scenario() -> None:
            await engines.open(0)
            _, answer = await engines.move(last=True)
            location = engines.location(answer["kv_handle"])
            statuses = [(await engines.open(n, kv_from=location)).status for n in (1, 1, 0)]
            assert statuses == [200, 503, 503]

        engines.run(scenario)

    def test_handle_of_a_running_request_is_refused(self) -> None:
        """Two engines must not work on one request."""
        engines = Engines()

        async def scenario() -> None:
            await engines.open(0)
            _, answer = await engines.move()
            location = engines.location(answer["kv_handle"])
            assert (await engines.open(1, kv_from=location)).status == 503

        engines.run(scenario)

    def test_stopped_run_continues_at_its_source_without_room_at_the_target(self) -> None:
        """The refusal of the last call has a handle, with which the source takes the run back."""
        engines = Engines()

        async def scenario() -> None:
            hold = {"tokens": MAX_KV_TOKENS, "ttl_ms": 5000}
            await engines.clients[1].call("POST", "/v1/hold-take", body=json.dumps(hold).encode())
            await engines.open(0)
            assert await engines.move() == (503, {})
            status, answer = await engines.move(last=True)
            assert status == 503
            location = engines.location(answer["kv_handle"])
            again = await engines.open(0, kv_from=location)
            assert await again.read_all() == b"".join(make_events(IDENT))
            await curio.sleep(EVENT_INTERVAL_S)
            assert await engines.held(0) == 0

        engines.run(scenario)

    def test_unused_copy_lapses(self) -> None:
        """Nobody frees the copy of a mover that has died."""
        engines = Engines()

        async def scenario() -> None:
            await engines.open(0)
            _, answer = await engines.move(last=True)
            await curio.sleep(KV_HANDLE_TTL_S + 0.1)
            location = engines.location(answer["kv_handle"])
            assert (await engines.open(1, kv_from=location)).status == 503
            await curio.sleep(2.0)
            assert [await engines.held(0), await engines.held(1)] == [0, 0]

        engines.run(scenario)

    def test_handle_of_a_prompt_is_no_copy(self) -> None:
        """Looking for a copy first must not lose the KV cache of a prompt."""
        engines = Engines()

        async def scenario() -> None:
            engines.engines[0]._memory.handles["h1"] = TOKENS
            assert [await engines.free("h1"), await engines.free("h1")] == [200, 404]

        engines.run(scenario)

    def test_unknown_run_and_second_mover(self) -> None:
        """An ended run has no memory to copy; two calls at once would interfere."""
        engines = Engines()

        async def scenario() -> None:
            assert (await engines.move())[0] == 404
            await engines.open(0)
            tasks = [await curio.spawn(engines.move) for _ in range(2)]
            assert sorted([(await task.join())[0] for task in tasks]) == [200, 409]

        engines.run(scenario)
