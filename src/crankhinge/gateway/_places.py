"""Reserves a place to write in before a prompt is read."""

from __future__ import annotations

from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import curio

from crankhinge.decisions import (
    SERVE_S,
    Phase,
    PlaceAsk,
    Server,
    WorkMeter,
    back_after,
    memory_needed,
    places_to_ask,
)
from crankhinge.errors import BadHttp, NoBackend, Overloaded
from crankhinge.gateway._backends import Backends
from crankhinge.gateway._request import Relay

# Engines asked in one round; more would cost more calls than the chance of room is worth.
ASKED_AT_ONCE = 3
# Seconds between rounds while nothing ends here: others' requests end unseen.
ROUND_S = 0.05
# A round takes some milliseconds; with less than this left none is begun, in seconds.
MIN_ROUND_S = 0.005


@dataclass
class Place:
    """A reservation.

    Attributes:
        server: where.
        hold: its identity; empty where the server takes no reservations or it was used.
        tokens: memory reserved.
    """

    server: Server
    hold: str
    tokens: int


class Places:
    """Finds places for streams.

    Args:
        backends: the servers.
        log: for events.
        meters: the work of each service's requests, by its name.
    """

    def __init__(self, backends: Backends, log: Any, meters: Mapping[str, WorkMeter]) -> None:
        self._backends = backends
        self._meters = meters
        self._log = log

    @asynccontextmanager
    async def take(
        self, relay: Relay, *, extra: int = 0, avoid: frozenset[str] = frozenset()
    ) -> AsyncIterator[Place]:
        """Give a place; it is given back at the end unless it was used.

        Args:
            relay: the request.
            extra: tokens of the answer that were made elsewhere and are read with the prompt.
            avoid: servers that are out of the question.

        Raises:
            Overloaded: no room in time.
            NoBackend: no server writes.
        """
        place = await self._find(relay, extra, avoid)
        standing = self._backends.standing(place.server.ident)
        standing.tokens += place.tokens
        try:
            yield place
        finally:
            standing.tokens -= place.tokens
            if place.hold:
                call = self._backends.dialect.drop_hold(place.hold)
                await self._backends.later(place.server, call)

    async def _find(self, relay: Relay, extra: int, avoid: frozenset[str]) -> Place:
        engine = relay.service.engine
        assert engine is not None
        ask = relay.ask
        tokens = memory_needed(
            ask.prompt_tokens + extra, ask.likely_tokens, ask.answer_tokens, engine.kv_tokens
        )
        began = await curio.clock()
        left = relay.until - began
        likely = min(ask.likely_tokens or ask.answer_tokens, ask.answer_tokens)
        need = PlaceAsk(
            tokens=tokens,
            first_by_s=relay.route.target_s,
            left_s=left,
            route_s=relay.route.timeout_s,
            serve_s=self._meters[relay.service.name].serve_s(likely) or SERVE_S,
        )
        if need.patience_s < 0:
            self._refused(relay, need, "no_time", 0, 0.0)
            raise Overloaded("can't end in time", retry_after_s=back_after(self._backends.rng))
        asked = 0
        while True:
            servers = [
                server
                for server in self._backends.able(relay.service.name, Phase.WRITE, relay.ask.model)
                if server.ident not in avoid
            ]
            now = await curio.clock()
            if not servers:
                self._refused(relay, need, "no_writer", asked, now - began)
                raise NoBackend("no server writes", retry_after_s=back_after(self._backends.rng))
            order = places_to_ask(
                servers,
                self._backends.standing,
                tokens=tokens,
                kv_tokens=engine.kv_tokens,
                now=now,
                rng=self._backends.rng,
                yield_s=need.yield_s(now - began),
            )
            for server in order[:ASKED_AT_ONCE]:
                asked += 1
                hold = await self._reserve(server, tokens, engine.hold_s)
                if hold is not None:
                    waited = await curio.clock() - began
                    relay.facts.update(waited_ms=round(waited * 1000), asked=asked)
                    self._taken(relay, need, server)
                    return Place(server, hold, tokens)
            now = await curio.clock()
            spare = need.patience_s - (now - began)
            if spare <= MIN_ROUND_S:
                self._refused(relay, need, "no_room", asked, now - began)
                after = back_after(self._backends.rng, need)
                raise Overloaded("no room to write", retry_after_s=after)
            await curio.sleep(min(ROUND_S, spare - MIN_ROUND_S))

    async def _reserve(self, server: Server, tokens: int, hold_s: float) -> str | None:
        """Return a reservation, or None when the server has no room."""
        dialect = self._backends.dialect
        standing = self._backends.standing(server.ident)
        if hold_s <= 0:
            return ""
        resp = await self._backends.side_call(server, dialect.take_hold(tokens, hold_s))
        now = await curio.clock()
        if resp is None:
            standing.failed(now)
            return None
        if dialect.word(resp.status, resp.headers).other_server:
            self._backends.replaced(server)
            return None
        if resp.status != 200:
            standing.had_no_room(now, self._backends.rng)
            return None
        try:
            return dialect.hold_of(resp.body)
        except BadHttp as exc:
            self._log.warning("reservation_unreadable", server=server.ident, why=exc.detail)
            return None

    def _taken(self, relay: Relay, need: PlaceAsk, server: Server) -> None:
        standing = self._backends.standing(server.ident)
        about = {**relay.facts, "server": server.ident, "own_tokens": standing.tokens}
        self._log.info(
            "place_taken",
            request=relay.ask.ident,
            tokens=need.tokens,
            returned=need.returned,
            **about,
        )

    def _refused(self, relay: Relay, need: PlaceAsk, why: str, asked: int, waited_s: float) -> None:
        self._log.info(
            "place_refused",
            request=relay.ask.ident,
            why=why,
            tokens=need.tokens,
            returned=need.returned,
            serve_s=round(need.serve_s, 1),
            left_s=round(need.left_s, 1),
            asked=asked,
            waited_ms=round(waited_s * 1000),
        )
