"""Propagates bundles to every process, from the key-value service and from peer to peer.

Each process keeps one watch on the key-value service. A process that receives a new bundle sends it
to its peers immediately, and they send it to theirs. A process whose watch fails therefore still
receives the bundle, and so does a whole fleet during an outage of the service. Heartbeats carry the
bundle version: a process sends its bundle to a peer with an older version and requests the bundle
of a peer with a newer one.
"""

from __future__ import annotations

import hashlib
import random
from typing import Any

import curio

from crankhinge.adapters import KeyValueStore
from crankhinge.config import BUNDLE_KEY, BundleKeeper
from crankhinge.errors import BundleError, KeyValueUnavailable
from crankhinge.wire import BundleUpdate, GetBundle, Heartbeat, Link, Message, send_if_open

# Bounds of the delay between attempts while the key-value service is unavailable.
INITIAL_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 30.0
# Delay after a watch that returned without a change.
UNCHANGED_WATCH_DELAY_S = 0.5


class BundlePropagator:
    """Keeps the bundle of one process up to date.

    Args:
        keeper: holds the active bundle.
        kv: client of the key-value service.
        log: logger for events.
        watch_s: seconds that one watch request stays open.
        rng: source of the jitter of the retry delays.

    Attributes:
        links: links to the peers that new bundles are sent to.
    """

    def __init__(
        self,
        keeper: BundleKeeper,
        kv: KeyValueStore,
        log: Any,
        *,
        watch_s: float,
        rng: random.Random,
    ) -> None:
        self.keeper = keeper
        self.links: set[Link] = set()
        self._kv = kv
        self._log = log
        self._watch_s = watch_s
        self._rng = rng

    async def watch(self) -> None:
        """Watch the key-value service for new bundles until cancelled.

        While the service is unavailable, the delay between attempts doubles up to
        ``MAX_RETRY_DELAY_S``.
        """
        index = 0
        delay_s = INITIAL_RETRY_DELAY_S
        while True:
            try:
                value = await self._read_or_watch(index)
                delay_s = INITIAL_RETRY_DELAY_S
            except KeyValueUnavailable as exc:
                self._log.warning("key_value_unavailable", why=exc.detail)
                # Jitter keeps a fleet from reconnecting to a recovering service all at once.
                await curio.sleep(delay_s * self._rng.uniform(0.5, 1.5))
                delay_s = min(MAX_RETRY_DELAY_S, delay_s * 2)
                continue
            if value is None:
                index = 0
                await curio.sleep(1.0)
                continue
            if value.index == index:
                # Avoids a tight loop if the service ends watches too early.
                await curio.sleep(UNCHANGED_WATCH_DELAY_S)
            index = value.index
            await self.receive_bundle(value.data, source="key-value")

    async def _read_or_watch(self, index: int) -> Any:
        if index == 0:
            return await self._kv.get(BUNDLE_KEY)
        return await self._kv.watch(BUNDLE_KEY, index, self._watch_s)

    async def receive_bundle(self, envelope: bytes, *, source: str) -> None:
        """Make a received bundle active and send it to all peers, if it is newer and fully signed.

        A bundle that is malformed or lacks a valid signature is logged and dropped.

        Args:
            envelope: the encoded envelope of the bundle.
            source: where the bundle came from, for the log.
        """
        try:
            installed = self.keeper.install_if_newer(envelope)
        except BundleError as exc:
            self._log.error("bundle_refused", source=source, why=exc.detail)
            return
        if installed:
            digest = hashlib.sha256(envelope).hexdigest()[:16]
            version = self.keeper.version
            self._log.info("bundle_in_force", version=version, digest=digest, source=source)
            for link in list(self.links):
                await self._send_bundle(link)

    async def _send_bundle(self, link: Link) -> None:
        if link.peer_bundle_version >= self.keeper.version:
            return
        link.peer_bundle_version = self.keeper.version
        await send_if_open(link, BundleUpdate(self.keeper.envelope))

    async def add_link(self, link: Link) -> None:
        """Add a link to a peer and compare bundle versions with that peer."""
        self.links.add(link)
        await self._reconcile_versions(link, link.peer.bundle_version)

    def remove_link(self, link: Link) -> None:
        """Remove a link that has ended."""
        self.links.discard(link)

    async def handle_message(self, link: Link, msg: Message) -> bool:
        """Process a message from a peer and return whether it concerns bundles only.

        The result for a heartbeat is False because it carries more than the bundle version.
        """
        if isinstance(msg, Heartbeat):
            await self._reconcile_versions(link, msg.bundle_version)
            return False
        if isinstance(msg, BundleUpdate):
            await self.receive_bundle(msg.envelope, source=link.peer.name)
            return True
        if isinstance(msg, GetBundle):
            link.peer_bundle_version = 0
            await self._send_bundle(link)
            return True
        return False

    async def _reconcile_versions(self, link: Link, peer_version: int) -> None:
        own_version = self.keeper.version
        if peer_version > own_version:
            link.peer_bundle_version = peer_version
            await link.send(GetBundle())
        elif peer_version < own_version and link.peer_bundle_version < own_version:
            await self._send_bundle(link)
