"""Regression tests of servers that announce their shutdown or ask for backoff in responses.

Failure: requests reached a backend server 2.4 and 3.2 s after a response had told the instance that
sent them that the server was leaving. Another server refused a request, asked the instance to send
none for three seconds, and got thirteen in that time.

How it comes about: the store is unreachable when the first server begins to leave, so its entry
does not change and only its responses say so. They are passed on, and the instance goes on choosing
the server. The second server names the time in its refusals; the instance pauses for 0.7 s, then
for 1.4 and 2.8 s, and not at all if the other servers refuse as well.

Cause of the first: only the entry in the store marked a server as leaving. The headers of its
responses were passed on and not read, though they come from the server itself, at once, and while
the store is unreachable. In one run of the reported scenario three instances passed on such a
response; from two seconds after it on, 29 requests went to the server from the same three, while no
log line of theirs named the server. In the tests below the entry does not change at all.
"""

from __future__ import annotations

from functools import partial

import curio
import pytest

from behaviours import BACKOFF_S, BackoffHandler, break_stream, respond_error, respond_slowly
from crankhinge.http import Exchange
from limit_worlds import (
    RESUMABLE_ROUTE,
    SAFE_ROUTE,
    STREAM_ROUTE,
    TARGET_LATENCY_S,
    TOKEN_HEADERS,
    UNSAFE_ROUTE,
    LimitedFleet,
)
from platform_fakes import FakeReplica, respond_ok, respond_stream

OFFERED_PER_S = 15.0
# What the operators allow: how long after its announcement requests may still reach a server that
# leaves, and how many requests may reach a server during its backoff.
MAX_REACTION_S = 2.0
MAX_REQUESTS_IN_BACKOFF = 2


def send_calls(fleet: LimitedFleet, path: str, *, duration_s: float, **options: str) -> None:
    """Have callers send requests at OFFERED_PER_S for some seconds, and wait for responses."""

    async def scenario() -> None:
        await fleet.send_at_rate(path, per_s=OFFERED_PER_S, duration_s=duration_s, **options)

    fleet.run(scenario, UNSAFE_ROUTE, SAFE_ROUTE, STREAM_ROUTE, RESUMABLE_ROUTE)


def send_streams(fleet: LimitedFleet, path: str = "/stream/a") -> None:
    """Have callers request streams at OFFERED_PER_S, and wait for their ends."""
    send_calls(fleet, path, duration_s=8.0, **TOKEN_HEADERS)


def arrivals_after(replica: FakeReplica, at: float) -> list[float]:
    """Return when requests reached a server after *at*, in seconds from then."""
    return [round(each.arrived_at - at, 2) for each in replica.arrivals if each.arrived_at > at]


async def send_while_server_leaves(
    fleet: LimitedFleet, leaving: FakeReplica, path: str, **options: str
) -> float:
    """Send requests for 8 s; return when, after 2 s, the server announced that it is leaving."""
    send_requests = partial(
        fleet.send_at_rate, path, per_s=OFFERED_PER_S, duration_s=8.0, **options
    )
    async with curio.TaskGroup(wait=all) as group:
        await group.spawn(send_requests)
        await curio.sleep(2.0)
        leaving.leaving = True
        leaving_at: float = await curio.clock()
    return leaving_at


class TestLeaving:
    """A server announces in its responses that it is leaving, while its entry stays as it is."""

    @pytest.mark.parametrize("instances", [1, 3])
    @pytest.mark.parametrize("path", ["/once/a", "/safe/a"])
    def test_leaving_server_gets_no_further_calls(self, path: str, instances: int) -> None:
        """The other server serves all callers, so that none notices the shutdown."""
        fleet = LimitedFleet(instances)
        leaving = fleet.add("i-leaving")
        fleet.add("i-other")
        leaving_at = 0.0

        async def scenario() -> None:
            nonlocal leaving_at
            leaving_at = await send_while_server_leaves(fleet, leaving, path)

        fleet.run(scenario, UNSAFE_ROUTE, SAFE_ROUTE)
        assert arrivals_after(leaving, leaving_at + MAX_REACTION_S) == []
        assert fleet.count_statuses() == {200: int(OFFERED_PER_S * 8)}

    @pytest.mark.parametrize("role", ["prefill", "decode"])
    def test_leaving_engine_gets_no_further_streams(self, role: str) -> None:
        """A leaving prefill engine gets no prompts, a decode engine no reservation calls either."""
        fleet = LimitedFleet()
        prefill_engine = fleet.add("i-reader", "llm", "prefill")
        decode_engine = fleet.add(
            "i-writer", "llm", "decode", handler=respond_stream, free_reservations=10_000
        )
        fleet.add("i-reader2", "llm", "prefill")
        fleet.add("i-writer2", "llm", "decode", handler=respond_stream, free_reservations=10_000)
        leaving = prefill_engine if role == "prefill" else decode_engine
        leaving_at = reserved = 0.0

        async def scenario() -> None:
            nonlocal leaving_at, reserved
            leaving_at = await send_while_server_leaves(
                fleet, leaving, "/stream/a", **TOKEN_HEADERS
            )
            before = leaving.side_calls.count("POST /v1/hold-take")
            await fleet.send_at_rate(
                "/stream/a", per_s=OFFERED_PER_S, duration_s=1.0, **TOKEN_HEADERS
            )
            reserved = leaving.side_calls.count("POST /v1/hold-take") - before

        fleet.run(scenario, STREAM_ROUTE)
        assert arrivals_after(leaving, leaving_at + MAX_REACTION_S) == []
        assert reserved == 0
        assert fleet.count_statuses() == {200: int(OFFERED_PER_S * 9)}

    def test_instance_notifies_the_others_of_a_leaving_server(self) -> None:
        """The other instances learn it before they send a request to the leaving server."""
        fleet = LimitedFleet(2)
        leaving = fleet.add("i-leaving")
        fleet.add("i-other")
        other_gateway = fleet.gateways[1]

        async def scenario() -> None:
            leaving.leaving = True
            while not leaving.arrivals:
                await fleet.harness.call("q", "/once/a")
            await curio.sleep(0.1)
            for number in range(40):
                await other_gateway.call(f"q{number}", "/once/a")

        fleet.run(scenario, UNSAFE_ROUTE)
        assert len(leaving.arrivals) == 1

    def test_rewritten_entry_does_not_make_a_leaving_server_available(self) -> None:
        """An entry may be written late, or again after an outage of the store."""
        fleet = LimitedFleet(1)
        leaving = fleet.add("i-leaving")
        fleet.add("i-other")
        leaving_at = 0.0

        async def scenario() -> None:
            nonlocal leaving_at
            leaving_at = await send_while_server_leaves(fleet, leaving, "/once/a")
            await leaving.publish_entry()
            await fleet.send_at_rate("/once/a", per_s=OFFERED_PER_S, duration_s=1.0)
            await leaving.store.remove("servers/i-leaving")
            await curio.sleep(3.0)
            await leaving.publish_entry()
            await fleet.send_at_rate("/once/a", per_s=OFFERED_PER_S, duration_s=1.0)

        fleet.run(scenario, UNSAFE_ROUTE)
        assert arrivals_after(leaving, leaving_at + MAX_REACTION_S) == []

    def test_next_incarnation_of_a_leaving_server_gets_requests(self) -> None:
        """The server restarts under the same name, with a later start time in its entry."""
        fleet = LimitedFleet(1)
        leaving = fleet.add("i-leaving", start_time_ms=1)
        other = fleet.add("i-other")

        async def scenario() -> None:
            leaving.leaving = True
            await fleet.send_at_rate("/once/a", per_s=OFFERED_PER_S, duration_s=1.0)
            leaving.leaving, leaving.start_time_ms = False, 2
            leaving.arrivals.clear()
            await leaving.publish_entry()
            await curio.sleep(0.2)
            await fleet.send_at_rate("/once/a", per_s=OFFERED_PER_S, duration_s=1.0)

        fleet.run(scenario, UNSAFE_ROUTE)
        assert leaving.arrivals
        assert other.arrivals

    def test_callers_are_refused_at_once_if_all_servers_leave(self) -> None:
        """Callers must not wait for servers that will accept no more requests."""
        fleet = LimitedFleet(1)
        servers = [fleet.add(f"i-{number}") for number in range(2)]
        leaving_at = 0.0

        async def scenario() -> None:
            nonlocal leaving_at
            for server in servers:
                server.leaving = True
            leaving_at = await curio.clock()
            await fleet.send_at_rate("/once/a", per_s=OFFERED_PER_S, duration_s=4.0)

        fleet.run(scenario, UNSAFE_ROUTE)
        assert [arrivals_after(server, leaving_at + MAX_REACTION_S) for server in servers] == [
            [],
            [],
        ]
        late = [each for each in fleet.outcomes if each.sent_at > leaving_at + MAX_REACTION_S]
        assert {each.status for each in late} == {503}
        assert max(each.response_s for each in late) < 0.1


class TestBackoff:
    """A server refuses a request and asks the instance to send none for some time."""

    @pytest.mark.parametrize("backoff_s", [0.9, BACKOFF_S, 12.0])
    def test_server_in_backoff_gets_no_further_calls(self, backoff_s: float) -> None:
        """The backoff may be longer than the pause that an instance would choose by itself."""
        fleet = LimitedFleet(1)
        backoff = BackoffHandler(backoff_s)
        server = fleet.add("i-resting", handler=backoff)
        fleet.add("i-other", handler=respond_slowly)

        async def scenario() -> None:
            # Enough requests that a smaller window for the whole service would show.
            await fleet.send_at_rate("/once/a", per_s=30.0, duration_s=1.5 * backoff_s + 2.0)

        fleet.run(scenario, UNSAFE_ROUTE)
        assert backoff.max_arrivals_in_backoff(server) == 0
        assert len(server.arrivals) >= 2
        assert fleet.count_statuses()[503] == len(server.arrivals)

    def test_servers_get_few_calls_if_all_are_in_backoff(self) -> None:
        """Callers are refused at once, with the seconds until the first backoff ends."""
        fleet = LimitedFleet(1)
        backoffs = [BackoffHandler(BACKOFF_S), BackoffHandler(2 * BACKOFF_S)]
        servers = [
            fleet.add(f"i-{number}", handler=backoff) for number, backoff in enumerate(backoffs)
        ]

        send_calls(fleet, "/safe/a", duration_s=8.0)
        for backoff, server in zip(backoffs, servers, strict=True):
            assert backoff.max_arrivals_in_backoff(server) <= MAX_REQUESTS_IN_BACKOFF
        first_end = min(until for backoff in backoffs for _, until in backoff.refusals[:1])
        # Requests that can be served in time after the backoff are not refused.
        refused_in_backoff = [
            each
            for each in fleet.outcomes
            if first_end - 2.5 < each.sent_at < first_end - TARGET_LATENCY_S
        ]
        assert {each.status for each in refused_in_backoff} == {503}
        assert max(each.response_s for each in refused_in_backoff) < 0.1
        assert all(
            0.0 <= each.sent_at + each.retry_after_s - first_end < 1.5
            for each in refused_in_backoff
        )

    def test_waiting_caller_is_refused_once_all_servers_are_in_backoff(self) -> None:
        """The last call waits because the refusals have reduced the window to one open call."""
        fleet = LimitedFleet(1)
        for number in range(2):
            fleet.add(f"i-{number}", handler=behave_as_body_says)

        async def scenario() -> None:
            async with curio.TaskGroup(wait=all) as group:
                full = [b"full %.2f" % after_s for after_s in (0.1, 0.27, 0.44, 0.61, 0.78)]
                for body in (b"run 1.6", *full, *[b"rest 0.8"] * 4):
                    await group.spawn(partial(fleet.send, "/once/a", body=body))
                await curio.sleep(0.85)
                await fleet.send("/once/a")

        fleet.run(scenario, UNSAFE_ROUTE)
        assert fleet.count_statuses() == {200: 1, 503: 10}
        last = max(fleet.outcomes, key=lambda each: each.sent_at)
        assert (last.status, last.response_s < 0.1) == (503, True)

    def test_caller_waits_for_short_backoff(self) -> None:
        """The backoff ends in time to serve the caller, so a refusal would be needless."""
        fleet = LimitedFleet(1)
        backoff = BackoffHandler(0.4)
        fleet.add("i-resting", handler=backoff)

        async def scenario() -> None:
            backoff.serve_from = await curio.clock() + 0.2
            await fleet.send("/once/a")
            await fleet.send("/once/a")

        fleet.run(scenario, UNSAFE_ROUTE)
        assert [each.status for each in fleet.outcomes] == [503, 200]

    def test_refused_caller_may_retry_before_backoff_ends(self) -> None:
        """Another server takes requests, so the Retry-After is shorter than the backoff."""
        fleet = LimitedFleet(1)
        backoff = BackoffHandler(12.0)
        fleet.add("i-resting", handler=backoff)
        fleet.add("i-other", handler=respond_slowly)

        send_calls(fleet, "/once/a", duration_s=2.0)
        refused = [each for each in fleet.outcomes if each.status == 503]
        assert refused
        assert max(each.retry_after_s for each in refused) < 1.0

    @pytest.mark.parametrize(
        "backoff",
        [
            BackoffHandler(status=429),
            BackoffHandler(status=503),
            BackoffHandler(fields=(("x-server-seal", "s"),)),
        ],
        ids=["429", "503", "503-without-not-executed"],
    )
    def test_each_kind_of_refusal_starts_the_backoff(self, backoff: BackoffHandler) -> None:
        """A refusal may lack the field that says that nothing was executed; it counts as well."""
        fleet = LimitedFleet(1)
        server = fleet.add("i-resting", handler=backoff)
        fleet.add("i-other", handler=respond_slowly)

        send_calls(fleet, "/safe/a", duration_s=6.0)
        assert backoff.max_arrivals_in_backoff(server) == 0

    def test_server_in_backoff_gets_few_retries(self) -> None:
        """Each call fails on the other server, but must not be retried on this one."""
        fleet = LimitedFleet(1)
        backoff = BackoffHandler()
        server = fleet.add("i-resting", handler=backoff)
        fleet.add("i-failing", handler=respond_error)

        send_calls(fleet, "/safe/a", duration_s=8.0)
        assert backoff.max_arrivals_in_backoff(server) <= MAX_REQUESTS_IN_BACKOFF

    @pytest.mark.parametrize("others", [0, 5])
    def test_decode_engine_in_backoff_gets_few_streams(self, others: int) -> None:
        """The other engines serve all callers except those that the engine in backoff refused."""
        fleet = LimitedFleet(1)
        fleet.add("i-reader", "llm", "prefill")
        backoff = BackoffHandler()
        server = fleet.add("i-resting", "llm", "decode", handler=backoff, free_reservations=10_000)
        decode_engines = [
            fleet.add(
                f"i-writer{number}",
                "llm",
                "decode",
                handler=respond_stream,
                free_reservations=10_000,
            )
            for number in range(others)
        ]

        send_streams(fleet)
        assert backoff.max_arrivals_in_backoff(server) <= MAX_REQUESTS_IN_BACKOFF
        # The route allows one server per request.
        sent_ids = [
            each.request_id
            for decode_engine in [server, *decode_engines]
            for each in decode_engine.arrivals
        ]
        assert len(sent_ids) == len(set(sent_ids))
        if others:
            # The server refuses one request per backoff.
            assert (
                OFFERED_PER_S * 8 - fleet.count_statuses()[200]
                <= len(server.arrivals)
                <= 8.0 / BACKOFF_S + 1
            )

    def test_engine_in_backoff_gets_few_reservation_calls(self) -> None:
        """The engine has no capacity; checking for some must wait for the end of the backoff."""
        fleet = LimitedFleet(1)
        fleet.add("i-reader", "llm", "prefill")
        backoff = BackoffHandler()
        server = fleet.add("i-resting", "llm", "decode", handler=backoff, free_reservations=3)
        fleet.add("i-writer", "llm", "decode", handler=respond_stream, free_reservations=10_000)

        send_streams(fleet)
        assert backoff.max_arrivals_in_backoff(server) == 0
        assert (
            server.side_calls.count("POST /v1/hold-take")
            <= 3 + 8.0 / BACKOFF_S * MAX_REQUESTS_IN_BACKOFF
        )

    def test_prefill_engine_in_backoff_gets_no_prompts(self) -> None:
        """The decode engine processes the prompts meanwhile, so that every caller is served."""
        fleet = LimitedFleet(1)
        backoff = BackoffHandler()
        server = fleet.add("i-resting", "llm", "prefill", prefill_handler=backoff)
        fleet.add("i-writer", "llm", "decode", handler=respond_stream, free_reservations=10_000)

        send_streams(fleet)
        assert backoff.max_arrivals_in_backoff(server) == 0
        assert fleet.count_statuses() == {200: int(OFFERED_PER_S * 8)}

    def test_engine_in_backoff_gets_few_resumed_streams(self) -> None:
        """Streams that break off at the other engine must not resume on this one."""
        fleet = LimitedFleet(1)
        fleet.add("i-reader", "llm", "prefill")
        backoff = BackoffHandler()
        server = fleet.add("i-resting", "llm", "decode", handler=backoff, free_reservations=10_000)
        fleet.add("i-breaking", "llm", "decode", handler=break_stream, free_reservations=10_000)

        send_streams(fleet, "/resumed/a")
        assert backoff.refusals
        assert backoff.max_arrivals_in_backoff(server) <= MAX_REQUESTS_IN_BACKOFF

    def test_earlier_reservations_on_an_engine_in_backoff_are_not_used(self) -> None:
        """The backoff begins while prompts are processed; another engine decodes the answers."""
        fleet = LimitedFleet(1)
        fleet.add("i-reader", "llm", "prefill", prefill_s=0.8)
        backoff = BackoffHandler()
        server = fleet.add("i-resting", "llm", "decode", handler=backoff, free_reservations=10_000)
        fleet.add("i-writer", "llm", "decode", handler=respond_stream, free_reservations=10_000)

        send_streams(fleet)
        assert backoff.max_arrivals_in_backoff(server) <= MAX_REQUESTS_IN_BACKOFF

    def test_shorter_backoff_does_not_replace_a_longer_one(self) -> None:
        """Two concurrent requests are refused, the later one with a shorter backoff."""
        fleet = LimitedFleet(1)
        backoff = BackoffHandler(BACKOFF_S, refusal_delay_s=0.2)
        server = fleet.add("i-resting", handler=backoff)
        fleet.add("i-other", handler=respond_slowly)

        async def shorten_backoff() -> None:
            while not server.arrivals:
                await curio.sleep(0.01)
            backoff.backoff_s = 0.5

        async def scenario() -> None:
            async with curio.TaskGroup(wait=all) as group:
                await group.spawn(shorten_backoff)
                await group.spawn(
                    partial(fleet.send_at_rate, "/once/a", per_s=60.0, duration_s=3.4)
                )

        fleet.run(scenario, UNSAFE_ROUTE)
        announced = [round(until - at, 1) for at, until in backoff.refusals]
        assert announced[:2] == [BACKOFF_S, 0.5]
        assert backoff.max_arrivals_in_backoff(server) == 0

    def test_backoff_survives_missing_entry(self) -> None:
        """An entry may lapse in an outage of the store although its server still runs."""
        fleet = LimitedFleet(1)
        backoff = BackoffHandler(8.0)
        server = fleet.add("i-resting", handler=backoff)
        fleet.add("i-other", handler=respond_slowly)

        async def scenario() -> None:
            while not backoff.refusals:
                await fleet.send("/once/a")
            await server.store.remove("servers/i-resting")
            await curio.sleep(1.0)
            await server.publish_entry()
            await fleet.send_at_rate("/once/a", per_s=OFFERED_PER_S, duration_s=6.0)

        fleet.run(scenario, UNSAFE_ROUTE)
        assert len(server.arrivals) == 1

    def test_next_incarnation_of_a_server_in_backoff_gets_requests(self) -> None:
        """The restarted server has asked for nothing, so it gets requests before the old end."""
        fleet = LimitedFleet(1)
        backoff = BackoffHandler(60.0)
        server = fleet.add("i-resting", handler=backoff, start_time_ms=1)
        fleet.add("i-other", handler=respond_slowly)

        async def scenario() -> None:
            while not backoff.refusals:
                await fleet.send("/once/a")
            server.handler, server.start_time_ms = respond_ok, 2
            server.arrivals.clear()
            await server.publish_entry()
            await curio.sleep(0.2)
            await fleet.send_at_rate("/once/a", per_s=OFFERED_PER_S, duration_s=1.0)

        fleet.run(scenario, UNSAFE_ROUTE)
        assert server.arrivals
        assert set(fleet.count_statuses()) == {200, 503}
        assert fleet.count_statuses()[503] == len(backoff.refusals)

    def test_server_gets_its_share_after_its_backoff(self) -> None:
        """The server gets requests within a second, at least a fifth as many as the other."""
        fleet = LimitedFleet(1)
        backoff = BackoffHandler(BACKOFF_S, serve=respond_slowly)
        server = fleet.add("i-resting", handler=backoff)
        other = fleet.add("i-other", handler=respond_slowly)

        async def scenario() -> None:
            backoff.serve_from = await curio.clock() + 1.0
            await fleet.send_at_rate("/once/a", per_s=OFFERED_PER_S, duration_s=10.0)

        fleet.run(scenario, UNSAFE_ROUTE)
        after_backoff = arrivals_after(server, backoff.refusals[0][1])
        assert after_backoff
        assert after_backoff[0] < 1.0
        assert len(after_backoff) > 0.2 * len(other.arrivals) * (10.0 - BACKOFF_S) / 10.0


async def behave_as_body_says(replica: FakeReplica, exchange: Exchange) -> None:
    """Wait as long as the body says, then run the request or refuse it.

    The body is "run", "full" (a refusal) or "rest" (a refusal with a backoff of 3 s), and the
    delay in seconds.
    """
    action, _, after_s = exchange.req.body.decode().partition(" ")
    await curio.sleep(float(after_s or 0))
    if action == "run":
        await respond_ok(replica, exchange)
        return
    request_id = exchange.req.headers["x-request-id"]
    retry_after = [("retry-after", "3")] if action == "rest" else []
    response_headers = [("x-request-id", request_id), ("x-not-executed", "1"), *retry_after]
    await exchange.respond_with_fields(503, response_headers, b"")
