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

from crankhinge.http import Exchange
from limit_worlds import LimitedFleet, allowed, most_arrivals, route
from platform_fakes import FakeReplica, stream

ONCE = route("r-once", "/once/", "unsafe", "plain")
SAFE = route("r-safe", "/safe/", "safe", "plain", max_attempts=2)
STREAM = route("r-stream", "/stream/", "streaming", "llm")
TOKENS = {"x_token_count": "100,50", "length_hint": "40"}
# Requests a second that callers send, many times what the server takes, and for how long, seconds.
ASKED_PER_S = 30.0
ASKED_S = 10.0


async def fail(replica: FakeReplica, exchange: Exchange) -> None:
    """Run the request and answer that it failed."""
    await exchange.respond_as_is(500, replica.head(exchange), b"failed")


class TestNamedLimit:
    """A server names what it takes; callers ask for many times as much."""

    @pytest.mark.parametrize("instances", [1, 3])
    def test_holds_for_the_sum_over_all_instances(self, instances: int) -> None:
        """What is over goes to the other servers, and every caller is served."""
        fleet = LimitedFleet(instances)
        limited = fleet.add("i-limited", limit="2")
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
        limited = fleet.add("i-limited", limit="2")
        fleet.add("i-failing", behave=fail)

        async def story() -> None:
            await fleet.ask_often("/safe/a", per_s=ASKED_PER_S, for_s=ASKED_S)

        fleet.play(story, SAFE)
        assert most_arrivals(limited) <= allowed(2.0)

    def test_holds_for_streams(self) -> None:
        """At the engine that writes."""
        fleet = LimitedFleet()
        fleet.add("i-reader", "llm", "prefill")
        limited = fleet.add("i-limited", "llm", "decode", limit="2", behave=stream, room=10_000)
        fleet.add("i-writer", "llm", "decode", behave=stream, room=10_000)

        async def story() -> None:
            await fleet.ask_often("/stream/a", per_s=ASKED_PER_S, for_s=ASKED_S, **TOKENS)

        fleet.play(story, STREAM)
        assert most_arrivals(limited) <= allowed(2.0)
        assert fleet.statuses() == {200: int(ASKED_PER_S * ASKED_S)}

    def test_holds_for_prompts_read_apart(self) -> None:
        """At the engine that reads; what is over is read by the one that writes."""
        fleet = LimitedFleet()
        limited = fleet.add("i-limited", "llm", "prefill", limit="2")
        fleet.add("i-writer", "llm", "decode", behave=stream, room=10_000)

        async def story() -> None:
            await fleet.ask_often("/stream/a", per_s=ASKED_PER_S, for_s=ASKED_S, **TOKENS)

        fleet.play(story, STREAM)
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
                limited.limit, named_at = "2", await curio.clock()

        fleet.play(story, ONCE)
        assert most_arrivals(limited, since=named_at + 0.5) <= allowed(2.0)
        assert fleet.statuses() == {200: int(ASKED_PER_S * ASKED_S)}
