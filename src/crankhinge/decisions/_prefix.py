"""Estimates the contents of the prefill engines' prefix caches."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable


class PrefixIndex:
    """The blocks that each prefill engine probably has in its prefix cache.

    The index follows from the prompts that this entry sent to the engines. The engines do not
    report what they cache: a block that an engine has evicted costs one wrong estimate. The index
    is bounded and drops the oldest blocks first.
    """

    def __init__(self, *, limit: int = 5_000) -> None:
        self._limit = limit
        self._blocks: OrderedDict[tuple[str, int], None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._blocks)

    def record_cached(self, name: str, prefix: Iterable[int]) -> None:
        """Record that the backend server *name* has just processed these blocks."""
        for block in prefix:
            self._blocks[(name, block)] = None
            self._blocks.move_to_end((name, block))
        while len(self._blocks) > self._limit:
            self._blocks.popitem(last=False)

    def count_cached(self, name: str, prefix: tuple[int, ...]) -> int:
        """Return how many leading blocks of *prefix* are probably cached."""
        for position, block in enumerate(prefix):
            if (name, block) not in self._blocks:
                return position
        return len(prefix)
