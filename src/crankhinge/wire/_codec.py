"""Frames: four bytes of length, then one msgpack message."""

from __future__ import annotations

import struct

import msgspec

from crankhinge.errors import WireError
from crankhinge.wire._messages import Message

MAX_FRAME_BYTES = 8 * 1024 * 1024
_LENGTH_PREFIX = struct.Struct(">I")

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(msg: Message) -> bytes:
    """Return the frame of *msg*."""
    body = _encoder.encode(msg)
    return _LENGTH_PREFIX.pack(len(body)) + body


def decode(body: bytes) -> Message:
    """Return the message in the body of a frame.

    Raises:
        WireError: when it is not one of ours.
    """
    try:
        return _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise WireError(str(exc)) from exc


class FrameReader:
    """Splits a byte stream into messages."""

    def __init__(self) -> None:
        self._buf = bytearray()

    def read_messages(self, chunk: bytes) -> list[Message]:
        """Return the messages that *chunk* completes.

        Raises:
            WireError: on a frame that is over the limit or not a message.
        """
        buf = self._buf
        buf += chunk
        msgs = []
        start = 0
        while len(buf) - start >= _LENGTH_PREFIX.size:
            (length,) = _LENGTH_PREFIX.unpack_from(buf, start)
            if length > MAX_FRAME_BYTES:
                raise WireError(f"frame of {length} bytes")
            end = start + _LENGTH_PREFIX.size + length
            if len(buf) < end:
                break
            msgs.append(decode(bytes(buf[start + _LENGTH_PREFIX.size : end])))
            start = end
        del buf[:start]
        return msgs
