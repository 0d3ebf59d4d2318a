"""Which requests are kept from servers, since servers crashed that ran them.

A crash cuts every request that its server runs, and nobody can tell which of them was the cause.
One that was cut by crashes of several servers is refused for a while. Then one attempt at it is let
through, as a trial: an answer ends the quarantine, another crash begins a longer one. So a request
that was cut by chance is served again soon, and one that crashes servers meets ever fewer of them.

Crashes are told apart by the identities of the servers' lives, so whoever hears of one twice, from
two instances or by a late message, counts it once.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from crankhinge.decisions._bounded import keep_newest

# Servers that may crash under one request before it is refused, as the operators bound it.
MAX_CRASHES = 3
# Seconds from that crash to the trial. Whoever was cut by chance waits that long: callers wait 14 s
# for a stream. After each further crash it is so many times as long: with 10, 40 and 160 s a
# request that crashes servers meets two in the first 50 s, and three in four minutes; the operators
# allow it three more than those that began the quarantine.
FIRST_QUARANTINE_S = 10.0
QUARANTINE_GROWTH = 4.0
MAX_QUARANTINE_S = 3600.0
# Seconds that a trial has before the next may begin; the crashes that were seen came 0.1 to 0.3 s
# after a request had reached its server, a busy one reads a prompt for some seconds.
TRIAL_S = 5.0
# Seconds for which crashes are remembered: the callers that were seen came again within 6 s.
CRASH_RETENTION_S = 600.0
# Requests remembered that were cut by crashes, and of those in quarantine: 0.9 MB when all are
# taken (as the interpreter counts its memory). A server runs 64 at once, so it takes the crashes
# of 16 servers within KEPT_S to lose one.
MAX_SUSPECTS = 1024
MAX_QUARANTINED = 256
# Crashes remembered of one request; with these its quarantine is as long as any.
MAX_CRASHED_SERVERS = 8
# Of those in quarantine, how many an instance tells in its note in the store: 4 kB at most.
MAX_PUBLISHED = 16
# Seconds for which notes are not believed of a request that was answered: a note is written anew
# within seconds, and read seconds late.
COMPLETED_RETENTION_S = 40.0


@dataclass
class _Suspect:
    """A request that crashes cut.

    Attributes:
        servers: identities of the lives that ended, the first one first.
        last_crash_at: when the last of them was heard of.
    """

    servers: dict[str, None] = field(default_factory=dict)
    last_crash_at: float = 0.0

    def add(self, servers: Iterable[str], now: float) -> bool:
        """Add crashes, the newest of which are remembered; returns whether any is new."""
        new = [server for server in servers if server not in self.servers]
        self.servers.update(dict.fromkeys(new))
        while len(self.servers) > MAX_CRASHED_SERVERS:
            del self.servers[next(iter(self.servers))]
        self.last_crash_at = now
        return bool(new)


@dataclass
class _Quarantined(_Suspect):
    """A request in quarantine.

    Attributes:
        trial_at: when a trial may begin.
        counted_here: whether this instance counted the crashes, and so keeps others informed.
    """

    trial_at: float = 0.0
    counted_here: bool = False

    @property
    def quarantine_s(self) -> float:
        """Seconds from the last crash to the trial."""
        return float(
            min(
                MAX_QUARANTINE_S,
                FIRST_QUARANTINE_S * QUARANTINE_GROWTH ** (len(self.servers) - MAX_CRASHES),
            )
        )


@dataclass(frozen=True, slots=True)
class QuarantineUpdate:
    """A quarantine as instances tell each other.

    Attributes:
        fingerprint: of the request.
        servers: identities of the lives that ended under it.
        left_s: seconds until a trial.
    """

    fingerprint: str
    servers: tuple[str, ...]
    left_s: float


class Quarantine:
    """The requests that are kept from servers, as one instance believes."""

    def __init__(self) -> None:
        self._suspects: dict[str, _Suspect] = {}
        self._quarantined: dict[str, _Quarantined] = {}
        self._completed_at: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._quarantined)

    def crash_count(self, fingerprint: str) -> int:
        """Return how many servers are known to have crashed under a request."""
        suspect = self._quarantined.get(fingerprint) or self._suspects.get(fingerprint)
        return len(suspect.servers) if suspect else 0

    def is_quarantined(self, fingerprint: str) -> bool:
        """Whether a request is in quarantine, be it refused or due for a trial."""
        return fingerprint in self._quarantined

    def refusal_left_s(self, fingerprint: str, now: float) -> float:
        """Return for how many seconds a request is refused; 0 for one that may run."""
        entry = self._quarantined.get(fingerprint)
        return max(0.0, entry.trial_at - now) if entry else 0.0

    def record_crash(self, fingerprint: str, server: str, now: float) -> QuarantineUpdate | None:
        """Note that a server crashed while it ran a request.

        Returns the quarantine that this begins or lengthens.
        """
        entry = self._quarantined.get(fingerprint)
        if entry is not None:
            if not entry.add((server,), now):
                return None
            return self._extend(fingerprint, entry, now)
        suspect = self._suspects.pop(fingerprint, None) or _Suspect()
        if suspect.servers and now - suspect.last_crash_at > CRASH_RETENTION_S:
            suspect = _Suspect()
        suspect.add((server,), now)
        if len(suspect.servers) < MAX_CRASHES:
            keep_newest(self._suspects, fingerprint, suspect, MAX_SUSPECTS)
            self._drop_old(now)
            return None
        entry = _Quarantined(suspect.servers, now)
        keep_newest(self._quarantined, fingerprint, entry, MAX_QUARANTINED)
        return self._extend(fingerprint, entry, now)

    def _extend(self, fingerprint: str, entry: _Quarantined, now: float) -> QuarantineUpdate:
        entry.counted_here = True
        entry.trial_at = now + entry.quarantine_s
        return QuarantineUpdate(fingerprint, tuple(entry.servers), entry.quarantine_s)

    def begin_trial(self, fingerprint: str, now: float) -> QuarantineUpdate:
        """Let one attempt through: all others are refused until its time is over."""
        entry = self._quarantined[fingerprint]
        entry.trial_at = now + TRIAL_S
        return QuarantineUpdate(fingerprint, tuple(entry.servers), TRIAL_S)

    def apply_update(self, update: QuarantineUpdate, now: float) -> bool:
        """Take what another instance tells; returns whether it was news."""
        fingerprint = update.fingerprint
        known = self._quarantined.get(fingerprint)
        entry = known or _Quarantined()
        is_new = entry.add(update.servers, now)
        left_s = min(update.left_s, entry.quarantine_s)
        entry.trial_at = max(entry.trial_at, now + left_s)
        if known is None:
            self._suspects.pop(fingerprint, None)
            keep_newest(self._quarantined, fingerprint, entry, MAX_QUARANTINED)
        return is_new

    def to_instance_record(self) -> Mapping[str, tuple[str, ...]]:
        """Return what this instance tells in its note: servers by fingerprint, the newest."""
        own = [
            (key, tuple(each.servers))
            for key, each in self._quarantined.items()
            if each.counted_here
        ]
        return dict(own[-MAX_PUBLISHED:])

    def apply_instance_record(
        self, published: Mapping[str, Collection[str]], now: float, *, own: bool
    ) -> Iterator[QuarantineUpdate]:
        """Take what was read in a note; gives what was news.

        How long ago it was written is not known. So only crashes that are news count, and the
        quarantine begins when they are read.

        Args:
            published: as :meth:`noted` returned it.
            now: on the runtime's clock, in seconds.
            own: whether an earlier life of this instance wrote it.
        """
        for fingerprint, servers in published.items():
            if now - self._completed_at.get(fingerprint, float("-inf")) < COMPLETED_RETENTION_S:
                continue
            known = self._quarantined.get(fingerprint)
            if known is not None and known.servers.keys() >= set(servers):
                continue
            update = QuarantineUpdate(fingerprint, tuple(servers), MAX_QUARANTINE_S)
            if self.apply_update(update, now):
                self._quarantined[fingerprint].counted_here |= own
                yield update

    def record_completed(self, fingerprint: str, now: float) -> int:
        """Note that a server ran a request to its end; returns the crashes that are forgotten."""
        crashes = self.crash_count(fingerprint)
        if crashes:
            self._suspects.pop(fingerprint, None)
            self._quarantined.pop(fingerprint, None)
            keep_newest(self._completed_at, fingerprint, now, MAX_SUSPECTS)
        return crashes

    def _drop_old(self, now: float) -> None:
        """Forget requests of which nothing was heard for long; suspects stand in that order."""
        while self._suspects:
            oldest = next(iter(self._suspects))
            if now - self._suspects[oldest].last_crash_at <= CRASH_RETENTION_S:
                break
            del self._suspects[oldest]
        for key, entry in list(self._quarantined.items()):
            if now - max(entry.last_crash_at, entry.trial_at) > CRASH_RETENTION_S:
                del self._quarantined[key]
