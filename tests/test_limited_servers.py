"""Regression tests of servers that say how many requests they take from all instances together.

What users saw: a server of a plain service named 4.2 requests a second in its answers. From three
seconds later on 45 requests reached it within four seconds, where 30 are allowed; on the same day
another, that named 2 a second, got 42, where 17 are allowed.

Order of events: every answer of the server carries the figure; the instances pass the answers on
to their callers. The server refuses nothing and answers as fast as before. The instances go on
choosing it as before, each by the times and failures that it sees.

Cause: the head of an answer was passed on and nothing of it was kept; no instance knew the figure,
and none counted what it sends to a server by time, let alone what all of them send.

Evidence: one play of the users' day, in which the requests to the server do not change by anything
when it begins to name its limit, and no line of any instance holds the figure; the tests below.
"""

from __future__ import annotations

from functools import partial

import curio
import pytest

from behaviours import break_stream, respond_error
from crankhinge.http import Exchange
from limit_worlds import (
    ONCE,
    RESUMED,
    SAFE,
    SETTLED_S,
    STREAM,
    TARGET_S,
    TOKENS,
    LimitedFleet,
    allowed,
    most_arrivals,
    most_in_window,
)
from platform_fakes import FakeReplica, RequestHandler, respond_stream

# Requests a second that callers send, many times what the server takes, and for how long, seconds.
ASKED_PER_S = 30.0
ASKED_S = 10.0


def stream_often(fleet: LimitedFleet) -> None:
    """Have callers ask for streams, many times what the limited server takes."""

    async def story() -> None:
        await fleet.ask_often("/stream/a", per_s=ASKED_PER_S, for_s=ASKED_S, **TOKENS)

    fleet.play(story, STREAM)


class TestNamedLimit:
    """A server names what it takes; callers ask for many times as much."""

    @pytest.mark.parametrize("instances", [1, 3])
    def test_holds_for_the_sum_over_all_instances(self, instances: int) -> None:
        """What is over goes to the other servers, and every caller is served."""
        fleet = LimitedFleet(instances)
        limited = fleet.add("i-limited", advertised_limit="2")
        others = [fleet.add(f"i-{number}") for number in range(2)]

        async def story() -> None:
            await fleet.ask_often("/once/a", per_s=ASKED_PER_S, for_s=ASKED_S)

        fleet.play(story, ONCE)
        assert most_arrivals(limited) <= allowed(2.0)
        assert fleet.statuses() == {200: int(ASKED_PER_S * ASKED_S)}
        assert all(len(server.arrivals) > len(limited.arrivals) for server in others)

    def test_holds_for_repeats(self) -> None:
        """A call that failed elsewhere is not repeated there beyond the limit."""
        fleet = LimitedFleet()
        limited = fleet.add("i-limited", advertised_limit="2")
        fleet.add("i-failing", handler=respond_error)

        async def story() -> None:
            await fleet.ask_often("/safe/a", per_s=ASKED_PER_S, for_s=ASKED_S)

        fleet.play(story, SAFE)
        assert most_arrivals(limited) <= allowed(2.0)

    def test_holds_for_streams(self) -> None:
        """At the engine that writes."""
        fleet = LimitedFleet()
        fleet.add("i-reader", "llm", "prefill")
        limited = fleet.add(
            "i-limited",
            "llm",
            "decode",
            advertised_limit="2",
            handler=respond_stream,
            free_reservations=10_000,
        )
        fleet.add("i-writer", "llm", "decode", handler=respond_stream, free_reservations=10_000)

        stream_often(fleet)
        assert most_arrivals(limited) <= allowed(2.0)
        assert fleet.statuses() == {200: int(ASKED_PER_S * ASKED_S)}

    def test_holds_for_prompts_read_apart(self) -> None:
        """At the engine that reads; what is over is read by the one that writes."""
        fleet = LimitedFleet()
        limited = fleet.add("i-limited", "llm", "prefill", advertised_limit="2")
        fleet.add("i-writer", "llm", "decode", handler=respond_stream, free_reservations=10_000)

        stream_often(fleet)
        assert most_arrivals(limited) <= allowed(2.0)
        assert fleet.statuses() == {200: int(ASKED_PER_S * ASKED_S)}

    def test_holds_from_when_a_server_begins_to_name_it(self) -> None:
        """Whoever has passed such an answer on half a second ago keeps to it."""
        fleet = LimitedFleet()
        limited = fleet.add("i-limited")
        fleet.add("i-other")
        named_at = 0.0

        async def story() -> None:
            nonlocal named_at
            asking = partial(fleet.ask_often, "/once/a", per_s=ASKED_PER_S, for_s=ASKED_S)
            async with curio.TaskGroup(wait=all) as group:
                await group.spawn(asking)
                await curio.sleep(3.0)
                limited.advertised_limit, named_at = "2", await curio.clock()

        fleet.play(story, ONCE)
        assert most_arrivals(limited, since=named_at + 0.5) <= allowed(2.0)
        assert fleet.statuses() == {200: int(ASKED_PER_S * ASKED_S)}


class TestEveryWay:
    """Each way in which a request, or a call for one, reaches a server that names a limit."""

    def test_a_stream_that_is_taken_up_elsewhere(self) -> None:
        """It broke off at one engine; the other one takes four requests a second."""
        fleet = LimitedFleet()
        fleet.add("i-reader", "llm", "prefill")
        limited = fleet.add(
            "i-limited",
            "llm",
            "decode",
            advertised_limit="4",
            handler=respond_stream,
            free_reservations=10_000,
        )
        fleet.add("i-breaking", "llm", "decode", handler=break_stream, free_reservations=10_000)

        async def story() -> None:
            await fleet.ask_often("/resumed/a", per_s=12.0, for_s=15.0, **TOKENS)

        fleet.play(story, RESUMED)
        taken_up = [each for each in limited.arrivals if "last-event-id" in each.headers]
        assert taken_up
        assert most_arrivals(limited) <= allowed(4.0)

    def test_a_second_reading(self) -> None:
        """The first reader refuses; the second names a limit."""
        fleet = LimitedFleet()
        fleet.add("i-refusing", "llm", "prefill", refuses_prefill=True)
        limited = fleet.add("i-limited", "llm", "prefill", advertised_limit="2")
        fleet.add("i-writer", "llm", "decode", handler=respond_stream, free_reservations=10_000)

        stream_often(fleet)
        assert limited.arrivals
        assert most_arrivals(limited) <= allowed(2.0)

    def test_a_memory_that_is_fetched(self) -> None:
        """The engine that writes is asked to fetch the memory of a prompt by such a request."""
        fleet = LimitedFleet()
        fleet.add("i-reader", "llm", "prefill")
        limited = fleet.add(
            "i-limited",
            "llm",
            "decode",
            advertised_limit="4",
            handler=respond_stream,
            free_reservations=10_000,
        )

        stream_often(fleet)
        assert any("kv-from" in each.headers for each in limited.arrivals)
        assert most_arrivals(limited) <= allowed(4.0)

    def test_reservations(self) -> None:
        """An engine without room is asked for some as rarely as it takes requests."""
        fleet = LimitedFleet()
        fleet.add("i-reader", "llm", "prefill")
        limited = fleet.add(
            "i-limited",
            "llm",
            "decode",
            advertised_limit="2",
            handler=respond_stream,
            free_reservations=4,
        )
        fleet.add("i-writer", "llm", "decode", handler=respond_stream, free_reservations=10_000)

        stream_often(fleet)
        reserved = limited.side_calls.count("POST /v1/hold-take")
        # Four were granted, and told the limit; each call after that had a permit.
        assert 4 < reserved <= 2.0 * ASKED_S + allowed(2.0)

    def test_a_place_that_was_taken_before_the_limit_was_known(self) -> None:
        """Its prompt is read elsewhere meanwhile, and it is written by another engine."""
        fleet = LimitedFleet()
        fleet.add("i-reader", "llm", "prefill", prefill_s=0.8)
        limited = fleet.add(
            "i-limited", "llm", "decode", handler=respond_stream, free_reservations=10_000
        )
        fleet.add("i-writer", "llm", "decode", handler=respond_stream, free_reservations=10_000)
        named_at = 0.0

        async def story() -> None:
            nonlocal named_at
            asking = partial(fleet.ask_often, "/stream/a", per_s=20.0, for_s=6.0, **TOKENS)
            async with curio.TaskGroup(wait=all) as group:
                await group.spawn(asking)
                await curio.sleep(2.0)
                limited.advertised_limit, named_at = "0.5", await curio.clock()

        fleet.play(story, STREAM)
        # The second word after it began comes with the first answer that names it.
        assert most_arrivals(limited, since=named_at + 0.5) <= allowed(0.5)
        assert fleet.statuses() == {200: 120}
        # Each place there was used or given back.
        given_back = sum(each.startswith("DELETE /v1/hold-drop") for each in limited.side_calls)
        assert given_back > 0
        taken = limited.side_calls.count("POST /v1/hold-take")
        assert taken == len(limited.arrivals) + given_back

    def test_calls_that_free_its_memory_are_made_all_the_same(self) -> None:
        """They relieve it."""
        fleet = LimitedFleet()
        reader = fleet.add("i-reader", "llm", "prefill")
        limited = fleet.add(
            "i-limited",
            "llm",
            "decode",
            advertised_limit="2",
            handler=respond_stream,
            free_reservations=10_000,
        )

        async def story() -> None:
            await fleet.ask("/stream/a", **TOKENS)
            await curio.sleep(SETTLED_S)
            reader.prefill_s = 0.8
            async with curio.TaskGroup(wait=all) as group:
                await group.spawn(partial(fleet.ask, "/stream/a", **TOKENS))
                await curio.sleep(0.4)
                # It leaves while the prompt is read: the place there is given back.
                await limited.publish_entry("draining")

        fleet.play(story, STREAM)
        assert limited.side_calls.count("POST /v1/hold-take") == 2
        assert [each for each in limited.side_calls if each.startswith("DELETE /v1/hold-drop")]


async def slow_or_named(replica: FakeReplica, exchange: Exchange) -> None:
    """Answer a certain request late, with what the server had to say when it began."""
    head = replica.response_fields(exchange)
    await curio.sleep(1.0 if exchange.req.body == b"slow" else 0.0)
    await exchange.respond_with_fields(200, head, b"whole")


class TestChanges:
    """A limit that ends, rises, falls, or says nothing."""

    def test_ends_with_the_first_answer_without_it(self) -> None:
        """A server that names none any more gets its part of everything again."""
        fleet = LimitedFleet()
        limited = fleet.add("i-limited", advertised_limit="1")
        ended_at = 0.0

        async def story() -> None:
            nonlocal ended_at
            await fleet.ask_often("/once/a", per_s=ASKED_PER_S, for_s=4.0)
            limited.advertised_limit = None
            await curio.sleep(4.0)
            ended_at = await curio.clock()
            await fleet.ask_often("/once/a", per_s=ASKED_PER_S, for_s=4.0)

        fleet.play(story, ONCE)
        since = [each for each in fleet.outcomes if each.sent >= ended_at]
        assert len(since) == 4 * ASKED_PER_S
        assert all(each.status == 200 for each in since)
        for gateway in fleet.gateways:
            assert gateway.logs.matching("server_limit ", "per_s=", "was=1.0")

    def test_its_end_is_told_to_all(self) -> None:
        """An instance that sends nothing there at the time hears no answer of its own."""
        fleet = LimitedFleet(2)
        limited = fleet.add("i-limited", advertised_limit="8")
        told = fleet.gateways[1]

        async def story() -> None:
            await fleet.ask("/once/a")
            await fleet.ask("/once/a")
            limited.advertised_limit = None
            await curio.sleep(1.0)
            await fleet.ask("/once/a")
            await curio.sleep(0.1)

        fleet.play(story, ONCE)
        assert told.logs.matching("server_limit ", "per_s= ", "was=8.0", "told_by=127.0.0.1")

    @pytest.mark.parametrize(("first", "second"), [("1", "8"), ("8", "1")])
    def test_rises_and_falls_at_once(self, first: str, second: str) -> None:
        """Whatever was saved up by the old figure is not sent by the new one."""
        fleet = LimitedFleet()
        limited = fleet.add("i-limited", advertised_limit=first)
        fleet.add("i-other")
        changed_at = 0.0

        async def story() -> None:
            nonlocal changed_at
            await fleet.ask_often("/once/a", per_s=ASKED_PER_S, for_s=8.0)
            limited.advertised_limit, changed_at = second, await curio.clock()
            await fleet.ask_often("/once/a", per_s=ASKED_PER_S, for_s=16.0)

        fleet.play(story, ONCE)
        before = [each.arrived_at for each in limited.arrivals if each.arrived_at < changed_at]
        since = [
            each.arrived_at for each in limited.arrivals if each.arrived_at >= changed_at + 0.5
        ]
        assert most_in_window(before) <= allowed(float(first))
        assert most_in_window(since) <= allowed(float(second))
        assert len(since) >= 0.8 * 15.5 * float(second)

    @pytest.mark.parametrize("limit", ["0", "0.25"])
    def test_below_one_a_second(self, limit: str) -> None:
        """It is tried now and then, so that the end of its need is seen."""
        fleet = LimitedFleet()
        limited = fleet.add("i-limited", advertised_limit=limit)
        fleet.add("i-other")

        async def story() -> None:
            await fleet.ask_often("/once/a", per_s=10.0, for_s=20.0)

        fleet.play(story, ONCE)
        assert 3 <= len(limited.arrivals) <= 10
        assert most_arrivals(limited) <= allowed(float(limit))
        assert fleet.statuses() == {200: 200}

    def test_what_is_no_number_neither_begins_nor_ends_it(self) -> None:
        """The last figure stands, and without one nothing is known."""
        fleet = LimitedFleet()
        limited = fleet.add("i-limited", advertised_limit="lots")
        fleet.add("i-other")
        named_at = 0.0

        async def story() -> None:
            nonlocal named_at
            await fleet.ask_often("/once/a", per_s=ASKED_PER_S, for_s=2.0)
            limited.advertised_limit, named_at = "2", await curio.clock()
            await fleet.ask_often("/once/a", per_s=ASKED_PER_S, for_s=3.0)
            limited.advertised_limit = "nan"
            await fleet.ask_often("/once/a", per_s=ASKED_PER_S, for_s=8.0)

        fleet.play(story, ONCE)
        assert sum(each.arrived_at < named_at for each in limited.arrivals) >= 15
        assert most_arrivals(limited, since=named_at + 0.5) <= allowed(2.0)

    def test_is_not_ended_by_an_answer_to_an_earlier_request(self) -> None:
        """The server ran it from before it was in need, and its answer came late."""
        fleet = LimitedFleet(1)
        limited = fleet.add("i-limited", handler=slow_or_named)

        async def story() -> None:
            async with curio.TaskGroup(wait=all) as group:
                await group.spawn(partial(fleet.ask, "/once/a", body=b"slow"))
                await curio.sleep(0.2)
                limited.advertised_limit = "2"
                await fleet.ask("/once/a")

        fleet.play(story, ONCE)
        assert fleet.statuses() == {200: 2}
        assert len(fleet.harness.logs.matching("event=server_limit ")) == 1

    def test_is_not_ended_by_a_refusal(self) -> None:
        """It may come from before the server itself, which names what it takes."""
        fleet = LimitedFleet(1)
        limited = fleet.add("i-limited", advertised_limit="2")

        async def story() -> None:
            await fleet.ask("/once/a")
            limited.handler = shed
            await curio.sleep(2.0)
            await fleet.ask("/once/a")

        fleet.play(story, ONCE)
        assert fleet.statuses() == {200: 1, 503: 1}
        assert len(fleet.harness.logs.matching("event=server_limit ")) == 1

    def test_is_not_that_of_the_next_life(self) -> None:
        """A server that starts again under its name has said nothing yet."""
        fleet = LimitedFleet()
        limited = fleet.add("i-limited", advertised_limit="0.25", start_time_ms=1000)
        again_at = 0.0

        async def story() -> None:
            nonlocal again_at
            await fleet.ask_often("/once/a", per_s=ASKED_PER_S, for_s=2.0)
            limited.advertised_limit, limited.start_time_ms = None, 2000
            await limited.publish_entry()
            await curio.sleep(1.0)
            again_at = await curio.clock()
            await fleet.ask_often("/once/a", per_s=ASKED_PER_S, for_s=2.0)

        fleet.play(story, ONCE)
        since = [each for each in fleet.outcomes if each.sent >= again_at]
        assert [each.status for each in since] == [200] * len(since)

    def test_stands_while_its_entry_is_away(self) -> None:
        """Entries lapse with the store; the need of the server does not end with them."""
        fleet = LimitedFleet()
        limited = fleet.add("i-limited", advertised_limit="2")
        fleet.add("i-other")
        back_at = 0.0

        async def story() -> None:
            nonlocal back_at
            await fleet.ask_often("/once/a", per_s=ASKED_PER_S, for_s=3.0)
            await fleet.harness.store.remove("servers/i-limited")
            await curio.sleep(4.0)
            await limited.publish_entry()
            await curio.sleep(0.5)
            back_at = await curio.clock()
            await fleet.ask_often("/once/a", per_s=ASKED_PER_S, for_s=4.0)

        fleet.play(story, ONCE)
        assert most_arrivals(limited, since=back_at) <= allowed(2.0)
        assert any(each.arrived_at >= back_at for each in limited.arrivals)


class TestAllLimited:
    """Every server of a service names a limit."""

    def test_what_is_over_is_refused_at_once(self) -> None:
        """Or is served within its target; nobody waits in vain."""
        fleet = LimitedFleet()
        servers = [fleet.add(f"i-{number}", advertised_limit="2") for number in range(3)]

        async def story() -> None:
            await fleet.ask_often("/once/a", per_s=ASKED_PER_S, for_s=ASKED_S)

        fleet.play(story, ONCE)
        served = [each for each in fleet.outcomes if each.status == 200]
        refused = [each for each in fleet.outcomes if each.status == 503]
        assert len(served) + len(refused) == ASKED_PER_S * ASKED_S
        assert len(served) >= 0.8 * 3 * 2.0 * ASKED_S
        assert max(each.took_s for each in served) <= TARGET_S + 0.1
        assert max(each.took_s for each in refused) <= 0.2
        assert min(each.back_s for each in refused) > 0.0
        for server in servers:
            assert most_arrivals(server) <= allowed(2.0)

    def test_a_stream_is_refused_at_once_where_no_engine_takes_it(self) -> None:
        """It does not wait for its patience to end."""
        fleet = LimitedFleet(1)
        fleet.add("i-reader", "llm", "prefill")
        for number in range(2):
            fleet.add(f"i-{number}", "llm", "decode", advertised_limit="0", handler=respond_stream)

        async def story() -> None:
            await fleet.ask_often("/stream/a", per_s=4.0, for_s=6.0, **TOKENS)

        fleet.play(story, STREAM)
        refused = [each for each in fleet.outcomes if each.status == 503]
        assert len(refused) >= 15
        assert max(each.took_s for each in refused) <= 0.2
        assert min(each.back_s for each in refused) > 0.0
        assert fleet.harness.logs.matching("request_failed", "code=server-at-limit")

    def test_the_turn_of_a_caller_that_left_is_the_next_ones(self) -> None:
        """It was granted for half a second later, and not used."""
        fleet = LimitedFleet(1)
        fleet.add("i-limited", advertised_limit="2")

        async def story() -> None:
            await fleet.ask("/once/a")
            await curio.sleep(SETTLED_S)
            await fleet.ask("/once/a")
            await fleet.ask("/once/a")
            await curio.ignore_after(0.1, fleet.ask, "/once/a")
            await curio.sleep(0.05)
            await fleet.ask("/once/a")

        fleet.play(story, ONCE)
        assert fleet.statuses() == {200: 4}
        assert fleet.outcomes[-1].took_s <= 0.45

    def test_whoever_comes_back_when_told_is_served(self) -> None:
        """Twelve callers at once before a server that takes two a second."""
        fleet = LimitedFleet()
        fleet.add("i-limited", advertised_limit="2")
        statuses: list[int] = []

        async def come() -> None:
            outcome = await fleet.ask("/once/a")
            if outcome.status == 503:
                await curio.sleep(outcome.back_s)
                statuses.append((await fleet.ask("/once/a")).status)

        async def story() -> None:
            await fleet.ask("/once/a")
            await curio.sleep(SETTLED_S)
            async with curio.TaskGroup(wait=all) as group:
                for _ in range(12):
                    await group.spawn(come)

        fleet.play(story, ONCE)
        assert len(statuses) >= 6
        assert statuses.count(200) >= 0.8 * len(statuses)


class TestInstances:
    """Instances that have just started, or were never told by an answer."""

    def test_one_that_starts_again_knows_the_limit(self) -> None:
        """Those that hand out for the server keep it in their notes."""
        fleet = LimitedFleet()
        limited = fleet.add("i-limited", advertised_limit="2")
        fleet.add("i-other")

        async def story() -> None:
            await fleet.ask_often("/once/a", per_s=ASKED_PER_S, for_s=4.0)
            await curio.sleep(3.0)
            for gateway in fleet.gateways:
                await gateway.kill_gateway()
            await curio.sleep(1.5)
            await fleet.ask_often("/once/a", per_s=ASKED_PER_S, for_s=6.0)

        fleet.play(story, ONCE)
        assert most_arrivals(limited) <= allowed(2.0)
        for gateway in fleet.gateways:
            assert gateway.logs.matching("server_limit ", "per_s=2.0", "told_by=note:")

    def test_one_whose_callers_all_left_is_told_by_the_others(self) -> None:
        """Callers that leave before the answer leave nothing to read it."""
        fleet = LimitedFleet(2)
        fleet.add("i-limited", advertised_limit="2")
        told = fleet.gateways[1]

        async def story() -> None:
            await fleet.harness.call("q", "/once/a")
            await curio.sleep(0.1)

        fleet.play(story, ONCE)
        assert told.logs.matching("server_limit ", "server=i-limited", "per_s=2.0")
        assert not told.logs.matching("event=answered")


async def shed(replica: FakeReplica, exchange: Exchange, *told: tuple[str, str]) -> None:
    """Refuse a request at once."""
    ident = exchange.req.headers["x-request-id"]
    fields = [("x-request-id", ident), ("x-not-executed", "1"), *told]
    await exchange.respond_with_fields(503, fields, b"")


async def shed_for_now(replica: FakeReplica, exchange: Exchange) -> None:
    """Refuse a request and tell when to come back."""
    await shed(replica, exchange, ("retry-after", "2"))


class TestRefusing:
    """A server that refuses requests at once, and so looks least busy."""

    @pytest.mark.parametrize(("behave", "most"), [(shed_for_now, 3), (shed, 5)])
    def test_is_left_alone_for_a_while(self, behave: RequestHandler, most: int) -> None:
        """Until the time that it tells, or ever longer; the others serve meanwhile."""
        fleet = LimitedFleet(1)
        shedding = fleet.add("i-shedding", handler=behave)
        fleet.add("i-other")

        async def story() -> None:
            await fleet.ask_often("/once/a", per_s=ASKED_PER_S, for_s=6.0)

        fleet.play(story, ONCE)
        refused = len(shedding.arrivals)
        assert 0 < refused <= most
        assert fleet.statuses() == {200: 180 - refused, 503: refused}
