"""Regression tests of requests that end the servers that run them.

What users saw: a request under which three backend servers had ended was sent to servers four times
more, and seven ended in all; sixteen streams of other callers were cut with it.

Order of events: a caller sends a request; the server that runs it ends 0.1 s after it began, its
connection closes and nobody listens at its address any more. The caller comes again, with the same
path and body and a new identity, at whichever instance the balancer chooses, seven times in 15 s.
Each time it is sent to the next server.

Cause: what became of a request was known to its attempt alone. Nothing outlived the attempt, so
the next one began from nothing, on the same instance too.

Evidence: one play of the users' day, in which one instance sent it to five of the seven servers,
each attempt once (``sent=1``); reservations at these servers met "connection refused".
"""

from __future__ import annotations

import curio

from crankhinge.http import Exchange
from platform_fakes import FakeReplica, World, crash, route, sealed
from virtual_time import run_virtual

ONCE = route("r-once", "/once/", "unsafe", "plain")
CRASHING = b"crashing"
# Servers that may end under one request.
MOST_ENDED = 3
# Seconds after which instances know each other, and of which a server is back.
SETTLED_S = 8.0
BACK_S = 2.0


async def crash_by_body(replica: FakeReplica, exchange: Exchange) -> None:
    """End the process that runs a certain request; answer all others."""
    behave = crash if exchange.req.body == CRASHING else sealed
    await behave(replica, exchange)


class TestCrashingRequest:
    """A request ends each server that begins to run it, and its caller comes again."""

    def test_reaches_no_server_after_the_third(self) -> None:
        """Whichever of two instances it comes to, it is refused at once as not run."""
        world = World()
        gateways = [world, world.beside("other")]
        replicas = [
            world.add(f"i-{number}", "plain", behave=crash_by_body, back_s=BACK_S)
            for number in range(6)
        ]
        statuses: list[int] = []

        async def story() -> None:
            await curio.sleep(SETTLED_S)
            for number in range(8):
                gateway = gateways[number % 2]
                status, _, _ = await gateway.call(f"q{number}", "/once/a", body=CRASHING)
                statuses.append(status)
                await curio.sleep(1.0)

        run_virtual(world.play, story, ONCE, settle_s=0.003)
        assert sum(len(replica.ran) for replica in replicas) == MOST_ENDED
        assert statuses == [502] * MOST_ENDED + [503] * 5
