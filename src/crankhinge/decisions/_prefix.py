"""What an entry believes to be in the prefix caches of the prefill engines."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable


class PrefixIndex:
    """What this entry believes each prefill engine has in its prefix cache.

    It learns from the prompts that were read there at its own request, and follows no cache events:
    what an engine has evicted since costs one wrong guess. Bounded: the oldest blocks go first.
    """

    def __init__(self, *, limit: int = 5_000) -> None:
        self._limit = limit
        self._blocks: OrderedDict[tuple[str, int], None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._blocks)

    def record_cached(self, name: str, prefix: Iterable[int]) -> None:
        """Note that the backend server *name* has just read these blocks."""
        for block in prefix:
            self._blocks[(name, block)] = None
            self._blocks.move_to_end((name, block))
        while len(self._blocks) > self._limit:
            self._blocks.popitem(last=False)

    def count_cached(self, name: str, prefix: tuple[int, ...]) -> int:
        """Return how many leading blocks of *prefix* are believed cached."""
        for position, block in enumerate(prefix):
            if (name, block) not in self._blocks:
                return position
        return len(prefix)
