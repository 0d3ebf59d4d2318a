"""Encodes and decodes frames.

A frame is the length of its body, as four bytes in big-endian order, and the body: one message in
msgpack.
"""

from __future__ import annotations

import struct

import msgspec

from crankhinge.decoding import MsgpackDecoder
from crankhinge.errors import Undecodable, WireError
from crankhinge.wire._messages import Message

# Longest body of a frame, without the length prefix. A longer one is rejected before memory is
# allocated for it.
MAX_FRAME_BYTES = 8 * 1024 * 1024
_LENGTH_PREFIX = struct.Struct(">I")

_encoder = msgspec.msgpack.Encoder()
_decoder: MsgpackDecoder[Message] = MsgpackDecoder(Message)


def encode(msg: Message) -> bytes:
    """Return the frame that carries *msg*."""
    body = _encoder.encode(msg)
    return _LENGTH_PREFIX.pack(len(body)) + body


def decode(body: bytes) -> Message:
    """Decode the body of a frame.

    Raises:
        WireError: the body is not a valid message of this protocol.
    """
    try:
        return _decoder.decode(body)
    except Undecodable as exc:
        raise WireError(exc.detail) from exc


class FrameReader:
    """Splits a byte stream into messages, keeping incomplete frames until the rest arrives."""

    def __init__(self) -> None:
        self._buf = bytearray()

    def read_messages(self, chunk: bytes) -> list[Message]:
        """Add the received bytes *chunk* and return the messages that are now complete.

        Raises:
            WireError: a body is longer than ``MAX_FRAME_BYTES`` or is not a valid message.
        """
        buf = self._buf
        buf += chunk
        msgs = []
        start = 0
        while len(buf) - start >= _LENGTH_PREFIX.size:
            (length,) = _LENGTH_PREFIX.unpack_from(buf, start)
            if length > MAX_FRAME_BYTES:
                raise WireError(f"frame of {length} bytes is too long")
            end = start + _LENGTH_PREFIX.size + length
            if len(buf) < end:
                break
            msgs.append(decode(bytes(buf[start + _LENGTH_PREFIX.size : end])))
            start = end
        del buf[:start]
        return msgs
