"""Tests of the fair queue."""

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from crankhinge.decisions import FairQueue


def push_item(queue: FairQueue[int], key: int, member: str, weight: float = 1.0) -> None:
    """Queue an item of a member, of cost 1 and with its key as deadline."""
    queue.push(key, key, path=("1", member), weights=(1.0, weight), deadline=key, cost=1.0)


class TestShares:
    """Which share of the service each member gets."""

    def test_equal_weights_get_equal_shares(self) -> None:
        """One member queues ten times as many items as the other, but gets half of the service."""
        queue: FairQueue[int] = FairQueue()
        for key in range(100):
            push_item(queue, key, "greedy")
        for key in range(100, 110):
            push_item(queue, key, "modest")
        served = [queue.pop() for _ in range(20)]
        modest = sum(1 for key in served if key is not None and key >= 100)
        assert modest == 10

    def test_members_are_served_by_weight(self) -> None:
        """The weights are 3 and 1, so about 30 of 40 served items are the first member's."""
        queue: FairQueue[int] = FairQueue()
        for key in range(80):
            push_item(queue, key, "heavy", 3.0)
            push_item(queue, key + 1000, "light", 1.0)
        served = Counter("light" if (queue.pop() or 0) >= 1000 else "heavy" for _ in range(40))
        assert 28 <= served["heavy"] <= 32

    def test_idle_member_gains_no_credit(self) -> None:
        """A member must not make up for the time in which it had no work."""
        queue: FairQueue[int] = FairQueue()
        for key in range(100):
            push_item(queue, key, "busy")
        for _ in range(50):
            queue.pop()
        for key in range(200, 250):
            push_item(queue, key, "back")
        served = [queue.pop() or 0 for _ in range(20)]
        assert 9 <= sum(key >= 200 for key in served) <= 11

    def test_lowest_priority_class_is_not_starved(self) -> None:
        """The highest class has more requests than can be served, but is not always first."""
        queue: FairQueue[str] = FairQueue()
        for key in range(200):
            queue.push(key, "high", path=("0",), weights=(16.0,), deadline=0, cost=1.0)
        for key in range(200, 210):
            queue.push(key, "low", path=("2",), weights=(1.0,), deadline=0, cost=1.0)
        served = Counter(queue.pop() for _ in range(100))
        assert served["low"] >= 5


class TestRandomOperations:
    """Random sequences of pushes, pops and removals."""

    @given(st.lists(st.tuples(st.sampled_from(["push", "pop", "remove"]), st.integers(0, 30))))
    @settings(max_examples=200, deadline=None, derandomize=True, database=None)
    def test_each_item_leaves_the_queue_once(self, events: list[tuple[str, int]]) -> None:
        """Each item leaves the queue once, by pop or remove, and the length is right."""
        queue: FairQueue[int] = FairQueue()
        waiting: set[int] = set()
        used: set[int] = set()
        for kind, key in events:
            if kind == "push" and key not in used:
                push_item(queue, key, f"m{key % 3}", 1.0 + key % 2)
                waiting.add(key)
                used.add(key)
            elif kind == "pop":
                out = queue.pop()
                assert (out is None) == (not waiting)
                if out is not None:
                    waiting.remove(out)
            elif kind == "remove":
                assert (queue.remove(key) is not None) == (key in waiting)
                waiting.discard(key)
            assert len(queue) == len(waiting)
            assert set(queue.items()) == waiting
