"""Tests of the streams between our processes."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from crankhinge.errors import CrankhingeError, WireError
from crankhinge.wire import FrameReader, Heartbeat, Hello, Load, SlotGranted, Tokens, encode
from crankhinge.wire._codec import MAX_FRAME_BYTES, decode


class TestFrames:
    """Frames survive any cutting of the stream."""

    @given(st.lists(st.integers(1, 7), max_size=40))
    @settings(max_examples=100, deadline=None, derandomize=True, database=None)
    def test_any_cutting(self, sizes: list[int]) -> None:
        """Messages come out whole and in order however the bytes arrive."""
        msgs = [Tokens(n, n, (f"t{n}",)) for n in range(10)]
        stream = b"".join(encode(msg) for msg in msgs)
        reader = FrameReader()
        received = []
        for size in [*sizes, len(stream)]:
            received += reader.read_messages(stream[:size])
            stream = stream[size:]
        assert received == msgs

    @given(st.binary(min_size=1, max_size=300))
    @settings(max_examples=300, deadline=None, derandomize=True, database=None)
    def test_garbage_is_a_typed_error(self, data: bytes) -> None:
        """Bytes that are no message raise our error and no other."""
        try:
            FrameReader().read_messages(data)
        except CrankhingeError as exc:
            assert isinstance(exc, WireError)

    def test_a_huge_frame_is_refused_unread(self) -> None:
        """A length over the limit is refused before anything is kept for it."""
        with pytest.raises(WireError):
            FrameReader().read_messages((MAX_FRAME_BYTES + 1).to_bytes(4, "big"))


class TestVersions:
    """Old and new processes run side by side."""

    def test_a_newer_peer_may_add_a_field(self) -> None:
        """A field added at the end by a newer peer is passed over."""
        body = msgspec.msgpack.encode([6, 1, 0.0, 2.0, None, "new"])
        assert decode(body) == SlotGranted(1, 0.0, 2.0)

    def test_an_older_peer_may_leave_one_out(self) -> None:
        """A field that an older peer doesn't know has its default."""
        assert decode(msgspec.msgpack.encode([6, 1, 0.0, 2.0])) == SlotGranted(1, 0.0, 2.0)

    def test_round_trip(self) -> None:
        """What is sent is what arrives."""
        for msg in (Hello(1, "n", "entry", "z", 5), Heartbeat(3, Load(1, 2, 0.5))):
            assert FrameReader().read_messages(encode(msg)) == [msg]
