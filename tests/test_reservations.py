"""Tests of who is let in to write."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from crankhinge.decisions import (
    CallerRetryDetector,
    EngineRole,
    ReservationQueue,
    ReservationRequest,
    Server,
    ServerStats,
    engines_to_try,
    pick_server,
    retry_delay_s,
    stream_event_timeout_s,
    tokens_to_reserve,
)
from crankhinge.decisions._reservations import LATE_VALUE, RETRY_VALUE, WAIT_COST_PER_S

RNG = random.Random(1)


def writer(ident: str) -> Server:
    """Return an engine that writes."""
    return Server(ident, "s", "10.0.0.1", 80, "z", EngineRole.DECODE, 64, False, 1)


def ask(left_s: float = 14.0, *, returned: bool = False, tokens: int = 3000) -> ReservationRequest:
    """Return a request for a place whose first event is due within 0.9 s."""
    return ReservationRequest(
        tokens, 0.9, left_s, event_timeout_s=stream_event_timeout_s(0.9, 0.3), is_retry=returned
    )


class TestPatience:
    """How long a request waits for a place."""

    def test_a_first_try_waits_while_it_may_be_in_time(self) -> None:
        """The time from a place to the first event is taken off, no other part of its target."""
        newcomer = ask()
        assert newcomer.max_in_time_wait_s == pytest.approx(0.9 - newcomer.first_event_s)
        assert not newcomer.is_late(newcomer.max_in_time_wait_s - 0.01)
        assert newcomer.is_late(newcomer.max_in_time_wait_s)
        slow = ReservationRequest(3000, 0.9, 14.0, first_event_s=1.5)
        assert slow.max_in_time_wait_s == 0.0

    def test_a_late_answer_is_waited_for_as_long_as_it_is_worth(self) -> None:
        """Then the seconds held cost as much as it earns; no share of the target comes into it."""
        newcomer = ask()
        assert newcomer.max_wait_s - newcomer.max_in_time_wait_s == pytest.approx(
            LATE_VALUE / WAIT_COST_PER_S
        )
        far = ReservationRequest(3000, 5.0, 60.0)
        assert far.max_wait_s - far.max_in_time_wait_s == pytest.approx(
            LATE_VALUE / WAIT_COST_PER_S
        )

    def test_one_that_was_refused_waits_longer(self) -> None:
        """A second refusal costs more than a first; it is late, however long it has waited."""
        back = ReservationRequest(3000, 0.9, 60.0, is_retry=True)
        assert back.is_late(0.0)
        assert back.max_wait_s == pytest.approx(RETRY_VALUE / WAIT_COST_PER_S)
        assert back.max_wait_s > LATE_VALUE / WAIT_COST_PER_S

    @given(st.floats(0.1, 5.0), st.floats(0.0, 1.0), st.booleans(), st.floats(0.0, 2.0))
    def test_nobody_is_held_longer_than_a_silent_caller_stays(
        self, target: float, pause: float, returned: bool, first: float
    ) -> None:
        """The first event is on its way before the caller goes."""
        leaves = stream_event_timeout_s(target, pause)
        need = ReservationRequest(
            3000, target, 60.0, event_timeout_s=leaves, is_retry=returned, first_event_s=first
        )
        assert need.max_wait_s + need.first_event_s < leaves

    def test_what_cannot_end_in_time_is_not_begun(self) -> None:
        """Neither a short answer with two seconds left nor a long one with nine."""
        assert ask(2.0).max_wait_s < 0
        long = ReservationRequest(3000, 0.9, 9.0, service_s=11.0)
        assert long.max_wait_s < 0
        assert ReservationRequest(3000, 0.9, 14.0, service_s=11.0).max_wait_s > 0


class TestPredictions:
    """What a prediction of memory changes."""

    def test_one_that_is_late_anyway_is_refused_when_memory_comes_too_late(self) -> None:
        """At once, not when its patience is over; on the way there, when the prediction worsens."""
        back = ask(returned=True)
        assert back.should_keep_waiting(0.0, back.max_wait_s - 0.1)
        assert not back.should_keep_waiting(0.0, back.max_wait_s + 0.1)
        assert not back.should_keep_waiting(1.0, back.max_wait_s - 0.5)

    def test_one_that_may_be_in_time_waits_whatever_is_predicted(self) -> None:
        """It goes before those that hold the prediction up; when it is late that ends."""
        newcomer = ask()
        assert newcomer.should_keep_waiting(0.0, 60.0)
        assert not newcomer.should_keep_waiting(newcomer.max_in_time_wait_s, 60.0)

    def test_without_a_prediction_it_waits(self) -> None:
        """An instance that has just started refuses nobody for what it does not know."""
        assert ask(returned=True).should_keep_waiting(1.0, None)


class TestFirstTries:
    """Who has come back."""

    def test_a_caller_that_waits_shorter_has_come_back(self) -> None:
        """Each route has its own longest wait."""
        tries = CallerRetryDetector()
        assert [tries.record_request("a", wait) for wait in (14.0, 14.0, 11.0, 13.9)] == [
            False,
            False,
            True,
            False,
        ]
        assert not tries.record_request("b", 4.0)

    def test_one_long_wait_is_forgotten(self) -> None:
        """A caller with a time of its own does not make returns of all others for ever."""
        tries = CallerRetryDetector()
        tries.record_request("a", 60.0)
        assert tries.record_request("a", 14.0)
        last = [tries.record_request("a", 14.0) for _ in range(100)][-1]
        assert not last

    def test_kept_connections_tell_what_first_tries_wait(self) -> None:
        """Callers' waits differ by 15 in 100; they come back on new connections."""
        tries = CallerRetryDetector()
        for number in range(8):
            assert not tries.record_request("a", 12.2 + 0.25 * number, connection_reused=True)
        assert not tries.record_request("a", 12.3)
        assert tries.record_request("a", 9.0)
        # Nothing that comes on a kept connection came back, however short its wait.
        assert not tries.record_request("a", 6.0, connection_reused=True)


class TestWaitingOrder:
    """Who asks before whom."""

    def test_late_ones_come_behind_those_that_may_be_in_time(self) -> None:
        """A return is behind a newcomer that came after it; so is who has waited too long."""
        order = ReservationQueue()
        old = order.add(ask(), 0.0)
        back = order.add(ask(returned=True), 0.1)
        new = order.add(ask(), 0.5)
        assert order.requests_ahead(old, 0.5) == []
        assert len(order.requests_ahead(new, 0.5)) == 1
        assert len(order.requests_ahead(back, 0.5)) == 2
        late = 0.9
        assert order.requests_ahead(new, late) == []
        assert len(order.requests_ahead(old, late)) == 1
        order.remove(new)
        assert len(order.requests_ahead(back, late)) == 1

    @given(st.lists(st.tuples(st.integers(1, 9), st.booleans()), min_size=1, max_size=9))
    def test_the_first_may_always_ask_and_others_only_for_less(
        self, rows: list[tuple[int, bool]]
    ) -> None:
        """Where there was no room for less there is none for more."""
        order = ReservationQueue()
        needs = {
            order.add(need, at / 100): need
            for at, need in enumerate(ask(returned=back, tokens=tokens) for tokens, back in rows)
        }
        for number, need in needs.items():
            ahead = order.requests_ahead(number, 0.2)
            assert order.may_try(number, 0.2) == all(other.tokens > need.tokens for other in ahead)
        assert any(order.may_try(number, 0.2) for number in needs)


class TestMemory:
    """How much is reserved."""

    @given(st.integers(0, 9000), st.integers(0, 4000), st.integers(0, 2000))
    def test_whole_blocks_up_to_the_engine(self, prompt: int, likely: int, most: int) -> None:
        """At least the prompt, never more than an engine has."""
        tokens = tokens_to_reserve(prompt, likely, most, 10000)
        assert prompt <= tokens <= min(10000, prompt + most + 16)
        assert tokens % 16 == 0 or tokens == 10000


class TestReserved:
    """What the memory that is reserved means for callers, played on one engine."""

    def test_few_answers_are_stopped_in_their_middle(self) -> None:
        """A full engine stops 213 of 1,967 answers, with three quarters reserved 266 of 2,027.

        As many end whole: what is let in earlier is stopped later.
        """
        stopped, ended = play_full_engine(reserved)
        less, ended_less = play_full_engine(
            lambda prompt, likely: reserved(prompt, round(0.75 * likely))
        )
        assert stopped / (stopped + ended) < 0.115
        assert less / (less + ended_less) > 0.125
        assert ended > 0.99 * ended_less


KV_TOKENS = 28454
STEP_TOKENS = 12


def reserved(prompt: int, likely: int) -> int:
    """Return what is reserved of the engine."""
    return tokens_to_reserve(prompt, likely, 4 * 1920, KV_TOKENS)


def play_full_engine(need: Callable[[int, int], int]) -> tuple[int, int]:
    """Play an engine before which requests always wait.

    It lets in what fits beside the memory that is taken by then. Callers' estimates are right in
    the middle and off by half. Returns how many answers were stopped for want of memory, and how
    many ended whole.
    """
    rng = random.Random(4)
    running: list[list[int]] = []  # tokens of the prompt, made, of the answer
    stopped = ended = 0
    waiting: tuple[int, int, int] | None = None
    for _ in range(20000):
        while True:
            if waiting is None:
                likely = round(rng.lognormvariate(6.5, 0.6))
                answer = round(likely * rng.lognormvariate(0.0, 0.4))
                waiting = (rng.randrange(1000, 5500), likely, answer)
            prompt, likely, answer = waiting
            tokens = need(prompt, likely)
            if sum(map(sum, (row[:2] for row in running))) + tokens > KV_TOKENS:
                break
            running.append([prompt, 0, answer])
            waiting = None
        for row in running:
            row[1] += STEP_TOKENS
        ended += sum(row[1] >= row[2] for row in running)
        running = [row for row in running if row[1] < row[2]]
        while sum(prompt + made for prompt, made, _ in running) > KV_TOKENS:
            running.pop()
            stopped += 1
    return stopped, ended


class TestOrder:
    """Whom to ask."""

    def test_the_emptiest_engine_first(self) -> None:
        """Engines are asked by what this instance keeps there."""
        standings = {
            "a": ServerStats(reserved_tokens=9000),
            "b": ServerStats(reserved_tokens=100),
            "c": ServerStats(),
        }
        order = engines_to_try(
            map(writer, standings),
            standings.__getitem__,
            tokens=500,
            kv_tokens=10000,
            now=0.0,
            rng=RNG,
        )
        assert [server.incarnation_id for server in order] == ["c", "b", "a"]

    def test_a_full_engine_is_left_alone_for_a_while(self) -> None:
        """Those that are late anyway leave it alone longer than those that may be in time."""
        standings = {"a": ServerStats(full_until=1.0)}

        def asked(now: float, yield_s: float) -> int:
            return len(
                engines_to_try(
                    [writer("a")],
                    standings.__getitem__,
                    tokens=1,
                    kv_tokens=10,
                    now=now,
                    rng=RNG,
                    refusal_pause_s=yield_s,
                )
            )

        newcomer, back = ask(), ask(returned=True)
        assert asked(0.9, newcomer.refusal_pause_s(0.0)) == 0
        assert asked(1.05, newcomer.refusal_pause_s(0.0)) == 1
        assert asked(1.05, back.refusal_pause_s(0.0)) == 0
        assert asked(1.35, back.refusal_pause_s(0.0)) == 1
        # A newcomer that has waited too long to be in time asks after the others, too.
        assert asked(1.05, newcomer.refusal_pause_s(0.8)) == 0
        assert asked(1.35, newcomer.refusal_pause_s(0.8)) == 1

    @pytest.mark.parametrize("limited_until", [1.0, 9.0])
    def test_an_engine_that_takes_no_more_is_not_asked(self, limited_until: float) -> None:
        """Nor picked, though there is no other: it has said so for all instances."""
        standings = {
            "a": ServerStats(limited_until=limited_until),
            "b": ServerStats(reserved_tokens=500),
        }
        servers = [writer("a"), writer("b")]
        for now, idents in ((0.5, ["b"]), (limited_until, ["a", "b"])):
            asked = engines_to_try(
                servers, standings.__getitem__, tokens=1, kv_tokens=1000, now=now, rng=RNG
            )
            assert [server.incarnation_id for server in asked] == idents
        alone = pick_server([writer("a")], standings.__getitem__, zone="z", now=0.5, rng=RNG)
        assert alone is None

    def test_a_reader_that_refused_is_taken_only_without_another(self) -> None:
        """An engine that changes its part refuses for seconds."""
        standings = {"a": ServerStats(full_until=5.0), "b": ServerStats(open_requests=50)}
        choice = {"zone": "z", "now": 1.0, "rng": RNG}
        both = pick_server(map(writer, "ab"), standings.__getitem__, **choice)  # type: ignore[arg-type]
        one = pick_server(map(writer, "a"), standings.__getitem__, **choice)  # type: ignore[arg-type]
        assert both is not None
        assert one is not None
        assert (both.incarnation_id, one.incarnation_id) == ("b", "a")


def test_refused_requests_return_at_different_times() -> None:
    """A burst that was refused must not come back as one, with a prediction or without."""
    for free_s in (None, 4.0):
        times = [retry_delay_s(RNG, None, free_s) for _ in range(50)]
        assert max(times) - min(times) > 1.0
        assert min(times) > 1.0


def test_a_refused_request_is_told_what_is_predicted() -> None:
    """Within the spread; but never after the time at which it could still be served."""
    need = ReservationRequest(3000, 0.9, 14.0, service_s=3.0)
    assert all(1.8 <= retry_delay_s(RNG, need, 2.0) <= 2.6 for _ in range(50))
    assert all(retry_delay_s(RNG, need, 30.0) == pytest.approx(10.5) for _ in range(5))


def test_a_long_answer_is_told_to_come_back_while_there_is_time() -> None:
    """Eleven of fourteen seconds are needed: it returns within the three that are left."""
    long = ReservationRequest(3000, 0.9, 14.0, service_s=11.0)
    assert all(0.3 <= retry_delay_s(RNG, long) <= 2.5 for _ in range(50))
    short = ReservationRequest(3000, 0.9, 14.0, service_s=2.0)
    assert min(retry_delay_s(RNG, short) for _ in range(50)) > 2.5
