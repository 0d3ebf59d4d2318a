"""Which instances there are, as one of them believes.

Each instance keeps a note in the platform's store, which drops it when its lease is over, and reads
the notes of all now and then, so instances learn of one that came or went at different times. What
has to be decided by one instance alone falls to the first in an order of names that depends on a
key, and two instances must never both act as the first. Therefore an instance acts only

* while its lease holds, counted from when its renewal was sent: whoever reads that the note is gone
  may act in its place at once;
* while the notes that it read are young, so that it knows of those that came;
* once those that it found on coming count it. It writes its note, reads all notes (not a stale
  read), and greets whom it finds; of two that come together at least one finds the other. It waits
  for all answers, or until whoever did not answer has gone, has read of it or no longer acts.

One that starts again within its lease takes its note over by a conditional write. If its life
before could act, the others never ceased to count the name, and it acts at once.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from crankhinge.decisions._rendezvous import rank_by_key

# Seconds that a note lasts without renewal. Renewals (a tenth of a read each) are sent thrice in
# that time. The shorter, the sooner another instance acts for one that is gone: with notes of 45 s
# an account whose first instance was gone for good was refused 335 times in 50 s.
RECORD_LEASE_S = 6.5
LEASE_RENEWAL_INTERVAL_S = 2.0
# Notes are read at least every so many seconds, and, in a large fleet, so many seconds for each
# instance, which bounds what reading them takes: some 300 bytes a note, 6 kB a second.
MIN_READ_INTERVAL_S = 3.0
READ_INTERVAL_S_PER_INSTANCE = 0.05
# Readings are spread by this factor at most, and so many may be missed before what was read is not
# relied on any more.
MAX_READ_JITTER = 1.2
MAX_READ_AGE_INTERVALS = 2.5
# What is read may be so many seconds old: reads that may be stale cost a tenth.
MAX_STALE_READ_S = 6.0
# Seconds for which an instance that was seen is counted where each has a part of something: it may
# be cut off from the store alone and go on using its part. Whoever has not read the notes for so
# long, less what a read may be late, uses its own part no more.
FLEET_RETENTION_S = 120.0
# Seconds between greetings of those that did not answer.
JOIN_ANNOUNCEMENT_INTERVAL_S = 0.5


class Membership:
    """The instances that this one believes in.

    Args:
        name: of this instance.
        now: on the runtime's clock, in seconds.

    Attributes:
        changed_at: when the instances last changed, on the runtime's clock.
    """

    def __init__(self, name: str, now: float) -> None:
        self.changed_at = now
        self._name = name
        self._addresses: dict[str, str] = {}
        self._rankings: dict[str, list[str]] = {}
        # When each was last seen: by a read that was sent then, or by its greeting.
        self._seen_at: dict[str, float] = {}
        # The same, of this instance and of those too that are gone since.
        self._last_seen: dict[str, float] = {name: float("inf")}
        self._unacknowledged: set[str] = set()
        self._read_at = float("-inf")
        self._lease_until = float("-inf")
        self._joined_at: float | None = None

    def __len__(self) -> int:
        return max(1, len(self._addresses))

    @property
    def peer_addresses(self) -> Sequence[str]:
        """Where the other instances take datagrams."""
        return [peer for name, peer in self._addresses.items() if peer and name != self._name]

    @property
    def unacknowledged_addresses(self) -> Sequence[str]:
        """Where those take datagrams that have not answered a greeting."""
        return [self._addresses[name] for name in self._unacknowledged if self._addresses.get(name)]

    def peer_address(self, name: str) -> str:
        """Return where an instance takes datagrams; empty for nowhere."""
        return self._addresses.get(name, "")

    @property
    def read_interval_s(self) -> float:
        """Seconds between readings of the notes."""
        return max(MIN_READ_INTERVAL_S, READ_INTERVAL_S_PER_INSTANCE * len(self))

    @property
    def max_read_age_s(self) -> float:
        """Age from which the notes that were read are not relied on any more, in seconds."""
        return MAX_READ_AGE_INTERVALS * self.read_interval_s

    def set_lease_end(self, until: float) -> None:
        """Note until when this instance's own note surely lasts, on the runtime's clock."""
        self._lease_until = until

    def join(self, addresses: Mapping[str, str], now: float, *, resumed: bool) -> None:
        """Take the notes that were read, not by a stale read, after the own one was written.

        Args:
            addresses: where each instance takes datagrams, by its name.
            now: when the read was sent, on the runtime's clock, in seconds.
            resumed: whether this instance's note never ceased and its life before could act.
        """
        self._joined_at = now
        self.apply_records(addresses, now)
        self._unacknowledged = set() if resumed else set(self._addresses) - {self._name}

    def apply_records(self, addresses: Mapping[str, str], now: float) -> None:
        """Take the notes that were read; *now* is when the read was sent."""
        # A read may be stale and lack who has come since; it was there at a time that was seen.
        kept = {name for name, at in self._seen_at.items() if now - at <= MAX_STALE_READ_S}
        peers = {name: peer for name, peer in self._addresses.items() if name in kept}
        self._seen_at.update(dict.fromkeys(addresses, now))
        self._last_seen = {
            name: at for name, at in self._last_seen.items() if now - at <= FLEET_RETENTION_S
        }
        self._last_seen.update(dict.fromkeys(addresses, now))
        self._last_seen[self._name] = float("inf")
        self._set_addresses(
            {**peers, **{name: peer for name, peer in addresses.items() if peer}}, now
        )
        self._unacknowledged &= set(self._addresses)
        self._read_at = now

    def record_joined(self, name: str, address: str, now: float) -> None:
        """Note that an instance has come and tells where it takes datagrams."""
        self._seen_at[name] = self._last_seen[name] = now
        self._set_addresses({**self._addresses, name: address}, now)

    def record_acknowledged(self, name: str) -> None:
        """Note that an instance counts this one."""
        self._unacknowledged.discard(name)

    def may_coordinate(self, now: float) -> bool:
        """Whether this instance may act as the first."""
        if self._joined_at is None or now >= self._lease_until:
            return False
        if now - self._read_at > self.max_read_age_s:
            return False
        return (
            not self._unacknowledged
            or now - self._joined_at > self.max_read_age_s + MAX_STALE_READ_S
        )

    def has_counted_instances(self, now: float) -> bool:
        """Whether this instance has read the notes often enough to know how many there are."""
        if self._joined_at is None:
            return False
        return (
            self.may_coordinate(now)
            or now - self._joined_at > MAX_READ_JITTER * self.read_interval_s
        )

    def may_use_equal_share(self, now: float) -> bool:
        """Whether this instance may use its part of what all share equally."""
        return (
            self.has_counted_instances(now)
            and now - self._read_at <= FLEET_RETENTION_S - MAX_STALE_READ_S
        )

    @property
    def fleet_size(self) -> int:
        """How many instances there may be, at most, that use their parts."""
        return len(self._last_seen)

    def rank_instances(self, key: str) -> Sequence[str]:
        """Return the instances in the order that depends on *key*, the first before all."""
        if key not in self._rankings:
            self._rankings[key] = rank_by_key(key.encode(), self._names())
        return self._rankings[key]

    def first_instances(self, key: str, count: int) -> Sequence[str]:
        """Return the first *count* instances in the order of *key*, for keys that are rarely asked.

        Other than :meth:`ranked` it keeps nothing for the key.
        """
        return rank_by_key(key.encode(), self._names())[:count]

    def _names(self) -> Iterable[str]:
        """Return all names; this instance counts itself whatever was read."""
        return {*self._addresses, self._name}

    def _set_addresses(self, peers: dict[str, str], now: float) -> None:
        if set(peers) != set(self._addresses):
            self._rankings.clear()
            self.changed_at = now
        self._addresses = peers
        self._seen_at = {name: self._seen_at.get(name, now) for name in peers}
