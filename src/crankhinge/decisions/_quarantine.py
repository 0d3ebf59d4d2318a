"""Requests that are kept away from servers because servers crashed while running them.

A crash ends all requests that the server runs, and it is unknown which of them caused it. A request
that was running on ``MAX_CRASHES`` servers when they crashed is put in quarantine, which means that
it is refused for a while. Then one attempt is let through as a trial: a response ends the
quarantine, another crash begins a longer one. So a request that happened to run on those servers is
served again soon, and a request that makes servers crash reaches fewer and fewer of them.

Crashes are identified by the incarnation ids of the servers, so a crash that is reported twice, by
two instances or by a late message, counts once.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from crankhinge.decisions._bounded import keep_newest

# Number of crashed servers after which the request that they ran is refused. The operators set this
# bound.
MAX_CRASHES = 3
# Seconds from the crash that begins a quarantine to the trial. A request that only happened to run
# on the crashed servers is refused for this time; callers wait 14 s for a stream. Each further
# crash multiplies the time by QUARANTINE_GROWTH. With 10, 40 and 160 s, a request that crashes
# servers reaches two servers in the first 50 s and three in four minutes; the operators allow three
# more servers than those that began the quarantine.
FIRST_QUARANTINE_S = 10.0
QUARANTINE_GROWTH = 4.0
MAX_QUARANTINE_S = 3600.0
# Duration of a trial in seconds; the next trial may begin only after it. The observed crashes came
# 0.1 to 0.3 s after a request had reached its server; a busy server takes some seconds to process a
# prompt.
TRIAL_S = 5.0
# Seconds for which crashes are remembered; the observed callers retried within 6 s.
CRASH_RETENTION_S = 600.0
# Maximum number of requests that are remembered after a crash, and of requests in quarantine: 0.9
# MB in total when both tables are full (as measured by the interpreter). A server runs 64 requests
# at once, so a request is dropped early only when 16 servers crash within CRASH_RETENTION_S.
MAX_SUSPECTS = 1024
MAX_QUARANTINED = 256
# Maximum number of crashes remembered for one request; with this many, its quarantine has the
# maximum duration.
MAX_CRASHED_SERVERS = 8
# Maximum number of requests in quarantine that an instance publishes in its record in the store;
# they take at most 4 kB.
MAX_PUBLISHED = 16
# Seconds after the completion of a request during which its quarantine in an instance record is
# ignored: the instance that published the quarantine rewrites its record within seconds, and other
# instances may read the record seconds late.
COMPLETED_RETENTION_S = 40.0


@dataclass
class _Suspect:
    """A request that was running when servers crashed.

    Attributes:
        servers: incarnation ids of the crashed servers, the oldest first.
        last_crash_at: when this instance learned of the last crash.
    """

    servers: dict[str, None] = field(default_factory=dict)
    last_crash_at: float = 0.0

    def add(self, servers: Iterable[str], now: float) -> bool:
        """Add crashed servers; return whether any of them was unknown.

        Only the ``MAX_CRASHED_SERVERS`` most recently added servers are kept.
        """
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
        counted_here: whether this instance counted the crashes, and therefore publishes the
            quarantine in its instance record.
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
    """A quarantine as sent between instances.

    Attributes:
        fingerprint: fingerprint of the request.
        servers: incarnation ids of the servers that crashed while running it.
        left_s: seconds until the trial.
    """

    fingerprint: str
    servers: tuple[str, ...]
    left_s: float


class Quarantine:
    """The requests that are kept away from servers, as this instance knows them."""

    def __init__(self) -> None:
        self._suspects: dict[str, _Suspect] = {}
        self._quarantined: dict[str, _Quarantined] = {}
        self._completed_at: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._quarantined)

    def crash_count(self, fingerprint: str) -> int:
        """Return how many servers are known to have crashed while running a request."""
        suspect = self._quarantined.get(fingerprint) or self._suspects.get(fingerprint)
        return len(suspect.servers) if suspect else 0

    def is_quarantined(self, fingerprint: str) -> bool:
        """Whether a request is in quarantine: refused, or due for a trial."""
        return fingerprint in self._quarantined

    def refusal_left_s(self, fingerprint: str, now: float) -> float:
        """Return the seconds for which a request is still refused; 0 if the request may run."""
        quarantined = self._quarantined.get(fingerprint)
        return max(0.0, quarantined.trial_at - now) if quarantined else 0.0

    def record_crash(self, fingerprint: str, server: str, now: float) -> QuarantineUpdate | None:
        """Record that a server crashed while it ran a request.

        Returns:
            The quarantine that this crash begins or extends; None if there is no quarantine or the
            crash was already counted.
        """
        quarantined = self._quarantined.get(fingerprint)
        if quarantined is not None:
            if not quarantined.add((server,), now):
                return None
            return self._extend(fingerprint, quarantined, now)
        suspect = self._suspects.pop(fingerprint, None) or _Suspect()
        if suspect.servers and now - suspect.last_crash_at > CRASH_RETENTION_S:
            suspect = _Suspect()
        suspect.add((server,), now)
        if len(suspect.servers) < MAX_CRASHES:
            keep_newest(self._suspects, fingerprint, suspect, MAX_SUSPECTS)
            self._drop_old(now)
            return None
        quarantined = _Quarantined(suspect.servers, now)
        keep_newest(self._quarantined, fingerprint, quarantined, MAX_QUARANTINED)
        return self._extend(fingerprint, quarantined, now)

    def _extend(self, fingerprint: str, quarantined: _Quarantined, now: float) -> QuarantineUpdate:
        """Refuse a request from now on, for longer the more servers crashed while running it.

        Return the update to send to the other instances.
        """
        quarantined.counted_here = True
        quarantined.trial_at = now + quarantined.quarantine_s
        return QuarantineUpdate(fingerprint, tuple(quarantined.servers), quarantined.quarantine_s)

    def begin_trial(self, fingerprint: str, now: float) -> QuarantineUpdate:
        """Begin a trial of a request: the calling code lets one attempt through.

        All other attempts are refused for ``TRIAL_S`` seconds. Return the update to send to the
        other instances.
        """
        quarantined = self._quarantined[fingerprint]
        quarantined.trial_at = now + TRIAL_S
        return QuarantineUpdate(fingerprint, tuple(quarantined.servers), TRIAL_S)

    def apply_update(self, update: QuarantineUpdate, now: float) -> bool:
        """Apply an update from another instance; return whether it reports an unknown crash."""
        fingerprint = update.fingerprint
        known = self._quarantined.get(fingerprint)
        quarantined = known or _Quarantined()
        is_new = quarantined.add(update.servers, now)
        left_s = min(update.left_s, quarantined.quarantine_s)
        quarantined.trial_at = max(quarantined.trial_at, now + left_s)
        if known is None:
            self._suspects.pop(fingerprint, None)
            keep_newest(self._quarantined, fingerprint, quarantined, MAX_QUARANTINED)
        return is_new

    def to_instance_record(self) -> Mapping[str, tuple[str, ...]]:
        """Return the newest quarantines for this instance's record: servers by fingerprint."""
        own = [
            (fingerprint, tuple(quarantined.servers))
            for fingerprint, quarantined in self._quarantined.items()
            if quarantined.counted_here
        ]
        return dict(own[-MAX_PUBLISHED:])

    def apply_instance_record(
        self, published: Mapping[str, Collection[str]], now: float, *, own: bool
    ) -> Iterator[QuarantineUpdate]:
        """Apply the quarantines from an instance record, and yield those that changed.

        The age of the record is unknown. So only crashes that this instance does not know yet
        count, and the quarantine begins when the record is read.

        Args:
            published: as returned by :meth:`to_instance_record`.
            now: time of the runtime's clock in seconds.
            own: whether an earlier incarnation of this instance wrote the record.
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
        """Record that a server completed a request, which clears its crashes and its quarantine.

        Return the number of crashes that were cleared.
        """
        crashes = self.crash_count(fingerprint)
        if crashes:
            self._suspects.pop(fingerprint, None)
            self._quarantined.pop(fingerprint, None)
            keep_newest(self._completed_at, fingerprint, now, MAX_SUSPECTS)
        return crashes

    def _drop_old(self, now: float) -> None:
        """Drop requests whose last crash or trial is more than ``CRASH_RETENTION_S`` ago.

        The suspects are ordered by their last crash, so only the first of them are checked.
        """
        while self._suspects:
            oldest = next(iter(self._suspects))
            if now - self._suspects[oldest].last_crash_at <= CRASH_RETENTION_S:
                break
            del self._suspects[oldest]
        for fingerprint, quarantined in list(self._quarantined.items()):
            if now - max(quarantined.last_crash_at, quarantined.trial_at) > CRASH_RETENTION_S:
                del self._quarantined[fingerprint]
