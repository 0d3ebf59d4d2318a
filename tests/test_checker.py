"""Tests of the checker: each promise broken on purpose in a made-up history."""

import zlib
from pathlib import Path
from typing import Any

import pytest

from crankhinge.runtime import get_log
from crankhinge_bench._load import Outcome
from crankhinge_bench._summary import percentile
from crankhinge_bench._trace import Arrival, Load, make_trace
from crankhinge_soak._entries_check import BundleSeen, Drain, History, check
from crankhinge_soak._entries_evidence import read_drained_count

CRC = zlib.crc32(b"prompt")
ASK = Arrival(0.0, "m", prompt="prompt", max_tokens=3)
CALL = Arrival(0.0, "m", path="/ledger/x", repeatable=False)
DRAIN = Drain(name="a", at=100.0, until=110.0, status=0, backend="a", cut=0)


def history(**changes: Any) -> History:
    """Return a history in which every promise was tested and held."""
    values: dict[str, Any] = {
        "outcomes": [
            Outcome(ASK, whole=True, tokens=3),
            Outcome(ASK, outcome="not-run", code="overloaded", sent=1),
            Outcome(CALL, whole=True, key="k1", sent=2),
        ],
        "runs": [{"key": "k1", "place": "a", "at": 90.0}],
        "work": [],
        "held": {"write-0": 0},
        "drains": [DRAIN],
        "bundles": [BundleSeen(process="a", versions=[(1.0, 1), (2.0, 2)], digests={1: "x"})],
        "published": [(1.5, 2)],
        "ended": 1,
    }
    return History(**{**values, **changes})


def broken(changed: History) -> list[str]:
    """Return the promises that the checker finds broken."""
    return [verdict.promise for verdict in check(changed) if verdict.broken]


class TestChecker:
    """Prove the checker before it is believed."""

    def test_a_sound_history_holds(self) -> None:
        """Nothing is broken, and every promise counts as tested."""
        verdicts = check(history())
        assert [v.promise for v in verdicts if v.broken or not v.tested] == []

    @pytest.mark.parametrize(
        ("changes", "promise"),
        [
            ({"held": {"write-0": 1}}, "no engine memory stays tied"),
            (
                {
                    "outcomes": [Outcome(ASK, cancelled=True, gone=10.0)],
                    "work": [{"kind": "end", "prompt": CRC, "at": 19.0, "place": "w"}],
                },
                "no engine memory stays tied",
            ),
            (
                {"runs": [{"key": "k1", "place": "a", "at": 1.0}] * 2},
                "no request is answered twice",
            ),
            (
                {"outcomes": [Outcome(ASK, whole=True, wrong=True, tokens=3)]},
                "whole answer to its own request",
            ),
            (
                {"work": [{"kind": "prefill", "prompt": CRC, "at": 1.0, "place": "r"}]},
                "not run is true",
            ),
            (
                {"outcomes": [Outcome(CALL, outcome="not-run", key="k1")]},
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
    def test_each_break_is_found(self, changes: dict[str, Any], promise: str) -> None:
        """Each way to break a promise is found, under its name."""
        assert promise in broken(history(**changes))


class TestEvidence:
    """What is read from logs."""

    def test_the_last_word_of_a_drain(self, tmp_path: Path) -> None:
        """The number of requests that were cut is read as the programs write it."""
        path = tmp_path / "a.log"
        assert read_drained_count(_log(path, 3)) == 3
        assert read_drained_count(_log(path, 0)) == 0
        path.write_text("")
        assert read_drained_count(path) is None


def _log(path: Path, count: int) -> Path:
    """Write a log as an agent does."""
    with path.open("a") as stream:
        get_log(program="test", stream=stream).bind(name="a").info("drained", open=count)
    return path


class TestTrace:
    """Traces and figures."""

    def test_a_seed_makes_one_trace(self) -> None:
        """The same seed makes the same trace, another one a different trace."""
        load = Load(seconds=5.0, per_s=5.0)
        assert make_trace(load, 1) == make_trace(load, 1)
        assert make_trace(load, 1) != make_trace(load, 2)

    def test_percentile(self) -> None:
        """The value below which a part of the values lies."""
        assert percentile([1.0, 2.0, 3.0, 4.0], 0.5) == 3.0
        assert percentile([], 0.5) == 0.0
