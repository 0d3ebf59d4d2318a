"""Which software versions may have begun the streams that callers still take up.

The history outlives all instances. A version is in it before a stream begins at a server of that
version, so a history that is read after a caller has come back names the version of its stream.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from crankhinge.decisions._servers import Server
from crankhinge.decisions._stream_origins import MAX_STREAM_S

# Seconds after which a version that no server is listed with is removed. Servers may serve on for
# some seconds after their entries have gone, and their streams are taken up for MAX_STREAM_S.
VERSION_RETENTION_S = MAX_STREAM_S + 30.0
# Seconds for which a version is marked as unused before it is removed. A write that takes effect
# late cannot remove a version that is in use again: whoever uses it takes the mark off first.
UNUSED_MARK_S = 10.0
# Bounds of a record: a record beyond them was not written by an instance.
MAX_SERVICES = 1000
MAX_VERSIONS = 100
MAX_VERSION_CHARS = 200

# The service and the version of a server.
ServiceVersion = tuple[str, str]


@dataclass(frozen=True, slots=True)
class VersionHistory:
    """Versions that may have begun a stream that callers still take up.

    Attributes:
        versions: the versions of each service.
        unused: those that no server is listed with any more, as far as the writer knew.
        is_complete: whether no other version can have begun such a stream.
        store_era: how often the store had come back from an older copy when this was written.
    """

    versions: Mapping[str, frozenset[str]] = field(default_factory=dict)
    unused: Mapping[str, frozenset[str]] = field(default_factory=dict)
    is_complete: bool = False
    store_era: int = 0

    def records(self, used: Iterable[ServiceVersion]) -> bool:
        """Whether the versions are recorded, and none of them is marked as unused."""
        return all(
            version in self.versions.get(service, ())
            and version not in self.unused.get(service, ())
            for service, version in used
        )

    def possible_versions(self, service: str, store_era: int) -> frozenset[str] | None:
        """Return the versions that can have begun a stream of a service; None if unknown."""
        if not self.is_complete or self.store_era != store_era:
            return None
        return self.versions.get(service, frozenset())

    @property
    def has_mixed_versions(self) -> bool:
        """Whether a service has several versions, or may have."""
        return not self.is_complete or any(len(known) > 1 for known in self.versions.values())


def add_versions(
    history: VersionHistory | None,
    used: Iterable[ServiceVersion],
    store_era: int,
    *,
    is_first_start: bool,
) -> VersionHistory:
    """Return a history to which the versions in use are added.

    Args:
        history: the history in the store; None if there is none that can be decoded.
        used: versions of which servers are listed, or were lately.
        store_era: how often the store has come back from an older copy.
        is_first_start: whether nothing can have begun a stream before, if there is no history.
    """
    is_complete = is_first_start
    if history is not None:
        is_complete = history.is_complete and history.store_era == store_era
    versions = defaultdict(set, _to_sets(history.versions if history is not None else {}))
    unused = defaultdict(set, _to_sets(history.unused if history is not None else {}))
    for service, version in sorted(used):
        if not _has_room(versions, service, version):
            is_complete = False
            continue
        versions[service].add(version)
        unused[service].discard(version)
    return VersionHistory(_to_frozen(versions), _to_frozen(unused), is_complete, store_era)


def _has_room(versions: Mapping[str, set[str]], service: str, version: str) -> bool:
    """Whether a version fits into a record."""
    known = versions.get(service)
    if known is None and len(versions) >= MAX_SERVICES:
        return False
    return len(version) <= MAX_VERSION_CHARS and len(known or ()) < MAX_VERSIONS


def drop_versions(
    history: VersionHistory,
    unlisted_s: Mapping[ServiceVersion, float],
    known_s: float,
    unused_s: float,
) -> VersionHistory:
    """Return the history without what cannot matter any more.

    Args:
        history: the history in the store.
        unlisted_s: versions of which no server is listed, and for how many seconds that is known.
        known_s: seconds for which this instance has known that the history is incomplete.
        unused_s: seconds for which it has known the versions that are marked as unused.
    """
    expired = {used for used, seconds in unlisted_s.items() if seconds >= VERSION_RETENTION_S}
    versions, unused = _to_sets(history.versions), _to_sets(history.unused)
    for service, known in versions.items():
        old = {version for version in known if (service, version) in expired}
        if unused_s >= UNUSED_MARK_S:
            known -= old & unused.get(service, set())
        unused[service] = old & known
    is_complete = history.is_complete or known_s >= VERSION_RETENTION_S
    return VersionHistory(_to_frozen(versions), _to_frozen(unused), is_complete, history.store_era)


def _to_sets(versions: Mapping[str, frozenset[str]]) -> dict[str, set[str]]:
    return {service: set(known) for service, known in versions.items()}


def _to_frozen(versions: Mapping[str, set[str]]) -> dict[str, frozenset[str]]:
    return {service: frozenset(known) for service, known in versions.items() if known}


class VersionUse:
    """When this instance last listed a server of each version."""

    def __init__(self) -> None:
        self._listed_at: dict[ServiceVersion, float] = {}
        # Since when the list has been current without interruption.
        self._current_since: float | None = None

    def record_list(self, servers: Iterable[Server], now: float, *, is_current: bool) -> None:
        """Record the versions in the list of servers, and whether the list is current."""
        self.record_versions(versions_of(servers), now)
        if not is_current:
            self._current_since = None
        elif self._current_since is None:
            self._current_since = now

    def record_versions(self, listed: Iterable[ServiceVersion], now: float) -> None:
        """Record versions that are listed now, and forget those that have not been for long."""
        self._listed_at.update(dict.fromkeys(listed, now))
        for used, at in list(self._listed_at.items()):
            if now - at > VERSION_RETENTION_S:
                del self._listed_at[used]

    def recent(self, service: str, now: float) -> frozenset[str]:
        """Return the versions of a service that were listed within VERSION_RETENTION_S."""
        return frozenset(
            version
            for (name, version), at in self._listed_at.items()
            if name == service and now - at <= VERSION_RETENTION_S
        )

    def all_recent(self) -> frozenset[ServiceVersion]:
        """Return the versions of all services that were listed within VERSION_RETENTION_S."""
        return frozenset(self._listed_at)

    def unlisted_s(self, used: ServiceVersion, now: float) -> float:
        """Return for how many seconds a current list has had no server of a version."""
        if self._current_since is None:
            return 0.0
        return now - max(self._current_since, self._listed_at.get(used, self._current_since))


def versions_of(servers: Iterable[Server]) -> frozenset[ServiceVersion]:
    """Return the versions of servers, each with its service."""
    return frozenset((server.service, server.version) for server in servers)
