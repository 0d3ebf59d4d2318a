"""Responses whose bytes and whose end on the connection a test chooses."""

from __future__ import annotations

import enum
import socket
import struct

from crankhinge.errors import HttpClosed
from crankhinge.http import BodyFraming, Exchange
from platform_fakes import FakeReplica


class End(enum.Enum):
    """What a server does with the connection after the last byte that it sends."""

    CLOSED = "closed"
    RESET = "reset"
    SILENT = "silent"


async def send_raw(
    replica: FakeReplica,
    exchange: Exchange,
    body: bytes,
    *,
    framing: BodyFraming = BodyFraming.CONNECTION,
    end: End = End.CLOSED,
    missing_bytes: int = 0,
    fields: tuple[tuple[str, str], ...] = (),
) -> None:
    """Send a response with status 200 and end its connection.

    Args:
        replica: the server.
        exchange: the request.
        body: bytes of the body to send.
        framing: what marks the end of the body.
        end: what happens to the connection afterwards.
        missing_bytes: bytes of the body that the framing announces beyond *body*; a chunked body
            then has no last chunk.
        fields: further header fields.
    """
    head = [*replica.response_fields(exchange), *fields]
    data = body
    if framing is BodyFraming.LENGTH:
        head.append(("content-length", str(len(body) + missing_bytes)))
    elif framing is BodyFraming.CHUNKED:
        head.append(("transfer-encoding", "chunked"))
        data = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
        data += b"" if missing_bytes else b"0\r\n\r\n"
    lines = "".join(f"{name}: {value}\r\n" for name, value in head)
    await exchange.write_raw(f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode() + data)
    if end is End.SILENT:
        await exchange.wait_for_disconnect()
    if end is End.RESET:
        reset_on_close = struct.pack("ii", 1, 0)
        exchange._conn._sock._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset_on_close)
    raise HttpClosed("the connection ends here")
