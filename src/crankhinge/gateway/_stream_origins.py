"""Keeps what began each stream, so that it goes on at the same service and software version.

A caller may take a broken stream up at any instance, and names the attempt that began it. The
instance that begins a stream tells its origin to the first two other instances in the order of that
attempt. The instance at which the stream is taken up asks them.
"""

from __future__ import annotations

import itertools
import weakref
from collections.abc import Sequence
from typing import Any

import curio

from crankhinge.decisions import (
    MAX_STREAM_S,
    UNCERTAIN_VERSION,
    BegunStreams,
    Membership,
    Server,
    Service,
    StreamOrigin,
    StreamOrigins,
    service_number,
    stream_key,
)
from crankhinge.errors import StreamOriginGone, StreamOriginUnknown
from crankhinge.gateway._discovery import Discovery
from crankhinge.gateway._origin_journal import OriginJournalService
from crankhinge.gateway._peer_messenger import PeerMessenger
from crankhinge.gateway._peer_requests import RESPONSE_TIMEOUT_S
from crankhinge.gateway._request import Relay
from crankhinge.gateway._stream_origin_messages import (
    StreamBegan,
    StreamOriginRequest,
    StreamOriginResponse,
)
from crankhinge.gateway._version_history import VersionHistoryService
from crankhinge.runtime import Metrics

# Instances that are told the origin of a stream: one of them may be gone or miss the message.
HOLDERS = 2
# Instances that are asked for it. The instance that began the stream may be among the first, and an
# instance that joined or left meanwhile moves the others by a place.
ASKED_INSTANCES = HOLDERS + 1
# Streams share holders in this many groups, so that the order of all instances is computed once a
# group and not for each stream.
HOLDER_GROUPS = 2048
# Rounds of requests, since a datagram may be lost.
REQUEST_ROUNDS = 2
# Seconds after which a caller may try again to take a stream up that was refused: an instance that
# knows it may have been out of reach.
REFUSED_RETRY_S = 0.5
# Who tells the origin of a stream, if it is not another instance.
SOURCES = ("own", "only", "journal", "unknown")


class _Lookup:
    """Collects the responses of the instances that were asked for an origin."""

    def __init__(self, addresses: frozenset[str]) -> None:
        self.unanswered = set(addresses)
        self.origin: StreamOrigin | None = None
        self.source = ""
        self._ended = curio.Event()

    async def record(self, origin: StreamOrigin | None, sender: str) -> None:
        """Record a response."""
        self.unanswered.discard(sender)
        if origin is not None and self.origin is None:
            self.origin, self.source = origin, sender
        if origin is not None or not self.unanswered:
            await self._ended.set()

    async def wait(self) -> None:
        """Wait until the origin is known, or no instance knows it, or the time is over."""
        await curio.ignore_after(RESPONSE_TIMEOUT_S, self._ended.wait)


class StreamOriginService:
    """Records what begins streams, and finds it when a stream is taken up.

    Args:
        name: name of this instance.
        membership: the instances of the fleet.
        discovery: the list of servers.
        version_history: versions that can have begun streams.
        messenger: sends and receives peer messages.
        journal: the journal of origins in the store.
        log: log for events.
        metrics: receives the counters.
    """

    def __init__(
        self,
        *,
        name: str,
        membership: Membership,
        discovery: Discovery,
        version_history: VersionHistoryService,
        messenger: PeerMessenger,
        journal: OriginJournalService,
        log: Any,
        metrics: Metrics,
    ) -> None:
        self._name = name
        self._membership = membership
        self._discovery = discovery
        self._version_history = version_history
        self._messenger = messenger
        self._journal = journal
        self._log = log
        self._metrics = metrics
        self._streams = StreamOrigins()
        self._begun = BegunStreams()
        # The streams that run here, so that they go on by what is learned of their origin later.
        self._relays: weakref.WeakValueDictionary[int, Relay] = weakref.WeakValueDictionary()
        self._numbers = itertools.count()
        # The first ASKED_INSTANCES instances of each group of streams, and for which members.
        self._first_instances: dict[int, Sequence[str]] = {}
        self._members_at = membership.changed_at
        self._lookups: dict[int, _Lookup] = {}
        messenger.add_handler(StreamBegan, self._on_began)
        messenger.add_handler(StreamOriginRequest, self._on_request)
        messenger.add_handler(StreamOriginResponse, self._on_response)

    def __len__(self) -> int:
        return len(self._streams)

    async def record_began(self, relay: Relay, server: Server) -> None:
        """Record the server that begins a stream, before its caller gets the first event.

        Streams that no caller can take up elsewhere are not recorded, nor are those that may go on
        at any server of the route.
        """
        request = relay.request
        is_bound = bool(server.version) or len(relay.route.split) > 1
        if not (is_bound and relay.route.resumable and request.request_id):
            return
        if request.last_event_id:
            # The caller keeps naming the attempt that brought the first event.
            return
        listed = self._discovery.servers.get_by_name(server.name)
        if (
            listed is not None
            and listed.started_ms > server.started_ms
            and listed.version != server.version
        ):
            # The server has restarted meanwhile, and either incarnation may have begun the stream.
            relay.version = UNCERTAIN_VERSION
        origin = StreamOrigin(service_number(server.service), relay.version)
        key = _key(relay, request.request_id)
        self._relays[key] = relay
        self._begun.record(server.incarnation_id, key, await curio.clock())
        await self._record(key, origin)

    async def doubt_streams(
        self, incarnation_id: str, later_version: str, certain_until: float
    ) -> None:
        """Forget what began the streams that a later incarnation of a server may have begun.

        Args:
            incarnation_id: the earlier incarnation, which is the recorded one.
            later_version: software version of the later one.
            certain_until: time until which requests certainly reached the earlier one.
        """
        now, doubted = await curio.clock(), 0
        for key in self._begun.pop_since(incarnation_id, certain_until):
            origin = self._streams.get(key, now)
            if origin is not None and origin.version != later_version:
                unknown = StreamOrigin(origin.service, UNCERTAIN_VERSION)
                relay = self._relays.get(key)
                if relay is not None:
                    relay.version = unknown.version
                await self._record(key, unknown)
                doubted += 1
        if doubted:
            self._log.info(
                "origins_doubted",
                server=incarnation_id,
                later_version=later_version,
                streams=doubted,
                since_s=round(now - certain_until, 3),
            )

    async def _record(self, key: int, origin: StreamOrigin) -> None:
        """Remember the origin of a stream, and tell it to the holders."""
        now = await curio.clock()
        # The deadline of this attempt does not matter: one that takes the stream up has its own.
        message = StreamBegan(key, origin.service, origin.version, MAX_STREAM_S)
        self._streams.record(key, origin, MAX_STREAM_S, now)
        self._journal.record(key, origin, now)
        for address in self._other_addresses(key)[:HOLDERS]:
            await self._messenger.send(address, message)

    def _other_addresses(self, key: int) -> list[str]:
        """Return the addresses of the first instances in the order of a stream, but this one."""
        if self._members_at != self._membership.changed_at:
            self._members_at = self._membership.changed_at
            self._first_instances.clear()
        group = key % HOLDER_GROUPS
        if group not in self._first_instances:
            first = self._membership.first_instances(f"stream:{group}", ASKED_INSTANCES)
            self._first_instances[group] = first
        others = (name for name in self._first_instances[group] if name != self._name)
        addresses = (self._membership.peer_address(name) for name in others)
        return [address for address in addresses if address]

    async def bind(self, relay: Relay) -> None:
        """Bind a request that takes a stream up to the service and the version that began it.

        Raises:
            StreamOriginUnknown: no instance knows them, and several may have begun the stream.
            StreamOriginGone: the route does not allow the service any more.
        """
        request = relay.request
        if not request.resumes:
            return
        key = _key(relay, request.resumes)
        origin, source = await self._find_recorded(key)
        if origin is None and not request.last_event_id:
            # The caller has no events, so the stream begins anew.
            return
        if origin is None:
            origin, source = await self._find_stored(relay, key)
        if origin is None:
            source = "unknown"
        kind = source if source in SOURCES else "peer"
        self._metrics.count(f"streams_taken_up.{kind}")
        self._log.info(
            "stream_taken_up",
            request=request.request_id,
            resumes=request.resumes,
            after=request.last_event_id,
            version=None if origin is None else origin.version,
            told_by=source,
        )
        if origin is None:
            raise StreamOriginUnknown(
                f"no instance knows what began {request.resumes}", retry_after_s=REFUSED_RETRY_S
            )
        relay.service = self._allowed_service(relay, origin)
        relay.version = self._discovery.servers.resolve_version(origin.version)
        relay.log_fields["service"] = relay.service.name
        if relay.route.resumable:
            # Its caller may take it up for a minute from now on, and keeps naming the same attempt.
            await self._record(key, origin)

    def _allowed_service(self, relay: Relay, origin: StreamOrigin) -> Service:
        """Return the service that began a stream. Raises StreamOriginGone if it is not allowed."""
        config = self._discovery.config
        for share in relay.route.split:
            service = config.services.get(share.service) if config is not None else None
            if service is not None and service_number(service.name) == origin.service:
                return service
        raise StreamOriginGone(
            f"route {relay.route.name} does not lead to the service that began the stream",
            retry_after_s=REFUSED_RETRY_S,
        )

    async def _find_recorded(self, key: int) -> tuple[StreamOrigin | None, str]:
        """Return the recorded origin of a stream, and who knew it."""
        origin = self._streams.get(key, await curio.clock())
        addresses = frozenset(self._other_addresses(key))
        if origin is not None or not addresses:
            return origin, "own"
        number, lookup = next(self._numbers), _Lookup(addresses)
        self._lookups[number] = lookup
        try:
            for _ in range(REQUEST_ROUNDS):
                for address in tuple(lookup.unanswered):
                    await self._messenger.send(address, StreamOriginRequest(number, key))
                await lookup.wait()
                if lookup.origin is not None or not lookup.unanswered:
                    break
        finally:
            del self._lookups[number]
        return lookup.origin, self._membership.name_at(lookup.source)

    async def _find_stored(self, relay: Relay, key: int) -> tuple[StreamOrigin | None, str]:
        """Return what the store tells of the origin of a stream, and how."""
        if not self._version_history.has_mixed_versions:
            origin = await self._infer(relay)
            if origin is not None or not self._version_history.has_mixed_versions:
                return origin, "only"
        # Both are read at once, so that a caller waits for one response of a slow store.
        async with curio.TaskGroup() as group:
            lookup = await group.spawn(self._journal.find, key)
            origin = await self._infer(relay)
        if lookup.result is None and self._journal.is_conflicting(key):
            # An incarnation that never had an entry may be one of them.
            return None, "unknown"
        return (origin, "only") if lookup.result is None else (lookup.result, "journal")

    async def _infer(self, relay: Relay) -> StreamOrigin | None:
        """Return the only origin that a stream can have; None if there may be several."""
        if len(relay.route.split) > 1:
            return None
        versions = await self._version_history.possible_versions(relay.service.name)
        if versions is None or len(versions) != 1:
            return None
        return StreamOrigin(service_number(relay.service.name), *versions)

    async def _on_began(self, message: StreamBegan, sender: str) -> None:
        now = await curio.clock()
        self._streams.record(message.key, message.origin, message.left_s, now)

    async def _on_request(self, message: StreamOriginRequest, sender: str) -> None:
        origin = self._streams.get(message.key, await curio.clock())
        response = (
            StreamOriginResponse(message.number, None)
            if origin is None
            else StreamOriginResponse(message.number, origin.service, origin.version)
        )
        await self._messenger.send(sender, response)

    async def _on_response(self, message: StreamOriginResponse, sender: str) -> None:
        lookup = self._lookups.get(message.number)
        if lookup is not None:
            await lookup.record(message.origin, sender)


def _key(relay: Relay, request_id: str) -> int:
    host = relay.exchange.req.headers.get("host", "")
    return stream_key(relay.account_name or "", host, request_id)
