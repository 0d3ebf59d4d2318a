"""How often what the platform tells is asked for, from how old it may become.

A watch is answered by the first change, so an instance that asks again at once makes a call for
each change, and a fleet makes instances times changes of them. Whoever waits after a change is told
all that came meanwhile in one answer; how long it may wait follows from what the operators bound.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass

# Part of a bound for which changes may be gathered, so that one call brings several. The rest is
# for the store's answer, the link and the request that was on its way.
LIST_BATCH_SHARE = 0.4
# The same for the configuration: large ones take links seconds, and changes are rare but in storms.
CONFIG_BATCH_SHARE = 0.1
# Changes that are told at once; only what goes on beyond them, within so many pauses, is gathered.
# A server that crashes and one that comes in its place are known at once.
IMMEDIATE_CHANGES = 2
BURST_PAUSES = 3
# What a watch may take beyond its wait and what follows until a new one is answered, in seconds.
WATCH_RECOVERY_S = 1.0
# Longest wait of a watch, in seconds. It must be shorter than the store remembers changes, 20 s, or
# a quiet store ends each watch with lost history.
MAX_WATCH_WAIT_S = 10.0
# Shortest wait of a watch, in seconds: below it a watch is polling.
MIN_WATCH_WAIT_S = 0.5
# Seconds of the operators' bound on keys that are left unused: an answer of a slow store (0.3) and
# the tick of the two clocks by which wait and age are told.
REVOKE_MARGIN_S = 0.2
# Seconds that the answer to a watch may take beyond its wait, for the belief not to grow too old
# meanwhile: a slow store's 0.32 and the way.
WATCH_RESPONSE_S = 0.5


@dataclass(frozen=True, slots=True)
class FreshnessBounds:
    """How old beliefs may become, as the operators bound it.

    Attributes:
        apply_s: seconds within which a changed configuration has to be in force.
        leave_s: seconds after which a server that leaves may get no request.
        contact_s: seconds after an instance's trouble from which both bounds hold for it again.
        revoke_s: seconds after which nobody may be served by a key that was taken away, whatever
            the trouble; infinite where there is no such bound.
    """

    apply_s: float
    leave_s: float
    contact_s: float
    revoke_s: float = math.inf

    @property
    def max_key_age_s(self) -> float:
        """Age from which what is known of keys may not be used any more, in seconds."""
        return self.revoke_s - REVOKE_MARGIN_S

    def config_watch_wait_s(self, age_s: float) -> float:
        """Return the longest wait of a watch of the configuration, in seconds.

        A change answers a watch at some time after the watch was sent, nobody can tell when, so
        what it proves may be as old as its wait. The next one ends before that is too old; with
        watches of one length keys were refused for a second after each change.

        Args:
            age_s: age of what was last proved.
        """
        return max(0.0, min(self.max_watch_wait_s, self.max_key_age_s - WATCH_RESPONSE_S - age_s))

    @property
    def max_watch_wait_s(self) -> float:
        """Longest wait of one watch, in seconds.

        A connection may fall silent for good with nothing to show it but a watch that does not
        end. It is noticed before the bounds hold again.
        """
        return min(MAX_WATCH_WAIT_S, max(MIN_WATCH_WAIT_S, self.contact_s - WATCH_RECOVERY_S))

    @property
    def config_pause_s(self) -> float:
        """Seconds without a call after a change of the configuration."""
        return self._bounded_pause_s(CONFIG_BATCH_SHARE * self.apply_s)

    @property
    def list_pause_s(self) -> float:
        """Seconds without a call after a change of the list of servers."""
        return self._bounded_pause_s(LIST_BATCH_SHARE * self.leave_s)

    def _bounded_pause_s(self, wanted_s: float) -> float:
        """Return a pause that leaves the watch after it some time."""
        return max(0.0, min(wanted_s, self.max_watch_wait_s - MIN_WATCH_WAIT_S))


class ChangeBatcher:
    """When to ask again after a change.

    Args:
        record_change: seconds without a call while changes go on.
    """

    def __init__(self, pause_s: float) -> None:
        self._pause_s = pause_s
        self._change_times: deque[float] = deque(maxlen=IMMEDIATE_CHANGES)

    def record_change(self, now: float) -> float:
        """Note a change; returns the seconds to wait before the next call."""
        before = sum(now - at < BURST_PAUSES * self._pause_s for at in self._change_times)
        self._change_times.append(now)
        return self._pause_s if before == IMMEDIATE_CHANGES else 0.0
