"""Records the software versions in use in the store before streams begin at them.

The record has no lease and outlives all instances. It tells which versions can have begun a stream
that a caller takes up and that no instance knows.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import Any

import curio

from crankhinge.adapters import StoredHistory, VersionHistoryStore
from crankhinge.decisions import (
    UNKNOWN_VERSION,
    Membership,
    Server,
    ServerList,
    ServiceVersion,
    VersionHistory,
    VersionUse,
    add_versions,
    drop_versions,
    versions_of,
)
from crankhinge.errors import KeyValueUnavailable
from crankhinge.gateway._shared_read import SharedRead
from crankhinge.gateway._source_watcher import SourceWatcher

# Seconds for which a change of the list of servers waits until its versions are recorded.
MAX_RECORD_WAIT_S = 0.5
# Seconds for which servers of a new version are held back if it could not be recorded. A write
# without a response may take effect seconds later; callers of a service that has no other version
# cannot be refused for as long as the store accepts no writes.
MAX_HOLD_S = 15.0
# Seconds between attempts to record versions that the store has not accepted.
RECORD_RETRY_S = 1.0
# Instances that see the same new version write one after the other, so that most of them find it
# recorded: the delay grows by this much for each instance, up to the maximum.
WRITE_DELAY_S_PER_INSTANCE = 0.01
MAX_WRITE_DELAY_S = 0.3
# Seconds between the beginnings of two reads for streams that are taken up.
LOOKUP_INTERVAL_S = 0.1
# Seconds between checks for versions that are not in use any more.
CHECK_INTERVAL_S = 1.0
# Seconds after a check in which versions may have come and gone unseen. A check that waits for the
# store takes some seconds.
MAX_CHECK_GAP_S = 10.0
# Seconds between reads of the history while it names several versions of a service.
REFRESH_INTERVAL_S = 15.0
# Seconds since the last response about the list of servers up to which the list is current.
MAX_LIST_AGE_S = 5.0
# The first instance in the order of this key removes versions.
REMOVAL_KEY = "version-history"


class VersionHistoryService:
    """Keeps the history of versions, and reads it for streams that are taken up.

    Args:
        name: name of this instance.
        store: store of the history.
        membership: the instances of the fleet.
        is_first_start: whether the whole system starts for the first time.
        log: log for events.
        rng: source of the delays of writes.
    """

    def __init__(
        self,
        *,
        name: str,
        store: VersionHistoryStore,
        membership: Membership,
        is_first_start: bool,
        log: Any,
        rng: random.Random,
    ) -> None:
        self._name = name
        self._store = store
        self._membership = membership
        self._is_first_start = is_first_start
        self._log = log
        self._rng = rng
        self._use = VersionUse()
        # Versions that are in the history for certain, as long as they stay in use here.
        self._recorded: frozenset[ServiceVersion] = frozenset()
        self._recorded_era = 0
        self._unrecorded: frozenset[ServiceVersion] = frozenset()
        # New versions that could not be recorded, and until when their servers are not used.
        self._held_until: dict[ServiceVersion, float] = {}
        self._known: VersionHistory | None = None
        self._read_at = float("-inf")
        # Since when this instance has known that the history is incomplete, and which versions are
        # marked as unused; None if it is complete, or none are.
        self._incomplete_since: float | None = None
        self._unused_since: float | None = None
        # Since when this instance has known each version of the history.
        self._known_since: dict[ServiceVersion, float] = {}
        self._checked_at = float("-inf")
        self._shared_read = SharedRead(self._read, interval_s=LOOKUP_INTERVAL_S)

    @property
    def has_mixed_versions(self) -> bool:
        """Whether several versions of a service may have begun streams, as far as is known here."""
        if self._known is not None and self._known.has_mixed_versions:
            return True
        services = [service for service, _ in self._use.all_recent() | self._unrecorded]
        return len(services) > len(set(services))

    async def prepare(self, servers: Iterable[Server]) -> None:
        """Record the versions of servers before they are used, for MAX_RECORD_WAIT_S at most.

        Servers of new versions that could not be recorded are held back.
        """
        self._forget_if_store_is_older()
        now, used = await curio.clock(), _known_versions(versions_of(servers))
        # After a stop of this process, versions may have been removed that it took for recorded.
        self._use.record_versions((), now)
        self._recorded &= self._use.all_recent()
        new_versions = used - self._use.all_recent()
        self._use.record_versions(used, now)
        if used <= self._recorded:
            return
        self._unrecorded |= used - self._recorded
        try:
            await curio.timeout_after(MAX_RECORD_WAIT_S, self._record_versions)
        except (curio.TaskTimeout, KeyValueUnavailable) as exc:
            until = await curio.clock() + MAX_HOLD_S
            for version in self._unrecorded & new_versions:
                self._held_until.setdefault(version, until)
            self._log.warning(
                "versions_not_recorded",
                versions=_format(self._unrecorded),
                held=_format(self._held_until),
                why=str(exc),
            )

    def is_held(self, server: Server) -> bool:
        """Whether a server must not be used since its version is not recorded yet."""
        return bool(self._held_until) and (server.service, server.version) in self._held_until

    def _forget_if_store_is_older(self) -> None:
        """Record all versions again if the store has come back from an older copy."""
        if self._store.store_era != self._recorded_era:
            self._recorded_era = self._store.store_era
            self._unrecorded |= self._recorded
            self._recorded = frozenset()

    async def _record_versions(self) -> None:
        """Write the history until it has all versions in use. Raises KeyValueUnavailable."""
        delay_s = 0.0
        if self._first_instance != self._name:
            delay_s = self._rng.uniform(
                0.0, min(MAX_WRITE_DELAY_S, WRITE_DELAY_S_PER_INSTANCE * len(self._membership))
            )
        while True:
            used = _known_versions(self._use.all_recent()) | self._unrecorded
            stored = await self._read()
            known = stored.history
            # A key that was written, or a store that came back, shows that this is a later start.
            is_absent = not stored.revision and not stored.store_era
            is_recorded = known is not None and known.records(used)
            if is_recorded and known is not None and known.store_era == stored.store_era:
                break
            if delay_s:
                await curio.sleep(delay_s)
                delay_s = 0.0
                continue
            history = add_versions(
                known, used, stored.store_era, is_first_start=self._is_first_start and is_absent
            )
            if history == known:
                # The record has no room for some of them, and says that it is incomplete.
                break
            if await self._store.replace(history, stored.revision):
                self._log_written(history)
                self._apply(StoredHistory(history, 0, stored.store_era), await curio.clock())
                break
        self._is_first_start = False
        self._recorded |= used
        self._unrecorded -= used
        for version in used:
            self._held_until.pop(version, None)

    async def _read(self) -> StoredHistory:
        stored = await self._store.read()
        self._apply(stored, await curio.clock())
        return stored

    def _apply(self, stored: StoredHistory, now: float) -> None:
        """Remember a history that was read or written."""
        known, self._read_at = stored.history, now
        is_usable = known is not None and known.store_era == stored.store_era
        if not is_usable:
            self._unrecorded |= _known_versions(self._use.all_recent())
        if known is not None and is_usable and known.is_complete:
            self._incomplete_since = None
        elif self._incomplete_since is None:
            self._incomplete_since = now
        before = self._known.unused if self._known is not None else {}
        if known is None or not known.unused:
            self._unused_since = None
        elif self._unused_since is None or known.unused != before:
            self._unused_since = now
        pairs = [] if known is None else _pairs(known)
        self._known_since = {used: self._known_since.get(used, now) for used in pairs}
        self._known = known

    async def possible_versions(self, service: str) -> frozenset[str] | None:
        """Return the versions that can have begun a stream of a service; None if unknown.

        The history is read after this call, so it has the version of any stream that began before.
        """
        stored = await self._shared_read.get()
        if stored is None or stored.history is None:
            self._log.info("version_history_unknown", stored=stored is not None)
            return None
        possible = stored.history.possible_versions(service, stored.store_era)
        if possible is None:
            return None
        unrecorded = {version for name, version in self._unrecorded if name == service}
        return possible | unrecorded | self._use.recent(service, await curio.clock())

    async def run(self, servers: ServerList, watcher: SourceWatcher) -> None:
        """Record versions that the store had not accepted and remove old ones, until cancelled.

        Args:
            servers: the list of servers.
            watcher: the watcher of this list.
        """
        while True:
            await curio.sleep(CHECK_INTERVAL_S)
            now = await curio.clock()
            self._record_list(servers, watcher, now)
            self._recorded &= self._use.all_recent()
            self._forget_if_store_is_older()
            self._end_holds(now)
            try:
                if self._unrecorded:
                    await self._record_versions()
                elif self.has_mixed_versions and now - self._read_at >= REFRESH_INTERVAL_S:
                    await self._remove_old(await self._read())
            except KeyValueUnavailable as exc:
                self._log.info("version_history_unknown", why=exc.detail)
                await curio.sleep(RECORD_RETRY_S)

    def _end_holds(self, now: float) -> None:
        for version, until in list(self._held_until.items()):
            if until <= now:
                del self._held_until[version]
                self._log.warning("unrecorded_version_used", version=_format([version]))

    def _record_list(self, servers: ServerList, watcher: SourceWatcher, now: float) -> None:
        """Record which versions are listed, and whether the list has been current since before."""
        age_s = float("inf") if watcher.received_at is None else now - watcher.received_at
        # If the process was stopped, the first response after it may come before this check.
        was_stopped = now - self._checked_at > MAX_CHECK_GAP_S
        self._checked_at = now
        is_current = age_s <= MAX_LIST_AGE_S and not was_stopped
        self._use.record_list(servers.all(), now, is_current=is_current)

    async def _remove_old(self, stored: StoredHistory) -> None:
        """Remove what cannot matter any more, if this instance is the one to do so."""
        known, now = stored.history, await curio.clock()
        if known is None or self._first_instance != self._name:
            return
        unlisted_s = {
            used: min(self._use.unlisted_s(used, now), now - self._known_since.get(used, now))
            for used in _pairs(known)
        }
        history = drop_versions(
            known,
            unlisted_s,
            known_s=0.0 if self._incomplete_since is None else now - self._incomplete_since,
            unused_s=0.0 if self._unused_since is None else now - self._unused_since,
        )
        if history != known and await self._store.replace(history, stored.revision):
            self._log_written(history)
            self._apply(StoredHistory(history, 0, stored.store_era), now)

    @property
    def _first_instance(self) -> str:
        return self._membership.first_instances(REMOVAL_KEY, 1)[0]

    def _log_written(self, history: VersionHistory) -> None:
        self._log.info(
            "version_history_written",
            versions=_format(_pairs(history)),
            unused=sum(len(known) for known in history.unused.values()),
            complete=history.is_complete,
            era=history.store_era,
        )


def _known_versions(versions: Iterable[ServiceVersion]) -> frozenset[ServiceVersion]:
    """Return the versions without those of restarted servers that have no new entry yet.

    Their entries are recorded before they are applied, as any other change of the list.
    """
    return frozenset(used for used in versions if not used[1].startswith(UNKNOWN_VERSION))


def _pairs(history: VersionHistory) -> list[ServiceVersion]:
    return [(service, v) for service, known in history.versions.items() for v in known]


def _format(versions: Iterable[ServiceVersion]) -> str:
    return ",".join(sorted(f"{service}:{version}" for service, version in versions))
