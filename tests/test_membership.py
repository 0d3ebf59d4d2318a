"""Tests of which instance may act for all."""

from __future__ import annotations

from crankhinge.decisions import Membership

NOTES = {"here": "h:1", "there": "t:1"}


def joined(*, resumed: bool = False) -> Membership:
    """Return an instance that has just found another one."""
    members = Membership("here", 0.0)
    members.set_lease_end(1000.0)
    members.join(NOTES, 10.0, resumed=resumed)
    return members


class TestSettled:
    """When an instance may act as the first."""

    def test_not_before_the_others_count_it(self) -> None:
        """They may hold themselves for the first until then."""
        members = joined()
        assert not members.may_coordinate(10.1)
        assert members.unacknowledged_addresses == ["t:1"]
        members.record_acknowledged("there")
        assert members.may_coordinate(10.1)

    def test_once_whoever_did_not_answer_has_gone(self) -> None:
        """Its note ended; a stale read that lacks it for lack of age does not tell."""
        members = joined()
        members.apply_records({"here": "h:1"}, 15.0)
        assert not members.may_coordinate(15.0)
        members.apply_records({"here": "h:1"}, 17.0)
        assert members.may_coordinate(17.0)

    def test_once_whoever_did_not_answer_has_read_of_it_or_ceased_to_act(self) -> None:
        """It is cut off from this instance alone."""
        members = joined()
        for now in (13.0, 16.0, 19.0, 22.0):
            members.apply_records(NOTES, now)
            assert not members.may_coordinate(now)
        members.apply_records(NOTES, 24.0)
        assert members.may_coordinate(24.0)

    def test_at_once_when_it_took_its_own_note_over(self) -> None:
        """The others never ceased to count it."""
        assert joined(resumed=True).may_coordinate(10.0)

    def test_no_longer_than_its_lease_surely_holds(self) -> None:
        """Another one acts as soon as it reads that the note has gone."""
        members = joined(resumed=True)
        members.set_lease_end(12.0)
        assert members.may_coordinate(11.9)
        assert not members.may_coordinate(12.0)

    def test_no_longer_than_what_it_read_is_young(self) -> None:
        """Another one may have come."""
        members = joined(resumed=True)
        assert members.may_coordinate(17.5)
        assert not members.may_coordinate(17.6)


class TestOrder:
    """The order of names for a key."""

    def test_who_came_is_not_lost_by_a_stale_read(self) -> None:
        """It acts as soon as all have answered its greeting."""
        members = joined(resumed=True)
        members.record_joined("third", "x:1", 11.0)
        members.apply_records(NOTES, 13.0)
        assert "third" in members.rank_instances("red")
        members.apply_records(NOTES, 17.1)
        assert "third" not in members.rank_instances("red")

    def test_all_instances_have_the_same(self) -> None:
        """Whatever order they learned the names in."""
        other = Membership("there", 0.0)
        other.join(dict(reversed(NOTES.items())), 10.0, resumed=False)
        assert all(joined().rank_instances(key) == other.rank_instances(key) for key in "abcdefgh")

    def test_an_instance_counts_itself(self) -> None:
        """Whatever it has read."""
        assert Membership("here", 0.0).rank_instances("red") == ["here"]
