"""Tests of what one instance believes of servers' limits."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from crankhinge.decisions import AdvertisedLimits
from crankhinge.decisions._advertised_limits import (
    MAX_PUBLISHED_LIMITS,
    MAX_RECORD_AGE_S,
    MAX_TRACKED_SERVERS,
)

SERVER = "i-1"


def limits_with(per_s: float, at: float) -> AdvertisedLimits:
    """Return what is believed after one word."""
    limits = AdvertisedLimits()
    limits.record_limit(SERVER, per_s, at)
    return limits


class TestUpdateOrder:
    """Words of a server that overtake each other."""

    def test_latest_limit_is_kept(self) -> None:
        """One that was heard before it and comes later changes nothing."""
        limits = limits_with(4.0, 10.0)
        assert limits.record_limit(SERVER, 3.0, 11.0)
        assert not limits.record_limit(SERVER, 5.0, 10.5)
        assert not limits.record_limit(SERVER, 3.0, 12.0)
        limit = limits.get(SERVER)
        assert limit is not None
        assert (limit.per_s, limit.received_at) == (3.0, 12.0)

    def test_response_without_limit_ends_it_if_requested_later(self) -> None:
        """A request that was sent before may have been answered before, too."""
        limits = limits_with(4.0, 10.0)
        assert not limits.record_no_limit(SERVER, 9.9)
        assert not limits.record_no_limit(SERVER, 10.0)
        assert limits.record_no_limit(SERVER, 10.1)
        assert limits.get(SERVER) is None

    def test_older_limit_does_not_restore_an_ended_one(self) -> None:
        """Another instance's, that was under way for long."""
        limits = limits_with(4.0, 10.0)
        limits.record_no_limit(SERVER, 12.0)
        assert not limits.record_limit(SERVER, 4.0, 11.0)
        assert limits.get(SERVER) is None
        assert limits.record_limit(SERVER, 4.0, 12.5)

    def test_unreadable_limit_keeps_the_last_one(self) -> None:
        """The server is still in need; without a rate nothing is known."""
        limits = limits_with(4.0, 10.0)
        limits.record_unreadable(SERVER, 20.0)
        assert not limits.record_no_limit(SERVER, 15.0)
        limits.record_unreadable("i-2", 20.0)
        assert limits.servers == [SERVER]

    @given(
        st.lists(
            st.tuples(st.sampled_from(["limit", "no-limit"]), st.floats(0, 100), st.floats(0, 9))
        )
    )
    def test_order_of_arrival_does_not_matter(
        self, updates: list[tuple[str, float, float]]
    ) -> None:
        """As long as no two words are of one moment."""
        updates = list({at: (kind, at, per_s) for kind, at, per_s in updates}.values())
        results = []
        for order in (updates, sorted(updates, key=lambda update: update[1])):
            limits = AdvertisedLimits()
            for kind, at, per_s in order:
                if kind == "limit":
                    limits.record_limit(SERVER, per_s, at)
                else:
                    limits.record_no_limit(SERVER, at)
            results.append(limits.get(SERVER))
        last = max(updates, key=lambda update: update[1], default=None)
        if last is not None and last[0] == "limit":
            assert results[0] == results[1]


class TestInstanceRecord:
    """What an instance tells in its note."""

    def test_small_change_of_limit_is_not_published(self) -> None:
        """Each change of a note is a priced write."""
        limits = limits_with(4.0, 10.0)
        assert limits.to_instance_record([SERVER], 10.0) == {SERVER: 4.0}
        limits.record_limit(SERVER, 4.4, 11.0)
        assert limits.to_instance_record([SERVER], 11.0) == {SERVER: 4.0}
        limits.record_limit(SERVER, 1.9, 12.0)
        assert limits.to_instance_record([SERVER], 12.0) == {SERVER: 1.9}

    def test_only_recently_received_limits_are_published(self) -> None:
        """One that nobody asks may have ceased to name it."""
        limits = limits_with(4.0, 10.0)
        assert limits.to_instance_record([SERVER], 10.0 + MAX_RECORD_AGE_S)
        assert not limits.to_instance_record([SERVER], 10.1 + MAX_RECORD_AGE_S)
        assert not limits_with(4.0, 10.0).to_instance_record(["i-2"], 10.0)

    def test_record_does_not_restore_an_ended_limit(self) -> None:
        """A note is read seconds late."""
        limits = limits_with(4.0, 10.0)
        limits.record_no_limit(SERVER, 20.0)
        assert limits.apply_instance_record({SERVER: 4.0, "i-2": 3.0}, 30.0) == ["i-2"]
        assert limits.servers == ["i-2"]

    def test_record_does_not_replace_a_received_limit(self) -> None:
        """The server's own word is newer."""
        limits = limits_with(4.0, 10.0)
        assert limits.apply_instance_record({SERVER: 9.0}, 11.0) == []


class TestBounds:
    """What is remembered."""

    def test_number_of_tracked_servers_is_bounded(self) -> None:
        """The newest stand."""
        limits = AdvertisedLimits()
        for number in range(2 * MAX_TRACKED_SERVERS):
            limits.record_limit(f"i-{number}", 1.0, float(number))
        assert len(limits) == MAX_TRACKED_SERVERS
        published = limits.to_instance_record(limits.servers, 2.0 * MAX_TRACKED_SERVERS)
        assert len(published) <= MAX_PUBLISHED_LIMITS
