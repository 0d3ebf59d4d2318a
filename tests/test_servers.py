"""Tests of the list of servers that is believed in."""

from __future__ import annotations

import dataclasses

from hypothesis import given
from hypothesis import strategies as st

from crankhinge.decisions import Phase, Server, ServerList


def server(ident: str = "a", *, beat: int = 1, leaving: bool = False) -> Server:
    """Return an entry."""
    return Server(ident, "s", "10.0.0.1", 80, "z", Phase.PLAIN, 4, leaving, beat)


def idents(servers: ServerList) -> set[str]:
    """Return who is believed in."""
    return {known.ident for known in servers.all()}


class TestGone:
    """When a missing entry means that the server is gone."""

    def test_a_missing_entry_counts_at_once(self) -> None:
        """While the list is there, a server without an entry gets no request."""
        servers = ServerList()
        servers.replace([server("a"), server("b")], 0.0)
        assert servers.replace([server("a")], 1.0) == ["b"]
        assert idents(servers) == {"a"}

    def test_an_empty_list_is_not_believed_after_an_outage(self) -> None:
        """Entries that lapsed are doubted until the servers had time to write them again."""
        servers = ServerList()
        servers.replace([server("a"), server("b")], 0.0)
        servers.returned(10.0)
        assert servers.replace([], 10.0) == []
        assert idents(servers) == {"a", "b"}
        assert servers.doubted() == ["a", "b"]
        servers.take(server("a", beat=2))
        assert servers.doubted() == ["b"]
        assert servers.expire(11.0) == []
        assert servers.expire(12.4) == ["b"]
        assert idents(servers) == {"a"}

    def test_a_leaving_server_is_not_doubted(self) -> None:
        """Whoever said that it leaves and has no entry is gone."""
        servers = ServerList()
        servers.replace([server("a", leaving=True)], 0.0)
        servers.returned(10.0)
        assert servers.replace([], 10.0) == ["a"]


class TestBeats:
    """Entries that were written late."""

    def test_an_older_entry_changes_nothing(self) -> None:
        """A server that leaves does not come back by an entry written before."""
        servers = ServerList()
        servers.take(server(beat=5, leaving=True))
        assert not servers.take(server(beat=4))
        assert next(iter(servers.all())).leaving

    def test_an_old_entry_does_not_bring_a_gone_server_back(self) -> None:
        """Only a newer heartbeat shows life."""
        servers = ServerList()
        servers.take(server(beat=5))
        assert servers.missing("a", 1.0)
        assert not servers.take(server(beat=5))
        assert idents(servers) == set()
        assert servers.take(server(beat=6))
        assert idents(servers) == {"a"}

    @given(st.lists(st.tuples(st.integers(0, 5), st.booleans()), max_size=12))
    def test_agrees_with_a_naive_list(self, entries: list[tuple[int, bool]]) -> None:
        """Whatever the order of entries, the one with the newest heartbeat stands."""
        servers = ServerList()
        best: Server | None = None
        for beat, leaving in entries:
            entry = dataclasses.replace(server(), beat=beat, leaving=leaving)
            servers.take(entry)
            if best is None or beat >= best.beat:
                best = entry
        assert list(servers.all()) == ([best] if best else [])
