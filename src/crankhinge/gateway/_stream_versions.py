"""Keeps the software version that began each stream, so that it goes on at no other version.

A caller may take a broken stream up at any instance, and names the attempt that began it. The
instance that begins a stream tells its version to the first two instances in the order of that
attempt. The instance at which the stream is taken up asks them.
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Sequence
from typing import Any

import curio

from crankhinge.decisions import (
    MAX_STREAM_S,
    Membership,
    Server,
    ServiceVersions,
    StreamVersions,
    stream_key,
)
from crankhinge.errors import StreamVersionUnknown
from crankhinge.gateway._discovery import Discovery
from crankhinge.gateway._peer_messenger import PeerMessenger
from crankhinge.gateway._peer_requests import RESPONSE_TIMEOUT_S
from crankhinge.gateway._request import Relay
from crankhinge.gateway._stream_version_messages import (
    StreamBegan,
    StreamVersionRequest,
    StreamVersionResponse,
)

# Instances that are told the version of a stream: one of them may be gone or miss the message.
HOLDERS = 2
# Instances that are asked for it. The instance that began the stream may be among the first, and an
# instance that joined or left meanwhile moves the others by a place.
ASKED_INSTANCES = HOLDERS + 1
# Streams share holders in this many groups, so that the order of all instances is computed once a
# group and not for each stream.
HOLDER_GROUPS = 2048
# Rounds of requests, since a datagram may be lost.
REQUEST_ROUNDS = 2
# Seconds since the last response about the list of servers up to which the list shows all versions.
MAX_LIST_AGE_S = 5.0
# Seconds after which a caller may try again to take up a stream whose version no instance knows: an
# instance that knows it may have been out of reach.
UNKNOWN_RETRY_S = 0.5


class _Lookup:
    """Collects the responses of the instances that were asked for a version."""

    def __init__(self, addresses: frozenset[str]) -> None:
        self.unanswered = set(addresses)
        self.version: str | None = None
        self.source = ""
        self._ended = curio.Event()

    async def record(self, version: str | None, sender: str) -> None:
        """Record a response."""
        self.unanswered.discard(sender)
        if version is not None and self.version is None:
            self.version, self.source = version, sender
        if version is not None or not self.unanswered:
            await self._ended.set()

    async def wait(self) -> None:
        """Wait until the version is known, or no instance knows it, or the time is over."""
        await curio.ignore_after(RESPONSE_TIMEOUT_S, self._ended.wait)


class StreamVersionService:
    """Records the versions that begin streams, and finds that of a stream that is taken up.

    Args:
        name: name of this instance.
        membership: the instances of the fleet.
        discovery: the list of servers.
        service_versions: versions that served each service lately.
        messenger: sends and receives peer messages.
        log: log for events.
    """

    def __init__(
        self,
        *,
        name: str,
        membership: Membership,
        discovery: Discovery,
        service_versions: ServiceVersions,
        messenger: PeerMessenger,
        log: Any,
    ) -> None:
        self._name = name
        self._membership = membership
        self._discovery = discovery
        self._service_versions = service_versions
        self._messenger = messenger
        self._log = log
        self._streams = StreamVersions()
        self._numbers = itertools.count()
        # The first ASKED_INSTANCES instances of each group of streams, and for which members.
        self._first_instances: dict[int, Sequence[str]] = {}
        self._members_at = membership.changed_at
        self._lookups: dict[int, _Lookup] = {}
        messenger.add_handler(StreamBegan, self._on_began)
        messenger.add_handler(StreamVersionRequest, self._on_request)
        messenger.add_handler(StreamVersionResponse, self._on_response)

    def __len__(self) -> int:
        return len(self._streams)

    async def record_began(self, relay: Relay, server: Server) -> None:
        """Record the server that begins a stream, before its caller gets the first event.

        Streams that no caller can take up elsewhere are not recorded.
        """
        request = relay.request
        if not (server.version and relay.route.resumable and request.request_id):
            return
        if request.resumes:
            # The caller keeps naming the attempt that began the stream.
            return
        now = await curio.clock()
        # The route may allow an attempt less time than the caller has for all of them.
        left_s = MAX_STREAM_S
        if request.timeout_s is not None:
            left_s = min(left_s, relay.started_at + request.timeout_s - now)
        key = _key(relay, request.request_id)
        self._streams.record(key, server.version, left_s, now)
        message = StreamBegan(key, server.version, math.ceil(left_s))
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

    async def find(self, relay: Relay) -> str:
        """Return the version that began the stream that a request takes up; empty for any.

        Raises:
            StreamVersionUnknown: no instance knows it, and several versions may have begun it.
        """
        request = relay.request
        if not request.resumes:
            return ""
        version, source = await self._find_recorded(_key(relay, request.resumes))
        if version is None and not request.last_event_id:
            # The caller has no events, so the stream begins anew.
            return ""
        if version is None:
            version, source = await self._infer(relay), "only"
        self._log.info(
            "stream_taken_up",
            request=request.request_id,
            resumes=request.resumes,
            after=request.last_event_id,
            version=version,
            told_by=source,
        )
        if version is None:
            raise StreamVersionUnknown(
                f"no instance knows which version began {request.resumes}",
                retry_after_s=UNKNOWN_RETRY_S,
            )
        return version

    async def _find_recorded(self, key: int) -> tuple[str | None, str]:
        """Return the recorded version of a stream, and who knew it."""
        version = self._streams.version(key, await curio.clock())
        addresses = frozenset(self._other_addresses(key))
        if version is not None or not addresses:
            return version, "own"
        number, lookup = next(self._numbers), _Lookup(addresses)
        self._lookups[number] = lookup
        try:
            for _ in range(REQUEST_ROUNDS):
                for address in lookup.unanswered:
                    await self._messenger.send(address, StreamVersionRequest(number, key))
                await lookup.wait()
                if lookup.version is not None or not lookup.unanswered:
                    break
        finally:
            del self._lookups[number]
        return lookup.version, self._membership.name_at(lookup.source)

    async def _infer(self, relay: Relay) -> str | None:
        """Return the only version that can have begun a stream; None if there may be several."""
        now = await curio.clock()
        received_at = self._discovery.server_list_watcher.received_at
        if received_at is None or now - received_at > MAX_LIST_AGE_S:
            return None
        self._service_versions.record_listed(self._discovery.servers.all(), now)
        return self._service_versions.only_version(relay.service.name, now)

    async def _on_began(self, message: StreamBegan, sender: str) -> None:
        now = await curio.clock()
        self._streams.record(message.key, message.version, message.left_s, now)

    async def _on_request(self, message: StreamVersionRequest, sender: str) -> None:
        version = self._streams.version(message.key, await curio.clock())
        await self._messenger.send(sender, StreamVersionResponse(message.number, version))

    async def _on_response(self, message: StreamVersionResponse, sender: str) -> None:
        lookup = self._lookups.get(message.number)
        if lookup is not None:
            await lookup.record(message.version, sender)


def _key(relay: Relay, request_id: str) -> int:
    host = relay.exchange.req.headers.get("host", "")
    return stream_key(relay.account_name or "", host, request_id)
