"""Sends requests to backend servers and records the outcome of each attempt."""

from __future__ import annotations

from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from functools import partial

import curio

from crankhinge.adapters import AttemptParams, Dialect
from crankhinge.decisions import Server
from crankhinge.errors import (
    BadHttp,
    CallerGone,
    HttpClosed,
    ServerBarred,
    ServerReadsSlowly,
    UnstatedStatus,
)
from crankhinge.gateway._authenticator import Authenticator
from crankhinge.gateway._backends import Backends
from crankhinge.gateway._crashes import CrashDetector
from crankhinge.gateway._incarnations import IncarnationChecks
from crankhinge.gateway._permits import Permits
from crankhinge.gateway._quarantine import QuarantineService
from crankhinge.gateway._request import Relay, SentAttempt
from crankhinge.http import ClientStream, ConnectFailed, ResponseMatcher

# A response below this status means that the server executed the request successfully.
SUCCESS_STATUS_END = 300


class ServerReplaced(ConnectFailed):
    """Another server responded at the address of the intended one, and did not run the request.

    Unlike after other failures to connect, a server received the request.
    """

    code = "server-replaced"


class Attempts:
    """Sends requests of every kind to servers.

    All requests to servers pass through here, so that no kind of attempt misses a check: first
    attempts, retries, resumed streams, and prompts that one engine processes for another.

    Args:
        backends: the backend servers.
        authenticator: checks again, before anything is sent, whether the caller's key is valid.
        quarantine: checks again whether the request is in quarantine.
        crashes: notified of each connection that ends in the middle of a request.
        permits: provides permits to send requests to servers that advertise a limit.
        incarnations: checks that connections lead to the listed incarnations of servers.
    """

    def __init__(
        self,
        backends: Backends,
        authenticator: Authenticator,
        quarantine: QuarantineService,
        crashes: CrashDetector,
        permits: Permits,
        incarnations: IncarnationChecks,
    ) -> None:
        self._incarnations = incarnations
        self._backends = backends
        self._authenticator = authenticator
        self._quarantine = quarantine
        self._crashes = crashes
        self._permits = permits

    @asynccontextmanager
    async def open(
        self, relay: Relay, server: Server, params: AttemptParams
    ) -> AsyncIterator[ClientStream]:
        """Send a request to a server and provide the response, whose head has been read.

        If the ``async with`` block raises, the connection is aborted. Otherwise the connection is
        closed, or kept for another request if the response was read completely.

        Raises:
            BadCredentials: the caller's key was revoked meanwhile.
            ConfigTooOld: this instance can no longer tell whether the key is valid.
            Quarantined: servers crashed meanwhile while they ran this request, or others that
                share a part of its prompt.
            ServerBarred: nothing was sent, since the server is excluded, at its limit, has not read
                earlier requests, has another software version than the stream, or has restarted.
            ConnectFailed: nothing was sent to this server.
            ServerReplaced: another server responded at its address and did not execute the request.
            HttpClosed: the connection ended; the request may have been executed.
            BadHttp: the response is malformed; the request may have been executed.
            UnstatedStatus: the response has a status that promises more than the server states; the
                request may have been executed.
        """
        dialect = self._backends.dialect
        stats = self._backends.stats(server.incarnation_id)
        req, request_id = relay.exchange.req, relay.request.request_id
        started_at = await curio.clock()
        self._authenticator.recheck(relay, started_at)
        await self._quarantine.admit(relay, started_at, prompt_only=params.prompt_only)
        # The reservation may be seconds old, since the prompt was processed elsewhere meanwhile.
        reason = self._backends.exclusion_reason(server, started_at)
        if not params.prompt_only and not server.has_version(relay.version):
            raise ServerBarred(f"{server.incarnation_id} does not have version {relay.version}")
        if reason is not None:
            raise ServerBarred(f"{server.incarnation_id}: {reason.value}")
        if self._backends.is_behind(server.incarnation_id):
            raise ServerReadsSlowly(f"{server.incarnation_id} has not read earlier requests")
        # This is the last check, since it uses the permit up: if a later check stopped the request,
        # no other request could use that permit.
        permit = await self._permits.use_permit(relay, server)
        relay.log_fields.update(
            self._backends.exclusions.violation_log_fields(server.incarnation_id, started_at)
        )
        stats.breaker.record_sent(started_at)
        stats.open_requests += 1
        if not params.prompt_only:
            relay.writing_since = None
        stream: ClientStream | None = None
        attempt = SentAttempt(server.incarnation_id, params.prompt_only)
        completed = False
        may_have_arrived = True
        try:
            stream = await self._backends.client(server).open_with_fields(
                req.method,
                req.target,
                fields=dialect.attempt_fields(req, params, relay.account_name),
                body=req.body,
                new_connection=not request_id or relay.was_sent_to(server.incarnation_id),
                is_own_response=_is_response_to(dialect, request_id),
                on_sending=partial(relay.attempts.append, attempt),
                before_sending=(
                    None
                    if params.prompt_only
                    else partial(self._check_incarnation, relay, server, params, attempt)
                ),
            )
            if dialect.response_request_id(stream.headers) != request_id:
                stream.prevent_reuse()
            signals = dialect.parse_signals(stream.status, stream.headers)
            attempt.record_response(stream.status, is_refused=signals.not_run, reused=stream.reused)
            if signals.wrong_server:
                self._backends.record_replaced(server)
                raise ServerReplaced(f"another server responds for {server.incarnation_id}")
            succeeded = not signals.not_run and stream.status < SUCCESS_STATUS_END
            await self._backends.notify_listeners(
                server, signals, sent_at=started_at, succeeded=succeeded
            )
            if signals.unstated and not params.prompt_only:
                # The body is read only to keep the connection.
                await stream.read_refusal()
                completed = True
                raise UnstatedStatus(
                    f"status {stream.status} does not say whether the request was executed"
                )
            yield stream
            completed = True
        except CallerGone:
            raise
        except ServerReadsSlowly:
            # The server fell behind while the connection was established.
            may_have_arrived = False
            stats.record_refusal(await curio.clock())
            if permit is not None:
                relay.permits[server.incarnation_id] = permit
            raise
        except ServerBarred:
            if stream is None:
                may_have_arrived = False
                if permit is not None:
                    relay.permits[server.incarnation_id] = permit
            raise
        except (HttpClosed, BadHttp) as exc:
            if isinstance(exc, HttpClosed):
                self._incarnations.record_broken(server, await curio.clock())
                if stream is not None and not params.prompt_only:
                    await self._incarnations.check_broken(relay, server, attempt.opened_at)
            stats.record_failure(await curio.clock())
            may_have_arrived = not isinstance(exc, ConnectFailed)
            if not may_have_arrived and permit is not None:
                relay.permits[server.incarnation_id] = permit
            if may_have_arrived and isinstance(exc, HttpClosed):
                request = relay.work_keys(prompt_only=params.prompt_only)
                await self._crashes.on_connection_ended(server, request)
            raise
        finally:
            stats.open_requests -= 1
            if may_have_arrived and not completed:
                # A trial is not repeated, whether its server crashed or is silent.
                relay.trial_work = frozenset()
            if stream is not None:
                await (stream.close() if completed else stream.abort())

    async def _check_incarnation(
        self,
        relay: Relay,
        server: Server,
        params: AttemptParams,
        attempt: SentAttempt,
        opened_at: float,
    ) -> None:
        attempt.opened_at = opened_at
        await self._incarnations.check(relay, server, opened_at, has_copy=params.has_copy)


def _is_response_to(dialect: Dialect, request_id: str) -> ResponseMatcher:
    """Return a predicate on responses: whether one belongs to the request *request_id*.

    A server may send a second copy of a response, late. One that names no request is accepted only
    if its connection is new: on a reused one it may be a copy of the response to a side call.
    """

    def is_own(headers: Mapping[str, str], reused: bool) -> bool:
        response_id = dialect.response_request_id(headers)
        return response_id == request_id or (not response_id and not reused)

    return is_own
