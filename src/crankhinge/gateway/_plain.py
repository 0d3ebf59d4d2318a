"""Runs requests whose answer is a single response.

The response is read completely before the caller gets any of it. Only a response that exceeds what
the instance may buffer is passed on while it is read.
"""

from __future__ import annotations

from collections import defaultdict
from contextlib import AsyncExitStack
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
    CallerGone,
    CrankhingeError,
    DeadlinePassed,
    HttpClosed,
    NoBackend,
    Overloaded,
    ServerBarred,
    UnstatedStatus,
)
from crankhinge.gateway._attempts import Attempts, ServerReplaced
from crankhinge.gateway._backends import Backends
from crankhinge.gateway._request import Relay
from crankhinge.gateway._server_selector import ServerSelector
from crankhinge.http import PIECE_BYTES, ClientStream, ConnectFailed, HttpSilent

# Seconds after which a caller should retry if no server is available. Within this time a busy
# service completes some of the requests in its queue.
NO_SERVER_RETRY_S = 0.25
# A request that may be repeated is sent to another server if the first one has not responded within
# this share of the time until the deadline.
ATTEMPT_TIME_SHARE = 0.45
# Seconds between checks of whether a service that responded too late has recovered.
CONGESTION_POLL_S = 0.02
# Jitter factors of predicted retry delays.
RETRY_AFTER_JITTER = (0.8, 1.2)
# A request waits for an overloaded service only as long as the time until its deadline is at least
# this many times the response time of the idle service.
SERVICE_TIME_FACTOR = 3.0
# Share of the bound on all buffers above which no more of a response is held. The rest is for
# request bodies, which cannot be passed on in parts.
HELD_RESPONSE_SHARE = 0.5
# Responses up to this size are held also above that share, so that callers that read nothing do not
# take from others the repeat of a response that its server breaks off. 200 of them take 6.4 MB.
ALWAYS_HELD_BYTES = 32 * 1024


@dataclass(frozen=True)
class ServerResponse:
    """A response of a server.

    Attributes:
        status: its status.
        fields: its header fields.
        body: its complete body; empty if *rest* is not None.
        rest: provides the body if the instance may not buffer it; else None.
        is_sent: whether the caller was sent the response already.
    """

    status: int
    fields: list[tuple[str, str]]
    body: bytes
    rest: ClientStream | None = None
    is_sent: bool = False


class PlainRunner:
    """Runs requests whose answer is a single response.

    Args:
        backends: the backend servers.
        selector: selects a server.
        attempts: sends requests to servers.
        budget_of: returns the retry budget of a service.
        log: log for events.
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
        self._selector = selector
        self._attempts = attempts
        self._budget_of = budget_of
        self._log = log
        self._congestion: defaultdict[str, CongestionWindow] = defaultdict(CongestionWindow)
        self._queues: defaultdict[str, ReservationQueue] = defaultdict(ReservationQueue)

    async def run(self, relay: Relay) -> None:
        """Get a response from a server and send it to the caller.

        Raises:
            CrankhingeError: the request failed.
        """
        response = await self._get_response(relay)
        relay.log_fields["status"] = response.status
        if response.is_sent:
            return
        fields = self._backends.dialect.response_fields(response.fields)
        await relay.exchange.respond_with_fields(response.status, fields, response.body)

    async def _get_response(self, relay: Relay) -> ServerResponse:
        self._budget_of(relay.service.name).record_first_attempt()
        congestion = self._congestion[relay.service.name]
        await self._wait_for_congestion(relay, congestion)
        congestion.record_sent(await curio.clock())
        try:
            return await self._get_response_from_servers(relay)
        finally:
            congestion.record_end()

    async def _get_response_from_servers(self, relay: Relay) -> ServerResponse:
        budget: RetryBudget = self._budget_of(relay.service.name)
        failed: ServerResponse | None = None
        while True:
            server, result = await self._attempt(relay)
            if server is not None and isinstance(result, ServerBarred):
                # Nothing was sent. The server is not selected again until it accepts requests.
                continue
            if isinstance(result, ConnectFailed):
                may_continue = relay.record_unreachable()
                if isinstance(result, ServerReplaced):
                    # Another server received and refused the request, so the next one is a retry.
                    may_continue = may_continue and budget.try_retry()
                if may_continue:
                    continue
                result = self._no_server_error(relay)
            if server is not None and self._may_retry(relay, result) and budget.try_retry():
                failed = result if isinstance(result, ServerResponse) else failed
                continue
            if isinstance(result, ServerResponse):
                return result
            if failed is not None:
                return failed
            try:
                raise result
            finally:
                # The traceback refers to this frame, which must not refer to the error in turn.
                del result

    async def _attempt(
        self, relay: Relay
    ) -> tuple[Server | None, ServerResponse | CrankhingeError]:
        """Send the request to one server.

        Returns:
            The server, or None if no server is available, and its response or the error.
        """
        try:
            server = await self._choose_server(relay)
        except ServerBarred as exc:
            return None, exc
        if server is None:
            return None, self._no_server_error(relay)
        return server, await self._attempt_at(relay, server)

    async def _wait_for_congestion(self, relay: Relay, congestion: CongestionWindow) -> None:
        """Wait until the congestion window of the service allows another request.

        Raises:
            Overloaded: the service did not recover in time.
            ServersRest: all servers are in backoff for longer than the request may wait.
        """
        service = relay.service.name
        queue = self._queues[service]
        started_at = now = await curio.clock()
        request = self._queue_request(relay, now)
        max_wait_s = _max_queue_wait_s(request)
        number = queue.add(request, now)
        try:
            while not queue.is_first(number, now) or not congestion.may_send(
                now, late=request.is_late(now - started_at)
            ):
                remaining_wait_s = max_wait_s - (now - started_at)
                # If all servers are in backoff for longer, waiting does not help; then this raises.
                self._selector.backoff_end(
                    relay, now, avoid=relay.tried_servers, max_wait_s=remaining_wait_s
                )
                if now - started_at > max_wait_s:
                    self._log_not_sent(relay, now - started_at)
                    raise Overloaded(
                        f"{service} is overloaded",
                        retry_after_s=self._retry_after_s(service, now),
                    )
                await curio.sleep(CONGESTION_POLL_S)
                now = await curio.clock()
        finally:
            queue.remove(number)
        if now > started_at:
            relay.log_fields["waited_ms"] = round((now - started_at) * 1000)

    def _queue_request(self, relay: Relay, now: float) -> ReservationRequest:
        """Return the times by which the queue orders a request and bounds its wait.

        The queue of reservations is used for its order. No memory is reserved, so the number of
        tokens has no effect.
        """
        unloaded_s = self._congestion[relay.service.name].unloaded_response_s
        target_s = relay.route.target_s
        if target_s <= unloaded_s:
            # The route has no target, or one that cannot be met: then no request counts as late.
            target_s = float("inf")
        return ReservationRequest(
            tokens=1,
            target_s=target_s,
            remaining_s=relay.deadline - now,
            is_retry=relay.is_retry,
            service_s=SERVICE_TIME_FACTOR * unloaded_s,
            first_event_s=unloaded_s,
        )

    def _retry_after_s(self, service: str, now: float) -> float:
        """Return a retry delay in seconds, with jitter so that callers do not retry together."""
        return self._congestion[service].retry_after_s(now) * self._backends.rng.uniform(
            *RETRY_AFTER_JITTER
        )

    def _log_not_sent(self, relay: Relay, waited_s: float) -> None:
        self._log.info(
            "not_sent",
            request=relay.request.request_id,
            service=relay.service.name,
            waited_ms=round(waited_s * 1000),
            returned=relay.is_retry,
            waiting=len(self._queues[relay.service.name]),
            alone_ms=round(self._congestion[relay.service.name].unloaded_response_s * 1000),
        )

    async def _choose_server(self, relay: Relay) -> Server | None:
        role = EngineRole.DECODE if relay.service.engine else None
        if await relay.remaining_s() <= 0:
            raise (
                DeadlinePassed("no time left for another attempt")
                if relay.may_have_run
                else Overloaded("no time left before the request was sent")
            )
        server = await self._selector.select(relay, avoid=relay.tried_servers, role=role)
        if server is not None:
            return server
        remaining_wait_s = await self._max_wait_s(relay)
        return await self._selector.wait_for_server(
            relay, avoid=relay.tried_servers, max_wait_s=remaining_wait_s, role=role
        )

    async def _max_wait_s(self, relay: Relay) -> float:
        """Return the seconds that a request may wait while no server accepts it."""
        if relay.sent_to:
            # The request was sent once already, so it counts as late. Capacity that becomes free
            # should go to requests that may still be in time.
            return 0.0
        # A caller's retry may wait as long as a first attempt, since its caller did wait for the
        # delay that it was given.
        now: float = await curio.clock()
        unloaded_s = self._congestion[relay.service.name].unloaded_response_s
        return relay.route.target_s - unloaded_s - (now - relay.started_at)

    def _no_server_error(self, relay: Relay) -> CrankhingeError:
        if relay.may_have_run:
            return BackendFailed("no other server is available")
        return NoBackend(
            f"{relay.service.name}: no server is available", retry_after_s=NO_SERVER_RETRY_S
        )

    def _may_retry(self, relay: Relay, result: ServerResponse | CrankhingeError) -> bool:
        """Return whether the request may be sent to another server after *result*."""
        if isinstance(result, ServerResponse):
            may_repeat = relay.route.repeatable and not result.is_sent
            return result.status >= 500 and may_repeat and relay.may_try_another
        return relay.may_try_another and relay.may_retry and not isinstance(result, NoBackend)

    async def _attempt_at(self, relay: Relay, server: Server) -> ServerResponse | CrankhingeError:
        """Send the request to a server.

        Returns:
            The response, or the error to report if this was the last attempt.
        """
        remaining_s = await relay.remaining_s()
        timeout_s = remaining_s
        if relay.route.repeatable and len(relay.sent_to) + 1 < relay.route.max_servers:
            timeout_s = remaining_s * ATTEMPT_TIME_SHARE
        relay.sent_to.append(server.incarnation_id)
        relay.log_fields["server"] = server.incarnation_id
        stats = self._backends.stats(server.incarnation_id)
        relay.log_fields.update(
            open_there=stats.open_requests,
            usual_ms=round(stats.mean_response_s * 1000),
            failing=round(stats.failure_share, 2),
        )
        started_at = await curio.clock()
        try:
            async with AsyncExitStack() as stack:
                result: ServerResponse | CrankhingeError = await curio.timeout_after(
                    timeout_s, self._send, relay, server, remaining_s, stack
                )
                if isinstance(result, ServerResponse) and result.rest is not None:
                    await self._record_response(relay, server, result.status, started_at)
                    result = await self._pass_on(relay, result, result.rest)
        except CallerGone:
            raise
        except ConnectFailed as exc:
            self._log_failed_attempt(relay, server, "unreached", exc.detail)
            return exc
        except ServerBarred as exc:
            relay.sent_to.pop()
            return exc
        except (HttpClosed, BadHttp) as exc:
            outcome = "unstated" if isinstance(exc, UnstatedStatus) else "broken"
            self._log_failed_attempt(relay, server, outcome, exc.detail)
            if relay.exchange.response_started:
                raise HttpClosed(f"broken off: {exc.detail}") from exc
            return BackendFailed(exc.detail)
        except curio.TaskTimeout:
            stats.record_failure(await curio.clock())
            self._log_failed_attempt(relay, server, "silent", f"no response in {timeout_s:.3f} s")
            return DeadlinePassed(f"no response in {timeout_s:.3f} s")
        if isinstance(result, ServerResponse) and not result.is_sent:
            await self._record_response(relay, server, result.status, started_at)
        return result

    async def _record_response(
        self, relay: Relay, server: Server, status: int, started_at: float
    ) -> None:
        """Record that a server responded, before the caller's time to read is added."""
        stats = self._backends.stats(server.incarnation_id)
        duration_s = await curio.clock() - started_at
        stats.record_success(duration_s)
        self._congestion[relay.service.name].record_response(
            duration_s, relay.route.target_s, started_at + duration_s
        )
        if status >= 500:
            stats.record_failure(started_at + duration_s)

    def _log_failed_attempt(self, relay: Relay, server: Server, outcome: str, why: str) -> None:
        self._log.info(
            "leg_failed",
            request=relay.request.request_id,
            server=server.incarnation_id,
            outcome=outcome,
            why=why,
            tried=len(relay.sent_to),
        )

    async def _send(
        self, relay: Relay, server: Server, remaining_s: float, stack: AsyncExitStack
    ) -> ServerResponse | CrankhingeError:
        """Send the request and read the response, as far as it may be buffered.

        The connection is closed, or kept for another request, when *stack* is.
        """
        params = AttemptParams(server.name, remaining_s)
        stream = await stack.enter_async_context(self._attempts.open(relay, server, params))
        body = await self._read(relay, stream)
        signals = self._backends.dialect.parse_signals(stream.status, stream.headers)
        if not signals.not_run:
            rest = stream if body is None else None
            return ServerResponse(stream.status, stream.fields, body or b"", rest)
        now = await curio.clock()
        if signals.backoff_s is None:
            # A backoff concerns only this server, so it does not change the congestion window
            # of the whole service.
            self._congestion[relay.service.name].record_refusal(now)
        # Without this record, a server that refuses at once would look least busy and get most
        # of the next requests.
        self._backends.stats(server.incarnation_id).record_refusal(now)
        server_retry_after_s = signals.retry_after_s
        self._log_failed_attempt(
            relay,
            server,
            "refused",
            f"status {stream.status}, retry after {server_retry_after_s} s",
        )
        # The retry delay in the response holds only for this server. Other servers may accept
        # the request sooner.
        end = self._selector.backoff_end(relay, now, avoid=frozenset(), max_wait_s=float("inf"))
        retry_after_s = (
            end - now if end is not None else self._retry_after_s(relay.service.name, now)
        )
        return Overloaded(f"{server.incarnation_id} refused", retry_after_s=retry_after_s)

    async def _read(self, relay: Relay, stream: ClientStream) -> bytes | None:
        """Return the body; None if it exceeds what the instance may buffer."""
        signals = self._backends.dialect.parse_signals(stream.status, stream.headers)
        if signals.not_run:
            return await stream.read_refusal()
        buffers = relay.exchange.buffers
        if buffers is None:
            return await stream.read_all()
        limit_bytes = buffers.max_connection_bytes
        body_bytes = 0
        declared_bytes = _declared_length(stream)

        def accepts(chunk_bytes: int) -> bool:
            nonlocal body_bytes
            body_bytes += chunk_bytes
            if max(body_bytes, declared_bytes) > limit_bytes:
                return False
            if buffers.try_hold(chunk_bytes, share=HELD_RESPONSE_SHARE):
                return True
            if max(body_bytes, declared_bytes) > ALWAYS_HELD_BYTES:
                return False
            buffers.hold(chunk_bytes)
            return True

        return await stream.read_all_while(accepts)

    async def _pass_on(
        self, relay: Relay, response: ServerResponse, rest: ClientStream
    ) -> ServerResponse:
        """Send the caller a response while its body is read from the server.

        Raises:
            CallerGone: the caller disconnected or reads too slowly.
            HttpClosed: the server ended the response, or had not ended it by the deadline.
        """
        exchange = relay.exchange
        fields = self._backends.dialect.response_fields(response.fields)
        declared_bytes = _declared_length(rest)
        if declared_bytes:
            fields = [*fields, ("content-length", str(declared_bytes))]
        await exchange.start_with_fields(response.status, fields)
        rest.limit_pieces(PIECE_BYTES)
        while (remaining_s := await relay.remaining_s()) > 0:
            try:
                chunk = await curio.timeout_after(remaining_s, rest.next_chunk)
            except curio.TaskTimeout as exc:
                raise HttpSilent(f"received nothing for {remaining_s:.3f} s") from exc
            if not chunk:
                await exchange.finish()
                return ServerResponse(response.status, response.fields, b"", is_sent=True)
            await exchange.write(chunk)
        raise HttpClosed("the request's time ended during the response")


def _declared_length(stream: ClientStream) -> int:
    """Return the length of a response's body in bytes; 0 if the response does not state it."""
    length = stream.headers.get("content-length", "")
    return int(length) if length.isascii() and length.isdigit() else 0


def _max_queue_wait_s(request: ReservationRequest) -> float:
    """Return how many seconds a request may wait in the queue.

    A first attempt waits only while its response can still be in time. A caller's retry is late in
    any case and waits for as long as that is worth more to its caller than a refusal.
    """
    return (
        request.max_wait_s
        if request.is_retry
        else min(request.max_in_time_wait_s, request.max_wait_s)
    )
