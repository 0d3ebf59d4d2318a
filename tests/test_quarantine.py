"""Regression tests of requests that end the servers that run them.

What users saw: a request under which three backend servers had ended was sent to servers four times
more, and seven ended in all; sixteen streams of other callers were cut with it.

Order of events: a caller sends a request; the server that runs it ends 0.1 s after it began, its
connection closes and nobody listens at its address any more. The caller comes again, with the same
path and body and a new identity, at whichever instance the balancer chooses, seven times in 15 s.
Each time it is sent to the next server.

Cause: what became of a request was known to its attempt alone. Nothing outlived the attempt, so
the next one began from nothing, on the same instance too.

Evidence: one play of the users' day, in which one instance sent it to five of the seven servers,
each attempt once (``sent=1``); reservations at these servers met "connection refused".
"""

from __future__ import annotations

import json
from collections.abc import Callable
from functools import partial
from typing import Any

import curio
import pytest

from crankhinge.errors import BadHttp, HttpClosed
from crankhinge.http import Exchange
from platform_fakes import (
    FakeReplica,
    GatewayHarness,
    crash,
    make_events,
    respond_ok,
    respond_stream,
    route,
)
from virtual_time import run_virtual

ONCE = route("r-once", "/once/", "unsafe", "plain")
SAFE = route("r-safe", "/safe/", "safe", "plain", max_attempts=2)
STREAM = route("r-stream", "/stream/", "streaming", "llm")
RESUMED = route("r-resumed", "/resumed/", "streaming", "llm", max_attempts=2, resumable=True)
TOKENS = {"x_token_count": "100,50", "length_hint": "40"}
CRASHING = b"crashing"
# Servers that may end under one request.
MOST_ENDED = 3
# Seconds after which instances know each other, and after which a server is back.
SETTLED_S = 8.0
BACK_S = 2.0
# Seconds between two attempts of a caller, and until all instances have heard of a crash.
AGAIN_S = 1.0
TOLD_S = 0.3


async def crash_by_body(replica: FakeReplica, exchange: Exchange) -> None:
    """End the process that runs a certain request; answer all others."""
    behave = crash if exchange.req.body == CRASHING else respond_ok
    await behave(replica, exchange)


async def crash_in_stream(replica: FakeReplica, exchange: Exchange) -> None:
    """End the process in the middle of a certain request's stream; answer all others."""
    if exchange.req.body != CRASHING:
        await respond_stream(replica, exchange)
        return
    first = int(exchange.req.headers.get("last-event-id", "0")) + 1
    await exchange.start_with_fields(200, replica.response_fields(exchange))
    await exchange.write(make_events(first, first))
    await replica.crash()


class Fleet:
    """Two instances before servers that are back soon after they crashed.

    Args:
        tenants: client accounts, where callers need keys.
        instances: how many.
    """

    def __init__(self, tenants: Any = None, instances: int = 2) -> None:
        self.harness = GatewayHarness(tenants=tenants)
        others = [self.harness.add_gateway(f"g{number}") for number in range(1, instances)]
        self.gateways = [self.harness, *others]
        self.replicas: list[FakeReplica] = []
        self.statuses: list[int] = []

    def add(self, count: int, service: str, phase: str = "", **more: Any) -> None:
        """Add servers of one kind."""
        for number in range(count):
            ident = f"i-{phase or 'plain'}-{number}"
            more = {"handler": crash_by_body, "restart_s": BACK_S, **more}
            self.replicas.append(self.harness.add_replica(ident, service, phase, **more))

    @property
    def ended(self) -> int:
        """How many lives of servers ended."""
        return sum(replica.incarnations - 1 + replica.crashed.is_set() for replica in self.replicas)

    async def ask(self, number: int, path: str, **more: Any) -> int:
        """Send an attempt to the instances in turn; returns its status, 0 for none."""
        gateway = self.gateways[number % len(self.gateways)]
        try:
            status, self.headers, self.body = await gateway.call(f"q{number}", path, **more)
        except (BadHttp, HttpClosed):
            status = 0
        self.statuses.append(status)
        return status

    async def come_again(self, times: int, path: str, **more: Any) -> None:
        """Send attempts at the crashing request."""
        for _ in range(times):
            await self.ask(len(self.statuses), path, body=CRASHING, **more)
            await curio.sleep(AGAIN_S)

    def play(self, story: Callable[[], Any], *routes: dict[str, Any]) -> None:
        """Run *story* once the instances know each other."""

        async def settled() -> None:
            await curio.sleep(SETTLED_S)
            await story()

        run_virtual(self.harness.run, settled, *routes, settle_s=0.003)


def plain_fleet(instances: int = 2) -> Fleet:
    """Return a fleet before plain servers."""
    fleet = Fleet(instances=instances)
    fleet.add(6, "plain")
    return fleet


def engine_fleet(**readers: Any) -> Fleet:
    """Return a fleet before engines."""
    fleet = Fleet()
    fleet.add(4, "llm", "prefill", **{"handler": crash_in_stream, **readers})
    fleet.add(6, "llm", "decode", handler=crash_in_stream)
    return fleet


class TestCrashingRequest:
    """A request ends each server that begins to run it, and its caller comes again."""

    @pytest.mark.parametrize("fresh", [False, True])
    def test_reaches_no_server_after_the_third(self, fresh: bool) -> None:
        """Whichever of two instances it comes to, and on new connections too."""
        fleet = plain_fleet()

        async def story() -> None:
            await fleet.come_again(8, "/once/a", new_connection=fresh)

        fleet.play(story, ONCE)
        assert fleet.ended == MOST_ENDED
        assert fleet.statuses == [502] * MOST_ENDED + [503] * 5

    def test_is_repeated_no_further_where_it_may_be_repeated(self) -> None:
        """One attempt ends two servers; the second attempt ends one more and is not repeated.

        The instance that repeats it hears of the third crash before it has chosen the fourth
        server, or the two repeats cross: one more server ends, and no attempt after that.
        """
        fleet = plain_fleet()

        async def story() -> None:
            await fleet.come_again(6, "/safe/a")

        fleet.play(story, SAFE)
        assert fleet.ended <= MOST_ENDED + 1
        assert fleet.statuses[2:] == [503] * 4

    @pytest.mark.parametrize(("path", "most"), [("/stream/a", 3), ("/resumed/a", 4)])
    def test_is_written_by_no_further_engine(self, path: str, most: int) -> None:
        """Streams too, and those that are taken up elsewhere within an attempt."""
        fleet = engine_fleet()

        async def story() -> None:
            await fleet.come_again(8, path, **TOKENS)

        fleet.play(story, STREAM, RESUMED)
        assert MOST_ENDED <= fleet.ended <= most
        assert fleet.statuses[MOST_ENDED:] == [503] * 5

    def test_is_read_by_no_further_engine(self) -> None:
        """A prompt that ends the engines that read it is read by the engine that writes."""
        fleet = Fleet()
        fleet.add(6, "llm", "prefill", crash_on_prompt=CRASHING)
        fleet.add(2, "llm", "decode", handler=respond_stream)

        async def story() -> None:
            await fleet.come_again(8, "/stream/a", **TOKENS)

        fleet.play(story, STREAM)
        assert MOST_ENDED <= fleet.ended <= MOST_ENDED + 1
        assert fleet.statuses == [200] * 8

    def test_is_told_by_its_account(self) -> None:
        """The same words of another account are another request; a changed key changes nothing."""
        tenants = [
            {"name": "one", "api_keys": ["k1", "k2"]},
            {"name": "two", "api_keys": ["k3"]},
        ]
        fleet = Fleet(tenants)
        fleet.add(6, "plain")

        async def story() -> None:
            await fleet.come_again(2, "/once/a", authorization="Bearer k1")
            await fleet.come_again(3, "/once/a", authorization="Bearer k2")
            assert fleet.statuses == [502] * 3 + [503] * 2
            await fleet.come_again(1, "/once/a", authorization="Bearer k3")
            assert fleet.statuses[-1] == 502

        fleet.play(story, ONCE)

    def test_is_refused_by_instances_that_neither_saw_nor_counted_a_crash(self) -> None:
        """All are told within moments, before they read it in a note."""
        fleet = plain_fleet(instances=6)

        async def story() -> None:
            for number in range(3):
                await fleet.ask(0, "/once/a", body=CRASHING)
                await curio.sleep(TOLD_S if number == 2 else AGAIN_S)
            for number in range(6):
                assert await fleet.ask(number, "/once/a", body=CRASHING) == 503

        fleet.play(story, ONCE)
        assert fleet.ended == MOST_ENDED

    def test_is_refused_though_an_instance_was_told_nothing(self) -> None:
        """The notes in the store tell what a datagram did not."""
        fleet = plain_fleet()
        deaf = fleet.harness.add_gateway("deaf")
        deaf.peer_port = 1

        async def story() -> None:
            await fleet.come_again(4, "/once/a")
            await curio.sleep(4.0)
            status, _, _ = await deaf.call("d", "/once/a", body=CRASHING)
            assert status == 503

        fleet.play(story, ONCE)
        assert fleet.ended == MOST_ENDED


class TestRefusal:
    """What the caller of such a request is told."""

    def test_comes_at_once_and_tells_what_to_do(self) -> None:
        """It has not run, why, and when an attempt may run again."""
        fleet = plain_fleet()

        async def story() -> None:
            await fleet.come_again(3, "/once/a")
            began = await curio.clock()
            assert await fleet.ask(0, "/once/a", body=CRASHING) == 503
            assert await curio.clock() - began < 0.1
            assert 8.0 < float(fleet.headers["retry-after"]) < 10.0
            told = json.loads(fleet.body)
            assert (told["error"], told["outcome"]) == ("quarantined", "not-run")
            assert "3 servers crashed" in told["detail"]

        fleet.play(story, ONCE)

    def test_does_not_wait_for_a_place(self) -> None:
        """Where none is free, others wait; this one is told what is known."""
        fleet = engine_fleet()

        async def story() -> None:
            await fleet.come_again(3, "/stream/a", **TOKENS)
            for replica in fleet.replicas:
                replica.free_reservations = 0
            began = await curio.clock()
            assert await fleet.ask(0, "/stream/a", body=CRASHING, **TOKENS) == 503
            assert await curio.clock() - began < 0.1
            assert json.loads(fleet.body)["error"] == "quarantined"

        fleet.play(story, STREAM)

    def test_others_are_served(self) -> None:
        """Only that request is refused: other words at the same path are answered."""
        fleet = plain_fleet()

        async def story() -> None:
            await fleet.come_again(4, "/once/a")
            for number in range(4):
                assert await fleet.ask(number, "/once/a", body=b"other") == 200

        fleet.play(story, ONCE)

    def test_reaches_one_that_is_under_way(self) -> None:
        """Its prompt was being read when the third server crashed; its answer is not begun."""
        fleet = engine_fleet(prefill_s=0.6)
        ask = partial(fleet.ask, path="/stream/a", body=CRASHING, **TOKENS)

        async def story() -> None:
            await fleet.come_again(2, "/stream/a", **TOKENS)
            late = await curio.spawn(ask, 2)
            await curio.sleep(0.4)
            later = await curio.spawn(ask, 3)
            await late.join()
            await later.join()

        fleet.play(story, STREAM)
        assert fleet.ended == MOST_ENDED
        assert fleet.statuses[-1] == 503


class TestChance:
    """A request that met dying servers by chance."""

    async def _meet_dying_servers(self, fleet: Fleet, path: str) -> None:
        """Send a request that three servers are running when they end for another reason."""
        for _ in range(MOST_ENDED):
            await fleet.ask(len(fleet.statuses), path, body=CRASHING)
            await curio.sleep(AGAIN_S)
        for replica in fleet.replicas:
            replica.handler = respond_ok

    def test_is_served_again_within_seconds_at_every_instance(self) -> None:
        """One attempt is let through after ten seconds; its answer ends the quarantine for all."""
        fleet = plain_fleet()

        async def story() -> None:
            await self._meet_dying_servers(fleet, "/once/a")
            assert await fleet.ask(0, "/once/a", body=CRASHING) == 503
            await curio.sleep(10.0)
            assert await fleet.ask(0, "/once/a", body=CRASHING) == 200
            await curio.sleep(TOLD_S)
            for number in range(4):
                assert await fleet.ask(number, "/once/a", body=CRASHING) == 200

        fleet.play(story, ONCE)

    def test_one_attempt_alone_is_let_through(self) -> None:
        """While it runs, the others are refused at every instance."""
        fleet = plain_fleet()

        async def story() -> None:
            await fleet.come_again(3, "/once/a")
            await curio.sleep(10.0)
            await fleet.come_again(4, "/once/a")
            assert fleet.statuses == [502] * 3 + [502] + [503] * 3

        fleet.play(story, ONCE)
        assert fleet.ended == MOST_ENDED + 1

    def test_reaches_one_server_in_a_trial_though_it_may_be_repeated(self) -> None:
        """What comes of the first is answer enough."""
        fleet = plain_fleet()

        async def story() -> None:
            await fleet.come_again(3, "/safe/a")
            before = fleet.ended
            # Long enough where a crossing repeat ended a fourth server.
            await curio.sleep(45.0)
            await fleet.come_again(1, "/safe/a")
            assert fleet.ended == before + 1

        fleet.play(story, SAFE)

    def test_meets_ever_longer_quarantines_while_servers_crash(self) -> None:
        """In the 100 s after the third crash it reaches two servers more."""
        fleet = plain_fleet()

        async def story() -> None:
            await fleet.come_again(100, "/once/a")

        fleet.play(story, ONCE)
        assert fleet.ended == MOST_ENDED + 2

    def test_an_answer_between_two_crashes_clears_it(self) -> None:
        """Crashes count only without an answer since."""
        fleet = plain_fleet()

        async def story() -> None:
            for _ in range(3):
                await fleet.come_again(2, "/once/a")
                for replica in fleet.replicas:
                    replica.handler = respond_ok
                assert await fleet.ask(0, "/once/a", body=CRASHING) == 200
                await curio.sleep(TOLD_S)
                for replica in fleet.replicas:
                    replica.handler = crash_by_body

        fleet.play(story, ONCE)
        assert fleet.ended == 6

    def test_many_callers_that_ask_the_same_are_served_through_a_rack_that_fails(self) -> None:
        """Three of four servers crash at once under equal requests; an answer of the fourth clears.

        Without it all that ask so would be refused for ten seconds.
        """

        async def slowly(replica: FakeReplica, exchange: Exchange) -> None:
            await curio.sleep(0.3)
            await respond_ok(replica, exchange)

        fleet = Fleet()
        fleet.add(4, "plain", handler=slowly)
        ask = partial(fleet.ask, path="/once/a", body=b"same")

        async def story() -> None:
            async with curio.TaskGroup() as group:
                for number in range(24):
                    await group.spawn(ask, number)
                await curio.sleep(0.2)
                for replica in fleet.replicas[:3]:
                    await replica.crashed.set()
            assert fleet.gateways[0].logs.matching("event=request_quarantined")
            await curio.sleep(TOLD_S)
            fleet.statuses.clear()
            for number in range(4):
                await ask(number)
            assert fleet.statuses == [200] * 4

        fleet.play(story, ONCE)

    def test_a_cut_connection_is_no_crash(self) -> None:
        """Servers that live on are sent the request as often as it comes."""

        async def cut(_: FakeReplica, exchange: Exchange) -> None:
            raise HttpClosed("reset")

        fleet = Fleet()
        fleet.add(4, "plain", handler=cut)

        async def story() -> None:
            await fleet.come_again(8, "/once/a")

        fleet.play(story, ONCE)
        assert fleet.statuses == [502] * 8


class TestRestart:
    """Instances start again, and what they knew is gone with their memory."""

    def test_of_one_instance(self) -> None:
        """It reads the others' notes."""
        fleet = plain_fleet()

        async def story() -> None:
            await fleet.come_again(4, "/once/a")
            await fleet.gateways[0].kill_gateway()
            await curio.sleep(AGAIN_S)
            assert await fleet.ask(0, "/once/a", body=CRASHING) == 503

        fleet.play(story, ONCE)
        assert fleet.ended == MOST_ENDED

    def test_of_all_instances(self) -> None:
        """Each takes its own note over and reads the others'."""
        fleet = plain_fleet()

        async def story() -> None:
            await fleet.come_again(4, "/once/a")
            for gateway in fleet.gateways:
                await gateway.kill_gateway()
            await curio.sleep(AGAIN_S)
            for number in range(2):
                assert await fleet.ask(number, "/once/a", body=CRASHING) == 503

        fleet.play(story, ONCE)
        assert fleet.ended == MOST_ENDED
