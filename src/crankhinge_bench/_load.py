"""Sends a trace to the entries, as callers would, and checks every answer."""

from __future__ import annotations

import time
from collections.abc import Mapping
from dataclasses import dataclass, field

import curio
import msgspec
import uuid6

from crankhinge.errors import BadHttp, HttpClosed
from crankhinge.http import ClientStream, HttpClient, SseParser
from crankhinge_bench._trace import Arrival
from crankhinge_standins._model import make_answer

REQUEST_TIMEOUT_S = 60.0
NOT_RUN = "not-run"
RETRY_PAUSE_S = 0.7
FINAL_CODES = frozenset({"already-taken", "key-too-old"})


@dataclass
class RequestResult:
    """What a caller saw.

    Attributes:
        arrival: what it asked.
        status: HTTP status; 0 when there was no answer.
        code: machine-readable cause of a failure.
        outcome: what the header said of a failure.
        first_token_s: seconds until the first token; 0 for none.
        mean_gap_s: mean seconds between tokens.
        total_s: seconds until the end.
        tokens: tokens received.
        complete: whether the answer was complete and right.
        wrong: whether what came differs from what the engine's model says.
        cancelled: whether the caller went of its own accord.
        key: idempotency key of a plain call.
        attempts: how often it was sent.
        request_id: the entry's identity of it.
        entry_port: port of the entry that it was last sent to.
        started_at: wall clock.
        cancelled_at: wall clock at which the caller went of its own accord; 0 for never.
    """

    arrival: Arrival
    status: int = 0
    code: str = ""
    outcome: str = ""
    first_token_s: float = 0.0
    mean_gap_s: float = 0.0
    total_s: float = 0.0
    tokens: int = 0
    complete: bool = False
    wrong: bool = False
    cancelled: bool = False
    key: str = ""
    attempts: int = 0
    request_id: str = ""
    entry_port: int = 0
    started_at: float = 0.0
    cancelled_at: float = 0.0
    received_tokens: list[str] = field(default_factory=list)


class _Event(msgspec.Struct):
    choices: list[dict[str, object]] = []
    error: dict[str, object] | None = None


_events = msgspec.json.Decoder(_Event)


class LoadGenerator:
    """Plays a trace.

    Args:
        ports: of the entries.
        credentials: bearer credential of each member.
        host: of the entries.
        max_retries: how often a caller repeats a plain call whose outcome it doesn't know.
    """

    def __init__(
        self,
        ports: list[int],
        credentials: Mapping[str, str],
        host: str = "127.0.0.1",
        *,
        max_retries: int = 0,
    ) -> None:
        self._clients = [HttpClient(host, port) for port in ports]
        self._turn = 0
        self._repeats = max_retries
        self.excluded_ports: set[int] = set()
        self._credentials = credentials
        self.results: list[RequestResult] = []

    async def run(self, trace: list[Arrival]) -> list[RequestResult]:
        """Send each arrival at its time and return what came of all of them."""
        began = await curio.clock()
        async with curio.TaskGroup() as group:
            for arrival in trace:
                wait = began + arrival.at - await curio.clock()
                if wait > 0:
                    await curio.sleep(wait)
                await group.spawn(self._one, arrival)
        return self.results

    def _next(self) -> HttpClient:
        """Return the next entry in turn, as a balancer would: not one that it was told to shun."""
        for _ in self._clients:
            self._turn += 1
            client = self._clients[self._turn % len(self._clients)]
            if client.port not in self.excluded_ports:
                break
        return client

    async def _one(self, arrival: Arrival) -> None:
        seen = RequestResult(arrival, started_at=time.time())
        self.results.append(seen)
        await self._try(arrival, seen)
        while self._unknown(seen) and seen.attempts <= self._repeats:
            await curio.sleep(RETRY_PAUSE_S)
            seen.status, seen.code, seen.outcome = 0, "", ""
            await self._try(arrival, seen)

    def _unknown(self, seen: RequestResult) -> bool:
        """Whether the caller of a plain call has yet to learn what became of it."""
        final = seen.complete or seen.outcome == NOT_RUN or seen.code in FINAL_CODES
        return bool(seen.arrival.path) and not final

    async def _try(self, arrival: Arrival, seen: RequestResult) -> None:
        client = self._next()
        seen.entry_port = client.port
        seen.attempts += 1
        began = await curio.clock()
        try:
            await curio.timeout_after(REQUEST_TIMEOUT_S, self._send, client, arrival, seen, began)
        except (HttpClosed, BadHttp) as exc:
            seen.code = seen.code or exc.code
        except curio.TaskTimeout:
            seen.code = "caller-timeout"
        seen.total_s = await curio.clock() - began

    def _headers(self, arrival: Arrival) -> dict[str, str]:
        headers = {
            "authorization": f"Bearer {self._credentials[arrival.member]}",
            "content-type": "application/json",
            "x-priority": str(arrival.rank),
        }
        if not arrival.repeatable:
            headers["x-repeatable"] = "no"
        return headers

    async def _send(
        self, client: HttpClient, arrival: Arrival, seen: RequestResult, began: float
    ) -> None:
        if arrival.path:
            await self._call(client, arrival, seen)
            return
        body = {
            "model": "m1",
            "prompt": arrival.prompt,
            "max_tokens": arrival.max_tokens,
            "stream": True,
        }
        stream = await client.open(
            "POST",
            "/v1/completions",
            headers=self._headers(arrival),
            body=msgspec.json.encode(body),
            new_connection=True,
        )
        try:
            seen.status = stream.status
            seen.request_id = stream.headers.get("x-request-id", "")
            if stream.status != 200:
                _note_failure(seen, stream, await stream.read_all())
                return
            await self._read(stream, arrival, seen, began)
        finally:
            await stream.close()

    async def _call(self, client: HttpClient, arrival: Arrival, seen: RequestResult) -> None:
        seen.key = seen.key or str(uuid6.uuid7())
        headers = {**self._headers(arrival), "idempotency-key": seen.key}
        resp = await client.call(
            "POST", arrival.path, headers=headers, body=seen.key.encode(), new_connection=True
        )
        seen.status = resp.status
        seen.complete = resp.status == 200
        seen.outcome = resp.headers.get("x-request-outcome", "")
        seen.request_id = resp.headers.get("x-request-id", "")
        if resp.status == 200:
            seen.wrong = msgspec.json.decode(resp.body).get("body") != seen.key
        else:
            seen.code = _code_of(resp.body, resp.status)

    async def _read(
        self, stream: ClientStream, arrival: Arrival, seen: RequestResult, began: float
    ) -> None:
        parser = SseParser()
        last = 0.0
        while chunk := await stream.next_chunk():
            for data in parser.feed(chunk):
                if data == b"[DONE]":
                    seen.complete = True
                    continue
                text = _text_of(data, seen)
                if not text:
                    continue
                now = await curio.clock()
                seen.first_token_s = seen.first_token_s or now - began
                seen.received_tokens.append(text)
                last = now
            if (
                arrival.cancel_after_tokens
                and len(seen.received_tokens) >= arrival.cancel_after_tokens
            ):
                seen.cancelled = True
                seen.cancelled_at = time.time()
                break
        seen.tokens = len(seen.received_tokens)
        if seen.tokens > 1:
            seen.mean_gap_s = (last - began - seen.first_token_s) / (seen.tokens - 1)
        _check_answer(arrival, seen)


def _check_answer(arrival: Arrival, seen: RequestResult) -> None:
    """Compare what came with what the engine's model says."""
    right = make_answer({"prompt": arrival.prompt, "max_tokens": arrival.max_tokens})
    seen.wrong = seen.received_tokens != right[: len(seen.received_tokens)]
    if seen.complete and len(seen.received_tokens) != len(right):
        seen.wrong = True
    seen.received_tokens = []


def _text_of(data: bytes, seen: RequestResult) -> str:
    event = _events.decode(data)
    if event.error is not None:
        seen.code = str(event.error.get("code", ""))
        seen.outcome = str(event.error.get("outcome", ""))
        return ""
    return "".join(str(choice.get("text", "")) for choice in event.choices)


def _note_failure(seen: RequestResult, stream: ClientStream, body: bytes) -> None:
    seen.outcome = stream.headers.get("x-request-outcome", "")
    seen.code = _code_of(body, stream.status)


def _code_of(body: bytes, status: int) -> str:
    """Return the machine-readable cause of a failure."""
    try:
        return str(msgspec.json.decode(body)["error"]["code"])
    except (msgspec.DecodeError, LookupError, TypeError):
        return f"status-{status}"
