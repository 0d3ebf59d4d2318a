"""Tests of what a gateway knows while the store is away, forgets or lies behind."""

from __future__ import annotations

import curio

from platform_fakes import GatewayHarness, make_config, route
from virtual_time import run_virtual

ONCE = route("r-once", "/once/", "unsafe", "plain")


def play(harness: GatewayHarness, story: object) -> None:
    """Run *story* under a clock that jumps."""
    run_virtual(harness.run, story, ONCE, settle_s=0.003)


class TestConfig:
    """The configuration in force."""

    def test_an_older_version_never_comes_back(self) -> None:
        """Versions rise in uneven steps; a lower one is not taken."""
        harness = GatewayHarness()
        harness.add_replica("i-1", "plain")

        async def story() -> None:
            moved = {**ONCE, "path_prefix": "/moved/"}
            await harness.store.put("op/config", make_config(7, moved))
            await curio.sleep(0.2)
            assert (await harness.call("q1", "/moved/a"))[0] == 200
            await harness.store.put("op/config", make_config(5, ONCE))
            await curio.sleep(0.2)
            assert (await harness.call("q2", "/moved/a"))[0] == 200
            assert (await harness.call("q3", "/once/a"))[0] == 404

        play(harness, story)

    def test_requests_are_served_while_the_store_is_away(self) -> None:
        """What is known stays in force; the return is noticed within a second."""
        harness = GatewayHarness()
        harness.add_replica("i-1", "plain")

        async def story() -> None:
            harness.store.down = True
            harness.store.forget_history()
            await harness.store.put("op/config", make_config(3, {**ONCE, "path_prefix": "/late/"}))
            await curio.sleep(20.0)
            assert (await harness.call("q1", "/once/a"))[0] == 200
            assert harness.logs.matching("event=source_lost", "what=config")
            harness.store.down = False
            await curio.sleep(1.0)
            assert (await harness.call("q2", "/late/a"))[0] == 200
            assert harness.logs.matching("event=source_regained", "what=config")

        play(harness, story)

    def test_the_stores_return_is_noticed_though_nothing_changed(self) -> None:
        """The first watch after an absence is answered at once, not after its wait."""
        harness = GatewayHarness()
        harness.add_replica("i-1", "plain")

        async def story() -> None:
            harness.store.down = True
            await curio.sleep(10.0)
            assert harness.logs.matching("event=source_lost", "what=config")
            harness.store.down = False
            await curio.sleep(1.2)
            for what in ("config", "servers"):
                assert harness.logs.matching("event=source_regained", f"what={what}")

        play(harness, story)

    def test_watches_from_what_was_read_not_from_the_last_change(self) -> None:
        """A store that forgot its history before the first read is not asked without end."""
        harness = GatewayHarness()
        harness.add_replica("i-1", "plain")
        harness.store.revision = 1000

        def following() -> int:
            """Calls to follow configuration and list, not those about notes."""
            return sum(call in ("/v1/kv-watch", "/v1/kv-key") for call in harness.store.calls)

        async def story() -> None:
            await curio.sleep(1.0)
            harness.store.forget_history()
            before = following()
            await harness.store.put("other/key", "x")
            await curio.sleep(60.0)
            # Two watches of 2 s: one call a second, not thousands.
            assert following() - before < 65

        play(harness, story)

    def test_lost_history_is_not_pressed(self) -> None:
        """A store that says 'history gone' to every watch is asked with growing pauses."""
        harness = GatewayHarness()
        harness.add_replica("i-1", "plain")

        async def story() -> None:
            harness.store.oldest_revision = 10**9
            await harness.store.put("op/config", make_config(2, ONCE))
            before = len(harness.store.calls)
            await curio.sleep(10.0)
            assert len(harness.store.calls) - before < 120

        play(harness, story)


# What a thin link carries, in bytes a second (5 Mbit/s), and how long the store remembers changes.
THIN_B_S = 625_000
HISTORY_S = 20.0


class TestLargeConfig:
    """A configuration that takes a thin link longer than any answer of the store took before.

    Users saw instances on thin links serve by an old configuration for the rest of the day, long
    after newer ones were confirmed. The operators had added 1,400 routes three times, to a value of
    1 MB; the store had dropped its history, so that the instances had to read the whole value. A
    5 Mbit/s link carries it in 1.7 s; a read was given up after 1.5 s, whatever had come, and begun
    again, for ever. Evidence: `source_still_lost what=config why="no answer in 1.5 s" failures=4
    received=2630700` on each such instance, its link full all the while, and `config_in_force`
    0.17 s after the write on every instance with a wide link.
    """

    def test_is_in_force_soon_after_a_thin_link_has_carried_it(self) -> None:
        """A read goes on as long as bytes come."""
        harness = GatewayHarness()
        harness.add_replica("i-1", "plain")
        more = [route(f"r-{n}", f"/more-{n:05}/", "unsafe", "plain") for n in range(4200)]

        async def story() -> None:
            await harness.store.put("other/key", "x")
            harness.store.forget_history()
            harness.store.faults.bytes_per_s = THIN_B_S
            await harness.store.put(
                "op/config", make_config(2, {**ONCE, "path_prefix": "/new/"}, *more)
            )
            value = harness.store.items["op/config"]["value"]
            carried_s = len(value) / THIN_B_S
            assert carried_s > 1.5
            await curio.sleep(carried_s + 1.5)
            assert (await harness.call("q1", "/new/a"))[0] == 200
            assert (await harness.call("q2", "/once/a"))[0] == 404

        play(harness, story)

    def test_is_not_read_again_when_a_connection_ends(self) -> None:
        """The watch goes on from where it was: nothing has changed, nothing needs carrying."""
        harness = GatewayHarness()
        harness.add_replica("i-1", "plain")

        async def story() -> None:
            await curio.sleep(1.0)
            before = harness.store.calls.count("/v1/kv-key")
            harness.store.down = True
            await harness.store.put("other/key", "x")
            await curio.sleep(6.0)
            harness.store.down = False
            await harness.store.put("op/config", make_config(2, {**ONCE, "path_prefix": "/new/"}))
            await curio.sleep(1.0)
            assert (await harness.call("q1", "/new/a"))[0] == 200
            assert harness.logs.matching("event=source_regained", "what=config")
            assert harness.store.calls.count("/v1/kv-key") == before

        play(harness, story)

    def test_versions_in_quick_succession_are_passed_over(self) -> None:
        """Of those written while one is carried only the newest is read.

        A watch answers with every version since its mark. Six large ones at a time are six times
        what a thin link carries in the time in which one has to be in force, and more have been
        written when they are there.
        """
        harness = GatewayHarness()
        harness.add_replica("i-1", "plain")
        more = [route(f"r-{n}", f"/more-{n:05}/", "unsafe", "plain") for n in range(2000)]

        async def story() -> None:
            harness.store.faults.bytes_per_s = THIN_B_S // 2
            for version in range(2, 14):
                moved = {**ONCE, "path_prefix": f"/v{version}/"}
                await harness.store.put("op/config", make_config(version, moved, *more))
                await curio.sleep(0.3)
            value = harness.store.items["op/config"]["value"]
            # The one that was under way, and the newest.
            await curio.sleep(2 * len(value) / (THIN_B_S // 2) + 0.5)
            assert (await harness.call("q1", "/v13/a"))[0] == 200
            assert harness.logs.matching("event=config_passed_over")
            assert not harness.logs.matching("event=history_lost", "what=config")

        play(harness, story)


class TestLeftUnheard:
    """A server that left while its instance had no word of it.

    Users saw requests reach a server 2.1 and 2.3 s after its entry had gone, although an instance
    learns of that within milliseconds. The list had been quiet for longer than the store remembers
    changes, so that the watch was answered with lost history instead of the change, and the list
    was read anew. Because the last word of the list was more than a second old, the store counted
    as having been away, the missing entry as one that may have lapsed meanwhile, and its server was
    sent requests for 2.3 to 2.9 s more. Evidence: requests within exactly that span; `history_lost
    what=servers` without `source_lost` before it; `server_gone why=not_back` 2.4 to 3.0 s after the
    list was read.
    """

    def test_a_quiet_list_is_no_absence_of_the_store(self) -> None:
        """What is missing from a list that was read anew after a quiet time has gone."""
        harness = GatewayHarness(HISTORY_S)
        leaving = harness.add_replica("i-1", "plain")
        harness.add_replica("i-2", "plain")

        async def story() -> None:
            for number in range(48):
                # Other items change all the while: the mark of a quiet list grows old.
                await curio.sleep(0.5)
                await harness.store.put("other/key", number)
            await harness.store.remove("servers/i-1")
            await curio.sleep(0.5)
            assert harness.logs.matching("event=server_gone", "server=i-1")
            for number in range(20):
                assert (await harness.call(f"q{number}", "/once/a"))[2] == b"whole:i-2"
            assert not leaving.arrivals

        play(harness, story)

    def test_one_instance_that_was_cut_off_believes_the_list(self) -> None:
        """Where the other entries stand, the store was not away: a missing server has gone.

        Nine instances were cut off for twelve seconds, a server left three seconds into that, and a
        request reached it 13 s later: 4 s after the cut, when the list had been read long since.
        """
        harness = GatewayHarness()
        leaving = harness.add_replica("i-1", "plain")
        harness.add_replica("i-2", "plain")
        harness.add_replica("i-3", "plain")

        async def story() -> None:
            harness.store.down = True
            await curio.sleep(3.0)
            await harness.store.remove("servers/i-1")
            await curio.sleep(9.0)
            harness.store.down = False
            while not harness.logs.matching("event=source_regained", "what=servers"):
                await curio.sleep(0.05)
            assert harness.logs.matching("event=server_gone", "server=i-1")
            for number in range(20):
                assert (await harness.call(f"q{number}", "/once/a"))[2] != b"whole:i-1"
            assert not leaving.arrivals

        play(harness, story)


# Seconds after which an instance whose connections were reset counts as in touch again.
IN_TOUCH_S = 3.0


class TestSilentConnection:
    """A connection on which the store stays silent although it is open and new ones work.

    Nothing at the connection shows it: it acknowledges what it is sent. A configuration that was
    changed was in force after 25.1 s and a server that left known after 25.2 s, when the watch that
    waited there was given up.
    """

    def test_is_noticed_before_its_instance_counts_as_in_touch_again(self) -> None:
        """Configuration and list are read anew on another connection."""
        harness = GatewayHarness()
        harness.add_replica("i-1", "plain")
        harness.add_replica("i-2", "plain")

        async def story() -> None:
            # Both watches have just been asked again.
            await curio.sleep(10.0)
            harness.store.mute_open_calls()
            await harness.store.put("op/config", make_config(2, {**ONCE, "path_prefix": "/new/"}))
            await harness.store.remove("servers/i-1")
            await curio.sleep(IN_TOUCH_S)
            assert harness.logs.matching("event=server_gone", "server=i-1")
            for number in range(10):
                assert (await harness.call(f"q{number}", "/new/a"))[2] == b"whole:i-2"

        play(harness, story)

    def test_is_noticed_in_time_though_changes_are_gathered(self) -> None:
        """It falls silent while nothing is asked, since changes go on and are gathered.

        The next watch is sent on it up to 0.8 s later; had it waited as long as any other, a
        leaving server would have been known after 3.6 s.
        """
        harness = GatewayHarness()
        harness.add_replica("i-1", "plain")
        harness.add_replica("i-2", "plain")
        other = harness.add_replica("i-3", "plain")

        async def story() -> None:
            await curio.sleep(10.0)
            for state in ("draining", "ready", "draining"):
                await other.publish_entry(state)
                await curio.sleep(0.02)
            harness.store.mute_open_conns()
            await harness.store.remove("servers/i-1")
            await curio.sleep(IN_TOUCH_S)
            assert harness.logs.matching("event=server_gone", "server=i-1")

        play(harness, story)

    def test_a_quiet_store_is_asked_before_it_forgets(self) -> None:
        """A watch that waits longer than changes are remembered ends in a read of everything."""
        harness = GatewayHarness(HISTORY_S)
        harness.add_replica("i-1", "plain")

        async def story() -> None:
            for number in range(100):
                await curio.sleep(0.5)
                await harness.store.put("other/key", number)
            assert not harness.logs.matching("event=history_lost")
            assert len(harness.logs.matching("event=servers_listed")) == 1

        play(harness, story)


class TestManyChanges:
    """A release, in which the list changes many times a second.

    A watch is answered by the first change. Sixty-eight instances asked again at once, each made a
    call for each of some 150 changes, and paid for 11,867 calls in 55 s.
    """

    def test_changes_are_gathered(self) -> None:
        """Ten changes a second for ten seconds take fewer than two calls a second."""
        harness = GatewayHarness()
        harness.add_replica("i-1", "plain")
        other = harness.add_replica("i-2", "plain")

        async def story() -> None:
            await curio.sleep(1.0)
            before = harness.store.calls.count("/v1/kv-watch")
            for number in range(100):
                await other.publish_entry("draining" if number % 2 else "ready")
                await curio.sleep(0.1)
            # One watch for the list each 0.8 s, one for the configuration each 2 s.
            assert harness.store.calls.count("/v1/kv-watch") - before < 20
            assert harness.logs.matching("event=source_called", "watch_servers=")

        play(harness, story)

    def test_a_server_that_leaves_meanwhile_gets_nothing_after_the_bound(self) -> None:
        """It leaves in the worst moment, right after an answer."""
        harness = GatewayHarness()
        leaving = harness.add_replica("i-1", "plain")
        harness.add_replica("i-2", "plain")
        other = harness.add_replica("i-3", "plain")

        async def story() -> None:
            await curio.sleep(1.0)
            for state in ("draining", "ready", "draining"):
                await other.publish_entry(state)
                await curio.sleep(0.05)
            left = await curio.clock()
            await leaving.publish_entry("draining")
            for number in range(100):
                async with curio.TaskGroup() as group:
                    for part in range(4):
                        await group.spawn(harness.call, f"q{number}-{part}", "/once/a")
                await curio.sleep(0.04)
            late = [arrival for arrival in leaving.arrivals if arrival.arrived_at > left + 1.0]
            assert len(leaving.arrivals) > 0
            assert late == []

        play(harness, story)

    def test_a_change_after_a_quiet_time_is_known_at_once(self) -> None:
        """Nothing is waited for when nothing was changing."""
        harness = GatewayHarness()
        leaving = harness.add_replica("i-1", "plain")
        harness.add_replica("i-2", "plain")

        async def story() -> None:
            await curio.sleep(5.0)
            await leaving.publish_entry("draining")
            await curio.sleep(0.05)
            assert harness.logs.matching("event=server_seen", "server=i-1", "leaving=true")

        play(harness, story)

    def test_configurations_in_storms_are_gathered(self) -> None:
        """Forty versions in ten seconds are in force soon, each within its bound."""
        harness = GatewayHarness()
        harness.add_replica("i-1", "plain")

        async def story() -> None:
            await curio.sleep(1.0)
            for version in range(2, 42):
                await harness.store.put(
                    "op/config", make_config(version, {**ONCE, "path_prefix": f"/v{version}/"})
                )
                await curio.sleep(0.25)
            await curio.sleep(0.5)
            assert (await harness.call("q", "/v41/a"))[0] == 200

        play(harness, story)


class TestLapsedTogether:
    """Entries that all lapsed while the store was away.

    A store that fell silent for six seconds let all entries lapse and then told so in one answer:
    every instance dropped every server in the same moment, and had none until they had entered
    themselves again.
    """

    def test_servers_that_vanish_at_once_are_kept_until_they_had_time_to_return(self) -> None:
        """They serve; who does not return has gone after that time."""
        harness = GatewayHarness()
        replicas = [harness.add_replica(f"i-{number}", "plain") for number in (1, 2, 3)]

        async def story() -> None:
            harness.store.faults.down = "silent"
            for replica in replicas:
                await harness.store.remove(f"servers/{replica.incarnation_id}")
            await curio.sleep(6.0)
            harness.store.faults.down = ""
            while not harness.logs.matching("event=source_regained", "what=servers"):
                await curio.sleep(0.05)
            assert len(harness.logs.matching("event=server_doubted")) == 3
            assert (await harness.call("q1", "/once/a"))[0] == 200
            await replicas[1].publish_entry()
            await replicas[2].publish_entry()
            await curio.sleep(0.2)
            for number in range(20):
                assert (await harness.call(f"p{number}", "/once/a"))[2] != b"whole:i-1"
            await curio.sleep(2.3)
            assert harness.logs.matching("event=server_gone", "server=i-1", "why=not_back")
            assert len(harness.logs.matching("event=server_gone")) == 1

        play(harness, story)

    def test_who_is_back_late_is_known_in_time(self) -> None:
        """Entries return over two seconds; none is dropped because others were gathered first."""
        harness = GatewayHarness()
        replicas = [harness.add_replica(f"i-{number}", "plain") for number in range(5)]

        async def story() -> None:
            harness.store.faults.down = "silent"
            for replica in replicas:
                await harness.store.remove(f"servers/{replica.incarnation_id}")
            await curio.sleep(6.0)
            harness.store.faults.down = ""
            while not harness.logs.matching("event=source_regained", "what=servers"):
                await curio.sleep(0.01)
            back = await curio.clock()
            for replica, after_s in zip(replicas, (0.2, 0.4, 0.6, 1.5, 2.1), strict=True):
                await curio.sleep(back + after_s - await curio.clock())
                await replica.publish_entry()
            await curio.sleep(2.0)
            assert len(harness.logs.matching("event=server_doubted")) == 5
            assert not harness.logs.matching("event=server_gone")

        play(harness, story)

    def test_entries_that_were_made_anew_tell_of_it(self) -> None:
        """Two of four are back when the list is read: the others are waited for."""
        harness = GatewayHarness()
        replicas = [harness.add_replica(f"i-{number}", "plain") for number in (1, 2, 3, 4)]

        async def story() -> None:
            harness.store.down = True
            for replica in replicas[:3]:
                await harness.store.remove(f"servers/{replica.incarnation_id}")
            harness.store.forget_history()
            await curio.sleep(6.0)
            await replicas[0].publish_entry()
            await replicas[1].publish_entry()
            harness.store.down = False
            while not harness.logs.matching("event=source_regained", "what=servers"):
                await curio.sleep(0.05)
            assert harness.logs.matching("event=server_doubted", "server=i-3")
            assert not harness.logs.matching("event=server_gone")

        play(harness, story)


class TestSight:
    """What the logs tell of a source that does not answer."""

    def test_a_silent_store_is_told_apart_from_one_that_breaks_off(self) -> None:
        """Lines go on while it is away, with how often it failed and how much came meanwhile."""
        harness = GatewayHarness()
        harness.add_replica("i-1", "plain")

        async def story() -> None:
            harness.store.faults.down = "silent"
            await curio.sleep(45.0)
            silent = harness.logs.matching("event=source_still_lost", "what=config")
            assert 5 <= len(silent) <= 9
            assert all(" received=0" in line and " failures=" in line for line in silent)
            harness.store.faults.break_off = True
            harness.store.faults.down = ""
            await curio.sleep(12.0)
            broken = harness.logs.matching("event=source_still_lost", "what=config")[len(silent) :]
            assert broken
            assert " received=0" not in broken[-1]

        play(harness, story)

    def test_a_list_that_is_read_anew_tells_who_is_doubted(self) -> None:
        """With how long ago the list was last heard of."""
        harness = GatewayHarness()
        harness.add_replica("i-1", "plain")
        harness.add_replica("i-2", "plain")

        async def story() -> None:
            assert harness.logs.matching("event=servers_listed", "servers=2", "doubted=0")
            harness.store.down = True
            await harness.store.remove("servers/i-1")
            await harness.store.remove("servers/i-2")
            harness.store.forget_history()
            await curio.sleep(6.0)
            harness.store.down = False
            await curio.sleep(1.0)
            again = harness.logs.matching("event=servers_listed", "servers=0")
            assert " doubted=2" in again[0]
            assert " heard_s=6." in again[0]
            for ident in ("i-1", "i-2"):
                assert harness.logs.matching(
                    "event=server_doubted", f"server={ident}", "heard_s=6."
                )

        play(harness, story)


class TestSlowStore:
    """A store whose answers take a second."""

    def test_changes_come_through(self) -> None:
        """A watch that is answered at once has as long for its first byte as any call."""
        harness = GatewayHarness()
        harness.add_replica("i-1", "plain")

        async def story() -> None:
            harness.store.faults.delay_s = 1.2
            await curio.sleep(10.0)
            await harness.store.put("op/config", make_config(2, {**ONCE, "path_prefix": "/new/"}))
            await curio.sleep(6.0)
            assert (await harness.call("q1", "/new/a"))[0] == 200

        play(harness, story)


class TestServers:
    """The list of servers."""

    def test_a_leaving_server_gets_no_new_request(self) -> None:
        """From the moment its entry says so."""
        harness = GatewayHarness()
        leaving = harness.add_replica("i-1", "plain")
        harness.add_replica("i-2", "plain")

        async def story() -> None:
            await leaving.publish_entry("draining")
            await curio.sleep(0.1)
            for number in range(10):
                assert (await harness.call(f"q{number}", "/once/a"))[2] == b"whole:i-2"

        play(harness, story)

    def test_entries_that_lapsed_during_an_outage_are_kept_for_a_while(self) -> None:
        """An empty list right after the store's return is not believed; a lasting one is."""
        harness = GatewayHarness()
        harness.add_replica("i-1", "plain")

        async def story() -> None:
            harness.store.down = True
            await harness.store.remove("servers/i-1")
            harness.store.forget_history()
            await curio.sleep(6.0)
            harness.store.down = False
            await curio.sleep(1.5)
            assert (await harness.call("q1", "/once/a"))[0] == 200
            await curio.sleep(3.0)
            assert (await harness.call("q2", "/once/a"))[0] == 503
            assert harness.logs.matching("event=server_gone", "why=not_back")

        play(harness, story)

    def test_an_unreadable_entry_costs_only_its_own_server(self) -> None:
        """The others are used, and the line names the key."""
        harness = GatewayHarness()
        harness.add_replica("i-1", "plain")

        async def story() -> None:
            await harness.store.put("servers/i-bad", {"service": 5})
            await curio.sleep(0.1)
            assert (await harness.call("q1", "/once/a"))[0] == 200
            assert harness.logs.matching("event=entry_unreadable", "i-bad")

        play(harness, story)
