"""Tests of the protocol between entries and agents."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from crankhinge.errors import CrankhingeError, WireError
from crankhinge.wire import FrameReader, Heartbeat, Hello, Load, SlotGranted, Tokens, encode
from crankhinge.wire._codec import MAX_FRAME_BYTES, decode


class TestFrames:
    """How frames are decoded from a stream of bytes."""

    @given(st.lists(st.integers(1, 7), max_size=40))
    @settings(max_examples=100, deadline=None, derandomize=True, database=None)
    def test_frames_are_decoded_from_chunks_of_any_size(self, sizes: list[int]) -> None:
        """All messages are decoded in order, whatever the sizes of the received chunks."""
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
    def test_random_bytes_raise_only_wire_error(self, data: bytes) -> None:
        """Bytes that are not a valid message raise WireError and no other exception."""
        try:
            FrameReader().read_messages(data)
        except CrankhingeError as exc:
            assert isinstance(exc, WireError)

    def test_nested_frame_raises_wire_error(self) -> None:
        """A surplus field that is nested too deeply raised RecursionError in the link's task."""
        body = b"\x94" + encode(Heartbeat(1))[5:] + b"\x91" * 2000
        with pytest.raises(WireError):
            FrameReader().read_messages(len(body).to_bytes(4, "big") + body)

    def test_oversized_frame_is_rejected_by_its_length(self) -> None:
        """The frame is rejected before its body is received and uses memory."""
        with pytest.raises(WireError):
            FrameReader().read_messages((MAX_FRAME_BYTES + 1).to_bytes(4, "big"))


class TestVersions:
    """Compatibility of messages between old and new processes."""

    def test_unknown_last_field_is_ignored(self) -> None:
        """A newer peer may add a field at the end of a message."""
        body = msgspec.msgpack.encode([6, 1, 0.0, 2.0, None, "new"])
        assert decode(body) == SlotGranted(1, 0.0, 2.0)

    def test_missing_last_field_has_its_default(self) -> None:
        """An older peer does not send a field that was added later."""
        assert decode(msgspec.msgpack.encode([6, 1, 0.0, 2.0])) == SlotGranted(1, 0.0, 2.0)

    def test_encoded_message_decodes_to_itself(self) -> None:
        """A message must not lose or change any field between two processes."""
        for msg in (Hello(1, "n", "entry", "z", 5), Heartbeat(3, Load(1, 2, 0.5))):
            assert FrameReader().read_messages(encode(msg)) == [msg]
