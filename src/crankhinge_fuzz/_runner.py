"""Gives changed inputs to readers and collects what they do wrong."""

from __future__ import annotations

import math
import random
import time
from collections.abc import Iterable
from dataclasses import dataclass

import curio

from crankhinge_fuzz._mutator import Mutator
from crankhinge_fuzz._targets import READ_TIMEOUT_S, Target

# Processor time that a reader may take for an input.
MAX_S_PER_MB = 0.01
MAX_FIXED_S = 0.05
MAX_MEASUREMENTS = 3
BYTES_PER_MB = 1024 * 1024
# Share of the inputs that grow to the largest size of their reader.
LARGE_SHARE = 0.01
# Findings of one reader after which it is given no more inputs.
MAX_FINDINGS = 5


@dataclass(frozen=True)
class Finding:
    """An input that a reader did not handle.

    Attributes:
        target: name of the reader.
        number: number of the input, from 0.
        what: what the reader did.
        data: the input.
    """

    target: str
    number: int
    what: str
    data: bytes


@dataclass
class TargetResult:
    """What came of the inputs of one reader.

    Attributes:
        target: name of the reader.
        inputs: number of inputs.
        accepted: number of inputs that the reader accepted.
        findings: inputs that it did not handle.
    """

    target: str
    inputs: int
    accepted: int
    findings: list[Finding]


def fuzz_target(
    target: Target,
    seed: int,
    *,
    max_inputs: int,
    max_s: float,
    corpus: Iterable[bytes] = (),
) -> TargetResult:
    """Give a reader inputs until one of the limits is reached.

    Args:
        target: the reader.
        seed: with the reader's name, it decides the inputs.
        max_inputs: largest number of inputs; 0 for no limit.
        max_s: longest time in seconds; 0 for no limit.
        corpus: inputs that are given first, unchanged, and then changed like the samples.
    """
    rng = random.Random(f"{seed}:{target.name}")
    first = [*target.samples, *corpus]
    mutator = Mutator(rng, first)
    result = TargetResult(target.name, 0, 0, [])
    ends_at = time.monotonic() + max_s if max_s else float("inf")
    while time.monotonic() < ends_at and len(result.findings) < MAX_FINDINGS:
        number = result.inputs
        if max_inputs and number >= max_inputs:
            break
        data = first[number] if number < len(first) else mutator.next_input()
        if number >= len(first) and rng.random() < LARGE_SHARE:
            data = _grow(data, target.max_bytes)
        result.inputs += 1
        accepted, what = _read(target, data, rng)
        result.accepted += accepted
        if not what and number < len(target.samples) and not accepted:
            what = "refused a valid sample"
        if what:
            result.findings.append(Finding(target.name, number, what, data))
    return result


def _grow(data: bytes, size: int) -> bytes:
    return (data * (size // len(data) + 1))[:size] if data else b""


def _read(target: Target, data: bytes, rng: random.Random) -> tuple[bool, str]:
    """Return whether an input was accepted, and what the reader did wrong."""
    allowed_s = MAX_FIXED_S + MAX_S_PER_MB * len(data) / BYTES_PER_MB
    allowed_s += target.max_s_per_item * target.count_items(data)
    took_s: list[float] = []
    # What is slow once may be the interpreter's own work; a reader is slow each time.
    while len(took_s) < MAX_MEASUREMENTS and min(took_s, default=math.inf) > allowed_s:
        started_s = time.process_time()
        try:
            accepted = target.read(data, rng)
        except curio.TaskTimeout:
            return False, f"has not ended after {READ_TIMEOUT_S} s"
        except Exception as exc:
            return False, f"{type(exc).__name__}: {str(exc)[:200]}"
        took_s.append(time.process_time() - started_s)
    if min(took_s) > allowed_s:
        return accepted, f"{min(took_s):.2f} s of processor time for {len(data)} bytes"
    return accepted, ""
