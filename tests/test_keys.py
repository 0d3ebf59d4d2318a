"""Tests of client accounts and their keys, between callers, a store and replicas."""

from __future__ import annotations

from typing import Any

import curio

from crankhinge_standins.operator import account
from platform_fakes import GatewayHarness, make_config, respond_stream, route
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


def play(harness: GatewayHarness, story: Any, *routes: dict[str, Any]) -> None:
    """Run *story* under a clock that jumps."""
    run_virtual(harness.run, story, *(routes or ALL), settle_s=0.003)


def keyed_harness(**settings: Any) -> GatewayHarness:
    """Return a harness whose callers need keys."""
    return GatewayHarness(tenants=(RED, BLUE), **settings)


class TestKeys:
    """Who asks.

    Users saw the keys of their callers arrive at backend servers, which could have used them, and
    no backend server knew for whom it worked.
    """

    def test_a_server_gets_the_accounts_name_and_never_the_key(self) -> None:
        """Whatever the caller says of its account, on every call for the request."""
        harness = keyed_harness()
        plain = harness.add_replica("i-p", "plain")
        reader = harness.add_replica("i-r", "llm", "prefill")
        writer = harness.add_replica("i-w", "llm", "decode", handler=respond_stream)

        async def story() -> None:
            await harness.call("a", "/once/a", x_tenant="blue", **bearer("key-red"))
            await harness.call("b", "/stream/a", **TOKENS, **bearer("key-blue"))
            arrivals = [*plain.arrivals, *reader.arrivals, *writer.arrivals]
            assert [arrival.request_id for arrival in arrivals] == ["a", "b", "b"]
            for arrival in arrivals:
                assert "key-" not in str(arrival.headers)
            names = [arrival.headers["x-tenant"] for arrival in arrivals]
            assert names == ["red", "blue", "blue"]

        play(harness, story)

    def test_a_key_that_nobody_holds_is_refused(self) -> None:
        """With 401, as is a request without one; the key is in no log line."""
        harness = keyed_harness()
        plain = harness.add_replica("i-p", "plain")

        async def story() -> None:
            assert (await harness.call("a", "/once/a", **bearer("key-green")))[0] == 401
            assert (await harness.call("b", "/once/a"))[0] == 401
            assert (await harness.call("c", "/once/a", authorization="Basic key-red"))[0] == 401
            assert plain.arrivals == []
            assert harness.logs.matching("code=bad-credentials")
            assert not harness.logs.matching("key-")

        play(harness, story)

    def test_a_route_without_need_of_a_key_goes_on_without(self) -> None:
        """No account is named then, whatever the caller says."""
        harness = keyed_harness()
        plain = harness.add_replica("i-p", "plain")

        async def story() -> None:
            assert (await harness.call("a", "/open/a", x_tenant="red"))[0] == 200
            assert "x-tenant" not in plain.arrivals[0].headers

        play(harness, story)

    def test_without_accounts_a_field_of_that_name_is_the_callers_own(self) -> None:
        """Credentials are between caller and server then."""
        harness = GatewayHarness()
        plain = harness.add_replica("i-p", "plain")

        async def story() -> None:
            assert (await harness.call("a", "/once/a", **bearer("key-red")))[0] == 200
            assert plain.arrivals[0].headers["authorization"] == "Bearer key-red"

        play(harness, story)

    def test_a_key_works_as_soon_as_a_configuration_has_it_and_no_longer(self) -> None:
        """Keys come and go with versions."""
        harness = keyed_harness()
        harness.add_replica("i-p", "plain")

        async def story() -> None:
            assert (await harness.call("a", "/once/a", **bearer("key-new")))[0] == 401
            later = make_config(2, *ALL, tenants=(account("red", "key-new"), BLUE))
            await harness.store.put("op/config", later)
            await curio.sleep(0.5)
            assert (await harness.call("b", "/once/a", **bearer("key-new")))[0] == 200
            assert (await harness.call("c", "/once/a", **bearer("key-red")))[0] == 401

        play(harness, story)


class TestTakenAway:
    """Keys that are taken away while an instance can't hear of it.

    Operators took a key away; instances that the store turned away, or that were cut off from it,
    ran requests with that key for as long as the trouble lasted.
    """

    def test_runs_nothing_later_than_the_bound(self) -> None:
        """The last is run within the bound after the store fell silent; then "not run"."""
        harness = keyed_harness(**FAIL_CLOSED)
        plain = harness.add_replica("i-p", "plain")

        async def story() -> None:
            began = await curio.clock()
            harness.store.down = True
            await harness.store.put("op/config", make_config(2, *ALL, tenants=(BLUE,)))
            statuses = set()
            while await curio.clock() < began + 2 * REVOKE_S:
                status, headers, _ = await harness.call("a", "/once/a", **bearer("key-red"))
                statuses.add(status)
                assert status == 200 or float(headers["retry-after"]) > 0
                await curio.sleep(0.1)
            assert statuses == {200, 503}
            assert max(arrival.arrived_at for arrival in plain.arrivals) <= began + REVOKE_S
            assert harness.logs.matching("code=config-too-old", "age_s=")

        play(harness, story)

    def test_tells_the_balancer_and_serves_again_when_the_store_is_back(self) -> None:
        """A route without need of a key is served all the time."""
        harness = keyed_harness(**FAIL_CLOSED)
        harness.add_replica("i-p", "plain")

        async def story() -> None:
            harness.store.down = True
            await curio.sleep(REVOKE_S + 0.1)
            assert await harness.get_readiness() == 503
            assert (await harness.call("a", "/open/a"))[0] == 200
            assert (await harness.call("b", "/once/a", **bearer("key-red")))[0] == 503
            harness.store.down = False
            await curio.sleep(1.0)
            assert await harness.get_readiness() == 200
            assert (await harness.call("c", "/once/a", **bearer("key-red")))[0] == 200

        play(harness, story)

    def test_a_quiet_store_is_no_trouble(self) -> None:
        """With no change for a minute and with changes every two seconds a key works."""
        harness = keyed_harness(**FAIL_CLOSED)
        harness.add_replica("i-p", "plain")

        async def story() -> None:
            for number in range(240):
                assert (await harness.call("a", "/once/a", **bearer("key-red")))[0] == 200
                await curio.sleep(0.25)
                if number > 120 and number % 11 == 0:
                    later = make_config(number, *ALL, tenants=(RED, BLUE))
                    await harness.store.put("op/config", later)

        play(harness, story)

    def test_a_request_that_waits_is_not_sent_when_its_key_is_gone(self) -> None:
        """It waited for room while its key was taken away."""
        harness = keyed_harness(**FAIL_CLOSED)
        writer = harness.add_replica(
            "i-w", "llm", "decode", handler=respond_stream, free_reservations=0
        )

        async def story() -> None:
            task = await curio.spawn(
                lambda: harness.call("a", "/stream/a", **TOKENS, **bearer("key-red"))
            )
            await curio.sleep(0.3)
            await harness.store.put("op/config", make_config(2, *ALL, tenants=(BLUE,)))
            await curio.sleep(0.1)
            writer.free_reservations = 10
            status, _, _ = await task.join()
            assert status == 401
            assert writer.arrivals == []

        play(harness, story)
