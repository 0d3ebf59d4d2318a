"""Request handlers of fake replicas other than the default one."""

from __future__ import annotations

from dataclasses import dataclass

import curio

from crankhinge.errors import HttpClosed
from crankhinge.http import Exchange
from platform_fakes import FakeReplica, RequestHandler, make_events, respond_ok

BACKOFF_S = 3.0
# Seconds from a refusal that asks for backoff until the backoff must be in effect.
BACKOFF_EFFECT_S = 0.5


@dataclass
class BackoffHandler:
    """Request handler that refuses all requests for a while and asks for backoff each time.

    Attributes:
        backoff_s: seconds of backoff that each refusal asks for.
        refusal_delay_s: seconds that each refusal takes.
        status: status of the refusals.
        fields: further header fields of the refusals.
        serve_from: time from which requests are served, on the runtime's clock.
        serve: handler of requests from then on.
        refusals: the time of each refusal and the end of the backoff that it asked for.
    """

    backoff_s: float = BACKOFF_S
    refusal_delay_s: float = 0.0
    status: int = 503
    fields: tuple[tuple[str, str], ...] = (("x-not-executed", "1"),)
    serve_from: float = float("inf")
    serve: RequestHandler = respond_ok

    def __post_init__(self) -> None:
        self.refusals: list[tuple[float, float]] = []

    async def __call__(self, replica: FakeReplica, exchange: Exchange) -> None:
        """Refuse the request, or serve it if the time of refusals is over."""
        if await curio.clock() >= self.serve_from:
            await self.serve(replica, exchange)
            return
        rest_s = self.backoff_s
        await curio.sleep(self.refusal_delay_s)
        now = await curio.clock()
        self.refusals.append((now, now + rest_s))
        request_id = exchange.req.headers["x-request-id"]
        fields = [("x-request-id", request_id), ("retry-after", f"{rest_s:g}"), *self.fields]
        await exchange.respond_with_fields(self.status, fields, b"")

    def max_arrivals_in_backoff(self, replica: FakeReplica) -> int:
        """Return the largest number of requests that the server received within one backoff."""
        times = [arrival.arrived_at for arrival in replica.arrivals]
        return max(
            (
                sum(at + BACKOFF_EFFECT_S < time < until for time in times)
                for at, until in self.refusals
            ),
            default=0,
        )


async def respond_slowly(replica: FakeReplica, exchange: Exchange) -> None:
    """Take a while to run the request, so that the next requests go to other servers."""
    await curio.sleep(0.2)
    await respond_ok(replica, exchange)


async def respond_error(replica: FakeReplica, exchange: Exchange) -> None:
    """Run the request and respond with 500."""
    await exchange.respond_with_fields(500, replica.response_fields(exchange), b"failed")


async def break_stream(replica: FakeReplica, exchange: Exchange) -> None:
    """Respond with two events, then close the connection."""
    await exchange.start_with_fields(200, replica.response_fields(exchange))
    await exchange.write(make_events(1, 2))
    raise HttpClosed("broken off")
