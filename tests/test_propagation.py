"""Tests of bundle propagation among many processes in memory whose links can be cut."""

import io
import random
from pathlib import Path
from typing import Any

import curio
import pytest

from crankhinge.config import BUNDLE_KEY, BundleKeeper
from crankhinge.peers import BundlePropagator
from crankhinge.runtime import get_log
from crankhinge.wire import Heartbeat, Hello
from test_config import MemoryKeyValue, Signers
from virtual_time import run_virtual

PROCESS_COUNT = 24
LINKS_PER_PROCESS = 3


class Node:
    """One process with its bundle keeper and its propagator."""

    def __init__(self, number: int, keys: dict[str, str], kv: MemoryKeyValue) -> None:
        self.keeper = BundleKeeper(keys)
        log = get_log(program=f"n{number}", stream=io.StringIO())
        rng = random.Random(number)
        self.propagator = BundlePropagator(self.keeper, kv, log, watch_s=1.0, rng=rng)
        self.installed_versions: list[int] = []
        self.keeper.listeners.append(lambda bundle: self.installed_versions.append(bundle.version))


class FakeLink:
    """One end of a link; the other end handles each sent message after 1 ms."""

    def __init__(self, receiver: Node, version: int) -> None:
        self.peer = Hello(1, "peer", "entry", "z", 1, bundle_version=version)
        self.peer_bundle_version = version
        self.closed = False
        self.back: Any = None
        self._receiver = receiver

    async def send(self, msg: Any) -> None:
        """Deliver a message to the process at the other end after 1 ms."""
        if not self.closed:
            await curio.sleep(0.001)
            await self._receiver.propagator.handle_message(self.back, msg)


class Network:
    """A set of processes and the links between them."""

    def __init__(self, signers: Signers, kv: MemoryKeyValue) -> None:
        self.nodes = [Node(number, signers.keys, kv) for number in range(PROCESS_COUNT)]
        self.links: list[tuple[int, int, FakeLink, FakeLink]] = []

    async def link(self, a: int, b: int) -> None:
        """Create a link between two processes, given by their numbers."""
        there = FakeLink(self.nodes[b], self.nodes[b].keeper.version)
        back = FakeLink(self.nodes[a], self.nodes[a].keeper.version)
        there.back, back.back = back, there
        self.links.append((a, b, there, back))
        await self.nodes[a].propagator.add_link(there)  # type: ignore[arg-type]
        await self.nodes[b].propagator.add_link(back)  # type: ignore[arg-type]

    async def cut(self, side: set[int]) -> None:
        """Cut all links between the processes of *side* and the other processes."""
        for a, b, there, back in self.links:
            if (a in side) != (b in side):
                there.closed = back.closed = True
                self.nodes[a].propagator.remove_link(there)  # type: ignore[arg-type]
                self.nodes[b].propagator.remove_link(back)  # type: ignore[arg-type]
        self.links = [link for link in self.links if not link[2].closed]

    async def link_all(self) -> None:
        """Link each process to the next one in a ring and to some random ones."""
        rng = random.Random(7)
        for a in range(PROCESS_COUNT):
            for b in {
                (a + 1) % PROCESS_COUNT,
                *rng.sample(range(PROCESS_COUNT), LINKS_PER_PROCESS - 1),
            } - {a}:
                await self.link(a, b)

    def versions(self, side: set[int] | None = None) -> set[int]:
        """Return the versions of the active bundles of *side*, or of all processes."""
        numbers = range(PROCESS_COUNT) if side is None else side
        return {self.nodes[number].keeper.version for number in numbers}


@pytest.fixture
def signers(tmp_path: Path) -> Signers:
    """Return new key pairs of both partners."""
    return Signers(tmp_path)


class TestPropagation:
    """How processes pass a new bundle on to their peers."""

    def test_bundle_reaches_all_processes_from_one(self, signers: Signers) -> None:
        """The key-value service is down, and only one process has read the new bundle."""

        async def scenario() -> set[int]:
            kv = MemoryKeyValue()
            kv.unavailable = True
            network = Network(signers, kv)
            await network.link_all()
            await network.nodes[5].propagator.receive_bundle(signers.envelope(1), source="test")
            await curio.sleep(1)
            return network.versions()

        assert run_virtual(scenario) == {1}

    def test_partitioned_processes_catch_up_over_one_link(self, signers: Signers) -> None:
        """One restored link is enough for all processes that missed a bundle."""

        async def scenario() -> tuple[set[int], set[int], set[int]]:
            kv = MemoryKeyValue()
            kv.unavailable = True
            network = Network(signers, kv)
            await network.link_all()
            await network.nodes[0].propagator.receive_bundle(signers.envelope(1), source="test")
            west_side = set(range(PROCESS_COUNT // 2))
            east_side = set(range(PROCESS_COUNT)) - west_side
            await network.cut(west_side)
            await network.nodes[0].propagator.receive_bundle(signers.envelope(2), source="test")
            await curio.sleep(3600)
            apart = network.versions(west_side), network.versions(east_side)
            await network.link(PROCESS_COUNT - 1, 0)
            await curio.sleep(1)
            return (*apart, network.versions())

        assert run_virtual(scenario, max_virtual_s=2 * 3600.0) == ({2}, {1}, {2})

    def test_stale_read_does_not_replace_a_newer_bundle(self, signers: Signers) -> None:
        """The key-value service may return an older bundle than the one that a peer sent."""

        async def scenario() -> list[int]:
            kv = MemoryKeyValue()
            kv.write(BUNDLE_KEY, signers.envelope(1))
            network = Network(signers, kv)
            node = network.nodes[0]
            await node.propagator.receive_bundle(signers.envelope(2), source="test")
            watcher = await curio.spawn(node.propagator.watch, daemon=True)
            await curio.ignore_after(3, watcher.wait)
            await watcher.cancel()
            return node.installed_versions

        assert run_virtual(scenario) == [2]

    def test_heartbeat_with_old_version_gets_the_newer_bundle(self, signers: Signers) -> None:
        """The message with the bundle may have been lost, so heartbeats name the version."""

        async def scenario() -> set[int]:
            network = Network(signers, MemoryKeyValue())
            await network.link(0, 1)
            await network.nodes[0].propagator.receive_bundle(signers.envelope(3), source="test")
            _, _, there, _ = network.links[0]
            network.nodes[1].keeper = BundleKeeper(signers.keys)
            network.nodes[1].propagator.keeper = network.nodes[1].keeper
            there.peer_bundle_version = 0
            await network.nodes[0].propagator.handle_message(there, Heartbeat(0))  # type: ignore[arg-type]
            await curio.sleep(1)
            return network.versions({0, 1})

        assert run_virtual(scenario) == {3}
