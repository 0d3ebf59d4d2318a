"""Tests of the slot table of a decode engine."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from crankhinge.decisions import Refusal, SlotGrant, SlotRequest, SlotTable


def make_request(req: int, **changes: object) -> SlotRequest:
    """Return a slot request with the given id; *changes* replace its other fields."""
    values: dict[str, object] = {
        "req": req,
        "partner": "p",
        "member": "m",
        "rank": 1,
        "deadline": 10.0,
        "lead_s": 0.1,
        "max_tokens": 10,
    }
    return SlotRequest(**{**values, **changes})  # type: ignore[arg-type]


class TestGrant:
    """Which request gets a slot of a decode engine, and when."""

    def test_free_slot_is_leased_at_once(self) -> None:
        """A request that finds a free slot must not wait for the next event of the engine."""
        table = SlotTable(capacity=1, step_s=0.1)
        assert table.submit(make_request(1), 0.0) == [SlotGrant(1, 0.0, 2.1)]

    def test_slot_is_not_leased_twice(self) -> None:
        """The second request waits until the lease of the only slot has ended."""
        table = SlotTable(capacity=1, step_s=0.1)
        table.submit(make_request(1), 0.0)
        assert table.submit(make_request(2), 0.0) == []
        assert table.release(1, 0.5) == [SlotGrant(2, 0.0, 2.1)]

    def test_slot_is_leased_shortly_before_its_answer_ends(self) -> None:
        """An answer that ends within the lead time of the next request leaves no idle slot."""
        table = SlotTable(capacity=1, step_s=0.1)
        table.submit(make_request(1), 0.0)
        assert table.start(1, 0.0)
        table.record_progress(1, 9)
        [grant] = table.submit(make_request(2, lead_s=0.2), 0.9)
        assert isinstance(grant, SlotGrant)
        assert not table.start(2, 0.95)
        table.release(1, 1.0)
        assert table.start(2, 1.0)

    def test_request_that_cannot_be_in_time_is_refused(self) -> None:
        """The deadline of the request passes before a slot is expected to be free."""
        table = SlotTable(capacity=1, step_s=1.0)
        table.submit(make_request(1), 0.0)
        table.start(1, 0.0)
        [refusal] = table.submit(make_request(2, deadline=2.0), 0.0)
        assert isinstance(refusal, Refusal)
        assert refusal.retry_after_s > 2.0

    def test_unused_lease_expires(self) -> None:
        """The entry that holds the lease may have died; the next request gets the slot."""
        table = SlotTable(capacity=1, step_s=0.1, lease_margin_s=1.0)
        table.submit(make_request(1), 0.0)
        table.submit(make_request(2), 0.0)
        assert table.tick(1.05) == []
        assert [d.req for d in table.tick(1.2)] == [2]
        assert not table.start(1, 1.2)


class TestRandom:
    """Random sequences of events, checked against a naive record of leased and running requests."""

    @given(st.integers(0, 2**32))
    @settings(max_examples=200, deadline=None, derandomize=True, database=None)
    def test_invariants_hold(self, seed: int) -> None:
        """No slot is held twice, no refused request starts, and every lease ends."""
        rng = random.Random(seed)
        table = SlotTable(capacity=rng.randint(1, 4), step_s=0.1)
        leased: set[int] = set()
        running: set[int] = set()
        refused: set[int] = set()
        now = 0.0

        def record(decisions: list[SlotGrant | Refusal]) -> None:
            for decision in decisions:
                (leased if isinstance(decision, SlotGrant) else refused).add(decision.req)

        for req in range(1, 60):
            now += rng.expovariate(3.0)
            record(table.tick(now))
            deadline = now + rng.uniform(0.0, 4.0)
            request = make_request(
                req,
                deadline=deadline,
                max_tokens=rng.randint(1, 30),
                member=f"m{rng.randrange(3)}",
                rank=rng.randrange(3),
            )
            record(table.submit(request, now))
            for other in sorted(leased):
                if rng.random() < 0.5 and table.start(other, now):
                    leased.remove(other)
                    running.add(other)
            for other in sorted(running):
                if rng.random() < 0.3:
                    running.remove(other)
                    record(table.release(other, now))
            assert len(running) <= table.capacity
            assert not refused & (leased | running)
        for other in sorted(running):
            record(table.release(other, now))
        now += 1000.0
        record(table.tick(now))
        assert not table.is_busy or table.queued == 0
        table.tick(now + 1000.0)
        assert not table.is_busy
        assert table.free_slots == table.capacity


class TestFairness:
    """The load of one member must not slow another member."""

    def test_member_within_its_share_is_not_refused(self) -> None:
        """The expected wait of a member counts its own queue, not that of another member."""
        table = SlotTable(capacity=2, step_s=0.01)
        for req in range(1, 40):
            table.submit(make_request(req, member="greedy", max_tokens=100), 0.0)
        for req in (1, 2):
            table.start(req, 0.0)
        assert (
            table.submit(make_request(100, member="modest", max_tokens=100, deadline=2.0), 0.0)
            == []
        )
        [grant] = table.release(1, 0.1)
        assert grant.req == 100
