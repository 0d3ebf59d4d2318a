"""Work that is kept away from servers because servers crashed while doing it.

The work is a request, whatever its attempt, or one part of a prompt, whatever the request. A crash
ends all requests that the server runs, and it is unknown which of them, and which of their parts,
caused it. Work that was in progress on ``MAX_CRASHES`` servers when they crashed is put in
quarantine, which means that requests with it are refused for a while. Then one attempt is let
through as a trial: a response ends the quarantine, another crash begins a longer one. So work that
happened to run on those servers is done again soon, and work that makes servers crash reaches fewer
and fewer of them.

Most requests share parts with others, so a part is put in quarantine only if no request with it was
served since the crashes, and if no single request explains all of them. Even then only requests
are refused that another part in quarantine does not explain: a narrower one that they lack.

Crashes are identified by the incarnation ids of the servers, so a crash that is reported twice, by
two instances or by a late message, counts once.
"""

from __future__ import annotations

import itertools
from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass, field

from crankhinge.decisions._bounded import keep_newest
from crankhinge.decisions._part_history import MAX_CRASHES, is_served_since
from crankhinge.decisions._work_keys import is_part_key

# Seconds from the crash that begins a quarantine to the trial. A request that only happened to run
# on the crashed servers is refused for this time; callers wait 14 s for a stream. Each further
# crash multiplies the time by QUARANTINE_GROWTH. With 10, 40 and 160 s, a request that crashes
# servers reaches two servers in the first 50 s and three in four minutes; the operators allow three
# more servers than those that began the quarantine.
FIRST_QUARANTINE_S = 10.0
QUARANTINE_GROWTH = 4.0
MAX_QUARANTINE_S = 3600.0
# The same for a part of a prompt, which many requests may have. Each trial begins the longer
# quarantine at once, so that a trial without a result is not repeated within seconds. How many
# servers crashed does not matter: one event may end many at once. The operators allow three
# requests with the part after the fifth crash, so there are two trials, after 30 and 150 s, and
# then one a day.
FIRST_PART_QUARANTINE_S = 30.0
MAX_PART_TRIALS = 2
MAX_PART_QUARANTINE_S = 86400.0
# Duration of a trial in seconds; the next trial may begin only after it. The observed crashes came
# 0.1 to 0.3 s after a request had reached its server; a busy server takes some seconds to process a
# prompt.
TRIAL_S = 5.0
# Seconds for which crashes are remembered; the observed callers retried within 6 s.
CRASH_RETENTION_S = 600.0
# Maximum number of keys that are remembered after a crash, and of keys in quarantine: 3 MB in total
# when both tables are full and each suspect ran on two crashed servers. A server runs 64 requests
# at once, each with some parts, so a key is dropped early only when ten servers crash within
# CRASH_RETENTION_S.
MAX_SUSPECTS = 2048
MAX_QUARANTINED = 256
# Maximum number of crashes remembered for one key; with this many, its quarantine has the maximum
# duration.
MAX_CRASHED_SERVERS = 8
# Maximum number of keys in quarantine that an instance publishes in its record in the store;
# they take at most 4 kB.
MAX_PUBLISHED = 16
# Seconds after the completion of a request during which its quarantine in an instance record is
# ignored: the instance that published the quarantine rewrites its record within seconds, and other
# instances may read the record seconds late.
COMPLETED_RETENTION_S = 40.0


@dataclass
class _Suspect:
    """Work that was in progress when servers crashed.

    Attributes:
        crashes: when this instance learned of each crash, by the incarnation id of the server; the
            oldest first.
        requests: the requests with the part that is the work, by the server that ran them.
    """

    crashes: dict[str, float] = field(default_factory=dict)
    requests: dict[str, set[str]] = field(default_factory=dict)

    @property
    def last_crash_at(self) -> float:
        """When this instance learned of the last crash."""
        return max(self.crashes.values(), default=float("-inf"))

    def add(self, crashes: Mapping[str, float]) -> bool:
        """Add the times of crashes by server; return whether any of them was unknown.

        Only the ``MAX_CRASHED_SERVERS`` most recently added servers are kept.
        """
        new = {server: at for server, at in crashes.items() if server not in self.crashes}
        self.crashes.update(new)
        while len(self.crashes) > MAX_CRASHED_SERVERS:
            self._forget(next(iter(self.crashes)))
        return bool(new)

    def drop_before(self, at: float) -> None:
        """Drop the crashes up to a time."""
        for server in [server for server, time in self.crashes.items() if time <= at]:
            self._forget(server)

    def _forget(self, server: str) -> None:
        del self.crashes[server]
        self.requests.pop(server, None)

    @property
    def is_explained_by_one_request(self) -> bool:
        """Whether one request was running on each of the servers."""
        running = [self.requests.get(server, set()) for server in self.crashes]
        return bool(set.intersection(*running))


@dataclass
class _Quarantined(_Suspect):
    """Work in quarantine.

    Attributes:
        is_part: whether the work is a part of a prompt.
        trial_at: when a trial may begin.
        trials: number of trials of a part.
        counted_here: whether this instance counted the crashes, and therefore publishes the
            quarantine in its instance record.
        companions: keys of all requests with the work that this instance has seen since; None
            before the first one.
    """

    is_part: bool = False
    trial_at: float = 0.0
    trials: int = 0
    counted_here: bool = False
    companions: frozenset[str] | None = None

    @property
    def quarantine_s(self) -> float:
        """Seconds from the last crash, or from the beginning of a trial, to the next trial."""
        if not self.is_part:
            growth = QUARANTINE_GROWTH ** (len(self.crashes) - MAX_CRASHES)
            return float(min(MAX_QUARANTINE_S, FIRST_QUARANTINE_S * growth))
        if self.trials >= MAX_PART_TRIALS:
            return MAX_PART_QUARANTINE_S
        return float(FIRST_PART_QUARANTINE_S * QUARANTINE_GROWTH**self.trials)


@dataclass(frozen=True, slots=True)
class QuarantineUpdate:
    """A quarantine as sent between instances.

    Attributes:
        key: key of the work.
        servers: incarnation ids of the servers that crashed while doing it.
        left_s: seconds until the trial.
        ages_s: seconds since each of the crashes, as far as they are known.
        trials: number of trials of a part.
    """

    key: str
    servers: tuple[str, ...]
    left_s: float
    ages_s: tuple[float, ...] = ()
    trials: int = 0

    def crashes(self, now: float) -> dict[str, float]:
        """Return when each server crashed, on the clock of this instance."""
        ages_s = itertools.chain(self.ages_s, itertools.repeat(0.0))
        return {server: now - age_s for server, age_s in zip(self.servers, ages_s, strict=False)}


class Quarantine:
    """The work that is kept away from servers, as this instance knows it."""

    def __init__(self) -> None:
        self._suspects: dict[str, _Suspect] = {}
        self._quarantined: dict[str, _Quarantined] = {}
        self._completed_at: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._quarantined)

    @property
    def part_count(self) -> int:
        """Number of parts of prompts in quarantine."""
        return sum(quarantined.is_part for quarantined in self._quarantined.values())

    def crash_count(self, key: str) -> int:
        """Return how many servers are known to have crashed while doing some work."""
        return len(self.crashed_at(key))

    def crashed_at(self, key: str) -> Collection[float]:
        """Return when servers crashed while doing some work, as far as that is known."""
        suspect = self._quarantined.get(key) or self._suspects.get(key)
        return suspect.crashes.values() if suspect else ()

    def is_quarantined(self, key: str) -> bool:
        """Whether work is in quarantine: refused, or due for a trial."""
        return key in self._quarantined

    def record_request(self, keys: Collection[str]) -> None:
        """Record which parts occur together with those in quarantine.

        Args:
            keys: the keys of a request.
        """
        for key in keys:
            if key in self._quarantined:
                quarantined = self._quarantined[key]
                known = quarantined.companions
                quarantined.companions = frozenset(keys) if known is None else known & set(keys)

    def barring_keys(self, keys: Collection[str]) -> list[str]:
        """Return those keys of a request that are in quarantine and not explained by others."""
        return [
            key for key in keys if key in self._quarantined and not self._is_explained(key, keys)
        ]

    def _is_explained(self, key: str, keys: Collection[str]) -> bool:
        """Whether the crashes with a part are due to a narrower part, which a request lacks.

        A part that many requests share was in each crash that one beside it caused. That one is in
        quarantine as well, had no other crashes, and never occurs without the part.
        """
        quarantined = self._quarantined[key]
        return quarantined.is_part and any(
            other.is_part
            and other_key not in keys
            and other.companions is not None
            and key in other.companions
            and quarantined.crashes.keys() <= other.crashes.keys()
            for other_key, other in self._quarantined.items()
        )

    def refusal_left_s(self, key: str, now: float) -> float:
        """Return the seconds for which work is still refused; 0 if it may be done."""
        quarantined = self._quarantined.get(key)
        return max(0.0, quarantined.trial_at - now) if quarantined else 0.0

    def record_crash(
        self,
        key: str,
        server: str,
        now: float,
        *,
        requests: Collection[str] = (),
        served_at: float | None = None,
    ) -> QuarantineUpdate | None:
        """Record that a server crashed while it did some work.

        Args:
            key: key of the work.
            server: incarnation id of the server.
            now: time of the runtime's clock in seconds.
            requests: the requests with the part that is the work; empty for a whole request.
            served_at: when a request with the part that is the work was last served; None if that
                is not known, or if the work is a whole request.

        Returns:
            The quarantine that this crash begins or extends; None if there is no quarantine or the
            crash was already counted.
        """
        quarantined = self._quarantined.get(key)
        if quarantined is not None:
            if not quarantined.add({server: now}):
                return None
            return self._extend(key, quarantined, now)
        suspect = self._suspects.pop(key, None) or _Suspect()
        if suspect.crashes and now - suspect.last_crash_at > CRASH_RETENTION_S:
            suspect = _Suspect()
        suspect.add({server: now})
        suspect.requests.setdefault(server, set()).update(requests)
        if served_at is not None:
            suspect.drop_before(served_at)
        crashed_at = suspect.crashes.values()
        if (
            len(crashed_at) < MAX_CRASHES
            or is_served_since(crashed_at, served_at)
            or suspect.is_explained_by_one_request
        ):
            keep_newest(self._suspects, key, suspect, MAX_SUSPECTS)
            self._drop_old(now)
            return None
        quarantined = _Quarantined(suspect.crashes, is_part=is_part_key(key))
        keep_newest(self._quarantined, key, quarantined, MAX_QUARANTINED)
        return self._extend(key, quarantined, now)

    def _extend(self, key: str, quarantined: _Quarantined, now: float) -> QuarantineUpdate:
        """Refuse work from now on, for longer the more servers crashed while doing it.

        Return the update to send to the other instances.
        """
        quarantined.counted_here = True
        quarantined.trial_at = now + quarantined.quarantine_s
        return _to_update(key, quarantined, now)

    def begin_trial(self, key: str, now: float) -> QuarantineUpdate:
        """Begin a trial of some work: the calling code lets one attempt through.

        All other attempts are refused for ``TRIAL_S`` seconds, those with a part until its next
        trial. Return the update to send to the other instances.
        """
        quarantined = self._quarantined[key]
        if quarantined.is_part:
            quarantined.trials += 1
            quarantined.trial_at = now + quarantined.quarantine_s
        else:
            quarantined.trial_at = now + TRIAL_S
        return _to_update(key, quarantined, now)

    def to_update(self, key: str, now: float) -> QuarantineUpdate | None:
        """Return the quarantine of some work as it is now; None if there is none."""
        quarantined = self._quarantined.get(key)
        return _to_update(key, quarantined, now) if quarantined else None

    def apply_update(self, update: QuarantineUpdate, now: float) -> bool:
        """Apply an update from another instance; return whether it reports an unknown crash."""
        key = update.key
        known = self._quarantined.get(key)
        quarantined = known or _Quarantined(is_part=is_part_key(key))
        is_new = quarantined.add(update.crashes(now))
        quarantined.trials = max(quarantined.trials, update.trials)
        left_s = min(update.left_s, quarantined.quarantine_s)
        quarantined.trial_at = max(quarantined.trial_at, now + left_s)
        if known is None:
            self._suspects.pop(key, None)
            keep_newest(self._quarantined, key, quarantined, MAX_QUARANTINED)
        return is_new

    def to_instance_record(self) -> Mapping[str, tuple[str, ...]]:
        """Return the newest quarantines for this instance's record: servers by key."""
        own = [
            (key, tuple(quarantined.crashes))
            for key, quarantined in self._quarantined.items()
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
        for key, servers in published.items():
            if now - self._completed_at.get(key, float("-inf")) < COMPLETED_RETENTION_S:
                continue
            known = self._quarantined.get(key)
            if known is not None and known.crashes.keys() >= set(servers):
                continue
            update = QuarantineUpdate(key, tuple(servers), MAX_PART_QUARANTINE_S)
            if self.apply_update(update, now):
                quarantined = self._quarantined[key]
                quarantined.counted_here |= own
                yield _to_update(key, quarantined, now)

    def record_completed(self, key: str, now: float) -> int:
        """Record that a server completed some work, which clears its crashes and its quarantine.

        Return the number of crashes that were cleared.
        """
        crashes = self.crash_count(key)
        if crashes:
            self._suspects.pop(key, None)
            self._quarantined.pop(key, None)
            keep_newest(self._completed_at, key, now, MAX_SUSPECTS)
        return crashes

    def _drop_old(self, now: float) -> None:
        """Drop work whose last crash or trial is long ago.

        The suspects are ordered by their last crash, so only the first of them are checked.
        """
        while self._suspects:
            oldest = next(iter(self._suspects))
            if now - self._suspects[oldest].last_crash_at <= CRASH_RETENTION_S:
                break
            del self._suspects[oldest]
        for key, quarantined in list(self._quarantined.items()):
            unused_s = now - max(quarantined.last_crash_at, quarantined.trial_at)
            if unused_s > (MAX_PART_QUARANTINE_S if quarantined.is_part else CRASH_RETENTION_S):
                del self._quarantined[key]


def _to_update(key: str, quarantined: _Quarantined, now: float) -> QuarantineUpdate:
    return QuarantineUpdate(
        key,
        tuple(quarantined.crashes),
        max(0.0, quarantined.trial_at - now),
        tuple(now - at for at in quarantined.crashes.values()),
        quarantined.trials,
    )
