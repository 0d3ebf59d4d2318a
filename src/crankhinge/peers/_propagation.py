"""How a bundle reaches every process.

Each process keeps one watch on the key-value service; the first that sees a new bundle passes it
to its peers at once, and they to theirs, so that a process whose watch fails, or a whole fleet
during an outage of the service, still gets it. Versions ride on heartbeats: a peer found to be
behind is sent the newer bundle, one found ahead is asked for it.
"""

from __future__ import annotations

import hashlib
import random
from typing import Any

import curio

from crankhinge.adapters import KeyValue
from crankhinge.config import BUNDLE_KEY, BundleKeeper
from crankhinge.errors import BundleError, KeyValueUnavailable
from crankhinge.wire import Beat, BundleIs, GetBundle, Link, Message, send_if_open

INITIAL_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 30.0
UNCHANGED_WATCH_DELAY_S = 0.5


class BundlePropagator:
    """Keeps the bundle of one process up to date.

    Args:
        keeper: holds the bundle.
        kv: the key-value service.
        log: for events.
        watch_s: seconds a watch waits.
        rng: for the pauses between attempts.
    """

    def __init__(
        self, keeper: BundleKeeper, kv: KeyValue, log: Any, *, watch_s: float, rng: random.Random
    ) -> None:
        self.keeper = keeper
        self.links: set[Link] = set()
        self._kv = kv
        self._log = log
        self._watch_s = watch_s
        self._rng = rng

    async def watch(self) -> None:
        """Watch the key-value service until cancelled, with growing pauses while it is out."""
        index = 0
        pause = INITIAL_RETRY_DELAY_S
        while True:
            try:
                value = await self._read_or_watch(index)
                pause = INITIAL_RETRY_DELAY_S
            except KeyValueUnavailable as exc:
                self._log.warning("key_value_unavailable", why=exc.detail)
                # Spread out, so that a fleet doesn't come back to a recovering service at once.
                await curio.sleep(pause * self._rng.uniform(0.5, 1.5))
                pause = min(MAX_RETRY_DELAY_S, pause * 2)
                continue
            if value is None:
                index = 0
                await curio.sleep(1.0)
                continue
            if value.index == index:
                # A service that answers a watch too early must not be asked in a tight loop.
                await curio.sleep(UNCHANGED_WATCH_DELAY_S)
            index = value.index
            await self.receive_bundle(value.data, source="key-value")

    async def _read_or_watch(self, index: int) -> Any:
        if index == 0:
            return await self._kv.get(BUNDLE_KEY)
        return await self._kv.watch(BUNDLE_KEY, index, self._watch_s)

    async def receive_bundle(self, envelope: bytes, *, source: str) -> None:
        """Take a bundle in force if it is newer and signed, and pass it on."""
        try:
            newer = self.keeper.install_if_newer(envelope)
        except BundleError as exc:
            self._log.error("bundle_refused", source=source, why=exc.detail)
            return
        if newer:
            digest = hashlib.sha256(envelope).hexdigest()[:16]
            version = self.keeper.version
            self._log.info("bundle_in_force", version=version, digest=digest, source=source)
            for link in list(self.links):
                await self._send_bundle(link)

    async def _send_bundle(self, link: Link) -> None:
        if link.bundle >= self.keeper.version:
            return
        link.bundle = self.keeper.version
        await send_if_open(link, BundleIs(self.keeper.envelope))

    async def add_link(self, link: Link) -> None:
        """Note a new link."""
        self.links.add(link)
        await self._reconcile_versions(link, link.peer.bundle)

    def remove_link(self, link: Link) -> None:
        """Note the end of a link."""
        self.links.discard(link)

    async def handle_message(self, link: Link, msg: Message) -> bool:
        """Act on a message; returns whether it was one about bundles alone."""
        if isinstance(msg, Beat):
            await self._reconcile_versions(link, msg.bundle)
            return False
        if isinstance(msg, BundleIs):
            await self.receive_bundle(msg.envelope, source=link.peer.name)
            return True
        if isinstance(msg, GetBundle):
            link.bundle = 0
            await self._send_bundle(link)
            return True
        return False

    async def _reconcile_versions(self, link: Link, peer_version: int) -> None:
        mine = self.keeper.version
        if peer_version > mine:
            link.bundle = peer_version
            await link.send(GetBundle())
        elif peer_version < mine and link.bundle < mine:
            await self._send_bundle(link)
