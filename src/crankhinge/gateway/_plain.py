"""Requests whose answers are short: the whole answer is read before the caller gets any of it."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import Any

import curio

from crankhinge.adapters import AttemptParams
from crankhinge.decisions import (
    CongestionWindow,
    EngineRole,
    ReservationQueue,
    ReservationRequest,
    RetryBudget,
    Server,
)
from crankhinge.errors import (
    BackendFailed,
    BadHttp,
    CrankhingeError,
    DeadlinePassed,
    HttpClosed,
    NoBackend,
    Overloaded,
    ServerBarred,
)
from crankhinge.gateway._attempts import Attempts
from crankhinge.gateway._backends import Backends
from crankhinge.gateway._request import Relay
from crankhinge.gateway._server_selector import ServerSelector
from crankhinge.http import ConnectFailed

# When to come back after a refusal, in seconds: the queue of a busy service moves on in this time.
RETRY_AFTER_S = 0.25
# A request that may run again is taken from a silent server after this part of its time.
FIRST_ATTEMPT_TIME_SHARE = 0.45
# Seconds between looks whether a service that answered too late has recovered.
CONGESTION_POLL_S = 0.02
# Predictions of when to come back are spread by these factors.
RETRY_AFTER_JITTER = (0.8, 1.2)
# A request is sent only with this many times the time of an undisturbed answer left.
SERVICE_TIME_FACTOR = 3.0


@dataclass(frozen=True)
class ServerResponse:
    """A whole answer of a server."""

    status: int
    fields: list[tuple[str, str]]
    body: bytes


class PlainRelay:
    """Runs requests that are answered in one piece.

    Args:
        backends: the servers.
        selector: chooses among them.
        attempts: sends requests to them.
        budget_of: the retry budget of a service.
        log: for events.
    """

    def __init__(
        self,
        *,
        backends: Backends,
        selector: ServerSelector,
        attempts: Attempts,
        budget_of: Any,
        log: Any,
    ) -> None:
        self._backends = backends
        self._choice = selector
        self._legs = attempts
        self._budget_of = budget_of
        self._log = log
        self._congestion: defaultdict[str, CongestionWindow] = defaultdict(CongestionWindow)
        self._orders: defaultdict[str, ReservationQueue] = defaultdict(ReservationQueue)

    async def run(self, relay: Relay) -> None:
        """Get an answer and hand it to the caller. Raises a failure with its outcome."""
        answer = await self._answer(relay)
        relay.log_fields["status"] = answer.status
        fields = self._backends.dialect.response_fields(answer.fields)
        await relay.exchange.respond_with_fields(answer.status, fields, answer.body)

    async def _answer(self, relay: Relay) -> ServerResponse:
        self._budget_of(relay.service.name).record_first_attempt()
        congestion = self._congestion[relay.service.name]
        await self._wait_turn(relay, congestion)
        congestion.record_sent(await curio.clock())
        try:
            return await self._answer_at_servers(relay)
        finally:
            congestion.record_end()

    async def _answer_at_servers(self, relay: Relay) -> ServerResponse:
        budget: RetryBudget = self._budget_of(relay.service.name)
        failed: ServerResponse | None = None
        while True:
            server, result = await self._attempt(relay)
            if server is not None and isinstance(result, ServerBarred):
                # Nothing was sent; it is not chosen again until it takes requests.
                continue
            if isinstance(result, ConnectFailed):
                if relay.record_unreachable():
                    continue
                result = self._no_server(relay)
            if server is not None and self._again(relay, result) and budget.try_retry():
                failed = result if isinstance(result, ServerResponse) else failed
                continue
            if isinstance(result, ServerResponse):
                return result
            if failed is not None:
                return failed
            raise result

    async def _attempt(
        self, relay: Relay
    ) -> tuple[Server | None, ServerResponse | CrankhingeError]:
        """Send a request to a server; returns which, None where none takes it, and what came."""
        try:
            server = await self._choose(relay)
        except ServerBarred as exc:
            return None, exc
        if server is None:
            return None, self._no_server(relay)
        return server, await self._try(relay, server)

    async def _wait_turn(self, relay: Relay, congestion: CongestionWindow) -> None:
        """Wait while the service's answers take too long for more to be sent.

        Raises:
            Overloaded: it did not recover in time.
            ServersRest: its servers want nothing for longer.
        """
        name = relay.service.name
        order = self._orders[name]
        began = now = await curio.clock()
        need = self._need(relay, now)
        patience_s = _patience_s(need)
        number = order.add(need, now)
        try:
            while order.requests_ahead(number, now) or not congestion.may_send(
                now, late=need.is_late(now - began)
            ):
                spare_s = patience_s - (now - began)
                # No turn helps it where all rest for longer; then this raises.
                self._choice.backoff_end(relay, now, avoid=relay.tried_servers, max_wait_s=spare_s)
                if now - began > patience_s:
                    self._not_sent(relay, now - began)
                    raise Overloaded(f"{name} is overloaded", retry_after_s=self._back(name, now))
                await curio.sleep(CONGESTION_POLL_S)
                now = await curio.clock()
        finally:
            order.remove(number)
        if now > began:
            relay.log_fields["waited_ms"] = round((now - began) * 1000)

    def _need(self, relay: Relay, now: float) -> ReservationRequest:
        """Return what a request needs that begins to wait."""
        alone_s = self._congestion[relay.service.name].unloaded_response_s
        target_s = relay.route.target_s
        if target_s <= alone_s:
            # No target, or one that nothing can meet: then no call is late.
            target_s = float("inf")
        return ReservationRequest(
            tokens=1,
            target_s=target_s,
            remaining_s=relay.deadline - now,
            is_retry=relay.is_retry,
            service_s=SERVICE_TIME_FACTOR * alone_s,
            first_event_s=alone_s,
        )

    def _back(self, service: str, now: float) -> float:
        """Return when to come back, in seconds, spread for those that are refused together."""
        return self._congestion[service].retry_after_s(now) * self._backends.rng.uniform(
            *RETRY_AFTER_JITTER
        )

    def _not_sent(self, relay: Relay, waited_s: float) -> None:
        self._log.info(
            "not_sent",
            request=relay.request.request_id,
            service=relay.service.name,
            waited_ms=round(waited_s * 1000),
            returned=relay.is_retry,
            waiting=len(self._orders[relay.service.name]),
            alone_ms=round(self._congestion[relay.service.name].unloaded_response_s * 1000),
        )

    async def _choose(self, relay: Relay) -> Server | None:
        phase = EngineRole.DECODE if relay.service.engine else None
        if await relay.remaining_s() <= 0:
            raise DeadlinePassed("no time is left") if relay.may_have_run else Overloaded("late")
        server = await self._choice.select(relay, avoid=relay.tried_servers, role=phase)
        if server is not None:
            return server
        spare_s = await self._spare_s(relay)
        return await self._choice.wait_for_server(
            relay, avoid=relay.tried_servers, max_wait_s=spare_s, role=phase
        )

    async def _spare_s(self, relay: Relay) -> float:
        """Return for how long a request may wait for a server that takes no more now."""
        if relay.sent_to:
            # It has failed once and is late; what it waits for others may yet get in time.
            return 0.0
        # Whoever came back when it was told waits as long as a first try, by arrival.
        now: float = await curio.clock()
        alone_s = self._congestion[relay.service.name].unloaded_response_s
        return relay.route.target_s - alone_s - (now - relay.started_at)

    def _no_server(self, relay: Relay) -> CrankhingeError:
        if relay.may_have_run:
            return BackendFailed("no other server is there")
        return NoBackend(f"{relay.service.name}: no server", retry_after_s=RETRY_AFTER_S)

    def _again(self, relay: Relay, result: ServerResponse | CrankhingeError) -> bool:
        """Whether the request may be sent to one more server after *result*."""
        if isinstance(result, ServerResponse):
            return result.status >= 500 and relay.route.repeatable and relay.may_try_another
        return relay.may_try_another and relay.may_retry and not isinstance(result, NoBackend)

    async def _try(self, relay: Relay, server: Server) -> ServerResponse | CrankhingeError:
        """Return an answer, or the failure to report if this was the last try."""
        left = await relay.remaining_s()
        patience = left
        if relay.route.repeatable and len(relay.sent_to) + 1 < relay.route.max_servers:
            patience = left * FIRST_ATTEMPT_TIME_SHARE
        relay.sent_to.append(server.incarnation_id)
        relay.log_fields["server"] = server.incarnation_id
        standing = self._backends.stats(server.incarnation_id)
        relay.log_fields.update(
            open_there=standing.open_requests,
            usual_ms=round(standing.mean_response_s * 1000),
            failing=round(standing.failure_share, 2),
        )
        began = await curio.clock()
        try:
            result: ServerResponse | CrankhingeError = await curio.timeout_after(
                patience, self._leg, relay, server, left
            )
        except ConnectFailed as exc:
            self._note(relay, server, "unreached", exc.detail)
            return exc
        except ServerBarred as exc:
            relay.sent_to.pop()
            return exc
        except (HttpClosed, BadHttp) as exc:
            relay.may_have_run = True
            self._note(relay, server, "broken", exc.detail)
            return BackendFailed(exc.detail)
        except curio.TaskTimeout:
            relay.may_have_run = True
            standing.record_failure(await curio.clock())
            self._note(relay, server, "silent", f"nothing in {patience:.3f} s")
            return DeadlinePassed(f"no answer in {patience:.3f} s")
        if isinstance(result, ServerResponse):
            relay.may_have_run = True
            took = await curio.clock() - began
            standing.record_success(took)
            self._congestion[relay.service.name].record_response(
                took, relay.route.target_s, began + took
            )
            if result.status >= 500:
                standing.record_failure(began + took)
        return result

    def _note(self, relay: Relay, server: Server, outcome: str, why: str) -> None:
        self._log.info(
            "leg_failed",
            request=relay.request.request_id,
            server=server.incarnation_id,
            outcome=outcome,
            why=why,
            tried=len(relay.sent_to),
        )

    async def _leg(
        self, relay: Relay, server: Server, within_s: float
    ) -> ServerResponse | CrankhingeError:
        leg = AttemptParams(server.name, within_s)
        async with self._legs.open(relay, server, leg) as stream:
            body = await stream.read_all()
            word = self._backends.dialect.parse_signals(stream.status, stream.headers)
            if not word.not_run:
                return ServerResponse(stream.status, stream.fields, body)
            now = await curio.clock()
            if word.backoff_s is None:
                # Otherwise it speaks for itself, and the others need not be sent less.
                self._congestion[relay.service.name].record_refusal(now)
            # Whoever refuses at once looks least busy, and would get most of the next requests.
            self._backends.stats(server.incarnation_id).record_refusal(now)
            said_s = word.retry_after_s
            self._note(relay, server, "refused", f"status {stream.status}, back in {said_s} s")
            # What it said holds for itself: others may take the request sooner.
            ends = self._choice.backoff_end(relay, now, avoid=frozenset(), max_wait_s=float("inf"))
            after_s = ends - now if ends is not None else self._back(relay.service.name, now)
            return Overloaded(f"{server.incarnation_id} refused", retry_after_s=after_s)


def _patience_s(need: ReservationRequest) -> float:
    """Return how long a plain call waits, in seconds; a first try only while it may be in time."""
    return need.max_wait_s if need.is_retry else min(need.max_in_time_wait_s, need.max_wait_s)
