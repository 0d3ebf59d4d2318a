"""The journal of what began streams, kept in segments.

A segment is a table of services and versions, the sorted keys of streams as 64-bit numbers in
little-endian order, and for each key one byte: the row of the table that names its origin. A key
and its byte take nine bytes, so that an instance can hold all streams of a minute without an object
for each.

A segment says what began the streams that it names. That a stream is in no segment says nothing.
"""

from __future__ import annotations

import itertools
import operator
import sys
import zlib
from array import array
from bisect import bisect_left
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Annotated

import msgspec

from crankhinge.decisions._stream_origins import MAX_STREAM_S, StreamOrigin
from crankhinge.decoding import MsgpackDecoder
from crankhinge.errors import Undecodable

# Bytes of a key, and of a key with its row.
KEY_BYTES = 8
STREAM_BYTES = KEY_BYTES + 1
# Rows that a byte can name.
MAX_ROWS = 256
# Longest version in UTF-8; streams that a server of a longer one began are not recorded.
MAX_VERSION_BYTES = 128
# Bytes of a segment beside its versions and streams: the lengths, and in each row the number.
HEAD_BYTES, ROW_BYTES = 24, 12
# Streams in a segment: with them it has 0.4 MB in the store, which takes values of 1 MB. At the
# planned size, a minute has 198,000 streams at eight recorders.
MAX_SEGMENT_STREAMS = 32_768
# Streams that wait to be written, some 200 bytes each.
MAX_COLLECTED = 50_000
# Bytes of all segments that an instance holds. At the planned size a minute has 1.8 MB.
MAX_JOURNAL_BYTES = 12 * 1024 * 1024
# Segments that an instance holds; at the planned size there are 992. A number of that many bits
# names one in the index.
SEGMENT_BITS = 12
MAX_SEGMENTS = 1 << SEGMENT_BITS
# Segments that are searched one by one. More than that are indexed together: in each of 960, a
# search took 2 ms in all.
MAX_UNINDEXED = 64
# Seconds that segments last without renewal. The last renewal before a loss may be some seconds
# old, and a stream may be taken up a minute after the loss.
ORIGIN_LEASE_S = 90.0


class _Segment(msgspec.Struct, frozen=True, array_like=True, tag="origins"):
    table: Annotated[
        list[tuple[Annotated[int, msgspec.Meta(ge=0, lt=1 << 32)], str]],
        msgspec.Meta(max_length=MAX_ROWS),
    ]
    keys: bytes
    rows: bytes


# Name, size and checksum of a segment.
SegmentIdent = tuple[str, int, int]
_SEGMENT_MASK = MAX_SEGMENTS - 1

_decoder: MsgpackDecoder[_Segment] = MsgpackDecoder(_Segment)


class OriginSegment:
    """Streams and what began them.

    Args:
        table: origins that streams have.
        keys: keys of the streams in rising order.
        rows: for each key the row of its origin in the table.

    Attributes:
        keys: as above.
    """

    def __init__(self, table: Sequence[StreamOrigin], keys: array[int], rows: bytes) -> None:
        self._table = tuple(table)
        self.keys = keys
        self._rows = rows

    def __len__(self) -> int:
        return len(self.keys)

    @property
    def size(self) -> int:
        """Bytes that it takes, its table aside."""
        return STREAM_BYTES * len(self.keys)

    def get(self, key: int) -> StreamOrigin | None:
        """Return what began a stream; None if this segment does not name it."""
        place = bisect_left(self.keys, key)
        if place == len(self.keys) or self.keys[place] != key:
            return None
        return self._table[self._rows[place]]

    def items(self) -> Iterator[tuple[int, StreamOrigin]]:
        """Return each key and its origin."""
        return zip(self.keys, (self._table[row] for row in self._rows), strict=True)


def encode_segment(origins: Mapping[int, StreamOrigin]) -> bytes:
    """Return the bytes of a segment; its bounds are the caller's to keep."""
    rows: dict[StreamOrigin, int] = {}
    keys = array("Q", sorted(origins))
    numbers = bytes(rows.setdefault(origins[key], len(rows)) for key in keys)
    if sys.byteorder == "big":
        keys.byteswap()
    table = [(origin.service, origin.version) for origin in rows]
    return msgspec.msgpack.encode(_Segment(table, keys.tobytes(), numbers))


def decode_segment(data: bytes) -> OriginSegment:
    """Return the segment in *data*. Raises Undecodable if there is none within the bounds."""
    segment = _decoder.decode(data)
    if len(segment.rows) > MAX_SEGMENT_STREAMS:
        raise Undecodable(f"{len(segment.rows)} streams in a segment")
    if len(segment.keys) != KEY_BYTES * len(segment.rows):
        raise Undecodable(f"{len(segment.keys)} bytes of keys for {len(segment.rows)} streams")
    if segment.rows and max(segment.rows) >= len(segment.table):
        raise Undecodable(f"row {max(segment.rows)} of a table of {len(segment.table)}")
    if any(_version_bytes(version) > MAX_VERSION_BYTES for _, version in segment.table):
        raise Undecodable("a version is too long")
    keys = array("Q", segment.keys)
    if sys.byteorder == "big":
        keys.byteswap()
    if not all(map(operator.lt, keys, itertools.islice(keys, 1, None))):
        raise Undecodable("keys out of order")
    return OriginSegment([StreamOrigin(*row) for row in segment.table], keys, segment.rows)


def _version_bytes(version: str) -> int:
    return len(version.encode(errors="replace"))


class OriginCollector:
    """Origins that are not in the journal yet; streams older than a minute are dropped.

    Attributes:
        dropped: number of streams that were dropped because there were too many, or because their
            version is too long.
    """

    def __init__(self) -> None:
        self.dropped = 0
        # In the order of when they were added.
        self._origins: dict[int, tuple[StreamOrigin, float]] = {}

    def __len__(self) -> int:
        return len(self._origins)

    def get(self, key: int) -> StreamOrigin | None:
        """Return what began a stream; None if it is not here."""
        known = self._origins.get(key)
        return None if known is None else known[0]

    def add(self, key: int, origin: StreamOrigin, at: float) -> None:
        """Add the origin of a stream that began, or was taken up, at the time *at*."""
        if _version_bytes(origin.version) > MAX_VERSION_BYTES:
            self.dropped += 1
            return
        self._origins.pop(key, None)
        self._origins[key] = origin, at
        if len(self._origins) > MAX_COLLECTED:
            del self._origins[next(iter(self._origins))]
            self.dropped += 1

    def drop_old(self, now: float) -> None:
        """Drop the streams that callers do not take up any more."""
        while self._origins:
            oldest = next(iter(self._origins))
            if now - self._origins[oldest][1] <= MAX_STREAM_S:
                return
            del self._origins[oldest]

    def take(self, max_bytes: int | None = None) -> CollectedOrigins:
        """Remove and return the oldest streams that one segment, of *max_bytes*, can hold."""
        taken: dict[int, tuple[StreamOrigin, float]] = {}
        table: set[StreamOrigin] = set()
        size = HEAD_BYTES
        for key, (origin, at) in self._origins.items():
            size += STREAM_BYTES
            if origin not in table:
                size += ROW_BYTES + _version_bytes(origin.version)
                if len(table) == MAX_ROWS:
                    break
            if len(taken) == MAX_SEGMENT_STREAMS or (max_bytes is not None and size > max_bytes):
                break
            table.add(origin)
            taken[key] = origin, at
        for key in taken:
            del self._origins[key]
        return CollectedOrigins(taken)

    def put_back(self, taken: CollectedOrigins) -> None:
        """Return streams that could not be passed on; what came in since is newer."""
        self._origins = {**taken.origins, **self._origins}
        while len(self._origins) > MAX_COLLECTED:
            del self._origins[next(iter(self._origins))]
            self.dropped += 1


class CollectedOrigins:
    """Streams that were taken out of a collector, to be passed on.

    Args:
        origins: what began each stream, and when it was added.
    """

    def __init__(self, origins: dict[int, tuple[StreamOrigin, float]]) -> None:
        self.origins = origins

    def __len__(self) -> int:
        return len(self.origins)

    def encode(self) -> bytes:
        """Return the bytes of a segment with these streams."""
        return encode_segment({key: origin for key, (origin, _) in self.origins.items()})


class _Index:
    """Finds the segments that may name a key.

    For each stream it has the upper bits of the key, followed by the number of the segment.

    Args:
        segments: the segments by identity.
    """

    def __init__(self, segments: Mapping[SegmentIdent, OriginSegment]) -> None:
        self.idents = list(segments)
        # Sorting runs that are in order merges them.
        places: list[int] = []
        for number, segment in enumerate(segments.values()):
            places.extend([key & ~_SEGMENT_MASK | number for key in segment.keys])
        places.sort()
        self._places = array("Q", places)

    def find(self, key: int) -> Iterator[SegmentIdent]:
        """Return the segments that may name *key*."""
        upper = key & ~_SEGMENT_MASK
        for at in range(bisect_left(self._places, upper), len(self._places)):
            if self._places[at] & ~_SEGMENT_MASK != upper:
                return
            yield self.idents[self._places[at] & _SEGMENT_MASK]


class OriginJournal:
    """The segments that were read last.

    Attributes:
        size: bytes of their streams.
    """

    def __init__(self) -> None:
        self.size = 0
        self._segments: dict[SegmentIdent, OriginSegment] = {}
        self._index = _Index({})
        self._unindexed: Sequence[OriginSegment] = ()
        # Those that were set aside, so that each is reported once.
        self._set_aside: frozenset[SegmentIdent] = frozenset()

    def __len__(self) -> int:
        return len(self._segments)

    def apply(self, items: Iterable[tuple[str, bytes]]) -> Mapping[str, str]:
        """Replace the segments by those that a read returned, by name.

        Returns:
            Why segments were set aside, by name; those alone that were not before.
        """
        segments: dict[SegmentIdent, OriginSegment] = {}
        reasons: dict[SegmentIdent, str] = {}
        size = 0
        for name, data in items:
            # A store that came back from an older copy gives out its revisions again.
            ident = name, len(data), zlib.crc32(data)
            try:
                segment = self._segments.get(ident) or decode_segment(data)
            except Undecodable as exc:
                reasons[ident] = exc.detail
                continue
            if size + segment.size > MAX_JOURNAL_BYTES or len(segments) == MAX_SEGMENTS:
                reasons[ident] = "the journal is too large"
                continue
            segments[ident] = segment
            size += segment.size
        new = {ident[0]: why for ident, why in reasons.items() if ident not in self._set_aside}
        self._segments, self.size, self._set_aside = segments, size, frozenset(reasons)
        self._update_index()
        return new

    def _update_index(self) -> None:
        indexed = set(self._index.idents)
        unindexed = [seg for ident, seg in self._segments.items() if ident not in indexed]
        if len(unindexed) > MAX_UNINDEXED:
            self._index, unindexed = _Index(self._segments), []
        self._unindexed = unindexed

    def clear(self) -> None:
        """Drop all segments."""
        self.apply([])
        self._index = _Index({})

    def find(self, key: int) -> frozenset[StreamOrigin]:
        """Return what began a stream: nothing if no segment names it.

        More than one origin shows that an id was used twice, so that none of them can be relied on.
        """
        indexed = (self._segments.get(ident) for ident in self._index.find(key))
        segments = itertools.chain(indexed, self._unindexed)
        found = (segment.get(key) for segment in segments if segment is not None)
        return frozenset(origin for origin in found if origin is not None)
