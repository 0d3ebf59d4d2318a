"""Adapter for engines that speak the OpenAI completions API with vLLM's ``kv_transfer_params``.

Source: the published OpenAI API reference (completions, chat completions, streaming) and vLLM's
documentation of disaggregated prefilling: a request for one token with ``do_remote_decode`` makes
a prefill engine return the handle of its KV cache; a request with that handle and
``do_remote_prefill`` makes a decode engine fetch the cache. ``GET /metrics`` is in the Prometheus
text format. Closing the connection cancels a request.
"""

from __future__ import annotations

from typing import Any

import msgspec

from crankhinge.adapters._engine import (
    DecodeStream,
    Engine,
    EngineFailed,
    EngineLoad,
    KvExpired,
    PrefillResult,
)
from crankhinge.decoding import JsonDecoder
from crankhinge.errors import BadHttp, HttpClosed, Undecodable
from crankhinge.http import ClientStream, ConnectFailed, HttpClient, SseParser

HTTP_GONE = 410
FENCING_HEADER = "x-fencing-token"
_JSON_HEADERS = {"content-type": "application/json"}
_KEEP_KV_CACHE = {"do_remote_decode": True, "do_remote_prefill": False}


class _PromptTokensDetails(msgspec.Struct):
    cached_tokens: int = 0


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0
    prompt_tokens_details: _PromptTokensDetails | None = None


class _PrefillResponse(msgspec.Struct):
    kv_transfer_params: dict[str, Any]
    usage: _Usage = msgspec.field(default_factory=_Usage)


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    text: str = ""
    delta: _Delta | None = None
    finish_reason: str | None = None


class _Chunk(msgspec.Struct):
    choices: list[_Choice] = []


# Longest response of a prefill engine; it holds the parameters of the transfer.
MAX_PREFILL_BYTES = 16 * 1024 * 1024

_chunk_decoder: JsonDecoder[_Chunk] = JsonDecoder(_Chunk)
_object_decoder: JsonDecoder[dict[str, Any]] = JsonDecoder(dict[str, Any])
_prefill_decoder: JsonDecoder[_PrefillResponse] = JsonDecoder(_PrefillResponse)


class OpenAiEngine(Engine):
    """An engine at one address."""

    def __init__(self, host: str, port: int) -> None:
        self._client = HttpClient(host, port, pool_size=32)

    async def prefill(self, path: str, body: bytes, *, request_id: int) -> PrefillResult:
        """Request a completion of one token whose KV cache is kept for the decode engine."""
        request_body = _with_members(
            body, kv_transfer_params=_KEEP_KV_CACHE, max_tokens=1, stream=False
        )
        stream = await self._open(path, request_body, request_id)
        try:
            response_body = await stream.read_all(MAX_PREFILL_BYTES)
            response = _prefill_decoder.decode(response_body)
        except (HttpClosed, BadHttp, Undecodable) as exc:
            raise EngineFailed(str(exc)) from exc
        finally:
            await stream.close()
        details = response.usage.prompt_tokens_details or _PromptTokensDetails()
        kv_handle = msgspec.json.encode(response.kv_transfer_params)
        return PrefillResult(kv_handle, response.usage.prompt_tokens, details.cached_tokens)

    async def decode(
        self, path: str, body: bytes, kv_handle: bytes, *, request_id: int
    ) -> DecodeStream:
        """Request the answer as a stream, from the KV cache *kv_handle*."""
        params = {
            **_decode_object(kv_handle),
            "do_remote_prefill": True,
            "do_remote_decode": False,
        }
        request_body = _with_members(body, kv_transfer_params=params, stream=True)
        return _CompletionStream(await self._open(path, request_body, request_id))

    async def _open(self, path: str, body: bytes, req: int) -> ClientStream:
        headers = {**_JSON_HEADERS, "x-request-id": f"{req:016x}"}
        try:
            stream = await self._client.open(
                "POST", path, headers=headers, body=body, new_connection=True
            )
        except ConnectFailed as exc:
            raise EngineFailed(exc.detail, ran=False) from exc
        except (HttpClosed, BadHttp) as exc:
            raise EngineFailed(exc.detail) from exc
        if stream.status != 200:
            await _raise_for_status(stream)
        return stream

    async def load_adapter(self, name: str, path: str, version: int, *, fencing_token: int) -> None:
        """Load an adapter with vLLM's ``/v1/load_lora_adapter``, replacing an older version."""
        order = {"lora_name": name, "lora_path": path, "load_inplace": True}
        headers = {
            **_JSON_HEADERS,
            FENCING_HEADER: str(fencing_token),
            "x-adapter-version": str(version),
        }
        try:
            resp = await self._client.call(
                "POST",
                "/v1/load_lora_adapter",
                headers=headers,
                body=msgspec.json.encode(order),
                new_connection=True,
            )
        except (HttpClosed, BadHttp) as exc:
            raise EngineFailed(exc.detail) from exc
        if resp.status != 200:
            raise EngineFailed(f"status {resp.status}")

    async def get_load(self) -> EngineLoad:
        """Return the load from the gauges of the engine's metrics."""
        try:
            resp = await self._client.call("GET", "/metrics")
        except (HttpClosed, BadHttp) as exc:
            raise EngineFailed(exc.detail) from exc
        return EngineLoad(
            running=_gauge(resp.body, b"vllm:num_requests_running"),
            waiting=_gauge(resp.body, b"vllm:num_requests_waiting"),
        )


class _CompletionStream(DecodeStream):
    """Stream of one completion."""

    def __init__(self, stream: ClientStream) -> None:
        self._stream = stream
        self._parser = SseParser()
        self._done = False

    async def next_pieces(self) -> list[str]:
        while not self._done:
            try:
                chunk = await self._stream.next_chunk()
                pieces = self._parse_chunk(chunk)
            except (HttpClosed, BadHttp) as exc:
                raise EngineFailed(exc.detail) from exc
            if not chunk:
                raise EngineFailed("response ended before its last event")
            if pieces:
                return pieces
        return []

    def _parse_chunk(self, chunk: bytes) -> list[str]:
        pieces = []
        for event_data in self._parser.feed(chunk):
            if event_data == b"[DONE]":
                self._done = True
                break
            pieces += self._parse_event(event_data)
        return pieces

    def _parse_event(self, event_data: bytes) -> list[str]:
        try:
            event = _chunk_decoder.decode(event_data)
        except Undecodable as exc:
            raise EngineFailed(f"unreadable event: {exc.detail}") from exc
        texts = []
        for choice in event.choices:
            text = (choice.delta.content or "") if choice.delta else choice.text
            if text:
                texts.append(text)
            if choice.finish_reason:
                self.finish_reason = choice.finish_reason
        return texts

    async def close(self) -> None:
        await self._stream.close()


def _decode_object(data: bytes) -> dict[str, Any]:
    try:
        return _object_decoder.decode(data)
    except Undecodable as exc:
        raise EngineFailed(f"not a JSON object: {exc.detail}", ran=False) from exc


def _with_members(body: bytes, **more: object) -> bytes:
    """Return the JSON object *body* with the members *more* set."""
    request_json = _decode_object(body)
    request_json.update(more)
    return msgspec.json.encode(request_json)


async def _raise_for_status(stream: ClientStream) -> None:
    status = stream.status
    try:
        text = (await stream.read_refusal())[:200].decode("utf-8", "replace")
    except (HttpClosed, BadHttp):
        text = ""
    finally:
        await stream.close()
    if status == HTTP_GONE:
        raise KvExpired(text)
    raise EngineFailed(f"status {status}: {text}", ran=status >= 500)


def _gauge(text: bytes, name: bytes) -> int:
    for line in text.split(b"\n"):
        if line.startswith(name):
            return int(float(line.rsplit(b" ", 1)[1]))
    return 0
