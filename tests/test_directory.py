"""Tests of configuration and server list while the store fails, drops its history or is slow."""

from __future__ import annotations

import curio

from platform_fakes import GatewayHarness, make_config, route
from virtual_time import run_virtual

UNSAFE_ROUTE = route("r-once", "/once/", "unsafe", "plain")


def run_scenario(harness: GatewayHarness, scenario: object) -> None:
    """Run *scenario* in virtual time, with an instance that serves UNSAFE_ROUTE."""
    run_virtual(harness.run, scenario, UNSAFE_ROUTE, settle_s=0.003)


class TestConfig:
    """Which version of the configuration a gateway applies, and when."""

    def test_older_version_is_never_applied(self) -> None:
        """Version numbers may have gaps, so only a lower number shows that a version is old."""
        harness = GatewayHarness()
        harness.add_replica("i-1", "plain")

        async def scenario() -> None:
            moved = {**UNSAFE_ROUTE, "path_prefix": "/moved/"}
            await harness.store.put("op/config", make_config(7, moved))
            await curio.sleep(0.2)
            assert (await harness.call("q1", "/moved/a"))[0] == 200
            await harness.store.put("op/config", make_config(5, UNSAFE_ROUTE))
            await curio.sleep(0.2)
            assert (await harness.call("q2", "/moved/a"))[0] == 200
            assert (await harness.call("q3", "/once/a"))[0] == 404

        run_scenario(harness, scenario)

    def test_requests_are_served_while_the_store_is_unreachable(self) -> None:
        """The last configuration stays active; one written meanwhile is read within a second."""
        harness = GatewayHarness()
        harness.add_replica("i-1", "plain")

        async def scenario() -> None:
            harness.store.down = True
            harness.store.forget_history()
            await harness.store.put(
                "op/config", make_config(3, {**UNSAFE_ROUTE, "path_prefix": "/late/"})
            )
            await curio.sleep(20.0)
            assert (await harness.call("q1", "/once/a"))[0] == 200
            assert harness.logs.matching("event=source_lost", "what=config")
            harness.store.down = False
            await curio.sleep(1.0)
            assert (await harness.call("q2", "/late/a"))[0] == 200
            assert harness.logs.matching("event=source_regained", "what=config")

        run_scenario(harness, scenario)

    def test_recovered_store_is_noticed_without_a_change(self) -> None:
        """The first watch after an outage must not wait for a change, which may never come."""
        harness = GatewayHarness()
        harness.add_replica("i-1", "plain")

        async def scenario() -> None:
            harness.store.down = True
            await curio.sleep(10.0)
            assert harness.logs.matching("event=source_lost", "what=config")
            harness.store.down = False
            await curio.sleep(1.2)
            for what in ("config", "servers"):
                assert harness.logs.matching("event=source_regained", f"what={what}")

        run_scenario(harness, scenario)

    def test_watch_starts_at_the_revision_of_the_read(self) -> None:
        """A watch from an earlier revision, dropped by the store, would cause endless reads."""
        harness = GatewayHarness()
        harness.add_replica("i-1", "plain")
        harness.store.revision = 1000

        def watch_calls() -> int:
            """Return the number of calls for configuration and server list, without others."""
            return sum(call in ("/v1/kv-watch", "/v1/kv-key") for call in harness.store.calls)

        async def scenario() -> None:
            await curio.sleep(1.0)
            harness.store.forget_history()
            before = watch_calls()
            await harness.store.put("other/key", "x")
            await curio.sleep(60.0)
            # Two watches of 2 s each make one call per second, not thousands.
            assert watch_calls() - before < 65

        run_scenario(harness, scenario)

    def test_lost_history_is_retried_with_growing_delays(self) -> None:
        """The store answers every watch with 'history gone', so each must be followed by a read."""
        harness = GatewayHarness()
        harness.add_replica("i-1", "plain")

        async def scenario() -> None:
            harness.store.oldest_revision = 10**9
            await harness.store.put("op/config", make_config(2, UNSAFE_ROUTE))
            before = len(harness.store.calls)
            await curio.sleep(10.0)
            assert len(harness.store.calls) - before < 120

        run_scenario(harness, scenario)


# Capacity of a slow link in bytes per second (5 Mbit/s), and seconds for which the store keeps its
# history of changes.
SLOW_LINK_BYTES_PER_S = 625_000
HISTORY_S = 20.0


class TestLargeConfig:
    """A configuration whose transfer over a slow link takes longer than the timeout of a read.

    Guards against instances on slow links that keep an old configuration for the rest of the day.
    The operators had added 1,400 routes three times, to a value of 1 MB, and the store had dropped
    its history, so that instances had to read the whole value. A 5 Mbit/s link carries it in 1.7 s,
    but a read was aborted after 1.5 s, whatever had arrived, and repeated endlessly. Each such
    instance logged `source_still_lost what=config why="no answer in 1.5 s" failures=4
    received=2630700` while its link was saturated; instances with a fast link logged
    `config_in_force` 0.17 s after the write.
    """

    def test_large_configuration_is_applied_over_a_slow_link(self) -> None:
        """The timeout of a read applies to gaps between bytes, not to the whole transfer."""
        harness = GatewayHarness()
        harness.add_replica("i-1", "plain")
        more = [route(f"r-{n}", f"/more-{n:05}/", "unsafe", "plain") for n in range(4200)]

        async def scenario() -> None:
            await harness.store.put("other/key", "x")
            harness.store.forget_history()
            harness.store.faults.bytes_per_s = SLOW_LINK_BYTES_PER_S
            await harness.store.put(
                "op/config", make_config(2, {**UNSAFE_ROUTE, "path_prefix": "/new/"}, *more)
            )
            value = harness.store.items["op/config"]["value"]
            carried_s = len(value) / SLOW_LINK_BYTES_PER_S
            assert carried_s > 1.5
            await curio.sleep(carried_s + 1.5)
            assert (await harness.call("q1", "/new/a"))[0] == 200
            assert (await harness.call("q2", "/once/a"))[0] == 404

        run_scenario(harness, scenario)

    def test_configuration_is_not_read_again_after_a_connection_ends(self) -> None:
        """The next watch continues at the last revision, so the value is not transferred again."""
        harness = GatewayHarness()
        harness.add_replica("i-1", "plain")

        async def scenario() -> None:
            await curio.sleep(1.0)
            before = harness.store.calls.count("/v1/kv-key")
            harness.store.down = True
            await harness.store.put("other/key", "x")
            await curio.sleep(6.0)
            harness.store.down = False
            await harness.store.put(
                "op/config", make_config(2, {**UNSAFE_ROUTE, "path_prefix": "/new/"})
            )
            await curio.sleep(1.0)
            assert (await harness.call("q1", "/new/a"))[0] == 200
            assert harness.logs.matching("event=source_regained", "what=config")
            assert harness.store.calls.count("/v1/kv-key") == before

        run_scenario(harness, scenario)

    def test_versions_in_quick_succession_are_skipped(self) -> None:
        """Of the versions written during a transfer, only the newest is read.

        The response to a watch carries every version since its revision. Six large versions
        take a slow link six times as long as the time in which a version must be applied,
        and further ones are written in the meantime.
        """
        harness = GatewayHarness()
        harness.add_replica("i-1", "plain")
        more = [route(f"r-{n}", f"/more-{n:05}/", "unsafe", "plain") for n in range(2000)]

        async def scenario() -> None:
            harness.store.faults.bytes_per_s = SLOW_LINK_BYTES_PER_S // 2
            for version in range(2, 14):
                moved = {**UNSAFE_ROUTE, "path_prefix": f"/v{version}/"}
                await harness.store.put("op/config", make_config(version, moved, *more))
                await curio.sleep(0.3)
            value = harness.store.items["op/config"]["value"]
            # Time for the version in transfer and for the newest one.
            await curio.sleep(2 * len(value) / (SLOW_LINK_BYTES_PER_S // 2) + 0.5)
            assert (await harness.call("q1", "/v13/a"))[0] == 200
            assert harness.logs.matching("event=config_passed_over")
            assert not harness.logs.matching("event=history_lost", "what=config")

        run_scenario(harness, scenario)


class TestMissedRemoval:
    """A server whose entry is removed while the gateway does not receive the change.

    Guards against requests to a removed server; they arrived 2.1 and 2.3 s after the removal,
    although an instance usually learns of it within milliseconds. The list had not changed for
    longer than the store keeps its history, so the watch got "history lost" instead of the change
    and the list was read again. As the last response about the list was more than a second old, the
    gateway assumed that the store had been unreachable and that the missing entry might have
    expired during that time, and it kept the server for another 2.3 to 2.9 s. The logs showed
    requests in exactly that span, `history_lost what=servers` without `source_lost` before it, and
    `server_gone why=not_back` 2.4 to 3.0 s after the list was read.
    """

    def test_unchanged_list_does_not_count_as_an_outage(self) -> None:
        """The list is read again after an idle time; a server missing from it is gone at once."""
        harness = GatewayHarness(HISTORY_S)
        leaving = harness.add_replica("i-1", "plain")
        harness.add_replica("i-2", "plain")

        async def scenario() -> None:
            for number in range(48):
                # Other items change meanwhile, so the revision of the unchanged list grows old.
                await curio.sleep(0.5)
                await harness.store.put("other/key", number)
            await harness.store.remove("servers/i-1")
            await curio.sleep(0.5)
            assert harness.logs.matching("event=server_gone", "server=i-1")
            for number in range(20):
                assert (await harness.call(f"q{number}", "/once/a"))[2] == b"whole:i-2"
            assert not leaving.arrivals

        run_scenario(harness, scenario)

    def test_disconnected_instance_drops_a_server_missing_from_the_list(self) -> None:
        """All other entries still exist, so the missing one was removed and did not expire.

        Guards against this failure: nine instances were disconnected for twelve seconds, a
        server left after three of them, and a request reached it 13 s later, 4 s after the
        connections were back and the list was read.
        """
        harness = GatewayHarness()
        leaving = harness.add_replica("i-1", "plain")
        harness.add_replica("i-2", "plain")
        harness.add_replica("i-3", "plain")

        async def scenario() -> None:
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

        run_scenario(harness, scenario)


# Seconds after a reset of its connections until an instance counts as reconnected.
RECONNECTED_S = 3.0


class TestUnresponsiveConnection:
    """An open connection on which the store no longer responds, although new connections work.

    The connection still acknowledges what is sent, so the transport does not show the fault. A
    changed configuration was applied only after 25.1 s and a leaving server noticed after 25.2 s,
    when the watch on that connection timed out.
    """

    def test_unresponsive_connection_is_noticed_in_time(self) -> None:
        """Both watches wait on the failed connection when the configuration and the list change."""
        harness = GatewayHarness()
        harness.add_replica("i-1", "plain")
        harness.add_replica("i-2", "plain")

        async def scenario() -> None:
            # Both watches have just been sent again.
            await curio.sleep(10.0)
            harness.store.mute_open_calls()
            await harness.store.put(
                "op/config", make_config(2, {**UNSAFE_ROUTE, "path_prefix": "/new/"})
            )
            await harness.store.remove("servers/i-1")
            await curio.sleep(RECONNECTED_S)
            assert harness.logs.matching("event=server_gone", "server=i-1")
            for number in range(10):
                assert (await harness.call(f"q{number}", "/new/a"))[2] == b"whole:i-2"

        run_scenario(harness, scenario)

    def test_unresponsive_connection_is_noticed_between_batched_watches(self) -> None:
        """The connection fails between two watches, while the gateway waits to batch changes.

        The next watch is sent on this connection up to 0.8 s later. With the full wait of a
        watch, a leaving server would be noticed only after 3.6 s.
        """
        harness = GatewayHarness()
        harness.add_replica("i-1", "plain")
        harness.add_replica("i-2", "plain")
        other = harness.add_replica("i-3", "plain")

        async def scenario() -> None:
            await curio.sleep(10.0)
            for state in ("draining", "ready", "draining"):
                await other.publish_entry(state)
                await curio.sleep(0.02)
            harness.store.mute_open_conns()
            await harness.store.remove("servers/i-1")
            await curio.sleep(RECONNECTED_S)
            assert harness.logs.matching("event=server_gone", "server=i-1")

        run_scenario(harness, scenario)

    def test_watch_ends_before_the_store_drops_its_history(self) -> None:
        """A longer wait would end with "history gone" and a read of the whole list."""
        harness = GatewayHarness(HISTORY_S)
        harness.add_replica("i-1", "plain")

        async def scenario() -> None:
            for number in range(100):
                await curio.sleep(0.5)
                await harness.store.put("other/key", number)
            assert not harness.logs.matching("event=history_lost")
            assert len(harness.logs.matching("event=servers_listed")) == 1

        run_scenario(harness, scenario)


class TestManyChanges:
    """A rollout, during which the list changes many times per second.

    The response to a watch comes with the first change. When 68 instances sent the next watch at
    once, each made a call for each of about 150 changes: 11,867 charged calls in 55 s.
    """

    def test_changes_are_batched(self) -> None:
        """Ten changes per second for ten seconds must take fewer than two calls per second."""
        harness = GatewayHarness()
        harness.add_replica("i-1", "plain")
        other = harness.add_replica("i-2", "plain")

        async def scenario() -> None:
            await curio.sleep(1.0)
            before = harness.store.calls.count("/v1/kv-watch")
            for number in range(100):
                await other.publish_entry("draining" if number % 2 else "ready")
                await curio.sleep(0.1)
            # One watch for the list every 0.8 s, one for the configuration every 2 s.
            assert harness.store.calls.count("/v1/kv-watch") - before < 20
            assert harness.logs.matching("event=source_called", "watch_servers=")

        run_scenario(harness, scenario)

    def test_leaving_server_gets_no_request_after_the_bound(self) -> None:
        """The server leaves right after the response to a watch, which is the worst moment."""
        harness = GatewayHarness()
        leaving = harness.add_replica("i-1", "plain")
        harness.add_replica("i-2", "plain")
        other = harness.add_replica("i-3", "plain")

        async def scenario() -> None:
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

        run_scenario(harness, scenario)

    def test_first_change_after_an_idle_time_is_seen_at_once(self) -> None:
        """The pause that batches changes begins only after several changes in a row."""
        harness = GatewayHarness()
        leaving = harness.add_replica("i-1", "plain")
        harness.add_replica("i-2", "plain")

        async def scenario() -> None:
            await curio.sleep(5.0)
            await leaving.publish_entry("draining")
            await curio.sleep(0.05)
            assert harness.logs.matching("event=server_seen", "server=i-1", "leaving=true")

        run_scenario(harness, scenario)

    def test_many_configurations_in_succession_are_applied(self) -> None:
        """The last of forty versions in ten seconds is active half a second after its write."""
        harness = GatewayHarness()
        harness.add_replica("i-1", "plain")

        async def scenario() -> None:
            await curio.sleep(1.0)
            for version in range(2, 42):
                await harness.store.put(
                    "op/config",
                    make_config(version, {**UNSAFE_ROUTE, "path_prefix": f"/v{version}/"}),
                )
                await curio.sleep(0.25)
            await curio.sleep(0.5)
            assert (await harness.call("q", "/v41/a"))[0] == 200

        run_scenario(harness, scenario)


class TestEntriesExpiredTogether:
    """Entries that all expired while the store was unresponsive.

    A store that was unresponsive for six seconds let all entries expire and then reported that in
    one response. Every instance dropped every server at once and had none until the servers had
    written their entries again.
    """

    def test_servers_that_vanish_together_are_kept_until_the_grace_ends(self) -> None:
        """Meanwhile the servers get requests; one whose entry does not return is then dropped."""
        harness = GatewayHarness()
        replicas = [harness.add_replica(f"i-{number}", "plain") for number in (1, 2, 3)]

        async def scenario() -> None:
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

        run_scenario(harness, scenario)

    def test_server_whose_entry_returns_late_is_kept(self) -> None:
        """Entries return over two seconds; the first ones must not end the wait for the others."""
        harness = GatewayHarness()
        replicas = [harness.add_replica(f"i-{number}", "plain") for number in range(5)]

        async def scenario() -> None:
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

        run_scenario(harness, scenario)

    def test_recreated_entries_make_the_missing_ones_suspect(self) -> None:
        """Two of three expired entries are written again when the list is read; one is missing."""
        harness = GatewayHarness()
        replicas = [harness.add_replica(f"i-{number}", "plain") for number in (1, 2, 3, 4)]

        async def scenario() -> None:
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

        run_scenario(harness, scenario)


class TestLogs:
    """Log lines about a store that does not respond."""

    def test_unresponsive_store_differs_from_one_that_aborts_responses(self) -> None:
        """The lines of an outage give the numbers of failures and of received bytes."""
        harness = GatewayHarness()
        harness.add_replica("i-1", "plain")

        async def scenario() -> None:
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

        run_scenario(harness, scenario)

    def test_repeated_read_of_the_list_logs_suspect_servers(self) -> None:
        """The lines say how many seconds ago the last response about the list came."""
        harness = GatewayHarness()
        harness.add_replica("i-1", "plain")
        harness.add_replica("i-2", "plain")

        async def scenario() -> None:
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

        run_scenario(harness, scenario)


class TestSlowStore:
    """A store whose responses take more than a second."""

    def test_changes_are_applied_despite_slow_responses(self) -> None:
        """A watch without a wait must not have a shorter timeout than other calls."""
        harness = GatewayHarness()
        harness.add_replica("i-1", "plain")

        async def scenario() -> None:
            harness.store.faults.delay_s = 1.2
            await curio.sleep(10.0)
            await harness.store.put(
                "op/config", make_config(2, {**UNSAFE_ROUTE, "path_prefix": "/new/"})
            )
            await curio.sleep(6.0)
            assert (await harness.call("q1", "/new/a"))[0] == 200

        run_scenario(harness, scenario)


class TestServers:
    """Which servers of the list get requests."""

    def test_leaving_server_gets_no_new_request(self) -> None:
        """Requests stop as soon as the server's entry says that it is leaving."""
        harness = GatewayHarness()
        leaving = harness.add_replica("i-1", "plain")
        harness.add_replica("i-2", "plain")

        async def scenario() -> None:
            await leaving.publish_entry("draining")
            await curio.sleep(0.1)
            for number in range(10):
                assert (await harness.call(f"q{number}", "/once/a"))[2] == b"whole:i-2"

        run_scenario(harness, scenario)

    def test_servers_whose_entries_expired_in_an_outage_are_kept_for_a_while(self) -> None:
        """An empty list is ignored right after an outage and applied if the list stays empty."""
        harness = GatewayHarness()
        harness.add_replica("i-1", "plain")

        async def scenario() -> None:
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

        run_scenario(harness, scenario)

    def test_invalid_entry_affects_only_its_own_server(self) -> None:
        """The other servers get requests, and a log line names the key of the invalid entry."""
        harness = GatewayHarness()
        harness.add_replica("i-1", "plain")

        async def scenario() -> None:
            await harness.store.put("servers/i-bad", {"service": 5})
            await curio.sleep(0.1)
            assert (await harness.call("q1", "/once/a"))[0] == 200
            assert harness.logs.matching("event=entry_unreadable", "i-bad")

        run_scenario(harness, scenario)
