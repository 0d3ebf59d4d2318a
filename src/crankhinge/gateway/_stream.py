"""Streams: a place to write is found, the prompt is read, the answer is passed on as it comes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import curio

from crankhinge.adapters import Leg
from crankhinge.decisions import Phase, RetryBudget, Server
from crankhinge.errors import (
    BackendFailed,
    BadHttp,
    DeadlinePassed,
    HttpClosed,
    NoBackend,
    Overloaded,
)
from crankhinge.gateway._backends import Backends
from crankhinge.gateway._events import EventSplitter
from crankhinge.gateway._legs import Legs
from crankhinge.gateway._request import Relay
from crankhinge.http import ClientStream, ConnectFailed

RETRY_AFTER_S = 1.0


@dataclass(frozen=True)
class _Memory:
    """A prompt's memory at the server that read it."""

    server: Server
    handle: str


class StreamRelay:
    """Runs streams.

    Args:
        backends: the servers.
        legs: sends requests to them.
        budget_of: the retry budget of a service.
        log: for events.
    """

    def __init__(self, *, backends: Backends, legs: Legs, budget_of: Any, log: Any) -> None:
        self._backends = backends
        self._legs = legs
        self._budget_of = budget_of
        self._log = log

    async def run(self, relay: Relay) -> None:
        """Find servers, pass the answer on. Raises a failure with its outcome."""
        budget: RetryBudget = self._budget_of(relay.service.name)
        budget.first_attempt()
        writer = self._backends.pick(
            relay.service.name,
            await curio.clock(),
            phase=Phase.WRITE if relay.service.engine else None,
            avoid=frozenset(),
        )
        if writer is None:
            raise NoBackend("no server writes", retry_after_s=RETRY_AFTER_S)
        memory = await self._read(relay, writer) if relay.service.engine else None
        try:
            await curio.timeout_after(
                max(0.001, await relay.left()), self._write, relay, writer, memory
            )
        except curio.TaskTimeout as exc:
            raise DeadlinePassed("not answered in time") from exc

    async def _read(self, relay: Relay, writer: Server) -> _Memory | None:
        reader = self._backends.pick(
            relay.service.name, await curio.clock(), phase=Phase.READ, avoid=frozenset()
        )
        if reader is None:
            return None
        leg = Leg(reader.ident, await relay.left(), read_only=True)
        began = await curio.clock()
        try:
            async with self._legs.open(relay, reader, leg) as stream:
                body = await stream.read_all()
                if stream.status != 200:
                    self._log.info("read_refused", request=relay.ask.ident, status=stream.status)
                    raise Overloaded("not read", retry_after_s=RETRY_AFTER_S)
                handle = self._backends.dialect.memory_of(body)
        except (HttpClosed, BadHttp) as exc:
            raise Overloaded(f"not read: {exc}", retry_after_s=RETRY_AFTER_S) from exc
        took = await curio.clock() - began
        self._backends.standing(reader.ident).succeeded(took)
        relay.facts["read_ms"] = round(took * 1000)
        return _Memory(reader, handle)

    async def _write(self, relay: Relay, writer: Server, memory: _Memory | None) -> None:
        dialect = self._backends.dialect
        at = ""
        if memory is not None:
            at = dialect.memory_at(memory.server.host, memory.server.port, memory.handle)
        leg = Leg(
            writer.ident, await relay.left(), memory_from=at, after_event=relay.ask.after_event
        )
        relay.sent.append(writer.ident)
        relay.facts.update(
            server=writer.ident,
            prompt=relay.ask.prompt_tokens,
            most=relay.ask.answer_tokens,
            likely=relay.ask.likely_tokens,
        )
        try:
            async with self._legs.open(relay, writer, leg) as stream:
                word = dialect.word(stream.status, stream.headers)
                if word.not_run:
                    await stream.read_all()
                    raise Overloaded(f"status {stream.status}", retry_after_s=RETRY_AFTER_S)
                relay.may_have_run = True
                await self._pass_on(relay, stream)
        except ConnectFailed as exc:
            raise NoBackend(exc.detail, retry_after_s=RETRY_AFTER_S) from exc
        except (HttpClosed, BadHttp) as exc:
            relay.may_have_run = True
            if relay.exchange.started:
                raise HttpClosed(f"broken off: {exc.detail}") from exc
            raise BackendFailed(exc.detail) from exc

    async def _pass_on(self, relay: Relay, stream: ClientStream) -> None:
        exchange = relay.exchange
        fields = self._backends.dialect.answer_fields(stream.fields)
        await exchange.start_as_is(stream.status, fields)
        splitter = EventSplitter()
        first = 0.0
        while chunk := await stream.next_chunk():
            first = first or await curio.clock()
            splitter.feed(chunk)
            await exchange.write(chunk)
        await exchange.finish()
        now = await curio.clock()
        relay.facts.update(
            status=stream.status,
            first_ms=round((first - relay.began) * 1000),
            total_ms=round((now - relay.began) * 1000),
            events=splitter.events,
        )
