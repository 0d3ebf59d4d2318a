"""Tests of servers that start again under the identity that they had, and of strange entries."""

from __future__ import annotations

from typing import Any

import curio
import pytest

from platform_fakes import GatewayHarness, free_port, respond_stream, route
from virtual_time import run_virtual

ONCE = route("r-once", "/once/", "unsafe", "plain")
STREAM = route("r-stream", "/stream/", "streaming", "llm", max_attempts=2, resumable=True)
TOKENS = {"x_token_count": "100,50", "length_hint": "40"}
BORN = 1_780_000_000_000


def play(harness: GatewayHarness, story: Any) -> None:
    """Run *story* under a clock that jumps."""
    run_virtual(harness.run, story, ONCE, STREAM, settle_s=0.003)


class TestBornAgain:
    """A server starts again under its identity; its count of entries starts anew.

    It was not seen until its count had passed the old one, its new address not at all: a count of
    50 was known, then came 1 at another address, and requests went to the old address.
    """

    def test_is_used_at_its_new_address(self) -> None:
        """Its lower count does not matter."""
        harness = GatewayHarness()
        old = harness.add_replica("i-p", "plain", sequence=50, start_time_ms=BORN)
        new = harness.add_replica("i-p", "plain", sequence=0, start_time_ms=BORN + 5000)

        async def story() -> None:
            await old.publish_entry()
            await curio.sleep(2.0)
            await new.publish_entry()
            await curio.sleep(2.0)
            assert (await harness.call("a", "/once/a"))[0] == 200
            assert (old.executed_ids, new.executed_ids) == ([], ["a"])

        run_virtual(harness.run, story, ONCE, settle_s=0.003)

    def test_is_used_after_its_entry_had_gone(self) -> None:
        """As a new server is."""
        harness = GatewayHarness()
        server = harness.add_replica("i-p", "plain", sequence=50, start_time_ms=BORN)

        async def story() -> None:
            await harness.store.remove("servers/i-p")
            await curio.sleep(0.2)
            server.sequence, server.start_time_ms = 0, BORN + 5000
            await server.publish_entry()
            await curio.sleep(0.2)
            assert (await harness.call("a", "/once/a"))[0] == 200

        play(harness, story)

    def test_an_entry_of_an_earlier_life_that_was_written_late_changes_nothing(self) -> None:
        """Whatever its count, also after the later life has gone."""
        harness = GatewayHarness()
        old = harness.add_replica("i-p", "plain", sequence=50, start_time_ms=BORN)
        new = harness.add_replica("i-p", "plain", sequence=0, start_time_ms=BORN + 5000)

        async def story() -> None:
            await new.publish_entry()
            await curio.sleep(2.0)
            await old.publish_entry()
            await curio.sleep(2.0)
            assert (await harness.call("a", "/once/a"))[0] == 200
            assert new.executed_ids == ["a"]
            await harness.store.remove("servers/i-p")
            await curio.sleep(0.2)
            await old.publish_entry()
            await curio.sleep(0.2)
            assert (await harness.call("b", "/once/a"))[0] == 503

        run_virtual(harness.run, story, ONCE, settle_s=0.003)

    def test_what_was_seen_of_an_earlier_life_is_forgotten(self) -> None:
        """An engine that followed an order, or that was full, is neither after its start."""
        harness = GatewayHarness()
        writer = harness.add_replica(
            "i-w", "llm", "decode", handler=respond_stream, free_reservations=0, start_time_ms=BORN
        )

        async def story() -> None:
            assert (await harness.call("a", "/stream/a", **TOKENS, x_deadline_ms="600"))[0] == 503
            writer.free_reservations, writer.sequence, writer.start_time_ms = 5, 0, BORN + 5000
            await writer.publish_entry()
            await curio.sleep(0.1)
            assert (await harness.call("b", "/stream/a", **TOKENS))[0] == 200
            assert harness.logs.matching("event=server_gone", "why=born_again")

        play(harness, story)


STRANGE: list[dict[str, Any]] = [
    {"state": "resting"},
    {"state": 3},
    {"service": None},
    {"service": "nobody"},
    {"address": "127.0.0.1"},
    {"address": "127.0.0.1:port"},
    {"address": 7},
    {"slots": "many"},
    {"slots": 0},
    {"zone": []},
    {"sequence": "7"},
    {"sequence": 1.5},
    {"born": "yesterday"},
    {"born": True},
    {"born": 1.5},
    {"phase": 4},
    {"models": "m"},
    {"models": [{}]},
]
MISSING = ["service", "address", "zone", "slots", "state", "sequence"]


class TestOtherWriters:
    """Entries that another writer left among those of servers.

    Missing fields were given usual values, so that an entry of another writer named a server to
    use; one of a known server that could not be read any more left the old one in use.
    """

    @pytest.mark.parametrize("other", STRANGE, ids=str)
    def test_a_strange_field_names_no_server_to_use(self, other: dict[str, Any]) -> None:
        """The others hold; the next entry that can be read is used again."""
        self._play(other)

    @pytest.mark.parametrize("field", MISSING)
    def test_a_missing_field_names_no_server_to_use(self, field: str) -> None:
        """None is given a usual value."""
        self._play({field: ...})

    def _play(self, other: dict[str, Any]) -> None:
        harness = GatewayHarness()
        strange = harness.add_replica("i-s", "plain", start_time_ms=BORN)
        sound = harness.add_replica("i-p", "plain", start_time_ms=BORN, port=free_port())

        async def story() -> None:
            if ... in other.values():
                await harness.store.put("servers/i-s", _without(next(iter(other)), strange.port))
            else:
                await strange.publish_entry(**other)
            await sound.publish_entry("draining")
            await curio.sleep(2.0)
            assert (await harness.call("a", "/once/a"))[0] == 503
            await sound.publish_entry()
            await curio.sleep(2.0)
            assert (await harness.call("b", "/once/a"))[0] == 200
            assert (strange.executed_ids, sound.executed_ids) == ([], ["b"])
            await strange.publish_entry()
            await sound.publish_entry("draining")
            await curio.sleep(2.0)
            assert (await harness.call("c", "/once/a"))[0] == 200
            assert strange.executed_ids == ["c"]

        play(harness, story)

    def test_bytes_that_are_no_entry_name_no_server_to_use(self) -> None:
        """Neither by themselves nor in the place of a known entry."""
        harness = GatewayHarness()
        strange = harness.add_replica("i-s", "plain")
        sound = harness.add_replica("i-p", "plain")

        async def story() -> None:
            for key in ("servers/i-s", "servers/", "servers/i-t"):
                await harness.store.put(key, "bytes")
            await sound.publish_entry("draining")
            await curio.sleep(2.0)
            assert (await harness.call("a", "/once/a"))[0] == 503
            assert (strange.executed_ids, sound.executed_ids) == ([], [])
            assert harness.logs.matching("event=entry_unreadable")

        play(harness, story)


def _without(field: str, port: int) -> dict[str, Any]:
    """Return an entry in which a field is missing."""
    entry = {
        "service": "plain",
        "address": f"127.0.0.1:{port}",
        "zone": "z1",
        "version": "v1",
        "slots": 64,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 90,
    }
    del entry[field]
    return entry
