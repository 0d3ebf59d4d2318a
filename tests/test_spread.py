"""Tests of how a bundle reaches every process: many processes in memory, links that are cut."""

import io
import random
from pathlib import Path
from typing import Any

import curio
import pytest

from crankhinge.config import BUNDLE_KEY, BundleKeeper
from crankhinge.peers import BundleSpread
from crankhinge.runtime import get_log
from crankhinge.wire import Beat, Hello
from test_config import MemoryKeyValue, Signers
from virtual_time import run_virtual

COUNT = 24
DEGREE = 3


class Node:
    """One process: its keeper and its spread."""

    def __init__(self, number: int, keys: dict[str, str], kv: MemoryKeyValue) -> None:
        self.keeper = BundleKeeper(keys)
        log = get_log(program=f"n{number}", stream=io.StringIO())
        rng = random.Random(number)
        self.spread = BundleSpread(self.keeper, kv, log, watch_s=1.0, rng=rng)
        self.seen: list[int] = []
        self.keeper.listeners.append(lambda bundle: self.seen.append(bundle.version))


class FakeLink:
    """One direction of a link: what is sent is handled by the other end at once."""

    def __init__(self, to: Node, version: int) -> None:
        self.peer = Hello(1, "peer", "entry", "z", 1, bundle=version)
        self.bundle = version
        self.closed = False
        self.back: Any = None
        self._to = to

    async def send(self, msg: Any) -> None:
        """Deliver a message."""
        if not self.closed:
            await curio.sleep(0.001)
            await self._to.spread.handle(self.back, msg)


class Net:
    """Processes and the links between them."""

    def __init__(self, signers: Signers, kv: MemoryKeyValue) -> None:
        self.nodes = [Node(number, signers.keys, kv) for number in range(COUNT)]
        self.links: list[tuple[int, int, FakeLink, FakeLink]] = []

    async def join(self, a: int, b: int) -> None:
        """Link two processes."""
        there = FakeLink(self.nodes[b], self.nodes[b].keeper.version)
        back = FakeLink(self.nodes[a], self.nodes[a].keeper.version)
        there.back, back.back = back, there
        self.links.append((a, b, there, back))
        await self.nodes[a].spread.linked(there)  # type: ignore[arg-type]
        await self.nodes[b].spread.linked(back)  # type: ignore[arg-type]

    async def cut(self, side: set[int]) -> None:
        """Cut every link between *side* and the rest."""
        for a, b, there, back in self.links:
            if (a in side) != (b in side):
                there.closed = back.closed = True
                self.nodes[a].spread.unlinked(there)  # type: ignore[arg-type]
                self.nodes[b].spread.unlinked(back)  # type: ignore[arg-type]
        self.links = [link for link in self.links if not link[2].closed]

    async def join_all(self) -> None:
        """Link each process to the next ones in a ring, and a few at random."""
        rng = random.Random(7)
        for a in range(COUNT):
            for b in {(a + 1) % COUNT, *rng.sample(range(COUNT), DEGREE - 1)} - {a}:
                await self.join(a, b)

    def versions(self, side: set[int] | None = None) -> set[int]:
        """Return the versions in force."""
        numbers = range(COUNT) if side is None else side
        return {self.nodes[number].keeper.version for number in numbers}


@pytest.fixture
def signers(tmp_path: Path) -> Signers:
    """Return two new key pairs."""
    return Signers(tmp_path)


class TestSpread:
    """Peers carry a bundle."""

    def test_one_process_is_enough(self, signers: Signers) -> None:
        """With the key-value service out, a bundle that one process has reaches all."""

        async def scenario() -> set[int]:
            kv = MemoryKeyValue()
            kv.out = True
            net = Net(signers, kv)
            await net.join_all()
            await net.nodes[5].spread.offer(signers.envelope(1), source="test")
            await curio.sleep(1)
            return net.versions()

        assert run_virtual(scenario) == {1}

    def test_regions_part_and_meet(self, signers: Signers) -> None:
        """A side that was cut off has the newest as soon as one link is back."""

        async def scenario() -> tuple[set[int], set[int], set[int]]:
            kv = MemoryKeyValue()
            kv.out = True
            net = Net(signers, kv)
            await net.join_all()
            await net.nodes[0].spread.offer(signers.envelope(1), source="test")
            west = set(range(COUNT // 2))
            east = set(range(COUNT)) - west
            await net.cut(west)
            await net.nodes[0].spread.offer(signers.envelope(2), source="test")
            await curio.sleep(3600)
            apart = net.versions(west), net.versions(east)
            await net.join(COUNT - 1, 0)
            await curio.sleep(1)
            return (*apart, net.versions())

        assert run_virtual(scenario, max_virtual_s=2 * 3600.0) == ({2}, {1}, {2})

    def test_a_stale_read_changes_nothing(self, signers: Signers) -> None:
        """A process that reads an old bundle after it had a newer one keeps the newer."""

        async def scenario() -> list[int]:
            kv = MemoryKeyValue()
            kv.write(BUNDLE_KEY, signers.envelope(1))
            net = Net(signers, kv)
            node = net.nodes[0]
            await node.spread.offer(signers.envelope(2), source="test")
            watcher = await curio.spawn(node.spread.watch, daemon=True)
            await curio.ignore_after(3, watcher.wait)
            await watcher.cancel()
            return node.seen

        assert run_virtual(scenario) == [2]

    def test_a_heartbeat_tells_who_is_behind(self, signers: Signers) -> None:
        """A peer whose heartbeat shows an older version is sent the newer one."""

        async def scenario() -> set[int]:
            net = Net(signers, MemoryKeyValue())
            await net.join(0, 1)
            await net.nodes[0].spread.offer(signers.envelope(3), source="test")
            _, _, there, _ = net.links[0]
            net.nodes[1].keeper = BundleKeeper(signers.keys)
            net.nodes[1].spread.keeper = net.nodes[1].keeper
            there.bundle = 0
            await net.nodes[0].spread.handle(there, Beat(0))  # type: ignore[arg-type]
            await curio.sleep(1)
            return net.versions({0, 1})

        assert run_virtual(scenario) == {3}
