"""Tests of who is let in to write."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from crankhinge.decisions import (
    Phase,
    PlaceAsk,
    Server,
    Standing,
    back_after,
    memory_needed,
    pick_server,
    places_to_ask,
)

RNG = random.Random(1)


def writer(ident: str) -> Server:
    """Return an engine that writes."""
    return Server(ident, "s", "10.0.0.1", 80, "z", Phase.WRITE, 64, False, 1)


def ask(left_s: float, *, first_by_s: float = 0.9, route_s: float = 14.0) -> PlaceAsk:
    """Return a request for a place."""
    return PlaceAsk(3000, first_by_s, left_s, route_s)


class TestPatience:
    """How long a request waits for a place."""

    def test_a_newcomer_is_refused_within_a_quarter_of_its_objective(self) -> None:
        """Later, its return would not count as in time."""
        assert ask(14.0).patience_s < 0.9 / 4

    def test_one_that_was_refused_waits_longer(self) -> None:
        """A second refusal costs more than a wait that still keeps the objective."""
        returned = ask(10.0)
        assert returned.returned
        assert ask(14.0).patience_s < returned.patience_s < 4 * 0.9

    def test_what_cannot_end_in_time_is_not_begun(self) -> None:
        """Neither a short answer with two seconds left nor a long one with nine."""
        assert ask(2.0).patience_s < 0
        long = PlaceAsk(3000, 0.9, 9.0, 14.0, serve_s=11.0)
        assert long.patience_s < 0
        assert PlaceAsk(3000, 0.9, 14.0, 14.0, serve_s=11.0).patience_s > 0


class TestMemory:
    """How much is reserved."""

    @given(st.integers(0, 9000), st.integers(0, 4000), st.integers(0, 2000))
    def test_whole_blocks_up_to_the_engine(self, prompt: int, likely: int, most: int) -> None:
        """At least the prompt, never more than an engine has."""
        tokens = memory_needed(prompt, likely, most, 10000)
        assert prompt <= tokens <= min(10000, prompt + most + 16)
        assert tokens % 16 == 0 or tokens == 10000


class TestOrder:
    """Whom to ask."""

    def test_the_emptiest_engine_first(self) -> None:
        """Engines are asked by what this instance keeps there."""
        standings = {"a": Standing(tokens=9000), "b": Standing(tokens=100), "c": Standing()}
        order = places_to_ask(
            map(writer, standings),
            standings.__getitem__,
            tokens=500,
            kv_tokens=10000,
            now=0.0,
            rng=RNG,
        )
        assert [server.ident for server in order] == ["c", "b", "a"]

    def test_a_full_engine_is_left_alone_for_a_while(self) -> None:
        """Newcomers leave it alone longer than those that came back."""
        standings = {"a": Standing(full_until=1.0)}

        def asked(now: float, yield_s: float) -> int:
            return len(
                places_to_ask(
                    [writer("a")],
                    standings.__getitem__,
                    tokens=1,
                    kv_tokens=10,
                    now=now,
                    rng=RNG,
                    yield_s=yield_s,
                )
            )

        newcomer, returned = ask(14.0), ask(10.0)
        assert asked(0.9, returned.yield_s(0.0)) == 0
        assert asked(1.05, returned.yield_s(0.0)) == 1
        assert asked(1.05, newcomer.yield_s(0.0)) == 0
        assert asked(1.2, newcomer.yield_s(0.0)) == 1
        # One that is late anyway asks after both.
        assert asked(1.2, returned.yield_s(0.8)) == 0
        assert asked(1.5, returned.yield_s(0.8)) == 1

    def test_a_reader_that_refused_is_taken_only_without_another(self) -> None:
        """An engine that changes its part refuses for seconds."""
        standings = {"a": Standing(full_until=5.0), "b": Standing(open=50)}
        choice = {"zone": "z", "now": 1.0, "rng": RNG}
        both = pick_server(map(writer, "ab"), standings.__getitem__, **choice)  # type: ignore[arg-type]
        one = pick_server(map(writer, "a"), standings.__getitem__, **choice)  # type: ignore[arg-type]
        assert both is not None
        assert one is not None
        assert (both.ident, one.ident) == ("b", "a")


def test_refused_requests_return_at_different_times() -> None:
    """A burst that was refused must not come back as one."""
    times = [back_after(RNG) for _ in range(50)]
    assert max(times) - min(times) > 1.0
    assert min(times) > 1.0


def test_a_long_answer_is_told_to_come_back_while_there_is_time() -> None:
    """Eleven of fourteen seconds are needed: it returns within the three that are left."""
    long = PlaceAsk(3000, 0.9, 14.0, 14.0, serve_s=11.0)
    assert all(0.3 <= back_after(RNG, long) <= 2.5 for _ in range(50))
    short = PlaceAsk(3000, 0.9, 14.0, 14.0, serve_s=2.0)
    assert min(back_after(RNG, short) for _ in range(50)) > 2.5
