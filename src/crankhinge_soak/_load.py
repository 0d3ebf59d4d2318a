"""Generates the load: callers behind a load balancer, and probes for the active configuration."""

from __future__ import annotations

import itertools
import random
import socket
import time
from dataclasses import dataclass, replace

import curio
import curio.socket

from crankhinge.errors import BadHttp, CrankhingeError, HttpClosed
from crankhinge.http import HttpClient
from crankhinge_bench._procs import HOST
from crankhinge_soak._fleet import (
    LIMITED_ACCOUNT,
    ONCE_PATH,
    PLAIN_REQUEST_TOKENS,
    RESUMED_PATH,
    SAFE_PATH,
    SERVER_VERSIONS,
    STREAM_PATHS,
    UNLIMITED_ACCOUNT,
    Fleet,
    Gateway,
    version_path,
)
from crankhinge_standins.replica import LARGE_BODY_PREFIX, make_body, make_events

CALLER_COUNT = 12
# Attempts at which a caller takes a broken stream up before it gives up, and seconds for which it
# tries, as long as a caller's deadline may be. It waits as long as refusals say.
MAX_TAKE_UPS = 30
TAKE_UP_S = 10.0
# Statuses after which a caller does not try again.
FINAL_STATUSES = (400, 401, 404, 413, 431)
EVENT_END = b"\n\n"
# Callers that read nothing of a large response, the size of their receive buffers, and the maximum
# time after which they leave. An instance ends their requests after 2 s.
SLOW_READER_COUNT = 4
SLOW_READER_BUFFER_BYTES = 4096
MAX_SLOW_READER_S = 4.0
# Part that the prompts of all streams share.
SHARED_PART = "5ba4ed00"
# Seconds between two requests with a part on which engines crash, while there is such a part.
CRASHING_REQUEST_INTERVAL_S = 0.25
# Minimum and maximum tokens of a prompt and of an answer, and the share of them when streams are
# long, so that the memory of engines does not bound their number.
PROMPT_TOKENS, ANSWER_TOKENS = (100, 3000), (400, 1200)
SMALL_PROMPT_SHARE = 0.1
# Share of streams among the requests.
STREAM_SHARE = 0.4
# Share of requests whose callers disconnect before the response ends.
EARLY_LEAVE_SHARE = 0.06
# Maximum pause of a caller between two requests.
MAX_CALLER_PAUSE_S = 0.15
# Pause of a caller before its next connection when an instance does not respond.
NO_RESPONSE_PAUSE_S = 0.25
# How long a caller waits for a response.
CALLER_DEADLINE_S = 5.0
# Maximum time after which a caller that disconnects early does so.
MAX_EARLY_LEAVE_S = 0.25
# Share of requests that belong to the account with a limit.
LIMITED_ACCOUNT_SHARE = 0.1
# Share of the other requests whose key is drawn from all keys, including revoked ones.
OLD_KEY_SHARE = 0.15
# Seconds after its deadline for which a caller still waits before it counts the response as
# missing.
DEADLINE_SLACK_S = 1.0
# Maximum number of requests that a caller sends on one connection.
MAX_REQUESTS_PER_CONNECTION = 8
PROBE_INTERVAL_S = 0.25
PROBE_TIMEOUT_S = 2.0
# Consecutive failed probes after which the load balancer opens no more connections to an instance.
MAX_FAILED_PROBES = 2


@dataclass
class ObservedRequest:
    """What a caller saw of one request.

    Attributes:
        ident: request id.
        path: path of the route.
        gateway: name of the instance that the request was sent to.
        sent: wall clock of the start.
        ended: wall clock of the end.
        status: status of the response; 0 for none.
        complete: whether the response came to its regular end.
        body_correct: whether all bytes received belong to the response to this request.
        made_by_gateway: whether the response came from the instance itself and not from a server.
        caller_left: whether the caller disconnected before the end.
        failure: error code and detail, or "no end in time", when no complete response came.
        account: client account of the request.
        key: API key of the request.
        tokens: tokens that the request counts against its account's limit.
        is_unread: whether the caller read nothing.
        is_small: whether its prompt and its answer are small.
        resumes: id of the attempt that began the stream; empty unless this one takes it up.
        received: body of the stream so far, that of the earlier attempts included.
        versions: software versions of which the stream's events are; several if it is mixed.
        crash_part: part of the prompt on which engines crash; empty for none.
        refusal: body of the instance's own response.
        retry_after_s: seconds that the response asks the caller to wait.
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
    made_by_gateway: bool = False
    caller_left: bool = False
    failure: str = ""
    is_unread: bool = False
    is_small: bool = False
    resumes: str = ""
    received: bytes = b""
    versions: frozenset[str] = frozenset()
    crash_part: str = ""
    refusal: bytes = b""
    retry_after_s: float = 0.0

    @property
    def begun_as(self) -> str:
        """Id of the attempt that began the stream."""
        return self.resumes or self.ident


@dataclass(frozen=True)
class Probe:
    """Whether a configuration version was active on an instance.

    Attributes:
        gateway: name of the instance.
        incarnation: number of the instance's start.
        version: version whose route was requested.
        sent: wall clock of the request.
        known: whether the version was active; None if there was no response or the instance had no
            configuration yet.
    """

    gateway: str
    incarnation: int
    version: int
    sent: float
    known: bool | None


class LoadGenerator:
    """Sends the requests of callers, and probes.

    Args:
        fleet: the instances to send to.
        seed: seed of what callers request and when.
        stream_callers: number of further callers, which only send resumable streams.
    """

    def __init__(self, fleet: Fleet, seed: int, stream_callers: int = 0) -> None:
        self.seen: list[ObservedRequest] = []
        self.probes: list[Probe] = []
        self._fleet = fleet
        self._seed = seed
        self._stream_callers = stream_callers
        self._take_ups: list[curio.Task] = []
        self._numbers = itertools.count(1)
        self._failed_probes = dict.fromkeys((gw.name for gw in fleet.gateways), 0)
        self._stopped = False

    def stop(self) -> None:
        """Let every caller end after its current request."""
        self._stopped = True

    async def run(self) -> None:
        """Send requests and probes until :meth:`stop`."""
        async with curio.TaskGroup() as group:
            for gateway in self._fleet.gateways:
                await group.spawn(self._poll_readiness, gateway)
                await group.spawn(self._probe_config, gateway)
            for number in range(CALLER_COUNT):
                await group.spawn(self._run_caller, random.Random(f"{self._seed}-{number}"))
            for number in range(SLOW_READER_COUNT):
                rng = random.Random(f"{self._seed}-slow-{number}")
                await group.spawn(self._run_slow_reader, rng)
            await group.spawn(self._run_crashing_caller, random.Random(f"{self._seed}-crash"))
            for number in range(self._stream_callers):
                rng = random.Random(f"{self._seed}-stream-{number}")
                await group.spawn(self._run_caller, rng, RESUMED_PATH)
        for task in self._take_ups:
            await task.join()

    async def _poll_readiness(self, gateway: Gateway) -> None:
        """Count an instance's consecutive failed readiness checks, as a load balancer does."""
        client = HttpClient(HOST, gateway.ready_port, pool_size=0)
        while not self._stopped:
            status = await _get_status(client, "/readyz")
            failed = self._failed_probes[gateway.name] + 1
            self._failed_probes[gateway.name] = 0 if status == 200 else failed
            await curio.sleep(PROBE_INTERVAL_S)

    def _pick_gateway(self, rng: random.Random) -> Gateway:
        """Return a random instance that the load balancer considers ready, or any when none is."""
        gateways = self._fleet.gateways
        ready = [gw for gw in gateways if self._failed_probes[gw.name] < MAX_FAILED_PROBES]
        return rng.choice(ready or gateways)

    async def _probe_config(self, gateway: Gateway) -> None:
        """Request the routes of the newest two versions directly from an instance."""
        client = HttpClient(HOST, gateway.port, pool_size=0)
        while not self._stopped:
            newest = self._fleet.acknowledged[-1][1] if self._fleet.acknowledged else 0
            for version in {newest, max(1, newest - 1)} - {0}:
                incarnation, sent = gateway.incarnation, time.time()
                status = await _get_status(
                    client, version_path(version), ident=self._make_ident("p")
                )
                known = None if status in (0, 503) else status != 404
                self.probes.append(Probe(gateway.name, incarnation, version, sent, known))
            await curio.sleep(PROBE_INTERVAL_S)

    def _make_ident(self, kind: str) -> str:
        return f"{kind}{self._seed}-{next(self._numbers)}"

    async def _run_caller(self, rng: random.Random, path: str = "") -> None:
        """Open connections one after another and send a few requests on each.

        *path* is that of all requests; they are drawn if it is empty.
        """
        while not self._stopped:
            gateway = self._pick_gateway(rng)
            client = HttpClient(HOST, gateway.caller_proxy.port, pool_size=1)
            for _ in range(rng.randint(1, MAX_REQUESTS_PER_CONNECTION)):
                seen = self._draw_request(gateway, rng, path)
                self.seen.append(seen)
                await self._send_request(client, seen, rng)
                if _is_broken(seen):
                    own_rng = random.Random(rng.random())
                    self._take_ups.append(await curio.spawn(self._take_up, seen, own_rng))
                await curio.sleep(MAX_CALLER_PAUSE_S * rng.random())
                if not seen.status:
                    await curio.sleep(NO_RESPONSE_PAUSE_S)
                if self._stopped or not seen.complete:
                    break
            await client.close()

    async def _take_up(self, seen: ObservedRequest, rng: random.Random) -> None:
        """Take a resumable stream that broke off up, each time at an instance of the balancer."""
        until = await curio.clock() + TAKE_UP_S
        for _ in range(MAX_TAKE_UPS):
            no_response_s = 0.0 if seen.status else NO_RESPONSE_PAUSE_S
            pause_s = max(seen.retry_after_s, no_response_s + MAX_CALLER_PAUSE_S * rng.random())
            if not _is_broken(seen) or await curio.clock() + pause_s > until:
                return
            await curio.sleep(pause_s)
            if self._stopped:
                return
            gateway = self._pick_gateway(rng)
            seen = replace(
                seen,
                ident=self._make_ident("q"),
                gateway=gateway.name,
                sent=time.time(),
                status=0,
                complete=False,
                failure="",
                made_by_gateway=False,
                refusal=b"",
                retry_after_s=0.0,
                resumes=seen.begun_as,
                received=_whole_events(seen.received),
            )
            if seen.key in self._fleet.revoked:
                # The account has had a newer key since.
                seen.key = self._fleet.keys[-1]
            self.seen.append(seen)
            client = HttpClient(HOST, gateway.caller_proxy.port, pool_size=0)
            await self._send_request(client, seen, rng)

    async def _run_crashing_caller(self, rng: random.Random) -> None:
        """Send requests that share a part on which engines crash, while there is one."""
        while not self._stopped:
            if self._fleet.crash_part:
                await curio.spawn(self._send_crashing_request, rng, daemon=True)
            await curio.sleep(CRASHING_REQUEST_INTERVAL_S)

    async def _send_crashing_request(self, rng: random.Random) -> None:
        gateway = self._pick_gateway(rng)
        path = rng.choice(STREAM_PATHS)
        seen = ObservedRequest(self._make_ident("q"), path, gateway.name, time.time())
        seen.key, seen.crash_part = self._fleet.keys[-1], self._fleet.crash_part
        self.seen.append(seen)
        client = HttpClient(HOST, gateway.caller_proxy.port, pool_size=0)
        await self._send_request(client, seen, rng)

    async def _run_slow_reader(self, rng: random.Random) -> None:
        """Send requests with a large response one after another, and read nothing."""
        while not self._stopped:
            gateway = self._pick_gateway(rng)
            ident = self._make_ident(f"{LARGE_BODY_PREFIX}q")
            seen = ObservedRequest(
                ident, ONCE_PATH, gateway.name, time.time(), caller_left=True, is_unread=True
            )
            seen.key = self._fleet.keys[-1]
            self.seen.append(seen)
            try:
                await self._send_without_reading(gateway, seen, MAX_SLOW_READER_S * rng.random())
            except OSError as exc:
                # The instance is down, or has dropped the connection.
                seen.failure = str(exc)
                await curio.sleep(MAX_CALLER_PAUSE_S)
            seen.ended = time.time()

    async def _send_without_reading(
        self, gateway: Gateway, seen: ObservedRequest, duration_s: float
    ) -> None:
        """Send a request and keep its connection for *duration_s* seconds.

        The connection does not go through the caller's proxy, which would read the response.
        """
        async with curio.socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_READER_BUFFER_BYTES)
            await sock.connect((HOST, gateway.port))
            await sock.sendall(
                f"POST {seen.path}x HTTP/1.1\r\nhost: h.example\r\nx-request-id: {seen.ident}\r\n"
                f"x-deadline-ms: {CALLER_DEADLINE_S * 1000:.0f}\r\n"
                f"authorization: Bearer {seen.key}\r\ncontent-length: 0\r\n\r\n".encode()
            )
            await curio.sleep(duration_s)

    def _draw_request(
        self, gateway: Gateway, rng: random.Random, path: str = ""
    ) -> ObservedRequest:
        is_stream = rng.random() < STREAM_SHARE
        drawn = rng.choice(STREAM_PATHS if is_stream else (ONCE_PATH, SAFE_PATH))
        seen = ObservedRequest(self._make_ident("q"), path or drawn, gateway.name, time.time())
        seen.is_small = self._fleet.has_one_version
        if not path and rng.random() < LIMITED_ACCOUNT_SHARE:
            seen.account = seen.key = LIMITED_ACCOUNT
        else:
            keys, is_old = self._fleet.keys, rng.random() < OLD_KEY_SHARE
            seen.key = rng.choice(keys) if is_old and not path else keys[-1]
        return seen

    async def _send_request(
        self, client: HttpClient, seen: ObservedRequest, rng: random.Random
    ) -> None:
        """Send a request and store what the caller sees of it in *seen*."""
        leaves_early = rng.random() < EARLY_LEAVE_SHARE
        timeout_s = (
            MAX_EARLY_LEAVE_S * rng.random()
            if leaves_early
            else CALLER_DEADLINE_S + DEADLINE_SLACK_S
        )
        share = SMALL_PROMPT_SHARE if seen.is_small else 1.0
        prompt_tokens, answer_tokens = (
            round(share * rng.randint(*span)) for span in (PROMPT_TOKENS, ANSWER_TOKENS)
        )
        headers = {
            "host": "h.example",
            "x-request-id": seen.ident,
            "x-deadline-ms": str(int(CALLER_DEADLINE_S * 1000)),
            "authorization": f"Bearer {seen.key}",
        }
        if seen.path in STREAM_PATHS:
            seen.tokens = prompt_tokens + answer_tokens
            headers.update(
                {
                    "x-model": "m",
                    "x-token-count": f"{prompt_tokens},{answer_tokens}",
                    "length-hint": str(answer_tokens // 2),
                    "x-prompt-prefix": _make_prompt_parts(seen),
                }
            )
        if seen.resumes:
            last_event_id = seen.received.count(EVENT_END)
            headers.update({"resumes": seen.resumes, "last-event-id": str(last_event_id)})
        try:
            await curio.timeout_after(timeout_s, self._exchange, client, seen, headers)
        except curio.TaskTimeout:
            seen.caller_left, seen.failure = leaves_early, "no end in time"
        except CrankhingeError as exc:
            seen.failure = f"{exc.code}: {exc.detail}"
        seen.ended = time.time()

    async def _exchange(
        self, client: HttpClient, seen: ObservedRequest, headers: dict[str, str]
    ) -> None:
        """Send a request and read the response, and compare it with what a server would send."""
        method = "GET" if seen.path == SAFE_PATH else "POST"
        # Attempts at one stream have the same body, and no two streams have.
        text = seen.begun_as if seen.path in STREAM_PATHS else "b"
        body = b"" if method == "GET" else text.encode().ljust(200)
        stream = await client.open(method, seen.path + "x", headers=headers, body=body)
        ended = False
        try:
            seen.status = stream.status
            seen.made_by_gateway = "x-server-seal" not in stream.headers
            seen.retry_after_s = float(stream.headers.get("retry-after", "0"))
            expected = _make_expected_bodies(seen)
            while chunk := await stream.next_chunk():
                if seen.status == 200:
                    # Wrong bytes count even if the response never ends.
                    seen.received += chunk
                    seen.body_correct &= any(body.startswith(seen.received) for body in expected)
                elif seen.made_by_gateway:
                    seen.refusal += chunk
            seen.complete = ended = True
            seen.body_correct &= seen.status != 200 or seen.received in expected
        finally:
            seen.versions = _find_versions(seen)
            await (stream.close() if ended else stream.abort())


def _is_broken(seen: ObservedRequest) -> bool:
    """Whether a caller takes a stream up: it has events, no end, and no refusal that is final."""
    return (
        seen.path == RESUMED_PATH
        and not (seen.complete and seen.status == 200)
        and not seen.caller_left
        and seen.status not in FINAL_STATUSES
        and bool(_whole_events(seen.received))
    )


def _make_prompt_parts(seen: ObservedRequest) -> str:
    """Return the parts of a stream's prompt: shared ones, and its own."""
    parts = [SHARED_PART, seen.crash_part, seen.begun_as]
    return ",".join(f"{part}:100" for part in parts if part)


def _make_expected_bodies(seen: ObservedRequest) -> list[bytes]:
    """Return the whole bodies that servers of each software version would send."""
    if seen.path in STREAM_PATHS:
        return [b"".join(make_events(seen.begun_as, version)) for version in SERVER_VERSIONS]
    return [make_body(seen.ident)]


def _whole_events(received: bytes) -> bytes:
    """Return what was received without an unfinished event."""
    return received[: received.rfind(EVENT_END) + len(EVENT_END)] if EVENT_END in received else b""


def _find_versions(seen: ObservedRequest) -> frozenset[str]:
    """Return the software versions that made the events of a stream."""
    if seen.path not in STREAM_PATHS:
        return frozenset()
    received = set(_whole_events(seen.received).split(EVENT_END)) - {b""}
    by_version = {
        version: {event.removesuffix(EVENT_END) for event in make_events(seen.begun_as, version)}
        for version in SERVER_VERSIONS
    }
    return frozenset(version for version, events in by_version.items() if events & received)


async def _get_status(client: HttpClient, target: str, *, ident: str = "") -> int:
    """Return the status of a short request; 0 when there is no response."""
    headers = {"host": "h.example"}
    if ident:
        headers |= {"x-request-id": ident, "x-deadline-ms": str(int(PROBE_TIMEOUT_S * 1000))}
    try:
        resp = await curio.timeout_after(
            PROBE_TIMEOUT_S,
            lambda: client.call("GET", target, headers=headers, new_connection=True),
        )
    except (HttpClosed, BadHttp, curio.TaskTimeout):
        return 0
    return int(resp.status)
