"""Sends requests to backend servers and tells what became of them."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import curio

from crankhinge.adapters import AttemptParams
from crankhinge.decisions import Server
from crankhinge.errors import BadHttp, CallerGone, HttpClosed, ServerBarred
from crankhinge.gateway._authenticator import Authenticator
from crankhinge.gateway._backends import Backends
from crankhinge.gateway._crashes import CrashDetector
from crankhinge.gateway._permits import Permits
from crankhinge.gateway._quarantine import QuarantineService
from crankhinge.gateway._request import Relay
from crankhinge.http import ClientStream, ConnectFailed

# Answers below this status are of requests that servers ran well.
SUCCESS_STATUS_END = 300


class Attempts:
    """Opens requests at servers; used by every kind of request.

    Args:
        backends: the servers.
        authenticator: looks once more whether a request may run, before anything is sent.
        quarantine: the same, for requests under which servers crashed. Every way to a server goes
            through here: first tries, repeats, resumed streams, prompts read apart.
        crashes: is told of each connection that ends in the middle of a request.
        permits: looks whether a server takes one more request.
    """

    def __init__(
        self,
        backends: Backends,
        authenticator: Authenticator,
        quarantine: QuarantineService,
        crashes: CrashDetector,
        permits: Permits,
    ) -> None:
        self._backends = backends
        self._authenticator = authenticator
        self._quarantine = quarantine
        self._crashes = crashes
        self._permits = permits

    @asynccontextmanager
    async def open(
        self, relay: Relay, server: Server, params: AttemptParams
    ) -> AsyncIterator[ClientStream]:
        """Send the request and give its answer, head read; the connection is closed or kept.

        Raises:
            BadCredentials: its key was taken away meanwhile.
            ConfigTooOld: nobody can tell any more whether its key was.
            Quarantined: servers crashed meanwhile that ran it.
            ServerBarred: nothing was sent, since the server takes nothing now.
            ConnectFailed: nothing was sent to that server; where another one has its address, that
                one did not run it.
            HttpClosed: it may have run.
            BadHttp: it may have run; what came back is no answer.
        """
        dialect = self._backends.dialect
        standing = self._backends.stats(server.incarnation_id)
        req = relay.exchange.req
        began = await curio.clock()
        self._authenticator.recheck(relay, began)
        work = relay.work_key(prompt_only=params.prompt_only)
        await self._quarantine.admit(relay, work, began)
        # Its place may have been taken seconds ago, while its prompt was read elsewhere.
        bar = self._backends.exclusion_reason(server, began)
        if bar is not None:
            raise ServerBarred(f"{server.incarnation_id}: {bar.value}")
        # Last, since it is used: a permit of a request that is not sent is lost to others.
        permit = await self._permits.use_permit(relay, server)
        relay.log_fields.update(
            self._backends.exclusions.violation_log_fields(server.incarnation_id, began)
        )
        standing.breaker.record_sent(began)
        standing.open_requests += 1
        stream: ClientStream | None = None
        whole = False
        try:
            stream = await self._backends.client(server).open_with_fields(
                req.method,
                req.target,
                fields=dialect.attempt_fields(req, params, relay.account_name),
                body=req.body,
                is_own_response=_owner_is(dialect, relay.request.request_id),
            )
            word = dialect.parse_signals(stream.status, stream.headers)
            if word.wrong_server:
                self._backends.record_replaced(server)
                raise ConnectFailed(f"another server answers for {server.incarnation_id}")
            ran = not word.not_run and stream.status < SUCCESS_STATUS_END
            await self._backends.notify_listeners(server, word, sent_at=began, succeeded=ran)
            yield stream
            whole = True
        except CallerGone:
            raise
        except (HttpClosed, BadHttp) as exc:
            standing.record_failure(await curio.clock())
            if isinstance(exc, ConnectFailed) and permit is not None:
                relay.permits[server.incarnation_id] = permit
            if isinstance(exc, HttpClosed) and not isinstance(exc, ConnectFailed):
                # A trial that was cut is over, whatever the server is found to be.
                relay.trial_work = ""
                await self._crashes.on_connection_ended(server, work)
            raise
        finally:
            standing.open_requests -= 1
            if stream is not None:
                await (stream.close() if whole else stream.abort())


def _owner_is(dialect: Any, ident: str) -> Any:
    """Return the check whether an answer belongs to the request *ident*."""
    return lambda headers: dialect.response_request_id(headers) in ("", ident)
