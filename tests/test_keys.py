"""Tests of client accounts and their keys, with callers, a store and replicas."""

from __future__ import annotations

from typing import Any

import curio

from crankhinge_standins.operator import account
from platform_fakes import GatewayHarness, make_config, respond_stream, route
from virtual_time import run_virtual

UNSAFE_ROUTE = route("r-once", "/once/", "unsafe", "plain")
RESUMABLE_ROUTE = route("r-stream", "/stream/", "streaming", "llm", max_attempts=2, resumable=True)
ANONYMOUS_ROUTE = route("r-open", "/open/", "safe", "plain", anonymous=True)
ALL_ROUTES = (UNSAFE_ROUTE, RESUMABLE_ROUTE, ANONYMOUS_ROUTE)
RED_ACCOUNT, BLUE_ACCOUNT = account("red", "key-red", "key-red-2"), account("blue", "key-blue")
TOKEN_HEADERS = {"x_token_count": "100,50", "length_hint": "40"}
REVOKE_S = 5.0
REVOCATION_SETTINGS = {"revoke_s": REVOKE_S, "contact_s": 4.0}


def bearer(key: str) -> dict[str, str]:
    """Return the header field by which a caller sends its API key."""
    return {"authorization": f"Bearer {key}"}


def run_scenario(harness: GatewayHarness, scenario: Any, *routes: dict[str, Any]) -> None:
    """Run *scenario* in virtual time, with an instance that serves *routes*, or all."""
    run_virtual(harness.run, scenario, *(routes or ALL_ROUTES), settle_s=0.003)


def keyed_harness(**settings: Any) -> GatewayHarness:
    """Return a harness with two client accounts, in which callers need API keys."""
    return GatewayHarness(tenants=(RED_ACCOUNT, BLUE_ACCOUNT), **settings)


class TestKeys:
    """How callers are identified by their API keys.

    Guards against passing callers' keys on to backend servers, which could have used them, and
    against sending requests without the name of the client account.
    """

    def test_server_gets_the_account_name_and_never_the_key(self) -> None:
        """A caller's own X-Tenant field is replaced on every call made for its request."""
        harness = keyed_harness()
        plain = harness.add_replica("i-p", "plain")
        reader = harness.add_replica("i-r", "llm", "prefill")
        writer = harness.add_replica("i-w", "llm", "decode", handler=respond_stream)

        async def scenario() -> None:
            await harness.call("a", "/once/a", x_tenant="blue", **bearer("key-red"))
            await harness.call("b", "/stream/a", **TOKEN_HEADERS, **bearer("key-blue"))
            arrivals = [*plain.arrivals, *reader.arrivals, *writer.arrivals]
            assert [arrival.request_id for arrival in arrivals] == ["a", "b", "b"]
            for arrival in arrivals:
                assert "key-" not in str(arrival.headers)
            names = [arrival.headers["x-tenant"] for arrival in arrivals]
            assert names == ["red", "blue", "blue"]

        run_scenario(harness, scenario)

    def test_unknown_key_is_refused(self) -> None:
        """The status is 401 for unknown and missing keys, and no log line shows the key."""
        harness = keyed_harness()
        plain = harness.add_replica("i-p", "plain")

        async def scenario() -> None:
            assert (await harness.call("a", "/once/a", **bearer("key-green")))[0] == 401
            assert (await harness.call("b", "/once/a"))[0] == 401
            assert (await harness.call("c", "/once/a", authorization="Basic key-red"))[0] == 401
            assert plain.arrivals == []
            assert harness.logs.matching("code=bad-credentials")
            assert not harness.logs.matching("key-")

        run_scenario(harness, scenario)

    def test_anonymous_route_needs_no_key(self) -> None:
        """A caller's own X-Tenant field is dropped, because nothing proves its account."""
        harness = keyed_harness()
        plain = harness.add_replica("i-p", "plain")

        async def scenario() -> None:
            assert (await harness.call("a", "/open/a", x_tenant="red"))[0] == 200
            assert "x-tenant" not in plain.arrivals[0].headers

        run_scenario(harness, scenario)

    def test_without_accounts_credentials_are_passed_on(self) -> None:
        """If no accounts are configured, the servers check credentials themselves."""
        harness = GatewayHarness()
        plain = harness.add_replica("i-p", "plain")

        async def scenario() -> None:
            assert (await harness.call("a", "/once/a", **bearer("key-red")))[0] == 200
            assert plain.arrivals[0].headers["authorization"] == "Bearer key-red"

        run_scenario(harness, scenario)

    def test_key_is_valid_only_while_the_configuration_has_it(self) -> None:
        """A new version of the configuration adds one key and removes another."""
        harness = keyed_harness()
        harness.add_replica("i-p", "plain")

        async def scenario() -> None:
            assert (await harness.call("a", "/once/a", **bearer("key-new")))[0] == 401
            later = make_config(2, *ALL_ROUTES, tenants=(account("red", "key-new"), BLUE_ACCOUNT))
            await harness.store.put("op/config", later)
            await curio.sleep(0.5)
            assert (await harness.call("b", "/once/a", **bearer("key-new")))[0] == 200
            assert (await harness.call("c", "/once/a", **bearer("key-red")))[0] == 401

        run_scenario(harness, scenario)


class TestRevokedKeys:
    """Keys that operators revoke while an instance cannot reach the store.

    Guards against running requests with a revoked key. Instances that the store refused, or that
    were disconnected from it, ran such requests for as long as the outage lasted.
    """

    def test_no_request_runs_after_the_revocation_bound(self) -> None:
        """An instance that cannot reach the store cannot know whether a key was revoked."""
        harness = keyed_harness(**REVOCATION_SETTINGS)
        plain = harness.add_replica("i-p", "plain")

        async def scenario() -> None:
            began = await curio.clock()
            harness.store.down = True
            await harness.store.put(
                "op/config", make_config(2, *ALL_ROUTES, tenants=(BLUE_ACCOUNT,))
            )
            statuses = set()
            while await curio.clock() < began + 2 * REVOKE_S:
                status, headers, _ = await harness.call("a", "/once/a", **bearer("key-red"))
                statuses.add(status)
                assert status == 200 or float(headers["retry-after"]) > 0
                await curio.sleep(0.1)
            assert statuses == {200, 503}
            assert max(arrival.arrived_at for arrival in plain.arrivals) <= began + REVOKE_S
            assert harness.logs.matching("code=config-too-old", "age_s=")

        run_scenario(harness, scenario)

    def test_instance_is_not_ready_until_the_store_is_back(self) -> None:
        """Anonymous routes are served throughout, because they need no key."""
        harness = keyed_harness(**REVOCATION_SETTINGS)
        harness.add_replica("i-p", "plain")

        async def scenario() -> None:
            harness.store.down = True
            await curio.sleep(REVOKE_S + 0.1)
            assert await harness.get_readiness() == 503
            assert (await harness.call("a", "/open/a"))[0] == 200
            assert (await harness.call("b", "/once/a", **bearer("key-red")))[0] == 503
            harness.store.down = False
            await curio.sleep(1.0)
            assert await harness.get_readiness() == 200
            assert (await harness.call("c", "/once/a", **bearer("key-red")))[0] == 200

        run_scenario(harness, scenario)

    def test_key_stays_valid_without_configuration_changes(self) -> None:
        """A quiet store must not count as unreachable, nor one with changes every two seconds."""
        harness = keyed_harness(**REVOCATION_SETTINGS)
        harness.add_replica("i-p", "plain")

        async def scenario() -> None:
            for number in range(240):
                assert (await harness.call("a", "/once/a", **bearer("key-red")))[0] == 200
                await curio.sleep(0.25)
                if number > 120 and number % 11 == 0:
                    later = make_config(number, *ALL_ROUTES, tenants=(RED_ACCOUNT, BLUE_ACCOUNT))
                    await harness.store.put("op/config", later)

        run_scenario(harness, scenario)

    def test_waiting_request_is_refused_once_its_key_is_revoked(self) -> None:
        """The key is valid when the request arrives and revoked while it waits for capacity."""
        harness = keyed_harness(**REVOCATION_SETTINGS)
        writer = harness.add_replica(
            "i-w", "llm", "decode", handler=respond_stream, free_reservations=0
        )

        async def scenario() -> None:
            task = await curio.spawn(
                lambda: harness.call("a", "/stream/a", **TOKEN_HEADERS, **bearer("key-red"))
            )
            await curio.sleep(0.3)
            await harness.store.put(
                "op/config", make_config(2, *ALL_ROUTES, tenants=(BLUE_ACCOUNT,))
            )
            await curio.sleep(0.1)
            writer.free_reservations = 10
            status, _, _ = await task.join()
            assert status == 401
            assert writer.arrivals == []

        run_scenario(harness, scenario)
