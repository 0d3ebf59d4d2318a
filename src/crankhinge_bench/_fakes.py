"""Fake agents and entries, run on one thread, that are the peers of one measured process."""

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


async def _ignore_message(_link: Link, _msg: Message) -> None:
    """Discard a message."""


class FakePeers:
    """Peers that are linked to one measured process and send heartbeats on every link.

    Args:
        beat_s: seconds between the heartbeats of a link.
    """

    def __init__(self, beat_s: float) -> None:
        self.links: list[Link] = []
        self._beat_s = beat_s
        self._stop_requested = threading.Event()
        self._thread: threading.Thread | None = None
        self._log = get_log(program="fakes")

    def start(self, main: Callable[[], Awaitable[Any]]) -> None:
        """Run *main* on a new thread until :meth:`stop`."""
        self._thread = threading.Thread(target=curio.run, args=(self._run_until_stopped, main))
        self._thread.start()

    async def _run_until_stopped(self, main: Callable[[], Awaitable[Any]]) -> None:
        task = await curio.spawn(main)
        while not self._stop_requested.is_set():
            await curio.sleep(0.1)
        await task.cancel()

    def stop(self) -> None:
        """Stop the thread and wait for its end."""
        self._stop_requested.set()
        if self._thread is not None:
            self._thread.join()

    async def _send_heartbeats(self, link: Link, load: Load | None) -> None:
        self.links.append(link)
        reader = await curio.spawn(link.run, _ignore_message, daemon=True)
        try:
            while not link.closed:
                await link.send(Heartbeat(1, load))
                await curio.sleep(self._beat_s)
        finally:
            await reader.cancel()

    def bytes_received(self) -> int:
        """Return the bytes received from the measured process on all links."""
        return sum(link.bytes_received for link in self.links)

    def bytes_sent(self) -> int:
        """Return the bytes sent to the measured process on all links."""
        return sum(link.bytes_sent for link in self.links)


class FakeAgents(FakePeers):
    """Fake agents that accept links of an entry.

    Args:
        ports: ports to listen on, one for each agent.
        beat_s: seconds between the heartbeats of a link.
    """

    def __init__(self, ports: list[int], beat_s: float) -> None:
        super().__init__(beat_s)
        self._ports = ports

    def agent_name(self, number: int) -> str:
        """Return the name of agent *number*."""
        return f"fake-{number}"

    async def serve(self) -> None:
        """Accept links on every port until cancelled."""
        async with curio.TaskGroup() as group:
            for number, port in enumerate(self._ports):
                handler = partial(self._serve_link, self.agent_name(number))
                await group.spawn(partial(serve_tcp, HOST, port, handler, log=self._log))

    async def _serve_link(self, name: str, sock: Any, _addr: Any) -> None:
        hello = Hello(WIRE_VERSION, name, "decode", "naas", 1, "write", 1)
        link = await accept_link(sock, hello)
        await self._send_heartbeats(link, Load(5, 0, 0.25, 0.03))


class FakeEntries(FakePeers):
    """Fake entries that are linked to one agent.

    Args:
        port: port of the agent.
        count: number of entries.
        beat_s: seconds between the heartbeats of a link.
    """

    def __init__(self, port: int, count: int, beat_s: float) -> None:
        super().__init__(beat_s)
        self._port = port
        self._count = count

    async def connect_all(self) -> None:
        """Connect every entry to the agent and keep the links open until cancelled."""
        async with curio.TaskGroup() as group:
            for number in range(self._count):
                await group.spawn(self._connect, number)

    async def _connect(self, number: int) -> None:
        hello = Hello(WIRE_VERSION, f"fake-entry-{number}", "entry", "naas", 1, bundle_version=1)
        link = await connect_link(HOST, self._port, hello)
        await self._send_heartbeats(link, None)
