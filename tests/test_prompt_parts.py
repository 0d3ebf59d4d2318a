"""Regression tests of requests that share one part of their prompts and crash their servers."""

from __future__ import annotations

import json
import random
from functools import partial
from typing import Any

import curio
import curio.socket
import msgspec
import pytest

from crankhinge.decisions import rank_by_key
from crankhinge.decisions._part_history import MAX_CRASHES, MAX_WRITING_S
from crankhinge.decisions._quarantine import FIRST_PART_QUARANTINE_S
from crankhinge.gateway._peer_messages import QuarantineEnded, ServerCrashed
from crankhinge.gateway._peer_messenger import PeerMessenger
from crankhinge.gateway._quarantine import COUNTING_INSTANCES, REPEAT_AFTER_S
from crankhinge.http import Exchange
from platform_fakes import (
    HOST,
    FakeReplica,
    GatewayHarness,
    make_events,
    respond_ok,
    respond_stream,
    route,
)
from test_quarantine import PEER_MESSAGE_S, SERVER_RESTART_S, TOKEN_HEADERS, Fleet

BAD_PART = "badbad00"
FIRST_PART = "0f0f0f0f"
# Seconds after the fifth crash for which requests with the part may still reach servers, and the
# number of those that may reach servers later.
CONTACT_S = 3.0
MAX_LATE_REQUESTS = 3
# Sound requests are served at least this often, as a share of how often they were before.
LEAST_SOUND_SHARE = 0.5
# Share of the datagrams that are lost.
DATAGRAM_LOSS = 0.3
# Seconds until an instance has written its record, and until the others have read it.
STORE_WRITE_S = 1.5
STORE_READ_S = 4.0
# Seconds until instances have answered a notification, before it is repeated.
ANSWER_S = 0.1
# Crash after which CONTACT_S begins.
COUNTED_CRASH = 5
# Seconds for which the traffic lasts, until the first request with the part, and between two
# requests with it, and two without it.
TRAFFIC_S = 45.0
FIRST_BAD_S = 4.0
BAD_INTERVAL_S = 0.8
SOUND_INTERVAL_S = 0.3
# A server crashes this long after it began to respond; a sound stream takes EVENTS times EVENT_S.
CRASH_AFTER_S = 0.05
EVENTS = 6
LONG_EVENTS = 12
EVENT_S = 0.3

STREAM_ROUTE = route("r-stream", "/stream/", "streaming", "llm")
RESUMABLE_ROUTE = route(
    "r-resumed", "/resumed/", "streaming", "llm", max_attempts=2, resumable=True
)
SAFE_ROUTE = route("r-safe", "/safe/", "safe", "plain", max_attempts=2)
ONCE_ROUTE = route("r-once", "/once/", "unsafe", "plain")
ROUTES = (STREAM_ROUTE, RESUMABLE_ROUTE, SAFE_ROUTE, ONCE_ROUTE)
# Parts before the request's own, by where the part that crashes servers stands.
POSITIONS = {
    "first": (BAD_PART, "a1"),
    "middle": (FIRST_PART, BAD_PART, "a1"),
    "next-to-last": (FIRST_PART, "a1", BAD_PART),
}


def shared_parts(exchange: Exchange) -> list[str]:
    """Return the parts of a request's prompt but the last, as a server reads them."""
    text = exchange.req.headers.get("x-prompt-prefix", "")
    return [part.partition(":")[0] for part in text.split(",")][:-1]


async def write_or_crash(replica: FakeReplica, exchange: Exchange, *, events: int = EVENTS) -> None:
    """Write a stream, or crash shortly after its head if the prompt has the part."""
    first = int(exchange.req.headers.get("last-event-id", "0")) + 1
    await exchange.start_with_fields(200, replica.response_fields(exchange))
    if BAD_PART in shared_parts(exchange):
        await curio.sleep(CRASH_AFTER_S)
        await replica.crash()
    for number in range(first, events + 1):
        await exchange.write(make_events(number, number))
        await curio.sleep(EVENT_S)
    await exchange.finish()


async def call_or_crash(replica: FakeReplica, exchange: Exchange) -> None:
    """Serve a plain call, or crash if the prompt has the part."""
    await curio.sleep(CRASH_AFTER_S)
    if BAD_PART in shared_parts(exchange):
        await replica.crash()
    await respond_ok(replica, exchange)


class PartTraffic:
    """Requests with and without the part, sent to the instances of a fleet in turn.

    Args:
        tenants: client accounts, if callers need API keys.
        instances: the number of instances.
        engines: the number of decode engines.
    """

    def __init__(self, tenants: Any = None, instances: int = 2, engines: int = 6) -> None:
        self.fleet = Fleet(tenants, instances)
        self.fleet.add(2, "llm", "prefill")
        self.fleet.add(engines, "llm", "decode", handler=write_or_crash)
        self.fleet.add(6, "plain", handler=call_or_crash)
        # Sending time and status of each request without the part.
        self.sound: list[tuple[float, int]] = []
        self.started_at = 0.0
        self._sent = 0

    async def send(self, path: str, parts: tuple[str, ...], **options: Any) -> int:
        """Send a request that equals no other one; its last part is its own."""
        self._sent += 1
        number = self._sent
        names = ",".join(f"{part}:100" for part in (*parts, f"{number:08x}"))
        return await self.fleet.send(
            number,
            f"{path}{number}",
            body=b"%d" % number,
            x_prompt_prefix=names,
            **TOKEN_HEADERS,
            **options,
        )

    async def _send_sound(self, path: str, **options: Any) -> None:
        sent_at = await curio.clock()
        self.sound.append((sent_at, await self.send(path, (FIRST_PART, "a1"), **options)))

    async def run(self, path: str, *, parts: tuple[str, ...], **options: Any) -> None:
        """Send both kinds of requests for TRAFFIC_S seconds."""
        self.started_at = await curio.clock()
        async with curio.TaskGroup() as group:
            await group.spawn(self._send_bad_requests, path, parts, options)
            for _ in range(round(TRAFFIC_S / SOUND_INTERVAL_S)):
                await group.spawn(partial(self._send_sound, path, **options))
                await curio.sleep(SOUND_INTERVAL_S)

    async def _send_bad_requests(
        self, path: str, parts: tuple[str, ...], options: dict[str, Any]
    ) -> None:
        await curio.sleep(FIRST_BAD_S)
        async with curio.TaskGroup() as group:
            for _ in range(round((TRAFFIC_S - FIRST_BAD_S) / BAD_INTERVAL_S)):
                await group.spawn(partial(self.send, path, parts, **options))
                await curio.sleep(BAD_INTERVAL_S)

    async def crash_servers(self, count: int) -> None:
        """Send *count* requests with the part, each of which crashes a server."""
        for _ in range(count):
            assert await self.send("/stream/", POSITIONS["middle"]) == 0
            await curio.sleep(PEER_MESSAGE_S)

    async def crash_writing_servers(self, count: int) -> None:
        """Crash *count* decode engines that have begun to write, while others go on."""
        writing = [
            replica
            for replica in self.fleet.replicas
            if replica.role == "decode" and replica.arrivals
        ]
        assert len(writing) > count
        for replica in writing[:count]:
            await replica.crashed.set()

    def sound_share(self, since_s: float, until_s: float) -> float:
        """Return the share of the sound requests sent in a time that were served."""
        statuses = [
            status
            for sent_at, status in self.sound
            if since_s <= sent_at - self.started_at < until_s
        ]
        return statuses.count(200) / len(statuses)

    def _bad_arrivals(self) -> list[float]:
        """Return when requests with the part reached servers, repeats included.

        The processing of a prompt by another engine counts if nothing follows it.
        """
        arrivals = [
            arrival
            for replica in self.fleet.replicas
            for arrival in replica.arrivals
            if BAD_PART in arrival.headers.get("x-prompt-prefix", "")
        ]
        runs = [arrival for arrival in arrivals if "x-stage" not in arrival.headers]
        run_ids = {arrival.request_id for arrival in runs}
        prompts = [arrival for arrival in arrivals if arrival.request_id not in run_ids]
        return sorted(arrival.arrived_at for arrival in (*runs, *prompts))

    def late_arrivals(self) -> int:
        """Return how many requests reached servers later than CONTACT_S after the fifth crash.

        Each request with the part that reaches a server crashes it.
        """
        arrivals = self._bad_arrivals()
        if len(arrivals) < COUNTED_CRASH:
            return 0
        return sum(at > arrivals[COUNTED_CRASH - 1] + CONTACT_S for at in arrivals)


class TestBadPart:
    """Each server that begins to write an answer on one part crashes; no two requests are alike."""

    @pytest.mark.parametrize(
        ("path", "position"),
        [
            ("/stream/", "first"),
            ("/stream/", "middle"),
            ("/stream/", "next-to-last"),
            ("/resumed/", "middle"),
            ("/safe/", "middle"),
            ("/once/", "middle"),
        ],
    )
    def test_few_requests_with_the_part_reach_servers_after_five_crashes(
        self, path: str, position: str
    ) -> None:
        """The instances share no request, only the part."""
        traffic = PartTraffic()

        async def scenario() -> None:
            await traffic.run(path, parts=POSITIONS[position])

        traffic.fleet.run(scenario, *ROUTES)
        assert traffic.fleet.crash_count >= MAX_LATE_REQUESTS
        assert traffic.late_arrivals() <= MAX_LATE_REQUESTS

    @pytest.mark.parametrize("instances", [2, 5])
    def test_sound_requests_with_the_same_first_part_are_served(self, instances: int) -> None:
        """They are in every crash as well, and would be refused with the part."""
        traffic = PartTraffic(instances=instances)

        async def scenario() -> None:
            await traffic.run("/stream/", parts=POSITIONS["middle"])

        traffic.fleet.run(scenario, *ROUTES)
        # Later streams may still be in progress when the first server crashes.
        before = traffic.sound_share(0.0, FIRST_BAD_S - EVENTS * EVENT_S)
        assert before == 1.0
        assert traffic.sound_share(FIRST_BAD_S + 5 * BAD_INTERVAL_S + 2 * CONTACT_S, TRAFFIC_S) > (
            LEAST_SOUND_SHARE * before
        )

    def test_prompt_with_the_part_is_processed_by_no_engine(self) -> None:
        """A prompt that is processed for a refused answer is wasted."""
        traffic = PartTraffic()

        async def scenario() -> None:
            await traffic.crash_servers(3)
            for replica in traffic.fleet.replicas:
                replica.arrivals.clear()
            assert await traffic.send("/stream/", POSITIONS["middle"]) == 503

        traffic.fleet.run(scenario, *ROUTES)
        assert not any(replica.arrivals for replica in traffic.fleet.replicas)
        assert json.loads(traffic.fleet.body)["outcome"] == "not-run"

    def test_crashes_are_counted_for_all_accounts_together(self) -> None:
        """Two accounts share the part, and each of their requests crashes a server."""
        tenants = [{"name": "one", "api_keys": ["k1"]}, {"name": "two", "api_keys": ["k2"]}]
        traffic = PartTraffic(tenants)
        statuses = []

        async def scenario() -> None:
            for number in range(6):
                key = f"Bearer k{number % 2 + 1}"
                parts = POSITIONS["middle"]
                statuses.append(await traffic.send("/stream/", parts, authorization=key))
                await curio.sleep(PEER_MESSAGE_S)

        traffic.fleet.run(scenario, *ROUTES)
        assert statuses == [0] * 3 + [503] * 3

    @pytest.mark.parametrize("seed", range(3))
    def test_instances_learn_of_the_part_while_datagrams_are_lost(
        self, seed: int, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Three in ten datagrams between instances are lost."""
        rng = random.Random(seed)
        send = PeerMessenger.send

        async def send_some(self: PeerMessenger, address: str, message: Any) -> None:
            if rng.random() > DATAGRAM_LOSS:
                await send(self, address, message)

        traffic = PartTraffic(instances=5)

        async def scenario() -> None:
            monkeypatch.setattr(PeerMessenger, "send", send_some)
            await traffic.run("/stream/", parts=POSITIONS["middle"])

        traffic.fleet.run(scenario, *ROUTES)
        assert traffic.late_arrivals() <= MAX_LATE_REQUESTS
        assert traffic.sound_share(TRAFFIC_S / 2, TRAFFIC_S) > LEAST_SOUND_SHARE

    def test_instance_without_datagrams_learns_of_the_part_from_the_store(self) -> None:
        """The instances that counted the crashes publish the part in their records."""
        traffic = PartTraffic()
        without_messages = traffic.fleet.harness.add_gateway("deaf")
        without_messages.peer_port = 1

        async def scenario() -> None:
            await traffic.crash_servers(3)
            await curio.sleep(STORE_READ_S)
            traffic.fleet.gateways = [without_messages]
            assert await traffic.send("/stream/", POSITIONS["middle"]) == 503

        traffic.fleet.run(scenario, *ROUTES)

    def test_killed_instances_learn_of_the_part_when_they_restart(self) -> None:
        """All instances are killed, one after the other."""
        traffic = PartTraffic()

        async def scenario() -> None:
            await traffic.crash_servers(3)
            await curio.sleep(STORE_WRITE_S)
            for gateway in traffic.fleet.gateways:
                await gateway.kill_gateway()
            await curio.sleep(PEER_MESSAGE_S)
            for _ in range(2):
                assert await traffic.send("/stream/", POSITIONS["middle"]) == 503

        traffic.fleet.run(scenario, *ROUTES)

    def test_mended_part_is_served_after_its_trial(self) -> None:
        """One request with it is let through, and its response ends the quarantine everywhere."""
        traffic = PartTraffic()

        async def scenario() -> None:
            await traffic.crash_servers(3)
            for replica in traffic.fleet.replicas:
                replica.handler = respond_stream if replica.role else respond_ok
            assert await traffic.send("/stream/", POSITIONS["middle"]) == 503
            await curio.sleep(FIRST_PART_QUARANTINE_S + len(traffic.fleet.gateways))
            assert await traffic.send("/stream/", POSITIONS["middle"]) == 200
            await curio.sleep(PEER_MESSAGE_S)
            for _ in range(4):
                assert await traffic.send("/stream/", POSITIONS["middle"]) == 200

        traffic.fleet.run(scenario, *ROUTES)

    def test_trial_reaches_one_server(self) -> None:
        """The route lets streams go on at a second engine, and prompts be processed apart."""
        traffic = PartTraffic()

        async def scenario() -> None:
            await traffic.crash_servers(3)
            await curio.sleep(FIRST_PART_QUARANTINE_S + len(traffic.fleet.gateways))
            for replica in traffic.fleet.replicas:
                replica.arrivals.clear()
            for _ in range(6):
                await traffic.send("/resumed/", POSITIONS["middle"])
                await curio.sleep(PEER_MESSAGE_S)

        traffic.fleet.run(scenario, *ROUTES)
        assert sum(len(replica.arrivals) for replica in traffic.fleet.replicas) == 1

    def test_instances_may_begin_trials_one_after_the_other(self) -> None:
        """Otherwise several begin one before they have heard of each other's."""
        traffic = PartTraffic(instances=3)
        key = f"p:{BAD_PART}"
        send = partial(traffic.send, "/stream/", (BAD_PART,))

        async def scenario() -> None:
            for _ in range(MAX_CRASHES):
                assert await send() == 0
                await curio.sleep(PEER_MESSAGE_S)
            by_name = {gateway.name: gateway for gateway in traffic.fleet.gateways}
            first, *_, last = rank_by_key(key.encode(), by_name)
            await curio.sleep(FIRST_PART_QUARANTINE_S)
            traffic.fleet.gateways = [by_name[last]]
            assert await send() == 503
            traffic.fleet.gateways = [by_name[first]]
            assert await send() == 0

        traffic.fleet.run(scenario, *ROUTES)

    def test_trial_at_a_silent_server_is_not_repeated(self) -> None:
        """The route lets plain calls be sent to a second server after some time."""
        traffic = PartTraffic()

        async def stay_silent(replica: FakeReplica, exchange: Exchange) -> None:
            await exchange.wait_for_disconnect()

        async def scenario() -> None:
            for _ in range(MAX_CRASHES):
                await traffic.send("/once/", POSITIONS["middle"])
                await curio.sleep(PEER_MESSAGE_S)
            await curio.sleep(FIRST_PART_QUARANTINE_S + len(traffic.fleet.gateways))
            for replica in traffic.fleet.replicas:
                replica.arrivals.clear()
                replica.handler = stay_silent
            await traffic.send("/safe/", POSITIONS["middle"])

        traffic.fleet.run(scenario, *ROUTES)
        assert sum(len(replica.arrivals) for replica in traffic.fleet.replicas) == 1


class TestSharedPart:
    """Servers crash by chance, and all requests share their parts."""

    def test_crash_of_all_servers_bars_no_part(self) -> None:
        """Nothing is served between the crashes, which are one event."""
        traffic = PartTraffic()

        async def scenario() -> None:
            await traffic.send("/stream/", (FIRST_PART,))
            async with curio.TaskGroup() as group:
                for _ in range(24):
                    await group.spawn(traffic.send, "/stream/", (FIRST_PART,))
                await curio.sleep(3 * EVENT_S)
                for replica in traffic.fleet.replicas:
                    await replica.crashed.set()
            await curio.sleep(2 * SERVER_RESTART_S)
            for _ in range(4):
                assert await traffic.send("/stream/", (FIRST_PART,)) == 200

        traffic.fleet.run(scenario, *ROUTES)

    def test_part_that_other_servers_are_writing_on_is_not_barred(self) -> None:
        """Three of six servers crash before any request with the part was ever completed."""
        traffic = PartTraffic()
        statuses: list[int] = []

        async def send_one() -> None:
            statuses.append(await traffic.send("/stream/", (FIRST_PART,)))

        async def scenario() -> None:
            async with curio.TaskGroup() as group:
                for _ in range(24):
                    await group.spawn(send_one)
                await curio.sleep(MAX_WRITING_S + 2 * EVENT_S)
                await traffic.crash_writing_servers(MAX_CRASHES)
                await curio.sleep(PEER_MESSAGE_S)
                for _ in range(4):
                    await group.spawn(send_one)

        traffic.fleet.run(scenario, *ROUTES)
        assert 503 not in statuses
        assert statuses.count(200) > len(statuses) / 3
        assert not self._quarantines_of_parts(traffic)

    @pytest.mark.parametrize("instances", [1, 3])
    def test_quarantine_ends_when_servers_go_on_writing_on_the_part(self, instances: int) -> None:
        """Three servers crash just after the first requests with the part have begun."""
        traffic = PartTraffic(instances=instances)
        for replica in traffic.fleet.replicas:
            if replica.role == "decode":
                replica.handler = partial(write_or_crash, events=LONG_EVENTS)

        send = partial(traffic.send, "/stream/", (FIRST_PART,), x_deadline_ms="14000")

        async def scenario() -> None:
            async with curio.TaskGroup() as group:
                for _ in range(24):
                    await group.spawn(send)
                await curio.sleep(EVENT_S)
                await traffic.crash_writing_servers(MAX_CRASHES)
                await curio.sleep(PEER_MESSAGE_S)
                assert await send() == 503
                await curio.sleep(sum(REPEAT_AFTER_S))
                assert await send() == 200

        traffic.fleet.run(scenario, *ROUTES)

    def test_part_beside_one_that_crashes_servers_is_not_barred_for_long(self) -> None:
        """No request without the bad part was served between the crashes, nor ever before."""
        traffic = PartTraffic()

        async def scenario() -> None:
            await traffic.crash_servers(MAX_CRASHES)
            assert self._quarantines_of_parts(traffic)
            # Both instances see that the bad part comes with the other ones.
            for _ in traffic.fleet.gateways:
                assert await traffic.send("/stream/", POSITIONS["middle"]) == 503
            for _ in range(4):
                assert await traffic.send("/stream/", (FIRST_PART, "a1")) == 200
                assert await traffic.send("/stream/", POSITIONS["middle"]) == 503

        traffic.fleet.run(scenario, *ROUTES)

    @pytest.mark.parametrize("part", [f"{number:08x}" for number in range(4)])
    def test_quarantine_ends_if_another_instance_has_served_the_part(self, part: str) -> None:
        """The instances that count the crashes have served no request with the part."""
        traffic = PartTraffic(instances=5)

        async def scenario() -> None:
            first = traffic.fleet.gateways[0]
            traffic.fleet.gateways = [first]
            assert await traffic.send("/stream/", (part,)) == 200
            for gateway in (first, *first.other_gateways):
                for number in range(MAX_CRASHES):
                    crash = ServerCrashed(f"i-x{number}", (f"p:{part}",), (f"r{number}",))
                    await self._send_report(gateway, crash)
            await curio.sleep(ANSWER_S)
            traffic.fleet.gateways = first.other_gateways
            traffic.fleet.statuses.clear()
            async with curio.TaskGroup() as group:
                for _ in first.other_gateways:
                    await group.spawn(traffic.send, "/stream/", (part,))
            assert traffic.fleet.statuses == [200] * len(first.other_gateways)

        traffic.fleet.run(scenario, *ROUTES)

    def test_end_of_a_quarantine_reaches_instances_that_learned_of_its_begin(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """One of those that count reads at once that servers crashed and that one did not."""
        traffic = PartTraffic(instances=3)
        key = f"p:{FIRST_PART}"
        sent = self._record_ends(monkeypatch)

        async def scenario() -> None:
            [counting, *_], others = self._split_by_counting(traffic, key)
            await self._send_reports(counting, key)
            await self._send_report(counting, QuarantineEnded(key))
            await curio.sleep(ANSWER_S)
            assert self._quarantines_of_parts(traffic)
            assert len(sent) == len(traffic.fleet.gateways) - 1
            traffic.fleet.gateways = others
            assert await traffic.send("/stream/", (FIRST_PART,)) == 200

        traffic.fleet.run(scenario, *ROUTES)

    def test_end_of_a_quarantine_is_passed_on_only_by_instances_that_count(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """All instances may hold the quarantine, and each datagram would bring as many more."""
        traffic = PartTraffic(instances=3)
        key = f"p:{FIRST_PART}"
        sent = self._record_ends(monkeypatch)

        async def scenario() -> None:
            counting, [other] = self._split_by_counting(traffic, key)
            await self._send_reports(counting[0], key)
            await curio.sleep(ANSWER_S)
            await self._send_report(other, QuarantineEnded(key))
            await curio.sleep(sum(REPEAT_AFTER_S))

        traffic.fleet.run(scenario, *ROUTES)
        assert not sent

    def _record_ends(self, monkeypatch: pytest.MonkeyPatch) -> list[QuarantineEnded]:
        """Return the list of the notifications that instances send about ends of quarantines."""
        sent: list[QuarantineEnded] = []
        send = PeerMessenger.send

        async def record(self: PeerMessenger, address: str, message: Any) -> None:
            if isinstance(message, QuarantineEnded):
                sent.append(message)
            await send(self, address, message)

        monkeypatch.setattr(PeerMessenger, "send", record)
        return sent

    def test_end_of_a_quarantine_is_repeated_though_a_server_crashes(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """The first notifications about the end are lost."""
        traffic = PartTraffic(instances=3)
        key = f"p:{FIRST_PART}"
        send = PeerMessenger.send
        lost: list[Any] = []

        async def send_most(self: PeerMessenger, address: str, message: Any) -> None:
            if isinstance(message, QuarantineEnded) and len(lost) < len(traffic.fleet.gateways) - 1:
                lost.append(message)
            else:
                await send(self, address, message)

        async def scenario() -> None:
            monkeypatch.setattr(PeerMessenger, "send", send_most)
            [counting, *_], others = self._split_by_counting(traffic, key)
            await self._send_reports(counting, key)
            await self._send_report(counting, QuarantineEnded(key))
            await self._send_report(counting, ServerCrashed("i-x", (key,), ("r",)))
            await curio.sleep(ANSWER_S)
            traffic.fleet.gateways = others
            assert await traffic.send("/stream/", (FIRST_PART,)) == 503
            await curio.sleep(sum(REPEAT_AFTER_S))
            assert await traffic.send("/stream/", (FIRST_PART,)) == 200

        traffic.fleet.run(scenario, *ROUTES)

    def _split_by_counting(
        self, traffic: PartTraffic, key: str
    ) -> tuple[list[GatewayHarness], list[GatewayHarness]]:
        """Return the instances that count the crashes of a key, and the others."""
        by_name = {gateway.name: gateway for gateway in traffic.fleet.gateways}
        ordered = [by_name[name] for name in rank_by_key(key.encode(), by_name)]
        return ordered[:COUNTING_INSTANCES], ordered[COUNTING_INSTANCES:]

    async def _send_reports(self, gateway: GatewayHarness, key: str) -> None:
        """Report enough crashes to an instance for a quarantine."""
        for number in range(MAX_CRASHES):
            await self._send_report(gateway, ServerCrashed(f"i-x{number}", (key,), (f"r{number}",)))

    def _quarantines_of_parts(self, traffic: PartTraffic) -> list[str]:
        """Return the log lines of all instances about quarantines of parts."""
        return [
            line
            for gateway in traffic.fleet.gateways
            for line in gateway.logs.matching("event=request_quarantined", "fingerprint=p:")
        ]

    async def _send_report(self, gateway: GatewayHarness, report: ServerCrashed) -> None:
        """Send an instance the report of another one that a server crashed."""
        async with curio.socket.socket(curio.socket.AF_INET, curio.socket.SOCK_DGRAM) as sock:
            await sock.sendto(msgspec.msgpack.encode(report), (HOST, gateway.peer_port))

    def test_parts_of_one_request_that_crashes_servers_are_not_barred(self) -> None:
        """The request itself is in quarantine; another one with the same first part is served."""
        traffic = PartTraffic()
        statuses: list[int] = []

        async def scenario() -> None:
            for number in range(MAX_CRASHES + 1):
                parts = f"{FIRST_PART}:1,{BAD_PART}:1,a:1"
                send = partial(traffic.fleet.send, number, "/stream/", **TOKEN_HEADERS)
                statuses.append(await send(x_prompt_prefix=parts))
                await curio.sleep(PEER_MESSAGE_S)
            assert statuses == [0] * MAX_CRASHES + [503]
            assert await traffic.send("/stream/", (FIRST_PART,)) == 200

        traffic.fleet.run(scenario, *ROUTES)
