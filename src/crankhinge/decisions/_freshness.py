"""Computes how often an instance asks the store for changes, from bounds on its data's age.

A watch returns at the first change. An instance that sends the next watch at once therefore makes a
call for each change, and all instances together make as many calls for each change as there are
instances. An instance that pauses after a change gets all changes made meanwhile in one response;
the operators' bounds determine how long it may pause.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass

# Fraction of leave_s for which changes of the server list may be batched, so that one call returns
# several. The remaining time is for the store's response, the network and a request that is already
# on its way to the server.
LIST_BATCH_SHARE = 0.4
# Fraction of apply_s for which changes of the configuration may be batched: large configurations
# take seconds on the network, and changes are rare except in bursts.
CONFIG_BATCH_SHARE = 0.1
# Number of changes that are fetched immediately. A change is batched only if at least this many
# others came before it within the time of BURST_PAUSES pauses. So the crash of a server and the
# start of its replacement are both known at once.
IMMEDIATE_CHANGES = 2
BURST_PAUSES = 3
# Seconds that a watch may take beyond its wait, plus the seconds until the watch that follows has
# returned.
WATCH_RECOVERY_S = 1.0
# Longest wait of a watch, in seconds. It must be shorter than the 20 s for which the store keeps
# changes. Otherwise each watch of a store without changes would fail because its history is lost.
MAX_WATCH_WAIT_S = 10.0
# Shortest wait of a watch, in seconds: watches with a shorter wait amount to polling.
MIN_WATCH_WAIT_S = 0.5
# Seconds by which this instance stays below the operators' bound on revoked keys. The margin is for
# the response of a slow store (0.3) and the resolution of the two clocks that measure the wait of a
# watch and the age of the keys.
REVOKE_MARGIN_S = 0.2
# Seconds that the response to a watch may take beyond its wait without making the data too old:
# 0.32 for a slow store, and the rest for the network.
WATCH_RESPONSE_S = 0.5


@dataclass(frozen=True, slots=True)
class FreshnessBounds:
    """The operators' bounds on the age of the data that an instance has from the store.

    Attributes:
        apply_s: seconds within which a changed configuration must be active.
        leave_s: seconds after which a server that is leaving must get no request.
        recovery_s: seconds after the end of a fault within which an instance must meet apply_s and
            leave_s again; the setting ``contact_s``.
        revoke_s: seconds after the revocation of a key from which no request with that key may be
            served, even during faults; infinite if the operators set no such bound.
    """

    apply_s: float
    leave_s: float
    recovery_s: float
    revoke_s: float = math.inf

    @property
    def max_key_age_s(self) -> float:
        """Age of the known keys, in seconds, above which they must not be used any more."""
        return self.revoke_s - REVOKE_MARGIN_S

    def config_watch_wait_s(self, age_s: float) -> float:
        """Return the longest wait of a watch of the configuration, in seconds.

        The store responds to a watch at the first change or at the end of the wait, and this
        instance cannot tell at which time the store responded. So when the response arrives, the
        state that it proves may already be as old as the wait. The next watch must end before that
        state is too old; with watches of one fixed length, requests were refused for a second after
        each change of the keys.

        Args:
            age_s: age, in seconds, of the state that the last response proved.
        """
        return max(0.0, min(self.max_watch_wait_s, self.max_key_age_s - WATCH_RESPONSE_S - age_s))

    @property
    def max_watch_wait_s(self) -> float:
        """Longest wait of one watch, in seconds.

        A connection may stop transmitting without being closed, and only a watch that gets no
        response in time reveals this. With this wait, the failure is noticed before recovery_s has
        passed.
        """
        return min(MAX_WATCH_WAIT_S, max(MIN_WATCH_WAIT_S, self.recovery_s - WATCH_RECOVERY_S))

    @property
    def config_pause_s(self) -> float:
        """Seconds to wait after a change of the configuration before the store is called again."""
        return self._bounded_pause_s(CONFIG_BATCH_SHARE * self.apply_s)

    @property
    def list_pause_s(self) -> float:
        """Seconds to wait after a change of the server list before the store is called again."""
        return self._bounded_pause_s(LIST_BATCH_SHARE * self.leave_s)

    def _bounded_pause_s(self, wanted_s: float) -> float:
        """Return *wanted_s*, reduced so that enough time is left for the watch that follows."""
        return max(0.0, min(wanted_s, self.max_watch_wait_s - MIN_WATCH_WAIT_S))


class ChangeBatcher:
    """Decides when to ask the store again after a change, so that bursts of changes are batched.

    Args:
        pause_s: seconds between two calls of the store while changes continue.
    """

    def __init__(self, pause_s: float) -> None:
        self._pause_s = pause_s
        self._change_times: deque[float] = deque(maxlen=IMMEDIATE_CHANGES)

    def record_change(self, now: float) -> float:
        """Record a change at the time *now*; return the seconds to wait before the next call."""
        before = sum(now - at < BURST_PAUSES * self._pause_s for at in self._change_times)
        self._change_times.append(now)
        return self._pause_s if before == IMMEDIATE_CHANGES else 0.0
