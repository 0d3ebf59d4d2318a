"""Regression tests of servers that advertise a limit on the requests of all instances together.

Failure: a server of a plain service advertised 4.2 requests a second in its responses. From three
seconds later on 45 requests reached it within four seconds, where 30 are allowed; on the same day
another server, which advertised 2 a second, got 42, where 17 are allowed.

How it comes about: each response of the server carries the limit, and the instances pass it on to
their callers. The server refuses nothing and answers as fast as before, so the instances choose it
as often as before, each by the response times and failures that it measures itself.

Cause: the header was passed on and not read. No instance knew the limit, none counted its requests
to a server per time, and none knew the requests of the others. In one run of the reported scenario
the requests to the server did not change when it began to advertise its limit, and no log line of
any instance held the limit.
"""

from __future__ import annotations

from functools import partial

import curio
import pytest

from behaviours import break_stream, respond_error
from crankhinge.http import Exchange
from limit_worlds import (
    FLEET_READY_S,
    RESUMABLE_ROUTE,
    SAFE_ROUTE,
    STREAM_ROUTE,
    TARGET_LATENCY_S,
    TOKEN_HEADERS,
    UNSAFE_ROUTE,
    LimitedFleet,
    max_allowed_in_window,
    max_arrivals_in_window,
    max_in_window,
)
from platform_fakes import FakeReplica, RequestHandler, respond_stream

# Requests a second that callers send, many times what the server takes, and for how many seconds.
OFFERED_PER_S = 30.0
OFFERED_S = 10.0


def send_streams(fleet: LimitedFleet) -> None:
    """Have callers request streams, many times as many as the limited server takes."""

    async def scenario() -> None:
        await fleet.send_at_rate(
            "/stream/a", per_s=OFFERED_PER_S, duration_s=OFFERED_S, **TOKEN_HEADERS
        )

    fleet.run(scenario, STREAM_ROUTE)


class TestAdvertisedLimit:
    """One server advertises a limit, and callers send many times as many requests."""

    @pytest.mark.parametrize("instances", [1, 3])
    def test_all_instances_together_keep_the_limit(self, instances: int) -> None:
        """The other servers get the requests beyond the limit, so that every caller is served."""
        fleet = LimitedFleet(instances)
        limited = fleet.add("i-limited", advertised_limit="2")
        others = [fleet.add(f"i-{number}") for number in range(2)]

        async def scenario() -> None:
            await fleet.send_at_rate("/once/a", per_s=OFFERED_PER_S, duration_s=OFFERED_S)

        fleet.run(scenario, UNSAFE_ROUTE)
        assert max_arrivals_in_window(limited) <= max_allowed_in_window(2.0)
        assert fleet.count_statuses() == {200: int(OFFERED_PER_S * OFFERED_S)}
        assert all(len(server.arrivals) > len(limited.arrivals) for server in others)

    def test_retries_count_against_the_limit(self) -> None:
        """Each call fails on the other server; a retry on this one must not exceed its limit."""
        fleet = LimitedFleet()
        limited = fleet.add("i-limited", advertised_limit="2")
        fleet.add("i-failing", handler=respond_error)

        async def scenario() -> None:
            await fleet.send_at_rate("/safe/a", per_s=OFFERED_PER_S, duration_s=OFFERED_S)

        fleet.run(scenario, SAFE_ROUTE)
        assert max_arrivals_in_window(limited) <= max_allowed_in_window(2.0)

    def test_streams_count_against_the_limit_of_a_decode_engine(self) -> None:
        """The other decode engine gets the streams beyond the limit, so every caller is served."""
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

        send_streams(fleet)
        assert max_arrivals_in_window(limited) <= max_allowed_in_window(2.0)
        assert fleet.count_statuses() == {200: int(OFFERED_PER_S * OFFERED_S)}

    def test_prompts_count_against_the_limit_of_a_prefill_engine(self) -> None:
        """The decode engine processes the prompts that exceed the prefill engine's limit."""
        fleet = LimitedFleet()
        limited = fleet.add("i-limited", "llm", "prefill", advertised_limit="2")
        fleet.add("i-writer", "llm", "decode", handler=respond_stream, free_reservations=10_000)

        send_streams(fleet)
        assert max_arrivals_in_window(limited) <= max_allowed_in_window(2.0)
        assert fleet.count_statuses() == {200: int(OFFERED_PER_S * OFFERED_S)}

    def test_limit_applies_once_the_server_advertises_it(self) -> None:
        """Instances keep the limit from half a second after the first response that carries it."""
        fleet = LimitedFleet()
        limited = fleet.add("i-limited")
        fleet.add("i-other")
        advertised_at = 0.0

        async def scenario() -> None:
            nonlocal advertised_at
            send_requests = partial(
                fleet.send_at_rate, "/once/a", per_s=OFFERED_PER_S, duration_s=OFFERED_S
            )
            async with curio.TaskGroup(wait=all) as group:
                await group.spawn(send_requests)
                await curio.sleep(3.0)
                limited.advertised_limit, advertised_at = "2", await curio.clock()

        fleet.run(scenario, UNSAFE_ROUTE)
        assert max_arrivals_in_window(limited, since=advertised_at + 0.5) <= max_allowed_in_window(
            2.0
        )
        assert fleet.count_statuses() == {200: int(OFFERED_PER_S * OFFERED_S)}


class TestAllSendPaths:
    """Every kind of request or call that an instance sends to a server with a limit."""

    def test_resumed_streams_are_limited(self) -> None:
        """Streams break off at one engine and resume on another, whose limit is four a second."""
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

        async def scenario() -> None:
            await fleet.send_at_rate("/resumed/a", per_s=12.0, duration_s=15.0, **TOKEN_HEADERS)

        fleet.run(scenario, RESUMABLE_ROUTE)
        resumed = [each for each in limited.arrivals if "last-event-id" in each.headers]
        assert resumed
        assert max_arrivals_in_window(limited) <= max_allowed_in_window(4.0)

    def test_second_prompt_attempts_are_limited(self) -> None:
        """One prefill engine refuses all prompts, so each is sent to the limited engine instead."""
        fleet = LimitedFleet()
        fleet.add("i-refusing", "llm", "prefill", refuses_prefill=True)
        limited = fleet.add("i-limited", "llm", "prefill", advertised_limit="2")
        fleet.add("i-writer", "llm", "decode", handler=respond_stream, free_reservations=10_000)

        send_streams(fleet)
        assert limited.arrivals
        assert max_arrivals_in_window(limited) <= max_allowed_in_window(2.0)

    def test_kv_cache_fetches_are_limited(self) -> None:
        """A call that makes a decode engine fetch the KV cache of a prompt counts as a request."""
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

        send_streams(fleet)
        assert any("kv-from" in each.headers for each in limited.arrivals)
        assert max_arrivals_in_window(limited) <= max_allowed_in_window(4.0)

    def test_reservation_calls_are_limited(self) -> None:
        """A refused reservation of KV memory is a call, too, and needs a permit like any other."""
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

        send_streams(fleet)
        reservation_calls = limited.side_calls.count("POST /v1/hold-take")
        # Four calls were granted and returned the limit; each call after them had a permit.
        assert 4 < reservation_calls <= 2.0 * OFFERED_S + max_allowed_in_window(2.0)

    def test_earlier_reservations_are_used_within_limit_or_released(self) -> None:
        """The engine begins to advertise a limit after instances have reserved KV memory on it.

        Other engines then decode the requests that exceed its limit.
        """
        fleet = LimitedFleet()
        fleet.add("i-reader", "llm", "prefill", prefill_s=0.8)
        limited = fleet.add(
            "i-limited", "llm", "decode", handler=respond_stream, free_reservations=10_000
        )
        fleet.add("i-writer", "llm", "decode", handler=respond_stream, free_reservations=10_000)
        advertised_at = 0.0

        async def scenario() -> None:
            nonlocal advertised_at
            send_requests = partial(
                fleet.send_at_rate, "/stream/a", per_s=20.0, duration_s=6.0, **TOKEN_HEADERS
            )
            async with curio.TaskGroup(wait=all) as group:
                await group.spawn(send_requests)
                await curio.sleep(2.0)
                limited.advertised_limit, advertised_at = "0.5", await curio.clock()

        fleet.run(scenario, STREAM_ROUTE)
        # Instances learn the limit only from the first response that carries it.
        assert max_arrivals_in_window(limited, since=advertised_at + 0.5) <= max_allowed_in_window(
            0.5
        )
        assert fleet.count_statuses() == {200: 120}
        # Each reservation on this engine was used or released.
        released = sum(each.startswith("DELETE /v1/hold-drop") for each in limited.side_calls)
        assert released > 0
        reserved = limited.side_calls.count("POST /v1/hold-take")
        assert reserved == len(limited.arrivals) + released

    def test_release_calls_need_no_permit(self) -> None:
        """A call that releases KV memory reduces the engine's load, so it needs no permit."""
        fleet = LimitedFleet()
        prefill_engine = fleet.add("i-reader", "llm", "prefill")
        limited = fleet.add(
            "i-limited",
            "llm",
            "decode",
            advertised_limit="2",
            handler=respond_stream,
            free_reservations=10_000,
        )

        async def scenario() -> None:
            await fleet.send("/stream/a", **TOKEN_HEADERS)
            await curio.sleep(FLEET_READY_S)
            prefill_engine.prefill_s = 0.8
            async with curio.TaskGroup(wait=all) as group:
                await group.spawn(partial(fleet.send, "/stream/a", **TOKEN_HEADERS))
                await curio.sleep(0.4)
                # The engine leaves while the prompt is processed, so the reservation is released.
                await limited.publish_entry("draining")

        fleet.run(scenario, STREAM_ROUTE)
        assert limited.side_calls.count("POST /v1/hold-take") == 2
        assert [each for each in limited.side_calls if each.startswith("DELETE /v1/hold-drop")]


async def respond_late_to_slow_body(replica: FakeReplica, exchange: Exchange) -> None:
    """Respond with the limit as of the request's arrival; after 1 s if its body is "slow"."""
    head = replica.response_fields(exchange)
    await curio.sleep(1.0 if exchange.req.body == b"slow" else 0.0)
    await exchange.respond_with_fields(200, head, b"whole")


class TestLimitChanges:
    """A limit that ends, rises, falls or cannot be read."""

    def test_limit_ends_with_the_first_response_without_it(self) -> None:
        """The server then gets its share of all requests again, and every caller is served."""
        fleet = LimitedFleet()
        limited = fleet.add("i-limited", advertised_limit="1")
        withdrawn_at = 0.0

        async def scenario() -> None:
            nonlocal withdrawn_at
            await fleet.send_at_rate("/once/a", per_s=OFFERED_PER_S, duration_s=4.0)
            limited.advertised_limit = None
            await curio.sleep(4.0)
            withdrawn_at = await curio.clock()
            await fleet.send_at_rate("/once/a", per_s=OFFERED_PER_S, duration_s=4.0)

        fleet.run(scenario, UNSAFE_ROUTE)
        later = [each for each in fleet.outcomes if each.sent_at >= withdrawn_at]
        assert len(later) == 4 * OFFERED_PER_S
        assert all(each.status == 200 for each in later)
        for gateway in fleet.gateways:
            assert gateway.logs.matching("server_limit ", "per_s=", "was=1.0")

    def test_end_of_limit_is_sent_to_all_instances(self) -> None:
        """An instance that sends the server no request gets no response that shows the end."""
        fleet = LimitedFleet(2)
        limited = fleet.add("i-limited", advertised_limit="8")
        other_gateway = fleet.gateways[1]

        async def scenario() -> None:
            await fleet.send("/once/a")
            await fleet.send("/once/a")
            limited.advertised_limit = None
            await curio.sleep(1.0)
            await fleet.send("/once/a")
            await curio.sleep(0.1)

        fleet.run(scenario, UNSAFE_ROUTE)
        assert other_gateway.logs.matching(
            "server_limit ", "per_s= ", "was=8.0", "told_by=127.0.0.1"
        )

    @pytest.mark.parametrize(("first", "second"), [("1", "8"), ("8", "1")])
    def test_new_limit_applies_at_once(self, first: str, second: str) -> None:
        """Permits that were saved under the old limit must not be used under the new one."""
        fleet = LimitedFleet()
        limited = fleet.add("i-limited", advertised_limit=first)
        fleet.add("i-other")
        changed_at = 0.0

        async def scenario() -> None:
            nonlocal changed_at
            await fleet.send_at_rate("/once/a", per_s=OFFERED_PER_S, duration_s=8.0)
            limited.advertised_limit, changed_at = second, await curio.clock()
            await fleet.send_at_rate("/once/a", per_s=OFFERED_PER_S, duration_s=16.0)

        fleet.run(scenario, UNSAFE_ROUTE)
        before = [each.arrived_at for each in limited.arrivals if each.arrived_at < changed_at]
        later = [
            each.arrived_at for each in limited.arrivals if each.arrived_at >= changed_at + 0.5
        ]
        assert max_in_window(before) <= max_allowed_in_window(float(first))
        assert max_in_window(later) <= max_allowed_in_window(float(second))
        assert len(later) >= 0.8 * 15.5 * float(second)

    @pytest.mark.parametrize("limit", ["0", "0.25"])
    def test_limit_below_one_per_second_is_probed(self, limit: str) -> None:
        """Even with a limit of 0, occasional requests must show whether the limit has ended."""
        fleet = LimitedFleet()
        limited = fleet.add("i-limited", advertised_limit=limit)
        fleet.add("i-other")

        async def scenario() -> None:
            await fleet.send_at_rate("/once/a", per_s=10.0, duration_s=20.0)

        fleet.run(scenario, UNSAFE_ROUTE)
        assert 3 <= len(limited.arrivals) <= 10
        assert max_arrivals_in_window(limited) <= max_allowed_in_window(float(limit))
        assert fleet.count_statuses() == {200: 200}

    def test_unreadable_limit_changes_nothing(self) -> None:
        """A server keeps its last readable limit; one that never had such a limit has none."""
        fleet = LimitedFleet()
        limited = fleet.add("i-limited", advertised_limit="lots")
        fleet.add("i-other")
        advertised_at = 0.0

        async def scenario() -> None:
            nonlocal advertised_at
            await fleet.send_at_rate("/once/a", per_s=OFFERED_PER_S, duration_s=2.0)
            limited.advertised_limit, advertised_at = "2", await curio.clock()
            await fleet.send_at_rate("/once/a", per_s=OFFERED_PER_S, duration_s=3.0)
            limited.advertised_limit = "nan"
            await fleet.send_at_rate("/once/a", per_s=OFFERED_PER_S, duration_s=8.0)

        fleet.run(scenario, UNSAFE_ROUTE)
        assert sum(each.arrived_at < advertised_at for each in limited.arrivals) >= 15
        assert max_arrivals_in_window(limited, since=advertised_at + 0.5) <= max_allowed_in_window(
            2.0
        )

    def test_response_to_earlier_request_does_not_end_the_limit(self) -> None:
        """A late response may have been begun before the server had the limit."""
        fleet = LimitedFleet(1)
        limited = fleet.add("i-limited", handler=respond_late_to_slow_body)

        async def scenario() -> None:
            async with curio.TaskGroup(wait=all) as group:
                await group.spawn(partial(fleet.send, "/once/a", body=b"slow"))
                await curio.sleep(0.2)
                limited.advertised_limit = "2"
                await fleet.send("/once/a")

        fleet.run(scenario, UNSAFE_ROUTE)
        assert fleet.count_statuses() == {200: 2}
        assert len(fleet.harness.logs.matching("event=server_limit ")) == 1

    def test_refusal_without_limit_does_not_end_the_limit(self) -> None:
        """A refusal may come from a proxy in front of the server that advertises the limit."""
        fleet = LimitedFleet(1)
        limited = fleet.add("i-limited", advertised_limit="2")

        async def scenario() -> None:
            await fleet.send("/once/a")
            limited.handler = refuse
            await curio.sleep(2.0)
            await fleet.send("/once/a")

        fleet.run(scenario, UNSAFE_ROUTE)
        assert fleet.count_statuses() == {200: 1, 503: 1}
        assert len(fleet.harness.logs.matching("event=server_limit ")) == 1

    def test_limit_does_not_apply_to_next_incarnation(self) -> None:
        """A server that restarts under the same name has not advertised any limit yet."""
        fleet = LimitedFleet()
        limited = fleet.add("i-limited", advertised_limit="0.25", start_time_ms=1000)
        restarted_at = 0.0

        async def scenario() -> None:
            nonlocal restarted_at
            await fleet.send_at_rate("/once/a", per_s=OFFERED_PER_S, duration_s=2.0)
            limited.advertised_limit, limited.start_time_ms = None, 2000
            await limited.publish_entry()
            await curio.sleep(1.0)
            restarted_at = await curio.clock()
            await fleet.send_at_rate("/once/a", per_s=OFFERED_PER_S, duration_s=2.0)

        fleet.run(scenario, UNSAFE_ROUTE)
        later = [each for each in fleet.outcomes if each.sent_at >= restarted_at]
        assert [each.status for each in later] == [200] * len(later)

    def test_limit_survives_missing_entry(self) -> None:
        """An outage of the store removes the server's entry, but the server still has its limit."""
        fleet = LimitedFleet()
        limited = fleet.add("i-limited", advertised_limit="2")
        fleet.add("i-other")
        entered_again_at = 0.0

        async def scenario() -> None:
            nonlocal entered_again_at
            await fleet.send_at_rate("/once/a", per_s=OFFERED_PER_S, duration_s=3.0)
            await fleet.harness.store.remove("servers/i-limited")
            await curio.sleep(4.0)
            await limited.publish_entry()
            await curio.sleep(0.5)
            entered_again_at = await curio.clock()
            await fleet.send_at_rate("/once/a", per_s=OFFERED_PER_S, duration_s=4.0)

        fleet.run(scenario, UNSAFE_ROUTE)
        assert max_arrivals_in_window(limited, since=entered_again_at) <= max_allowed_in_window(2.0)
        assert any(each.arrived_at >= entered_again_at for each in limited.arrivals)


class TestAllServersLimited:
    """All servers of a service advertise a limit."""

    def test_excess_requests_are_refused_at_once(self) -> None:
        """A request that cannot be served within its target latency must not wait for nothing."""
        fleet = LimitedFleet()
        servers = [fleet.add(f"i-{number}", advertised_limit="2") for number in range(3)]

        async def scenario() -> None:
            await fleet.send_at_rate("/once/a", per_s=OFFERED_PER_S, duration_s=OFFERED_S)

        fleet.run(scenario, UNSAFE_ROUTE)
        served = [each for each in fleet.outcomes if each.status == 200]
        refused = [each for each in fleet.outcomes if each.status == 503]
        assert len(served) + len(refused) == OFFERED_PER_S * OFFERED_S
        assert len(served) >= 0.8 * 3 * 2.0 * OFFERED_S
        assert max(each.response_s for each in served) <= TARGET_LATENCY_S + 0.1
        assert max(each.response_s for each in refused) <= 0.2
        assert min(each.retry_after_s for each in refused) > 0.0
        for server in servers:
            assert max_arrivals_in_window(server) <= max_allowed_in_window(2.0)

    def test_stream_is_refused_at_once_if_no_engine_may_take_it(self) -> None:
        """All decode engines have a limit of 0, so waiting cannot help the stream."""
        fleet = LimitedFleet(1)
        fleet.add("i-reader", "llm", "prefill")
        for number in range(2):
            fleet.add(f"i-{number}", "llm", "decode", advertised_limit="0", handler=respond_stream)

        async def scenario() -> None:
            await fleet.send_at_rate("/stream/a", per_s=4.0, duration_s=6.0, **TOKEN_HEADERS)

        fleet.run(scenario, STREAM_ROUTE)
        refused = [each for each in fleet.outcomes if each.status == 503]
        assert len(refused) >= 15
        assert max(each.response_s for each in refused) <= 0.2
        assert min(each.retry_after_s for each in refused) > 0.0
        assert fleet.harness.logs.matching("request_failed", "code=server-at-limit")

    def test_permit_of_disconnected_caller_goes_to_next_caller(self) -> None:
        """One caller gets a permit for half a second later and disconnects after 0.1 s."""
        fleet = LimitedFleet(1)
        fleet.add("i-limited", advertised_limit="2")

        async def scenario() -> None:
            await fleet.send("/once/a")
            await curio.sleep(FLEET_READY_S)
            await fleet.send("/once/a")
            await fleet.send("/once/a")
            await curio.ignore_after(0.1, fleet.send, "/once/a")
            await curio.sleep(0.05)
            await fleet.send("/once/a")

        fleet.run(scenario, UNSAFE_ROUTE)
        assert fleet.count_statuses() == {200: 4}
        assert fleet.outcomes[-1].response_s <= 0.45

    def test_caller_that_obeys_retry_after_is_served(self) -> None:
        """Twelve callers send at once to a server that takes two requests a second."""
        fleet = LimitedFleet()
        fleet.add("i-limited", advertised_limit="2")
        statuses: list[int] = []

        async def send_and_retry() -> None:
            outcome = await fleet.send("/once/a")
            if outcome.status == 503:
                await curio.sleep(outcome.retry_after_s)
                statuses.append((await fleet.send("/once/a")).status)

        async def scenario() -> None:
            await fleet.send("/once/a")
            await curio.sleep(FLEET_READY_S)
            async with curio.TaskGroup(wait=all) as group:
                for _ in range(12):
                    await group.spawn(send_and_retry)

        fleet.run(scenario, UNSAFE_ROUTE)
        assert len(statuses) >= 6
        assert statuses.count(200) >= 0.8 * len(statuses)


class TestLimitPropagation:
    """How an instance learns of a limit after a restart, or without a response that has it."""

    def test_restarted_instance_knows_limit(self) -> None:
        """The instances that allocate a server's requests keep its limit in their records."""
        fleet = LimitedFleet()
        limited = fleet.add("i-limited", advertised_limit="2")
        fleet.add("i-other")

        async def scenario() -> None:
            await fleet.send_at_rate("/once/a", per_s=OFFERED_PER_S, duration_s=4.0)
            await curio.sleep(3.0)
            for gateway in fleet.gateways:
                await gateway.kill_gateway()
            await curio.sleep(1.5)
            await fleet.send_at_rate("/once/a", per_s=OFFERED_PER_S, duration_s=6.0)

        fleet.run(scenario, UNSAFE_ROUTE)
        assert max_arrivals_in_window(limited) <= max_allowed_in_window(2.0)
        for gateway in fleet.gateways:
            assert gateway.logs.matching("server_limit ", "per_s=2.0", "told_by=note:")

    def test_instance_without_responses_is_notified_by_others(self) -> None:
        """An instance that sent the server nothing learns of the limit by a peer message."""
        fleet = LimitedFleet(2)
        fleet.add("i-limited", advertised_limit="2")
        other_gateway = fleet.gateways[1]

        async def scenario() -> None:
            await fleet.harness.call("q", "/once/a")
            await curio.sleep(0.1)

        fleet.run(scenario, UNSAFE_ROUTE)
        assert other_gateway.logs.matching("server_limit ", "server=i-limited", "per_s=2.0")
        assert not other_gateway.logs.matching("event=answered")


async def refuse(replica: FakeReplica, exchange: Exchange, *extra_headers: tuple[str, str]) -> None:
    """Refuse a request at once, with the header field that says that nothing ran."""
    request_id = exchange.req.headers["x-request-id"]
    response_headers = [("x-request-id", request_id), ("x-not-executed", "1"), *extra_headers]
    await exchange.respond_with_fields(503, response_headers, b"")


async def refuse_with_retry_after(replica: FakeReplica, exchange: Exchange) -> None:
    """Refuse a request and ask for a retry after two seconds."""
    await refuse(replica, exchange, ("retry-after", "2"))


class TestRefusingServer:
    """A server that refuses requests at once, so that it looks less busy than the others."""

    @pytest.mark.parametrize(
        ("behave", "max_requests"), [(refuse_with_retry_after, 3), (refuse, 5)]
    )
    def test_refusing_server_is_skipped_for_its_pause(
        self, behave: RequestHandler, max_requests: int
    ) -> None:
        """The pause is the Retry-After of the refusal, or grows with each refusal without one."""
        fleet = LimitedFleet(1)
        refusing = fleet.add("i-shedding", handler=behave)
        fleet.add("i-other")

        async def scenario() -> None:
            await fleet.send_at_rate("/once/a", per_s=OFFERED_PER_S, duration_s=6.0)

        fleet.run(scenario, UNSAFE_ROUTE)
        refused = len(refusing.arrivals)
        assert 0 < refused <= max_requests
        assert fleet.count_statuses() == {200: 180 - refused, 503: refused}
