"""Fake agents and fake entries on one thread: peers for measuring one real process."""

from __future__ import annotations

import threading
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import curio

from crankhinge.runtime import get_log, serve_tcp
from crankhinge.wire import (
    WIRE_VERSION,
    Heartbeat,
    Hello,
    Link,
    Load,
    Message,
    accept_link,
    connect_link,
)

HOST = "127.0.0.1"


async def _ignore(_link: Link, _msg: Message) -> None:
    """Take no notice of a message."""


class FakePeers:
    """Links to one real process, each sending heartbeats.

    Args:
        beat_s: seconds between heartbeats.
    """

    def __init__(self, beat_s: float) -> None:
        self.links: list[Link] = []
        self._beat_s = beat_s
        self._stop = threading.Event()
        self._thread: threading.Thread | None = None
        self._log = get_log(program="fakes")

    def start(self, main: Callable[[], Awaitable[Any]]) -> None:
        """Run *main* on the thread."""
        self._thread = threading.Thread(target=curio.run, args=(self._until_stop, main))
        self._thread.start()

    async def _until_stop(self, main: Callable[[], Awaitable[Any]]) -> None:
        task = await curio.spawn(main)
        while not self._stop.is_set():
            await curio.sleep(0.1)
        await task.cancel()

    def stop(self) -> None:
        """End the thread."""
        self._stop.set()
        if self._thread is not None:
            self._thread.join()

    async def _beat(self, link: Link, load: Load | None) -> None:
        self.links.append(link)
        reader = await curio.spawn(link.run, _ignore, daemon=True)
        try:
            while not link.closed:
                await link.send(Heartbeat(1, load))
                await curio.sleep(self._beat_s)
        finally:
            await reader.cancel()

    def bytes_in(self) -> int:
        """Return the bytes that the real process has sent."""
        return sum(link.bytes_received for link in self.links)

    def bytes_out(self) -> int:
        """Return the bytes that it was sent."""
        return sum(link.bytes_sent for link in self.links)


class FakeAgents(FakePeers):
    """Agents that an entry finds in the list.

    Args:
        ports: one for each agent.
        beat_s: seconds between heartbeats.
    """

    def __init__(self, ports: list[int], beat_s: float) -> None:
        super().__init__(beat_s)
        self._ports = ports

    def name(self, number: int) -> str:
        """Return an agent's name."""
        return f"fake-{number}"

    async def main(self) -> None:
        """Listen on every port."""
        async with curio.TaskGroup() as group:
            for number, port in enumerate(self._ports):
                handler = partial(self._serve, self.name(number))
                await group.spawn(partial(serve_tcp, HOST, port, handler, log=self._log))

    async def _serve(self, name: str, sock: Any, _addr: Any) -> None:
        hello = Hello(WIRE_VERSION, name, "decode", "naas", 1, "write", 1)
        link = await accept_link(sock, hello)
        await self._beat(link, Load(5, 0, 0.25, 0.03))


class FakeEntries(FakePeers):
    """Entries that are linked to one agent.

    Args:
        port: of the agent.
        count: how many.
        beat_s: seconds between heartbeats.
    """

    def __init__(self, port: int, count: int, beat_s: float) -> None:
        super().__init__(beat_s)
        self._port = port
        self._count = count

    async def main(self) -> None:
        """Connect all."""
        async with curio.TaskGroup() as group:
            for number in range(self._count):
                await group.spawn(self._dial, number)

    async def _dial(self, number: int) -> None:
        hello = Hello(WIRE_VERSION, f"fake-entry-{number}", "entry", "naas", 1, bundle_version=1)
        link = await connect_link(HOST, self._port, hello)
        await self._beat(link, None)
