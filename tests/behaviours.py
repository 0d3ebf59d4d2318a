"""What servers of the tests do with a request, where that is not the usual."""

from __future__ import annotations

from dataclasses import dataclass

import curio

from crankhinge.errors import HttpClosed
from crankhinge.http import Exchange
from platform_fakes import Behave, FakeReplica, events, sealed

REST_S = 3.0
# A rest binds from half a second after the refusal that asks for it.
HEARD_S = 0.5


@dataclass
class Resting:
    """A server's behaviour: it refuses all requests for a while and asks for rest each time.

    Attributes:
        rest_s: seconds that it asks for.
        after_s: seconds that it takes to refuse.
        status: of its refusals.
        fields: header fields of its refusals besides.
        over_at: when it begins to serve, on the runtime's clock.
        serve: what it does then.
        told: when it refused, and until when it had asked for rest by that.
    """

    rest_s: float = REST_S
    after_s: float = 0.0
    status: int = 503
    fields: tuple[tuple[str, str], ...] = (("x-not-executed", "1"),)
    over_at: float = float("inf")
    serve: Behave = sealed

    def __post_init__(self) -> None:
        self.told: list[tuple[float, float]] = []

    async def __call__(self, replica: FakeReplica, exchange: Exchange) -> None:
        """Refuse a request, or run it."""
        if await curio.clock() >= self.over_at:
            await self.serve(replica, exchange)
            return
        rest_s = self.rest_s
        await curio.sleep(self.after_s)
        now = await curio.clock()
        self.told.append((now, now + rest_s))
        ident = exchange.req.headers["x-request-id"]
        told = [("x-request-id", ident), ("retry-after", f"{rest_s:g}"), *self.fields]
        await exchange.respond_with_fields(self.status, told, b"")

    def most_in_rest(self, replica: FakeReplica) -> int:
        """Return the most requests that reached the server within one rest."""
        times = [arrival.at for arrival in replica.arrivals]
        return max(
            (sum(at + HEARD_S < each < until for each in times) for at, until in self.told),
            default=0,
        )


async def slowly(replica: FakeReplica, exchange: Exchange) -> None:
    """Run the request for a while, so that the next ones go to other servers."""
    await curio.sleep(0.2)
    await sealed(replica, exchange)


async def fail(replica: FakeReplica, exchange: Exchange) -> None:
    """Run the request and answer that it failed."""
    await exchange.respond_with_fields(500, replica.head(exchange), b"failed")


async def break_off(replica: FakeReplica, exchange: Exchange) -> None:
    """Answer with two events and close the connection."""
    await exchange.start_with_fields(200, replica.head(exchange))
    await exchange.write(events(1, 2))
    raise HttpClosed("broken off")
