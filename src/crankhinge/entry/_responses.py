"""Writes completions and errors to a caller over HTTP."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

import msgspec

from crankhinge.entry._requests import CompletionRequest
from crankhinge.errors import CrankhingeError, Outcome
from crankhinge.http import Exchange, encode_sse_event

# Stands for the text of a token in the event template. Invisible separators (U+2063) keep it from
# occurring in the rest of the event.
TEXT_PLACEHOLDER = "\u2063text\u2063"
OUTCOME_HEADER = "x-request-outcome"
# Callers may take these statuses for a statement that the request was not executed.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
BAD_GATEWAY = 502
SSE_HEADERS = {
    "content-type": "text/event-stream",
    "cache-control": "no-cache",
    "transfer-encoding": "chunked",
}


def error_body(exc: CrankhingeError, outcome: Outcome) -> dict[str, Any]:
    """Return the JSON body of an error response."""
    return {
        "error": {
            "type": exc.code,
            "code": exc.code,
            "message": exc.detail,
            "outcome": outcome.value,
            "retry_after_s": exc.retry_after_s,
        }
    }


async def send_error(
    exchange: Exchange,
    exc: CrankhingeError,
    *,
    outcome: Outcome | None = None,
    may_have_run: bool = False,
    request_id: str = "",
) -> None:
    """Send an error response.

    Args:
        exchange: the HTTP exchange with the caller.
        exc: the error. Its ``retry_after_s`` is rounded up to whole seconds for ``Retry-After``.
        may_have_run: whether a backend server may have executed the request. The last error may be
            a refusal that holds only for the last attempt; its status is then not sent.
        outcome: what is known about whether the request ran; by default, the outcome of *exc*.
        request_id: id of the request for the ``x-request-id`` header; empty to omit the header.
    """
    known_outcome = outcome or exc.outcome
    headers = {OUTCOME_HEADER: known_outcome.value}
    if request_id:
        headers["x-request-id"] = request_id
    is_false_refusal = may_have_run and exc.status in NOT_RUN_STATUSES
    if exc.retry_after_s is not None and not is_false_refusal:
        headers["retry-after"] = str(max(1, math.ceil(exc.retry_after_s)))
    body = error_body(exc, known_outcome)
    if is_false_refusal:
        body["error"]["retry_after_s"] = None
    status = BAD_GATEWAY if is_false_refusal else exc.status
    await exchange.respond(status, msgspec.json.encode(body), headers)


def call_response_headers(
    status: int, headers: Mapping[str, str], request_id: str
) -> dict[str, str]:
    """Return the header fields of a plain service's response as they are sent to the caller.

    A service does not say whether it ran a call that it answers with one of NOT_RUN_STATUSES, so
    the response gets the outcome "unknown".
    """
    sent = {"content-type": "application/octet-stream", **headers, "x-request-id": request_id}
    sent.pop(OUTCOME_HEADER, None)
    if status in NOT_RUN_STATUSES:
        sent[OUTCOME_HEADER] = Outcome.UNKNOWN.value
    return sent


class CompletionWriter:
    """Writes one completion to the caller, as a stream of events or as one JSON body.

    Nothing is sent before the first token, so that an earlier failure can still be reported with
    its own HTTP status.

    Args:
        exchange: the HTTP exchange with the caller.
        request: the completion request.
        request_id: id of the request, as shown to the caller.
        created: creation time of the completion, in seconds since the epoch.
    """

    def __init__(
        self, exchange: Exchange, request: CompletionRequest, request_id: str, created: int
    ) -> None:
        self._exchange = exchange
        self._request = request
        self._request_id = request_id
        self._created = created
        self._texts: list[str] = []
        self._event_head, self._event_tail = self._split_event()
        self._prompt_tokens = 0

    @property
    def token_count(self) -> int:
        """Number of tokens written so far."""
        return len(self._texts)

    @property
    def text(self) -> str:
        """Text of the answer so far."""
        return "".join(self._texts)

    @property
    def has_started_stream(self) -> bool:
        """Whether the HTTP head of the response has been sent."""
        return self._exchange.response_started

    def record_prompt_tokens(self, tokens: int) -> None:
        """Record the number of prompt tokens for the ``usage`` field.

        Later calls have no effect: a retry's prompt includes a part of the answer.
        """
        self._prompt_tokens = self._prompt_tokens or tokens

    async def write(self, texts: tuple[str, ...]) -> None:
        """Add the texts of tokens to the answer; if it is streamed, send them to the caller."""
        self._texts.extend(texts)
        if not self._request.stream:
            return
        if not self._exchange.response_started:
            await self._exchange.start(200, {**SSE_HEADERS, "x-request-id": self._request_id})
        head, tail = self._event_head, self._event_tail
        events = [head + msgspec.json.encode(text) + tail for text in texts]
        await self._exchange.write(b"".join(events))

    async def finish(self, finish_reason: str) -> None:
        """Complete the response."""
        if self._request.stream:
            await self._exchange.write(
                encode_sse_event(self._encode_chunk("", finish_reason))
                + encode_sse_event(b"[DONE]")
            )
            await self._exchange.finish()
            return
        body = msgspec.json.encode(self._make_body(finish_reason))
        await self._exchange.respond(200, body, {"x-request-id": self._request_id})

    async def abort(self, exc: CrankhingeError) -> None:
        """End a streamed response with an error event and without ``[DONE]``."""
        body = msgspec.json.encode(error_body(exc, Outcome.UNKNOWN))
        await self._exchange.write(encode_sse_event(body))
        await self._exchange.finish()

    def _split_event(self) -> tuple[bytes, bytes]:
        """Return the bytes before and after the text in the event of a token.

        Only the text differs between the events, so the rest is encoded once.
        """
        event = encode_sse_event(self._encode_chunk(TEXT_PLACEHOLDER, None))
        head, _, tail = event.partition(msgspec.json.encode(TEXT_PLACEHOLDER))
        return head, tail

    def _encode_chunk(self, text: str, finish_reason: str | None) -> bytes:
        choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason}
        if self._request.is_chat:
            choice["delta"] = {"content": text} if text else {}
        else:
            choice["text"] = text
        kind = "chat.completion.chunk" if self._request.is_chat else "text_completion"
        return msgspec.json.encode(self._wrap_choice(kind, choice))

    def _make_body(self, finish_reason: str) -> dict[str, Any]:
        choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason}
        if self._request.is_chat:
            choice["message"] = {"role": "assistant", "content": self.text}
        else:
            choice["text"] = self.text
        body = self._wrap_choice(
            "chat.completion" if self._request.is_chat else "text_completion", choice
        )
        body["usage"] = {
            "prompt_tokens": self._prompt_tokens,
            "completion_tokens": self.token_count,
            "total_tokens": self._prompt_tokens + self.token_count,
        }
        return body

    def _wrap_choice(self, kind: str, choice: dict[str, Any]) -> dict[str, Any]:
        return {
            "id": self._request_id,
            "object": kind,
            "created": self._created,
            "model": self._request.body["model"],
            "choices": [choice],
        }
