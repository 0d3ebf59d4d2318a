"""Tests of the fuzzing program, and a short run of it."""

from __future__ import annotations

import random
import re
from collections.abc import Callable
from pathlib import Path

import pytest

from crankhinge.errors import Undecodable
from crankhinge_fuzz._mutator import Mutator
from crankhinge_fuzz._registry import make_targets
from crankhinge_fuzz._runner import fuzz_target
from crankhinge_fuzz._targets import Decoder
from crankhinge_fuzz.main import main

ROOT = Path(__file__).parent.parent
INPUTS = 40
TARGETS = {target.name: target for target in make_targets()}


def make_decoder(decode: Callable[[bytes], object]) -> Decoder:
    """Return a target that decodes by *decode*."""
    samples = (b"[1,2]", b'{"a":"b"}')
    return Decoder("tested", (), samples, decode, Undecodable, max_bytes=256 * 1024)


def raise_recursion_error(data: bytes) -> None:
    """Fail as a decoder of nested data does that is nested too deeply."""
    if b"[[[[[[[[" in data:
        raise RecursionError("nested")


def search_anew(data: bytes) -> None:
    """Search all that came so far at each piece, as a buffer without a mark does."""
    for end in range(0, len(data), 64):
        data[:end].count(b"\n\n")


def refuse(data: bytes) -> None:
    """Refuse all data."""
    raise Undecodable("no")


class TestReaders:
    """The readers of the product with changed data, the same each time."""

    @pytest.mark.parametrize("name", TARGETS)
    def test_reader_handles_changed_data(self, name: str) -> None:
        """Data of others raises the reader's own error, ends, and costs no more than its size."""
        result = fuzz_target(TARGETS[name], 1, max_inputs=INPUTS, max_s=0)
        assert [(finding.number, finding.what) for finding in result.findings] == []
        assert result.inputs == INPUTS

    def test_every_module_that_decodes_has_a_reader(self) -> None:
        """A new use of the decoders has to be added to the registry."""
        users = {
            str(path.relative_to(ROOT / folder))
            for folder in ("src", "platform")
            for path in (ROOT / folder).rglob("*.py")
            if "crankhinge/" in f"{path}" or "crankhinge_platform/" in f"{path}"
            if path.name != "decoding.py"
            if re.search(r"^from crankhinge\.decoding import", path.read_text(), re.MULTILINE)
        }
        covered = {module for target in TARGETS.values() for module in target.modules}
        assert users - {"crankhinge_fuzz/_registry.py"} == covered


class TestFindings:
    """Faults of readers that the program has to find."""

    @pytest.mark.parametrize("decode", [raise_recursion_error, search_anew, refuse])
    def test_fault_of_a_reader_is_found(self, decode: Callable[[bytes], object]) -> None:
        """An error that nobody handles, a cost that grows with the square, a refused sample."""
        assert fuzz_target(make_decoder(decode), 1, max_inputs=300, max_s=0).findings

    def test_inputs_depend_on_the_seed_alone(self) -> None:
        """A finding can be played again."""
        inputs = [
            [mutator.next_input() for _ in range(20)]
            for mutator in (Mutator(random.Random(seed), (b"abc", b"[1]")) for seed in (7, 7, 8))
        ]
        assert inputs[0] == inputs[1] != inputs[2]


class TestProgram:
    """The command line."""

    def test_findings_are_kept_and_played_first(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """The folder has the input, and the next run begins with it."""
        targets = [make_decoder(raise_recursion_error)]
        monkeypatch.setattr("crankhinge_fuzz.main.make_targets", lambda: targets)
        args = ["--inputs", "400", "--seconds", "20", "--corpus", str(tmp_path)]
        assert main(args) == 1
        kept = sorted(tmp_path.glob("tested-*.bin"))
        assert kept
        assert main([*args, "--inputs", str(2 + len(kept))]) == 1
        assert "RecursionError" in capsys.readouterr().out

    def test_unknown_target_is_a_usage_error(self, capsys: pytest.CaptureFixture[str]) -> None:
        """The message names it."""
        assert main(["--target", "meteor"]) == 2
        assert "meteor" in capsys.readouterr().err
