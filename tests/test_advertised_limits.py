"""Tests of the limits that servers advertise, as one instance records them."""

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
    """Return limits among which SERVER has one of *per_s*, received at *at*."""
    limits = AdvertisedLimits()
    limits.record_limit(SERVER, per_s, at)
    return limits


class TestUpdateOrder:
    """Updates about the limit of one server that arrive out of order."""

    def test_latest_limit_is_kept(self) -> None:
        """A limit that was received before the recorded one changes nothing."""
        limits = limits_with(4.0, 10.0)
        assert limits.record_limit(SERVER, 3.0, 11.0)
        assert not limits.record_limit(SERVER, 5.0, 10.5)
        assert not limits.record_limit(SERVER, 3.0, 12.0)
        limit = limits.get(SERVER)
        assert limit is not None
        assert (limit.per_s, limit.received_at) == (3.0, 12.0)

    def test_response_without_limit_ends_the_limit_if_requested_later(self) -> None:
        """A response to an earlier request may have been begun before the server had the limit."""
        limits = limits_with(4.0, 10.0)
        assert not limits.record_no_limit(SERVER, 9.9)
        assert not limits.record_no_limit(SERVER, 10.0)
        assert limits.record_no_limit(SERVER, 10.1)
        assert limits.get(SERVER) is None

    def test_older_limit_does_not_restore_an_ended_one(self) -> None:
        """A message of another instance may arrive after the limit has ended."""
        limits = limits_with(4.0, 10.0)
        limits.record_no_limit(SERVER, 12.0)
        assert not limits.record_limit(SERVER, 4.0, 11.0)
        assert limits.get(SERVER) is None
        assert limits.record_limit(SERVER, 4.0, 12.5)

    def test_unreadable_limit_keeps_the_last_one(self) -> None:
        """The server still has a limit, but the value that it sent is not a number."""
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
        """The limit of the latest update holds; no two updates have the same time."""
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
    """Limits that an instance publishes in its record or reads from another record."""

    def test_small_change_of_limit_is_not_published(self) -> None:
        """Each change of a record is a write to the store, for which the store charges."""
        limits = limits_with(4.0, 10.0)
        assert limits.to_instance_record([SERVER], 10.0) == {SERVER: 4.0}
        limits.record_limit(SERVER, 4.4, 11.0)
        assert limits.to_instance_record([SERVER], 11.0) == {SERVER: 4.0}
        limits.record_limit(SERVER, 1.9, 12.0)
        assert limits.to_instance_record([SERVER], 12.0) == {SERVER: 1.9}

    def test_only_recently_received_limits_are_published(self) -> None:
        """A server that gets no requests may no longer have its limit."""
        limits = limits_with(4.0, 10.0)
        assert limits.to_instance_record([SERVER], 10.0 + MAX_RECORD_AGE_S)
        assert not limits.to_instance_record([SERVER], 10.1 + MAX_RECORD_AGE_S)
        assert not limits_with(4.0, 10.0).to_instance_record(["i-2"], 10.0)

    def test_record_does_not_restore_an_ended_limit(self) -> None:
        """The other instance may have written its record before the limit ended."""
        limits = limits_with(4.0, 10.0)
        limits.record_no_limit(SERVER, 20.0)
        assert limits.apply_instance_record({SERVER: 4.0, "i-2": 3.0}, 30.0) == ["i-2"]
        assert limits.servers == ["i-2"]

    def test_record_does_not_replace_a_received_limit(self) -> None:
        """A limit from a response of the server is newer than one from a record."""
        limits = limits_with(4.0, 10.0)
        assert limits.apply_instance_record({SERVER: 9.0}, 11.0) == []


class TestBounds:
    """Bounds on the memory for limits."""

    def test_number_of_tracked_servers_is_bounded(self) -> None:
        """Beyond the bound, the oldest limits are forgotten first."""
        limits = AdvertisedLimits()
        for number in range(2 * MAX_TRACKED_SERVERS):
            limits.record_limit(f"i-{number}", 1.0, float(number))
        assert len(limits) == MAX_TRACKED_SERVERS
        published = limits.to_instance_record(limits.servers, 2.0 * MAX_TRACKED_SERVERS)
        assert len(published) <= MAX_PUBLISHED_LIMITS
