"""Changes valid data at random, so that most of it still looks like what a reader expects."""

from __future__ import annotations

import random
from collections.abc import Sequence

# Text and bytes at the limits of what decoders accept.
EXTREMES = (
    b"null",
    b"true",
    b"-1",
    b"0",
    b"1e999",
    b"9" * 400,
    b"NaN",
    b'""',
    b'"\\ud800"',
    b"[" * 1200 + b"]" * 1200,
    b'{"a":' * 600 + b"1" + b"}" * 600,
    b"\x91" * 1200,
    b"\xc1\xff\xfe",
    b"\xdd\xff\xff\xff\xff",
    b"\xcf" + b"\xff" * 8,
    b"\x00",
    b"\r\n\r\n",
    b"\xe9" * 40,
    b"x" * 70_000,
)
MAX_CHANGES = 4


class Mutator:
    """Makes one changed input after the other from samples.

    Args:
        rng: decides what is changed.
        samples: valid inputs.
    """

    def __init__(self, rng: random.Random, samples: Sequence[bytes]) -> None:
        self._rng = rng
        self._samples = list(samples)

    def next_input(self) -> bytes:
        """Return a sample with up to MAX_CHANGES changes."""
        data = bytearray(self._rng.choice(self._samples))
        for _ in range(self._rng.randint(0, MAX_CHANGES)):
            change = self._rng.choice(
                (self._flip, self._cut, self._repeat, self._insert, self._splice, self._swap)
            )
            change(data)
        return bytes(data)

    def _slice(self, data: bytearray) -> tuple[int, int]:
        begin = self._rng.randint(0, len(data))
        return begin, min(len(data), begin + self._rng.choice((1, 2, 8, 64, 1024)))

    def _flip(self, data: bytearray) -> None:
        if data:
            data[self._rng.randrange(len(data))] ^= 1 << self._rng.randrange(8)

    def _cut(self, data: bytearray) -> None:
        begin, end = self._slice(data)
        del data[begin:end]

    def _repeat(self, data: bytearray) -> None:
        begin, end = self._slice(data)
        data[end:end] = data[begin:end] * self._rng.choice((1, 2, 50))

    def _insert(self, data: bytearray) -> None:
        begin, end = self._slice(data)
        # In place of something, so that the extreme often stands where a value is due.
        data[begin : self._rng.choice((begin, end))] = self._rng.choice(EXTREMES)

    def _splice(self, data: bytearray) -> None:
        other = self._rng.choice(self._samples)
        begin = self._rng.randint(0, len(data))
        data[begin:] = other[self._rng.randint(0, len(other)) :]

    def _swap(self, data: bytearray) -> None:
        begin, end = self._slice(data)
        data[begin:end] = data[begin:end][::-1]
