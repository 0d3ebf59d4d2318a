"""Tests of the split between prefill and decode engines."""

from __future__ import annotations

import dataclasses
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from crankhinge.decisions import (
    EngineRole,
    PoolLoads,
    Server,
    WorkloadMeter,
    combined_loads,
    mean_run_tokens,
    order_by_versions,
    wanted_prompt_engines,
)

MANY_ANSWERS = 1000


def engines(*versions: str) -> list[Server]:
    """Return an engine of each version, named by their order."""
    return [
        Server(str(n), "llm", "h", 1, "z1", EngineRole.DECODE, 8, False, 1, version=version)
        for n, version in enumerate(versions)
    ]


class TestOrderByVersions:
    """Which engines change their role while several software versions serve."""

    def test_last_decode_engine_of_a_version_changes_last(self) -> None:
        """Otherwise the streams of that version could go on nowhere."""
        decoding = engines("v1", "v2", "v2", "v2")
        ordered = order_by_versions(decoding, decoding, EngineRole.PREFILL)
        assert [server.name for server in ordered] == ["1", "2", "0", "3"]

    def test_version_without_a_decode_engine_gets_one_first(self) -> None:
        """The engine that is least busy is preferred only among those of one version."""
        prefilling = engines("v2", "v1", "v1")
        ordered = order_by_versions(prefilling, engines("v2"), EngineRole.DECODE)
        assert [server.name for server in ordered] == ["1", "0", "2"]

    @pytest.mark.parametrize("role", [EngineRole.PREFILL, EngineRole.DECODE])
    def test_order_stays_while_one_version_serves(self, role: EngineRole) -> None:
        """Engines without a version count as one version."""
        decoding = engines("", "", "")
        assert order_by_versions(decoding, decoding, role) == decoding


class TestWantedPromptEngines:
    """How many engines should have the prefill role."""

    def test_engines_move_to_the_pool_with_more_load(self) -> None:
        """Four prefill engines of nine are too many if answers are long, so two must decode."""
        assert wanted_prompt_engines(PoolLoads(0.1, 0.4), 4, 5, MANY_ANSWERS) == 2

    def test_split_stays_if_a_change_gains_little(self) -> None:
        """A role change takes an engine out of service, so the load must fall enough for it."""
        assert wanted_prompt_engines(PoolLoads(0.1, 0.2), 2, 4, MANY_ANSWERS) == 2

    def test_each_pool_keeps_two_engines(self) -> None:
        """With one engine left in a pool, a crash of that engine would leave none for its role."""
        assert wanted_prompt_engines(PoolLoads(0.001, 1.0), 3, 3, MANY_ANSWERS) == 2
        assert wanted_prompt_engines(PoolLoads(1.0, 0.001), 3, 3, MANY_ANSWERS) == 4

    def test_few_answers_add_no_prefill_engine(self) -> None:
        """Short answers end first, so the first measurements make decoding look cheap."""
        assert wanted_prompt_engines(PoolLoads(0.4, 0.1), 2, 7, 20) == 2
        assert wanted_prompt_engines(PoolLoads(0.4, 0.1), 2, 7, MANY_ANSWERS) == 5

    def test_one_change_moves_at_most_a_third_of_a_pool(self) -> None:
        """If the measurement is wrong, requests wait seconds for a pool that became too small."""
        assert wanted_prompt_engines(PoolLoads(0.037, 0.435), 6, 22, MANY_ANSWERS) == 6
        assert wanted_prompt_engines(PoolLoads(0.037, 0.435), 12, 16, MANY_ANSWERS) == 8
        assert wanted_prompt_engines(PoolLoads(1.0, 0.1), 3, 25, MANY_ANSWERS) == 12

    def test_empty_pool_is_filled(self) -> None:
        """If no engine has the prefill role, some decode engines get it, whatever the loads are."""
        assert wanted_prompt_engines(PoolLoads(0.1, 0.4), 0, 6, MANY_ANSWERS) == 2

    @given(st.floats(0.01, 1.0), st.floats(0.01, 1.0), st.integers(0, 12), st.integers(0, 12))
    def test_choice_is_never_worse_than_the_present_split(
        self, prompt_s: float, answer_s: float, prompt_engines: int, decode_engines: int
    ) -> None:
        """The test compares the choice with every other allowed split and with the present one."""
        loads = PoolLoads(prompt_s, answer_s)
        wanted = wanted_prompt_engines(loads, prompt_engines, decode_engines, MANY_ANSWERS)
        total = prompt_engines + decode_engines
        assert 0 <= wanted <= total
        if wanted != prompt_engines:
            chosen = loads.max_per_engine(wanted, total - wanted)
            min_engines = 2 if total >= 4 else 1
            fewest = max(min_engines, prompt_engines - -(-prompt_engines // 3))
            most = min(total - min_engines, prompt_engines + -(-decode_engines // 3))
            if prompt_engines == 0 or decode_engines == 0:
                fewest, most = min_engines, total - min_engines
            naive = min(loads.max_per_engine(n, total - n) for n in range(fewest, most + 1))
            assert chosen == naive
            assert chosen < loads.max_per_engine(prompt_engines, decode_engines)


class TestWorkloadMeter:
    """The work that a request costs prefill and decode engines, as measured by the instances."""

    def test_waiting_time_does_not_count_as_prefill_work(self) -> None:
        """A prefill takes 0.06 s and 33 us a token; waits must not increase the time per token."""
        rng = random.Random(5)
        meter = WorkloadMeter()
        for _ in range(200):
            tokens = rng.randrange(1200, 6600)
            wait = rng.choice((0.0, 0.05, 0.2))
            meter.record_prompt(tokens, 0.06 + tokens * 33e-6 + wait)
            meter.record_admission(0.1, 800)
            meter.record_answer(800, 3.0)
        loads = meter.loads()
        assert loads is not None
        assert 0.09 < loads.prompt_s < 0.17
        # An answer holds a tenth of the memory for some 0.3 s of prefill and 3 s of decoding.
        assert 0.31 < loads.answer_s < 0.35

    def test_prompt_that_may_have_waited_says_nothing_about_the_work(self) -> None:
        """If all prompts of a burst wait, even the fastest of them seem slow."""
        meter = WorkloadMeter()
        for _ in range(10):
            meter.record_admission(0.1, 1000)
            meter.record_answer(1000, 1.0)
            meter.record_prompt(5000, 0.1)
        before = meter.loads()
        for _ in range(40):
            meter.record_prompt(5000, 0.5, may_have_waited=True)
        after, stats = meter.loads(), meter.stats()
        assert before is not None
        assert after is not None
        assert stats is not None
        assert after.prompt_s == pytest.approx(before.prompt_s)
        # The memory is reserved during the wait, too.
        assert stats.read_s > 0.3
        assert after.answer_s > before.answer_s

    def test_waits_alone_give_no_loads(self) -> None:
        """Without a prompt that found its engine idle, the work per token is unknown."""
        meter = WorkloadMeter()
        for _ in range(20):
            meter.record_admission(0.1, 1000)
            meter.record_answer(1000, 1.0)
            meter.record_prompt(5000, 0.5, may_have_waited=True)
        assert meter.loads() is None

    def test_cached_prompts_do_not_hide_the_work(self) -> None:
        """One prompt in ten is cached; its 0.01 s must not make the others look cheap."""
        rng = random.Random(7)
        meter = WorkloadMeter()
        for number in range(200):
            tokens = rng.randrange(1200, 6600)
            cached = number % 10 == 3
            meter.record_prompt(tokens, 0.01 if cached else 0.06 + tokens * 33e-6)
            meter.record_admission(0.1, 800)
            meter.record_answer(800, 3.0)
        loads = meter.loads()
        assert loads is not None
        assert loads.prompt_s > 0.09

    def test_work_is_not_underestimated_if_all_prefills_waited(self) -> None:
        """If prefills waited, their duration hardly grows with the prompt's length.

        The estimate from durations over lengths would then be near zero, so the meter uses
        a share of the shortest duration instead.
        """
        meter = WorkloadMeter()
        for _ in range(20):
            meter.record_prompt(1500, 0.19)
            meter.record_prompt(3500, 0.20)
            meter.record_admission(0.1, 800)
            meter.record_answer(800, 3.0)
        loads = meter.loads()
        assert loads is not None
        assert loads.prompt_s > 0.08

    def test_stats_are_weighted_by_their_samples(self) -> None:
        """Forty requests of one instance weigh four times as much as ten of another.

        The time of a token is that of the faster quarter, because the prefills of the other
        instance waited.
        """
        many, few = WorkloadMeter(), WorkloadMeter()
        for meter, count, prompt_s, memory_share in ((many, 40, 0.1, 0.1), (few, 10, 0.6, 0.2)):
            for _ in range(count):
                meter.record_prompt(3000, prompt_s)
                meter.record_admission(memory_share, 800)
                meter.record_answer(800, 3.0)
        all_stats = [meter.stats() for meter in (many, few)]
        loads = combined_loads([stats for stats in all_stats if stats is not None])
        assert loads is not None
        assert abs(loads.prompt_s - 0.1) < 1e-6
        # The weighted means are 0.12 for memory shares of 0.1 and 0.2, and 0.2 s for prefills of
        # 0.1 and 0.6 s, whose waits count here.
        assert abs(loads.answer_s - 0.12 * (0.2 + 3.0)) < 1e-6

    def test_stats_of_several_instances_suffice_together(self) -> None:
        """Each of five instances has measured too few requests for an estimate of its own."""
        all_stats = []
        for _ in range(5):
            meter = WorkloadMeter()
            for _ in range(2):
                meter.record_prompt(3000, 0.1)
                meter.record_admission(0.1, 800)
                meter.record_answer(800, 3.0)
            assert meter.loads() is None
            stats = meter.stats()
            assert stats is not None
            all_stats.append(stats)
        assert combined_loads(all_stats) is not None

    def test_prefill_time_is_estimated_from_all_instances(self) -> None:
        """Thirty instances have measured four prefills each, two in three of which waited.

        By themselves, half of the instances estimate a token at 1.2 times its real time or
        more, and a quarter at 1.5 times. Because of this, a run with 68 instances ordered
        the split that it needed only after 11 s.
        """
        rng = random.Random(11)
        all_stats = []
        for _ in range(30):
            meter = WorkloadMeter()
            for _ in range(4):
                tokens = rng.randrange(700, 6600)
                waited_s = rng.choice((0.0, 0.06, 0.2))
                meter.record_prompt(tokens, 0.07 + tokens * 33e-6 + waited_s)
                meter.record_admission(0.1, 800)
                meter.record_answer(800, 3.0)
            stats = meter.stats()
            assert stats is not None
            all_stats.append(stats)
        token_times = sorted(stats.token_s for stats in all_stats)
        assert token_times[len(token_times) // 2] > 1.2 * 33e-6
        assert token_times[len(token_times) * 3 // 4] > 1.4 * 33e-6
        loads = combined_loads(all_stats)
        assert loads is not None
        tokens = sum(stats.tokens for stats in all_stats) / len(all_stats)
        assert abs(loads.prompt_s / tokens - 33e-6) < 4e-6

    def test_instance_without_published_prefills_counts(self) -> None:
        """During a rollout, instances of an older version publish only averages of prefills."""
        old, new = WorkloadMeter(), WorkloadMeter()
        for meter in (old, new):
            for _ in range(20):
                meter.record_prompt(3000, 0.3 if meter is old else 0.1)
                meter.record_admission(0.1, 800)
                meter.record_answer(800, 3.0)
        all_stats = [meter.stats() for meter in (old, old, old, new)]
        published = [stats for stats in all_stats if stats is not None]
        assert len(published) == 4
        loads = combined_loads(
            [dataclasses.replace(stats, newest=()) for stats in published[:3]] + published[3:]
        )
        assert loads is not None
        assert loads.prompt_s > 0.25

    def test_few_samples_give_no_loads(self) -> None:
        """One measured sample of each kind is too few for an estimate."""
        meter = WorkloadMeter()
        meter.record_prompt(3000, 0.2)
        meter.record_admission(0.1, 800)
        meter.record_answer(800, 3.0)
        assert meter.loads() is None

    def test_short_answers_do_not_make_decoding_look_cheap(self) -> None:
        """Of ten admitted requests only the three short ones ended; the long ones count, too."""
        meter = WorkloadMeter()
        for tokens in (100, 100, 100, 1000, 1000, 1000, 1000, 1000, 1000, 1000):
            meter.record_admission(0.1, tokens)
        for _ in range(3):
            meter.record_prompt(3000, 0.2)
            meter.record_answer(100, 0.4)
        loads = meter.loads()
        assert loads is not None
        # An answer has 730 tokens on average, at 4 ms each, after 0.2 s of prefill.
        assert abs(loads.answer_s - 0.1 * (730 * 0.004 + 0.2)) < 1e-6

    def test_expected_service_time_needs_some_answers(self) -> None:
        """The expected time is that of prefill plus the answer's tokens at the measured pace."""
        meter = WorkloadMeter()
        assert meter.expected_service_s(1000) is None
        for _ in range(5):
            meter.record_prompt(3000, 0.25)
            meter.record_answer(500, 2.5)
        service_s = meter.expected_service_s(1000)
        assert service_s is not None
        assert abs(service_s - 5.25) < 1e-9

    def test_probe_is_sent_only_after_a_time_without_answers(self) -> None:
        """While answers are measured, a request that is refused is refused for good reason."""
        meter = WorkloadMeter()
        for tenth in range(20):
            meter.record_answer(100, 4.0)
            assert not meter.try_probe(tenth / 10)
        assert not meter.try_probe(2.8)
        assert meter.try_probe(3.0)
        assert not meter.try_probe(3.9)
        assert meter.try_probe(4.0)

    def test_answer_to_a_probe_corrects_the_expectation(self) -> None:
        """Each of a few fast ones counts as much as all slow answers before it."""
        meter = WorkloadMeter()
        for _ in range(50):
            meter.record_answer(100, 4.0)
        meter.record_answer(100, 0.2)
        assert (meter.expected_service_s(100) or 0.0) > 3.5
        for now in (1.0, 2.0, 3.0):
            meter.try_probe(now)
            assert meter.try_probe(now + 1.0)
            meter.record_answer(100, 0.2)
        assert (meter.expected_service_s(100) or 9.0) < 0.8
        meter.record_answer(100, 4.0)
        assert (meter.expected_service_s(100) or 9.0) < 0.9


def test_mean_first_event_time_needs_several_samples() -> None:
    """A single sample may be an exception, so there is no mean before several were recorded."""
    meter = WorkloadMeter()
    meter.record_first_event(0.1)
    assert meter.mean_first_event_s is None
    for _ in range(9):
        meter.record_first_event(0.3)
    assert meter.mean_first_event_s == pytest.approx(0.28)


def test_prefill_engines_keep_headroom() -> None:
    """Four prefill engines of nineteen would balance the loads; five are chosen instead."""
    loads = PoolLoads(prompt_s=0.118, answer_s=0.43)
    assert loads.prompt_s / 4 < loads.answer_s / 14 < loads.prompt_s / 3
    assert wanted_prompt_engines(loads, 7, 12, 1000) == 5


def test_mean_memory_of_a_run_counts_half_of_its_answer() -> None:
    """Counted in full from the start, answers seemed to need a third more decode engines."""
    assert mean_run_tokens(10_400, 5200) == 7800
    assert mean_run_tokens(1000, 5000) == 500
