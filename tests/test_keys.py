"""Tests of client accounts and their keys, between callers, a store and replicas."""

from __future__ import annotations

from typing import Any

import curio

from crankhinge_standins.operator import account
from platform_fakes import World, config, route, stream
from virtual_time import run_virtual

ONCE = route("r-once", "/once/", "unsafe", "plain")
STREAM = route("r-stream", "/stream/", "streaming", "llm", max_attempts=2, resumable=True)
OPEN = route("r-open", "/open/", "safe", "plain", anonymous=True)
ALL = (ONCE, STREAM, OPEN)
RED, BLUE = account("red", "key-red", "key-red-2"), account("blue", "key-blue")
TOKENS = {"x_token_count": "100,50", "length_hint": "40"}
REVOKE_S = 5.0
FAIL_CLOSED = {"revoke_s": REVOKE_S, "contact_s": 4.0}


def bearer(key: str) -> dict[str, str]:
    """Return the header field that carries a key."""
    return {"authorization": f"Bearer {key}"}


def play(world: World, story: Any, *routes: dict[str, Any]) -> None:
    """Run *story* under a clock that jumps."""
    run_virtual(world.play, story, *(routes or ALL), settle_s=0.003)


def keyed_world(**settings: Any) -> World:
    """Return a world whose callers need keys."""
    return World(tenants=(RED, BLUE), **settings)


class TestKeys:
    """Who asks.

    Users saw the keys of their callers arrive at backend servers, which could have used them, and
    no backend server knew for whom it worked.
    """

    def test_a_server_gets_the_accounts_name_and_never_the_key(self) -> None:
        """Whatever the caller says of its account, on every call for the request."""
        world = keyed_world()
        plain = world.add("i-p", "plain")
        reader = world.add("i-r", "llm", "prefill")
        writer = world.add("i-w", "llm", "decode", behave=stream)

        async def story() -> None:
            await world.call("a", "/once/a", x_tenant="blue", **bearer("key-red"))
            await world.call("b", "/stream/a", **TOKENS, **bearer("key-blue"))
            arrivals = [*plain.arrivals, *reader.arrivals, *writer.arrivals]
            assert [arrival.ident for arrival in arrivals] == ["a", "b", "b"]
            for arrival in arrivals:
                assert "key-" not in str(arrival.headers)
            names = [arrival.headers["x-tenant"] for arrival in arrivals]
            assert names == ["red", "blue", "blue"]

        play(world, story)

    def test_a_key_that_nobody_holds_is_refused(self) -> None:
        """With 401, as is a request without one; the key is in no log line."""
        world = keyed_world()
        plain = world.add("i-p", "plain")

        async def story() -> None:
            assert (await world.call("a", "/once/a", **bearer("key-green")))[0] == 401
            assert (await world.call("b", "/once/a"))[0] == 401
            assert (await world.call("c", "/once/a", authorization="Basic key-red"))[0] == 401
            assert plain.arrivals == []
            assert world.lines.having("code=bad-credentials")
            assert not world.lines.having("key-")

        play(world, story)

    def test_a_route_without_need_of_a_key_goes_on_without(self) -> None:
        """No account is named then, whatever the caller says."""
        world = keyed_world()
        plain = world.add("i-p", "plain")

        async def story() -> None:
            assert (await world.call("a", "/open/a", x_tenant="red"))[0] == 200
            assert "x-tenant" not in plain.arrivals[0].headers

        play(world, story)

    def test_without_accounts_a_field_of_that_name_is_the_callers_own(self) -> None:
        """Credentials are between caller and server then."""
        world = World()
        plain = world.add("i-p", "plain")

        async def story() -> None:
            assert (await world.call("a", "/once/a", **bearer("key-red")))[0] == 200
            assert plain.arrivals[0].headers["authorization"] == "Bearer key-red"

        play(world, story)

    def test_a_key_works_as_soon_as_a_configuration_has_it_and_no_longer(self) -> None:
        """Keys come and go with versions."""
        world = keyed_world()
        world.add("i-p", "plain")

        async def story() -> None:
            assert (await world.call("a", "/once/a", **bearer("key-new")))[0] == 401
            later = config(2, *ALL, tenants=(account("red", "key-new"), BLUE))
            await world.store.put("op/config", later)
            await curio.sleep(0.5)
            assert (await world.call("b", "/once/a", **bearer("key-new")))[0] == 200
            assert (await world.call("c", "/once/a", **bearer("key-red")))[0] == 401

        play(world, story)


class TestTakenAway:
    """Keys that are taken away while an instance can't hear of it.

    Operators took a key away; instances that the store turned away, or that were cut off from it,
    ran requests with that key for as long as the trouble lasted.
    """

    def test_runs_nothing_later_than_the_bound(self) -> None:
        """The last is run within the bound after the store fell silent; then "not run"."""
        world = keyed_world(**FAIL_CLOSED)
        plain = world.add("i-p", "plain")

        async def story() -> None:
            began = await curio.clock()
            world.store.down = True
            await world.store.put("op/config", config(2, *ALL, tenants=(BLUE,)))
            statuses = set()
            while await curio.clock() < began + 2 * REVOKE_S:
                status, headers, _ = await world.call("a", "/once/a", **bearer("key-red"))
                statuses.add(status)
                assert status == 200 or float(headers["retry-after"]) > 0
                await curio.sleep(0.1)
            assert statuses == {200, 503}
            assert max(arrival.at for arrival in plain.arrivals) <= began + REVOKE_S
            assert world.lines.having("code=config-too-old", "age_s=")

        play(world, story)

    def test_tells_the_balancer_and_serves_again_when_the_store_is_back(self) -> None:
        """A route without need of a key is served all the time."""
        world = keyed_world(**FAIL_CLOSED)
        world.add("i-p", "plain")

        async def story() -> None:
            world.store.down = True
            await curio.sleep(REVOKE_S + 0.1)
            assert await world.readiness() == 503
            assert (await world.call("a", "/open/a"))[0] == 200
            assert (await world.call("b", "/once/a", **bearer("key-red")))[0] == 503
            world.store.down = False
            await curio.sleep(1.0)
            assert await world.readiness() == 200
            assert (await world.call("c", "/once/a", **bearer("key-red")))[0] == 200

        play(world, story)

    def test_a_quiet_store_is_no_trouble(self) -> None:
        """With no change for a minute and with changes every two seconds a key works."""
        world = keyed_world(**FAIL_CLOSED)
        world.add("i-p", "plain")

        async def story() -> None:
            for number in range(240):
                assert (await world.call("a", "/once/a", **bearer("key-red")))[0] == 200
                await curio.sleep(0.25)
                if number > 120 and number % 11 == 0:
                    later = config(number, *ALL, tenants=(RED, BLUE))
                    await world.store.put("op/config", later)

        play(world, story)

    def test_a_request_that_waits_is_not_sent_when_its_key_is_gone(self) -> None:
        """It waited for room while its key was taken away."""
        world = keyed_world(**FAIL_CLOSED)
        writer = world.add("i-w", "llm", "decode", behave=stream, room=0)

        async def story() -> None:
            task = await curio.spawn(
                lambda: world.call("a", "/stream/a", **TOKENS, **bearer("key-red"))
            )
            await curio.sleep(0.3)
            await world.store.put("op/config", config(2, *ALL, tenants=(BLUE,)))
            await curio.sleep(0.1)
            writer.room = 10
            status, _, _ = await task.join()
            assert status == 401
            assert writer.arrivals == []

        play(world, story)
