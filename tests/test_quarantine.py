"""Regression tests of requests that crash the servers that run them.

Failure: a request that had crashed three backend servers was sent to servers four more times, and
seven crashed in all; sixteen streams of other callers were cut with them.

How it comes about: the server that runs the request ends 0.1 s after it began; its connection
closes, and connections to its address are refused. The caller retries with the same path and body
and a new request id at whichever instance the load balancer chooses, seven times in 15 s, and each
retry goes to the next server.

Cause: an attempt kept no record of its crash, so the next attempt knew nothing of it, on the same
instance too. In one run of the reported scenario one instance sent the request to five of the
seven servers, each attempt once (``sent=1``), and reservations at these servers met "connection
refused".
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

UNSAFE_ROUTE = route("r-once", "/once/", "unsafe", "plain")
SAFE_ROUTE = route("r-safe", "/safe/", "safe", "plain", max_attempts=2)
STREAM_ROUTE = route("r-stream", "/stream/", "streaming", "llm")
RESUMABLE_ROUTE = route(
    "r-resumed", "/resumed/", "streaming", "llm", max_attempts=2, resumable=True
)
TOKEN_HEADERS = {"x_token_count": "100,50", "length_hint": "40"}
CRASHING_BODY = b"crashing"
# Servers that one request may crash.
MAX_CRASHES = 3
# Seconds after which the instances know each other, and after which a crashed server restarts.
FLEET_READY_S = 8.0
SERVER_RESTART_S = 2.0
# Seconds between two attempts of a caller, and until all instances have the message of a crash.
CALLER_RETRY_S = 1.0
PEER_MESSAGE_S = 0.3


async def crash_if_crashing_body(replica: FakeReplica, exchange: Exchange) -> None:
    """End the server process if the request has the crashing body; otherwise serve it."""
    behave = crash if exchange.req.body == CRASHING_BODY else respond_ok
    await behave(replica, exchange)


async def crash_in_stream(replica: FakeReplica, exchange: Exchange) -> None:
    """End the process in the middle of the stream if the request has the crashing body.

    Other requests are served.
    """
    if exchange.req.body != CRASHING_BODY:
        await respond_stream(replica, exchange)
        return
    first = int(exchange.req.headers.get("last-event-id", "0")) + 1
    await exchange.start_with_fields(200, replica.response_fields(exchange))
    await exchange.write(make_events(first, first))
    await replica.crash()


class Fleet:
    """Several instances in front of servers that restart soon after a crash.

    Args:
        tenants: client accounts, if callers need API keys.
        instances: the number of instances.
    """

    def __init__(self, tenants: Any = None, instances: int = 2) -> None:
        self.harness = GatewayHarness(tenants=tenants)
        others = [self.harness.add_gateway(f"g{number}") for number in range(1, instances)]
        self.gateways = [self.harness, *others]
        self.replicas: list[FakeReplica] = []
        self.statuses: list[int] = []

    def add(self, count: int, service: str, role: str = "", **options: Any) -> None:
        """Add *count* servers to a service; by default, the crashing body ends them."""
        for number in range(count):
            incarnation_id = f"i-{role or 'plain'}-{number}"
            options = {"handler": crash_if_crashing_body, "restart_s": SERVER_RESTART_S, **options}
            self.replicas.append(self.harness.add_replica(incarnation_id, service, role, **options))

    @property
    def crash_count(self) -> int:
        """The number of server crashes so far."""
        return sum(replica.incarnations - 1 + replica.crashed.is_set() for replica in self.replicas)

    async def send(self, number: int, path: str, **options: Any) -> int:
        """Send a request to one instance; return its status, or 0 if there was no response."""
        gateway = self.gateways[number % len(self.gateways)]
        try:
            status, self.headers, self.body = await gateway.call(f"q{number}", path, **options)
        except (BadHttp, HttpClosed):
            status = 0
        self.statuses.append(status)
        return status

    async def send_crashing_request(self, count: int, path: str, **options: Any) -> None:
        """Send the crashing request *count* times, with the pauses of a caller that retries."""
        for _ in range(count):
            await self.send(len(self.statuses), path, body=CRASHING_BODY, **options)
            await curio.sleep(CALLER_RETRY_S)

    def run(self, scenario: Callable[[], Any], *routes: dict[str, Any]) -> None:
        """Run *scenario* in virtual time, beginning when the instances know each other."""

        async def run_when_ready() -> None:
            await curio.sleep(FLEET_READY_S)
            await scenario()

        run_virtual(self.harness.run, run_when_ready, *routes, settle_s=0.003)


def plain_fleet(instances: int = 2) -> Fleet:
    """Return a fleet in front of six plain servers."""
    fleet = Fleet(instances=instances)
    fleet.add(6, "plain")
    return fleet


def engine_fleet(**prefill_options: Any) -> Fleet:
    """Return a fleet in front of four prefill engines and six decode engines."""
    fleet = Fleet()
    fleet.add(4, "llm", "prefill", **{"handler": crash_in_stream, **prefill_options})
    fleet.add(6, "llm", "decode", handler=crash_in_stream)
    return fleet


class TestCrashingRequest:
    """A request crashes each server that begins to run it, and its caller retries."""

    @pytest.mark.parametrize("fresh", [False, True])
    def test_crashing_request_reaches_no_server_after_third_crash(self, fresh: bool) -> None:
        """The two instances refuse the request, on reused connections and on new ones."""
        fleet = plain_fleet()

        async def scenario() -> None:
            await fleet.send_crashing_request(8, "/once/a", new_connection=fresh)

        fleet.run(scenario, UNSAFE_ROUTE)
        assert fleet.crash_count == MAX_CRASHES
        assert fleet.statuses == [502] * MAX_CRASHES + [503] * 5

    def test_retryable_request_is_not_retried_after_third_crash(self) -> None:
        """The first attempt of the caller crashes two servers, the second one a third.

        The instance that retries learns of the third crash before it has chosen the fourth
        server. If both retries run at the same time, one more server crashes, and none
        after that.
        """
        fleet = plain_fleet()

        async def scenario() -> None:
            await fleet.send_crashing_request(6, "/safe/a")

        fleet.run(scenario, SAFE_ROUTE)
        assert fleet.crash_count <= MAX_CRASHES + 1
        assert fleet.statuses[2:] == [503] * 4

    @pytest.mark.parametrize(("path", "max_crashes"), [("/stream/a", 3), ("/resumed/a", 4)])
    def test_stream_reaches_no_decode_engine_after_third_crash(
        self, path: str, max_crashes: int
    ) -> None:
        """A stream that resumes on another engine may crash one more than one that does not."""
        fleet = engine_fleet()

        async def scenario() -> None:
            await fleet.send_crashing_request(8, path, **TOKEN_HEADERS)

        fleet.run(scenario, STREAM_ROUTE, RESUMABLE_ROUTE)
        assert MAX_CRASHES <= fleet.crash_count <= max_crashes
        assert fleet.statuses[MAX_CRASHES:] == [503] * 5

    def test_prompt_reaches_no_prefill_engine_after_third_crash(self) -> None:
        """The decode engines process the prompt that crashes prefill engines, so it is served."""
        fleet = Fleet()
        fleet.add(6, "llm", "prefill", crash_on_prompt=CRASHING_BODY)
        fleet.add(2, "llm", "decode", handler=respond_stream)

        async def scenario() -> None:
            await fleet.send_crashing_request(8, "/stream/a", **TOKEN_HEADERS)

        fleet.run(scenario, STREAM_ROUTE)
        assert MAX_CRASHES <= fleet.crash_count <= MAX_CRASHES + 1
        assert fleet.statuses == [200] * 8

    def test_crashes_are_counted_per_account(self) -> None:
        """Requests with two keys of one account count together, those of another account do not."""
        tenants = [
            {"name": "one", "api_keys": ["k1", "k2"]},
            {"name": "two", "api_keys": ["k3"]},
        ]
        fleet = Fleet(tenants)
        fleet.add(6, "plain")

        async def scenario() -> None:
            await fleet.send_crashing_request(2, "/once/a", authorization="Bearer k1")
            await fleet.send_crashing_request(3, "/once/a", authorization="Bearer k2")
            assert fleet.statuses == [502] * 3 + [503] * 2
            await fleet.send_crashing_request(1, "/once/a", authorization="Bearer k3")
            assert fleet.statuses[-1] == 502

        fleet.run(scenario, UNSAFE_ROUTE)

    def test_instances_that_saw_no_crash_refuse_the_request(self) -> None:
        """A peer message reaches all instances before they read the instance records."""
        fleet = plain_fleet(instances=6)

        async def scenario() -> None:
            for number in range(3):
                await fleet.send(0, "/once/a", body=CRASHING_BODY)
                await curio.sleep(PEER_MESSAGE_S if number == 2 else CALLER_RETRY_S)
            for number in range(6):
                assert await fleet.send(number, "/once/a", body=CRASHING_BODY) == 503

        fleet.run(scenario, UNSAFE_ROUTE)
        assert fleet.crash_count == MAX_CRASHES

    def test_instance_without_peer_messages_learns_from_store(self) -> None:
        """One instance gets no datagrams and reads of the quarantine in the instance records."""
        fleet = plain_fleet()
        without_messages = fleet.harness.add_gateway("deaf")
        without_messages.peer_port = 1

        async def scenario() -> None:
            await fleet.send_crashing_request(4, "/once/a")
            await curio.sleep(4.0)
            status, _, _ = await without_messages.call("d", "/once/a", body=CRASHING_BODY)
            assert status == 503

        fleet.run(scenario, UNSAFE_ROUTE)
        assert fleet.crash_count == MAX_CRASHES


class TestQuarantineRefusal:
    """The response to a quarantined request."""

    def test_refusal_is_immediate_and_states_reason_and_retry_time(self) -> None:
        """The refusal also says that the request did not run, so that the caller may retry."""
        fleet = plain_fleet()

        async def scenario() -> None:
            await fleet.send_crashing_request(3, "/once/a")
            started_at = await curio.clock()
            assert await fleet.send(0, "/once/a", body=CRASHING_BODY) == 503
            assert await curio.clock() - started_at < 0.1
            assert 8.0 < float(fleet.headers["retry-after"]) < 10.0
            refusal = json.loads(fleet.body)
            assert (refusal["error"], refusal["outcome"]) == ("quarantined", "not-run")
            assert "3 servers crashed" in refusal["detail"]

        fleet.run(scenario, UNSAFE_ROUTE)

    def test_refusal_does_not_wait_for_reservation(self) -> None:
        """No engine has free memory; the request would wait if it were not quarantined."""
        fleet = engine_fleet()

        async def scenario() -> None:
            await fleet.send_crashing_request(3, "/stream/a", **TOKEN_HEADERS)
            for replica in fleet.replicas:
                replica.free_reservations = 0
            started_at = await curio.clock()
            assert await fleet.send(0, "/stream/a", body=CRASHING_BODY, **TOKEN_HEADERS) == 503
            assert await curio.clock() - started_at < 0.1
            assert json.loads(fleet.body)["error"] == "quarantined"

        fleet.run(scenario, STREAM_ROUTE)

    def test_requests_with_another_body_are_served(self) -> None:
        """A quarantine holds for one path and body, not for all requests of the path."""
        fleet = plain_fleet()

        async def scenario() -> None:
            await fleet.send_crashing_request(4, "/once/a")
            for number in range(4):
                assert await fleet.send(number, "/once/a", body=b"other") == 200

        fleet.run(scenario, UNSAFE_ROUTE)

    def test_request_in_progress_is_refused_once_quarantined(self) -> None:
        """The third crash happens while the prompt is processed, so no answer is decoded."""
        fleet = engine_fleet(prefill_s=0.6)
        send = partial(fleet.send, path="/stream/a", body=CRASHING_BODY, **TOKEN_HEADERS)

        async def scenario() -> None:
            await fleet.send_crashing_request(2, "/stream/a", **TOKEN_HEADERS)
            third = await curio.spawn(send, 2)
            await curio.sleep(0.4)
            fourth = await curio.spawn(send, 3)
            await third.join()
            await fourth.join()

        fleet.run(scenario, STREAM_ROUTE)
        assert fleet.crash_count == MAX_CRASHES
        assert fleet.statuses[-1] == 503


class TestCoincidentalCrashes:
    """A request that ran on servers that crashed for another reason."""

    async def _crash_servers_by_chance(self, fleet: Fleet, path: str) -> None:
        """Have three servers crash while they run the request, then have all serve it."""
        for _ in range(MAX_CRASHES):
            await fleet.send(len(fleet.statuses), path, body=CRASHING_BODY)
            await curio.sleep(CALLER_RETRY_S)
        for replica in fleet.replicas:
            replica.handler = respond_ok

    def test_successful_trial_ends_quarantine_on_all_instances(self) -> None:
        """After ten seconds one attempt is sent as a trial; its response ends the quarantine."""
        fleet = plain_fleet()

        async def scenario() -> None:
            await self._crash_servers_by_chance(fleet, "/once/a")
            assert await fleet.send(0, "/once/a", body=CRASHING_BODY) == 503
            await curio.sleep(10.0)
            assert await fleet.send(0, "/once/a", body=CRASHING_BODY) == 200
            await curio.sleep(PEER_MESSAGE_S)
            for number in range(4):
                assert await fleet.send(number, "/once/a", body=CRASHING_BODY) == 200

        fleet.run(scenario, UNSAFE_ROUTE)

    def test_only_one_trial_runs_at_a_time(self) -> None:
        """Without this bound, each instance could crash a server with a trial of its own."""
        fleet = plain_fleet()

        async def scenario() -> None:
            await fleet.send_crashing_request(3, "/once/a")
            await curio.sleep(10.0)
            await fleet.send_crashing_request(4, "/once/a")
            assert fleet.statuses == [502] * 3 + [502] + [503] * 3

        fleet.run(scenario, UNSAFE_ROUTE)
        assert fleet.crash_count == MAX_CRASHES + 1

    def test_trial_is_not_retried_on_second_server(self) -> None:
        """A retry of the trial would crash a second server; the route allows retries."""
        fleet = plain_fleet()

        async def scenario() -> None:
            await fleet.send_crashing_request(3, "/safe/a")
            before = fleet.crash_count
            # Long enough even if two simultaneous retries crashed a fourth server.
            await curio.sleep(45.0)
            await fleet.send_crashing_request(1, "/safe/a")
            assert fleet.crash_count == before + 1

        fleet.run(scenario, SAFE_ROUTE)

    def test_quarantine_grows_with_each_failed_trial(self) -> None:
        """In the 100 s after the third crash, trials of the request crash only two more servers."""
        fleet = plain_fleet()

        async def scenario() -> None:
            await fleet.send_crashing_request(100, "/once/a")

        fleet.run(scenario, UNSAFE_ROUTE)
        assert fleet.crash_count == MAX_CRASHES + 2

    def test_completed_request_resets_crash_count(self) -> None:
        """A request that crashes two servers and is completed then three times is not refused."""
        fleet = plain_fleet()

        async def scenario() -> None:
            for _ in range(3):
                await fleet.send_crashing_request(2, "/once/a")
                for replica in fleet.replicas:
                    replica.handler = respond_ok
                assert await fleet.send(0, "/once/a", body=CRASHING_BODY) == 200
                await curio.sleep(PEER_MESSAGE_S)
                for replica in fleet.replicas:
                    replica.handler = crash_if_crashing_body

        fleet.run(scenario, UNSAFE_ROUTE)
        assert fleet.crash_count == 6

    def test_identical_requests_are_served_despite_simultaneous_crash_of_three_servers(
        self,
    ) -> None:
        """Three of four servers crash while each runs the request, and the fourth completes it.

        Its response ends the quarantine. Otherwise all callers that send this request would
        be refused for ten seconds.
        """

        async def serve_slowly(replica: FakeReplica, exchange: Exchange) -> None:
            await curio.sleep(0.3)
            await respond_ok(replica, exchange)

        fleet = Fleet()
        fleet.add(4, "plain", handler=serve_slowly)
        send = partial(fleet.send, path="/once/a", body=b"same")

        async def scenario() -> None:
            async with curio.TaskGroup() as group:
                for number in range(24):
                    await group.spawn(send, number)
                await curio.sleep(0.2)
                for replica in fleet.replicas[:3]:
                    await replica.crashed.set()
            assert fleet.gateways[0].logs.matching("event=request_quarantined")
            await curio.sleep(PEER_MESSAGE_S)
            fleet.statuses.clear()
            for number in range(4):
                await send(number)
            assert fleet.statuses == [200] * 4

        fleet.run(scenario, UNSAFE_ROUTE)

    def test_reset_connection_does_not_count_as_crash(self) -> None:
        """The servers reset the connections of the request but go on running."""

        async def reset_connection(_: FakeReplica, exchange: Exchange) -> None:
            raise HttpClosed("reset")

        fleet = Fleet()
        fleet.add(4, "plain", handler=reset_connection)

        async def scenario() -> None:
            await fleet.send_crashing_request(8, "/once/a")

        fleet.run(scenario, UNSAFE_ROUTE)
        assert fleet.statuses == [502] * 8


class TestInstanceRestart:
    """Instances that restart and lose the quarantines that they had in memory."""

    def test_restarted_instance_reads_quarantine_from_peer_records(self) -> None:
        """The other instances have published the quarantine in their instance records."""
        fleet = plain_fleet()

        async def scenario() -> None:
            await fleet.send_crashing_request(4, "/once/a")
            await fleet.gateways[0].kill_gateway()
            await curio.sleep(CALLER_RETRY_S)
            assert await fleet.send(0, "/once/a", body=CRASHING_BODY) == 503

        fleet.run(scenario, UNSAFE_ROUTE)
        assert fleet.crash_count == MAX_CRASHES

    def test_quarantine_survives_restart_of_all_instances(self) -> None:
        """Each instance takes over its own record and reads those of the other instances."""
        fleet = plain_fleet()

        async def scenario() -> None:
            await fleet.send_crashing_request(4, "/once/a")
            for gateway in fleet.gateways:
                await gateway.kill_gateway()
            await curio.sleep(CALLER_RETRY_S)
            for number in range(2):
                assert await fleet.send(number, "/once/a", body=CRASHING_BODY) == 503

        fleet.run(scenario, UNSAFE_ROUTE)
        assert fleet.crash_count == MAX_CRASHES
