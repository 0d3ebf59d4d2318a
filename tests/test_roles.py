"""Tests of the agents' roles, with fake backend servers and the clock advanced."""

import io
from collections.abc import Mapping
from typing import Any

import curio

from crankhinge.adapters import (
    DecodeStream,
    Engine,
    EngineFailed,
    EngineLoad,
    PlainService,
    PrefillResult,
    ServiceAnswer,
)
from crankhinge.agent._decode import DecodeRole
from crankhinge.agent._plain import PlainRole
from crankhinge.config import BundleKeeper
from crankhinge.decisions import SlotTable, WorkQueue
from crankhinge.runtime import Metrics, get_log
from crankhinge.wire import (
    Cancel,
    Decode,
    DecodeDone,
    Failed,
    Refused,
    ReserveSlot,
    ServiceCall,
    ServiceResponse,
    SlotGranted,
    Tokens,
)
from virtual_time import run_virtual


class FakeStream(DecodeStream):
    """An answer of some tokens, one every tenth of a second."""

    def __init__(self, engine: "FakeEngine", tokens: int) -> None:
        self._engine = engine
        self._left = tokens

    async def next(self) -> list[str]:
        """Return one token."""
        if not self._left:
            self.finish = "length"
            return []
        await curio.sleep(0.1)
        self._left -= 1
        return ["t"]

    async def close(self) -> None:
        """Free the memory."""
        self._engine.running -= 1


class FakeEngine(Engine):
    """An engine whose memory and transfers can be looked at and held up."""

    def __init__(self) -> None:
        self.running = 0
        self.most = 0
        self.foreign = 0
        self.stalled = False
        self.dead = False

    async def prefill(self, path: str, body: bytes, *, req: int) -> PrefillResult:
        """Not used here."""
        raise NotImplementedError

    async def decode(self, path: str, body: bytes, kv: bytes, *, req: int) -> DecodeStream:
        """Write five tokens."""
        while self.stalled:
            await curio.sleep(0.1)
        self.running += 1
        self.most = max(self.most, self.running)
        return FakeStream(self, 5)

    async def load_adapter(self, name: str, path: str, version: int, *, token: int) -> None:
        """Not used here."""
        raise NotImplementedError

    async def load(self) -> EngineLoad:
        """Return what is in memory."""
        if self.dead:
            raise EngineFailed("dead", ran=False)
        return EngineLoad(self.running + self.foreign, 0)


class FakeLink:
    """An entry's link that keeps what is sent."""

    def __init__(self) -> None:
        self.sent: list[Any] = []
        self.peer = type("Peer", (), {"name": "entry"})

    async def send(self, msg: Any) -> None:
        """Keep a message."""
        self.sent.append(msg)

    def of(self, kind: type) -> list[Any]:
        """Return the messages of one kind."""
        return [msg for msg in self.sent if isinstance(msg, kind)]


def make_role(engine: FakeEngine, capacity: int = 2) -> DecodeRole:
    """Return the role with a silent log."""
    return DecodeRole(
        engine=engine,
        table=SlotTable(capacity=capacity, step_s=0.1, hold_s=1.0),
        keeper=BundleKeeper({}),
        log=get_log(program="test", stream=io.StringIO()),
        metrics=Metrics(prefix="test"),
    )


def reserve(req: int, within: float = 30.0) -> ReserveSlot:
    """Return a request for a slot."""
    return ReserveSlot(req, "m", "m1", 1, within, 0.05, 5)


async def serve(role: DecodeRole, link: Any, req: int) -> None:
    """Reserve and decode as an entry would."""
    await role.handle(link, reserve(req))
    while not any(msg.req == req for msg in link.of(SlotGranted)):
        await curio.sleep(0.01)
    await role.handle(link, Decode(req, "/v1/completions", b"{}", b"{}", 0.5))


class TestDecodeRole:
    """Leases, answers and the memory they hold."""

    def test_answers_come_whole_and_never_over_capacity(self) -> None:
        """Six requests on two slots are all answered, two at a time."""

        async def scenario() -> tuple[int, int, int]:
            engine, link = FakeEngine(), FakeLink()
            role = make_role(engine)
            runner = await curio.spawn(role.run, daemon=True)
            async with curio.TaskGroup() as group:
                for req in range(1, 7):
                    await group.spawn(serve, role, link, req)
            await curio.sleep(10)
            await runner.cancel()
            return engine.most, len(link.of(DecodeDone)), len(link.of(Tokens))

        assert run_virtual(scenario) == (2, 6, 30)

    def test_a_cancel_frees_the_slot_for_the_next(self) -> None:
        """When the caller goes, the engine's memory is free and the next is granted."""

        async def scenario() -> tuple[int, list[int]]:
            engine, link = FakeEngine(), FakeLink()
            role = make_role(engine, capacity=1)
            await serve(role, link, 1)
            await role.handle(link, reserve(2))  # type: ignore[arg-type]
            await curio.sleep(0.15)
            await role.handle(link, Cancel(1))  # type: ignore[arg-type]
            return engine.running, [msg.req for msg in link.of(SlotGranted)]

        assert run_virtual(scenario) == (0, [1, 2])

    def test_an_entry_that_is_gone_holds_nothing(self) -> None:
        """All that an entry asked for ends with its link: running, leased and waiting."""

        async def scenario() -> tuple[int, bool]:
            engine, link = FakeEngine(), FakeLink()
            role = make_role(engine)
            for req in (1, 2):
                await serve(role, link, req)
            await role.handle(link, reserve(3))  # type: ignore[arg-type]
            await curio.sleep(0.15)
            await role.cancel_requests_of(link)  # type: ignore[arg-type]
            return engine.running, role.is_busy

        assert run_virtual(scenario) == (0, False)

    def test_a_stalled_transfer_is_noticed(self) -> None:
        """A transfer that brings nothing in time is a typed failure and frees the slot."""

        async def scenario() -> tuple[list[str], bool]:
            engine, link = FakeEngine(), FakeLink()
            engine.stalled = True
            role = make_role(engine)
            await serve(role, link, 1)
            await curio.sleep(0.6)
            return [msg.code for msg in link.of(Failed)], role.is_busy

        assert run_virtual(scenario) == (["transfer-stalled"], False)

    def test_slots_of_an_earlier_start_are_counted_out(self) -> None:
        """Beside an engine still full of others' requests, nothing is granted until they end."""

        async def scenario() -> tuple[int, int]:
            engine, link = FakeEngine(), FakeLink()
            engine.foreign = 2
            role = make_role(engine)
            runner = await curio.spawn(role.watch_backend, daemon=True)
            await curio.sleep(0.1)
            await role.handle(link, reserve(1))  # type: ignore[arg-type]
            await curio.sleep(2)
            before = len(link.of(SlotGranted))
            engine.foreign = 0
            await curio.sleep(2)
            await runner.cancel()
            return before, len(link.of(SlotGranted))

        assert run_virtual(scenario) == (0, 1)

    def test_a_dead_engine_grants_nothing(self) -> None:
        """While the engine can't be reached its slots aren't given out, and the load says so."""

        async def scenario() -> tuple[list[str], bool, int]:
            engine, link = FakeEngine(), FakeLink()
            role = make_role(engine)
            runner = await curio.spawn(role.watch_backend, daemon=True)
            await curio.sleep(0.1)
            engine.dead = True
            await curio.sleep(1)
            await role.handle(link, reserve(1))  # type: ignore[arg-type]
            down = role.load(await curio.clock()).draining
            engine.dead = False
            await curio.sleep(1)
            await role.handle(link, reserve(2))  # type: ignore[arg-type]
            await runner.cancel()
            return [msg.code for msg in link.of(Refused)], down, len(link.of(SlotGranted))

        assert run_virtual(scenario) == (["backend-down"], True, 1)

    def test_an_expired_lease_is_not_run(self) -> None:
        """A Decode that comes after its lease ended is told that nothing ran."""

        async def scenario() -> list[Failed]:
            engine, link = FakeEngine(), FakeLink()
            role = make_role(engine)
            await role.handle(link, reserve(1))  # type: ignore[arg-type]
            runner = await curio.spawn(role.run, daemon=True)
            await curio.sleep(5)
            await role.handle(link, Decode(1, "/", b"{}", b"{}"))  # type: ignore[arg-type]
            await runner.cancel()
            return link.of(Failed)

        assert run_virtual(scenario) == [Failed(1, "lease-expired", False)]

    def test_a_draining_agent_refuses_new_work(self) -> None:
        """After close nothing new is taken, and what runs goes on to its end."""

        async def scenario() -> tuple[list[str], int]:
            engine, link = FakeEngine(), FakeLink()
            role = make_role(engine)
            await serve(role, link, 1)
            role.stop_accepting()
            await role.handle(link, reserve(2))  # type: ignore[arg-type]
            await curio.sleep(2)
            return [msg.code for msg in link.of(Refused)], len(link.of(DecodeDone))

        assert run_virtual(scenario) == (["draining"], 1)


class SlowService(PlainService):
    """A service that takes a second."""

    def __init__(self) -> None:
        self.runs = 0

    async def alive(self) -> bool:
        """Say yes."""
        return True

    async def call(
        self, method: str, target: str, headers: Mapping[str, str], body: bytes
    ) -> ServiceAnswer:
        """Run once."""
        self.runs += 1
        await curio.sleep(1.0)
        return ServiceAnswer(200, {}, b"")


class RestingService(SlowService):
    """A service that refuses the first call and wants none for three seconds."""

    async def call(
        self, method: str, target: str, headers: Mapping[str, str], body: bytes
    ) -> ServiceAnswer:
        """Refuse, then run."""
        answer = await super().call(method, target, headers, body)
        if self.runs > 1:
            return answer
        return ServiceAnswer(503, {"retry-after": "3"}, b"", rest_s=3.0)


def plain_role(service: PlainService) -> PlainRole:
    """Return the role with a silent log; it passes one call on at a time."""
    return PlainRole(
        service=service,
        queue=WorkQueue(width=1, units_per_s=10.0),
        keeper=BundleKeeper({}),
        log=get_log(program="test", stream=io.StringIO()),
        metrics=Metrics(prefix="test"),
    )


class TestPlainRole:
    """Calls to a plain service."""

    def test_a_service_that_rests_gets_no_call(self) -> None:
        """Whoever comes, or waits already, is refused with the time that is left.

        Callers saw calls refused by a service that had asked for none for a while: its word went to
        the caller that was refused, and the next call was sent at once.
        """

        async def scenario() -> tuple[int, list[float], int]:
            service, link = RestingService(), FakeLink()
            role = plain_role(service)
            for req in range(4):
                call = ServiceCall(req, "POST", "/x", {}, b"", 20.0)
                await role.handle(link, call)  # type: ignore[arg-type]
                await curio.sleep(0.7)
            left = [round(msg.retry_after_s, 1) for msg in link.of(Refused)]
            await curio.sleep(2.0)
            await role.handle(link, ServiceCall(9, "POST", "/x", {}, b"", 20.0))  # type: ignore[arg-type]
            await curio.sleep(1.5)
            return service.runs, left, link.of(ServiceResponse)[-1].status

        runs, left, status = run_virtual(scenario)
        assert (runs, status) == (2, 200)
        assert left == [3.0, 2.6, 1.9]

    def test_a_begun_call_outlives_its_entry(self) -> None:
        """When the entry dies, the begun call ends, the waiting one is dropped, others go on."""

        async def scenario() -> tuple[int, int, bool]:
            service, link, other = SlowService(), FakeLink(), FakeLink()
            role = plain_role(service)
            for req, owner in ((1, link), (2, link), (3, other)):
                call = ServiceCall(req, "POST", "/x", {}, b"", 20.0)
                await role.handle(owner, call)  # type: ignore[arg-type]
            await curio.sleep(0.1)
            await role.cancel_requests_of(link)  # type: ignore[arg-type]
            await curio.sleep(5)
            return service.runs, len(other.of(ServiceResponse)), role.is_busy

        assert run_virtual(scenario) == (2, 1, False)
