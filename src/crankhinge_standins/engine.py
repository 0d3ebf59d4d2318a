"""A stand-in model engine with continuous batching, prefix cache and KV transfer (OpenAI API).

The "model" is a checksum: the next token depends on every byte before it. An answer that is
continued from its own text therefore has the same tokens as without the interruption.
"""

from __future__ import annotations

import random
import zlib
from collections import OrderedDict
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import curio
import msgspec

from crankhinge.errors import CrankhingeError, HttpClosed
from crankhinge.http import Exchange, HttpClient, encode_sse_event
from crankhinge.runtime import run_until_first_ends
from crankhinge_standins._model import extract_context, next_token
from crankhinge_standins._web import Faults, Recorder, reply, serve

BLOCK_WORDS = 64
SSE_HEADERS = {"content-type": "text/event-stream", "transfer-encoding": "chunked"}


@dataclass
class EngineConfig:
    """Properties of the stand-in engine; each is also an option of the command line.

    Attributes:
        host: address to listen on.
        port: TCP port to listen on.
        model: name of the model.
        slots: maximum number of requests in the batch.
        step_s: seconds of a decode step with one request in the batch.
        step_per_request_s: further seconds of a step for each further request.
        prefill_rate: prompt tokens processed per second.
        kv_life_s: seconds for which the KV cache of a prompt is kept.
        kv_bytes_per_token: size of the KV cache.
        link_bytes_per_s: rate of the engine's outgoing link; 0 for no limit.
        cache_blocks: capacity of the prefix cache in blocks of ``BLOCK_WORDS`` tokens.
        load_lag_s: interval at which the reported load is updated.
        record: file for what the engine does; empty to record nothing.
        weights: ``host:port`` of the weight store; empty if adapters load without delay.
    """

    host: str = "127.0.0.1"
    port: int = 0
    model: str = "m1"
    slots: int = 20
    step_s: float = 0.02
    step_per_request_s: float = 0.0005
    prefill_rate: float = 20_000.0
    kv_life_s: float = 0.8
    kv_bytes_per_token: int = 100_000
    link_bytes_per_s: float = 0.0
    cache_blocks: int = 2000
    load_lag_s: float = 0.5
    record: str = ""
    weights: str = ""


class ClientGone(CrankhingeError):
    """The client closed its connection."""


@dataclass
class _RunningRequest:
    """A request in the batch.

    Attributes:
        model_state: checksum from which the model derives the next token.
        tokens_left: number of tokens still to generate.
        client_gone: whether the client closed its connection.
        tokens: tokens generated so far.
    """

    model_state: int
    tokens_left: int
    client_gone: bool = False
    tokens: list[str] = field(default_factory=list)


@dataclass
class _KvCache:
    """The KV cache of a prompt, kept until another engine fetches it or it expires.

    Attributes:
        tokens: number of tokens of the prompt.
        computed_tokens: number of these tokens that were not in the prefix cache. They are counted
            as wasted if no token of an answer is generated from the KV cache.
        expires_at: time at which the KV cache expires, in seconds of the runtime's clock.
    """

    tokens: int
    computed_tokens: int
    expires_at: float


@dataclass
class Stats:
    """Counts of what the engine did, which ``GET /stats`` returns.

    ``crankhinge-bench`` computes the wasted prefill from them. ``finished`` and ``cancelled`` count
    decodes; ``running``, ``waiting`` and ``kv_held`` are the current numbers of requests in the
    batch, of requests that wait, and of KV caches.
    """

    prefill_tokens: int = 0
    cached_tokens: int = 0
    wasted_tokens: int = 0
    prefills: int = 0
    decoded_tokens: int = 0
    finished: int = 0
    cancelled: int = 0
    running: int = 0
    waiting: int = 0
    kv_held: int = 0


class StandinEngine:
    """One stand-in engine.

    Args:
        cfg: properties of the engine.
        log: log for unexpected failures.
        seed: seed of the KV handles.
    """

    def __init__(self, cfg: EngineConfig, log: Any, seed: int = 0) -> None:
        self.cfg = cfg
        self.log = log
        self.faults = Faults()
        self.stats = Stats()
        self._recorder = Recorder(cfg.record)
        self.runs: list[dict[str, Any]] = []
        self.adapters: set[str] = set()
        self._fencing_token = 0
        self._rng = random.Random(seed)
        self._running: list[_RunningRequest] = []
        self._step_done = curio.Event()
        self._slots = curio.Semaphore(cfg.slots)
        self._prefill_lock = curio.Lock()
        self._kv_caches: dict[str, _KvCache] = {}
        self._prefix_cache: OrderedDict[int, None] = OrderedDict()
        self._link_free_at = 0.0
        self._reported_load = (0, 0)

    async def run(self) -> None:
        """Serve until cancelled."""
        cfg = self.cfg
        listen = partial(serve, cfg.host, cfg.port, self._handle, self.faults, self.log)
        await run_until_first_ends(self._step_loop, self._report_loop, listen)

    async def _report_loop(self) -> None:
        """Update the reported load and drop expired KV caches."""
        while True:
            self._reported_load = (len(self._running), self.stats.waiting)
            await self._expire_kv()
            await curio.sleep(self.cfg.load_lag_s)

    async def _expire_kv(self) -> None:
        now = await curio.clock()
        for handle in [h for h, kv in self._kv_caches.items() if kv.expires_at <= now]:
            self.stats.wasted_tokens += self._kv_caches.pop(handle).computed_tokens

    async def _step_loop(self) -> None:
        """Generate one token of each request in the batch per step."""
        while True:
            cfg = self.cfg
            batch = len(self._running)
            step_s = cfg.step_s + cfg.step_per_request_s * max(0, batch - 1)
            await curio.sleep(step_s * self.faults.slow)
            for run in self._running:
                if run.tokens_left > 0 and not run.client_gone:
                    token, run.model_state = next_token(run.model_state)
                    run.tokens.append(token)
                    run.tokens_left -= 1
                    self.stats.decoded_tokens += 1
            event, self._step_done = self._step_done, curio.Event()
            await event.set()

    async def _handle(self, exchange: Exchange) -> None:
        path = exchange.req.path
        if self.faults.down:
            raise HttpClosed("down")
        if path in ("/v1/completions", "/v1/chat/completions"):
            await self._handle_completion(exchange)
        elif path == "/v1/load_lora_adapter":
            await self._load_adapter(exchange)
        elif path.startswith("/kv/"):
            await self._export_kv_cache(exchange, path.removeprefix("/kv/"))
        elif path == "/metrics":
            running, waiting = self._reported_load
            text = f"vllm:num_requests_running {running}\nvllm:num_requests_waiting {waiting}\n"
            await exchange.respond(200, text.encode(), {"content-type": "text/plain"})
        elif path == "/stats":
            self.stats.running = len(self._running)
            self.stats.kv_held = len(self._kv_caches)
            await reply(exchange, self.stats)
        elif path == "/runs":
            await reply(exchange, self.runs)
        else:
            await reply(exchange, {"error": "no such path"}, 404)

    async def _handle_completion(self, exchange: Exchange) -> None:
        body = msgspec.json.decode(exchange.req.body)
        if body["model"] != self.cfg.model and body["model"] not in self.adapters:
            await reply(exchange, {"error": "no such model"}, 404)
            return
        if self.faults.refuse:
            await reply(exchange, {"error": "refused"}, 503)
            return
        params = body.get("kv_transfer_params") or {}
        if params.get("do_remote_decode"):
            await self._prefill(exchange, body)
        else:
            await self._decode(exchange, body, params)

    async def _load_adapter(self, exchange: Exchange) -> None:
        """Load an adapter from the weight store, unless the order's fencing token is outdated."""
        order = msgspec.json.decode(exchange.req.body)
        token = int(exchange.req.headers.get("x-fencing-token", "0"))
        if token < self._fencing_token:
            await reply(exchange, {"error": "outdated token"}, 409)
            return
        self._fencing_token = token
        name = order["lora_name"]
        version = exchange.req.headers.get("x-adapter-version", "")
        self._recorder.write(kind="load", name=name, version=version, token=token)
        if self.cfg.weights:
            host, _, port = self.cfg.weights.rpartition(":")
            await HttpClient(host, int(port)).call("GET", f"/weights/{name}", new_connection=True)
        self.adapters.add(name)
        self._recorder.write(kind="loaded", name=name, version=version, token=token)
        await reply(exchange, {"ok": True})

    async def _prefill(self, exchange: Exchange, body: dict[str, Any]) -> None:
        words = extract_context(body).split(" ")
        self._recorder.write(kind="prefill", prompt=zlib.crc32(extract_context(body).encode()))
        async with self._prefill_lock:
            cached = self._count_cached_tokens(words)
            uncached = max(1, len(words) - cached)
            await curio.sleep(uncached / self.cfg.prefill_rate * self.faults.slow)
            self._cache_prefix(words)
        self.stats.prefills += 1
        self.stats.prefill_tokens += uncached
        self.stats.cached_tokens += cached
        handle = f"{self._rng.getrandbits(64):016x}"
        self._kv_caches[handle] = _KvCache(
            len(words), uncached, await curio.clock() + self.cfg.kv_life_s
        )
        answer = {
            "kv_transfer_params": {
                "remote_block_ids": [handle],
                "remote_host": self.cfg.host,
                "remote_port": self.cfg.port,
            },
            "usage": {
                "prompt_tokens": len(words),
                "prompt_tokens_details": {"cached_tokens": cached},
            },
        }
        try:
            await reply(exchange, answer)
        except HttpClosed:
            self.stats.wasted_tokens += self._kv_caches.pop(handle).computed_tokens
            raise

    def _hash_blocks(self, words: list[str]) -> list[int]:
        """Return a hash of each prefix of the prompt that consists of whole blocks."""
        blocks = []
        state = 0
        for start in range(0, len(words) - BLOCK_WORDS + 1, BLOCK_WORDS):
            state = zlib.crc32(" ".join(words[start : start + BLOCK_WORDS]).encode(), state)
            blocks.append(state)
        return blocks

    def _count_cached_tokens(self, words: list[str]) -> int:
        found = 0
        for block in self._hash_blocks(words):
            if block not in self._prefix_cache:
                break
            found += BLOCK_WORDS
        return found

    def _cache_prefix(self, words: list[str]) -> None:
        for block in self._hash_blocks(words):
            self._prefix_cache[block] = None
            self._prefix_cache.move_to_end(block)
        while len(self._prefix_cache) > self.cfg.cache_blocks:
            self._prefix_cache.popitem(last=False)

    async def _export_kv_cache(self, exchange: Exchange, handle: str) -> None:
        """Send a KV cache at the rate of the outgoing link, and then drop the KV cache."""
        kv = self._kv_caches.get(handle)
        now = await curio.clock()
        if kv is None or kv.expires_at <= now:
            await reply(exchange, {"error": "expired"}, 404)
            return
        while self.faults.stall:
            await curio.sleep(0.05)
        if self.cfg.link_bytes_per_s:
            transfer_s = kv.tokens * self.cfg.kv_bytes_per_token / self.cfg.link_bytes_per_s
            self._link_free_at = max(now, self._link_free_at) + transfer_s
            await curio.sleep(self._link_free_at - now)
        if self._kv_caches.pop(handle, None) is None:
            await reply(exchange, {"error": "expired"}, 404)
            return
        await reply(exchange, {"tokens": kv.tokens, "computed": kv.computed_tokens})

    async def _decode(
        self, exchange: Exchange, body: dict[str, Any], params: dict[str, Any]
    ) -> None:
        self.stats.waiting += 1
        run = _RunningRequest(
            zlib.crc32(extract_context(body).encode()), int(body.get("max_tokens", 16))
        )
        watcher = await curio.spawn(self._watch_client, exchange, run, daemon=True)
        try:
            async with self._slots:
                self.stats.waiting -= 1
                if run.client_gone:
                    raise HttpClosed("client disconnected while its request waited")
                self._running.append(run)
                try:
                    await self._generate(exchange, body, params, run)
                finally:
                    self._running.remove(run)
        finally:
            await watcher.cancel()

    async def _watch_client(self, exchange: Exchange, run: _RunningRequest) -> None:
        await exchange.wait_for_disconnect()
        run.client_gone = True

    async def _generate(
        self, exchange: Exchange, body: dict[str, Any], params: dict[str, Any], run: _RunningRequest
    ) -> None:
        computed = 0
        if params.get("do_remote_prefill"):
            imported = await self._import_kv_cache(params)
            if imported is None:
                await reply(exchange, {"error": "KV cache expired"}, 410)
                return
            computed = imported
        ident = exchange.req.headers.get("x-request-id", "")
        record = {"id": ident, "sent": 0, "end": "running"}
        self.runs.append(record)
        self._recorder.write(kind="decode", prompt=zlib.crc32(extract_context(body).encode()))
        try:
            await self._stream_tokens(exchange, body, run, record)
            record["end"] = "finished"
            self.stats.finished += 1
        except (HttpClosed, ClientGone):
            record["end"] = "cancelled"
            self.stats.cancelled += 1
            raise HttpClosed("gone") from None
        finally:
            if not record["sent"]:
                # The KV cache was fetched, but no token was generated from it.
                self.stats.wasted_tokens += computed
            prompt = zlib.crc32(extract_context(body).encode())
            self._recorder.write(kind="end", prompt=prompt, end=record["end"])

    async def _import_kv_cache(self, params: dict[str, Any]) -> int | None:
        """Fetch the KV cache of a prompt from another engine.

        Returns the number of tokens that were computed for the KV cache, or None if the other
        engine no longer has it.
        """
        client = HttpClient(params["remote_host"], int(params["remote_port"]))
        try:
            resp = await client.call(
                "GET", f"/kv/{params['remote_block_ids'][0]}", new_connection=True
            )
        except HttpClosed:
            return None
        if resp.status != 200:
            return None
        return int(msgspec.json.decode(resp.body)["computed"])

    async def _stream_tokens(
        self, exchange: Exchange, body: dict[str, Any], run: _RunningRequest, record: dict[str, Any]
    ) -> None:
        chat = "messages" in body
        await exchange.start(200, SSE_HEADERS)
        sent = 0
        while True:
            await self._step_done.wait()
            if run.client_gone:
                raise ClientGone
            out = b""
            while sent < len(run.tokens):
                last = run.tokens_left == 0 and sent == len(run.tokens) - 1
                out += encode_sse_event(
                    _encode_chunk(run.tokens[sent], "length" if last else None, chat)
                )
                sent += 1
            if out:
                record["sent"] = sent
                done = run.tokens_left == 0
                await exchange.write(out + (encode_sse_event(b"[DONE]") if done else b""))
                if done:
                    await exchange.finish()
                    return


def _encode_chunk(text: str, finish: str | None, chat: bool) -> bytes:
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish}
    if chat:
        choice["delta"] = {"content": text}
    else:
        choice["text"] = text
    return msgspec.json.encode({"choices": [choice]})
