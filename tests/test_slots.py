"""Tests of the slot table."""

from crankhinge.decisions import Grant, Refuse, SlotAsk, SlotTable


def make_ask(req: int, **changes: object) -> SlotAsk:
    """Return a request for a slot."""
    values: dict[str, object] = {
        "req": req,
        "partner": "p",
        "member": "m",
        "rank": 1,
        "deadline": 10.0,
        "lead": 0.1,
        "max_tokens": 10,
    }
    return SlotAsk(**{**values, **changes})  # type: ignore[arg-type]


class TestGrant:
    """Who is given a slot."""

    def test_grants_free_slots_at_once(self) -> None:
        """A free slot is leased when it is asked for."""
        table = SlotTable(capacity=1, step_s=0.1)
        assert table.ask(make_ask(1), 0.0) == [Grant(1, 0.0, 2.1)]

    def test_never_leases_one_slot_twice(self) -> None:
        """A second request waits while the only slot is leased."""
        table = SlotTable(capacity=1, step_s=0.1)
        table.ask(make_ask(1), 0.0)
        assert table.ask(make_ask(2), 0.0) == []
        assert table.end(1, 0.5) == [Grant(2, 0.0, 2.1)]

    def test_leases_ahead_of_a_sure_end(self) -> None:
        """A slot whose answer ends within the lead is leased before it is free."""
        table = SlotTable(capacity=1, step_s=0.1)
        table.ask(make_ask(1), 0.0)
        assert table.start(1, 0.0)
        table.progress(1, 9)
        [grant] = table.ask(make_ask(2, lead=0.2), 0.9)
        assert isinstance(grant, Grant)
        assert not table.start(2, 0.95)
        table.end(1, 1.0)
        assert table.start(2, 1.0)

    def test_refuses_what_cannot_be_in_time(self) -> None:
        """A request whose deadline passes before a slot ends is refused unstarted."""
        table = SlotTable(capacity=1, step_s=1.0)
        table.ask(make_ask(1), 0.0)
        table.start(1, 0.0)
        [refusal] = table.ask(make_ask(2, deadline=2.0), 0.0)
        assert isinstance(refusal, Refuse)
        assert refusal.retry_after > 2.0

    def test_unused_lease_expires(self) -> None:
        """A lease that nobody uses is given to the next."""
        table = SlotTable(capacity=1, step_s=0.1, hold_s=1.0)
        table.ask(make_ask(1), 0.0)
        table.ask(make_ask(2), 0.0)
        assert table.tick(1.05) == []
        assert [d.req for d in table.tick(1.2)] == [2]
        assert not table.start(1, 1.2)
