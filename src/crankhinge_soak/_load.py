"""Callers, the balancer before them, and probes of which configuration is in force."""

from __future__ import annotations

import itertools
import random
import time
from dataclasses import dataclass

import curio

from crankhinge.errors import BadHttp, CrankhingeError, HttpClosed
from crankhinge.http import HttpClient
from crankhinge_bench._procs import HOST
from crankhinge_soak._fleet import (
    LIMITED_ACCOUNT,
    ONCE_PATH,
    PLAIN_REQUEST_TOKENS,
    RESUMED_PATH,
    SAFE_PATH,
    STREAM_PATH,
    STREAM_PATHS,
    UNLIMITED_ACCOUNT,
    Fleet,
    Gateway,
    version_path,
)
from crankhinge_standins.replica import make_body, make_events

CALLER_COUNT = 12
# Share of streams among requests, and of callers that leave before their answer is there.
STREAM_SHARE = 0.4
EARLY_LEAVE_SHARE = 0.06
# Seconds: a caller's pause between requests, at most; how long it waits for an answer; how long
# one that leaves early stays.
MAX_CALLER_PAUSE_S = 0.15
CALLER_DEADLINE_S = 5.0
MAX_EARLY_LEAVE_S = 0.25
# Share of requests for the account with a limit, and of the others those with a key of before.
LIMITED_ACCOUNT_SHARE = 0.1
OLD_KEY_SHARE = 0.15
# What a caller allows beyond its deadline until it calls an answer missing.
DEADLINE_SLACK_S = 1.0
# Requests that a caller sends on one connection before it takes a new one.
MAX_REQUESTS_PER_CONNECTION = 8
PROBE_INTERVAL_S = 0.25
PROBE_TIMEOUT_S = 2.0
# Misses in a row after which the balancer sends no new connections.
MAX_FAILED_PROBES = 2


@dataclass
class ObservedRequest:
    """What a caller saw of one request.

    Attributes:
        ident: of the request.
        path: of its route.
        gateway: name of the instance that took it.
        sent: wall clock.
        ended: wall clock of its end.
        status: of the answer; 0 for none.
        complete: whether an answer came to its proper end.
        body_correct: whether what came of it is what the request asked for.
        from_instance: whether the instance itself, and no server, gave the answer.
        caller_left: whether the caller left before the end.
        failure: how the connection ended where no whole answer came.
        account: who asks.
        key: that it shows.
        tokens: that it counts.
    """

    ident: str
    path: str
    gateway: str
    sent: float
    account: str = UNLIMITED_ACCOUNT
    key: str = ""
    tokens: int = PLAIN_REQUEST_TOKENS
    ended: float = 0.0
    status: int = 0
    complete: bool = False
    body_correct: bool = True
    from_instance: bool = False
    caller_left: bool = False
    failure: str = ""


@dataclass(frozen=True)
class Probe:
    """Whether an instance knew a version's route.

    Attributes:
        gateway: name of the instance.
        incarnation: which of its starts.
        version: whose route was asked for.
        sent: wall clock.
        known: False for 404; None where there was no answer, or no configuration yet.
    """

    gateway: str
    incarnation: int
    version: int
    sent: float
    known: bool | None


class LoadGenerator:
    """Callers and probes.

    Args:
        fleet: what they call.
        seed: of what they ask for and when.
    """

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.seen: list[ObservedRequest] = []
        self.probes: list[Probe] = []
        self._fleet = fleet
        self._seed = seed
        self._numbers = itertools.count(1)
        self._failed_probes = dict.fromkeys((gw.name for gw in fleet.gateways), 0)
        self._stopped = False

    def stop(self) -> None:
        """Have every caller end with the request that it is at."""
        self._stopped = True

    async def run(self) -> None:
        """Call until :meth:`stop`."""
        async with curio.TaskGroup() as group:
            for gateway in self._fleet.gateways:
                await group.spawn(self._poll_readiness, gateway)
                await group.spawn(self._probe_config, gateway)
            for number in range(CALLER_COUNT):
                await group.spawn(self._run_caller, random.Random(f"{self._seed}-{number}"))

    async def _poll_readiness(self, gateway: Gateway) -> None:
        client = HttpClient(HOST, gateway.ready_port, pool_size=0)
        while not self._stopped:
            status = await _get_status(client, "/readyz")
            missed = self._failed_probes[gateway.name] + 1
            self._failed_probes[gateway.name] = 0 if status == 200 else missed
            await curio.sleep(PROBE_INTERVAL_S)

    def _pick_gateway(self, rng: random.Random) -> Gateway:
        """Return an instance as the balancer would: one that is in, or any when none is."""
        gateways = self._fleet.gateways
        ready = [gw for gw in gateways if self._failed_probes[gw.name] < MAX_FAILED_PROBES]
        return rng.choice(ready or gateways)

    async def _probe_config(self, gateway: Gateway) -> None:
        """Ask an instance, on its own address, for the newest version's route and an older one."""
        client = HttpClient(HOST, gateway.port, pool_size=0)
        while not self._stopped:
            newest = self._fleet.acknowledged[-1][1] if self._fleet.acknowledged else 0
            for version in {newest, max(1, newest - 1)} - {0}:
                life, sent = gateway.incarnation, time.time()
                status = await _get_status(
                    client, version_path(version), ident=self._make_ident("p")
                )
                known = None if status in (0, 503) else status != 404
                self.probes.append(Probe(gateway.name, life, version, sent, known))
            await curio.sleep(PROBE_INTERVAL_S)

    def _make_ident(self, kind: str) -> str:
        return f"{kind}{self._seed}-{next(self._numbers)}"

    async def _run_caller(self, rng: random.Random) -> None:
        while not self._stopped:
            gateway = self._pick_gateway(rng)
            client = HttpClient(HOST, gateway.caller_proxy.port, pool_size=1)
            for _ in range(rng.randint(1, MAX_REQUESTS_PER_CONNECTION)):
                seen = self._draw_request(gateway, rng)
                self.seen.append(seen)
                await self._send_request(client, seen, rng)
                await curio.sleep(MAX_CALLER_PAUSE_S * rng.random())
                if self._stopped or not seen.complete:
                    break
            await client.close()

    def _draw_request(self, gateway: Gateway, rng: random.Random) -> ObservedRequest:
        streams = rng.random() < STREAM_SHARE
        path = rng.choice(STREAM_PATHS if streams else (ONCE_PATH, SAFE_PATH))
        seen = ObservedRequest(self._make_ident("q"), path, gateway.name, time.time())
        if rng.random() < LIMITED_ACCOUNT_SHARE:
            seen.account = seen.key = LIMITED_ACCOUNT
        else:
            keys = self._fleet.keys
            seen.key = rng.choice(keys) if rng.random() < OLD_KEY_SHARE else keys[-1]
        return seen

    async def _send_request(
        self, client: HttpClient, seen: ObservedRequest, rng: random.Random
    ) -> None:
        """Send a request and note what comes back."""
        leaves = rng.random() < EARLY_LEAVE_SHARE
        patience = (
            MAX_EARLY_LEAVE_S * rng.random() if leaves else CALLER_DEADLINE_S + DEADLINE_SLACK_S
        )
        prompt, answer = rng.randint(100, 3000), rng.randint(50, 300)
        headers = {
            "host": "h.example",
            "x-request-id": seen.ident,
            "x-deadline-ms": str(int(CALLER_DEADLINE_S * 1000)),
            "authorization": f"Bearer {seen.key}",
        }
        if seen.path in STREAM_PATHS:
            seen.tokens = prompt + answer
            headers.update(
                {
                    "x-model": "m",
                    "x-token-count": f"{prompt},{answer}",
                    "length-hint": str(answer // 2),
                }
            )
        try:
            await curio.timeout_after(patience, self._exchange, client, seen, headers)
        except curio.TaskTimeout:
            seen.caller_left, seen.failure = leaves, "no end in time"
        except CrankhingeError as exc:
            seen.failure = f"{exc.code}: {exc.detail}"
        seen.ended = time.time()

    async def _exchange(
        self, client: HttpClient, seen: ObservedRequest, headers: dict[str, str]
    ) -> None:
        method = "GET" if seen.path == SAFE_PATH else "POST"
        body = b"" if method == "GET" else b"b" * 200
        stream = await client.open(method, seen.path + "x", headers=headers, body=body)
        done = False
        try:
            seen.status = stream.status
            seen.from_instance = "x-server-seal" not in stream.headers
            got = bytearray()
            expected = _make_expected_body(seen)
            while chunk := await stream.next_chunk():
                got += chunk
                if seen.status == 200 and not expected.startswith(bytes(got)):
                    # Also wrong where the answer never comes to its end.
                    seen.body_correct = False
            seen.complete = done = True
            seen.body_correct = seen.body_correct and (seen.status != 200 or bytes(got) == expected)
        finally:
            await (stream.close() if done else stream.abort())


def _make_expected_body(seen: ObservedRequest) -> bytes:
    if seen.path in (STREAM_PATH, RESUMED_PATH):
        return b"".join(make_events(seen.ident))
    return make_body(seen.ident)


async def _get_status(client: HttpClient, target: str, *, ident: str = "") -> int:
    """Return the status that a short question gets; 0 for none."""
    headers = {"host": "h.example"}
    if ident:
        headers |= {"x-request-id": ident, "x-deadline-ms": str(int(PROBE_TIMEOUT_S * 1000))}
    try:
        resp = await curio.timeout_after(
            PROBE_TIMEOUT_S, lambda: client.call("GET", target, headers=headers, fresh=True)
        )
    except (HttpClosed, BadHttp, curio.TaskTimeout):
        return 0
    return int(resp.status)
