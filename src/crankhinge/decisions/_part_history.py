"""Evidence that servers do not crash because of a part of a prompt.

All requests of a route may share parts, so a crash cuts many requests with innocent parts. A part
because of which servers crash is told from them by what follows: no server completes a request
with it, or writes on it for long.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

# Number of crashed servers after which a request or a part is suspected of having caused them. The
# operators set this bound.
MAX_CRASHES = 3
# Maximum number of parts that are remembered, the most recently served ones: 0.7 MB.
MAX_SERVED_PARTS = 4096
# A server that has been writing on a part for this many seconds does not crash because of it.
MAX_WRITING_S = 1.0
# Crashes of servers this many seconds apart or less are taken for one event, such as the failure of
# a rack, if a part that servers crashed with had been served before.
SAME_EVENT_S = 1.0


class PartHistory:
    """When servers last served a request with each part, as far as this instance knows."""

    def __init__(self) -> None:
        self._served_at: OrderedDict[str, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._served_at)

    def record_served(self, key: str, at: float) -> None:
        """Record that a server served a request with the part *key* at a time in seconds."""
        self._served_at[key] = max(at, self._served_at.get(key, at))
        self._served_at.move_to_end(key)
        if len(self._served_at) > MAX_SERVED_PARTS:
            self._served_at.popitem(last=False)

    def served_at(self, key: str) -> float | None:
        """Return when a request with the part was last served; None if that is not known."""
        return self._served_at.get(key)


def is_served_since(crashed_at: Iterable[float], served_at: float | None) -> bool:
    """Return whether a part has been served too recently to be suspected of crashes.

    A part that has never been served is suspected after any crashes. One that was served before is
    suspected only after ``MAX_CRASHES`` separate events since then, so that one event that ends all
    servers at once does not bar all requests that share a part.

    Args:
        crashed_at: when servers that ran a request with the part crashed, in seconds.
        served_at: when such a request was last served; None if that is not known.
    """
    if served_at is None:
        return False
    events = 0
    last_event_at = float("-inf")
    for at in sorted(crashed_at):
        if at > served_at and at - last_event_at > SAME_EVENT_S:
            events += 1
            last_event_at = at
    return events < MAX_CRASHES
