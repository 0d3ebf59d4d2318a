"""Sends a trace of requests to the entries and checks every response, as a caller does."""

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
    """What a caller observed of one request.

    Attributes:
        arrival: the request.
        status: HTTP status; 0 if there was no response.
        code: machine-readable cause of a failure.
        outcome: value of the ``X-Request-Outcome`` header, or of its field in an error event.
        first_token_s: seconds from sending to the first token; 0 if none came.
        mean_gap_s: mean seconds between tokens.
        total_s: seconds from sending to the end.
        tokens: number of tokens received.
        complete: whether a stream came to its regular end or a plain call got status 200.
        wrong: whether the content differs from what the backend server must return.
        cancelled: whether the caller ended the request itself.
        key: idempotency key of a call to a plain service.
        attempts: how often the request was sent.
        request_id: identifier that the entry gave to the request.
        entry_port: port of the entry that the request was last sent to.
        started_at: wall-clock time of the first attempt.
        cancelled_at: wall-clock time at which the caller ended the request; 0 if it didn't.
        received_tokens: the tokens themselves, until they have been checked.
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


_event_decoder = msgspec.json.Decoder(_Event)


class LoadGenerator:
    """Sends the requests of a trace at their times.

    Args:
        ports: ports of the entries.
        credentials: bearer credential of each member.
        host: host of the entries.
        max_retries: how often a caller repeats a plain call whose outcome is unknown.
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
        self._round_robin = 0
        self._max_retries = max_retries
        self.excluded_ports: set[int] = set()
        self._credentials = credentials
        self.results: list[RequestResult] = []

    async def run(self, trace: list[Arrival]) -> list[RequestResult]:
        """Send each request at its arrival time and return the results of all."""
        started_at = await curio.clock()
        async with curio.TaskGroup() as group:
            for arrival in trace:
                wait = started_at + arrival.at - await curio.clock()
                if wait > 0:
                    await curio.sleep(wait)
                await group.spawn(self._send_with_retries, arrival)
        return self.results

    def _next_client(self) -> HttpClient:
        """Return the next entry in turn, as a load balancer does, skipping excluded ones.

        If all are excluded, the last one tried is returned.
        """
        for _ in self._clients:
            self._round_robin += 1
            client = self._clients[self._round_robin % len(self._clients)]
            if client.port not in self.excluded_ports:
                break
        return client

    async def _send_with_retries(self, arrival: Arrival) -> None:
        result = RequestResult(arrival, started_at=time.time())
        self.results.append(result)
        await self._attempt(arrival, result)
        while self._is_outcome_unknown(result) and result.attempts <= self._max_retries:
            await curio.sleep(RETRY_PAUSE_S)
            result.status, result.code, result.outcome = 0, "", ""
            await self._attempt(arrival, result)

    def _is_outcome_unknown(self, result: RequestResult) -> bool:
        """Return whether the request is a plain call of which the caller can't tell if it ran."""
        known = result.complete or result.outcome == NOT_RUN or result.code in FINAL_CODES
        return bool(result.arrival.path) and not known

    async def _attempt(self, arrival: Arrival, result: RequestResult) -> None:
        client = self._next_client()
        result.entry_port = client.port
        result.attempts += 1
        started_at = await curio.clock()
        try:
            await curio.timeout_after(
                REQUEST_TIMEOUT_S, self._send, client, arrival, result, started_at
            )
        except (HttpClosed, BadHttp) as exc:
            result.code = result.code or exc.code
        except curio.TaskTimeout:
            result.code = "caller-timeout"
        result.total_s = await curio.clock() - started_at

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
        self, client: HttpClient, arrival: Arrival, result: RequestResult, started_at: float
    ) -> None:
        if arrival.path:
            await self._call_service(client, arrival, result)
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
            result.status = stream.status
            result.request_id = stream.headers.get("x-request-id", "")
            if stream.status != 200:
                _record_failure(result, stream, await stream.read_all())
                return
            await self._read_stream(stream, arrival, result, started_at)
        finally:
            await stream.close()

    async def _call_service(
        self, client: HttpClient, arrival: Arrival, result: RequestResult
    ) -> None:
        result.key = result.key or str(uuid6.uuid7())
        headers = {**self._headers(arrival), "idempotency-key": result.key}
        resp = await client.call(
            "POST", arrival.path, headers=headers, body=result.key.encode(), new_connection=True
        )
        result.status = resp.status
        result.complete = resp.status == 200
        result.outcome = resp.headers.get("x-request-outcome", "")
        result.request_id = resp.headers.get("x-request-id", "")
        if resp.status == 200:
            result.wrong = msgspec.json.decode(resp.body).get("body") != result.key
        else:
            result.code = _error_code(resp.body, resp.status)

    async def _read_stream(
        self, stream: ClientStream, arrival: Arrival, result: RequestResult, started_at: float
    ) -> None:
        parser = SseParser()
        last_token_at = 0.0
        while chunk := await stream.next_chunk():
            for data in parser.feed(chunk):
                if data == b"[DONE]":
                    result.complete = True
                    continue
                text = _read_event(data, result)
                if not text:
                    continue
                now = await curio.clock()
                result.first_token_s = result.first_token_s or now - started_at
                result.received_tokens.append(text)
                last_token_at = now
            if (
                arrival.cancel_after_tokens
                and len(result.received_tokens) >= arrival.cancel_after_tokens
            ):
                result.cancelled = True
                result.cancelled_at = time.time()
                break
        result.tokens = len(result.received_tokens)
        if result.tokens > 1:
            result.mean_gap_s = (last_token_at - started_at - result.first_token_s) / (
                result.tokens - 1
            )
        _check_answer(arrival, result)


def _check_answer(arrival: Arrival, result: RequestResult) -> None:
    """Compare the received tokens with those that the stand-in's model generates."""
    expected = make_answer({"prompt": arrival.prompt, "max_tokens": arrival.max_tokens})
    result.wrong = result.received_tokens != expected[: len(result.received_tokens)]
    if result.complete and len(result.received_tokens) != len(expected):
        result.wrong = True
    result.received_tokens = []


def _read_event(data: bytes, result: RequestResult) -> str:
    event = _event_decoder.decode(data)
    if event.error is not None:
        result.code = str(event.error.get("code", ""))
        result.outcome = str(event.error.get("outcome", ""))
        return ""
    return "".join(str(choice.get("text", "")) for choice in event.choices)


def _record_failure(result: RequestResult, stream: ClientStream, body: bytes) -> None:
    result.outcome = stream.headers.get("x-request-outcome", "")
    result.code = _error_code(body, stream.status)


def _error_code(body: bytes, status: int) -> str:
    """Return the error code of a response body, or ``status-`` and the HTTP status."""
    try:
        return str(msgspec.json.decode(body)["error"]["code"])
    except (msgspec.DecodeError, LookupError, TypeError):
        return f"status-{status}"
