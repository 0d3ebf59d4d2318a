"""Tests of the list of servers that is believed in."""

from __future__ import annotations

import dataclasses

from hypothesis import given
from hypothesis import strategies as st

from crankhinge.decisions import EngineRole, Server, ServerList


def server(ident: str = "a", *, beat: int = 1, leaving: bool = False, entered: int = 1) -> Server:
    """Return an entry."""
    return Server(
        ident, "s", "10.0.0.1", 80, "z", EngineRole.PLAIN, 4, leaving, beat, entry_created=entered
    )


def idents(servers: ServerList) -> set[str]:
    """Return who is believed in."""
    return {known.incarnation_id for known in servers.all()}


def listed(names: str) -> ServerList:
    """Return a list with a server for each letter."""
    servers = ServerList()
    servers.apply_list([server(name) for name in names], 0.0, was_unreachable=False)
    return servers


class TestGone:
    """When a missing entry means that the server is gone."""

    def test_a_missing_entry_counts_at_once(self) -> None:
        """While the list is there, a server without an entry gets no request."""
        servers = listed("ab")
        assert servers.apply_list([server("a")], 1.0, was_unreachable=False).removed == ("b",)
        assert idents(servers) == {"a"}

    def test_a_last_server_that_leaves_is_gone(self) -> None:
        """One entry that ends while the list is there lapsed for no outage."""
        servers = listed("a")
        assert servers.apply_changes([], ["a"], 1.0, was_unreachable=False).removed == ("a",)
        assert idents(servers) == set()

    def test_an_empty_list_is_not_believed_after_an_outage(self) -> None:
        """Entries that lapsed are doubted until the servers had time to write them again."""
        servers = listed("ab")
        change = servers.apply_list([], 10.0, was_unreachable=True)
        assert (change.removed, change.suspected) == ((), ("a", "b"))
        assert idents(servers) == {"a", "b"}
        assert servers.is_suspect("a")
        servers.apply_entry(server("a", beat=2, entered=9))
        assert not servers.is_suspect("a")
        assert servers.next_suspect_expiry() == 12.3
        assert servers.expire_suspects(11.0) == []
        assert servers.expire_suspects(12.4) == ["b"]
        assert idents(servers) == {"a"}
        assert servers.next_suspect_expiry() is None

    def test_a_leaving_server_is_not_doubted(self) -> None:
        """Whoever said that it leaves and has no entry is gone."""
        servers = ServerList()
        servers.apply_list([server("a", leaving=True)], 0.0, was_unreachable=False)
        assert servers.apply_list([], 10.0, was_unreachable=True).removed == ("a",)

    def test_whoever_is_missing_while_others_stand_is_gone(self) -> None:
        """After an outage of one instance alone, the other entries are as they were."""
        servers = listed("abcd")
        change = servers.apply_list([server(name) for name in "abc"], 10.0, was_unreachable=True)
        assert (change.removed, change.suspected) == (("d",), ())

    def test_replaced_servers_are_gone_however_many(self) -> None:
        """A release replaced all of them while this instance was cut off."""
        servers = listed("abc")
        fresh = [server(name) for name in "xyz"]
        change = servers.apply_list(fresh, 10.0, was_unreachable=True)
        assert set(change.removed) == {"a", "b", "c"}
        assert idents(servers) == {"x", "y", "z"}

    def test_entries_made_anew_tell_of_an_outage(self) -> None:
        """Some servers are back already; the others are waited for."""
        servers = listed("abcd")
        back = [server(name, beat=2, entered=9) for name in "ab"]
        change = servers.apply_list([*back, server("c")], 10.0, was_unreachable=True)
        assert (change.removed, change.suspected) == ((), ("d",))

    def test_entries_that_end_at_once_are_doubted(self) -> None:
        """A watch that outlives the outage tells of all that lapsed in one answer."""
        servers = listed("abcde")
        change = servers.apply_changes([], ["a", "b", "c", "d"], 10.0, was_unreachable=False)
        assert (change.removed, change.suspected) == ((), ("a", "b", "c", "d"))
        assert servers.apply_changes([], ["e"], 10.1, was_unreachable=False).removed == ("e",)

    def test_a_doubt_is_not_prolonged(self) -> None:
        """Two lists in a row, the second a second later."""
        servers = listed("ab")
        servers.apply_list([], 10.0, was_unreachable=True)
        assert servers.apply_list([], 11.0, was_unreachable=True).suspected == ()
        assert servers.expire_suspects(12.3) == ["a", "b"]

    @given(
        st.sets(st.sampled_from("abcdefgh")),
        st.sets(st.sampled_from("abcdefgh")),
        st.sets(st.sampled_from("abcdefgh")),
        st.booleans(),
    )
    def test_nobody_is_lost_or_kept_for_ever(
        self, before: set[str], standing: set[str], anew: set[str], was_away: bool
    ) -> None:
        """After any list, who is believed in is listed or doubted, and doubts end."""
        servers = listed("".join(sorted(before)))
        now = {name: server(name) for name in standing}
        now |= {name: server(name, beat=2, entered=9) for name in anew}
        change = servers.apply_list(now.values(), 10.0, was_unreachable=was_away)
        assert idents(servers) == set(now) | set(change.suspected)
        assert set(change.removed) | set(change.suspected) == before - set(now)
        servers.expire_suspects(12.3)
        assert idents(servers) == set(now)


class TestBeats:
    """Entries that were written late."""

    def test_an_older_entry_changes_nothing(self) -> None:
        """A server that leaves does not come back by an entry written before."""
        servers = ServerList()
        servers.apply_entry(server(beat=5, leaving=True))
        assert not servers.apply_entry(server(beat=4))
        assert next(iter(servers.all())).leaving

    def test_an_old_entry_does_not_bring_a_gone_server_back(self) -> None:
        """Only a newer heartbeat shows life."""
        servers = ServerList()
        servers.apply_entry(server(beat=5))
        assert servers.apply_changes([], ["a"], 1.0, was_unreachable=False).removed == ("a",)
        assert not servers.apply_entry(server(beat=5))
        assert idents(servers) == set()
        assert servers.apply_entry(server(beat=6))
        assert idents(servers) == {"a"}

    @given(st.lists(st.tuples(st.integers(0, 5), st.booleans()), max_size=12))
    def test_agrees_with_a_naive_list(self, entries: list[tuple[int, bool]]) -> None:
        """Whatever the order of entries, the one with the newest heartbeat stands."""
        servers = ServerList()
        best: Server | None = None
        for beat, leaving in entries:
            entry = dataclasses.replace(server(), heartbeat=beat, leaving=leaving)
            servers.apply_entry(entry)
            if best is None or beat >= best.heartbeat:
                best = entry
        assert list(servers.all()) == ([best] if best else [])
