"""Tests of servers that name how many requests they take."""

from __future__ import annotations

import curio

from limit_worlds import SETTLED_S
from platform_fakes import World, route
from virtual_time import run_virtual

ONCE = route("r-once", "/once/", "unsafe", "plain")


class TestLines:
    """What the log tells of limits."""

    def test_a_limit_is_told_when_it_begins_changes_and_ends(self) -> None:
        """Once each, however many answers name it."""
        world = World()
        replica = world.add("i-1", "plain")

        async def story() -> None:
            for number, limit in enumerate((None, "8", "8", "6.5", "lots", None, None)):
                replica.limit = limit
                await curio.sleep(1.0)
                await world.call(f"q{number}", "/once/a")

        run_virtual(world.play, story, ONCE, settle_s=0.003)
        told = [
            line.split("event=server_limit ")[1] for line in world.lines.having("server_limit ")
        ]
        assert [" ".join(line.split()) for line in told] == [
            "server=i-1 per_s=8.0 was= told_by=own",
            "server=i-1 per_s=6.5 was=8.0 told_by=own",
            "server=i-1 per_s= was=6.5 told_by=own",
        ]
        assert len(world.lines.having("server_limit_unreadable", "was=6.5")) == 1

    def test_what_is_sent_to_such_a_server_is_told(self) -> None:
        """Also how many servers each request was sent to."""
        world = World()
        world.add("i-1", "plain", limit="8")

        async def story() -> None:
            await curio.sleep(SETTLED_S)
            for number in range(5):
                await world.call(f"q{number}", "/once/a")
            await curio.sleep(5.0)

        run_virtual(world.play, story, ONCE, settle_s=0.003)
        assert world.lines.having("server_limit_use", "server=i-1", "per_s=8.0", "sent=4")
        assert len(world.lines.having("event=answered", "sent=1")) == 5
