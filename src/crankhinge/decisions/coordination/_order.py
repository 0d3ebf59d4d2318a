"""The order of the instances that may keep something for the fleet, such as an account's tokens.

All instances compute the same order from the key of the thing and the names of the instances. The
first instance coordinates, and the second one is its standby.
"""

from __future__ import annotations

from collections.abc import Sequence

from crankhinge.decisions._membership import Membership
from crankhinge.decisions._unresponsive import UnresponsivePeers

# Number of instances, in the order of a key, that may coordinate it: the first and its standby.
MAX_COORDINATORS = 2


class CoordinatorOrder:
    """Chooses the instances to ask about a key, and skips unresponsive ones.

    Args:
        name: name of this instance.
        membership: the known instances.
        max_misses: unanswered requests in a row after which an instance is skipped.
    """

    def __init__(self, *, name: str, membership: Membership, max_misses: int) -> None:
        self._name = name
        self._membership = membership
        self._unresponsive = UnresponsivePeers(max_misses)

    def ranked(self, key: str) -> Sequence[str]:
        """Return the first instance of a key and its standby, whether they respond or not."""
        return self._membership.rank_instances(key)[:MAX_COORDINATORS]

    def coordinators(self, key: str, now: float) -> Sequence[str]:
        """Return the instances to ask about a key, in this order until one decides."""
        return [
            name
            for name in self.ranked(key)
            if name == self._name or not self._unresponsive.is_skipped(name, now)
        ]

    def is_coordinator(self, key: str) -> bool:
        """Whether other instances may ask this one about a key."""
        return self._name in self.ranked(key)

    def missed_last(self, name: str) -> bool:
        """Whether the last request to an instance got no response."""
        return self._unresponsive.missed_last(name)

    def record_unresponsive(self, name: str, now: float) -> None:
        """Record that an instance did not respond."""
        self._unresponsive.record_unresponsive(name, now)

    def record_response(self, name: str) -> None:
        """Record that an instance responded, or that it has just joined."""
        self._unresponsive.record_response(name)
