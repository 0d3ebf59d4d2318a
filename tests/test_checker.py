"""Tests of the checker of entries and agents: histories that violate one invariant each."""

import zlib
from pathlib import Path
from typing import Any

import pytest

from crankhinge.runtime import get_log
from crankhinge_bench._load import RequestResult
from crankhinge_bench._summary import percentile
from crankhinge_bench._trace import Arrival, Load, make_trace
from crankhinge_soak._entries_check import BundleSeen, Drain, History, check
from crankhinge_soak._entries_evidence import read_drained_count

PROMPT_CRC = zlib.crc32(b"prompt")
STREAM_ARRIVAL = Arrival(0.0, "m", prompt="prompt", max_tokens=3)
CALL_ARRIVAL = Arrival(0.0, "m", path="/ledger/x", repeatable=False)
CLEAN_DRAIN = Drain(name="a", at=100.0, until=110.0, status=0, backend="a", cut=0)


def history(**changes: Any) -> History:
    """Return a history in which every invariant was tested and none was violated."""
    values: dict[str, Any] = {
        "outcomes": [
            RequestResult(STREAM_ARRIVAL, complete=True, tokens=3),
            RequestResult(STREAM_ARRIVAL, outcome="not-run", code="overloaded", attempts=1),
            RequestResult(CALL_ARRIVAL, complete=True, key="k1", attempts=2),
        ],
        "runs": [{"key": "k1", "place": "a", "at": 90.0}],
        "work": [],
        "held": {"write-0": 0},
        "drains": [CLEAN_DRAIN],
        "bundles": [BundleSeen(process="a", versions=[(1.0, 1), (2.0, 2)], digests={1: "x"})],
        "published": [(1.5, 2)],
        "ended": 1,
    }
    return History(**{**values, **changes})


def violated_invariants(changed: History) -> list[str]:
    """Return the invariants that the checker reports as violated."""
    return [verdict.promise for verdict in check(changed) if verdict.broken]


class TestChecker:
    """The checker reports each violation, and nothing else."""

    def test_valid_history_violates_no_invariant(self) -> None:
        """The history contains what each invariant needs in order to count as tested."""
        verdicts = check(history())
        assert [v.promise for v in verdicts if v.broken or not v.tested] == []

    @pytest.mark.parametrize(
        ("changes", "invariant"),
        [
            ({"held": {"write-0": 1}}, "no engine memory stays tied"),
            (
                {
                    "outcomes": [RequestResult(STREAM_ARRIVAL, cancelled=True, cancelled_at=10.0)],
                    "work": [{"kind": "end", "prompt": PROMPT_CRC, "at": 19.0, "place": "w"}],
                },
                "no engine memory stays tied",
            ),
            (
                {"runs": [{"key": "k1", "place": "a", "at": 1.0}] * 2},
                "no request is answered twice",
            ),
            (
                {"outcomes": [RequestResult(STREAM_ARRIVAL, complete=True, wrong=True, tokens=3)]},
                "whole answer to its own request",
            ),
            (
                {"work": [{"kind": "prefill", "prompt": PROMPT_CRC, "at": 1.0, "place": "r"}]},
                "not run is true",
            ),
            (
                {"outcomes": [RequestResult(CALL_ARRIVAL, outcome="not-run", key="k1")]},
                "not run is true",
            ),
            (
                {"runs": [{"key": "k2", "place": "a", "at": 1.0}] * 2},
                "non-repeatable runs at most once",
            ),
            (
                {"work": [{"kind": "decode", "prompt": 1, "at": 104.0, "place": "a"}]},
                "a leaving server gets no new work",
            ),
            (
                {"drains": [Drain(name="a", at=1, until=2, status=0, backend="a", cut=1)]},
                "a planned stop cuts nothing",
            ),
            (
                {"drains": [Drain(name="a", at=1, until=2, status=0, backend="a", cut=None)]},
                "a planned stop cuts nothing",
            ),
            (
                {"bundles": [BundleSeen(process="a", versions=[(1.0, 2), (2.0, 1)])]},
                "a bundle is in force and never reverts",
            ),
            (
                {"bundles": [BundleSeen(process="a", versions=[(1.0, 1), (9.0, 2)])]},
                "a bundle is in force and never reverts",
            ),
            (
                {
                    "bundles": [
                        BundleSeen(process="a", versions=[(1.0, 1)], digests={1: "x"}),
                        BundleSeen(process="b", versions=[(1.0, 1)], digests={1: "y"}),
                    ]
                },
                "a bundle is in force and never reverts",
            ),
        ],
    )
    def test_violation_is_reported_under_its_invariant(
        self, changes: dict[str, Any], invariant: str
    ) -> None:
        """The parameters change a valid history so that it violates one invariant."""
        assert invariant in violated_invariants(history(**changes))


class TestEvidence:
    """Evidence that the checker reads from the logs of programs."""

    def test_drained_count_comes_from_the_last_event(self, tmp_path: Path) -> None:
        """The test writes the log in the same format as an agent does."""
        path = tmp_path / "a.log"
        assert read_drained_count(_append_drained_event(path, 3)) == 3
        assert read_drained_count(_append_drained_event(path, 0)) == 0
        path.write_text("")
        assert read_drained_count(path) is None


def _append_drained_event(path: Path, count: int) -> Path:
    """Append a ``drained`` event to a log, as an agent does."""
    with path.open("a") as stream:
        get_log(program="test", stream=stream).bind(name="a").info("drained", open=count)
    return path


class TestTrace:
    """Random traces of the load, and percentiles of measurements."""

    def test_trace_depends_only_on_the_seed(self) -> None:
        """The seed of a run is enough to generate the same load again."""
        load = Load(seconds=5.0, per_s=5.0)
        assert make_trace(load, 1) == make_trace(load, 1)
        assert make_trace(load, 1) != make_trace(load, 2)

    def test_percentile_is_the_value_below_which_a_share_lies(self) -> None:
        """The percentile is one of the values; without any value it is 0."""
        assert percentile([1.0, 2.0, 3.0, 4.0], 0.5) == 3.0
        assert percentile([], 0.5) == 0.0
