"""The instances of the fleet as one of them knows it, and when it may coordinate for all.

Each instance keeps a record in the platform's store, which deletes the record when its lease ends,
and reads the records of all instances now and then. So instances learn at different times of an
instance that came or went. Decisions that exactly one instance must take are assigned to the first
instance in an order of names that depends on a key, and two instances must never both act as the
first. Therefore an instance coordinates only

* while its lease holds, counted from when the renewal was sent: an instance that reads that the
  record is gone may take over at once;
* while the records that it read are recent enough to include the instances that joined;
* after the instances that it found when it started have acknowledged it. It writes its record,
  reads all records (not a stale read) and announces itself to the instances found; of two that
  start together at least one finds the other. It waits until each instance found has acknowledged
  the announcement or has no record any more. After a time limit it waits no longer: by then each of
  them has either read the new record, or has not read the records for so long that it no longer
  coordinates.

An instance that restarts within its lease takes over its record by a conditional write. If its
previous incarnation could coordinate, the other instances have counted the name all the time, and
it coordinates at once.

An instance without a record may still use its equal share of a common limit: it may be cut off
from the store only. Therefore each instance also keeps a fleet entry in the store, which outlives
its record by minutes. An instance that joins counts the instances that have a fleet entry. It uses
its share once each of them knows of it, or has no right to a share any more.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from crankhinge.decisions._rendezvous import rank_by_key

# Seconds that a record lasts without renewal. A renewal costs a tenth of a read and is sent three
# times in that period. With a shorter lease another instance replaces one that is gone sooner: with
# a lease of 45 s, an account whose first instance was gone for good was refused 335 times in 50 s.
RECORD_LEASE_S = 6.5
LEASE_RENEWAL_INTERVAL_S = 2.0
# Interval between reads of the records, in seconds: the minimum, and in a large fleet this much for
# each instance. That bounds the traffic of reads: about 300 bytes a record, 6 kB a second.
MIN_READ_INTERVAL_S = 3.0
READ_INTERVAL_S_PER_INSTANCE = 0.05
# Read intervals are varied randomly by up to this factor, and the records that were read are
# trusted for this many intervals.
MAX_READ_JITTER = 1.2
MAX_READ_AGE_INTERVALS = 2.5
# A read may return data up to this many seconds old: stale reads cost a tenth.
MAX_STALE_READ_S = 6.0
# Seconds after it was last seen for which an instance still counts when the limits that all
# instances share equally are divided: it may be cut off from the store only, and still use its
# share. An instance stops using its own share when its last read of the records is older than this
# time minus MAX_STALE_READ_S.
FLEET_RETENTION_S = 120.0
# Seconds that a fleet entry lasts without renewal, and seconds between its renewals. An instance
# uses its equal share only while its entry certainly exists, so it may do so for the difference at
# least while the store does not respond.
FLEET_ENTRY_LEASE_S = FLEET_RETENTION_S
FLEET_ENTRY_RENEWAL_INTERVAL_S = 20.0
# Seconds after its start for which an instance expects that the other ones may be starting, too.
SETTLING_S = 2.0
# Seconds after its start for which a restarted instance may use start allowances.
START_ALLOWANCE_S = 2.0
# Seconds between join announcements to instances that have not acknowledged one.
JOIN_ANNOUNCEMENT_INTERVAL_S = 0.5


class Membership:
    """The instances of the fleet that this one knows.

    Args:
        name: name of this instance.
        now: time of the runtime's clock in seconds.

    Attributes:
        changed_at: when the set of instances last changed, by the runtime's clock.
    """

    def __init__(self, name: str, now: float) -> None:
        self.changed_at = now
        self._started_at = now
        self._name = name
        self._addresses: dict[str, str] = {}
        self._names_at: dict[str, str] = {}
        self._rankings: dict[str, list[str]] = {}
        # When each instance was last seen: the sending time of a read that listed it, or its
        # announcement.
        self._seen_at: dict[str, float] = {}
        # The same, including this instance and instances that are gone by now.
        self._last_seen: dict[str, float] = {name: float("inf")}
        self._unacknowledged: set[str] = set()
        # Instances that count this one all the time, but may not know yet that it has returned.
        self._to_notify: set[str] = set()
        # Instances that may use their equal share without counting this one: their addresses, and
        # until when they may. Also the instances that have confirmed that they count it.
        self._uninformed: dict[str, tuple[str, float]] = {}
        self._informed: set[str] = set()
        self._entry_until = float("-inf")
        # The instances that had fleet entries when the start allowances of this one began.
        self._allowance_names: frozenset[str] | None = None
        self._allowance_began_at = now
        self._read_at = float("-inf")
        self._lease_until = float("-inf")
        self._joined_at: float | None = None

    def __len__(self) -> int:
        return max(1, len(self._addresses))

    @property
    def peer_addresses(self) -> Sequence[str]:
        """Datagram addresses of the other instances."""
        return [peer for name, peer in self._addresses.items() if peer and name != self._name]

    @property
    def unacknowledged_addresses(self) -> Sequence[str]:
        """Datagram addresses of the instances that have not acknowledged the join announcement."""
        addresses = {name: address for name, (address, _) in self._uninformed.items()}
        for name in self._unacknowledged | self._to_notify:
            addresses[name] = self._addresses.get(name, "")
        return [address for address in addresses.values() if address]

    def peer_address(self, name: str) -> str:
        """Return the datagram address of an instance; empty if it has none."""
        return self._addresses.get(name, "")

    def name_at(self, address: str) -> str:
        """Return the name of the instance with a datagram address; empty if none is known."""
        return self._names_at.get(address, "")

    @property
    def read_interval_s(self) -> float:
        """Seconds between reads of the records."""
        return max(MIN_READ_INTERVAL_S, READ_INTERVAL_S_PER_INSTANCE * len(self))

    @property
    def max_read_age_s(self) -> float:
        """Age in seconds above which the records that were read are not trusted any more."""
        return MAX_READ_AGE_INTERVALS * self.read_interval_s

    def set_lease_end(self, until: float) -> None:
        """Set the time until which this instance's record certainly exists."""
        self._lease_until = until

    def join(self, addresses: Mapping[str, str], now: float, *, resumed: bool) -> None:
        """Apply a read of the records that was sent after this instance wrote its own record.

        Args:
            addresses: datagram address of each instance that has a record, by name; from a read
                that is not stale.
            now: when the read was sent, by the runtime's clock in seconds.
            resumed: whether this instance took over the record of its previous incarnation, which
                the other instances have counted all the time.
        """
        self._joined_at = now
        if not resumed:
            self._informed.clear()
        self.apply_records(addresses, now)
        others = set(self._addresses) - {self._name}
        self._unacknowledged = set() if resumed else others
        self._to_notify = others if resumed else set()

    def enter_fleet(
        self,
        addresses: Mapping[str, str],
        now: float,
        *,
        until: float,
        returned: bool,
        leaving: Mapping[str, float] | None = None,
        start_allowance: bool = False,
    ) -> None:
        """Apply a read of the fleet entries that was sent after this instance joined.

        Args:
            addresses: datagram address of each instance that has a fleet entry, by name; from a
                read that is not stale.
            now: when the read was sent, by the runtime's clock in seconds.
            until: time until which the entry of this instance certainly exists.
            returned: whether this instance already had an entry, so that the others count it.
            leaving: for each instance that was stopped, the seconds after which its share is
                unused; None for no such instances.
            start_allowance: whether the earlier entry of this instance permitted start allowances,
                and no longer does.
        """
        others = {name: peer for name, peer in addresses.items() if name != self._name}
        for name in others:
            self._last_seen[name] = max(now, self._last_seen.get(name, now))
        self._entry_until = until
        if start_allowance:
            self._allowance_names, self._allowance_began_at = frozenset(self._last_seen), now
        if returned:
            self._uninformed = {}
            return
        known = {name: peer for name, peer in self._addresses.items() if name != self._name}
        self._uninformed = {
            name: (peer, now + (leaving or {}).get(name, FLEET_ENTRY_LEASE_S))
            for name, peer in (others | known).items()
            if name not in self._informed
        }

    def leave_fleet(self) -> None:
        """Stop using the equal share, because this instance was told to stop."""
        self._entry_until = float("-inf")

    def set_entry_end(self, until: float) -> None:
        """Set the time until which this instance's fleet entry certainly exists."""
        self._entry_until = until

    def apply_records(self, addresses: Mapping[str, str], now: float) -> None:
        """Apply a later read of the records.

        Args:
            addresses: as for :meth:`join`, from a read that may be stale.
            now: when the read was sent, by the runtime's clock in seconds.
        """
        # A stale read may lack instances that joined recently, so recently seen ones are kept.
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
        self._to_notify &= set(addresses)
        self._drop_informed(addresses, now)
        self._read_at = now

    def record_joined(self, name: str, address: str, now: float) -> None:
        """Record that an instance has joined, and its datagram address."""
        self._seen_at[name] = self._last_seen[name] = now
        self._set_addresses({**self._addresses, name: address}, now)
        # It announces itself to the instances that it counts.
        self._record_informed(name)

    def record_acknowledged(self, name: str) -> None:
        """Record that an instance has acknowledged the join announcement of this one."""
        self._unacknowledged.discard(name)
        self._record_informed(name)

    def _record_informed(self, name: str) -> None:
        self._informed.add(name)
        self._to_notify.discard(name)
        self._uninformed.pop(name, None)

    def _drop_informed(self, records: Iterable[str], now: float) -> None:
        """Drop the instances that must have read this one's record by now, or have no right left.

        A record that still exists this long after the join shows that its instance has reached the
        store since, and so has read the records again.
        """
        self._uninformed = {
            name: (peer, until) for name, (peer, until) in self._uninformed.items() if until > now
        }
        if self._joined_at is None:
            return
        if now - self._joined_at > MAX_STALE_READ_S + RECORD_LEASE_S + self.max_read_age_s:
            for name in records:
                self._uninformed.pop(name, None)

    def is_settling(self, now: float) -> bool:
        """Whether this instance has just started, so that other instances may be starting, too."""
        return now - self._started_at < SETTLING_S

    def is_entering(self, now: float) -> bool:
        """Whether this instance has just started and has not read the fleet entries yet."""
        return self.is_settling(now) and self._entry_until == float("-inf")

    def may_coordinate(self, now: float) -> bool:
        """Whether this instance may act as the first instance of a key."""
        if self._joined_at is None or now >= self._lease_until:
            return False
        if now - self._read_at > self.max_read_age_s:
            return False
        return (
            not self._unacknowledged
            or now - self._joined_at > self.max_read_age_s + MAX_STALE_READ_S
        )

    def has_counted_instances(self, now: float) -> bool:
        """Whether this instance knows how many instances there are.

        That is so when it may coordinate, or joined more than a read interval ago.
        """
        if self._joined_at is None:
            return False
        return (
            self.may_coordinate(now)
            or now - self._joined_at > MAX_READ_JITTER * self.read_interval_s
        )

    def may_use_equal_share(self, now: float) -> bool:
        """Whether this instance may use its equal share of a common limit.

        That is so while the instances that join count this one by its fleet entry, and once all
        instances that may use a share count this one.
        """
        return (
            self.has_counted_instances(now)
            and now < self._entry_until
            and all(until <= now for _, until in self._uninformed.values())
            and now - self._read_at <= FLEET_RETENTION_S - MAX_STALE_READ_S
        )

    def first_counted(self, key: str, now: float) -> str | None:
        """Return the first instance of *key* among those with fleet entries, also if it is away.

        Returns None while this instance, which has just started, has not read the entries.
        """
        return None if self.is_entering(now) else rank_by_key(key.encode(), self._last_seen)[0]

    def start_allowance_until(self, key: str, now: float) -> float | None:
        """Return until when a start allowance for *key* can be used; None if there is none.

        Of the instances that had a fleet entry when this one started, it is the first in the order
        of the key, so no other one has an allowance for the key at the same time. An allowance that
        was not asked for in time is part of the burst and the savings, unless another instance may
        have been the first since.
        """
        if self._allowance_names is None:
            return None
        until = self._allowance_began_at + START_ALLOWANCE_S
        if now >= until and self.changed_at > self._allowance_began_at:
            return None
        return until if rank_by_key(key.encode(), self._allowance_names)[0] == self._name else None

    @property
    def fleet_size(self) -> int:
        """Upper bound of the number of instances that use their equal share."""
        return len(self._last_seen)

    def rank_instances(self, key: str) -> Sequence[str]:
        """Return the instances in the order that depends on *key*."""
        if key not in self._rankings:
            self._rankings[key] = rank_by_key(key.encode(), self._names())
        return self._rankings[key]

    def first_instances(self, key: str, count: int) -> Sequence[str]:
        """Return the first *count* instances in the order of *key*, for keys that are rarely used.

        Unlike :meth:`rank_instances` it caches nothing for the key.
        """
        return rank_by_key(key.encode(), self._names())[:count]

    def _names(self) -> Iterable[str]:
        """Return all names; this instance counts itself even if no read listed it."""
        return {*self._addresses, self._name}

    def _set_addresses(self, peers: dict[str, str], now: float) -> None:
        """Set the known instances; their orders change if the set of names does."""
        if set(peers) != set(self._addresses):
            self._rankings.clear()
            self.changed_at = now
        self._addresses = peers
        self._names_at = {address: name for name, address in peers.items()}
        self._seen_at = {name: self._seen_at.get(name, now) for name in peers}
