"""Tests of which instance may coordinate on behalf of all."""

from __future__ import annotations

import math

from crankhinge.decisions import FLEET_ENTRY_LEASE_S, Membership, rank_by_key

ADDRESSES = {"here": "h:1", "there": "t:1"}


def make_joined(*, resumed: bool = False) -> Membership:
    """Return the membership of instance "here", which joined at 10 s and found "there"."""
    membership = Membership("here", 0.0)
    membership.set_lease_end(1000.0)
    membership.join(ADDRESSES, 10.0, resumed=resumed)
    return membership


class TestMayCoordinate:
    """When an instance may coordinate, for example allocate the tokens of an account."""

    def test_joined_instance_waits_for_acknowledgement_of_the_others(self) -> None:
        """Before they count the joined instance, another one may coordinate in its place."""
        membership = make_joined()
        assert not membership.may_coordinate(10.1)
        assert membership.unacknowledged_addresses == ["t:1"]
        membership.record_acknowledged("there")
        assert membership.may_coordinate(10.1)

    def test_joined_instance_may_coordinate_once_the_other_is_gone(self) -> None:
        """Only a read that cannot be stale shows that the record of the other is gone."""
        membership = make_joined()
        membership.apply_records({"here": "h:1"}, 15.0)
        assert not membership.may_coordinate(15.0)
        membership.apply_records({"here": "h:1"}, 17.0)
        assert membership.may_coordinate(17.0)

    def test_joined_instance_waits_until_an_unreachable_one_has_read_its_record(self) -> None:
        """By then, the unreachable instance counts the joined one or no longer coordinates."""
        membership = make_joined()
        for now in (13.0, 16.0, 19.0, 22.0):
            membership.apply_records(ADDRESSES, now)
            assert not membership.may_coordinate(now)
        membership.apply_records(ADDRESSES, 24.0)
        assert membership.may_coordinate(24.0)

    def test_restarted_instance_that_resumed_its_record_may_coordinate_at_once(self) -> None:
        """The record never expired, so the other instances never stopped counting it."""
        assert make_joined(resumed=True).may_coordinate(10.0)

    def test_restarted_instance_announces_itself_although_it_may_coordinate(self) -> None:
        """The others may skip it for up to 16 s because it did not respond to them."""
        membership = make_joined(resumed=True)
        assert membership.unacknowledged_addresses == ["t:1"]
        membership.record_acknowledged("there")
        assert membership.unacknowledged_addresses == []

    def test_instance_stops_coordinating_when_its_lease_may_have_ended(self) -> None:
        """Another instance coordinates as soon as it reads that the record is gone."""
        membership = make_joined(resumed=True)
        membership.set_lease_end(12.0)
        assert membership.may_coordinate(11.9)
        assert not membership.may_coordinate(12.0)

    def test_instance_stops_coordinating_when_its_last_read_is_too_old(self) -> None:
        """Another instance may have joined since that read and coordinate already."""
        membership = make_joined(resumed=True)
        assert membership.may_coordinate(17.5)
        assert not membership.may_coordinate(17.6)


class TestRankInstances:
    """The order of instances for a key; the first one coordinates what the key names."""

    def test_stale_read_keeps_joined_instance(self) -> None:
        """A read from before the join must not drop an instance that may coordinate already."""
        membership = make_joined(resumed=True)
        membership.record_joined("third", "x:1", 11.0)
        membership.apply_records(ADDRESSES, 13.0)
        assert "third" in membership.rank_instances("red")
        membership.apply_records(ADDRESSES, 17.1)
        assert "third" not in membership.rank_instances("red")

    def test_all_instances_compute_the_same_order(self) -> None:
        """The order must not depend on that in which an instance learned the names."""
        other = Membership("there", 0.0)
        other.join(dict(reversed(ADDRESSES.items())), 10.0, resumed=False)
        assert all(
            make_joined().rank_instances(key) == other.rank_instances(key) for key in "abcdefgh"
        )

    def test_instance_counts_itself(self) -> None:
        """An instance is in its own order before it has read any record."""
        assert Membership("here", 0.0).rank_instances("red") == ["here"]


class TestMayUseEqualShare:
    """When an instance may use its equal share of a limit, and how many instances it counts."""

    @staticmethod
    def make_entered(*names: str, returned: bool = False, **options: float) -> Membership:
        """Return the membership of "here", which found only fleet entries, all without records."""
        membership = Membership("here", 0.0)
        membership.set_lease_end(math.inf)
        membership.join({"here": "h:1"}, 10.0, resumed=False)
        membership.enter_fleet(
            {name: f"{name}:1" for name in names},
            10.0,
            until=math.inf,
            returned=returned,
            leaving=options,
        )
        return membership

    def test_no_share_is_used_before_the_fleet_entry_exists(self) -> None:
        """An instance that joins then could not count this one once its record has lapsed."""
        membership = make_joined(resumed=True)
        assert not membership.may_use_equal_share(15.0)

    def test_lapsed_instance_counts_by_its_fleet_entry(self) -> None:
        """Each of the two would otherwise use the whole limit."""
        assert self.make_entered("lapsed").fleet_size == 2

    def test_share_waits_until_the_lapsed_instance_knows_of_this_one(self) -> None:
        """Until then, the lapsed instance may count itself only."""
        membership = self.make_entered("lapsed")
        assert not membership.may_use_equal_share(20.0)
        assert membership.unacknowledged_addresses == ["lapsed:1"]
        membership.record_acknowledged("lapsed")
        assert membership.may_use_equal_share(20.0)

    def test_share_waits_no_longer_than_the_lapsed_instance_may_use_its_own(self) -> None:
        """The lapsed instance may be gone for good."""
        membership = self.make_entered("lapsed")
        for now in range(15, 130, 5):
            membership.apply_records({"here": "h:1"}, float(now))
            assert not membership.may_use_equal_share(float(now))
        membership.apply_records({"here": "h:1"}, 10.0 + FLEET_ENTRY_LEASE_S)
        assert membership.may_use_equal_share(10.0 + FLEET_ENTRY_LEASE_S)

    def test_share_does_not_wait_for_a_stopped_instance(self) -> None:
        """In a rolling replacement under new names no share would be used for two minutes."""
        membership = self.make_entered("stopped", stopped=2.4)
        assert not membership.may_use_equal_share(12.3)
        assert membership.may_use_equal_share(12.5)
        assert membership.fleet_size == 2

    def test_restarted_instance_need_not_wait(self) -> None:
        """All instances that may use a share have counted its name all the time."""
        assert self.make_entered("lapsed", returned=True).may_use_equal_share(10.1)

    def test_instance_that_renews_its_record_must_have_read_that_of_this_one(self) -> None:
        """Datagrams between the two instances may be lost for as long as both run."""
        membership = self.make_entered("there")
        for now in (13.0, 16.0, 19.0, 22.0, 25.0, 28.0, 30.0):
            membership.apply_records(ADDRESSES, now)
            assert not membership.may_use_equal_share(now)
        membership.apply_records(ADDRESSES, 30.1)
        assert membership.may_use_equal_share(30.1)

    def test_no_share_is_used_after_the_fleet_entry_may_have_ended(self) -> None:
        """An instance that joins from then on does not count this one."""
        membership = self.make_entered()
        membership.set_entry_end(40.0)
        assert membership.may_use_equal_share(39.9)
        assert not membership.may_use_equal_share(40.0)


class TestStartAllowance:
    """For which keys a restarted instance has a start allowance."""

    @staticmethod
    def make_restarted() -> Membership:
        """Return the membership of "here", which restarted at 10 s; "away" has only an entry."""
        membership = make_joined(resumed=True)
        membership.enter_fleet(
            {"here": "h:1", "there": "t:1", "away": "a:1"},
            10.0,
            until=math.inf,
            returned=True,
            start_allowance=True,
        )
        return membership

    def test_only_the_first_of_all_instances_with_entries_has_one(self) -> None:
        """Another one may have had its own a moment ago, and be gone again."""
        membership = self.make_restarted()
        keys = [f"k{number}" for number in range(100)]
        names = ["here", "there", "away"]
        for key in keys:
            is_first = rank_by_key(key.encode(), names)[0] == "here"
            assert (membership.start_allowance_until(key, 10.5) == 12.0) is is_first

    def test_unused_one_is_lost_when_the_instances_change(self) -> None:
        """Another instance may have been the first and allocated tokens since."""
        membership = self.make_restarted()
        key = next(
            f"k{number}"
            for number in range(100)
            if membership.start_allowance_until(f"k{number}", 10.5) is not None
        )
        assert membership.start_allowance_until(key, 50.0) == 12.0
        membership.record_joined("new", "n:1", 11.0)
        assert membership.start_allowance_until(key, 11.5) == 12.0
        assert membership.start_allowance_until(key, 50.0) is None
