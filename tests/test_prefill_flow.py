"""Tests of prompts of coordinated services in whole gateways: who processes them, and failures."""

from __future__ import annotations

import base64
import json
import re
from collections import Counter
from typing import Any

import curio
import msgspec
import pytest

from crankhinge.decisions import EngineRole
from crankhinge.gateway._peer_messages import EngineOrdered
from crankhinge.http import Exchange
from platform_fakes import HOST, FakeReplica
from test_placement_flow import LONG_ANSWER, SHORT_ANSWER, PlacedFleet

# Seconds that an engine takes for a prompt; it processes one at a time.
PROMPT_S = 0.1


class OneAtATime:
    """Processes the prompts of a prefill engine one after the other."""

    def __init__(self) -> None:
        self._lock = curio.Lock()
        self.prompt_s = PROMPT_S

    async def __call__(self, replica: FakeReplica, exchange: Exchange) -> None:
        """Respond with the handle of the KV cache."""
        async with self._lock:
            await curio.sleep(self.prompt_s)
        body = json.dumps({"kv_handle": f"h{len(replica.arrivals)}", "tokens": 1, "version": 1})
        fields = [("x-request-id", exchange.req.headers["x-request-id"]), *replica.signal_fields]
        await exchange.respond_with_fields(200, fields, body.encode())


class PrefillFleet(PlacedFleet):
    """Gateways, decode engines and prefill engines of one service."""

    def __init__(self, gateways: int = 4, readers: int = 4) -> None:
        super().__init__(gateways=gateways, engines=6)
        self.handlers = [OneAtATime() for _ in range(readers)]
        self.readers = [
            self.first.add_replica(f"i-r{n}", "llm", "prefill", prefill_handler=handler)
            for n, handler in enumerate(self.handlers)
        ]

    async def warm_up(self) -> None:
        """Switch placement on, and forget what happened meanwhile."""
        await super().warm_up()
        self.statuses.clear()
        for engine in (*self.engines, *self.readers):
            engine.arrivals.clear()

    def prompt_counts(self) -> Counter[str]:
        """Return how many prompts each prefill engine got."""
        return Counter({reader.incarnation_id: len(reader.arrivals) for reader in self.readers})

    def prompt_ms(self, prefix: str) -> list[int]:
        """Return how long the prompts of the requests took, in milliseconds."""
        lines = self.logged("event=answered ", f"request={prefix}")
        found = [re.search(r"read_ms=(\d+)", line) for line in lines]
        return [int(match[1]) for match in found if match]

    def published_work(self) -> list[dict[str, Any]]:
        """Return the workload that each gateway has published."""
        items = self.first.store.items
        records = [
            json.loads(base64.b64decode(item["value"]))
            for key, item in items.items()
            if key.startswith("crankhinge/work/")
        ]
        return [record["sheets"]["llm"] for record in records]

    def decoded_alone(self) -> int:
        """Return how many requests had their prompt processed by the decode engine."""
        return sum(
            "kv-from" not in arrival.headers
            for engine in self.engines
            for arrival in engine.arrivals
        )


def test_prompts_go_to_the_engines_that_the_coordinator_names() -> None:
    """Gateways that choose for themselves send several prompts to one engine."""
    fleet = PrefillFleet()

    async def scenario() -> None:
        await fleet.warm_up()
        for _ in range(6):
            # One prompt for each engine at the same time.
            await fleet.send(4, 0.0, f"q{len(fleet.statuses)}-", LONG_ANSWER)
            await curio.sleep(0.5)
        await curio.sleep(2.0)

    fleet.run(scenario)
    assert fleet.statuses == [200] * 24
    assert set(fleet.prompt_counts().values()) == {6}
    assert fleet.decoded_alone() == 0
    times = fleet.prompt_ms("q")
    print("prompt times in ms:", Counter(times))
    assert len(times) == 24
    assert max(times) < 1.5 * PROMPT_S * 1000


def test_named_engine_that_fails_is_replaced_and_then_avoided() -> None:
    """A failure at one gateway must not be repeated by each of the others."""
    fleet = PrefillFleet()

    async def scenario() -> None:
        await fleet.warm_up()
        fleet.readers[0].prefill_handler = None
        fleet.readers[0].refuses_prefill = True
        await fleet.send(40, 0.05, "q", LONG_ANSWER)
        await curio.sleep(2.0)

    fleet.run(scenario)
    assert fleet.statuses == [200] * 40
    assert fleet.decoded_alone() == 0
    # Two seconds of load, and two seconds of avoidance after the first failure.
    assert fleet.prompt_counts()["i-r0"] <= 2


@pytest.mark.parametrize("change", ["leaving", "decode"])
def test_engine_that_leaves_or_changes_its_role_is_not_named(change: str) -> None:
    """The coordinator learns both from the list of servers, as all instances do."""
    fleet = PrefillFleet()

    async def scenario() -> None:
        await fleet.warm_up()
        if change == "leaving":
            await fleet.readers[0].publish_entry(state="draining")
        else:
            await fleet.readers[0].publish_entry(phase="decode")
        await curio.sleep(1.5)
        fleet.readers[0].arrivals.clear()
        await fleet.send(24, 0.05, "q", LONG_ANSWER)
        await curio.sleep(2.0)

    fleet.run(scenario)
    assert fleet.statuses == [200] * 24
    assert not [arrival for arrival in fleet.readers[0].arrivals if "x-stage" in arrival.headers]


def test_engine_that_crashed_costs_one_attempt_of_all_gateways() -> None:
    """Its entry stays in the list for seconds, and each gateway had to find out by itself."""
    fleet = PrefillFleet()

    async def scenario() -> None:
        await fleet.warm_up()
        await curio.spawn(fleet.readers[0].crash, daemon=True)
        await fleet.send(40, 0.05, "q", LONG_ANSWER)
        await curio.sleep(2.0)

    fleet.run(scenario)
    assert fleet.statuses == [200] * 40
    assert fleet.decoded_alone() == 0
    failed = fleet.logged("event=reading_failed", "server=i-r0")
    assert 1 <= len(failed) <= 2


def test_engine_that_one_gateway_cannot_use_is_avoided_for_all() -> None:
    """What one gateway knows of an engine, the others need not find out."""
    fleet = PrefillFleet()

    async def scenario() -> None:
        await fleet.warm_up()
        # Only this gateway learns of an order to change the role; the others did not get theirs.
        [coordinator] = [
            gateway for gateway in fleet.gateways if gateway.logs.matching("first=true")
        ]
        knowing = next(gateway for gateway in fleet.gateways if gateway is not coordinator)
        order = EngineOrdered("i-r0", EngineRole.DECODE, 13.0)
        sock = curio.socket.socket(curio.socket.AF_INET, curio.socket.SOCK_DGRAM)
        async with sock:
            await sock.sendto(msgspec.msgpack.encode(order), (HOST, knowing.peer_port))
        fleet.gateways = [knowing]
        # One prompt for each engine; three without a result would be a failure, too.
        await fleet.send(4, 0.0, "a", LONG_ANSWER)
        await curio.sleep(0.3)
        assert knowing.logs.matching("event=reader_unusable", "server=i-r0")
        fleet.gateways = [coordinator]
        for number in range(3):
            # One prompt for each engine, if it is not avoided.
            await fleet.send(4, 0.0, f"q{number}-", LONG_ANSWER)
            await curio.sleep(0.4)
        await curio.sleep(2.0)

    fleet.run(scenario)
    assert fleet.statuses == [200] * 16
    assert fleet.decoded_alone() == 0
    assert not fleet.readers[0].arrivals


def test_engine_without_the_model_is_replaced_and_not_avoided() -> None:
    """The coordinator does not know the models of requests."""
    fleet = PrefillFleet(gateways=2, readers=2)
    fleet.readers[0].models = ("other",)

    async def scenario() -> None:
        await fleet.warm_up()
        await fleet.send(20, 0.1, "q", {**LONG_ANSWER, "x_model": "m"})
        await curio.sleep(2.0)

    fleet.run(scenario)
    assert fleet.statuses == [200] * 20
    assert fleet.decoded_alone() == 0
    assert fleet.prompt_counts() == Counter({"i-r0": 0, "i-r1": 20})


def test_engine_that_stalls_costs_a_few_prompts() -> None:
    """Until a prompt times out, missing results are all that the coordinator sees."""
    fleet = PrefillFleet()

    async def scenario() -> None:
        await fleet.warm_up()
        fleet.handlers[0].prompt_s = 60.0
        await fleet.send(80, 0.05, "q", LONG_ANSWER)
        await curio.sleep(4.0)

    fleet.run(scenario)
    assert fleet.statuses == [200] * 80
    print("prompts of the stalled engine:", fleet.prompt_counts()["i-r0"])
    # Three without a result, others that were sent meanwhile, and one after two seconds; half of
    # its even share of 20 would show that it is not avoided.
    assert fleet.prompt_counts()["i-r0"] < 10


def test_requests_without_a_coordinator_choose_the_prefill_engine_themselves() -> None:
    """Nothing depends on the coordinator."""
    fleet = PrefillFleet(gateways=3)

    async def scenario() -> None:
        await fleet.warm_up()
        [coordinator] = [
            gateway for gateway in fleet.gateways if gateway.logs.matching("first=true")
        ]
        fleet.gateways.remove(coordinator)
        await curio.spawn(coordinator.kill_gateway, daemon=True)
        await fleet.send(30, 0.1, "q", LONG_ANSWER)
        await curio.sleep(3.0)

    fleet.run(scenario)
    assert fleet.statuses == [200] * 30
    assert fleet.decoded_alone() == 0
    assert sum(fleet.prompt_counts().values()) == 30


def test_uncoordinated_prompts_are_not_reported() -> None:
    """Below the threshold, everything stays as it was, and no datagram is sent."""
    fleet = PrefillFleet(gateways=2)

    async def scenario() -> None:
        await curio.sleep(5.0)
        await fleet.send(20, 0.1, "q", SHORT_ANSWER)
        await curio.sleep(2.0)

    fleet.run(scenario)
    assert fleet.statuses == [200] * 20
    assert not fleet.logged("event=placement")


def test_slow_prompt_is_not_abandoned_while_its_reservation_lasts() -> None:
    """A prompt abandoned after 1.00 s was processed a second time, by the decode engine."""
    fleet = PrefillFleet(readers=1)

    async def scenario() -> None:
        await fleet.warm_up()
        fleet.handlers[0].prompt_s = 1.5
        await fleet.send(1, 0.0, "q", LONG_ANSWER)
        await curio.sleep(4.0)

    fleet.run(scenario)
    assert fleet.statuses == [200]
    assert fleet.decoded_alone() == 0
    assert fleet.prompt_ms("q") == [1500]


def test_prompt_is_abandoned_before_its_reservation_lapses() -> None:
    """The request must reach the decode engine while its memory is reserved."""
    fleet = PrefillFleet(readers=1)
    began_at: list[float] = []

    async def scenario() -> None:
        await fleet.warm_up()
        fleet.handlers[0].prompt_s = 5.0
        began_at.append(await curio.clock())
        await fleet.send(1, 0.0, "q", LONG_ANSWER)
        await curio.sleep(6.0)

    fleet.run(scenario)
    assert fleet.statuses == [200]
    assert fleet.decoded_alone() == 1
    [arrival] = [arrival for engine in fleet.engines for arrival in engine.arrivals]
    assert "hold" in arrival.headers
    assert 1.5 < arrival.arrived_at - began_at[0] < 2.0


def test_uncoordinated_prompt_is_abandoned_after_a_second() -> None:
    """Below the threshold, everything stays as it was."""
    fleet = PrefillFleet(gateways=1, readers=1)
    began_at: list[float] = []

    async def scenario() -> None:
        await curio.sleep(5.0)
        fleet.handlers[0].prompt_s = 1.5
        began_at.append(await curio.clock())
        await fleet.send(1, 0.0, "q", SHORT_ANSWER)
        await curio.sleep(4.0)

    fleet.run(scenario)
    assert fleet.statuses == [200]
    [arrival] = [arrival for engine in fleet.engines for arrival in engine.arrivals]
    assert 1.0 <= arrival.arrived_at - began_at[0] < 1.1


def test_split_gets_the_work_without_waits_and_the_mean_memory() -> None:
    """Waits counted as work, and answers counted in full from the start, change the split."""
    fleet = PrefillFleet(gateways=2, readers=1)

    async def scenario() -> None:
        await fleet.warm_up()
        for number in range(40):
            # The second prompt waits for the first one.
            await fleet.send(2, 0.0, f"q{number}-", LONG_ANSWER)
            await curio.sleep(0.6)
        await curio.sleep(10.0)

    fleet.run(scenario)
    assert fleet.statuses == [200] * 80
    assert Counter(fleet.prompt_ms("q")) == {100: 40, 200: 40}
    work = fleet.published_work()
    print([(sheet["token_s"], sheet["part"]) for sheet in work])
    assert len(work) == 2
    for sheet in work:
        # A prompt of 1,000 tokens and half of an answer of 500, in 10,000 tokens. The first ten
        # requests of each gateway, a third or a quarter of those that it published, count in full.
        assert 0.125 < sheet["part"] < 0.135
    durations = [seconds for sheet in work for _, seconds in sheet["newest"]]
    assert max(durations) < 1.5 * PROMPT_S
