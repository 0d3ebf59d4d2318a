"""Tests of the registry of instance records in the store."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import curio
import pytest

from crankhinge.adapters import FleetEntry, InstanceRecord
from crankhinge.errors import KeyValueUnavailable
from crankhinge.runtime import get_log, run_until_first_ends
from crankhinge_platform.registry import PlatformInstanceRegistry
from crankhinge_platform.store import StoreClient
from platform_fakes import HOST, FakeStore
from virtual_time import run_virtual

TTL_S = 45.0
RECORD = InstanceRecord("10.0.0.1:7380", {})


def run_scenario(
    scenario: Callable[[FakeStore, PlatformInstanceRegistry], Awaitable[None]],
) -> None:
    """Run *scenario* with a store and the registry client of one instance."""
    store = FakeStore()
    registry = PlatformInstanceRegistry(StoreClient(HOST, store.port), TTL_S, get_log(program="t"))

    async def run_when_ready() -> None:
        await curio.sleep(0.01)
        await scenario(store, registry)

    async def main() -> None:
        await run_until_first_ends(store.run, run_when_ready)

    run_virtual(main, settle_s=0.003)


class TestFleetEntries:
    """Entries that outlive the record of their instance."""

    def test_entry_outlives_the_record(self) -> None:
        """Instances that join count an instance that is cut off from the store."""

        async def scenario(store: FakeStore, registry: PlatformInstanceRegistry) -> None:
            await registry.publish("here", RECORD)
            assert await registry.write_fleet_entry("here", FleetEntry("10.0.0.1:7380")) > 100.0
            assert await registry.renew_fleet_entry() is not None
            await store.end_leases()
            assert await registry.renew_fleet_entry() is None
            assert await registry.read_fleet_entries() == {}
            await registry.write_fleet_entry("here", FleetEntry("10.0.0.1:7380"))
            assert await registry.read_all() == {}
            assert await registry.read_fleet_entries() == {"here": FleetEntry("10.0.0.1:7380")}

        run_scenario(scenario)

    def test_entry_that_changed_since_the_read_is_not_overwritten(self) -> None:
        """A start allowance is permitted only by an entry that existed without interruption."""

        async def scenario(store: FakeStore, registry: PlatformInstanceRegistry) -> None:
            await registry.write_fleet_entry("here", FleetEntry("10.0.0.1:7380"))
            successor = next_incarnation(store)
            assert "here" in await successor.read_fleet_entries()
            await registry.write_fleet_entry("here", FleetEntry("10.0.0.1:7380", 2.4))
            with pytest.raises(KeyValueUnavailable):
                await successor.write_fleet_entry("here", FleetEntry("10.0.0.1:7380"))
            assert (await successor.read_fleet_entries())["here"].unused_after_s == 2.4
            await successor.write_fleet_entry("here", FleetEntry("10.0.0.1:7380"))

        run_scenario(scenario)

    def test_unreadable_entry_counts(self) -> None:
        """Its instance may use its share all the same."""

        async def scenario(store: FakeStore, registry: PlatformInstanceRegistry) -> None:
            await store.put("crankhinge/fleet/odd", [1])
            assert await registry.read_fleet_entries() == {"odd": FleetEntry("")}

        run_scenario(scenario)


class TestLease:
    """The lease of a record, whose renewal costs a tenth of granting a new one."""

    def test_all_records_of_an_instance_share_one_lease(self) -> None:
        """Each later write renews the first lease and does not request another one."""

        async def scenario(store: FakeStore, registry: PlatformInstanceRegistry) -> None:
            for _ in range(5):
                await registry.publish("here", RECORD)
                await curio.sleep(30.0)
            assert store.calls.count("/v1/kv-lease") == 1
            assert sum(call.startswith("/v1/kv-keep/") for call in store.calls) == 4
            assert await registry.read_all() == {"here": RECORD}

        run_scenario(scenario)

    def test_expired_lease_is_replaced(self) -> None:
        """The store deleted the record with its lease; the next write gets a new lease."""

        async def scenario(store: FakeStore, registry: PlatformInstanceRegistry) -> None:
            await registry.publish("here", RECORD)
            await store.end_leases()
            assert await registry.read_all() == {}
            await registry.publish("here", RECORD)
            assert await registry.read_all() == {"here": RECORD}
            assert store.calls.count("/v1/kv-lease") == 2

        run_scenario(scenario)

    def test_failed_write_makes_the_next_one_use_a_new_lease(self) -> None:
        """The lease may have expired between its renewal and the write that failed."""

        async def scenario(store: FakeStore, registry: PlatformInstanceRegistry) -> None:
            await registry.publish("here", RECORD)
            store.refused_path = "/v1/kv-txn"
            with pytest.raises(KeyValueUnavailable):
                await registry.publish("here", RECORD)
            store.refused_path = ""
            await registry.publish("here", RECORD)
            assert store.calls.count("/v1/kv-lease") == 2
            assert await registry.read_all() == {"here": RECORD}

        run_scenario(scenario)


class TestTakeOver:
    """The record of an instance that restarts before or after the record expires."""

    def test_unexpired_record_is_taken_over(self) -> None:
        """Other instances see the record without a gap, so they never drop the instance."""

        async def scenario(store: FakeStore, registry: PlatformInstanceRegistry) -> None:
            record = InstanceRecord("10.0.0.1:7380", {}, settled=True)
            await registry.publish("here", record)
            restarted = next_incarnation(store)
            found = await restarted.take_over("here")
            assert found is not None
            assert (found[0], found[1].may_have_lapsed) == (record, False)
            assert found[1].expires_at <= await curio.clock() + TTL_S
            assert await registry.read_all() == {"here": record}

        run_scenario(scenario)

    def test_expired_record_is_not_taken_over(self) -> None:
        """Other instances may have taken over the duties of the instance in the meantime."""

        async def scenario(store: FakeStore, registry: PlatformInstanceRegistry) -> None:
            await registry.publish("here", RECORD)
            await store.end_leases()
            assert await next_incarnation(store).take_over("here") is None

        run_scenario(scenario)

    def test_record_changed_after_the_read_is_not_taken_over(self) -> None:
        """The record may have expired and been written again between the read and the write."""

        async def scenario(store: FakeStore, registry: PlatformInstanceRegistry) -> None:
            await registry.publish("here", RECORD)
            store.faults.delay_s = 0.1
            task = await curio.spawn(next_incarnation(store).take_over, "here")
            await curio.sleep(0.15)
            store.faults.delay_s = 0.0
            await registry.publish("here", RECORD)
            assert await task.join() is None

        run_scenario(scenario)

    def test_renewal_of_an_expired_record_fails(self) -> None:
        """The next write reports that the record may have been missing for a while."""

        async def scenario(store: FakeStore, registry: PlatformInstanceRegistry) -> None:
            await registry.publish("here", RECORD)
            began = await curio.clock()
            lease = await registry.renew()
            assert lease is not None and began + TTL_S <= lease.expires_at
            await store.end_leases()
            assert await registry.renew() is None
            assert (await registry.publish("here", RECORD)).may_have_lapsed

        run_scenario(scenario)


def next_incarnation(store: FakeStore) -> PlatformInstanceRegistry:
    """Return the registry client of a later incarnation of the instance."""
    return PlatformInstanceRegistry(StoreClient(HOST, store.port), TTL_S, get_log(program="t"))
