"""TCP connections, and an accept loop that survives failed connections.

The accept loop also survives a full table of file descriptors, during which ``accept`` fails.
"""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from typing import Any

import curio
import curio.socket

ACCEPT_RETRY_DELAY_S = 0.05
ACCEPT_BACKLOG = 1024
# If packets to a peer are lost silently, the kernel closes the connection after KEEPALIVE_IDLE_S +
# KEEPALIVE_COUNT x KEEPALIVE_INTERVAL_S seconds when no sent data is unacknowledged, and after
# MAX_UNACKNOWLEDGED_MS when some is. Both are at most three seconds, the time after which the other
# parts of the project take an instance for unresponsive.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_COUNT = 2
MAX_UNACKNOWLEDGED_MS = 3000

ConnHandler = Callable[[Any, Any], Awaitable[None]]


async def serve_tcp(
    host: str,
    port: int,
    handler: ConnHandler,
    *,
    log: Any,
    stop_accepting: curio.Event | None = None,
) -> None:
    """Accept connections until cancelled, and handle each in a task of its own.

    Args:
        host: address to bind.
        port: TCP port to bind.
        handler: called with the socket and the peer's address; the socket is closed afterwards.
        log: logs failures of handlers and of ``accept``.
        stop_accepting: when set, no more connections are accepted; open connections continue.
    """
    listener = curio.tcp_server_socket(host, port, backlog=ACCEPT_BACKLOG, reuse_address=True)
    async with listener, curio.TaskGroup() as group:
        accepting = await group.spawn(_accept_connections, listener, handler, log, group)
        if stop_accepting is not None:
            await group.spawn(
                _close_when_stopped, stop_accepting, accepting, listener, handler, log, group
            )
        async for task in group:
            task.joined = True


async def _close_when_stopped(
    stop_accepting: curio.Event,
    accepting: Any,
    listener: Any,
    handler: ConnHandler,
    log: Any,
    group: Any,
) -> None:
    await stop_accepting.wait()
    await accepting.cancel()
    await _accept_established(listener, handler, log, group)
    await listener.close()
    # The task group ends when its last task does. This task waits forever, so that the group stays
    # open until the server is cancelled.
    await curio.Event().wait()


async def _accept_established(listener: Any, handler: ConnHandler, log: Any, group: Any) -> None:
    """Accept the connections that wait in the kernel, which closing the listener would reset."""
    while True:
        try:
            sock, addr = listener._socket.accept()
        except OSError:
            return
        await group.spawn(_handle_connection, curio.io.Socket(sock), addr, handler, log)


async def _accept_connections(listener: Any, handler: ConnHandler, log: Any, group: Any) -> None:
    while True:
        try:
            sock, addr = await listener.accept()
        except OSError as exc:
            log.error("accept_failed", why=str(exc))
            await curio.sleep(ACCEPT_RETRY_DELAY_S)
            continue
        await group.spawn(_handle_connection, sock, addr, handler, log)
        # All ready tasks run once between two accepted connections. Otherwise a burst of new
        # connections would take turns with the requests on open ones, which wait for all of it.
        await curio.sleep(0)


async def _handle_connection(sock: Any, addr: Any, handler: ConnHandler, log: Any) -> None:
    async with sock:
        try:
            disable_nagle(sock)
            await handler(sock, addr)
        except OSError as exc:
            log.info("connection_failed", peer=str(addr), why=str(exc))
        except Exception as exc:
            log.error("connection_crashed", peer=str(addr), kind=type(exc).__name__, why=str(exc))


async def open_tcp(
    host: str, port: int, timeout_s: float, *, buffer_bytes: int | None = None
) -> Any:
    """Connect to an IP address and return the socket.

    *buffer_bytes* is the size of the socket's send and receive buffers; by default, the kernel
    adapts them.

    curio's own function resolves the host name on a thread for each connection, which is needless
    here because all addresses are numeric.

    Raises:
        OSError: the connection failed or was not established within *timeout_s* seconds.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = curio.socket.socket(family, socket.SOCK_STREAM)
    if buffer_bytes is not None:
        # This takes full effect only before the connection is established.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, buffer_bytes)
    try:
        await curio.timeout_after(timeout_s, sock.connect, (host, port))
    except curio.TaskTimeout as exc:
        await sock.close()
        raise OSError(f"no connection within {timeout_s} s") from exc
    except BaseException:
        await sock.close()
        raise
    disable_nagle(sock)
    enable_peer_timeouts(sock)
    return sock


async def send_all(sock: Any, data: memoryview, stall_timeout_s: float) -> None:
    """Send all of *data* as long as the peer keeps accepting parts of it.

    The total time is not limited, because it depends on the size of the data and on the link.

    Raises:
        OSError: the connection ended, or the peer accepted nothing for *stall_timeout_s* seconds.
    """
    while data:
        try:
            sent = await curio.timeout_after(stall_timeout_s, sock.send, data)
        except curio.TaskTimeout as exc:
            raise TimeoutError(f"peer accepted nothing for {stall_timeout_s} s") from exc
        data = data[sent:]


def disable_nagle(sock: Any) -> None:
    """Send small segments at once, so that tokens don't wait for an acknowledgement."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def enable_peer_timeouts(sock: Any) -> None:
    """Make the kernel close the connection of a peer that stops responding.

    Without these options a read on a connection whose packets are lost hangs for hours.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_COUNT)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, MAX_UNACKNOWLEDGED_MS)
