"""Tests of the agents' roles with fake backend servers and virtual time."""

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
    ServiceResponse,
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
    ServiceCallDone,
    SlotGranted,
    Tokens,
)
from virtual_time import run_virtual


class FakeStream(DecodeStream):
    """An answer of some tokens, one every 0.1 seconds."""

    def __init__(self, engine: "FakeEngine", tokens: int) -> None:
        self._engine = engine
        self._left = tokens

    async def next_pieces(self) -> list[str]:
        """Return the next token after 0.1 s, or an empty list after the last one."""
        if not self._left:
            self.finish_reason = "length"
            return []
        await curio.sleep(0.1)
        self._left -= 1
        return ["t"]

    async def close(self) -> None:
        """Free the slot that the answer has used on the engine."""
        self._engine.running -= 1


class FakeEngine(Engine):
    """An engine that counts running requests, and whose transfers can be stalled."""

    def __init__(self) -> None:
        self.running = 0
        self.max_running = 0
        self.foreign = 0
        self.stalled = False
        self.dead = False

    async def prefill(self, path: str, body: bytes, *, request_id: int) -> PrefillResult:
        """Raise an error; a decode role never asks its engine to prefill."""
        raise NotImplementedError

    async def decode(
        self, path: str, body: bytes, kv_handle: bytes, *, request_id: int
    ) -> DecodeStream:
        """Return a stream of five tokens, once transfers are not stalled."""
        while self.stalled:
            await curio.sleep(0.1)
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        return FakeStream(self, 5)

    async def load_adapter(self, name: str, path: str, version: int, *, fencing_token: int) -> None:
        """Raise an error; these tests load no adapters."""
        raise NotImplementedError

    async def get_load(self) -> EngineLoad:
        """Return the number of running requests, or fail if the engine is dead."""
        if self.dead:
            raise EngineFailed("dead", ran=False)
        return EngineLoad(self.running + self.foreign, 0)


class FakeLink:
    """A link to an entry that records the messages it is given."""

    def __init__(self) -> None:
        self.sent: list[Any] = []
        self.peer = type("Peer", (), {"name": "entry"})

    async def send(self, msg: Any) -> None:
        """Record a message instead of sending it."""
        self.sent.append(msg)

    def of(self, kind: type) -> list[Any]:
        """Return the recorded messages that are instances of one class."""
        return [msg for msg in self.sent if isinstance(msg, kind)]


def make_role(engine: FakeEngine, capacity: int = 2) -> DecodeRole:
    """Return a decode role with *capacity* slots, whose log is discarded."""
    return DecodeRole(
        engine=engine,
        table=SlotTable(capacity=capacity, step_s=0.1, lease_margin_s=1.0),
        keeper=BundleKeeper({}),
        log=get_log(program="test", stream=io.StringIO()),
        metrics=Metrics(prefix="test"),
    )


def reserve(req: int, within: float = 30.0) -> ReserveSlot:
    """Return a message that requests a slot and waits for at most *within* seconds."""
    return ReserveSlot(req, "m", "m1", 1, within, 0.05, 5)


async def serve(role: DecodeRole, link: Any, req: int) -> None:
    """Request a slot, wait until it is granted and start a decode, as an entry does."""
    await role.handle(link, reserve(req))
    while not any(msg.req == req for msg in link.of(SlotGranted)):
        await curio.sleep(0.01)
    await role.handle(link, Decode(req, "/v1/completions", b"{}", b"{}", 0.5))


class TestDecodeRole:
    """How a decode role leases the slots of its engine and streams answers."""

    def test_running_requests_never_exceed_the_capacity(self) -> None:
        """Six requests arrive at once for two slots; all are answered, each with five tokens."""

        async def scenario() -> tuple[int, int, int]:
            engine, link = FakeEngine(), FakeLink()
            role = make_role(engine)
            runner = await curio.spawn(role.run, daemon=True)
            async with curio.TaskGroup() as group:
                for req in range(1, 7):
                    await group.spawn(serve, role, link, req)
            await curio.sleep(10)
            await runner.cancel()
            return engine.max_running, len(link.of(DecodeDone)), len(link.of(Tokens))

        assert run_virtual(scenario) == (2, 6, 30)

    def test_cancelled_request_frees_its_slot_for_the_next(self) -> None:
        """The engine must stop the cancelled request before the slot is granted again."""

        async def scenario() -> tuple[int, list[int]]:
            engine, link = FakeEngine(), FakeLink()
            role = make_role(engine, capacity=1)
            await serve(role, link, 1)
            await role.handle(link, reserve(2))  # type: ignore[arg-type]
            await curio.sleep(0.15)
            await role.handle(link, Cancel(1))  # type: ignore[arg-type]
            return engine.running, [msg.req for msg in link.of(SlotGranted)]

        assert run_virtual(scenario) == (0, [1, 2])

    def test_ended_link_frees_all_requests_of_its_entry(self) -> None:
        """The entry has two running requests and a waiting one when its link ends."""

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

    def test_stalled_transfer_fails_the_request(self) -> None:
        """A transfer of the KV cache that never ends must not occupy the slot for ever."""

        async def scenario() -> tuple[list[str], bool]:
            engine, link = FakeEngine(), FakeLink()
            engine.stalled = True
            role = make_role(engine)
            await serve(role, link, 1)
            await curio.sleep(0.6)
            return [msg.code for msg in link.of(Failed)], role.is_busy

        assert run_virtual(scenario) == (["transfer-stalled"], False)

    def test_slots_of_a_previous_incarnation_are_not_granted(self) -> None:
        """After a restart of the agent, the engine still runs requests that it does not know."""

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

    def test_slots_of_an_unreachable_engine_are_not_granted(self) -> None:
        """Requests are refused, and the reported load shows draining, until the engine is back."""

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

    def test_decode_after_the_lease_expired_fails(self) -> None:
        """The failure says that nothing has run, so that the entry may retry the request."""

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

    def test_draining_agent_refuses_new_requests(self) -> None:
        """After ``stop_accepting``, the agent still completes the request that is running."""

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
    """A service whose calls take one second."""

    def __init__(self) -> None:
        self.runs = 0

    async def is_reachable(self) -> bool:
        """Return True; the service of these tests never fails."""
        return True

    async def call(
        self, method: str, target: str, headers: Mapping[str, str], body: bytes
    ) -> ServiceResponse:
        """Count the call and respond after one second."""
        self.runs += 1
        await curio.sleep(1.0)
        return ServiceResponse(200, {}, b"")


class BackoffService(SlowService):
    """A service that refuses the first call and asks for no calls for three seconds."""

    async def call(
        self, method: str, target: str, headers: Mapping[str, str], body: bytes
    ) -> ServiceResponse:
        """Refuse the first call with a backoff of 3 s and run the others."""
        answer = await super().call(method, target, headers, body)
        if self.runs > 1:
            return answer
        return ServiceResponse(503, {"retry-after": "3"}, b"", backoff_s=3.0)


def plain_role(service: PlainService) -> PlainRole:
    """Return a plain role whose log is discarded and that forwards one call at a time."""
    return PlainRole(
        service=service,
        queue=WorkQueue(width=1, units_per_s=10.0),
        keeper=BundleKeeper({}),
        log=get_log(program="test", stream=io.StringIO()),
        metrics=Metrics(prefix="test"),
    )


class TestPlainRole:
    """How a plain role forwards calls to its service."""

    def test_service_in_backoff_gets_no_call(self) -> None:
        """Waiting and new calls are refused with the remaining time of the backoff.

        Guards against a fault in which only the refused caller received the service's
        request for a backoff, and the agent sent the next call to the service immediately.
        """

        async def scenario() -> tuple[int, list[float], int]:
            service, link = BackoffService(), FakeLink()
            role = plain_role(service)
            for req in range(4):
                call = ServiceCall(req, "POST", "/x", {}, b"", 20.0)
                await role.handle(link, call)  # type: ignore[arg-type]
                await curio.sleep(0.7)
            left = [round(msg.retry_after_s, 1) for msg in link.of(Refused)]
            await curio.sleep(2.0)
            await role.handle(link, ServiceCall(9, "POST", "/x", {}, b"", 20.0))  # type: ignore[arg-type]
            await curio.sleep(1.5)
            return service.runs, left, link.of(ServiceCallDone)[-1].status

        runs, left, status = run_virtual(scenario)
        assert (runs, status) == (2, 200)
        assert left == [3.0, 2.6, 1.9]

    def test_started_call_continues_after_its_link_ends(self) -> None:
        """The waiting call of the ended link is dropped, because nobody receives its response.

        The started call may have effects, so it completes. Calls of other entries are not
        affected.
        """

        async def scenario() -> tuple[int, int, bool]:
            service, link, other = SlowService(), FakeLink(), FakeLink()
            role = plain_role(service)
            for req, owner in ((1, link), (2, link), (3, other)):
                call = ServiceCall(req, "POST", "/x", {}, b"", 20.0)
                await role.handle(owner, call)  # type: ignore[arg-type]
            await curio.sleep(0.1)
            await role.cancel_requests_of(link)  # type: ignore[arg-type]
            await curio.sleep(5)
            return service.runs, len(other.of(ServiceCallDone)), role.is_busy

        assert run_virtual(scenario) == (2, 1, False)
