"""Tests of the notes that instances keep in the store."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import curio
import pytest

from crankhinge.adapters import InstanceRecord
from crankhinge.errors import KeyValueUnavailable
from crankhinge.runtime import get_log, run_until_first_ends
from crankhinge_platform.registry import PlatformInstanceRegistry
from crankhinge_platform.store import StoreClient
from platform_fakes import HOST, FakeStore
from virtual_time import run_virtual

TTL_S = 45.0
NOTE = InstanceRecord("10.0.0.1:7380", {})


def play(story: Callable[[FakeStore, PlatformInstanceRegistry], Awaitable[None]]) -> None:
    """Run *story* with a store and the board of one instance."""
    store = FakeStore()
    board = PlatformInstanceRegistry(StoreClient(HOST, store.port), TTL_S, get_log(program="t"))

    async def told() -> None:
        await curio.sleep(0.01)
        await story(store, board)

    async def main() -> None:
        await run_until_first_ends(store.run, told)

    run_virtual(main, settle_s=0.003)


class TestLease:
    """What a note costs: a renewal is a tenth of a call."""

    def test_one_lease_carries_all_notes(self) -> None:
        """It is renewed with each."""

        async def story(store: FakeStore, board: PlatformInstanceRegistry) -> None:
            for _ in range(5):
                await board.publish("here", NOTE)
                await curio.sleep(30.0)
            assert store.calls.count("/v1/kv-lease") == 1
            assert sum(call.startswith("/v1/kv-keep/") for call in store.calls) == 4
            assert await board.read_all() == {"here": NOTE}

        play(story)

    def test_a_lease_that_is_over_is_made_anew(self) -> None:
        """The store ended it, or forgot it."""

        async def story(store: FakeStore, board: PlatformInstanceRegistry) -> None:
            await board.publish("here", NOTE)
            await store.end_leases()
            assert await board.read_all() == {}
            await board.publish("here", NOTE)
            assert await board.read_all() == {"here": NOTE}
            assert store.calls.count("/v1/kv-lease") == 2

        play(story)

    def test_after_a_failure_nothing_is_taken_for_granted(self) -> None:
        """A lease that may have ended between renewal and note is not used again."""

        async def story(store: FakeStore, board: PlatformInstanceRegistry) -> None:
            await board.publish("here", NOTE)
            store.refused_path = "/v1/kv-txn"
            with pytest.raises(KeyValueUnavailable):
                await board.publish("here", NOTE)
            store.refused_path = ""
            await board.publish("here", NOTE)
            assert store.calls.count("/v1/kv-lease") == 2
            assert await board.read_all() == {"here": NOTE}

        play(story)


class TestLives:
    """The note of an instance that starts again."""

    def test_is_taken_over_while_it_lasts(self) -> None:
        """It never ceased, so whoever reads sees the instance all the time."""

        async def story(store: FakeStore, board: PlatformInstanceRegistry) -> None:
            note = InstanceRecord("10.0.0.1:7380", {}, settled=True)
            await board.publish("here", note)
            after = another(store)
            found = await after.take_over("here")
            assert found is not None
            assert (found[0], found[1].may_have_lapsed) == (note, False)
            assert found[1].expires_at <= await curio.clock() + TTL_S
            assert await board.read_all() == {"here": note}

        play(story)

    def test_is_not_taken_over_once_it_has_gone(self) -> None:
        """Others may act in its place by then."""

        async def story(store: FakeStore, board: PlatformInstanceRegistry) -> None:
            await board.publish("here", NOTE)
            await store.end_leases()
            assert await another(store).take_over("here") is None

        play(story)

    def test_is_not_taken_over_when_it_changed_meanwhile(self) -> None:
        """Between reading and writing it may have gone and come again."""

        async def story(store: FakeStore, board: PlatformInstanceRegistry) -> None:
            await board.publish("here", NOTE)
            store.faults.delay_s = 0.1
            task = await curio.spawn(another(store).take_over, "here")
            await curio.sleep(0.15)
            store.faults.delay_s = 0.0
            await board.publish("here", NOTE)
            assert await task.join() is None

        play(story)

    def test_a_renewal_tells_whether_it_was_there(self) -> None:
        """One that had gone is not renewed."""

        async def story(store: FakeStore, board: PlatformInstanceRegistry) -> None:
            await board.publish("here", NOTE)
            began = await curio.clock()
            lease = await board.renew()
            assert lease is not None and began + TTL_S <= lease.expires_at
            await store.end_leases()
            assert await board.renew() is None
            assert (await board.publish("here", NOTE)).may_have_lapsed

        play(story)


def another(store: FakeStore) -> PlatformInstanceRegistry:
    """Return the board of a later life of the instance."""
    return PlatformInstanceRegistry(StoreClient(HOST, store.port), TTL_S, get_log(program="t"))
