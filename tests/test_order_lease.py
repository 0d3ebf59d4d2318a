"""Tests of the order lease in the platform's store."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import curio
import pytest

from crankhinge.runtime import run_until_first_ends
from crankhinge_platform.order_lease import ORDER_LEASE_KEY, PlatformOrderLeaseStore
from crankhinge_platform.store import StoreClient, Write
from platform_fakes import HOST, FakeStore
from virtual_time import run_virtual


def run_with_store(scenario: Callable[[FakeStore], Awaitable[None]]) -> None:
    """Run *scenario* beside a store."""
    store = FakeStore()

    async def run() -> None:
        await curio.sleep(0.01)
        await scenario(store)

    run_virtual(run_until_first_ends, store.run, run, settle_s=0.003)


async def acquire_token(store: FakeStore) -> int:
    """Return the fencing token of a new holder."""
    leases = PlatformOrderLeaseStore(StoreClient(HOST, store.port), 3.0)
    lease = await leases.acquire("g")
    assert lease is not None
    return lease.token


class TestFencingTokens:
    """The numbers by which engines tell a newer holder from an earlier one."""

    def test_token_rises_when_the_store_comes_back_from_an_older_copy(self) -> None:
        """The store gives out revisions again; an order had a lower token than one before."""

        async def scenario(store: FakeStore) -> None:
            store.era, store.revision = 3, 500
            before = await acquire_token(store)
            store.items.clear()
            store.era, store.revision = 4, 20
            assert await acquire_token(store) > before

        run_with_store(scenario)

    def test_token_rises_within_an_era(self) -> None:
        """The key was removed meanwhile, as when its lease ends."""

        async def scenario(store: FakeStore) -> None:
            store.era = 3
            before = await acquire_token(store)
            await store.remove(ORDER_LEASE_KEY)
            assert await acquire_token(store) > before

        run_with_store(scenario)

    @pytest.mark.parametrize("era", [None, -1])
    def test_token_is_the_revision_if_the_store_names_no_era(self, era: int | None) -> None:
        """A store that has never come back from a copy need not name one."""

        async def scenario(store: FakeStore) -> None:
            store.era = era
            assert await acquire_token(store) == store.revision

        run_with_store(scenario)

    def test_numbers_of_writes_have_their_order(self) -> None:
        """Also at the largest revision that the numbers keep apart."""
        writes = [Write(0, 1), Write(0, (1 << 40) - 1), Write(1, 0), Write(2, 7), Write(8191, 1)]
        numbers = [write.number for write in writes]
        assert numbers == sorted(numbers) and len(set(numbers)) == len(numbers)
        assert max(numbers) < 1 << 53
